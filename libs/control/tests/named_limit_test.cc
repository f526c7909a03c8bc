#include "almondlink/control/named_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace almondlink::control {
namespace {

TEST_CASE("a limit holds from the answer that names it") {
  NamedLimit limit;
  REQUIRE(!UpdateNamedLimit(Millis{10}, Millis{5}, std::nullopt, limit));
  REQUIRE(!limit.per_s.has_value());
  REQUIRE(UpdateNamedLimit(Millis{20}, Millis{5}, 36.4, limit));
  REQUIRE(limit.per_s == 36.4);
}

TEST_CASE("a limit is not lifted by an answer that was overtaken") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{1000}, Millis{900}, 36.4, limit);
  // Sent before the limit was named, and just after it.
  REQUIRE(!UpdateNamedLimit(Millis{2000}, Millis{990}, std::nullopt, limit));
  REQUIRE(!UpdateNamedLimit(Millis{2000}, Millis{1100}, std::nullopt, limit));
  REQUIRE(limit.per_s == 36.4);
}

TEST_CASE("a limit is lifted when later answers name none") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{1000}, Millis{900}, 36.4, limit);
  REQUIRE(UpdateNamedLimit(Millis{1700}, Millis{1600}, std::nullopt, limit));
  REQUIRE(!limit.per_s.has_value());
}

TEST_CASE("small changes of a limit apply but are not reported") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{1}, Millis{0}, 100, limit);
  REQUIRE(!UpdateNamedLimit(Millis{2}, Millis{1}, 96, limit));
  REQUIRE(limit.per_s == 96.0);
  REQUIRE(!UpdateNamedLimit(Millis{3}, Millis{2}, 92, limit));
  REQUIRE(UpdateNamedLimit(Millis{1004}, Millis{3}, 88, limit));
  REQUIRE(limit.reported_per_s == 88.0);
  // A limit of 0 and no limit are told apart.
  REQUIRE(UpdateNamedLimit(Millis{2005}, Millis{4}, 0, limit));
  REQUIRE(limit.per_s == 0.0);
}

TEST_CASE("a limit that changes with each answer is reported once a second") {
  NamedLimit limit;
  int reports = 0;
  for (std::int64_t ms = 0; ms < 10'000; ms += 10) {
    const double per_s = ms % 20 == 0 ? 10 : 40;
    reports += UpdateNamedLimit(Millis{ms}, Millis{ms}, per_s, limit) ? 1 : 0;
    REQUIRE(limit.per_s == per_s);
  }
  REQUIRE(reports >= 2);
  REQUIRE(reports <= 11);
}

/// Sends to one limited target, counted by the users' rule.
struct CountedTarget {
  NamedLimit limit;
  std::vector<Millis> sent;

  void Send(Millis now) {
    CountSend(this->limit);
    this->sent.push_back(now);
  }
  /// Most sends in any four seconds.
  int MostInWindow() const {
    int most = 0;
    auto first = this->sent.begin();
    for (auto last = this->sent.begin(); last != this->sent.end(); ++last) {
      while (*last - *first >= Millis{4000}) {
        ++first;
      }
      most = std::max(most, static_cast<int>(last - first) + 1);
    }
    return most;
  }
};

TEST_CASE("no four seconds hold more sends than a limit allows") {
  for (const double per_s : {0.0, 0.3, 1.0, 4.0, 36.4, 250.0, 1e6}) {
    CAPTURE(per_s);
    CountedTarget target;
    UpdateNamedLimit(Millis{0}, Millis{0}, per_s, target.limit);
    // More requests than the limit at all times, with pauses now and then.
    for (std::int64_t ms = 0; ms < 20'000; ++ms) {
      const bool is_pause = ms % 3000 < 700;
      for (int i = 0; !is_pause && i < 2; ++i) {
        if (MaySend(Millis{ms}, target.limit)) {
          target.Send(Millis{ms});
        }
      }
    }
    const double allowed = 1.5 * per_s * 4 + 5;
    CHECK(target.MostInWindow() <= allowed);
    CHECK(!target.sent.empty());
  }
}

