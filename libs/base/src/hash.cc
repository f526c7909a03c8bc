#include "almondlink/base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace almondlink {

std::uint64_t StableHash(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::uint64_t StableHash(std::uint64_t number, std::uint64_t seed) {
  return XXH64(&number, sizeof(number), seed);
}

}  // namespace almondlink
