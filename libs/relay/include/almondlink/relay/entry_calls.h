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

#include "almondlink/control/chain_admission.h"
#include "almondlink/control/repeat_allowance.h"
#include "almondlink/control/weighted_turns.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/blame_exchange.h"
#include "almondlink/relay/caller_listener.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/quota_exchange.h"
#include "almondlink/relay/relay_settings.h"
#include "almondlink/relay/request_counts.h"

/// Requests of the callers on this host: which route, whether let in, to which
/// target, whether once more, and the one answer.
///
/// A request is dispatched by the node that took it and by no other, so a
/// request that may run once needs no agreement: it is sent on at most once
/// after a send whose outcome is unknown, and *not run* is said only if no
/// target got a byte of it or every target that did said so itself.
namespace almondlink::relay {

/// Trials of requests that targets ended under, for metrics.
struct TrialCounts {
  std::uint64_t begun = 0;
  /// Requests that were not sent because of it.
  std::uint64_t refused = 0;
  /// Trials by what came of them.
  std::map<std::string, std::uint64_t> by_outcome;
};

/// Not thread safe: belongs to one loop.
class EntryCalls {
 public:
  EntryCalls(const RelaySettings& settings,
             PeerTable& peers,
             ServedCalls& served);
  ~EntryCalls();
  EntryCalls(const EntryCalls&) = delete;
  EntryCalls& operator=(const EntryCalls&) = delete;

  void SetTable(policy::RouteTablePointer table);
  const policy::RouteTablePointer& Table() const { return this->table; }

  /// Takes a request of a caller.
  void OnRequest(RequestHead head,
                 std::string body,
                 const CallerExchangePointer& exchange);

  /// Loans of quotas between nodes.
  QuotaExchange& Quotas() { return this->quotas; }
  /// Requests that targets ended under, between nodes.
  BlameExchange& Quarantine() { return this->quarantine; }
  const TrialCounts& Trials() const { return this->trials; }

  /// Frames from the node beside a target.
  void OnAnswer(const PeerPointer& peer, const AnswerFrame& frame);
  void OnPart(const PeerPointer& peer, const DataFrame& frame);
  /// The link to a node is gone, and with it the attempts there.
  void OnLinkLost(const PeerPointer& peer);

  /// The node does not answer on an open link.
  void OnSuspect(const PeerPointer& peer);

  /// What another node was told by an earlier start of this one.
  void RestoreRepeatCounts(const std::vector<ServiceRepeats>& reported);

  /// Time-outs; call every few tens of milliseconds.
  void Sweep(Millis now);
  /// Works the admission out anew; call every 100 ms.
  void UpdateAdmission(Millis now);

  /// Ends all calls that are still open, because the process ends.
  void EndAll();

