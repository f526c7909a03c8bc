#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "libs/relay/tests/scripted_target.h"

/// Guards against answers whose status HTTP does not have: 600 and 999 reached
/// the caller with their bodies, 000 and 099 counted as interim answers, so
/// that the caller waited and a success behind them was delivered.
namespace almondlink::relay {
namespace {

const std::vector<std::string> kNoStatus = {"000", "001", "099", "101",
                                            "600", "601", "999"};

TEST_CASE("an answer with a status that is none ends the exchange") {
  for (const std::string& status : kNoStatus) {
    for (const std::string& marks :
         {std::string("Request-Id: get1\r\nResponse-Seal: s\r\n"),
          std::string("Request-Id: get1\r\nNot-Executed: 1\r\n"),
          std::string()}) {
      for (const std::string& framing :
           {std::string("Content-Length: 3\r\n\r\nodd"),
            std::string("Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n"),
            std::string("\r\n")}) {
        std::string bytes = "HTTP/1.1 ";
        bytes.append(status).append(" Odd\r\n").append(marks).append(framing);
        INFO(bytes);
        const ScriptedTarget target(
            [&](ScriptedConnection& connection, int /*number*/) {
              const std::string id = IdIn(connection.ReadHead());
              connection.Send(bytes + MakeSuccess(id, "", "body"));
              connection.ReadHead();
            });
        PoolDriver driver(target);
        const ExchangeResult result =
            driver.Send("get1", MakeTargetRequest("get1"), Millis{2000});
        CHECK(result.is_over);
        CHECK_FALSE(result.head.has_value());
        CHECK(result.failure == CallReason::kBadAnswer);
        CHECK(result.was_sent);
        driver.Send("get2", MakeTargetRequest("get2"), Millis{1000});
        CHECK(target.Accepted() == 2);
      }
    }
  }
}

TEST_CASE("an interim answer is followed by the answer") {
  for (const std::string& status : {"100", "102", "103", "199"}) {
    std::string interim = "HTTP/1.1 ";
    interim.append(status).append(" Wait\r\n\r\n");
    const ScriptedTarget target(
        [&](ScriptedConnection& connection, int /*number*/) {
          const std::string id = IdIn(connection.ReadHead());
          connection.Send(interim +
                          MakeSuccess(id, "Content-Length: 4\r\n", "body"));
          connection.ReadHead();
        });
    PoolDriver driver(target);
    CHECK(driver.Send("get1", MakeTargetRequest("get1")).IsWholeSuccess());
  }
}

}  // namespace
}  // namespace almondlink::relay
