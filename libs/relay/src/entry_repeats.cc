#include <algorithm>

#include "almondlink/control/repeat_allowance.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Whether a request is sent once more: the bound on repeats, and what they are
/// good for.
namespace almondlink::relay {

namespace {

/// Calls for each run above which a service counts as one that makes calls.
constexpr double kMakesCalls = 0.5;
/// Part of their answers that are failures above which targets fail for a
/// reason that they share; single failures are far rarer.
constexpr double kOftenErring = 0.1;
/// Time left below which a request is not sent once more.
constexpr Millis kLeastForRepeat{30};

}  // namespace

control::RepeatRules EntryCalls::Repeats() const {
  control::RepeatRules rules = this->settings.repeats;
  rules.nodes = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(this->peers.All().size()));
  rules.is_restarted =
      !this->has_memory && BootTimeNow() - this->started < rules.window;
  return rules;
}

control::RepeatAllowance& EntryCalls::AllowanceOf(const std::string& service) {
  control::RepeatAllowance& allowance = this->allowances[service];
  const auto told = this->remembered.find(ServiceKeyOf(service));
  if (told != this->remembered.end()) {
    control::RestoreCounts(this->Repeats(), BootTimeNow(), told->second,
                           allowance);
    this->remembered.erase(told);
  }
  return allowance;
}

void EntryCalls::TakeMemory(const std::vector<ServiceRepeats>& told) {
  if (BootTimeNow() - this->started >= this->settings.repeats.window) {
    return;
  }
  this->has_memory = true;
  for (const ServiceRepeats& entry : told) {
    this->remembered[entry.service] = entry.counts;
  }
}

std::map<std::string, control::RepeatCapacity> EntryCalls::RepeatRooms(
    Millis now) {
  const control::RepeatRules rules = this->Repeats();
  std::map<std::string, control::RepeatCapacity> rooms;
  for (auto& [service, allowance] : this->allowances) {
    rooms[service] = control::CapacityForRepeats(rules, now, allowance);
  }
  return rooms;
}

std::vector<ServiceRepeats> EntryCalls::OwnRepeats(Millis now) {
  const control::RepeatRules rules = this->Repeats();
  std::vector<ServiceRepeats> told;
  for (auto& [service, allowance] : this->allowances) {
    const control::RepeatCounts counts =
        control::WindowCounts(rules, now, allowance);
    if (counts.repeats > 0) {
      told.push_back({ServiceKeyOf(service), counts});
    }
  }
  return told;
}

/// Sums over the nodes that repeat requests of the service. Those that do not
/// tell nothing: without their requests the bound is lower than it might be.
control::RepeatCounts EntryCalls::SharedCounts(Millis now,
                                               const std::string& service) {
  const std::uint32_t key = ServiceKeyOf(service);
  control::RepeatCounts sums =
      control::WindowCounts(this->Repeats(), now, this->AllowanceOf(service));
  for (const PeerPointer& peer : this->peers.All()) {
    if (peer->is_self || !peer->IsReachable()) {
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
  return sums;
}

/// Whether a failure that a target answered may be the target's own. A run that
/// makes calls fails with them: where the other targets of its service fail as
/// well, something below them does, and another run would take its repeats from
/// the requests that can still be made whole.
bool EntryCalls::MayMakeGood(const Call& call, const PeerPointer& peer) {
  if (this->CallsPerRun(call.service) < kMakesCalls) {
    return true;
  }
  double sum = 0;
  std::uint32_t others = 0;
  for (const PeerPointer& other : this->peers.PeersOfService(call.service)) {
    if (other != peer && IsOpen(*other)) {
      sum += other->health.error_rate;
      ++others;
    }
  }
  return others == 0 || sum / others < kOftenErring;
}

/// Calls that a run of the service makes, at the target that makes most.
double EntryCalls::CallsPerRun(const std::string& service) {
  double calls = 0;
  for (const PeerPointer& peer : this->peers.PeersOfService(service)) {
    calls = std::max(calls, peer->reported.calls_per_run);
  }
  return calls;
}

bool EntryCalls::MayRepeat(Millis now, const Call& call, CallReason after) {
  if (call.attempts >= this->settings.decisions.repeat_sends ||
      call.deadline - now < kLeastForRepeat) {
    return false;
  }
  // A run that makes calls repeats them too, so it takes so much less of the
  // bound that the sum over all services of a chain stays within it.
  control::RepeatRules rules = this->Repeats();
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
                                  this->SharedCounts(now, call.service)) ||
      !control::TakeRepeat(rules, place, now,
                           this->AllowanceOf(call.service))) {
    ++this->repeats_denied[call.service];
    return false;
  }
  this->counts.NoteRepeat(*call.route, after);
  return true;
}

}  // namespace almondlink::relay
