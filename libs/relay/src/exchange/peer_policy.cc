#include <algorithm>
#include <random>
#include <utility>

#include "almondlink/base/hash.h"
#include "almondlink/relay/peer_table.h"

/// Distribution of the policy between nodes, see
/// almondlink/control/policy_source.h. Part of the implementation of PeerTable.
namespace almondlink::relay {

namespace {

/// Maximum number of concurrent policy transfers. Each holds a copy of the text
/// in its link's output buffer until it is sent, which costs the size of a
/// large policy. The next transfer starts when one has finished.
constexpr std::uint32_t kMaxPolicyTransfers = 2;
/// Delay before the policy is pushed to nodes below kVersionPolicyPull, most of
/// which have read it from the source by then, and the interval at which the
/// push is repeated.
constexpr Millis kPushDelay{250};
constexpr Millis kPushInterval{1000};

}  // namespace

std::uint32_t PeerTable::RankAmongReachable() const {
  const std::uint64_t own = StableHash(this->self->node.name);
  return static_cast<std::uint32_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [own](const PeerPointer& peer) {
        return !peer->is_self && peer->IsReachable() && !peer->is_suspect &&
               peer->reported.has_source && StableHash(peer->node.name) < own;
      }));
}

std::uint32_t PeerTable::RankAmongKnown() const {
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
                           !peer->is_suspect && !peer->reported.is_stopping &&
                           peer->protocol_version >= kVersionPolicyPull &&
                           peer->reported.zone == this->settings.zone.Value() &&
                           StableHash(peer->node.name) < own;
    before += is_before ? 1 : 0;
    before_with_source += is_before && peer->reported.has_source ? 1 : 0;
  }
  return control::FollowsSource(this->settings.decisions.follow, before,
                                before_with_source);
}

bool PeerTable::HasAccessToSource() const {
  const bool is_reported = std::any_of(
      this->peers.begin(), this->peers.end(), [](const PeerPointer& peer) {
        return !peer->is_self && peer->IsReachable() && !peer->is_suspect &&
               peer->reported.has_source;
      });
  return is_reported ||
         (this->self->reported.has_source && this->FollowsSource());
}

void PeerTable::RequestPolicy(Millis now) {
  const control::FollowRules& rules = this->settings.decisions.follow;
  const std::uint64_t own = this->self->reported.policy_version;
  std::uint64_t newest = own;
  for (const PeerPointer& peer : this->peers) {
    if (!peer->is_self && peer->IsReachable()) {
      newest = std::max(newest, peer->reported.policy_version);
    }
  }
  if (newest == own) {
    this->newer_version_since = Millis{0};
    this->policy_unusable_at = Millis{0};
    this->policy_requested_from.reset();
    return;
  }
  if (this->newer_version_since == Millis{0}) {
    this->newer_version_since = now;
  }
  const PeerPointer asked = this->policy_requested_from.lock();
  const bool is_awaited = asked != nullptr && asked->IsReachable() &&
                          now - this->policy_requested_at < rules.reply_timeout;
  // The other nodes most likely have the same unusable text, and each request
  // transfers all of it.
  const bool is_unread =
      this->policy_unusable_at != Millis{0} &&
      now - this->policy_unusable_at < rules.unreadable_backoff;
  if (is_awaited || is_unread) {
    return;
  }
  std::vector<control::PolicyOffer> offers;
  for (const PeerPointer& peer : this->peers) {
    control::PolicyOffer offer;
    const bool is_open = !peer->is_self && peer->IsReachable() &&
                         !peer->is_suspect &&
                         peer->protocol_version >= kVersionPolicyPull;
    offer.version = is_open ? peer->reported.policy_version : 0;
    offer.is_own_zone = peer->reported.zone == this->settings.zone.Value();
    offer.is_requested = peer->requested_version >= offer.version;
    offers.push_back(offer);
  }
  const double draw =
      std::uniform_real_distribution<double>(0, 1)(this->random);
  const std::optional<std::size_t> choice = control::ChooseOffer(
      rules, own, offers, now - this->newer_version_since, draw);
  if (!choice.has_value()) {
    if (now - this->newer_version_since >= rules.other_zone_delay) {
      // All nodes were asked without success: start again.
      for (const PeerPointer& peer : this->peers) {
        peer->requested_version = 0;
      }
    }
    return;
  }
  const PeerPointer& peer = this->peers[*choice];
  peer->requested_version = peer->reported.policy_version;
  this->policy_requested_from = peer;
  this->policy_requested_at = now;
  AppendPolicyRequest(own, peer->link->OutputBuffer());
  peer->link->ScheduleFlush();
}

bool PeerTable::OnPolicyVersion(const PeerPointer& peer,
                                std::string_view payload) {
  std::uint64_t version = 0;
  if (!DecodePolicyVersion(payload, version)) {
    return false;
  }
  if (!peer->has_reported) {
    // Ignored before the first state.
    return true;
  }
  peer->reported.policy_version = version;
  this->RequestPolicy(BootTimeNow());
  return true;
}

/// `peer`: the node that the policy may have been requested from; null if the
/// policy was pushed on an accepted link.
bool PeerTable::OnPolicy(const PeerPointer& peer, std::string_view payload) {
  // The text follows its four-byte length.
  constexpr std::size_t kLengthBytes = 4;
  const bool was_asked =
      peer != nullptr && peer == this->policy_requested_from.lock();
  if (was_asked) {
    this->policy_requested_from.reset();
  }
  if (payload.size() <= kLengthBytes) {
    return false;
  }
  this->events.on_policy(std::string(payload.substr(kLengthBytes)));
  if (was_asked &&
      this->self->reported.policy_version < peer->requested_version) {
    this->policy_unusable_at = BootTimeNow();
  }
  return true;
}

