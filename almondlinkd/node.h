#ifndef ALMONDLINKD_NODE_H_
#define ALMONDLINKD_NODE_H_

#include <memory>

#include "almondlink/base/error.h"
#include "almondlink/config/settings.generated.h"

namespace almondlink::daemon {

/// One node: all its threads, ports and state.
///
/// Threads: one target loop (peer port, gossip, the target's side), the entry
/// loops (callers), the platform thread, the claim writer, and the admin
/// port's.
class Node {
 public:
  explicit Node(const config::Settings& settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Opens the ports and starts. Errors: kBadSettings, kIo; nothing runs then.
  Result<void> Start();

  /// Serves until a stop is asked for, then stops gracefully: announces, takes
  /// no new work, finishes what is in flight, appends usage. Returns the exit
  /// code: 0, or 4 if work was still in flight at the longest deadline.
  int RunUntilStopped();

  /// Asks for a stop. Async-signal safe and thread safe.
  void RequestStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_NODE_H_
