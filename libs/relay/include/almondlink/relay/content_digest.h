#ifndef ALMONDLINK_RELAY_CONTENT_DIGEST_H_
#define ALMONDLINK_RELAY_CONTENT_DIGEST_H_

#include <string_view>

#include "almondlink/control/request_digest.h"

namespace almondlink::relay {

/// The parts of a request that identify its content. Two requests with equal
/// content are repeats of each other, even if their ids, deadlines, other
/// fields or connections differ.
struct RequestContent {
  std::string_view deployment;
  /// Host of the route, not as the caller spelled it.
  std::string_view host;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  /// Name of the client account; the credentials as sent if the policy has no
  /// accounts.
  std::string_view account;
  std::string_view body;
};

/// Hash of path and query; the `path` part of the digest. Thread safe.
std::uint64_t PathHashOf(std::string_view target);

/// Digest of the content, equal on all nodes of a deployment. Thread safe.
control::RequestDigest DigestOf(const RequestContent& content);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_CONTENT_DIGEST_H_
