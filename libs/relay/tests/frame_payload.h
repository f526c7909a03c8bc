#ifndef ALMONDLINK_RELAY_TESTS_FRAME_PAYLOAD_H_
#define ALMONDLINK_RELAY_TESTS_FRAME_PAYLOAD_H_

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "almondlink/relay/peer_frames.h"

namespace almondlink::relay {

/// Payload of the only frame in `bytes`, which must be of that type.
inline std::string_view PayloadOf(const std::string& bytes, FrameType type) {
  bool is_bad = false;
  const std::optional<RawFrame> frame = NextFrame(bytes, is_bad);
  REQUIRE(frame.has_value());
  REQUIRE(frame->type == type);
  REQUIRE(frame->size == bytes.size());
  return frame->payload;
}

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_TESTS_FRAME_PAYLOAD_H_
