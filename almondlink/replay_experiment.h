#ifndef ALMONDLINK_TOOL_REPLAY_EXPERIMENT_H_
#define ALMONDLINK_TOOL_REPLAY_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/error.h"

namespace almondlink::tool {

/// What `replay --vary` was asked for.
struct ExperimentRequest {
  std::vector<std::string> traces;
  /// SETTING=A,B,C
  std::string vary;
  std::int32_t seeds = 0;
  std::int32_t jobs = 0;
  /// File for all outcomes; empty for none.
  std::string csv;
  /// Folder for the plots' data and scripts; empty for none.
  std::string plots;
};

/// Plays the variants, prints the table and writes the files. Errors:
/// kBadSettings, kIo, those of a trace.
Result<void> RunReplayExperiment(const ExperimentRequest& request);

}  // namespace almondlink::tool

#endif  // ALMONDLINK_TOOL_REPLAY_EXPERIMENT_H_
