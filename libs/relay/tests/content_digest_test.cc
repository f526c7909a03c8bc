#include "almondlink/relay/content_digest.h"

#include <catch2/catch.hpp>
#include <vector>

/// Equal requests must have equal digests and different ones different digests:
/// otherwise a caller is refused because of another caller's request, or
/// because of a different request of its own.
namespace almondlink::relay {
namespace {

RequestContent Content() {
  RequestContent content;
  content.deployment = "city";
  content.host = "stock.example";
  content.method = "GET";
  content.target = "/stock/1?size=2";
  content.account = "acme";
  content.body = "text";
  return content;
}

TEST_CASE("the same content has the same digest") {
  REQUIRE(DigestOf(Content()) == DigestOf(Content()));
  REQUIRE(control::ToString(DigestOf(Content())).size() == 32);
  REQUIRE(DigestOf(Content()).path == PathHashOf(Content().target));
}

TEST_CASE("different content has a different digest") {
  std::vector<RequestContent> others(7, Content());
  others[0].deployment = "town";
  others[1].host = "pay.example";
  others[2].method = "POST";
  others[3].target = "/stock/1?size=3";
  others[4].account = "acm";
  others[5].body = "texts";
  // Bytes moved from one field to the next.
  others[6].account = "acmet";
  others[6].body = "ext";
  for (const RequestContent& other : others) {
    REQUIRE(DigestOf(other) != DigestOf(Content()));
  }
}

}  // namespace
}  // namespace almondlink::relay
