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
