#include "almondlink/model/replay.h"

#include <algorithm>
#include <cmath>
#include <memory>

#include "almondlink_path.h"
#include "baseline_path.h"
#include "relay_path.h"
#include "simulation.h"

namespace almondlink::model {

namespace {

/// Callers of a replay: send requests, retry failures, and count the outcome.
class Callers {
 public:
  explicit Callers(Simulation& simulation) : simulation(simulation) {}

  void Start() {
    for (const ArrivalModel& arrival : this->simulation.scenario.arrivals) {
      const std::size_t operation = this->FindOperation(arrival.operation);
      this->simulation.clock.Schedule(arrival.from_ms,
                                      [this, &arrival, operation]() {
                                        this->NextArrival(arrival, operation);
                                      });
    }
    for (const RecordedCall& call : this->simulation.scenario.recorded_calls) {
      const std::size_t operation = this->FindOperation(call.operation);
      this->simulation.clock.Schedule(
          call.at_ms, [this, operation]() { this->SendRequest(operation); });
    }
  }

 private:
  std::size_t FindOperation(const std::string& name) const {
    const auto found = std::find_if(this->simulation.operations.begin(),
                                    this->simulation.operations.end(),
                                    [&name](const OperationInfo& info) {
                                      return info.spec->name.Value() == name;
                                    });
    return static_cast<std::size_t>(found -
                                    this->simulation.operations.begin());
  }

  void NextArrival(const ArrivalModel& arrival, std::size_t operation) {
    if (this->simulation.clock.Now() >= arrival.to_ms) {
      return;
    }
    this->SendRequest(operation);
    const double gap = -std::log(1 - this->simulation.DrawUniform()) * 1000 /
                       arrival.per_second;
    this->simulation.clock.Schedule(gap, [this, &arrival, operation]() {
      this->NextArrival(arrival, operation);
    });
  }

  std::size_t BucketOf(double time_ms) const {
    return std::min(this->simulation.outcome.requested.size() - 1,
                    static_cast<std::size_t>(time_ms / kBucketMs));
  }

  bool IsInDisturbance(const RootRequest& root) const {
    return root.arrived_ms >= this->simulation.scenario.disturbance_from_ms &&
           root.arrived_ms < this->simulation.scenario.disturbance_to_ms;
  }

  void SendRequest(std::size_t operation) {
    const OperationInfo& info = this->simulation.operations[operation];
    const RootPointer root = std::make_shared<RootRequest>();
    root->operation = operation;
    root->root_id =
        RootId{this->simulation.random(), this->simulation.random()};
    root->hash = this->simulation.random() | 1U;
    root->criticality = info.spec->criticality;
    root->arrived_ms = this->simulation.clock.Now();
    Outcome& outcome = this->simulation.outcome;
    ClassOutcome& totals =
        outcome.classes[static_cast<std::size_t>(root->criticality)];
    ++totals.requests;
    outcome.weighted_requests += static_cast<double>(info.spec->weight);
    outcome.requested[BucketOf(root->arrived_ms)] +=
        static_cast<double>(info.spec->weight);
    outcome.class_counts[static_cast<std::size_t>(root->criticality)]
        .requests[BucketOf(root->arrived_ms)] += 1;
    if (this->IsInDisturbance(*root)) {
      ++totals.requests_in_disturbance;
      outcome.weighted_requests_in_disturbance +=
          static_cast<double>(info.spec->weight);
    }
    this->StartTry(root,
                   static_cast<std::size_t>(this->simulation.random() %
                                            this->simulation.instances.size()));
  }

  /// Starts one try; a caller keeps its entry node across tries.
  void StartTry(const RootPointer& root, std::size_t entry) {
    const OperationInfo& info = this->simulation.operations[root->operation];
    ++root->tries;
    root->retries_in_try = 0;
    root->deadline_ms = this->simulation.clock.Now() +
                        static_cast<double>(info.spec->timeout.count);
    // Callers connect to another node when the host of theirs is lost.
    while (this->simulation.HasFault(FaultKind::kLost, entry)) {
      entry = (entry + 1) % this->simulation.instances.size();
    }
    this->simulation.clock.Schedule(
        this->simulation.scenario.client_latency_ms, [this, root, entry]() {
          CallSpec spec;
          spec.root = root;
          spec.operation = root->operation;
          spec.entry = entry;
          spec.deadline_ms = root->deadline_ms;
          this->simulation.path->Call(
              spec, [this, root, entry](const CallResult& result) {
                this->OnResult(root, entry, result);
              });
        });
  }

