#ifndef ALMONDLINK_CONTROL_NAMED_LIMIT_H_
#define ALMONDLINK_CONTROL_NAMED_LIMIT_H_

#include <cstdint>
#include <optional>

#include "almondlink/base/clock.h"
#include "almondlink/control/token_bucket.h"

/// The rate limit that a target names in its answers.
///
/// A target that needs relief states in each answer how many requests per
/// second it accepts from all nodes together. The limit holds for as long as
/// the target states it. Answers overtake each other, so the limit is lifted
/// only by an answer without one to a request that was sent a while after the
/// limit was last stated.
///
/// All requests to a target pass the node beside it, which keeps the limit with
/// a token bucket. The bucket starts empty and holds little, since a target
/// that names a limit has no room for a burst. Entry nodes spread their
/// requests by reservations: the node beside the target tells each of them with
/// its answers when the next request will find a token, each time one interval
/// later. An entry node uses other targets until then, and only if all targets
/// of the service are limited its requests wait for tokens, in order of
/// priority.
namespace almondlink::control {

/// Limit of one target. Plain data; one thread at a time.
struct NamedLimit {
  /// Requests per second; nothing if the target names no limit.
  std::optional<double> per_s;
  /// When an answer last named it.
  Millis named_at;
  /// Limit that was last reported, see UpdateNamedLimit(), and when.
  std::optional<double> reported_per_s;
  Millis reported_at;
  TokenBucket bucket;
  /// Time of the last reservation, in milliseconds.
  double reserved_until = 0;
};

/// Applies one answer of the target. `sent_at`: when its request was sent;
/// `per_s`: the limit that the answer names. Returns true if the limit is to be
/// reported: it is new, was lifted, or differs by a tenth from the one that was
/// last reported, a second ago or earlier.
bool UpdateNamedLimit(Millis now,
                      Millis sent_at,
                      std::optional<double> per_s,
                      NamedLimit& limit);

/// Whether a request may be sent now.
bool MaySend(Millis now, NamedLimit& limit);

/// Counts a request that is sent. Precondition: MaySend().
void CountSend(NamedLimit& limit);

/// Reserves the next free token for an entry node and returns the time until
/// then; 0 without a reservation if a request may be sent now. `waiting`:
/// requests that wait for tokens and go first.
Millis ReserveSend(Millis now, std::uint32_t waiting, NamedLimit& limit);

/// Expected time until `waiting` requests have been sent; 0 without a limit.
Millis TimeToSend(std::uint32_t waiting, const NamedLimit& limit);

/// Slots of a target that requests at its limit keep busy, as admission plans
/// with them: somewhat more, so that a small queue covers the moments in which
/// few requests arrive.
double PlannedSlotsWithinLimit(double per_s, double work_ms);

/// Slots of a target that its limit lets it use: at least one, at most `slots`.
/// `work_ms`: mean time of a request there, 0 if unknown.
std::uint32_t SlotsWithinLimit(std::uint32_t slots,
                               std::optional<double> per_s,
                               double work_ms);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_NAMED_LIMIT_H_
