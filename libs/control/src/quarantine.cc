#include "almondlink/control/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace almondlink::control {

namespace {

bool IsConfirmed(const QuarantineRules& rules, const QuarantineRecord& record) {
  return record.failed_trials >= rules.max_failed_trials;
}

bool HasRecentCompletedRun(const QuarantineRules& rules,
                           Millis now,
                           const QuarantineRecord& record) {
  return record.completed_at != Millis{0} &&
         now - record.completed_at < rules.completed_run_validity;
}

Millis RetentionOf(const QuarantineRules& rules,
                   const QuarantineRecord& record) {
  return IsConfirmed(rules, record)
             ? rules.confirmed_retention
             : rules.retention * static_cast<std::int64_t>(
                                     record.crashed_incarnations.size());
}

/// Order of eviction: the fewest failed trials first, then the fewest crashes,
/// then the oldest.
auto EvictionOrder(const QuarantineRecord& record) {
  return std::make_tuple(record.failed_trials,
                         record.crashed_incarnations.size(),
                         record.last_crash.count);
}

/// The record of the request; evicts another one if a new record needs space.
QuarantineRecord& FindOrAddRecord(const QuarantineRules& rules,
                                  const RequestDigest& digest,
                                  QuarantineTable& table) {
  const bool is_full = table.records.size() >= rules.max_records &&
                       table.records.count(digest) == 0;
  if (is_full) {
    table.records.erase(std::min_element(
        table.records.begin(), table.records.end(),
        [](const auto& a, const auto& b) {
          return EvictionOrder(a.second) < EvictionOrder(b.second);
        }));
  }
  return table.records[digest];
}

bool AddIncarnation(std::uint64_t incarnation, QuarantineRecord& record) {
  const bool is_known =
      std::find(record.crashed_incarnations.begin(),
                record.crashed_incarnations.end(),
                incarnation) != record.crashed_incarnations.end();
  if (is_known) {
    return false;
  }
  if (record.crashed_incarnations.size() >= kMaxCrashedIncarnations) {
    // Other nodes may still report the latest ones, so the oldest is dropped.
    record.crashed_incarnations.erase(record.crashed_incarnations.begin());
  }
  record.crashed_incarnations.push_back(incarnation);
  return true;
}

}  // namespace

bool RecordTargetCrash(const QuarantineRules& rules,
                       Millis now,
                       const RequestDigest& digest,
                       const TargetCrash& crash,
                       QuarantineTable& table) {
  QuarantineRecord& record = FindOrAddRecord(rules, digest, table);
  if (HasRecentCompletedRun(rules, now, record)) {
    record.last_crash = now;
    return false;
  }
  if (record.crashed_incarnations.empty()) {
    record.first_crash = now;
  }
  if (!AddIncarnation(crash.incarnation, record)) {
    return false;
  }
  record.last_crash = now;
  record.failed_trials += crash.is_on_trial ? 1 : 0;
  return true;
}

bool RecordCompletedRun(const QuarantineRules& rules,
                        Millis now,
                        const RequestDigest& digest,
                        QuarantineTable& table) {
  const auto found = table.records.find(digest);
  if (found == table.records.end()) {
    return false;
  }
  const QuarantineRecord before = found->second;
  const bool is_report_due =
      !before.crashed_incarnations.empty() ||
      now - before.completed_at >= rules.completed_run_interval;
  if (is_report_due) {
    found->second = QuarantineRecord();
    found->second.last_crash = before.last_crash;
    found->second.completed_at = now;
  }
  return is_report_due;
}

void MergeQuarantine(const QuarantineRules& rules,
                     Millis now,
                     const RequestDigest& digest,
                     const QuarantineRecord& reported,
                     QuarantineTable& table) {
  QuarantineRecord& record = FindOrAddRecord(rules, digest, table);
  if (HasRecentCompletedRun(rules, now, record)) {
    return;
  }
  if (record.crashed_incarnations.empty()) {
    record.first_crash = now;
  }
  for (const std::uint64_t incarnation : reported.crashed_incarnations) {
    AddIncarnation(incarnation, record);
  }
  record.last_crash = std::max(record.last_crash, reported.last_crash);
  record.failed_trials = std::max(record.failed_trials, reported.failed_trials);
}

QuarantineDecision DecideQuarantine(const QuarantineRules& rules,
                                    Millis now,
                                    const RequestDigest& digest,
                                    const QuarantineTable& table) {
  const QuarantineRecord* record = FindQuarantine(digest, table);
  if (record == nullptr || !IsQuarantined(rules, *record)) {
    return {};
  }
  if (record->failed_trials == 0) {
    return {QuarantineAction::kTrial, Millis{0}};
  }
  if (IsConfirmed(rules, *record)) {
    return {QuarantineAction::kRefuse, rules.trial_pause};
  }
  const Millis left = record->last_crash + rules.trial_pause - now;
  if (left > Millis{0}) {
    return {QuarantineAction::kRefuse, left};
  }
  return {QuarantineAction::kTrial, Millis{0}};
}

void ExpireQuarantine(const QuarantineRules& rules,
                      Millis now,
                      QuarantineTable& table) {
  for (auto entry = table.records.begin(); entry != table.records.end();) {
    const QuarantineRecord& record = entry->second;
    const bool is_old =
        record.crashed_incarnations.empty()
            ? now - record.last_crash > rules.cleared_retention
            : now - record.last_crash > RetentionOf(rules, record);
    entry = is_old ? table.records.erase(entry) : std::next(entry);
  }
}

const QuarantineRecord* FindQuarantine(const RequestDigest& digest,
                                       const QuarantineTable& table) {
  const auto found = table.records.find(digest);
  return found == table.records.end() ? nullptr : &found->second;
}

bool HasRecordForPath(std::uint64_t path, const QuarantineTable& table) {
  const auto first = table.records.lower_bound(RequestDigest{path, 0, 0});
  return first != table.records.end() && first->first.path == path;
}

bool IsQuarantined(const QuarantineRules& rules,
                   const QuarantineRecord& record) {
  return record.crashed_incarnations.size() >= rules.crashes_until_trial ||
         record.failed_trials > 0;
}

}  // namespace almondlink::control
