#include "almondlink/relay/entry_calls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/control/root_priority.h"
#include "entry_call.h"

namespace almondlink::relay {

namespace {

constexpr std::uint32_t kNotFound = 404;
/// Retry-After while there is no policy or the node stops.
constexpr Millis kUnreadyRetryAfter{300};

}  // namespace

EntryCalls::EntryCalls(const RelaySettings& settings_in,
                       PeerTable& peers_in,
                       ServedCalls& served_in,
                       const LoadExchange& loads_in,
                       const DecisionExchange& decisions_in)
    : settings(settings_in),
      peers(peers_in),
      served(served_in),
      loads(loads_in),
      decisions(decisions_in),
      quotas(settings_in,
             peers_in,
             [this](policy::AccountKey account) {
               this->ServeQuotaWaiters(account);
             }),
      accounts(peers_in, this->quotas),
      started_at(BootTimeNow()),
      random(std::random_device()()),
      quarantine(settings_in,
                 peers_in,
                 [this](const control::RequestDigest& digest,
                        const std::string& node) {
                   this->OnTrialPermitted(digest, node);
                 }) {}

EntryCalls::~EntryCalls() = default;

void EntryCalls::SetTable(policy::RouteTablePointer table_in) {
  this->table = std::move(table_in);
  this->table_set_at = BootTimeNow();
  this->RecordPolicyContact(this->table_set_at);
  this->part_turns.clear();
  this->quotas.SetTable(this->table);
  this->accounts.SetTable(this->table);
  this->class_names.clear();
  std::optional<std::uint32_t>& most_urgent = this->admission.most_urgent_route;
  most_urgent.reset();
  for (const policy::Route& route : this->table->routes) {
    most_urgent =
        std::min(most_urgent.value_or(route.priority), route.priority);
    this->SetClassPriority(route, std::nullopt);
    for (const std::uint32_t priority : this->table->accounts.Priorities()) {
      this->SetClassPriority(route, priority);
    }
  }
}

/// Updates priority and name of the request class of a route and an account
/// priority, if the class is in use.
void EntryCalls::SetClassPriority(
    const policy::Route& route,
    std::optional<std::uint32_t> account_priority) {
  const std::uint32_t key =
      policy::ClassKeyOf(route.key, account_priority).Value();
  const auto known = this->admission.routes.find(key);
  if (known == this->admission.routes.end()) {
    return;
  }
  known->second.priority =
      control::RootPriority(route.priority, account_priority);
  known->second.route_priority = route.priority;
  this->NameClass(key, route, account_priority);
}

void EntryCalls::NameClass(std::uint32_t key,
                           const policy::Route& route,
                           std::optional<std::uint32_t> account_priority) {
  std::string& name = this->class_names[key];
  if (name.empty()) {
    name = route.name;
    if (account_priority.has_value()) {
      name += "/" + std::to_string(*account_priority);
    }
  }
}

std::string EntryCalls::RouteName(std::uint32_t key) const {
  const auto named = this->class_names.find(key);
  return named == this->class_names.end() ? std::to_string(key) : named->second;
}

std::string EntryCalls::ParentOf(const Call& call) const {
  return std::string(this->settings.parent_of(call.head.id));
}

double EntryCalls::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

/// Part of a split route that this request goes to, independent of the state of
/// the targets.
const policy::RoutePart* EntryCalls::ChoosePart(const policy::Route& route) {
  if (route.parts.size() < 2) {
    return route.parts.empty() ? nullptr : &route.parts.front();
  }
  std::vector<double> weights;
  std::vector<double> draws;
  for (const policy::RoutePart& part : route.parts) {
    weights.push_back(part.weight);
    draws.push_back(this->Draw());
  }
  return &route.parts[control::NextPart(weights, draws,
                                        this->part_turns[route.key.Value()])];
}

/// Sets the call's route and service. Without a matching route answers 404 and
/// returns false.
bool EntryCalls::ResolveRoute(const CallPointer& call) {
  call->route = this->table->Find(call->head.host, call->head.target);
  const policy::RoutePart* part =
      call->route == nullptr ? nullptr : this->ChoosePart(*call->route);
  if (part == nullptr) {
    this->CountOutcome(*call, RequestOutcome::kNoRoute, CallReason::kNone);
    if (WouldLog(kEventNoRoute)) {
      LogEvent(kEventNoRoute,
               {{"request", call->head.id},
                {"parent", this->ParentOf(*call)},
                {"host", call->head.host},
                {"path", call->head.target},
                {"version", std::to_string(this->table->version)}});
    }
    call->exchange->SendAnswer(kNotFound, "Not Found", "", "");
    return false;
  }
  call->service = part->service.Value();
  return true;
}

/// Sets the call's deadline and the call chain that it belongs to.
void EntryCalls::SetDeadlineAndChain(const CallPointer& call) {
  const Millis waits =
      call->head.time_left_ms.has_value()
          ? std::min(Millis{*call->head.time_left_ms}, call->route->timeout)
          : call->route->timeout;
  call->deadline = call->arrived + waits;
  call->expires_at = call->deadline;
  const std::string_view parent = this->settings.parent_of(call->head.id);
  call->is_root = parent.empty();
  call->info.root_route = call->route->key.Value();
  call->info.root_hash = StableHash(call->head.id);
  call->info.priority = static_cast<std::uint8_t>(
      std::min<std::uint32_t>(call->route->priority, 255));
  if (call->is_root) {
    return;
  }
  const std::optional<RunInfo> run = this->served.FindRun(std::string(parent));
  call->has_local_parent = run.has_value();
  if (run.has_value()) {
    this->served.CountCallOfRun();
    call->info = *run;
    call->deadline = std::min(call->deadline, run->deadline);
  }
  call->info.depth =
      static_cast<std::uint8_t>(std::min<int>(call->info.depth + 1, 255));
}

/// Registers the call: from now on it ends when it times out or its caller
/// disconnects.
void EntryCalls::Register(const CallPointer& call) {
  if (call->id != 0) {
    return;
  }
  call->id = ++this->last_id;
  this->calls.emplace(call->id, call);
  this->timeouts.emplace(call->expires_at.count, call->id);
  const std::weak_ptr<Call> weak = call;
  call->exchange->on_disconnect = [this, weak]() {
    if (const CallPointer open = weak.lock()) {
      this->Abandon(open);
    }
  };
}

void EntryCalls::OnRequest(RequestHead head,
                           std::string body,
                           const CallerExchangePointer& exchange) {
  const CallPointer call = std::make_shared<Call>();
  call->head = std::move(head);
  call->body = std::move(body);
  call->exchange = exchange;
  call->arrived = BootTimeNow();
  call->started = PreciseNow();
  call->table = this->table;
  if (this->table == nullptr) {
    this->RefuseNotRun(call, CallReason::kNone, kUnreadyRetryAfter);
    return;
  }
  if (this->is_stopping) {
    this->RefuseNotRun(call, CallReason::kDraining, kUnreadyRetryAfter);
    return;
  }
  if (!this->ResolveRoute(call)) {
    return;
  }
  this->SetDeadlineAndChain(call);
  if (this->Authenticate(call) && this->AcquireQuota(call)) {
    this->Admit(call);
  }
}

/// Sends the request if admission allows it; otherwise refuses it.
void EntryCalls::Admit(const CallPointer& call) {
  if (call->is_root && !this->AdmitRoot(call)) {
    return;
  }
  this->Register(call);
  this->Attempt(call);
}

}  // namespace almondlink::relay
