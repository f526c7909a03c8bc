#include <catch2/catch.hpp>
#include <string>

#include "almondlink/relay/peer_frames.h"
#include "libs/relay/tests/frame_payload.h"

namespace almondlink::relay {
namespace {

TEST_CASE("load reports are unchanged by a round trip") {
  LoadReportFrame frame;
  frame.is_counted = true;
  frame.service = 4'000'000'000;
  frame.slots = 72;
  frame.load.waiting = 3;
  frame.load.work_ms = 12.5;
  frame.load.demand = {{5, 1.25, 400}};
  frame.load.repeats = {{9, {4, 3, 2, 1}}};
  frame.limit_per_s = 36.25;
  std::string bytes;
  Append(frame, bytes);
  const std::string_view payload = PayloadOf(bytes, FrameType::kLoadReport);
  LoadReportFrame read;
  REQUIRE(Decode(payload, read));
  const control::NodeLoad load = ToNodeLoad(read);
  REQUIRE(read.is_counted);
  REQUIRE_FALSE(read.is_last);
  REQUIRE(load.service == 4'000'000'000);
  REQUIRE(load.target.slots == 72);
  REQUIRE(load.target.waiting == 3);
  REQUIRE(load.target.work_ms == 12.5);
  REQUIRE(load.target.limit_per_s == 36.25);
  REQUIRE(load.target.demand.size() == 1);
  REQUIRE(load.repeats.at(9).repeats == 1);
  LoadReportFrame cut;
  REQUIRE_FALSE(Decode(payload.substr(0, 6), cut));
}

TEST_CASE("load sums are unchanged by a round trip") {
  control::LoadSums sums;
  sums.nodes = 982;
  control::TargetSums& targets = sums.services[3];
  targets.targets = 480;
  targets.slots = 34'560;
  targets.timed_slots = 10;
  // One slow target: far below a hundredth of a slot a millisecond.
  targets.slots_per_ms = 0.002;
  targets.demand[7] = {787.25, 700, 280'000};
  sums.roots[7].offered_per_s = 787.5;
  sums.roots[7].calls_per_s[3] = 800;
  sums.repeats[3] = {10'000, 9'000, 8'000, 700};
  sums.silent_nodes = {"host-1", "host-2"};
  std::string bytes;
  AppendSums(FrameType::kLoadTotals, sums, bytes);
  const std::string_view payload = PayloadOf(bytes, FrameType::kLoadTotals);
  control::LoadSums read;
  REQUIRE(Decode(payload, read));
  REQUIRE(read.nodes == 982);
  REQUIRE(read.services.at(3).targets == 480);
  REQUIRE(read.services.at(3).slots_per_ms == Approx(0.002));
  REQUIRE(read.services.at(3).demand.at(7).timed_work == Approx(280'000));
  REQUIRE(read.roots.at(7).offered_per_s == Approx(787.5));
  REQUIRE(read.roots.at(7).calls_per_s.at(3) == Approx(800));
  REQUIRE(read.repeats.at(3).requests == 10'000);
  REQUIRE(read.silent_nodes == sums.silent_nodes);
  for (std::size_t size = 0; size < payload.size(); ++size) {
    REQUIRE_FALSE(Decode(payload.substr(0, size), read));
  }
}

TEST_CASE("a state tells that its load is summed, and leaves it out") {
  StateFrame state;
  state.is_load_summed = true;
  state.demand = {{5, 1.25, 400}};
  state.roots.resize(2);
  std::string bytes;
  Append(WithoutSummed(state), bytes);
  StateFrame read;
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kState), read));
  REQUIRE(read.is_load_summed);
  REQUIRE(read.demand.empty());
  REQUIRE(read.roots.empty());
  state.is_load_summed = false;
  REQUIRE(WithoutSummed(state).roots.size() == 2);
}

}  // namespace
}  // namespace almondlink::relay