TEST_CASE("a limit begins without a burst, also where it falls") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{5000}, Millis{4900}, 100, limit);
  REQUIRE(!MaySend(Millis{5000}, limit));
  REQUIRE(MaySend(Millis{5010}, limit));
  // A full bucket of the old limit is more than the new one holds.
  REQUIRE(MaySend(Millis{9000}, limit));
  UpdateNamedLimit(Millis{9000}, Millis{8990}, 2, limit);
  int sent = 0;
  while (MaySend(Millis{9000}, limit)) {
    CountSend(limit);
    ++sent;
  }
  REQUIRE(sent == 1);
}

TEST_CASE("without a limit everything may be sent, and nothing is reserved") {
  NamedLimit limit;
  REQUIRE(MaySend(Millis{1}, limit));
  CountSend(limit);
  REQUIRE(MaySend(Millis{1}, limit));
  REQUIRE(ReserveSend(Millis{1}, 5, limit) == Millis{0});
  REQUIRE(TimeToSend(100, limit) == Millis{0});
}

TEST_CASE("reservations are one interval apart and bounded") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{0}, Millis{0}, 10, limit);
  REQUIRE(ReserveSend(Millis{0}, 0, limit) == Millis{100});
  REQUIRE(ReserveSend(Millis{0}, 0, limit) == Millis{200});
  REQUIRE(ReserveSend(Millis{50}, 0, limit) == Millis{250});
  for (int i = 0; i < 200; ++i) {
    ReserveSend(Millis{50}, 0, limit);
  }
  REQUIRE(ReserveSend(Millis{50}, 0, limit) == Millis{10'000});
  // Requests that wait for tokens go first.
  NamedLimit other;
  UpdateNamedLimit(Millis{0}, Millis{0}, 10, other);
  REQUIRE(ReserveSend(Millis{0}, 3, other) == Millis{400});
  REQUIRE(TimeToSend(3, other) == Millis{300});
}

TEST_CASE("slots within a limit are at least one and at most all") {
  REQUIRE(SlotsWithinLimit(200, std::nullopt, 100) == 200);
  REQUIRE(SlotsWithinLimit(200, 36.4, 0) == 200);
  REQUIRE(SlotsWithinLimit(200, 36.4, 100) == 4);
  REQUIRE(SlotsWithinLimit(200, 0, 100) == 1);
  REQUIRE(SlotsWithinLimit(200, 1e6, 100) == 200);
}

/// Requests of many entry nodes at ten times the limit of one target of a
/// service: few of them may come in vain, and the limit is still used.
TEST_CASE("entry nodes find a token after their reservations") {
  for (const int nodes : {4, 30, 1000}) {
    CAPTURE(nodes);
    constexpr double kPerSecond = 40;
    CountedTarget target;
    UpdateNamedLimit(Millis{0}, Millis{0}, kPerSecond, target.limit);
    std::vector<Millis> limited_until(static_cast<std::size_t>(nodes));
    std::mt19937 random(1);
    int wanted = 0;
    int in_vain = 0;
    constexpr std::int64_t kSpan = 20'000;
    for (std::int64_t ms = 0; ms < kSpan; ++ms) {
      // On average ten times the limit; each node has its own moments.
      const Millis now{ms};
      if (static_cast<double>(random() % 1000) >= 10 * kPerSecond) {
        continue;
      }
      ++wanted;
      Millis& until = limited_until[random() % limited_until.size()];
      if (now < until) {
        continue;
      }
      if (MaySend(now, target.limit)) {
        target.Send(now);
      } else {
        ++in_vain;
      }
      until = now + ReserveSend(now, 0, target.limit);
    }
    CHECK(target.MostInWindow() <= 1.5 * kPerSecond * 4 + 5);
    CHECK(in_vain < 0.25 * wanted);
    CHECK(static_cast<double>(target.sent.size()) >
          0.8 * kPerSecond * kSpan / 1000);
  }
}

}  // namespace
}  // namespace almondlink::control
