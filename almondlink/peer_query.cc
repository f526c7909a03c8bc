#include "almondlink/peer_query.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "almondlink/base/rcu.h"
#include "almondlink/flags.h"
#include "almondlink/mesh/peer_links.h"

namespace almondlink::tool {

std::map<std::string, wire::StatePush> QueryPeers(
    const policy::DeploymentKey& key,
    const std::vector<std::string>& addresses,
    const wire::StatePull& pull,
    Millis timeout) {
  boost::asio::io_context loop(1);
  mesh::PeerLinksConfig config;
  config.node = NodeId("almondlink-tool");
  config.key = key;
  config.connect_timeout = timeout;
  config.max_message = 64 * 1024 * 1024;
  std::map<std::string, wire::StatePush> answers;
  mesh::PeerLinks links(loop, config);
  std::size_t open = addresses.size();
  for (const std::string& address : addresses) {
    links.Pull(address, pull, timeout,
               [&, address](Result<wire::StatePush> result) {
                 if (result) {
                   answers.emplace(address, std::move(*result));
                 }
                 --open;
               });
  }
  const Millis until = MonotonicNow() + timeout + Millis{500};
  while (open > 0 && MonotonicNow() < until) {
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  links.Close();
  return answers;
}

Result<std::vector<wire::Member>> MembersFromLog() {
  BOOST_LEAF_AUTO(log, OpenLog());
  std::map<std::string, wire::Member> newest;
  BOOST_LEAF_CHECK(ReadWhole(
      *log, record_log::MemberStream(FLAGS_deployment),
      [&newest](const wire::LogPage& page) {
        for (const wire::LogEntry& entry : page.entries) {
          HandleFailure(
              [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(record,
                                wire::DecodeMemberRecord(entry.data.data(),
                                                         entry.data.size()));
                wire::Member& known = newest[record.member.node];
                if (record.member.incarnation >= known.incarnation) {
                  known = record.member;
                }
                return true;
              },
              [](const Failure&) { return false; });
        }
      }));
  std::vector<wire::Member> members;
  members.reserve(newest.size());
  for (const auto& [node, member] : newest) {
    members.push_back(member);
  }
  return members;
}

}  // namespace almondlink::tool
