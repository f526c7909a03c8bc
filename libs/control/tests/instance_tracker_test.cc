#include "almondlink/control/instance_tracker.h"

#include <catch2/catch.hpp>
#include <string>

/// Instances that restart under the same id, and late reports of earlier
/// incarnations.
namespace almondlink::control {
namespace {

InstanceReport Report(std::uint64_t started_at,
                      std::uint64_t sequence,
                      const std::string& id = "i-1") {
  InstanceReport report;
  report.incarnation = {id, started_at};
  report.service = "stock";
  report.capacity = 50;
  report.sequence = sequence;
  return report;
}

TEST_CASE(
    "an instance that restarts under its id starts without earlier state") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(1000, 90), tracker);
  InstanceReport restarted = Report(2000, 1);
  restarted.capacity = 30;
  REQUIRE(ApplyReport(Millis{1}, restarted, tracker) == ReportEffect::kChanged);
  REQUIRE(tracker.phase == InstancePhase::kReady);
  REQUIRE(tracker.current.incarnation.started_at == 2000);
  REQUIRE(tracker.current.sequence == 1);
  REQUIRE(tracker.current.capacity == 30);
  REQUIRE(ApplyReport(Millis{2}, Report(2000, 2), tracker) ==
          ReportEffect::kChanged);
}

TEST_CASE("an instance that left is ready again after a restart") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(1000, 9), tracker);
  REQUIRE(ApplyLeave(Millis{5}, {"i-1", 1000}, tracker) ==
          ReportEffect::kChanged);
  REQUIRE(ApplyReport(Millis{6}, Report(1000, 10), tracker) ==
          ReportEffect::kRefreshed);
  REQUIRE(tracker.phase == InstancePhase::kLeaving);
  REQUIRE(ApplyReport(Millis{7}, Report(2000, 1), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.phase == InstancePhase::kReady);
  REQUIRE(tracker.departed.count({"i-1", 1000}) == 1);
}

TEST_CASE("late reports of the previous incarnation have no effect") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(1000, 9), tracker);
  ApplyReport(Millis{1}, Report(2000, 1), tracker);
  REQUIRE(ApplyReport(Millis{2}, Report(1000, 10), tracker) ==
          ReportEffect::kIgnored);
  InstanceReport leaving = Report(1000, 11);
  leaving.is_leaving = true;
  REQUIRE(ApplyReport(Millis{3}, leaving, tracker) == ReportEffect::kIgnored);
  REQUIRE(ApplyLeave(Millis{4}, {"i-1", 1000}, tracker) ==
          ReportEffect::kIgnored);
  REQUIRE(RestoreDeparted(Millis{5}, {"i-1", 1000}, tracker) ==
          ReportEffect::kIgnored);
  REQUIRE(tracker.phase == InstancePhase::kReady);
  REQUIRE(tracker.current.incarnation.started_at == 2000);
  REQUIRE(tracker.departed.count({"i-1", 1000}) == 1);
}

TEST_CASE(
    "a burst of delayed reports does not restore an earlier incarnation") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(2000, 1), tracker);
  // The later incarnation crashed; reports of the earlier one that a partition
  // had delayed arrive in a burst.
  for (std::uint64_t i = 1; i < 20; ++i) {
    REQUIRE(ApplyReport(Millis{9000 + static_cast<std::int64_t>(i)},
                        Report(1000, 40 + i),
                        tracker) == ReportEffect::kIgnored);
  }
  REQUIRE(tracker.current.incarnation.started_at == 2000);
}

