#ifndef ALMONDLINK_RELAY_CONTENT_DIGEST_H_
#define ALMONDLINK_RELAY_CONTENT_DIGEST_H_

#include <string_view>

#include "almondlink/control/request_digest.h"

namespace almondlink::relay {

/// What makes two requests the same one, sent again. Ids, deadlines, further
/// fields and connections may differ.
struct RequestContent {
  std::string_view deployment;
  /// Of the route, not as the caller spelled it.
  std::string_view host;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  /// The client account, or what the caller gave to prove who it is where the
  /// policy knows no accounts.
  std::string_view account;
  std::string_view body;
};

/// The part of the digest that tells paths apart. Thread safe.
std::uint64_t PathHashOf(std::string_view target);

/// The same on all nodes of a deployment. Thread safe.
control::RequestDigest DigestOf(const RequestContent& content);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_CONTENT_DIGEST_H_
