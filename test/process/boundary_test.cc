#include <signal.h>
#include <catch2/catch.hpp>

#include "test/support/cluster.h"

/// Verdicts against the target's ledger, at every boundary of a request.
namespace almondlink::test {
namespace {

using standins::PlainAnswer;
using standins::PlainRequest;

bool IsInLedger(const std::vector<std::string>& ledger,
                const std::string& number) {
  for (const std::string& line : ledger) {
    if (line.find(" " + number + " ") != std::string::npos) {
      return true;
    }
  }
  return false;
}

/// Two services in one deployment, `front` without a target fault of its own.
struct Shop {
  Cluster cluster{22000, "boundary"};
  Instance* shop = nullptr;
  Instance* entry = nullptr;
  int number = 0;

  Shop() {
    this->cluster.StartLog();
    this->shop = &this->cluster.Add({"shop-1", "zone-a", "shop"});
    this->entry = &this->cluster.Add({"stock-1", "zone-b", "stock"});
    this->cluster.Release(ShopBundle(1));
    this->cluster.WaitReady(2);
  }

  PlainRequest Next(bool is_order) {
    ++this->number;
    const std::string text = "n" + std::to_string(this->number);
    PlainRequest request = is_order
                               ? MakeRequest("POST", "shop", "/orders/1", text)
                               : MakeRequest("GET", "shop", "/items/1", text);
    if (is_order) {
      request.headers["Idempotency-Key"] = FreshKey();
    }
    request.headers["Almondlink-Timeout-Ms"] = "700";
    return request;
  }
};

TEST_CASE("no request that is called not run is in the ledger") {
  Shop shop;
  struct Expectation {
    const char* fault;
    const char* verdict;
    bool is_run;
  };
  // Whatever the target does, the verdict is one that the ledger bears out.
  const std::vector<Expectation> expectations = {
      {"none", "answered", true},
      {"close-accept", "outcome-unknown", false},
      {"close-header", "outcome-unknown", false},
      {"close-skip", "outcome-unknown", false},
      {"close-run", "outcome-unknown", true},
      {"cut", "outcome-unknown", true},
      {"garbage", "outcome-unknown", true},
      {"no-length", "outcome-unknown", true},
      {"silent", "outcome-unknown", true},
      {"late=1500", "outcome-unknown", true},
      {"refuse", "not-run", false},
      {"extra", "answered", true},
  };
  for (const Expectation& expected : expectations) {
    for (const bool is_order : {false, true}) {
      INFO(expected.fault << " order=" << is_order);
      // A warm-up leaves a connection behind that the next request reuses.
      shop.cluster.SetTargetFault(*shop.shop, "none");
      const bool is_warm = Eventually([&]() {
        return shop.cluster.Call(*shop.entry, shop.Next(false)).status == 200;
      });
      REQUIRE(is_warm);
      shop.cluster.SetTargetFault(*shop.shop, expected.fault);
      const PlainRequest request = shop.Next(is_order);
      const std::string number = request.headers.at("X-Request-Number");
      const PlainAnswer answer = shop.cluster.Call(*shop.entry, request);
      const std::string verdict = answer.Header("almondlink-verdict");
      REQUIRE(verdict == expected.verdict);
      const std::vector<std::string> ledger = shop.cluster.Ledger(*shop.shop);
      REQUIRE(IsInLedger(ledger, number) == expected.is_run);
      if (verdict == "answered") {
        REQUIRE(answer.body.find(" " + number + "\n") != std::string::npos);
      }
    }
  }
}

TEST_CASE("a dead target is told as not run") {
  Shop shop;
  shop.shop->target->Kill();
  for (const bool is_order : {false, true}) {
    const PlainAnswer answer =
        shop.cluster.Call(*shop.entry, shop.Next(is_order));
    REQUIRE(answer.status == 502);
    REQUIRE(answer.Header("almondlink-verdict") == "not-run");
    REQUIRE(answer.Header("almondlink-error") == "connect-failed");
    REQUIRE_FALSE(answer.Header("retry-after").empty());
  }
}

TEST_CASE("late and doubled answers reach nobody else") {
  Shop shop;
  for (int round = 0; round < 30; ++round) {
    const char* fault = round % 3 == 0   ? "late=900"
                        : round % 3 == 1 ? "extra"
                                         : "none";
    shop.cluster.SetTargetFault(*shop.shop, fault);
    const PlainRequest request = shop.Next(false);
    const PlainAnswer answer = shop.cluster.Call(*shop.entry, request);
    if (answer.Header("almondlink-verdict") == "answered") {
      REQUIRE(answer.body.find(" " + request.headers.at("X-Request-Number") +
                               "\n") != std::string::npos);
    } else {
      REQUIRE(round % 3 == 0);
    }
  }
}

}  // namespace
}  // namespace almondlink::test
