#include "test/support/cluster.h"

#include <signal.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "almondlink/control/idempotency_key.h"

namespace almondlink::test {

namespace {

using standins::BlockingHttp;
using standins::PlainAnswer;
using standins::PlainRequest;

constexpr int kPortsPerInstance = 4;

// Intervals of tests, instead of the defaults.
const std::string kShortProbes =
    "probe_interval = 100ms\nprobe_timeout = 150ms\n"
    "suspect_timeout = 800ms\n";
const std::string kShortPolls = "poll_interval = 200ms\ntimeout = 500ms\n";
const std::string kShortMetering = "interval = 300ms\n";

std::string Program(const std::string& path) {
  return std::string(ALMONDLINK_BUILD_DIR) + "/" + path;
}

config::Endpoint Local(int port) {
  return config::Endpoint{"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::string Address(int port) {
  return Local(port).Text();
}

PlainAnswer Post(int port, const std::string& target) {
  BlockingHttp http(Local(port));
  PlainRequest request;
  request.method = "POST";
  request.target = target;
  return http.Send(request);
}

/// Puts the lines of `extra` behind their section's head.
std::string Merge(const std::string& text,
                  const std::map<std::string, std::string>& extra) {
  std::string merged = text;
  for (const auto& [section, lines] : extra) {
    const std::size_t at = merged.find(section + "\n");
    merged.insert(at + section.size() + 1, lines + "\n");
  }
  return merged;
}

}  // namespace

bool Eventually(const std::function<bool()>& condition) {
  for (int i = 0; i < 800; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  return false;
}

std::string FreshKey() {
  const policy::Bytes random = policy::RandomBytes(16);
  std::uint64_t halves[2];
  std::memcpy(halves, random.data(), sizeof(halves));
  return control::MakeUuid7(WallNow(), halves[0], halves[1]);
}

PlainRequest MakeRequest(const std::string& method,
                         const std::string& service,
                         const std::string& target,
                         const std::string& number) {
  PlainRequest request;
  request.method = method;
  request.target = target;
  request.headers["Almondlink-Service"] = service;
  request.headers["Almondlink-Team"] = "walk-ins";
  request.headers["Almondlink-Caller"] = "caller-1";
  request.headers["X-Request-Number"] = number;
  return request;
}

std::string ShopBundle(int version) {
  return "[bundle]\ndeployment = shop\nversion = " + std::to_string(version) +
         "\nbase = " + std::to_string(version - 1) +
         "\ndiscipline = goodput\n"
         "[service shop]\n[service stock]\n"
         "[operation item]\nservice = shop\nmethod = GET\npath = /items/{id}\n"
         "kind = page\ncriticality = sheddable\nrepeatable = true\n"
         "timeout = 2s\nretries = 3\n"
         "[operation order]\nservice = shop\nmethod = POST\n"
         "path = /orders/{id}\nkind = checkout\ncriticality = critical\n"
         "repeatable = false\nweight = 10\ntimeout = 3s\nretries = 3\n"
         "[operation stock-level]\nservice = stock\nmethod = GET\n"
         "path = /stock/{id}\nkind = stock\ncriticality = normal\n"
         "repeatable = true\ntimeout = 2s\nretries = 3\n"
         "[team walk-ins]\nretry_ratio = 1.0\nretry_burst = 1000\n";
}

Cluster::Cluster(int base_port, const std::string& name)
    : base_port(base_port), folder(Program("test-run/" + name)) {
  std::filesystem::remove_all(this->folder);
  std::filesystem::create_directories(this->folder);
  for (const char* key : {"op1", "op2", "op3", "deployment"}) {
    std::string output;
    if (RunCommand({Program("almondlink/almondlink"), "key", "make",
                    this->key_path(key)},
                   output) != 0) {
      throw std::runtime_error(output);
    }
    if (std::string(key) != "deployment") {
      this->operators += output.substr(0, output.size() - 1) + " ";
    }
  }
  this->deployment_key =
      *policy::LoadDeploymentKey(this->key_path("deployment"));
}

Cluster::~Cluster() = default;

std::string Cluster::key_path(const std::string& name) const {
  return this->folder + "/" + name + ".key";
}

void Cluster::StartLog() {
  this->log = std::make_unique<Process>(
      std::vector<std::string>{Program("standins/standin_log"),
                               "--port=" + std::to_string(this->base_port)},
      this->folder + "/log.out");
  const bool is_up = Eventually(
      [this]() { return BlockingHttp(Local(this->base_port)).Connect(); });
  if (!is_up) {
    throw std::runtime_error("the log stand-in did not start");
  }
}

std::string Cluster::WriteSettings(const Instance& instance) const {
  const InstanceSpec& spec = instance.spec;
  const std::string text =
      "[node]\nid = " + spec.name + "\ndeployment = shop\nzone = " + spec.zone +
      "\ncaller_address = " + Address(instance.port) +
      "\npeer_address = " + Address(instance.port + 1) +
      "\nadmin_address = " + Address(instance.port + 2) +
      "\n[target]\nservice = " + spec.service +
      "\naddress = " + Address(instance.port + 3) +
      "\nslots = " + std::to_string(spec.slots) +
      "\nslow_start = 0ms\n[mesh]\nkey_file = " + this->key_path("deployment") +
      "\nseeds = " + Address(this->base_port + 11) + " " +
      Address(this->base_port + 11 + kPortsPerInstance) + "\n" +
      (spec.is_production ? "" : kShortProbes) + "[log]\naddress = " +
      Address(spec.has_log ? this->base_port : this->base_port + 1) + "\n" +
      (spec.is_production ? "" : kShortPolls) +
      "[bundle]\noperators = " + this->operators +
      "\nsignatures = 2\n[metering]\n" +
      (spec.is_production ? "" : kShortMetering) + "[logging]\nlevel = info\n";
  std::string path = this->folder + "/" + spec.name + ".ini";
  std::ofstream(path) << Merge(text, spec.extra);
  return path;
}

Instance& Cluster::Add(const InstanceSpec& spec) {
  this->instances.push_back(std::make_unique<Instance>());
  Instance& instance = *this->instances.back();
  instance.spec = spec;
  instance.port =
      this->base_port + 10 +
      static_cast<int>(this->instances.size() - 1) * kPortsPerInstance;
  if (!spec.has_target) {
    this->StartNode(instance);
    return instance;
  }
  this->StartTarget(instance);
  this->StartNode(instance);
  return instance;
}

void Cluster::StartTarget(Instance& instance) const {
  const InstanceSpec& spec = instance.spec;
  instance.target = std::make_unique<Process>(
      std::vector<std::string>{Program("standins/standin_target"),
                               "--port=" + std::to_string(instance.port + 3),
                               "--service=" + spec.service,
                               "--node_port=" + std::to_string(instance.port),
                               "--slots=" + std::to_string(spec.slots),
                               "--work_ms=" + std::to_string(spec.work_ms),
                               "--calls=" + spec.calls,
                               "--deadly=" + spec.deadly},
      this->folder + "/" + spec.name + ".target.out");
}

void Cluster::StartNode(Instance& instance) {
  const std::string settings = this->WriteSettings(instance);
  instance.node = std::make_unique<Process>(
      std::vector<std::string>{Program("almondlinkd/almondlinkd"),
                               "--config=" + settings},
      this->folder + "/" + instance.spec.name + ".out");
}

int Cluster::Tool(std::vector<std::string> arguments, std::string& output) {
  arguments.insert(arguments.begin(), Program("almondlink/almondlink"));
  arguments.push_back("--log=" + Address(this->base_port));
  arguments.push_back("--deployment=shop");
  arguments.push_back("--operators=" + this->operators);
  arguments.push_back("--deployment_key=" + this->key_path("deployment"));
  return RunCommand(arguments, output);
}

void Cluster::Release(const std::string& text, std::string* shown) {
  const std::string path = this->folder + "/bundle.ini";
  std::ofstream(path) << text;
  std::string proposal;
  std::string output;
  const std::string first = "--key=" + this->key_path("op1");
  const std::string second = "--key=" + this->key_path("op2");
  int status = this->Tool({"bundle", "propose", path, first}, proposal);
  proposal = proposal.substr(0, proposal.find('\n'));
  status += this->Tool({"bundle", "sign", proposal, second}, output);
  status +=
      this->Tool({"bundle", "release", proposal, first, "--wait"}, output);
  if (status != 0) {
    throw std::runtime_error("release failed: " + proposal + output);
  }
  if (shown != nullptr) {
    *shown = output;
  }
}

Instance& Cluster::Get(const std::string& name) {
  for (const std::unique_ptr<Instance>& instance : this->instances) {
    if (instance->spec.name == name) {
      return *instance;
    }
  }
  throw std::runtime_error("no instance " + name);
}

nlohmann::json Cluster::Dump(const Instance& instance) {
  BlockingHttp http(Local(instance.port + 2), std::chrono::seconds(3));
  PlainRequest request;
  request.target = "/dump";
  const PlainAnswer answer = http.Send(request);
  return answer.status == 200 ? nlohmann::json::parse(answer.body)
                              : nlohmann::json();
}

void Cluster::WaitReady(std::size_t count) {
  for (const std::unique_ptr<Instance>& instance : this->instances) {
    const bool is_ready = Eventually([&]() {
      const nlohmann::json dump = this->Dump(*instance);
      if (dump.is_null() || dump["bundle"].is_null()) {
        return false;
      }
      std::size_t living = 0;
      for (const nlohmann::json& member : dump["members"]) {
        living += member["state"] == 0 ? 1 : 0;
      }
      return living == count;
    });
    if (!is_ready) {
      throw std::runtime_error(instance->spec.name + " is not ready");
    }
  }
}

BlockingHttp Cluster::Connect(const Instance& instance) const {
  return BlockingHttp(Local(instance.port));
}

PlainAnswer Cluster::Call(const Instance& instance,
                          const PlainRequest& request) const {
  return this->Connect(instance).Send(request);
}

void Cluster::SetLogFault(const std::string& mode, int ms) {
  Post(this->base_port, "/faults?mode=" + mode + "&ms=" + std::to_string(ms));
}

void Cluster::TrimLog(const std::string& stream, int below) {
  Post(this->base_port,
       "/trim?stream=" + stream + "&below=" + std::to_string(below));
}

void Cluster::SetTargetFault(const Instance& instance,
                             const std::string& fault) {
  Post(instance.port + 3, "/standin/fault?" + fault);
}

std::vector<std::string> Cluster::Ledger(const Instance& instance) {
  BlockingHttp http(Local(instance.port + 3));
  PlainRequest request;
  request.target = "/standin/ledger";
  std::istringstream text(http.Send(request).body);
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(text, line)) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace almondlink::test
