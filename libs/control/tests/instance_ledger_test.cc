#include "almondlink/control/instance_ledger.h"

#include <catch2/catch.hpp>

/// Instances that start again under the id that they had, and the late words of
/// those before.
namespace almondlink::control {
namespace {

InstanceReport Report(std::uint64_t born,
                      std::uint64_t sequence,
                      const std::string& id = "i-1") {
  InstanceReport report;
  report.start = {id, born};
  report.service = "stock";
  report.capacity = 50;
  report.sequence = sequence;
  return report;
}

TEST_CASE("an instance that starts again under its id counts from anew") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(1000, 90), ledger);
  InstanceReport reborn = Report(2000, 1);
  reborn.capacity = 30;
  REQUIRE(TakeReport(Millis{1}, reborn, ledger) == ReportEffect::kChanged);
  REQUIRE(ledger.phase == InstancePhase::kReady);
  REQUIRE(ledger.current.start.born == 2000);
  REQUIRE(ledger.current.sequence == 1);
  REQUIRE(ledger.current.capacity == 30);
  REQUIRE(TakeReport(Millis{2}, Report(2000, 2), ledger) ==
          ReportEffect::kChanged);
}

TEST_CASE("one that left is ready again after it started again") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(1000, 9), ledger);
  REQUIRE(TakeLeave(Millis{5}, {"i-1", 1000}, ledger) ==
          ReportEffect::kChanged);
  REQUIRE(TakeReport(Millis{6}, Report(1000, 10), ledger) ==
          ReportEffect::kRefreshed);
  REQUIRE(ledger.phase == InstancePhase::kLeaving);
  REQUIRE(TakeReport(Millis{7}, Report(2000, 1), ledger) ==
          ReportEffect::kChanged);
  REQUIRE(ledger.phase == InstancePhase::kReady);
  REQUIRE(ledger.left.count({"i-1", 1000}) == 1);
}

TEST_CASE("late words of the start before change nothing") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(1000, 9), ledger);
  TakeReport(Millis{1}, Report(2000, 1), ledger);
  REQUIRE(TakeReport(Millis{2}, Report(1000, 10), ledger) ==
          ReportEffect::kIgnored);
  InstanceReport leaving = Report(1000, 11);
  leaving.is_leaving = true;
  REQUIRE(TakeReport(Millis{3}, leaving, ledger) == ReportEffect::kIgnored);
  REQUIRE(TakeLeave(Millis{4}, {"i-1", 1000}, ledger) ==
          ReportEffect::kIgnored);
  REQUIRE(RememberLeft(Millis{5}, {"i-1", 1000}, ledger) ==
          ReportEffect::kIgnored);
  REQUIRE(ledger.phase == InstancePhase::kReady);
  REQUIRE(ledger.current.start.born == 2000);
  REQUIRE(ledger.left.count({"i-1", 1000}) == 1);
}

TEST_CASE("a burst of held up reports does not bring an earlier start back") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(2000, 1), ledger);
  // The later start crashed; what a cut held back of the earlier one comes.
  for (std::uint64_t i = 1; i < 20; ++i) {
    REQUIRE(TakeReport(Millis{9000 + static_cast<std::int64_t>(i)},
                       Report(1000, 40 + i), ledger) == ReportEffect::kIgnored);
  }
  REQUIRE(ledger.current.start.born == 2000);
}

TEST_CASE("a restart after the clock went back is believed when it goes on") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(5000, 9), ledger);
  REQUIRE(TakeReport(Millis{1000}, Report(3000, 1), ledger) ==
          ReportEffect::kIgnored);
  REQUIRE(TakeReport(Millis{2500}, Report(3000, 2), ledger) ==
          ReportEffect::kIgnored);
  REQUIRE(TakeReport(Millis{4000}, Report(3000, 3), ledger) ==
          ReportEffect::kChanged);
  REQUIRE(ledger.current.start.born == 3000);
  REQUIRE(ledger.phase == InstancePhase::kReady);
  // What is late of the one with the later time is of the past now.
  REQUIRE(TakeReport(Millis{4100}, Report(5000, 9), ledger) ==
          ReportEffect::kIgnored);
}

