#ifndef ALMONDLINK_RELAY_TESTS_SCRIPTED_TARGET_H_
#define ALMONDLINK_RELAY_TESTS_SCRIPTED_TARGET_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "almondlink/relay/target_pool.h"

namespace almondlink::relay {

/// The target's end of one connection. Blocking; a script decides about each
/// byte.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(boost::asio::ip::tcp::socket socket_in)
      : socket(std::move(socket_in)) {}

  /// Reads the head of the next request; empty if the node closed.
  std::string ReadHead();
  /// Reads bytes of the body; false if the node closed before.
  bool ReadBody(std::size_t size);
  /// False if the node has closed the connection.
  bool Send(const std::string& bytes);
  /// Sends the bytes again and again until the node closes, at most `limit`
  /// bytes. Returns how many were sent.
  std::size_t SendEndlessly(const std::string& bytes, std::size_t limit);
  void Reset();
  void ShutdownSend();
  /// Ends all that blocks; from any thread.
  void Abort();

 private:
  /// Reads what is there; false if the node closed.
  bool Receive();

  boost::asio::ip::tcp::socket socket;
  std::string buffer;
};

/// A target whose behaviour is a script, called for each connection on a thread
/// of its own with the number of the connection, from 0.
class ScriptedTarget {
 public:
  using Script = std::function<void(ScriptedConnection&, int number)>;

  explicit ScriptedTarget(Script script);
  ~ScriptedTarget();
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  boost::asio::ip::tcp::endpoint Address() const;
  /// Connections accepted so far.
  int Accepted() const { return this->accepted; }

 private:
  struct Served {
    explicit Served(boost::asio::ip::tcp::socket socket)
        : connection(std::move(socket)) {}
    ScriptedConnection connection;
    std::thread thread;
  };
  void Accept();

  Script script;
  boost::asio::io_context loop;
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<int> accepted{0};
  std::mutex mutex;
  std::list<Served> served;
  bool is_stopped = false;
  std::thread thread;
};

/// What came of one exchange.
struct ExchangeResult {
  /// An answer, whole or in parts, or a failure has ended the exchange.
  bool is_over = false;
  std::optional<AnswerHead> head;
  std::string body;
  /// The answer ended prematurely.
  bool is_broken = false;
  std::optional<CallReason> failure;
  bool was_sent = false;

  /// Whether it looks to a receiver as a complete success.
  bool IsWholeSuccess() const {
    return this->is_over && this->head.has_value() &&
           this->head->status == 200 && !this->is_broken;
  }
};

/// A pool with its loop, which sends one request after the other.
class PoolDriver {
 public:
  explicit PoolDriver(const ScriptedTarget& target);

  /// Sends the request and runs the loop until the exchange is over, or for
  /// `wait`. The receiver consumes all parts at once.
  ExchangeResult Send(const std::string& id,
                      const std::string& bytes,
                      Millis wait = Millis{5000},
                      bool is_repeatable = true);
  /// What later exchanges are told when their new connection is open.
  void SetMaySend(bool may_send_in) { this->may_send = may_send_in; }
  /// Runs the loop for that time.
  void Run(Millis time);
  TargetPool& Pool() { return this->pool; }

 private:
  boost::asio::io_context loop;
  TargetPool pool;
  bool may_send = true;
};

/// A request with its id; `body_size` bytes follow the head.
std::string MakeTargetRequest(const std::string& id, std::size_t body_size = 0);

/// A success with its mark. `framing`: the lines that tell its length.
std::string MakeSuccess(const std::string& id,
                        const std::string& framing,
                        const std::string& body);
/// An answer which states that the request has not run.
std::string MakeRefusal(const std::string& id);

/// The id in a request's head.
std::string IdIn(const std::string& head);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_TESTS_SCRIPTED_TARGET_H_
