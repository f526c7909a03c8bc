#ifndef ALMONDLINK_RELAY_PEER_FRAMES_H_
#define ALMONDLINK_RELAY_PEER_FRAMES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "almondlink/control/blame.h"
#include "almondlink/control/chain_admission.h"
#include "almondlink/control/demand_meter.h"
#include "almondlink/control/quota_lending.h"
#include "almondlink/control/repeat_allowance.h"

/// Messages on a link between two nodes.
///
/// A frame is its length (4 bytes), its type (1 byte) and its fields in order,
/// numbers in big-endian, texts with their length before them. Calls and
/// answers pass twice a request on every node; written straight into the link's
/// buffer they cost a tenth of the generated CBOR trees (bench/frame_cost.cc).
/// Fields are only added at the end, so an older node ignores what it does not
/// know.
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
  /// Asks for a state at once.
  kPing = 10,
  /// What changes all the time in a state, without the rest.
  kLoad = 11,
  /// Asks for the policy if it is newer than the number told.
  kPolicyRequest = 12,
  /// Number of the policy in force; the rest of the state is as told.
  kPolicyVersion = 13,
  /// Addresses of nodes that the sender has just learned of.
  kNodes = 14,
  /// Asks the lender of an account's quota for tokens, and its answer.
  kQuotaRequest = 15,
  kQuotaLoan = 16,
  /// Requests that targets ended under, or lived through.
  kQuarantine = 17,
  /// Asks for the trial of such a request, its answer, and the trial's end.
  kTrialRequest = 18,
  kTrialResponse = 19,
  kTrialEnded = 20,
};

/// What a target tells of its life; later values are never taken back for the
/// same instance.
enum class InstanceState : std::uint8_t {
  kNone = 0,
  kReady = 1,
  kDraining = 2,
};

/// What one node knows of an instance: kept by its peers over its restarts.
struct InstanceRecord {
  std::string node;
  std::string instance;
  std::uint64_t sequence = 0;
  InstanceState state = InstanceState::kNone;
  /// Start time of the instance, see control/instance_ledger.h; 0 if not told.
  std::uint64_t started_at = 0;
};

/// How other nodes reach a node.
struct NodeAddress {
  std::string name;
  std::string address;
  std::uint64_t incarnation = 0;
};

/// What a node counted of a service's requests and repeats.
struct ServiceRepeats {
  /// See ServiceKeyOf.
  std::uint32_t service = 0;
  control::RepeatCounts counts;
};

/// Number of a service's name, the same on all nodes.
std::uint32_t ServiceKeyOf(std::string_view service);

/// First frame of either side.
struct HelloFrame {
  NodeAddress self;
  std::string zone;
  std::string deployment;
  /// Some of the other nodes that the sender knows.
  std::vector<NodeAddress> known_nodes;
  /// What the sender remembers of the receiver's instances.
  std::vector<InstanceRecord> draining_instances;
  /// What the sender understands: from kSpeaksLoad on, load frames; from
  /// kAsksPolicy on it asks for a policy that it lacks, and is not sent any
  /// otherwise.
  std::uint32_t protocol_version = 0;
  /// Number of the latest start of the receiver that the sender has met; 0 if
  /// none. A node whose clock went back between two starts takes a later one.
  std::uint64_t known_incarnation = 0;
  /// Number of the start before that, and what it told of repeats last; 0 if
  /// the sender has not met it.
  std::uint64_t previous_incarnation = 0;
  std::vector<ServiceRepeats> previous_repeats;
};

/// The dialects that know load frames, questions for a policy, loans of quotas
/// and requests that end targets, and the one spoken here.
constexpr std::uint32_t kVersionLoadFrames = 1;
constexpr std::uint32_t kVersionPolicyPull = 2;
constexpr std::uint32_t kVersionQuotaLending = 3;
constexpr std::uint32_t kVersionQuarantine = 4;
constexpr std::uint32_t kProtocolVersion = kVersionQuarantine;

/// State of a node and of the target beside it.
struct StateFrame {
  std::uint64_t policy_version = 0;
  bool is_stopping = false;
  std::string service;
  std::string zone;
  std::string instance;
  std::uint64_t sequence = 0;
  InstanceState state = InstanceState::kNone;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double work_ms = 0;
  /// Calls that a run of the target makes, on average.
  double calls_per_run = 0;
  std::vector<control::RouteDemand> demand;
  std::vector<control::RootRate> roots;
  /// Start time of the instance; 0 if not told.
  std::uint64_t started_at = 0;
  /// Of services whose requests were sent once more within the window.
  std::vector<ServiceRepeats> repeats;
  /// The sender can read the source of the policy, as far as it knows.
  bool has_source = false;
  /// Part of the target's answers that are failures of its own.
  double error_rate = 0;
};

/// Which report of which start of an instance a state was made after.
struct ReportId {
  std::uint64_t started_at = 0;
  std::uint64_t sequence = 0;
};

/// The part of a state that changes with each call. A state of 250 bytes, told
/// several times a second on every link, was most of what nodes say to each
/// other; this is a third of it.
struct LoadFrame {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double work_ms = 0;
  double calls_per_run = 0;
  std::vector<control::RouteDemand> demand;
  std::vector<control::RootRate> roots;
  std::vector<ServiceRepeats> repeats;
  double error_rate = 0;
};

/// The load that a state tells, and a state with another load.
LoadFrame LoadOf(const StateFrame& state);
/// A load without the calls of chains leaves those that were told before.
void ApplyLoad(LoadFrame load, StateFrame& state);

