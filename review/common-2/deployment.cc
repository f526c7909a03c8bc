#include "review/common-2/deployment.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

namespace almondlink::review {

namespace {

constexpr std::int64_t kHeartbeat = 1500;
constexpr std::int64_t kLook = 100;
constexpr std::int64_t kReportWithin = 1000;
constexpr std::int64_t kReadyWithin = 20'000;

/// Replaces the names of the template. A section that is left out has no value
/// in a deployment like this one.
std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values) {
  std::size_t at = 0;
  while ((at = text.find("{{")) != std::string::npos) {
    const std::size_t end = text.find("}}", at);
    const std::string name = text.substr(at + 2, end - at - 2);
    if (name[0] != '#') {
      const auto found = values.find(name);
      const std::string value =
          found == values.end() ? std::string() : found->second;
      text.replace(at, end + 2 - at, value);
      continue;
    }
    const std::string close = "{{/" + name.substr(1) + "}}";
    const std::size_t last = text.find(close, end);
    const std::string inside = text.substr(end + 2, last - end - 2);
    const bool is_there = values.count(name.substr(1)) != 0;
    text.replace(at, last + close.size() - at, is_there ? inside : "");
  }
  return text;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

/// A part of the loopback range that no other run uses.
std::string NewNet() {
  std::random_device random;
  return "127." + std::to_string(20 + random() % 200) + "." +
         std::to_string(1 + random() % 250) + ".";
}

}  // namespace

std::string Received::Path() const {
  const std::string& line = this->head.first_line;
  const std::size_t start = line.find(' ') + 1;
  return line.substr(start, line.find(' ', start) - start);
}

Instance::Instance(Spec spec_in, Run run_in, Record& record_in)
    : spec(std::move(spec_in)), run(std::move(run_in)), record(record_in) {
  this->listener = std::make_unique<Listener>(
      this->spec.address,
      [this](Socket socket) { this->Serve(std::move(socket)); });
  this->life = std::thread([this]() { this->Live(); });
}

Instance::~Instance() {
  this->is_stopped = true;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::shared_ptr<Socket>& socket : this->open) {
      socket->Shutdown();
    }
  }
  this->listener.reset();
  this->life.join();
}

void Instance::FallSilent() {
  this->is_silent = true;
  this->listener->Stop();
  this->record.Line("instance " + this->spec.id + " falls silent");
}

std::vector<Received> Instance::Ran() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ran;
}

void Instance::Serve(Socket accepted) {
  const std::shared_ptr<Socket> socket =
      std::make_shared<Socket>(std::move(accepted));
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->open.push_back(socket);
  }
  std::string input;
  while (!this->is_stopped) {
    if (this->is_silent) {
      SleepMs(kLook);
      continue;
    }
    const std::size_t end = input.find("\r\n\r\n");
    Received request;
    std::size_t size = 0;
    if (end != std::string::npos) {
      request.head = ParseHead(input.substr(0, end));
      size = std::strtoul(request.head.Field("content-length").c_str(), nullptr,
                          10);
    }
    if (end == std::string::npos || input.size() < end + 4 + size) {
      const int got = socket->ReadSome(input, kLook);
      if (got == 0 || got == -1) {
        return;
      }
      continue;
    }
    request.body = input.substr(end + 4, size);
    input.erase(0, end + 4 + size);
    if (request.head.Field("target-instance") != this->spec.id) {
      socket->SendAll("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                      this->spec.id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->ran.push_back(request);
    }
    this->record.Line("instance " + this->spec.id + " (" + this->spec.service +
                      ") runs " + request.Id() + " " + request.Path());
    if (!this->run(request, *socket)) {
      socket->Shutdown();
      return;
    }
  }
}

std::string Instance::Heartbeat() {
  const nlohmann::json body = {{"service", this->spec.service},
                               {"address", this->spec.told.Text()},
                               {"zone", this->spec.zone},
                               {"version", "v1"},
                               {"capacity", this->spec.capacity},
                               {"state", "ready"},
                               {"coldLeftMs", 0},
                               {"sequence", ++this->sequence}};
  return body.dump();
}

int Instance::Tell(const std::string& call, const std::string& body) const {
  const Socket socket = Connect(this->spec.control);
  const std::string bytes =
      "POST /instances/" + this->spec.id + "/" + call +
      " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!socket.IsOpen() || !socket.SendAll(bytes)) {
    return 0;
  }
  std::string input;
  const std::int64_t start = NowMs();
  while (NowMs() - start < kReportWithin &&
         input.find("\r\n\r\n") == std::string::npos) {
    const int got = socket.ReadSome(input, kLook);
    if (got == 0 || got == -1) {
      break;
    }
  }
  constexpr std::size_t kStatusEnd = 12;
  return input.size() > kStatusEnd ? std::atoi(input.substr(9, 3).c_str()) : 0;
}

void Instance::Live() {
  std::int64_t next = 0;
  int last = -1;
  while (!this->is_stopped) {
    if (!this->is_silent && this->has_heartbeats && NowMs() >= next) {
      const int status = this->Tell("heartbeat", this->Heartbeat());
      if (status != last) {
        this->record.Line("heartbeat of " + this->spec.id + " answered " +
                          std::to_string(status));
      }
      last = status;
      next = NowMs() + (status == 200 ? kHeartbeat : kLook);
    }
    SleepMs(10);
  }
}

