#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "almondlink/control/queue_moves.h"

namespace almondlink::control {
namespace {

constexpr std::uint32_t kService = 3;

struct PlacedTarget {
  std::uint32_t zone = 0;
  TargetLoad load;
};

std::vector<PlacedTarget> RandomTargets(std::mt19937& random) {
  std::uniform_int_distribution<std::uint32_t> percent(0, 99);
  const std::uint32_t slow_percent = percent(random);
  std::vector<PlacedTarget> targets;
  for (std::uint32_t i = 0; i < 60; ++i) {
    PlacedTarget target;
    target.zone = 1 + i % 4;
    target.load.slots = 20;
    if (percent(random) < slow_percent) {
      target.load.running = 20;
      target.load.waiting = percent(random);
    } else {
      target.load.running = percent(random) / 5;
    }
    targets.push_back(target);
  }
  return targets;
}

LoadElsewhere ByReports(const std::vector<PlacedTarget>& targets,
                        std::size_t own) {
  LoadElsewhere elsewhere;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (i != own) {
      AddTargetElsewhere(targets[i].load, 0, elsewhere);
    }
  }
  return elsewhere;
}

LoadElsewhere BySums(const std::vector<PlacedTarget>& targets,
                     std::size_t own) {
  std::map<ZoneService, ZoneLoad> zones;
  for (const PlacedTarget& target : targets) {
    ZoneLoad& zone = zones[{target.zone, kService}];
    zone.slots += target.load.slots;
    zone.load += target.load.running + target.load.waiting;
    zone.waiting += target.load.waiting;
    zones[{target.zone, kService + 1}].slots += 1000;
  }
  const TargetLoad& load = targets[own].load;
  return ElsewhereOf(zones, kService, targets[own].zone,
                     {static_cast<double>(load.slots),
                      static_cast<double>(load.running + load.waiting), 0,
                      static_cast<double>(load.waiting)});
}

// Guards against many slow targets that return more calls at once than the
// others have free slots: the calls would wait there instead.
TEST_CASE("all nodes together return at most half of the free slots") {
  std::mt19937 random{11};
  std::uint64_t with_moves = 0;
  for (int round = 0; round < 300; ++round) {
    const std::vector<PlacedTarget> targets = RandomTargets(random);
    double free = 0;
    std::uint64_t reported = 0;
    std::uint64_t summed = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const TargetLoad& load = targets[i].load;
      free += load.slots - load.running;
      reported += MaxMoves(load.waiting, ByReports(targets, i));
      summed += MaxMoves(load.waiting, BySums(targets, i));
    }
    CAPTURE(round, free, reported, summed);
    CHECK(static_cast<double>(reported) <= free / 2);
    CHECK(static_cast<double>(summed) <= free / 2);
    with_moves += reported > 0 && summed > 0 ? 1 : 0;
  }
  // Otherwise the bound would hold because nothing moves.
  CHECK(with_moves > 100);
}

// Guards against a bound that starts again with each decision, and against a
// fraction of calls that the other nodes do not know of yet.
TEST_CASE("moves of one interval count together") {
  MoveBudget budget;
  LoadElsewhere elsewhere;
  elsewhere.free_slots = 20;
  const MoveRules& rules = kMovesByReports;
  CHECK(MovesLeft(Millis{1000}, rules, 30, elsewhere, budget) == 0);
  CHECK(MovesLeft(Millis{1200}, rules, 30, elsewhere, budget) == 10);
  budget.returned += 10;
  CHECK(MovesLeft(Millis{1250}, rules, 20, elsewhere, budget) == 0);
  CHECK(MovesLeft(Millis{1399}, rules, 20, elsewhere, budget) == 0);
  CHECK(MovesLeft(Millis{1400}, rules, 20, elsewhere, budget) == 10);
  elsewhere.waiting = 20;
  CHECK(MovesLeft(Millis{1450}, rules, 500, elsewhere, budget) == 5);
  CHECK(MovesLeft(Millis{1600}, rules, 0, elsewhere, budget) == 0);
  CHECK(MovesLeft(Millis{1800}, rules, 20, elsewhere, budget) == 0);
}

// Guards against a zone whose queued calls hide the free slots of its other
// targets, and against the slots that a slow target lacks being taken from
// those of the others.
TEST_CASE("sums tell free slots and queued calls of one zone apart") {
  // Three targets of 20 slots: the own one at a fifth of the speed, with 30
  // calls queued, one that is full with 10 queued, and one with 15 free.
  const ZoneLoad own{4, 50, 0, 30};
  const std::map<ZoneService, ZoneLoad> zones = {
      {{1, kService}, {44, 85, 0, 40}}};
  const LoadElsewhere elsewhere = ElsewhereOf(zones, kService, 1, own);
  CHECK(elsewhere.free_slots == 15);
  CHECK(elsewhere.waiting == 10);
  // Three quarters of the waiting calls, of half of the free slots.
  CHECK(MaxMoves(30, elsewhere) == 5);
}

