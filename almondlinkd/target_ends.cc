#include "almondlinkd/target_ends.h"

#include <string_view>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/relay/content_digest.h"

namespace almondlink::daemon {

namespace {

/// Ends are told again this often, and for so long.
constexpr Millis kTellAgain{500};
constexpr Millis kTellFor{3000};
/// When to come back while another one like it is on trial.
constexpr Millis kTrialWait{200};
/// Time for which one target is the place of a request's trials. Hosts whose
/// clocks differ may choose two at its ends, which costs one more end at most.
constexpr Millis kPlaceTurn{5000};
/// Requests in one datagram.
constexpr std::size_t kMostTold = 32;

wire::EndsEntry EntryOf(const control::RequestDigest& digest) {
  wire::EndsEntry entry;
  entry.path = digest.path;
  entry.high = digest.high;
  entry.low = digest.low;
  return entry;
}

wire::EndsEntry EntryOf(const control::RequestDigest& digest,
                        const control::QuarantineRecord& record,
                        Millis now) {
  wire::EndsEntry entry = EntryOf(digest);
  entry.starts = record.crashed_incarnations;
  entry.failed_trials = record.failed_trials;
  entry.age_ms = (now - record.last_crash).count;
  return entry;
}

}  // namespace

TargetEnds::TargetEnds(const SharedState& shared_in, EndsHooks hooks_in)
    : shared(shared_in), hooks(std::move(hooks_in)) {}

control::RequestDigest TargetEnds::DigestOf(const wire::Call& call) const {
  relay::RequestContent content;
  content.deployment = this->shared.settings.node.deployment;
  content.host = call.service;
  content.method = call.method;
  content.target = call.path;
  content.account = call.team;
  content.body = std::string_view(
      reinterpret_cast<const char*>(call.body.data()), call.body.size());
  return relay::DigestOf(content);
}

bool TargetEnds::IsBlank(const wire::Call& call) const {
  return this->table.records.empty() ||
         !control::HasRecordForPath(relay::PathHashOf(call.path), this->table);
}

/// The same on all nodes that see the same targets. Moves on with time, so that
/// a target that is down for long holds nobody's request.
std::string TargetEnds::PlaceOf(const control::RequestDigest& digest) const {
  const auto turn =
      static_cast<std::uint64_t>(WallNow().count / kPlaceTurn.count);
  std::string place;
  std::uint64_t highest = 0;
  for (const std::string& node : this->hooks.places()) {
    const std::uint64_t rank = StableHash(node, digest.low + turn);
    if (place.empty() || rank > highest) {
      highest = rank;
      place = node;
    }
  }
  return place;
}

EndsStep TargetEnds::Judge(const wire::Call& call, Millis now) const {
  if (this->IsBlank(call)) {
    return {};
  }
  const control::RequestDigest digest = this->DigestOf(call);
  const control::QuarantineDecision verdict =
      control::DecideQuarantine(this->rules, now, digest, this->table);
  if (verdict.action == control::QuarantineAction::kAllow) {
    return {};
  }
  EndsStep step;
  step.may_run = false;
  step.wait = verdict.wait;
  if (verdict.action == control::QuarantineAction::kTrial) {
    step.place = this->PlaceOf(digest);
    step.wait = kTrialWait;
    step.may_run =
        step.place == this->shared.settings.node.id && !this->trial.has_value();
    step.is_on_trial = step.may_run;
  }
  if (!step.may_run) {
    LogEvent(kEventRefusedForEnds,
             {{"digest", control::ToString(digest)},
              {"place", step.place},
              {"wait_ms", std::to_string(step.wait.count)}});
  }
  return step;
}

void TargetEnds::BeginTrial(control::Ticket ticket, const wire::Call& call) {
  this->trial = ticket;
  LogEvent(kEventTrialBegun,
           {{"digest", control::ToString(this->DigestOf(call))}});
}

void TargetEnds::EndTrial(control::Ticket ticket) {
  if (this->trial == ticket) {
    this->trial.reset();
  }
}

void TargetEnds::NoteEnd(const std::vector<EndedCall>& calls, Millis now) {
  const std::uint64_t start =
      StableHash(this->shared.settings.node.id,
                 this->shared.incarnation.Value() + ++this->ends);
  LogEvent(kEventTargetEnded, {{"running", std::to_string(calls.size())}});
  const bool has_trial = this->trial.has_value();
  wire::EndsNews news;
  for (const EndedCall& ended : calls) {
    if (has_trial && !ended.is_on_trial) {
      // The trial did it.
      continue;
    }
    const control::RequestDigest digest = this->DigestOf(ended.call);
    const control::TargetCrash end{start, ended.is_on_trial};
    if (!control::RecordTargetCrash(this->rules, now, digest, end,
                                    this->table)) {
      continue;
    }
    const control::QuarantineRecord& record = this->table.records[digest];
    LogEvent(kEventUnderWayAtEnd,
             {{"digest", control::ToString(digest)},
              {"ends", std::to_string(record.crashed_incarnations.size())},
              {"failed_trials", std::to_string(record.failed_trials)}});
    news.entries.push_back(EntryOf(digest, record, now));
    if (news.entries.size() >= kMostTold) {
      this->hooks.tell(std::exchange(news, {}));
    }
  }
  if (!news.entries.empty()) {
    this->hooks.tell(news);
  }
}

void TargetEnds::NoteWhole(const wire::Call& call, Millis now) {
  if (this->IsBlank(call)) {
    return;
  }
  const control::RequestDigest digest = this->DigestOf(call);
  if (!control::RecordCompletedRun(this->rules, now, digest, this->table)) {
    return;
  }
  wire::EndsNews news;
  news.entries.push_back(EntryOf(digest));
  news.entries.back().is_whole = true;
  this->hooks.tell(news);
}

void TargetEnds::OnNews(const wire::EndsNews& news, Millis now) {
  for (const wire::EndsEntry& entry : news.entries) {
    const control::RequestDigest digest{entry.path, entry.high, entry.low};
    if (entry.is_whole) {
      control::RecordCompletedRun(this->rules, now, digest, this->table);
      continue;
    }
    control::QuarantineRecord told;
    told.crashed_incarnations = entry.starts;
    told.failed_trials = entry.failed_trials;
    told.last_crash = now - Millis{entry.age_ms};
    control::MergeQuarantine(this->rules, now, digest, told, this->table);
  }
}

void TargetEnds::Tick(Millis now) {
  if (this->table.records.empty() || now - this->told_at < kTellAgain) {
    return;
  }
  this->told_at = now;
  control::ExpireQuarantine(this->rules, now, this->table);
  wire::EndsNews news;
  for (const auto& [digest, record] : this->table.records) {
    const bool is_fresh = !record.crashed_incarnations.empty() &&
                          now - record.last_crash < kTellFor;
    if (is_fresh && news.entries.size() < kMostTold) {
      news.entries.push_back(EntryOf(digest, record, now));
    }
  }
  if (!news.entries.empty()) {
    this->hooks.tell(news);
  }
}

}  // namespace almondlink::daemon
