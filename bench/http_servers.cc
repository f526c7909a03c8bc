#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

#include "almondlink/server/admin_server.h"
#include "almondlink/server/caller_server.h"
#include "standins/blocking_http.h"

/// Compares keep-alive round trips to the servers of cxxtools and Boost.Beast
/// by the number of open connections. Basis for the choice of the library that
/// serves callers (docs/design/http-library.md).

DEFINE_int32(calls, 3000, "calls per result line");
DEFINE_bool(in_turn, true, "use the open connections in turn, not only one");

namespace {

using almondlink::config::Endpoint;
using almondlink::standins::BlockingHttp;
using almondlink::standins::PlainRequest;

constexpr std::uint16_t kCxxtoolsPort = 23100;
constexpr std::uint16_t kBeastPort = 23101;

void Measure(const char* name, const Endpoint& server, int open) {
  std::vector<BlockingHttp> clients;
  PlainRequest request;
  request.target = "/x";
  for (int i = 0; i < open; ++i) {
    clients.emplace_back(server);
    clients.back().Send(request);
  }
  std::vector<double> times;
  for (int i = 0; i < FLAGS_calls; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const std::size_t at = FLAGS_in_turn ? static_cast<std::size_t>(i) : 0;
    clients[at % clients.size()].Send(request);
    times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - start)
                        .count());
  }
  std::sort(times.begin(), times.end());
  std::printf("%-10s %5d open   p50 %.0f us   p99 %.0f us\n", name, open,
              times[times.size() / 2], times[times.size() * 99 / 100]);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  almondlink::server::AdminServer cxxtools(
      Endpoint{"127.0.0.1", kCxxtoolsPort},
      {{"/x", [](const almondlink::server::AdminRequest&) {
          return almondlink::server::AdminAnswer{200, "text/plain", "ok"};
        }}});
  boost::asio::io_context loop(1);
  almondlink::server::CallerServerConfig config;
  config.address = Endpoint{"127.0.0.1", kBeastPort};
  almondlink::server::CallerServer beast(
      {&loop}, config,
      [](std::size_t, const almondlink::server::CallerRequest&,
         const std::shared_ptr<almondlink::server::CallerExchange>& exchange) {
        almondlink::server::CallerAnswer answer;
        answer.body = {'o', 'k'};
        exchange->Send(answer);
      });
  const bool is_started = almondlink::HandleFailure(
      [&]() -> almondlink::Result<bool> {
        BOOST_LEAF_CHECK(cxxtools.Start());
        BOOST_LEAF_CHECK(beast.Listen());
        return true;
      },
      [](const almondlink::Failure& failure) {
        std::fprintf(stderr, "%s\n", failure.detail.c_str());
        return false;
      });
  if (!is_started) {
    return 1;
  }
  std::thread thread([&loop]() { loop.run(); });
  for (const int open : {50, 300, 1300}) {
    Measure("cxxtools", Endpoint{"127.0.0.1", kCxxtoolsPort}, open);
    Measure("beast", Endpoint{"127.0.0.1", kBeastPort}, open);
  }
  loop.stop();
  thread.join();
  return 0;
}
