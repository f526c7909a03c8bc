#include "almondlink/relay/content_digest.h"

#include <sodium.h>

#include <array>
#include <boost/endian/conversion.hpp>
#include <cstring>

#include "almondlink/base/hash.h"

namespace almondlink::relay {

namespace {

constexpr std::size_t kDigestSize = 2 * sizeof(std::uint64_t);

/// Prefixes each text with its length, so that different lists of texts never
/// yield the same bytes.
void Add(std::string_view text, crypto_generichash_state& state) {
  const std::uint64_t size =
      boost::endian::native_to_big(static_cast<std::uint64_t>(text.size()));
  std::array<unsigned char, sizeof(size)> head{};
  std::memcpy(head.data(), &size, sizeof(size));
  crypto_generichash_update(&state, head.data(), head.size());
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

}  // namespace

std::uint64_t PathHashOf(std::string_view target) {
  return StableHash(target);
}

control::RequestDigest DigestOf(const RequestContent& content) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kDigestSize);
  Add(content.deployment, state);
  Add(content.host, state);
  Add(content.method, state);
  Add(content.target, state);
  Add(content.account, state);
  Add(content.body, state);
  std::array<unsigned char, kDigestSize> bytes{};
  crypto_generichash_final(&state, bytes.data(), bytes.size());
  control::RequestDigest digest;
  digest.path = PathHashOf(content.target);
  std::memcpy(&digest.high, bytes.data(), sizeof(digest.high));
  std::memcpy(&digest.low, bytes.data() + sizeof(digest.high),
              sizeof(digest.low));
  digest.high = boost::endian::big_to_native(digest.high);
  digest.low = boost::endian::big_to_native(digest.low);
  return digest;
}

}  // namespace almondlink::relay
