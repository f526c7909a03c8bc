#ifndef ALMONDLINK_STANDINS_FAKE_STORE_H_
#define ALMONDLINK_STANDINS_FAKE_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "standins/fake_server.h"

namespace almondlink::standins {

/// How one door of the store behaves.
enum class StoreFault {
  kNone,
  /// 503: nothing is done.
  kBusy,
  /// No answer, nothing done.
  kSilent,
  /// The connection is reset, nothing done.
  kReset,
  /// Writes are done and not answered.
  kLoseAnswers,
};

/// A stand-in for the platform's metadata store: topics that keep the newest
/// record of each key, in memory. Each node is given a door of its own, so that
/// the store can refuse one of them. Thread safe.
class FakeStore {
 public:
  FakeStore() = default;

  /// Opens a door at a port; its number counts from 0.
  int OpenDoor(int port);
  void SetFault(int door, StoreFault fault);
  /// For all doors.
  void SetFaults(StoreFault fault);

  /// Writes a record as the operator does.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  /// Drops the history of a topic; the newest records stay.
  void Compact(const std::string& topic);
  /// Value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key);
  /// Appends a record as a later start of `producer` would: earlier ones are
  /// fenced from then on.
  void PutFenced(const std::string& topic,
                 const std::string& producer,
                 std::uint64_t epoch,
                 const std::string& key,
                 const std::string& value);
  /// Records with that key that were ever appended.
  std::size_t CountOf(const std::string& topic, const std::string& key);
  /// Calls so far, by path without its query.
  std::uint64_t Calls(const std::string& path);

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  /// One producer of a topic and its last answers, by sequence number.
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::map<std::uint64_t, std::string> answers;
  };
  struct Topic {
    std::uint64_t first = 0;
    std::vector<Record> records;
    std::map<std::string, Producer> producers;
  };
  struct Door {
    std::atomic<StoreFault> fault{StoreFault::kNone};
    std::unique_ptr<FakeServer> server;
  };

  Reaction React(Door& door, const FakeRequest& request, const IsGone& is_gone);
  std::string Append(const FakeRequest& request);
  std::string AppendRecords(Topic& log, std::string_view rest);
  std::string Read(const FakeRequest& request, const IsGone& is_gone);
  std::string ReadNewest(const FakeRequest& request);

  std::mutex mutex;
  std::condition_variable appended;
  std::map<std::string, Topic> topics;
  std::map<std::string, std::uint64_t> calls;
  std::vector<std::unique_ptr<Door>> doors;
};

}  // namespace almondlink::standins

#endif  // ALMONDLINK_STANDINS_FAKE_STORE_H_
