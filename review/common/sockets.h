#ifndef ALMONDLINK_REVIEW_COMMON_SOCKETS_H_
#define ALMONDLINK_REVIEW_COMMON_SOCKETS_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Blocking sockets on loopback for the stand-ins of the review, with control
/// over every byte and over how a connection ends.
namespace almondlink::review {

/// Milliseconds of the steady clock.
std::int64_t NowMs();
void SleepMs(std::int64_t milliseconds);

/// The parts, one after the other.
std::string Join(std::initializer_list<std::string_view> parts);

/// A connected socket; closed with the object. Not thread safe.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int handle_in) : handle(handle_in) {}
  ~Socket() { this->Close(); }
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Connects within a second; not open if it fails.
  static Socket Connect(const std::string& ip, int port);

  bool IsOpen() const { return this->handle >= 0; }
  /// Sends all bytes; false if the connection fails or does not take them in
  /// `timeout_ms`.
  bool Send(const std::string& bytes, std::int64_t timeout_ms = 20'000);
  /// Appends what arrives within `timeout_ms`. Returns the number of bytes, 0
  /// at the end of the stream, -1 after a reset or another error, -2 if nothing
  /// arrived in time.
  long Receive(std::string& bytes, std::int64_t timeout_ms);
  /// Ends the connection with a reset.
  void Reset();
  /// Sends the end of the stream; the other direction stays open.
  void ShutdownSend() const;
  /// Ends both directions; waiting calls return.
  void Shutdown() const;
  /// Sets the size of the buffers for both directions.
  void SetBuffers(int bytes) const;
  void Close();

 private:
  int handle = -1;
};

/// Head of a message, and the bytes that were read behind it.
struct Head {
  std::string start_line;
  /// Fields by lower-case name.
  std::map<std::string, std::string> fields;
  /// Bytes after the head.
  std::string rest;
  std::string Field(const std::string& lower_name) const;
};

/// Reads up to the end of a head; `buffer` holds bytes that were read before.
bool ReadHead(Socket& socket,
              std::string buffer,
              std::int64_t timeout_ms,
              Head& head);

/// A request as clients of the platform send it; a body is sent with its
/// length.
std::string MakeRequest(std::string_view method,
                        std::string_view host,
                        std::string_view path,
                        std::string_view id,
                        std::int64_t deadline_ms,
                        std::string_view body = {});
/// Head of a success as instances send it; `framing`: further lines, with their
/// ends.
std::string MakeSuccess(std::string_view id, std::string_view framing);

/// Why the reading of an answer ended.
enum class AnswerEnd {
  /// The answer is complete by its framing.
  kComplete,
  /// The connection ended before the answer was complete.
  kCutShort,
  /// Bytes came that are not part of an HTTP/1.1 answer.
  kNoProtocol,
  /// Nothing more came in the given time.
  kTimeout,
  /// The connection could not be opened or used.
  kNoConnection,
};
const char* ToString(AnswerEnd end);

/// An answer as a client sees it.
struct Answer {
  AnswerEnd end = AnswerEnd::kNoConnection;
  int status = 0;
  Head head;
  std::string body;
  /// First bytes that do not belong to the protocol.
  std::string foreign;
  std::int64_t took_ms = 0;
};

/// Reads one answer until `until_ms` (NowMs). Calls `on_bytes` after each part,
/// if given.
Answer ReadAnswer(Socket& socket,
                  std::int64_t until_ms,
                  const std::function<void(const Answer&)>& on_bytes = nullptr);

/// Accepts connections at an address and serves each in a thread.
class Server {
 public:
  using Handler = std::function<void(Socket& socket)>;
  Server(const std::string& ip, int port, Handler handler);
  /// Stops to accept. Threads of open connections end with the process.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  int handle = -1;
  std::thread thread;
};

}  // namespace almondlink::review

#endif  // ALMONDLINK_REVIEW_COMMON_SOCKETS_H_
