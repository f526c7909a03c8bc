#ifndef ALMONDLINK_RELAY_SRC_ENTRY_CALL_H_
#define ALMONDLINK_RELAY_SRC_ENTRY_CALL_H_

#include <optional>
#include <string>
#include <vector>

#include "almondlink/relay/entry_calls.h"

namespace almondlink::relay {

/// A failure of a target that is passed on if a repeat brings no answer: it is
/// worth more to the caller than a failure of ours, and no less true.
struct FallbackAnswer {
  std::uint32_t status = 0;
  std::string status_text;
  std::string fields;
  std::string body;
};

/// One request of a caller from its arrival to its answer. EntryCalls is in
/// units by decision: entry_calls.cc (what comes in), entry_accounts.cc (who
/// asks, and whether its account may), entry_admission.cc (whether there is
/// room), entry_attempts.cc (where it is sent), entry_repeats.cc (whether once
/// more), entry_blame.cc (what ended targets), entry_ends.cc (its answer).
struct EntryCalls::Call {
  std::uint32_t id = 0;
  RequestHead head;
  std::string body;
  CallerExchangePointer exchange;
  policy::RouteTablePointer table;
  const policy::Route* route = nullptr;
  /// Who asks; null where the policy has no accounts, for anonymous routes and
  /// for calls that targets make.
  const policy::ClientAccount* account = nullptr;
  std::string api_key;
  /// Until when it waits for a token of its account.
  Millis quota_wait_deadline;
  /// A token was taken for it, which is given back if it does not run.
  bool has_token = false;
  std::string service;
  bool is_root = true;
  /// Whether a run of the target beside this node makes it.
  bool has_local_parent = false;
  bool is_refused_at_entry = false;
  RunInfo info;
  Millis arrived;
  /// When the caller stops waiting, and when the route does.
  Millis deadline;
  Millis expires_at;
  LatencyMs started;
  // The attempt that is out, if any.
  PeerPointer peer;
  std::vector<std::string> tried_nodes;
  /// Nodes whose targets got it, and those of them that refused it without
  /// running: these may be asked again.
  std::vector<std::string> reached_nodes;
  std::vector<std::string> refusing_nodes;
  /// Whether it was counted as a request for its service.
  bool is_counted_for_repeats = false;
  /// Sends that a target got; sends that were turned back before it.
  std::uint32_t attempts = 0;
  std::uint32_t moves = 0;
  bool may_have_run = false;
  /// Until when it waits for its trial; 0: it never did. By what content.
  Millis trial_wait_deadline;
  control::RequestDigest trial_digest;
  bool is_on_trial = false;
  /// Its caller left, and it goes on without.
  bool is_caller_gone = false;
  /// What ran for it, by the answers that came.
  control::CallCounts run_counts;
  /// Until when it waits for its service to have a target; 0: it never did.
  Millis target_wait_deadline;
  bool is_streaming = false;
  std::optional<FallbackAnswer> fallback_answer;
  /// Instance of the attempt that was out when the call ended.
  std::string last_instance;
  /// What the target was chosen by, for the log.
  std::uint32_t load_at_choice = 0;
  std::uint32_t slots_at_choice = 0;
  Millis state_age_at_choice;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_ENTRY_CALL_H_
