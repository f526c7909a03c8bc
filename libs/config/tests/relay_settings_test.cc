#include <catch2/catch.hpp>

#include "almondlink/config/load_settings.h"

namespace almondlink::config {
namespace {

constexpr const char* kRelay =
    "[node]\nid = n\ndeployment = d\nzone = z\ncaller_address = 127.0.0.1:1\n"
    "peer_address = 127.0.0.1:2\nadmin_address = 127.0.0.1:3\n"
    "[target]\nservice = s\naddress = 127.0.0.1:4\n"
    "[log]\naddress = 127.0.0.1:5\n"
    "[relay]\nenabled = true\nreport_address = 127.0.0.1:6\n";

std::string FaultOf(const std::string& text) {
  return HandleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseSettings("f.ini", text));
        return std::string("ok");
      },
      [](const Failure& failure) { return failure.detail; });
}

TEST_CASE("a relay needs neither key nor operators, but a target") {
  REQUIRE(FaultOf(kRelay) == "ok");
  std::string without = kRelay;
  without.replace(without.find("report_address"), 14, "seeds         ");
  REQUIRE(FaultOf(without).find("[relay] report_address") != std::string::npos);
  std::string own = kRelay;
  own.replace(own.find("enabled = true"), 14, "enabled = false");
  REQUIRE(FaultOf(own) == "f.ini: [mesh] key_file: required");
}

TEST_CASE("durations may be fractions of a larger unit") {
  const auto drain = [](const std::string& text) {
    return FaultOf(std::string(kRelay) + "drain = " + text + "\n");
  };
  REQUIRE(drain("2.5s") == "ok");
  REQUIRE(drain("2500.0ms") == "ok");
  REQUIRE(drain("2.5ms") != "ok");
  REQUIRE(drain("-2s") != "ok");
  REQUIRE(drain("1e3ms") != "ok");
}

}  // namespace
}  // namespace almondlink::config
