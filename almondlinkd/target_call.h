#ifndef ALMONDLINKD_TARGET_CALL_H_
#define ALMONDLINKD_TARGET_CALL_H_

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"
#include "almondlink/control/work_table.h"
#include "almondlink/mesh/peer_server.h"
#include "almondlink/server/target_client.h"
#include "almondlink/wire/messages.generated.h"
#include "almondlinkd/target_ends.h"

namespace almondlink::daemon {

/// A call in the hands of the target's side. Its ticket names it.
struct TargetCall {
  mesh::LinkId link{0};
  wire::Call call;
  RootId root;
  Millis deadline;
  bool is_dispatched = false;
  bool is_abandoned = false;
  /// Targets have ended under the same request.
  bool is_on_trial = false;
  SpanId span{0};
  server::TargetCallId at_target{0};
  /// On the running clock.
  LatencyMs sent;
};

/// The request to the target: the caller's, with the work's own span, the time
/// left, and who asks. At-most-once requests go on a fresh connection.
server::TargetRequest MakeRequest(const TargetCall& target_call);

/// The answer to the entry node. A target that answers with the verdict
/// `not-run` has refused.
wire::Answer MakeAnswer(server::TargetAnswer result);

/// An answer of the node itself.
wire::Answer TextAnswer(const std::string& text);

/// Ends the work of a call that the target had, and says in its answer what
/// came of the calls made within it.
void EndWork(const TargetCall& target_call,
             control::WorkTable& work,
             wire::Answer& answer);

/// The answer to a call that may not run because targets ended under the same
/// request: not run, and where or when it may be tried.
wire::Answer RefusalOf(const EndsStep& step, const TargetCall& target_call);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_TARGET_CALL_H_
