#include "almondlink/control/blame.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace almondlink::control {

namespace {

Millis MemoryOf(const BlameRules& rules, const BlameRecord& record) {
  return rules.memory * static_cast<std::int64_t>(record.starts.size());
}

/// Makes room for one more.
void DropLeast(BlameTable& table) {
  const auto least = std::min_element(
      table.records.begin(), table.records.end(),
      [](const auto& a, const auto& b) {
        return std::make_tuple(a.second.starts.size(),
                               a.second.last_end.count) <
               std::make_tuple(b.second.starts.size(), b.second.last_end.count);
      });
  table.records.erase(least);
}

}  // namespace

const BlameRecord& NoteTargetEnd(const BlameRules& rules,
                                 Millis now,
                                 const RequestDigest& digest,
                                 std::uint64_t start,
                                 BlameTable& table,
                                 bool& is_new) {
  if (table.records.count(digest) == 0 &&
      table.records.size() >= rules.most_records) {
    DropLeast(table);
  }
  BlameRecord& record = table.records[digest];
  const bool is_known = std::find(record.starts.begin(), record.starts.end(),
                                  start) != record.starts.end();
  is_new = !is_known && record.starts.size() < kMostStartsKept;
  if (record.starts.empty()) {
    record.first_end = now;
  }
  if (is_new) {
    record.starts.push_back(start);
    record.last_end = now;
  }
  return record;
}

void ForgetOldBlame(const BlameRules& rules, Millis now, BlameTable& table) {
  for (auto entry = table.records.begin(); entry != table.records.end();) {
    const BlameRecord& record = entry->second;
    const bool is_old = now - record.last_end > MemoryOf(rules, record);
    entry = is_old ? table.records.erase(entry) : std::next(entry);
  }
}

BlameRecord* FindBlame(const RequestDigest& digest, BlameTable& table) {
  const auto found = table.records.find(digest);
  return found == table.records.end() ? nullptr : &found->second;
}

}  // namespace almondlink::control
