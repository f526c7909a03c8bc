#include "quota_network.h"

#include <algorithm>
#include <map>
#include <utility>

namespace almondlink::control {

namespace {

constexpr double kMillisPerSecond = 1000;
/// As nodes use them: libs/relay.
constexpr Millis kSettle{250};
constexpr Millis kPatience{100};
constexpr Millis kSweep{50};
constexpr Millis kTell{300};
constexpr Millis kSuspended{600};
/// One way between two nodes, in milliseconds.
constexpr std::int64_t kLeastDelay = 1;
constexpr std::int64_t kMostDelay = 3;

class EqualParts : public QuotaWay {
 public:
  explicit EqualParts(QuotaWorld& world_in)
      : world(world_in), buckets(world_in.nodes) {}

  void Request(std::size_t node, std::function<void(bool)> answer) override {
    const double part = 1.0 / static_cast<double>(this->world.nodes);
    RateLimit& bucket = this->buckets[node];
    Refill(this->world.limit.per_s * part,
           std::max(1.0, this->world.limit.burst * part), this->world.now,
           bucket);
    const bool has_token = bucket.tokens >= 1;
    bucket.tokens -= has_token ? 1 : 0;
    answer(has_token);
  }
  void Restart(std::size_t node) override {
    this->buckets[node] = RateLimit();
    this->buckets[node].is_started = true;
    this->buckets[node].filled = this->world.now;
  }
  void Step() override {}

 private:
  QuotaWorld& world;
  std::vector<RateLimit> buckets;
};

class PartsByDemand : public QuotaWay {
 public:
  explicit PartsByDemand(QuotaWorld& world_in)
      : world(world_in),
        buckets(world_in.nodes),
        demand(world_in.nodes),
        told(world_in.nodes * world_in.nodes, 0.0) {}

  void Request(std::size_t node, std::function<void(bool)> answer) override {
    ++this->demand[node].events;
    const double part = this->PartOf(node);
    RateLimit& bucket = this->buckets[node];
    Refill(this->world.limit.per_s * part,
           std::max(1.0, this->world.limit.burst * part), this->world.now,
           bucket);
    const bool has_token = bucket.tokens >= 1;
    bucket.tokens -= has_token ? 1 : 0;
    answer(has_token);
  }
  void Restart(std::size_t node) override {
    this->buckets[node] = RateLimit();
    this->buckets[node].is_started = true;
    this->buckets[node].filled = this->world.now;
    this->demand[node] = RateMeter();
    for (std::size_t i = 0; i < this->world.nodes; ++i) {
      this->told[node * this->world.nodes + i] = 0;
    }
  }
  void Step() override {
    if (this->world.now.count % kTell.count != 0) {
      return;
    }
    for (std::size_t a = 0; a < this->world.nodes; ++a) {
      UpdateRate(static_cast<double>(kTell.count), kMillisPerSecond,
                 this->demand[a]);
      for (std::size_t b = 0; b < this->world.nodes; ++b) {
        if (this->world.CanTalk(a, b)) {
          this->told[b * this->world.nodes + a] = this->demand[a].per_s;
          this->messages += a == b ? 0 : 1;
        }
      }
    }
  }

 private:
  /// The demand told last, of silent nodes too, and an equal rest.
  double PartOf(std::size_t node) const {
    const double rest =
        0.1 * this->world.limit.per_s / static_cast<double>(this->world.nodes);
    double sum = 0;
    for (std::size_t i = 0; i < this->world.nodes; ++i) {
      sum += this->told[node * this->world.nodes + i] + rest;
    }
    return (this->told[node * this->world.nodes + node] + rest) / sum;
  }

  QuotaWorld& world;
  std::vector<RateLimit> buckets;
  std::vector<RateMeter> demand;
  std::vector<double> told;
};

class Lending : public QuotaWay {
 public:
  Lending(QuotaWorld& world_in, unsigned seed)
      : world(world_in), nodes(world_in.nodes), random(seed) {
    for (Node& node : this->nodes) {
      node.rank = this->random();
    }
  }

