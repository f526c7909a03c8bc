#ifndef ALMONDLINKD_PLATFORM_THREAD_H_
#define ALMONDLINKD_PLATFORM_THREAD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "almondlink/control/usage.h"
#include "almondlink/policy/fold.h"
#include "almondlink/record_log/log_client.h"
#include "almondlinkd/shared_state.h"

namespace almondlink::daemon {

/// What the platform thread asks of the rest of the node. Called on its thread.
struct PlatformHooks {
  /// Members read from the log.
  std::function<void(std::vector<wire::Member>)> on_members;
  /// Another bundle is in force; the offset is plus one.
  std::function<void(std::uint64_t)> on_bundle;
  /// The node's own entry, to be announced.
  std::function<wire::Member()> self;
  /// Usage counted so far.
  std::function<control::UsageTable()> usage;
};

/// Counters of the platform thread.
struct PlatformReport {
  std::uint64_t reads = 0;
  std::uint64_t read_failures = 0;
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  bool is_log_up = false;
  std::uint64_t bundle_next_offset = 0;
  std::uint64_t usage_sequence = 0;
  std::vector<policy::HistoryEntry> history;
};

/// The node's work with the platform's log apart from claims: reads bundles and
/// members, announces the node, keeps the bundle in the log, appends usage. One
/// thread with blocking calls; the log's outages delay only what is here.
class PlatformThread {
 public:
  PlatformThread(SharedState& shared,
                 std::unique_ptr<record_log::Log> log,
                 PlatformHooks hooks);
  /// Stops the thread without a last usage record.
  ~PlatformThread();
  PlatformThread(const PlatformThread&) = delete;
  PlatformThread& operator=(const PlatformThread&) = delete;

  void Start();

  /// Takes a bundle from a peer. Thread safe; does not wait for the log.
  void AdoptFromPeer(const wire::StatePush& push);

  /// Stops the thread and appends a final usage record, trying for `patience`.
  /// True if the record is known to be in the log.
  bool Finish(Millis patience);

  /// Thread safe.
  PlatformReport Report() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/// Rules of the release fold from settings. Errors: kBadSettings.
Result<policy::FoldRules> MakeFoldRules(const config::Settings& settings,
                                        const policy::DeploymentKey& key);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_PLATFORM_THREAD_H_
