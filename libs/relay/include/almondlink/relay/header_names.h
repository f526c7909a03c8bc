#ifndef ALMONDLINK_RELAY_HEADER_NAMES_H_
#define ALMONDLINK_RELAY_HEADER_NAMES_H_

#include <string>

namespace almondlink::relay {

/// Names of the HTTP fields that carry what the relay decides by. An adapter
/// fills them in; the relay itself knows no name.
struct HeaderNames {
  /// Id of one attempt of a caller; echoed by targets.
  std::string request_id;
  /// Milliseconds that the caller still waits.
  std::string time_left;
  /// Service of the host on which a request began; set by the relay.
  std::string caller_service;
  /// Id of the instance that is to run the request; set by the relay.
  std::string target_instance;
  /// Mark of an answer that a target made itself.
  std::string seal;
  /// Mark of an answer that says that the request has not run.
  std::string not_run;
  /// Id of the instance that answered, on some answers.
  std::string instance_id;
  /// Name of the client account that a request belongs to; set by the relay
  /// where the policy has accounts.
  std::string account;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_HEADER_NAMES_H_
