#ifndef ALMONDLINK_CONTROL_ACCOUNT_SHARES_H_
#define ALMONDLINK_CONTROL_ACCOUNT_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "almondlink/base/clock.h"
#include "almondlink/control/decision_sums.h"
#include "almondlink/control/demand_meter.h"

/// Weighted max-min fairness among the client accounts of a class of root
/// requests that is short of capacity.
///
/// Each account is admitted up to `level` times its weight, the rate that the
/// policy grants it. The level is the one at which the accounts together are
/// admitted as much as the class:
///
///     sum over accounts of min(demand, level * weight) = admitted
///
/// An account below its part loses nothing to one above it, and the others get
/// what it does not use. A node sees too few requests of an account to know its
/// demand, so each account has a home, the node that lends its quota. Nodes
/// report their rates to the home; the home adds them up, returns the total and
/// contributes the account to the histogram of demand, which all nodes get with
/// the other sums. Memory and messages grow with the accounts that a node sees,
/// not with the number of nodes.
///
/// Error of the histogram. AccountLevel() treats the accounts of one bucket as
/// one account. Its level is never above the exact one and lies in the same
/// bucket, and what it leaves unused is at most (q - 1) / (q + 1) of the demand
/// in that bucket, where q is the square root of the factor that the bucket
/// covers: 0.087 for a factor of sqrt(2). Only accounts that demand more than
/// the level found are affected. To remove the error where the load is steady,
/// homes move the edge of the buckets that is nearest to the last level to that
/// level. An account is then in a bucket wholly below or wholly above the last
/// level, and the next level is exact if it is the same. Otherwise each level
/// is nearer to the exact one than the last, without exceeding it. A bucket
/// beside a moved edge covers a factor of up to 2^0.75, which makes the bound
/// 0.13 while the level changes.
///
/// Designed for: 76 accounts at 69 nodes and 5,000 accounts at 2,000 nodes with
/// 1.5 root requests per second each, one account at six times its usual rate,
/// and homes that die, are cut off or are new.
namespace almondlink::control {

/// Requests of one account in one class of root requests, see RootRate::route.
struct AccountClass {
  std::uint32_t account = 0;
  std::uint32_t route = 0;
};
bool operator<(const AccountClass& a, const AccountClass& b);

// ---- Level ----

/// Bucket of an account that demands `ratio` times its weight. `level` is the
/// last level of the class, which no bucket extends across; 0 if there is none.
/// Ratios outside the range belong to the first or the last bucket. Thread
/// safe.
std::size_t DemandBucketOf(double ratio, double level);

/// Adds an account. `weight` must be above 0; `level` as above. Not thread
/// safe.
void AddAccountDemand(double per_s,
                      double weight,
                      double level,
                      DemandHistogram& demand);

/// Whether a level that was computed at `computed_at` stays in force although
/// new sums may have arrived. Since the homes changed, at `homes_since`, the
/// sums may lack the accounts of a lost home. A level computed after that may
/// lack them too and is not kept. Where homes change all the time, a level is
/// computed every kMaxDecisionAge. Thread safe.
bool IsLevelKept(Millis now, Millis homes_since, Millis computed_at);

/// Requests per second of all accounts. Thread safe.
double TotalDemand(const DemandHistogram& demand);

/// Mean ratio of demand and weight, weighted by the latter; 0 if there is no
/// demand. Thread safe.
double MeanDemandRatio(const DemandHistogram& demand);

/// The level at which the accounts together are admitted `admitted_per_s`;
/// infinity if that is no less than their demand. Thread safe.
double AccountLevel(const DemandHistogram& demand, double admitted_per_s);

/// Share of an account's requests that is admitted. `per_s` is its demand over
/// all nodes. Thread safe.
double AdmittedShare(double level, double weight, double per_s);

// ---- Node that receives requests ----

/// Time constant of the rates that nodes report. One second follows an account
/// that starts to send more; the home smooths random arrivals.
constexpr double kDemandTimeConstantMs = 1000;
/// Rate below which an account counts as idle at a node: 5 s after a single
/// request.
constexpr double kMinDemandPerSecond = 0.005;
/// How long a node reports an account that is idle there, so that it knows the
/// total if a request arrives, and how often.
constexpr Millis kIdleReportTime{30'000};
constexpr Millis kIdleReportInterval{2000};

/// One account and class at a node.
struct LocalDemand {
  RateMeter offered;
  Millis last_request;
  Millis reported_at;
  /// Total that the home returned, and when; 0: never.
  double total_per_s = 0;
  Millis total_at;
};

/// Accounts with recent requests at one node. Not thread safe.
struct AccountMeter {
  std::map<AccountClass, LocalDemand> accounts;
  Millis window_start;
};

/// Counts a request that arrived. Not thread safe.
void CountRequest(Millis now, const AccountClass& account, AccountMeter& meter);

/// Closes the rate window of this node and drops accounts without requests for
/// kIdleReportTime. Call about every 100 ms. Not thread safe.
void UpdateMeter(Millis now, AccountMeter& meter);

/// Whether the rate is to be reported to the home now. Thread safe.
bool IsReportDue(Millis now, const LocalDemand& demand);

/// Records a total that the home returned. Not thread safe.
void RecordTotal(Millis now,
                 const AccountClass& account,
                 double per_s,
                 AccountMeter& meter);

/// The total that the home returned, unless it is older than kMaxDecisionAge.
/// Thread safe.
std::optional<double> KnownTotal(Millis now,
                                 const AccountClass& account,
                                 const AccountMeter& meter);

// ---- Home ----

/// Time after which a new home has the reports of all nodes: they report within
/// an interval and check ten times a second whether a report is due.
constexpr Millis kHomeSettleTime = kDecisionInterval + Millis{100};
/// Time constant of the steady demand. The standard error of an account with
/// one request per second is 0.22 of its rate.
constexpr double kSteadyTimeConstantMs = 10'000;
/// How long the steady demand follows the current one after a change: the
/// current demand has then reached 0.86 of the new rate.
constexpr Millis kFollowTime{2000};
/// How long an account without requests is kept. Without it, an account that
/// sends one request in 20 s would count as sending one per second.
constexpr Millis kSteadyLifetime{60'000};

/// Rate that a node reported.
struct ReportedDemand {
  double per_s = 0;
  Millis reported_at;
};

/// One account and class at the account's home.
struct HomeDemand {
  std::map<std::string, ReportedDemand> nodes;
  /// From when on the reports are complete.
  Millis complete_at;
  /// When a node last reported requests.
  Millis last_active;
  /// Sum of the rates reported last.
  double current_per_s = 0;
  /// Mean of that sum since the last change, over kSteadyTimeConstantMs at
  /// most.
  bool has_steady = false;
  double steady_per_s = 0;
  Millis steady_since;
};

/// The accounts that a node is the home of. Not thread safe.
struct AccountHome {
  std::map<AccountClass, HomeDemand> accounts;
  Millis updated;
};

/// Records the rate of an account at `node`. `is_settled`: the home has the
/// reports of all nodes, so that an account that it does not know had no
/// requests lately. Not thread safe.
void RecordReport(Millis now,
                  const AccountClass& account,
                  const std::string& node,
                  double per_s,
                  bool is_settled,
                  AccountHome& home);

/// Drops reports that are older than kMaxDecisionAge and updates the demand.
/// Call about every 100 ms. Not thread safe.
void UpdateHome(Millis now, AccountHome& home);

/// Demand of an account over all nodes. This is the steady demand, unless the
/// current one differs from it by more than random arrivals explain.
/// `expected_per_s` is the rate of other accounts of the same weight; it counts
/// as one request, since an account with one request in a minute would
/// otherwise appear to demand many times its weight right after it. 0: not
/// known. A default-constructed `demand` stands for an account without recent
/// requests. Thread safe.
double EstimatedDemand(Millis now,
                       double expected_per_s,
                       const HomeDemand& demand);

/// The account at its home; null if it is unknown or not all nodes can have
/// reported it yet. Valid until the home changes. Thread safe.
const HomeDemand* FindAtHome(const AccountClass& account,
                             const AccountHome& home);

/// Whether the account is part of the histogram. Nothing is reserved for an
/// account that sends no requests: none arrived for so long that three would be
/// expected. Thread safe.
bool IsActive(Millis now, double expected_per_s, const HomeDemand& demand);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ACCOUNT_SHARES_H_
