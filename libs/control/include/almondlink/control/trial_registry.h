#ifndef ALMONDLINK_CONTROL_TRIAL_REGISTRY_H_
#define ALMONDLINK_CONTROL_TRIAL_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/request_digest.h"

/// Trials of requests that targets ended under
/// (almondlink/control/quarantine.h), as the one node knows them that permits
/// those of a service.
///
/// A request is tried once at a time, whoever sends it, and each trial has a
/// target to itself, so that an end names one request. While there is another
/// one, one target of the service is left without a trial.
namespace almondlink::control {

/// A target of the service that takes calls.
struct TrialCandidate {
  /// Node beside it.
  std::string node;
  /// Calls that would be lost with it.
  std::uint32_t calls_in_flight = 0;
};

/// One that is under way.
struct Trial {
  std::string service;
  std::string node;
  /// Then nobody waits for it any more.
  Millis expires_at;
};

/// Plain data; one thread at a time.
struct TrialRegistry {
  std::map<RequestDigest, Trial> trials;
};

/// Permits a trial of the request until `until`, at the place returned: that
/// with the fewest calls. Nothing if it must wait.
std::optional<std::string> PermitTrial(
    Millis now,
    const RequestDigest& digest,
    const std::string& service,
    const std::vector<TrialCandidate>& candidates,
    Millis expires_at,
    TrialRegistry& registry);

/// The trial is over, whatever came of it.
void EndTrial(const RequestDigest& digest, TrialRegistry& registry);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TRIAL_REGISTRY_H_
