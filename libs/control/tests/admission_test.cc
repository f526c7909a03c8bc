#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "almondlink/control/admission.h"

namespace almondlink::control {
namespace {

AdmissionRequest Make(std::uint64_t ticket, Criticality criticality) {
  AdmissionRequest request;
  request.ticket = Ticket(ticket);
  request.criticality = criticality;
  request.rank = RankOf(criticality, RootId{ticket, ticket * 7919});
  request.deadline = Millis{1'000'000};
  return request;
}

AdmissionRules SmallRules() {
  AdmissionRules rules;
  rules.limit.slots = 4;
  rules.limit.slow_start = Millis{0};
  return rules;
}

bool IsRefused(const AdmissionStep& step, std::uint64_t ticket) {
  for (const Refusal& refusal : step.refuse) {
    if (refusal.ticket == Ticket(ticket)) {
      return true;
    }
  }
  return false;
}

TEST_CASE("a full queue evicts the least critical requests first") {
  const AdmissionRules rules = SmallRules();
  Admission admission;
  StartAdmission(rules, Millis{0}, admission);
  std::uint64_t ticket = 0;
  std::vector<std::uint64_t> sheddable;
  for (int i = 0; i < 20; ++i) {
    SubmitRequest(rules, Millis{0}, Make(++ticket, Criticality::kSheddable),
                  admission);
  }
  int refused_critical = 0;
  int refused_other = 0;
  for (int i = 0; i < 16; ++i) {
    const std::uint64_t critical = ++ticket;
    const AdmissionStep step = SubmitRequest(
        rules, Millis{1}, Make(critical, Criticality::kCritical), admission);
    refused_critical += IsRefused(step, critical) ? 1 : 0;
    refused_other += static_cast<int>(step.refuse.size());
  }
  REQUIRE(refused_critical == 0);
  REQUIRE(refused_other == 16);
}

TEST_CASE(
    "a class without delayed requests is not shed at the start of a surge") {
  // A cold target receives a surge of kNormal requests in its first window and
  // completes almost none. A threshold computed from so few completions would
  // fall among the ranks of the few critical requests that arrived too,
  // although none of those waited.
  Pressure pressure;
  RecordArrival(ShedRank(10), pressure);
  RecordArrival(ShedRank(200), pressure);
  for (std::uint32_t page = 0; page < 40; ++page) {
    RecordArrival(ShedRank(2 * kRanksPerClass + page), pressure);
    RecordDequeue(Criticality::kNormal, Millis{80}, Millis{20}, pressure);
  }
  RecordCompletion(pressure);
  UpdatePressure(Millis{20}, Millis{100}, true, pressure);
  REQUIRE(IsBelowThreshold(ShedRank(255), pressure));
  REQUIRE_FALSE(IsBelowThreshold(ShedRank(2 * kRanksPerClass + 39), pressure));
}

TEST_CASE("no request is dispatched while a more critical one is queued") {
  // Random arrivals far above capacity. At every dispatch, no request of a more
  // critical class is queued.
  const AdmissionRules rules = SmallRules();
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    Admission admission;
    StartAdmission(rules, Millis{0}, admission);
    std::map<Ticket, Criticality> classes;
    std::uint64_t ticket = 0;
    for (int time = 0; time < 3000; ++time) {
      const auto check = [&](const AdmissionStep& step) {
        for (const Ticket dispatched : step.dispatch) {
          for (const auto& [order, entry] : admission.queue) {
            REQUIRE(order.criticality >= classes[dispatched]);
          }
        }
      };
      for (int i = 0; i < 3; ++i) {
        const auto criticality = static_cast<Criticality>(random() % 4);
        ++ticket;
        classes[Ticket(ticket)] = criticality;
        check(SubmitRequest(rules, Millis{time}, Make(ticket, criticality),
                            admission));
      }
      if (admission.in_flight > 0 && time % 2 == 0) {
        check(CompleteRequest(rules, Millis{time}, LatencyMs{8},
                              Outcome::kSuccess, admission));
      }
    }
  }
}

TEST_CASE(
    "a request that cannot finish by its deadline is refused before it runs") {
  AdmissionRules rules = SmallRules();
  Admission admission;
  StartAdmission(rules, Millis{0}, admission);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    SubmitRequest(rules, Millis{0}, Make(i, Criticality::kNormal), admission);
    CompleteRequest(rules, Millis{0}, LatencyMs{100}, Outcome::kSuccess,
                    admission);
  }
  AdmissionRequest request = Make(100, Criticality::kCritical);
  request.deadline = Millis{50};
  const AdmissionStep step =
      SubmitRequest(rules, Millis{0}, request, admission);
  REQUIRE(step.refuse.size() == 1);
  REQUIRE(step.refuse[0].kind == ErrorKind::kDeadlineUnmeetable);
  // The estimate expires without new samples; otherwise no request would ever
  // be tried again.
  request.ticket = Ticket(101);
  request.deadline = Millis{450};
  const AdmissionStep later =
      SubmitRequest(rules, Millis{400}, request, admission);
  REQUIRE(later.dispatch.size() == 1);
}

