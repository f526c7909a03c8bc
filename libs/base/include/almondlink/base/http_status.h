#ifndef ALMONDLINK_BASE_HTTP_STATUS_H_
#define ALMONDLINK_BASE_HTTP_STATUS_H_

#include <cstdint>

/// Which status codes of HTTP are answers (RFC 9110, section 15). Both
/// interfaces read answers of targets by this.
namespace almondlink {

enum class StatusClass {
  /// 1xx: another answer to the request follows.
  kInterim,
  /// 200 to 599.
  kFinal,
  /// No answer to a request of ours: below 100, from 600 on, or 101, which
  /// accepts an upgrade that no request asks for.
  kInvalid,
};

/// Thread safe.
constexpr StatusClass ClassOfStatus(std::uint32_t status) {
  constexpr std::uint32_t kFirst = 100;
  constexpr std::uint32_t kSwitchingProtocols = 101;
  constexpr std::uint32_t kFirstFinal = 200;
  constexpr std::uint32_t kEnd = 600;
  if (status < kFirst || status >= kEnd || status == kSwitchingProtocols) {
    return StatusClass::kInvalid;
  }
  return status < kFirstFinal ? StatusClass::kInterim : StatusClass::kFinal;
}

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_HTTP_STATUS_H_
