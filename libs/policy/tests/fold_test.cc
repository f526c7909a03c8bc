#include <catch2/catch.hpp>
#include <random>

#include "almondlink/policy/fold.h"

namespace almondlink::policy {
namespace {

/// A deployment with three operators, and records made by them.
struct Desk {
  OperatorKey ann = MakeOperatorKey();
  OperatorKey ben = MakeOperatorKey();
  OperatorKey cho = MakeOperatorKey();
  OperatorKey mallory = MakeOperatorKey();
  FoldRules rules;

  Desk() {
    this->rules.deployment = "d";
    this->rules.operators = {this->ann.public_key, this->ben.public_key,
                             this->cho.public_key};
    this->rules.deployment_key.bytes = RandomBytes(32);
  }

  static std::string Text(std::uint64_t base) {
    return "[bundle]\ndeployment = d\nversion = " + std::to_string(base + 1) +
           "\nbase = " + std::to_string(base) +
           "\ndiscipline = goodput\n[service s]\n[operation o]\nservice = s\n"
           "method = GET\npath = /\nkind = k\ncriticality = high\n"
           "repeatable = true\n[team t]\n";
  }

  Bytes Propose(const std::string& id,
                std::uint64_t base,
                const OperatorKey& key) const {
    wire::BundlePropose record;
    record.record_id = id;
    record.deployment = "d";
    record.base = base;
    record.version = base + 1;
    record.text = Text(base);
    Sign(key, record);
    return wire::Encode(record);
  }

  static Bytes SignBytes(const std::string& id,
                         const Bytes& propose,
                         const OperatorKey& key) {
    wire::BundleSign record;
    record.record_id = "s";
    record.proposal = id;
    const Result<wire::BundlePropose> decoded =
        wire::DecodeBundlePropose(propose.data(), propose.size());
    record.digest = DigestOf(*decoded);
    Sign(key, record);
    return wire::Encode(record);
  }

  static Bytes Release(const std::string& id, const OperatorKey& key) {
    wire::BundleRelease record;
    record.record_id = "r";
    record.proposal = id;
    Sign(key, record);
    return wire::Encode(record);
  }

