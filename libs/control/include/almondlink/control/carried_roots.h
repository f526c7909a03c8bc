#ifndef ALMONDLINK_CONTROL_CARRIED_ROOTS_H_
#define ALMONDLINK_CONTROL_CARRIED_ROOTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "almondlink/base/clock.h"

/// Root requests that the bound on repeats can carry through a service whose
/// targets refuse calls without running them.
///
/// A call that a target refuses completes only by repeats, and the repeats of a
/// window are bounded over all nodes. With a fraction q refused, a chain of n
/// calls completes without repeats with probability (1 - q)^n and takes
/// n x q / (1 - q) repeats on average. Where that probability is small, a root
/// request beyond what the repeats can pay for ends with an error after work
/// has been done upstream; it is refused at entry instead. The repeats per
/// second are divided among such classes as the slots of a service are, by
/// priority, but without minimum shares: half the repeats of a chain are of no
/// use. Classes whose chains complete often enough without repeats are not
/// limited, and no repeats are set aside for them. In a trial, limiting every
/// class served fewer requests than limiting none.
///
/// The bound grows with the requests that are sent, also with those of chains
/// that fail. Refusing root requests at entry therefore lowers the bound within
/// two windows, and with it the number of requests that complete: the decision
/// trades completed requests for early refusals. The most urgent route of the
/// policy must not pay for it. Its classes are never limited, and no class is
/// limited where the bound would then no longer cover their repeats.
///
/// Designed for: targets that all refuse 55% of their calls, with chains of
/// four calls there, of which 4% complete without repeats.
namespace almondlink::control {

/// Refusals of a service over all nodes, per second.
struct ServiceRefusals {
  /// Number of the service, see ServiceCapacity::key.
  std::uint32_t service = 0;
  /// As summed from the targets that refused something lately, see
  /// RefusalRates.
  double sent_per_s = 0;
  double refused_per_s = 0;
  /// Calls that the targets accept, of all targets.
  double accepted_per_s = 0;
};

/// Fraction of the calls sent to the targets of the service that they refuse.
/// Targets that refuse nothing report no requests, so the calls accepted by all
/// targets are included. Thread safe: pure.
double RefusedFraction(const ServiceRefusals& refusals);

/// The bound on repeats at the service, over all nodes.
struct RepeatStock {
  /// Permitted in a whole window, and used in the window that ends now.
  double bound = 0;
  double used = 0;
  Millis window{10'000};
  /// Repeats that one more request permits.
  double ratio = 0;
};

/// Repeats per second to plan with when targets have refused calls for
/// `lasted`. In the first window, what is left of the bound is spread over the
/// rest of it; after that, the rate is that of the bound. If the rate is used
/// in full, no window exceeds the bound, as long as the bound does not fall.
/// Thread safe: pure.
double RepeatsPerSecond(const RepeatStock& stock, Millis lasted);

/// State of one node. Not thread safe.
struct CarriedRoots {
  /// Largest recent number of calls of a root request, by service and class.
  std::map<std::pair<std::uint32_t, std::uint32_t>, double> whole_chains;
  /// When the targets of a service began to refuse enough of their calls.
  std::map<std::uint32_t, Millis> refusing_since;
  /// Classes that are limited, by service and class.
  std::set<std::pair<std::uint32_t, std::uint32_t>> limited;
  /// Services where the bound would not cover the repeats of the most urgent
  /// route if classes were limited.
  std::set<std::uint32_t> unlimited_services;
  Millis updated;
};

/// Updates the services whose targets refuse at least a tenth of their calls;
/// a service remains one of them until the fraction falls below a twentieth.
/// `fractions` are the refused fractions by service; services that are missing
/// refuse nothing.
void UpdateRefusing(Millis now,
                    const std::map<std::uint32_t, double>& fractions,
                    CarriedRoots& state);

/// Calls at a service of one root request of a class, over all nodes.
struct CountedCalls {
  std::uint32_t service = 0;
  std::uint32_t route = 0;
  double per_root = 0;
};

/// Updates the calls of complete chains. They decay over 30 s, but not while
/// the targets refuse: chains then end early, and with a count that is too low
/// the class would no longer be limited although none of its chains completes.
void UpdateWholeChains(Millis now,
                       const std::vector<CountedCalls>& counted,
                       CarriedRoots& state);

/// Repeats that one root request of the class takes at the service, if the
/// class is limited there; nothing if it is admitted whatever the repeats can
/// pay for. A class is limited below a probability of 0.2 that a root request
/// completes without repeats, until the probability exceeds 0.25. `refused` is
/// the refused fraction.
std::optional<double> RepeatsPerRoot(std::uint32_t service,
                                     std::uint32_t route,
                                     double refused,
                                     CarriedRoots& state);

/// Root requests of one class, over all nodes.
struct CarriedClass {
  std::uint32_t route = 0;
  double offered_per_s = 0;
  /// Whether the route is the most urgent one of the policy.
  bool is_most_urgent = false;
};

/// A service whose targets refuse calls, and what repeats can pay for there.
struct RefusingService {
  std::string service;
  double refused = 0;
  double repeats_per_s = 0;
  /// Repeats for one root request, by class; only of limited classes.
  std::map<std::uint32_t, double> repeats_per_root;
};

/// What repeats can pay for at a service, and the classes that are limited to
/// it. Call it after UpdateRefusing and UpdateWholeChains. Precondition: the
/// service is one of `state.refusing_since`.
RefusingService LimitByRepeats(Millis now,
                               std::uint32_t service,
                               double refused,
                               const RepeatStock& stock,
                               const std::vector<CarriedClass>& classes,
                               CarriedRoots& state);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CARRIED_ROOTS_H_
