#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/relay/entry_calls.h"
#include "content_digest.h"
#include "entry_call.h"

/// Requests that are under way where targets end; almondlink/control/blame.h
/// has what is kept of them.
namespace almondlink::relay {

namespace {

const control::BlameRules kRules;

}  // namespace

control::RequestDigest EntryCalls::DigestOf(const Call& call) const {
  RequestContent content;
  content.deployment = this->settings.deployment;
  content.host = call.route->host;
  content.method = call.head.method;
  content.target = call.head.target;
  if (call.account != nullptr) {
    content.account = call.account->name;
  } else if (!call.table->has_accounts) {
    content.account = call.head.credentials;
  }
  content.body = call.body;
  return relay::DigestOf(content);
}

void EntryCalls::NoteTargetEnd(const CallPointer& call) {
  const StateFrame& target = call->peer->told;
  const Millis now = BootTimeNow();
  const control::RequestDigest digest = this->DigestOf(*call);
  bool is_new = false;
  const control::BlameRecord& record = control::NoteTargetEnd(
      kRules, now, digest, StableHash(target.instance, target.born),
      this->blame, is_new);
  if (is_new && WouldLog(kEventUnderWayAtEnd)) {
    LogEvent(kEventUnderWayAtEnd,
             {{"digest", control::ToString(digest)},
              {"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"account", call->account == nullptr ? "" : call->account->name},
              {"target", target.instance},
              {"ends", std::to_string(record.starts.size())},
              {"whole", std::to_string(record.whole_runs)},
              {"age_ms", std::to_string((now - record.first_end).count)}});
  }
}

void EntryCalls::NoteWholeRun(const Call& call) {
  // Nothing is computed for requests while no target has ended.
  if (this->blame.records.empty()) {
    return;
  }
  control::BlameRecord* record =
      control::FindBlame(this->DigestOf(call), this->blame);
  if (record != nullptr) {
    ++record->whole_runs;
  }
}

}  // namespace almondlink::relay
