#include "almondlink/relay/served_calls.h"

/// What the target beside this node contributes to the sums of all nodes, see
/// almondlink/control/decision_sums.h.
namespace almondlink::relay {

namespace {

/// Time constant of the rates of requests and refusals. Chains fail within a
/// second after their calls begin to be refused.
constexpr double kRefusalTimeConstantMs = 700;
/// Refusals per second below which the target counts as refusing nothing.
constexpr double kMinRefusedPerSecond = 0.05;

}  // namespace

void ServedCalls::AddDecisions(control::DecisionSums& sums) {
  this->AddZoneSlots(sums);
  this->AddRefusals(BootTimeNow(), sums);
}

/// Adds the requests sent to the target and those that it refused without
/// running them, if it refused any lately.
void ServedCalls::AddRefusals(Millis now, control::DecisionSums& sums) {
  RefusalMeter& refusals = this->refusal_meter;
  const double span = static_cast<double>((now - refusals.updated).count);
  if (span > 0) {
    refusals.sent.events =
        static_cast<std::int32_t>(this->counters.sent - refusals.sent_before);
    refusals.refused.events = static_cast<std::int32_t>(
        this->counters.refused_by_target - refusals.refused_before);
    refusals.sent_before = this->counters.sent;
    refusals.refused_before = this->counters.refused_by_target;
    refusals.updated = now;
    control::UpdateRate(span, kRefusalTimeConstantMs, refusals.sent);
    control::UpdateRate(span, kRefusalTimeConstantMs, refusals.refused);
  }
  const std::string& service = this->tracker.current.service;
  if (refusals.refused.per_s < kMinRefusedPerSecond || service.empty()) {
    return;
  }
  control::RefusalRates& rates = sums.refusals[ServiceKeyOf(service)];
  rates.sent_per_s += refusals.sent.per_s;
  rates.refused_per_s += refusals.refused.per_s;
}

}  // namespace almondlink::relay
