#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Admission of root requests. The shares are computed in
/// almondlink/control/chain_admission.h.
namespace almondlink::relay {

namespace {

/// Minimum change of a share that is logged.
constexpr double kLoggedShareStep = 0.1;

}  // namespace

bool EntryCalls::AdmitRoot(const CallPointer& call) {
  this->NameClass(
      call->info.root_route, *call->route,
      call->account == nullptr ? std::nullopt : call->account->priority);
  control::RootRequest request;
  request.route = call->info.root_route;
  request.priority = call->info.priority;
  request.route_priority = call->route->priority;
  if (call->account != nullptr) {
    request.account_priority = call->account->priority;
  }
  const double class_share =
      control::ShareOf(call->info.root_route, this->admission);
  const double account_share = this->AccountShare(*call, class_share);
  request.share = this->ReturnShare(*call, account_share);
  const bool is_admitted =
      control::TryAdmitRoot(request, this->Draw(), this->admission);
  this->CountAccountDecision(*call, class_share, account_share, is_admitted);
  if (is_admitted) {
    return true;
  }
  const Millis wait = this->RetryAfter(*call);
  if (WouldLog(kEventRefusedAtEntry)) {
    LogEvent(kEventRefusedAtEntry,
             {{"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"account", call->AccountName()},
              {"share", std::to_string(*request.share)},
              {"class_share", std::to_string(class_share)},
              {"share_age_ms",
               std::to_string((call->arrived - this->admission.updated).count)},
              {"version", std::to_string(call->table->version)},
              {"retry_after_ms", std::to_string(wait.count)}});
  }
  const auto bound = this->admission.routes.find(call->info.root_route);
  ++this->refusals_by_service[bound == this->admission.routes.end()
                                  ? std::string()
                                  : bound->second.limiting_service];
  this->CountRefusedClass(call->info.root_route);
  call->is_refused_at_entry = true;
  if (call->id != 0) {
    this->Finish(call);
  }
  this->RefuseNotRun(call, CallReason::kFull, wait);
  return false;
}

bool EntryCalls::HasExchange(const std::string& service) const {
  const auto found = this->admission.exchanges.find(service);
  return found != this->admission.exchanges.end() && !found->second.empty();
}

bool EntryCalls::IsBottleneck(const std::string& service) const {
  return std::any_of(this->admission.routes.begin(),
                     this->admission.routes.end(),
                     [&service](const auto& route) {
                       return route.second.share < 1 &&
                              route.second.limiting_service == service;
                     });
}

/// Whether the load of the node is known from itself and not from the sums.
bool EntryCalls::IsCountedDirectly(const Peer& peer) const {
  return peer.is_self ? !this->loads.IsSummed() : !peer.reported.is_load_summed;
}

void EntryCalls::UpdateAdmission(Millis now) {
  this->RecordPolicyContact(now);
  control::UpdateRootRates(now, this->admission);
  const DecisionRules& rules = this->settings.decisions;
  const bool counts_errors = rules.error_targets > 0;
  std::map<std::string, control::ServiceCapacity> capacities;
  std::map<std::uint32_t, control::RootTotals> roots;
  for (const PeerPointer& peer : this->peers.All()) {
    if (!peer->IsReachable()) {
      continue;
    }
    const StateFrame& state = peer->reported;
    const bool is_counted = this->IsCountedDirectly(*peer);
    if (is_counted && peer->is_self) {
      for (const control::RootRate& rate :
           control::LocalRootRates(this->admission)) {
        control::AddRootRate(rate, roots);
      }
    } else if (is_counted) {
      for (const control::RootRate& rate : state.roots) {
        control::AddRootRate(rate, roots);
      }
    }
    if (state.instance.empty()) {
      continue;
    }
    const bool is_open =
        state.state == InstanceState::kReady && !state.is_stopping;
    if (is_open) {
      this->last_available[state.service] = now;
    }
    if (!is_counted) {
      continue;
    }
    control::TargetCapacity target;
    target.slots = is_open ? state.slots : 0;
    target.waiting = state.waiting;
    target.work_ms = state.work_ms;
    target.error_rate = counts_errors ? state.error_rate : 0;
    target.demand = state.demand;
    target.limit_per_s = state.limit_per_s;
    target.speed = rules.fits_targets ? state.speed : 0;
    control::ServiceCapacity& capacity = capacities[state.service];
    capacity.service = state.service;
    capacity.key = ServiceKeyOf(state.service);
    capacity.targets.push_back(std::move(target));
  }
  this->AddTotals(now, capacities, roots);
  std::vector<control::ServiceCapacity> services;
  services.reserve(capacities.size());
  for (auto& [service, capacity] : capacities) {
    services.push_back(std::move(capacity));
  }
  const std::vector<control::RefusingService> refusing =
      this->RefusingServices(now, services, roots);
  control::UpdateShares(rules.admission, services, refusing, roots,
                        this->admission);
  this->UpdateReturns(now, roots);
  this->UpdateAccountLevels(now);
  this->LogShareChanges();
  this->LogExchanges();
  this->LogRefusing(refusing);
}

/// Adds the nodes whose loads are summed.
void EntryCalls::AddTotals(
    Millis now,
    std::map<std::string, control::ServiceCapacity>& capacities,
    std::map<std::uint32_t, control::RootTotals>& roots) {
  const control::LoadSums* totals = this->loads.Totals(now);
  if (totals == nullptr) {
    return;
  }
  for (const auto& [service, last] : this->last_available) {
    const auto sums = totals->services.find(ServiceKeyOf(service));
    if (sums == totals->services.end()) {
      continue;
    }
    control::ServiceCapacity& capacity = capacities[service];
    capacity.service = service;
    capacity.key = sums->first;
    capacity.targets.push_back(control::CombinedTarget(sums->second));
  }
  for (const auto& [route, sums] : totals->roots) {
    control::AddRootTotals(sums, roots[route]);
  }
}

/// Logs each share that has moved by kLoggedShareStep since it was last logged.
void EntryCalls::LogShareChanges() {
  for (const auto& [route, state] : this->admission.routes) {
    const auto [logged, is_new] = this->logged_shares.emplace(route, 1.0);
    if (std::abs(logged->second - state.share) >= kLoggedShareStep) {
      logged->second = state.share;
      LogEvent(kEventShareChanged,
               {{"route", this->RouteName(route)},
                {"share", std::to_string(state.share)},
                {"bound_by", state.limiting_service},
                {"offered_per_s", std::to_string(state.offered.per_s)}});
    }
  }
}

}  // namespace almondlink::relay
