#ifndef ALMONDLINK_CONTROL_LINK_SILENCE_H_
#define ALMONDLINK_CONTROL_LINK_SILENCE_H_

#include <cstdint>

#include "almondlink/base/clock.h"

/// When a node that says nothing on an open link is suspect.
///
/// An idle node tells its state once a second, so silence alone says little: a
/// link may have been silent for most of a second when the first call goes out.
/// The node is asked first, and only a question that stays without any word for
/// a while makes it suspect.
namespace almondlink::control {

/// What one end knows of a link.
struct LinkSilence {
  Millis now;
  /// When anything came from the other end last.
  Millis last_received;
  /// When the other end was asked last; any time before `heard` if never since.
  Millis last_ping;
  /// When it was asked first of the questions that nothing came after.
  Millis first_unanswered_ping;
  /// Calls that wait for an answer on the link.
  std::uint32_t waiting_calls = 0;
};

enum class SilenceAction {
  kNothing,
  /// Ask for a sign of life.
  kPing,
  /// It may stand still, or the way is cut.
  kSuspect,
};

/// What to do now. Pure.
SilenceAction EvaluateSilence(const LinkSilence& link);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_LINK_SILENCE_H_