std::string SuccessHead(const Received& request,
                        const std::string& instance,
                        std::size_t size) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.Id() +
         "\r\nResponse-Seal: " + instance + "." + request.Id() +
         "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

Deployment::Deployment(std::string root_in, Record& record_in)
    : root(std::move(root_in)), record(record_in) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
}

Deployment::~Deployment() {
  this->nodes.clear();
  const char* const kept = std::getenv("KEEP_LOGS");
  if (kept == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  } else {
    this->record.Line("logs are in " + this->folder);
  }
}

int Deployment::Add(const std::string& service, const std::string& zone) {
  static const std::string kNet = NewNet();
  std::unique_ptr<Node> node = std::make_unique<Node>();
  const int number = static_cast<int>(this->nodes.size());
  node->name = "sidecar-" + zone + "-" + std::to_string(number + 1);
  node->service = service;
  node->zone = zone;
  node->ip = kNet + std::to_string(number + 1);
  node->caller = {node->ip, FreePort(node->ip)};
  node->ready = {node->ip, FreePort(node->ip)};
  node->control = {node->ip, FreePort(node->ip)};
  node->instance = {node->ip, FreePort(node->ip)};
  node->peer_port = FreePort(node->ip);
  node->store_port = FreePort("127.0.0.1");
  this->store.OpenDoor(node->store_port);
  node->settings = this->folder + "/" + node->name + ".ini";
  this->nodes.push_back(std::move(node));
  return number;
}

void Deployment::WriteSettings(const Node& node, bool is_first_start) {
  const std::map<std::string, std::string> values = {
      {"nodeName", node.name},
      {"region", "region-a"},
      {"zone", node.zone},
      {"ip", node.ip},
      {"listenAddrs.outbound", node.caller.Text()},
      {"listenAddrs.ready", node.ready.Text()},
      {"listenAddrs.control", node.control.Text()},
      {"internalPorts.0", std::to_string(node.peer_port)},
      {"service", node.service},
      {"appAddr", node.instance.Text()},
      {"platform.address", "127.0.0.1:" + std::to_string(node.store_port)},
      {"platform.parts", "24"},
      {"seeds", ""},
      {"bootstrap", is_first_start ? "true" : "false"},
      {"bounds.drainMs", "2000"},
      {"bounds.graceS", "6"},
      {"bounds.budgetRatio", "0.2"},
      {"bounds.budgetWindowS", "10"},
      {"bounds.retrySlack", "47"}};
  std::ofstream(node.settings)
      << Fill(ReadFile(this->root + "/deploy/node.ini"), values);
}

void Deployment::Start(int node, bool is_first_start) {
  Node& started = this->At(node);
  this->WriteSettings(started, is_first_start);
  started.process = std::make_unique<test::Process>(
      std::vector<std::string>{"target/almondlinkd/almondlinkd", "--config",
                               started.settings},
      this->folder + "/" + started.name + ".log");
  this->record.Line("node " + started.name + " (beside " + started.service +
                    ") started");
}

void Deployment::ChangeService(int node, const std::string& service) {
  Node& changed = this->At(node);
  changed.service = service;
  this->WriteSettings(changed, false);
  this->record.Line("settings of " + changed.name + " name the service " +
                    service);
}

void Deployment::Configure(int version,
                           const std::vector<Route>& routes,
                           const std::vector<std::string>& services) {
  nlohmann::json rows = nlohmann::json::array();
  for (const Route& route : routes) {
    rows.push_back({route.name, route.host, route.prefix, route.kind,
                    route.timeout_ms, route.aim_ms, route.priority,
                    route.attempts, route.service});
  }
  nlohmann::json named = nlohmann::json::array();
  for (const std::string& service : services) {
    named.push_back({service, "/health", 500});
  }
  const nlohmann::json config = {
      {"version", version},
      {"routes",
       {{"columns",
         {"name", "hostname", "pathPrefix", "kind", "timeoutMs",
          "targetLatencyMs", "priority", "attempts", "service"}},
        {"rows", rows}}},
      {"services",
       {{"columns", {"name", "healthPath", "maxConns"}}, {"rows", named}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", this->max_body},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}};
  this->store.Put("keyed.op", "config", config.dump());
}

bool Deployment::WaitReady(const std::vector<Route>& routes) {
  const std::int64_t start = NowMs();
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    for (std::size_t j = 0; j < routes.size(); ++j) {
      bool is_served = false;
      int tries = 0;
      while (!is_served && NowMs() - start < kReadyWithin) {
        Request request;
        request.host = routes[j].host;
        request.path = routes[j].prefix + "warm";
        request.id = "warm" + std::to_string(i) + "x" + std::to_string(j) +
                     "x" + std::to_string(++tries);
        request.deadline_ms = 2000;
        is_served = Send(this->nodes[i]->caller, request, 3000).status == 200;
        SleepMs(is_served ? 0 : kLook);
      }
      if (!is_served) {
        this->record.Line("node " + this->nodes[i]->name +
                          " did not serve route " + routes[j].name);
        return false;
      }
    }
  }
  return true;
}

bool HasTrouble() {
  const char* const given = std::getenv("TROUBLE");
  return given == nullptr || std::string(given) != "0";
}

}  // namespace almondlink::review
