#include <algorithm>

#include "almondlink/control/repeat_allowance.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Decides whether a request is repeated: the repeat allowance, and whether a
/// repeat can help.
namespace almondlink::relay {

namespace {

/// Mean calls per run above which a service counts as one that makes calls.
constexpr double kMinCallsPerRun = 0.5;
/// Mean error rate above which targets fail for a shared reason; isolated
/// errors are far rarer.
constexpr double kSharedErrorRate = 0.1;
/// Minimum time to the deadline for a repeat.
constexpr Millis kMinTimeForRepeat{30};

}  // namespace

control::RepeatRules EntryCalls::CurrentRepeatRules() const {
  control::RepeatRules rules = this->settings.repeats;
  rules.nodes = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(this->peers.All().size()));
  rules.is_restarted = !this->has_restored_counts &&
                       BootTimeNow() - this->started_at < rules.window;
  return rules;
}

control::RepeatAllowance& EntryCalls::AllowanceOf(const std::string& service) {
  control::RepeatAllowance& allowance = this->allowances[service];
  const auto restored = this->restored_counts.find(ServiceKeyOf(service));
  if (restored != this->restored_counts.end()) {
    control::RestoreCounts(this->CurrentRepeatRules(), BootTimeNow(),
                           restored->second, allowance);
    this->restored_counts.erase(restored);
  }
  return allowance;
}

void EntryCalls::RestoreRepeatCounts(
    const std::vector<ServiceRepeats>& reported) {
  if (BootTimeNow() - this->started_at >= this->settings.repeats.window) {
    return;
  }
  this->has_restored_counts = true;
  for (const ServiceRepeats& entry : reported) {
    this->restored_counts[entry.service] = entry.counts;
  }
}

std::map<std::string, control::RepeatCapacity> EntryCalls::RepeatCapacities(
    Millis now) {
  const control::RepeatRules rules = this->CurrentRepeatRules();
  std::map<std::string, control::RepeatCapacity> capacities;
  for (auto& [service, allowance] : this->allowances) {
    capacities[service] = control::CapacityForRepeats(rules, now, allowance);
  }
  return capacities;
}

std::vector<ServiceRepeats> EntryCalls::OwnRepeatCounts(Millis now) {
  const control::RepeatRules rules = this->CurrentRepeatRules();
  std::vector<ServiceRepeats> own;
  for (auto& [service, allowance] : this->allowances) {
    const control::RepeatCounts counts =
        control::WindowCounts(rules, now, allowance);
    if (counts.repeats > 0) {
      own.push_back({ServiceKeyOf(service), counts});
    }
  }
  return own;
}

/// Sums the counts of the nodes that repeat requests of the service. Nodes
/// without repeats report nothing; without their requests the bound is lower
/// than it could be.
control::RepeatCounts EntryCalls::SumRepeatCounts(Millis now,
                                                  const std::string& service) {
  const std::uint32_t key = ServiceKeyOf(service);
  control::RepeatCounts sums = control::WindowCounts(
      this->CurrentRepeatRules(), now, this->AllowanceOf(service));
  for (const PeerPointer& peer : this->peers.All()) {
    if (peer->is_self || !peer->IsReachable() ||
        !this->IsCountedDirectly(*peer)) {
      continue;
    }
    for (const ServiceRepeats& entry : peer->reported.repeats) {
      if (entry.service == key) {
        sums.requests += entry.counts.requests;
        sums.requests_half_earlier += entry.counts.requests_half_earlier;
        sums.requests_previous += entry.counts.requests_previous;
        sums.repeats += entry.counts.repeats;
      }
    }
  }
  const control::RepeatSums others = this->loads.RepeatsOfOthers(key, now);
  sums.requests += static_cast<std::uint32_t>(others.requests);
  sums.requests_half_earlier +=
      static_cast<std::uint32_t>(others.requests_half_earlier);
  sums.requests_previous +=
      static_cast<std::uint32_t>(others.requests_previous);
  sums.repeats += static_cast<std::uint32_t>(others.repeats);
  return sums;
}

/// Whether an error answer may be the target's own fault, so that a repeat
/// elsewhere can help. A request that makes calls fails if they fail: if the
/// other targets of the service fail too, the cause lies below them, and a
/// repeat would use allowance that other requests could still succeed with.
bool EntryCalls::CanRepeatHelp(const Call& call, const PeerPointer& peer) {
  if (this->CallsPerRun(call.service) < kMinCallsPerRun) {
    return true;
  }
  double sum = 0;
  std::uint32_t others = 0;
  for (const PeerPointer& other : this->peers.PeersOfService(call.service)) {
    if (other != peer && IsTargetAvailable(*other)) {
      sum += other->health.error_rate;
      ++others;
    }
  }
  return others == 0 || sum / others < kSharedErrorRate;
}

/// Mean calls per run of the service, at the target with the most.
double EntryCalls::CallsPerRun(const std::string& service) {
  double calls = 0;
  for (const PeerPointer& peer : this->peers.PeersOfService(service)) {
    calls = std::max(calls, peer->reported.calls_per_run);
  }
  return calls;
}

bool EntryCalls::AcquireRepeat(Millis now, const Call& call, CallReason after) {
  if (call.attempts >= this->settings.decisions.repeat_sends ||
      call.deadline - now < kMinTimeForRepeat) {
    return false;
  }
  // A repeated run also repeats its calls. Its share of the allowance is
  // reduced accordingly, so that the sum over all services of a chain stays
  // within the bound.
  control::RepeatRules rules = this->CurrentRepeatRules();
  rules.usable_share /= 1 + this->CallsPerRun(call.service);
  const auto calls =
      this->admission.observed_calls.find({call.service, call.info.root_route});
  control::RepeatCandidate want;
  want.priority = call.info.priority;
  want.calls_per_root = calls == this->admission.observed_calls.end()
                            ? 1
                            : calls->second.per_root;
  want.answered_calls =
      this->served.CountRunsAt(this->ParentOf(call), call.service);
  want.root_hash = call.info.root_hash;
  const double place = control::RepeatRank(want);
  if (!control::HasSharedCapacity(rules,
                                  this->SumRepeatCounts(now, call.service)) ||
      !control::TakeRepeat(rules, place, now,
                           this->AllowanceOf(call.service))) {
    ++this->repeats_denied[call.service];
    return false;
  }
  this->counts.CountRepeat(*call.route, after);
  return true;
}

}  // namespace almondlink::relay
