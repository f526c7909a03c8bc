#ifndef ALMONDLINK_MODEL_EXPERIMENT_H_
#define ALMONDLINK_MODEL_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/model/outcome.h"
#include "almondlink/model/scenario.h"

/// Experiments: variants of a node's settings on the same traces with the same
/// seeds. What a variant changes is told from chance by the pairs: the same
/// arrivals reach both.
namespace almondlink::model {

/// One setting with one value; the first variant of an experiment is the
/// defaults, without a setting.
struct Variant {
  std::string setting;
  std::string value;
};

/// Reads `SETTING=A,B,C`. Errors: kBadSettings.
Result<std::vector<Variant>> ParseVariants(const std::string& text);

/// `setting=value`, or `default`.
std::string FormatVariant(const Variant& variant);

/// The outcomes of one variant on one trace, one for each seed.
struct VariantOutcomes {
  std::size_t variant_index = 0;
  std::size_t scenario_index = 0;
  std::vector<Outcome> outcomes;
};

/// Mean and standard deviation of one figure, and of its difference from that
/// of the defaults, seed by seed.
struct FigureStatistics {
  double mean = 0;
  double deviation = 0;
  double mean_change = 0;
  double change_deviation = 0;
};

/// Plays all variants on all traces with seeds 1 to `seeds`, `jobs` at a time.
/// The order of the result does not depend on `jobs`: by trace, then variant.
/// Preconditions: variants[0] is the defaults; `seeds` and `jobs` above 0.
/// Errors: kBadSettings if a setting cannot be varied.
Result<std::vector<VariantOutcomes>> RunExperiment(
    const std::vector<Scenario>& scenarios,
    const std::vector<Variant>& variants,
    std::uint64_t seeds,
    unsigned jobs);

/// A figure (see FigureOf) of a series beside that of the defaults.
FigureStatistics ComputeStatistics(const VariantOutcomes& series,
                                   const VariantOutcomes& defaults,
                                   const std::string& figure,
                                   const std::string& criticality);

/// Share of what was asked that ended whole, by the time it was asked, of one
/// class or (empty) of all by weight; one value per kBucketMs, mean over seeds.
/// Below 0 where nothing was asked.
std::vector<double> CompletedShareOverTime(const VariantOutcomes& series,
                                           const std::string& criticality);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_EXPERIMENT_H_
