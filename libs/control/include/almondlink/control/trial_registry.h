#ifndef ALMONDLINK_CONTROL_TRIAL_REGISTRY_H_
#define ALMONDLINK_CONTROL_TRIAL_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/request_digest.h"

/// Running trials of quarantined requests (almondlink/control/quarantine.h),
/// kept by the one node that grants the trials of a service.
///
/// A request has at most one trial at a time, whichever node asks for it, and
/// each trial has a target to itself, so that a crash incriminates exactly one
/// request. One target of the service is kept free of trials unless the service
/// has only one.
namespace almondlink::control {

/// A target of the service that accepts calls.
struct TrialCandidate {
  /// The node beside the target.
  std::string node;
  /// Calls that would be lost if the target crashed.
  std::uint32_t calls_in_flight = 0;
};

/// A running trial.
struct Trial {
  std::string service;
  std::string node;
  /// From then on the trial counts as abandoned.
  Millis expires_at;
};

/// Plain data; one thread at a time.
struct TrialRegistry {
  std::map<RequestDigest, Trial> trials;
};

/// Grants a trial of the request that expires at `expires_at`. Returns the node
/// of the candidate with the fewest calls in flight, or nothing if the request
/// must wait.
std::optional<std::string> PermitTrial(
    Millis now,
    const RequestDigest& digest,
    const std::string& service,
    const std::vector<TrialCandidate>& candidates,
    Millis expires_at,
    TrialRegistry& registry);

/// Ends the trial, whatever its outcome.
void EndTrial(const RequestDigest& digest, TrialRegistry& registry);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TRIAL_REGISTRY_H_
