#include <gflags/gflags.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

/// Stand-in for a target: a small HTTP server that works for a while, makes
/// calls of its own through its node, and keeps a ledger of what it ran.
///
///   POST /standin/fault?MODE[=MS]   sets a fault for the requests that follow
///   GET  /standin/ledger            one line per request that was run
///
/// Fault modes: none, slow=MS (added to the work), refuse (503, not run),
/// close-accept (before reading a
/// byte), close-header (after the first bytes of a request), close-run
/// (runs, then closes without answering), close-skip (reads, closes without
/// running), cut (half an answer), garbage, no-length, silent (runs, never
/// answers), late=MS (answers after MS), extra[=MS] (answers twice, with a
/// pause in between). With ,no-id behind it the target does not return the
/// attempt ids of requests.

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on");
DEFINE_string(service, "", "service offered, for answers");
DEFINE_string(node_ip, "127.0.0.1", "own node's caller address");
DEFINE_int32(node_port, 0, "own node's caller port; 0 makes no calls");
DEFINE_int32(work_ms, 2, "work per request");
DEFINE_int32(slots, 64, "requests worked on at once");
DEFINE_int32(body_bytes, 64, "bytes of an answer");
DEFINE_string(calls,
              "",
              "calls made for a path prefix: PREFIX>SERVICE METHOD PATH, "
              "separated by semicolons");
DEFINE_string(
    deadly,
    "",
    "the process ends soon after it began to run a request whose path "
    "begins with this");

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// One onward call.
struct OnwardCall {
  std::string prefix;
  std::string service;
  std::string method;
  std::string path;
};

/// Slots, fault and ledger, shared by the connections.
struct TargetState {
  std::vector<OnwardCall> calls;
  std::mutex mutex;
  std::condition_variable room;
  int busy = 0;
  std::string fault = "none";
  int fault_ms = 0;
  bool returns_ids = true;
  std::vector<std::string> ledger;
};

std::vector<OnwardCall> ParseCalls(const std::string& text) {
  std::vector<OnwardCall> calls;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ';')) {
    const std::size_t arrow = part.find('>');
    OnwardCall call;
    call.prefix = part.substr(0, arrow);
    std::istringstream words(part.substr(arrow + 1));
    words >> call.service >> call.method >> call.path;
    calls.push_back(call);
  }
  return calls;
}

void CopyField(const Request& from, const char* name, Request& to) {
  const auto found = from.find(name);
  if (found != from.end()) {
    to.set(name, found->value());
  }
}

/// Makes the onward calls of a path; false if one was not answered with 200.
/// What a service must pass on is copied (docs/CALLERS.md).
bool CallOnward(const TargetState& state,
                const Request& request,
                std::string& verdict) {
  const std::string path(request.target());
  for (const OnwardCall& call : state.calls) {
    if (path.rfind(call.prefix, 0) != 0 || FLAGS_node_port == 0) {
      continue;
    }
    beast::error_code error;
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.connect({asio::ip::make_address(FLAGS_node_ip),
                    static_cast<unsigned short>(FLAGS_node_port)},
                   error);
    if (error) {
      return false;
    }
    Request onward(http::string_to_verb(call.method), call.path, 11);
    onward.set("Almondlink-Service", call.service);
    for (const char* name :
         {"traceparent", "Almondlink-Timeout-Ms", "Almondlink-Team",
          "Almondlink-Caller", "Idempotency-Key"}) {
      CopyField(request, name, onward);
    }
    onward.keep_alive(false);
    onward.prepare_payload();
    http::write(stream, onward, error);
    beast::flat_buffer buffer;
    Response response;
    http::read(stream, buffer, response, error);
    if (error || response.result_int() != 200) {
      verdict = std::string(response["Almondlink-Verdict"]);
      return false;
    }
  }
  return true;
}

void Work(TargetState& state, int ms) {
  std::unique_lock<std::mutex> lock(state.mutex);
  state.room.wait(lock, [&state]() { return state.busy < FLAGS_slots; });
  ++state.busy;
  lock.unlock();
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  lock.lock();
  --state.busy;
  state.room.notify_one();
}

Response Plain(const Request& request, http::status status, std::string body) {
  Response response(status, 11);
  response.set("Content-Type", "text/plain");
  const auto id = request.find("Almondlink-Attempt-Id");
  if (id != request.end()) {
    response.set("Almondlink-Attempt-Id", id->value());
  }
  response.body() = std::move(body);
  response.keep_alive(request.keep_alive());
  response.prepare_payload();
  return response;
}

Response HandleControl(TargetState& state, const Request& request) {
  const std::string target(request.target());
  const std::lock_guard<std::mutex> guard(state.mutex);
  if (target == "/standin/ledger") {
    std::string text;
    for (const std::string& line : state.ledger) {
      text += line + "\n";
    }
    return Plain(request, http::status::ok, text);
  }
  std::string spec = target.substr(target.find('?') + 1);
  const std::size_t comma = spec.find(",no-id");
  state.returns_ids = comma == std::string::npos;
  spec = spec.substr(0, comma);
  const std::size_t equals = spec.find('=');
  state.fault = spec.substr(0, equals);
  state.fault_ms =
      equals == std::string::npos ? 0 : std::atoi(spec.c_str() + equals + 1);
  return Plain(request, http::status::ok, "ok\n");
}

