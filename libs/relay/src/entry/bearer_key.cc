#include "almondlink/relay/bearer_key.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string_view>

namespace almondlink::relay {

namespace {

/// Maximum length of a key. The fields of a request are bounded anyway; a
/// longer key would only cost hashing.
constexpr std::size_t kMaxKeyLength = 4096;

/// Accepts visible ASCII, which is wider than the token68 of RFC 6750 because
/// operators choose the keys.
bool IsKeyCharacter(char c) {
  return c > ' ' && c <= '~';
}

std::string_view Trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

BearerKey ReadBearerKey(const RequestHead& head) {
  BearerKey result;
  if (head.credential_count == 0) {
    return result;
  }
  if (head.credential_count > 1) {
    result.status = BearerKeyStatus::kMalformed;
    return result;
  }
  const std::string_view value = Trimmed(head.credentials);
  const std::string_view scheme = value.substr(0, value.find_first_of(" \t"));
  const bool is_bearer = boost::beast::iequals(
      boost::beast::string_view(scheme.data(), scheme.size()), "bearer");
  if (!is_bearer) {
    return result;
  }
  const std::string_view key = Trimmed(value.substr(scheme.size()));
  const bool is_key = !key.empty() && key.size() <= kMaxKeyLength &&
                      std::all_of(key.begin(), key.end(), IsKeyCharacter);
  if (!is_key) {
    result.status = BearerKeyStatus::kMalformed;
    return result;
  }
  result.status = BearerKeyStatus::kPresent;
  result.key.assign(key);
  return result;
}

}  // namespace almondlink::relay