TEST_CASE("a restart after a clock step back is accepted if it goes on") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(5000, 9), tracker);
  REQUIRE(ApplyReport(Millis{1000}, Report(3000, 1), tracker) ==
          ReportEffect::kIgnored);
  REQUIRE(ApplyReport(Millis{2500}, Report(3000, 2), tracker) ==
          ReportEffect::kIgnored);
  REQUIRE(ApplyReport(Millis{4000}, Report(3000, 3), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.current.incarnation.started_at == 3000);
  REQUIRE(tracker.phase == InstancePhase::kReady);
  // A late report of the incarnation with the later start time is ignored now.
  REQUIRE(ApplyReport(Millis{4100}, Report(5000, 9), tracker) ==
          ReportEffect::kIgnored);
}

TEST_CASE("the running incarnation is not replaced while it reports") {
  InstanceTracker tracker;
  for (std::uint64_t i = 0; i < 10; ++i) {
    const Millis now{static_cast<std::int64_t>(i) * 1500};
    ApplyReport(now, Report(5000, 9 + i), tracker);
    REQUIRE(ApplyReport(now + Millis{700}, Report(3000, 1 + i), tracker) ==
            ReportEffect::kIgnored);
  }
  REQUIRE(tracker.current.incarnation.started_at == 5000);
}

TEST_CASE(
    "a node that started between two incarnations accepts the later one") {
  // The peers remember only that the earlier incarnation left.
  InstanceTracker tracker;
  RestoreDeparted(Millis{0}, {"i-1", 1000}, tracker);
  REQUIRE(ApplyReport(Millis{1}, Report(1000, 9), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.phase == InstancePhase::kLeaving);
  REQUIRE(ApplyReport(Millis{2}, Report(2000, 1), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.phase == InstancePhase::kReady);
}

TEST_CASE("a late report of an instance that started earlier is ignored") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(5000, 1, "living"), tracker);
  REQUIRE(ApplyReport(Millis{100}, Report(4000, 90, "gone"), tracker) ==
          ReportEffect::kIgnored);
  // An instance that started later replaces it.
  REQUIRE(ApplyReport(Millis{200}, Report(6000, 1, "next"), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.current.incarnation.id == "next");
}

TEST_CASE("reports without a start time count for the current incarnation") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(0, 5), tracker);
  REQUIRE(ApplyReport(Millis{1}, Report(0, 4), tracker) ==
          ReportEffect::kIgnored);
  REQUIRE(ApplyLeave(Millis{2}, {"i-1", 0}, tracker) == ReportEffect::kChanged);
  REQUIRE(ApplyReport(Millis{3}, Report(0, 6), tracker) ==
          ReportEffect::kRefreshed);
  REQUIRE(tracker.phase == InstancePhase::kLeaving);
  // A report with a start time belongs to another incarnation.
  REQUIRE(ApplyReport(Millis{4}, Report(2000, 1), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.phase == InstancePhase::kReady);
  REQUIRE(ApplyReport(Millis{5}, Report(0, 7), tracker) ==
          ReportEffect::kRefreshed);
  REQUIRE(tracker.current.incarnation.started_at == 2000);
}

TEST_CASE("a leave of a later incarnation makes the known one leave") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(1000, 5), tracker);
  REQUIRE(ApplyLeave(Millis{1}, {"i-1", 2000}, tracker) ==
          ReportEffect::kChanged);
  REQUIRE(ApplyReport(Millis{2}, Report(2000, 1), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.phase == InstancePhase::kLeaving);
}

TEST_CASE("an incarnation cannot change its service") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(1000, 5), tracker);
  InstanceReport other = Report(1000, 6);
  other.service = "elsewhere";
  REQUIRE(ApplyReport(Millis{1}, other, tracker) == ReportEffect::kRefused);
  REQUIRE(tracker.current.service == "stock");
  REQUIRE(tracker.current.sequence == 5);
}

