#include <gflags/gflags.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "almondlink/server/target_client.h"

/// Compares ways to reuse connections to a target that answers each request
/// twice: how many requests receive the answer to another request, and the cost
/// of a request (docs/design/target-answers.md). Client and target run as
/// threads of this process; CPU time is that of the client's thread.

DEFINE_int32(requests, 10000, "requests per result line");
DEFINE_int32(together, 32, "concurrent requests with late answers");
DEFINE_int32(rate, 2000, "requests per second while sockets are counted");

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using almondlink::ErrorKind;
using almondlink::server::TargetAnswer;
using almondlink::server::TargetClient;
using almondlink::server::TargetClientConfig;
using almondlink::server::TargetRequest;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t kPort = 23110;
constexpr int kNoSecondAnswer = -1;
constexpr const char* kAttemptIdHeader = "Almondlink-Attempt-Id";

struct TargetBehaviour {
  /// Delay of the second answer after the first, or kNoSecondAnswer.
  int second_answer_delay_ms = kNoSecondAnswer;
  /// Whether answers carry the attempt id of the request.
  bool returns_id = true;
};

class TargetSession : public std::enable_shared_from_this<TargetSession> {
 public:
  TargetSession(tcp::socket socket_in, TargetBehaviour behaviour_in)
      : socket(std::move(socket_in)),
        second_answer_timer(this->socket.get_executor()),
        behaviour(behaviour_in) {
    this->socket.set_option(tcp::no_delay(true));
  }

  void Read() {
    this->request = {};
    http::async_read(this->socket, this->buffer, this->request,
                     [self = this->shared_from_this()](
                         boost::system::error_code error, std::size_t) {
                       if (!error) {
                         self->Answer();
                       }
                     });
  }

 private:
  void Answer() {
    this->answer = {http::status::ok, 11};
    this->answer.body() = std::string(this->request.target());
    if (this->behaviour.returns_id) {
      this->answer.set(kAttemptIdHeader, this->request[kAttemptIdHeader]);
    }
    this->answer.keep_alive(this->request.keep_alive());
    this->answer.prepare_payload();
    this->Write([self = this->shared_from_this()]() { self->AnswerAgain(); });
  }

  void Write(std::function<void()> then) {
    http::async_write(this->socket, this->answer,
                      [self = this->shared_from_this(), then = std::move(then)](
                          boost::system::error_code error, std::size_t) {
                        if (!error) {
                          then();
                        }
                      });
  }

  void AnswerAgain() {
    const auto next = [self = this->shared_from_this()]() {
      if (self->answer.keep_alive()) {
        self->Read();
      }
    };
    if (this->behaviour.second_answer_delay_ms == kNoSecondAnswer) {
      next();
      return;
    }
    this->second_answer_timer.expires_after(
        std::chrono::milliseconds(this->behaviour.second_answer_delay_ms));
    this->second_answer_timer.async_wait(
        [self = this->shared_from_this(),
         next](boost::system::error_code /*error*/) { self->Write(next); });
  }

  tcp::socket socket;
  asio::steady_timer second_answer_timer;
  const TargetBehaviour behaviour;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> answer;
};

class Target {
 public:
  explicit Target(TargetBehaviour behaviour_in)
      : behaviour(behaviour_in),
        acceptor(this->loop, {asio::ip::make_address("127.0.0.1"), kPort}) {
    this->Accept();
    this->thread = std::thread([this]() { this->loop.run(); });
  }
  ~Target() {
    this->loop.stop();
    this->thread.join();
  }

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (!error) {
            std::make_shared<TargetSession>(std::move(socket), this->behaviour)
                ->Read();
          }
          this->Accept();
        });
  }

  const TargetBehaviour behaviour;
  asio::io_context loop{1};
  tcp::acceptor acceptor;
  std::thread thread;
};

struct LoadResult {
  /// Requests that received the answer to another request.
  int foreign_answers = 0;
  int failed_requests = 0;
  std::vector<double> times_us;
  double cpu_us = 0;
  std::uint64_t connects = 0;
};

