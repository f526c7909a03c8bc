#include <algorithm>

#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Callers that are refused: when they are told to return, and how they are
/// admitted when they do.
namespace almondlink::relay {

namespace {

/// Retry-After if the route is not known, and the minimum.
constexpr Millis kDefaultRetryAfter{300};
constexpr Millis kMinRetryAfter{50};

}  // namespace

/// Time after which a refused caller should return: early enough that an answer
/// then is still useful in full, and spread so that callers refused together do
/// not return together. Longer waits did not help (docs/RESULTS.md): callers
/// return in any case, and the answers they get are late.
Millis EntryCalls::RetryAfter(const Call& call) {
  if (call.route == nullptr) {
    return kDefaultRetryAfter;
  }
  const double middle = this->settings.decisions.return_part *
                        static_cast<double>(call.route->latency_target.count);
  const Millis spread{static_cast<std::int64_t>(middle * (0.5 + this->Draw()))};
  return std::max(kMinRetryAfter, spread);
}

double EntryCalls::ReturnShare(const Call& /*call*/, double share) {
  return share;
}

}  // namespace almondlink::relay
