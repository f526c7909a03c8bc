#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <utility>

#include "review/common/deployment.h"

/// An instance refuses a part of its requests unrun, and sends a few of its
/// answers twice, the second time late. A request that must not run twice may
/// be sent to it again after a refusal; the second copy of the refusal must not
/// be taken for the answer to that.
namespace almondlink::review {

namespace {

constexpr int kClients = 60;
constexpr std::int64_t kWorkMs = 120;
constexpr std::int64_t kDeadlineMs = 5000;
/// Requests a second of all clients together.
constexpr double kRequestsPerS = 163;
constexpr std::int64_t kTrafficMs = 32'000;
/// The faults come three times, one after the other.
constexpr std::int64_t kFaultsEveryMs = 10'000;
/// Share of the requests that the instance refuses, and when.
constexpr double kRefused = 0.2;
constexpr std::int64_t kRefusesAtMs = 1000;
constexpr std::int64_t kRefusesMs = 8500;
/// Share of its answers that it sends twice, and when.
constexpr double kTwice = 0.03;
constexpr std::int64_t kTwiceAtMs = 3000;
constexpr std::int64_t kTwiceMs = 5000;
/// Longest time for which a second answer waits for the next request.
constexpr std::int64_t kLateMs = 300;

/// What the instance did, and what the clients got, by request id.
struct Seen {
  std::mutex mutex;
  std::mt19937 random{54};
  std::map<std::string, int> begun;
  std::map<std::string, int> refused;
  std::map<std::string, int> status;
  int second_answers = 0;

  /// Whether an event of that probability happens now.
  bool Draw(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }
};

/// The instance's faults begin when the traffic does.
struct Faults {
  bool has_trouble = true;
  std::atomic<std::int64_t> traffic_since{0};

  bool IsOn(std::int64_t at_ms, std::int64_t for_ms) const {
    const std::int64_t since = (NowMs() - this->traffic_since) % kFaultsEveryMs;
    return this->has_trouble && this->traffic_since != 0 && since >= at_ms &&
           since < at_ms + for_ms;
  }
};

/// One connection of the instance: a request at a time. A second answer is sent
/// when the next request has been read, or after kLateMs.
void Serve(Socket& socket,
           const Machine& machine,
           const Faults& faults,
           Seen& seen,
           Record& record) {
  std::string second;
  while (true) {
    Head head;
    bool has_next =
        ReadHead(socket, "", second.empty() ? 60'000 : kLateMs, head);
    if (!second.empty()) {
      socket.Send(std::exchange(second, std::string()));
      has_next = has_next || ReadHead(socket, "", 60'000, head);
    }
    if (!has_next) {
      return;
    }
    const std::string id = head.Field("request-id");
    if (head.Field("target-instance") != machine.instance_id) {
      socket.Send("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
                  "\r\nInstance-Id: " + machine.instance_id +
                  "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    bool is_refused = false;
    bool is_twice = false;
    {
      const std::lock_guard<std::mutex> lock(seen.mutex);
      is_refused = faults.IsOn(kRefusesAtMs, kRefusesMs) && seen.Draw(kRefused);
      is_twice = faults.IsOn(kTwiceAtMs, kTwiceMs) && seen.Draw(kTwice);
      ++(is_refused ? seen.refused : seen.begun)[id];
      seen.second_answers += is_twice ? 1 : 0;
    }
    if (!is_refused) {
      SleepMs(kWorkMs);
    }
    const std::string answer =
        is_refused ? "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
                         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                   : MakeSuccess(id, "Content-Length: 4\r\n") + "paid";
    socket.Send(answer);
    if (is_twice) {
      second = answer;
      record.Write("instance: second answer to " + id +
                   (is_refused ? " (refused)" : " (run)"));
    }
  }
}

/// Sends requests at its part of the rate, each on a new connection and with an
/// id of its own.
void SendRequests(const Machine& entry,
                  int client,
                  std::int64_t since,
                  Seen& seen) {
  const double pause_ms = 1000 * kClients / kRequestsPerS;
  for (int i = 0;; ++i) {
    const auto at = static_cast<std::int64_t>(
        pause_ms * (i + static_cast<double>(client) / kClients));
    if (at >= kTrafficMs) {
      return;
    }
    SleepMs(since + at - NowMs());
    const std::string id = "pay" + std::to_string(1000 * client + i);
    Socket socket = Socket::Connect(entry.ip, kOutboundPort);
    socket.Send(MakeRequest("POST", "grants.example", "/release/" + id, id,
                            kDeadlineMs, "amount"));
    const Answer answer = ReadAnswer(socket, NowMs() + kDeadlineMs);
    const std::lock_guard<std::mutex> lock(seen.mutex);
    seen.status[id] = answer.status;
  }
}

/// The number of requests that broke the rules.
int Judge(Seen& seen, Record& record) {
  const std::lock_guard<std::mutex> lock(seen.mutex);
  std::map<int, int> by_status;
  for (const auto& [id, status] : seen.status) {
    ++by_status[status];
  }
  for (const auto& [status, count] : by_status) {
    record.Write("clients got " + std::to_string(status) + ": " +
                 std::to_string(count));
  }
  int twice = 0;
  int refused = 0;
  for (const auto& [id, runs] : seen.begun) {
    const int status = seen.status[id];
    const bool is_twice = runs > 1;
    const bool is_refused = status == 503 || status == 429;
    twice += is_twice ? 1 : 0;
    refused += is_refused ? 1 : 0;
    if (is_twice || is_refused) {
      record.Write(id + ": refused by the instance " +
                   std::to_string(seen.refused[id]) + " times, run " +
                   std::to_string(runs) + " times, client got " +
                   std::to_string(status) + (is_twice ? "  RUN TWICE" : "") +
                   (is_refused ? "  RUN AND REFUSED" : ""));
    }
  }
  record.Write("second answers " + std::to_string(seen.second_answers) +
               ", requests run twice " + std::to_string(twice) +
               ", answered 503 though run " + std::to_string(refused));
  return twice + refused;
}

int Run(const std::string& folder, const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  Record record(record_path);
  Seen seen;
  Faults faults;
  faults.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Deployment deployment(folder, record);
  Machine& entry = deployment.Add("zone-a", "status-portal");
  Machine& disbursement = deployment.Add("zone-a", "disbursement");
  disbursement.capacity = 316;
  const Server server(disbursement.ip, kInstancePort, [&](Socket& socket) {
    Serve(socket, disbursement, faults, seen, record);
  });
  deployment.Configure(7, {{"release", "grants.example", "/release/", "unsafe",
                            5000, 1500, 2, "disbursement"}});
  if (!deployment.StartNodes(2)) {
    return 2;
  }
  const std::int64_t since = NowMs();
  faults.traffic_since = since;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back(
        [&, client]() { SendRequests(entry, client, since, seen); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  SleepMs(2 * kWorkMs);
  const int broken = Judge(seen, record);
  const bool has_run = seen.begun.size() > static_cast<std::size_t>(kClients);
  if (!has_run) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace

}  // namespace almondlink::review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const int result = almondlink::review::Run(argv[1], argv[2]);
  std::quick_exit(result);
}
