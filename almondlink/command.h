#ifndef ALMONDLINK_TOOL_COMMAND_H_
#define ALMONDLINK_TOOL_COMMAND_H_

#include <string>
#include <vector>

#include "almondlink/base/error.h"

/// Subcommands of the operator's tool.
namespace almondlink::tool {

// Exit codes of the tool (docs/CLI.md).
constexpr int kExitOk = 0;
constexpr int kExitFaults = 1;
constexpr int kExitUsage = 2;
constexpr int kExitIo = 3;
constexpr int kExitConflict = 5;
constexpr int kExitNotInForce = 6;
constexpr int kExitDiffers = 7;

/// Words after the subcommand, flags taken out.
using Arguments = std::vector<std::string>;

/// One subcommand.
struct Command {
  /// One or two words, for example `bundle check`.
  const char* name;
  const char* arguments;
  const char* help;
  Result<int> (*run)(const Arguments& arguments);
};

/// Subcommands of each file.
std::vector<Command> BundleCommands();
std::vector<Command> NodeCommands();
std::vector<Command> UsageCommands();
std::vector<Command> ReplayCommands();
std::vector<Command> ExplainCommands();
std::vector<Command> FleetCommands();

}  // namespace almondlink::tool

#endif  // ALMONDLINK_TOOL_COMMAND_H_
