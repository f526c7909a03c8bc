#ifndef ALMONDLINK_REVIEW_COMMON_2_NET_H_
#define ALMONDLINK_REVIEW_COMMON_2_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Blocking sockets on loopback for the review's cases: a record of what
/// happened, a client, an application instance and a proxy.
namespace almondlink::review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the program started.
std::int64_t NowMs();
void SleepMs(std::int64_t milliseconds);

/// Lines with their times, in the file `record.txt` of a case. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex;
  std::ofstream out;
};

/// An address on loopback.
struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// A port that is free at `ip` now.
int FreePort(const std::string& ip);

/// Owns a file descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : fd(descriptor) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  bool IsOpen() const { return this->fd >= 0; }
  int Fd() const { return this->fd; }
  bool SendAll(const std::string& bytes) const;
  /// Reads what is there within `wait_ms`. Returns the number of bytes, 0 at
  /// the end of the stream, -1 after a reset, -2 if nothing came in time.
  int ReadSome(std::string& out, std::int64_t wait_ms) const;
  /// Ends reads and writes of other threads.
  void Shutdown() const;

 private:
  int fd = -1;
};

Socket Connect(const Address& address);

/// A listening socket that hands its connections to threads.
class Listener {
 public:
  using Handler = std::function<void(Socket socket)>;
  Listener(const Address& address, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Listens no more; the connections stay.
  void Stop();

 private:
  void Accept();

  Handler handler;
  Socket socket;
  std::atomic<bool> is_stopped{false};
  std::mutex mutex;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

/// One HTTP message head with its fields; names in lower case.
struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string Field(const std::string& lower_name) const;
};

/// Parses the text before the empty line.
Head ParseHead(const std::string& text);

/// How an answer ended for its client.
enum class End {
  kComplete,
  /// The connection ended before the answer was complete.
  kClosed,
  /// Bytes that are no part of an answer.
  kNoAnswer,
  /// Nothing final had come when the client gave up.
  kGaveUp,
};

const char* ToString(End end);

struct Answer {
  End end = End::kGaveUp;
  int status = 0;
  Head head;
  std::string body;
  /// The bytes that were no part of an answer.
  std::string stray;
  /// When the request was sent, and when its answer ended.
  std::int64_t sent_at = 0;
  std::int64_t ended_at = 0;
};

struct Request {
  std::string method = "GET";
  std::string path = "/";
  std::string host;
  std::string id;
  std::int64_t deadline_ms = 5000;
  std::string body;
};

std::string RequestBytes(const Request& request);

/// Sends the request and reads its answer until it ends or `patience_ms` have
/// passed.
Answer Send(const Address& node,
            const Request& request,
            std::int64_t patience_ms);

/// Sends the request on an open connection.
Answer SendOn(const Socket& socket,
              const Request& request,
              std::int64_t patience_ms);

/// A proxy whose open connections can go silent: they stay open and carry
/// nothing any more, while new ones work.
class Proxy {
 public:
  Proxy(const Address& near, const Address& far);
  ~Proxy();
  void Silence();

 private:
  struct Pair;
  void Carry(Socket near);

  Address far;
  std::mutex mutex;
  std::vector<std::shared_ptr<Pair>> pairs;
  std::unique_ptr<Listener> listener;
};

}  // namespace almondlink::review

#endif  // ALMONDLINK_REVIEW_COMMON_2_NET_H_
