#ifndef ALMONDLINK_SERVER_ADMIN_SERVER_H_
#define ALMONDLINK_SERVER_ADMIN_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "almondlink/base/error.h"
#include "almondlink/config/setting.h"

namespace almondlink::server {

/// A request to the admin port.
struct AdminRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
};

/// Its answer.
struct AdminAnswer {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Called on threads of the server, several at once.
using AdminHandler = std::function<AdminAnswer(const AdminRequest&)>;

/// HTTP server for operators and the local target, by cxxtools. Its cost grows
/// with open connections, which is why callers are not served by it.
class AdminServer {
 public:
  /// `handlers` maps whole paths, for example `/dump`.
  AdminServer(const config::Endpoint& address,
              std::map<std::string, AdminHandler> handlers);
  /// Stops and joins the server's threads.
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Opens the port and starts to serve. Errors: kIo.
  Result<void> Start();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_ADMIN_SERVER_H_
