#include "almondlink/relay/peer_frames.h"
#include "frame_codec.h"

/// Frames about requests that crashed targets.
namespace almondlink::relay {

namespace {

void PutDigest(const control::RequestDigest& digest, Writer& out) {
  out.Put(digest.path);
  out.Put(digest.high);
  out.Put(digest.low);
}

void TakeDigest(Reader& in, control::RequestDigest& digest) {
  in.Take(digest.path);
  in.Take(digest.high);
  in.Take(digest.low);
}

void TakeUpdate(Reader& in, QuarantineUpdate& update) {
  TakeDigest(in, update.digest);
  update.is_completed = in.TakeByte() != 0;
  update.failed_trials = in.TakeVarint32();
  update.age = Millis{in.TakeVarint32()};
  const std::size_t count = in.TakeVarintCount();
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    std::uint64_t start = 0;
    in.Take(start);
    update.crashed_incarnations.push_back(start);
  }
}

}  // namespace

void Append(const QuarantineFrame& frame, std::string& out) {
  Writer writer(FrameType::kQuarantine, out);
  writer.PutVarint(frame.updates.size());
  for (const QuarantineUpdate& update : frame.updates) {
    PutDigest(update.digest, writer);
    writer.PutByte(update.is_completed ? 1 : 0);
    writer.PutVarint(update.failed_trials);
    writer.PutVarint(static_cast<std::uint64_t>(update.age.count));
    writer.PutVarint(update.crashed_incarnations.size());
    for (const std::uint64_t start : update.crashed_incarnations) {
      writer.Put(start);
    }
  }
}

bool Decode(std::string_view payload, QuarantineFrame& frame) {
  Reader in(payload);
  frame.updates.clear();
  const std::size_t count = in.TakeVarintCount();
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    TakeUpdate(in, frame.updates.emplace_back());
  }
  return in.IsGood();
}

void Append(const TrialRequestFrame& frame, std::string& out) {
  Writer writer(FrameType::kTrialRequest, out);
  PutDigest(frame.digest, writer);
  writer.PutText(frame.service);
  writer.Put(frame.remaining_ms);
}

bool Decode(std::string_view payload, TrialRequestFrame& frame) {
  Reader in(payload);
  TakeDigest(in, frame.digest);
  in.TakeText(frame.service);
  in.Take(frame.remaining_ms);
  return in.IsGood();
}

void Append(const TrialResponseFrame& frame, std::string& out) {
  Writer writer(FrameType::kTrialResponse, out);
  PutDigest(frame.digest, writer);
  writer.PutText(frame.node);
}

bool Decode(std::string_view payload, TrialResponseFrame& frame) {
  Reader in(payload);
  TakeDigest(in, frame.digest);
  in.TakeText(frame.node);
  return in.IsGood();
}

void Append(const TrialEndedFrame& frame, std::string& out) {
  Writer writer(FrameType::kTrialEnded, out);
  PutDigest(frame.digest, writer);
}

bool Decode(std::string_view payload, TrialEndedFrame& frame) {
  Reader in(payload);
  TakeDigest(in, frame.digest);
  return in.IsGood();
}

}  // namespace almondlink::relay
