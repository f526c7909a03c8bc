#ifndef ALMONDLINK_RELAY_RELAY_SETTINGS_H_
#define ALMONDLINK_RELAY_RELAY_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"
#include "almondlink/control/repeat_allowance.h"
#include "almondlink/relay/header_names.h"

namespace almondlink::relay {

/// Everything that a relay is started with.
struct RelaySettings {
  NodeId node;
  std::string deployment;
  ZoneName zone;
  /// Service of the target beside this node; callers on this host speak in its
  /// name.
  ServiceName service;
  boost::asio::ip::tcp::endpoint caller_address;
  boost::asio::ip::tcp::endpoint peer_address;
  /// What other nodes are told of it; the address itself if not set.
  boost::asio::ip::tcp::endpoint advertised_address;
  boost::asio::ip::tcp::endpoint target_address;
  HeaderNames names;
  /// Time after which a leaving instance must get nothing more.
  Millis drain{2000};
  /// Time between the stop signal and the end that is forced.
  Millis grace{6000};
  /// Bound on requests that are sent to a second target.
  control::RepeatRules repeats;
  /// Id of the request that a request's id names as the one it was made for;
  /// empty if it is a root request.
  std::function<std::string_view(std::string_view id)> parent_of;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_RELAY_SETTINGS_H_
