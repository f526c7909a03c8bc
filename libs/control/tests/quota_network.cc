#include "quota_network.h"

#include <algorithm>
#include <map>
#include <utility>

namespace almondlink::control {

namespace {

constexpr double kMillisPerSecond = 1000;
/// The same values as in libs/relay.
constexpr Millis kSettleTime{250};
constexpr Millis kMaxTokenWait{100};
constexpr Millis kSweep{50};
constexpr Millis kReportInterval{300};
constexpr Millis kSuspensionTime{600};
/// One-way latency between two nodes in milliseconds.
constexpr std::int64_t kMinDelay = 1;
constexpr std::int64_t kMaxDelayMs = 3;

class EqualShares : public QuotaScheme {
 public:
  explicit EqualShares(QuotaWorld& world_in)
      : world(world_in), buckets(world_in.nodes) {}

  void Request(std::size_t node, std::function<void(bool)> answer) override {
    const double share = 1.0 / static_cast<double>(this->world.nodes);
    TokenBucket& bucket = this->buckets[node];
    Refill(this->world.limit.per_s * share,
           std::max(1.0, this->world.limit.burst * share), this->world.now,
           bucket);
    const bool has_token = bucket.tokens >= 1;
    bucket.tokens -= has_token ? 1 : 0;
    answer(has_token);
  }
  void Restart(std::size_t node) override {
    this->buckets[node] = TokenBucket();
    this->buckets[node].is_initialized = true;
    this->buckets[node].filled_at = this->world.now;
  }
  void Step() override {}

 private:
  QuotaWorld& world;
  std::vector<TokenBucket> buckets;
};

class SharesByDemand : public QuotaScheme {
 public:
  explicit SharesByDemand(QuotaWorld& world_in)
      : world(world_in),
        buckets(world_in.nodes),
        demand(world_in.nodes),
        reported(world_in.nodes * world_in.nodes, 0.0) {}

  void Request(std::size_t node, std::function<void(bool)> answer) override {
    ++this->demand[node].events;
    const double share = this->ShareOf(node);
    TokenBucket& bucket = this->buckets[node];
    Refill(this->world.limit.per_s * share,
           std::max(1.0, this->world.limit.burst * share), this->world.now,
           bucket);
    const bool has_token = bucket.tokens >= 1;
    bucket.tokens -= has_token ? 1 : 0;
    answer(has_token);
  }
  void Restart(std::size_t node) override {
    this->buckets[node] = TokenBucket();
    this->buckets[node].is_initialized = true;
    this->buckets[node].filled_at = this->world.now;
    this->demand[node] = RateMeter();
    for (std::size_t i = 0; i < this->world.nodes; ++i) {
      this->reported[node * this->world.nodes + i] = 0;
    }
  }
  void Step() override {
    if (this->world.now.count % kReportInterval.count != 0) {
      return;
    }
    for (std::size_t a = 0; a < this->world.nodes; ++a) {
      UpdateRate(static_cast<double>(kReportInterval.count), kMillisPerSecond,
                 this->demand[a]);
      for (std::size_t b = 0; b < this->world.nodes; ++b) {
        if (this->world.CanTalk(a, b)) {
          this->reported[b * this->world.nodes + a] = this->demand[a].per_s;
          this->messages += a == b ? 0 : 1;
        }
      }
    }
  }

 private:
  /// The share of the node by the last reported demand, including that of
  /// silent nodes, with an equal base share for each.
  double ShareOf(std::size_t node) const {
    const double rest =
        0.1 * this->world.limit.per_s / static_cast<double>(this->world.nodes);
    double sum = 0;
    for (std::size_t i = 0; i < this->world.nodes; ++i) {
      sum += this->reported[node * this->world.nodes + i] + rest;
    }
    return (this->reported[node * this->world.nodes + node] + rest) / sum;
  }

  QuotaWorld& world;
  std::vector<TokenBucket> buckets;
  std::vector<RateMeter> demand;
  std::vector<double> reported;
};

class Lending : public QuotaScheme {
 public:
  Lending(QuotaWorld& world_in, unsigned seed)
      : world(world_in), nodes(world_in.nodes), random(seed) {
    for (Node& node : this->nodes) {
      node.rank = this->random();
    }
  }

  void Request(std::size_t node, std::function<void(bool)> answer) override {
    Node& own = this->nodes[node];
    switch (TakeQuota(this->world.now, own.borrower)) {
      case QuotaDecision::kTaken:
        answer(true);
        this->RequestTokens(node);
        return;
      case QuotaDecision::kOverLimit:
        answer(false);
        return;
      case QuotaDecision::kRequestTokens:
        own.waiters.push_back(
            {this->world.now + kMaxTokenWait, std::move(answer)});
        this->RequestTokens(node);
    }
  }

