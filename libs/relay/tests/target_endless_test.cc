#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "libs/relay/tests/scripted_target.h"

/// Guards against a target that sends bytes without end where no answer is: the
/// node kept them in memory until the caller's time was over (742 MB of a body
/// with another request's id, 720 MB of a chunk extension).
namespace almondlink::relay {
namespace {

constexpr std::size_t kMebibyte = 1024 * 1024;
/// What the node reads before it closes, and what the sockets hold.
constexpr std::size_t kMaxTaken = 16 * kMebibyte;
/// The target stops by itself after this.
constexpr std::size_t kMostSent = 256 * kMebibyte;

/// What a target sends once, and then again and again.
struct Endless {
  std::string name;
  std::string first;
  std::string repeated;
};

std::string Head(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
}

const std::string kOwn = "Request-Id: get1\r\nResponse-Seal: s\r\n";
const std::string kOther = "Request-Id: get0\r\nResponse-Seal: s\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kLong = "Content-Length: 9000000000\r\n";
const std::string kFiller = std::string(16 * 1024, 'x');
const std::string kChunk = "4000\r\n" + kFiller + "\r\n";

const std::vector<Endless> kNoAnswers = {
    {"bytes before a head", "", kFiller},
    {"a status line", "HTTP/1.1 200 ", kFiller},
    {"a field", "HTTP/1.1 200 OK\r\nX-Long: ", kFiller},
    {"fields", "HTTP/1.1 200 OK\r\n" + kOwn, "X-Field: value\r\n"},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"answers to other requests", "",
     Head(kOther + "Content-Length: 4\r\n") + "late"},
    {"a body of another id in chunks", Head(kOther + kChunked), kChunk},
    {"a body of another id with a length", Head(kOther + kLong), kFiller},
    {"a body of another id without a length", Head(kOther), kFiller},
    {"a body without an id", Head("Response-Seal: s\r\n" + kChunked), kChunk},
    {"a body without a seal", Head("Request-Id: get1\r\n" + kChunked), kChunk},
    {"a body of a refusal",
     "HTTP/1.1 503 Full\r\nRequest-Id: get1\r\nNot-Executed: 1\r\n" + kChunked +
         "\r\n",
     kChunk},
    {"a chunk extension", Head(kOwn + kChunked) + "4;x=", kFiller},
    {"a chunk size", Head(kOwn + kChunked), std::string(16 * 1024, '0')},
    {"a trailer field",
     Head(kOwn + kChunked) + "4\r\nbody\r\n0\r\nX-Long: ", kFiller},
    {"trailer fields", Head(kOwn + kChunked) + "4\r\nbody\r\n0\r\n",
     "X-Field: value\r\n"},
};

TEST_CASE("bytes without end that are no answer end the exchange") {
  for (const Endless& endless : kNoAnswers) {
    INFO(endless.name);
    std::atomic<std::size_t> sent{0};
    std::atomic<bool> is_closed{false};
    const ScriptedTarget target(
        [&](ScriptedConnection& connection, int /*number*/) {
          connection.ReadHead();
          connection.Send(endless.first);
          std::string batch;
          while (batch.size() < kFiller.size()) {
            batch += endless.repeated;
          }
          sent = connection.SendEndlessly(batch, kMostSent);
          is_closed = true;
        });
    PoolDriver driver(target);
    const ExchangeResult result =
        driver.Send("get1", MakeTargetRequest("get1"), Millis{3000});
    REQUIRE(result.is_over);
    REQUIRE(result.failure == CallReason::kBadAnswer);
    REQUIRE(result.was_sent);
    for (int i = 0; i < 1000 && !is_closed; ++i) {
      driver.Run(Millis{5});
    }
    REQUIRE(is_closed);
    REQUIRE(sent < kMaxTaken);
  }
}

TEST_CASE("bytes without end after an answer close its connection") {
  for (const bool is_late : {false, true}) {
    INFO("late " << is_late);
    std::atomic<std::size_t> sent{0};
    std::atomic<bool> may_send{!is_late};
    std::atomic<bool> is_closed{false};
    const ScriptedTarget target(
        [&](ScriptedConnection& connection, int number) {
          const std::string id = IdIn(connection.ReadHead());
          connection.Send(MakeSuccess(id, "Content-Length: 4\r\n", "done"));
          while (!may_send) {
            std::this_thread::yield();
          }
          if (number == 0) {
            sent = connection.SendEndlessly(kFiller, kMostSent);
            is_closed = true;
          }
        });
    PoolDriver driver(target);
    REQUIRE(driver.Send("get1", MakeTargetRequest("get1")).IsWholeSuccess());
    may_send = true;
    for (int i = 0; i < 1000 && !is_closed; ++i) {
      driver.Run(Millis{5});
    }
    REQUIRE(is_closed);
    REQUIRE(sent < kMaxTaken);
    REQUIRE(driver.Send("get2", MakeTargetRequest("get2")).IsWholeSuccess());
  }
}

TEST_CASE("a few answers that are not due are skipped") {
  const ScriptedTarget target(
      [](ScriptedConnection& connection, int /*number*/) {
        const std::string id = IdIn(connection.ReadHead());
        connection.Send("HTTP/1.1 102 Processing\r\n\r\n" +
                        Head(kOther + kChunked) + kChunk + "0\r\n\r\n" +
                        "HTTP/1.1 103 Early Hints\r\n\r\n" +
                        MakeSuccess(id, "Content-Length: 4\r\n", "done"));
      });
  PoolDriver driver(target);
  const ExchangeResult result = driver.Send("get1", MakeTargetRequest("get1"));
  REQUIRE(result.IsWholeSuccess());
  REQUIRE(result.body == "done");
}

}  // namespace
}  // namespace almondlink::relay
