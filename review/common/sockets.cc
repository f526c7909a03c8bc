#include "review/common/sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace almondlink::review {

namespace {

constexpr int kBacklog = 256;
constexpr int kConnectTimeoutMs = 1000;
constexpr int kStatusStart = 9;
constexpr int kHexBase = 16;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Waits for an event of the socket; false if none came in time.
bool Await(int handle, short events, std::int64_t timeout_ms) {
  pollfd entry{handle, events, 0};
  return poll(&entry, 1,
              static_cast<int>(std::max<std::int64_t>(0, timeout_ms))) == 1;
}

/// State of the chunked framing of an answer.
struct ChunkReader {
  std::string raw;
  bool is_done = false;
  bool is_bad = false;
  std::string foreign;

  /// Moves the complete chunks of `raw` to `body`.
  void Take(std::string& body) {
    while (!this->is_done && !this->is_bad) {
      const std::size_t line_end = this->raw.find("\r\n");
      if (line_end == std::string::npos) {
        this->CheckStart();
        return;
      }
      char* parsed = nullptr;
      const unsigned long size =
          std::strtoul(this->raw.c_str(), &parsed, kHexBase);
      if (parsed == this->raw.c_str() || (*parsed != '\r' && *parsed != ';')) {
        this->Fail();
        return;
      }
      const std::size_t needed = line_end + 2 + size + 2;
      if (this->raw.size() < needed) {
        return;
      }
      body.append(this->raw, line_end + 2, size);
      this->raw.erase(0, needed);
      this->is_done = size == 0;
    }
  }

 private:
  void CheckStart() {
    if (!this->raw.empty() &&
        std::isxdigit(static_cast<unsigned char>(this->raw.front())) == 0 &&
        this->raw.front() != '\r') {
      this->Fail();
    }
  }
  void Fail() {
    constexpr std::size_t kShown = 60;
    this->is_bad = true;
    this->foreign = this->raw.substr(0, kShown);
  }
};

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string all;
  for (const std::string_view part : parts) {
    all += part;
  }
  return all;
}

Socket::Socket(Socket&& other) noexcept
    : handle(std::exchange(other.handle, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  this->Close();
  this->handle = std::exchange(other.handle, -1);
  return *this;
}

Socket Socket::Connect(const std::string& ip, int port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Socket made(handle);
  fcntl(handle, F_SETFL, O_NONBLOCK);
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  const int begun = connect(handle, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address));
  if (begun != 0 && errno != EINPROGRESS) {
    return {};
  }
  int error = 0;
  socklen_t size = sizeof(error);
  const bool is_ready = Await(handle, POLLOUT, kConnectTimeoutMs);
  getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
  return is_ready && error == 0 ? std::move(made) : Socket();
}

bool Socket::Send(const std::string& bytes, std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  std::size_t sent = 0;
  while (this->IsOpen() && sent < bytes.size()) {
    const long size = send(this->handle, bytes.data() + sent,
                           bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) {
      sent += static_cast<std::size_t>(size);
      continue;
    }
    const bool must_wait = errno == EAGAIN || errno == EINTR;
    if (!must_wait || !Await(this->handle, POLLOUT, until - NowMs())) {
      return false;
    }
  }
  return sent == bytes.size();
}

long Socket::Receive(std::string& bytes, std::int64_t timeout_ms) {
  constexpr std::size_t kPart = 64 * 1024;
  if (!this->IsOpen()) {
    return -1;
  }
  if (!Await(this->handle, POLLIN, timeout_ms)) {
    return -2;
  }
  std::string part(kPart, '\0');
  const long size = recv(this->handle, part.data(), part.size(), MSG_DONTWAIT);
  if (size > 0) {
    bytes.append(part, 0, static_cast<std::size_t>(size));
  }
  return size < 0 && errno == EAGAIN ? -2 : size;
}

void Socket::Reset() {
  const linger abort{1, 0};
  setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  this->Close();
}

void Socket::ShutdownSend() const {
  shutdown(this->handle, SHUT_WR);
}

void Socket::Shutdown() const {
  shutdown(this->handle, SHUT_RDWR);
}

