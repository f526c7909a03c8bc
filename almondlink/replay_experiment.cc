#include "almondlink/replay_experiment.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

#include "almondlink/config/ini_reader.h"
#include "almondlink/model/experiment.h"

namespace almondlink::tool {

namespace {

using model::FigureStatistics;
using model::Variant;
using model::VariantOutcomes;

constexpr double kSecondsPerBucket = model::kBucketMs / 1000;

/// A column of the table and of the file.
struct Column {
  const char* title;
  const char* figure;
  const char* criticality;
  double scale;
};

constexpr std::array<Column, 5> kColumns = {
    {{"weighted", "weighted_share_in_cause", "", 100},
     {"critical", "whole_share_in_cause", "critical", 100},
     {"high", "whole_share_in_cause", "high", 100},
     {"normal", "whole_share_in_cause", "normal", 100},
     {"wasted", "wasted_share", "", 100}}};

/// The file's name without folder and ending.
std::string BaseOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string base =
      path.substr(slash == std::string::npos ? 0 : slash + 1);
  return base.substr(0, base.find('.'));
}

Result<void> WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    return Fail(ErrorKind::kIo,
                path + ": cannot be written: " + std::strerror(errno));
  }
  return {};
}

void PrintTable(const std::vector<std::string>& names,
                const std::vector<Variant>& variants,
                const std::vector<VariantOutcomes>& all) {
  std::printf("%-24s %-22s", "trace", "variant");
  for (const Column& column : kColumns) {
    std::printf(" %8s %6s", column.title, "dev.");
  }
  std::printf(" %9s %6s\n", "change", "dev.");
  for (const VariantOutcomes& series : all) {
    const VariantOutcomes& defaults =
        all[series.scenario_index * variants.size()];
    std::printf("%-24s %-22s", names[series.scenario_index].c_str(),
                model::FormatVariant(variants[series.variant_index]).c_str());
    for (const Column& column : kColumns) {
      const FigureStatistics spread = model::ComputeStatistics(
          series, defaults, column.figure, column.criticality);
      std::printf(" %7.1f%% %6.2f", spread.mean * column.scale,
                  spread.deviation * column.scale);
    }
    const FigureStatistics weighted = model::ComputeStatistics(
        series, defaults, kColumns[0].figure, kColumns[0].criticality);
    std::printf(" %+8.2f%% %6.2f\n", weighted.mean_change * kColumns[0].scale,
                weighted.change_deviation * kColumns[0].scale);
  }
}

std::string CsvOf(const std::vector<std::string>& names,
                  const std::vector<Variant>& variants,
                  const std::vector<VariantOutcomes>& all) {
  std::ostringstream text;
  text << "trace,setting,value,seed";
  for (const Column& column : kColumns) {
    text << "," << column.title;
  }
  text << ",recovery_ms\n";
  for (const VariantOutcomes& series : all) {
    const Variant& variant = variants[series.variant_index];
    for (std::size_t i = 0; i < series.outcomes.size(); ++i) {
      text << names[series.scenario_index] << "," << variant.setting << ","
           << variant.value << "," << i + 1;
      for (const Column& column : kColumns) {
        double value = 0;
        model::FindFigure(series.outcomes[i], column.figure, column.criticality,
                          value);
        text << "," << value;
      }
      text << "," << series.outcomes[i].recovery_ms << "\n";
    }
  }
  return text.str();
}

/// Shares over time of all variants on one trace, a block for each variant.
std::string PlotDataOf(const std::vector<const VariantOutcomes*>& variants) {
  std::ostringstream text;
  for (const VariantOutcomes* series : variants) {
    const std::vector<double> all = model::CompletedShareOverTime(*series, "");
    const std::vector<double> critical =
        model::CompletedShareOverTime(*series, "critical");
    const std::vector<double> normal =
        model::CompletedShareOverTime(*series, "normal");
    for (std::size_t i = 0; i < all.size(); ++i) {
      // Nothing asked: a gap in the line.
      const auto put = [&text](double share) {
        if (share < 0) {
          text << " NaN";
        } else {
          text << " " << share;
        }
      };
      text << static_cast<double>(i) * kSecondsPerBucket;
      put(all[i]);
      put(critical[i]);
      put(normal[i]);
      text << "\n";
    }
    text << "\n\n";
  }
  return text.str();
}

