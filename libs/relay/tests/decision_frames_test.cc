#include <catch2/catch.hpp>
#include <string>

#include "almondlink/relay/peer_frames.h"
#include "libs/relay/tests/frame_payload.h"

namespace almondlink::relay {
namespace {

control::DecisionSums Example() {
  control::DecisionSums sums;
  sums.nodes = 62;
  sums.refusals[3] = {800.5, 440.25};
  sums.returns[7] = {12, 3.5};
  sums.account_demand[7].buckets[0] = {0.25, 4};
  sums.account_demand[7].buckets[31] = {90, 1};
  sums.run_times[9].runs[0] = 0.5;
  sums.run_times[9].runs[47] = 2;
  sums.zones[{11, 3}] = {146.5, 90, 120, 7.5};
  return sums;
}

TEST_CASE("decision sums are unchanged by a round trip") {
  for (const FrameType type :
       {FrameType::kDecisionReport, FrameType::kDecisionSums,
        FrameType::kDecisionTotals}) {
    std::string bytes;
    AppendDecisions(type, Example(), bytes);
    const std::string_view payload = PayloadOf(bytes, type);
    control::DecisionSums read;
    REQUIRE(Decode(payload, read));
    REQUIRE(read.nodes == 62);
    REQUIRE(read.refusals.at(3).refused_per_s == 440.25);
    REQUIRE(read.returns.at(7).returned_per_s == 3.5);
    REQUIRE(read.account_demand.at(7).buckets[0].weight == 4);
    REQUIRE(read.account_demand.at(7).buckets[31].per_s == 90);
    REQUIRE(read.run_times.at(9).runs[47] == 2);
    REQUIRE(read.zones.at({11, 3}).outstanding == 120);
    REQUIRE(read.zones.at({11, 3}).waiting == 7.5);
    for (std::size_t size = 0; size < payload.size(); ++size) {
      REQUIRE_FALSE(Decode(payload.substr(0, size), read));
    }
  }
}

// Guards against a write beyond a histogram by an index that a peer sent.
TEST_CASE("a bucket that does not exist is an error") {
  control::DecisionSums sums;
  sums.run_times[9].runs[47] = 2;
  std::string bytes;
  AppendDecisions(FrameType::kDecisionReport, sums, bytes);
  const std::string_view payload = PayloadOf(bytes, FrameType::kDecisionReport);
  std::string changed(payload);
  const std::size_t index = changed.find('\x2f');
  REQUIRE(index != std::string::npos);
  changed[index] = '\x30';
  control::DecisionSums read;
  REQUIRE_FALSE(Decode(changed, read));
}

}  // namespace
}  // namespace almondlink::relay
