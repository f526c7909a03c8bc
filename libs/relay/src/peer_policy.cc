#include <algorithm>
#include <random>
#include <utility>

#include "almondlink/base/hash.h"
#include "almondlink/relay/peer_table.h"

/// How a policy goes from node to node: see almondlink/control/policy_source.h.
/// This is the third unit of PeerTable.
namespace almondlink::relay {

namespace {

/// Nodes that are sent the policy at the same time. Each holds a copy of its
/// text in its link's buffer until the link has taken it, so more would cost a
/// large policy's size each; the next one follows when a copy has left.
constexpr std::uint32_t kMostServed = 2;
/// Nodes of the dialect before get the policy pushed, only after this time:
/// most have it from its source by then.
constexpr Millis kPushWait{250};
constexpr Millis kPushAgain{1000};

}  // namespace

std::uint32_t PeerTable::OwnRank() const {
  const std::uint64_t own = StableHash(this->self->node.name);
  return static_cast<std::uint32_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [own](const PeerPointer& peer) {
        return !peer->is_self && peer->IsReachable() && !peer->is_suspect &&
               peer->told.has_source && StableHash(peer->node.name) < own;
      }));
}

std::uint32_t PeerTable::OwnRankOfKnown() const {
  const std::uint64_t own = StableHash(this->self->node.name);
  return static_cast<std::uint32_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [own](const PeerPointer& peer) {
        return !peer->is_self && StableHash(peer->node.name) < own;
      }));
}

bool PeerTable::FollowsSource() const {
  const std::uint64_t own = StableHash(this->self->node.name);
  std::uint32_t before = 0;
  std::uint32_t before_with_source = 0;
  for (const PeerPointer& peer : this->peers) {
    const bool is_before = !peer->is_self && peer->IsReachable() &&
                           !peer->is_suspect && !peer->told.is_stopping &&
                           peer->dialect >= kAsksPolicy &&
                           peer->told.zone == this->settings.zone.Value() &&
                           StableHash(peer->node.name) < own;
    before += is_before ? 1 : 0;
    before_with_source += is_before && peer->told.has_source ? 1 : 0;
  }
  return control::FollowsSource(this->settings.decisions.follow, before,
                                before_with_source);
}

bool PeerTable::IsInTouchWithSource() const {
  const bool is_told = std::any_of(
      this->peers.begin(), this->peers.end(), [](const PeerPointer& peer) {
        return !peer->is_self && peer->IsReachable() && !peer->is_suspect &&
               peer->told.has_source;
      });
  return is_told || (this->self->told.has_source && this->FollowsSource());
}

void PeerTable::AskForPolicy(Millis now) {
  const control::FollowRules& rules = this->settings.decisions.follow;
  const std::uint64_t own = this->self->told.policy_version;
  std::uint64_t newest = own;
  for (const PeerPointer& peer : this->peers) {
    if (!peer->is_self && peer->IsReachable()) {
      newest = std::max(newest, peer->told.policy_version);
    }
  }
  if (newest == own) {
    this->newer_known_at = Millis{0};
    this->policy_unread_at = Millis{0};
    this->policy_asked.reset();
    return;
  }
  if (this->newer_known_at == Millis{0}) {
    this->newer_known_at = now;
  }
  const PeerPointer asked = this->policy_asked.lock();
  const bool is_awaited = asked != nullptr && asked->IsReachable() &&
                          now - this->policy_asked_at < rules.reply_timeout;
  // The others most likely have the same text, and each question costs all of
  // it.
  const bool is_unread =
      this->policy_unread_at != Millis{0} &&
      now - this->policy_unread_at < rules.unreadable_backoff;
  if (is_awaited || is_unread) {
    return;
  }
  std::vector<control::PolicyOffer> offers;
  for (const PeerPointer& peer : this->peers) {
    control::PolicyOffer offer;
    const bool is_open = !peer->is_self && peer->IsReachable() &&
                         !peer->is_suspect && peer->dialect >= kAsksPolicy;
    offer.version = is_open ? peer->told.policy_version : 0;
    offer.is_own_zone = peer->told.zone == this->settings.zone.Value();
    offer.is_requested = peer->asked_version >= offer.version;
    offers.push_back(offer);
  }
  const double draw =
      std::uniform_real_distribution<double>(0, 1)(this->random);
  const std::optional<std::size_t> choice = control::ChooseOffer(
      rules, own, offers, now - this->newer_known_at, draw);
  if (!choice.has_value()) {
    if (now - this->newer_known_at >= rules.other_zone_delay) {
      // All were asked in vain: from the beginning.
      for (const PeerPointer& peer : this->peers) {
        peer->asked_version = 0;
      }
    }
    return;
  }
  const PeerPointer& peer = this->peers[*choice];
  peer->asked_version = peer->told.policy_version;
  this->policy_asked = peer;
  this->policy_asked_at = now;
  AppendWantPolicy(own, peer->link->Out());
  peer->link->FlushSoon();
}

