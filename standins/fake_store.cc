#include "standins/fake_store.h"

#include <sodium.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <cstring>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace almondlink::standins {

namespace {

constexpr std::chrono::milliseconds kLook{20};
/// Last answers to a producer that are given again for a repeated append.
constexpr std::size_t kAnswersKept = 5;

std::string Json(unsigned status, const nlohmann::json& body) {
  return MakeAnswer(status, "Content-Type: application/json\r\n", body.dump());
}

template <typename Number>
std::string BigEndian(Number number) {
  const Number wire = boost::endian::native_to_big(number);
  return std::string(reinterpret_cast<const char*>(&wire), sizeof(wire));
}

std::string Encoded(const std::string& key, const std::string& value) {
  std::string record(1, static_cast<char>(key.size()));
  record += key + value;
  return BigEndian(static_cast<std::uint32_t>(record.size())) + record;
}

std::string Base64(const std::string& bytes) {
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_ENCODED_LEN(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  text.resize(std::strlen(text.c_str()));
  return text;
}

}  // namespace

int FakeStore::OpenDoor(int port) {
  this->doors.push_back(std::make_unique<Door>());
  Door& door = *this->doors.back();
  door.server = std::make_unique<FakeServer>(
      port, [this, &door](const FakeRequest& request, const IsGone& is_gone) {
        return this->React(door, request, is_gone);
      });
  return static_cast<int>(this->doors.size()) - 1;
}

void FakeStore::SetFault(int door, StoreFault fault) {
  this->doors[static_cast<std::size_t>(door)]->fault = fault;
}

void FakeStore::SetFaults(StoreFault fault) {
  for (const std::unique_ptr<Door>& door : this->doors) {
    door->fault = fault;
  }
}

Reaction FakeStore::React(Door& door,
                          const FakeRequest& request,
                          const IsGone& is_gone) {
  const std::string target(request.target());
  const std::string path = target.substr(0, target.find('?'));
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->calls[path];
  }
  const StoreFault fault = door.fault;
  Reaction reaction;
  switch (fault) {
    case StoreFault::kBusy:
      reaction.bytes = MakeAnswer(503, "", "");
      return reaction;
    case StoreFault::kSilent:
      reaction.hangs = true;
      return reaction;
    case StoreFault::kReset:
      reaction.resets = true;
      return reaction;
    default:
      break;
  }
  if (path == "/log-append") {
    reaction.bytes = this->Append(request);
    reaction.hangs = fault == StoreFault::kLoseAnswers;
  } else if (path == "/log-read") {
    reaction.bytes = this->Read(request, is_gone);
  } else if (path == "/log-newest") {
    reaction.bytes = this->ReadNewest(request);
  } else {
    reaction.bytes = MakeAnswer(404, "", "");
  }
  return reaction;
}

std::string FakeStore::AppendRecords(Topic& log, std::string_view rest) {
  const std::uint64_t offset = log.records.size();
  while (rest.size() > 4) {
    std::uint32_t size = 0;
    std::memcpy(&size, rest.data(), sizeof(size));
    size = boost::endian::big_to_native(size);
    rest.remove_prefix(4);
    const std::size_t key_size = static_cast<unsigned char>(rest.front());
    log.records.push_back(
        {std::string(rest.substr(1, key_size)),
         std::string(rest.substr(1 + key_size, size - 1 - key_size))});
    rest.remove_prefix(size);
  }
  this->appended.notify_all();
  return Json(200, {{"offset", offset}, {"end", log.records.size()}});
}

