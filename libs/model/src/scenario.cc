#include "almondlink/model/scenario.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "almondlink/config/ini_reader.h"

namespace almondlink::model {

namespace {

using Json = nlohmann::json;

const std::map<std::string, FaultKind>& FaultKinds() {
  static const std::map<std::string, FaultKind> kKinds = {
      {"slow", FaultKind::kSlow},
      {"lost", FaultKind::kLost},
      {"cold", FaultKind::kCold},
      {"lying", FaultKind::kFailingWhileHealthy},
      {"silent-links", FaultKind::kSilentLinks},
      {"log-down", FaultKind::kLogDown},
      {"shedding", FaultKind::kShedding}};
  return kKinds;
}

const std::map<std::string, ControlKind>& Controls() {
  static const std::map<std::string, ControlKind> kControls = {
      {"almondlink", ControlKind::kAlmondlink}, {"relay", ControlKind::kRelay}};
  return kControls;
}

void ReadDeployment(const Json& line, Scenario& scenario) {
  scenario.seed = line.value("seed", std::uint64_t{1});
  scenario.duration_ms = line.at("duration_ms").get<double>();
  scenario.zone_latency_ms = line.value("zone_ms", 1.0);
  scenario.client_latency_ms = line.value("client_ms", 1.0);
  scenario.zones = line.at("zones").get<std::vector<std::string>>();
  scenario.control =
      Controls().at(line.value("control", std::string("almondlink")));
}

void ReadService(const Json& line, Scenario& scenario) {
  ServiceModel service;
  service.name = line.at("name").get<std::string>();
  service.instances = line.at("instances").get<int>();
  service.slots = line.at("slots").get<int>();
  service.work_ms = line.at("work_ms").get<double>();
  scenario.services.push_back(service);
}

void ReadChain(const Json& line, Scenario& scenario) {
  scenario.chains.push_back({line.at("operation").get<std::string>(),
                             line.at("calls").get<std::vector<std::string>>(),
                             line.value("work_ms", 0.0)});
}

void ReadArrivals(const Json& line, Scenario& scenario) {
  scenario.arrivals.push_back({line.at("operation").get<std::string>(),
                               line.at("from_ms").get<double>(),
                               line.at("to_ms").get<double>(),
                               line.at("per_s").get<double>()});
}

void ReadCall(const Json& line, Scenario& scenario) {
  // Nodes also record the calls that services make; the replay derives those
  // from the call chains.
  if (line.value("depth", 0) == 0) {
    scenario.recorded_calls.push_back(
        {line.at("at_ms").get<double>(),
         line.at("operation").get<std::string>()});
  }
}

void ReadFault(const Json& line, Scenario& scenario) {
  FaultModel fault;
  fault.kind = FaultKinds().at(line.at("kind").get<std::string>());
  fault.service = line.value("service", "");
  fault.zone = line.value("zone", "");
  fault.instance = line.value("instance", -1);
  fault.from_ms = line.at("from_ms").get<double>();
  fault.to_ms = line.at("to_ms").get<double>();
  fault.factor = line.value("factor", 1.0);
  scenario.faults.push_back(fault);
}

void ReadCallers(const Json& line, Scenario& scenario) {
  scenario.callers.tries = line.value("tries", scenario.callers.tries);
  scenario.callers.pause_ms = line.value("pause_ms", scenario.callers.pause_ms);
  scenario.callers.has_minted_keys = line.value("minted_keys", false);
}

void ReadCause(const Json& line, Scenario& scenario) {
  scenario.disturbance_from_ms = line.at("from_ms").get<double>();
  scenario.disturbance_to_ms = line.at("to_ms").get<double>();
}

void ReadExpectation(const Json& line, int number, Scenario& scenario) {
  Expectation expectation;
  expectation.figure = line.at("figure").get<std::string>();
  expectation.criticality = line.value("class", "");
  expectation.has_min = line.contains("at_least");
  expectation.has_max = line.contains("at_most");
  expectation.min_value = line.value("at_least", 0.0);
  expectation.max_value = line.value("at_most", 0.0);
  expectation.line = number;
  scenario.expectations.push_back(expectation);
}

/// Reads one line; returns false for an unknown type.
bool ReadLine(const Json& line, int number, Scenario& scenario) {
  using Reader = void (*)(const Json&, Scenario&);
  static const std::map<std::string, Reader> kReaders = {
      {"deployment", ReadDeployment},
      {"service", ReadService},
      {"chain", ReadChain},
      {"arrivals", ReadArrivals},
      {"call", ReadCall},
      {"fault", ReadFault},
      {"callers", ReadCallers},
      {"cause", ReadCause}};
  const std::string type = line.at("type").get<std::string>();
  if (type == "expect") {
    ReadExpectation(line, number, scenario);
    return true;
  }
  const auto found = kReaders.find(type);
  if (found == kReaders.end()) {
    return false;
  }
  found->second(line, scenario);
  return true;
}

/// Returns why a scenario cannot be run; empty if it can.
std::string ValidationError(const Scenario& scenario) {
  std::set<std::string> services;
  for (const ServiceModel& service : scenario.services) {
    const bool is_valid =
        service.instances > 0 && service.slots > 0 && service.work_ms > 0;
    if (!is_valid) {
      return "service " + service.name +
             ": instances, slots and work_ms must be above 0";
    }
    services.insert(service.name);
  }
  if (scenario.zones.empty()) {
    return "missing deployment line with zones";
  }
  std::vector<std::string> named;
  for (const ArrivalModel& arrival : scenario.arrivals) {
    named.push_back(arrival.operation);
  }
  for (const RecordedCall& call : scenario.recorded_calls) {
    named.push_back(call.operation);
  }
  for (const ChainModel& chain : scenario.chains) {
    named.push_back(chain.operation);
    named.insert(named.end(), chain.calls.begin(), chain.calls.end());
  }
  for (const std::string& name : named) {
    const policy::OperationSpec* operation =
        scenario.bundle.FindOperation(OperationName(name));
    if (operation == nullptr) {
      return "the bundle has no operation " + name;
    }
    if (services.count(operation->service.Value()) == 0) {
      return "missing line for service " + operation->service.Value();
    }
  }
  return "";
}

}  // namespace

Result<Scenario> ParseScenario(const std::string& name,
                               const std::string& text,
                               const std::string& folder) {
  Scenario scenario;
  scenario.name = name;
  std::istringstream in(text);
  std::string line;
  std::string bundle;
  int number = 0;
  while (std::getline(in, line)) {
    ++number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    try {
      const Json tree = Json::parse(line);
      if (tree.value("type", "") == "deployment") {
        bundle = tree.at("bundle").get<std::string>();
      }
      if (!ReadLine(tree, number, scenario)) {
        return Fail(ErrorKind::kBadSettings,
                    config::AtLine(name, number,
                                   "type: allowed: deployment, service, chain, "
                                   "arrivals, call, fault, callers, cause, "
                                   "expect"));
      }
    } catch (const std::exception& error) {
      return Fail(ErrorKind::kBadSettings,
                  config::AtLine(name, number, error.what()));
    }
  }
  BOOST_LEAF_AUTO(bundle_text, config::ReadFile(folder + bundle));
  BOOST_LEAF_ASSIGN(scenario.bundle, policy::RequireBundle(bundle_text));
  const std::string problem = ValidationError(scenario);
  if (!problem.empty()) {
    return Fail(ErrorKind::kBadSettings, name + ": " + problem);
  }
  return scenario;
}

}  // namespace almondlink::model
