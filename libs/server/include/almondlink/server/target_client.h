#ifndef ALMONDLINK_SERVER_TARGET_CLIENT_H_
#define ALMONDLINK_SERVER_TARGET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/strong.h"
#include "almondlink/config/setting.h"
#include "almondlink/server/http_types.h"

namespace almondlink::server {

/// One request to the target.
struct TargetRequest {
  std::string method;
  std::string target;
  Headers headers;
  Body body;
  /// Running time, see almondlink/base/running_clock.h.
  Millis timeout{1000};
  /// At-most-once requests go on a connection of their own.
  bool needs_fresh_connection = false;
};

/// What came of it. `error` is kNone if the target's whole answer is there;
/// kConnectFailed if no byte was handed to a connection.
struct TargetAnswer {
  ErrorKind error = ErrorKind::kNone;
  std::uint32_t status = 0;
  Headers headers;
  Body body;
  /// Answers of other requests that came on the connection and were dropped.
  std::uint32_t foreign = 0;
};

using TargetHandler = std::function<void(TargetAnswer)>;
using TargetCallId = Strong<struct TargetCallIdTag, std::uint64_t>;

/// What a TargetClient needs.
struct TargetClientConfig {
  config::Endpoint address;
  std::size_t max_connections = 256;
  Millis connect_timeout{1000};
  std::size_t max_body = 1024 * 1024;
  std::size_t max_header = 16 * 1024;
  /// Keeps connections to a target that does not return attempt ids.
  bool needs_no_id = false;
};

/// What happened since the start.
struct TargetClientCounts {
  std::uint64_t connects = 0;
  std::uint64_t reuses = 0;
  /// Answers that came without an attempt id.
  std::uint64_t without_id = 0;
  /// Answers of other requests, and idle connections with bytes that nobody
  /// had asked for.
  std::uint64_t surplus = 0;
};

/// HTTP/1.1 client to the one target beside this node. A connection carries one
/// request at a time and is used again only after a whole answer with its
/// request's attempt id and nothing behind it; one whose answer timed out, was
/// cut or is not valid is closed. Targets that do not return the id get a
/// connection for each request. So no answer can reach another request, see
/// almondlink/control/answer_match.h. All methods are called on the thread of
/// its loop.
class TargetClient {
 public:
  TargetClient(boost::asio::io_context& loop, const TargetClientConfig& config);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /// Sends a request; the handler is called once, unless it is cancelled.
  TargetCallId Send(TargetRequest request, TargetHandler on_answer);

  /// Gives a request up by closing its connection; its handler is not called.
  /// Returns whether any byte was handed to the connection.
  bool Cancel(TargetCallId call);

  /// Connections that are open or being opened.
  std::size_t ConnectionCount() const;

  TargetClientCounts Counts() const;

  /// For samples of the time that requests take: a stall of the loop is not
  /// time that the target took.
  LatencyMs RunningNow();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_TARGET_CLIENT_H_
