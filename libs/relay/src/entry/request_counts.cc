#include "almondlink/relay/request_counts.h"

#include <array>

namespace almondlink::relay {

namespace {

/// Maximum number of routes with their own series; policies are expected to
/// hold a few hundred. Further routes share one series, so that a growing
/// policy cannot grow the node's memory without bound.
constexpr std::size_t kMaxRoutes = 256;
/// Keys of requests without a route and of routes beyond the limit. They match
/// no route: route keys are hashes, and 0 means none.
constexpr std::uint32_t kNoRouteKey = 0;
constexpr std::uint32_t kOtherRoutesKey = 1;
/// Maximum number of client accounts with their own series; later ones share
/// one.
constexpr std::size_t kMaxAccounts = 256;

}  // namespace

const char* ToString(RequestOutcome outcome) {
  static constexpr std::array<const char*, 10> kNames = {
      "served",      "failed_by_target", "refused_at_entry", "not_run",
      "timed_out",   "unknown",          "no_route",         "caller_left",
      "unknown_key", "over_quota"};
  return kNames[static_cast<std::size_t>(outcome)];
}

RequestCounts::RouteCounts& RequestCounts::CountsFor(
    const policy::Route* route) {
  std::uint32_t key = route == nullptr ? kNoRouteKey : route->key.Value();
  const auto known = this->routes.find(key);
  if (known != this->routes.end()) {
    return known->second;
  }
  const bool is_over_limit = this->routes.size() >= kMaxRoutes;
  key = is_over_limit ? kOtherRoutesKey : key;
  RouteCounts& fresh = this->routes[key];
  if (is_over_limit) {
    fresh.name = "others";
  } else if (route != nullptr) {
    fresh.name = route->name;
    fresh.is_repeatable = route->is_repeatable;
  }
  return fresh;
}

void RequestCounts::CountRequest(const policy::Route* route,
                                 bool is_root,
                                 RequestOutcome outcome,
                                 CallReason reason,
                                 LatencyMs latency) {
  RouteCounts& counts = this->CountsFor(route);
  ++(is_root ? counts.roots : counts.calls)[{outcome, reason}];
  counts.latency.Add(latency);
}

void RequestCounts::CountAccountRequest(const std::string& account,
                                        RequestOutcome outcome) {
  const bool has_own_series =
      this->accounts.size() < kMaxAccounts || this->accounts.count(account) > 0;
  ++this->accounts[has_own_series ? account : "others"][outcome];
}

void RequestCounts::CountRepeat(const policy::Route& route, CallReason after) {
  ++this->CountsFor(&route).repeats[after];
}

void RequestCounts::CountMove(const policy::Route& route, CallReason after) {
  ++this->CountsFor(&route).moves[after];
}

void RequestCounts::Write(MetricText& out) const {
  out.Begin("requests_total", "counter",
            "Completed requests of callers and targets, by outcome.");
  for (const auto& [key, counts] : this->routes) {
    const std::string route =
        MetricLabel("route", counts.name) + "," +
        MetricLabel("kind", counts.is_repeatable ? "repeatable" : "once");
    for (const bool is_root : {true, false}) {
      for (const auto& [how, count] : is_root ? counts.roots : counts.calls) {
        out.Add(route + "," +
                    MetricLabel("from", is_root ? "caller" : "target") + "," +
                    MetricLabel("outcome", ToString(how.first)) + "," +
                    MetricLabel("reason", ToString(how.second)),
                static_cast<double>(count));
      }
    }
  }
  const auto write_sends = [&](const char* name, const char* help,
                               Reasons RouteCounts::*sends) {
    out.Begin(name, "counter", help);
    for (const auto& [key, counts] : this->routes) {
      for (const auto& [reason, count] : counts.*sends) {
        out.Add(MetricLabel("route", counts.name) + "," +
                    MetricLabel("after", ToString(reason)),
                static_cast<double>(count));
      }
    }
  };
  write_sends("repeats_total", "Sends to a second target after a failure.",
              &RouteCounts::repeats);
  write_sends("moved_total",
              "Sends to another target after an attempt did not reach one.",
              &RouteCounts::moves);
  out.Begin("account_requests_total", "counter",
            "Completed root requests of client accounts, by outcome.");
  for (const auto& [account, outcomes] : this->accounts) {
    for (const auto& [outcome, count] : outcomes) {
      out.Add(MetricLabel("account", account) + "," +
                  MetricLabel("outcome", ToString(outcome)),
              static_cast<double>(count));
    }
  }
  out.Begin("request_ms", "histogram",
            "Time from arrival to completion of a request.");
  for (const auto& [key, counts] : this->routes) {
    out.AddHistogram(MetricLabel("route", counts.name), counts.latency);
  }
  out.Begin("added_ms", "histogram",
            "Time of an answered request not spent at its target.");
  out.AddHistogram("", this->added_latency);
}

}  // namespace almondlink::relay