  void OnResult(const RootPointer& root,
                std::size_t entry,
                const CallResult& result) {
    Outcome& outcome = this->simulation.outcome;
    const OperationInfo& info = this->simulation.operations[root->operation];
    outcome.grant_exceeded += root->retries_in_try > info.spec->retries ? 1 : 0;
    const bool is_in_time = this->simulation.clock.Now() <= root->deadline_ms;
    if (result.is_completed && is_in_time) {
      this->CompleteRequest(*root);
      return;
    }
    // An at-most-once request with an unknown outcome is not retried.
    const bool may_repeat = info.spec->is_repeatable ||
                            AnswerFor(result.kind).verdict == Verdict::kNotRun;
    if (root->tries < this->simulation.scenario.callers.tries && may_repeat) {
      const double pause = this->simulation.scenario.callers.pause_ms *
                           (0.5 + this->simulation.DrawUniform());
      this->simulation.clock.Schedule(
          pause, [this, root, entry]() { this->StartTry(root, entry); });
      return;
    }
    this->FinishRequest(*root);
  }

  void CompleteRequest(RootRequest& root) {
    Outcome& outcome = this->simulation.outcome;
    const auto weight = static_cast<double>(
        this->simulation.operations[root.operation].spec->weight);
    ClassOutcome& totals =
        outcome.classes[static_cast<std::size_t>(root.criticality)];
    ++totals.completed;
    outcome.weighted_completed += weight;
    if (this->IsInDisturbance(root)) {
      ++totals.completed_in_disturbance;
      outcome.weighted_completed_in_disturbance += weight;
    }
    outcome.goodput[this->BucketOf(this->simulation.clock.Now())] += weight;
    outcome.completed_by_arrival[this->BucketOf(root.arrived_ms)] += weight;
    outcome.class_counts[static_cast<std::size_t>(root.criticality)]
        .completed[this->BucketOf(root.arrived_ms)] += 1;
    this->FinishRequest(root);
  }

  void FinishRequest(RootRequest& root) {
    root.is_done = true;
    Outcome& outcome = this->simulation.outcome;
    const OperationInfo& info = this->simulation.operations[root.operation];
    const double attempts = static_cast<double>(root.calls) / info.chain_size;
    outcome.attempts_max = std::max(outcome.attempts_max, attempts);
    this->attempts_sum += attempts;
    ++this->finished_requests;
    outcome.attempts_mean =
        this->attempts_sum / static_cast<double>(this->finished_requests);
    // All tries of a request carry the same idempotency key, so runs are
    // counted for each request.
    outcome.ran_twice += root.at_most_once_runs > 1 ? 1 : 0;
  }

  Simulation& simulation;
  double attempts_sum = 0;
  std::uint64_t finished_requests = 0;
};

}  // namespace

const char* ToString(ControlKind control) {
  switch (control) {
    case ControlKind::kAlmondlink:
      return "almondlink";
    case ControlKind::kRelay:
      return "relay";
    case ControlKind::kNone:
      return "none";
    case ControlKind::kFixedLimit:
      return "fixed limit";
  }
  return "none";
}

Outcome Replay(const Scenario& scenario, ControlKind control) {
  Simulation simulation(scenario);
  std::unique_ptr<CallPath> path;
  if (control == ControlKind::kAlmondlink) {
    path = std::make_unique<AlmondlinkPath>(simulation);
  } else if (control == ControlKind::kRelay) {
    path = std::make_unique<RelayPath>(simulation);
  } else {
    path = std::make_unique<BaselinePath>(simulation,
                                          control == ControlKind::kFixedLimit);
  }
  simulation.path = path.get();
  Callers callers(simulation);
  callers.Start();
  simulation.clock.RunUntil(scenario.duration_ms);
  ComputeRecoveryTime(scenario, simulation.outcome);
  return simulation.outcome;
}

}  // namespace almondlink::model
