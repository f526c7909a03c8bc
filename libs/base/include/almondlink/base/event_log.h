#ifndef ALMONDLINK_BASE_EVENT_LOG_H_
#define ALMONDLINK_BASE_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

#include "almondlink/base/clock.h"
#include "almondlink/base/event.h"
#include "almondlink/base/events.generated.h"

/// Structured log lines with numbered events: one JSON object a line on
/// standard output, through easylogging++. docs/EVENTS.md is the catalogue.
///
/// Logging never blocks: a line goes into a buffer of fixed size, and
/// FlushLog() writes as much as the output takes at once. Each kind of event
/// (Volume) has a rate above which its lines are left out and counted, so that
/// failures and changes of belief are not lost among refusals under load.
namespace almondlink {

using LogField = std::pair<const char*, std::string>;

/// Sets up easylogging++. Call once, before any thread starts.
void StartLogging(const std::string& node, Level lowest);

/// Whether a line of `event` would be written now: lets a caller on the path of
/// a request skip putting its fields together. Counts a line left out if not.
/// Thread safe.
bool WouldLog(const Event& event);

/// Writes one line unless its level or its rate forbids it. Thread safe.
void LogEvent(const Event& event, std::initializer_list<LogField> fields = {});

/// Writes what the output takes without waiting, and once a second how many
/// lines were left out. Call it every few tens of milliseconds. Thread safe.
void FlushLog();

/// Writes all that is left, waiting up to `longest`; for the end of a process.
void FinishLog(Millis longest);

/// Lines so far, for metrics.
struct LogCounts {
  std::uint64_t written = 0;
  std::uint64_t left_out = 0;
};
LogCounts CountLogLines();

/// Parses debug, info, warning or error; false for anything else.
bool ParseLevel(const std::string& text, Level& level);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_EVENT_LOG_H_
