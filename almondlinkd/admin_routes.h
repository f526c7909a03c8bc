#ifndef ALMONDLINKD_ADMIN_ROUTES_H_
#define ALMONDLINKD_ADMIN_ROUTES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "almondlink/server/admin_server.h"
#include "almondlinkd/report.h"
#include "almondlinkd/shared_state.h"
#include "almondlinkd/trace_recorder.h"

namespace almondlink::daemon {

/// What the admin port can ask of the node. Called on the admin threads.
struct AdminActions {
  std::function<NodeReport()> gather;
  std::function<void()> drain;
  std::function<void()> resume;
  std::function<void(std::uint32_t)> announce_slots;
};

/// The paths of the admin port (docs/OPERATIONS.md): /dump, /metrics, /health,
/// and by POST /drain, /resume, /announce, /trace/start, /trace/stop. `shared`
/// and `recorder` must outlive the server.
std::map<std::string, server::AdminHandler> MakeAdminRoutes(
    SharedState& shared,
    TraceRecorder& recorder,
    const AdminActions& actions);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_ADMIN_ROUTES_H_
