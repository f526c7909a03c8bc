#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <ostream>
#include <string>
#include <thread>

#include "standins/log_store.h"

/// Stand-in for the platform's append-only log: streams in memory over HTTP.
///
///   POST /streams/NAME/records                 appends the body
///   GET  /streams/NAME/records?from=N&max=M    reads
///   POST /faults?mode=MODE&ms=N                sets a fault
///   POST /trim?stream=NAME&below=N             drops records, as retention
///   does GET  /stats                                appends so far
///
/// Fault modes: none, down (answers 503), hang (answers after ms), slow (serves
/// after ms), lose (appends take effect, their answers are 503).

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on");
DEFINE_uint64(keep, 100000, "records kept per stream");

namespace {

using almondlink::standins::LogStore;

enum class Fault { kNone, kDown, kHang, kSlow, kLose };

/// Fault and store shared by the server's threads.
struct LogState {
  explicit LogState(std::size_t keep) : store(keep) {}
  LogStore store;
  std::atomic<Fault> fault{Fault::kNone};
  std::atomic<int> fault_ms{0};
};

void Fail503(cxxtools::http::Reply& reply) {
  reply.httpReturn(503, "Unavailable");
}

class LogResponder : public cxxtools::http::Responder {
 public:
  LogResponder(cxxtools::http::Service& service, LogState& state)
      : cxxtools::http::Responder(service), state(state) {}

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const cxxtools::QueryParams query(request.qparams());
    if (request.url() == "/faults") {
      this->SetFault(query);
    } else if (request.url() == "/trim") {
      this->state.store.Trim(
          query.param("stream"),
          std::strtoull(query.param("below").c_str(), nullptr, 10));
    } else if (request.url() == "/stats") {
      out << this->state.store.Appends() << "\n";
    } else {
      this->ServeStream(out, request, reply, query);
    }
  }

 private:
  void SetFault(const cxxtools::QueryParams& query) {
    const std::string mode = query.param("mode");
    this->state.fault_ms = std::atoi(query.param("ms").c_str());
    this->state.fault = mode == "down"   ? Fault::kDown
                        : mode == "hang" ? Fault::kHang
                        : mode == "slow" ? Fault::kSlow
                        : mode == "lose" ? Fault::kLose
                                         : Fault::kNone;
  }

  void ServeStream(std::ostream& out,
                   cxxtools::http::Request& request,
                   cxxtools::http::Reply& reply,
                   const cxxtools::QueryParams& query) {
    const Fault fault = this->state.fault;
    const bool is_late = fault == Fault::kHang || fault == Fault::kSlow;
    if (is_late) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(this->state.fault_ms));
    }
    if (fault == Fault::kDown || fault == Fault::kHang) {
      Fail503(reply);
      return;
    }
    const std::string prefix = "/streams/";
    const std::string suffix = "/records";
    const std::string& url = request.url();
    if (url.size() <= prefix.size() + suffix.size()) {
      reply.httpReturn(404, "Not Found");
      return;
    }
    const std::string stream =
        url.substr(prefix.size(), url.size() - prefix.size() - suffix.size());
    if (request.method() == "POST") {
      const std::string body = request.bodyStr();
      almondlink::wire::LogAppended appended;
      appended.offset = this->state.store.Append(
          stream, std::vector<std::uint8_t>(body.begin(), body.end()));
      if (fault == Fault::kLose) {
        Fail503(reply);
        return;
      }
      WriteBytes(out, almondlink::wire::Encode(appended));
      return;
    }
    const std::uint64_t from =
        std::strtoull(query.param("from").c_str(), nullptr, 10);
    const auto count = static_cast<std::uint32_t>(
        std::strtoul(query.param("max").c_str(), nullptr, 10));
    WriteBytes(out, almondlink::wire::Encode(
                        this->state.store.Read(stream, from, count)));
  }

  static void WriteBytes(std::ostream& out,
                         const std::vector<std::uint8_t>& bytes) {
    out.write(reinterpret_cast<const char*>(bytes.data()),
              static_cast<std::streamsize>(bytes.size()));
  }

  LogState& state;
};

class LogService : public cxxtools::http::Service {
 public:
  explicit LogService(std::size_t keep) : state(keep) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& /*request*/) override {
    return new LogResponder(*this, this->state);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  LogState state;
};

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    cxxtools::EventLoop loop;
    cxxtools::http::Server server(loop, FLAGS_ip,
                                  static_cast<unsigned short>(FLAGS_port));
    server.minThreads(8);
    server.maxThreads(64);
    LogService service(FLAGS_keep);
    server.addService(cxxtools::Regex(".*"), service);
    loop.run();
  } catch (const std::exception& error) {
    std::cerr << "standin_log: " << error.what() << "\n";
    return 3;
  }
  return 0;
}
