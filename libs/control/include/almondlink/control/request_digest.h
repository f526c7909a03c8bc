#ifndef ALMONDLINK_CONTROL_REQUEST_DIGEST_H_
#define ALMONDLINK_CONTROL_REQUEST_DIGEST_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace almondlink::control {

/// Identifies a request by its content: its id, its deadline and most header
/// fields are left out, and all nodes compute the same value. 128 bits come
/// from a cryptographic hash, so a client cannot craft a request that collides
/// with one of another account.
struct RequestDigest {
  /// Hash of the path alone. If no request with this path is of interest, the
  /// rest of the digest need not be computed.
  std::uint64_t path = 0;
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

inline bool operator==(const RequestDigest& a, const RequestDigest& b) {
  return a.path == b.path && a.high == b.high && a.low == b.low;
}
inline bool operator!=(const RequestDigest& a, const RequestDigest& b) {
  return !(a == b);
}
inline bool operator<(const RequestDigest& a, const RequestDigest& b) {
  return std::tie(a.path, a.high, a.low) < std::tie(b.path, b.high, b.low);
}

/// 32 hexadecimal digits without the path hash, for logs and the command line.
std::string ToString(const RequestDigest& digest);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_REQUEST_DIGEST_H_
