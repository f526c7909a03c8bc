#include "almondlink/relay/peer_frames.h"

#include <array>
#include <cstring>

#include "frame_codec.h"

namespace almondlink::relay {

namespace {

constexpr std::array<const char*, 16> kReasonNames = {
    "none",         "draining",       "no-instance",  "other-instance",
    "full",         "connect-failed", "deadline",     "closed",
    "bad-answer",   "timeout",        "link-lost",    "link-busy",
    "target-ended", "ends-targets",   "rate-limited", "moved"};

}  // namespace

const char* ToString(CallReason reason) {
  const auto index = static_cast<std::size_t>(reason);
  return index < kReasonNames.size() ? kReasonNames[index] : "unknown";
}

std::size_t FrameSize(std::string_view input) {
  if (input.size() < kHeaderSize) {
    return 0;
  }
  std::uint32_t size = 0;
  std::memcpy(&size, input.data(), sizeof(size));
  return sizeof(size) + boost::endian::big_to_native(size);
}

std::optional<RawFrame> NextFrame(std::string_view input, bool& is_bad) {
  const std::size_t whole = FrameSize(input);
  if (whole == 0) {
    return std::nullopt;
  }
  const std::size_t size = whole - sizeof(std::uint32_t);
  if (size == 0 || size > kMaxFrameSize) {
    is_bad = true;
    return std::nullopt;
  }
  if (input.size() < whole) {
    return std::nullopt;
  }
  RawFrame frame;
  frame.type = static_cast<FrameType>(input[4]);
  frame.payload = input.substr(kHeaderSize, size - 1);
  frame.size = whole;
  return frame;
}

void Append(const CallFrame& frame, std::string& out) {
  Writer writer(FrameType::kCall, out);
  writer.Put(frame.id);
  writer.Put(frame.sent_ms);
  writer.Put(frame.remaining_ms);
  writer.Put(frame.wait_ms);
  writer.PutByte(static_cast<std::uint8_t>((frame.is_repeatable ? 1U : 0U) |
                                           (frame.is_repeat ? 2U : 0U) |
                                           (frame.may_move ? 4U : 0U)));
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
  writer.Put(frame.root_hash);
  writer.Put(frame.route);
}

bool Decode(std::string_view payload, CallFrame& frame) {
  Reader in(payload);
  in.Take(frame.id);
  in.Take(frame.sent_ms);
  in.Take(frame.remaining_ms);
  in.Take(frame.wait_ms);
  const std::uint8_t flags = in.TakeByte();
  frame.is_repeatable = (flags & 1U) != 0;
  frame.is_repeat = (flags & 2U) != 0;
  frame.may_move = (flags & 4U) != 0;
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
  frame.root_hash = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.root_hash);
  }
  frame.route = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.route);
  }
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
  // A truncated list is not sent: its counts would be incomplete.
  writer.PutVarint(frame.run_counts.is_truncated ? 0 : frame.run_counts.size);
  for (std::size_t i = 0;
       !frame.run_counts.is_truncated && i < frame.run_counts.size; ++i) {
    writer.Put(frame.run_counts.entries[i].service);
    writer.PutVarint(frame.run_counts.entries[i].runs);
  }
  writer.PutVarintFraction(frame.error_rate);
  writer.PutVarintFraction(frame.target_work_ms);
  writer.PutVarintFraction(frame.target_calls_per_run);
  PutOptionalRate(frame.limit_per_s, writer);
  writer.PutVarint(frame.limit_wait_ms);
  writer.PutVarintFraction(frame.speed);
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
  frame.run_counts = control::CallCounts();
  const std::size_t count = in.IsAtEnd() ? 0 : in.TakeVarintCount();
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    control::ServiceCount runs;
    in.Take(runs.service);
    runs.runs = in.TakeVarint32();
    control::AddRuns(runs, frame.run_counts);
  }
  frame.error_rate = TakeErrorRate(in);
  frame.target_work_ms = in.IsAtEnd() ? 0 : in.TakeVarintFraction();
  frame.target_calls_per_run = in.IsAtEnd() ? 0 : in.TakeVarintFraction();
  frame.limit_per_s = TakeOptionalRate(in);
  frame.limit_wait_ms = in.IsAtEnd() ? 0 : in.TakeVarint32();
  frame.speed = TakeSpeed(in);
  return in.IsGood();
}

void Append(const DataFrame& frame, std::string& out) {
  Writer writer(FrameType::kData, out);
  writer.Put(frame.id);
  writer.PutByte(static_cast<std::uint8_t>(
      (frame.is_last ? 1U : 0U) | (frame.is_broken ? 2U : 0U) |
      (frame.is_target_crashed ? 4U : 0U)));
  writer.PutText(frame.body);
}

bool Decode(std::string_view payload, DataFrame& frame) {
  Reader in(payload);
  in.Take(frame.id);
  const std::uint8_t flags = in.TakeByte();
  frame.is_last = (flags & 1U) != 0;
  frame.is_broken = (flags & 2U) != 0;
  frame.is_target_crashed = (flags & 4U) != 0;
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

void Append(const QuotaRequestFrame& frame, std::string& out) {
  Writer writer(FrameType::kQuotaRequest, out);
  writer.Put(frame.account);
  writer.PutVarint(frame.wanted);
}

bool Decode(std::string_view payload, QuotaRequestFrame& frame) {
  Reader in(payload);
  in.Take(frame.account);
  frame.wanted = in.TakeVarint32();
  return in.IsGood();
}

void Append(const QuotaLoanFrame& frame, std::string& out) {
  Writer writer(FrameType::kQuotaLoan, out);
  writer.Put(frame.account);
  writer.PutByte(
      static_cast<std::uint8_t>((frame.is_lender ? 1U : 0U) |
                                (frame.loan.is_well_below_limit ? 2U : 0U)));
  writer.PutVarint(frame.loan.granted);
  writer.PutVarint(static_cast<std::uint64_t>(frame.loan.next_request.count));
  writer.PutVarint(static_cast<std::uint64_t>(frame.loan.wait.count));
}

bool Decode(std::string_view payload, QuotaLoanFrame& frame) {
  Reader in(payload);
  in.Take(frame.account);
  const std::uint8_t flags = in.TakeByte();
  frame.is_lender = (flags & 1U) != 0;
  frame.loan.is_well_below_limit = (flags & 2U) != 0;
  frame.loan.granted = in.TakeVarint32();
  frame.loan.next_request = Millis{in.TakeVarint32()};
  frame.loan.wait = Millis{in.TakeVarint32()};
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

void AppendStateConfirmed(const ReportId& report, std::string& out) {
  Writer writer(FrameType::kStateConfirmed, out);
  writer.Put(report.sequence);
  writer.Put(report.started_at);
}

bool DecodeStateConfirmed(std::string_view payload, ReportId& report) {
  Reader in(payload);
  in.Take(report.sequence);
  // Older nodes do not send it.
  report.started_at = 0;
  if (!in.IsAtEnd()) {
    in.Take(report.started_at);
  }
  return in.IsGood();
}

void AppendPolicyRequest(std::uint64_t own_version, std::string& out) {
  Writer writer(FrameType::kPolicyRequest, out);
  writer.Put(own_version);
}

void AppendPolicyVersion(std::uint64_t version, std::string& out) {
  Writer writer(FrameType::kPolicyVersion, out);
  writer.Put(version);
}

bool DecodePolicyVersion(std::string_view payload, std::uint64_t& version) {
  Reader in(payload);
  in.Take(version);
  return in.IsGood();
}

}  // namespace almondlink::relay
