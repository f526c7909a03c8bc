#ifndef ALMONDLINKD_CLASSIFY_H_
#define ALMONDLINKD_CLASSIFY_H_

#include <memory>
#include <optional>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"
#include "almondlink/control/work_table.h"
#include "almondlink/policy/bundle.h"
#include "almondlink/server/http_types.h"
#include "almondlinkd/shared_state.h"

namespace almondlink::daemon {

/// A W3C traceparent: the root request and the span that makes the call.
struct TraceParent {
  RootId root;
  SpanId span;
};

/// Parses a traceparent of version 00. Errors: kBadTraceParent.
Result<TraceParent> ParseTraceParent(const std::string& text);

/// Formats one; `span` becomes the parent id.
std::string FormatTraceParent(RootId root, SpanId span);

/// The 32 hexadecimal digits of a trace id, and back. Errors:
/// kBadTraceParent.
std::string FormatRoot(RootId root);
Result<RootId> ParseRoot(const std::string& text);

/// A caller's request that has been understood. Keeps the bundle alive that
/// `operation` points into.
struct ClassifiedCall {
  std::shared_ptr<const BundleView> view;
  const policy::OperationSpec* operation = nullptr;
  RootId root;
  /// Set when the call is made within work of the target beside this node.
  std::optional<SpanId> parent;
  Criticality criticality = Criticality::kNormal;
  std::uint32_t depth = 0;
  /// Monotonic.
  Millis deadline;
  std::string team;
  std::string caller;
  std::string key;
  /// When the key was made, wall clock.
  Millis key_made;
  /// The caller says that it has asked before and does not know the outcome.
  bool is_declared_repeat = false;
};

/// Time and randomness for classification.
struct ClassifyInput {
  Millis now;
  Millis wall_now;
  /// Used as trace id when the caller sends none.
  RootId fresh_root;
};

/// Understands a request against the bundle in force. Errors: those of the
/// caller's request in the table of error kinds, and kNoBundle,
/// kDeadlinePassed.
Result<ClassifiedCall> Classify(const server::CallerRequest& request,
                                const std::shared_ptr<const BundleView>& view,
                                const control::WorkTable& work,
                                const ClassifyInput& input);

/// Understands a request for a minted key, which names a service, a team and a
/// caller only; `operation` is an at-most-once operation of the service.
/// Errors: as Classify.
Result<ClassifiedCall> ClassifyMint(
    const server::CallerRequest& request,
    const std::shared_ptr<const BundleView>& view,
    const ClassifyInput& input);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_CLASSIFY_H_
