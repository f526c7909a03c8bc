#ifndef ALMONDLINK_RELAY_HEADER_NAMES_H_
#define ALMONDLINK_RELAY_HEADER_NAMES_H_

#include <string>

namespace almondlink::relay {

/// Names of the HTTP fields that the relay evaluates. An adapter fills them in;
/// the relay itself defines no field name.
struct HeaderNames {
  /// Id of one attempt of a caller; targets return it in their answers.
  std::string request_id;
  /// Milliseconds for which the caller still waits.
  std::string time_left;
  /// Service of the host on which a request began; set by the relay.
  std::string caller_service;
  /// Id of the instance that is to run the request; set by the relay.
  std::string target_instance;
  /// Marks an answer that the target itself produced.
  std::string seal;
  /// Marks an answer which states that the request has not run.
  std::string not_run;
  /// Id of the instance that answered; present on some answers only.
  std::string instance_id;
  /// Name of the client account that a request belongs to; set by the relay
  /// where the policy has accounts.
  std::string account;
  /// Requests per second that the target accepts from all nodes together, in
  /// its answers while it needs relief.
  std::string rate_limit;
  /// Marks the answers of a target that is leaving.
  std::string leaving;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_HEADER_NAMES_H_
