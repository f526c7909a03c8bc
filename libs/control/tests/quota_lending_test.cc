#include "almondlink/control/quota_lending.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <string>

#include "quota_network.h"

namespace almondlink::control {
namespace {

constexpr QuotaRules kRules;
/// Limits of a small and a large account: about a seventh of a request per
/// second and node, and about seven.
constexpr QuotaLimit kSmall{16, 16};
constexpr QuotaLimit kLarge{524, 524};

// ---- Lender ----

TEST_CASE("a bucket lends what it has and reports when there is more") {
  QuotaBucket bucket =
      StartBucket(kRules, kSmall, 1, Millis{0}, Millis{60'000});
  REQUIRE(Lend(kRules, kSmall, 1, Millis{60'000}, 10, bucket).granted == 10);
  const QuotaLoan rest = Lend(kRules, kSmall, 1, Millis{60'000}, 10, bucket);
  REQUIRE(rest.granted == 6);
  REQUIRE(rest.next_request > Millis{0});
  // The next caller has to wait for the four that were refused before.
  const QuotaLoan none = Lend(kRules, kSmall, 1, Millis{60'000}, 1, bucket);
  REQUIRE(none.granted == 0);
  REQUIRE(none.wait >= Millis{4000 / 16});
  REQUIRE(Lend(kRules, kSmall, 1, Millis{61'000}, 20, bucket).granted == 16);
}

TEST_CASE("the bucket of a new lender is almost empty") {
  const QuotaBucket bucket =
      StartBucket(kRules, kLarge, 1, Millis{5000}, Millis{5000});
  REQUIRE(bucket.bucket.tokens == InitialTokens(kRules, kLarge));
  const double margin =
      kRules.over * (kLarge.per_s * 5 + kLarge.burst) + kRules.slack;
  REQUIRE(2 * bucket.bucket.tokens < margin);
  // The tokens earned since the node became the lender are added.
  const QuotaBucket later =
      StartBucket(kRules, kLarge, 1, Millis{5000}, Millis{5500});
  REQUIRE(later.bucket.tokens == Approx(bucket.bucket.tokens + 262));
}

TEST_CASE("a lowered limit discards tokens beyond its burst") {
  QuotaBucket bucket = StartBucket(kRules, kLarge, 1, Millis{0}, Millis{9000});
  REQUIRE(Lend(kRules, kSmall, 1, Millis{9000}, 1000, bucket).granted <= 16);
}

TEST_CASE("both sides of a partition together lend no more than the limit") {
  for (std::uint32_t all = 1; all <= 100; ++all) {
    for (std::uint32_t side = 1; side < all; ++side) {
      const double sum =
          LendableShare(side, all) + LendableShare(all - side, all);
      REQUIRE(sum <= 1 + kRules.over);
    }
    REQUIRE(LendableShare(all, all) == 1);
  }
}

// ---- Borrower ----

TEST_CASE("a token that was not used can be used again, but not much later") {
  QuotaBorrower borrower;
  const Millis now{10'000};
  REQUIRE(TakeQuota(now, borrower) == QuotaDecision::kRequestTokens);
  REQUIRE(TokensToRequest(now, 1, borrower) == 1);
  // Only one request to the lender is pending at a time.
  REQUIRE(TokensToRequest(now, 2, borrower) == 0);
  ApplyLoan(now, {1, Millis{0}, Millis{0}, true}, borrower);
  REQUIRE(TakeBorrowed(now, borrower));
  GiveBack(now, borrower);
  REQUIRE(TakeQuota(now + Millis{100}, borrower) == QuotaDecision::kTaken);
  GiveBack(now + Millis{100}, borrower);
  REQUIRE(TakeQuota(now + Millis{1000}, borrower) ==
          QuotaDecision::kRequestTokens);
}

TEST_CASE("an account over its limit is refused without asking the lender") {
  QuotaBorrower borrower;
  const Millis now{10'000};
  REQUIRE(TakeQuota(now, borrower) == QuotaDecision::kRequestTokens);
  REQUIRE(TokensToRequest(now, 1, borrower) == 1);
  ApplyLoan(now, {0, Millis{100}, Millis{900}, false}, borrower);
  REQUIRE(TakeQuota(now + Millis{50}, borrower) == QuotaDecision::kOverLimit);
  REQUIRE(TokensToRequest(now + Millis{50}, 1, borrower) == 0);
  REQUIRE(TakeQuota(now + Millis{100}, borrower) ==
          QuotaDecision::kRequestTokens);
  // If a token will be available shortly, the caller waits for it.
  ApplyLoan(now + Millis{100}, {0, Millis{20}, Millis{30}, false}, borrower);
  REQUIRE(TakeQuota(now + Millis{110}, borrower) ==
          QuotaDecision::kRequestTokens);
}

TEST_CASE(
    "while the lender is silent a node continues at the rate lent to it") {
  QuotaBorrower borrower;
  Millis now{10'000};
  for (int i = 0; i < 200; ++i) {
    now = now + Millis{10};
    REQUIRE(TakeQuota(now, borrower) == QuotaDecision::kRequestTokens);
    REQUIRE(TokensToRequest(now, 1, borrower) >= 1);
    ApplyLoan(now, {1, Millis{0}, Millis{0}, false}, borrower);
    REQUIRE(TakeBorrowed(now, borrower));
  }
  REQUIRE(TokensToRequest(now, 1, borrower) >= 1);
  REQUIRE_FALSE(TakeFallback(now, borrower));
  int taken = 0;
  for (int i = 0; i < 5000; ++i) {
    now = now + Millis{1};
    taken += TakeFallback(now, borrower) ? 1 : 0;
  }
  // 100 per second, as before, but only for two and a half seconds.
  REQUIRE(taken > 150);
  REQUIRE(taken <= 250);
}

// ---- All nodes together ----

QuotaPlan PlanOf(const QuotaLimit& limit, double demand, std::size_t nodes) {
  QuotaPlan plan;
  plan.limit = [limit](Millis) { return limit; };
  plan.demand = [demand, nodes](Millis, std::size_t) {
    return demand / static_cast<double>(nodes);
  };
  return plan;
}

TEST_CASE(
    "an account below its limit is not refused, above it gets all of it") {
  for (const QuotaLimit& limit : {kSmall, kLarge}) {
    for (const std::size_t nodes : {3, 30, 82}) {
      CAPTURE(limit.per_s, nodes);
      QuotaWorld idle_world = MakeWorld(nodes, limit);
      const std::unique_ptr<QuotaScheme> below = MakeLending(idle_world, 1);
      const QuotaOutcome under = Drive(
          idle_world, *below, PlanOf(limit, 0.625 * limit.per_s, nodes), 1);
      const double asked = static_cast<double>(under.asked);
      REQUIRE(static_cast<double>(under.admitted) > 0.999 * asked);
      QuotaWorld busy_world = MakeWorld(nodes, limit);
      const std::unique_ptr<QuotaScheme> above = MakeLending(busy_world, 1);
      const QuotaOutcome over =
          Drive(busy_world, *above, PlanOf(limit, 8 * limit.per_s, nodes), 1);
      REQUIRE(over.max_excess <= 0);
      // 27 seconds are counted.
      REQUIRE(static_cast<double>(over.admitted) > 0.95 * limit.per_s * 27);
    }
  }
}

TEST_CASE("demand that moves to other nodes takes its limit along") {
  for (const QuotaLimit& limit : {kSmall, kLarge}) {
    const std::size_t nodes = 30;
    QuotaPlan plan = PlanOf(limit, 0, nodes);
    // Every four seconds the demand moves to another fifth of the nodes.
    plan.demand = [&limit](Millis at, std::size_t node) {
      const auto turn = static_cast<std::size_t>(at.count / 4000);
      return node % 5 == turn % 5 ? 1.5 * limit.per_s / 6 : 0;
    };
    QuotaWorld world = MakeWorld(nodes, limit);
    const std::unique_ptr<QuotaScheme> scheme = MakeLending(world, 2);
    const QuotaOutcome outcome = Drive(world, *scheme, plan, 2);
    CAPTURE(limit.per_s);
    REQUIRE(outcome.max_excess <= 0);
    REQUIRE(static_cast<double>(outcome.admitted) > 0.95 * limit.per_s * 27);
  }
}

/// Random faults of one run, drawn from its seed.
struct Faults {
  std::mt19937 random;
  QuotaLimit limit;
  Millis next{2000};

  void operator()(QuotaWorld& world, QuotaScheme& scheme) {
    if (world.now < this->next) {
      return;
    }
    this->next = world.now +
                 Millis{500 + static_cast<std::int64_t>(this->random() % 4000)};
    const unsigned kind = this->random() % 6;
    for (std::size_t i = 0; i < world.nodes; ++i) {
      const bool is_hit = this->random() % 100 < 35;
      const bool was_frozen = world.is_frozen[i];
      world.is_frozen[i] = kind == 0 && is_hit;
      world.is_cut[i] = kind == 1 && is_hit;
      const bool is_back = world.is_down[i];
      world.is_down[i] = kind == 2 && is_hit;
      const bool is_restarted = (kind == 3) || (kind == 4 && is_hit);
      if (is_back || (is_restarted && !was_frozen)) {
        scheme.Restart(i);
        world.started[i] = world.now;
      }
    }
  }
};

TEST_CASE("the bound holds in every window, whatever happens to the nodes") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    const QuotaLimit limit = seed % 2 == 0 ? kSmall : kLarge;
    const std::size_t nodes = 3 + random() % 40;
    const double times = 0.5 + static_cast<double>(random() % 80) / 10;
    QuotaPlan plan = PlanOf(limit, times * limit.per_s, nodes);
    plan.inject_faults = Faults{std::mt19937(seed * 7919), limit};
    QuotaWorld world = MakeWorld(nodes, limit);
    const std::unique_ptr<QuotaScheme> scheme = MakeLending(world, seed);
    const QuotaOutcome outcome = Drive(world, *scheme, plan, seed);
    CAPTURE(seed, nodes, times, limit.per_s);
    CHECK(outcome.max_excess <= 0);
  }
}

TEST_CASE("a limit lowered while a third of the nodes is cut off") {
  const std::size_t nodes = 30;
  QuotaPlan plan = PlanOf(kLarge, 8 * kLarge.per_s, nodes);
  plan.limit = [](Millis at) {
    return at < Millis{12'000} ? kLarge : QuotaLimit{100, 100};
  };
  plan.inject_faults = [](QuotaWorld& world, QuotaScheme&) {
    const bool is_cut =
        world.now > Millis{11'000} && world.now < Millis{23'000};
    for (std::size_t i = 0; i < world.nodes / 3; ++i) {
      world.is_cut[i] = is_cut;
    }
  };
  QuotaWorld world = MakeWorld(nodes, kLarge);
  const std::unique_ptr<QuotaScheme> scheme = MakeLending(world, 3);
  REQUIRE(Drive(world, *scheme, plan, 3).max_excess <= 0);
}

// ---- Comparison of ways to share a limit ----

/// Run by hand: `test_control [ways]` prints the table of
/// docs/design/accounts.md.
TEST_CASE("ways of sharing a limit compared", "[.][ways]") {
  struct Load {
    const char* name;
    double times;
    std::function<void(QuotaWorld&, QuotaScheme&)> inject_faults;
    bool is_moving;
  };
  const auto cut_third = [](QuotaWorld& world, QuotaScheme&) {
    const bool is_cut = world.now > Millis{9000} && world.now < Millis{21'000};
    for (std::size_t i = 0; i < world.nodes * 35 / 100; ++i) {
      world.is_cut[i] = is_cut;
    }
  };
  const auto restart_all = [](QuotaWorld& world, QuotaScheme& scheme) {
    if (world.now == Millis{15'000}) {
      for (std::size_t i = 0; i < world.nodes; ++i) {
        scheme.Restart(i);
        world.started[i] = world.now;
      }
    }
  };
  const std::vector<Load> loads = {
      {"usual (0.625 of the limit)", 0.625, nullptr, false},
      {"eight times the usual", 5, nullptr, false},
      {"1.7 times the usual", 1.06, nullptr, false},
      {"usual, 35 in 100 nodes cut off", 0.625, cut_third, false},
      {"eight times, 35 in 100 cut off", 5, cut_third, false},
      {"eight times, all restarted", 5, restart_all, false},
      {"usual, moving among a fifth", 0.625, nullptr, true}};
  for (const QuotaLimit& limit : {kSmall, kLarge}) {
    for (const Load& load : loads) {
      for (int kind = 0; kind < 3; ++kind) {
        const std::size_t nodes = 82;
        QuotaWorld world = MakeWorld(nodes, limit);
        const std::unique_ptr<QuotaScheme> scheme =
            kind == 0   ? MakeEqualShares(world)
            : kind == 1 ? MakeSharesByDemand(world)
                        : MakeLending(world, 1);
        QuotaPlan plan = PlanOf(limit, load.times * limit.per_s, nodes);
        if (load.is_moving) {
          plan.demand = [&limit, &load](Millis at, std::size_t node) {
            const auto turn = static_cast<std::size_t>(at.count / 4000);
            return node % 5 == turn % 5 ? load.times * limit.per_s / 16.4 : 0;
          };
        }
        plan.inject_faults = load.inject_faults;
        const QuotaOutcome outcome = Drive(world, *scheme, plan, 1);
        const char* names[] = {"equal parts", "by demand", "lender"};
        std::printf(
            "%5.0f/s  %-32s %-12s let in %.3f of asked, %.3f of limit, "
            "over bound %6.0f, messages/s a node %.1f\n",
            limit.per_s, load.name, names[kind],
            static_cast<double>(outcome.admitted) /
                static_cast<double>(outcome.asked),
            static_cast<double>(outcome.admitted) / (limit.per_s * 27),
            outcome.max_excess,
            static_cast<double>(outcome.messages) / (30.0 * nodes));
      }
    }
  }
}

}  // namespace
}  // namespace almondlink::control
