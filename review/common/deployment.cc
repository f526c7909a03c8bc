#include "review/common/deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace almondlink::review {

namespace {

constexpr std::int64_t kReportIntervalMs = 1500;
constexpr std::int64_t kStartTimeoutMs = 15'000;
constexpr int kMaxBody = 67'108'864;

/// A port that no program listens at now.
int FreePort() {
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  (void)bind(handle, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
  close(handle);
  return ntohs(address.sin_port);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

/// One request on a connection of its own.
Answer Ask(const std::string& ip, int port, const std::string& request) {
  constexpr std::int64_t kTimeoutMs = 1000;
  Socket socket = Socket::Connect(ip, port);
  if (!socket.IsOpen() || !socket.Send(request)) {
    return {};
  }
  return ReadAnswer(socket, NowMs() + kTimeoutMs);
}

std::int64_t StatusField(pid_t process, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind(name + ":", 0) == 0) {
      return std::stoll(line.substr(name.size() + 1));
    }
  }
  return 0;
}

}  // namespace

Record::Record(const std::string& path) : out(path), started(NowMs()) {}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ",
                static_cast<double>(NowMs() - this->started) / 1000);
  this->out << time << line << std::endl;
}

Deployment::Deployment(std::string folder_in, Record& record_in)
    : folder(std::move(folder_in)), record(record_in), store_port(FreePort()) {
  this->store.OpenDoor(this->store_port);
}

Deployment::~Deployment() {
  this->is_stopped = true;
  if (this->reports.joinable()) {
    this->reports.join();
  }
  for (const std::unique_ptr<Machine>& machine : this->machines) {
    if (machine->node > 0) {
      kill(machine->node, SIGCONT);
      kill(machine->node, SIGKILL);
      waitpid(machine->node, nullptr, 0);
    }
  }
}

Machine& Deployment::Add(const std::string& zone, const std::string& service) {
  const std::string number = std::to_string(this->machines.size() + 1);
  this->machines.push_back(std::make_unique<Machine>());
  Machine& machine = *this->machines.back();
  machine.name = "sidecar-" + zone + "-" + number;
  machine.zone = zone;
  machine.service = service;
  // Each run has addresses of its own.
  machine.ip = "127." + std::to_string(100 + getpid() % 100) + "." +
               std::to_string(getpid() / 100 % 250) + "." + number;
  machine.instance_id = "i-" + service + "-" + number;
  return machine;
}

