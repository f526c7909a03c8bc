#include <atomic>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <set>

#include "review/common/deployment.h"

/// One client uploads a body that is within the limits of the configuration.
/// The platform kills a process that exceeds its memory; requests of other
/// clients on kept connections, which sound instances run, must still be
/// answered.
namespace almondlink::review {

namespace {

/// Memory of the smaller machines of the site, and the platform's check of it.
constexpr std::int64_t kMemoryKb = 160 * 1024;
constexpr std::int64_t kCheckMs = 2;
constexpr std::int64_t kRestartDelayMs = 500;
/// Below the limit of 67,108,864 bytes.
constexpr std::size_t kUploadSize = 62'000'000;
constexpr std::size_t kSmallUploadSize = 60'000;
constexpr int kClients = 10;
constexpr std::int64_t kWorkMs = 200;
constexpr std::int64_t kDeadlineMs = 2500;
constexpr std::int64_t kUploadDeadlineMs = 4000;
constexpr std::int64_t kRetryPauseMs = 250;
constexpr std::int64_t kUploadAtMs = 2000;
constexpr std::int64_t kTrafficMs = 6000;
/// The rule allows three.
constexpr int kAllowed = 3;

/// Ids of the requests that an instance began to run.
struct Runs {
  std::mutex mutex;
  std::set<std::string> begun;
};

/// Reads each request to its end, works, and answers.
void Serve(Socket& socket, const Machine& machine, Runs& runs) {
  while (true) {
    Head head;
    if (!ReadHead(socket, "", 60'000, head)) {
      return;
    }
    const std::string id = head.Field("request-id");
    const std::string length = head.Field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    std::size_t received = head.rest.size();
    while (received < size) {
      std::string part;
      if (socket.Receive(part, kUploadDeadlineMs) <= 0) {
        return;
      }
      received += part.size();
    }
    if (head.Field("target-instance") != machine.instance_id) {
      socket.Send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                  machine.instance_id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(runs.mutex);
      runs.begun.insert(id);
    }
    SleepMs(kWorkMs);
    socket.Send(MakeSuccess(id, "Content-Length: 4\r\n") + "done");
  }
}

/// What became of the requests on kept connections.
struct Counts {
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> lost{0};
  std::atomic<int> closed_unrun{0};
};

/// One client that sends a request after the other on one connection.
void SendRequests(const Machine& entry,
                  int client,
                  std::int64_t until,
                  Runs& runs,
                  Counts& counts,
                  Record& record) {
  Socket socket;
  bool is_kept = false;
  for (int i = 0; NowMs() < until; ++i) {
    if (!socket.IsOpen()) {
      socket = Socket::Connect(entry.ip, kOutboundPort);
      is_kept = false;
    }
    if (!socket.IsOpen()) {
      SleepMs(50);
      continue;
    }
    const std::string id = "req" + std::to_string(1000 * client + i);
    socket.Send(MakeRequest("POST", "records.example", "/consent/" + id, id,
                            kDeadlineMs, "consent"));
    const Answer answer = ReadAnswer(socket, NowMs() + kDeadlineMs);
    const bool is_answered = answer.end == AnswerEnd::kComplete;
    counts.answered += is_answered && answer.status == 200 ? 1 : 0;
    counts.refused += is_answered && answer.status != 200 ? 1 : 0;
    if (is_answered) {
      is_kept = answer.head.Field("connection") != "close";
    }
    if (!is_answered) {
      const std::lock_guard<std::mutex> lock(runs.mutex);
      const bool was_begun = runs.begun.count(id) > 0;
      counts.lost += was_begun && is_kept ? 1 : 0;
      counts.closed_unrun += was_begun ? 0 : 1;
      record.Write(id + (is_kept ? " on a kept connection: " : ": ") +
                   ToString(answer.end) +
                   (was_begun ? ", the instance had begun to run it" : ""));
    }
    if (!is_answered || !is_kept) {
      socket.Close();
    }
    if (is_answered && answer.status != 200) {
      // Retry-After is at most a third of the time left.
      SleepMs(kRetryPauseMs);
    }
  }
}

/// Kills and restarts nodes as the platform does.
void WatchMemory(Deployment& deployment,
                 const std::atomic<bool>& is_over,
                 Record& record) {
  while (!is_over) {
    for (const std::unique_ptr<Machine>& machine : deployment.machines) {
      const std::int64_t used = Deployment::MemoryKb(*machine);
      if (used <= kMemoryKb) {
        continue;
      }
      record.Write("node " + machine->name + " uses " + std::to_string(used) +
                   " kB of " + std::to_string(kMemoryKb) +
                   " kB: the platform kills it");
      deployment.Signal(*machine, SIGKILL);
      while (!deployment.HasEnded(*machine)) {
        SleepMs(1);
      }
      SleepMs(kRestartDelayMs);
      deployment.StartNode(*machine);
    }
    SleepMs(kCheckMs);
  }
}

int Run(const std::string& folder, const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  Runs runs;
  Deployment deployment(folder, record);
  Machine& entry = deployment.Add("zone-a", "reports");
  Machine& consent = deployment.Add("zone-a", "consent");
  Machine& documents = deployment.Add("zone-a", "documents");
  const Server consent_server(consent.ip, kInstancePort, [&](Socket& socket) {
    Serve(socket, consent, runs);
  });
  const Server documents_server(
      documents.ip, kInstancePort,
      [&](Socket& socket) { Serve(socket, documents, runs); });
  deployment.Configure(7, {{"consent", "records.example", "/consent/", "unsafe",
                            2500, 500, 2, "consent"},
                           {"upload", "records.example", "/documents/",
                            "upload", 4000, 1000, 2, "documents"}});
  if (!deployment.StartNodes(3)) {
    return 2;
  }
  std::atomic<bool> is_over{false};
  std::thread watch([&]() { WatchMemory(deployment, is_over, record); });
  Counts counts;
  const std::int64_t started = NowMs();
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client]() {
      SendRequests(entry, client + 1, started + kTrafficMs, runs, counts,
                   record);
    });
  }
  SleepMs(started + kUploadAtMs - NowMs());
  const std::string body(has_trouble ? kUploadSize : kSmallUploadSize, 'u');
  Socket socket = Socket::Connect(entry.ip, kOutboundPort);
  record.Write("a client uploads " + std::to_string(body.size()) + " bytes");
  socket.Send(MakeRequest("POST", "records.example", "/documents/1", "upload1",
                          kUploadDeadlineMs, body));
  const Answer answer = ReadAnswer(socket, NowMs() + kUploadDeadlineMs);
  record.Write("upload: " + std::to_string(answer.status) + " " +
               ToString(answer.end));
  for (std::thread& client : clients) {
    client.join();
  }
  for (const std::unique_ptr<Machine>& machine : deployment.machines) {
    record.Write("node " + machine->name + ": at most " +
                 std::to_string(Deployment::PeakMemoryKb(*machine)) +
                 " kB since its last start");
  }
  is_over = true;
  watch.join();
  record.Write("answered " + std::to_string(counts.answered) +
               ", refused or failed " + std::to_string(counts.refused) +
               ", begun and closed without an answer on kept connections " +
               std::to_string(counts.lost) + ", closed and not begun " +
               std::to_string(counts.closed_unrun));
  if (counts.answered < kClients) {
    return 2;
  }
  return counts.lost > kAllowed ? 1 : 0;
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