/// Whether two states differ in their load at most, and in the number of the
/// last report, which matters only for an instance that leaves.
bool EqualExceptLoad(const StateFrame& a, const StateFrame& b);
/// The same but for the number of the policy.
bool EqualExceptLoadAndVersion(const StateFrame& a, const StateFrame& b);

/// One attempt of a request, to the node beside its target.
struct CallFrame {
  std::uint32_t id = 0;
  /// The sender's clock, to tell a frame that was held up on the way.
  std::uint64_t sent_ms = 0;
  std::uint32_t remaining_ms = 0;
  /// Longest time that it may wait for a slot.
  std::uint32_t wait_ms = 0;
  bool is_repeatable = false;
  /// The request, or the run that made it, was sent to a target before.
  bool is_repeat = false;
  std::uint8_t depth = 0;
  std::uint8_t priority = 0;
  /// Route of the root request; 0 if unknown.
  std::uint32_t root_route = 0;
  std::string_view instance;
  std::string_view caller_service;
  std::string_view request_id;
  std::string_view method;
  std::string_view target;
  std::string_view fields;
  std::string_view body;
  /// Of the id of the root request; 0 from a node that does not tell it.
  std::uint64_t root_hash = 0;
};

/// How an attempt ended at the target's node.
enum class CallOutcome : std::uint8_t {
  /// The target's own answer follows.
  kAnswered = 0,
  /// Not run: no byte of it reached the target.
  kNotSent = 1,
  /// Not run: the target itself said so.
  kRefusedByTarget = 2,
  /// It was sent and there is no proper answer.
  kBroken = 3,
};

/// Why a call was not sent or broke; numbers are stable, they are in logs.
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
  /// The target's process ended while it ran the call.
  kTargetCrashed = 12,
  /// Targets have ended under the same request.
  kQuarantined = 13,
};

/// Name of a reason in logs and metrics.
const char* ToString(CallReason reason);

/// First part of an answer, or all of it.
struct AnswerFrame {
  std::uint32_t id = 0;
  CallOutcome outcome = CallOutcome::kAnswered;
  CallReason reason = CallReason::kNone;
  /// More of the body follows in data frames.
  bool has_more = false;
  std::uint16_t status = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t work_us = 0;
  std::string_view status_text;
  std::string_view fields;
  std::string_view body;
  /// What ran for it, here and further down; none from an older node.
  control::CallCounts run_counts;
  /// See StateFrame; 0 from an older node.
  double error_rate = 0;
};

/// A further part of an answer's body.
struct DataFrame {
  std::uint32_t id = 0;
  /// The last part; with `is_broken` the answer ended before its end.
  bool is_last = false;
  bool is_broken = false;
  /// It broke because the target's process ended.
  bool is_target_crashed = false;
  std::string_view body;
};

/// The receiver passed on that many bytes of the answer.
struct WindowFrame {
  std::uint32_t id = 0;
  std::uint32_t bytes = 0;
};

/// Asks for tokens of an account's quota.
struct QuotaRequestFrame {
  /// See policy::AccountKeyOf.
  std::uint32_t account = 0;
  std::uint32_t wanted = 0;
};

/// What the lender of the quota answers.
struct QuotaLoanFrame {
  std::uint32_t account = 0;
  /// False: the node asked does not take itself for the lender, or does not
  /// know the account.
  bool is_lender = false;
  control::QuotaLoan loan;
};

/// What the sender knows of a request that targets ended under.
struct QuarantineUpdate {
  control::RequestDigest digest;
  /// A target lived through a run of it: nothing holds it any more.
  bool is_completed = false;
  std::vector<std::uint64_t> crashed_incarnations;
  std::uint32_t failed_trials = 0;
  /// Time since the last end.
  Millis age;
};

struct QuarantineFrame {
  std::vector<QuarantineUpdate> updates;
};

/// Asks the node that permits the trials of a service for one.
struct TrialRequestFrame {
  control::RequestDigest digest;
  std::string service;
  /// Nobody waits for it any longer than this.
  std::uint32_t remaining_ms = 0;
};

/// The trial may begin at the target beside `node`; it must wait if empty.
struct TrialResponseFrame {
  control::RequestDigest digest;
  std::string node;
};

/// The trial that was permitted is over, or did not begin.
struct TrialEndedFrame {
  control::RequestDigest digest;
};

/// One frame as it lies in a link's input.
struct RawFrame {
  FrameType type = FrameType::kHello;
  std::string_view payload;
  /// Bytes of the frame with its head.
  std::size_t size = 0;
};

/// Largest frame; a longer one means that the peer speaks something else.
constexpr std::size_t kMaxFrameSize = 80 * 1024 * 1024;

/// The first frame of `input`: none while it is incomplete. `is_bad` is set if
/// it cannot be one.
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
void AppendPolicy(std::string_view policy, std::string& out);
void AppendCancel(std::uint32_t id, std::string& out);
void AppendPing(std::string& out);
/// The receiver keeps the state made after that report in mind.
void AppendStateConfirmed(const ReportId& report, std::string& out);
void AppendPolicyRequest(std::uint64_t own_version, std::string& out);
void AppendPolicyVersion(std::uint64_t version, std::string& out);
void AppendNodes(const std::vector<NodeAddress>& nodes, std::string& out);

/// Decoders; false if the payload is too short. Views point into the payload.
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
bool DecodeCancel(std::string_view payload, std::uint32_t& id);
bool DecodeStateConfirmed(std::string_view payload, ReportId& report);
/// Of both frames that hold the number of a policy.
bool DecodePolicyVersion(std::string_view payload, std::uint64_t& version);
bool DecodeNodes(std::string_view payload, std::vector<NodeAddress>& nodes);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_PEER_FRAMES_H_