void Deployment::Configure(std::uint64_t version,
                           const std::vector<Route>& routes) {
  nlohmann::json rows = nlohmann::json::array();
  std::vector<std::string> services;
  for (const Route& route : routes) {
    rows.push_back({route.name, route.host, route.prefix, route.kind,
                    route.timeout_ms, route.aim_ms, 1, nullptr, route.attempts,
                    route.service});
  }
  nlohmann::json service_rows = nlohmann::json::array();
  for (const std::unique_ptr<Machine>& machine : this->machines) {
    service_rows.push_back({machine->service, "/health", 700, "h1", false});
  }
  const nlohmann::json config = {
      {"version", version},
      {"routes",
       {{"columns",
         {"name", "hostname", "pathPrefix", "kind", "timeoutMs",
          "targetLatencyMs", "priority", "split", "attempts", "service"}},
        {"rows", rows}}},
      {"services",
       {{"columns", {"name", "healthPath", "maxConns", "protocol", "tls"}},
        {"rows", service_rows}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", kMaxBody},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}};
  this->store.Put("keyed.op", "config", config.dump());
}

/// Fills in the template of the deploy file as the platform does.
void Deployment::WriteSettings(const Machine& machine) const {
  std::string text = ReadFile("deploy/node.ini");
  if (text.empty()) {
    throw std::runtime_error("deploy/node.ini: not there");
  }
  text = std::regex_replace(
      text,
      std::regex("\\{\\{#[^}]*\\}\\}[^{]*(\\{\\{[^#/^][^}]*\\}\\}[^{]*)?"
                 "\\{\\{/[^}]*\\}\\}"),
      "");
  const auto at = [&machine](int port) {
    return machine.ip + ":" + std::to_string(port);
  };
  const std::vector<std::pair<std::string, std::string>> values = {
      {"nodeName", machine.name},
      {"region", "region-1"},
      {"zone", machine.zone},
      {"listenAddrs.outbound", at(kOutboundPort)},
      {"listenAddrs.ready", at(kReadyPort)},
      {"listenAddrs.control", at(kControlPort)},
      {"ip", machine.ip},
      {"internalPorts.0", std::to_string(kPeerPort)},
      {"service", machine.service},
      {"appAddr", at(kInstancePort)},
      {"platform.address", "127.0.0.1:" + std::to_string(this->store_port)},
      {"seeds", ""},
      {"bootstrap", this->is_first_start ? "true" : "false"},
      {"bounds.drainMs", std::to_string(this->bounds.drain_ms)},
      {"bounds.graceS", std::to_string(this->bounds.grace_s)},
      {"bounds.budgetRatio", std::to_string(this->bounds.budget_ratio)},
      {"bounds.budgetWindowS", std::to_string(this->bounds.budget_window_s)},
      {"bounds.retrySlack", std::to_string(this->bounds.retry_slack)}};
  for (const auto& [name, value] : values) {
    text = Replace(text, Join({"{{", name, "}}"}), value);
  }
  if (machine.link_mbps > 0) {
    text = Replace(text, "[relay]\n",
                   "[relay]\nadvertise_address = " + at(kLinkPort) + "\n");
  }
  std::ofstream(this->folder + "/" + machine.name + ".ini") << text;
}

void Deployment::StartNode(Machine& machine) {
  this->WriteSettings(machine);
  const std::string settings = this->folder + "/" + machine.name + ".ini";
  const std::string log = this->folder + "/" + machine.name + ".log";
  const pid_t child = fork();
  if (child == 0) {
    // The node ends with the thread that started it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl("target/almondlinkd/almondlinkd", "target/almondlinkd/almondlinkd",
          "--config", settings.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  machine.node = child;
  this->record.Write("node " + machine.name + " started");
}

void Deployment::ReportAll() {
  std::uint64_t sequence = 0;
  while (!this->is_stopped) {
    for (const std::unique_ptr<Machine>& machine : this->machines) {
      if (!machine->reports) {
        continue;
      }
      const nlohmann::json beat = {
          {"service", machine->service},
          {"address", machine->ip + ":" + std::to_string(kInstancePort)},
          {"zone", machine->zone},
          {"version", "v1"},
          {"capacity", machine->capacity},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"sequence", sequence}};
      const std::string body = beat.dump();
      Ask(machine->ip, kControlPort,
          "POST /instances/" + machine->instance_id +
              "/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: "
              "application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    ++sequence;
    for (int i = 0; i < 15 && !this->is_stopped; ++i) {
      SleepMs(kReportIntervalMs / 15);
    }
  }
}

int Deployment::OpenTargets(const Machine& machine) {
  const Answer metrics = Ask(machine.ip, kMetricsPort,
                             "GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n");
  const std::string name = "\nalmondlink_open_targets ";
  const std::size_t found = metrics.body.find(name);
  return found == std::string::npos
             ? 0
             : std::atoi(metrics.body.c_str() + found + name.size());
}

int Deployment::Ready(const Machine& machine) {
  return Ask(machine.ip, kReadyPort,
             "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
      .status;
}

bool Deployment::StartNodes(int targets) {
  for (const std::unique_ptr<Machine>& machine : this->machines) {
    if (machine->link_mbps > 0) {
      machine->link = std::make_unique<NarrowLink>(
          machine->ip, kLinkPort, kPeerPort, machine->link_mbps);
    }
    this->StartNode(*machine);
  }
  this->is_first_start = false;
  this->reports = std::thread([this]() { this->ReportAll(); });
  const std::int64_t until = NowMs() + kStartTimeoutMs;
  bool is_ready = false;
  while (!is_ready && NowMs() < until) {
    SleepMs(100);
    is_ready = true;
    for (const std::unique_ptr<Machine>& machine : this->machines) {
      is_ready = is_ready && Ready(*machine) == 200 &&
                 OpenTargets(*machine) == targets;
    }
  }
  this->record.Write(is_ready ? "all nodes are ready" : "nodes are not ready");
  return is_ready;
}

void Deployment::Signal(const Machine& machine, int number) {
  this->record.Write("signal " + std::to_string(number) + " to node " +
                     machine.name);
  kill(machine.node, number);
}

bool Deployment::HasEnded(Machine& machine) {
  int status = 0;
  if (machine.node > 0 && waitpid(machine.node, &status, WNOHANG) > 0) {
    machine.node = -1;
    const std::string how = WIFSIGNALED(status)
                                ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit " + std::to_string(WEXITSTATUS(status));
    this->record.Write("node " + machine.name + " ended: " + how);
  }
  return machine.node <= 0;
}

std::int64_t Deployment::PeakMemoryKb(const Machine& machine) {
  return StatusField(machine.node, "VmHWM");
}

std::int64_t Deployment::MemoryKb(const Machine& machine) {
  return StatusField(machine.node, "VmRSS");
}

}  // namespace almondlink::review