  void Restart(std::size_t node) override {
    Node fresh;
    fresh.rank = this->nodes[node].rank;
    fresh.view_since = this->world.now;
    this->nodes[node] = std::move(fresh);
  }

  void Step() override {
    const Millis now = this->world.now;
    while (!this->mail.empty() && this->mail.begin()->first <= now.count) {
      const std::function<void()> deliver =
          std::move(this->mail.begin()->second);
      this->mail.erase(this->mail.begin());
      deliver();
    }
    if (now.count % kSweep.count != 0) {
      return;
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->world.IsAlive(i)) {
        this->Tick(i);
        this->Serve(i);
      }
    }
  }

 private:
  struct Waiter {
    Millis until;
    std::function<void(bool)> answer;
  };
  struct Node {
    std::uint64_t rank = 0;
    QuotaBorrower borrower;
    bool has_bucket = false;
    QuotaBucket bucket;
    std::deque<Waiter> waiters;
    std::uint64_t view = 0;
    Millis view_since;
    Millis last_tick;
  };

  std::size_t Lender(std::size_t seen_from) const {
    std::size_t best = seen_from;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->world.IsReachable(seen_from, i) &&
          this->nodes[i].rank > this->nodes[best].rank) {
        best = i;
      }
    }
    return best;
  }

  void Tick(std::size_t node) {
    Node& own = this->nodes[node];
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      seen += this->world.IsReachable(node, i) ? this->nodes[i].rank : 0;
    }
    if (seen != own.view) {
      own.view = seen;
      own.view_since = this->world.now;
    }
    const bool was_suspended = own.last_tick > Millis{0} &&
                               this->world.now - own.last_tick > Millis{1000};
    own.last_tick = this->world.now;
    if (was_suspended || this->Lender(node) != node) {
      own.has_bucket = false;
    }
  }

  void NoteSuspension(std::size_t node) {
    Node& own = this->nodes[node];
    if (this->world.now - own.last_tick > kSuspensionTime) {
      own.has_bucket = false;
      own.view_since = this->world.now;
    }
  }

  bool LendAt(std::size_t node, std::uint32_t wanted, QuotaLoan& loan) {
    Node& own = this->nodes[node];
    const Millis now = this->world.now;
    const bool is_settled = now - this->world.started[node] >= kSettleTime;
    if (!is_settled || this->Lender(node) != node) {
      return false;
    }
    std::uint32_t reached = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      reached += this->world.IsReachable(node, i) ? 1 : 0;
    }
    const double share =
        LendableShare(reached, static_cast<std::uint32_t>(this->nodes.size()));
    this->NoteSuspension(node);
    if (!own.has_bucket) {
      own.has_bucket = true;
      own.bucket =
          StartBucket(this->world.rules, this->world.limit, share,
                      std::max(own.view_since, this->world.started[node]), now);
    }
    loan = Lend(this->world.rules, this->world.limit, share, now, wanted,
                own.bucket);
    return true;
  }

  void Send(std::size_t from, std::size_t to, std::function<void()> deliver) {
    ++this->messages;
    const std::int64_t delay =
        kMinDelay + static_cast<std::int64_t>(this->random() %
                                              (kMaxDelayMs - kMinDelay + 1));
    this->mail.emplace(this->world.now.count + delay,
                       [this, from, to, deliver = std::move(deliver)]() {
                         if (this->world.CanTalk(from, to)) {
                           deliver();
                         }
                       });
  }

  void RequestTokens(std::size_t node) {
    Node& own = this->nodes[node];
    const std::uint32_t wanted = TokensToRequest(
        this->world.now, static_cast<std::uint32_t>(own.waiters.size()),
        own.borrower);
    if (wanted == 0) {
      return;
    }
    const std::size_t lender = this->Lender(node);
    if (lender == node) {
      QuotaLoan loan;
      if (this->LendAt(node, wanted, loan)) {
        ApplyLoan(this->world.now, loan, own.borrower);
        this->Serve(node);
      }
      return;
    }
    this->Send(node, lender, [this, node, lender, wanted]() {
      QuotaLoan loan;
      if (!this->LendAt(lender, wanted, loan)) {
        return;
      }
      this->Send(lender, node, [this, node, loan]() {
        ApplyLoan(this->world.now, loan, this->nodes[node].borrower);
        this->Serve(node);
      });
    });
  }

  void Serve(std::size_t node) {
    Node& own = this->nodes[node];
    const Millis now = this->world.now;
    while (!own.waiters.empty()) {
      if (TakeBorrowed(now, own.borrower) || TakeFallback(now, own.borrower)) {
        const std::function<void(bool)> answer =
            std::move(own.waiters.front().answer);
        own.waiters.pop_front();
        answer(true);
        continue;
      }
      const bool is_exhausted =
          now < own.borrower.exhausted_until && !IsShortWait(own.borrower.wait);
      if (!is_exhausted && now < own.waiters.front().until) {
        this->RequestTokens(node);
        return;
      }
      const std::function<void(bool)> answer =
          std::move(own.waiters.front().answer);
      own.waiters.pop_front();
      answer(false);
    }
  }

  QuotaWorld& world;
  std::vector<Node> nodes;
  std::mt19937_64 random;
  std::multimap<std::int64_t, std::function<void()>> mail;
};

