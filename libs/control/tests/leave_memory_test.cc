#include "almondlink/control/leave_memory.h"

#include <catch2/catch.hpp>

/// Guards against acknowledged leaves that a restarted node does not know of,
/// and against targets that stay closed because nobody can tell.
namespace almondlink::control {
namespace {

InstanceReport Report(std::uint64_t sequence, bool is_leaving = false) {
  InstanceReport report;
  report.incarnation = {"i-1", 1000};
  report.service = "stock";
  report.sequence = sequence;
  report.is_leaving = is_leaving;
  return report;
}

TEST_CASE("records of other nodes count only if the store does not answer") {
  LeaveMemory memory;
  memory.has_peer_record = true;
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{999}, memory));
  REQUIRE(UpdateLeaveMemory(Millis{1000}, memory));
  REQUIRE(memory.source == LeaveSource::kPeers);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{2000}, memory));
}

TEST_CASE("a late report alone does not prove that an instance stays") {
  LeaveMemory memory;
  RecordHeldReport(Millis{1500}, Report(40), memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{60000}, memory));
  // Delayed reports that arrive together.
  for (std::uint64_t i = 41; i < 50; ++i) {
    RecordHeldReport(Millis{1600}, Report(i), memory);
  }
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{60000}, memory));
}

TEST_CASE("an instance that goes on to report is opened") {
  LeaveMemory memory;
  for (std::uint64_t i = 0; i < 4; ++i) {
    const Millis now{1500 * static_cast<std::int64_t>(i + 1)};
    RecordHeldReport(now, Report(40 + i), memory);
    REQUIRE(UpdateLeaveMemory(now, memory) == (i == 3));
  }
  REQUIRE(memory.source == LeaveSource::kReports);
}

TEST_CASE("repeated, leaving and other reports start the proof again") {
  LeaveMemory memory;
  RecordHeldReport(Millis{1500}, Report(40), memory);
  RecordHeldReport(Millis{6000}, Report(40), memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{6000}, memory));
  RecordHeldReport(Millis{9000}, Report(41, true), memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{9000}, memory));
  InstanceReport other = Report(42);
  other.incarnation.id = "i-2";
  RecordHeldReport(Millis{14000}, other, memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{14000}, memory));
}

TEST_CASE("an instance that has just started is opened without a proof") {
  LeaveMemory memory;
  RecordHeldReport(Millis{500}, Report(1), memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{500}, memory));
  REQUIRE(UpdateLeaveMemory(Millis{1000}, memory));
}

TEST_CASE("the store alone does not tell that an instance stays") {
  LeaveMemory memory;
  memory.has_store_record = true;
  RecordHeldReport(Millis{1500}, Report(40), memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{60000}, memory));
  memory.has_peer_record = true;
  REQUIRE(UpdateLeaveMemory(Millis{60000}, memory));
  REQUIRE(memory.source == LeaveSource::kStore);
}

TEST_CASE("an instance that passes its health check is opened") {
  LeaveMemory memory;
  memory.has_store_record = true;
  REQUIRE_FALSE(NeedsHealthCheck(memory));
  RecordHeldReport(Millis{20}, Report(40), memory);
  REQUIRE(NeedsHealthCheck(memory));
  RecordHealthy("i-2", memory);
  RecordHealthy("", memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{20}, memory));
  RecordHealthy("i-1", memory);
  REQUIRE(UpdateLeaveMemory(Millis{20}, memory));
  REQUIRE(memory.source == LeaveSource::kStore);
  REQUIRE_FALSE(NeedsHealthCheck(memory));
}

TEST_CASE("a health check counts for the instance that reports alone") {
  LeaveMemory memory;
  memory.has_store_record = true;
  RecordHeldReport(Millis{20}, Report(40), memory);
  RecordHealthy("i-1", memory);
  InstanceReport other = Report(50);
  other.incarnation.id = "i-2";
  RecordHeldReport(Millis{30}, other, memory);
  REQUIRE_FALSE(UpdateLeaveMemory(Millis{30}, memory));
  // It has said itself that it leaves.
  RecordHeldReport(Millis{40}, Report(51, true), memory);
  REQUIRE_FALSE(NeedsHealthCheck(memory));
}

TEST_CASE("one node that was told nothing may be missing, and no more") {
  // A leave that two nodes had recorded, or the only other one.
  REQUIRE(HasEnoughRecords(1, 0));
  REQUIRE(HasEnoughRecords(11, 1));
  REQUIRE_FALSE(HasEnoughRecords(10, 2));
  REQUIRE_FALSE(HasEnoughRecords(0, 0));
  REQUIRE_FALSE(HasEnoughRecords(0, 1));
}

TEST_CASE("a leave is acknowledged once the store has it") {
  LeaveEvidence evidence;
  evidence.recorded_by = {"a", "b", "c"};
  REQUIRE(AnswerLeave(Millis{499}, evidence, 5) == LeaveAnswer::kWait);
  evidence.is_stored = true;
  REQUIRE(AnswerLeave(Millis{1}, evidence, 5) == LeaveAnswer::kAcknowledge);
}

TEST_CASE("without the store two other nodes must have recorded a leave") {
  LeaveEvidence evidence;
  evidence.recorded_by = {"a"};
  REQUIRE(AnswerLeave(Millis{899}, evidence, 5) == LeaveAnswer::kWait);
  REQUIRE(AnswerLeave(Millis{900}, evidence, 5) == LeaveAnswer::kRefuse);
  // There is only one.
  REQUIRE(AnswerLeave(Millis{500}, evidence, 1) == LeaveAnswer::kAcknowledge);
  evidence.recorded_by = {"a", "b"};
  REQUIRE(AnswerLeave(Millis{499}, evidence, 5) == LeaveAnswer::kWait);
  REQUIRE(AnswerLeave(Millis{500}, evidence, 5) == LeaveAnswer::kAcknowledge);
  evidence.recorded_by.clear();
  REQUIRE(AnswerLeave(Millis{900}, evidence, 0) == LeaveAnswer::kRefuse);
}

}  // namespace
}  // namespace almondlink::control