  void Request(std::size_t node, std::function<void(bool)> answer) override {
    Node& own = this->nodes[node];
    switch (TakeQuota(this->world.now, own.purse)) {
      case QuotaAnswer::kTaken:
        answer(true);
        this->Ask(node);
        return;
      case QuotaAnswer::kOver:
        answer(false);
        return;
      case QuotaAnswer::kAsk:
        own.waiters.push_back({this->world.now + kPatience, std::move(answer)});
        this->Ask(node);
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
    QuotaPurse purse;
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
      if (this->world.Believes(seen_from, i) &&
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
      seen += this->world.Believes(node, i) ? this->nodes[i].rank : 0;
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
    if (this->world.now - own.last_tick > kSuspended) {
      own.has_bucket = false;
      own.view_since = this->world.now;
    }
  }

  bool LendAt(std::size_t node, std::uint32_t wanted, QuotaLoan& loan) {
    Node& own = this->nodes[node];
    const Millis now = this->world.now;
    const bool is_settled = now - this->world.started[node] >= kSettle;
    if (!is_settled || this->Lender(node) != node) {
      return false;
    }
    std::uint32_t reached = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      reached += this->world.Believes(node, i) ? 1 : 0;
    }
    const double part =
        LentPart(reached, static_cast<std::uint32_t>(this->nodes.size()));
    this->NoteSuspension(node);
    if (!own.has_bucket) {
      own.has_bucket = true;
      own.bucket =
          StartBucket(this->world.rules, this->world.limit, part,
                      std::max(own.view_since, this->world.started[node]), now);
    }
    loan = Lend(this->world.rules, this->world.limit, part, now, wanted,
                own.bucket);
    return true;
  }

  void Send(std::size_t from, std::size_t to, std::function<void()> deliver) {
    ++this->messages;
    const std::int64_t delay =
        kLeastDelay + static_cast<std::int64_t>(this->random() %
                                                (kMostDelay - kLeastDelay + 1));
    this->mail.emplace(this->world.now.count + delay,
                       [this, from, to, deliver = std::move(deliver)]() {
                         if (this->world.CanTalk(from, to)) {
                           deliver();
                         }
                       });
  }

  void Ask(std::size_t node) {
    Node& own = this->nodes[node];
    const std::uint32_t wanted =
        AskFor(this->world.now, static_cast<std::uint32_t>(own.waiters.size()),
               own.purse);
    if (wanted == 0) {
      return;
    }
    const std::size_t lender = this->Lender(node);
    if (lender == node) {
      QuotaLoan loan;
      if (this->LendAt(node, wanted, loan)) {
        TakeLoan(this->world.now, loan, own.purse);
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
        TakeLoan(this->world.now, loan, this->nodes[node].purse);
        this->Serve(node);
      });
    });
  }

  void Serve(std::size_t node) {
    Node& own = this->nodes[node];
    const Millis now = this->world.now;
    while (!own.waiters.empty()) {
      if (TakeFromStock(now, own.purse) || TakeOwn(now, own.purse)) {
        const std::function<void(bool)> answer =
            std::move(own.waiters.front().answer);
        own.waiters.pop_front();
        answer(true);
        continue;
      }
      const bool is_empty =
          now < own.purse.empty_until && !IsWorthWaiting(own.purse.wait);
      if (!is_empty && now < own.waiters.front().until) {
        this->Ask(node);
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

void Hear(QuotaWorld& world) {
  for (std::size_t a = 0; a < world.nodes; ++a) {
    for (std::size_t b = 0; b < world.nodes; ++b) {
      if (world.CanTalk(a, b)) {
        world.heard[a * world.nodes + b] = world.now;
      }
    }
  }
}

}  // namespace

std::unique_ptr<QuotaWay> MakeEqualParts(QuotaWorld& world) {
  return std::make_unique<EqualParts>(world);
}

std::unique_ptr<QuotaWay> MakePartsByDemand(QuotaWorld& world) {
  return std::make_unique<PartsByDemand>(world);
}

std::unique_ptr<QuotaWay> MakeLending(QuotaWorld& world, unsigned seed) {
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
  world.heard.assign(nodes * nodes, Millis{1000});
  return world;
}

QuotaOutcome Drive(QuotaWorld& world,
                   QuotaWay& way,
                   const QuotaPlan& plan,
                   unsigned seed) {
  QuotaOutcome outcome;
  std::mt19937 random(seed);
  const Millis begin = world.now;
  const auto length = static_cast<std::size_t>(plan.length.count);
  std::vector<std::uint32_t> let_in(length, 0);
  for (std::size_t ms = 0; ms < length; ++ms) {
    world.now = begin + Millis{static_cast<std::int64_t>(ms)};
    const Millis at = world.now - begin;
    world.limit = plan.limit(at);
    if (plan.trouble) {
      plan.trouble(world, way);
    }
    Hear(world);
    way.Step();
    for (std::size_t node = 0; node < world.nodes; ++node) {
      if (!world.IsAlive(node)) {
        continue;
      }
      std::poisson_distribution<int> draw(plan.demand(at, node) /
                                          kMillisPerSecond);
      for (int left = draw(random); left > 0; --left) {
        const bool is_counted = at >= plan.from;
        outcome.asked += is_counted ? 1 : 0;
        way.Request(node, [&, begin, is_counted](bool is_let_in) {
          outcome.let_in += is_counted && is_let_in ? 1 : 0;
          const auto slot = static_cast<std::size_t>((world.now - begin).count);
          let_in[slot] += is_let_in ? 1 : 0;
        });
      }
    }
  }
  const auto window = static_cast<std::size_t>(world.rules.window.count);
  double sum = 0;
  for (std::size_t ms = 0; ms < length; ++ms) {
    sum += let_in[ms];
    sum -= ms >= window ? let_in[ms - window] : 0;
    // The most that was allowed at any time of the window.
    const std::size_t first = ms >= window ? ms - window : 0;
    const QuotaLimit now_limit =
        plan.limit(Millis{static_cast<std::int64_t>(ms)});
    const QuotaLimit then_limit =
        plan.limit(Millis{static_cast<std::int64_t>(first)});
    const QuotaLimit& most =
        now_limit.per_s > then_limit.per_s ? now_limit : then_limit;
    const double window_s =
        static_cast<double>(world.rules.window.count) / kMillisPerSecond;
    const double bound =
        (most.per_s * window_s + most.burst) * (1 + world.rules.over) +
        world.rules.slack;
    outcome.most_over = std::max(outcome.most_over, sum - bound);
  }
  outcome.messages = way.messages;
  return outcome;
}

}  // namespace almondlink::control