void Socket::SetBuffers(int bytes) const {
  setsockopt(this->handle, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  setsockopt(this->handle, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

void Socket::Close() {
  if (this->handle >= 0) {
    close(std::exchange(this->handle, -1));
  }
}

std::string Head::Field(const std::string& lower_name) const {
  const auto found = this->fields.find(lower_name);
  return found == this->fields.end() ? std::string() : found->second;
}

bool ReadHead(Socket& socket,
              std::string buffer,
              std::int64_t timeout_ms,
              Head& head) {
  const std::int64_t until = NowMs() + timeout_ms;
  std::size_t end = buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (socket.Receive(buffer, until - NowMs()) <= 0) {
      return false;
    }
    end = buffer.find("\r\n\r\n");
  }
  head = Head();
  head.rest = buffer.substr(end + 4);
  std::size_t line = buffer.find("\r\n");
  head.start_line = buffer.substr(0, line);
  while (line < end) {
    const std::size_t start = line + 2;
    line = buffer.find("\r\n", start);
    const std::size_t colon = buffer.find(':', start);
    std::string name = buffer.substr(start, colon - start);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const std::size_t value = buffer.find_first_not_of(' ', colon + 1);
    head.fields[name] =
        value < line ? buffer.substr(value, line - value) : std::string();
  }
  return true;
}

std::string MakeRequest(std::string_view method,
                        std::string_view host,
                        std::string_view path,
                        std::string_view id,
                        std::int64_t deadline_ms,
                        std::string_view body) {
  const std::string deadline = std::to_string(deadline_ms);
  const std::string length = std::to_string(body.size());
  std::string request =
      Join({method, " ", path, " HTTP/1.1\r\nHost: ", host,
            "\r\nRequest-Id: ", id, "\r\nDeadline-Ms: ", deadline, "\r\n"});
  if (!body.empty()) {
    request += Join({"Content-Length: ", length, "\r\n"});
  }
  return Join({request, "\r\n", body});
}

std::string MakeSuccess(std::string_view id, std::string_view framing) {
  return Join({"HTTP/1.1 200 OK\r\nRequest-Id: ", id,
               "\r\nResponse-Seal: seal-", id, "\r\n", framing, "\r\n"});
}

const char* ToString(AnswerEnd end) {
  switch (end) {
    case AnswerEnd::kComplete:
      return "complete";
    case AnswerEnd::kCutShort:
      return "cut short";
    case AnswerEnd::kNoProtocol:
      return "no protocol";
    case AnswerEnd::kTimeout:
      return "timeout";
    case AnswerEnd::kNoConnection:
      return "no connection";
  }
  return "";
}

Answer ReadAnswer(Socket& socket,
                  std::int64_t until_ms,
                  const std::function<void(const Answer&)>& on_bytes) {
  const std::int64_t started = NowMs();
  Answer answer;
  const auto finish = [&answer, started](AnswerEnd end) {
    answer.end = end;
    answer.took_ms = NowMs() - started;
    return answer;
  };
  if (!ReadHead(socket, "", until_ms - started, answer.head)) {
    return finish(NowMs() >= until_ms ? AnswerEnd::kTimeout
                                      : AnswerEnd::kCutShort);
  }
  if (answer.head.start_line.rfind("HTTP/1.1 ", 0) != 0) {
    answer.foreign = answer.head.start_line;
    return finish(AnswerEnd::kNoProtocol);
  }
  answer.status = std::atoi(answer.head.start_line.c_str() + kStatusStart);
  const bool is_chunked = answer.head.Field("transfer-encoding") == "chunked";
  const std::string length = answer.head.Field("content-length");
  ChunkReader chunks;
  chunks.raw = answer.head.rest;
  answer.body = is_chunked ? std::string() : answer.head.rest;
  while (true) {
    if (is_chunked) {
      chunks.Take(answer.body);
      answer.foreign = chunks.foreign;
    }
    if (on_bytes) {
      on_bytes(answer);
    }
    if (chunks.is_bad) {
      return finish(AnswerEnd::kNoProtocol);
    }
    const bool is_whole =
        is_chunked
            ? chunks.is_done
            : !length.empty() && answer.body.size() >= std::stoul(length);
    if (is_whole) {
      return finish(AnswerEnd::kComplete);
    }
    const long size = socket.Receive(is_chunked ? chunks.raw : answer.body,
                                     until_ms - NowMs());
    if (size == -2) {
      return finish(AnswerEnd::kTimeout);
    }
    if (size <= 0) {
      const bool is_end = size == 0 && !is_chunked && length.empty();
      return finish(is_end ? AnswerEnd::kComplete : AnswerEnd::kCutShort);
    }
  }
}

Server::Server(const std::string& ip, int port, Handler handler)
    : handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(this->handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(this->handle, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(this->handle, kBacklog) != 0) {
    throw std::runtime_error("cannot listen at " + ip + ":" +
                             std::to_string(port));
  }
  this->thread = std::thread([this, handler = std::move(handler)]() {
    while (true) {
      const int taken = accept4(this->handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (taken < 0) {
        return;
      }
      setsockopt(taken, IPPROTO_TCP, TCP_NODELAY, &kBacklog, sizeof(kBacklog));
      std::thread([taken, handler]() {
        Socket socket(taken);
        handler(socket);
      }).detach();
    }
  });
}

Server::~Server() {
  shutdown(this->handle, SHUT_RDWR);
  this->thread.join();
  close(this->handle);
}

}  // namespace almondlink::review
