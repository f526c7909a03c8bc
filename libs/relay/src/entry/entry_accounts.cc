#include <algorithm>

#include "almondlink/base/event_log.h"
#include "almondlink/control/root_priority.h"
#include "almondlink/relay/bearer_key.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

/// Authentication and quotas of client accounts.
///
/// A call that the target beside this node makes belongs to the request that is
/// running there and needs no key. All other requests name a client account by
/// its API key. The key is looked up in the policy in force for each request,
/// so a revoked key stops working at once, on open connections too. A request
/// that had to wait is checked again when it is first sent.
namespace almondlink::relay {

namespace {

/// Retry-After while the policy of this node may be out of date. The node asks
/// another node at once and has the new policy within a few round trips.
constexpr Millis kStalePolicyRetryAfter{300};
/// Without contact to the policy source for this long, a node cannot tell
/// whether an unknown key is new. Nodes report their state once a second.
constexpr Millis kPolicyContactTimeout{1500};
/// Requests that an earlier incarnation of this node sent to the same instance
/// may still make calls for as long as their callers wait.
constexpr Millis kPreviousRunsPeriod{10'000};
/// A request waits for a quota token for at most an eighth of its latency
/// target, which still leaves it enough time, but at least for one answer of
/// the lender (kMinQuotaWait).
constexpr std::int64_t kQuotaWaitDivisor = 8;
/// Right after a start no node may be able to lend yet and no target may be
/// known. The wait is then as long as the one for a target.
constexpr std::int64_t kStartupQuotaWaitDivisor = 2;
constexpr Millis kMinQuotaWait{60};
constexpr Millis kMinRetryAfter{50};

}  // namespace

bool EntryCalls::Authenticate(const CallPointer& call) {
  if (!call->table->has_accounts) {
    // Without accounts in the policy the credentials belong to another program
    // and are forwarded unchanged.
    call->head.fields += call->head.identity_fields;
    return true;
  }
  return call->has_local_parent || this->AuthenticateByKey(call);
}

bool EntryCalls::AuthenticateByKey(const CallPointer& call) {
  const bool is_key_required = !call->route->is_anonymous;
  const BearerKey bearer = ReadBearerKey(call->head);
  if (bearer.status == BearerKeyStatus::kPresent) {
    call->account = call->table->accounts.FindByApiKey(bearer.key);
  }
  const Millis now = call->arrived;
  if (call->account != nullptr) {
    call->api_key = bearer.key;
    if (is_key_required && !this->CanTrustPolicy(now)) {
      this->RefuseAuthentication(call, kStatusUnavailable, "out-of-touch");
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
  if (!is_key_required) {
    return true;
  }
  if (bearer.status == BearerKeyStatus::kMalformed) {
    this->RefuseAuthentication(call, kStatusBadRequest, "malformed");
    return false;
  }
  if (bearer.status == BearerKeyStatus::kPresent) {
    const bool may_be_stale = this->MayHaveStalePolicy();
    call->api_key = bearer.key;
    this->RefuseAuthentication(
        call, may_be_stale ? kStatusUnavailable : kStatusUnauthorized,
        may_be_stale ? "behind" : "unknown");
    return false;
  }
  if (call->is_root) {
    this->RefuseAuthentication(call, kStatusUnauthorized, "absent");
    return false;
  }
  const bool may_be_of_previous_run =
      now - this->started_at <= kPreviousRunsPeriod &&
      control::MayBeOlderThanNode(this->served.Ledger());
  if (may_be_of_previous_run) {
    return true;
  }
  // The request that made this call has ended, so nobody waits for the answer.
  this->RefuseAuthentication(call, kStatusUnavailable, "run-ended");
  return false;
}

void EntryCalls::RefuseAuthentication(const CallPointer& call,
                                      std::uint32_t status,
                                      const char* reason) {
  this->CountOutcome(*call, RequestOutcome::kUnknownKey, CallReason::kNone);
  if (WouldLog(kEventUnknownKey)) {
    const Millis age = call->arrived - this->table_set_at;
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
    fields = RetryAfterField(kStalePolicyRetryAfter);
  }
  call->exchange->SendAnswer(status, StatusText(status), fields, "");
}

/// Updates the time of the last contact with the policy source.
void EntryCalls::RecordPolicyContact(Millis now) {
  if (this->peers.HasAccessToSource()) {
    this->last_policy_contact = now;
  }
}

/// Whether a newer policy than the one in force may exist.
bool EntryCalls::MayHaveStalePolicy() const {
  const std::uint64_t own = this->table->version;
  const bool has_newer_peer = std::any_of(
      this->peers.All().begin(), this->peers.All().end(),
      [own](const PeerPointer& peer) {
        return peer->IsReachable() && peer->reported.policy_version > own;
      });
  return has_newer_peer ||
         BootTimeNow() - this->last_policy_contact > kPolicyContactTimeout;
}

/// Whether the policy is recent enough to accept the keys in it.
bool EntryCalls::CanTrustPolicy(Millis now) const {
  const std::optional<Millis>& limit = this->settings.revoke_after;
  return !limit.has_value() || now - this->last_policy_contact <= *limit;
}

/// Whether the key of the call still names its account in the policy in force.
bool EntryCalls::IsKeyStillValid(const Call& call) const {
  if (call.account == nullptr || call.table == this->table) {
    return true;
  }
  const policy::ClientAccount* account =
      this->table->accounts.FindByApiKey(call.api_key);
  return account != nullptr && account->key == call.account->key;
}

bool EntryCalls::HasQuota(const Call& call) {
  return call.account != nullptr && call.account->limit.per_s > 0;
}

bool EntryCalls::AcquireQuota(const CallPointer& call) {
  if (!this->HasQuota(*call)) {
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
                                ? kStartupQuotaWaitDivisor
                                : kQuotaWaitDivisor;
  call->quota_wait_deadline =
      call->arrived +
      std::max(kMinQuotaWait, Millis{call->route->latency_target.count / part});
  this->Register(call);
  std::deque<std::weak_ptr<Call>>& waiters = this->quota_waiters[account.key];
  waiters.push_back(call);
  this->quotas.RequestTokens(
      account, static_cast<std::uint32_t>(waiters.size()), call->arrived);
  return false;
}

/// Serves the waiting calls after the lender answered, or fails those that
/// waited too long because it did not.
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
    if (!is_over && now < call->quota_wait_deadline) {
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
  const Millis base_wait = this->quotas.TimeUntilToken(account);
  const bool is_over = !this->quotas.IsLenderSilent(account, BootTimeNow());
  // Adds up to half at random so that callers refused together do not return
  // together.
  const Millis wait = std::max(
      kMinRetryAfter,
      Millis{static_cast<std::int64_t>(static_cast<double>(base_wait.count) *
                                       (1 + this->Draw() / 2))});
  const std::uint32_t status = is_over ? kStatusTooMany : kStatusUnavailable;
  this->CountOutcome(
      *call, is_over ? RequestOutcome::kOverQuota : RequestOutcome::kNotRun,
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
  call->exchange->SendAnswer(status, StatusText(status), RetryAfterField(wait),
                             "");
}

}  // namespace almondlink::relay
