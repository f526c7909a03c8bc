#include "almondlink/relay/quota_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "almondlink/base/hash.h"

namespace almondlink::relay {

namespace {

/// A node that has just started may not know most others yet and would take
/// itself for the lender of their accounts, so it does not lend before
/// `kLendDelay`. Links are established within about 200 ms; nodes that start
/// together may differ by as much again, hence `kStartupTime`.
constexpr Millis kLendDelay{250};
constexpr Millis kStartupTime{1000};
/// A tick that is this late means that the host was suspended. Others may lend
/// in its place meanwhile: they suspect it after 0.7 s.
constexpr Millis kSuspensionGap{600};

control::QuotaLimit LimitOf(const policy::ClientAccount& account) {
  return {account.limit.per_s, account.limit.burst};
}

/// Whether the node can be a lender: it is reachable and supports loans. A
/// stopping node hands its accounts over.
bool CanLend(const Peer& peer) {
  return !peer.reported.is_stopping && peer.IsReachable() &&
         (peer.is_self ||
          (!peer.is_suspect && peer.protocol_version >= kVersionQuotaLending));
}

/// Rank of a node as lender of an account. The node with the highest rank
/// lends.
std::uint64_t RankOf(const Peer& peer, policy::AccountKey account) {
  return StableHash(peer.node.name, account.Value());
}

}  // namespace

QuotaExchange::QuotaExchange(
    const RelaySettings& settings_in,
    PeerTable& peers_in,
    std::function<void(policy::AccountKey)> on_tokens_in)
    : settings(settings_in),
      peers(peers_in),
      on_tokens(std::move(on_tokens_in)),
      last_tick(BootTimeNow()) {}

void QuotaExchange::SetTable(policy::RouteTablePointer table_in) {
  if (this->table == nullptr) {
    this->first_policy_at = BootTimeNow();
  }
  this->table = std::move(table_in);
}

PeerPointer QuotaExchange::Lender(policy::AccountKey account) const {
  PeerPointer lender = this->peers.SelfPeer();
  std::uint64_t highest = CanLend(*lender) ? RankOf(*lender, account) : 0;
  for (const PeerPointer& peer : this->peers.All()) {
    if (peer->is_self || !CanLend(*peer)) {
      continue;
    }
    const std::uint64_t rank = RankOf(*peer, account);
    if (rank > highest) {
      highest = rank;
      lender = peer;
    }
  }
  return lender;
}

std::string QuotaExchange::LenderOf(
    const policy::ClientAccount& account) const {
  return this->Lender(account.key)->node.name;
}

bool QuotaExchange::IsSettled(Millis now) const {
  return this->table != nullptr && now - this->first_policy_at >= kLendDelay;
}

bool QuotaExchange::IsStartingUp(Millis now) const {
  return now - this->first_policy_at < kStartupTime;
}

control::QuotaDecision QuotaExchange::TakeToken(
    const policy::ClientAccount& account,
    Millis now) {
  if (account.limit.per_s <= 0) {
    return control::QuotaDecision::kTaken;
  }
  control::QuotaBorrower& borrower = this->borrowers[account.key.Value()];
  const control::QuotaDecision answer = control::TakeQuota(now, borrower);
  if (answer == control::QuotaDecision::kTaken) {
    // Refills the stock before it is used up.
    this->RequestTokens(account, 0, now);
  }
  return answer;
}

bool QuotaExchange::TakeTokenForQueued(const policy::ClientAccount& account,
                                       Millis now) {
  control::QuotaBorrower& borrower = this->borrowers[account.key.Value()];
  return control::TakeBorrowed(now, borrower) ||
         control::TakeFallback(now, borrower);
}

void QuotaExchange::ReturnToken(const policy::ClientAccount& account,
                                Millis now) {
  if (account.limit.per_s > 0) {
    control::GiveBack(now, this->borrowers[account.key.Value()]);
  }
}

void QuotaExchange::RequestTokens(const policy::ClientAccount& account,
                                  std::uint32_t waiting,
                                  Millis now) {
  control::QuotaBorrower& borrower = this->borrowers[account.key.Value()];
  const std::uint32_t wanted = control::TokensToRequest(now, waiting, borrower);
  if (wanted == 0) {
    return;
  }
  const PeerPointer lender = this->Lender(account.key);
  if (lender->is_self) {
    this->OnLoan(this->LendTo(account.key, wanted, now));
    return;
  }
  Append(QuotaRequestFrame{account.key.Value(), wanted},
         lender->link->OutputBuffer());
  lender->link->ScheduleFlush();
  lender->last_query_at = now;
}

bool QuotaExchange::IsExhausted(const policy::ClientAccount& account,
                                Millis now) const {
  const auto borrower = this->borrowers.find(account.key.Value());
  return borrower != this->borrowers.end() &&
         now < borrower->second.exhausted_until &&
         !control::IsShortWait(borrower->second.wait);
}

bool QuotaExchange::IsLenderSilent(const policy::ClientAccount& account,
                                   Millis now) const {
  const auto borrower = this->borrowers.find(account.key.Value());
  return borrower == this->borrowers.end() ||
         control::IsLenderSilent(now, borrower->second);
}

Millis QuotaExchange::TimeUntilToken(
    const policy::ClientAccount& account) const {
  const auto borrower = this->borrowers.find(account.key.Value());
  return borrower == this->borrowers.end() ? Millis{0} : borrower->second.wait;
}

double QuotaExchange::DemandPerSecond(
    const policy::ClientAccount& account) const {
  const auto borrower = this->borrowers.find(account.key.Value());
  return borrower == this->borrowers.end() ? 0 : borrower->second.demand.per_s;
}

double QuotaExchange::LentPerSecond(
    const policy::ClientAccount& account) const {
  const auto borrower = this->borrowers.find(account.key.Value());
  return borrower == this->borrowers.end() ? 0 : borrower->second.lent.per_s;
}

QuotaLoanFrame QuotaExchange::LendTo(policy::AccountKey account,
                                     std::uint32_t wanted,
                                     Millis now) {
  QuotaLoanFrame answer;
  answer.account = account.Value();
  const policy::ClientAccount* known =
      this->table == nullptr ? nullptr : this->table->accounts.Find(account);
  const PeerPointer lender = this->Lender(account);
  answer.is_lender =
      known != nullptr && this->IsSettled(now) && lender->is_self;
  if (!answer.is_lender) {
    // The requesting node may have found the other lender silent. Checking it
    // from here too detects that within a tenth of a second.
    lender->last_query_at = now;
    return answer;
  }
  const control::QuotaLimit limit = LimitOf(*known);
  if (limit.per_s <= 0) {
    // A newer policy, which the requesting node lacks, has removed the limit.
    answer.loan.granted = wanted;
    return answer;
  }
  this->ResetAfterSuspension(now);
  const PeerTable::Reachability reach = this->peers.MeasureReachability(now);
  const double part = control::LendableShare(reach.reachable, reach.known);
  auto bucket = this->buckets.find(account.Value());
  if (bucket == this->buckets.end()) {
    const Millis since =
        std::max(this->lender_set_since, this->first_policy_at);
    bucket = this->buckets
                 .emplace(account.Value(),
                          control::StartBucket(this->settings.quotas, limit,
                                               part, since, now))
                 .first;
  }
  answer.loan = control::Lend(this->settings.quotas, limit, part, now, wanted,
                              bucket->second);
  return answer;
}

void QuotaExchange::OnQuotaRequest(const PeerLinkPointer& link,
                                   const QuotaRequestFrame& request) {
  const QuotaLoanFrame answer = this->LendTo(
      policy::AccountKey(request.account), request.wanted, BootTimeNow());
  Append(answer, link->OutputBuffer());
  link->ScheduleFlush();
}

void QuotaExchange::OnLoan(const QuotaLoanFrame& frame) {
  const auto borrower = this->borrowers.find(frame.account);
  // If that node is not the lender, the request counts as unanswered.
  if (borrower == this->borrowers.end() || !frame.is_lender) {
    return;
  }
  control::ApplyLoan(BootTimeNow(), frame.loan, borrower->second);
  this->on_tokens(policy::AccountKey(frame.account));
}

/// Discards the buckets after a suspension of this host, since others have lent
/// in its place.
void QuotaExchange::ResetAfterSuspension(Millis now) {
  if (now - this->last_tick > kSuspensionGap) {
    this->buckets.clear();
    this->lender_set_since = now;
  }
}

void QuotaExchange::Tick(Millis now) {
  this->ResetAfterSuspension(now);
  std::uint64_t set_hash = 0;
  for (const PeerPointer& peer : this->peers.All()) {
    // A sum, so that the order of the nodes does not matter.
    set_hash += CanLend(*peer) ? StableHash(peer->node.name) : 0;
  }
  if (set_hash != this->lender_set_hash) {
    this->lender_set_hash = set_hash;
    this->lender_set_since = now;
  }
  this->last_tick = now;
  for (auto entry = this->buckets.begin(); entry != this->buckets.end();) {
    const policy::AccountKey account(entry->first);
    const bool is_kept = this->Lender(account)->is_self;
    entry = is_kept ? std::next(entry) : this->buckets.erase(entry);
  }
  for (auto entry = this->borrowers.begin(); entry != this->borrowers.end();) {
    const bool is_idle = control::IsIdle(now, entry->second);
    entry = is_idle ? this->borrowers.erase(entry) : std::next(entry);
  }
}

}  // namespace almondlink::relay
