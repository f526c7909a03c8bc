#include "almondlink/control/chain_admission.h"
#include "almondlink/control/demand_meter.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <random>

namespace almondlink::control {
namespace {

RootTotals Rates(double offered_per_s, double admitted_per_s) {
  RootTotals sum;
  sum.offered_per_s = offered_per_s;
  sum.admitted_per_s = admitted_per_s;
  return sum;
}

constexpr std::uint32_t kRelease = 11;
constexpr std::uint32_t kLookup = 13;
constexpr std::uint32_t kCheck = 15;

/// A route: its request rate, and the number of sequential calls that each
/// request makes to the short service.
struct Kind {
  std::uint32_t route;
  std::uint32_t priority;
  double per_s;
  int calls;
  double work_ms;
};

/// A frequent low-priority route with eight calls per request, a less frequent
/// high-priority one with eight, and one with a single call; the short service
/// has 129 slots.
const std::vector<Kind> kKinds = {{kCheck, 2, 429, 8, 22},
                                  {kRelease, 0, 163, 8, 22},
                                  {kLookup, 1, 122, 1, 36}};

/// Requests of one route in a stretch of time.
struct Count {
  int offered = 0;
  int admitted = 0;
  int completed = 0;
};

/// Simulates root requests at one entry node and one short service with a
/// number of slots, in steps of a millisecond. A call that was queued for more
/// than 700 ms fails its request.
class ChainSimulation {
 public:
  explicit ChainSimulation(int slots_in) : slots(slots_in) {}

  double load = 1;
  /// Factor on the time of each call.
  double slowness = 1;
  /// Whether each refused request is retried three times at once.
  bool has_retry_storm = false;

  std::map<std::uint32_t, Count> Run(int milliseconds) {
    std::map<std::uint32_t, Count> counts;
    for (int i = 0; i < milliseconds; ++i) {
      this->now = this->now + Millis{1};
      this->Arrive(counts);
      this->Serve(counts);
      if (this->now.count % 100 == 0) {
        this->Update();
      }
    }
    return counts;
  }

  const ChainAdmission& Admission() const { return this->admission; }
  std::size_t Waiting() const { return this->queue.size(); }

 private:
  struct Request {
    const Kind* kind = nullptr;
    int calls_left = 0;
    Millis ready;
    Millis ends;
  };

  void Offer(const Kind& kind, std::map<std::uint32_t, Count>& counts) {
    std::uniform_real_distribution<double> draw(0, 1);
    Count& count = counts[kind.route];
    ++count.offered;
    if (!TryAdmitRoot(kind.route, kind.priority, draw(this->random),
                      this->admission)) {
      return;
    }
    ++count.admitted;
    Request request;
    request.kind = &kind;
    request.calls_left = kind.calls;
    request.ready = this->now;
    this->Enqueue(request);
  }

  void Arrive(std::map<std::uint32_t, Count>& counts) {
    for (const Kind& kind : kKinds) {
      std::poisson_distribution<int> arrivals(kind.per_s * this->load / 1000);
      const int arrived = arrivals(this->random);
      for (int i = 0; i < arrived; ++i) {
        const int before = counts[kind.route].admitted;
        this->Offer(kind, counts);
        const bool is_refused = counts[kind.route].admitted == before;
        for (int retry = 0; this->has_retry_storm && is_refused && retry < 3;
             ++retry) {
          this->Offer(kind, counts);
        }
      }
    }
  }

  void Enqueue(Request request) {
    RecordDemand(request.kind->route, this->meter);
    request.ready = this->now;
    this->queue.push_back(request);
  }

