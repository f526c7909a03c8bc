#include "almondlink/relay/peer_frames.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <cmath>
#include <cstring>

namespace almondlink::relay {

namespace {

constexpr std::size_t kHeadSize = 5;
/// Fractions travel as whole thousandths.
constexpr double kThousand = 1000;

/// Writes one frame; the length is filled in at the end.
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
    this->out.append(text);
  }
  void PutFraction(double value) {
    this->Put(static_cast<std::uint32_t>(std::lround(value * kThousand)));
  }

 private:
  std::string& out;
  std::size_t start;
};

/// Reads a payload; after its end every value is empty and `is_good` false.
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
  double TakeFraction() {
    std::uint32_t value = 0;
    this->Take(value);
    return value / kThousand;
  }
  /// Entries of a list; a count that the payload cannot hold is refused.
  std::uint32_t TakeCount() {
    std::uint32_t count = 0;
    this->Take(count);
    if (count > this->rest.size()) {
      this->is_good = false;
      return 0;
    }
    return count;
  }
  bool IsGood() const { return this->is_good; }

 private:
  std::string_view rest;
  bool is_good = true;
};

constexpr std::array<const char*, 12> kReasonNames = {
    "none",       "draining",       "no-instance", "other-instance",
    "full",       "connect-failed", "deadline",    "closed",
    "bad-answer", "timeout",        "link-lost",   "link-busy"};

void PutAddress(const NodeAddress& node, Writer& out) {
  out.PutText(node.name);
  out.PutText(node.address);
  out.Put(node.incarnation);
}

void TakeAddress(Reader& in, NodeAddress& node) {
  in.TakeText(node.name);
  in.TakeText(node.address);
  in.Take(node.incarnation);
}

}  // namespace

const char* ToString(CallReason reason) {
  const auto index = static_cast<std::size_t>(reason);
  return index < kReasonNames.size() ? kReasonNames[index] : "unknown";
}

std::optional<RawFrame> NextFrame(std::string_view input, bool& is_bad) {
  if (input.size() < kHeadSize) {
    return std::nullopt;
  }
  std::uint32_t size = 0;
  std::memcpy(&size, input.data(), sizeof(size));
  size = boost::endian::big_to_native(size);
  if (size == 0 || size > kMaxFrame) {
    is_bad = true;
    return std::nullopt;
  }
  if (input.size() < 4 + static_cast<std::size_t>(size)) {
    return std::nullopt;
  }
  RawFrame frame;
  frame.type = static_cast<FrameType>(input[4]);
  frame.payload = input.substr(kHeadSize, size - 1);
  frame.size = 4 + static_cast<std::size_t>(size);
  return frame;
}

void Append(const HelloFrame& frame, std::string& out) {
  Writer writer(FrameType::kHello, out);
  PutAddress(frame.self, writer);
  writer.PutText(frame.zone);
  writer.PutText(frame.deployment);
  writer.Put(static_cast<std::uint32_t>(frame.others.size()));
  for (const NodeAddress& node : frame.others) {
    PutAddress(node, writer);
  }
  writer.Put(static_cast<std::uint32_t>(frame.remembered.size()));
  for (const InstanceRecord& record : frame.remembered) {
    writer.PutText(record.node);
    writer.PutText(record.instance);
    writer.Put(record.sequence);
    writer.PutByte(static_cast<std::uint8_t>(record.state));
  }
}

bool Decode(std::string_view payload, HelloFrame& frame) {
  Reader in(payload);
  TakeAddress(in, frame.self);
  in.TakeText(frame.zone);
  in.TakeText(frame.deployment);
  frame.others.resize(in.TakeCount());
  for (NodeAddress& node : frame.others) {
    TakeAddress(in, node);
  }
  frame.remembered.resize(in.TakeCount());
  for (InstanceRecord& record : frame.remembered) {
    in.TakeText(record.node);
    in.TakeText(record.instance);
    in.Take(record.sequence);
    record.state = static_cast<InstanceState>(in.TakeByte());
  }
  return in.IsGood();
}

void Append(const StateFrame& frame, std::string& out) {
  Writer writer(FrameType::kState, out);
  writer.Put(frame.policy_version);
  writer.PutByte(frame.is_stopping ? 1 : 0);
  writer.PutText(frame.service);
  writer.PutText(frame.zone);
  writer.PutText(frame.instance);
  writer.Put(frame.sequence);
  writer.PutByte(static_cast<std::uint8_t>(frame.state));
  writer.Put(frame.slots);
  writer.Put(frame.running);
  writer.Put(frame.waiting);
  writer.PutFraction(frame.work_ms);
  writer.PutFraction(frame.calls_per_run);
  writer.Put(static_cast<std::uint32_t>(frame.demand.size()));
  for (const control::RouteDemand& entry : frame.demand) {
    writer.Put(entry.route);
    writer.PutFraction(entry.calls_per_s);
    writer.PutFraction(entry.work_ms);
  }
  writer.Put(static_cast<std::uint32_t>(frame.roots.size()));
  for (const control::RootRate& entry : frame.roots) {
    writer.Put(entry.route);
    writer.PutFraction(entry.offered_per_s);
    writer.PutFraction(entry.let_in_per_s);
  }
}

