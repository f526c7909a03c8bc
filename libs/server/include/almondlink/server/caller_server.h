#ifndef ALMONDLINK_SERVER_CALLER_SERVER_H_
#define ALMONDLINK_SERVER_CALLER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/config/setting.h"
#include "almondlink/server/http_types.h"

namespace almondlink::server {

/// One request that waits for its answer. Used on the thread of the loop that
/// delivered it.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  /// Sends the answer. Call once; further calls do nothing.
  virtual void Send(CallerAnswer answer) = 0;

  /// Sets what to do when the caller leaves before its answer.
  virtual void SetGoneHandler(std::function<void()> on_gone) = 0;
};

/// Takes a request on the loop with that index.
using RequestHandler = std::function<void(std::size_t loop,
                                          CallerRequest request,
                                          std::shared_ptr<CallerExchange>)>;

/// What a CallerServer needs.
struct CallerServerConfig {
  config::Endpoint address;
  std::size_t max_connections = 4000;
  std::size_t max_body = 1024 * 1024;
  std::size_t max_header = 16 * 1024;
  Millis idle_timeout{60'000};
  /// Requests a second on one connection; above it the next one is read only
  /// after a pause.
  double max_rate = 20'000;
};

/// Counters of a CallerServer.
struct CallerServerStats {
  std::uint64_t open_connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t turned_away = 0;
};

/// HTTP/1.1 server for callers on Boost.Beast. Connections are dealt to the
/// loops in turn and stay there. Malformed requests are answered here, from the
/// table of error kinds.
class CallerServer {
 public:
  /// The loops must outlive the server and be run by one thread each.
  CallerServer(std::vector<boost::asio::io_context*> loops,
               const CallerServerConfig& config,
               RequestHandler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Opens the port. Errors: kIo. Call before the loops run.
  Result<void> Listen();

  /// Answers from now on with `Connection: close`, so that callers go
  /// elsewhere. Thread safe.
  void StartDraining();

  /// Takes StartDraining back. Thread safe.
  void StopDraining();

  /// Accepts no further connections and closes those that are idle. Thread
  /// safe.
  void StopAccepting();

  /// After StopAccepting: whether nothing is left to accept, read or write.
  /// Thread safe.
  bool IsDone() const;

  /// Waits until IsDone(), `longest` at most: a caller that stalls is not
  /// waited for. Not from a thread of the loops.
  void WaitUntilDone(Millis longest) const;

  /// Thread safe.
  CallerServerStats Stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_CALLER_SERVER_H_
