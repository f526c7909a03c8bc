#include "almondlink/control/key_table.h"

namespace almondlink::control {

namespace {

std::size_t SizeOf(const wire::Answer& answer) {
  std::size_t size = answer.body.size();
  for (const wire::Header& header : answer.headers) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

void Erase(std::unordered_map<std::string, KeyEntry>::iterator found,
           KeyTable& table) {
  table.answer_bytes -= found->second.answer_bytes;
  table.entries.erase(found);
}

}  // namespace

KeyEntry* FindKey(const std::string& key, KeyTable& table) {
  const auto found = table.entries.find(key);
  return found == table.entries.end() ? nullptr : &found->second;
}

KeyEntry* AddKey(const KeyTableLimits& limits,
                 Millis now,
                 const std::string& key,
                 KeyState state,
                 KeyTable& table) {
  if (table.entries.size() >= limits.max_entries) {
    return nullptr;
  }
  KeyEntry entry;
  entry.state = state;
  entry.added_at = now;
  const auto added = table.entries.emplace(key, std::move(entry));
  if (added.second) {
    table.order.push_back(key);
  }
  return &added.first->second;
}

bool BeginDispatch(KeyEntry& entry) {
  if (entry.state != KeyState::kOwned) {
    return false;
  }
  entry.state = KeyState::kDispatched;
  return true;
}

void RevertDispatch(KeyEntry& entry) {
  if (entry.state == KeyState::kDispatched) {
    entry.state = KeyState::kOwned;
  }
}

void RecordAnswer(const KeyTableLimits& limits,
                  const wire::Answer& answer,
                  KeyEntry& entry,
                  KeyTable& table) {
  entry.state = KeyState::kDone;
  const std::size_t size = SizeOf(answer);
  const bool fits = size <= limits.max_answer_size &&
                    table.answer_bytes + size <= limits.max_answer_bytes;
  if (!fits) {
    return;
  }
  entry.has_answer = true;
  entry.answer = answer;
  entry.answer_bytes = size;
  table.answer_bytes += size;
}

void RemoveKey(const std::string& key, KeyTable& table) {
  const auto found = table.entries.find(key);
  if (found != table.entries.end()) {
    Erase(found, table);
  }
}

void ExpireKeys(Millis now, Millis age, KeyTable& table) {
  while (!table.order.empty()) {
    const auto oldest = table.entries.find(table.order.front());
    if (oldest != table.entries.end()) {
      const KeyEntry& entry = oldest->second;
      const bool is_needed =
          now - entry.added_at <= age || !entry.waiting_calls.empty();
      if (is_needed) {
        return;
      }
      Erase(oldest, table);
    }
    table.order.pop_front();
  }
}

}  // namespace almondlink::control
