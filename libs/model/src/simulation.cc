#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondlink::model {

namespace {

/// One-way latency within an availability zone.
constexpr double kSameZoneLatencyMs = 0.1;
/// Share of the mean work time that is constant; the rest is exponential.
constexpr double kFixedWorkShare = 0.5;
/// Depth up to which the calls of a chain are counted.
constexpr int kMaxChainDepth = 9;

std::size_t ServiceIndex(const Scenario& scenario, const std::string& name) {
  for (std::size_t i = 0; i < scenario.services.size(); ++i) {
    if (scenario.services[i].name == name) {
      return i;
    }
  }
  return 0;
}

int ChainSize(const std::vector<OperationInfo>& operations,
              std::size_t operation,
              int depth) {
  int size = 1;
  if (depth < kMaxChainDepth) {
    for (const std::size_t call : operations[operation].calls) {
      size += ChainSize(operations, call, depth + 1);
    }
  }
  return size;
}

}  // namespace

Simulation::Simulation(const Scenario& scenario)
    : scenario(scenario), random(scenario.seed) {
  const std::vector<policy::OperationSpec>& specs = scenario.bundle.operations;
  for (const policy::OperationSpec& spec : specs) {
    OperationInfo info;
    info.spec = &spec;
    info.service = ServiceIndex(scenario, spec.service.Value());
    info.work_ms = scenario.services[info.service].work_ms;
    this->operations.push_back(info);
  }
  for (const ChainModel& chain : scenario.chains) {
    for (OperationInfo& info : this->operations) {
      if (info.spec->name.Value() != chain.operation) {
        continue;
      }
      if (chain.work_ms > 0) {
        info.work_ms = chain.work_ms;
      }
      for (const std::string& call : chain.calls) {
        const auto found = std::find_if(
            specs.begin(), specs.end(),
            [&call](const auto& spec) { return spec.name.Value() == call; });
        info.calls.push_back(static_cast<std::size_t>(found - specs.begin()));
      }
    }
  }
  for (std::size_t i = 0; i < this->operations.size(); ++i) {
    this->operations[i].chain_size = ChainSize(this->operations, i, 1);
  }
  this->instances_by_service.resize(scenario.services.size());
  for (std::size_t service = 0; service < scenario.services.size(); ++service) {
    for (int i = 0; i < scenario.services[service].instances; ++i) {
      Instance instance;
      instance.service = service;
      instance.index = static_cast<std::size_t>(i);
      instance.zone =
          scenario.zones[static_cast<std::size_t>(i) % scenario.zones.size()];
      this->instances_by_service[service].push_back(this->instances.size());
      this->instances.push_back(std::move(instance));
    }
  }
  const std::size_t buckets =
      static_cast<std::size_t>(scenario.duration_ms / kBucketMs) + 1;
  this->outcome.goodput.resize(buckets);
  this->outcome.completed_by_arrival.resize(buckets);
  this->outcome.requested.resize(buckets);
  for (TimeSeries& times : this->outcome.class_counts) {
    times.requests.resize(buckets);
    times.completed.resize(buckets);
  }
}

double Simulation::DrawUniform() {
  return static_cast<double>(this->random() >> 11) * 0x1.0p-53;
}

double Simulation::Latency(std::size_t from, std::size_t to) const {
  return this->instances[from].zone == this->instances[to].zone
             ? kSameZoneLatencyMs
             : this->scenario.zone_latency_ms;
}

bool Simulation::IsAffectedBy(const FaultModel& fault,
                              std::size_t instance) const {
  const Instance& affected = this->instances[instance];
  const bool is_service =
      fault.service.empty() ||
      fault.service == this->scenario.services[affected.service].name;
  const bool is_zone = fault.zone.empty() || fault.zone == affected.zone;
  const bool is_instance =
      fault.instance < 0 ||
      static_cast<std::size_t>(fault.instance) == affected.index;
  const double now = this->clock.Now();
  return is_service && is_zone && is_instance && now >= fault.from_ms &&
         now < fault.to_ms;
}

double Simulation::FaultStart(FaultKind kind, std::size_t instance) const {
  for (const FaultModel& fault : this->scenario.faults) {
    if (fault.kind == kind && this->IsAffectedBy(fault, instance)) {
      return fault.from_ms;
    }
  }
  return -1;
}

bool Simulation::HasFault(FaultKind kind, std::size_t instance) const {
  return this->FaultStart(kind, instance) >= 0;
}