// Guards against moves that only change the queue that a call waits in.
TEST_CASE("nothing moves while nothing is free") {
  LoadElsewhere elsewhere;
  AddTargetElsewhere({20, 20, 40}, 0, elsewhere);
  AddTargetElsewhere({20, 15, 0}, 5, elsewhere);
  CHECK(elsewhere.free_slots == 0);
  CHECK(MaxMoves(100, elsewhere) == 0);
  CHECK(MaxMoves(0, {50, 0}) == 0);
}

// Guards against moves that cost more than the wait that they save.
TEST_CASE("nothing moves while the wait is short") {
  // 20 slots of 50 ms: the tenth call waits 25 ms.
  const MoveChoice choice =
      ChooseMoves(std::vector<bool>(12, true), 20, 50, 100);
  CHECK(choice.returned == std::vector<std::size_t>{10, 11});
  CHECK(choice.denied.empty());
  CHECK(ChooseMoves(std::vector<bool>(10, true), 20, 50, 100).returned.empty());
}

// Guards against the return of calls whose senders have no other target, and
// against denied moves that are not counted.
TEST_CASE("only calls that may move do, up to the bound") {
  std::vector<bool> may_move(8, true);
  may_move[3] = false;
  const MoveChoice choice = ChooseMoves(may_move, 10, 200, 3);
  // A call of 200 ms at 10 slots: the second one waits 40 ms already.
  CHECK(choice.returned == std::vector<std::size_t>{1, 2, 4});
  CHECK(choice.denied == std::vector<std::size_t>{5, 6, 7});
}

// Guards against a target that hangs and whose completed runs look fast.
TEST_CASE("runs in progress count where they are longer") {
  CHECK(ExpectedRunMs(50, 20) == 50);
  CHECK(ExpectedRunMs(50, 400) == 400);
  CHECK(ExpectedRunMs(0, 30) == 30);
}

struct MovedCall {
  std::vector<std::size_t> tried;
  std::int64_t arrived = 0;
  std::int64_t started = -1;
  int runs = 0;
};

/// Equal targets in virtual time. Each call arrives at a random one, the first
/// of them are slow for a second, and nodes report every 200 ms, each at a time
/// of its own.
class Fleet {
 public:
  static constexpr std::uint32_t kSlots = 20;
  static constexpr std::int64_t kSlowFrom = 2000;
  static constexpr std::int64_t kSlowUntil = 3000;

  Fleet(std::size_t size_in, std::size_t slow_in, double load_in)
      : size(size_in),
        slow(slow_in),
        load(load_in),
        queues(size_in),
        running(size_in),
        budgets(size_in),
        reports(size_in) {}

  void Run(bool moves_waiting) {
    double free = 0;
    std::uint64_t in_interval = 0;
    for (std::int64_t now = 0; now < 6000; ++now) {
      for (std::size_t i = 0; i < this->size; ++i) {
        if ((now + static_cast<std::int64_t>(i) * 37) % 200 == 0) {
          this->reports[i] = this->LoadOf(i);
        }
        this->Serve(now, i);
      }
      if (now % 200 == 0) {
        this->beyond_bound +=
            static_cast<double>(in_interval) > free / 2 ? 1 : 0;
        in_interval = 0;
        free = 0;
      }
      if (moves_waiting && now % 50 == 0) {
        free = std::max(free, this->ReportedFree());
        const std::uint64_t before = this->moved;
        for (std::size_t i = 0; i < this->size; ++i) {
          this->Move(now, i);
        }
        in_interval += this->moved - before;
        this->moved_late += now >= kSlowUntil + 1000 ? this->moved - before : 0;
      }
    }
  }

  /// Mean wait of the calls that arrived at slow targets.
  double MeanWaitOfSlow() const {
    double sum = 0;
    double count = 0;
    for (const MovedCall& call : this->calls) {
      if (call.tried[0] < this->slow && call.arrived >= kSlowFrom &&
          call.arrived < kSlowUntil && call.started >= 0) {
        sum += static_cast<double>(call.started - call.arrived);
        ++count;
      }
    }
    return sum / count;
  }

  std::vector<MovedCall> calls;
  std::uint64_t moved = 0;
  /// Of them, those a second after the slow phase or later.
  std::uint64_t moved_late = 0;
  /// Intervals in which more moved than half of the free slots that the nodes
  /// knew of.
  std::uint64_t beyond_bound = 0;

 private:
  TargetLoad LoadOf(std::size_t target) const {
    return {kSlots, static_cast<std::uint32_t>(this->running[target].size()),
            static_cast<std::uint32_t>(this->queues[target].size())};
  }

  double ReportedFree() const {
    LoadElsewhere all;
    for (const TargetLoad& report : this->reports) {
      AddTargetElsewhere(report, 0, all);
    }
    return all.free_slots;
  }

