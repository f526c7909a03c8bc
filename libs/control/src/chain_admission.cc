#include "almondlink/control/chain_admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "almondlink/control/error_rate.h"

namespace almondlink::control {

namespace {

/// Root requests per second below which the number of calls for each is not
/// learned: the ratio would be chance.
constexpr double kLeastToLearn = 1.0;
/// A share this near to 1 is 1.
constexpr double kWhole = 0.995;
/// Calls a second that sums are divided by at least.
constexpr double kLeastCalls = 0.01;
/// Time constant of the part of its chain that a root comes to: longer than a
/// chain takes, so that the calls still to come after a rise of load do not
/// count as missing; with more, room is kept for chains that die early.
constexpr double kSurvivalMemoryMs = 2000;
/// Slots below which a service has none.
constexpr double kLeastRoom = 1e-3;
constexpr double kMillisPerSecond = 1000;
/// Most that a target counts for by being faster than the mean.
constexpr double kMostSpeed = 2.0;
/// Rounds in which the least share and the share of all find each other; each
/// round halves what is between them.
constexpr int kLeastRounds = 4;
/// Rounds in which the level of sharing is closed in on, each by half: a
/// millionth.
constexpr int kLevelRounds = 20;

/// Slots that one route wants at one service if all of it were let in.
struct Wanted {
  std::uint32_t route = 0;
  std::uint32_t priority = 0;
  double slots = 0;
  /// Slots for one root request a second.
  double cost = 0;
  /// Slots for the least share, and as many as a less urgent route gets so.
  double least = 0;
  double no_fewer = 0;
  double granted = 0;
};

/// Calls of each route at a service and the mean time of one.
struct ServiceDemand {
  std::map<std::uint32_t, RouteDemand> routes;
  double mean_work_ms = 0;
};

/// Sums over targets. The time of a call is averaged over those that know it.
ServiceDemand SumOf(const ServiceRoom& service) {
  ServiceDemand sum;
  std::map<std::uint32_t, double> timed_calls;
  double calls = 0;
  double work = 0;
  for (const TargetRoom& target : service.targets) {
    for (const RouteDemand& demand : target.demand) {
      RouteDemand& total = sum.routes[demand.route];
      total.route = demand.route;
      total.calls_per_s += demand.calls_per_s;
      if (demand.work_ms <= 0) {
        continue;
      }
      // Summed for now, divided below.
      total.work_ms += demand.calls_per_s * demand.work_ms;
      timed_calls[demand.route] += demand.calls_per_s;
      calls += demand.calls_per_s;
      work += demand.calls_per_s * demand.work_ms;
    }
  }
  for (auto& [route, total] : sum.routes) {
    total.work_ms /= std::max(kLeastCalls, timed_calls[route]);
  }
  sum.mean_work_ms = calls > 0 ? work / calls : 0;
  return sum;
}

/// Slots in terms of the mean call: a target that turned slow counts for less.
///
/// What waits is taken off as the slots that work it off in `drain_ms`, but one
/// for each call at most: that is all a call can use. Where calls take longer
/// than that time, as at a service that holds its slots while its own calls
/// wait further down, the same backlog would otherwise cost twice its slots and
/// more, until no room is left for any route, also for those that do not lead
/// to the service that is short. In the third and
/// fourth second of a surge over a fleet that has just started 0.77 of the most
/// valued requests end whole with it, 0.42 without (test/replay,
/// relay-large-1-cold, means of six seeds).
double RoomOf(const ChainRules& rules,
              const ServiceRoom& service,
              double mean_work_ms) {
  const double slots_each = std::min(1.0, mean_work_ms / rules.drain_ms);
  double erring = 0;
  for (const TargetRoom& target : service.targets) {
    erring += target.erring;
  }
  const double others =
      std::max(1.0, static_cast<double>(service.targets.size()) - 1);
  double room = 0;
  for (const TargetRoom& target : service.targets) {
    const bool is_known = target.work_ms > 0 && mean_work_ms > 0;
    const double speed =
        is_known ? std::min(kMostSpeed, mean_work_ms / target.work_ms) : 1;
    const double errors_over =
        ExcessErrorRate(target.erring, (erring - target.erring) / others);
    const double whole = target.slots * (1 - errors_over);
    room += whole * rules.planned_share * speed - target.waiting * slots_each;
  }
  return std::max(0.0, room);
}

/// Calls at `service` for each root of the route.
///
/// Counted calls are those of whole chains. Where chains end early, because
/// calls are refused or come too late, fewer are made: the rates show it, but
/// only after a while, since calls come up to seconds after their root. And
/// where the rates show more calls than a chain has, they are those of roots
/// let in before, which need their room all the same. So the count, reduced
/// slowly, or the rates if they are above. In the third and fourth second of a
/// surge over a fleet that has just started 0.72 of what callers are owed is
/// served with it, 0.62 with the rates alone (test/replay, relay-large-1-cold,
/// means of six seeds).
double CallsPerRoot(const ServiceRoom& service,
                    const RouteDemand& demand,
                    const RootSum& roots,
                    ChainAdmission& admission) {
  const std::pair<std::string, std::uint32_t> key{service.service,
                                                  demand.route};
  CallsSeen& seen = admission.calls_seen[key];
  if (roots.let_in_per_s >= kLeastToLearn) {
    seen.per_root = demand.calls_per_s / roots.let_in_per_s;
  }
  const std::optional<double> counted = CountedPerRoot(roots, service.key);
  if (service.key == 0 || !counted.has_value() || *counted <= 0) {
    return seen.per_root;
  }
  const double part = std::min(1.0, seen.per_root / *counted);
  const double way = 1 - std::exp(-admission.span_ms / kSurvivalMemoryMs);
  seen.surviving += way * (part - seen.surviving);
  return std::max(seen.per_root, seen.surviving * *counted);
}

/// What a request weighs when room is shared by cost. Calls whose root is not
/// known weigh nothing: their room is not divided.
double WeightOf(double by_cost, const Wanted& entry) {
  return entry.cost > 0 ? std::pow(entry.cost, by_cost) : 0;
}

/// Slots that a route gets besides at that level of sharing: of what it misses
/// the part that is the level over its weight.
double MoreAt(double level, double by_cost, const Wanted& entry) {
  const double weight = WeightOf(by_cost, entry);
  const double part = weight > level ? level / weight : 1;
  return part * (entry.slots - entry.granted);
}

/// Gives a part of the room to all alike, each up to what it wants: a kind that
/// needs little is kept nearly whole by it, and callers that repeat at once,
/// which multiply what their route wants, gain nothing.
double GrantAssured(double assured, std::vector<Wanted>& all) {
  std::sort(all.begin(), all.end(),
            [](const Wanted& a, const Wanted& b) { return a.slots < b.slots; });
  double left = assured;
  std::size_t others = all.size();
  for (Wanted& entry : all) {
    entry.granted = std::min(entry.slots, left / static_cast<double>(others));
    left -= entry.granted;
    --others;
  }
  return assured - left;
}

/// Raises grants that are below `floor`, all by the same part if the room is
/// short. Returns what that takes.
double RaiseTo(double Wanted::*floor, double room, std::vector<Wanted>& all) {
  double missing = 0;
  for (const Wanted& entry : all) {
    missing += std::max(0.0, entry.*floor - entry.granted);
  }
  if (missing <= 0) {
    return 0;
  }
  const double part = std::min(1.0, room / missing);
  for (Wanted& entry : all) {
    entry.granted += part * std::max(0.0, entry.*floor - entry.granted);
  }
  return part * missing;
}

/// Shares what is left among routes of one priority. A request that takes four
/// times the slots of another keeps three others out, so its route's share
/// falls with its cost: the same room serves more callers. Returns what it
/// gave.
double GrantByCost(double by_cost,
                   double room,
                   std::vector<Wanted>::iterator first,
                   std::vector<Wanted>::iterator end) {
  double missing = 0;
  double high = 0;
  for (auto entry = first; entry != end; ++entry) {
    missing += entry->slots - entry->granted;
    high = std::max(high, WeightOf(by_cost, *entry));
  }
  const auto given_at = [&](double level) {
    double sum = 0;
    for (auto entry = first; entry != end; ++entry) {
      sum += MoreAt(level, by_cost, *entry);
    }
    return sum;
  };
  double low = 0;
  if (missing > room) {
    for (int round = 0; round < kLevelRounds; ++round) {
      const double middle = (low + high) / 2;
      (given_at(middle) > room ? high : low) = middle;
    }
  }
  const double level = missing > room ? low : high;
  const double given = given_at(level);
  for (auto entry = first; entry != end; ++entry) {
    entry->granted += MoreAt(level, by_cost, *entry);
  }
  return given;
}

/// Grants the assured part first, then what keeps routes from being shut out,
/// then by priority.
void Grant(const ChainRules& rules, double room, std::vector<Wanted>& all) {
  room -= GrantAssured(rules.assured_room * room, all);
  room -= RaiseTo(&Wanted::least, room, all);
  room -= RaiseTo(&Wanted::no_fewer, room, all);
  std::sort(all.begin(), all.end(), [](const Wanted& a, const Wanted& b) {
    return a.priority < b.priority;
  });
  for (auto first = all.begin(); first != all.end();) {
    const auto end = std::find_if(first, all.end(), [&](const Wanted& entry) {
      return entry.priority != first->priority;
    });
    room = std::max(0.0, room - GrantByCost(rules.by_cost, room, first, end));
    first = end;
  }
}

/// The share that fits, and the service that makes it so small.
struct Fit {
  double share = 1;
  std::string bound_by;
};
using Fits = std::map<std::uint32_t, Fit>;

/// One service with its room and what is wanted there.
struct Contest {
  const std::string* service = nullptr;
  double room = 0;
  std::vector<Wanted> all;
  bool is_settled = false;
};

Contest ContestOf(const ChainRules& rules,
                  const ServiceRoom& service,
                  const std::map<std::uint32_t, RootSum>& roots,
                  ChainAdmission& admission) {
  const ServiceDemand demand = SumOf(service);
  Contest contest;
  contest.service = &service.service;
  contest.room = RoomOf(rules, service, demand.mean_work_ms);
  for (const auto& [route, calls] : demand.routes) {
    const auto root = roots.find(route);
    const auto known = admission.routes.find(route);
    Wanted wanted;
    wanted.route = route;
    if (root == roots.end() || known == admission.routes.end()) {
      // Calls whose root is not known here take their room first.
      wanted.slots = calls.calls_per_s * calls.work_ms / kMillisPerSecond;
    } else {
      wanted.priority = known->second.priority;
      wanted.cost = calls.work_ms / kMillisPerSecond *
                    CallsPerRoot(service, calls, root->second, admission);
      wanted.slots = root->second.offered_per_s * wanted.cost;
    }
    contest.all.push_back(wanted);
  }
  return contest;
}

/// Wanted slots over room, with the shares that other services already bind.
double PressureOf(const Contest& contest, Fits& fits) {
  double wanted = 0;
  for (const Wanted& entry : contest.all) {
    wanted += entry.slots * fits[entry.route].share;
  }
  return wanted <= 0 ? 0 : wanted / std::max(kLeastRoom, contest.room);
}

/// Part of the root requests of all routes that `fits` lets in, with the grants
/// of `all` where they are less.
double ShareOfAll(const std::map<std::uint32_t, RootSum>& roots,
                  const std::vector<Wanted>& all,
                  const Fits& fits) {
  double offered = 0;
  double let_in = 0;
  for (const auto& [route, rate] : roots) {
    const auto fit = fits.find(route);
    double share = fit == fits.end() ? 1.0 : fit->second.share;
    for (const Wanted& entry : all) {
      if (entry.route == route && entry.granted < entry.slots) {
        share *= entry.granted / entry.slots;
      }
    }
    offered += rate.offered_per_s;
    let_in += rate.offered_per_s * share;
  }
  return offered > 0 ? let_in / offered : 1.0;
}

/// What each route is to get at least: `least` of its requests, and no fewer
/// slots than a less urgent route gets so, unless that is all it wants.
/// Without the second part the guard of a kind with long chains would be paid
/// by whichever kind comes next in urgency, however little that one needs.
void SetLeast(bool has_no_fewer,
              double least,
              const std::map<std::uint32_t, RootSum>& roots,
              const Fits& fits,
              std::vector<Wanted>& all) {
  std::sort(all.begin(), all.end(), [](const Wanted& a, const Wanted& b) {
    return a.priority > b.priority;
  });
  double most = 0;
  for (Wanted& entry : all) {
    const auto fit = fits.find(entry.route);
    const double share = fit == fits.end() ? 1.0 : fit->second.share;
    // A route may be bound below it elsewhere: room here would not help.
    const double part = share > 0 ? std::min(1.0, least / share) : 1.0;
    if (roots.count(entry.route) > 0) {
      entry.least = part * entry.slots;
      most = std::max(most, entry.least);
      entry.no_fewer = has_no_fewer ? std::min(entry.slots, most) : 0;
    }
  }
}

/// Grants the room so that no route falls too far behind all. The least share
/// depends on the share of all, which depends on the grants, so it is closed in
/// on from below.
void GrantFairly(const ChainRules& rules,
                 const std::map<std::uint32_t, RootSum>& roots,
                 const Fits& fits,
                 Contest& contest) {
  const std::vector<Wanted> wanted = contest.all;
  Grant(rules, contest.room, contest.all);
  for (int round = 0; round < kLeastRounds; ++round) {
    const double least =
        rules.least_part * ShareOfAll(roots, contest.all, fits);
    contest.all = wanted;
    SetLeast(rules.has_no_fewer, least, roots, fits, contest.all);
    Grant(rules, contest.room, contest.all);
  }
}

/// Settles the services one by one, the one with the most pressure first: what
/// it does not let in is not wanted of the others any more.
void Settle(const ChainRules& rules,
            const std::map<std::uint32_t, RootSum>& roots,
            std::vector<Contest>& contests,
            Fits& fits) {
  for (std::size_t round = 0; round < contests.size(); ++round) {
    Contest* tightest = nullptr;
    double most = 1;
    for (Contest& contest : contests) {
      const double pressure = PressureOf(contest, fits);
      if (!contest.is_settled && pressure > most) {
        most = pressure;
        tightest = &contest;
      }
    }
    if (tightest == nullptr) {
      return;
    }
    tightest->is_settled = true;
    for (Wanted& entry : tightest->all) {
      entry.slots *= fits[entry.route].share;
    }
    GrantFairly(rules, roots, fits, *tightest);
    for (const Wanted& entry : tightest->all) {
      if (entry.granted < entry.slots) {
        Fit& fit = fits[entry.route];
        fit.share *= entry.granted / entry.slots;
        fit.bound_by = *tightest->service;
      }
    }
  }
}

}  // namespace

void UpdateShares(const ChainRules& rules,
                  const std::vector<ServiceRoom>& services,
                  const std::map<std::uint32_t, RootSum>& roots,
                  ChainAdmission& admission) {
  std::vector<Contest> contests;
  contests.reserve(services.size());
  for (const ServiceRoom& service : services) {
    contests.push_back(ContestOf(rules, service, roots, admission));
  }
  Fits fits;
  Settle(rules, roots, contests, fits);
  for (auto& [route, state] : admission.routes) {
    const Fit& fit = fits[route];
    // What is offered fits, whatever was let in before: nobody is refused while
    // the share finds its way back.
    const double step = fit.bound_by.empty() ? 1 : rules.step;
    state.share += step * (fit.share - state.share);
    state.bound_by = fit.bound_by;
    if (state.share >= kWhole) {
      state.share = 1;
    }
  }
}

}  // namespace almondlink::control
