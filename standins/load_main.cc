#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "almondlink/config/ini_reader.h"
#include "almondlink/config/setting.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/policy/bundle.h"
#include "standins/blocking_http.h"

/// Stand-in for callers: sends every operation of a bundle to nodes and, for
/// comparison, to a target directly, and prints a table.

DEFINE_string(bundle, "", "bundle file whose operations are called");
DEFINE_string(nodes, "", "caller addresses of nodes, separated by spaces");
DEFINE_string(targets, "", "SERVICE=ip:port of targets, for direct calls");
DEFINE_string(operations, "", "only these operations; empty for all");
DEFINE_string(team, "", "team to call as; empty for the bundle's first");
DEFINE_int32(calls, 50, "calls per operation");
DEFINE_int32(threads, 4, "threads per operation");

namespace {

using almondlink::Millis;
using almondlink::config::Endpoint;
using almondlink::policy::OperationSpec;
using almondlink::standins::BlockingHttp;
using almondlink::standins::PlainAnswer;
using almondlink::standins::PlainRequest;

/// Counts and times of one operation.
struct Row {
  int sent = 0;
  int whole = 0;
  int not_run = 0;
  int unknown = 0;
  int retries = 0;
  std::vector<double> times;
  std::vector<double> direct;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const std::size_t at = std::min(
      values.size() - 1,
      static_cast<std::size_t>(share * static_cast<double>(values.size())));
  return values[at];
}

/// Fills placeholders of a path pattern with a number.
std::string FillPath(const OperationSpec& operation, int number) {
  std::string path;
  for (const std::string& segment : operation.segments) {
    const bool is_filled = segment == "**" || segment.front() == '{';
    path += "/" + (is_filled ? std::to_string(number) : segment);
  }
  return path;
}

PlainRequest MakeRequest(const OperationSpec& operation,
                         const std::string& team,
                         int number,
                         std::mt19937_64& random) {
  PlainRequest request;
  request.method = operation.method;
  request.target = FillPath(operation, number);
  request.headers["Almondlink-Service"] = operation.service.Value();
  request.headers["Almondlink-Team"] = team;
  request.headers["Almondlink-Caller"] = "load-" + std::to_string(number % 100);
  request.headers["X-Request-Number"] = std::to_string(number);
  if (!operation.is_repeatable) {
    request.headers["Idempotency-Key"] = almondlink::control::MakeUuid7(
        almondlink::WallNow(), random(), random());
  }
  if (operation.method != "GET") {
    request.body = "{\"number\":" + std::to_string(number) + "}";
  }
  return request;
}

void Count(const PlainAnswer& answer, Row& row) {
  ++row.sent;
  const std::string verdict = answer.Header("almondlink-verdict");
  if (verdict == "not-run") {
    ++row.not_run;
  } else if (verdict == "answered" && answer.status == 200) {
    ++row.whole;
  } else {
    ++row.unknown;
  }
  row.retries += std::atoi(answer.Header("almondlink-retries").c_str());
}

double Timed(BlockingHttp& client,
             const PlainRequest& request,
             PlainAnswer& answer) {
  const auto start = std::chrono::steady_clock::now();
  answer = client.Send(request);
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void RunThread(const OperationSpec& operation,
               const std::string& team,
               const std::vector<Endpoint>& nodes,
               const Endpoint& target,
               int thread,
               Row& row,
               std::mutex& mutex) {
  std::mt19937_64 random(std::random_device{}());
  std::vector<BlockingHttp> clients;
  clients.reserve(nodes.size());
  for (const Endpoint& node : nodes) {
    clients.emplace_back(node);
  }
  BlockingHttp direct(target);
  for (int i = thread; i < FLAGS_calls; i += FLAGS_threads) {
    const PlainRequest request = MakeRequest(operation, team, i, random);
    PlainAnswer answer;
    const double took = Timed(
        clients[static_cast<std::size_t>(i) % clients.size()], request, answer);
    PlainAnswer unused;
    // The same call made directly; the target's own calls go through its node
    // in both cases, so the difference is what one hop adds.
    const double straight = target.IsSet() ? Timed(direct, request, unused) : 0;
    const std::lock_guard<std::mutex> guard(mutex);
    Count(answer, row);
    row.times.push_back(took);
    row.direct.push_back(straight);
  }
}

Row RunOperation(const OperationSpec& operation,
                 const std::string& team,
                 const std::vector<Endpoint>& nodes,
                 const Endpoint& target) {
  Row row;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int thread = 0; thread < FLAGS_threads; ++thread) {
    threads.emplace_back([&, thread]() {
      RunThread(operation, team, nodes, target, thread, row, mutex);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return row;
}

void PrintRow(const OperationSpec& operation, const Row& row) {
  std::printf("%-18s %-9s %6d %6d %8d %8d %8d %9.2f %9.2f\n",
              operation.kind.c_str(), ToString(operation.criticality), row.sent,
              row.whole, row.not_run, row.unknown, row.retries,
              Percentile(row.times, 0.5) - Percentile(row.direct, 0.5),
              Percentile(row.times, 0.99) - Percentile(row.direct, 0.99));
}

almondlink::Result<int> Run() {
  BOOST_LEAF_AUTO(text, almondlink::config::ReadFile(FLAGS_bundle));
  BOOST_LEAF_AUTO(bundle, almondlink::policy::RequireBundle(text));
  std::vector<Endpoint> nodes;
  for (const std::string& word : almondlink::config::SplitWords(FLAGS_nodes)) {
    BOOST_LEAF_AUTO(node, almondlink::config::ParseEndpoint(word));
    nodes.push_back(node);
  }
  std::map<std::string, Endpoint> targets;
  for (const std::string& word :
       almondlink::config::SplitWords(FLAGS_targets)) {
    const std::size_t equals = word.find('=');
    BOOST_LEAF_AUTO(target,
                    almondlink::config::ParseEndpoint(word.substr(equals + 1)));
    targets[word.substr(0, equals)] = target;
  }
  const std::string team =
      FLAGS_team.empty() ? bundle.teams.begin()->first : FLAGS_team;
  std::printf("%-18s %-9s %6s %6s %8s %8s %8s %9s %9s\n", "kind", "class",
              "sent", "whole", "not-run", "unknown", "retries", "+p50 ms",
              "+p99 ms");
  int failed = 0;
  for (const OperationSpec& operation : bundle.operations) {
    const bool is_wanted =
        FLAGS_operations.empty() ||
        (" " + FLAGS_operations + " ")
                .find(" " + operation.name.Value() + " ") != std::string::npos;
    if (is_wanted) {
      const Row row = RunOperation(operation, team, nodes,
                                   targets[operation.service.Value()]);
      PrintRow(operation, row);
      failed += row.sent - row.whole;
    }
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return almondlink::HandleFailure(Run, [](const almondlink::Failure& failure) {
    std::cerr << failure.detail << "\n";
    return 2;
  });
}
