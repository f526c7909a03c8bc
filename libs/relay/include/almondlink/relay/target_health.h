#ifndef ALMONDLINK_RELAY_TARGET_HEALTH_H_
#define ALMONDLINK_RELAY_TARGET_HEALTH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "almondlink/relay/header_names.h"

/// The health check of the target beside this node: one GET request. A target
/// passes it while it considers itself healthy and is not leaving.
namespace almondlink::relay {

struct HealthAnswer {
  /// 0 if the target did not answer in time.
  std::uint32_t status = 0;
  /// Id of the instance that answered; empty if it named none.
  std::string instance_id;
};

bool IsHealthy(const HealthAnswer& answer);

/// Sends the request on a new connection and closes it after the answer's head.
/// `done` is called once, from the event loop, after about a second at most.
/// `names` must outlive the check. Precondition: `path` can stand in a request
/// line.
void AskForHealth(boost::asio::io_context& loop,
                  const boost::asio::ip::tcp::endpoint& address,
                  const HeaderNames& names,
                  const std::string& path,
                  std::function<void(const HealthAnswer&)> done);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_TARGET_HEALTH_H_
