#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/common-2/deployment.h"

/// The leave of an instance is acknowledged while the store is away; right
/// after that all nodes are killed. A heartbeat that the instance had sent
/// before arrives late. The rules want no request to reach the instance later
/// than drainMs after the acknowledgement.
namespace almondlink::review {
namespace {

constexpr int kTimeoutMs = 3000;
constexpr int kDrainMs = 2000;
constexpr int kContactMs = 3000;
constexpr int kStoreAwayMs = 4500;
constexpr int kLeaveAfterMs = 1500;
constexpr int kDownMs = 1200;
/// How late the heartbeat arrives.
constexpr int kLateMs = 4500;
/// The instance serves on for so long after its leave.
constexpr int kServesOnMs = 14'000;
constexpr const char* kZones[] = {"hall-a", "hall-b", "hall-c"};

int Play(const std::string& root, const std::string& folder) {
  Record record(folder + "/record.txt");
  Deployment deployment(root, record);
  const int entry = deployment.Add("portal", "hall-a");
  std::vector<int> nodes = {entry};
  for (const char* zone : kZones) {
    nodes.push_back(deployment.Add("history", zone));
  }
  const Route route{"pull", "history.example", "/pull/", "history",
                    "safe", kTimeoutMs,        1200};
  deployment.Configure(1, {route}, {"portal", "history"});
  std::mutex mutex;
  std::map<std::string, std::vector<std::int64_t>> reached;
  std::vector<std::unique_ptr<Instance>> instances;
  for (const int node : nodes) {
    deployment.Start(node, true);
    const Deployment::Node& beside = deployment.At(node);
    if (node == entry) {
      continue;
    }
    const std::string id = "i-history" + std::to_string(node);
    instances.push_back(std::make_unique<Instance>(
        Instance::Spec{id, "history", beside.zone, beside.instance,
                       beside.control, beside.instance},
        [&mutex, &reached, id](const Received& request, const Socket& socket) {
          {
            const std::lock_guard<std::mutex> lock(mutex);
            reached[id].push_back(NowMs());
          }
          SleepMs(10);
          return socket.SendAll(SuccessHead(request, id, 4) + "read");
        },
        record));
  }
  if (!deployment.WaitReady({route})) {
    return kCouldNotRun;
  }
  std::atomic<bool> is_over{false};
  std::vector<std::thread> clients;
  constexpr int kClients = 6;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i]() {
      for (int number = 0; !is_over; ++number) {
        Request request;
        request.host = route.host;
        request.path = "/pull/x";
        request.id = "pull" + std::to_string(i) + "x" + std::to_string(number);
        Send(deployment.At(entry).caller, request, kTimeoutMs);
        SleepMs(20);
      }
    });
  }
  Instance& leaving = *instances.front();
  SleepMs(2000);
  if (HasTrouble()) {
    deployment.Store().SetFaults(standins::StoreFault::kBusy);
    record.Line("the store is away");
  }
  const std::int64_t away_at = NowMs();
  SleepMs(kLeaveAfterMs);
  leaving.StopHeartbeats();
  const std::string late = leaving.Heartbeat();
  const std::int64_t late_at = NowMs() + kLateMs;
  record.Line("a heartbeat of " + leaving.Id() + " is on its way");
  SleepMs(100);
  int status = 0;
  std::int64_t acknowledged_at = 0;
  for (int i = 0; i < 3 && status != 200; ++i) {
    status = leaving.Tell("leave", "");
    acknowledged_at = NowMs();
    record.Line("leave of " + leaving.Id() + " answered " +
                std::to_string(status));
  }
  std::int64_t back_at = acknowledged_at;
  if (HasTrouble()) {
    for (const int node : nodes) {
      deployment.At(node).process->Signal(SIGKILL);
    }
    record.Line("all nodes are killed");
    SleepMs(kDownMs);
    for (const int node : nodes) {
      deployment.Start(node, false);
    }
    SleepMs(std::max<std::int64_t>(0, away_at + kStoreAwayMs - NowMs()));
    deployment.Store().SetFaults(standins::StoreFault::kNone);
    // Machines are in touch again from contactMs later.
    back_at = NowMs();
    record.Line("the store is back");
  }
  SleepMs(std::max<std::int64_t>(0, late_at - NowMs()));
  record.Line("the late heartbeat arrives, answered " +
              std::to_string(leaving.Tell("heartbeat", late)));
  SleepMs(std::max<std::int64_t>(0, acknowledged_at + kServesOnMs - NowMs()));
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::int64_t from =
      std::max(acknowledged_at + kDrainMs, back_at + kContactMs);
  int after_leave = 0;
  int elsewhere = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [id, times] : reached) {
    for (const std::int64_t at : times) {
      const bool is_after = at > from;
      after_leave += is_after && id == leaving.Id() ? 1 : 0;
      elsewhere += is_after && id != leaving.Id() ? 1 : 0;
    }
  }
  record.Line(std::to_string(after_leave) + " requests reached " +
              leaving.Id() + " from " + std::to_string(from - acknowledged_at) +
              " ms after the acknowledgement on, " + std::to_string(elsewhere) +
              " the other instances");
  if (status != 200 || after_leave + elsewhere == 0) {
    return kCouldNotRun;
  }
  record.Line(after_leave > 0 ? "BROKEN: DRAIN" : "held");
  return after_leave > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace almondlink::review

int main(int argc, char** argv) {
  if (argc != 3) {
    return almondlink::review::kCouldNotRun;
  }
  return almondlink::review::Play(argv[1], argv[2]);
}
