#ifndef ALMONDLINK_STANDINS_LOG_STORE_H_
#define ALMONDLINK_STANDINS_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "almondlink/wire/messages.generated.h"

namespace almondlink::standins {

/// Streams of an append-only log in memory. Thread safe.
class LogStore {
 public:
  /// Keeps at most `most` records per stream.
  explicit LogStore(std::size_t most) : most(most) {}

  std::uint64_t Append(const std::string& stream,
                       std::vector<std::uint8_t> data);
  wire::LogPage Read(const std::string& stream,
                     std::uint64_t from,
                     std::uint32_t count);
  /// Drops the records of a stream below `offset`, as retention would.
  void Trim(const std::string& stream, std::uint64_t offset);
  /// Appends of all streams so far.
  std::uint64_t Appends() const;

 private:
  struct Stream {
    std::uint64_t first = 0;
    std::deque<std::vector<std::uint8_t>> records;
  };

  const std::size_t most;
  mutable std::mutex mutex;
  std::map<std::string, Stream> streams;
  std::uint64_t appends = 0;
};

}  // namespace almondlink::standins

#endif  // ALMONDLINK_STANDINS_LOG_STORE_H_
