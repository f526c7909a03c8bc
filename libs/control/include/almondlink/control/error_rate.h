#ifndef ALMONDLINK_CONTROL_ERROR_RATE_H_
#define ALMONDLINK_CONTROL_ERROR_RATE_H_

#include "almondlink/base/clock.h"

/// What part of a target's answers are failures of its own.
///
/// A target that fails at once looks free and fast, so it draws the load of its
/// whole service: where one of eight did, a third of all calls went to it. The
/// node beside the target sees all of its answers, so it knows within a few of
/// them, and tells all others; each compares it with the service's other
/// targets. A failure of a service further down makes all of them err alike,
/// and then none stands out.
///
/// A target that errs gets next to nothing, so after a while without an answer
/// it is believed less: the next few requests show whether it is sound. One
/// more failure brings the belief back at once.
namespace almondlink::control {

/// Plain data; one thread at a time.
struct ErrorRate {
  /// Part of the last few dozen answers, at the time of the last.
  double rate = 0;
  Millis last_answer;
};

void UpdateErrorRate(Millis now, bool is_error, ErrorRate& errors);

/// The part that is believed now, 0 to 1.
double CurrentErrorRate(Millis now, const ErrorRate& errors);

/// How much of a target's errors stands out from those of its service's other
/// targets, 0 to 1; `others`: their mean. Single failures of an application do
/// not.
double ExcessErrorRate(double rate, double others);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ERROR_RATE_H_
