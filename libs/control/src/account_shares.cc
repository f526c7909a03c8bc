#include "almondlink/control/account_shares.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>
#include <vector>

namespace almondlink::control {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Exponent of two at the lower edge of the first bucket, and buckets for each
/// factor of two.
constexpr double kLowestExponent = -8;
constexpr double kBucketsPerDoubling = 2;
/// A current demand that differs from the steady one by this many standard
/// deviations is a change. With 3, random arrivals exceed it for an account
/// once in several minutes.
constexpr double kChangeDeviations = 3;

/// Position of a ratio on the scale of the buckets; the integers are the edges.
double ScalePosition(double ratio) {
  return (std::log2(ratio) - kLowestExponent) * kBucketsPerDoubling;
}

std::size_t ClampBucket(double position) {
  return static_cast<std::size_t>(
      std::clamp(position, 0.0, static_cast<double>(kDemandBuckets) - 1));
}

/// Standard deviation of a reported rate of random arrivals whose mean is
/// `per_s`. One more request per time constant is allowed for, since the
/// distribution of few arrivals has a long tail.
double DeviationOf(double per_s) {
  constexpr double kSeconds = kDemandTimeConstantMs / kMillisPerSecond;
  return std::sqrt((per_s + 1 / kSeconds) / (2 * kSeconds));
}

/// Length of the time that the steady demand is a mean over, in milliseconds.
double SteadySpanMs(Millis now, const HomeDemand& demand) {
  const Millis age = now - demand.steady_since - kFollowTime;
  return std::min(
      kSteadyTimeConstantMs,
      kDemandTimeConstantMs + std::max(0.0, static_cast<double>(age.count)));
}

void UpdateSteady(Millis now, double span_ms, HomeDemand& demand) {
  const double difference = demand.current_per_s - demand.steady_per_s;
  const bool has_changed = std::abs(difference) >
                           kChangeDeviations * DeviationOf(demand.steady_per_s);
  if (has_changed || !demand.has_steady) {
    demand.has_steady = true;
    demand.steady_since = now;
  }
  if (now - demand.steady_since < kFollowTime) {
    demand.steady_per_s = demand.current_per_s;
    return;
  }
  demand.steady_per_s +=
      std::min(1.0, span_ms / SteadySpanMs(now, demand)) * difference;
}

}  // namespace

bool operator<(const AccountClass& a, const AccountClass& b) {
  return std::tie(a.account, a.route) < std::tie(b.account, b.route);
}

std::size_t DemandBucketOf(double ratio, double level) {
  if (ratio <= 0) {
    return 0;
  }
  const std::size_t bucket = ClampBucket(std::floor(ScalePosition(ratio)));
  if (level <= 0 || !std::isfinite(level)) {
    return bucket;
  }
  // The first bucket above the level.
  const std::size_t above =
      std::max<std::size_t>(1, ClampBucket(std::round(ScalePosition(level))));
  return ratio > level ? std::max(bucket, above) : std::min(bucket, above - 1);
}

void AddAccountDemand(double per_s,
                      double weight,
                      double level,
                      DemandHistogram& demand) {
  if (per_s <= 0) {
    return;
  }
  DemandBucket& bucket = demand.buckets[DemandBucketOf(per_s / weight, level)];
  bucket.per_s += per_s;
  bucket.weight += weight;
}

bool IsLevelKept(Millis now, Millis homes_since, Millis computed_at) {
  return computed_at < homes_since && now - homes_since <= kMaxDecisionAge &&
         now - computed_at <= kMaxDecisionAge;
}

double TotalDemand(const DemandHistogram& demand) {
  double total = 0;
  for (const DemandBucket& bucket : demand.buckets) {
    total += bucket.per_s;
  }
  return total;
}

double MeanDemandRatio(const DemandHistogram& demand) {
  double total = 0;
  double weight = 0;
  for (const DemandBucket& bucket : demand.buckets) {
    total += bucket.per_s;
    weight += bucket.weight;
  }
  return weight > 0 ? total / weight : 0;
}

double AccountLevel(const DemandHistogram& demand, double admitted_per_s) {
  std::vector<DemandBucket> buckets;
  double weight = 0;
  for (const DemandBucket& bucket : demand.buckets) {
    if (bucket.per_s > 0) {
      buckets.push_back(bucket);
      weight += bucket.weight;
    }
  }
  std::sort(buckets.begin(), buckets.end(),
            [](const DemandBucket& a, const DemandBucket& b) {
              return a.per_s * b.weight < b.per_s * a.weight;
            });
  double remaining = std::max(0.0, admitted_per_s);
  for (const DemandBucket& bucket : buckets) {
    if (weight > 0 && bucket.per_s * weight > remaining * bucket.weight) {
      return remaining / weight;
    }
    remaining -= bucket.per_s;
    weight -= bucket.weight;
  }
  return std::numeric_limits<double>::infinity();
}

