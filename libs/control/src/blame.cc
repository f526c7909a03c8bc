#include "almondlink/control/blame.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace almondlink::control {

namespace {

bool IsProvenGuilty(const BlameRules& rules, const BlameRecord& record) {
  return record.failed_trials >= rules.most_failed_trials;
}

bool IsSpokenFor(const BlameRules& rules,
                 Millis now,
                 const BlameRecord& record) {
  return record.whole_at != Millis{0} &&
         now - record.whole_at < rules.whole_memory;
}

Millis MemoryOf(const BlameRules& rules, const BlameRecord& record) {
  return IsProvenGuilty(rules, record)
             ? rules.guilty_memory
             : rules.memory * static_cast<std::int64_t>(record.starts.size());
}

/// What is forgotten first: the fewest failed trials, the fewest ends, the
/// oldest.
auto WorthOf(const BlameRecord& record) {
  return std::make_tuple(record.failed_trials, record.starts.size(),
                         record.last_end.count);
}

/// The record of the request, after room was made for a new one.
BlameRecord& RecordOf(const BlameRules& rules,
                      const RequestDigest& digest,
                      BlameTable& table) {
  const bool is_full = table.records.size() >= rules.most_records &&
                       table.records.count(digest) == 0;
  if (is_full) {
    table.records.erase(
        std::min_element(table.records.begin(), table.records.end(),
                         [](const auto& a, const auto& b) {
                           return WorthOf(a.second) < WorthOf(b.second);
                         }));
  }
  return table.records[digest];
}

bool AddStart(std::uint64_t start, BlameRecord& record) {
  const bool is_known = std::find(record.starts.begin(), record.starts.end(),
                                  start) != record.starts.end();
  if (is_known) {
    return false;
  }
  if (record.starts.size() >= kMostStartsKept) {
    // The latest are those that others may still tell of.
    record.starts.erase(record.starts.begin());
  }
  record.starts.push_back(start);
  return true;
}

}  // namespace

bool NoteTargetEnd(const BlameRules& rules,
                   Millis now,
                   const RequestDigest& digest,
                   const TargetEnd& end,
                   BlameTable& table) {
  BlameRecord& record = RecordOf(rules, digest, table);
  if (IsSpokenFor(rules, now, record)) {
    record.last_end = now;
    return false;
  }
  if (record.starts.empty()) {
    record.first_end = now;
  }
  if (!AddStart(end.start, record)) {
    return false;
  }
  record.last_end = now;
  record.failed_trials += end.is_on_trial ? 1 : 0;
  return true;
}

bool NoteWholeRun(const BlameRules& rules,
                  Millis now,
                  const RequestDigest& digest,
                  BlameTable& table) {
  const auto found = table.records.find(digest);
  if (found == table.records.end()) {
    return false;
  }
  const BlameRecord before = found->second;
  const bool is_news =
      !before.starts.empty() || now - before.whole_at >= rules.whole_again;
  if (is_news) {
    found->second = BlameRecord();
    found->second.last_end = before.last_end;
    found->second.whole_at = now;
  }
  return is_news;
}

void MergeBlame(const BlameRules& rules,
                Millis now,
                const RequestDigest& digest,
                const BlameRecord& told,
                BlameTable& table) {
  BlameRecord& record = RecordOf(rules, digest, table);
  if (IsSpokenFor(rules, now, record)) {
    return;
  }
  if (record.starts.empty()) {
    record.first_end = now;
  }
  for (const std::uint64_t start : told.starts) {
    AddStart(start, record);
  }
  record.last_end = std::max(record.last_end, told.last_end);
  record.failed_trials = std::max(record.failed_trials, told.failed_trials);
}

BlameVerdict Judge(const BlameRules& rules,
                   Millis now,
                   const RequestDigest& digest,
                   const BlameTable& table) {
  const BlameRecord* record = FindBlame(digest, table);
  if (record == nullptr || !IsSuspect(rules, *record)) {
    return {};
  }
  if (record->failed_trials == 0) {
    return {BlameStep::kTry, Millis{0}};
  }
  if (IsProvenGuilty(rules, *record)) {
    return {BlameStep::kRefuse, rules.trial_pause};
  }
  const Millis left = record->last_end + rules.trial_pause - now;
  if (left > Millis{0}) {
    return {BlameStep::kRefuse, left};
  }
  return {BlameStep::kTry, Millis{0}};
}

void ForgetOldBlame(const BlameRules& rules, Millis now, BlameTable& table) {
  for (auto entry = table.records.begin(); entry != table.records.end();) {
    const BlameRecord& record = entry->second;
    const bool is_old = record.starts.empty()
                            ? now - record.last_end > rules.quiet
                            : now - record.last_end > MemoryOf(rules, record);
    entry = is_old ? table.records.erase(entry) : std::next(entry);
  }
}

const BlameRecord* FindBlame(const RequestDigest& digest,
                             const BlameTable& table) {
  const auto found = table.records.find(digest);
  return found == table.records.end() ? nullptr : &found->second;
}

bool KnowsPath(std::uint64_t path, const BlameTable& table) {
  const auto first = table.records.lower_bound(RequestDigest{path, 0, 0});
  return first != table.records.end() && first->first.path == path;
}

bool IsSuspect(const BlameRules& rules, const BlameRecord& record) {
  return record.starts.size() >= rules.ends_until_trial ||
         record.failed_trials > 0;
}

}  // namespace almondlink::control
