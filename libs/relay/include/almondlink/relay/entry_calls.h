#ifndef ALMONDLINK_RELAY_ENTRY_CALLS_H_
#define ALMONDLINK_RELAY_ENTRY_CALLS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondlink/control/carried_roots.h"
#include "almondlink/control/chain_admission.h"
#include "almondlink/control/placement.h"
#include "almondlink/control/repeat_allowance.h"
#include "almondlink/control/returning_callers.h"
#include "almondlink/control/run_times.h"
#include "almondlink/control/weighted_round_robin.h"
#include "almondlink/control/zone_surplus.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/account_counts.h"
#include "almondlink/relay/account_exchange.h"
#include "almondlink/relay/caller_listener.h"
#include "almondlink/relay/decision_exchange.h"
#include "almondlink/relay/load_exchange.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/quarantine_exchange.h"
#include "almondlink/relay/quota_exchange.h"
#include "almondlink/relay/relay_settings.h"
#include "almondlink/relay/request_counts.h"
#include "almondlink/relay/route_decisions.h"

/// Handles the requests of callers on this host: routing, authentication,
/// quota, admission, choice of target, repeats, and the answer.
///
/// Only the node that received a request dispatches it, so a request that may
/// run only once needs no agreement between nodes. Such a request is not sent
/// again after a send with an unknown outcome. *Not run* is reported only if no
/// target received a byte of the request or every target that did stated so
/// itself.
namespace almondlink::relay {

/// Counts of trial runs of quarantined requests, for metrics. A request is
/// quarantined if targets have crashed while running it.
struct TrialCounts {
  std::uint64_t begun = 0;
  /// Requests refused because of the quarantine.
  std::uint64_t refused = 0;
  /// Finished trials by outcome.
  std::map<std::string, std::uint64_t> by_outcome;
};

/// Choices of a target, for metrics.
struct FitCounts {
  /// For calls that may not end in time at some target of the zone.
  std::uint64_t at_risk = 0;
  /// In another zone because of the surplus of the own one.
  std::uint64_t left_zone = 0;
};

/// Dispatches the requests of one event loop. Not thread safe: belongs to that
/// loop.
class EntryCalls {
 public:
  /// All arguments must outlive the object.
  EntryCalls(const RelaySettings& settings,
             PeerTable& peers,
             ServedCalls& served,
             const LoadExchange& loads,
             const DecisionExchange& decisions);
  ~EntryCalls();
  EntryCalls(const EntryCalls&) = delete;
  EntryCalls& operator=(const EntryCalls&) = delete;

  /// Installs a policy. Calls in progress keep the policy that they began with.
  void SetTable(policy::RouteTablePointer table);
  /// The policy in force; null before the first SetTable.
  const policy::RouteTablePointer& Table() const { return this->table; }

  /// Handles a complete request of a caller.
  void OnRequest(RequestHead head,
                 std::string body,
                 const CallerExchangePointer& exchange);

  /// Exchange of quota loans between nodes.
  QuotaExchange& Quotas() { return this->quotas; }
  /// Exchange of the demand of client accounts between nodes.
  AccountExchange& Accounts() { return this->accounts; }
  /// Exchange of quarantine records between nodes.
  QuarantineExchange& Quarantine() { return this->quarantine; }
  const TrialCounts& Trials() const { return this->trials; }
  const FitCounts& Fits() const { return this->fit_counts; }

  /// Handles the answer to a call, from the node beside its target.
  void OnAnswer(const PeerPointer& peer, const AnswerFrame& frame);
  /// Handles a further part of a streamed answer.
  void OnPart(const PeerPointer& peer, const DataFrame& frame);
  /// Fails the attempts at a node whose link was lost.
  void OnLinkLost(const PeerPointer& peer);

  /// Moves repeatable calls away from a node that does not respond although its
  /// link is open.
  void OnSuspect(const PeerPointer& peer);

  /// Restores the repeat counts that an earlier incarnation of this node
  /// reported to a peer. Ignored if this process has run for a whole repeat
  /// window.
  void RestoreRepeatCounts(const std::vector<ServiceRepeats>& reported);

  /// Handles timeouts and retries waiting calls. Call every few tens of
  /// milliseconds.
  void Sweep(Millis now);
  /// Adds what this node contributes to the sums of all nodes.
  void AddDecisions(Millis now, control::DecisionSums& sums);
  /// Recomputes the admission shares. Call every 100 ms.
  void UpdateAdmission(Millis now);

