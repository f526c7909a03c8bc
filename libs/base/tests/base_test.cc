#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/base/metrics.h"
#include "almondlink/base/rcu.h"

namespace almondlink {
namespace {

std::string ReadAll(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

TEST_CASE("every refusal that may have run says so") {
  for (std::uint32_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& row = AnswerFor(static_cast<ErrorKind>(i));
    REQUIRE(row.kind == static_cast<ErrorKind>(i));
    const bool is_success = row.kind == ErrorKind::kNone;
    REQUIRE((row.verdict == Verdict::kAnswered) == is_success);
    REQUIRE((row.http_status == 200) == is_success);
  }
  REQUIRE(ErrorKindFrom(9999) == ErrorKind::kInternal);
}

TEST_CASE("the catalogue of events and the code agree") {
  std::set<std::string> in_code;
  std::istringstream code(
      ReadAll("libs/base/include/almondlink/base/events.generated.h"));
  std::string line;
  std::string text;
  while (std::getline(code, line)) {
    text += line + " ";
  }
  std::size_t at = 0;
  while ((at = text.find("constexpr Event kEvent", at)) != std::string::npos) {
    const std::size_t open = text.find('{', at);
    const std::size_t quote = text.find('"', open);
    in_code.insert(
        text.substr(open + 1, 3) + " " +
        text.substr(quote + 1, text.find('"', quote + 1) - quote - 1));
    at = quote;
  }
  std::set<std::string> in_docs;
  std::istringstream docs(ReadAll("docs/EVENTS.md"));
  while (std::getline(docs, line)) {
    if (line.rfind("| E", 0) == 0) {
      std::istringstream cells(line);
      std::string bar;
      std::string number;
      std::string name;
      cells >> bar >> number >> bar >> name;
      in_docs.insert(number.substr(1) + " " + name);
    }
  }
  REQUIRE(in_code.size() > 20);
  REQUIRE(in_code == in_docs);
}

TEST_CASE("readers of a replaced value keep it, and see whole values only") {
  RcuCell<std::vector<int>> cell;
  std::atomic<bool> is_done{false};
  std::atomic<int> torn{0};
  std::vector<std::thread> readers;
  readers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&]() {
      const RcuThread rcu;
      while (!is_done) {
        const auto value = cell.Read();
        if (value != nullptr && value->front() != value->back()) {
          ++torn;
        }
      }
    });
  }
  for (int i = 0; i < 2000; ++i) {
    cell.Replace(std::make_shared<const std::vector<int>>(64, i));
  }
  is_done = true;
  for (std::thread& reader : readers) {
    reader.join();
  }
  REQUIRE(torn == 0);
}

TEST_CASE("latency figures are near the exact ones") {
  LatencyRecorder recorder;
  REQUIRE(recorder.Summary().count == 0);
  for (int i = 1; i <= 10'000; ++i) {
    recorder.Add(LatencyMs{static_cast<double>((i * 7919) % 10'000)});
  }
  const LatencySummary summary = recorder.Summary();
  REQUIRE(summary.count == 10'000);
  REQUIRE(summary.p50 == Approx(5000).margin(200));
  REQUIRE(summary.p99 == Approx(9900).margin(100));
}

TEST_CASE("a histogram counts each sample in its class and the ones above") {
  LatencyHistogram histogram;
  for (const double sample : {-0.1, 0.2, 0.25, 3.0, 700.0, 99'999.0}) {
    histogram.Add(LatencyMs{sample});
  }
  REQUIRE(histogram.Count() == 6);
  REQUIRE(histogram.Sum() == Approx(100'702.45));
  MetricText text;
  text.Begin("wait_ms", "histogram", "Waits.");
  text.AddHistogram("route=\"a\"", histogram);
  const auto has = [&text](const std::string& line) {
    return text.Text().find("almondlink_wait_ms" + line + "\n") !=
           std::string::npos;
  };
  REQUIRE(has("_bucket{route=\"a\",le=\"0.25\"} 2"));
  REQUIRE(has("_bucket{route=\"a\",le=\"0.5\"} 3"));
  REQUIRE(has("_bucket{route=\"a\",le=\"5\"} 4"));
  REQUIRE(has("_bucket{route=\"a\",le=\"10000\"} 5"));
  REQUIRE(has("_bucket{route=\"a\",le=\"+Inf\"} 6"));
  REQUIRE(has("_count{route=\"a\"} 6"));
}

TEST_CASE("a label's value cannot end its quotes") {
  REQUIRE(MetricLabel("a", "a\"b\\c\nd") == "a=\"a\\\"b\\\\c\\nd\"");
}

}  // namespace
}  // namespace almondlink
