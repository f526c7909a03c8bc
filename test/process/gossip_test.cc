#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "almondlink/mesh/gossip.h"
#include "test/support/cluster.h"

/// Gossip over real sockets with chosen losses: asymmetric, random, and zones
/// cut from each other.
namespace almondlink::test {
namespace {

namespace asio = boost::asio;

constexpr int kFirstPort = 23450;

std::string AddressOf(int index) {
  return "127.0.0.1:" + std::to_string(kFirstPort + index);
}

std::string NameOf(int index) {
  return "g" + std::to_string(index);
}

/// Datagrams that get lost, by sender and receiver.
struct Losses {
  std::mutex mutex;
  std::set<std::pair<int, std::string>> cut;
  double share = 0;
  std::mt19937_64 random{9};

  bool IsLost(int from, const std::string& to) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    const double draw =
        std::uniform_real_distribution<double>(0, 1)(this->random);
    return this->cut.count({from, to}) != 0 || draw < this->share;
  }
};

/// A group of gossiping nodes on one loop.
struct Group {
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      context.get_executor()};
  Losses losses;
  std::vector<std::unique_ptr<mesh::Gossip>> nodes;
  std::thread thread;

  explicit Group(int count) {
    for (int i = 0; i < count; ++i) {
      mesh::GossipConfig config;
      config.address = {"127.0.0.1",
                        static_cast<std::uint16_t>(kFirstPort + i)};
      config.key.bytes.assign(32, 7);
      config.probe_interval = Millis{40};
      config.probe_timeout = Millis{60};
      config.rules.suspect_timeout = Millis{400};
      config.is_lost = [this, i](const std::string& to) {
        return this->losses.IsLost(i, to);
      };
      wire::Member self;
      self.node = NameOf(i);
      self.incarnation = 1;
      self.version = 1;
      self.address = AddressOf(i);
      mesh::GossipHandlers handlers;
      handlers.on_change = []() {};
      handlers.on_newer_bundle = [](const wire::Member&, std::uint64_t) {};
      this->nodes.push_back(std::make_unique<mesh::Gossip>(
          this->context, config, self, handlers));
      REQUIRE(this->nodes.back()->Start());
    }
    // Everyone knows the first one only.
    const wire::Member first =
        control::SelfMember(this->nodes.front()->Members());
    for (std::size_t i = 1; i < this->nodes.size(); ++i) {
      this->nodes[i]->Merge({first});
    }
    this->thread = std::thread([this]() { this->context.run(); });
  }

  ~Group() {
    this->guard.reset();
    this->context.stop();
    this->thread.join();
  }

  /// States that a node holds the others in.
  std::vector<std::uint32_t> StatesAt(int at) {
    std::promise<std::vector<std::uint32_t>> promise;
    asio::post(this->context, [&]() {
      std::vector<std::uint32_t> states(this->nodes.size(), 99);
      for (const auto& [name, entry] :
           this->nodes[static_cast<std::size_t>(at)]->Members().members) {
        states[static_cast<std::size_t>(std::stoi(name.substr(1)))] =
            entry.member.state;
      }
      promise.set_value(states);
    });
    return promise.get_future().get();
  }

  /// Whether every node holds every other alive.
  bool IsWhole() {
    for (int i = 0; i < static_cast<int>(this->nodes.size()); ++i) {
      for (const std::uint32_t state : this->StatesAt(i)) {
        if (state != 0) {
          return false;
        }
      }
    }
    return true;
  }

  void Cut(int from, int to) {
    const std::lock_guard<std::mutex> guard(this->losses.mutex);
    this->losses.cut.insert({from, AddressOf(to)});
  }

  void Heal() {
    const std::lock_guard<std::mutex> guard(this->losses.mutex);
    this->losses.cut.clear();
    this->losses.share = 0;
  }
};

TEST_CASE("nodes that know one other find all") {
  Group group(8);
  REQUIRE(Eventually([&]() { return group.IsWhole(); }));
}

TEST_CASE("one lost direction does not fail a node: others probe for it") {
  Group group(6);
  REQUIRE(Eventually([&]() { return group.IsWhole(); }));
  group.Cut(0, 1);
  group.Cut(2, 1);
  // Over many probes of node 1 by 0 and 2 it is never held failed for good.
  for (int i = 0; i < 40; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(group.StatesAt(4)[1] < 2);
  }
  REQUIRE(Eventually([&]() { return group.IsWhole(); }));
}

TEST_CASE("a third of all datagrams lost fails nobody for good") {
  Group group(6);
  REQUIRE(Eventually([&]() { return group.IsWhole(); }));
  {
    const std::lock_guard<std::mutex> guard(group.losses.mutex);
    group.losses.share = 0.33;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  group.Heal();
  REQUIRE(Eventually([&]() { return group.IsWhole(); }));
}

TEST_CASE("zones cut from each other fail each other and join again") {
  Group group(6);
  REQUIRE(Eventually([&]() { return group.IsWhole(); }));
  for (int near = 0; near < 3; ++near) {
    for (int far = 3; far < 6; ++far) {
      group.Cut(near, far);
      group.Cut(far, near);
    }
  }
  const std::vector<std::uint32_t> near_only = {0, 0, 0, 2, 2, 2};
  const std::vector<std::uint32_t> far_only = {2, 2, 2, 0, 0, 0};
  // All six, so that nobody is left who still asks the other side.
  REQUIRE(Eventually([&]() {
    bool is_split = true;
    for (int i = 0; i < 6; ++i) {
      is_split =
          is_split && group.StatesAt(i) == (i < 3 ? near_only : far_only);
    }
    return is_split;
  }));
  // Probes that were out when the last one failed have ended, too.
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  group.Heal();
  REQUIRE(Eventually([&]() { return group.IsWhole(); }));
}

}  // namespace
}  // namespace almondlink::test
