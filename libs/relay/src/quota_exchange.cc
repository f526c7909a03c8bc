#include "almondlink/relay/quota_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "almondlink/base/hash.h"

namespace almondlink::relay {

namespace {

/// A node that has just started may not know most others yet, and would take
/// itself for the lender of accounts that are not its own: it lends nothing
/// before. Links are there within some two hundred milliseconds; those who
/// start with it may be as much later again.
constexpr Millis kSettleTime{250};
constexpr Millis kAllSettled{1000};
/// A tick that comes this late means that the host stood still, and others may
/// lend in its place: they suspect it after 0.7 s.
constexpr Millis kSuspended{600};

control::QuotaLimit LimitOf(const policy::ClientAccount& account) {
  return {account.limit.per_s, account.limit.burst};
}

/// Whether calls and asks reach the node and it knows of loans. One that is
/// about to stop hands its accounts over.
bool MayLend(const Peer& peer) {
  return !peer.told.is_stopping && peer.IsReachable() &&
         (peer.is_self || (!peer.is_suspect && peer.dialect >= kLendsQuota));
}

/// Rank of a node among the lenders of an account: the highest one lends.
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
    this->ready_since = BootTimeNow();
  }
  this->table = std::move(table_in);
}

PeerPointer QuotaExchange::Lender(policy::AccountKey account) const {
  PeerPointer lender = this->peers.SelfPeer();
  std::uint64_t highest = MayLend(*lender) ? RankOf(*lender, account) : 0;
  for (const PeerPointer& peer : this->peers.All()) {
    if (peer->is_self || !MayLend(*peer)) {
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
  return this->table != nullptr && now - this->ready_since >= kSettleTime;
}

bool QuotaExchange::MayBeUnsettled(Millis now) const {
  return now - this->ready_since < kAllSettled;
}

control::QuotaDecision QuotaExchange::Take(const policy::ClientAccount& account,
                                           Millis now) {
  if (account.limit.per_s <= 0) {
    return control::QuotaDecision::kTaken;
  }
  control::QuotaBorrower& purse = this->purses[account.key.Value()];
  const control::QuotaDecision answer = control::TakeQuota(now, purse);
  if (answer == control::QuotaDecision::kTaken) {
    // Ahead of need.
    this->Ask(account, 0, now);
  }
  return answer;
}

bool QuotaExchange::TakeForWaiting(const policy::ClientAccount& account,
                                   Millis now) {
  control::QuotaBorrower& purse = this->purses[account.key.Value()];
  return control::TakeBorrowed(now, purse) || control::TakeFallback(now, purse);
}

void QuotaExchange::GiveBack(const policy::ClientAccount& account, Millis now) {
  if (account.limit.per_s > 0) {
    control::GiveBack(now, this->purses[account.key.Value()]);
  }
}

void QuotaExchange::Ask(const policy::ClientAccount& account,
                        std::uint32_t waiting,
                        Millis now) {
  control::QuotaBorrower& purse = this->purses[account.key.Value()];
  const std::uint32_t wanted = control::TokensToRequest(now, waiting, purse);
  if (wanted == 0) {
    return;
  }
  const PeerPointer lender = this->Lender(account.key);
  if (lender->is_self) {
    this->OnLoan(this->LendTo(account.key, wanted, now));
    return;
  }
  Append(QuotaAskFrame{account.key.Value(), wanted}, lender->link->Out());
  lender->link->FlushSoon();
  lender->answer_due = now;
}

bool QuotaExchange::IsEmpty(const policy::ClientAccount& account,
                            Millis now) const {
  const auto purse = this->purses.find(account.key.Value());
  return purse != this->purses.end() && now < purse->second.exhausted_until &&
         !control::IsShortWait(purse->second.wait);
}

bool QuotaExchange::IsSilent(const policy::ClientAccount& account,
                             Millis now) const {
  const auto purse = this->purses.find(account.key.Value());
  return purse == this->purses.end() ||
         control::IsLenderSilent(now, purse->second);
}

Millis QuotaExchange::WaitOf(const policy::ClientAccount& account) const {
  const auto purse = this->purses.find(account.key.Value());
  return purse == this->purses.end() ? Millis{0} : purse->second.wait;
}

double QuotaExchange::DemandOf(const policy::ClientAccount& account) const {
  const auto purse = this->purses.find(account.key.Value());
  return purse == this->purses.end() ? 0 : purse->second.demand.per_s;
}

double QuotaExchange::LentOf(const policy::ClientAccount& account) const {
  const auto purse = this->purses.find(account.key.Value());
  return purse == this->purses.end() ? 0 : purse->second.lent.per_s;
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
    // Who asks here may have found the other one silent: it is looked at from
    // here too, within a tenth of a second.
    lender->answer_due = now;
    return answer;
  }
  const control::QuotaLimit limit = LimitOf(*known);
  if (limit.per_s <= 0) {
    // The limit was taken away by a version that the asking node lacks.
    answer.loan.granted = wanted;
    return answer;
  }
  this->NoteSuspension(now);
  const PeerTable::Reach reach = this->peers.ReachOfNodes(now);
  const double part = control::LendableShare(reach.reached, reach.known);
  auto bucket = this->buckets.find(account.Value());
  if (bucket == this->buckets.end()) {
    const Millis since = std::max(this->view_since, this->ready_since);
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

void QuotaExchange::OnAsk(const PeerLinkPointer& link,
                          const QuotaAskFrame& ask) {
  const QuotaLoanFrame answer =
      this->LendTo(policy::AccountKey(ask.account), ask.wanted, BootTimeNow());
  Append(answer, link->Out());
  link->FlushSoon();
}

void QuotaExchange::OnLoan(const QuotaLoanFrame& frame) {
  const auto purse = this->purses.find(frame.account);
  // Without a lender the ask stays out, as one that is not answered.
  if (purse == this->purses.end() || !frame.is_lender) {
    return;
  }
  control::ApplyLoan(BootTimeNow(), frame.loan, purse->second);
  this->on_tokens(policy::AccountKey(frame.account));
}

/// After this host stood still: others have lent in its place.
void QuotaExchange::NoteSuspension(Millis now) {
  if (now - this->last_tick > kSuspended) {
    this->buckets.clear();
    this->view_since = now;
  }
}

void QuotaExchange::Tick(Millis now) {
  this->NoteSuspension(now);
  std::uint64_t seen = 0;
  for (const PeerPointer& peer : this->peers.All()) {
    // The order of the nodes does not matter.
    seen += MayLend(*peer) ? StableHash(peer->node.name) : 0;
  }
  if (seen != this->view) {
    this->view = seen;
    this->view_since = now;
  }
  this->last_tick = now;
  for (auto entry = this->buckets.begin(); entry != this->buckets.end();) {
    const policy::AccountKey account(entry->first);
    const bool is_kept = this->Lender(account)->is_self;
    entry = is_kept ? std::next(entry) : this->buckets.erase(entry);
  }
  for (auto entry = this->purses.begin(); entry != this->purses.end();) {
    const bool is_idle = control::IsIdle(now, entry->second);
    entry = is_idle ? this->purses.erase(entry) : std::next(entry);
  }
}

}  // namespace almondlink::relay
