#include <algorithm>

#include "almondlink/base/event_log.h"
#include "almondlink/control/root_priority.h"
#include "almondlink/relay/bearer_key.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

/// Who asks, and whether the account may ask for more: API keys and quotas.
///
/// A call that the target beside this node makes belongs to the run that makes
/// it and needs no key. All others name a client account by its key, which is
/// looked up in the policy in force for each request, so a key that is taken
/// away stops at once, on open connections too. What waits is looked up again
/// when it is first sent.
namespace almondlink::relay {

namespace {

/// Advice while a node may be behind the policy: it asks another node at once,
/// and has it within a few round trips.
constexpr Millis kBehindWait{300};
/// A node that has not heard of the source of the policy for so long cannot
/// tell whether a key that it does not know is new. Nodes tell their state once
/// a second.
constexpr Millis kUnsureAfter{1500};
/// Runs that a start of this node before had sent to the same instance may
/// still make calls for as long as their callers wait.
constexpr Millis kCallsOfRunsBefore{10'000};
/// A request waits for a token of its account for an eighth of its latency
/// target, which loses it nothing, but for one answer of the lender's at least.
constexpr std::int64_t kQuotaWaitPart = 8;
/// Right after a start nobody may lend yet, and no target may be known either:
/// then it waits for as long as for a target.
constexpr std::int64_t kStartWaitPart = 2;
constexpr Millis kLeastQuotaWait{60};
constexpr Millis kShortestReturn{50};

}  // namespace

bool EntryCalls::Identify(const CallPointer& call) {
  if (!call->table->has_accounts) {
    // Another program's business: passed on as it came.
    call->head.fields += call->head.identity_fields;
    return true;
  }
  return call->is_of_run || this->IdentifyByKey(call);
}

bool EntryCalls::IdentifyByKey(const CallPointer& call) {
  const bool is_needed = !call->route->is_anonymous;
  const BearerKey bearer = ReadBearerKey(call->head);
  if (bearer.form == KeyForm::kKey) {
    call->account = call->table->accounts.FindByApiKey(bearer.key);
  }
  const Millis now = call->arrived;
  if (call->account != nullptr) {
    call->api_key = bearer.key;
    if (is_needed && !this->CanVouch(now)) {
      this->RefuseKey(call, kStatusUnavailable, "out-of-touch");
      return false;
    }
    call->is_root = true;
    call->info.depth = 0;
    call->info.root_route =
        policy::ClassKeyOf(call->route->key, call->account->priority).Value();
    call->info.priority = static_cast<std::uint8_t>(
        control::RootPriority(call->route->priority, call->account->priority));
    call->head.fields.append(this->settings.names.account)
        .append(": ")
        .append(call->account->name)
        .append("\r\n");
    return true;
  }
  if (!is_needed) {
    return true;
  }
  if (bearer.form == KeyForm::kMalformed) {
    this->RefuseKey(call, kStatusBadRequest, "malformed");
    return false;
  }
  if (bearer.form == KeyForm::kKey) {
    const bool is_behind = this->MayBeBehind();
    call->api_key = bearer.key;
    this->RefuseKey(call, is_behind ? kStatusUnavailable : kStatusUnauthorized,
                    is_behind ? "behind" : "unknown");
    return false;
  }
  if (call->is_root) {
    this->RefuseKey(call, kStatusUnauthorized, "absent");
    return false;
  }
  const bool may_be_of_run_before =
      now - this->started <= kCallsOfRunsBefore &&
      control::MayBeOlderThanNode(this->served.Ledger());
  if (may_be_of_run_before) {
    return true;
  }
  // A call of a run that has ended: nobody waits for what it would bring.
  this->RefuseKey(call, kStatusUnavailable, "run-ended");
  return false;
}

void EntryCalls::RefuseKey(const CallPointer& call,
                           std::uint32_t status,
                           const char* reason) {
  this->NoteEnd(*call, RequestEnd::kUnknownKey, CallReason::kNone);
  if (WouldLog(kEventUnknownKey)) {
    const Millis age = call->arrived - this->table_taken;
    LogEvent(
        kEventUnknownKey,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"key", call->api_key.empty() ? std::string()
                                       : policy::KeyFingerprint(call->api_key)},
         {"account",
          call->account == nullptr ? std::string() : call->account->name},
         {"version", std::to_string(this->table->version)},
         {"version_age_ms", std::to_string(age.count)}});
  }
  std::string fields;
  if (status == kStatusUnauthorized) {
    fields = call->api_key.empty()
                 ? "WWW-Authenticate: Bearer\r\n"
                 : "WWW-Authenticate: Bearer error=\"invalid_token\"\r\n";
  } else if (status == kStatusUnavailable) {
    fields = RetryAfterField(kBehindWait);
  }
  call->exchange->Answer(status, StatusText(status), fields, "");
}

/// Notes whether the source of the policy is in reach.
void EntryCalls::NoteSource(Millis now) {
  if (this->peers.HasAccessToSource()) {
    this->vouched = now;
  }
}

