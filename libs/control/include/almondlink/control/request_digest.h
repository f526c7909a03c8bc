#ifndef ALMONDLINK_CONTROL_REQUEST_DIGEST_H_
#define ALMONDLINK_CONTROL_REQUEST_DIGEST_H_

#include <cstdint>
#include <string>

namespace almondlink::control {

/// Names a request by what it asks for, whatever its id, its other header
/// fields and its deadline: the same on all nodes. 128 bits of a cryptographic
/// hash, so nobody can make a request that is taken for another account's.
struct RequestDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

inline bool operator==(const RequestDigest& a, const RequestDigest& b) {
  return a.high == b.high && a.low == b.low;
}
inline bool operator!=(const RequestDigest& a, const RequestDigest& b) {
  return !(a == b);
}
inline bool operator<(const RequestDigest& a, const RequestDigest& b) {
  return a.high != b.high ? a.high < b.high : a.low < b.low;
}

/// As 32 hexadecimal digits, for logs and the command line.
std::string ToString(const RequestDigest& digest);

/// Reads what ToString wrote; false for anything else.
bool ParseDigest(const std::string& text, RequestDigest& digest);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_REQUEST_DIGEST_H_
