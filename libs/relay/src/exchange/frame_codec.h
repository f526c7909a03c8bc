#ifndef ALMONDLINK_RELAY_SRC_EXCHANGE_FRAME_CODEC_H_
#define ALMONDLINK_RELAY_SRC_EXCHANGE_FRAME_CODEC_H_

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cmath>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>

#include "almondlink/relay/peer_frames.h"

/// Encoding and decoding of frame fields (almondlink/relay/peer_frames.h).
namespace almondlink::relay {

constexpr std::size_t kHeaderSize = 5;
/// Fixed-size fractions are encoded in thousandths.
constexpr double kFractionScale = 1000;
/// Varint fractions are encoded in hundredths; rates and times are not known
/// more precisely than that.
constexpr double kVarintFractionScale = 100;
constexpr std::uint64_t kVarintBase = 128;
/// Upper limit of an encoded varint fraction. Real rates and times are far
/// below it, and a double keeps all digits up to here.
constexpr std::uint64_t kMaxVarintFraction = 1ULL << 48;

/// From this size of a text on, the buffer gets room for what follows. To grow
/// later it would be copied, and hold the text twice for a moment.
constexpr std::size_t kLargeText = 1024 * 1024;
constexpr std::size_t kRoomAfterText = 1024 * 1024;

/// Writes one frame. The destructor fills in its length.
class Writer {
 public:
  Writer(FrameType type, std::string& out_in)
      : out(out_in), start(out_in.size()) {
    this->out.append(4, '\0');
    this->out.push_back(static_cast<char>(type));
  }
  ~Writer() {
    const auto size =
        static_cast<std::uint32_t>(this->out.size() - this->start - 4);
    const std::uint32_t wire = boost::endian::native_to_big(size);
    std::memcpy(&this->out[this->start], &wire, sizeof(wire));
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  template <typename Number>
  void Put(Number number) {
    const Number wire = boost::endian::native_to_big(number);
    this->out.append(reinterpret_cast<const char*>(&wire), sizeof(wire));
  }
  void PutByte(std::uint8_t byte) {
    this->out.push_back(static_cast<char>(byte));
  }
  void PutText(std::string_view text) {
    this->Put(static_cast<std::uint32_t>(text.size()));
    if (text.size() >= kLargeText) {
      this->out.reserve(this->out.size() + text.size() + kRoomAfterText);
    }
    this->out.append(text);
  }
  /// Writes a variable-length number: seven bits a byte, lowest first. Small
  /// numbers take one byte.
  void PutVarint(std::uint64_t number) {
    while (number >= kVarintBase) {
      this->PutByte(
          static_cast<std::uint8_t>(number % kVarintBase + kVarintBase));
      number /= kVarintBase;
    }
    this->PutByte(static_cast<std::uint8_t>(number));
  }
  void PutVarintFraction(double value) {
    this->PutVarint(static_cast<std::uint64_t>(
        std::llround(std::max(0.0, value) * kVarintFractionScale)));
  }
  void PutFraction(double value) {
    this->Put(static_cast<std::uint32_t>(std::lround(value * kFractionScale)));
  }

 private:
  std::string& out;
  std::size_t start;
};

/// Reads a payload. Reads beyond its end return empty values and clear
/// `is_good`.
class Reader {
 public:
  explicit Reader(std::string_view payload) : rest(payload) {}

  template <typename Number>
  void Take(Number& number) {
    if (this->rest.size() < sizeof(number)) {
      this->is_good = false;
      number = 0;
      return;
    }
    std::memcpy(&number, this->rest.data(), sizeof(number));
    number = boost::endian::big_to_native(number);
    this->rest.remove_prefix(sizeof(number));
  }
  std::uint8_t TakeByte() {
    std::uint8_t byte = 0;
    this->Take(byte);
    return byte;
  }
  void TakeText(std::string_view& text) {
    std::uint32_t size = 0;
    this->Take(size);
    if (size > this->rest.size()) {
      this->is_good = false;
      size = 0;
    }
    text = this->rest.substr(0, size);
    this->rest.remove_prefix(size);
  }
  void TakeText(std::string& text) {
    std::string_view view;
    this->TakeText(view);
    text.assign(view);
  }
  std::uint64_t TakeVarint() {
    constexpr int kMaxBits = 63;
    std::uint64_t number = 0;
    for (int bits = 0; bits < kMaxBits; bits += 7) {
      const std::uint8_t byte = this->TakeByte();
      number |= static_cast<std::uint64_t>(byte % kVarintBase) << bits;
      if (byte < kVarintBase) {
        return number;
      }
    }
    this->is_good = false;
    return 0;
  }
  std::uint32_t TakeVarint32() {
    const std::uint64_t number = this->TakeVarint();
    this->is_good =
        this->is_good && number <= std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(number);
  }
  double TakeVarintFraction() {
    const std::uint64_t number = this->TakeVarint();
    this->is_good = this->is_good && number < kMaxVarintFraction;
    return static_cast<double>(number) / kVarintFractionScale;
  }
  double TakeFraction() {
    std::uint32_t value = 0;
    this->Take(value);
    return value / kFractionScale;
  }
  /// Reads the length of a list. A length larger than the rest of the payload
  /// is an error.
  std::uint32_t TakeCount() {
    std::uint32_t count = 0;
    this->Take(count);
    if (count > this->rest.size()) {
      this->is_good = false;
      return 0;
    }
    return count;
  }
  /// The same for a length that was written as a varint.
  std::size_t TakeVarintCount() {
    const std::uint64_t count = this->TakeVarint();
    if (count > this->rest.size()) {
      this->is_good = false;
      return 0;
    }
    return static_cast<std::size_t>(count);
  }
  bool IsAtEnd() const { return this->rest.empty(); }
  bool IsGood() const { return this->is_good; }

 private:
  std::string_view rest;
  bool is_good = true;
};

/// Reads a target's error rate; older nodes do not send it.
/// A rate that may be absent, as older nodes always leave it.
inline void PutOptionalRate(const std::optional<double>& rate, Writer& out) {
  out.PutByte(rate.has_value() ? 1 : 0);
  if (rate.has_value()) {
    out.PutVarintFraction(*rate);
  }
}

inline std::optional<double> TakeOptionalRate(Reader& in) {
  const bool has_rate = !in.IsAtEnd() && in.TakeByte() != 0;
  return has_rate ? std::optional<double>(in.TakeVarintFraction())
                  : std::nullopt;
}

inline double TakeErrorRate(Reader& in) {
  return in.IsAtEnd() ? 0 : std::min(1.0, in.TakeVarintFraction());
}

/// Speed of a target; older nodes do not send it.
inline double TakeSpeed(Reader& in) {
  return in.IsAtEnd() ? 0 : in.TakeVarintFraction();
}

/// Fields of a load, which are part of several frames.
void PutLoad(const LoadFrame& load, Writer& out);
void TakeLoad(Reader& in, LoadFrame& load);

inline void PutAddress(const NodeAddress& node, Writer& out) {
  out.PutText(node.name);
  out.PutText(node.address);
  out.Put(node.incarnation);
}

inline void TakeAddress(Reader& in, NodeAddress& node) {
  in.TakeText(node.name);
  in.TakeText(node.address);
  in.Take(node.incarnation);
}

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_EXCHANGE_FRAME_CODEC_H_