/// Whether there may be a newer policy than the one in force here.
bool EntryCalls::MayBeBehind() const {
  const std::uint64_t own = this->table->version;
  const bool is_told = std::any_of(
      this->peers.All().begin(), this->peers.All().end(),
      [own](const PeerPointer& peer) {
        return peer->IsReachable() && peer->reported.policy_version > own;
      });
  return is_told || BootTimeNow() - this->vouched > kUnsureAfter;
}

/// Whether this node may still believe the keys that it knows.
bool EntryCalls::CanVouch(Millis now) const {
  const std::optional<Millis>& limit = this->settings.revoke_after;
  return !limit.has_value() || now - this->vouched <= *limit;
}

/// Whether its key still names its account, by the policy in force now.
bool EntryCalls::IsStillKnown(const Call& call) const {
  if (call.account == nullptr || call.table == this->table) {
    return true;
  }
  const policy::ClientAccount* account =
      this->table->accounts.FindByApiKey(call.api_key);
  return account != nullptr && account->key == call.account->key;
}

bool EntryCalls::IsLimited(const Call& call) {
  return call.account != nullptr && call.account->limit.per_s > 0;
}

bool EntryCalls::TakeQuota(const CallPointer& call) {
  if (!this->IsLimited(*call)) {
    return true;
  }
  const policy::ClientAccount& account = *call->account;
  switch (this->quotas.TakeToken(account, call->arrived)) {
    case control::QuotaDecision::kTaken:
      call->has_token = true;
      return true;
    case control::QuotaDecision::kOverLimit:
      this->RefuseOverQuota(call);
      return false;
    case control::QuotaDecision::kRequestTokens:
      break;
  }
  const std::int64_t part = this->quotas.IsStartingUp(call->arrived)
                                ? kStartWaitPart
                                : kQuotaWaitPart;
  call->quota_until =
      call->arrived +
      std::max(kLeastQuotaWait,
               Millis{call->route->latency_target.count / part});
  this->Open(call);
  std::deque<std::weak_ptr<Call>>& waiters = this->quota_waiters[account.key];
  waiters.push_back(call);
  this->quotas.RequestTokens(
      account, static_cast<std::uint32_t>(waiters.size()), call->arrived);
  return false;
}

/// The lender of the account has answered, or its silence has to be decided.
void EntryCalls::ServeQuotaWaiters(policy::AccountKey account) {
  const auto found = this->quota_waiters.find(account);
  if (found == this->quota_waiters.end()) {
    return;
  }
  std::deque<std::weak_ptr<Call>>& waiters = found->second;
  const Millis now = BootTimeNow();
  while (!waiters.empty()) {
    const CallPointer call = waiters.front().lock();
    const bool is_open = call != nullptr && this->calls.count(call->id) > 0;
    if (!is_open) {
      waiters.pop_front();
      continue;
    }
    if (this->quotas.TakeTokenForQueued(*call->account, now)) {
      waiters.pop_front();
      call->has_token = true;
      this->Admit(call);
      continue;
    }
    const bool is_over = this->quotas.IsExhausted(*call->account, now);
    if (!is_over && now < call->quota_until) {
      this->quotas.RequestTokens(
          *call->account, static_cast<std::uint32_t>(waiters.size()), now);
      return;
    }
    waiters.pop_front();
    this->Finish(call);
    this->RefuseOverQuota(call);
  }
}

void EntryCalls::SweepQuotaWaiters() {
  std::vector<policy::AccountKey> waited;
  for (auto entry = this->quota_waiters.begin();
       entry != this->quota_waiters.end();) {
    if (entry->second.empty()) {
      entry = this->quota_waiters.erase(entry);
      continue;
    }
    waited.push_back(entry->first);
    ++entry;
  }
  for (const policy::AccountKey account : waited) {
    this->ServeQuotaWaiters(account);
  }
}

void EntryCalls::RefuseOverQuota(const CallPointer& call) {
  const policy::ClientAccount& account = *call->account;
  const Millis told = this->quotas.TimeUntilToken(account);
  const bool is_over = !this->quotas.IsLenderSilent(account, BootTimeNow());
  // Spread, so that those refused together do not return together.
  const Millis wait =
      std::max(kShortestReturn,
               Millis{static_cast<std::int64_t>(
                   static_cast<double>(told.count) * (1 + this->Draw() / 2))});
  const std::uint32_t status = is_over ? kStatusTooMany : kStatusUnavailable;
  this->NoteEnd(*call, is_over ? RequestEnd::kOverQuota : RequestEnd::kNotRun,
                CallReason::kNone);
  if (WouldLog(kEventOverQuota)) {
    LogEvent(
        kEventOverQuota,
        {{"request", call->head.id},
         {"status", std::to_string(status)},
         {"reason", is_over ? "over" : "lender-silent"},
         {"account", account.name},
         {"lender", this->quotas.LenderOf(account)},
         {"limit_per_s", std::to_string(account.limit.per_s)},
         {"burst", std::to_string(account.limit.burst)},
         {"demand_per_s",
          std::to_string(this->quotas.DemandPerSecond(account))},
         {"lent_per_s", std::to_string(this->quotas.LentPerSecond(account))},
         {"version", std::to_string(call->table->version)},
         {"retry_after_ms", std::to_string(wait.count)}});
  }
  call->exchange->Answer(status, StatusText(status), RetryAfterField(wait), "");
}

}  // namespace almondlink::relay
