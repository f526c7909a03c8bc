#include "almondlink/control/idempotency_key.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <vector>

namespace almondlink::control {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::array<std::size_t, 4> kDashes = {8, 13, 18, 23};
constexpr std::size_t kVersionIndex = 14;
constexpr std::size_t kVariantIndex = 19;
constexpr std::size_t kMintedParts = 6;
constexpr const char* kMintedPrefix = "m1";

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

bool IsDashIndex(std::size_t at) {
  for (const std::size_t dash : kDashes) {
    if (dash == at) {
      return true;
    }
  }
  return false;
}

bool IsUuid7(const std::string& text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_valid = IsDashIndex(i) ? text[i] == '-' : IsHexDigit(text[i]);
    if (!is_valid) {
      return false;
    }
  }
  const std::string variants = "89abAB";
  return text[kVersionIndex] == '7' &&
         variants.find(text[kVariantIndex]) != std::string::npos;
}

template <typename Number>
bool ParseNumber(const std::string& text, Number& number) {
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

/// The node id may contain dots, so the text is split from its end.
std::vector<std::string> SplitMinted(const std::string& text) {
  std::vector<std::string> parts(kMintedParts);
  std::size_t end = text.size();
  for (std::size_t i = kMintedParts - 1; i >= 2; --i) {
    const std::size_t dot =
        end == 0 ? std::string::npos : text.rfind('.', end - 1);
    if (dot == std::string::npos) {
      return {};
    }
    parts[i] = text.substr(dot + 1, end - dot - 1);
    end = dot;
  }
  const std::size_t first = text.find('.');
  if (first >= end) {
    return {};
  }
  parts[0] = text.substr(0, first);
  parts[1] = text.substr(first + 1, end - first - 1);
  return parts;
}

}  // namespace

std::string MintedKeyBody(const MintedKey& key) {
  return std::string(kMintedPrefix) + "." + key.node.Value() + "." +
         std::to_string(key.incarnation.Value()) + "." +
         std::to_string(key.sequence) + "." +
         std::to_string(key.created_at.count);
}

std::string MintedKeyText(const MintedKey& key) {
  return MintedKeyBody(key) + "." + key.mac;
}

std::optional<MintedKey> ParseMintedKey(const std::string& text) {
  const std::vector<std::string> parts = SplitMinted(text);
  if (parts.empty() || parts[0] != kMintedPrefix) {
    return std::nullopt;
  }
  MintedKey key;
  std::uint64_t incarnation = 0;
  const bool is_parsed = ParseNumber(parts[2], incarnation) &&
                         ParseNumber(parts[3], key.sequence) &&
                         ParseNumber(parts[4], key.created_at.count) &&
                         !parts[1].empty() && !parts[5].empty();
  if (!is_parsed) {
    return std::nullopt;
  }
  key.node = NodeId(parts[1]);
  key.incarnation = Incarnation(incarnation);
  key.mac = parts[5];
  return key;
}

std::optional<Millis> TimeOfUuid7(const std::string& text) {
  if (!IsUuid7(text)) {
    return std::nullopt;
  }
  const std::string digits = text.substr(0, 8) + text.substr(9, 4);
  std::int64_t created_at = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), created_at, 16);
  return Millis{created_at};
}

std::string MakeUuid7(Millis created_at,
                      std::uint64_t high,
                      std::uint64_t low) {
  constexpr std::uint64_t kVersion = 0x7000;
  constexpr std::uint64_t kVariant = 0x8000;
  std::array<char, 2 * kUuidLength> text{};
  std::snprintf(
      text.data(), text.size(), "%08llx-%04llx-%04llx-%04llx-%012llx",
      (static_cast<unsigned long long>(created_at.count) >> 16) & 0xffffffff,
      static_cast<unsigned long long>(created_at.count) & 0xffff,
      static_cast<unsigned long long>(kVersion | (high & 0x0fff)),
      static_cast<unsigned long long>(kVariant | ((high >> 16) & 0x3fff)),
      static_cast<unsigned long long>(low & 0xffffffffffffULL));
  return text.data();
}

ErrorKind CheckKeyAge(Millis created_at, Millis now, Millis lifetime) {
  const bool is_future = created_at > now + kMaxClockSkew;
  const bool is_old = now - created_at > lifetime;
  return is_future || is_old ? ErrorKind::kKeyExpired : ErrorKind::kNone;
}

}  // namespace almondlink::control
