#ifndef ALMONDLINK_MODEL_EXPERIMENT_H_
#define ALMONDLINK_MODEL_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/model/outcome.h"
#include "almondlink/model/scenario.h"

/// Experiments compare variants of a node's settings on the same scenarios and
/// seeds. The comparison is paired: a variant and the defaults get the same
/// arrivals for each seed, which separates the effect of a setting from chance.
namespace almondlink::model {

/// One setting with one value. The first variant of an experiment has no
/// setting and stands for the defaults.
struct Variant {
  std::string setting;
  std::string value;
};

/// Parses `SETTING=A,B,C` into one variant per value; the setting and its
/// values are checked by SetRule. Errors: kBadSettings.
Result<std::vector<Variant>> ParseVariants(const std::string& text);

/// Returns `setting=value`, or `default` for the defaults.
std::string FormatVariant(const Variant& variant);

/// The outcomes of one variant on one scenario, in order of the seeds.
struct VariantOutcomes {
  std::size_t variant_index = 0;
  std::size_t scenario_index = 0;
  std::vector<Outcome> outcomes;
};

/// Mean and standard deviation of a figure over the seeds, and of its
/// difference from the defaults with the same seed.
struct FigureStatistics {
  double mean = 0;
  double deviation = 0;
  double mean_change = 0;
  double change_deviation = 0;
};

/// Replays all variants on all scenarios with seeds 1 to `seeds`, in `jobs`
/// threads. The result is ordered by scenario, then by variant, whatever
/// `jobs`. Preconditions: variants[0] is the defaults; `seeds` and `jobs` above
/// 0. Errors: kBadSettings if a setting cannot be varied.
Result<std::vector<VariantOutcomes>> RunExperiment(
    const std::vector<Scenario>& scenarios,
    const std::vector<Variant>& variants,
    std::uint64_t seeds,
    unsigned jobs);

/// Statistics of a figure (see FindFigure) of a variant, compared with the
/// defaults on the same scenario.
FigureStatistics ComputeStatistics(const VariantOutcomes& series,
                                   const VariantOutcomes& defaults,
                                   const std::string& figure,
                                   const std::string& criticality);

/// Share of requests that completed, by arrival time: of one criticality class,
/// or (empty) of all classes by weight. One value per kBucketMs over all seeds;
/// negative where no request arrived, empty if there is no such class.
std::vector<double> CompletedShareOverTime(const VariantOutcomes& series,
                                           const std::string& criticality);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_EXPERIMENT_H_
