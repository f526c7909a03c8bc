#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "libs/relay/tests/scripted_target.h"

/// Guards against an answer to one send that is taken for the answer to another
/// one: a request that must not run twice was refused, sent again on the same
/// connection, and the late second copy of the refusal was taken for the answer
/// to that, so the request ran twice.
namespace almondlink::relay {
namespace {

const std::string kFourBytes = "Content-Length: 4\r\n";

/// Answers the first request with `first`, and each later one with a success.
/// A second copy of each answer arrives when the next one on its connection is
/// due.
ScriptedTarget::Script RepeatLate(const std::string& first,
                                  std::atomic<int>& requests) {
  return [&requests, first](ScriptedConnection& connection, int /*number*/) {
    std::string copy;
    while (true) {
      const std::string head = connection.ReadHead();
      if (head.empty()) {
        return;
      }
      const bool is_first = requests++ == 0;
      connection.Send(copy);
      copy = is_first ? first : MakeSuccess(IdIn(head), kFourBytes, "last");
      connection.Send(copy);
    }
  };
}

TEST_CASE("a late copy of an answer is not taken for that to a second send") {
  const std::string id = "pay1";
  const std::string echo = "Request-Id: " + id + "\r\n";
  const std::string not_run = echo + "Not-Executed: 1\r\n";
  const std::string no_body = "Content-Length: 0\r\n\r\n";
  const std::vector<std::string> firsts = {
      MakeRefusal(id),
      "HTTP/1.1 429 Too Many\r\n" + not_run + no_body,
      "HTTP/1.1 421 Misdirected\r\n" + echo + no_body,
      MakeSuccess(id, kFourBytes, "1st!"),
      "HTTP/1.1 500 Error\r\n" + echo + "Response-Seal: s\r\n" + no_body,
      "HTTP/1.1 103 Early Hints\r\n" + echo + "\r\n" + MakeRefusal(id)};
  for (const std::string& first : firsts) {
    for (const bool is_repeatable : {false, true}) {
      INFO(first << "repeatable " << is_repeatable);
      std::atomic<int> requests{0};
      const ScriptedTarget target(RepeatLate(first, requests));
      PoolDriver driver(target);
      const ExchangeResult refused =
          driver.Send(id, MakeTargetRequest(id), Millis{5000}, is_repeatable);
      REQUIRE(refused.is_over);
      REQUIRE(refused.head.has_value());
      const ExchangeResult second =
          driver.Send(id, MakeTargetRequest(id), Millis{5000}, is_repeatable);
      REQUIRE(second.IsWholeSuccess());
      REQUIRE(second.body == "last");
      REQUIRE(requests == 2);
    }
  }
}

TEST_CASE("other requests between two sends make no difference") {
  std::atomic<int> requests{0};
  const ScriptedTarget target(RepeatLate(MakeRefusal("pay1"), requests));
  PoolDriver driver(target);
  REQUIRE(driver.Send("pay1", MakeTargetRequest("pay1")).head->is_not_run);
  // The late refusal arrives here: its id tells it apart, and the connection is
  // closed afterwards.
  const ExchangeResult other = driver.Send("pay2", MakeTargetRequest("pay2"));
  REQUIRE(other.IsWholeSuccess());
  REQUIRE(other.body == "last");
  REQUIRE(driver.Send("pay1", MakeTargetRequest("pay1")).body == "last");
  REQUIRE(target.Accepted() == 2);
}

TEST_CASE("a request without an id shares its connection with no other") {
  // Nothing would tell a late copy of its answer from that to another one.
  std::atomic<int> requests{0};
  const ScriptedTarget target(
      RepeatLate("HTTP/1.1 400 Bad Request\r\nNot-Executed: "
                 "1\r\nContent-Length: 0\r\n\r\n",
                 requests));
  PoolDriver driver(target);
  REQUIRE(driver.Send("", MakeTargetRequest("")).head->status == 400);
  const ExchangeResult next = driver.Send("pay1", MakeTargetRequest("pay1"));
  REQUIRE(next.IsWholeSuccess());
  REQUIRE(target.Accepted() == 2);
}

TEST_CASE(
    "a request that must not run twice gets no answer of an earlier one") {
  // Bytes that belong to no request, in each form of a *not run* without an id,
  // come when the next request has been read and before it is answered.
  const std::string no_body = "Content-Length: 0\r\n\r\n";
  const std::string not_run = "Not-Executed: 1\r\n" + no_body;
  const std::vector<std::string> strays = {
      "HTTP/1.1 503 Service Unavailable\r\n" + not_run,
      "HTTP/1.1 429 Too Many\r\n" + not_run,
      "HTTP/1.1 400 Bad Request\r\n" + not_run,
      "HTTP/1.1 421 Misdirected\r\n" + no_body,
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n"};
  for (const std::string& stray : strays) {
    INFO(stray);
    std::atomic<int> requests{0};
    const ScriptedTarget target(
        [&requests, &stray](ScriptedConnection& connection, int /*number*/) {
          for (int carried = 0;; ++carried) {
            const std::string head = connection.ReadHead();
            if (head.empty()) {
              return;
            }
            ++requests;
            connection.Send(carried == 0 ? "" : stray);
            connection.Send(MakeSuccess(IdIn(head), kFourBytes, "paid"));
          }
        });
    PoolDriver driver(target);
    REQUIRE(driver.Send("get1", MakeTargetRequest("get1")).IsWholeSuccess());
    for (const std::string id : {"pay1", "pay2", "pay3"}) {
      const ExchangeResult paid =
          driver.Send(id, MakeTargetRequest(id), Millis{5000}, false);
      REQUIRE(paid.IsWholeSuccess());
      REQUIRE(paid.body == "paid");
    }
    REQUIRE(requests == 4);
  }
}

TEST_CASE("connections of requests that must not run twice serve others") {
  const ScriptedTarget target(
      [](ScriptedConnection& connection, int /*number*/) {
        while (true) {
          const std::string head = connection.ReadHead();
          if (head.empty()) {
            return;
          }
          connection.Send(MakeSuccess(IdIn(head), kFourBytes, "done"));
        }
      });
  PoolDriver driver(target);
  constexpr int kPairs = 50;
  for (int i = 0; i < kPairs; ++i) {
    const std::string pay = "pay" + std::to_string(i);
    REQUIRE(driver.Send(pay, MakeTargetRequest(pay), Millis{5000}, false)
                .IsWholeSuccess());
    const std::string get = "get" + std::to_string(i);
    REQUIRE(driver.Send(get, MakeTargetRequest(get)).IsWholeSuccess());
  }
  // One for each that must not run twice, none for the others.
  REQUIRE(target.Accepted() == kPairs);
}

TEST_CASE("connections are still used for many requests") {
  const ScriptedTarget target(
      [](ScriptedConnection& connection, int /*number*/) {
        while (true) {
          const std::string head = connection.ReadHead();
          if (head.empty()) {
            return;
          }
          connection.Send(MakeSuccess(IdIn(head), kFourBytes, "done"));
        }
      });
  PoolDriver driver(target);
  for (int i = 0; i < 600; ++i) {
    const std::string id = "get" + std::to_string(i);
    REQUIRE(driver.Send(id, MakeTargetRequest(id)).IsWholeSuccess());
  }
  REQUIRE(target.Accepted() <= 3);
}

/// Guards against a request that reaches a target after its drain time, because
/// it waited for its connection until then.
TEST_CASE("a request whose connection opens too late is not sent") {
  std::atomic<int> requests{0};
  const ScriptedTarget target(
      [&](ScriptedConnection& connection, int /*number*/) {
        while (!connection.ReadHead().empty()) {
          ++requests;
          connection.Send(MakeSuccess("late", "Content-Length: 1\r\n", "b"));
        }
      });
  PoolDriver driver(target);
  driver.SetMaySend(false);
  const ExchangeResult result = driver.Send("late", MakeTargetRequest("late"));
  REQUIRE(result.is_over);
  REQUIRE(result.failure == CallReason::kDraining);
  REQUIRE_FALSE(result.was_sent);
  driver.Run(Millis{50});
  REQUIRE(requests == 0);
  driver.SetMaySend(true);
  REQUIRE(driver.Send("late", MakeTargetRequest("late")).IsWholeSuccess());
}

}  // namespace
}  // namespace almondlink::relay
