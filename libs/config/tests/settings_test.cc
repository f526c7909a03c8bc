#include <catch2/catch.hpp>

#include "almondlink/config/load_settings.h"

namespace almondlink::config {
namespace {

const char* const kGood = R"([node]
id = n1
deployment = d
zone = z
caller_address = 127.0.0.1:1000
peer_address = 127.0.0.1:1001
admin_address = 127.0.0.1:1002
[mesh]
key_file = k
[log]
address = 127.0.0.1:1003
[bundle]
operators = aa bb
)";

std::string FaultOf(const std::string& text) {
  return HandleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseSettings("node.ini", text));
        return std::string();
      },
      [](const Failure& failure) { return failure.detail; });
}

std::string With(const std::string& from, const std::string& to) {
  std::string text = kGood;
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("good settings get their defaults") {
  const Result<Settings> settings = ParseSettings("node.ini", kGood);
  REQUIRE(settings);
  REQUIRE(settings->node.entry_threads == 2);
  REQUIRE(settings->node.max_body == 1024 * 1024);
  REQUIRE(settings->log.poll_interval == Millis{4000});
  REQUIRE(settings->bundle.operators.size() == 2);
  REQUIRE_FALSE(settings->target.address.IsSet());
}

TEST_CASE("a fault names file, line, section, key and what is allowed") {
  REQUIRE(FaultOf(With("zone = z", "zoen = z"))
              .find("node.ini:4: [node] zoen: not a key; allowed: id, ") == 0);
  REQUIRE(FaultOf(With("zone = z\n", "")) ==
          "node.ini:1: [node] zone: required");
  REQUIRE(FaultOf(With("[mesh]", "[mash]")).find("node.ini:8: [mash]") == 0);
  REQUIRE(
      FaultOf(With("127.0.0.1:1000", "localhost:1000"))
          .find("node.ini:5: [node] caller_address: 'localhost:1000' is not "
                "allowed; allowed: a numeric address and port") == 0);
  REQUIRE(FaultOf(With("[log]", "[log]\npoll_interval = 5 parsecs"))
              .find("node.ini:11: [log] poll_interval: '5 parsecs'") == 0);
  REQUIRE(FaultOf(With("[log]", "[log]\npoll_interval = 1ms"))
              .find("out of range; allowed: 50 to 60000") != std::string::npos);
  REQUIRE(FaultOf(With("id = n1", "id = n1\nid = n2"))
              .find("node.ini:3: key 'id' stands twice, first on line 2") == 0);
  REQUIRE(
      FaultOf(With("127.0.0.1:1002", "192.0.2.1:1002")).find("admin_public") !=
      std::string::npos);
  REQUIRE(FaultOf(std::string(kGood) + "signatures = 3\n").find("signatures") !=
          std::string::npos);
  REQUIRE(FaultOf(std::string(kGood) + "[target]\nservice = s\n")
              .find("give both or neither") != std::string::npos);
}

TEST_CASE("numbers, units and addresses at their edges") {
  const auto is_duration = [](const std::string& text) {
    return static_cast<bool>(ParseDuration(text));
  };
  REQUIRE(is_duration("0ms"));
  REQUIRE_FALSE(is_duration("-1ms"));
  REQUIRE_FALSE(is_duration("1"));
  REQUIRE_FALSE(is_duration("1 s"));
  REQUIRE_FALSE(is_duration("9223372036854775807h"));
  const auto is_endpoint = [](const std::string& text) {
    return static_cast<bool>(ParseEndpoint(text));
  };
  REQUIRE(is_endpoint("[::1]:80"));
  REQUIRE_FALSE(is_endpoint("127.0.0.1:0"));
  REQUIRE_FALSE(is_endpoint("127.0.0.1:65536"));
  REQUIRE_FALSE(is_endpoint("127.0.0.1"));
  REQUIRE_FALSE(is_endpoint("256.0.0.1:80"));
}

}  // namespace
}  // namespace almondlink::config
