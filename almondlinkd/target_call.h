#ifndef ALMONDLINKD_TARGET_CALL_H_
#define ALMONDLINKD_TARGET_CALL_H_

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"
#include "almondlink/mesh/peer_server.h"
#include "almondlink/server/target_client.h"
#include "almondlink/wire/messages.generated.h"

namespace almondlink::daemon {

/// A call in the hands of the target's side. Its ticket names it.
struct TargetCall {
  mesh::LinkId link{0};
  wire::Call call;
  RootId root;
  Millis deadline;
  bool is_dispatched = false;
  bool is_abandoned = false;
  SpanId span{0};
  server::TargetCallId at_target{0};
  LatencyMs sent;
};

/// The request to the target: the caller's, with the work's own span, the time
/// left, and who asks. At-most-once requests go on a fresh connection.
server::TargetRequest MakeRequest(const TargetCall& target_call);

/// The answer to the entry node. A target that answers with the verdict
/// `not-run` has refused.
wire::Answer MakeAnswer(server::TargetAnswer result);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_TARGET_CALL_H_
