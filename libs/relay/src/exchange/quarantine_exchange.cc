#include "almondlink/relay/quarantine_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"

namespace almondlink::relay {

namespace {

/// Interval at which a node with a waiting request repeats its trial request.
constexpr Millis kRequestInterval{50};
/// A trial whose node does not report its end expires this long after its
/// caller's deadline.
constexpr Millis kTrialTimeoutMargin{500};

/// Whether the node can be a trial coordinator.
bool CanCoordinate(const Peer& peer) {
  return !peer.reported.is_stopping && peer.IsReachable() &&
         (peer.is_self ||
          (!peer.is_suspect && peer.protocol_version >= kVersionQuarantine));
}

QuarantineUpdate MakeUpdate(const control::RequestDigest& digest,
                            const control::QuarantineRecord& record,
                            Millis now) {
  QuarantineUpdate update;
  update.digest = digest;
  update.crashed_incarnations = record.crashed_incarnations;
  update.failed_trials = record.failed_trials;
  update.age = now - record.last_crash;
  return update;
}

}  // namespace

const control::QuarantineRules& QuarantineExchange::Rules() {
  static const control::QuarantineRules kRules;
  return kRules;
}

QuarantineExchange::QuarantineExchange(const RelaySettings& settings_in,
                                       PeerTable& peers_in,
                                       TrialPermitHandler on_permit_in)
    : settings(settings_in),
      peers(peers_in),
      on_permit(std::move(on_permit_in)) {}

void QuarantineExchange::SetConfirmationHandlers(
    std::function<void(const control::RequestDigest&,
                       const control::QuarantineRecord&)> on_confirmed_in,
    std::function<void(const control::RequestDigest&)> on_cleared_in) {
  this->on_confirmed = std::move(on_confirmed_in);
  this->on_cleared = std::move(on_cleared_in);
}

void QuarantineExchange::MergeStored(const control::RequestDigest& digest,
                                     const control::QuarantineRecord& record) {
  const Millis now = BootTimeNow();
  const bool is_new = this->Find(digest) == nullptr;
  control::MergeQuarantine(Rules(), now, digest, record, this->table);
  if (is_new && this->Find(digest) != nullptr) {
    // Most nodes do not read the stored records themselves.
    this->Broadcast({{MakeUpdate(digest, this->table.records[digest], now)}});
  }
}

bool QuarantineExchange::IsPathUnknown(std::uint64_t path) const {
  return !control::HasRecordForPath(path, this->table);
}

control::QuarantineDecision QuarantineExchange::Decide(
    const control::RequestDigest& digest,
    Millis now) const {
  return control::DecideQuarantine(Rules(), now, digest, this->table);
}

void QuarantineExchange::Broadcast(const QuarantineFrame& frame) {
  for (const PeerPointer& peer : this->peers.All()) {
    if (!peer->is_self && peer->IsReachable() &&
        peer->protocol_version >= kVersionQuarantine) {
      Append(frame, peer->link->OutputBuffer());
      peer->link->ScheduleFlush();
    }
  }
}

bool QuarantineExchange::RecordTargetCrash(const control::RequestDigest& digest,
                                           const control::TargetCrash& crash,
                                           Millis now) {
  if (!control::RecordTargetCrash(Rules(), now, digest, crash, this->table)) {
    return false;
  }
  const control::QuarantineRecord& record = this->table.records[digest];
  this->Broadcast({{MakeUpdate(digest, record, now)}});
  if (crash.is_on_trial && this->on_confirmed) {
    this->on_confirmed(digest, record);
  }
  return true;
}

bool QuarantineExchange::RecordCompletedRun(
    const control::RequestDigest& digest) {
  const control::QuarantineRecord* before = this->Find(digest);
  const bool was_confirmed = before != nullptr && before->failed_trials > 0;
  if (!control::RecordCompletedRun(Rules(), BootTimeNow(), digest,
                                   this->table)) {
    return false;
  }
  if (was_confirmed && this->on_cleared) {
    this->on_cleared(digest);
  }
  QuarantineUpdate update;
  update.digest = digest;
  update.is_completed = true;
  this->Broadcast({{update}});
  return true;
}

bool QuarantineExchange::Lift(const std::string& digest) {
  const auto known =
      std::find_if(this->table.records.begin(), this->table.records.end(),
                   [&digest](const auto& entry) {
                     return control::ToString(entry.first) == digest;
                   });
  if (known == this->table.records.end()) {
    return false;
  }
  const control::RequestDigest lifted = known->first;
  LogEvent(kEventBlameLifted,
           {{"digest", digest},
            {"ends", std::to_string(known->second.crashed_incarnations.size())},
            {"failed_trials", std::to_string(known->second.failed_trials)}});
  this->RecordCompletedRun(lifted);
  return true;
}

std::string QuarantineExchange::ListQuarantined(Millis now) const {
  std::string text = "digest\tends\tfailed_trials\tstate\twait_ms\tage_ms\n";
  for (const auto& [digest, record] : this->table.records) {
    const control::QuarantineDecision verdict = this->Decide(digest, now);
    if (verdict.action == control::QuarantineAction::kAllow) {
      continue;
    }
    const bool is_refused =
        verdict.action == control::QuarantineAction::kRefuse;
    text += control::ToString(digest) + "\t" +
            std::to_string(record.crashed_incarnations.size()) + "\t" +
            std::to_string(record.failed_trials) + "\t" +
            (is_refused ? "refused" : "on-trial") + "\t" +
            std::to_string(verdict.wait.count) + "\t" +
            std::to_string((now - record.last_crash).count) + "\n";
  }
  return text;
}

void QuarantineExchange::OnUpdates(const QuarantineFrame& frame) {
  const Millis now = BootTimeNow();
  for (const QuarantineUpdate& update : frame.updates) {
    if (update.is_completed) {
      control::RecordCompletedRun(Rules(), now, update.digest, this->table);
      continue;
    }
    control::QuarantineRecord received;
    received.crashed_incarnations = update.crashed_incarnations;
    received.failed_trials = update.failed_trials;
    received.last_crash = now - update.age;
    control::MergeQuarantine(Rules(), now, update.digest, received,
                             this->table);
  }
}

void QuarantineExchange::OnPeerConnected(const PeerPointer& peer) {
  if (peer->is_self || peer->protocol_version < kVersionQuarantine) {
    return;
  }
  const Millis now = BootTimeNow();
  QuarantineFrame frame;
  for (const auto& [digest, record] : this->table.records) {
    if (control::IsQuarantined(Rules(), record)) {
      frame.updates.push_back(MakeUpdate(digest, record, now));
    }
  }
  if (!frame.updates.empty()) {
    Append(frame, peer->link->OutputBuffer());
    peer->link->ScheduleFlush();
  }
}

PeerPointer QuarantineExchange::TrialCoordinator(
    const std::string& service) const {
  const std::uint64_t key = ServiceKeyOf(service);
  PeerPointer coordinator = this->peers.SelfPeer();
  std::uint64_t highest = 0;
  for (const PeerPointer& peer : this->peers.All()) {
    const std::uint64_t rank =
        CanCoordinate(*peer) ? StableHash(peer->node.name, key) : 0;
    if (rank > highest) {
      highest = rank;
      coordinator = peer;
    }
  }
  return coordinator;
}

/// Returns the name of the node whose target may run the trial; empty if the
/// trial must wait.
std::string QuarantineExchange::GrantTrial(const control::RequestDigest& digest,
                                           const std::string& service,
                                           Millis remaining,
                                           Millis now) {
  if (this->Decide(digest, now).action == control::QuarantineAction::kRefuse) {
    return {};
  }
  std::vector<control::TrialCandidate> places;
  for (const PeerPointer& peer : this->peers.PeersOfService(service)) {
    const bool is_open = peer->IsReachable() && !peer->is_suspect &&
                         !peer->reported.is_stopping &&
                         peer->reported.state == InstanceState::kReady;
    if (is_open) {
      places.push_back({peer->node.name, peer->reported.running +
                                             peer->reported.waiting +
                                             peer->sent_since_report});
    }
  }
  return control::PermitTrial(now, digest, service, places,
                              now + remaining + kTrialTimeoutMargin,
                              this->trials)
      .value_or(std::string());
}

void QuarantineExchange::RequestTrial(const control::RequestDigest& digest,
                                      const std::string& service,
                                      Millis remaining,
                                      Millis now) {
  const auto [last, is_first] = this->last_requested.emplace(digest, now);
  if (!is_first && now - last->second < kRequestInterval) {
    return;
  }
  last->second = now;
  const PeerPointer coordinator = this->TrialCoordinator(service);
  if (coordinator->is_self) {
    const std::string node = this->GrantTrial(digest, service, remaining, now);
    if (!node.empty()) {
      this->on_permit(digest, node);
    }
    return;
  }
  TrialRequestFrame request;
  request.digest = digest;
  request.service = service;
  request.remaining_ms = static_cast<std::uint32_t>(remaining.count);
  Append(request, coordinator->link->OutputBuffer());
  coordinator->link->ScheduleFlush();
}

void QuarantineExchange::OnTrialRequest(const PeerLinkPointer& link,
                                        const TrialRequestFrame& request) {
  TrialResponseFrame answer;
  answer.digest = request.digest;
  answer.node = this->GrantTrial(request.digest, request.service,
                                 Millis{request.remaining_ms}, BootTimeNow());
  Append(answer, link->OutputBuffer());
  link->ScheduleFlush();
}

void QuarantineExchange::OnTrialResponse(const TrialResponseFrame& answer) {
  if (!answer.node.empty()) {
    this->on_permit(answer.digest, answer.node);
  }
}

void QuarantineExchange::EndTrial(const control::RequestDigest& digest,
                                  const std::string& service) {
  control::EndTrial(digest, this->trials);
  const PeerPointer coordinator = this->TrialCoordinator(service);
  if (!coordinator->is_self) {
    Append(TrialEndedFrame{digest}, coordinator->link->OutputBuffer());
    coordinator->link->ScheduleFlush();
  }
}

void QuarantineExchange::OnTrialEnded(const TrialEndedFrame& ended) {
  control::EndTrial(ended.digest, this->trials);
}

void QuarantineExchange::Tick(Millis now) {
  control::ExpireQuarantine(Rules(), now, this->table);
  for (auto entry = this->last_requested.begin();
       entry != this->last_requested.end();) {
    const bool is_over = now - entry->second > kRequestInterval * 2;
    entry = is_over ? this->last_requested.erase(entry) : std::next(entry);
  }
}

}  // namespace almondlink::relay
