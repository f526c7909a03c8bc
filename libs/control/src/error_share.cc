#include "almondlink/control/error_share.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

/// Weight of one answer: some twenty are remembered, a tenth of a second where
/// a target answers 200 in a second.
constexpr double kAnswerWeight = 0.05;
/// Time constant of the belief without an answer: a target that is sound again
/// is tried within a second.
constexpr double kBeliefMs = 400;
/// How much a target's share must lie over the others', which themselves
/// differ by chance.
constexpr double kTimesOthers = 1.5;
constexpr double kOverOthers = 0.1;

}  // namespace

void NoteAnswer(Millis now, bool is_error, ErrorShare& errors) {
  if (!is_error) {
    errors.share = (1 - kAnswerWeight) * ErrorsNow(now, errors);
  } else {
    errors.share += kAnswerWeight * (1 - errors.share);
  }
  errors.answered = now;
}

double ErrorsNow(Millis now, const ErrorShare& errors) {
  const auto quiet = static_cast<double>((now - errors.answered).count);
  return errors.share * std::exp(-std::max(0.0, quiet) / kBeliefMs);
}

double ErrorsOver(double share, double others) {
  return std::clamp(share - kTimesOthers * others - kOverOthers, 0.0, 1.0);
}

}  // namespace almondlink::control
