#include "almondlink/relay/account_frames.h"

#include <catch2/catch.hpp>
#include <string>

#include "libs/relay/tests/frame_payload.h"

namespace almondlink::relay {
namespace {

template <typename Frame>
void CheckRoundTrip(FrameType type) {
  Frame sent;
  sent.rates = {{{11, 7}, 0.005}, {{0xffffffff, 8}, 123456.789}, {{12, 7}, 0}};
  std::string bytes;
  Append(sent, bytes);
  const std::string_view payload = PayloadOf(bytes, type);
  Frame read;
  REQUIRE(Decode(payload, read));
  REQUIRE(read.rates.size() == 3);
  REQUIRE(read.rates[0].account.account == 11);
  REQUIRE(read.rates[0].account.route == 7);
  REQUIRE(read.rates[0].per_s == 0.005);
  REQUIRE(read.rates[1].account.account == 0xffffffff);
  REQUIRE(read.rates[1].per_s == 123456.789);
  REQUIRE(read.rates[2].per_s == 0);
  for (std::size_t size = 0; size < payload.size(); ++size) {
    REQUIRE_FALSE(Decode(payload.substr(0, size), read));
  }
}

TEST_CASE("rates of accounts are unchanged by a round trip") {
  CheckRoundTrip<AccountDemandFrame>(FrameType::kAccountDemand);
  CheckRoundTrip<AccountDemandTotalFrame>(FrameType::kAccountDemandTotal);
}

// Guards against a peer that makes a node handle a list of any length at once.
TEST_CASE("a frame with too many accounts is an error") {
  AccountDemandFrame frame;
  frame.rates.resize(kMaxDemandEntries);
  std::string bytes;
  Append(frame, bytes);
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kAccountDemand), frame));
  frame.rates.resize(kMaxDemandEntries + 1);
  bytes.clear();
  Append(frame, bytes);
  REQUIRE_FALSE(Decode(PayloadOf(bytes, FrameType::kAccountDemand), frame));
}

// Guards against a rate that does not fit into the encoding.
TEST_CASE("rates beyond the encoding are limited") {
  AccountDemandFrame frame;
  frame.rates = {{{1, 1}, 1e300}, {{2, 1}, -1}};
  std::string bytes;
  Append(frame, bytes);
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kAccountDemand), frame));
  REQUIRE(frame.rates[0].per_s > 1e9);
  REQUIRE(frame.rates[1].per_s == 0);
}

}  // namespace
}  // namespace almondlink::relay
