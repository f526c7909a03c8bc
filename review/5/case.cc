#include <atomic>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/common-2/deployment.h"

/// The instance beside a node falls silent for good while all its slots are
/// taken, and its address goes to an instance of another service. The rules
/// want no request to be run by a service that it may not go to.
namespace almondlink::review {
namespace {

constexpr int kTimeoutMs = 5000;
/// As of a route of tarkrent-mesh-grown.
constexpr int kAimMs = 4000;
constexpr int kWorkMs = 260;
constexpr int kCapacity = 8;
constexpr int kOtherCapacity = 64;
constexpr int kPerSecond = 320;
/// Of the six instances of the service one falls silent.
constexpr const char* kZones[] = {"hall-a", "hall-b", "hall-c",
                                  "hall-a", "hall-b", "hall-c"};
constexpr std::size_t kLost = 1;
constexpr int kLengthMs = 5000;
constexpr int kSilentAtMs = 1500;
/// The address is used again after `reuseAfterS` (2 s) and a little longer.
constexpr int kReusedAfterMs = 2050;

int Play(const std::string& root, const std::string& folder) {
  Record record(folder + "/record.txt");
  Deployment deployment(root, record);
  const int entry = deployment.Add("portal", "hall-a");
  std::vector<int> serving;
  for (const char* zone : kZones) {
    serving.push_back(deployment.Add("orders", zone));
  }
  const Route route{"order",  "orders.example", "/order/", "orders",
                    "unsafe", kTimeoutMs,       kAimMs};
  deployment.Configure(1, {route}, {"portal", "orders", "consent"});
  Deployment::Node& beside = deployment.At(serving[kLost]);
  std::atomic<bool> is_gone{false};
  const auto serve = [&is_gone](const std::string& id, bool may_end) {
    return
        [&is_gone, id, may_end](const Received& request, const Socket& socket) {
          for (int i = 0; i < kWorkMs / 10; ++i) {
            SleepMs(10);
          }
          if (may_end && is_gone) {
            // It never answers.
            return true;
          }
          return socket.SendAll(SuccessHead(request, id, 4) + "done");
        };
  };
  std::vector<std::unique_ptr<Instance>> orders;
  deployment.Start(entry, true);
  for (std::size_t i = 0; i < serving.size(); ++i) {
    const Deployment::Node& node = deployment.At(serving[i]);
    const std::string id = "i-orders" + std::to_string(i + 1);
    orders.push_back(std::make_unique<Instance>(
        Instance::Spec{id, "orders", node.zone, node.instance, node.control,
                       node.instance, kCapacity},
        serve(id, i == kLost), record));
    deployment.Start(serving[i], true);
  }
  if (!deployment.WaitReady({route})) {
    return kCouldNotRun;
  }
  std::vector<std::thread> clients;
  std::atomic<int> served{0};
  const std::int64_t start = NowMs();
  std::unique_ptr<Instance> other;
  for (int i = 0; NowMs() - start < kLengthMs; ++i) {
    clients.emplace_back([&, i]() {
      Request request;
      request.method = "POST";
      request.host = route.host;
      request.id = "order" + std::to_string(i);
      request.path = "/order/" + std::to_string(i);
      request.body = "one screening";
      record.Line("client sends " + request.id);
      const Answer answer =
          Send(deployment.At(entry).caller, request, kTimeoutMs + 1000);
      record.Line("client of " + request.id + ": status " +
                  std::to_string(answer.status) + " from " +
                  answer.head.Field("response-seal") + ", " +
                  ToString(answer.end));
      served += answer.status == 200 ? 1 : 0;
    });
    std::this_thread::sleep_for(
        std::chrono::microseconds(1'000'000 / kPerSecond));
    const std::int64_t now = NowMs() - start;
    if (HasTrouble() && !is_gone && now >= kSilentAtMs) {
      is_gone = true;
      orders[kLost]->FallSilent();
    }
    if (is_gone && other == nullptr && now >= kSilentAtMs + kReusedAfterMs) {
      record.Line("the address goes to i-consent1 of another service");
      deployment.ChangeService(serving[kLost], "consent");
      other = std::make_unique<Instance>(
          Instance::Spec{"i-consent1", "consent", beside.zone, beside.instance,
                         beside.control, beside.instance, kOtherCapacity},
          serve("i-consent1", false), record);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  std::size_t foreign = 0;
  if (other != nullptr) {
    foreign = other->Ran().size();
  }
  record.Line(std::to_string(served) + " of " + std::to_string(clients.size()) +
              " answered with success; " + std::to_string(foreign) +
              " orders run by an instance of the service consent");
  if (!HasTrouble() && served < 100) {
    return kCouldNotRun;
  }
  record.Line(foreign > 0 ? "BROKEN: ROUTE" : "held");
  return foreign > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace almondlink::review

int main(int argc, char** argv) {
  if (argc != 3) {
    return almondlink::review::kCouldNotRun;
  }
  return almondlink::review::Play(argv[1], argv[2]);
}
