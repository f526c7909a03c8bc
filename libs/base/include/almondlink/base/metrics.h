#ifndef ALMONDLINK_BASE_METRICS_H_
#define ALMONDLINK_BASE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "almondlink/base/clock.h"

namespace almondlink {

/// Figures of a LatencyRecorder, in milliseconds.
struct LatencySummary {
  std::uint64_t count = 0;
  double mean = 0;
  double p50 = 0;
  double p99 = 0;
  double max = 0;
};

/// Latency statistics by Boost.Accumulators (P-square quantiles, constant
/// memory). Not thread safe: one recorder belongs to one thread, which
/// publishes summaries to others.
class LatencyRecorder {
 public:
  LatencyRecorder();
  ~LatencyRecorder();
  LatencyRecorder(LatencyRecorder&&) noexcept;
  LatencyRecorder& operator=(LatencyRecorder&&) noexcept;

  /// Adds one sample.
  void Add(LatencyMs sample);
  /// Figures of all samples so far.
  LatencySummary Summary() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// Appends one line of the text exposition format. `labels` is empty or
/// `name="value",...`.
void WriteMetric(std::string& out,
                 const std::string& name,
                 const std::string& labels,
                 double value);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_METRICS_H_
