#include "almondlink/base/metrics.h"

// The quantile header uses std::ostringstream without including it.
#include <iomanip>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
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

}  // namespace almondlink
