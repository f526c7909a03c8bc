#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>

#include "almondlink/command.h"
#include "almondlink/config/ini_reader.h"
#include "almondlink/model/replay.h"
#include "almondlink/replay_experiment.h"

DEFINE_bool(compare,
            false,
            "replay: also without control and with a fixed limit");
DEFINE_bool(goodput, false, "replay: print weighted goodput over time");
DEFINE_string(vary,
              "",
              "replay: SETTING=A,B,...: also with these values of a setting of "
              "[decisions]");
DEFINE_int32(seeds, 0, "replay: play so many seeds, and print mean and spread");
DEFINE_int32(jobs, 4, "replay: seeds that are played at a time");
DEFINE_string(csv, "", "replay: file for the figures of each seed");
DEFINE_string(
    plots,
    "",
    "replay: folder for shares over time and the gnuplot scripts that "
    "draw them");

namespace almondlink::tool {

namespace {

/// Seeds of an experiment if none are given: a mean of six moves by half a
/// point between two sets.
constexpr std::int32_t kUsualSeeds = 6;

using model::ControlKind;
using model::Outcome;

double Figure(const Outcome& outcome,
              const char* name,
              const std::string& criticality) {
  double value = 0;
  model::FindFigure(outcome, name, criticality, value);
  return value;
}

void PrintHead() {
  std::printf("%-24s %-11s %8s %8s %8s %8s %8s %9s %9s %9s %7s %6s\n", "trace",
              "control", "weighted", "critical", "high", "normal", "shed.",
              "recovery", "tries/max", "tries/avg", "wasted", "order");
}

void PrintRow(const std::string& name,
              ControlKind control,
              const Outcome& outcome) {
  const char* const figure = "whole_share_in_cause";
  const std::size_t slash = name.rfind('/');
  const std::string base =
      name.substr(slash == std::string::npos ? 0 : slash + 1);
  const std::string shown = base.substr(0, base.find('.'));
  std::printf(
      "%-24s %-11s %7.1f%% %7.1f%% %7.1f%% %7.1f%% %7.1f%% %8.2fs %9.2f %9.2f "
      "%6.1f%% %6llu\n",
      shown.c_str(), ToString(control),
      100 * Figure(outcome, "weighted_share_in_cause", ""),
      100 * Figure(outcome, figure, "critical"),
      100 * Figure(outcome, figure, "high"),
      100 * Figure(outcome, figure, "normal"),
      100 * Figure(outcome, figure, "sheddable"),
      outcome.recovery_ms < 0 ? -1 : outcome.recovery_ms / 1000,
      outcome.attempts_max, outcome.attempts_mean,
      100 * Figure(outcome, "wasted_share", ""),
      static_cast<unsigned long long>(outcome.order_violations));
}

void PrintGoodput(const Outcome& outcome) {
  for (std::size_t i = 0; i + 3 < outcome.goodput.size(); i += 4) {
    std::printf("%6.1fs %8.0f\n", static_cast<double>(i) * 0.25,
                outcome.goodput[i] + outcome.goodput[i + 1] +
                    outcome.goodput[i + 2] + outcome.goodput[i + 3]);
  }
}

/// What a control is compared with: the baselines, and for the relay our
/// decisions before it.
std::vector<ControlKind> Others(ControlKind control) {
  if (control == ControlKind::kRelay) {
    return {ControlKind::kAlmondlink, ControlKind::kNone,
            ControlKind::kFixedLimit};
  }
  return {ControlKind::kNone, ControlKind::kFixedLimit};
}

Result<int> Replay(const Arguments& arguments) {
  if (arguments.empty()) {
    return Fail(ErrorKind::kBadSettings, "at least one trace is required");
  }
  if (!FLAGS_vary.empty() || FLAGS_seeds != 0) {
    ExperimentRequest request;
    request.traces = arguments;
    request.vary = FLAGS_vary;
    request.seeds = FLAGS_seeds == 0 ? kUsualSeeds : FLAGS_seeds;
    request.jobs = FLAGS_jobs;
    request.csv = FLAGS_csv;
    request.plots = FLAGS_plots;
    BOOST_LEAF_CHECK(RunReplayExperiment(request));
    return kExitOk;
  }
  int exit_code = kExitOk;
  PrintHead();
  for (const std::string& path : arguments) {
    BOOST_LEAF_AUTO(text, config::ReadFile(path));
    BOOST_LEAF_AUTO(scenario, model::ParseScenario(path, text, ""));
    const Outcome outcome = model::Replay(scenario, scenario.control);
    PrintRow(path, scenario.control, outcome);
    if (FLAGS_compare) {
      for (const ControlKind control : Others(scenario.control)) {
        PrintRow(path, control, model::Replay(scenario, control));
      }
    }
    if (FLAGS_goodput) {
      PrintGoodput(outcome);
    }
    for (const model::UnmetExpectation& difference :
         model::FindUnmetExpectations(scenario, outcome)) {
      std::cout << config::AtLine(path, difference.line, difference.text)
                << "\n";
      exit_code = kExitDiffers;
    }
  }
  return exit_code;
}

}  // namespace

std::vector<Command> ReplayCommands() {
  return {
      {"replay",
       "TRACE ... [--compare] [--goodput] | [--vary SETTING=A,B,...] "
       "[--seeds N] [--jobs J] [--csv FILE] [--plots DIR]",
       "Runs traces in virtual time through the same decisions as a node's\n"
       "and compares the outcome with what the trace states. Shares are of\n"
       "requests asked while the cause lasted; recovery is the time from its\n"
       "end until weighted goodput is back at 95 % of before.\n"
       "With --vary or --seeds an experiment: the defaults and the variants "
       "on\n"
       "the same seeds; change is against the defaults, seed by seed. Plots "
       "are\n"
       "drawn by `gnuplot DIR/*.gp`.\n"
       "Exit 0 as stated, 7 an outcome differs.",
       Replay}};
}

}  // namespace almondlink::tool
