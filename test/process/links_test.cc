#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <random>
#include <thread>

#include "almondlink/mesh/peer_links.h"
#include "almondlink/mesh/peer_server.h"
#include "test/support/cluster.h"
#include "test/support/relay.h"

/// Peer links at the real wire: late, reordered, doubled, cut and silent.
namespace almondlink::test {
namespace {

namespace asio = boost::asio;

constexpr std::uint16_t kServerPort = 23400;
constexpr std::uint16_t kRelayPort = 23401;

/// A loop with its thread.
struct Loop {
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      context.get_executor()};
  std::thread thread{[this]() { this->context.run(); }};

  ~Loop() { this->Stop(); }

  /// Runs nothing any more.
  void Stop() {
    if (this->thread.joinable()) {
      this->guard.reset();
      this->context.stop();
      this->thread.join();
    }
  }

  template <typename Task>
  void Do(Task task) {
    std::promise<void> done;
    asio::post(this->context, [&]() {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }
};

policy::DeploymentKey KeyOf(std::uint8_t byte) {
  policy::DeploymentKey key;
  key.bytes.assign(32, byte);
  return key;
}

/// A server that answers by a rule of the test, behind a relay, and links to
/// it.
struct Wire {
  using Rule = std::function<void(mesh::LinkId, wire::Call)>;

  Loop server_loop;
  Loop links_loop;
  std::unique_ptr<mesh::PeerServer> server;
  std::unique_ptr<mesh::PeerLinks> links;
  std::unique_ptr<Relay> relay;
  Rule rule;
  std::atomic<int> cancels{0};

  explicit Wire(std::uint8_t links_key = 1) {
    mesh::PeerServerConfig config;
    config.node = NodeId("server");
    config.address = {"127.0.0.1", kServerPort};
    config.key = KeyOf(1);
    mesh::PeerHandlers handlers;
    handlers.on_call = [this](mesh::LinkId link, wire::Call call) {
      this->rule(link, std::move(call));
    };
    handlers.on_cancel = [this](mesh::LinkId, const wire::Cancel&) {
      ++this->cancels;
    };
    handlers.on_state_pull = [](const wire::StatePull&) {
      return wire::StatePush{};
    };
    handlers.on_closed = [](mesh::LinkId) {};
    this->server_loop.Do([&]() {
      this->server = std::make_unique<mesh::PeerServer>(
          this->server_loop.context, config, handlers);
      REQUIRE(this->server->Listen());
    });
    this->relay = std::make_unique<Relay>(kRelayPort, kServerPort);
    mesh::PeerLinksConfig links_config;
    links_config.node = NodeId("links");
    links_config.key = KeyOf(links_key);
    this->links_loop.Do([&]() {
      this->links = std::make_unique<mesh::PeerLinks>(this->links_loop.context,
                                                      links_config);
    });
  }

  ~Wire() {
    this->links_loop.Do([&]() { this->links.reset(); });
    this->server_loop.Do([&]() { this->server->Close(); });
    this->relay.reset();
    // Connections that close still call the server: it goes after its loop.
    this->server_loop.Stop();
  }

  void Answer(mesh::LinkId link, std::uint64_t id, const std::string& body) {
    wire::Answer answer;
    answer.id = id;
    answer.body.assign(body.begin(), body.end());
    this->server->Answer(link, answer);
  }

  std::future<wire::Answer> Send(const std::string& body, Millis timeout) {
    auto promise = std::make_shared<std::promise<wire::Answer>>();
    wire::Call call;
    call.body.assign(body.begin(), body.end());
    asio::post(this->links_loop.context, [this, call, timeout, promise]() {
      this->links->Send("127.0.0.1:" + std::to_string(kRelayPort), call,
                        timeout, [promise](wire::Answer answer) {
                          promise->set_value(std::move(answer));
                        });
    });
    return promise->get_future();
  }
};

std::string Text(const std::vector<std::uint8_t>& bytes) {
  return {bytes.begin(), bytes.end()};
}

constexpr Millis kLong{10'000};

TEST_CASE("answers out of order, doubled and to nobody reach the right call") {
  Wire wire;
  std::vector<std::pair<mesh::LinkId, wire::Call>> held;
  std::mt19937_64 random(4);
  wire.rule = [&](mesh::LinkId link, wire::Call call) {
    held.emplace_back(link, std::move(call));
    if (held.size() < 50) {
      return;
    }
    std::shuffle(held.begin(), held.end(), random);
    for (const auto& [to, waiting] : held) {
      wire.Answer(to, waiting.id + 100'000, "nobody's");
      wire.Answer(to, waiting.id, Text(waiting.body));
      wire.Answer(to, waiting.id, "a second one");
    }
    held.clear();
  };
  std::vector<std::future<wire::Answer>> answers;
  answers.reserve(200);
  for (int i = 0; i < 200; ++i) {
    answers.push_back(wire.Send("call " + std::to_string(i), kLong));
  }
  for (int i = 0; i < 200; ++i) {
    const wire::Answer answer = answers[static_cast<std::size_t>(i)].get();
    REQUIRE(answer.error == 0);
    REQUIRE(Text(answer.body) == "call " + std::to_string(i));
  }
}

TEST_CASE("an answer after its call's deadline is dropped") {
  Wire wire;
  std::vector<std::pair<mesh::LinkId, std::uint64_t>> late;
  wire.rule = [&](mesh::LinkId link, const wire::Call& call) {
    if (Text(call.body) == "slow") {
      late.emplace_back(link, call.id);
      return;
    }
    for (const auto& [to, id] : late) {
      wire.Answer(to, id, "too late");
    }
    wire.Answer(link, call.id, Text(call.body));
  };
  const wire::Answer slow = wire.Send("slow", Millis{100}).get();
  REQUIRE(ErrorKindFrom(slow.error) == ErrorKind::kTargetTimeout);
  REQUIRE(Text(wire.Send("quick", kLong).get().body) == "quick");
  std::uint64_t dropped = 0;
  REQUIRE(Eventually([&]() {
    wire.links_loop.Do([&]() { dropped = wire.links->LateAnswers(); });
    return dropped == 1;
  }));
}

TEST_CASE("a link that is cut ends its calls as lost, and the next one works") {
  Wire wire;
  wire.rule = [&](mesh::LinkId link, const wire::Call& call) {
    if (Text(call.body) != "hold") {
      wire.Answer(link, call.id, Text(call.body));
    }
  };
  REQUIRE(wire.Send("first", kLong).get().error == 0);
  std::future<wire::Answer> held = wire.Send("hold", kLong);
  wire.relay->Cut();
  REQUIRE(ErrorKindFrom(held.get().error) == ErrorKind::kPeerLost);
  REQUIRE(wire.Send("again", kLong).get().error == 0);
  REQUIRE(wire.relay->Accepted() == 2);
}

TEST_CASE("a silent link is replaced while its calls keep their chance") {
  Wire wire;
  wire.rule = [&](mesh::LinkId link, const wire::Call& call) {
    wire.Answer(link, call.id, Text(call.body));
  };
  REQUIRE(wire.Send("first", kLong).get().error == 0);
  wire.relay->Silence();
  std::future<wire::Answer> lost = wire.Send("into silence", kLong);
  // New calls work well before the old one is given up.
  REQUIRE(Eventually(
      [&]() { return wire.Send("probe", Millis{150}).get().error == 0; }));
  REQUIRE(wire.relay->Accepted() == 2);
  REQUIRE(ErrorKindFrom(lost.get().error) == ErrorKind::kPeerLost);
}

TEST_CASE("a peer without the deployment key gets nothing through") {
  Wire wire(2);
  std::atomic<int> calls{0};
  wire.rule = [&](mesh::LinkId, const wire::Call&) { ++calls; };
  const wire::Answer answer = wire.Send("let me in", kLong).get();
  REQUIRE(ErrorKindFrom(answer.error) == ErrorKind::kPeerUnreachable);
  REQUIRE(calls == 0);
}

TEST_CASE("a port where nobody listens is told as unreachable") {
  Wire wire;
  wire.rule = [](mesh::LinkId, const wire::Call&) {};
  auto promise = std::make_shared<std::promise<wire::Answer>>();
  wire.links_loop.Do([&]() {
    wire.links->Send("127.0.0.1:23499", {}, kLong,
                     [promise](wire::Answer answer) {
                       promise->set_value(std::move(answer));
                     });
  });
  REQUIRE(ErrorKindFrom(promise->get_future().get().error) ==
          ErrorKind::kPeerUnreachable);
}

}  // namespace
}  // namespace almondlink::test
