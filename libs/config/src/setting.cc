#include "almondlink/config/setting.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>

namespace almondlink::config {

namespace {

struct Unit {
  const char* name;
  std::int64_t factor;
};

constexpr std::array<Unit, 4> kDurationUnits = {
    {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 3> kSizeUnits = {
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}}};

/// Parses a number and one of `units`. A fraction must give a whole number of
/// the smallest unit: 1.5s, not 1.5ms.
template <std::size_t kCount>
Result<std::int64_t> ParseWithUnit(const std::string& text,
                                   const std::array<Unit, kCount>& units,
                                   const char* allowed) {
  /// Whole numbers up to here are exact in a double.
  constexpr double kLargest = 9007199254740992.0;
  double number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  const std::string unit(parsed.ptr, end);
  if (parsed.ec == std::errc() && number >= 0) {
    for (const Unit& known : units) {
      const double value = number * static_cast<double>(known.factor);
      const bool fits = value <= kLargest && value == std::floor(value);
      if (unit == known.name && fits) {
        return static_cast<std::int64_t>(value);
      }
    }
  }
  return Fail(ErrorKind::kBadSettings,
              "'" + text + "' is not allowed; " + allowed);
}

Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  for (const std::string& word : SplitWords(text)) {
    BOOST_LEAF_AUTO(endpoint, ParseEndpoint(word));
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

std::string Number(double value) {
  std::ostringstream out;
  out.precision(15);
  out << value;
  return out.str();
}

Result<void> CheckRange(const Setting& setting, double value) {
  if (value < setting.lowest || value > setting.highest) {
    return Fail(ErrorKind::kBadSettings,
                "the value is out of range; allowed: " +
                    Number(setting.lowest) + " to " + Number(setting.highest));
  }
  return {};
}

/// Stores into one type of slot each.
struct Store {
  const Setting& setting;
  const std::string& text;

  Result<void> operator()(std::string* slot) const {
    *slot = this->text;
    return {};
  }
  Result<void> operator()(Endpoint* slot) const {
    if (this->text.empty() && this->setting.default_text.has_value()) {
      *slot = Endpoint{};
      return {};
    }
    BOOST_LEAF_ASSIGN(*slot, ParseEndpoint(this->text));
    return {};
  }
  Result<void> operator()(std::vector<Endpoint>* slot) const {
    BOOST_LEAF_ASSIGN(*slot, ParseEndpoints(this->text));
    return {};
  }
  Result<void> operator()(std::vector<std::string>* slot) const {
    *slot = SplitWords(this->text);
    return {};
  }
  Result<void> operator()(std::int64_t* slot) const {
    const bool is_plain =
        this->text.find_first_not_of("0123456789") == std::string::npos;
    if (is_plain) {
      BOOST_LEAF_ASSIGN(*slot, ParseWhole(this->text));
    } else {
      BOOST_LEAF_ASSIGN(*slot,
                        ParseWithUnit(this->text, kSizeUnits,
                                      "allowed: a whole number, or for sizes "
                                      "one with B, KiB or MiB"));
    }
    return CheckRange(this->setting, static_cast<double>(*slot));
  }
  Result<void> operator()(Millis* slot) const {
    BOOST_LEAF_ASSIGN(*slot, ParseDuration(this->text));
    return CheckRange(this->setting, static_cast<double>(slot->count));
  }
  Result<void> operator()(bool* slot) const {
    BOOST_LEAF_ASSIGN(*slot, ParseBool(this->text));
    return {};
  }
  Result<void> operator()(double* slot) const {
    BOOST_LEAF_ASSIGN(*slot, ParseFraction(this->text));
    return CheckRange(this->setting, *slot);
  }
};

}  // namespace

std::string Endpoint::Text() const {
  const bool is_v6 = this->ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + this->ip + "]" : this->ip;
  return host + ":" + std::to_string(this->port);
}

bool Endpoint::IsLoopback() const {
  return this->ip.rfind("127.", 0) == 0 || this->ip == "::1";
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  std::string word;
  while (in >> word) {
    words.push_back(word);
  }
  return words;
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::string allowed =
      "'" + text + "' is not allowed; allowed: a numeric address and port, " +
      "for example 127.0.0.1:8080 or [::1]:8080";
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorKind::kBadSettings, allowed);
  }
  Endpoint endpoint;
  endpoint.ip = text.substr(0, colon);
  const bool is_bracketed = endpoint.ip.size() > 2 &&
                            endpoint.ip.front() == '[' &&
                            endpoint.ip.back() == ']';
  if (is_bracketed) {
    endpoint.ip = endpoint.ip.substr(1, endpoint.ip.size() - 2);
  }
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  const int family = is_bracketed ? AF_INET6 : AF_INET;
  const bool is_address =
      inet_pton(family, endpoint.ip.c_str(), buffer.data()) == 1;
  const std::string digits = text.substr(colon + 1);
  const std::from_chars_result parsed = std::from_chars(
      digits.data(), digits.data() + digits.size(), endpoint.port);
  const bool is_port = parsed.ec == std::errc() &&
                       parsed.ptr == digits.data() + digits.size() &&
                       endpoint.port != 0;
  if (!is_address || !is_port) {
    return Fail(ErrorKind::kBadSettings, allowed);
  }
  return endpoint;
}

Result<Millis> ParseDuration(const std::string& text) {
  BOOST_LEAF_AUTO(count,
                  ParseWithUnit(text, kDurationUnits,
                                "allowed: a number with ms, s, min or h"));
  return Millis{count};
}

Result<std::int64_t> ParseWhole(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(ErrorKind::kBadSettings,
                "'" + text + "' is not allowed; allowed: a whole number");
  }
  return number;
}

Result<double> ParseFraction(const std::string& text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number)) {
    return Fail(ErrorKind::kBadSettings,
                "'" + text + "' is not allowed; allowed: a decimal number");
  }
  return number;
}

Result<bool> ParseBool(const std::string& text) {
  if (text == "true" || text == "false") {
    return text == "true";
  }
  return Fail(ErrorKind::kBadSettings,
              "'" + text + "' is not allowed; allowed: true or false");
}

Result<void> StoreSetting(const Setting& setting, const std::string& text) {
  return std::visit(Store{setting, text}, setting.slot);
}

}  // namespace almondlink::config
