#include "almondlink/relay/bearer_key.h"

#include <catch2/catch.hpp>

namespace almondlink::relay {
namespace {

/// Parses a request with these additional header fields.
RequestHead HeadOf(const std::string& fields) {
  HeaderNames names;
  names.request_id = "X-Id";
  names.account = "X-Account";
  RequestParser parser(names);
  std::string text =
      "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n" + fields + "\r\n";
  REQUIRE(parser.Feed(text) == ParseStatus::kDone);
  return parser.head;
}

BearerKey KeyOf(const std::string& fields) {
  return ReadBearerKey(HeadOf(fields));
}

TEST_CASE("the scheme is case-insensitive and may be surrounded by spaces") {
  for (const char* value : {"Bearer k-1", "bearer k-1", "BEARER   k-1",
                            "  Bearer \t k-1  ", "bEaReR k-1"}) {
    const BearerKey key =
        KeyOf(std::string("Authorization: ") + value + "\r\n");
    CAPTURE(value);
    REQUIRE(key.status == BearerKeyStatus::kPresent);
    REQUIRE(key.key == "k-1");
  }
}

TEST_CASE(
    "a missing key or another scheme is distinguished from a malformed key") {
  REQUIRE(KeyOf("").status == BearerKeyStatus::kAbsent);
  REQUIRE(KeyOf("Authorization: Basic abc\r\n").status ==
          BearerKeyStatus::kAbsent);
  REQUIRE(KeyOf("Authorization: Bearerk-1\r\n").status ==
          BearerKeyStatus::kAbsent);
  REQUIRE(KeyOf("Authorization: \r\n").status == BearerKeyStatus::kAbsent);
  REQUIRE(KeyOf("Authorization: Bearer\r\n").status ==
          BearerKeyStatus::kMalformed);
  REQUIRE(KeyOf("Authorization: Bearer a b\r\n").status ==
          BearerKeyStatus::kMalformed);
  REQUIRE(KeyOf("Authorization: Bearer k\xc3\xa4\r\n").status ==
          BearerKeyStatus::kMalformed);
  REQUIRE(KeyOf("Authorization: Bearer " + std::string(5000, 'x') + "\r\n")
              .status == BearerKeyStatus::kMalformed);
  REQUIRE(
      KeyOf("Authorization: Bearer a\r\nAuthorization: Bearer a\r\n").status ==
      BearerKeyStatus::kMalformed);
}

TEST_CASE("identity fields are kept separate from forwarded fields") {
  const RequestHead head = HeadOf(
      "Authorization: Bearer k\r\nX-Account: forged\r\nX-Other: 1\r\n"
      "x-account: again\r\n");
  REQUIRE(head.fields == "Host: h\r\nX-Id: 1\r\nX-Other: 1\r\n");
  REQUIRE(head.identity_fields ==
          "Authorization: Bearer k\r\nX-Account: forged\r\n"
          "x-account: again\r\n");
}

}  // namespace
}  // namespace almondlink::relay