  /// Propose, sign and release of one version.
  std::vector<Bytes> Version(const std::string& id, std::uint64_t base) const {
    const Bytes propose = this->Propose(id, base, this->ann);
    return {propose, SignBytes(id, propose, this->ben), Release(id, this->cho)};
  }
};

FoldState Fold(const FoldRules& rules,
               const std::vector<Bytes>& records,
               std::uint64_t from = 0) {
  FoldState state;
  StartFold(state, from);
  for (std::size_t i = from; i < records.size(); ++i) {
    ApplyRecord(rules, state, LogRecord{i, records[i]});
  }
  return state;
}

std::uint64_t VersionOf(const FoldState& state) {
  return state.in_force == nullptr ? 0 : state.in_force->bundle->version;
}

void Append(std::vector<Bytes>& log, const std::vector<Bytes>& more) {
  log.insert(log.end(), more.begin(), more.end());
}

TEST_CASE("a release with enough operators comes into force") {
  const Desk desk;
  const FoldState state = Fold(desk.rules, desk.Version("p", 0));
  REQUIRE(VersionOf(state) == 1);
  REQUIRE(state.in_force->offset == 2);
}

TEST_CASE("of two racing releases from one base the first wins") {
  const Desk desk;
  const std::vector<Bytes> a = desk.Version("a", 0);
  const std::vector<Bytes> b = desk.Version("b", 0);
  const std::vector<Bytes> log = {a[0], b[0], b[1], a[1], b[2], a[2]};
  const FoldState state = Fold(desk.rules, log);
  REQUIRE(state.in_force->proposal == "b");
  REQUIRE_FALSE(state.history.back().is_accepted);
  REQUIRE(state.history.back().reason ==
          "version 1 is in force, the base is 0");
}

TEST_CASE("signatures are by distinct known operators") {
  const Desk desk;
  const Bytes propose = desk.Propose("p", 0, desk.ann);
  // Twice the same operator, and one who is none.
  const FoldState state =
      Fold(desk.rules, {propose, Desk::SignBytes("p", propose, desk.ann),
                        Desk::SignBytes("p", propose, desk.mallory),
                        Desk::Release("p", desk.cho)});
  REQUIRE(VersionOf(state) == 0);
  REQUIRE(state.history[1].reason == "the operator has signed before");
  REQUIRE(state.history[2].reason == "the signer is not an operator");
  REQUIRE(state.history[3].reason == "signed by 1 of 2 operators");
}

TEST_CASE("forged, altered, re-ordered and replayed records change nothing") {
  const Desk desk;
  const std::vector<Bytes> version = desk.Version("p", 0);
  REQUIRE(VersionOf(Fold(desk.rules, {desk.Propose("p", 0, desk.mallory),
                                      version[1], version[2]})) == 0);
  for (std::size_t record = 0; record < version.size(); ++record) {
    for (std::size_t at = 0; at < version[record].size(); at += 7) {
      std::vector<Bytes> altered = version;
      altered[record][at] ^= 0x41;
      REQUIRE(VersionOf(Fold(desk.rules, altered)) == 0);
    }
  }
  REQUIRE(VersionOf(Fold(desk.rules, {version[2], version[0], version[1]})) ==
          0);
  std::vector<Bytes> log = version;
  Append(log, desk.Version("q", 1));
  Append(log, version);
  const FoldState state = Fold(desk.rules, log);
  REQUIRE(VersionOf(state) == 2);
  REQUIRE(state.in_force->offset == 5);
}

TEST_CASE("oversized and cut records are refused and the fold goes on") {
  const Desk desk;
  std::vector<Bytes> log = desk.Version("p", 0);
  Bytes cut = log[0];
  cut.resize(cut.size() / 2);
  log.insert(log.begin(), {Bytes(kMaxRecordBytes + 1, 0x80), cut, Bytes{},
                           Bytes{0x9f, 0xff}});
  const FoldState state = Fold(desk.rules, log);
  REQUIRE(VersionOf(state) == 1);
  REQUIRE(state.history[0].reason == "the record is too large");
}

TEST_CASE(
    "a fold started at any retained offset agrees once it has a snapshot") {
  const Desk desk;
  std::vector<Bytes> log;
  for (std::uint64_t version = 0; version < 4; ++version) {
    Append(log, desk.Version("p" + std::to_string(version), version));
    const FoldState state = Fold(desk.rules, log);
    log.push_back(wire::Encode(MakeSnapshot(desk.rules, *state.in_force)));
    // A late rival of the same base, which lost.
    Append(log, desk.Version("rival" + std::to_string(version), version));
  }
  const FoldState whole = Fold(desk.rules, log);
  REQUIRE(VersionOf(whole) == 4);
  const std::size_t last_snapshot = log.size() - 4;
  for (std::size_t from = 1; from <= last_snapshot; ++from) {
    const FoldState part = Fold(desk.rules, log, from);
    REQUIRE(VersionOf(part) == 4);
    REQUIRE(part.in_force->offset == whole.in_force->offset);
  }
  // Past the last snapshot nothing is known, and nothing is guessed: the
  // rival's release is not taken.
  REQUIRE(VersionOf(Fold(desk.rules, log, last_snapshot + 1)) == 0);
}

TEST_CASE("a forged snapshot of a losing proposal is not taken") {
  const Desk desk;
  std::vector<Bytes> log = desk.Version("a", 0);
  const std::vector<Bytes> rival = desk.Version("b", 0);
  wire::BundleSnapshot forged;
  forged.offset = 5;
  forged.records = rival;
  forged.offsets = {3, 4, 5};
  DeploymentKey other;
  other.bytes = RandomBytes(32);
  Seal(other, forged);
  Append(log, rival);
  log.push_back(wire::Encode(forged));
  REQUIRE(VersionOf(Fold(desk.rules, log, 3)) == 0);
  REQUIRE(Fold(desk.rules, log).in_force->proposal == "a");
}

TEST_CASE("a bundle from a peer is proved and never goes back") {
  const Desk desk;
  std::vector<Bytes> log = desk.Version("a", 0);
  const FoldState older = Fold(desk.rules, log);
  Append(log, desk.Version("b", 1));
  const FoldState newer = Fold(desk.rules, log);
  FoldState fresh;
  REQUIRE(*AdoptFromPeer(desk.rules, fresh, newer.in_force->offset,
                         newer.in_force->proof));
  REQUIRE(VersionOf(fresh) == 2);
  REQUIRE_FALSE(*AdoptFromPeer(desk.rules, fresh, older.in_force->offset,
                               older.in_force->proof));
  REQUIRE(VersionOf(fresh) == 2);
  // The log read afterwards does not take it back either.
  for (std::size_t i = 0; i < log.size(); ++i) {
    ApplyRecord(desk.rules, fresh, LogRecord{i, log[i]});
    REQUIRE(VersionOf(fresh) == 2);
  }
  std::vector<LogRecord> broken = newer.in_force->proof;
  broken[1].data[20] ^= 1;
  FoldState empty;
  const bool is_refused = HandleFailure(
      [&]() { return AdoptFromPeer(desk.rules, empty, 5, broken); },
      [](const Failure&) { return false; });
  REQUIRE_FALSE(is_refused);
  REQUIRE(VersionOf(empty) == 0);
}

TEST_CASE("the fold is the same for every reader, whatever pages it reads") {
  const Desk desk;
  std::vector<Bytes> log;
  std::mt19937_64 random(5);
  for (std::uint64_t version = 0; version < 3; ++version) {
    for (const char* who : {"x", "y"}) {
      Append(log, desk.Version(who + std::to_string(version), version));
    }
  }
  std::shuffle(log.begin(), log.end(), random);
  const FoldState first = Fold(desk.rules, log);
  FoldState second;
  for (std::size_t i = 0; i < log.size(); ++i) {
    // Records that were read before come again.
    for (std::size_t j = i > 3 ? i - 3 : 0; j <= i; ++j) {
      ApplyRecord(desk.rules, second, LogRecord{j, log[j]});
    }
  }
  REQUIRE(VersionOf(first) == VersionOf(second));
  REQUIRE(first.history.size() == second.history.size());
}

}  // namespace
}  // namespace almondlink::policy
