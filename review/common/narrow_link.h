#ifndef ALMONDLINK_REVIEW_COMMON_NARROW_LINK_H_
#define ALMONDLINK_REVIEW_COMMON_NARROW_LINK_H_

#include <cstdint>
#include <memory>
#include <string>

#include "review/common/sockets.h"

namespace almondlink::review {

/// A proxy for connections to a node that passes bytes on at the rate of the
/// machine's network link, in each direction together for all connections. It
/// holds a few kilobytes; what does not fit waits at the sender.
class NarrowLink {
 public:
  /// Accepts at `ip`:`port` and connects to `ip`:`target_port`.
  NarrowLink(const std::string& ip, int port, int target_port, double mbps);

 private:
  std::unique_ptr<Server> server;
};

}  // namespace almondlink::review

#endif  // ALMONDLINK_REVIEW_COMMON_NARROW_LINK_H_
