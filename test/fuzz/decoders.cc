#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "almondlink/config/load_settings.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/policy/bundle.h"
#include "almondlink/policy/fold.h"
#include "almondlink/relay/account_frames.h"
#include "almondlink/relay/bearer_key.h"
#include "almondlink/relay/http_parser.h"
#include "almondlink/relay/peer_frames.h"
#include "almondlink/wire/messages.generated.h"
#include "libs/server/src/answer_reader.h"
#include "platform/guilty_records.h"
#include "platform/instance_reports.h"
#include "platform/leave_records.h"
#include "platform/operator_config.h"
#include "platform/store_client.h"

/// Fuzz target of everything that reads what peers, the log, callers or files
/// send: the first byte picks the decoder. What decodes must encode and decode
/// again to the same bytes.

namespace {

using almondlink::Failure;
using almondlink::HandleFailure;
using almondlink::Result;
using Bytes = std::vector<std::uint8_t>;

template <typename Message>
void RoundTrip(Result<Message> (*decode)(const std::uint8_t*, std::size_t),
               const std::uint8_t* data,
               std::size_t size) {
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(message, decode(data, size));
        const Bytes once = almondlink::wire::Encode(message);
        BOOST_LEAF_AUTO(again, decode(once.data(), once.size()));
        if (almondlink::wire::Encode(again) != once) {
          __builtin_trap();
        }
        return true;
      },
      [](const Failure&) { return false; });
}

void DecodeMessages(const std::uint8_t* data, std::size_t size) {
  namespace wire = almondlink::wire;
  RoundTrip(&wire::DecodeCall, data, size);
  RoundTrip(&wire::DecodeAnswer, data, size);
  RoundTrip(&wire::DecodeHello, data, size);
  RoundTrip(&wire::DecodeProbe, data, size);
  RoundTrip(&wire::DecodeProbeAck, data, size);
  RoundTrip(&wire::DecodeStatePush, data, size);
  RoundTrip(&wire::DecodeClaimBatch, data, size);
  RoundTrip(&wire::DecodeUsageRecord, data, size);
  RoundTrip(&wire::DecodeLogPage, data, size);
}

void ApplyToFold(const std::uint8_t* data, std::size_t size) {
  almondlink::policy::FoldRules rules;
  rules.deployment = "d";
  rules.deployment_key.bytes.assign(32, 1);
  almondlink::policy::FoldState state;
  almondlink::policy::ApplyRecord(
      rules, state, almondlink::policy::LogRecord{0, Bytes(data, data + size)});
}

/// Frames between relay nodes: what decodes encodes to the same bytes, but for
/// fields that a newer node added at the end.
/// Sums are read again as they were written. Fractions are rounded anew each
/// time, so the bytes may differ.
void SumsTrip(std::string_view payload) {
  namespace relay = almondlink::relay;
  almondlink::control::LoadSums sums;
  if (!relay::Decode(payload, sums)) {
    return;
  }
  std::string bytes;
  relay::AppendSums(relay::FrameType::kLoadSums, sums, bytes);
  bool is_bad = false;
  const std::optional<relay::RawFrame> raw = relay::NextFrame(bytes, is_bad);
  almondlink::control::LoadSums again;
  if (!raw.has_value() || !relay::Decode(raw->payload, again) ||
      again.services.size() != sums.services.size() ||
      again.roots.size() != sums.roots.size()) {
    __builtin_trap();
  }
}

void DecisionsTrip(std::string_view payload) {
  namespace relay = almondlink::relay;
  almondlink::control::DecisionSums sums;
  if (!relay::Decode(payload, sums)) {
    return;
  }
  std::string bytes;
  relay::AppendDecisions(relay::FrameType::kDecisionSums, sums, bytes);
  bool is_bad = false;
  const std::optional<relay::RawFrame> raw = relay::NextFrame(bytes, is_bad);
  almondlink::control::DecisionSums again;
  if (!raw.has_value() || !relay::Decode(raw->payload, again) ||
      again.run_times.size() != sums.run_times.size() ||
      again.zones.size() != sums.zones.size()) {
    __builtin_trap();
  }
}

