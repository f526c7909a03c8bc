#ifndef ALMONDLINK_CONTROL_ERROR_RATE_H_
#define ALMONDLINK_CONTROL_ERROR_RATE_H_

#include "almondlink/base/clock.h"

/// Error rate of a target: the share of its answers that are its own failures.
///
/// A target that fails immediately looks idle and fast, so it attracts the load
/// of its whole service: one failing target out of eight received a third of
/// all calls. The node beside the target sees all of its answers, detects the
/// failures within a few of them and reports the rate to all other nodes. Each
/// node compares it with the other targets of the service. A failure of a
/// downstream service raises the rate of all targets alike, and then none
/// stands out.
///
/// A target with a high error rate gets almost no requests, so its rate decays
/// while no answers arrive: the next few requests then show whether it has
/// recovered. One more failure restores the full rate at once.
namespace almondlink::control {

/// Plain data; one thread at a time.
struct ErrorRate {
  /// Moving average over the last few dozen answers, as of the last answer.
  double rate = 0;
  Millis last_answer;
};

/// Records one answer of the target.
void UpdateErrorRate(Millis now, bool is_error, ErrorRate& errors);

/// The error rate after the decay since the last answer, 0 to 1.
double CurrentErrorRate(Millis now, const ErrorRate& errors);

/// How far the error rate of a target exceeds the mean rate of the other
/// targets of its service (`others`), 0 to 1. Occasional application errors
/// give 0.
double ExcessErrorRate(double rate, double others);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ERROR_RATE_H_
