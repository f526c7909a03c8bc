#include <algorithm>

#include "almondlink/control/run_times.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Run times of called routes, and their use in the choice of a target; see
/// almondlink/control/run_times.h.
namespace almondlink::relay {

namespace {

constexpr std::uint32_t kServerError = 500;
/// The target's own answer at the deadline.
constexpr std::uint32_t kGatewayTimeout = 504;
constexpr double kMicrosPerMilli = 1000;
/// Time after the start of a node in which calls are placed by load alone.
constexpr Millis kFitDelay{5000};
/// Bounds on a speed that is derived from mean times. These also depend on
/// which routes a target serves, so they are no evidence of more than this.
constexpr double kMinDerivedSpeed = 0.4;
constexpr double kMaxDerivedSpeed = 2;

/// Time for which one more call would be queued at the target.
double QueuedMs(const control::PlacementTarget& view) {
  const double load = view.reported_load + view.sent_since + 1.0;
  const double queued = std::max(0.0, load - view.slots);
  return queued * view.work_ms / std::max(1U, view.slots);
}

}  // namespace

/// Mean over the available targets of a service of their mean time of a call;
/// 0 if fewer than two are known.
double EntryCalls::MeanWorkMsAt(const std::string& service) {
  double sum = 0;
  double known = 0;
  for (const PeerPointer& peer : this->peers.PeersOfService(service)) {
    if (IsTargetAvailable(*peer) && peer->reported.work_ms > 0) {
      sum += peer->reported.work_ms;
      ++known;
    }
  }
  return known < 2 ? 0 : sum / known;
}

/// Speed of a peer's target: as its node measures it or, from an older node,
/// by its mean time of a call beside that of the service; 0 if unknown.
double EntryCalls::SpeedOf(const Peer& peer, double mean_work_ms) {
  if (peer.reported.speed > 0) {
    return peer.reported.speed;
  }
  return peer.reported.work_ms <= 0 || mean_work_ms <= 0
             ? 0
             : std::clamp(mean_work_ms / peer.reported.work_ms,
                          kMinDerivedSpeed, kMaxDerivedSpeed);
}

void EntryCalls::RecordRun(const Call& call, const AnswerFrame& frame) {
  if (call.peer == nullptr || frame.work_us == 0) {
    return;
  }
  const bool is_cut = frame.outcome == CallOutcome::kBroken
                          ? frame.reason == CallReason::kTimeout
                          : frame.status == kGatewayTimeout;
  // The time to an error says nothing about the duration of the work.
  const bool is_completed =
      frame.outcome == CallOutcome::kAnswered && frame.status < kServerError;
  if (!is_cut && !is_completed) {
    return;
  }
  const LatencyMs work{frame.work_us / kMicrosPerMilli};
  const double speed = SpeedOf(*call.peer, this->MeanWorkMsAt(call.service));
  control::RunTimeHistogram& histogram =
      this->run_times.routes[call.route->key.Value()];
  if (is_cut) {
    control::RecordCutRun(work, speed, histogram);
  } else {
    control::RecordRunTime(work, speed, histogram);
  }
}

/// The time for which the call was probably queued at the target is not part of
/// its run.
void EntryCalls::RecordCutAttempt(const Call& call) {
  if (call.peer == nullptr || call.is_streaming || call.is_caller_gone) {
    return;
  }
  const double ahead =
      static_cast<double>(call.load_at_choice) - call.slots_at_choice + 1;
  const double queued_ms = std::max(0.0, ahead) * call.peer->reported.work_ms /
                           std::max(1U, call.slots_at_choice);
  const double lasted_ms =
      static_cast<double>((BootTimeNow() - call.sent_at).count) - queued_ms;
  if (lasted_ms > 0) {
    control::RecordCutRun(LatencyMs{lasted_ms},
                          SpeedOf(*call.peer, this->MeanWorkMsAt(call.service)),
                          this->run_times.routes[call.route->key.Value()]);
  }
}

/// Run times of a called route over all nodes or, without totals, those seen by
/// this node; null if there are none.
const control::RunTimeHistogram* EntryCalls::RunTimesOf(
    Millis now,
    std::uint32_t route) const {
  const control::DecisionSums* totals = this->decisions.Totals(now);
  if (totals != nullptr) {
    const auto total = totals->run_times.find(route);
    if (total != totals->run_times.end()) {
      return &total->second;
    }
  }
  const auto own = this->run_times.routes.find(route);
  return own == this->run_times.routes.end() ? nullptr : &own->second;
}

/// Whether the call can be placed by the chance to end late. At a service that
/// is short of capacity there is no choice among targets, and right after a
/// start the loads of the targets are not known yet: all calls would go to the
/// fastest one.
bool EntryCalls::HasRoomToFit(Millis now, const Call& call) const {
  return now - this->started_at >= kFitDelay &&
         !this->IsBottleneck(call.service);
}

/// Sets the speed of the targets and the chance that the call ends late there.
/// Without the run times of the route, the choice is made without either.
void EntryCalls::FitTargets(Millis now,
                            const Call& call,
                            const std::vector<PeerPointer>& members,
                            std::vector<control::PlacementTarget>& views,
                            control::PlacementRules& rules) {
  if (!this->settings.decisions.fits_targets ||
      !this->HasRoomToFit(now, call)) {
    return;
  }
  const control::RunTimeHistogram* run_times =
      this->RunTimesOf(now, call.route->key.Value());
  const double mean_ms =
      run_times == nullptr ? 0 : control::MeanRunTimeMs(*run_times);
  if (mean_ms <= 0) {
    return;
  }
  rules.mean_run_ms = mean_ms;
  rules.late_penalty_ms = static_cast<double>(call.route->timeout.count);
  const double mean_work_ms = this->MeanWorkMsAt(call.service);
  const auto left_ms = static_cast<double>((call.deadline - now).count);
  bool is_at_risk = false;
  for (std::size_t i = 0; i < members.size(); ++i) {
    control::PlacementTarget& view = views[i];
    view.speed = SpeedOf(*members[i], mean_work_ms);
    view.late_chance = control::ChanceToBeLate(
        *run_times, LatencyMs{left_ms - QueuedMs(view)}, view.speed);
    is_at_risk = is_at_risk || (view.is_open && view.is_own_zone &&
                                view.late_chance > control::kMaxChanceGap);
  }
  this->fit_counts.at_risk += is_at_risk ? 1 : 0;
}

void EntryCalls::AddRunTimes(Millis now, control::DecisionSums& sums) {
  control::DecayRunTimes(now, this->run_times);
  if (this->settings.decisions.fits_targets) {
    sums.run_times = this->run_times.routes;
  }
}

}  // namespace almondlink::relay