template <typename Frame>
void FrameTrip(std::string_view payload) {
  namespace relay = almondlink::relay;
  Frame frame;
  if (!relay::Decode(payload, frame)) {
    return;
  }
  std::string once;
  relay::Append(frame, once);
  bool is_bad = false;
  const std::optional<relay::RawFrame> raw = relay::NextFrame(once, is_bad);
  Frame again;
  if (!raw.has_value() || !relay::Decode(raw->payload, again)) {
    __builtin_trap();
  }
  std::string twice;
  relay::Append(again, twice);
  if (twice != once) {
    __builtin_trap();
  }
}

void DecodeFrames(const std::string& text) {
  namespace relay = almondlink::relay;
  bool is_bad = false;
  std::string_view rest = text;
  while (const std::optional<relay::RawFrame> frame =
             relay::NextFrame(rest, is_bad)) {
    FrameTrip<relay::HelloFrame>(frame->payload);
    FrameTrip<relay::StateFrame>(frame->payload);
    FrameTrip<relay::LoadFrame>(frame->payload);
    FrameTrip<relay::CallFrame>(frame->payload);
    FrameTrip<relay::AnswerFrame>(frame->payload);
    FrameTrip<relay::DataFrame>(frame->payload);
    FrameTrip<relay::WindowFrame>(frame->payload);
    FrameTrip<relay::QuotaRequestFrame>(frame->payload);
    FrameTrip<relay::QuotaLoanFrame>(frame->payload);
    FrameTrip<relay::QuarantineFrame>(frame->payload);
    FrameTrip<relay::TrialRequestFrame>(frame->payload);
    FrameTrip<relay::TrialResponseFrame>(frame->payload);
    FrameTrip<relay::TrialEndedFrame>(frame->payload);
    FrameTrip<relay::LoadReportFrame>(frame->payload);
    FrameTrip<relay::LeavesFrame>(frame->payload);
    FrameTrip<relay::AccountDemandFrame>(frame->payload);
    FrameTrip<relay::AccountDemandTotalFrame>(frame->payload);
    SumsTrip(frame->payload);
    DecisionsTrip(frame->payload);
    rest.remove_prefix(frame->size);
  }
}

/// A parser fed in pieces of one byte must come to the same end as one that is
/// fed all at once.
template <typename Parser>
void ParseHttp(const std::string& text) {
  static const almondlink::relay::HeaderNames kNames;
  Parser whole(kNames);
  std::string all = text;
  const almondlink::relay::ParseStatus step = whole.Feed(all);
  Parser pieces(kNames);
  std::string fed;
  almondlink::relay::ParseStatus last =
      almondlink::relay::ParseStatus::kNeedMore;
  for (std::size_t i = 0; i < text.size(); ++i) {
    fed.push_back(text[i]);
    last = pieces.Feed(fed);
    if (last != almondlink::relay::ParseStatus::kNeedMore) {
      break;
    }
  }
  if (step == almondlink::relay::ParseStatus::kDone &&
      (last != step || pieces.body != whole.body)) {
    __builtin_trap();
  }
}

/// Whatever a target sends, on a connection that was used before only an answer
/// with the own id is delivered, and cuts of the bytes change nothing.
void ReadAnswer(const std::string& text) {
  namespace server = almondlink::server;
  const std::string own = "own0";
  const std::string tail = "HTTP/1.1 200 OK\r\nAlmondlink-Attempt-Id: " + own +
                           "\r\nContent-Length: 4\r\n\r\nmine";
  server::ExpectedAnswer expected;
  expected.id = own;
  expected.trust.is_first_request = false;
  const auto read = [&](std::size_t piece) {
    server::AnswerReader reader(expected, {4096, 4096});
    boost::beast::flat_buffer input;
    const std::string all = text + tail;
    server::ReadStep step = server::ReadStep::kNeedMore;
    for (std::size_t at = 0;
         at < all.size() && step == server::ReadStep::kNeedMore; at += piece) {
      const std::string part = all.substr(at, piece);
      std::memcpy(input.prepare(part.size()).data(), part.data(), part.size());
      input.commit(part.size());
      step = reader.Feed(input);
    }
    if (step == server::ReadStep::kDone && !reader.HasOwnId()) {
      __builtin_trap();
    }
    return step;
  };
  if (read(1) != read(text.size() + tail.size())) {
    __builtin_trap();
  }
}

