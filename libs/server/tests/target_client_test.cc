#include "almondlink/server/target_client.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

/// Guards against an answer that reaches another request: a target that sends
/// too much, at every moment at which its connection may be in use again.
namespace almondlink::server {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint16_t kPort = 27960;
constexpr int kPausesMs[] = {0, 1, 30};

/// What the target sends for the first request of a connection; for each later
/// one it sends a whole answer with the path as body.
struct Script {
  std::string name;
  std::string method;
  /// %ID stands for the id that the request carried.
  std::string first;
  std::string surplus;
  int pause_ms = 0;
  bool returns_ids = true;
  /// The connection ends after `surplus`, with a reset or a regular close.
  bool ends = false;
  bool resets = false;
};

std::string WithId(std::string text, const std::string& id) {
  const std::size_t at = text.find("%ID");
  return at == std::string::npos ? text : text.replace(at, 3, id);
}

std::string Whole(const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One connection after the other, until the client closes.
class ScriptedTarget {
 public:
  explicit ScriptedTarget(Script script_in)
      : script(std::move(script_in)),
        acceptor(this->loop, {asio::ip::make_address("127.0.0.1"), kPort}) {
    this->thread = std::thread([this]() { this->Serve(); });
  }
  ~ScriptedTarget() {
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
  }

  std::atomic<int> requests{0};

 private:
  void Serve() {
    while (true) {
      boost::system::error_code error;
      tcp::socket socket(this->loop);
      this->acceptor.accept(socket, error);
      if (error) {
        return;
      }
      this->ServeConnection(socket);
    }
  }

  void ServeConnection(tcp::socket& socket) {
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    for (int number = 0; !error; ++number) {
      http::request<http::string_body> request;
      http::read(socket, buffer, request, error);
      if (error) {
        return;
      }
      ++this->requests;
      const std::string id(request["Almondlink-Attempt-Id"]);
      if (request.target() != "/first") {
        const std::string field = this->script.returns_ids
                                      ? "Almondlink-Attempt-Id: " + id + "\r\n"
                                      : "";
        const std::string bytes = Whole(std::string(request.target()), field);
        asio::write(socket, asio::buffer(bytes), error);
        continue;
      }
      asio::write(socket, asio::buffer(WithId(this->script.first, id)), error);
      std::this_thread::sleep_for(
          std::chrono::milliseconds(this->script.pause_ms));
      asio::write(socket, asio::buffer(WithId(this->script.surplus, id)),
                  error);
      if (this->script.ends) {
        socket.set_option(asio::socket_base::linger(this->script.resets, 0));
        return;
      }
    }
  }

  const Script script;
  asio::io_context loop;
  tcp::acceptor acceptor;
  std::thread thread;
};

/// Sends a request and runs the loop until it is answered.
TargetAnswer Exchange(asio::io_context& loop,
                      TargetClient& client,
                      const std::string& method,
                      const std::string& path) {
  TargetRequest request;
  request.method = method;
  request.target = path;
  // Callers must not choose the id.
  request.headers.push_back({"Almondlink-Attempt-Id", "chosen"});
  TargetAnswer answer;
  bool is_answered = false;
  client.Send(std::move(request), [&](TargetAnswer result) {
    answer = std::move(result);
    is_answered = true;
  });
  while (!is_answered) {
    loop.restart();
    loop.run_one();
  }
  return answer;
}

std::string BodyOf(const TargetAnswer& answer) {
  return std::string(answer.body.begin(), answer.body.end());
}

const std::string kId = "Almondlink-Attempt-Id: %ID\r\n";

std::vector<Script> Scripts() {
  const std::string own = Whole("first", kId);
  const std::string chunked =
      "HTTP/1.1 200 OK\r\n" + kId +
      "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n";
  return {
      {"a second answer", "GET", own, own},
      {"a second answer, chunked", "GET", chunked, chunked},
      {"a second answer without id", "GET", own, Whole("first")},
      {"a second answer with a guessed id", "GET", own,
       Whole("first", "Almondlink-Attempt-Id: 1\r\n")},
      {"a length too small", "GET", own, Whole("first")},
      {"a length too small, with the own id once more", "GET", own, own + own},
      {"bytes", "GET", own, "foreign"},
      {"100-continue late", "GET", own, "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a refusal late", "GET", own,
       "HTTP/1.1 503 Busy\r\nAlmondlink-Verdict: not-run\r\n"
       "Content-Length: 0\r\n\r\n"},
      {"a body after an answer to HEAD", "HEAD",
       "HTTP/1.1 200 OK\r\n" + kId + "Content-Length: 42\r\n\r\n",
       Whole("first")},
      {"a body after 204", "GET", "HTTP/1.1 204 No Content\r\n" + kId + "\r\n",
       Whole("first")},
      {"a body after 304", "GET",
       "HTTP/1.1 304 Not Modified\r\n" + kId + "\r\n", Whole("first")},
      {"two lengths", "GET",
       "HTTP/1.1 200 OK\r\n" + kId +
           "Content-Length: 5\r\nContent-Length: 50\r\n\r\nfirst",
       Whole("first")},
      {"bytes after a close", "GET",
       Whole("first", kId + "Connection: close\r\n"), own},
  };
}

TEST_CASE("the next request gets its own answer or none") {
  for (const Script& kind : Scripts()) {
    for (const int pause : kPausesMs) {
      for (const bool returns_ids : {true, false}) {
        Script script = kind;
        script.pause_ms = pause;
        script.returns_ids = returns_ids;
        INFO(kind.name << ", " << pause << " ms, ids " << returns_ids);
        asio::io_context loop;
        ScriptedTarget target(script);
        TargetClientConfig config;
        config.address = {"127.0.0.1", kPort};
        TargetClient client(loop, config);
        Exchange(loop, client, kind.method, "/first");
        for (const char* path : {"/second", "/third"}) {
          const TargetAnswer answer = Exchange(loop, client, "GET", path);
          CHECK((answer.error != ErrorKind::kNone || BodyOf(answer) == path));
        }
      }
    }
  }
}

/// Guards against an answer that ends within its head and reaches the caller as
/// a complete success with an empty or short body.
TEST_CASE("an answer that ends within its head is not an answer") {
  const std::string heads[] = {
      "HTTP/1.1 200 OK\r\n" + kId + "Content-Length: 5\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + kId + "Transfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + kId + "Connection: close\r\n\r\n",
  };
  for (const std::string& head : heads) {
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      for (const bool resets : {false, true}) {
        INFO(head << "cut at " << cut << ", reset " << resets);
        Script script;
        script.first = head.substr(0, cut);
        script.ends = true;
        script.resets = resets;
        asio::io_context loop;
        ScriptedTarget target(script);
        TargetClientConfig config;
        config.address = {"127.0.0.1", kPort};
        TargetClient client(loop, config);
        // On a connection that has carried an answer, and on a new one.
        for (const char* before : {"/before", ""}) {
          if (*before != '\0') {
            REQUIRE(BodyOf(Exchange(loop, client, "GET", before)) == before);
          }
          const TargetAnswer answer = Exchange(loop, client, "POST", "/first");
          // The request was sent, so its outcome is not known.
          const bool is_unknown = answer.error == ErrorKind::kTargetLost ||
                                  answer.error == ErrorKind::kTargetBadAnswer;
          REQUIRE(is_unknown);
        }
      }
    }
  }
}

TEST_CASE("a request that was sent is not called not run by a late timer") {
  // The loop stands still until the connect and its time limit are both due.
  constexpr int kRounds = 20;
  constexpr Millis kConnectTimeout{10};
  constexpr std::chrono::milliseconds kStandstill{30};
  for (int round = 0; round < kRounds; ++round) {
    asio::io_context loop;
    Script script;
    ScriptedTarget target(script);
    TargetClientConfig config;
    config.address = {"127.0.0.1", kPort};
    config.connect_timeout = kConnectTimeout;
    TargetClient client(loop, config);
    TargetRequest request;
    request.method = "GET";
    request.target = "/sent";
    TargetAnswer answer;
    bool is_answered = false;
    client.Send(std::move(request), [&](TargetAnswer result) {
      answer = std::move(result);
      is_answered = true;
    });
    std::this_thread::sleep_for(kStandstill);
    while (!is_answered) {
      loop.restart();
      loop.run_one();
    }
    // Time for a request that was written to arrive.
    std::this_thread::sleep_for(kStandstill);
    CHECK((answer.error == ErrorKind::kNone || target.requests == 0));
  }
}

TEST_CASE("a target has its whole time while the loop runs") {
  // The loop stands still past the time limit. The answer comes only once it
  // runs again, or never.
  constexpr Millis kTimeout{1000};
  constexpr std::chrono::milliseconds kStall{1500};
  constexpr int kAnswerAfterMs = 1600;
  for (const bool is_silent : {false, true}) {
    INFO("silent " << is_silent);
    asio::io_context loop;
    Script script;
    script.pause_ms = kAnswerAfterMs;
    script.surplus =
        is_silent ? "" : Whole("first", "Almondlink-Attempt-Id: %ID\r\n");
    ScriptedTarget target(script);
    TargetClientConfig config;
    config.address = {"127.0.0.1", kPort};
    TargetClient client(loop, config);
    TargetRequest request;
    request.method = "GET";
    request.target = "/first";
    request.timeout = kTimeout;
    TargetAnswer answer;
    bool is_answered = false;
    const LatencyMs sent = client.RunningNow();
    double took = 0;
    client.Send(std::move(request), [&](TargetAnswer result) {
      answer = std::move(result);
      took = client.RunningNow().count - sent.count;
      is_answered = true;
    });
    while (target.requests == 0) {
      loop.restart();
      loop.run_for(std::chrono::milliseconds(1));
    }
    std::this_thread::sleep_for(kStall);
    while (!is_answered) {
      loop.restart();
      loop.run_one();
    }
    CHECK(answer.error ==
          (is_silent ? ErrorKind::kTargetTimeout : ErrorKind::kNone));
    CHECK(BodyOf(answer) == (is_silent ? "" : "first"));
    // The stall is not time that the target took. Deadlines are whole
    // milliseconds, so a time limit may end up to one of them early.
    CAPTURE(took);
    const double limit = static_cast<double>(kTimeout.count);
    CHECK((is_silent ? took > limit - 1 : took < limit));
  }
}

TEST_CASE("ids keep a connection, an answer without one ends it") {
  for (const bool returns_ids : {true, false}) {
    for (const bool needs_no_id : {true, false}) {
      INFO("ids " << returns_ids << ", vouched for " << needs_no_id);
      constexpr int kRequests = 20;
      asio::io_context loop;
      Script script;
      script.returns_ids = returns_ids;
      ScriptedTarget target(script);
      TargetClientConfig config;
      config.address = {"127.0.0.1", kPort};
      config.needs_no_id = needs_no_id;
      TargetClient client(loop, config);
      for (int i = 0; i < kRequests; ++i) {
        const std::string path = "/" + std::to_string(i);
        REQUIRE(BodyOf(Exchange(loop, client, "GET", path)) == path);
      }
      const std::uint64_t connects = client.Counts().connects;
      CHECK(connects == (returns_ids || needs_no_id ? 1 : kRequests));
      CHECK(client.Counts().without_id == (returns_ids ? 0 : kRequests));
      CHECK(client.Counts().surplus == 0);
    }
  }
}

}  // namespace
}  // namespace almondlink::server
