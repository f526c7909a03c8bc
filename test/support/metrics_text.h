#ifndef ALMONDLINK_TEST_SUPPORT_METRICS_TEXT_H_
#define ALMONDLINK_TEST_SUPPORT_METRICS_TEXT_H_

#include <map>
#include <string>

namespace almondlink::test {

/// One sample's labels and its value.
using Labels = std::map<std::string, std::string>;

/// Metrics as a collector reads them.
struct MetricsText {
  /// By name and labels.
  std::map<std::pair<std::string, Labels>, double> samples;
  /// Type of each family.
  std::map<std::string, std::string> types;
  /// The first line that breaks the text exposition format, or empty.
  std::string fault;

  /// Sum of the samples of `name` that have all of `labels`.
  double Sum(const std::string& name, const Labels& labels) const;
};

/// Reads the text exposition format strictly: each sample stands below the type
/// of its family, names and labels are well formed, no series comes twice,
/// counters are not negative, and the classes of a histogram grow up to its
/// count.
MetricsText ParseMetrics(const std::string& text);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_METRICS_TEXT_H_