/// A key that was read is one that a policy can hold.
void ReadKey(const std::string& text) {
  namespace relay = almondlink::relay;
  static const relay::HeaderNames kNames;
  relay::RequestParser parser(kNames);
  std::string rest = "GET / HTTP/1.1\r\nAuthorization: " + text + "\r\n\r\n";
  if (parser.Feed(rest) != relay::ParseStatus::kDone) {
    return;
  }
  const relay::BearerKey key = relay::ReadBearerKey(parser.head);
  const bool is_read = key.status == relay::BearerKeyStatus::kPresent;
  if (is_read != !key.key.empty() ||
      key.key.find_first_of(" \t\r\n") != std::string::npos) {
    __builtin_trap();
  }
}

/// What other programs write on the users' platform: whatever it is, it is read
/// or refused, and what is read is within its bounds.
void ReadEntries(const std::string& text) {
  namespace platform = almondlink::platform;
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(report, platform::ParseHeartbeat("i-1", text));
        if (report.capacity == 0 || report.service.empty()) {
          __builtin_trap();
        }
        return true;
      },
      [](const Failure&) { return false; });
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(platform::ParseLeave("i-1", text));
        return true;
      },
      [](const Failure&) { return false; });
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(table, platform::ParseConfig(text));
        for (const almondlink::policy::Route& route : table->routes) {
          if (route.timeout < almondlink::Millis{0}) {
            __builtin_trap();
          }
        }
        return true;
      },
      [](const Failure&) { return false; });
  HandleFailure(
      [&]() -> Result<bool> {
        almondlink::control::RequestDigest digest;
        almondlink::control::QuarantineRecord blame;
        BOOST_LEAF_CHECK(
            platform::DecodeGuilty({"ends/1", text}, digest, blame));
        if (blame.crashed_incarnations.size() >
            almondlink::control::kMaxCrashedIncarnations) {
          __builtin_trap();
        }
        return true;
      },
      [](const Failure&) { return false; });
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(leave, platform::DecodeLeave({"leave", text}));
        BOOST_LEAF_AUTO(again,
                        platform::DecodeLeave(platform::EncodeLeave(leave)));
        if (again.instance != leave.instance || again.node != leave.node) {
          __builtin_trap();
        }
        return true;
      },
      [](const Failure&) { return false; });
  platform::NewestRead newest;
  platform::DecodeNewest(text, newest);
  platform::RecordsRead records;
  platform::DecodeRecords(text, records);
}

}  // namespace

/// The fuzz target keeps no log.
void almondlink::platform::EntryRefusals::Note(const std::string& /*from*/,
                                               const std::string& /*detail*/) {}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 11) {
    case 0:
      DecodeMessages(data + 1, size - 1);
      break;
    case 1:
      ApplyToFold(data + 1, size - 1);
      break;
    case 2:
      almondlink::policy::ParseBundle(text);
      break;
    case 3:
      HandleFailure(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(almondlink::config::ParseSettings("f", text));
            return true;
          },
          [](const Failure&) { return false; });
      break;
    case 4:
      DecodeFrames(text);
      break;
    case 5:
      ParseHttp<almondlink::relay::RequestParser>(text);
      break;
    case 6:
      ParseHttp<almondlink::relay::AnswerParser>(text);
      break;
    case 8:
      ReadEntries(text);
      break;
    case 9:
      ReadKey(text);
      break;
    case 10:
      ReadAnswer(text);
      break;
    default:
      almondlink::control::ParseMintedKey(text);
      almondlink::control::TimeOfUuid7(text);
      break;
  }
  return 0;
}
