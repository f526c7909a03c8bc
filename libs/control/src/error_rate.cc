#include "almondlink/control/error_rate.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

/// Weight of one answer in the moving average: about twenty answers, which a
/// target with 200 answers per second sends in a tenth of a second.
constexpr double kAnswerWeight = 0.05;
/// Time constant of the decay without answers: a target that has recovered is
/// tried within a second.
constexpr double kDecayMs = 400;
/// A target stands out only if its rate exceeds this multiple of the others'
/// mean plus a margin, because rates differ by chance.
constexpr double kErrorFactor = 1.5;
constexpr double kErrorMargin = 0.1;

}  // namespace

void UpdateErrorRate(Millis now, bool is_error, ErrorRate& errors) {
  if (!is_error) {
    errors.rate = (1 - kAnswerWeight) * CurrentErrorRate(now, errors);
  } else {
    errors.rate += kAnswerWeight * (1 - errors.rate);
  }
  errors.last_answer = now;
}

double CurrentErrorRate(Millis now, const ErrorRate& errors) {
  const auto idle_ms = static_cast<double>((now - errors.last_answer).count);
  return errors.rate * std::exp(-std::max(0.0, idle_ms) / kDecayMs);
}

double ExcessErrorRate(double rate, double others) {
  return std::clamp(rate - kErrorFactor * others - kErrorMargin, 0.0, 1.0);
}

}  // namespace almondlink::control