  /// Refuses all requests that come from now on. What would still run at the
  /// end of a stop could not be answered.
  void StopTakingRequests() { this->is_stopping = true; }
  /// Answers all open calls as timed out, for process shutdown.
  void EndAll();

  std::size_t OpenCalls() const { return this->calls.size(); }
  const RequestCounts& Counts() const { return this->counts; }
  const control::ChainAdmission& Admission() const { return this->admission; }
  /// Name of a request class of the policy in force; its number if the policy
  /// no longer contains it.
  std::string RouteName(std::uint32_t key) const;
  /// Repeat counts of this node, of the services with repeats in the current
  /// window.
  std::vector<ServiceRepeats> OwnRepeatCounts(Millis now);
  /// Permitted and used repeats of this node in the current window, by service.
  std::map<std::string, control::RepeatCapacity> RepeatCapacities(Millis now);
  /// Repeats denied by the repeat allowance, by service.
  const std::map<std::string, std::uint64_t>& RepeatsDenied() const {
    return this->repeats_denied;
  }
  /// Root requests refused at entry, by the service that lacked capacity.
  const std::map<std::string, std::uint64_t>& RefusalsByService() const {
    return this->refusals_by_service;
  }
  /// Root requests of client accounts while their class was short of capacity.
  const AccountCounts& CountsByAccount() const { return this->account_counts; }
  /// Appends the numbers of callers that were told to return and that did.
  void WriteReturns(MetricText& out) const;
  /// Root requests refused at entry for decisions among classes.
  const RouteDecisionCounts& RouteDecisions() const {
    return this->route_decisions;
  }
  /// Whether routes exchange capacity at the service, see route_exchange.h.
  bool HasExchange(const std::string& service) const;
  /// Whether the service limits the admitted share of a route.
  bool IsBottleneck(const std::string& service) const;