double ThreadCpuMicros() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto micros = [](const timeval& time) {
    return 1e6 * static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

/// Keeps up to `concurrency` requests in flight until `count` are done,
/// starting one every `gap`, or as soon as an answer arrives if `gap` is 0.
class Load {
 public:
  Load(bool needs_no_id, int count_in, std::chrono::microseconds gap_in)
      : client(loop, Config(needs_no_id)),
        requests_left(count_in),
        gap(gap_in) {}

  LoadResult Run(int concurrency) {
    const double before = ThreadCpuMicros();
    this->next_start = Clock::now();
    for (int i = 0; i < concurrency; ++i) {
      this->Start();
    }
    this->loop.run();
    this->result.cpu_us = ThreadCpuMicros() - before;
    this->result.connects = this->client.Counts().connects;
    return std::move(this->result);
  }

 private:
  static TargetClientConfig Config(bool needs_no_id) {
    TargetClientConfig config;
    config.address = {"127.0.0.1", kPort};
    config.needs_no_id = needs_no_id;
    return config;
  }

  void Start() {
    if (this->requests_left == 0) {
      if (--this->active_senders == 0) {
        this->loop.stop();
      }
      return;
    }
    if (this->gap.count() == 0) {
      this->Send();
      return;
    }
    this->next_start += this->gap;
    const auto timer = std::make_shared<asio::steady_timer>(this->loop);
    timer->expires_at(this->next_start);
    timer->async_wait(
        [this, timer](boost::system::error_code /*error*/) { this->Send(); });
  }

  void Send() {
    const std::string path = "/" + std::to_string(--this->requests_left);
    TargetRequest request;
    request.method = "GET";
    request.target = path;
    request.timeout = almondlink::Millis{5000};
    const Clock::time_point start = Clock::now();
    this->client.Send(std::move(request),
                      [this, path, start](const TargetAnswer& answer) {
                        this->RecordAnswer(answer, path, start);
                        asio::post(this->loop, [this]() { this->Start(); });
                      });
  }

  void RecordAnswer(const TargetAnswer& answer,
                    const std::string& path,
                    Clock::time_point start) {
    this->result.times_us.push_back(
        std::chrono::duration<double, std::micro>(Clock::now() - start)
            .count());
    const bool is_whole = answer.error == ErrorKind::kNone;
    const bool is_own =
        std::string(answer.body.begin(), answer.body.end()) == path;
    this->result.failed_requests += is_whole ? 0 : 1;
    this->result.foreign_answers += is_whole && !is_own ? 1 : 0;
  }

  asio::io_context loop{1};
  TargetClient client;
  int requests_left;
  int active_senders = 1;
  const std::chrono::microseconds gap;
  Clock::time_point next_start;
  LoadResult result;

 public:
  void SetActiveSenders(int concurrency) { this->active_senders = concurrency; }
};

/// Counts the sockets of kPort in state TIME_WAIT.
int SocketsInTimeWait() {
  std::ifstream in("/proc/net/tcp");
  const std::string port = ":5A46";
  int count = 0;
  std::string line;
  while (std::getline(in, line)) {
    const bool is_here = line.find(port) != std::string::npos;
    count += is_here && line.substr(33, 3).find("06") != std::string::npos;
  }
  return count;
}

/// How connections are reused: without attempt ids if the client does not need
/// them, by the id that the target returns, or not at all if it is missing.
struct ConnectionMode {
  const char* name;
  bool returns_id;
  bool needs_no_id;
};

LoadResult Measure(const ConnectionMode& mode,
                   int pause_ms,
                   int count,
                   int concurrency,
                   std::chrono::microseconds gap) {
  Target target({pause_ms, mode.returns_id});
  Load load(mode.needs_no_id, count, gap);
  load.SetActiveSenders(concurrency);
  LoadResult result = load.Run(concurrency);
  std::sort(result.times_us.begin(), result.times_us.end());
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const ConnectionMode modes[] = {{"reused by order", false, true},
                                  {"reused by id", true, false},
                                  {"one per request", false, false}};
  // Runs first because sockets stay in TIME_WAIT for a minute.
  for (const ConnectionMode& mode : modes) {
    const int seconds = 5;
    const std::chrono::microseconds gap(1'000'000 / FLAGS_rate);
    const int before = SocketsInTimeWait();
    const LoadResult paced =
        Measure(mode, kNoSecondAnswer, FLAGS_rate * seconds, 1, gap);
    std::printf(
        "%-20s %d requests/s for %d s: %d more sockets in TIME_WAIT, %d "
        "failed\n",
        mode.name, FLAGS_rate, seconds, SocketsInTimeWait() - before,
        paced.failed_requests);
  }
  for (const ConnectionMode& mode : modes) {
    for (const int pause : {0, 1, 30, 300}) {
      const LoadResult result =
          Measure(mode, pause, FLAGS_requests, FLAGS_together, {});
      std::printf(
          "%-20s second answer after %3d ms: %5d wrong answers, %4d failed, "
          "%llu connections\n",
          mode.name, pause, result.foreign_answers, result.failed_requests,
          static_cast<unsigned long long>(result.connects));
    }
  }
  for (const ConnectionMode& mode : modes) {
    const LoadResult one =
        Measure(mode, kNoSecondAnswer, FLAGS_requests, 1, {});
    const auto count = static_cast<double>(one.times_us.size());
    std::printf(
        "%-20s one answer: p50 %.0f us, p99 %.0f us, %.1f us of "
        "CPU time per request\n",
        mode.name, one.times_us[one.times_us.size() / 2],
        one.times_us[one.times_us.size() * 99 / 100], one.cpu_us / count);
  }
}
