#ifndef ALMONDLINK_MODEL_SRC_ALMONDLINK_PATH_H_
#define ALMONDLINK_MODEL_SRC_ALMONDLINK_PATH_H_

#include <map>
#include <memory>
#include <vector>

#include "almondlink/control/admission.h"
#include "almondlink/control/caller_repeats.h"
#include "almondlink/control/downstream.h"
#include "almondlink/control/retry_budget.h"
#include "almondlink/control/routing.h"
#include "simulation.h"

namespace almondlink::model {

/// Simulates calls through the daemon's own interface: the same functions of
/// `control` in the daemon's order, in virtual time and without a transport.
class AlmondlinkPath : public CallPath {
 public:
  explicit AlmondlinkPath(Simulation& simulation);
  ~AlmondlinkPath() override;
  CallHandlePointer Call(const CallSpec& spec, CallDone done) override;

 private:
  struct OutgoingCall;
  using OutgoingCallPointer = std::shared_ptr<OutgoingCall>;
  struct Node;
  struct Handle;

  /// Answer of a target's node.
  struct Answer {
    ErrorKind kind = ErrorKind::kNone;
    bool is_completed = false;
    bool has_failed_call = false;
    std::uint32_t returned_retries = 0;
    std::uint32_t downstream_level = 0;
    std::uint32_t level = 0;
    std::uint32_t utilization = 0;
  };

  // Entry node.
  bool AdmitAtEntry(const OutgoingCallPointer& call);
  void Attempt(const OutgoingCallPointer& call);
  void SendTo(const OutgoingCallPointer& call, std::size_t view_index);
  void OnAnswer(const OutgoingCallPointer& call, int attempt, Answer answer);
  void UpdateTargetView(const OutgoingCallPointer& call, const Answer& answer);
  void RetryOrFinish(const OutgoingCallPointer& call, const Answer& answer);
  void OnDeadline(const OutgoingCallPointer& call);
  void Cancel(const OutgoingCallPointer& call);
  void Finish(const OutgoingCallPointer& call, const CallResult& result);
  void UpdateMembership(std::size_t entry, std::size_t service);

  // Target's node.
  void OnArrival(const OutgoingCallPointer& call,
                 int attempt,
                 std::size_t target);
  void OfferToAdmission(const OutgoingCallPointer& call,
                        int attempt,
                        std::size_t target);
  void ApplyAdmissionStep(std::size_t target,
                          const control::AdmissionStep& step);
  void Dispatch(std::size_t target, control::Ticket ticket);
  void OnWorkDone(std::size_t target,
                  control::Ticket ticket,
                  bool is_completed);
  void Reply(std::size_t target, control::Ticket ticket, Answer answer);
  void Tick(std::size_t target);
  void CountOrderViolation(std::size_t target, const OutgoingCallPointer& call);

  Simulation& simulation;
  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t last_ticket = 0;
};

/// State of one call at its entry node.
struct AlmondlinkPath::OutgoingCall {
  CallSpec spec;
  CallDone done;
  double deadline_ms = 0;
  control::ShedRank rank;
  control::RetryGrant grant;
  /// Retry grant of the call: its own, or that of the work that makes it.
  control::RetryGrant& Grant() {
    return this->spec.parent == nullptr ? this->grant
                                        : this->spec.parent->grant;
  }
  std::vector<std::size_t> tried;
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  bool is_over = false;
  // The current attempt.
  int attempt = 0;
  std::size_t view_index = 0;
  std::size_t target = 0;
  std::uint32_t lent_retries = 0;
  double sent_ms = 0;
  control::Ticket ticket;
};

struct AlmondlinkPath::Node {
  // State as a target's node.
  control::AdmissionRules rules;
  control::Admission admission;
  std::map<control::Ticket, std::pair<OutgoingCallPointer, int>> calls;
  std::map<control::Ticket, std::pair<WorkPointer, double>> work;
  bool is_ticking = false;
  // State as an entry node.
  std::vector<std::vector<control::TargetView>> views;
  std::vector<control::DownstreamLevel> downstream;
  control::CallerRepeats repeats;
  std::unique_ptr<control::RetryBudget> budget;
  control::RetryBudgetLimits budget_limits;
  /// By target: when its link was last replaced, and since when calls on it get
  /// no answer; negative for never.
  std::vector<double> replaced_ms;
  std::vector<double> silent_since_ms;
};

struct AlmondlinkPath::Handle : CallHandle {
  Handle(AlmondlinkPath& path, OutgoingCallPointer call)
      : path(path), call(std::move(call)) {}
  void Cancel() override { this->path.Cancel(this->call); }
  AlmondlinkPath& path;
  const OutgoingCallPointer call;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_ALMONDLINK_PATH_H_