bool Simulation::IsLogDown() const {
  const double now = this->clock.Now();
  for (const FaultModel& fault : this->scenario.faults) {
    if (fault.kind == FaultKind::kLogDown && now >= fault.from_ms &&
        now < fault.to_ms) {
      return true;
    }
  }
  return false;
}

bool Simulation::DrawRefusal(std::size_t instance) {
  for (const FaultModel& fault : this->scenario.faults) {
    if (fault.kind == FaultKind::kShedding &&
        this->IsAffectedBy(fault, instance)) {
      return this->DrawUniform() < fault.factor;
    }
  }
  return false;
}

double Simulation::DrawWorkTime(const WorkPointer& work) {
  const Instance& instance = this->instances[work->instance];
  double mean = this->operations[work->operation].work_ms;
  for (const FaultModel& fault : this->scenario.faults) {
    if (!this->IsAffectedBy(fault, work->instance)) {
      continue;
    }
    if (fault.kind == FaultKind::kSlow) {
      mean *= fault.factor;
    } else if (fault.kind == FaultKind::kCold) {
      const double left =
          (fault.to_ms - this->clock.Now()) / (fault.to_ms - fault.from_ms);
      mean *= 1 + (fault.factor - 1) * left;
    }
  }
  const double exponential = -std::log(1 - this->DrawUniform());
  return mean * (kFixedWorkShare + (1 - kFixedWorkShare) * exponential);
}

void Simulation::Submit(const WorkPointer& work) {
  Instance& instance = this->instances[work->instance];
  if (this->HasFault(FaultKind::kLost, work->instance)) {
    return;
  }
  work->is_refused = this->DrawRefusal(work->instance);
  if (work->is_refused ||
      this->HasFault(FaultKind::kFailingWhileHealthy, work->instance)) {
    work->is_over = true;
    work->done(false);
    return;
  }
  const int slots = this->scenario.services[instance.service].slots;
  if (instance.running >= slots) {
    instance.queue.push_back(work);
    return;
  }
  this->StartWork(work);
}

void Simulation::StartWork(const WorkPointer& work) {
  ++this->instances[work->instance].running;
  work->is_running = true;
  ++this->outcome.target_runs;
  if (!this->operations[work->operation].spec->is_repeatable) {
    ++work->root->at_most_once_runs;
  }
  this->clock.Schedule(this->DrawWorkTime(work),
                       [this, work]() { this->OnOwnWorkDone(work); });
}

void Simulation::OnOwnWorkDone(const WorkPointer& work) {
  if (work->is_over) {
    return;
  }
  if (this->HasFault(FaultKind::kLost, work->instance)) {
    // The work is lost with its instance; no result is reported.
    work->is_over = true;
    this->FreeSlot(this->instances[work->instance]);
    return;
  }
  this->MakeNextCall(work);
}

void Simulation::MakeNextCall(const WorkPointer& work) {
  const OperationInfo& info = this->operations[work->operation];
  if (work->next_call >= info.calls.size()) {
    this->FinishWork(work, true);
    return;
  }
  CallSpec spec;
  spec.root = work->root;
  spec.operation = info.calls[work->next_call++];
  spec.entry = work->instance;
  spec.depth = work->depth + 1;
  spec.deadline_ms = work->deadline_ms;
  spec.parent = work;
  work->open_call =
      this->path->Call(spec, [this, work](const CallResult& result) {
        work->open_call = nullptr;
        if (work->is_over) {
          return;
        }
        work->downstream_level =
            std::max(work->downstream_level, result.downstream_level);
        if (result.is_completed) {
          this->MakeNextCall(work);
        } else {
          work->has_failed_call = true;
          this->FinishWork(work, false);
        }
      });
}

void Simulation::FinishWork(const WorkPointer& work, bool is_completed) {
  work->is_over = true;
  this->FreeSlot(this->instances[work->instance]);
  if (work->root->is_done && is_completed) {
    ++this->outcome.wasted_runs;
  }
  work->done(is_completed);
}

void Simulation::FreeSlot(Instance& instance) {
  --instance.running;
  while (!instance.queue.empty()) {
    const WorkPointer next = instance.queue.front();
    instance.queue.pop_front();
    if (!next->is_over) {
      this->StartWork(next);
      return;
    }
  }
}

void Simulation::CancelWork(const WorkPointer& work) {
  if (work->is_over) {
    return;
  }
  work->is_over = true;
  if (work->open_call != nullptr) {
    const CallHandlePointer child = std::move(work->open_call);
    work->open_call = nullptr;
    child->Cancel();
  }
  if (work->is_running) {
    this->FreeSlot(this->instances[work->instance]);
  }
}

}  // namespace almondlink::model