double AdmittedShare(double level, double weight, double per_s) {
  return per_s > level * weight ? level * weight / per_s : 1;
}

void CountRequest(Millis now,
                  const AccountClass& account,
                  AccountMeter& meter) {
  LocalDemand& demand = meter.accounts[account];
  ++demand.offered.events;
  demand.last_request = now;
}

void UpdateMeter(Millis now, AccountMeter& meter) {
  const double span = static_cast<double>((now - meter.window_start).count);
  if (span <= 0) {
    return;
  }
  meter.window_start = now;
  for (auto entry = meter.accounts.begin(); entry != meter.accounts.end();) {
    LocalDemand& demand = entry->second;
    UpdateRate(span, kDemandTimeConstantMs, demand.offered);
    if (demand.offered.per_s < kMinDemandPerSecond) {
      demand.offered.per_s = 0;
    }
    const bool is_forgotten = demand.offered.per_s <= 0 &&
                              now - demand.last_request > kIdleReportTime;
    entry = is_forgotten ? meter.accounts.erase(entry) : std::next(entry);
  }
}

bool IsReportDue(Millis now, const LocalDemand& demand) {
  const Millis interval =
      demand.offered.per_s > 0 ? kDecisionInterval : kIdleReportInterval;
  return now - demand.reported_at >= interval;
}

void RecordTotal(Millis now,
                 const AccountClass& account,
                 double per_s,
                 AccountMeter& meter) {
  LocalDemand& demand = meter.accounts[account];
  demand.total_per_s = per_s;
  demand.total_at = now;
  if (demand.last_request == Millis{0}) {
    // The total arrived before the first request, which waits for its quota.
    demand.last_request = now;
  }
}

std::optional<double> KnownTotal(Millis now,
                                 const AccountClass& account,
                                 const AccountMeter& meter) {
  const auto found = meter.accounts.find(account);
  if (found == meter.accounts.end() || found->second.total_at == Millis{0} ||
      now - found->second.total_at > kMaxDecisionAge) {
    return std::nullopt;
  }
  return found->second.total_per_s;
}

void RecordReport(Millis now,
                  const AccountClass& account,
                  const std::string& node,
                  double per_s,
                  bool is_settled,
                  AccountHome& home) {
  HomeDemand& demand = home.accounts[account];
  if (demand.nodes.empty() && demand.last_active == Millis{0}) {
    demand.complete_at = is_settled ? now : now + kHomeSettleTime;
  }
  demand.nodes[node] = {per_s, now};
  if (per_s > 0) {
    demand.last_active = now;
  }
}

void UpdateHome(Millis now, AccountHome& home) {
  const double span = static_cast<double>((now - home.updated).count);
  if (span <= 0) {
    return;
  }
  home.updated = now;
  for (auto entry = home.accounts.begin(); entry != home.accounts.end();) {
    HomeDemand& demand = entry->second;
    demand.current_per_s = 0;
    for (auto node = demand.nodes.begin(); node != demand.nodes.end();) {
      const bool is_old = now - node->second.reported_at > kMaxDecisionAge;
      demand.current_per_s += is_old ? 0 : node->second.per_s;
      node = is_old ? demand.nodes.erase(node) : std::next(node);
    }
    if (now >= demand.complete_at) {
      UpdateSteady(now, span, demand);
    }
    const bool is_forgotten =
        demand.nodes.empty() && now - demand.last_active > kSteadyLifetime;
    entry = is_forgotten ? home.accounts.erase(entry) : std::next(entry);
  }
}

double EstimatedDemand(Millis now,
                       double expected_per_s,
                       const HomeDemand& demand) {
  if (expected_per_s <= 0) {
    return demand.steady_per_s;
  }
  const double span_s = SteadySpanMs(now, demand) / kMillisPerSecond;
  return (demand.steady_per_s * span_s + 1) / (span_s + 1 / expected_per_s);
}

const HomeDemand* FindAtHome(const AccountClass& account,
                             const AccountHome& home) {
  const auto found = home.accounts.find(account);
  return found == home.accounts.end() || !found->second.has_steady
             ? nullptr
             : &found->second;
}

bool IsActive(Millis now, double expected_per_s, const HomeDemand& demand) {
  constexpr double kExpectedRequests = 3;
  const double idle_s =
      static_cast<double>((now - demand.last_active).count) / kMillisPerSecond;
  const bool may_be_between_requests =
      demand.last_active != Millis{0} && expected_per_s > 0 &&
      idle_s * expected_per_s < kExpectedRequests;
  return demand.has_steady &&
         (demand.current_per_s > 0 || may_be_between_requests);
}

}  // namespace almondlink::control
