#ifndef ALMONDLINK_CONTROL_NAMED_LIMIT_H_
#define ALMONDLINK_CONTROL_NAMED_LIMIT_H_

#include <optional>

#include "almondlink/base/clock.h"

/// The rate limit that a target names in its answers.
///
/// A target that needs relief states in each answer how many requests per
/// second it accepts from all nodes together. The limit holds for as long as
/// the target states it. Answers overtake each other, so the limit is lifted
/// only by an answer without one to a request that was sent a while after the
/// limit was last stated.
namespace almondlink::control {

/// Limit of one target. Plain data; one thread at a time.
struct NamedLimit {
  /// Requests per second; nothing if the target names no limit.
  std::optional<double> per_s;
  /// When an answer last named it.
  Millis named_at;
  /// Limit that was last reported, see UpdateNamedLimit().
  std::optional<double> reported_per_s;
};

/// Applies one answer of the target. `sent_at`: when its request was sent;
/// `per_s`: the limit that the answer names. Returns true if the limit is to be
/// reported: it is new, was lifted, or differs by a tenth from the one that was
/// last reported.
bool UpdateNamedLimit(Millis now,
                      Millis sent_at,
                      std::optional<double> per_s,
                      NamedLimit& limit);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_NAMED_LIMIT_H_