  std::int64_t RunTime(std::int64_t now, std::size_t target) const {
    const bool is_slow =
        now >= kSlowFrom && now < kSlowUntil && target < this->slow;
    return is_slow ? 500 : 50;
  }

  void Serve(std::int64_t now, std::size_t target) {
    std::poisson_distribution<int> arrivals(this->load * kSlots / 50);
    for (int count = arrivals(this->random); count > 0; --count) {
      this->queues[target].push_back(this->calls.size());
      this->calls.push_back({{target}, now, -1, 0});
    }
    std::multiset<std::int64_t>& ends = this->running[target];
    ends.erase(ends.begin(), ends.upper_bound(now));
    while (!this->queues[target].empty() && ends.size() < kSlots) {
      MovedCall& call = this->calls[this->queues[target].front()];
      ++call.runs;
      call.started = now;
      ends.insert(now + this->RunTime(now, target));
      this->queues[target].pop_front();
    }
  }

  void Move(std::int64_t now, std::size_t target) {
    std::deque<std::size_t>& queue = this->queues[target];
    LoadElsewhere elsewhere;
    for (std::size_t other = 0; other < this->size; ++other) {
      if (other != target) {
        AddTargetElsewhere(this->reports[other], 0, elsewhere);
      }
    }
    MoveBudget& budget = this->budgets[target];
    const std::uint32_t left =
        MovesLeft(Millis{now}, kMovesByReports, this->LoadOf(target).waiting,
                  elsewhere, budget);
    std::vector<bool> may_move;
    may_move.reserve(queue.size());
    for (const std::size_t call : queue) {
      may_move.push_back(this->calls[call].tried.size() <= 4);
    }
    const auto run_ms = static_cast<double>(this->RunTime(now, target));
    const MoveChoice choice = ChooseMoves(may_move, kSlots, run_ms, left);
    budget.returned += static_cast<std::uint32_t>(choice.returned.size());
    this->moved += choice.returned.size();
    for (auto place = choice.returned.rbegin(); place != choice.returned.rend();
         ++place) {
      const auto entry = queue.begin() + static_cast<std::ptrdiff_t>(*place);
      const std::size_t call = *entry;
      queue.erase(entry);
      this->Send(call);
    }
  }

  /// Sends a call to the least loaded target that it has not been at.
  void Send(std::size_t number) {
    MovedCall& call = this->calls[number];
    std::size_t best = this->size;
    std::uint32_t best_load = 0;
    for (std::size_t i = 0; i < this->size; ++i) {
      const bool is_tried = std::find(call.tried.begin(), call.tried.end(),
                                      i) != call.tried.end();
      const TargetLoad of_target = this->LoadOf(i);
      const std::uint32_t total = of_target.running + of_target.waiting;
      if (!is_tried && (best == this->size || total < best_load)) {
        best = i;
        best_load = total;
      }
    }
    call.tried.push_back(best);
    this->queues[best].push_back(number);
  }

  std::size_t size;
  std::size_t slow;
  double load;
  std::mt19937 random{5};
  std::vector<std::deque<std::size_t>> queues;
  std::vector<std::multiset<std::int64_t>> running;
  std::vector<MoveBudget> budgets;
  std::vector<TargetLoad> reports;
};

// Guards against calls that wait at a slow target while others have free slots.
TEST_CASE("calls that wait at a slow target are run by the others") {
  Fleet kept(20, 1, 0.7);
  kept.Run(false);
  Fleet fleet(20, 1, 0.7);
  fleet.Run(true);
  CAPTURE(fleet.moved, fleet.beyond_bound);
  CHECK(fleet.moved > 0);
  CHECK(fleet.MeanWaitOfSlow() < kept.MeanWaitOfSlow() / 2);
  for (const MovedCall& call : fleet.calls) {
    REQUIRE(call.runs <= 1);
  }
}

// Guards against targets that become slow at once and together return more than
// the others can take.
TEST_CASE("the bound on moves holds when many targets are slow at once") {
  for (const std::size_t slow : {2, 5, 10, 15}) {
    Fleet fleet(20, slow, 0.7);
    fleet.Run(true);
    CAPTURE(slow, fleet.moved);
    CHECK(fleet.moved > 0);
    CHECK(fleet.beyond_bound == 0);
  }
}

// Guards against calls that move back and forth between targets that are alike.
TEST_CASE("equal targets do not pass calls to each other") {
  Fleet calm(20, 0, 0.7);
  calm.Run(true);
  CHECK(calm.moved == 0);
  Fleet fleet(20, 1, 0.7);
  fleet.Run(true);
  CHECK(fleet.moved_late == 0);
  const auto moved_twice = std::count_if(
      fleet.calls.begin(), fleet.calls.end(),
      [](const MovedCall& call) { return call.tried.size() > 2; });
  CHECK(moved_twice == 0);
}

}  // namespace
}  // namespace almondlink::control
