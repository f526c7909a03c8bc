#include "almondlinkd/target_rules.h"

#include <string>

#include "almondlinkd/classify.h"

namespace almondlink::daemon {

namespace {

/// Calls taken and not yet answered, whatever state they are in; a bound on
/// memory far above what admission lets wait.
constexpr std::size_t kMostOpenCalls = 20'000;

}  // namespace

server::TargetClientConfig TargetClientConfigOf(
    const config::Settings& settings) {
  server::TargetClientConfig config;
  config.address = settings.target.address;
  config.max_connections =
      static_cast<std::size_t>(settings.target.connections);
  config.connect_timeout = settings.target.connect_timeout;
  config.max_body = static_cast<std::size_t>(settings.node.max_body);
  config.max_header = static_cast<std::size_t>(settings.node.max_header);
  config.needs_no_id = settings.target.reuse_without_id;
  return config;
}

control::AdmissionRules AdmissionRulesOf(const SharedState& shared) {
  control::AdmissionRules rules;
  rules.limit.slots = shared.slots.load();
  rules.limit.slow_start = shared.settings.target.slow_start;
  const std::shared_ptr<const BundleView> view = shared.bundle.Read();
  if (view != nullptr) {
    const policy::ServiceSpec* service = view->in_force->bundle->FindService(
        ServiceName(shared.settings.target.service));
    if (service != nullptr) {
      rules.queue_target = service->queue_target;
      rules.queue_limit = service->queue_limit;
    }
  }
  return rules;
}

control::Outcome OutcomeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kTargetLost:
    case ErrorKind::kTargetTimeout:
    case ErrorKind::kTargetBadAnswer:
    case ErrorKind::kTargetRefused:
      return control::Outcome::kFailure;
    default:
      return control::Outcome::kSuccess;
  }
}

TargetSideReport AdmissionReportOf(const control::AdmissionRules& rules,
                                   Millis now,
                                   const control::Admission& admission) {
  TargetSideReport report;
  report.limit = control::CurrentLimit(rules.limit, now, admission.limit);
  report.in_flight = admission.in_flight;
  report.waiting = static_cast<std::uint32_t>(admission.queue.size());
  report.threshold = admission.pressure.threshold;
  report.utilization = control::Utilization(rules, now, admission);
  report.baseline_ms = admission.limit.baseline_latency;
  report.service_time_ms = admission.service_time.mean;
  return report;
}

ErrorKind CheckCall(const SharedState& shared,
                    std::size_t open_calls,
                    TargetCall& target_call) {
  const wire::Call& call = target_call.call;
  if (call.service != shared.settings.target.service) {
    return ErrorKind::kNoTarget;
  }
  // A draining node still tells what became of a key.
  if (shared.is_draining.load() && !call.is_recall) {
    return ErrorKind::kDraining;
  }
  if (open_calls >= kMostOpenCalls) {
    return ErrorKind::kOverloaded;
  }
  if (call.timeout_ms <= 0) {
    return ErrorKind::kDeadlinePassed;
  }
  target_call.deadline = MonotonicNow() + Millis{call.timeout_ms};
  const bool is_root = HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(target_call.root, ParseRoot(call.root));
        return true;
      },
      [](const Failure&) { return false; });
  return is_root ? ErrorKind::kNone : ErrorKind::kBadMessage;
}

}  // namespace almondlink::daemon
