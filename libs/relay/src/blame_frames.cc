#include "almondlink/relay/peer_frames.h"
#include "frame_codec.h"

/// Frames of requests that targets ended under.
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

void TakeNews(Reader& in, BlameNews& news) {
  TakeDigest(in, news.digest);
  news.is_whole = in.TakeByte() != 0;
  news.failed_trials = in.TakeShortNumber();
  news.age = Millis{in.TakeShortNumber()};
  const std::size_t count = in.TakeShortCount();
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    std::uint64_t start = 0;
    in.Take(start);
    news.starts.push_back(start);
  }
}

}  // namespace

void Append(const BlameFrame& frame, std::string& out) {
  Writer writer(FrameType::kBlame, out);
  writer.PutShort(frame.news.size());
  for (const BlameNews& news : frame.news) {
    PutDigest(news.digest, writer);
    writer.PutByte(news.is_whole ? 1 : 0);
    writer.PutShort(news.failed_trials);
    writer.PutShort(static_cast<std::uint64_t>(news.age.count));
    writer.PutShort(news.starts.size());
    for (const std::uint64_t start : news.starts) {
      writer.Put(start);
    }
  }
}

bool Decode(std::string_view payload, BlameFrame& frame) {
  Reader in(payload);
  frame.news.clear();
  const std::size_t count = in.TakeShortCount();
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    TakeNews(in, frame.news.emplace_back());
  }
  return in.IsGood();
}

void Append(const TrialAskFrame& frame, std::string& out) {
  Writer writer(FrameType::kTrialAsk, out);
  PutDigest(frame.digest, writer);
  writer.PutText(frame.service);
  writer.Put(frame.left_ms);
}

bool Decode(std::string_view payload, TrialAskFrame& frame) {
  Reader in(payload);
  TakeDigest(in, frame.digest);
  in.TakeText(frame.service);
  in.Take(frame.left_ms);
  return in.IsGood();
}

void Append(const TrialAnswerFrame& frame, std::string& out) {
  Writer writer(FrameType::kTrialAnswer, out);
  PutDigest(frame.digest, writer);
  writer.PutText(frame.node);
}

bool Decode(std::string_view payload, TrialAnswerFrame& frame) {
  Reader in(payload);
  TakeDigest(in, frame.digest);
  in.TakeText(frame.node);
  return in.IsGood();
}

void Append(const TrialOverFrame& frame, std::string& out) {
  Writer writer(FrameType::kTrialOver, out);
  PutDigest(frame.digest, writer);
}

bool Decode(std::string_view payload, TrialOverFrame& frame) {
  Reader in(payload);
  TakeDigest(in, frame.digest);
  return in.IsGood();
}

}  // namespace almondlink::relay
