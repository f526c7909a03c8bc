#include <catch2/catch.hpp>

#include "almondlink/control/claims.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/control/key_table.h"

namespace almondlink::control {
namespace {

wire::ClaimBatch Batch(const std::string& id,
                       const std::string& node,
                       const std::vector<std::string>& keys) {
  wire::ClaimBatch batch;
  batch.record_id = id;
  batch.node = node;
  batch.incarnation = 1;
  batch.keys = keys;
  return batch;
}

TEST_CASE("the claim at the lowest offset wins permanently") {
  Claims claims;
  ApplyClaims(0, Batch("a/1", "a", {"k"}), Millis{0}, claims);
  ApplyClaims(1, Batch("b/1", "b", {"k", "l"}), Millis{1}, claims);
  ApplyClaims(2, Batch("a/2", "a", {"l"}), Millis{2}, claims);
  REQUIRE(FindClaim("k", claims)->node == NodeId("a"));
  REQUIRE(FindClaim("l", claims)->node == NodeId("b"));
}

TEST_CASE("a record appended twice counts once") {
  Claims claims;
  ApplyClaims(0, Batch("a/1", "a", {"k"}), Millis{0}, claims);
  ApplyClaims(5, Batch("a/1", "a", {"k"}), Millis{0}, claims);
  REQUIRE(FindClaim("k", claims)->offset == 0);
  REQUIRE(HasRecord("a/1", claims));
  REQUIRE_FALSE(HasRecord("a/2", claims));
}

TEST_CASE("records that were dropped unread leave their keys undecided") {
  Claims claims;
  SkipToRetained(3, Millis{1000}, claims);
  REQUIRE(CanDecide(Millis{0}, claims));
  ApplyClaims(3, Batch("a/1", "a", {"k"}), Millis{0}, claims);
  SkipToRetained(10, Millis{50'000}, claims);
  REQUIRE_FALSE(CanDecide(Millis{50'000}, claims));
  REQUIRE(CanDecide(Millis{50'000} + kMaxClockSkew, claims));
}

TEST_CASE("claims expire only after their age") {
  Claims claims;
  ApplyClaims(0, Batch("a/1", "a", {"k"}), Millis{0}, claims);
  ExpireClaims(Millis{100}, Millis{100}, claims);
  REQUIRE(FindClaim("k", claims) != nullptr);
  ExpireClaims(Millis{101}, Millis{100}, claims);
  REQUIRE(FindClaim("k", claims) == nullptr);
  REQUIRE_FALSE(HasRecord("a/1", claims));
}

TEST_CASE("a key is dispatched at most once") {
  KeyTable table;
  const KeyTableLimits limits;
  KeyEntry* entry = AddKey(limits, Millis{0}, "k", KeyState::kClaiming, table);
  REQUIRE_FALSE(BeginDispatch(*entry));
  entry->state = KeyState::kOwned;
  REQUIRE(BeginDispatch(*entry));
  REQUIRE_FALSE(BeginDispatch(*entry));
  RevertDispatch(*entry);
  REQUIRE(BeginDispatch(*entry));
  wire::Answer answer;
  answer.status = 200;
  answer.body = {1, 2, 3};
  RecordAnswer(limits, answer, *entry, table);
  REQUIRE(entry->state == KeyState::kDone);
  RevertDispatch(*entry);
  REQUIRE_FALSE(BeginDispatch(*entry));
  ExpireKeys(Millis{11}, Millis{10}, table);
  REQUIRE(table.entries.empty());
  REQUIRE(table.answer_bytes == 0);
}

TEST_CASE("a full key table refuses, large answers are not kept") {
  KeyTable table;
  KeyTableLimits limits;
  limits.max_entries = 1;
  limits.max_answer_size = 2;
  KeyEntry* entry = AddKey(limits, Millis{0}, "k", KeyState::kOwned, table);
  REQUIRE(AddKey(limits, Millis{0}, "l", KeyState::kOwned, table) == nullptr);
  wire::Answer answer;
  answer.body = {1, 2, 3};
  RecordAnswer(limits, answer, *entry, table);
  REQUIRE(entry->state == KeyState::kDone);
  REQUIRE_FALSE(entry->has_answer);
}

TEST_CASE("a UUID version 7 holds the creation time of a key") {
  const Millis created_at{1'700'000'000'123};
  const std::string key =
      MakeUuid7(created_at, 0x1234567890abcdef, 0xfedcba0987654321);
  REQUIRE(TimeOfUuid7(key) == std::optional<Millis>(created_at));
  REQUIRE_FALSE(
      TimeOfUuid7("f47ac10b-58cc-4372-a567-0e02b2c3d479").has_value());
  REQUIRE_FALSE(TimeOfUuid7(key + "0").has_value());
  REQUIRE_FALSE(TimeOfUuid7("").has_value());
  REQUIRE(CheckKeyAge(created_at, created_at + Millis{10}, Millis{10}) ==
          ErrorKind::kNone);
  REQUIRE(CheckKeyAge(created_at, created_at + Millis{11}, Millis{10}) ==
          ErrorKind::kKeyExpired);
  REQUIRE(CheckKeyAge(created_at + kMaxClockSkew + Millis{1}, created_at,
                      Millis{10}) == ErrorKind::kKeyExpired);
}

TEST_CASE("minted keys round-trip, also with dots in the node id") {
  MintedKey key;
  key.node = NodeId("host.1.zone");
  key.incarnation = Incarnation(99);
  key.sequence = 7;
  key.created_at = Millis{1234};
  key.mac = "abcd";
  const std::optional<MintedKey> parsed = ParseMintedKey(MintedKeyText(key));
  REQUIRE(parsed.has_value());
  REQUIRE(parsed->node == key.node);
  REQUIRE(parsed->sequence == 7);
  REQUIRE(MintedKeyText(*parsed) == MintedKeyText(key));
  for (const char* bad : {"", "m1", "m1.a", "m1.a.1.2.3", "m2.a.1.2.3.x",
                          "m1..1.2.3.x", "m1.a.x.2.3.y", "....."}) {
    REQUIRE_FALSE(ParseMintedKey(bad).has_value());
  }
}

}  // namespace
}  // namespace almondlink::control
