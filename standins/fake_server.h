#ifndef ALMONDLINK_STANDINS_FAKE_SERVER_H_
#define ALMONDLINK_STANDINS_FAKE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace almondlink::standins {

using FakeRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// What a fake server does with one request.
struct Reaction {
  /// Written as it is; empty writes nothing.
  std::string bytes;
  /// Written after a pause.
  std::string late_bytes;
  std::chrono::milliseconds pause{0};
  /// Written again and again until the caller closes, if it is not empty.
  std::string endless_bytes;
  /// Close afterwards; with `resets` by a reset instead of a proper end.
  bool closes = false;
  bool resets = false;
  /// Keep the connection open and answer nothing on it any more.
  bool hangs = false;
};

/// What a fake server does before it has read the whole body of a request.
struct BodyReaction {
  /// Bytes of the body that are read first.
  std::size_t after = 0;
  /// Written then.
  std::string bytes;
  /// The rest of the body is read after this pause.
  std::chrono::milliseconds pause{0};
  /// Written when the body has been read; the connection is closed then.
  std::string last_bytes;
  /// Reset the connection in place of reading the rest.
  bool resets = false;
  /// Read nothing more; the socket is closed when the server ends.
  bool stops = false;
  std::function<void()> on_stop;
};

/// Tells a handler whether its caller has closed the connection.
using IsGone = std::function<bool()>;
using FakeHandler =
    std::function<Reaction(const FakeRequest& request, const IsGone& is_gone)>;

/// Called with the head of each request that has a body. A request for which it
/// returns a reaction is not passed to the FakeHandler.
using FakeHead = boost::beast::http::request_header<>;
using FakeBodyHandler =
    std::function<std::optional<BodyReaction>(const FakeHead& head)>;

/// Returns bytes that belong to no request. They are written when a request has
/// been read that is not the first of its connection, before it is handled.
using FakeStrayBytes = std::function<std::string()>;

/// A blocking HTTP/1.1 server for stand-ins: a thread for each connection, and
/// full power over the bytes. The handler is called by many threads.
class FakeServer {
 public:
  FakeServer(int port,
             FakeHandler handler,
             FakeBodyHandler body_handler = nullptr,
             FakeStrayBytes stray_bytes = nullptr);
  /// Closes all connections and joins the threads.
  ~FakeServer();
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

 private:
  struct Connection;
  void Accept();
  void Serve(Connection& connection);

  FakeHandler handler;
  FakeBodyHandler body_handler;
  FakeStrayBytes stray_bytes;
  boost::asio::io_context loop;
  boost::asio::ip::tcp::acceptor acceptor;
  std::mutex mutex;
  std::list<Connection> connections;
  bool is_stopped = false;
  std::thread thread;
};

/// An answer with a length. `fields`: further lines with their ends.
std::string MakeAnswer(unsigned status,
                       const std::string& fields,
                       const std::string& body);

/// Value of `name` in the query of a target; empty if it is not there.
std::string QueryValue(const std::string& target, const std::string& name);

}  // namespace almondlink::standins

#endif  // ALMONDLINK_STANDINS_FAKE_SERVER_H_
