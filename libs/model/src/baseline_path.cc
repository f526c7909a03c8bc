#include "baseline_path.h"

#include <algorithm>
#include <utility>

namespace almondlink::model {

namespace {

constexpr int kAttemptsPerHop = 3;
constexpr double kBackoffMs = 50;
/// Queue size of the fixed concurrency limit, in multiples of the slots.
constexpr int kQueuePerSlot = 1;

/// Cancelling stops only the wait for the result; the work continues.
struct BaselineHandle : CallHandle {
  explicit BaselineHandle(std::shared_ptr<bool> is_over)
      : is_over(std::move(is_over)) {}
  void Cancel() override { *this->is_over = true; }
  std::shared_ptr<bool> is_over;
};

}  // namespace

struct BaselinePath::PendingCall {
  CallSpec spec;
  CallDone done;
  std::shared_ptr<bool> is_over = std::make_shared<bool>(false);
  int attempts = 0;
  /// The attempt whose result is awaited; results of earlier ones are ignored.
  int awaited_attempt = 0;
};

BaselinePath::BaselinePath(Simulation& simulation, bool has_concurrency_limit)
    : simulation(simulation),
      has_concurrency_limit(has_concurrency_limit),
      next_target(simulation.instances_by_service.size()),
      in_flight(simulation.instances.size()) {}

CallHandlePointer BaselinePath::Call(const CallSpec& spec, CallDone done) {
  const auto pending = std::make_shared<PendingCall>();
  pending->spec = spec;
  pending->done = std::move(done);
  this->Attempt(pending);
  return std::make_shared<BaselineHandle>(pending->is_over);
}

void BaselinePath::Attempt(const std::shared_ptr<PendingCall>& pending) {
  const OperationInfo& info =
      this->simulation.operations[pending->spec.operation];
  const std::vector<std::size_t>& targets =
      this->simulation.instances_by_service[info.service];
  const std::size_t target =
      targets[this->next_target[info.service]++ % targets.size()];
  const int attempt = ++pending->attempts;
  pending->awaited_attempt = attempt;
  ++pending->spec.root->calls;
  this->simulation.clock.Schedule(
      this->simulation.Latency(pending->spec.entry, target),
      [this, pending, target]() { this->OnArrival(pending, target); });
  this->simulation.clock.Schedule(
      static_cast<double>(info.spec->timeout.count),
      [this, pending, attempt]() { this->OnAttemptFailed(pending, attempt); });
}

void BaselinePath::OnArrival(const std::shared_ptr<PendingCall>& pending,
                             std::size_t target) {
  const int attempt = pending->awaited_attempt;
  const double back = this->simulation.Latency(pending->spec.entry, target);
  const int slots = this->simulation.scenario
                        .services[this->simulation.instances[target].service]
                        .slots;
  const bool is_refused =
      this->has_concurrency_limit &&
      this->in_flight[target] >= slots * (1 + kQueuePerSlot);
  const bool is_silent =
      this->simulation.HasFault(FaultKind::kSilentLinks, target);
  if (is_silent) {
    return;
  }
  if (is_refused) {
    this->simulation.clock.Schedule(back, [this, pending, attempt]() {
      this->OnAttemptFailed(pending, attempt);
    });
    return;
  }
  ++this->in_flight[target];
  const auto work = std::make_shared<Work>();
  work->root = pending->spec.root;
  work->operation = pending->spec.operation;
  work->instance = target;
  work->depth = pending->spec.depth;
  work->deadline_ms = pending->spec.deadline_ms;
  work->done = [this, pending, attempt, back, target](bool is_completed) {
    --this->in_flight[target];
    this->simulation.clock.Schedule(back,
                                    [this, pending, attempt, is_completed]() {
                                      if (!is_completed) {
                                        this->OnAttemptFailed(pending, attempt);
                                        return;
                                      }
                                      if (*pending->is_over) {
                                        return;
                                      }
                                      *pending->is_over = true;
                                      pending->done(CallResult{true});
                                    });
  };
  this->simulation.Submit(work);
}

void BaselinePath::OnAttemptFailed(const std::shared_ptr<PendingCall>& pending,
                                   int attempt) {
  if (*pending->is_over || pending->awaited_attempt != attempt) {
    return;
  }
  if (pending->attempts >= kAttemptsPerHop) {
    *pending->is_over = true;
    pending->done(CallResult{false, ErrorKind::kTargetTimeout});
    return;
  }
  ++pending->awaited_attempt;
  this->simulation.clock.Schedule(
      kBackoffMs * pending->attempts * (0.5 + this->simulation.DrawUniform()),
      [this, pending]() {
        if (!*pending->is_over) {
          this->Attempt(pending);
        }
      });
}

}  // namespace almondlink::model