  /// Whether calls may be sent to the target beside the node.
  static bool IsTargetAvailable(const Peer& peer);

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  /// The part of the route that the request goes to; null if there is none.
  const policy::RoutePart* ChoosePart(const policy::Route& route);
  bool ResolveRoute(const CallPointer& call);
  void SetDeadlineAndChain(const CallPointer& call);
  /// Checks the caller's credentials. Returns false if the request was refused
  /// and answered.
  bool Authenticate(const CallPointer& call);
  bool AuthenticateByKey(const CallPointer& call);
  void RefuseAuthentication(const CallPointer& call,
                            std::uint32_t status,
                            const char* reason);
  void RecordPolicyContact(Millis now);
  bool MayHaveStalePolicy() const;
  bool CanTrustPolicy(Millis now) const;
  bool IsKeyStillValid(const Call& call) const;
  static bool HasQuota(const Call& call);
  /// Takes a quota token. Returns false if the call was refused and answered,
  /// or waits for a token.
  bool AcquireQuota(const CallPointer& call);
  void RefuseOverQuota(const CallPointer& call);
  void ServeQuotaWaiters(policy::AccountKey account);
  void SweepQuotaWaiters();
  void SetClassPriority(const policy::Route& route,
                        std::optional<std::uint32_t> account_priority);
  void NameClass(std::uint32_t key,
                 const policy::Route& route,
                 std::optional<std::uint32_t> account_priority);
  void Register(const CallPointer& call);
  void Admit(const CallPointer& call);
  bool AdmitRoot(const CallPointer& call);
  void Attempt(const CallPointer& call);
  bool HasUntriedTarget(const Call& call);
  PeerPointer ChoosePeer(const Call& call, bool is_among_refused);
  bool HasRoomToFit(Millis now, const Call& call) const;
  void FitTargets(Millis now,
                  const Call& call,
                  const std::vector<PeerPointer>& members,
                  std::vector<control::PlacementTarget>& views,
                  control::PlacementRules& rules);
  /// Records how long the target ran the call.
  void RecordRun(const Call& call, const AnswerFrame& frame);
  /// Records that the current attempt ended before the target's answer.
  void RecordCutAttempt(const Call& call);
  double MeanWorkMsAt(const std::string& service);
  static double SpeedOf(const Peer& peer, double mean_work_ms);
  const control::RunTimeHistogram* RunTimesOf(Millis now,
                                              std::uint32_t route) const;
  void AddRunTimes(Millis now, control::DecisionSums& sums);
  struct ZoneState;
  double OwnZoneSlots(const std::string& service);
  void UpdateZones(Millis now);
  static void LogSurplus(Millis now,
                         const std::string& service,
                         ZoneState& state);
  void ApplySurplus(const Call& call,
                    const std::vector<PeerPointer>& members,
                    std::vector<control::PlacementTarget>& views,
                    control::PlacementRules& rules);
  void RecordBytes(const Call& call, const AnswerFrame& frame);
  void RecordPartBytes(const Call& call, std::size_t bytes);
  void AddZoneCalls(control::DecisionSums& sums);
  static void SelectEarliestLimited(
      const std::vector<PeerPointer>& members,
      std::vector<control::PlacementTarget>& views);
  PeerPointer NextPeer(const Call& call);
  double MeanFailureRateOfOthers(const Call& call, const PeerPointer& peer);
  bool CanRepeatHelp(const Call& call, const PeerPointer& peer);
  double CallsPerRun(const std::string& service);
  bool UpdateTargetHealth(const Call& call,
                          const PeerPointer& peer,
                          const AnswerFrame& frame);
  control::RepeatCounts SumRepeatCounts(Millis now, const std::string& service);
  bool IsCountedDirectly(const Peer& peer) const;
  /// Queues a call that was not sent yet until its service has a target.
  /// Returns false if it may not wait any longer.
  bool QueueForTarget(const CallPointer& call);
  void RetryWaiting();
  void SendTo(const CallPointer& call, const PeerPointer& peer);
  void OnBusyLink(const CallPointer& call, const PeerPointer& peer);
  void OnFailedAttempt(const CallPointer& call,
                       CallOutcome outcome,
                       CallReason reason);
  bool AcquireRepeat(Millis now, const Call& call, CallReason after);
  control::RequestDigest DigestOf(const Call& call) const;
  /// Records that the target's process crashed while it ran the call.
  void RecordTargetCrash(const CallPointer& call, const PeerPointer& peer);
  void RecordAbandoned(const CallPointer& call);
  void OnCrashAfterAbandon(const PeerPointer& peer, std::uint32_t id);
  /// Records that the target completed the call without a crash.
  void RecordCompletion(const CallPointer& call);
  bool MayBeQuarantined(const Call& call) const;
  bool IsQuarantined(const Call& call) const;
  bool HasAvailableTarget(const std::string& service);
  bool CheckQuarantine(const CallPointer& call);
  void RefuseQuarantined(const CallPointer& call,
                         const control::RequestDigest& digest,
                         Millis wait);
  void OnTrialPermitted(const control::RequestDigest& digest,
                        const std::string& node);
  void EndTrial(const CallPointer& call, const char* outcome);
  void DetachCaller(const CallPointer& call);
  void MoveFromSuspect(const CallPointer& call);
  /// Assigns the call to a peer, or to none, and updates the peers' outstanding
  /// counts.
  static void Assign(const CallPointer& call, const PeerPointer& peer);
  void ForwardAnswer(const CallPointer& call, const AnswerFrame& frame);
  void RefuseNotRun(const CallPointer& call, CallReason reason, Millis wait);
  void FinishFailed(const CallPointer& call, CallReason reason);
  void RecordRunCounts(const Call& call);
  void Finish(const CallPointer& call);
  void CountOutcome(const Call& call,
                    RequestOutcome outcome,
                    CallReason reason);
  void CancelAttempt(const CallPointer& call);
  void Abandon(const CallPointer& call);
  void CutAnswer(const CallPointer& call);
  void TimeOut(const CallPointer& call);
  control::RepeatRules CurrentRepeatRules() const;
  control::RepeatAllowance& AllowanceOf(const std::string& service);
  void AddTotals(Millis now,
                 std::map<std::string, control::ServiceCapacity>& capacities,
                 std::map<std::uint32_t, control::RootTotals>& roots);
  void LogShareChanges();
  void CountRefusedClass(std::uint32_t route);
  void LogExchanges();
  void LogExchange(const control::ExchangePair& pair,
                   const control::GivenShare& given);
  std::vector<control::RefusingService> RefusingServices(
      Millis now,
      const std::vector<control::ServiceCapacity>& services,
      const std::map<std::uint32_t, control::RootTotals>& roots);
  control::RepeatStock StockOf(Millis now, const std::string& service);
  void LogRefusing(const std::vector<control::RefusingService>& refusing);
  /// Id of the request that made this call; empty for a root request.
  std::string ParentOf(const Call& call) const;
  /// A random number from 0 to below 1.
  double Draw();
  Millis RetryAfter(const Call& call);
  /// The admitted share of the call's client account, which is `share` where
  /// accounts are not told apart.
  double AccountShare(const Call& call, double share);
  /// Computes the levels up to which accounts are admitted.
  void UpdateAccountLevels(Millis now);
  void LogAccountLevels(Millis now);
  /// Counts a decision about a root request of a class that is short of
  /// capacity.
  void CountAccountDecision(const Call& call,
                            double class_share,
                            double account_share,
                            bool is_admitted);
  /// Adds the demand of the accounts that this node is the home of.
  void AddAccountDemand(Millis now, control::DecisionSums& sums);
  /// The admitted share of a caller that is new or that returns after a
  /// refusal, from the share of its class or account.
  double ReturnShare(Call& call, double share);
  struct ReturningState {
    control::ReturningClass callers;
    /// Rate of the class over all nodes; 0 if unknown.
    double offered_per_s = 0;
    std::optional<Millis> logged_at;
  };
  static control::ReturnAccount AccountOf(const Call& call);
  Millis UsualRetryAfter(const policy::Route& route);
  void LogReturnPlan(Millis now,
                     const Call& call,
                     Millis wait,
                     ReturningState& state);
  control::ReturnLoad ReturnLoadOf(Millis now,
                                   std::uint32_t root_route,
                                   const ReturningState& state) const;
  void UpdateReturns(Millis now,
                     const std::map<std::uint32_t, control::RootTotals>& roots);
  void AddReturns(control::DecisionSums& sums) const;
  void CountReturnServed(const Call& call);

