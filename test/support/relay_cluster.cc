#include "test/support/relay_cluster.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <thread>

namespace almondlink::test {

namespace {

constexpr int kReadyPort = 1;
constexpr int kReportPort = 2;
constexpr int kPeerPort = 3;
constexpr int kMetricsPort = 4;
constexpr int kInstancePort = 5;
constexpr int kStorePort = 6;
constexpr int kProxyPort = 7;

std::string At(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

standins::PlainAnswer Get(int port, const std::string& path) {
  standins::BlockingHttp client({"127.0.0.1", static_cast<std::uint16_t>(port)},
                                std::chrono::seconds(2));
  standins::PlainRequest request;
  request.target = path;
  return client.Send(request);
}

}  // namespace

standins::FakeInstance::Spec Spec(const std::string& id,
                                  const std::string& service) {
  standins::FakeInstance::Spec spec;
  spec.id = id;
  spec.service = service;
  return spec;
}

namespace {

nlohmann::json MakeRoutes(std::uint64_t version,
                          const std::vector<RouteSpec>& routes) {
  nlohmann::json rows = nlohmann::json::array();
  for (const RouteSpec& route : routes) {
    nlohmann::json split;
    for (const auto& [service, weight] : route.split) {
      split.push_back({{"service", service}, {"weight", weight}});
    }
    const nlohmann::json service =
        route.split.empty() ? nlohmann::json(route.service) : nlohmann::json();
    rows.push_back({route.name, route.host, route.prefix, route.kind,
                    route.timeout_ms, route.aim_ms, route.priority, split,
                    route.attempts, service, route.is_anonymous});
  }
  return {{"version", version},
          {"routes",
           {{"columns",
             {"name", "hostname", "pathPrefix", "kind", "timeoutMs",
              "targetLatencyMs", "priority", "split", "attempts", "service",
              "anonymous"}},
            {"rows", rows}}},
          {"services",
           {{"columns", {"name", "healthPath", "maxConns", "protocol", "tls"}},
            {"rows", nlohmann::json::array()}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1048576},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

}  // namespace

std::string MakeConfig(std::uint64_t version,
                       const std::vector<RouteSpec>& routes) {
  return MakeRoutes(version, routes).dump();
}

std::string MakeConfig(std::uint64_t version,
                       const std::vector<RouteSpec>& routes,
                       const std::vector<AccountSpec>& accounts) {
  nlohmann::json rows = nlohmann::json::array();
  for (const AccountSpec& account : accounts) {
    nlohmann::json priority;
    if (account.priority.has_value()) {
      priority = *account.priority;
    }
    rows.push_back(
        {account.name, account.keys, priority, account.per_s, account.burst});
  }
  nlohmann::json config = MakeRoutes(version, routes);
  config["tenants"] = {
      {"columns", {"name", "apiKeys", "priority", "ratePerS", "burst"}},
      {"rows", rows}};
  return config.dump();
}

RelayCluster::RelayCluster(int base_port_in, const std::string& name)
    : base_port(base_port_in),
      folder(std::string(ALMONDLINK_BUILD_DIR) + "/test/relay-" + name) {
  std::filesystem::remove_all(this->folder);
  std::filesystem::create_directories(this->folder);
}

RelayCluster::~RelayCluster() {
  // Instances first: their calls end with the nodes still there.
  for (Entry& entry : this->nodes) {
    entry.instance.reset();
  }
}

std::string RelayCluster::SettingsPath(int node) const {
  return this->folder + "/node-" + std::to_string(node) + ".ini";
}

int RelayCluster::PeerPort(int node) const {
  return this->PortOf(node, kPeerPort);
}

int RelayCluster::MetricsPort(int node) const {
  return this->PortOf(node, kMetricsPort);
}

int RelayCluster::ReportPort(int node) const {
  return this->PortOf(node, kReportPort);
}

std::string RelayCluster::LogPath(int node) const {
  return this->folder + "/node-" + std::to_string(node) + ".log";
}

void RelayCluster::WriteSettings(int node,
                                 const std::string& service,
                                 const std::string& relay) {
  std::ofstream out(this->SettingsPath(node));
  out << "[node]\nid = node-" << node
      << "\ndeployment = test\nzone = " << this->nodes[Index(node)].zone
      << "\ncaller_address = " << At(this->PortOf(node, 0))
      << "\npeer_address = " << At(this->PortOf(node, kPeerPort))
      << "\nadmin_address = " << At(this->PortOf(node, kReadyPort))
      << "\n[target]\nservice = " << service
      << "\naddress = " << At(this->PortOf(node, kInstancePort))
      << "\n[log]\naddress = " << At(this->PortOf(node, kStorePort))
      << "\n[relay]\nenabled = true\nreport_address = "
      << At(this->PortOf(node, kReportPort))
      << "\nmetrics_address = " << At(this->PortOf(node, kMetricsPort))
      << (this->has_proxies
              ? "\nadvertise_address = " + At(this->PortOf(node, kProxyPort))
              : std::string())
      << "\ndrain = 2s\ngrace = 6s\nrepeat_fixed = 40\n"
      << relay << "[decisions]\n"
      << this->decisions << "[logging]\nlevel = info\n";
}

int RelayCluster::Add(standins::FakeInstance::Spec spec,
                      const std::string& zone) {
  const int node = static_cast<int>(this->nodes.size());
  spec.zone = zone;
  spec.port = this->PortOf(node, kInstancePort);
  spec.report_port = this->PortOf(node, kReportPort);
  spec.caller_port = this->PortOf(node, 0);
  this->store.OpenDoor(this->PortOf(node, kStorePort));
  Entry entry;
  entry.spec = spec;
  entry.zone = zone;
  if (this->has_proxies) {
    entry.proxy = std::make_unique<Relay>(
        static_cast<std::uint16_t>(this->PortOf(node, kProxyPort)),
        static_cast<std::uint16_t>(this->PortOf(node, kPeerPort)));
  }
  this->nodes.push_back(std::move(entry));
  this->WriteSettings(node, spec.service, this->relay);
  this->StartNode(node);
  this->nodes.back().instance =
      std::make_unique<standins::FakeInstance>(std::move(spec));
  return node;
}

void RelayCluster::ReplaceInstance(int node,
                                   const std::string& id,
                                   std::uint64_t born) {
  Entry& entry = this->nodes[Index(node)];
  entry.instance.reset();
  entry.spec.id = id;
  entry.spec.born = born;
  entry.instance = std::make_unique<standins::FakeInstance>(entry.spec);
}

void RelayCluster::StartNode(int node) {
  this->nodes[Index(node)].process = std::make_unique<Process>(
      std::vector<std::string>{
          std::string(ALMONDLINK_BUILD_DIR) + "/almondlinkd/almondlinkd",
          "--config", this->SettingsPath(node)},
      this->LogPath(node));
}

std::string RelayCluster::WithServices(
    const std::string& config,
    const std::vector<RouteSpec>& routes) const {
  std::set<std::string> services;
  for (const Entry& entry : this->nodes) {
    services.insert(entry.spec.service);
  }
  for (const RouteSpec& route : routes) {
    if (!route.service.empty()) {
      services.insert(route.service);
    }
    for (const auto& [service, weight] : route.split) {
      services.insert(service);
    }
  }
  nlohmann::json filled = nlohmann::json::parse(config);
  for (const std::string& service : services) {
    filled["services"]["rows"].push_back(
        {service, this->health_path, 500, nullptr, nullptr});
  }
  return filled.dump();
}

void RelayCluster::Configure(std::uint64_t version,
                             const std::vector<RouteSpec>& routes) {
  this->store.Put("keyed.op", "config",
                  this->WithServices(MakeConfig(version, routes), routes));
}

void RelayCluster::Configure(std::uint64_t version,
                             const std::vector<RouteSpec>& routes,
                             const std::vector<AccountSpec>& accounts) {
  this->store.Put(
      "keyed.op", "config",
      this->WithServices(MakeConfig(version, routes, accounts), routes));
}

void RelayCluster::WaitReady() {
  const auto all = static_cast<double>(this->nodes.size());
  const bool is_ready = Soon([&]() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      const int node = static_cast<int>(i);
      const bool is_node_ready =
          this->Ready(node).status == 200 &&
          this->Metric(node, "almondlink_peers") == all &&
          this->Metric(node, "almondlink_open_targets") == all;
      if (!is_node_ready) {
        return false;
      }
    }
    return true;
  });
  if (!is_ready) {
    throw std::runtime_error("the nodes did not become ready");
  }
}

standins::PlainAnswer RelayCluster::Ready(int node) {
  return Get(this->PortOf(node, kReadyPort), "/ready");
}

MetricsText RelayCluster::Metrics(int node) {
  return ParseMetrics(Get(this->PortOf(node, kMetricsPort), "/metrics").body);
}

std::optional<double> RelayCluster::Metric(int node, const std::string& name) {
  const MetricsText metrics = this->Metrics(node);
  const auto found = metrics.samples.find({name, {}});
  return found == metrics.samples.end() ? std::nullopt
                                        : std::optional(found->second);
}

standins::PlainAnswer RelayCluster::Call(int node,
                                         const std::string& host,
                                         const std::string& path,
                                         const std::string& id,
                                         const std::string& method,
                                         const std::string& body,
                                         int left_ms) {
  standins::BlockingHttp client(
      {"127.0.0.1", static_cast<std::uint16_t>(this->CallerPort(node))},
      std::chrono::milliseconds(left_ms + 2000));
  standins::PlainRequest request;
  request.method = method;
  request.target = path;
  request.headers["Host"] = host;
  request.headers["Request-Id"] = id;
  request.headers["Deadline-Ms"] = std::to_string(left_ms);
  request.headers["Caller-Service"] = "forged";
  request.body = body;
  return client.Send(request);
}

standins::PlainAnswer RelayCluster::CallWith(
    int node,
    const std::string& host,
    const std::string& path,
    const std::string& id,
    const std::map<std::string, std::string>& fields) {
  standins::BlockingHttp client(
      {"127.0.0.1", static_cast<std::uint16_t>(this->CallerPort(node))},
      std::chrono::seconds(7));
  standins::PlainRequest request;
  request.target = path;
  request.headers = fields;
  request.headers["Host"] = host;
  request.headers["Request-Id"] = id;
  request.headers["Deadline-Ms"] = "5000";
  return client.Send(request);
}

}  // namespace almondlink::test