TEST_CASE(
    "an instance that reported elsewhere before may be older than the node") {
  InstanceTracker tracker;
  REQUIRE(MayBeOlderThanNode(tracker));
  InstanceReport report;
  report.incarnation.id = "i-1";
  report.service = "s";
  report.sequence = 40;
  ApplyReport(Millis{1000}, report, tracker);
  REQUIRE(MayBeOlderThanNode(tracker));
  report.incarnation.id = "i-2";
  report.sequence = 1;
  ApplyReport(Millis{2000}, report, tracker);
  REQUIRE_FALSE(MayBeOlderThanNode(tracker));
  report.sequence = 9;
  ApplyReport(Millis{3000}, report, tracker);
  REQUIRE_FALSE(MayBeOlderThanNode(tracker));
}

/// Guards against a drain time that begins anew when the node beside the target
/// starts again.
TEST_CASE("an instance that leaves by a peer's word has drained already") {
  InstanceTracker tracker;
  RestoreDeparted(Millis{0}, {"i-1", 1000}, tracker);
  ApplyReport(Millis{5000}, Report(1000, 90), tracker);
  REQUIRE(HasDrained(Millis{5000}, Millis{1200}, tracker));
  // Its successor has not.
  ApplyReport(Millis{6000}, Report(2000, 1), tracker);
  REQUIRE(!HasDrained(Millis{9000}, Millis{1200}, tracker));
}

TEST_CASE("a peer's word does not shorten a leave that is known here") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report(1000, 90), tracker);
  ApplyLeave(Millis{100}, {"i-1", 1000}, tracker);
  RestoreDeparted(Millis{200}, {"i-1", 1000}, tracker);
  REQUIRE(!HasDrained(Millis{1300}, Millis{1200}, tracker));
  REQUIRE(HasDrained(Millis{1301}, Millis{1200}, tracker));
}

/// Guards against a leave that is forgotten because it came without a start
/// time and before any report.
TEST_CASE("a leave without a start time means the instance that reports next") {
  InstanceTracker tracker;
  ApplyLeave(Millis{0}, {"i-1", 0}, tracker);
  ApplyReport(Millis{5}, Report(1000, 90), tracker);
  REQUIRE(tracker.phase == InstancePhase::kLeaving);
  REQUIRE(tracker.leaving_since == Millis{0});
  // The next incarnation is open, whichever of its reports comes first.
  ApplyReport(Millis{9}, Report(2000, 7), tracker);
  REQUIRE(tracker.phase == InstancePhase::kReady);
}

TEST_CASE("a leave without a start time spares an instance that has started") {
  InstanceTracker tracker;
  RestoreDeparted(Millis{0}, {"i-1", 0}, tracker);
  ApplyReport(Millis{5}, Report(2000, 1), tracker);
  REQUIRE(tracker.phase == InstancePhase::kReady);
}

/// Guards against a drain time that begins anew with each change between two
/// instances that both leave.
TEST_CASE("the drain time counts from the first word of a leave") {
  InstanceTracker tracker;
  InstanceReport first = Report(0, 5, "i-1");
  InstanceReport second = Report(0, 5, "i-2");
  first.is_leaving = true;
  second.is_leaving = true;
  for (std::uint64_t i = 0; i < 4; ++i) {
    first.sequence += 1;
    second.sequence += 1;
    const Millis now{static_cast<std::int64_t>(i) * 1000};
    ApplyReport(now, first, tracker);
    ApplyReport(now + Millis{500}, second, tracker);
  }
  REQUIRE(HasDrained(Millis{3501}, Millis{2000}, tracker));
}

TEST_CASE("the oldest departures are forgotten first") {
  InstanceTracker tracker;
  ApplyLeave(Millis{0}, {"z-first", 1}, tracker);
  for (std::uint64_t i = 0; i < 64; ++i) {
    ApplyLeave(Millis{1}, {"m-" + std::to_string(i), 1}, tracker);
  }
  ApplyLeave(Millis{2}, {"a-last", 1}, tracker);
  REQUIRE(tracker.departed.count({"z-first", 1}) == 0);
  REQUIRE(tracker.departed.count({"a-last", 1}) == 1);
}

}  // namespace
}  // namespace almondlink::control