TEST_CASE("queued requests that wait too long are refused") {
  const AdmissionRules rules = SmallRules();
  Admission admission;
  StartAdmission(rules, Millis{0}, admission);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    SubmitRequest(rules, Millis{0}, Make(i, Criticality::kNormal), admission);
  }
  REQUIRE(admission.queue.size() == 1);
  const AdmissionStep step = RefuseExpired(rules, Millis{200}, admission);
  REQUIRE(step.refuse.size() == 1);
  REQUIRE(step.refuse[0].kind == ErrorKind::kOverloaded);
  REQUIRE(admission.queue.empty());
  REQUIRE(admission.waiting.empty());
}

/// A target that runs `capacity` requests at once and queues further ones in
/// order of arrival.
struct FakeTarget {
  double service_ms = 10;
  std::size_t capacity = 8;
  std::deque<double> ends;

  double Start(double now) {
    std::sort(this->ends.begin(), this->ends.end());
    double begin = now;
    if (this->ends.size() >= this->capacity) {
      begin = std::max(now, this->ends[this->ends.size() - this->capacity]);
    }
    this->ends.push_back(begin + this->service_ms);
    return begin + this->service_ms;
  }
};

/// Keeps the target at its concurrency limit for `span` ms and returns the
/// number of completions.
int Drive(const LimitRules& rules,
          FakeTarget& target,
          double& now,
          double span,
          ConcurrencyLimit& limit) {
  std::multimap<double, double> running;
  const double until = now + span;
  int completed = 0;
  while (now < until) {
    const Millis time{static_cast<std::int64_t>(now)};
    while (running.size() < CurrentLimit(rules, time, limit)) {
      running.emplace(target.Start(now), now);
    }
    const double end = running.begin()->first;
    const double started = running.begin()->second;
    now = end;
    RecordOutcome(rules, Millis{static_cast<std::int64_t>(now)},
                  LatencyMs{end - started}, Outcome::kSuccess,
                  static_cast<std::uint32_t>(running.size()), limit);
    running.erase(running.begin());
    while (!target.ends.empty() && target.ends.front() <= now) {
      target.ends.pop_front();
    }
    ++completed;
  }
  return completed;
}

TEST_CASE(
    "the limit converges to the capacity of a target that announces too much") {
  LimitRules rules;
  rules.slots = 64;
  rules.slow_start = Millis{0};
  ConcurrencyLimit limit;
  StartLimit(rules, Millis{0}, limit);
  FakeTarget target;
  double now = 0;
  limit.baseline_latency = 10;
  Drive(rules, target, now, 10'000, limit);
  REQUIRE(limit.limit < 24);
  // 8 slots of 10 ms each complete 800 requests per second; nearly all of that
  // is used.
  REQUIRE(Drive(rules, target, now, 5'000, limit) > 3600);
}

TEST_CASE("a slow service keeps its concurrency limit and throughput") {
  LimitRules rules;
  rules.slots = 32;
  rules.slow_start = Millis{0};
  ConcurrencyLimit limit;
  StartLimit(rules, Millis{0}, limit);
  FakeTarget target;
  target.capacity = 32;
  double now = 0;
  Drive(rules, target, now, 3'000, limit);
  target.service_ms = 100;
  // 32 slots at 100 ms complete 320 requests per second.
  REQUIRE(Drive(rules, target, now, 20'000, limit) > 0.9 * 320 * 20);
  target.service_ms = 10;
  Drive(rules, target, now, 1'000, limit);
  REQUIRE(Drive(rules, target, now, 2'000, limit) > 0.9 * 3200 * 2);
}

TEST_CASE("the limit of a newly started target rises gradually") {
  LimitRules rules;
  rules.slots = 50;
  rules.slow_start = Millis{1000};
  ConcurrencyLimit limit;
  StartLimit(rules, Millis{0}, limit);
  REQUIRE(CurrentLimit(rules, Millis{0}, limit) == 10);
  REQUIRE(CurrentLimit(rules, Millis{500}, limit) == 30);
  REQUIRE(CurrentLimit(rules, Millis{1000}, limit) == 50);
}

TEST_CASE(
    "pressure reaches its level in one step and ends soon after its cause") {
  Pressure pressure;
  // Four times as many requests arrive as are completed, evenly over the ranks.
  for (std::uint32_t rank = 0; rank < kRankCount; ++rank) {
    RecordArrival(ShedRank(rank), pressure);
  }
  for (int i = 0; i < 256; ++i) {
    RecordCompletion(pressure);
    RecordDequeue(static_cast<Criticality>(i % 4), Millis{80}, Millis{20},
                  pressure);
  }
  REQUIRE(UpdatePressure(Millis{20}, Millis{100}, true, pressure));
  // The completed requests plus the headroom of a fifth.
  REQUIRE(pressure.threshold == 307);
  Millis now{100};
  while (pressure.threshold < kRankCount && now < Millis{5000}) {
    now = now + kPressureWindow;
    UpdatePressure(Millis{20}, now, false, pressure);
  }
  REQUIRE(now <= Millis{2200});
}

TEST_CASE("the rank of a request is the same at every hop") {
  const RootId root{3, 4};
  REQUIRE(RankOf(Criticality::kHigh, root) == RankOf(Criticality::kHigh, root));
  REQUIRE(RankOf(Criticality::kCritical, root) <
          RankOf(Criticality::kHigh, root));
}

}  // namespace
}  // namespace almondlink::control
