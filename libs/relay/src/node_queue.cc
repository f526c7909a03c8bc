#include <map>
#include <string>

#include "almondlink/base/event_log.h"
#include "almondlink/control/queue_moves.h"
#include "almondlink/relay/relay_node.h"

/// The queue of the target beside a node: what the node tells it about other
/// targets, and its events and metrics.
namespace almondlink::relay {

namespace {

/// Minimum time between two events of the same kind about the queue.
constexpr Millis kQueueLogInterval{10000};
/// Time after the start of a node in which its queued calls stay.
constexpr Millis kMoveDelay{5000};

}  // namespace

void RelayNode::MoveWaiting(Millis now) {
  // Right after a start the reported loads of the other targets are still
  // empty, and all of them would seem to have free slots.
  if (!this->settings.decisions.moves_waiting ||
      now - this->started_at < kMoveDelay) {
    return;
  }
  this->served.MoveWaiting(now, this->LoadOfOtherTargets(now),
                           this->loads.IsSummed() ? control::kMovesBySums
                                                  : control::kMovesByReports);
}

/// Free slots and waiting calls at the other targets of the service: from their
/// own reports, or, where loads are summed, from the sums of the zones.
control::LoadElsewhere RelayNode::LoadOfOtherTargets(Millis now) {
  control::LoadElsewhere elsewhere;
  if (this->served.Waiting() == 0) {
    return elsewhere;
  }
  const std::string& service = this->served.Ledger().current.service;
  if (this->loads.IsSummed()) {
    const control::DecisionSums* totals = this->decisions.Totals(now);
    if (totals == nullptr) {
      return elsewhere;
    }
    const control::ZoneService own{ServiceKeyOf(this->settings.zone.Value()),
                                   ServiceKeyOf(service)};
    control::DecisionSums part;
    this->served.AddDecisions(part);
    return control::ElsewhereOf(totals->zones, own.second, own.first,
                                part.zones[own]);
  }
  for (const PeerPointer& peer : this->peers.PeersOfService(service)) {
    const bool is_usable =
        !peer->is_self && EntryCalls::IsTargetAvailable(*peer) &&
        control::MayUse(now, peer->health) && peer->limited_until <= now;
    if (is_usable) {
      control::AddTargetElsewhere({peer->reported.slots, peer->reported.running,
                                   peer->reported.waiting},
                                  peer->sent_since_report, elsewhere);
    }
  }
  return elsewhere;
}

void RelayNode::LogQueue(Millis now) {
  if (now - this->queue_logged_at < kQueueLogInterval) {
    return;
  }
  const QueueCounters& counters = this->served.QueueCounts();
  const std::uint64_t left = counters.left - this->logged_queue.left;
  const std::uint64_t moved = counters.moved - this->logged_queue.moved;
  const std::uint64_t denied =
      counters.moves_denied - this->logged_queue.moves_denied;
  if (left > 0) {
    LogEvent(kEventQueueLeft,
             {{"instance", this->served.Ledger().current.incarnation.id},
              {"expired", std::to_string(left)},
              {"queued",
               std::to_string(counters.queued - this->logged_queue.queued)},
              {"overtaken", std::to_string(counters.overtook -
                                           this->logged_queue.overtook)}});
  }
  if (moved + denied > 0) {
    LogEvent(kEventCallsMoved,
             {{"instance", this->served.Ledger().current.incarnation.id},
              {"moved", std::to_string(moved)},
              {"denied", std::to_string(denied)}});
  }
  this->logged_queue = counters;
  this->queue_logged_at = now;
}

void RelayNode::WriteQueue(MetricText& out) const {
  const QueueCounters& counters = this->served.QueueCounts();
  // Versions of the policy may give classes of the same name other keys.
  std::map<std::string, std::uint64_t> left;
  for (const auto& [key, count] : counters.left_by_class) {
    left[this->entry.RouteName(key)] += count;
  }
  out.Begin("queue_left_total", "counter",
            "Calls that left the queue of the target unrun because their time "
            "was over, by route of the root request.");
  for (const auto& [route, count] : left) {
    out.Add(MetricLabel("route", route), static_cast<double>(count));
  }
  out.AddSingle("queued_total", "counter",
                "Calls that had to wait for a slot of the target.",
                static_cast<double>(counters.queued));
  out.AddSingle("queue_overtook_total", "counter",
                "Calls that were run while a more urgent one was queued that "
                "had more time.",
                static_cast<double>(counters.overtook));
  out.AddSingle("queue_moved_total", "counter",
                "Queued calls that were returned unrun because other targets "
                "had free slots.",
                static_cast<double>(counters.moved));
  out.AddSingle("queue_moves_denied_total", "counter",
                "Queued calls that stayed because of the bound on moves.",
                static_cast<double>(counters.moves_denied));
}

}  // namespace almondlink::relay
