#include "test/support/steady_load.h"

#include <utility>

namespace almondlink::test {

SteadyLoad::SteadyLoad(RelayCluster& cluster_in, Spec spec_in)
    : cluster(cluster_in), spec(std::move(spec_in)) {
  for (const int node : this->spec.nodes) {
    for (int caller = 0; caller < this->spec.callers_per_node; ++caller) {
      this->threads.emplace_back(
          [this, node, caller]() { this->Run(node, caller); });
    }
  }
}

SteadyLoad::~SteadyLoad() {
  this->Stop();
}

std::vector<LoadRecord> SteadyLoad::Stop() {
  this->is_stopped = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
  return std::move(this->records);
}

void SteadyLoad::Run(int node, int caller) {
  const std::chrono::duration<double> interval(this->spec.callers_per_node /
                                               this->spec.per_s_and_node);
  const auto step =
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(interval);
  SteadyTime due = std::chrono::steady_clock::now() +
                   step * caller / this->spec.callers_per_node;
  for (int number = 0; !this->is_stopped; ++number, due += step) {
    std::this_thread::sleep_until(due);
    LoadRecord record;
    record.id = "n" + std::to_string(node) + "-" + std::to_string(caller) +
                "-" + std::to_string(number);
    record.node = node;
    record.sent = std::chrono::steady_clock::now();
    const standins::PlainAnswer answer =
        this->cluster.Call(node, this->spec.host, this->spec.path, record.id,
                           this->spec.method, "", this->spec.left_ms);
    record.answered = std::chrono::steady_clock::now();
    record.status = answer.status;
    record.instance = answer.Header("response-seal");
    record.rate_limit = answer.Header("server-limit");
    record.retry_after = answer.Header("retry-after");
    record.says_leaving = answer.Header("server-leaving") == "1";
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->records.push_back(std::move(record));
  }
}

}  // namespace almondlink::test
