#include "review/common-2/net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace almondlink::review {

namespace {

constexpr std::size_t kPiece = 64 * 1024;
constexpr std::int64_t kLook = 100;

sockaddr_in ToSystem(const Address& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
  return system;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Reads the chunks of a body. Returns false while more is to come.
bool ReadChunks(std::string& input, Answer& answer) {
  while (true) {
    const std::size_t line = input.find("\r\n");
    std::string shown = input.substr(0, line);
    if (line == std::string::npos && !shown.empty() && shown.back() == '\r') {
      shown.pop_back();
    }
    const bool is_number =
        !shown.empty() &&
        std::all_of(shown.begin(), shown.end(), [](unsigned char letter) {
          return std::isxdigit(letter) != 0;
        });
    if (!is_number && !shown.empty()) {
      answer.end = End::kNoAnswer;
      answer.stray = input.substr(0, 200);
      return true;
    }
    if (line == std::string::npos) {
      return false;
    }
    const std::size_t size = std::strtoul(shown.c_str(), nullptr, 16);
    if (input.size() < line + 2 + size + 2) {
      return false;
    }
    answer.body.append(input, line + 2, size);
    input.erase(0, line + 2 + size + 2);
    if (size == 0) {
      answer.end = End::kComplete;
      return true;
    }
  }
}

/// Takes what has been read. Returns true when the answer has ended.
bool Take(std::string& input, bool& has_head, Answer& answer) {
  if (!has_head) {
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    answer.head = ParseHead(input.substr(0, end));
    answer.status = std::atoi(answer.head.first_line.substr(9).c_str());
    input.erase(0, end + 4);
    has_head = true;
  }
  if (answer.head.Field("transfer-encoding") == "chunked") {
    return ReadChunks(input, answer);
  }
  const std::size_t length =
      std::strtoul(answer.head.Field("content-length").c_str(), nullptr, 10);
  answer.body += input;
  input.clear();
  if (answer.body.size() > length) {
    answer.end = End::kNoAnswer;
    answer.stray = answer.body.substr(length, 200);
    return true;
  }
  if (answer.body.size() == length) {
    answer.end = End::kComplete;
    return true;
  }
  return false;
}

}  // namespace

std::int64_t NowMs() {
  static const Clock::time_point kStart = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Record::Record(const std::string& path) : out(path, std::ios::trunc) {}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->out << NowMs() << " ms  " << text << "\n" << std::flush;
}

int FreePort(const std::string& ip) {
  const Socket probe(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in system = ToSystem({ip, 0});
  socklen_t size = sizeof(system);
  if (bind(probe.Fd(), reinterpret_cast<sockaddr*>(&system), size) != 0 ||
      getsockname(probe.Fd(), reinterpret_cast<sockaddr*>(&system), &size) !=
          0) {
    throw std::runtime_error("no free port at " + ip);
  }
  return ntohs(system.sin_port);
}

Socket::~Socket() {
  if (this->fd >= 0) {
    close(this->fd);
  }
}

Socket::Socket(Socket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(this->fd, other.fd);
  return *this;
}

bool Socket::SendAll(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t done =
        send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(done);
  }
  return true;
}

int Socket::ReadSome(std::string& out, std::int64_t wait_ms) const {
  pollfd entry{this->fd, POLLIN, 0};
  const int ready = poll(&entry, 1, static_cast<int>(wait_ms));
  if (ready <= 0) {
    return -2;
  }
  std::string piece(kPiece, '\0');
  const ssize_t size = recv(this->fd, piece.data(), piece.size(), 0);
  if (size > 0) {
    out.append(piece, 0, static_cast<std::size_t>(size));
  }
  return static_cast<int>(size);
}

void Socket::Shutdown() const {
  if (this->fd >= 0) {
    shutdown(this->fd, SHUT_RDWR);
  }
}

Socket Connect(const Address& address) {
  Socket open(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in system = ToSystem(address);
  if (connect(open.Fd(), reinterpret_cast<const sockaddr*>(&system),
              sizeof(system)) != 0) {
    return Socket();
  }
  SetNoDelay(open.Fd());
  return open;
}

Listener::Listener(const Address& address, Handler handler_in)
    : handler(std::move(handler_in)),
      socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(this->socket.Fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in system = ToSystem(address);
  constexpr int kBacklog = 512;
  if (bind(this->socket.Fd(), reinterpret_cast<const sockaddr*>(&system),
           sizeof(system)) != 0 ||
      listen(this->socket.Fd(), kBacklog) != 0) {
    throw std::runtime_error("cannot listen at " + address.Text());
  }
  this->acceptor = std::thread([this]() { this->Accept(); });
}

void Listener::Stop() {
  this->is_stopped = true;
  this->socket.Shutdown();
  if (this->acceptor.joinable()) {
    this->acceptor.join();
  }
  Socket closed;
  std::swap(this->socket, closed);
}

Listener::~Listener() {
  this->Stop();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void Listener::Accept() {
  while (!this->is_stopped) {
    const int fd = accept4(this->socket.Fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      return;
    }
    SetNoDelay(fd);
    const std::shared_ptr<Socket> accepted = std::make_shared<Socket>(fd);
    this->threads.emplace_back(
        [this, accepted]() { this->handler(std::move(*accepted)); });
  }
}

std::string Head::Field(const std::string& lower_name) const {
  const auto found = this->fields.find(lower_name);
  return found == this->fields.end() ? std::string() : found->second;
}

Head ParseHead(const std::string& text) {
  Head head;
  std::size_t start = text.find("\r\n");
  head.first_line = text.substr(0, start);
  while (start != std::string::npos) {
    start += 2;
    const std::size_t end = text.find("\r\n", start);
    const std::string line = text.substr(start, end - start);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char letter) { return std::tolower(letter); });
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      head.fields[name] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
    start = end;
  }
  return head;
}

const char* ToString(End end) {
  switch (end) {
    case End::kComplete:
      return "complete";
    case End::kClosed:
      return "closed early";
    case End::kNoAnswer:
      return "bytes that are no answer";
    default:
      return "nothing final";
  }
}

std::string RequestBytes(const Request& request) {
  std::string bytes =
      request.method + " " + request.path +
      " HTTP/1.1\r\nHost: " + request.host + "\r\nRequest-Id: " + request.id +
      "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  if (!request.body.empty() || request.method != "GET") {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return bytes + "\r\n" + request.body;
}

Answer SendOn(const Socket& socket,
              const Request& request,
              std::int64_t patience_ms) {
  Answer answer;
  answer.sent_at = NowMs();
  std::string input;
  bool has_head = false;
  bool is_over = !socket.IsOpen() || !socket.SendAll(RequestBytes(request));
  if (is_over) {
    answer.end = End::kClosed;
  }
  while (!is_over && NowMs() - answer.sent_at < patience_ms) {
    const std::int64_t left = patience_ms - (NowMs() - answer.sent_at);
    const int size =
        socket.ReadSome(input, std::clamp<std::int64_t>(left, 1, kLook));
    if (size == -2) {
      continue;
    }
    if (size <= 0) {
      answer.end = End::kClosed;
      is_over = true;
      continue;
    }
    is_over = Take(input, has_head, answer);
  }
  answer.ended_at = NowMs();
  return answer;
}

Answer Send(const Address& node,
            const Request& request,
            std::int64_t patience_ms) {
  const Socket socket = Connect(node);
  return SendOn(socket, request, patience_ms);
}

struct Proxy::Pair {
  Socket near;
  Socket far;
  std::atomic<bool> is_silent{false};
};

Proxy::Proxy(const Address& near, const Address& far_in) : far(far_in) {
  this->listener = std::make_unique<Listener>(
      near, [this](Socket socket) { this->Carry(std::move(socket)); });
}

Proxy::~Proxy() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::shared_ptr<Pair>& pair : this->pairs) {
      pair->near.Shutdown();
      pair->far.Shutdown();
    }
  }
  this->listener.reset();
}

