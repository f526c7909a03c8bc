#ifndef ALMONDLINK_CONFIG_SETTING_H_
#define ALMONDLINK_CONFIG_SETTING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"

namespace almondlink::config {

/// A numeric IP address and a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  /// Whether it was given at all.
  bool IsSet() const { return this->port != 0; }
  /// `ip:port`.
  std::string Text() const;
  /// Whether the address is of the loopback range.
  bool IsLoopback() const;
};

/// Where a parsed value is stored; the alternative is its type.
using SettingSlot = std::variant<std::string*,
                                 Endpoint*,
                                 std::vector<Endpoint>*,
                                 std::vector<std::string>*,
                                 std::int64_t*,
                                 Millis*,
                                 bool*,
                                 double*>;

/// One setting of the schema.
struct Setting {
  const char* section;
  const char* key;
  /// Absent when the setting is required.
  std::optional<std::string> default_text;
  double lowest;
  double highest;
  SettingSlot slot;
};

/// Parses `text` into the slot. Errors: kBadSettings with what is allowed.
/// Not thread safe for one slot.
Result<void> StoreSetting(const Setting& setting, const std::string& text);

/// Parses `ip:port` with a numeric address. Errors: kBadSettings.
Result<Endpoint> ParseEndpoint(const std::string& text);

/// Parses a whole number with a unit: ms, s, min, h. Errors: kBadSettings.
Result<Millis> ParseDuration(const std::string& text);

/// Parses a whole number. Errors: kBadSettings.
Result<std::int64_t> ParseWhole(const std::string& text);

/// Parses a decimal fraction. Errors: kBadSettings.
Result<double> ParseFraction(const std::string& text);

/// Parses `true` or `false`. Errors: kBadSettings.
Result<bool> ParseBool(const std::string& text);

/// Words separated by spaces.
std::vector<std::string> SplitWords(const std::string& text);

}  // namespace almondlink::config

#endif  // ALMONDLINK_CONFIG_SETTING_H_