  void Serve(std::map<std::uint32_t, Count>& counts) {
    constexpr Millis kMaxWait{700};
    std::deque<Request> unfinished;
    std::vector<Request> next;
    for (Request& request : this->running) {
      if (request.ends > this->now) {
        unfinished.push_back(request);
        continue;
      }
      RecordWork(request.kind->route, this->now,
                 LatencyMs{request.kind->work_ms * this->slowness},
                 this->meter);
      --request.calls_left;
      if (request.calls_left == 0) {
        ++counts[request.kind->route].completed;
      } else {
        next.push_back(request);
      }
    }
    this->running.swap(unfinished);
    for (const Request& request : next) {
      this->Enqueue(request);
    }
    while (!this->queue.empty() &&
           this->running.size() < static_cast<std::size_t>(this->slots)) {
      Request request = this->queue.front();
      this->queue.pop_front();
      if (this->now - request.ready > kMaxWait) {
        continue;
      }
      std::exponential_distribution<double> work(
          1 / (request.kind->work_ms * this->slowness));
      request.ends = this->now + Millis{1 + std::lround(work(this->random))};
      this->running.push_back(request);
    }
  }

  void Update() {
    UpdateDemand(this->now, this->meter);
    UpdateRootRates(this->now, this->admission);
    TargetCapacity target;
    target.slots = static_cast<std::uint32_t>(this->slots);
    target.waiting = static_cast<std::uint32_t>(this->queue.size());
    target.work_ms = MeanWorkMs(this->meter);
    target.demand = DemandOf(this->meter);
    std::map<std::uint32_t, RootTotals> roots;
    for (const RootRate& rate : LocalRootRates(this->admission)) {
      AddRootRate(rate, roots);
    }
    UpdateShares(ChainRules(), {ServiceCapacity{"short", {target}}}, roots,
                 this->admission);
  }

