#include "standins/log_store.h"

#include <algorithm>
#include <utility>

namespace almondlink::standins {

std::uint64_t LogStore::Append(const std::string& stream,
                               std::vector<std::uint8_t> data) {
  const std::lock_guard<std::mutex> guard(this->mutex);
  Stream& found = this->streams[stream];
  found.records.push_back(std::move(data));
  ++this->appends;
  const std::uint64_t offset = found.first + found.records.size() - 1;
  while (found.records.size() > this->most) {
    found.records.pop_front();
    ++found.first;
  }
  return offset;
}

wire::LogPage LogStore::Read(const std::string& stream,
                             std::uint64_t from,
                             std::uint32_t count) {
  const std::lock_guard<std::mutex> guard(this->mutex);
  const Stream& found = this->streams[stream];
  wire::LogPage page;
  page.first_retained = found.first;
  page.next_offset = found.first + found.records.size();
  for (std::uint64_t offset = std::max(from, found.first);
       offset < page.next_offset && page.entries.size() < count; ++offset) {
    page.entries.push_back({offset, found.records[offset - found.first]});
  }
  return page;
}

void LogStore::Trim(const std::string& stream, std::uint64_t offset) {
  const std::lock_guard<std::mutex> guard(this->mutex);
  Stream& found = this->streams[stream];
  while (found.first < offset && !found.records.empty()) {
    found.records.pop_front();
    ++found.first;
  }
}

std::uint64_t LogStore::Appends() const {
  const std::lock_guard<std::mutex> guard(this->mutex);
  return this->appends;
}

}  // namespace almondlink::standins
