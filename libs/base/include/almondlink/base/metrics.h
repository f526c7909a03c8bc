#ifndef ALMONDLINK_BASE_METRICS_H_
#define ALMONDLINK_BASE_METRICS_H_

#include <cstddef>
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

/// A label of a sample, `name="value"`; the value cannot end its quotes.
std::string MetricLabel(const char* name, const std::string& value);

/// Counts of latencies in fixed classes from a quarter of a millisecond to ten
/// seconds (Boost.Histogram). Unlike quantiles they can be added up over nodes.
/// Not thread safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(LatencyMs sample);
  std::uint64_t Count() const;
  /// Sum of all samples, in milliseconds.
  double Sum() const;

  /// Calls `visit` with the upper bound of each class, in milliseconds, and the
  /// number of samples up to it.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (std::size_t i = 0; i < this->Classes(); ++i) {
      visit(this->Bound(i), this->CountUpTo(i));
    }
  }

 private:
  std::size_t Classes() const;
  double Bound(std::size_t index) const;
  std::uint64_t CountUpTo(std::size_t index) const;

  struct Impl;
  std::unique_ptr<Impl> impl;
};

/// Metrics in the text exposition format, family by family.
class MetricText {
 public:
  /// Begins the family `name`; `type` is counter, gauge or histogram. Samples
  /// that follow belong to it.
  void Begin(const std::string& name,
             const std::string& type,
             const std::string& help);
  /// Adds a sample of the family. `labels` is empty or `name="value",...`.
  void Add(const std::string& labels, double value);
  /// Adds a histogram of the family, if it has samples.
  void AddHistogram(const std::string& labels,
                    const LatencyHistogram& histogram);
  /// A family of one sample.
  void AddSingle(const std::string& name,
                 const std::string& type,
                 const std::string& help,
                 double value);

  const std::string& Text() const { return this->text; }

 private:
  std::string family;
  std::string text;
};

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_METRICS_H_
