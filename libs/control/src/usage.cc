#include "almondlink/control/usage.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr const char* kOtherTeam = "other";

wire::UsageCell& FindOrAddCell(const UsageKey& key, UsageTable& table) {
  const auto found = table.cells.find(key);
  if (found != table.cells.end()) {
    return found->second;
  }
  UsageKey used = key;
  if (table.cells.size() >= kMaxUsageCells) {
    used = UsageKey{kOtherTeam, kOtherTeam, key.criticality, key.is_nested};
  }
  wire::UsageCell& cell = table.cells[used];
  cell.team = used.team;
  cell.operation = used.operation;
  cell.criticality = static_cast<std::uint32_t>(used.criticality);
  cell.is_nested = used.is_nested;
  return cell;
}

void AddRefusals(const std::vector<std::uint64_t>& from,
                 std::vector<std::uint64_t>& into) {
  into.resize(std::max(into.size(), from.size()));
  for (std::size_t i = 0; i < from.size(); ++i) {
    into[i] += from[i];
  }
}

void AddCell(const wire::UsageCell& from, wire::UsageCell& into) {
  into.served += from.served;
  into.not_run += from.not_run;
  into.unknown += from.unknown;
  into.retries += from.retries;
  into.wasted += from.wasted;
  AddRefusals(from.refusals, into.refusals);
}

UsageKey KeyOf(const wire::UsageCell& cell) {
  return UsageKey{cell.team, cell.operation,
                  static_cast<Criticality>(cell.criticality), cell.is_nested};
}

/// Difference of two counter values. Counters never decrease within an
/// incarnation, so it is exact for records written by nodes; it is 0 for a
/// forged lower value.
std::uint64_t CounterDelta(std::uint64_t value, std::uint64_t before) {
  return value > before ? value - before : 0;
}

wire::UsageCell Difference(const wire::UsageCell& last,
                           const wire::UsageCell& first) {
  wire::UsageCell cell = last;
  cell.served = CounterDelta(last.served, first.served);
  cell.not_run = CounterDelta(last.not_run, first.not_run);
  cell.unknown = CounterDelta(last.unknown, first.unknown);
  cell.retries = CounterDelta(last.retries, first.retries);
  cell.wasted = CounterDelta(last.wasted, first.wasted);
  for (std::size_t i = 0; i < cell.refusals.size(); ++i) {
    const std::uint64_t before =
        i < first.refusals.size() ? first.refusals[i] : 0;
    cell.refusals[i] = CounterDelta(last.refusals[i], before);
  }
  return cell;
}

/// The records of one incarnation that delimit the requested period.
struct IncarnationSpan {
  const wire::UsageRecord* first = nullptr;
  const wire::UsageRecord* last = nullptr;
  bool is_final = false;
};

bool IsLater(const wire::UsageRecord& record, const wire::UsageRecord* known) {
  return known == nullptr || record.sequence > known->sequence;
}

void ExtendSpan(const wire::UsageRecord& record,
                Millis from,
                Millis to,
                IncarnationSpan& span) {
  const Millis time{record.time_ms};
  if (time < from && IsLater(record, span.first)) {
    span.first = &record;
  }
  if (time <= to && IsLater(record, span.last)) {
    span.last = &record;
  }
  span.is_final = span.is_final || record.is_final;
}

void AddSpan(const IncarnationSpan& span, UsageReport& report) {
  if (span.last == nullptr) {
    return;
  }
  std::map<UsageKey, wire::UsageCell> before;
  if (span.first != nullptr) {
    for (const wire::UsageCell& cell : span.first->cells) {
      before[KeyOf(cell)] = cell;
    }
  }
  for (const wire::UsageCell& cell : span.last->cells) {
    const UsageKey key = KeyOf(cell);
    const wire::UsageCell difference = Difference(cell, before[key]);
    wire::UsageCell& sum = report.cells[key];
    sum.team = cell.team;
    sum.operation = cell.operation;
    sum.criticality = cell.criticality;
    sum.is_nested = cell.is_nested;
    AddCell(difference, sum);
  }
}

}  // namespace

void CountCall(const UsageKey& key,
               ErrorKind outcome,
               std::uint32_t retries,
               UsageTable& table) {
  wire::UsageCell& cell = FindOrAddCell(key, table);
  cell.retries += retries;
  switch (AnswerFor(outcome).verdict) {
    case Verdict::kAnswered:
      ++cell.served;
      break;
    case Verdict::kNotRun:
      ++cell.not_run;
      cell.refusals.resize(kErrorKindCount);
      ++cell.refusals[static_cast<std::size_t>(outcome)];
      break;
    case Verdict::kOutcomeUnknown:
      ++cell.unknown;
      break;
  }
}

void CountWasted(const UsageKey& key, UsageTable& table) {
  ++FindOrAddCell(key, table).wasted;
}

void AddUsage(const UsageTable& from, UsageTable& into) {
  for (const auto& [key, cell] : from.cells) {
    AddCell(cell, FindOrAddCell(key, into));
  }
}

std::vector<wire::UsageCell> CellsOf(const UsageTable& table) {
  std::vector<wire::UsageCell> cells;
  cells.reserve(table.cells.size());
  for (const auto& [key, cell] : table.cells) {
    cells.push_back(cell);
  }
  return cells;
}

UsageReport FoldUsage(const std::vector<wire::UsageRecord>& records,
                      Millis from,
                      Millis to) {
  std::map<std::pair<std::string, std::uint64_t>, IncarnationSpan> spans;
  for (const wire::UsageRecord& record : records) {
    ExtendSpan(record, from, to, spans[{record.node, record.incarnation}]);
  }
  UsageReport report;
  for (const auto& [source, span] : spans) {
    AddSpan(span, report);
    if (!span.is_final && span.last != nullptr) {
      report.unfinished.push_back(source.first + "/" +
                                  std::to_string(source.second));
    }
  }
  return report;
}

}  // namespace almondlink::control
