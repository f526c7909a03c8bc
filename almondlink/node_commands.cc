#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <cstdio>
#include <iostream>

#include "almondlink/command.h"
#include "almondlink/config/setting.h"
#include "almondlink/control/membership.h"
#include "almondlink/flags.h"
#include "almondlink/peer_query.h"

namespace almondlink::tool {

namespace {

constexpr double kAdminTimeoutMs = 5000;

const char* StateName(std::uint32_t state) {
  switch (static_cast<control::MemberState>(state)) {
    case control::MemberState::kAlive:
      return "alive";
    case control::MemberState::kSuspect:
      return "suspect";
    case control::MemberState::kFailed:
      return "failed";
    case control::MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

/// Members as one node sees them, or as they announced themselves in the log.
Result<std::vector<wire::Member>> ReadMembers() {
  if (FLAGS_node.empty()) {
    return MembersFromLog();
  }
  BOOST_LEAF_AUTO(key, DeploymentKeyFromFlags());
  wire::StatePull pull;
  pull.wants_members = true;
  const std::map<std::string, wire::StatePush> states =
      QueryPeers(key, {FLAGS_node}, pull, Millis{2000});
  if (states.empty()) {
    return Fail(ErrorKind::kIo, FLAGS_node + ": no answer");
  }
  return states.begin()->second.members;
}

Result<int> Nodes(const Arguments& /*arguments*/) {
  BOOST_LEAF_AUTO(members, ReadMembers());
  std::map<std::string, wire::StatePush> states;
  if (!FLAGS_deployment_key.empty()) {
    BOOST_LEAF_AUTO(key, DeploymentKeyFromFlags());
    std::vector<std::string> addresses;
    addresses.reserve(members.size());
    for (const wire::Member& member : members) {
      addresses.push_back(member.address);
    }
    states = QueryPeers(key, addresses, wire::StatePull{}, Millis{1500});
  }
  std::printf("%-20s %-16s %-14s %-22s %-8s %-8s %s\n", "node", "service",
              "zone", "peer address", "state", "slots", "bundle offset");
  for (const wire::Member& member : members) {
    const auto found = states.find(member.address);
    const std::string offset =
        found == states.end() ? "no answer"
                              : std::to_string(found->second.bundle_offset);
    const std::string state =
        member.is_draining ? "draining" : StateName(member.state);
    std::printf("%-20s %-16s %-14s %-22s %-8s %-8u %s\n", member.node.c_str(),
                member.service.c_str(), member.zone.c_str(),
                member.address.c_str(), state.c_str(), member.slots,
                states.empty() ? "-" : offset.c_str());
  }
  return kExitOk;
}

/// Prints what the node of --node answers. Errors: kBadSettings, kIo.
Result<int> Ask(const std::string& method, const std::string& path) {
  BOOST_LEAF_CHECK(RequireFlag(FLAGS_node, "node"));
  BOOST_LEAF_AUTO(address, config::ParseEndpoint(FLAGS_node));
  try {
    cxxtools::http::Client client(address.ip, address.port);
    cxxtools::http::Request request(path);
    request.method(method);
    const cxxtools::Milliseconds timeout(kAdminTimeoutMs);
    client.execute(request, timeout, timeout);
    client.readBody();
    std::cout << client.body();
    return client.header().httpReturnCode() == 200 ? kExitOk : kExitIo;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kIo, FLAGS_node + ": " + error.what());
  }
}

Result<int> Dump(const Arguments& arguments) {
  return Ask("GET", arguments.empty() ? "/dump" : "/" + arguments.front());
}

Result<int> Ends(const Arguments& arguments) {
  if (arguments.empty()) {
    return Ask("GET", "/ends");
  }
  if (arguments.size() != 2 || arguments.front() != "lift") {
    return Fail(ErrorKind::kBadSettings, "ends [lift DIGEST] --node=METRICS");
  }
  return Ask("POST", "/ends/lift/" + arguments.back());
}

}  // namespace

std::vector<Command> NodeCommands() {
  return {
      {"nodes", "--log --deployment | --node=PEER --deployment_key",
       "Lists the nodes: as they announced themselves in the log, or as one\n"
       "node sees them. With --deployment_key each is asked for its bundle.",
       Nodes},
      {"dump", "[metrics|health] --node=ADMIN",
       "Prints the whole state of a node as JSON, its metrics or its health.",
       Dump},
      {"ends", "[lift DIGEST] --node=METRICS",
       "Lists the requests that a relay node holds because targets ended "
       "under\n"
       "them, or lets go of one, on all nodes.",
       Ends},
  };
}

}  // namespace almondlink::tool
