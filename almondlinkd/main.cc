#include <gflags/gflags.h>

#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <iostream>

#include "almondlink/base/event_log.h"
#include "almondlink/base/rcu.h"
#include "almondlink/config/load_settings.h"
#include "almondlinkd/node.h"
#include "platform/sidecar.h"

/// almondlinkd: one node beside one target.
///
/// Exit codes: 0 a graceful stop, 2 bad settings or command line, 3 a port or
/// file could not be opened, 4 stopped with work in flight.

DEFINE_string(config, "", "settings file (INI); see docs/SETTINGS.md");
DEFINE_bool(check, false, "only check the settings and exit");

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;
/// Time for the last log lines to be taken.
constexpr almondlink::Millis kLastLines{500};

almondlink::daemon::Node* running_node = nullptr;

extern "C" void HandleStopSignal(int /*number*/) {
  running_node->RequestStop();
}

int ReportFailure(const almondlink::Failure& failure) {
  std::cerr << failure.detail << "\n";
  return failure.kind == almondlink::ErrorKind::kIo ? kExitCannotStart
                                                    : kExitBadSettings;
}

/// Lets the allocator return the memory of large bodies to the system. By
/// default, glibc raises both thresholds to the size of the largest body that
/// was freed, and a node kept 33 MB after uploads of 16 MB.
void LimitRetainedMemory() {
  constexpr int kMapThreshold = 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  mallopt(M_TRIM_THRESHOLD, 2 * kMapThreshold);
}

int Run(const almondlink::config::Settings& settings) {
  almondlink::Level level = almondlink::Level::kInfo;
  if (!almondlink::ParseLevel(settings.logging.level, level)) {
    std::cerr << FLAGS_config
              << ": [logging] level: allowed: debug, info, warning, error\n";
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_config << ": ok\n";
    return 0;
  }
  almondlink::StartLogging(settings.node.id, level);
  if (settings.relay.enabled) {
    LimitRetainedMemory();
    return almondlink::platform::RunSidecar(FLAGS_config, settings);
  }
  const almondlink::RcuThread rcu;
  almondlink::daemon::Node node(settings);
  const int started = almondlink::HandleFailure(
      [&]() -> almondlink::Result<int> {
        BOOST_LEAF_CHECK(node.Start());
        return 0;
      },
      [](const almondlink::Failure& failure) {
        almondlink::LogEvent(almondlink::kEventCannotStart,
                             {{"reason", failure.detail}});
        return ReportFailure(failure);
      });
  if (started != 0) {
    almondlink::FinishLog(kLastLines);
    return started;
  }
  running_node = &node;
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
  const int exit_code = node.RunUntilStopped();
  almondlink::FinishLog(kLastLines);
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("almondlinkd --config node.ini");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_config.empty() || argc != 1) {
    std::cerr << "usage: almondlinkd --config node.ini\n";
    return kExitBadSettings;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return almondlink::HandleFailure(
      [&]() -> almondlink::Result<int> {
        BOOST_LEAF_AUTO(settings,
                        almondlink::config::LoadSettings(FLAGS_config));
        return Run(settings);
      },
      ReportFailure);
}
