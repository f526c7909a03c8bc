#include "almondlink/control/queue_order.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace almondlink::control {

namespace {

/// An estimate is not used after 300 ms without samples; it is kept longer so
/// that a kind of call with few runs still reaches the minimum of samples.
constexpr Millis kRunRetention{10000};

std::pair<std::uint32_t, std::uint32_t> EntryOf(const CallKind& kind) {
  return {kind.route, kind.route == 0 ? kind.root_route : 0};
}

Millis RoundUp(LatencyMs time) {
  return Millis{static_cast<std::int64_t>(std::ceil(time.count))};
}

}  // namespace

Millis LatestStart(const StartLimits& limits, LatencyMs min_run) {
  return std::min(limits.deadline - RoundUp(min_run), limits.wait_until);
}

bool CanStart(Millis now, const StartLimits& limits, LatencyMs min_run) {
  return now < limits.wait_until && now + RoundUp(min_run) <= limits.deadline;
}

QueueKey KeyByDue(const QueuedCall& call) {
  return {call.latest_start, call.latest_start.count / kDueSlice.count,
          call.priority, call.depth, call.arrival};
}

QueueKey KeyByPriority(const QueuedCall& call) {
  return {Millis{0}, 0, call.priority, call.depth, call.arrival};
}

bool RunsBefore::operator()(const QueueKey& a, const QueueKey& b) const {
  return std::tie(a.slice, a.priority, b.depth, a.arrival) <
         std::tie(b.slice, b.priority, a.depth, b.arrival);
}

bool KeptBefore::operator()(const QueueKey& a, const QueueKey& b) const {
  return std::tie(a.priority, a.latest_start.count, b.depth, a.arrival) <
         std::tie(b.priority, b.latest_start.count, a.depth, b.arrival);
}

void RecordRun(Millis now,
               const CallKind& kind,
               LatencyMs time,
               RunEstimates& estimates) {
  RecordServiceTime(now, time, estimates.by_kind[EntryOf(kind)]);
}

void RecordCutRun(Millis now,
                  const CallKind& kind,
                  LatencyMs time,
                  RunEstimates& estimates) {
  const auto known = estimates.by_kind.find(EntryOf(kind));
  const double mean = known == estimates.by_kind.end() ? 0 : known->second.mean;
  if (time.count > mean) {
    RecordRun(now, kind, time, estimates);
  }
}

LatencyMs LikelyMinRun(Millis now,
                       const CallKind& kind,
                       const RunEstimates& estimates) {
  const auto known = estimates.by_kind.find(EntryOf(kind));
  return known == estimates.by_kind.end()
             ? LatencyMs{0}
             : LikelyMinServiceTime(now, known->second);
}

void ExpireRuns(Millis now, RunEstimates& estimates) {
  for (auto entry = estimates.by_kind.begin();
       entry != estimates.by_kind.end();) {
    const bool is_old = now - entry->second.last_sample > kRunRetention;
    entry = is_old ? estimates.by_kind.erase(entry) : std::next(entry);
  }
}

}  // namespace almondlink::control
