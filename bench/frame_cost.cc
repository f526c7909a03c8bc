#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

#include "almondlink/relay/peer_frames.h"
#include "almondlink/wire/messages.generated.h"

/// Compares the time to encode and decode one call and its answer on a link:
/// flat frames against the generated CBOR messages. Prints microseconds.
namespace almondlink {
namespace {

constexpr int kRounds = 200'000;
const std::string kFields =
    "Host: hulo84.example\r\nRequest-Id: 9c41d07be2a35f68\r\nAccept: */*\r\n"
    "User-Agent: client/1.0\r\n";
const std::string kBody(1500, 'b');

double MeanMicros(const std::function<std::size_t()>& round) {
  std::size_t bytes = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    bytes += round();
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  // The output depends on every round, so that the compiler keeps them all.
  std::printf("  %zu bytes per round\n", bytes / kRounds);
  return took.count() / kRounds;
}

std::size_t FlatRound() {
  relay::CallFrame call;
  call.id = 7;
  call.instance = "i-7f3a91c2";
  call.caller_service = "huvo11a";
  call.request_id = "9c41d07be2a35f68";
  call.method = "GET";
  call.target = "/leny950/2f";
  call.fields = kFields;
  relay::AnswerFrame answer;
  answer.status = 200;
  answer.status_text = "OK";
  answer.fields = kFields;
  answer.body = kBody;
  std::string out;
  relay::Append(call, out);
  relay::Append(answer, out);
  bool is_bad = false;
  std::string_view rest = out;
  relay::CallFrame call_read;
  relay::AnswerFrame answer_read;
  const auto first = relay::NextFrame(rest, is_bad);
  relay::Decode(first->payload, call_read);
  rest.remove_prefix(first->size);
  relay::Decode(relay::NextFrame(rest, is_bad)->payload, answer_read);
  return out.size() + answer_read.body.size() - kBody.size();
}

std::size_t CborRound() {
  wire::Call call;
  call.id = 7;
  call.service = "huvo11a";
  call.method = "GET";
  call.path = "/leny950/2f";
  for (const char* name : {"Host", "Request-Id", "Accept", "User-Agent"}) {
    call.headers.push_back({name, "9c41d07be2a35f68"});
  }
  call.root = "9c41d07be2a35f689c41d07be2a35f68";
  wire::Answer answer;
  answer.id = 7;
  answer.status = 200;
  answer.headers = call.headers;
  answer.body.assign(kBody.begin(), kBody.end());
  const std::vector<std::uint8_t> call_bytes = wire::Encode(std::move(call));
  const std::vector<std::uint8_t> answer_bytes =
      wire::Encode(std::move(answer));
  const std::size_t body = HandleFailure(
      [&]() -> Result<std::size_t> {
        BOOST_LEAF_AUTO(call_read,
                        wire::DecodeCall(call_bytes.data(), call_bytes.size()));
        BOOST_LEAF_AUTO(answer_read, wire::DecodeAnswer(answer_bytes.data(),
                                                        answer_bytes.size()));
        return answer_read.body.size() + call_read.id;
      },
      [](const Failure&) { return std::size_t{0}; });
  return call_bytes.size() + answer_bytes.size() + body - kBody.size() - 7;
}

}  // namespace
}  // namespace almondlink

int main() {
  const double flat = almondlink::MeanMicros(almondlink::FlatRound);
  const double cbor = almondlink::MeanMicros(almondlink::CborRound);
  std::printf(
      "flat frames %.2f us, CBOR messages %.2f us per call and answer\n", flat,
      cbor);
  return 0;
}
