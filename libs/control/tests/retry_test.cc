#include <catch2/catch.hpp>
#include <random>

#include "almondlink/control/caller_repeats.h"
#include "almondlink/control/retry_budget.h"
#include "almondlink/control/retry_decision.h"
#include "almondlink/control/retry_grant.h"
#include "almondlink/control/work_table.h"

namespace almondlink::control {
namespace {

/// Simulates a random call tree in which every attempt may fail or lose its
/// answer and every holder retries as often as it may. Counts the attempts.
struct CallTree {
  std::mt19937_64 random;
  double failure = 0.5;
  double loss = 0.3;
  int first_attempts = 0;
  int attempts = 0;

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
  }

  /// One call made with the holder's grant; returns whether it succeeded.
  bool Call(RetryGrant& holder, int depth) {
    ++this->first_attempts;
    while (true) {
      ++this->attempts;
      const std::uint32_t lent = Lend(holder);
      RetryGrant inner{lent};
      const bool is_success = this->Work(inner, depth);
      const bool is_lost = this->Chance(this->loss);
      if (!is_lost) {
        GiveBack(holder, lent, inner.available);
      }
      if ((is_success && !is_lost) || !TakeRetry(holder)) {
        return is_success && !is_lost;
      }
    }
  }

  bool Work(RetryGrant& grant, int depth) {
    const int calls = depth == 0 ? 0 : static_cast<int>(this->random() % 4);
    bool is_success = !this->Chance(this->failure);
    for (int i = 0; i < calls; ++i) {
      is_success = this->Call(grant, depth - 1) && is_success;
    }
    return is_success;
  }
};

TEST_CASE("attempts of a whole tree never exceed first attempts and grant") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CallTree tree;
    tree.random.seed(seed);
    const std::uint32_t grant = static_cast<std::uint32_t>(seed % 9);
    RetryGrant root{grant};
    tree.Call(root, 4);
    REQUIRE(tree.attempts <= tree.first_attempts + static_cast<int>(grant));
  }
}

TEST_CASE("a holder cannot get back more than it lent") {
  RetryGrant grant{4};
  const std::uint32_t lent = Lend(grant);
  REQUIRE(lent == 2);
  GiveBack(grant, lent, 100);
  REQUIRE(grant.available == 4);
}

TEST_CASE("a team's budget bounds the share of retries") {
  RetryBudget budget;
  const RetryBudgetLimits limits{0.1, 5};
  FillBudget(limits, budget);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    EarnRetry(limits, budget);
    retries += SpendRetry(budget) ? 1 : 0;
  }
  REQUIRE(retries >= 100);
  REQUIRE(retries <= 105);
}

TEST_CASE("late returns to finished work change nothing") {
  WorkTable table(4, 12345);
  const std::optional<SpanId> first = table.Begin(WorkContext{}, 4);
  REQUIRE(table.Lend(*first) == 2);
  REQUIRE(table.End(*first).unspent_grant == 2);
  for (int i = 0; i < 8; ++i) {
    const std::optional<SpanId> next = table.Begin(WorkContext{}, 1);
    table.GiveBack(*first, 2);
    REQUIRE_FALSE(table.TakeRetry(*first));
    REQUIRE_FALSE(table.Find(*first).has_value());
    REQUIRE(table.End(*next).unspent_grant == 1);
  }
}

TEST_CASE("a full work table refuses, and frees") {
  WorkTable table(2, 1);
  const std::optional<SpanId> first = table.Begin(WorkContext{}, 0);
  REQUIRE(table.Begin(WorkContext{}, 0).has_value());
  REQUIRE_FALSE(table.Begin(WorkContext{}, 0).has_value());
  table.End(*first);
  REQUIRE(table.Begin(WorkContext{}, 0).has_value());
}

TEST_CASE("a service's own repeat of a failed call is recognized") {
  WorkTable table(8, 1);
  const std::optional<SpanId> span = table.Begin(WorkContext{}, 1);
  REQUIRE_FALSE(table.IsRepeat(*span, 77));
  table.RecordFailure(*span, 77);
  REQUIRE(table.IsRepeat(*span, 77));
  REQUIRE_FALSE(table.IsRepeat(*span, 78));
  for (std::uint64_t hash = 100; hash < 110; ++hash) {
    table.RecordFailure(*span, hash);
  }
  // The table is full: everything counts as a repeat.
  REQUIRE(table.IsRepeat(*span, 4711));
}

TEST_CASE("at-most-once calls are repeated only when they were not run") {
  FailedAttempt failed;
  failed.is_repeatable = false;
  failed.time_left = Millis{1000};
  failed.has_other_target = true;
  for (std::uint32_t number = 0; number < kErrorKindCount; ++number) {
    failed.kind = static_cast<ErrorKind>(number);
    if (DecideRetry(failed) == RetryChoice::kRetry) {
      REQUIRE(AnswerFor(failed.kind).verdict == Verdict::kNotRun);
    }
  }
  failed.kind = ErrorKind::kTargetLost;
  REQUIRE(DecideRetry(failed) == RetryChoice::kGiveUp);
  failed.is_repeatable = true;
  REQUIRE(DecideRetry(failed) == RetryChoice::kRetry);
}

TEST_CASE("a caller that follows Retry-After is not an early repeat") {
  CallerRepeats repeats = MakeCallerRepeats(64);
  RecordFailedRequest(Millis{1000}, 5, Millis{200}, false, repeats);
  REQUIRE(IsEarlyRepeat(Millis{1100}, 5, repeats));
  REQUIRE_FALSE(IsEarlyRepeat(Millis{1200}, 5, repeats));
  REQUIRE_FALSE(IsEarlyRepeat(Millis{1100}, 6, repeats));
  REQUIRE_FALSE(HadUnknownOutcome(Millis{1100}, 5, repeats));
  RecordFailedRequest(Millis{1300}, 5, Millis{-1}, true, repeats);
  RecordFailedRequest(Millis{1400}, 5, Millis{0}, false, repeats);
  REQUIRE(HadUnknownOutcome(Millis{1500}, 5, repeats));
}

}  // namespace
}  // namespace almondlink::control
