#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "libs/relay/tests/scripted_target.h"

/// Guards against a part of an answer that is passed on as the whole: an answer
/// without a length ends with its connection, and one whose connection is reset
/// or given up while the request is still being written looked complete,
/// because the failed write had taken the socket's error.
namespace almondlink::relay {
namespace {

using std::chrono::milliseconds;

/// More than the sockets hold, so that the node still writes when the target
/// acts.
constexpr std::size_t kUpload = 16 * 1024 * 1024;
const std::string kUntilClose = "Connection: close\r\n";

/// An answer, and how much of it is sent before something happens.
struct Size {
  std::size_t whole = 0;
  std::size_t first = 0;
};

/// One that is passed on when complete, and one that is passed on in parts.
const std::vector<Size> kSizes = {{40'000, 10'000}, {1'400'000, 700'000}};

std::string MakeBody(std::size_t size) {
  std::string body(size, '\0');
  for (std::size_t i = 0; i < size; ++i) {
    body[i] = static_cast<char>('a' + (i / 7) % 26);
  }
  return body;
}

TEST_CASE("an answer without a length that is reset is not complete") {
  for (const Size& size : kSizes) {
    INFO(size.first << " of " << size.whole << " bytes");
    const std::string body = MakeBody(size.whole);
    const ScriptedTarget target([&](ScriptedConnection& connection,
                                    int /*number*/) {
      const std::string id = IdIn(connection.ReadHead());
      connection.Send(MakeSuccess(id, kUntilClose, body.substr(0, size.first)));
      std::this_thread::sleep_for(milliseconds(100));
      connection.Reset();
    });
    for (int i = 0; i < 5; ++i) {
      PoolDriver driver(target);
      const ExchangeResult result = driver.Send(
          "up", MakeTargetRequest("up", kUpload), Millis{5000}, false);
      REQUIRE(result.is_over);
      REQUIRE_FALSE(result.IsWholeSuccess());
      const bool is_unknown = result.is_broken || result.was_sent;
      REQUIRE(is_unknown);
    }
  }
}

TEST_CASE("an answer that is reset is not complete, however it is framed") {
  const std::string body = MakeBody(20'000);
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string chunked =
      "Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + body + "\r\n0\r\n\r\n";
  const std::vector<std::string> answers = {
      MakeSuccess("up", length, body), MakeSuccess("up", kUntilClose, body),
      "HTTP/1.1 200 OK\r\nRequest-Id: up\r\nResponse-Seal: s\r\n" + chunked};
  for (const std::string& answer : answers) {
    const std::size_t head = answer.find("\r\n\r\n") + 4;
    const std::size_t cuts[] = {0,         1,           20,
                                head - 2,  head,        head + 1,
                                head + 10, head + 5000, answer.size() - 1};
    for (const std::size_t cut : cuts) {
      INFO(answer.substr(0, head) << "cut at " << cut);
      const ScriptedTarget target(
          [&](ScriptedConnection& connection, int /*number*/) {
            connection.ReadHead();
            connection.Send(answer.substr(0, cut));
            std::this_thread::sleep_for(milliseconds(20));
            connection.Reset();
          });
      PoolDriver driver(target);
      const ExchangeResult result =
          driver.Send("up", MakeTargetRequest("up", kUpload));
      REQUIRE(result.is_over);
      REQUIRE_FALSE(result.IsWholeSuccess());
    }
  }
}

/// Guards against an answer that ends within its head and reaches the caller as
/// a complete success with an empty or short body.
TEST_CASE("an answer that ends within its head is not an answer") {
  const std::string body = "body";
  const std::vector<std::string> answers = {
      MakeSuccess("up", "Content-Length: 4\r\n", body),
      MakeSuccess("up", kUntilClose, body),
      MakeSuccess("up", "Transfer-Encoding: chunked\r\n", "")};
  for (const std::string& answer : answers) {
    const std::size_t head = answer.find("\r\n\r\n") + 4;
    for (std::size_t cut = 0; cut < head; ++cut) {
      for (const bool resets : {false, true}) {
        INFO(answer.substr(0, head)
             << "cut at " << cut << ", reset " << resets);
        const ScriptedTarget target(
            [&](ScriptedConnection& connection, int /*number*/) {
              connection.ReadHead();
              connection.Send(answer.substr(0, cut));
              if (resets) {
                connection.Reset();
              }
            });
        PoolDriver driver(target);
        const ExchangeResult result =
            driver.Send("up", MakeTargetRequest("up", 0));
        REQUIRE(result.is_over);
        REQUIRE_FALSE(result.IsWholeSuccess());
        const bool is_unknown = result.is_broken || result.was_sent;
        REQUIRE(is_unknown);
      }
    }
  }
}

TEST_CASE("a target may answer early and read a long body late") {
  // The time for which it reads nothing is beyond the limit on
  // acknowledgements that holds for short requests.
  for (const Size& size : kSizes) {
    INFO(size.first << " of " << size.whole << " bytes");
    const std::string body = MakeBody(size.whole);
    const ScriptedTarget target([&](ScriptedConnection& connection,
                                    int /*number*/) {
      const std::string id = IdIn(connection.ReadHead());
      connection.Send(MakeSuccess(id, kUntilClose, body.substr(0, size.first)));
      std::this_thread::sleep_for(milliseconds(1800));
      if (!connection.ReadBody(kUpload)) {
        return;
      }
      connection.Send(body.substr(size.first));
      connection.ShutdownSend();
      connection.ReadHead();
    });
    PoolDriver driver(target);
    const ExchangeResult result = driver.Send(
        "up", MakeTargetRequest("up", kUpload), Millis{8000}, false);
    REQUIRE(result.IsWholeSuccess());
    REQUIRE(result.body == body);
  }
}

}  // namespace
}  // namespace almondlink::relay
