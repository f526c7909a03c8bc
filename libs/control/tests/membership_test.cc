#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "almondlink/control/membership.h"
#include "almondlink/control/usage.h"

namespace almondlink::control {
namespace {

wire::Member MakeMember(const std::string& node,
                        std::uint64_t incarnation,
                        std::uint64_t version,
                        MemberState state) {
  wire::Member member;
  member.node = node;
  member.incarnation = incarnation;
  member.version = version;
  member.state = static_cast<std::uint32_t>(state);
  return member;
}

Membership Start(const std::string& self) {
  Membership membership;
  StartMembership(MakeMember(self, 1, 1, MemberState::kAlive), Millis{0},
                  membership);
  return membership;
}

TEST_CASE("updates in any order and repeated converge to the same table") {
  std::vector<wire::Member> updates;
  for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
    for (std::uint64_t version = 1; version <= 3; ++version) {
      for (const MemberState state :
           {MemberState::kAlive, MemberState::kSuspect, MemberState::kFailed}) {
        updates.push_back(MakeMember("x", incarnation, version, state));
      }
    }
  }
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<wire::Member> shuffled = updates;
    shuffled.insert(shuffled.end(), updates.begin(), updates.end());
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    Membership membership = Start("me");
    for (const wire::Member& member : shuffled) {
      MergeMember({}, member, Millis{0}, membership);
    }
    const wire::Member& known = membership.members.at("x").member;
    REQUIRE(known.incarnation == 2);
    REQUIRE(known.version == 3);
    REQUIRE(known.state == static_cast<std::uint32_t>(MemberState::kFailed));
  }
}

TEST_CASE("a resumed node refutes that it failed") {
  Membership membership = Start("me");
  const MergeResult result = MergeMember(
      {}, MakeMember("me", 1, 1, MemberState::kFailed), Millis{0}, membership);
  REQUIRE(result.is_refuted);
  REQUIRE(SelfMember(membership).version == 2);
  REQUIRE(SelfMember(membership).state ==
          static_cast<std::uint32_t>(MemberState::kAlive));
  // Others accept the refutation although they considered the node failed.
  Membership other = Start("other");
  MergeMember({}, MakeMember("me", 1, 1, MemberState::kFailed), Millis{0},
              other);
  REQUIRE(MergeMember({}, SelfMember(membership), Millis{0}, other).is_changed);
}

TEST_CASE(
    "a suspect fails after its timeout, a restart under the same id rejoins") {
  const MembershipRules rules;
  Membership membership = Start("me");
  MergeMember(rules, MakeMember("x", 5, 1, MemberState::kAlive), Millis{0},
              membership);
  REQUIRE(SuspectMember("x", Millis{0}, membership));
  REQUIRE(ExpireMembers(rules, Millis{3000}, membership).empty());
  REQUIRE(ExpireMembers(rules, Millis{3001}, membership) ==
          std::vector<std::string>{"x"});
  // A stale update of the failed incarnation does not bring it back.
  REQUIRE_FALSE(MergeMember(rules, MakeMember("x", 5, 1, MemberState::kAlive),
                            Millis{3002}, membership)
                    .is_changed);
  REQUIRE(MergeMember(rules, MakeMember("x", 6, 1, MemberState::kAlive),
                      Millis{3003}, membership)
              .is_changed);
}

TEST_CASE("each round probes every living member once") {
  Membership membership = Start("me");
  for (int i = 0; i < 20; ++i) {
    MergeMember({},
                MakeMember("n" + std::to_string(i), 1, 1, MemberState::kAlive),
                Millis{0}, membership);
  }
  MergeMember({}, MakeMember("dead", 1, 1, MemberState::kFailed), Millis{0},
              membership);
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> draw(0, 1);
  for (int round = 0; round < 10; ++round) {
    std::set<std::string> probed;
    for (int i = 0; i < 20; ++i) {
      probed.insert(NextProbe(draw(random), membership)->node);
    }
    REQUIRE(probed.size() == 20);
    REQUIRE(probed.count("dead") == 0);
  }
}

TEST_CASE("an update reaches all members in a few rounds, also with loss") {
  constexpr int kNodes = 100;
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<Membership> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(Start("n" + std::to_string(i)));
  }
  for (Membership& node : nodes) {
    for (int i = 0; i < kNodes; ++i) {
      MergeMember(
          {}, MakeMember("n" + std::to_string(i), 1, 1, MemberState::kAlive),
          Millis{0}, node);
      for (auto& [name, entry] : node.members) {
        entry.transmissions = 1000;
      }
    }
  }
  wire::Member drained = SelfMember(nodes[0]);
  drained.is_draining = true;
  AnnounceSelf(drained, Millis{0}, nodes[0]);
  int rounds = 0;
  int knowing = 1;
  while (knowing < kNodes && rounds < 30) {
    ++rounds;
    for (int i = 0; i < kNodes; ++i) {
      const std::optional<wire::Member> to = NextProbe(draw(random), nodes[i]);
      if (draw(random) < 0.2) {
        continue;
      }
      const int other = std::stoi(to->node.substr(1));
      for (const wire::Member& update : PickUpdates({}, nodes[i])) {
        MergeMember({}, update, Millis{0}, nodes[other]);
      }
      for (const wire::Member& update : PickUpdates({}, nodes[other])) {
        MergeMember({}, update, Millis{0}, nodes[i]);
      }
    }
    knowing = static_cast<int>(
        std::count_if(nodes.begin(), nodes.end(), [](const Membership& node) {
          return node.members.at("n0").member.is_draining;
        }));
  }
  REQUIRE(rounds <= 10);
}

TEST_CASE(
    "usage folds to the same sum for lost, repeated and unordered records") {
  UsageTable table;
  const UsageKey key{"team", "op", Criticality::kHigh, false};
  std::vector<wire::UsageRecord> records;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    CountCall(key, ErrorKind::kNone, 1, table);
    CountCall(key, ErrorKind::kOverloaded, 0, table);
    CountCall(key, ErrorKind::kPeerLost, 0, table);
    wire::UsageRecord record;
    record.node = "n";
    record.incarnation = 1;
    record.sequence = i;
    record.time_ms = static_cast<std::int64_t>(i) * 100;
    record.is_final = i == 10;
    record.cells = CellsOf(table);
    records.push_back(record);
  }
  std::vector<wire::UsageRecord> kept = {records[9], records[2], records[9],
                                         records[6]};
  const UsageReport all = FoldUsage(kept, Millis{0}, Millis{10'000});
  REQUIRE(all.cells.at(key).served == 10);
  REQUIRE(all.cells.at(key).not_run == 10);
  REQUIRE(all.cells.at(key).unknown == 10);
  REQUIRE(all.cells.at(key).retries == 10);
  REQUIRE(all.cells.at(key)
              .refusals[static_cast<std::size_t>(ErrorKind::kOverloaded)] ==
          10);
  REQUIRE(all.unfinished.empty());
  const UsageReport part = FoldUsage(records, Millis{301}, Millis{700});
  REQUIRE(part.cells.at(key).served == 4);
  records.pop_back();
  REQUIRE(FoldUsage(records, Millis{0}, Millis{10'000}).unfinished.size() == 1);
}

}  // namespace
}  // namespace almondlink::control