  int slots;
  Millis now;
  ChainAdmission admission;
  DemandMeter meter;
  std::deque<Request> queue;
  std::deque<Request> running;
  std::mt19937 random{7};
};

double CompletedShare(const Count& count) {
  return static_cast<double>(count.completed) / count.offered;
}

/// Rules with a reserve of 6 % of the slots, on which the expected values of
/// some tests are based.
ChainRules RulesWithReserve() {
  ChainRules rules;
  rules.planned_share = 0.94;
  return rules;
}

TEST_CASE("nothing is refused while the capacity suffices") {
  ChainSimulation chain(140);
  chain.Run(3000);
  for (const auto& [route, count] : chain.Run(5000)) {
    REQUIRE(count.admitted == count.offered);
  }
}

TEST_CASE("a surge to twice the capacity is refused by priority") {
  // A load of 1.4 with a burst of 1.7 for 20 s, on a service that is 0.84 busy
  // at a load of 1: twice its capacity.
  ChainSimulation chain(129);
  chain.load = 1.4;
  chain.Run(5000);
  chain.load = 1.4 * 1.7;
  chain.Run(1500);
  std::map<std::uint32_t, Count> surge = chain.Run(20'000);
  // The high-priority routes are served almost completely, the lowest one gets
  // the remaining capacity, and admitted requests complete.
  REQUIRE(CompletedShare(surge[kRelease]) > 0.95);
  REQUIRE(CompletedShare(surge[kLookup]) > 0.95);
  REQUIRE(CompletedShare(surge[kCheck]) > 0.2);
  REQUIRE(CompletedShare(surge[kCheck]) < 0.6);
  REQUIRE(surge[kCheck].completed > 0.95 * surge[kCheck].admitted);
  // The low-priority route recovers within two seconds of the end of the surge.
  chain.load = 0.9;
  chain.Run(2000);
  std::map<std::uint32_t, Count> after = chain.Run(2000);
  REQUIRE(CompletedShare(after[kCheck]) > 0.97);
}

TEST_CASE("shares are stable under a steady load") {
  // Guards against oscillation: with two thirds of a service lost, shares that
  // were adjusted by feedback swung between 0.1 and 0.9.
  ChainSimulation chain(60);
  chain.Run(6000);
  double min_share = 1;
  double max_share = 0;
  for (int i = 0; i < 50; ++i) {
    chain.Run(100);
    const double share = ShareOf(kCheck, chain.Admission());
    min_share = std::min(min_share, share);
    max_share = std::max(max_share, share);
  }
  REQUIRE(max_share - min_share < 0.15);
}

TEST_CASE(
    "a service that becomes slow completes the requests that are admitted") {
  // All targets of a service deep in the chain become 5 or 12 times slower.
  for (const double slowness : {5.0, 12.0}) {
    ChainSimulation chain(129);
    chain.Run(5000);
    chain.slowness = slowness;
    chain.Run(2000);
    std::map<std::uint32_t, Count> slow = chain.Run(10'000);
    int admitted = 0;
    int completed = 0;
    for (const auto& [route, count] : slow) {
      admitted += count.admitted;
      completed += count.completed;
    }
    REQUIRE(completed > 0.8 * admitted);
    // No route is shut out.
    for (const auto& [route, count] : slow) {
      REQUIRE(count.completed > 0);
    }
    chain.slowness = 1;
    chain.Run(3000);
    REQUIRE(CompletedShare(chain.Run(2000)[kCheck]) > 0.95);
  }
}

TEST_CASE("immediate retries take no capacity from routes of higher priority") {
  // Each refused request is retried three times at once.
  ChainSimulation chain(129);
  chain.load = 1.8;
  chain.has_retry_storm = true;
  chain.Run(3000);
  std::map<std::uint32_t, Count> storm = chain.Run(10'000);
  REQUIRE(CompletedShare(storm[kRelease]) > 0.95);
  REQUIRE(storm[kCheck].completed > 0.95 * storm[kCheck].admitted);
}

TEST_CASE("requests refused for one service are no demand at another") {
  // Guards against double counting: requests of one route that the deep service
  // refused still counted as demand at the archive, which then refused
  // downloads without need.
  constexpr std::uint32_t kDownload = 17;
  ChainAdmission admission;
  for (const std::uint32_t route : {kCheck, kDownload}) {
    TryAdmitRoot(route, 2, 0, admission);
  }
  TargetCapacity deep;
  deep.slots = 100;
  deep.work_ms = 20;
  deep.demand = {{kCheck, 8000, 20}};
  TargetCapacity archive;
  archive.slots = 300;
  archive.work_ms = 100;
  archive.demand = {{kCheck, 2000, 140}, {kDownload, 300, 100}};
  std::map<std::uint32_t, RootTotals> roots;
  roots[kCheck] = Rates(1000, 1000);
  roots[kDownload] = Rates(300, 300);
  for (int i = 0; i < 20; ++i) {
    UpdateShares(RulesWithReserve(), {{"archive", {archive}}, {"deep", {deep}}},
                 roots, admission);
  }
  // The deep service runs 4,700 calls per second (94 slots at 20 ms) of the
  // 8,000 demanded, which admits 59 % of the root requests.
  REQUIRE(ShareOf(kCheck, admission) < 0.62);
  REQUIRE(ShareOf(kDownload, admission) == 1.0);
}

TEST_CASE("no route is admitted much less often than the average") {
  // Guards against shutting out a route: with three of four targets of the
  // short service lost, the high-priority route took most of the capacity, and
  // the frequent route with eight calls per request was admitted a quarter as
  // often as the average.
  constexpr std::uint32_t kElsewhere = 17;
  for (const std::uint32_t slots : {8U, 12U, 20U, 30U, 60U}) {
    ChainAdmission admission;
    TryAdmitRoot(kCheck, 2, 0, admission);
    TryAdmitRoot(kRelease, 0, 0, admission);
    TryAdmitRoot(kLookup, 1, 0, admission);
    TryAdmitRoot(kElsewhere, 2, 0, admission);
    std::map<std::uint32_t, RootTotals> roots;
    roots[kCheck] = Rates(429, 429);
    roots[kRelease] = Rates(163, 163);
    roots[kLookup] = Rates(122, 122);
    roots[kElsewhere] = Rates(80, 80);
    TargetCapacity target;
    target.slots = slots;
    target.work_ms = 22;
    target.demand = {
        {kCheck, 429 * 8, 22}, {kRelease, 163 * 8, 22}, {kLookup, 122, 36}};
    for (int i = 0; i < 20; ++i) {
      UpdateShares(RulesWithReserve(), {{"short", {target}}}, roots, admission);
    }
    double offered = 0;
    double admitted = 0;
    for (const auto& [route, rate] : roots) {
      offered += rate.offered_per_s;
      admitted += rate.offered_per_s * ShareOf(route, admission);
    }
    const double all = admitted / offered;
    INFO("slots " << slots << ", all " << all << ", checks "
                  << ShareOf(kCheck, admission) << ", releases "
                  << ShareOf(kRelease, admission) << ", lookups "
                  << ShareOf(kLookup, admission));
    REQUIRE(ShareOf(kCheck, admission) >= 0.14 * all);
    // Shares are ordered by priority, and the route with the least demand does
    // not pay for the minimum share of others.
    REQUIRE(ShareOf(kRelease, admission) > ShareOf(kCheck, admission));
    REQUIRE(ShareOf(kLookup, admission) > ShareOf(kRelease, admission) - 0.01);
    // The minimum shares do not allocate more than the capacity.
    const double wanted = ShareOf(kCheck, admission) * 429 * 8 * 0.022 +
                          ShareOf(kRelease, admission) * 163 * 8 * 0.022 +
                          ShareOf(kLookup, admission) * 122 * 0.036;
    REQUIRE(wanted <= slots * 0.96);
  }
}

TEST_CASE("a target that became slow counts for less capacity") {
  ChainAdmission admission;
  TryAdmitRoot(kCheck, 2, 0, admission);
  TargetCapacity good;
  good.slots = 100;
  good.work_ms = 20;
  good.demand = {{kCheck, 4000, 20}};
  TargetCapacity slow = good;
  slow.work_ms = 240;
  slow.demand = {{kCheck, 100, 240}};
  std::map<std::uint32_t, RootTotals> roots;
  roots[kCheck] = Rates(800, 512);
  for (int i = 0; i < 20; ++i) {
    UpdateShares(RulesWithReserve(), {{"short", {good, slow}}}, roots,
                 admission);
  }
  // 200 announced slots, but little more capacity than the 100 of the fast
  // target.
  REQUIRE(ShareOf(kCheck, admission) < 0.8);
}

TEST_CASE("the estimate of a target that gets no calls expires") {
  // Calls that were in flight while a host was suspended make its target seem a
  // hundred times slower. It then gets no calls, so without expiry the estimate
  // would never be corrected, and low-priority requests would be refused for
  // half a minute.
  DemandMeter meter;
  for (int i = 0; i < 300; ++i) {
    RecordDemand(kCheck, meter);
    RecordWork(kCheck, Millis{0}, LatencyMs{2000}, meter);
  }
  UpdateDemand(Millis{100}, meter);
  REQUIRE(DemandOf(meter)[0].work_ms > 1900);
  UpdateDemand(Millis{1200}, meter);
  REQUIRE(DemandOf(meter)[0].work_ms == 0);
  // A target without an estimate is assumed to be as fast as the others.
  ChainAdmission admission;
  TryAdmitRoot(kCheck, 2, 0, admission);
  TargetCapacity good;
  good.slots = 100;
  good.work_ms = 20;
  good.demand = {{kCheck, 3000, 20}};
  TargetCapacity woken;
  woken.slots = 100;
  woken.demand = {{kCheck, 100, 0}};
  std::map<std::uint32_t, RootTotals> roots;
  roots[kCheck] = Rates(310, 310);
  for (int i = 0; i < 20; ++i) {
    UpdateShares(ChainRules(), {{"short", {good, woken}}}, roots, admission);
  }
  REQUIRE(ShareOf(kCheck, admission) == 1.0);
}

constexpr std::uint32_t kSearch = 23;

/// Two routes of one priority at a service: a lookup that uses 60 ms of slot
/// time per request, and a search that uses 240 ms. Returns their shares.
std::pair<double, double> SharesByCost(double cost_exponent,
                                       std::uint32_t slots) {
  ChainAdmission admission;
  TryAdmitRoot(kCheck, 2, 0, admission);
  TryAdmitRoot(kSearch, 2, 0, admission);
  std::map<std::uint32_t, RootTotals> roots;
  roots[kCheck] = Rates(900, 900);
  roots[kSearch] = Rates(165, 165);
  TargetCapacity target;
  target.slots = slots;
  target.work_ms = 25;
  target.demand = {{kCheck, 900 * 4, 15}, {kSearch, 165, 240}};
  ChainRules rules;
  rules.cost_exponent = cost_exponent;
  for (int i = 0; i < 20; ++i) {
    UpdateShares(rules, {{"search", {target}}}, roots, admission);
  }
  return {ShareOf(kCheck, admission), ShareOf(kSearch, admission)};
}

TEST_CASE("routes of one priority share capacity by the cost of a request") {
  // A service lacks a tenth to a half of the slots demanded by cheap and
  // expensive requests of one priority. Admitting the same fraction of both
  // serves fewer callers than the slots allow.
  for (const std::uint32_t slots : {47U, 60U, 75U, 85U}) {
    const auto [lookup, search] = SharesByCost(1, slots);
    const auto [lookup_alike, search_alike] = SharesByCost(0, slots);
    INFO("slots " << slots << ": " << lookup << ", " << search << " against "
                  << lookup_alike << ", " << search_alike);
    REQUIRE(900 * lookup + 165 * search >
            1.05 * (900 * lookup_alike + 165 * search_alike));
    // The more expensive route is not shut out.
    REQUIRE(search > 0.3 * lookup);
    // All slots are allocated, and no more.
    const double used = 900 * lookup * 0.06 + 165 * search * 0.24;
    REQUIRE(used <= slots * 1.005);
    REQUIRE(used >= slots * 0.99);
  }
}

TEST_CASE("sharing by cost keeps the order of priorities") {
  ChainAdmission admission;
  TryAdmitRoot(kRelease, 0, 0, admission);
  TryAdmitRoot(kCheck, 2, 0, admission);
  TryAdmitRoot(kSearch, 2, 0, admission);
  std::map<std::uint32_t, RootTotals> roots;
  roots[kRelease] = Rates(275, 275);
  roots[kCheck] = Rates(900, 900);
  roots[kSearch] = Rates(165, 165);
  TargetCapacity target;
  target.slots = 60;
  target.work_ms = 25;
  target.demand = {
      {kRelease, 275 * 4, 15}, {kCheck, 900 * 4, 15}, {kSearch, 165, 240}};
  for (int i = 0; i < 20; ++i) {
    UpdateShares(ChainRules(), {{"search", {target}}}, roots, admission);
  }
  REQUIRE(ShareOf(kRelease, admission) > 0.95);
  REQUIRE(ShareOf(kCheck, admission) < 0.8);
}

TEST_CASE("calls that targets refuse are no demand for slots") {
  // All targets of a service refuse half of their calls while half of their
  // slots are free. If refused calls counted as demand, root requests would be
  // refused as if the service were full.
  DemandMeter meter;
  for (int tick = 1; tick <= 100; ++tick) {
    for (int i = 0; i < 100; ++i) {
      RecordDemand(kCheck, meter);
      if (i % 2 == 0) {
        RemoveRefusedDemand(kCheck, meter);
      } else {
        RecordWork(kCheck, Millis{tick * 100}, LatencyMs{15}, meter);
      }
    }
    UpdateDemand(Millis{tick * 100}, meter);
  }
  const std::vector<RouteDemand> demand = DemandOf(meter);
  REQUIRE(demand.size() == 1);
  REQUIRE(demand[0].calls_per_s > 450);
  REQUIRE(demand[0].calls_per_s < 550);
  REQUIRE(demand[0].work_ms == Approx(15));
}

TEST_CASE("all requests are admitted as soon as the demand fits again") {
  // The only target of a service is lost for a moment and returns idle. If
  // shares recovered in steps, half of the requests and then a quarter would be
  // refused in the following tenths of a second.
  ChainAdmission admission;
  TryAdmitRoot(kCheck, 2, 0, admission);
  std::map<std::uint32_t, RootTotals> roots;
  roots[kCheck] = Rates(100, 100);
  TargetCapacity target;
  target.work_ms = 20;
  target.demand = {{kCheck, 100, 20}};
  UpdateShares(ChainRules(), {{"short", {target}}}, roots, admission);
  REQUIRE(ShareOf(kCheck, admission) < 0.6);
  target.slots = 40;
  UpdateShares(ChainRules(), {{"short", {target}}}, roots, admission);
  REQUIRE(ShareOf(kCheck, admission) == 1);
}

}  // namespace
}  // namespace almondlink::control