bool PeerTable::OnVersion(const PeerPointer& peer, std::string_view payload) {
  std::uint64_t version = 0;
  if (!DecodeVersion(payload, version)) {
    return false;
  }
  if (!peer->is_greeted) {
    // Its state comes first.
    return true;
  }
  peer->told.policy_version = version;
  this->AskForPolicy(BootTimeNow());
  return true;
}

/// `peer`: the node that was asked; null for one that pushes.
bool PeerTable::OnPolicy(const PeerPointer& peer, std::string_view payload) {
  // Its text stands behind four bytes of length.
  constexpr std::size_t kLengthBytes = 4;
  const bool was_asked = peer != nullptr && peer == this->policy_asked.lock();
  if (was_asked) {
    this->policy_asked.reset();
  }
  if (payload.size() <= kLengthBytes) {
    return false;
  }
  this->events.on_policy(std::string(payload.substr(kLengthBytes)));
  if (was_asked && this->self->told.policy_version < peer->asked_version) {
    this->policy_unread_at = BootTimeNow();
  }
  return true;
}

bool PeerTable::OnWantPolicy(const PeerLinkPointer& link,
                             std::string_view payload) {
  std::uint64_t known = 0;
  if (!DecodeVersion(payload, known)) {
    return false;
  }
  if (this->self->told.policy_version > known) {
    this->policy_wanted.push_back(link->Id());
    this->ServePolicy();
  }
  return true;
}

void PeerTable::ServePolicy() {
  const std::string& text = this->events.policy_text();
  while (!text.empty() && this->policy_served < kMostServed &&
         !this->policy_wanted.empty()) {
    const PeerLinkPointer link = this->Accepted(this->policy_wanted.front());
    this->policy_wanted.pop_front();
    if (link == nullptr || !link->IsOpen() || link->IsDraining()) {
      continue;
    }
    ++this->policy_served;
    AppendPolicy(text, link->Out());
    link->WhenDrained([this]() {
      --this->policy_served;
      if (!this->is_closed) {
        this->ServePolicy();
      }
    });
  }
}

/// Only the number of the policy changed: those who know the rest are told just
/// that, a tenth of a state.
void PeerTable::TellVersion() {
  std::string frame;
  AppendVersion(this->self->told.policy_version, frame);
  std::string whole;
  for (auto& [id, entry] : this->accepted) {
    const bool knows_rest = entry.told_facts + 1 == this->facts;
    if (knows_rest && entry.dialect >= kAsksPolicy) {
      entry.link->Out() += frame;
    } else {
      if (whole.empty()) {
        Append(this->self->told, whole);
      }
      entry.link->Out() += whole;
    }
    entry.told_facts = this->facts;
    entry.link->FlushSoon();
  }
}

void PeerTable::TellNodes(const std::vector<NodeAddress>& nodes) {
  if (nodes.empty()) {
    return;
  }
  for (auto& [id, entry] : this->accepted) {
    if (entry.dialect >= kAsksPolicy) {
      AppendNodes(nodes, entry.link->Out());
      entry.link->FlushSoon();
    }
  }
}

bool PeerTable::OnNodes(std::string_view payload) {
  std::vector<NodeAddress> nodes;
  if (!DecodeNodes(payload, nodes)) {
    return false;
  }
  for (const NodeAddress& node : nodes) {
    this->Learn(node);
  }
  return true;
}

void PeerTable::PushPolicy(Millis now, const PeerPointer& peer) {
  const std::string& text = this->events.policy_text();
  const bool is_behind =
      peer->is_greeted && peer->dialect < kAsksPolicy && !text.empty() &&
      peer->told.policy_version < this->self->told.policy_version;
  if (!is_behind) {
    peer->policy_sent = Millis{0};
    return;
  }
  if (peer->policy_sent == Millis{0}) {
    // A node that knows none needs it at once.
    const bool is_empty = peer->told.policy_version == 0;
    peer->policy_sent =
        is_empty ? now - kPushAgain : now - kPushAgain + kPushWait;
  }
  if (now - peer->policy_sent >= kPushAgain) {
    peer->policy_sent = now;
    AppendPolicy(text, peer->link->Out());
    peer->link->FlushSoon();
  }
}

}  // namespace almondlink::relay
