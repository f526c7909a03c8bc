#include "almondlinkd/admin_routes.h"

#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/config/setting.h"

namespace almondlink::daemon {

namespace {

using server::AdminAnswer;
using server::AdminHandler;
using server::AdminRequest;

constexpr std::int64_t kMostSlots = 100'000;

AdminAnswer Plain(unsigned status, const std::string& text) {
  return AdminAnswer{status, "text/plain", text + "\n"};
}

/// Lets only POST through, for what changes something.
AdminHandler PostOnly(AdminHandler handler) {
  return [handler = std::move(handler)](const AdminRequest& request) {
    return request.method == "POST" ? handler(request) : Plain(405, "use POST");
  };
}

AdminAnswer Health(const SharedState& shared) {
  const RcuThread rcu;
  if (shared.bundle.Read() == nullptr) {
    return Plain(503, "no bundle");
  }
  return shared.is_draining.load() ? Plain(503, "draining") : Plain(200, "ok");
}

/// `slots=N` of a query, or 0.
std::int64_t SlotsOf(const std::string& query) {
  const std::string name = "slots=";
  if (query.rfind(name, 0) != 0) {
    return 0;
  }
  return HandleFailure(
      [&]() { return config::ParseWhole(query.substr(name.size())); },
      [](const Failure&) { return std::int64_t{0}; });
}

AdminAnswer StartTrace(const SharedState& shared, TraceRecorder& recorder) {
  const std::string& path = shared.settings.logging.trace_file;
  if (path.empty()) {
    return Plain(409, "[logging] trace_file is not set");
  }
  return HandleFailure(
      [&]() -> Result<AdminAnswer> {
        BOOST_LEAF_CHECK(recorder.Start(path));
        LogEvent(kEventTraceOn, {{"file", path}});
        return Plain(200, "on");
      },
      [](const Failure& failure) { return Plain(500, failure.detail); });
}

}  // namespace

std::map<std::string, AdminHandler> MakeAdminRoutes(
    SharedState& shared,
    TraceRecorder& recorder,
    const AdminActions& actions) {
  std::map<std::string, AdminHandler> routes;
  routes["/dump"] = [gather = actions.gather](const AdminRequest&) {
    return AdminAnswer{200, "application/json", ToJson(gather())};
  };
  routes["/metrics"] = [gather = actions.gather](const AdminRequest&) {
    return AdminAnswer{200, "text/plain; version=0.0.4", ToMetrics(gather())};
  };
  routes["/health"] = [&shared](const AdminRequest&) { return Health(shared); };
  routes["/drain"] = PostOnly([drain = actions.drain](const AdminRequest&) {
    drain();
    return Plain(200, "draining");
  });
  routes["/resume"] = PostOnly([resume = actions.resume](const AdminRequest&) {
    resume();
    return Plain(200, "serving");
  });
  routes["/announce"] = PostOnly(
      [announce = actions.announce_slots](const AdminRequest& request) {
        const std::int64_t slots = SlotsOf(request.query);
        if (slots < 1 || slots > kMostSlots) {
          return Plain(400, "slots: allowed: 1 to 100000");
        }
        announce(static_cast<std::uint32_t>(slots));
        return Plain(200, "announced");
      });
  routes["/trace/start"] = PostOnly(
      [&](const AdminRequest&) { return StartTrace(shared, recorder); });
  routes["/trace/stop"] = PostOnly([&](const AdminRequest&) {
    recorder.Stop();
    LogEvent(kEventTraceOff);
    return Plain(200, "off");
  });
  return routes;
}

}  // namespace almondlink::daemon
