#include <map>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/relay/relay_node.h"

/// The measured capacity of the target beside this node: what it is compared
/// with, and its metrics.
namespace almondlink::relay {

namespace {

void AddDemand(const std::vector<control::RouteDemand>& demand,
               std::map<std::uint32_t, control::DemandSums>& sums) {
  for (const control::RouteDemand& route : demand) {
    if (route.work_ms > 0) {
      control::DemandSums& sum = sums[route.route];
      sum.timed_calls_per_s += route.calls_per_s;
      sum.timed_work += route.calls_per_s * route.work_ms;
    }
  }
}

}  // namespace

TargetRules RelayNode::MakeTargetRules() const {
  const DecisionRules& decisions = this->settings.decisions;
  TargetRules rules;
  rules.zone =
      decisions.sums_zones
          ? static_cast<std::uint32_t>(StableHash(this->settings.zone.Value()))
          : 0;
  rules.usable_share = decisions.usable_slots;
  rules.fits_targets = decisions.fits_targets;
  rules.uses_warmup = decisions.uses_warmup;
  rules.learns_slots = decisions.learns_slots;
  return rules;
}

/// Mean times of a run by class over all targets of this target's service,
/// including this one: with the others alone, the speeds of two targets would
/// not have the ratio of their run times.
std::map<std::uint32_t, double> RelayNode::ServiceMeans(Millis now) {
  const std::string& service = this->served.Ledger().current.service;
  if (service.empty() || !this->settings.decisions.fits_targets) {
    return {};
  }
  std::map<std::uint32_t, control::DemandSums> sums;
  for (const PeerPointer& peer : this->peers.PeersOfService(service)) {
    if (peer->is_self && !this->loads.IsSummed()) {
      AddDemand(control::DemandOf(this->served.Meter()), sums);
    } else if (!peer->is_self && peer->IsReachable() &&
               !peer->reported.is_load_summed) {
      AddDemand(peer->reported.demand, sums);
    }
  }
  const control::LoadSums* totals = this->loads.Totals(now);
  if (totals != nullptr) {
    const auto known = totals->services.find(ServiceKeyOf(service));
    if (known != totals->services.end()) {
      for (const auto& [route, demand] : known->second.demand) {
        sums[route].timed_calls_per_s += demand.timed_calls_per_s;
        sums[route].timed_work += demand.timed_work;
      }
    }
  }
  std::map<std::uint32_t, double> means;
  for (const auto& [route, sum] : sums) {
    if (sum.timed_calls_per_s > 0) {
      means[route] = sum.timed_work / sum.timed_calls_per_s;
    }
  }
  return means;
}

void RelayNode::WriteCapacityMetrics(MetricText& out) const {
  const Millis now = BootTimeNow();
  out.Begin("target_speed", "gauge",
            "Speed of the target relative to the mean of its service; absent "
            "while unknown.");
  const double speed = this->served.Speed(now);
  if (speed > 0) {
    out.Add("", speed);
  }
  out.AddSingle("target_usable_share", "gauge",
                "Part of the target's announced slots that is used.",
                this->served.Ledger().usable_share);
  out.AddSingle("target_warmup_left_ms", "gauge",
                "Time left of the warm-up that the target announced.",
                static_cast<double>(this->served.WarmupLeft(now).count));
  const FitCounts& counts = this->entry.Fits();
  out.AddSingle("placed_by_chance_total", "counter",
                "Choices of a target among all targets of a zone, for calls "
                "that may not end in time.",
                static_cast<double>(counts.at_risk));
  out.AddSingle("left_zone_by_surplus_total", "counter",
                "Choices of a target in another zone because of the surplus of "
                "the own zone.",
                static_cast<double>(counts.left_zone));
}

}  // namespace almondlink::relay