  std::size_t OpenCalls() const { return this->calls.size(); }
  const RequestCounts& Counts() const { return this->counts; }
  const control::ChainAdmission& Admission() const { return this->admission; }
  /// Name of a route of the policy in force; its number if it is no longer in.
  std::string RouteName(std::uint32_t key) const;
  /// Counts of the services whose requests were sent once more lately.
  std::vector<ServiceRepeats> OwnRepeatCounts(Millis now);
  /// What this node may repeat within the window, and has, by service.
  std::map<std::string, control::RepeatRoom> RepeatCapacities(Millis now);
  /// Repeats that were asked for and not given, by service.
  const std::map<std::string, std::uint64_t>& RepeatsDenied() const {
    return this->repeats_denied;
  }
  /// Root requests refused at entry, by the service that had no room.
  const std::map<std::string, std::uint64_t>& RefusalsByService() const {
    return this->refusals_by_service;
  }
  /// Whether a route's share is bound by that service.
  bool IsBottleneck(const std::string& service) const;

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  const policy::RoutePart* ChoosePart(const policy::Route& route);
  bool ResolveRoute(const CallPointer& call);
  void SetDeadlineAndChain(const CallPointer& call);
  /// Whether the request may be made by who makes it; answers it if not.
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
  /// Whether its account may make the request now; false: it was answered, or
  /// waits.
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
  static bool IsTargetAvailable(const Peer& peer);
  PeerPointer ChoosePeer(const Call& call, bool is_among_refused);
  PeerPointer NextPeer(const Call& call);
  double MeanFailureRateOfOthers(const Call& call, const PeerPointer& peer);
  bool CanRepeatHelp(const Call& call, const PeerPointer& peer);
  double CallsPerRun(const std::string& service);
  bool UpdateTargetHealth(const Call& call,
                          const PeerPointer& peer,
                          const AnswerFrame& frame);
  control::RepeatCounts SumRepeatCounts(Millis now, const std::string& service);
  /// Whether the call is kept until its service has a target again.
  bool QueueForTarget(const CallPointer& call);
  void RetryWaiting();
  void SendTo(const CallPointer& call, const PeerPointer& peer);
  void OnFailedAttempt(const CallPointer& call,
                       CallOutcome outcome,
                       CallReason reason);
  bool AcquireRepeat(Millis now, const Call& call, CallReason after);
  control::RequestDigest DigestOf(const Call& call) const;
  /// The target's process ended while it ran the call.
  void RecordTargetCrash(const CallPointer& call, const PeerPointer& peer);
  void RecordAbandoned(const CallPointer& call);
  void OnCrashAfterAbandon(const PeerPointer& peer, std::uint32_t id);
  /// The target answered the call, so it lived through it.
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
  /// Moves the call to a peer, or to none, and counts.
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
  void TimeOut(const CallPointer& call);
  control::RepeatRules CurrentRepeatRules() const;
  control::RepeatAllowance& AllowanceOf(const std::string& service);
  void LogShareChanges();
  /// Id of the request that the call was made for; empty for a root.
  std::string ParentOf(const Call& call) const;
  double Draw();
  Millis RetryAfter(const Call& call);

  const RelaySettings& settings;
  PeerTable& peers;
  ServedCalls& served;
  policy::RouteTablePointer table;
  control::ChainAdmission admission;
  QuotaExchange quotas;
  /// Requests that wait for a token of their account, in order, by account.
  std::map<policy::AccountKey, std::deque<std::weak_ptr<Call>>> quota_waiters;
  /// When the source of the policy was known to be in reach last.
  Millis last_policy_contact;
  /// When the policy in force was taken.
  Millis table_set_at;
  /// Names of the classes of requests that were seen, by their number.
  std::unordered_map<std::uint32_t, std::string> class_names;
  std::unordered_map<std::string, control::RepeatAllowance> allowances;
  /// What peers remember of an earlier start, by service, until it is used.
  std::map<std::uint32_t, control::RepeatCounts> restored_counts;
  bool has_restored_counts = false;
  std::map<std::string, std::uint64_t> repeats_denied;
  std::map<std::string, std::uint64_t> refusals_by_service;
  /// Running sums of the weighted choice, by route.
  std::unordered_map<std::uint32_t, control::WeightedTurns> part_turns;
  std::unordered_map<std::uint32_t, CallPointer> calls;
  std::set<std::pair<std::int64_t, std::uint32_t>> timeouts;
  /// Shares as the log last told them.
  std::map<std::uint32_t, double> logged_shares;
  std::uint32_t last_id = 0;
  /// When each service last had a target, and calls that wait for one.
  std::unordered_map<std::string, Millis> last_available;
  std::vector<std::weak_ptr<Call>> waiting_calls;
  Millis started_at;
  std::mt19937 random;
  RequestCounts counts;
  BlameExchange quarantine;
  /// Calls whose callers left while a target ran them: it may yet end.
  struct AbandonedCall {
    CallPointer call;
    PeerPointer peer;
    Millis abandoned_at;
  };
  std::deque<AbandonedCall> abandoned;
  TrialCounts trials;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_ENTRY_CALLS_H_