void ExchangeHeartbeats(QuotaWorld& world) {
  for (std::size_t a = 0; a < world.nodes; ++a) {
    for (std::size_t b = 0; b < world.nodes; ++b) {
      if (world.CanTalk(a, b)) {
        world.last_heard[a * world.nodes + b] = world.now;
      }
    }
  }
}

}  // namespace

std::unique_ptr<QuotaScheme> MakeEqualShares(QuotaWorld& world) {
  return std::make_unique<EqualShares>(world);
}

std::unique_ptr<QuotaScheme> MakeSharesByDemand(QuotaWorld& world) {
  return std::make_unique<SharesByDemand>(world);
}

std::unique_ptr<QuotaScheme> MakeLending(QuotaWorld& world, unsigned seed) {
  return std::make_unique<Lending>(world, seed);
}

QuotaWorld MakeWorld(std::size_t nodes, const QuotaLimit& limit) {
  QuotaWorld world;
  world.nodes = nodes;
  world.limit = limit;
  world.now = Millis{1000};
  world.is_cut.assign(nodes, false);
  world.is_frozen.assign(nodes, false);
  world.is_down.assign(nodes, false);
  world.started.assign(nodes, Millis{0});
  world.last_heard.assign(nodes * nodes, Millis{1000});
  return world;
}

QuotaOutcome Drive(QuotaWorld& world,
                   QuotaScheme& scheme,
                   const QuotaPlan& plan,
                   unsigned seed) {
  QuotaOutcome outcome;
  std::mt19937 random(seed);
  const Millis begin = world.now;
  const auto length = static_cast<std::size_t>(plan.length.count);
  std::vector<std::uint32_t> admitted(length, 0);
  for (std::size_t ms = 0; ms < length; ++ms) {
    world.now = begin + Millis{static_cast<std::int64_t>(ms)};
    const Millis at = world.now - begin;
    world.limit = plan.limit(at);
    if (plan.inject_faults) {
      plan.inject_faults(world, scheme);
    }
    ExchangeHeartbeats(world);
    scheme.Step();
    for (std::size_t node = 0; node < world.nodes; ++node) {
      if (!world.IsAlive(node)) {
        continue;
      }
      std::poisson_distribution<int> draw(plan.demand(at, node) /
                                          kMillisPerSecond);
      for (int left = draw(random); left > 0; --left) {
        const bool is_counted = at >= plan.from;
        outcome.asked += is_counted ? 1 : 0;
        scheme.Request(node, [&, begin, is_counted](bool is_admitted) {
          outcome.admitted += is_counted && is_admitted ? 1 : 0;
          const auto slot = static_cast<std::size_t>((world.now - begin).count);
          admitted[slot] += is_admitted ? 1 : 0;
        });
      }
    }
  }
  const auto window = static_cast<std::size_t>(world.rules.window.count);
  double sum = 0;
  for (std::size_t ms = 0; ms < length; ++ms) {
    sum += admitted[ms];
    sum -= ms >= window ? admitted[ms - window] : 0;
    // The larger of the limits at both ends of the window.
    const std::size_t first = ms >= window ? ms - window : 0;
    const QuotaLimit now_limit =
        plan.limit(Millis{static_cast<std::int64_t>(ms)});
    const QuotaLimit then_limit =
        plan.limit(Millis{static_cast<std::int64_t>(first)});
    const QuotaLimit& larger_limit =
        now_limit.per_s > then_limit.per_s ? now_limit : then_limit;
    const double window_s =
        static_cast<double>(world.rules.window.count) / kMillisPerSecond;
    const double bound = (larger_limit.per_s * window_s + larger_limit.burst) *
                             (1 + world.rules.over) +
                         world.rules.slack;
    outcome.max_excess = std::max(outcome.max_excess, sum - bound);
  }
  outcome.messages = scheme.messages;
  return outcome;
}

}  // namespace almondlink::control
