#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "almondlink/wire/messages.generated.h"

namespace almondlink::wire {
namespace {

Call MakeCall() {
  Call call;
  call.id = 0xffffffffffffffffULL;
  call.path = std::string("/a\0b\xff", 5);
  call.headers = {{"Name", "value"}, {"Other", ""}};
  call.timeout_ms = -5;
  call.is_recall = true;
  call.body = {0, 1, 255};
  return call;
}

bool Decodes(const std::vector<std::uint8_t>& bytes) {
  return HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeCall(bytes.data(), bytes.size()));
        return true;
      },
      [](const Failure& failure) {
        REQUIRE(failure.kind == ErrorKind::kBadMessage);
        return false;
      });
}

TEST_CASE("a message goes there and back, any octets included") {
  const std::vector<std::uint8_t> bytes = Encode(MakeCall());
  const Result<Call> call = DecodeCall(bytes.data(), bytes.size());
  REQUIRE(call);
  REQUIRE(call->id == 0xffffffffffffffffULL);
  REQUIRE(call->path == std::string("/a\0b\xff", 5));
  REQUIRE(call->headers.size() == 2);
  REQUIRE(call->headers[0].value == "value");
  REQUIRE(call->timeout_ms == -5);
  REQUIRE(call->is_recall);
  REQUIRE(call->body == std::vector<std::uint8_t>{0, 1, 255});
  REQUIRE(*PeekTag(bytes.data(), bytes.size()) == Tag::kCall);
}

TEST_CASE("older and newer senders are understood") {
  nlohmann::json tree = nlohmann::json::array({6, 42});
  std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(tree);
  REQUIRE(DecodeCancel(bytes.data(), bytes.size())->id == 42);
  tree.push_back("a field of a later version");
  bytes = nlohmann::json::to_cbor(tree);
  REQUIRE(DecodeCancel(bytes.data(), bytes.size())->id == 42);
  bytes = nlohmann::json::to_cbor(nlohmann::json::array({6}));
  REQUIRE(DecodeCancel(bytes.data(), bytes.size())->id == 0);
}

TEST_CASE("cut, altered and random bytes are errors, never crashes") {
  const std::vector<std::uint8_t> bytes = Encode(MakeCall());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    REQUIRE_FALSE(
        Decodes({bytes.begin(), bytes.begin() + static_cast<long>(size)}));
  }
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<std::uint8_t> altered = bytes;
    for (int j = 0; j < 3; ++j) {
      altered[random() % altered.size()] = static_cast<std::uint8_t>(random());
    }
    Decodes(altered);
  }
  REQUIRE_FALSE(Decodes(std::vector<std::uint8_t>(100'000, 0x81)));
  REQUIRE_FALSE(
      Decodes({0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}));
}

}  // namespace
}  // namespace almondlink::wire