std::string FakeStore::Append(const FakeRequest& request) {
  const std::string target(request.target());
  const std::lock_guard<std::mutex> lock(this->mutex);
  Topic& log = this->topics[QueryValue(target, "topic")];
  const std::string name = QueryValue(target, "producer");
  if (name.empty()) {
    return this->AppendRecords(log, request.body());
  }
  const std::uint64_t epoch = std::stoull(QueryValue(target, "epoch"));
  const std::uint64_t sequence = std::stoull(QueryValue(target, "sequence"));
  Producer& producer = log.producers[name];
  if (epoch < producer.epoch) {
    return Json(409, {{"why", "fenced"}});
  }
  if (epoch > producer.epoch) {
    producer = Producer{epoch, sequence, {}};
  }
  const auto repeated = producer.answers.find(sequence);
  if (repeated != producer.answers.end()) {
    return repeated->second;
  }
  if (sequence != producer.next) {
    return Json(409, {{"why", "seq"}, {"expected", producer.next}});
  }
  ++producer.next;
  std::string answer = this->AppendRecords(log, request.body());
  producer.answers[sequence] = answer;
  if (producer.answers.size() > kAnswersKept) {
    producer.answers.erase(producer.answers.begin());
  }
  return answer;
}

void FakeStore::PutFenced(const std::string& topic,
                          const std::string& producer,
                          std::uint64_t epoch,
                          const std::string& key,
                          const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Topic& log = this->topics[topic];
  log.producers[producer] = Producer{epoch, 1, {}};
  log.records.push_back({key, value});
  this->appended.notify_all();
}

std::size_t FakeStore::CountOf(const std::string& topic,
                               const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::vector<Record>& records = this->topics[topic].records;
  return static_cast<std::size_t>(std::count_if(
      records.begin(), records.end(),
      [&key](const Record& record) { return record.key == key; }));
}

std::string FakeStore::Read(const FakeRequest& request, const IsGone& is_gone) {
  const std::string target(request.target());
  const std::uint64_t from = std::stoull(QueryValue(target, "from"));
  const std::string wait = QueryValue(target, "waitMs");
  const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
  std::unique_lock<std::mutex> lock(this->mutex);
  Topic& log = this->topics[QueryValue(target, "topic")];
  while (from >= log.records.size() &&
         std::chrono::steady_clock::now() < until && !is_gone()) {
    this->appended.wait_for(lock, kLook);
  }
  if (from < log.first) {
    return Json(410, {{"first", log.first}});
  }
  std::string body =
      BigEndian<std::uint64_t>(log.records.size()) + BigEndian(log.first);
  for (std::uint64_t i = from; i < log.records.size(); ++i) {
    body += Encoded(log.records[i].key, log.records[i].value);
  }
  return MakeAnswer(200, "", body);
}

std::string FakeStore::ReadNewest(const FakeRequest& request) {
  const std::string topic = QueryValue(std::string(request.target()), "topic");
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Topic& log = this->topics[topic];
  nlohmann::json items = nlohmann::json::array();
  std::set<std::string> seen;
  for (std::size_t i = log.records.size(); i-- > 0;) {
    const Record& record = log.records[i];
    if (seen.insert(record.key).second && !record.value.empty()) {
      items.push_back({{"key", record.key},
                       {"value", Base64(record.value)},
                       {"offset", i}});
    }
  }
  return Json(200,
              {{"items", items}, {"more", false}, {"end", log.records.size()}});
}

void FakeStore::Put(const std::string& topic,
                    const std::string& key,
                    const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->topics[topic].records.push_back({key, value});
  this->appended.notify_all();
}

void FakeStore::Compact(const std::string& topic) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  // One more record makes every reader's offset older than the first kept.
  Topic& log = this->topics[topic];
  log.records.push_back({"unused", "x"});
  log.first = log.records.size();
  this->appended.notify_all();
}

std::string FakeStore::Newest(const std::string& topic,
                              const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Topic& log = this->topics[topic];
  for (std::size_t i = log.records.size(); i-- > 0;) {
    if (log.records[i].key == key) {
      return log.records[i].value;
    }
  }
  return {};
}

std::uint64_t FakeStore::Calls(const std::string& path) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->calls[path];
}

}  // namespace almondlink::standins
