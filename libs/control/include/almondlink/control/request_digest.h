#ifndef ALMONDLINK_CONTROL_REQUEST_DIGEST_H_
#define ALMONDLINK_CONTROL_REQUEST_DIGEST_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace almondlink::control {

/// Names a request by what it asks for, whatever its id, its other header
/// fields and its deadline: the same on all nodes. 128 bits of a cryptographic
/// hash, so nobody can make a request that is taken for another account's.
struct RequestDigest {
  /// Hash of the path alone: where nothing is known of a path, the rest need
  /// not be computed.
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

/// As 32 hexadecimal digits, without the path, for logs and the command line.
std::string ToString(const RequestDigest& digest);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_REQUEST_DIGEST_H_