bool Decode(std::string_view payload, StateFrame& frame) {
  Reader in(payload);
  in.Take(frame.policy_version);
  frame.is_stopping = in.TakeByte() != 0;
  in.TakeText(frame.service);
  in.TakeText(frame.zone);
  in.TakeText(frame.instance);
  in.Take(frame.sequence);
  frame.state = static_cast<InstanceState>(in.TakeByte());
  in.Take(frame.slots);
  in.Take(frame.running);
  in.Take(frame.waiting);
  frame.work_ms = in.TakeFraction();
  frame.calls_per_run = in.TakeFraction();
  frame.demand.resize(in.TakeCount());
  for (control::RouteDemand& entry : frame.demand) {
    in.Take(entry.route);
    entry.calls_per_s = in.TakeFraction();
    entry.work_ms = in.TakeFraction();
  }
  frame.roots.resize(in.TakeCount());
  for (control::RootRate& entry : frame.roots) {
    in.Take(entry.route);
    entry.offered_per_s = in.TakeFraction();
    entry.let_in_per_s = in.TakeFraction();
  }
  return in.IsGood();
}

void Append(const CallFrame& frame, std::string& out) {
  Writer writer(FrameType::kCall, out);
  writer.Put(frame.id);
  writer.Put(frame.sent_ms);
  writer.Put(frame.left_ms);
  writer.Put(frame.wait_ms);
  writer.PutByte(static_cast<std::uint8_t>((frame.is_repeatable ? 1U : 0U) |
                                           (frame.is_repeat ? 2U : 0U)));
  writer.PutByte(frame.depth);
  writer.PutByte(frame.priority);
  writer.Put(frame.root_route);
  writer.PutText(frame.instance);
  writer.PutText(frame.caller_service);
  writer.PutText(frame.request_id);
  writer.PutText(frame.method);
  writer.PutText(frame.target);
  writer.PutText(frame.fields);
  writer.PutText(frame.body);
}

bool Decode(std::string_view payload, CallFrame& frame) {
  Reader in(payload);
  in.Take(frame.id);
  in.Take(frame.sent_ms);
  in.Take(frame.left_ms);
  in.Take(frame.wait_ms);
  const std::uint8_t flags = in.TakeByte();
  frame.is_repeatable = (flags & 1U) != 0;
  frame.is_repeat = (flags & 2U) != 0;
  frame.depth = in.TakeByte();
  frame.priority = in.TakeByte();
  in.Take(frame.root_route);
  in.TakeText(frame.instance);
  in.TakeText(frame.caller_service);
  in.TakeText(frame.request_id);
  in.TakeText(frame.method);
  in.TakeText(frame.target);
  in.TakeText(frame.fields);
  in.TakeText(frame.body);
  return in.IsGood();
}

void Append(const AnswerFrame& frame, std::string& out) {
  Writer writer(FrameType::kAnswer, out);
  writer.Put(frame.id);
  writer.PutByte(static_cast<std::uint8_t>(frame.outcome));
  writer.PutByte(static_cast<std::uint8_t>(frame.reason));
  writer.PutByte(frame.has_more ? 1 : 0);
  writer.Put(frame.status);
  writer.Put(frame.running);
  writer.Put(frame.waiting);
  writer.Put(frame.work_us);
  writer.PutText(frame.status_text);
  writer.PutText(frame.fields);
  writer.PutText(frame.body);
}

bool Decode(std::string_view payload, AnswerFrame& frame) {
  Reader in(payload);
  in.Take(frame.id);
  frame.outcome = static_cast<CallOutcome>(in.TakeByte());
  frame.reason = static_cast<CallReason>(in.TakeByte());
  frame.has_more = in.TakeByte() != 0;
  in.Take(frame.status);
  in.Take(frame.running);
  in.Take(frame.waiting);
  in.Take(frame.work_us);
  in.TakeText(frame.status_text);
  in.TakeText(frame.fields);
  in.TakeText(frame.body);
  return in.IsGood();
}

void Append(const DataFrame& frame, std::string& out) {
  Writer writer(FrameType::kData, out);
  writer.Put(frame.id);
  writer.PutByte(static_cast<std::uint8_t>((frame.is_last ? 1U : 0U) |
                                           (frame.is_broken ? 2U : 0U)));
  writer.PutText(frame.body);
}

bool Decode(std::string_view payload, DataFrame& frame) {
  Reader in(payload);
  in.Take(frame.id);
  const std::uint8_t flags = in.TakeByte();
  frame.is_last = (flags & 1U) != 0;
  frame.is_broken = (flags & 2U) != 0;
  in.TakeText(frame.body);
  return in.IsGood();
}

void Append(const WindowFrame& frame, std::string& out) {
  Writer writer(FrameType::kWindow, out);
  writer.Put(frame.id);
  writer.Put(frame.bytes);
}

bool Decode(std::string_view payload, WindowFrame& frame) {
  Reader in(payload);
  in.Take(frame.id);
  in.Take(frame.bytes);
  return in.IsGood();
}

void AppendPolicy(std::string_view policy, std::string& out) {
  Writer writer(FrameType::kPolicy, out);
  writer.PutText(policy);
}

void AppendCancel(std::uint32_t id, std::string& out) {
  Writer writer(FrameType::kCancel, out);
  writer.Put(id);
}

bool DecodeCancel(std::string_view payload, std::uint32_t& id) {
  Reader in(payload);
  in.Take(id);
  return in.IsGood();
}

void AppendPing(std::string& out) {
  const Writer writer(FrameType::kPing, out);
}

void AppendSeen(std::uint64_t sequence, std::string& out) {
  Writer writer(FrameType::kSeen, out);
  writer.Put(sequence);
}

bool DecodeSeen(std::string_view payload, std::uint64_t& sequence) {
  Reader in(payload);
  in.Take(sequence);
  return in.IsGood();
}

}  // namespace almondlink::relay