bool PeerTable::OnPolicyRequest(const PeerLinkPointer& link,
                                std::string_view payload) {
  std::uint64_t known = 0;
  if (!DecodePolicyVersion(payload, known)) {
    return false;
  }
  if (this->self->reported.policy_version > known) {
    this->policy_requests.push_back(link->Id());
    this->ServePolicyRequests();
  }
  return true;
}

void PeerTable::ServePolicyRequests() {
  const std::string& text = this->events.policy_text();
  while (!text.empty() && this->policy_transfers < kMaxPolicyTransfers &&
         !this->policy_requests.empty()) {
    const PeerLinkPointer link =
        this->FindAcceptedLink(this->policy_requests.front());
    this->policy_requests.pop_front();
    if (link == nullptr || !link->IsOpen() || link->IsDraining()) {
      continue;
    }
    ++this->policy_transfers;
    AppendPolicy(text, link->OutputBuffer());
    link->WhenDrained([this]() {
      --this->policy_transfers;
      if (!this->is_closed) {
        this->ServePolicyRequests();
      }
    });
  }
}

/// Names of the nodes at the distances 1, 2, 4, ... on the ring of this zone's
/// nodes, ordered by hash.
std::unordered_set<std::string> PeerTable::RingSuccessors() const {
  std::vector<std::pair<std::uint64_t, const Peer*>> ring;
  for (const PeerPointer& peer : this->peers) {
    if (peer->is_self || (peer->IsReachable() &&
                          peer->reported.zone == this->settings.zone.Value())) {
      ring.emplace_back(StableHash(peer->node.name), peer.get());
    }
  }
  std::sort(ring.begin(), ring.end());
  const auto own =
      std::find_if(ring.begin(), ring.end(),
                   [](const auto& entry) { return entry.second->is_self; });
  const auto place = static_cast<std::size_t>(own - ring.begin());
  std::unordered_set<std::string> names;
  for (std::size_t step = 1; step < ring.size(); step *= 2) {
    names.insert(ring[(place + step) % ring.size()].second->node.name);
  }
  return names;
}

/// Announces a state of which only the policy version has changed. Nodes that
/// have the rest receive just the version, a tenth of a state.
///
/// In a large fleet only the followers announce it to every node. Each of the
/// others announces it to a few nodes of its zone, which may ask it for the
/// policy: if all n nodes announced it to all, each version would cost n * n
/// messages.
void PeerTable::AnnouncePolicyVersion() {
  const bool is_for_all =
      !this->self->reported.is_load_summed || this->FollowsSource();
  const std::unordered_set<std::string> chosen =
      is_for_all ? std::unordered_set<std::string>() : this->RingSuccessors();
  std::string frame;
  AppendPolicyVersion(this->self->reported.policy_version, frame);
  std::string full_state;
  for (auto& [id, entry] : this->accepted) {
    const bool is_only_version_new =
        entry.announced_revision + 1 == this->state_revision;
    const bool is_told = is_for_all ||
                         entry.protocol_version < kVersionLoadSums ||
                         chosen.count(entry.node) > 0;
    if (is_only_version_new && !is_told) {
      entry.announced_revision = this->state_revision;
      continue;
    }
    if (is_only_version_new && entry.protocol_version >= kVersionPolicyPull) {
      entry.link->OutputBuffer() += frame;
    } else {
      if (full_state.empty()) {
        Append(WithoutSummed(this->self->reported), full_state);
      }
      entry.link->OutputBuffer() += full_state;
    }
    entry.announced_revision = this->state_revision;
    entry.link->ScheduleFlush();
  }
}

void PeerTable::AnnounceNodes(const std::vector<NodeAddress>& nodes) {
  if (nodes.empty()) {
    return;
  }
  for (auto& [id, entry] : this->accepted) {
    if (entry.protocol_version >= kVersionPolicyPull) {
      AppendNodes(nodes, entry.link->OutputBuffer());
      entry.link->ScheduleFlush();
    }
  }
}

bool PeerTable::OnNodes(std::string_view payload) {
  std::vector<NodeAddress> nodes;
  if (!DecodeNodes(payload, nodes)) {
    return false;
  }
  for (const NodeAddress& node : nodes) {
    this->AddNode(node);
  }
  return true;
}

void PeerTable::PushPolicy(Millis now, const PeerPointer& peer) {
  const std::string& text = this->events.policy_text();
  const bool is_behind =
      peer->has_reported && peer->protocol_version < kVersionPolicyPull &&
      !text.empty() &&
      peer->reported.policy_version < this->self->reported.policy_version;
  if (!is_behind) {
    peer->policy_pushed_at = Millis{0};
    return;
  }
  if (peer->policy_pushed_at == Millis{0}) {
    // A node without a policy needs it at once.
    const bool is_empty = peer->reported.policy_version == 0;
    peer->policy_pushed_at =
        is_empty ? now - kPushInterval : now - kPushInterval + kPushDelay;
  }
  if (now - peer->policy_pushed_at >= kPushInterval) {
    peer->policy_pushed_at = now;
    AppendPolicy(text, peer->link->OutputBuffer());
    peer->link->ScheduleFlush();
  }
}

}  // namespace almondlink::relay