/// Time for which a deadly request runs before the process ends.
constexpr std::chrono::milliseconds kDeadlyRun{10};
constexpr int kDeadlyExit = 9;

void EndIfDeadly(const Request& request) {
  const std::string target(request.target());
  if (!FLAGS_deadly.empty() && target.rfind(FLAGS_deadly, 0) == 0) {
    std::this_thread::sleep_for(kDeadlyRun);
    // As a crash: no connection is ended in order.
    _exit(kDeadlyExit);
  }
}

/// Runs a request: ledger first, then work and onward calls.
Response RunRequest(TargetState& state, const Request& request, int extra_ms) {
  {
    const std::lock_guard<std::mutex> guard(state.mutex);
    state.ledger.push_back(std::string(request["Idempotency-Key"]) + " " +
                           std::string(request["X-Request-Number"]) + " " +
                           std::string(request.target()));
  }
  EndIfDeadly(request);
  Work(state, FLAGS_work_ms + extra_ms);
  std::string verdict;
  if (!CallOnward(state, request, verdict)) {
    return Plain(request, http::status::bad_gateway,
                 FLAGS_service + ": a call onwards failed " + verdict + "\n");
  }
  const std::string target(request.target());
  std::string body = FLAGS_service + " " + target + " " +
                     std::string(request["X-Request-Number"]) + "\n";
  body.resize(std::max<std::size_t>(body.size(), FLAGS_body_bytes), '.');
  return Plain(request, http::status::ok, std::move(body));
}

/// Serves one request under a fault; false to close the connection.
bool ServeFaulty(TargetState& state,
                 tcp::socket& socket,
                 const Request& request,
                 const std::string& fault,
                 int ms) {
  beast::error_code error;
  if (fault == "refuse") {
    Response response =
        Plain(request, http::status::service_unavailable, "shed\n");
    response.set("Almondlink-Verdict", "not-run");
    http::write(socket, response, error);
    return !error;
  }
  if (fault == "close-skip") {
    return false;
  }
  Response response = RunRequest(state, request, fault == "slow" ? ms : 0);
  if (fault == "close-run") {
    return false;
  }
  if (fault == "silent") {
    std::this_thread::sleep_for(std::chrono::seconds(30));
    return false;
  }
  if (fault == "late") {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
  if (fault == "garbage") {
    asio::write(socket, asio::buffer(std::string("NOT HTTP AT ALL\r\n\r\n")),
                error);
    return false;
  }
  std::ostringstream text;
  if (fault == "no-length") {
    response.erase(http::field::content_length);
    response.keep_alive(false);
  }
  text << response;
  const std::string bytes = text.str();
  const std::size_t count = fault == "cut" ? bytes.size() - 10 : bytes.size();
  asio::write(socket, asio::buffer(bytes.data(), count), error);
  if (fault == "extra") {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    asio::write(socket, asio::buffer(bytes), error);
  }
  return !error && fault != "cut" && fault != "no-length" &&
         response.keep_alive();
}

void ServeConnection(TargetState& state, tcp::socket socket) {
  beast::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  beast::flat_buffer buffer;
  while (true) {
    std::string fault;
    // The fault is read when a request arrives, so that it holds on reused
    // connections too.
    socket.wait(tcp::socket::wait_read, error);
    {
      const std::lock_guard<std::mutex> guard(state.mutex);
      fault = state.fault;
    }
    if (fault == "close-accept") {
      // Only control requests get past this fault.
      std::string peek(9, '\0');
      const std::size_t seen =
          socket.receive(asio::buffer(peek), tcp::socket::message_peek, error);
      if (error || peek.substr(0, seen).find("POST /sta") != 0) {
        return;
      }
    }
    Request request;
    if (fault == "close-header") {
      std::string peek(13, '\0');
      socket.receive(asio::buffer(peek), tcp::socket::message_peek, error);
      if (error || peek.find("/standin") == std::string::npos) {
        return;
      }
    }
    http::read(socket, buffer, request, error);
    if (error) {
      return;
    }
    const std::string target(request.target());
    if (target.rfind("/standin/", 0) == 0) {
      http::write(socket, HandleControl(state, request), error);
      continue;
    }
    int ms = 0;
    {
      const std::lock_guard<std::mutex> guard(state.mutex);
      fault = state.fault;
      ms = state.fault_ms;
      if (!state.returns_ids) {
        request.erase("Almondlink-Attempt-Id");
      }
    }
    if (!ServeFaulty(state, socket, request, fault, ms)) {
      return;
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  TargetState state;
  state.calls = ParseCalls(FLAGS_calls);
  try {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address(FLAGS_ip),
                                     static_cast<unsigned short>(FLAGS_port)});
    while (true) {
      tcp::socket socket = acceptor.accept();
      std::thread([&state, moved = std::move(socket)]() mutable {
        try {
          ServeConnection(state, std::move(moved));
        } catch (const std::exception&) {
          // The connection ends; the next one is served.
        }
      }).detach();
    }
  } catch (const std::exception& error) {
    std::cerr << "standin_target: " << error.what() << "\n";
    return 3;
  }
}
