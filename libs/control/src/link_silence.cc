#include "almondlink/control/link_silence.h"

namespace almondlink::control {

namespace {

/// Three round trips of a busy node: silence after which it is asked.
constexpr Millis kPingAfter{300};
/// Two questions without a word: 0.7 s after its last word on a busy link, as
/// long as a busy node never is silent.
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
