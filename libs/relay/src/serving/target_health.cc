#include "almondlink/relay/target_health.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "almondlink/relay/http_parser.h"
#include "shared_read.h"

namespace almondlink::relay {

namespace {

/// A target may let the check wait for a slot.
constexpr std::chrono::milliseconds kTimeout{1000};
/// Longest head of an answer.
constexpr std::size_t kMaxAnswer = 16 * 1024;
constexpr std::uint32_t kOk = 200;

class HealthCheck : public std::enable_shared_from_this<HealthCheck> {
 public:
  HealthCheck(boost::asio::io_context& loop,
              const HeaderNames& names,
              std::function<void(const HealthAnswer&)> done_in)
      : socket(loop), timer(loop), parser(names), done(std::move(done_in)) {}

  void Start(const boost::asio::ip::tcp::endpoint& address,
             const std::string& path) {
    this->request = "GET " + path +
                    " HTTP/1.1\r\nHost: " + address.address().to_string() +
                    "\r\nConnection: close\r\n\r\n";
    this->timer.expires_after(kTimeout);
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (!error) {
            self->Finish({});
          }
        });
    this->socket.async_connect(address, [self = this->shared_from_this()](
                                            boost::system::error_code error) {
      self->OnConnected(error);
    });
  }

 private:
  void OnConnected(boost::system::error_code error) {
    if (!error) {
      this->socket.non_blocking(true, error);
    }
    if (error) {
      this->Finish({});
      return;
    }
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->request),
        [self = this->shared_from_this()](boost::system::error_code failed,
                                          std::size_t /*written*/) {
          if (failed) {
            self->Finish({});
          }
        });
    this->Read();
  }

  void Read() {
    ReadShared(this->socket,
               [self = this->shared_from_this()](
                   const boost::system::error_code& error,
                   std::string_view bytes) { self->OnRead(error, bytes); });
  }

  void OnRead(const boost::system::error_code& error, std::string_view bytes) {
    this->received += bytes.size();
    this->input.append(bytes);
    const bool is_malformed =
        !error && this->parser.Feed(this->input) == ParseStatus::kMalformed;
    if (error || is_malformed || this->received > kMaxAnswer) {
      this->Finish({});
    } else if (this->parser.is_header_done()) {
      this->Finish({this->parser.head.status, this->parser.head.instance_id});
    } else {
      this->Read();
    }
  }

  void Finish(const HealthAnswer& answer) {
    if (!this->done) {
      return;
    }
    const auto last = std::exchange(this->done, nullptr);
    this->timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
    last(answer);
  }

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  AnswerParser parser;
  std::function<void(const HealthAnswer&)> done;
  std::string request;
  std::string input;
  std::size_t received = 0;
};

}  // namespace

bool IsHealthy(const HealthAnswer& answer) {
  return answer.status == kOk && !answer.instance_id.empty();
}

void AskForHealth(boost::asio::io_context& loop,
                  const boost::asio::ip::tcp::endpoint& address,
                  const HeaderNames& names,
                  const std::string& path,
                  std::function<void(const HealthAnswer&)> done) {
  std::make_shared<HealthCheck>(loop, names, std::move(done))
      ->Start(address, path);
}

}  // namespace almondlink::relay