/// A gnuplot script that draws the data as SVG: by weight, the most valued
/// class and the usual one, a line for each variant.
std::string PlotScriptOf(const std::string& name,
                         const std::string& folder,
                         const std::vector<std::string>& variants) {
  std::ostringstream text;
  text << "set terminal svg size 900,700 font 'sans,11'\n"
       << "set output '" << folder << "/" << name << ".svg'\n"
       << "set multiplot layout 3,1 title '" << name << "' noenhanced\n"
       << "set yrange [0:1.05]\nset grid\nset key outside right noenhanced\n";
  const std::array<const char*, 3> titles = {"all, by weight", "critical",
                                             "normal"};
  for (std::size_t panel = 0; panel < titles.size(); ++panel) {
    text << "set ylabel 'whole: " << titles[panel] << "'\n"
         << (panel + 1 == titles.size() ? "set xlabel 'asked at, s'\n" : "")
         << "plot";
    for (std::size_t i = 0; i < variants.size(); ++i) {
      text << (i == 0 ? " " : ", ") << "'" << folder << "/" << name
           << ".dat' index " << i << " using 1:" << panel + 2
           << " with lines title '" << variants[i] << "'";
    }
    text << "\n";
  }
  text << "unset multiplot\n";
  return text.str();
}

Result<void> WritePlots(const std::string& folder,
                        const std::vector<std::string>& names,
                        const std::vector<Variant>& variants,
                        const std::vector<VariantOutcomes>& all) {
  std::vector<std::string> titles;
  titles.reserve(variants.size());
  for (const Variant& variant : variants) {
    titles.push_back(model::FormatVariant(variant));
  }
  for (std::size_t trace = 0; trace < names.size(); ++trace) {
    std::vector<const VariantOutcomes*> of_trace;
    for (const VariantOutcomes& series : all) {
      if (series.scenario_index == trace) {
        of_trace.push_back(&series);
      }
    }
    const std::string path = folder + "/" + names[trace];
    BOOST_LEAF_CHECK(WriteFile(path + ".dat", PlotDataOf(of_trace)));
    BOOST_LEAF_CHECK(
        WriteFile(path + ".gp", PlotScriptOf(names[trace], folder, titles)));
  }
  return {};
}

}  // namespace

Result<void> RunReplayExperiment(const ExperimentRequest& request) {
  constexpr std::int32_t kMostSeeds = 10'000;
  constexpr std::int32_t kMostJobs = 256;
  if (request.seeds < 1 || request.seeds > kMostSeeds) {
    return Fail(ErrorKind::kBadSettings, "--seeds is not between 1 and 10000");
  }
  if (request.jobs < 1 || request.jobs > kMostJobs) {
    return Fail(ErrorKind::kBadSettings, "--jobs is not between 1 and 256");
  }
  std::vector<Variant> variants = {Variant()};
  if (!request.vary.empty()) {
    BOOST_LEAF_AUTO(given, model::ParseVariants(request.vary));
    variants.insert(variants.end(), given.begin(), given.end());
  }
  std::vector<model::Scenario> traces;
  std::vector<std::string> names;
  for (const std::string& path : request.traces) {
    BOOST_LEAF_AUTO(text, config::ReadFile(path));
    BOOST_LEAF_AUTO(scenario, model::ParseScenario(path, text, ""));
    if (scenario.control != model::ControlKind::kRelay) {
      return Fail(ErrorKind::kBadSettings,
                  path + ": only traces of a relay can be varied");
    }
    traces.push_back(std::move(scenario));
    names.push_back(BaseOf(path));
  }
  BOOST_LEAF_AUTO(
      all, model::RunExperiment(traces, variants,
                                static_cast<std::uint64_t>(request.seeds),
                                static_cast<unsigned>(request.jobs)));
  PrintTable(names, variants, all);
  if (!request.csv.empty()) {
    BOOST_LEAF_CHECK(WriteFile(request.csv, CsvOf(names, variants, all)));
  }
  if (!request.plots.empty()) {
    BOOST_LEAF_CHECK(WritePlots(request.plots, names, variants, all));
  }
  return {};
}

}  // namespace almondlink::tool
