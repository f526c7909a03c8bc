#include "almondlink/control/link_silence.h"

namespace almondlink::control {

namespace {

/// Three round trips of a busy node: silence after which it is asked.
constexpr Millis kAskAfter{300};
/// Two questions without a word: 0.7 s after its last word on a busy link, as
/// long as a busy node never is silent.
constexpr Millis kSuspectAfterAsked{400};

}  // namespace

SilenceStep StepOnSilence(const LinkSilence& link) {
  if (link.calls_out == 0 || link.now - link.heard < kAskAfter) {
    return SilenceStep::kNothing;
  }
  const bool is_asked = link.first_asked > link.heard;
  if (is_asked && link.now - link.first_asked >= kSuspectAfterAsked) {
    return SilenceStep::kSuspect;
  }
  return link.now - link.asked >= kAskAfter ? SilenceStep::kAsk
                                            : SilenceStep::kNothing;
}

}  // namespace almondlink::control