  const RelaySettings& settings;
  PeerTable& peers;
  ServedCalls& served;
  const LoadExchange& loads;
  const DecisionExchange& decisions;
  policy::RouteTablePointer table;
  control::ChainAdmission admission;
  QuotaExchange quotas;
  AccountExchange accounts;
  AccountCounts account_counts;
  /// When the level of each class was last logged.
  std::map<std::uint32_t, Millis> logged_levels;
  /// Calls that wait for a quota token, in order of arrival, by account.
  std::map<policy::AccountKey, std::deque<std::weak_ptr<Call>>> quota_waiters;
  /// When the source of the policy was last known to be reachable.
  Millis last_policy_contact;
  /// When the policy in force was installed.
  Millis table_set_at;
  /// Names of the known request classes, by number.
  std::unordered_map<std::uint32_t, std::string> class_names;
  std::unordered_map<std::string, control::RepeatAllowance> allowances;
  /// Repeat counts of an earlier incarnation, by service, until they are used.
  std::map<std::uint32_t, control::RepeatCounts> restored_counts;
  bool has_restored_counts = false;
  std::map<std::string, std::uint64_t> repeats_denied;
  std::map<std::string, std::uint64_t> refusals_by_service;
  RouteDecisionCounts route_decisions;
  /// Exchanges of slots as last logged.
  std::map<control::ExchangePair, control::GivenShare> logged_exchanges;
  control::CarriedRoots carried_roots;
  /// Refused fractions as last logged, by service.
  std::map<std::string, double> logged_refusing;
  /// Callers that return, by class of root requests.
  std::map<std::uint32_t, ReturningState> returning;
  Millis returns_updated;
  /// State of the weighted selection, by route.
  std::unordered_map<std::uint32_t, control::WeightedRoundRobin> part_turns;
  std::unordered_map<std::uint32_t, CallPointer> calls;
  std::set<std::pair<std::int64_t, std::uint32_t>> timeouts;
  /// Shares as last logged.
  std::map<std::uint32_t, double> logged_shares;
  std::uint32_t last_id = 0;
  /// When each service last had an available target, and the calls that wait
  /// for a target or for their trial.
  std::unordered_map<std::string, Millis> last_available;
  std::vector<std::weak_ptr<Call>> waiting_calls;
  Millis started_at;
  bool is_stopping = false;
  std::mt19937 random;
  RequestCounts counts;
  QuarantineExchange quarantine;
  /// Calls whose callers disconnected while a target ran them. They are kept
  /// for a while because the target may still crash.
  struct AbandonedCall {
    CallPointer call;
    PeerPointer peer;
    Millis abandoned_at;
  };
  std::deque<AbandonedCall> abandoned;
  TrialCounts trials;
  /// Run times by called route, from the answers to this node's calls.
  control::RunTimeTable run_times;
  FitCounts fit_counts;
  /// Zones and calls of this node, for one service.
  struct ZoneState {
    control::ZoneFlow flow;
    /// Sum over the samples since the last report.
    double in_flight = 0;
    double logged_part = 0;
    Millis logged_at;
  };
  std::map<std::string, ZoneState> zone_flows;
  std::uint32_t zone_samples = 0;
  bool has_zone_sums = false;
  /// When the sums arrived that were applied last.
  Millis zone_sums_at;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_ENTRY_CALLS_H_
