#ifndef ALMONDLINK_CONTROL_ROUTE_EXCHANGE_H_
#define ALMONDLINK_CONTROL_ROUTE_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

/// Exchange of slots among the classes of root requests at one service that is
/// short of capacity.
///
/// Division by priority serves a more urgent route before a less urgent one
/// however much a request of it costs. Where refusing one expensive request
/// completes several cheap ones, the expensive class gives slots to the cheap
/// one until both are admitted with the same share. Classes of the most urgent
/// route give nothing, and slots move only among classes of one account
/// priority.
///
/// Designed for: one service of 676 slots, 1,421 views per second of 0.39
/// slot-seconds each, and 466 to 1,025 orders of 0.20. Division by priority
/// serves 0.80 of the views and 0.18 of the orders.
namespace almondlink::control {

struct ExchangeRules {
  /// Least factor by which a request of the giving class costs more slots than
  /// one of the receiving class.
  double ratio = 1.5;
  /// Priority of the most urgent route of the policy.
  std::uint32_t most_urgent_route = 0;
};

/// Demand and allocation of one class at the service, in slots.
struct ExchangeClass {
  std::uint32_t route = 0;
  std::uint32_t route_priority = 0;
  std::optional<std::uint32_t> account_priority;
  /// Slots for one root request per second; 0 if unknown, then the class takes
  /// no part.
  double slots_per_root = 0;
  /// Slots for all root requests, and for those that other services admit.
  double offered_slots = 0;
  double wanted_slots = 0;
  double granted_slots = 0;
};

/// A class that may give slots, and the class that may receive them.
using ExchangePair = std::pair<std::uint32_t, std::uint32_t>;

/// The pairs of classes among which slots may move. A pair in `begun` remains
/// until its ratio of costs falls below 0.8 of the required one, so that noise
/// in the measured costs does not toggle the exchange.
/// Thread safe: pure.
std::set<ExchangePair> AllowedExchanges(
    const ExchangeRules& rules,
    const std::vector<ExchangeClass>& classes,
    const std::set<ExchangePair>& begun);

/// Gives classes that are admitted with a larger share than a more urgent class
/// of the same account priority no more than that class, by moving the
/// difference to it. The evenly divided part of the capacity (see
/// ChainRules::assured_fraction) can cause such shares. The sum of the granted
/// slots does not grow.
/// Thread safe: pure apart from `classes`.
void RestorePriorityOrder(std::vector<ExchangeClass>& classes);

/// Moves slots along `pairs`, to the class with the smallest share first, until
/// the shares of receivers and givers are equal or a further slot would leave a
/// less urgent class with a larger share than a more urgent one. Returns the
/// slots that were moved. Precondition: shares are in the order of priorities.
/// Thread safe: pure apart from `classes`.
std::map<ExchangePair, double> ExchangeSlots(
    const std::set<ExchangePair>& pairs,
    std::vector<ExchangeClass>& classes);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ROUTE_EXCHANGE_H_
