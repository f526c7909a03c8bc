#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>

#include "review/common/deployment.h"

/// An instance answers an upload before it has read the long body, without a
/// length, and the connection is reset while the answer is on its way. The
/// client must not get a complete success with a part of the body.
namespace almondlink::review {

namespace {

constexpr std::size_t kUploadSize = 8 * 1024 * 1024;
constexpr std::size_t kAnswerSize = 40'000;
constexpr std::size_t kFirstPart = 10'000;
constexpr int kClients = 3;
constexpr int kRequests = 80;
/// Of its answers, the faulty instance breaks off one in fifty: 0.02, the
/// dose of garble that the bench has as its default.
constexpr int kBreakEvery = 50;
constexpr std::int64_t kPartPauseMs = 150;
constexpr std::int64_t kDeadlineMs = 4000;

std::string BodyOf(const std::string& id) {
  std::string body;
  while (body.size() < kAnswerSize) {
    body += id + ";";
  }
  body.resize(kAnswerSize);
  return body;
}

/// What the two instances did, by request id.
struct Runs {
  std::mutex mutex;
  std::map<std::string, std::string> instance_of;
  std::map<std::string, bool> was_reset;
  int answers_of_faulty = 0;
};

/// Answers before the body is read, then reads on, as the protocol allows.
void Serve(Socket& socket,
           const Machine& machine,
           bool is_faulty,
           Runs& runs,
           Record& record) {
  std::string buffer;
  Head head;
  if (!ReadHead(socket, buffer, kDeadlineMs, head)) {
    return;
  }
  const std::string id = head.Field("request-id");
  const std::string target = head.Field("target-instance");
  if (target != machine.instance_id) {
    socket.Send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                machine.instance_id + "\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  bool resets = false;
  {
    const std::lock_guard<std::mutex> lock(runs.mutex);
    runs.instance_of[id] = machine.instance_id;
    if (is_faulty) {
      ++runs.answers_of_faulty;
      resets = runs.answers_of_faulty % kBreakEvery == 0;
    }
    runs.was_reset[id] = resets;
  }
  const std::string body = BodyOf(id);
  socket.Send(MakeSuccess(id, "Connection: close\r\n") +
              body.substr(0, kFirstPart));
  SleepMs(kPartPauseMs);
  if (resets) {
    record.Write("instance " + machine.instance_id + " resets the answer to " +
                 id + " after " + std::to_string(kFirstPart) + " of " +
                 std::to_string(kAnswerSize) + " bytes");
    socket.Reset();
    return;
  }
  const std::size_t length = std::stoul(head.Field("content-length"));
  std::string upload = head.rest;
  while (upload.size() < length && socket.Receive(upload, kDeadlineMs) > 0) {
  }
  socket.Send(body.substr(kFirstPart));
  socket.ShutdownSend();
  std::string rest;
  while (socket.Receive(rest, kDeadlineMs) > 0) {
  }
}

/// Answers as the clients saw them.
struct Counts {
  std::atomic<int> whole{0};
  std::atomic<int> wrong{0};
  std::atomic<int> other{0};
};

void Judge(const std::string& id,
           const Answer& answer,
           Runs& runs,
           Counts& counts,
           Record& record) {
  const std::lock_guard<std::mutex> lock(runs.mutex);
  const bool is_success = answer.end == AnswerEnd::kComplete &&
                          answer.status >= 200 && answer.status < 300;
  const bool is_whole = is_success && answer.body == BodyOf(id) &&
                        answer.head.Field("response-seal") == "seal-" + id;
  counts.whole += is_whole ? 1 : 0;
  counts.wrong += is_success && !is_whole ? 1 : 0;
  counts.other += is_success ? 0 : 1;
  record.Write(
      id + " at " + runs.instance_of[id] +
      (runs.was_reset[id] ? " (reset)" : "") + ": " +
      std::to_string(answer.status) + " " + ToString(answer.end) + ", " +
      std::to_string(answer.body.size()) + " bytes, length " +
      answer.head.Field("content-length") + ", seal " +
      answer.head.Field("response-seal") +
      (is_success && !is_whole ? "  SUCCESS WITH A PART OF THE BODY" : ""));
}

int Run(const std::string& folder, const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_path);
  Runs runs;
  Deployment deployment(folder, record);
  Machine& entry = deployment.Add("zone-a", "portal");
  Machine& first = deployment.Add("zone-a", "documents");
  Machine& second = deployment.Add("zone-a", "documents");
  const Server server_a(first.ip, kInstancePort, [&](Socket& socket) {
    Serve(socket, first, has_trouble, runs, record);
  });
  const Server server_b(second.ip, kInstancePort, [&](Socket& socket) {
    Serve(socket, second, false, runs, record);
  });
  deployment.Configure(7, {{"upload", "files.example", "/up/", "upload", 4000,
                            1000, 2, "documents"}});
  if (!deployment.StartNodes(3)) {
    return 2;
  }
  const std::string upload(kUploadSize, 'u');
  Counts counts;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client]() {
      for (int i = 0; i < kRequests; ++i) {
        const std::string id = "req" + std::to_string(1000 * client + i);
        Socket socket = Socket::Connect(entry.ip, kOutboundPort);
        socket.Send(MakeRequest("POST", "files.example", "/up/" + id, id,
                                kDeadlineMs, upload));
        const Answer answer = ReadAnswer(socket, NowMs() + kDeadlineMs);
        Judge(id, answer, runs, counts, record);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Write("whole " + std::to_string(counts.whole) +
               ", success with a part of the body " +
               std::to_string(counts.wrong) + ", other " +
               std::to_string(counts.other));
  if (counts.whole < kClients * kRequests / 2) {
    return 2;
  }
  return counts.wrong > 0 ? 1 : 0;
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
