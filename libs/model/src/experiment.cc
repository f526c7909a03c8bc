#include "almondlink/model/experiment.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

#include "almondlink/model/replay.h"

namespace almondlink::model {

namespace {

double MeanOf(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double DeviationOf(const std::vector<double>& values) {
  if (values.size() < 2) {
    return 0;
  }
  const double mean = MeanOf(values);
  double squares = 0;
  for (const double value : values) {
    squares += (value - mean) * (value - mean);
  }
  return std::sqrt(squares / static_cast<double>(values.size() - 1));
}

std::vector<double> FigureValues(const VariantOutcomes& series,
                                 const std::string& figure,
                                 const std::string& criticality) {
  std::vector<double> values;
  for (const Outcome& outcome : series.outcomes) {
    double value = 0;
    FindFigure(outcome, figure, criticality, value);
    values.push_back(value);
  }
  return values;
}

void AddTo(std::vector<double>& sum, const std::vector<double>& more) {
  sum.resize(std::max(sum.size(), more.size()));
  for (std::size_t i = 0; i < more.size(); ++i) {
    sum[i] += more[i];
  }
}

}  // namespace

Result<std::vector<Variant>> ParseVariants(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == text.size()) {
    return Fail(ErrorKind::kBadSettings,
                "expected SETTING=VALUE,..., got '" + text + "'");
  }
  const std::string setting = text.substr(0, equals);
  std::vector<Variant> variants;
  std::size_t start = equals + 1;
  while (start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    variants.push_back({setting, text.substr(start, comma - start)});
    start = comma + 1;
  }
  return variants;
}

std::string FormatVariant(const Variant& variant) {
  return variant.setting.empty() ? "default"
                                 : variant.setting + "=" + variant.value;
}

Result<std::vector<VariantOutcomes>> RunExperiment(
    const std::vector<Scenario>& scenarios,
    const std::vector<Variant>& variants,
    std::uint64_t seeds,
    unsigned jobs) {
  std::vector<VariantOutcomes> all;
  std::vector<Scenario> varied;
  for (std::size_t i = 0; i < scenarios.size(); ++i) {
    for (std::size_t variant = 0; variant < variants.size(); ++variant) {
      Scenario scenario = scenarios[i];
      if (!variants[variant].setting.empty()) {
        BOOST_LEAF_CHECK(SetRule(variants[variant].setting,
                                 variants[variant].value,
                                 scenario.relay_rules));
      }
      varied.push_back(std::move(scenario));
      VariantOutcomes series;
      series.variant_index = variant;
      series.scenario_index = i;
      series.outcomes.resize(seeds);
      all.push_back(std::move(series));
    }
  }
  const std::size_t replays = all.size() * seeds;
  std::atomic<std::size_t> next{0};
  const auto work = [&]() {
    for (std::size_t replay = next++; replay < replays; replay = next++) {
      const std::size_t index = replay / seeds;
      Scenario scenario = varied[index];
      scenario.seed = replay % seeds + 1;
      all[index].outcomes[replay % seeds] = Replay(scenario, scenario.control);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned job = 0; job < jobs; ++job) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return all;
}

FigureStatistics ComputeStatistics(const VariantOutcomes& series,
                                   const VariantOutcomes& defaults,
                                   const std::string& figure,
                                   const std::string& criticality) {
  const std::vector<double> values = FigureValues(series, figure, criticality);
  std::vector<double> changes = FigureValues(defaults, figure, criticality);
  for (std::size_t i = 0; i < changes.size(); ++i) {
    changes[i] = values[i] - changes[i];
  }
  return {MeanOf(values), DeviationOf(values), MeanOf(changes),
          DeviationOf(changes)};
}

std::vector<double> CompletedShareOverTime(const VariantOutcomes& series,
                                           const std::string& criticality) {
  std::vector<double> completed;
  std::vector<double> requested;
  for (const Outcome& outcome : series.outcomes) {
    if (criticality.empty()) {
      AddTo(completed, outcome.completed_by_arrival);
      AddTo(requested, outcome.requested);
      continue;
    }
    for (std::uint32_t i = 0; i < kCriticalityCount; ++i) {
      if (criticality == ToString(static_cast<Criticality>(i))) {
        AddTo(completed, outcome.class_counts[i].completed);
        AddTo(requested, outcome.class_counts[i].requests);
      }
    }
  }
  for (std::size_t i = 0; i < completed.size(); ++i) {
    completed[i] = requested[i] > 0 ? completed[i] / requested[i] : -1;
  }
  return completed;
}

}  // namespace almondlink::model
