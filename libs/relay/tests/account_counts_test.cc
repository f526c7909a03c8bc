#include "almondlink/relay/account_counts.h"

#include <catch2/catch.hpp>
#include <string>

namespace almondlink::relay {
namespace {

policy::ClientAccount Account(int number) {
  policy::ClientAccount account;
  account.name = "a" + std::to_string(number);
  account.key = policy::AccountKeyOf(account.name);
  return account;
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_CASE("decisions are counted by account") {
  AccountCounts counts;
  CountDecision(Account(1), AccountDecision::kAdmitted, counts);
  CountDecision(Account(1), AccountDecision::kRefused, counts);
  CountDecision(Account(1), AccountDecision::kRefusedForShare, counts);
  CountDecision(Account(2), AccountDecision::kAdmitted, counts);
  MetricText out;
  WriteAccountCounts(counts, out);
  CAPTURE(out.Text());
  CHECK(CountOf(out.Text(), "short_offered_total{account=\"a1\"} 3") == 1);
  CHECK(CountOf(out.Text(), "short_admitted_total{account=\"a1\"} 1") == 1);
  CHECK(CountOf(out.Text(), "share_refused_total{account=\"a1\"} 1") == 1);
  // An account without refusals is not shown.
  CHECK(CountOf(out.Text(), "account=\"a2\"") == 0);
}

// Guards against metrics and memory that grow with the number of accounts.
TEST_CASE("the accounts with the most refusals are shown") {
  AccountCounts counts;
  const auto refuse = [&counts](int account, int times) {
    for (int i = 0; i < times; ++i) {
      CountDecision(Account(account), AccountDecision::kRefused, counts);
    }
  };
  refuse(7, 3);
  refuse(9, 5);
  for (int account = 10; account < 3000; ++account) {
    refuse(account, 1);
  }
  REQUIRE(counts.accounts.size() == kMaxCountedAccounts);
  MetricText out;
  WriteAccountCounts(counts, out);
  CHECK(CountOf(out.Text(), "short_offered_total{") == kMaxShownAccounts);
  CHECK(CountOf(out.Text(), "short_offered_total{account=\"a7\"} 3") == 1);
  CHECK(CountOf(out.Text(), "short_offered_total{account=\"a9\"} 5") == 1);
}

}  // namespace
}  // namespace almondlink::relay
