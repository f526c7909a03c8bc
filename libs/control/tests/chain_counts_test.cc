#include "almondlink/control/chain_counts.h"

#include <catch2/catch.hpp>

#include "almondlink/control/chain_admission.h"

/// Counting the calls of a chain.
namespace almondlink::control {
namespace {

constexpr std::uint32_t kFront = 1;
constexpr std::uint32_t kShort = 2;
constexpr std::uint32_t kRoute = 7;

CallCounts Counts(std::uint32_t front, std::uint32_t at_short) {
  CallCounts counts;
  AddRuns({kFront, front}, counts);
  AddRuns({kShort, at_short}, counts);
  return counts;
}

double PerRoot(const ChainCounts& chains, std::uint32_t service) {
  for (const ServiceCalls& calls : chains.routes.at(kRoute).calls) {
    if (calls.service == service) {
      return calls.per_root;
    }
  }
  return 0;
}

TEST_CASE("counts of parts of a chain add up") {
  CallCounts sum = Counts(1, 0);
  AddCounts(Counts(0, 4), sum);
  AddCounts(Counts(0, 4), sum);
  REQUIRE(sum.size == 2);
  REQUIRE(sum.entries[1].runs == 8);
}

TEST_CASE("a chain over too many services is not recorded") {
  CallCounts counts;
  for (std::uint32_t service = 1; service <= CallCounts::kMaxServices;
       ++service) {
    AddRuns({service, 1}, counts);
  }
  REQUIRE_FALSE(counts.is_truncated);
  AddRuns({CallCounts::kMaxServices, 1}, counts);
  REQUIRE_FALSE(counts.is_truncated);
  AddRuns({CallCounts::kMaxServices + 1, 1}, counts);
  REQUIRE(counts.is_truncated);
  ChainCounts chains;
  RecordChain(kRoute, counts, chains);
  REQUIRE(chains.routes.empty());
}

TEST_CASE("the first root request sets the mean and later ones refine it") {
  ChainCounts chains;
  RecordChain(kRoute, Counts(1, 8), chains);
  REQUIRE(PerRoot(chains, kShort) == Approx(8));
  RecordChain(kRoute, Counts(1, 4), chains);
  REQUIRE(PerRoot(chains, kShort) == Approx(6));
  REQUIRE(PerRoot(chains, kFront) == Approx(1));
}

TEST_CASE("chains that end early show within a few dozen root requests") {
  ChainCounts chains;
  for (int i = 0; i < 100; ++i) {
    RecordChain(kRoute, Counts(1, 8), chains);
  }
  for (int i = 0; i < 40; ++i) {
    RecordChain(kRoute, Counts(1, 2), chains);
  }
  REQUIRE(PerRoot(chains, kShort) == Approx(2).margin(0.3));
}

TEST_CASE("nodes that counted are averaged by their root requests") {
  std::map<std::uint32_t, RootTotals> sums;
  RootRate many;
  many.route = kRoute;
  many.offered_per_s = 40;
  many.admitted_per_s = 30;
  many.calls = {{kShort, 8}};
  RootRate few = many;
  few.offered_per_s = 10;
  few.admitted_per_s = 10;
  few.calls = {{kShort, 4}};
  RootRate uncounted = few;
  uncounted.calls.clear();
  for (const RootRate& rate : {many, few, uncounted}) {
    AddRootRate(rate, sums);
  }
  const RootTotals& sum = sums.at(kRoute);
  REQUIRE(sum.offered_per_s == Approx(60));
  REQUIRE(sum.admitted_per_s == Approx(50));
  REQUIRE(CountedCallsPerRoot(sum, kShort).has_value());
  REQUIRE(*CountedCallsPerRoot(sum, kShort) ==
          Approx((30 * 8 + 10 * 4) / 40.0));
  // A node that counted the chain without a call there reports none.
  REQUIRE(*CountedCallsPerRoot(sum, kFront) == Approx(0));
  REQUIRE_FALSE(CountedCallsPerRoot(RootTotals(), kShort).has_value());
}

}  // namespace
}  // namespace almondlink::control
