#include <algorithm>

#include "almondlink/relay/peer_table.h"

/// Exchange of leaves of targets between nodes: each node records the latest
/// ones of every other, and returns them to a node that has restarted.
namespace almondlink::relay {

namespace {

/// Leaves that are kept for each peer: as many as it announces. Older ones that
/// are returned to it after a restart would take the place of later ones there.
constexpr std::size_t kMaxDrainingInstances = 4;

}  // namespace

/// Records a leave of a target of another node, so that the node can restore it
/// after a restart.
void PeerTable::RecordLeave(const InstanceRecord& record) {
  std::deque<InstanceRecord>& records = this->draining_instances[record.node];
  const auto known = std::find_if(
      records.begin(), records.end(), [&record](const InstanceRecord& entry) {
        return entry.instance == record.instance &&
               entry.started_at == record.started_at;
      });
  if (known != records.end()) {
    records.erase(known);
  }
  records.push_back(record);
  if (records.size() > kMaxDrainingInstances) {
    records.pop_front();
  }
}

/// Records the current instance of a peer if it is draining; a peer below
/// kVersionLeaves announces no other leaves and waits for the confirmation.
void PeerTable::RecordDrainingInstance(const PeerPointer& peer) {
  const StateFrame& reported = peer->reported;
  if (reported.state != InstanceState::kDraining) {
    return;
  }
  this->RecordLeave({peer->node.name, reported.instance, reported.sequence,
                     reported.state, reported.started_at});
  if (peer->protocol_version < kVersionLeaves) {
    AppendStateConfirmed({reported.started_at, reported.sequence},
                         peer->link->OutputBuffer());
    peer->link->ScheduleFlush();
  }
}

bool PeerTable::OnLeaves(const PeerPointer& peer, std::string_view payload) {
  LeavesFrame leaves;
  if (!Decode(payload, leaves)) {
    return false;
  }
  for (const control::InstanceIncarnation& instance : leaves.instances) {
    this->RecordLeave({peer->node.name, instance.id, 0,
                       InstanceState::kDraining, instance.started_at});
  }
  AppendLeavesConfirmed(leaves.revision, peer->link->OutputBuffer());
  peer->link->ScheduleFlush();
  return true;
}

bool PeerTable::OnLeavesConfirmed(LinkId link, std::string_view payload) {
  std::uint64_t revision = 0;
  if (!DecodeLeavesConfirmed(payload, revision)) {
    return false;
  }
  this->events.on_leaves_confirmed(link, this->NodeOfAcceptedLink(link),
                                   revision);
  return true;
}

void PeerTable::AnnounceLeaves() {
  std::string frame;
  Append(this->events.make_leaves(), frame);
  for (auto& [id, entry] : this->accepted) {
    if (entry.protocol_version >= kVersionLeaves) {
      entry.link->OutputBuffer() += frame;
      entry.link->ScheduleFlush();
    }
  }
}

}  // namespace almondlink::relay
