#ifndef ALMONDLINK_BASE_HASH_H_
#define ALMONDLINK_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace almondlink {

/// xxHash64 of `data`; the same on every host. Thread safe.
std::uint64_t StableHash(std::string_view data, std::uint64_t seed = 0);

/// xxHash64 of one number. Thread safe.
std::uint64_t StableHash(std::uint64_t number, std::uint64_t seed = 0);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_HASH_H_
