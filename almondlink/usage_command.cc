#include <gflags/gflags.h>

#include <cstdio>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

#include "almondlink/command.h"
#include "almondlink/control/usage.h"
#include "almondlink/flags.h"

DEFINE_string(team, "", "usage: only this team");
DEFINE_string(from, "", "usage: UTC, YYYY-MM-DD or YYYY-MM-DDTHH:MM:SS");
DEFINE_string(to, "", "usage: UTC, the same form");
DEFINE_string(format, "table", "usage: table, json or csv");
DEFINE_bool(nested, false, "usage: also calls that services made");

namespace almondlink::tool {

namespace {

/// Parses a time, or returns `none` for an empty text.
Result<Millis> ParseTime(const std::string& text, Millis none) {
  if (text.empty()) {
    return none;
  }
  for (const char* format : {"%Y-%m-%dT%H:%M:%S", "%Y-%m-%d"}) {
    std::tm time{};
    std::istringstream in(text);
    in >> std::get_time(&time, format);
    if (!in.fail() && in.peek() == std::istringstream::traits_type::eof()) {
      return Millis{static_cast<std::int64_t>(timegm(&time)) * 1000};
    }
  }
  return Fail(ErrorKind::kBadSettings,
              "'" + text +
                  "' is not a time; allowed: YYYY-MM-DD or "
                  "YYYY-MM-DDTHH:MM:SS, UTC");
}

Result<std::vector<wire::UsageRecord>> ReadRecords() {
  BOOST_LEAF_AUTO(log, OpenLog());
  std::vector<wire::UsageRecord> records;
  BOOST_LEAF_CHECK(ReadWhole(
      *log, record_log::UsageStream(FLAGS_deployment),
      [&records](const wire::LogPage& page) {
        for (const wire::LogEntry& entry : page.entries) {
          HandleFailure(
              [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(record,
                                wire::DecodeUsageRecord(entry.data.data(),
                                                        entry.data.size()));
                records.push_back(std::move(record));
                return true;
              },
              [&](const Failure& failure) {
                std::cerr << "record " << entry.offset
                          << " skipped: " << failure.detail << "\n";
                return false;
              });
        }
      }));
  return records;
}

bool IsWanted(const wire::UsageCell& cell) {
  const bool is_team = FLAGS_team.empty() || cell.team == FLAGS_team;
  return is_team && (FLAGS_nested || !cell.is_nested);
}

std::string Reasons(const wire::UsageCell& cell) {
  std::string text;
  for (std::size_t i = 0; i < cell.refusals.size(); ++i) {
    if (cell.refusals[i] > 0) {
      text += text.empty() ? "" : " ";
      text += std::string(AnswerFor(static_cast<ErrorKind>(i)).name) + "=" +
              std::to_string(cell.refusals[i]);
    }
  }
  return text;
}

void PrintLine(const char* format, const wire::UsageCell& cell) {
  std::printf(format, cell.team.c_str(), cell.operation.c_str(),
              ToString(static_cast<Criticality>(cell.criticality)),
              static_cast<unsigned long long>(cell.served),
              static_cast<unsigned long long>(cell.not_run),
              static_cast<unsigned long long>(cell.unknown),
              static_cast<unsigned long long>(cell.retries),
              static_cast<unsigned long long>(cell.wasted),
              Reasons(cell).c_str());
}

void PrintTable(const control::UsageReport& report) {
  std::printf("%-14s %-20s %-10s %9s %9s %9s %9s %9s  %s\n", "team",
              "operation", "class", "served", "not-run", "unknown", "retries",
              "wasted", "refusals");
  for (const auto& [key, cell] : report.cells) {
    if (IsWanted(cell)) {
      PrintLine("%-14s %-20s %-10s %9llu %9llu %9llu %9llu %9llu  %s\n", cell);
    }
  }
}

void PrintCsv(const control::UsageReport& report) {
  std::printf(
      "team,operation,class,served,not_run,unknown,retries,wasted,refusals\n");
  for (const auto& [key, cell] : report.cells) {
    if (IsWanted(cell)) {
      PrintLine("%s,%s,%s,%llu,%llu,%llu,%llu,%llu,%s\n", cell);
    }
  }
}

void PrintJson(const control::UsageReport& report) {
  nlohmann::json cells = nlohmann::json::array();
  for (const auto& [key, cell] : report.cells) {
    if (!IsWanted(cell)) {
      continue;
    }
    nlohmann::json refusals = nlohmann::json::object();
    for (std::size_t i = 0; i < cell.refusals.size(); ++i) {
      if (cell.refusals[i] > 0) {
        refusals[AnswerFor(static_cast<ErrorKind>(i)).name] = cell.refusals[i];
      }
    }
    cells.push_back({{"team", cell.team},
                     {"operation", cell.operation},
                     {"class", ToString(key.criticality)},
                     {"nested", cell.is_nested},
                     {"served", cell.served},
                     {"not_run", cell.not_run},
                     {"unknown", cell.unknown},
                     {"retries", cell.retries},
                     {"wasted", cell.wasted},
                     {"refusals", refusals}});
  }
  const nlohmann::json tree = {{"cells", cells},
                               {"unfinished", report.unfinished}};
  std::cout << tree.dump(2) << "\n";
}

Result<int> Usage(const Arguments& /*arguments*/) {
  BOOST_LEAF_AUTO(from, ParseTime(FLAGS_from, Millis{0}));
  BOOST_LEAF_AUTO(
      to,
      ParseTime(FLAGS_to, Millis{std::numeric_limits<std::int64_t>::max()}));
  BOOST_LEAF_AUTO(records, ReadRecords());
  const control::UsageReport report = control::FoldUsage(records, from, to);
  if (FLAGS_format == "json") {
    PrintJson(report);
    return kExitOk;
  }
  if (FLAGS_format == "csv") {
    PrintCsv(report);
  } else if (FLAGS_format == "table") {
    PrintTable(report);
  } else {
    return Fail(ErrorKind::kBadSettings, "--format: allowed: table, json, csv");
  }
  for (const std::string& source : report.unfinished) {
    std::cerr << "note: " << source
              << " wrote no final record (it still runs, or it ended by a "
                 "crash and up to one interval of its counts is missing)\n";
  }
  return kExitOk;
}

}  // namespace

std::vector<Command> UsageCommands() {
  return {{"usage",
           "--log --deployment [--team --from --to --format=table|json|csv "
           "--nested]",
           "Folds the usage records: what each team was served and refused. A\n"
           "request answered not-run or outcome-unknown is never counted as\n"
           "served.",
           Usage}};
}

}  // namespace almondlink::tool
