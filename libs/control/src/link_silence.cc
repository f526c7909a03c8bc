#include "almondlink/control/link_silence.h"

namespace almondlink::control {

namespace {

/// Silence after which a peer is pinged: three round trips of a busy node.
constexpr Millis kPingAfter{300};
/// Two pings without a reply: 0.7 s after the last message on a busy link,
/// longer than a busy node is ever silent.
constexpr Millis kSuspectAfterPing{400};

}  // namespace

SilenceAction EvaluateSilence(const LinkSilence& link) {
  if (link.waiting_calls == 0 || link.now - link.last_received < kPingAfter) {
    return SilenceAction::kNothing;
  }
  const bool is_asked = link.first_unanswered_ping > link.last_received;
  if (is_asked && link.now - link.first_unanswered_ping >= kSuspectAfterPing) {
    return SilenceAction::kSuspect;
  }
  return link.now - link.last_ping >= kPingAfter ? SilenceAction::kPing
                                                 : SilenceAction::kNothing;
}

}  // namespace almondlink::control