TEST_CASE("the living start is not replaced while it reports") {
  InstanceLedger ledger;
  for (std::uint64_t i = 0; i < 10; ++i) {
    const Millis now{static_cast<std::int64_t>(i) * 1500};
    TakeReport(now, Report(5000, 9 + i), ledger);
    REQUIRE(TakeReport(now + Millis{700}, Report(3000, 1 + i), ledger) ==
            ReportEffect::kIgnored);
  }
  REQUIRE(ledger.current.start.born == 5000);
}

TEST_CASE("a node that started between two starts is not misled") {
  // Its peers remember only that the earlier start left.
  InstanceLedger ledger;
  RememberLeft(Millis{0}, {"i-1", 1000}, ledger);
  REQUIRE(TakeReport(Millis{1}, Report(1000, 9), ledger) ==
          ReportEffect::kChanged);
  REQUIRE(ledger.phase == InstancePhase::kLeaving);
  REQUIRE(TakeReport(Millis{2}, Report(2000, 1), ledger) ==
          ReportEffect::kChanged);
  REQUIRE(ledger.phase == InstancePhase::kReady);
}

TEST_CASE(
    "a late report of another instance that began before is passed over") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(5000, 1, "living"), ledger);
  REQUIRE(TakeReport(Millis{100}, Report(4000, 90, "gone"), ledger) ==
          ReportEffect::kIgnored);
  // One that began later takes the place over.
  REQUIRE(TakeReport(Millis{200}, Report(6000, 1, "next"), ledger) ==
          ReportEffect::kChanged);
  REQUIRE(ledger.current.start.id == "next");
}

TEST_CASE("reports without the time of their start go on as before") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(0, 5), ledger);
  REQUIRE(TakeReport(Millis{1}, Report(0, 4), ledger) ==
          ReportEffect::kIgnored);
  REQUIRE(TakeLeave(Millis{2}, {"i-1", 0}, ledger) == ReportEffect::kChanged);
  REQUIRE(TakeReport(Millis{3}, Report(0, 6), ledger) ==
          ReportEffect::kRefreshed);
  REQUIRE(ledger.phase == InstancePhase::kLeaving);
  // One that tells the time now is another start.
  REQUIRE(TakeReport(Millis{4}, Report(2000, 1), ledger) ==
          ReportEffect::kChanged);
  REQUIRE(ledger.phase == InstancePhase::kReady);
  REQUIRE(TakeReport(Millis{5}, Report(0, 7), ledger) ==
          ReportEffect::kRefreshed);
  REQUIRE(ledger.current.start.born == 2000);
}

TEST_CASE("a leave of a later start ends the one that is known") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(1000, 5), ledger);
  REQUIRE(TakeLeave(Millis{1}, {"i-1", 2000}, ledger) ==
          ReportEffect::kChanged);
  REQUIRE(TakeReport(Millis{2}, Report(2000, 1), ledger) ==
          ReportEffect::kChanged);
  REQUIRE(ledger.phase == InstancePhase::kLeaving);
}

TEST_CASE("a start does not change its service") {
  InstanceLedger ledger;
  TakeReport(Millis{0}, Report(1000, 5), ledger);
  InstanceReport other = Report(1000, 6);
  other.service = "elsewhere";
  REQUIRE(TakeReport(Millis{1}, other, ledger) == ReportEffect::kRefused);
  REQUIRE(ledger.current.service == "stock");
  REQUIRE(ledger.current.sequence == 5);
}

TEST_CASE("an instance that reported elsewhere before may be older") {
  InstanceLedger ledger;
  REQUIRE(MayBeOlderThanNode(ledger));
  InstanceReport report;
  report.start.id = "i-1";
  report.service = "s";
  report.sequence = 40;
  TakeReport(Millis{1000}, report, ledger);
  REQUIRE(MayBeOlderThanNode(ledger));
  report.start.id = "i-2";
  report.sequence = 1;
  TakeReport(Millis{2000}, report, ledger);
  REQUIRE_FALSE(MayBeOlderThanNode(ledger));
  report.sequence = 9;
  TakeReport(Millis{3000}, report, ledger);
  REQUIRE_FALSE(MayBeOlderThanNode(ledger));
}

}  // namespace
}  // namespace almondlink::control
