#ifndef ALMONDLINK_RELAY_PEER_FRAMES_H_
#define ALMONDLINK_RELAY_PEER_FRAMES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "almondlink/control/chain_admission.h"
#include "almondlink/control/decision_sums.h"
#include "almondlink/control/demand_meter.h"
#include "almondlink/control/instance_tracker.h"
#include "almondlink/control/load_sums.h"
#include "almondlink/control/quarantine.h"
#include "almondlink/control/quota_lending.h"
#include "almondlink/control/repeat_allowance.h"

/// Binary messages on a link between two nodes.
///
/// A frame consists of its length (4 bytes), its type (1 byte) and its fields
/// in order: numbers in big-endian, strings with a length prefix. Each request
/// causes a call and an answer frame on every node it passes; written directly
/// into the link's buffer they cost a tenth of the generated CBOR encoding
/// (bench/frame_cost.cc). New fields are only appended, so that older nodes
/// ignore them.
namespace almondlink::relay {

enum class FrameType : std::uint8_t {
  kHello = 1,
  kState = 2,
  kPolicy = 3,
  kCall = 4,
  kAnswer = 5,
  kData = 6,
  kWindow = 7,
  kCancel = 8,
  kStateConfirmed = 9,
  /// Requests an immediate state or load frame.
  kPing = 10,
  /// The frequently changing part of a state.
  kLoad = 11,
  /// Requests the policy if it is newer than the given version.
  kPolicyRequest = 12,
  /// Version of the policy in force; the rest of the state is unchanged.
  kPolicyVersion = 13,
  /// Addresses of nodes that the sender has just learned of.
  kNodes = 14,
  /// Request for quota tokens to the lender of an account, and its answer.
  kQuotaRequest = 15,
  kQuotaLoan = 16,
  /// Records of requests that crashed targets, or that completed.
  kQuarantine = 17,
  /// Request for a trial of a quarantined request, its answer, and the end of
  /// the trial.
  kTrialRequest = 18,
  kTrialResponse = 19,
  kTrialEnded = 20,
  /// Load of a node for its aggregator, sum over the nodes of an aggregator,
  /// and total over all, see almondlink/control/load_sums.h.
  kLoadReport = 21,
  kLoadSums = 22,
  kLoadTotals = 23,
  /// Part of a node for its aggregator, sum over the nodes of an aggregator,
  /// and total over all, see almondlink/control/decision_sums.h.
  kDecisionReport = 24,
  kDecisionSums = 25,
  kDecisionTotals = 26,
  /// Demand for an account at one node, for the account's home, and the demand
  /// over all nodes in return.
  kAccountDemand = 27,
  kAccountDemandTotal = 28,
  /// Latest leaves of targets of the sender, and the confirmation that the
  /// receiver has recorded them.
  kLeaves = 29,
  kLeavesConfirmed = 30,
};

/// Reported lifecycle state of a target instance. An instance never returns to
/// an earlier state.
enum class InstanceState : std::uint8_t {
  kNone = 0,
  kReady = 1,
  kDraining = 2,
};

/// State of an instance as one node knows it; its peers keep it across restarts
/// of the node.
struct InstanceRecord {
  std::string node;
  std::string instance;
  std::uint64_t sequence = 0;
  InstanceState state = InstanceState::kNone;
  /// Start time of the instance, see control/instance_tracker.h; 0 if not
  /// reported.
  std::uint64_t started_at = 0;
};

/// Incarnations are times in milliseconds; a number above this one was not
/// written by a node, and one more than it may not be a number at all.
constexpr std::uint64_t kMaxIncarnation = 1ULL << 53;

/// Address and incarnation of a node.
struct NodeAddress {
  std::string name;
  std::string address;
  std::uint64_t incarnation = 0;
};

/// A node's counts of a service's requests and repeats.
struct ServiceRepeats {
  /// Service, as returned by ServiceKeyOf().
  std::uint32_t service = 0;
  control::RepeatCounts counts;
};

/// Hash of a service's name, the same on all nodes.
std::uint32_t ServiceKeyOf(std::string_view service);

/// The first frame that each side sends on a link.
struct HelloFrame {
  NodeAddress self;
  std::string zone;
  std::string deployment;
  /// A sample of the other nodes that the sender knows.
  std::vector<NodeAddress> known_nodes;
  /// The receiver's draining instances that the sender has recorded.
  std::vector<InstanceRecord> draining_instances;
  /// Protocol version of the sender, see kProtocolVersion.
  std::uint32_t protocol_version = 0;
  /// Latest incarnation of the receiver that the sender knows; 0 if none. A
  /// node whose clock went back between two starts raises its incarnation above
  /// it.
  std::uint64_t known_incarnation = 0;
  /// The incarnation before that and the repeat counts that it reported last; 0
  /// if the sender does not know one.
  std::uint64_t previous_incarnation = 0;
  std::vector<ServiceRepeats> previous_repeats;
  /// Whether the sender receives the repeat counts of the receiver; if not,
  /// `previous_repeats` tells nothing. Nodes below kVersionLoadSums always do.
  bool has_repeat_counts = true;
  /// The sender, which accepted the link, uses it for its own calls too.
  bool shares_link = false;
  /// The rate limit of the receiver's target that the sender knows, and the
  /// incarnation of the target that named it.
  std::optional<double> known_limit_per_s;
  std::string limited_instance;
  std::uint64_t limited_started_at = 0;
  /// The sender has received the state of an earlier incarnation of the
  /// receiver, so `draining_instances` are the leaves that it had then.
  bool has_earlier_state = false;
};

/// Protocol versions by the feature that they introduced, and the version of
/// this node: load frames; requests for a missing policy, which is no longer
/// pushed to such nodes; loans of quota tokens; exchange of requests that crash
/// targets; sums of loads; sums for decisions under lasting load; leaves of all
/// targets of a node, not only of the current one.
constexpr std::uint32_t kVersionLoadFrames = 1;
constexpr std::uint32_t kVersionPolicyPull = 2;
constexpr std::uint32_t kVersionQuotaLending = 3;
constexpr std::uint32_t kVersionQuarantine = 4;
constexpr std::uint32_t kVersionLoadSums = 5;
constexpr std::uint32_t kVersionDecisionSums = 6;
constexpr std::uint32_t kVersionLeaves = 7;
constexpr std::uint32_t kProtocolVersion = kVersionLeaves;

/// State of a node and of the target beside it, as it is reported to other
/// nodes.
struct StateFrame {
  std::uint64_t policy_version = 0;
  bool is_stopping = false;
  std::string service;
  std::string zone;
  std::string instance;
  std::uint64_t sequence = 0;
  InstanceState state = InstanceState::kNone;
  /// Calls that may run at the target at once, that run, and that are queued.
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double work_ms = 0;
  /// Mean number of calls that a run of the target makes.
  double calls_per_run = 0;
  std::vector<control::RouteDemand> demand;
  std::vector<control::RootRate> roots;
  /// Start time of the instance; 0 if not reported.
  std::uint64_t started_at = 0;
  /// Counts of the services whose requests were repeated within the time
  /// window.
  std::vector<ServiceRepeats> repeats;
  /// The sender can read the policy source, as far as it knows.
  bool has_source = false;
  /// Share of the target's answers that are its own failures, 0 to 1.
  double error_rate = 0;
  /// The load of the node is part of the sums; it is sent to this node only
  /// with answers, and its demand, roots and repeats are empty.
  bool is_load_summed = false;
  /// Rate limit that the target names, see control/named_limit.h; nothing if it
  /// names none.
  std::optional<double> limit_per_s;
  /// Speed of the target relative to the others of its service; 0 if unknown.
  double speed = 0;
};

/// Identifies a report of an instance: its start time and the report's sequence
/// number.
struct ReportId {
  std::uint64_t started_at = 0;
  std::uint64_t sequence = 0;
};

/// The latest leaves that a node knows of targets beside it.
struct LeavesFrame {
  /// Increases with each leave; 0: none yet.
  std::uint64_t revision = 0;
  std::vector<control::InstanceIncarnation> instances;
};

/// The part of a state that changes with each call. A state takes about 250
/// bytes, and sending it several times a second on every link was most of the
/// traffic between nodes; a load takes a third of that.
struct LoadFrame {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double work_ms = 0;
  double calls_per_run = 0;
  std::vector<control::RouteDemand> demand;
  std::vector<control::RootRate> roots;
  std::vector<ServiceRepeats> repeats;
  double error_rate = 0;
  /// As in StateFrame; not part of a load report.
  double speed = 0;
};

/// Load of a node for its aggregator.
struct LoadReportFrame {
  /// The load is to be part of the sums. Otherwise the sender sends it to all
  /// nodes directly, and only asks for the totals.
  bool is_counted = false;
  /// The sender reports to another aggregator from now on.
  bool is_last = false;
  /// Service of the target, as returned by ServiceKeyOf(); 0 if there is none.
  std::uint32_t service = 0;
  /// 0 unless the target accepts calls.
  std::uint32_t slots = 0;
  LoadFrame load;
  /// As in StateFrame.
  std::optional<double> limit_per_s;
};

/// The load as the sums use it.
control::NodeLoad ToNodeLoad(const LoadReportFrame& report);

/// Extracts the load of a state.
LoadFrame LoadOf(const StateFrame& state);
/// Replaces the load of a state. A load without call chains keeps those of the
/// state.
void ApplyLoad(LoadFrame load, StateFrame& state);

/// The state without demand, roots and repeats if its load is summed.
StateFrame WithoutSummed(StateFrame state);

/// Whether two states are equal except for their load and the number of the
/// last report, which matters only for a draining instance.
bool EqualExceptLoad(const StateFrame& a, const StateFrame& b);
/// The same, ignoring the policy version too.
bool EqualExceptLoadAndVersion(const StateFrame& a, const StateFrame& b);

/// Whether the target names no rate limit any more, or a higher one.
bool IsLimitEased(const StateFrame& before, const StateFrame& now);

/// One attempt of a request, sent to the node beside its target.
struct CallFrame {
  std::uint32_t id = 0;
  /// The sender's clock at sending, to detect that the frame was delayed.
  std::uint64_t sent_ms = 0;
  /// Time until the request's deadline.
  std::uint32_t remaining_ms = 0;
  /// Maximum time that it may be queued for a slot.
  std::uint32_t wait_ms = 0;
  bool is_repeatable = false;
  /// This request, or the run that made it, is a repeat: it was sent to a
  /// target before.
  bool is_repeat = false;
  /// It is to be returned at once if the rate limit of the target is used up:
  /// the sender has other targets.
  bool may_move = false;
  std::uint8_t depth = 0;
  std::uint8_t priority = 0;
  /// Route of the root request; 0 if unknown.
  std::uint32_t root_route = 0;
  /// The target instance that the call is meant for.
  std::string_view instance;
  std::string_view caller_service;
  std::string_view request_id;
  std::string_view method;
  std::string_view target;
  std::string_view fields;
  std::string_view body;
  /// Hash of the root request's id; 0 if the sender does not report it.
  std::uint64_t root_hash = 0;
  /// Route of the call itself; 0 if the sender does not report it.
  std::uint32_t route = 0;
};

/// Outcome of an attempt at the target's node.
enum class CallOutcome : std::uint8_t {
  /// The frame carries the target's own answer.
  kAnswered = 0,
  /// Not run: no byte of it was sent to the target.
  kNotSent = 1,
  /// Not run: the target refused it.
  kRefusedByTarget = 2,
  /// The call was sent, and no valid answer was received.
  kBroken = 3,
};

/// Why a call was not sent or failed. The numbers are stable because they
/// appear in logs.
enum class CallReason : std::uint8_t {
  kNone = 0,
  kDraining = 1,
  kNoInstance = 2,
  kOtherInstance = 3,
  kFull = 4,
  kConnectFailed = 5,
  kDeadline = 6,
  kClosed = 7,
  kBadAnswer = 8,
  kTimeout = 9,
  kLinkLost = 10,
  kLinkBusy = 11,
  /// The target's process crashed while the call was running.
  kTargetCrashed = 12,
  /// The request is quarantined because targets crashed while running it.
  kQuarantined = 13,
  /// The rate limit that the target names is used up.
  kRateLimited = 14,
  /// Other targets of the service have free slots, see
  /// almondlink/control/queue_moves.h.
  kMoved = 15,
};

/// Name of a reason in logs and metrics; "unknown" for unknown values.
const char* ToString(CallReason reason);

/// An answer, or the first part of a long one.
struct AnswerFrame {
  std::uint32_t id = 0;
  CallOutcome outcome = CallOutcome::kAnswered;
  CallReason reason = CallReason::kNone;
  /// More of the body follows in data frames.
  bool has_more = false;
  std::uint16_t status = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Time from dispatch to the answer's head or, without an answer, to the end
  /// of the run; 0 if the call was not sent.
  std::uint32_t work_us = 0;
  std::string_view status_text;
  std::string_view fields;
  std::string_view body;
  /// Runs that the call caused, here and at services further down the chain;
  /// empty from an older node.
  control::CallCounts run_counts;
  /// See StateFrame; 0 from an older node.
  double error_rate = 0;
  double target_work_ms = 0;
  double target_calls_per_run = 0;
  /// Rate limit that the target names, and the time until a request of the
  /// receiver will be within it; 0 if one is now.
  std::optional<double> limit_per_s;
  std::uint32_t limit_wait_ms = 0;
  /// See StateFrame.
  double speed = 0;
};

/// A further part of a long answer's body.
struct DataFrame {
  std::uint32_t id = 0;
  /// The last part; with `is_broken` the answer is incomplete.
  bool is_last = false;
  bool is_broken = false;
  /// The answer is incomplete because the target's process crashed.
  bool is_target_crashed = false;
  std::string_view body;
};

/// Flow control: the receiver has passed on that many bytes of the answer.
struct WindowFrame {
  std::uint32_t id = 0;
  std::uint32_t bytes = 0;
};

/// Requests tokens of an account's quota.
struct QuotaRequestFrame {
  /// Account, as returned by policy::AccountKeyOf().
  std::uint32_t account = 0;
  std::uint32_t wanted = 0;
};

/// Answer of the node that tokens were requested from.
struct QuotaLoanFrame {
  std::uint32_t account = 0;
  /// False if that node is not the lender as far as it knows, or does not know
  /// the account.
  bool is_lender = false;
  control::QuotaLoan loan;
};

/// The sender's record of a request that crashed targets.
struct QuarantineUpdate {
  control::RequestDigest digest;
  /// A run of the request completed, which lifts its quarantine. The other
  /// fields are not used then.
  bool is_completed = false;
  std::vector<std::uint64_t> crashed_incarnations;
  std::uint32_t failed_trials = 0;
  /// Time since the last crash.
  Millis age;
};

struct QuarantineFrame {
  std::vector<QuarantineUpdate> updates;
};

/// Requests a trial from the node that coordinates the service's trials.
struct TrialRequestFrame {
  control::RequestDigest digest;
  std::string service;
  /// Time that the caller still waits.
  std::uint32_t remaining_ms = 0;
};

/// The trial may begin at the target beside `node`; if empty, it must wait.
struct TrialResponseFrame {
  control::RequestDigest digest;
  std::string node;
};

/// The granted trial has ended, or did not begin.
struct TrialEndedFrame {
  control::RequestDigest digest;
};

/// A complete frame within a link's input.
struct RawFrame {
  FrameType type = FrameType::kHello;
  std::string_view payload;
  /// Size of the frame in bytes, including its header.
  std::size_t size = 0;
};

/// Maximum frame size. A larger length means that the peer does not speak this
/// protocol.
constexpr std::size_t kMaxFrameSize = 80 * 1024 * 1024;

/// Size of the frame that `input` begins with, by its header; 0 if that is not
/// complete.
std::size_t FrameSize(std::string_view input);

/// The first frame of `input`, or none while it is incomplete. Sets `is_bad` if
/// the input cannot be a frame.
std::optional<RawFrame> NextFrame(std::string_view input, bool& is_bad);

void Append(const HelloFrame& frame, std::string& out);
void Append(const StateFrame& frame, std::string& out);
void Append(const LoadFrame& frame, std::string& out);
void Append(const CallFrame& frame, std::string& out);
void Append(const AnswerFrame& frame, std::string& out);
void Append(const DataFrame& frame, std::string& out);
void Append(const WindowFrame& frame, std::string& out);
void Append(const QuotaRequestFrame& frame, std::string& out);
void Append(const QuotaLoanFrame& frame, std::string& out);
void Append(const QuarantineFrame& frame, std::string& out);
void Append(const TrialRequestFrame& frame, std::string& out);
void Append(const TrialResponseFrame& frame, std::string& out);
void Append(const TrialEndedFrame& frame, std::string& out);
void Append(const LoadReportFrame& frame, std::string& out);
/// `type`: kLoadSums or kLoadTotals.
void AppendSums(FrameType type,
                const control::LoadSums& sums,
                std::string& out);
/// `type`: kDecisionReport, kDecisionSums or kDecisionTotals.
void AppendDecisions(FrameType type,
                     const control::DecisionSums& sums,
                     std::string& out);
void AppendPolicy(std::string_view policy, std::string& out);
void AppendCancel(std::uint32_t id, std::string& out);
void AppendPing(std::string& out);
/// Confirms that the sender has recorded the state that includes that report.
void AppendStateConfirmed(const ReportId& report, std::string& out);
void Append(const LeavesFrame& frame, std::string& out);
/// Confirms that the sender has recorded the leaves up to that revision.
void AppendLeavesConfirmed(std::uint64_t revision, std::string& out);
void AppendPolicyRequest(std::uint64_t own_version, std::string& out);
void AppendPolicyVersion(std::uint64_t version, std::string& out);
void AppendNodes(const std::vector<NodeAddress>& nodes, std::string& out);

/// Decoders. They return false if the payload is malformed or too short. String
/// views point into the payload.
bool Decode(std::string_view payload, HelloFrame& frame);
bool Decode(std::string_view payload, StateFrame& frame);
bool Decode(std::string_view payload, LoadFrame& frame);
bool Decode(std::string_view payload, CallFrame& frame);
bool Decode(std::string_view payload, AnswerFrame& frame);
bool Decode(std::string_view payload, DataFrame& frame);
bool Decode(std::string_view payload, WindowFrame& frame);
bool Decode(std::string_view payload, QuotaRequestFrame& frame);
bool Decode(std::string_view payload, QuotaLoanFrame& frame);
bool Decode(std::string_view payload, QuarantineFrame& frame);
bool Decode(std::string_view payload, TrialRequestFrame& frame);
bool Decode(std::string_view payload, TrialResponseFrame& frame);
bool Decode(std::string_view payload, TrialEndedFrame& frame);
bool Decode(std::string_view payload, LoadReportFrame& frame);
/// Decodes both kLoadSums and kLoadTotals frames.
bool Decode(std::string_view payload, control::LoadSums& sums);
/// Decodes the three kinds of frames that AppendDecisions() writes.
bool Decode(std::string_view payload, control::DecisionSums& sums);
bool DecodeCancel(std::string_view payload, std::uint32_t& id);
bool DecodeStateConfirmed(std::string_view payload, ReportId& report);
bool Decode(std::string_view payload, LeavesFrame& frame);
bool DecodeLeavesConfirmed(std::string_view payload, std::uint64_t& revision);
/// Decodes both kPolicyRequest and kPolicyVersion frames.
bool DecodePolicyVersion(std::string_view payload, std::uint64_t& version);
bool DecodeNodes(std::string_view payload, std::vector<NodeAddress>& nodes);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_PEER_FRAMES_H_
