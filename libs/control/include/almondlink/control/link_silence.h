#ifndef ALMONDLINK_CONTROL_LINK_SILENCE_H_
#define ALMONDLINK_CONTROL_LINK_SILENCE_H_

#include <cstdint>

#include "almondlink/base/clock.h"

/// Failure detection for a peer that is silent on an open link.
///
/// An idle node reports its state once a second, so silence alone proves
/// little: a link may have been silent for most of a second when the first call
/// is sent. The peer is pinged first, and becomes suspect only if nothing
/// arrives for a while after the ping.
namespace almondlink::control {

/// What one end knows about a link.
struct LinkSilence {
  Millis now;
  /// When anything last arrived from the peer.
  Millis last_received;
  /// When the peer was last pinged; any time before `last_received` if not
  /// since then.
  Millis last_ping;
  /// When the first ping was sent that nothing has arrived after.
  Millis first_unanswered_ping;
  /// Calls that wait for an answer on the link.
  std::uint32_t waiting_calls = 0;
};

enum class SilenceAction {
  kNothing,
  /// Send a ping.
  kPing,
  /// The peer may hang, or the connection is cut.
  kSuspect,
};

/// Decides what to do now. Pure.
SilenceAction EvaluateSilence(const LinkSilence& link);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_LINK_SILENCE_H_
