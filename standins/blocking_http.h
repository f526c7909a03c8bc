#ifndef ALMONDLINK_STANDINS_BLOCKING_HTTP_H_
#define ALMONDLINK_STANDINS_BLOCKING_HTTP_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "almondlink/config/setting.h"

namespace almondlink::standins {

/// A request of a plain blocking client.
struct PlainRequest {
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Its answer; `status` 0 when there was none (`error` says why).
struct PlainAnswer {
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string error;

  /// Field by lower-case name; empty if there is none.
  std::string Header(const std::string& lower_name) const;
};

/// A kept-alive connection to one server, for callers in tests, the demo and
/// benches. Not thread safe.
class BlockingHttp {
 public:
  explicit BlockingHttp(
      const config::Endpoint& server,
      std::chrono::milliseconds timeout = std::chrono::seconds(20));
  ~BlockingHttp();
  BlockingHttp(BlockingHttp&&) noexcept;

  /// Sends one request and reads the answer; connects when there is no open
  /// connection. Never repeats a request.
  PlainAnswer Send(const PlainRequest& request);

  /// Connects ahead of the first request; false if it cannot.
  bool Connect();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace almondlink::standins

#endif  // ALMONDLINK_STANDINS_BLOCKING_HTTP_H_
