#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/command.h"

/// almondlink: the operator's tool. `almondlink help` lists the subcommands.

namespace {

using almondlink::Failure;
using almondlink::tool::Arguments;
using almondlink::tool::Command;

std::vector<Command> AllCommands() {
  std::vector<Command> all;
  for (const auto& part :
       {almondlink::tool::BundleCommands(), almondlink::tool::NodeCommands(),
        almondlink::tool::UsageCommands(), almondlink::tool::ReplayCommands(),
        almondlink::tool::ExplainCommands(),
        almondlink::tool::FleetCommands()}) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

void PrintUsage(std::ostream& out) {
  out << "usage: almondlink SUBCOMMAND [ARGUMENT ...] [--FLAG=VALUE ...]\n\n";
  for (const Command& command : AllCommands()) {
    out << "  " << command.name << " " << command.arguments << "\n";
  }
  out << "  help SUBCOMMAND\n\nFlags may stand in a file: --flagfile=FILE\n";
}

/// The command that the words start with; takes its words off.
const Command* FindCommand(const std::vector<Command>& commands,
                           Arguments& words) {
  for (const Command& command : commands) {
    std::string joined;
    for (std::size_t used = 0; used < words.size() && used < 2; ++used) {
      joined += (used == 0 ? "" : " ") + words[used];
      if (joined == command.name) {
        words.erase(words.begin(),
                    words.begin() + static_cast<std::ptrdiff_t>(used) + 1);
        return &command;
      }
    }
  }
  return nullptr;
}

int PrintHelp(const std::vector<Command>& commands, Arguments words) {
  const Command* command = FindCommand(commands, words);
  if (command == nullptr) {
    PrintUsage(std::cout);
    return almondlink::tool::kExitOk;
  }
  std::cout << "almondlink " << command->name << " " << command->arguments
            << "\n\n"
            << command->help << "\n";
  return almondlink::tool::kExitOk;
}

int ExitCodeFor(const Failure& failure) {
  std::cerr << "almondlink: " << failure.detail << "\n";
  switch (failure.kind) {
    case almondlink::ErrorKind::kConflict:
      return almondlink::tool::kExitConflict;
    case almondlink::ErrorKind::kIo:
    case almondlink::ErrorKind::kTimedOut:
      return almondlink::tool::kExitIo;
    case almondlink::ErrorKind::kBadBundle:
    case almondlink::ErrorKind::kBadSignature:
    case almondlink::ErrorKind::kBadRecord:
      return almondlink::tool::kExitFaults;
    default:
      return almondlink::tool::kExitUsage;
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("almondlink help");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  almondlink::StartLogging("tool", almondlink::Level::kError);
  const std::vector<Command> commands = AllCommands();
  Arguments words(argv + 1, argv + argc);
  if (!words.empty() && words.front() == "help") {
    words.erase(words.begin());
    return PrintHelp(commands, words);
  }
  const Command* command = FindCommand(commands, words);
  if (command == nullptr) {
    PrintUsage(std::cerr);
    return almondlink::tool::kExitUsage;
  }
  const int exit_code = almondlink::HandleFailure(
      [&]() { return command->run(words); }, ExitCodeFor);
  almondlink::FinishLog(almondlink::Millis{500});
  return exit_code;
}
