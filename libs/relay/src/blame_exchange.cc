#include "almondlink/relay/blame_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"

namespace almondlink::relay {

namespace {

/// A trial is asked for again after this, by the node that waits for it.
constexpr Millis kAskAgain{50};
/// A trial whose node says nothing more counts as over so long after its
/// caller's time.
constexpr Millis kTrialSlack{500};

/// Whether the node permits trials.
bool MayKeep(const Peer& peer) {
  return !peer.told.is_stopping && peer.IsReachable() &&
         (peer.is_self || (!peer.is_suspect && peer.dialect >= kNamesEnds));
}

BlameNews NewsOf(const control::RequestDigest& digest,
                 const control::QuarantineRecord& record,
                 Millis now) {
  BlameNews news;
  news.digest = digest;
  news.starts = record.crashed_incarnations;
  news.failed_trials = record.failed_trials;
  news.age = now - record.last_crash;
  return news;
}

}  // namespace

const control::QuarantineRules& BlameExchange::Rules() {
  static const control::QuarantineRules kRules;
  return kRules;
}

BlameExchange::BlameExchange(const RelaySettings& settings_in,
                             PeerTable& peers_in,
                             OnPermit on_permit_in)
    : settings(settings_in),
      peers(peers_in),
      on_permit(std::move(on_permit_in)) {}

void BlameExchange::OnProof(
    std::function<void(const control::RequestDigest&,
                       const control::QuarantineRecord&)> on_guilty_in,
    std::function<void(const control::RequestDigest&)> on_cleared_in) {
  this->on_guilty = std::move(on_guilty_in);
  this->on_cleared = std::move(on_cleared_in);
}

void BlameExchange::Take(const control::RequestDigest& digest,
                         const control::QuarantineRecord& record) {
  control::MergeQuarantine(Rules(), BootTimeNow(), digest, record, this->table);
}

bool BlameExchange::IsBlank(std::uint64_t path) const {
  return !control::HasRecordForPath(path, this->table);
}

control::QuarantineDecision BlameExchange::Judge(
    const control::RequestDigest& digest,
    Millis now) const {
  return control::DecideQuarantine(Rules(), now, digest, this->table);
}

void BlameExchange::TellAll(const BlameFrame& frame) {
  for (const PeerPointer& peer : this->peers.All()) {
    if (!peer->is_self && peer->IsReachable() && peer->dialect >= kNamesEnds) {
      Append(frame, peer->link->Out());
      peer->link->FlushSoon();
    }
  }
}

bool BlameExchange::NoteTargetEnd(const control::RequestDigest& digest,
                                  const control::TargetCrash& end,
                                  Millis now) {
  if (!control::RecordTargetCrash(Rules(), now, digest, end, this->table)) {
    return false;
  }
  const control::QuarantineRecord& record = this->table.records[digest];
  this->TellAll({{NewsOf(digest, record, now)}});
  if (end.is_on_trial && this->on_guilty) {
    this->on_guilty(digest, record);
  }
  return true;
}

bool BlameExchange::NoteWholeRun(const control::RequestDigest& digest) {
  const control::QuarantineRecord* before = this->Find(digest);
  const bool was_guilty = before != nullptr && before->failed_trials > 0;
  if (!control::RecordCompletedRun(Rules(), BootTimeNow(), digest,
                                   this->table)) {
    return false;
  }
  if (was_guilty && this->on_cleared) {
    this->on_cleared(digest);
  }
  BlameNews news;
  news.digest = digest;
  news.is_whole = true;
  this->TellAll({{news}});
  return true;
}

bool BlameExchange::Lift(const std::string& digest) {
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
  this->NoteWholeRun(lifted);
  return true;
}

std::string BlameExchange::ListHeld(Millis now) const {
  std::string text = "digest\tends\tfailed_trials\tstate\twait_ms\tage_ms\n";
  for (const auto& [digest, record] : this->table.records) {
    const control::QuarantineDecision verdict = this->Judge(digest, now);
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

void BlameExchange::OnNews(const BlameFrame& frame) {
  const Millis now = BootTimeNow();
  for (const BlameNews& news : frame.news) {
    if (news.is_whole) {
      control::RecordCompletedRun(Rules(), now, news.digest, this->table);
      continue;
    }
    control::QuarantineRecord told;
    told.crashed_incarnations = news.starts;
    told.failed_trials = news.failed_trials;
    told.last_crash = now - news.age;
    control::MergeQuarantine(Rules(), now, news.digest, told, this->table);
  }
}

void BlameExchange::OnPeer(const PeerPointer& peer) {
  if (peer->is_self || peer->dialect < kNamesEnds) {
    return;
  }
  const Millis now = BootTimeNow();
  BlameFrame frame;
  for (const auto& [digest, record] : this->table.records) {
    if (control::IsQuarantined(Rules(), record)) {
      frame.news.push_back(NewsOf(digest, record, now));
    }
  }
  if (!frame.news.empty()) {
    Append(frame, peer->link->Out());
    peer->link->FlushSoon();
  }
}

PeerPointer BlameExchange::Keeper(const std::string& service) const {
  const std::uint64_t key = ServiceKeyOf(service);
  PeerPointer keeper = this->peers.SelfPeer();
  std::uint64_t highest = 0;
  for (const PeerPointer& peer : this->peers.All()) {
    const std::uint64_t rank =
        MayKeep(*peer) ? StableHash(peer->node.name, key) : 0;
    if (rank > highest) {
      highest = rank;
      keeper = peer;
    }
  }
  return keeper;
}

/// Name of the node whose target may run the trial; empty if it must wait.
std::string BlameExchange::Permit(const control::RequestDigest& digest,
                                  const std::string& service,
                                  Millis left,
                                  Millis now) {
  if (this->Judge(digest, now).action == control::QuarantineAction::kRefuse) {
    return {};
  }
  std::vector<control::TrialCandidate> places;
  for (const PeerPointer& peer : this->peers.Of(service)) {
    const bool is_open = peer->IsReachable() && !peer->is_suspect &&
                         !peer->told.is_stopping &&
                         peer->told.state == InstanceState::kReady;
    if (is_open) {
      places.push_back(
          {peer->node.name,
           peer->told.running + peer->told.waiting + peer->sent_since});
    }
  }
  return control::PermitTrial(now, digest, service, places,
                              now + left + kTrialSlack, this->book)
      .value_or(std::string());
}

void BlameExchange::AskTrial(const control::RequestDigest& digest,
                             const std::string& service,
                             Millis left,
                             Millis now) {
  const auto [last, is_first] = this->asked.emplace(digest, now);
  if (!is_first && now - last->second < kAskAgain) {
    return;
  }
  last->second = now;
  const PeerPointer keeper = this->Keeper(service);
  if (keeper->is_self) {
    const std::string node = this->Permit(digest, service, left, now);
    if (!node.empty()) {
      this->on_permit(digest, node);
    }
    return;
  }
  TrialAskFrame ask;
  ask.digest = digest;
  ask.service = service;
  ask.left_ms = static_cast<std::uint32_t>(left.count);
  Append(ask, keeper->link->Out());
  keeper->link->FlushSoon();
}

void BlameExchange::OnAsk(const PeerLinkPointer& link,
                          const TrialAskFrame& ask) {
  TrialAnswerFrame answer;
  answer.digest = ask.digest;
  answer.node =
      this->Permit(ask.digest, ask.service, Millis{ask.left_ms}, BootTimeNow());
  Append(answer, link->Out());
  link->FlushSoon();
}

void BlameExchange::OnPermitted(const TrialAnswerFrame& answer) {
  if (!answer.node.empty()) {
    this->on_permit(answer.digest, answer.node);
  }
}

void BlameExchange::EndTrial(const control::RequestDigest& digest,
                             const std::string& service) {
  control::EndTrial(digest, this->book);
  const PeerPointer keeper = this->Keeper(service);
  if (!keeper->is_self) {
    Append(TrialOverFrame{digest}, keeper->link->Out());
    keeper->link->FlushSoon();
  }
}

void BlameExchange::OnOver(const TrialOverFrame& over) {
  control::EndTrial(over.digest, this->book);
}

void BlameExchange::Tick(Millis now) {
  control::ExpireQuarantine(Rules(), now, this->table);
  for (auto entry = this->asked.begin(); entry != this->asked.end();) {
    const bool is_over = now - entry->second > kAskAgain * 2;
    entry = is_over ? this->asked.erase(entry) : std::next(entry);
  }
}

}  // namespace almondlink::relay
