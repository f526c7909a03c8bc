#ifndef ALMONDLINKD_TARGET_RULES_H_
#define ALMONDLINKD_TARGET_RULES_H_

#include "almondlink/control/admission.h"
#include "almondlink/server/target_client.h"
#include "almondlinkd/shared_state.h"
#include "almondlinkd/target_call.h"
#include "almondlinkd/target_side.h"

/// What the target's side goes by: settings, the bundle in force, and what a
/// call must be to be taken.
namespace almondlink::daemon {

server::TargetClientConfig TargetClientConfigOf(
    const config::Settings& settings);

/// Rules of admission, with the bundle in force.
control::AdmissionRules AdmissionRulesOf(const SharedState& shared);

/// What an end of a call says of the target, for its concurrency limit.
control::Outcome OutcomeOf(ErrorKind kind);

/// The part of the report that tells of admission.
TargetSideReport AdmissionReportOf(const control::AdmissionRules& rules,
                                   Millis now,
                                   const control::Admission& admission);

/// Fills in deadline and root; kNone if the call may go on.
ErrorKind CheckCall(const SharedState& shared,
                    std::size_t open_calls,
                    TargetCall& target_call);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_TARGET_RULES_H_
