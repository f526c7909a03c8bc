#include "almondlink/base/metrics.h"

// The quantile header uses std::ostringstream without including it.
#include <iomanip>
#include <sstream>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>
#include <tuple>
#include <vector>

namespace almondlink {

namespace acc = boost::accumulators;

namespace {

const std::vector<double>& Probabilities() {
  static const std::vector<double> kProbabilities = {0.5, 0.9, 0.99, 0.999};
  return kProbabilities;
}

}  // namespace

struct LatencyRecorder::Impl {
  acc::accumulator_set<
      double,
      acc::stats<acc::tag::count,
                 acc::tag::mean,
                 acc::tag::max,
                 acc::tag::extended_p_square_quantile(acc::quadratic)>>
      set{acc::extended_p_square_probabilities = Probabilities()};
};

LatencyRecorder::LatencyRecorder() : impl(std::make_unique<Impl>()) {}
LatencyRecorder::~LatencyRecorder() = default;
LatencyRecorder::LatencyRecorder(LatencyRecorder&&) noexcept = default;
LatencyRecorder& LatencyRecorder::operator=(LatencyRecorder&&) noexcept =
    default;

void LatencyRecorder::Add(LatencyMs sample) {
  this->impl->set(sample.count);
}

LatencySummary LatencyRecorder::Summary() const {
  LatencySummary summary;
  summary.count = acc::count(this->impl->set);
  if (summary.count == 0) {
    return summary;
  }
  summary.mean = acc::mean(this->impl->set);
  summary.max = acc::max(this->impl->set);
  summary.p50 = acc::quantile(this->impl->set, acc::quantile_probability = 0.5);
  summary.p99 =
      acc::quantile(this->impl->set, acc::quantile_probability = 0.99);
  return summary;
}

void WriteMetric(std::string& out,
                 const std::string& name,
                 const std::string& labels,
                 double value) {
  std::ostringstream line;
  // Counters stay exact however large they grow.
  line << std::setprecision(15) << "almondlink_" << name;
  if (!labels.empty()) {
    line << '{' << labels << '}';
  }
  line << ' ' << value << '\n';
  out += line.str();
}

std::string MetricLabel(const char* name, const std::string& value) {
  std::string label = name;
  label += "=\"";
  for (const char letter : value) {
    if (letter == '\\' || letter == '"') {
      label += '\\';
    }
    if (letter == '\n') {
      label += "\\n";
    } else {
      label += letter;
    }
  }
  label += '"';
  return label;
}

namespace {

namespace hist = boost::histogram;

/// Upper bounds of the classes, in milliseconds: three to a decade, from the
/// time that a relay adds to the longest that callers wait.
const std::vector<double>& LatencyBounds() {
  static const std::vector<double> kBounds = {0,    0.25, 0.5,  1,    2,   5,
                                              10,   20,   50,   100,  200, 500,
                                              1000, 2000, 5000, 10000};
  return kBounds;
}

using LatencyAxis = hist::axis::
    variable<double, hist::use_default, hist::axis::option::overflow_t>;
using LatencyCounts = hist::histogram<
    std::tuple<LatencyAxis>,
    hist::dense_storage<hist::accumulators::count<std::uint64_t>>>;

}  // namespace

struct LatencyHistogram::Impl {
  LatencyCounts counts{LatencyAxis(LatencyBounds())};
  std::uint64_t samples = 0;
  double sum = 0;
};

LatencyHistogram::LatencyHistogram() : impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(LatencyMs sample) {
  // Differences of two clocks can come out a little below nothing.
  const double value = std::max(0.0, sample.count);
  this->impl->counts(value);
  ++this->impl->samples;
  this->impl->sum += value;
}

std::uint64_t LatencyHistogram::Count() const {
  return this->impl->samples;
}

double LatencyHistogram::Sum() const {
  return this->impl->sum;
}

std::size_t LatencyHistogram::Classes() const {
  return LatencyBounds().size() - 1;
}

double LatencyHistogram::Bound(std::size_t index) const {
  return LatencyBounds()[index + 1];
}

std::uint64_t LatencyHistogram::CountUpTo(std::size_t index) const {
  std::uint64_t count = 0;
  for (std::size_t i = 0; i <= index; ++i) {
    count += this->impl->counts.at(static_cast<int>(i)).value();
  }
  return count;
}

void MetricText::Begin(const std::string& name,
                       const std::string& type,
                       const std::string& help) {
  this->family = name;
  this->text += "# HELP almondlink_" + name + " " + help + "\n";
  this->text += "# TYPE almondlink_" + name + " " + type + "\n";
}

void MetricText::Add(const std::string& labels, double value) {
  WriteMetric(this->text, this->family, labels, value);
}

void MetricText::AddHistogram(const std::string& labels,
                              const LatencyHistogram& histogram) {
  if (histogram.Count() == 0) {
    return;
  }
  const std::string name = this->family;
  const std::string before = labels.empty() ? "" : labels + ",";
  histogram.ForEach([&](double bound, std::uint64_t count) {
    std::ostringstream le;
    le << before << "le=\"" << bound << '"';
    WriteMetric(this->text, name + "_bucket", le.str(),
                static_cast<double>(count));
  });
  const double count = static_cast<double>(histogram.Count());
  WriteMetric(this->text, name + "_bucket", before + "le=\"+Inf\"", count);
  WriteMetric(this->text, name + "_sum", labels, histogram.Sum());
  WriteMetric(this->text, name + "_count", labels, count);
}

void MetricText::AddSingle(const std::string& name,
                           const std::string& type,
                           const std::string& help,
                           double value) {
  this->Begin(name, type, help);
  this->Add("", value);
}

}  // namespace almondlink
