#include <algorithm>
#include <optional>
#include <string>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/relay_node.h"

/// What a node does when something happens at the target beside it, and the log
/// lines about it.
namespace almondlink::relay {

namespace {

constexpr double kMillisPerSecond = 1000;

std::string ToText(const std::optional<double>& number) {
  return number.has_value() ? std::to_string(*number) : std::string();
}

}  // namespace

ServedEvents RelayNode::MakeServedEvents() {
  ServedEvents events;
  events.on_answer = [this](LinkId link, const AnswerFrame& frame) {
    if (link == kLocalLink) {
      this->entry.OnAnswer(this->peers.SelfPeer(), frame);
      return;
    }
    if (const PeerLinkPointer open = this->peers.FindAcceptedLink(link)) {
      Append(frame, open->OutputBuffer());
      open->ScheduleFlush();
    }
  };
  events.on_part = [this](LinkId link, const DataFrame& frame) {
    if (link == kLocalLink) {
      this->entry.OnPart(this->peers.SelfPeer(), frame);
      return;
    }
    if (const PeerLinkPointer open = this->peers.FindAcceptedLink(link)) {
      Append(frame, open->OutputBuffer());
      open->ScheduleFlush();
    }
  };
  events.on_slots_changed = [this]() { this->peers.AnnounceState(); };
  events.on_failed = [this](const std::string& request_id, CallReason reason,
                            bool was_sent, Millis waited) {
    if (!WouldLog(kEventTargetCallFailed)) {
      return;
    }
    LogEvent(kEventTargetCallFailed,
             {{"request", request_id},
              {"instance", this->served.Ledger().current.incarnation.id},
              {"reason", ToString(reason)},
              {"sent", was_sent ? "yes" : "no"},
              {"after_ms", std::to_string(waited.count)},
              {"running", std::to_string(this->served.Running())},
              {"waiting", std::to_string(this->served.Waiting())}});
  };
  events.on_target_crashed = [this](const control::InstanceIncarnation& start,
                                    std::size_t running) {
    LogEvent(kEventTargetEnded,
             {{"instance", start.id},
              {"born", std::to_string(start.started_at)},
              {"service", this->served.Ledger().current.service},
              {"running", std::to_string(running)},
              {"waiting", std::to_string(this->served.Waiting())}});
    this->peers.AnnounceState();
  };
  events.on_limit_changed = [this]() {
    this->LogLimit();
    this->peers.AnnounceState();
  };
  events.on_limit_usage = [this](const LimitUsage& usage) {
    this->LogLimitUsage(usage);
  };
  events.on_says_leaving = [this](const control::InstanceIncarnation& start) {
    const control::InstanceTracker& tracker = this->served.Ledger();
    LogEvent(kEventTargetSaysLeaving,
             {{"instance", start.id},
              {"born", std::to_string(start.started_at)},
              {"reported", ToString(tracker.phase)}});
    // Announced ahead of the answer on each link, so every node that passes
    // the answer on knows of the leave.
    this->ApplyLeave(BootTimeNow(), start, "answer");
  };
  return events;
}

void RelayNode::LogLimit() const {
  LogEvent(kEventTargetLimit,
           {{"instance", this->served.Ledger().current.incarnation.id},
            {"per_s", ToText(this->served.Limit().per_s)},
            {"running", std::to_string(this->served.Running())},
            {"waiting", std::to_string(this->served.Waiting())}});
}

void RelayNode::LogLimitUsage(const LimitUsage& usage) const {
  const double seconds =
      static_cast<double>((usage.until - usage.since).count) / kMillisPerSecond;
  std::uint32_t max_of_node = 0;
  for (const auto& [link, sent] : usage.sent_by_link) {
    max_of_node = std::max(max_of_node, sent);
  }
  LogEvent(
      kEventTargetLimitUsage,
      {{"instance", this->served.Ledger().current.incarnation.id},
       {"sent", std::to_string(usage.sent)},
       {"named", std::to_string(seconds * *this->served.Limit().per_s)},
       {"nodes", std::to_string(usage.sent_by_link.size())},
       {"max_of_node", std::to_string(max_of_node)},
       {"refused", std::to_string(usage.refused)},
       {"work_ms", std::to_string(control::MeanWorkMs(this->served.Meter()))}});
}

}  // namespace almondlink::relay
