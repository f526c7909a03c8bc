#ifndef ALMONDLINK_CONTROL_TESTS_ACCOUNT_FLEET_H_
#define ALMONDLINK_CONTROL_TESTS_ACCOUNT_FLEET_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "almondlink/control/account_shares.h"

/// A fleet in virtual time whose nodes share one class of root requests fairly
/// among client accounts, for tests of account_shares.h.
namespace almondlink::control {

/// One client account of the fleet.
struct FleetAccount {
  /// Requests per second over all nodes, and the rate that the policy grants.
  double per_s = 0;
  double weight = 1;
  /// Whether each request waits for quota, which the home lends.
  bool has_quota = true;
  /// Requests so far, and the sum of the shares that they were admitted by.
  double requests = 0;
  double admitted = 0;

  double Served() const {
    return this->requests > 0 ? this->admitted / this->requests : 1;
  }
};

struct FleetNode {
  AccountMeter meter;
  AccountHome home;
  /// Last sums that reached the node, and when.
  DemandHistogram demand;
  Millis received_at;
  double level = 0;
  double mean_ratio = 0;
  double class_share = 1;
  bool is_alive = true;
  /// A node that is cut off reaches no other one.
  bool is_cut_off = false;
};

/// Not thread safe.
class AccountFleet {
 public:
  AccountFleet(std::size_t nodes, double capacity, std::uint64_t seed);

  /// Runs for `seconds` of virtual time.
  void Run(double seconds);
  /// Kills a node: its memory is lost, and its callers go to others.
  void Kill(std::size_t node);
  /// Cuts a node off from all others.
  void CutOff(std::size_t node);
  /// Starts a killed node without memory.
  void Start(std::size_t node);
  /// Forgets the requests so far.
  void ResetCounts();
  /// The home of an account as `from` determines it.
  std::size_t HomeOf(std::size_t account, std::size_t from) const;

  std::vector<FleetAccount> accounts;
  std::vector<FleetNode> nodes;
  /// Requests per second that the class admits.
  double capacity = 0;
  /// Whether accounts are told apart.
  bool is_fair = true;
  /// Virtual time since ResetCounts().
  double counted_s = 0;
  /// Entries that nodes sent to homes.
  std::uint64_t reports = 0;

 private:
  double ExpectedRate(std::size_t account, const FleetNode& at) const;
  std::optional<double> DemandAtHome(std::size_t account,
                                     std::size_t from) const;
  bool IsSettled() const;
  bool CanReach(std::size_t from, std::size_t to) const;
  void Report(std::size_t from);
  void ExchangeSums();
  void UpdateLevels(double share);
  void Arrive(std::size_t account);
  double ShareAt(std::size_t account, std::size_t node);

  Millis now{1'000'000};
  double offered_per_s = 0;
  /// Since when the class has been short of capacity in the sums, and since
  /// when the nodes have been the same.
  Millis short_since;
  Millis nodes_since;
  std::uint64_t arrivals = 0;
  /// Sums that reach the nodes an interval later.
  DemandHistogram under_way;
  std::mt19937_64 random;
};

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TESTS_ACCOUNT_FLEET_H_