void Proxy::Silence() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const std::shared_ptr<Pair>& pair : this->pairs) {
    pair->is_silent = true;
  }
}

/// Carries bytes both ways until an end closes. A silent pair is kept open and
/// neither read nor written, so neither end sees a reset.
void Proxy::Carry(Socket near) {
  const std::shared_ptr<Pair> pair = std::make_shared<Pair>();
  pair->near = std::move(near);
  pair->far = Connect(this->far);
  if (!pair->far.IsOpen()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->pairs.push_back(pair);
  }
  bool is_over = false;
  while (!is_over) {
    pollfd ends[] = {{pair->near.Fd(), POLLIN, 0}, {pair->far.Fd(), POLLIN, 0}};
    if (pair->is_silent) {
      // Only the end of the node is watched, so that the thread ends with it.
      pollfd gone{pair->near.Fd(), POLLRDHUP, 0};
      poll(&gone, 1, static_cast<int>(kLook));
      is_over = (gone.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      continue;
    }
    poll(ends, 2, 20);
    for (int i = 0; i < 2 && !is_over && !pair->is_silent; ++i) {
      if (ends[i].revents == 0) {
        continue;
      }
      std::string bytes;
      const Socket& from = i == 0 ? pair->near : pair->far;
      const Socket& to = i == 0 ? pair->far : pair->near;
      const int size = from.ReadSome(bytes, 0);
      is_over = size == 0 || size == -1 || !to.SendAll(bytes);
    }
  }
  pair->near.Shutdown();
  pair->far.Shutdown();
}

}  // namespace almondlink::review
