#include "almondlink/control/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace almondlink::control {

namespace {

constexpr std::uint32_t kFailed =
    static_cast<std::uint32_t>(MemberState::kFailed);
constexpr std::uint32_t kLeft = static_cast<std::uint32_t>(MemberState::kLeft);
constexpr std::uint32_t kSuspect =
    static_cast<std::uint32_t>(MemberState::kSuspect);
constexpr std::uint32_t kAlive =
    static_cast<std::uint32_t>(MemberState::kAlive);

bool IsNewer(const wire::Member& update, const wire::Member& known) {
  return std::make_tuple(update.incarnation, update.version, update.state) >
         std::make_tuple(known.incarnation, known.version, known.state);
}

bool IsLiving(const wire::Member& member) {
  return member.state < kFailed;
}

void Store(const wire::Member& update, Millis now, Membership& membership) {
  MemberEntry& entry = membership.members[update.node];
  entry.member = update;
  entry.changed_at = now;
  entry.transmissions = 0;
}

/// Merges an update about this node itself. Only a higher version than the
/// update's refutes it. An update with a later incarnation comes from another
/// process under the same id; this node cannot refute it and ignores it.
MergeResult MergeSelf(const wire::Member& update,
                      Millis now,
                      Membership& membership) {
  MergeResult result;
  const wire::Member& self = membership.members[update.node].member;
  const bool is_reported_dead = update.incarnation == self.incarnation &&
                                update.version >= self.version &&
                                update.state != kAlive && self.state == kAlive;
  if (!is_reported_dead) {
    return result;
  }
  wire::Member refuted = self;
  refuted.version = update.version + 1;
  Store(refuted, now, membership);
  result.is_changed = true;
  result.is_refuted = true;
  return result;
}

std::uint32_t MaxTransmissions(const MembershipRules& rules,
                               const Membership& membership) {
  const double binary_digits =
      std::log2(static_cast<double>(membership.members.size()) + 1);
  return rules.retransmit_factor *
         static_cast<std::uint32_t>(std::ceil(binary_digits));
}

void ShuffleProbeOrder(double draw, Membership& membership) {
  membership.probe_order.clear();
  membership.probe_next = 0;
  for (const auto& [node, entry] : membership.members) {
    if (node != membership.self.Value() && IsLiving(entry.member)) {
      membership.probe_order.push_back(node);
    }
  }
  // A rotation and a shuffle that depend on `draw` give each member one probe
  // per round, in an order that differs between rounds.
  const std::size_t count = membership.probe_order.size();
  if (count < 2) {
    return;
  }
  const std::size_t start =
      static_cast<std::size_t>(draw * static_cast<double>(count)) % count;
  std::rotate(
      membership.probe_order.begin(),
      membership.probe_order.begin() + static_cast<std::ptrdiff_t>(start),
      membership.probe_order.end());
  for (std::size_t i = count - 1; i > 0; --i) {
    const double mixed = draw * static_cast<double>((i + 1) * (i + 1) * 31);
    const std::size_t other = static_cast<std::size_t>(
        (mixed - std::floor(mixed)) * static_cast<double>(i + 1));
    std::swap(membership.probe_order[i], membership.probe_order[other]);
  }
}

}  // namespace

void StartMembership(const wire::Member& self,
                     Millis now,
                     Membership& membership) {
  membership = Membership{};
  membership.self = NodeId(self.node);
  Store(self, now, membership);
}

const wire::Member& SelfMember(const Membership& membership) {
  return membership.members.at(membership.self.Value()).member;
}

void AnnounceSelf(const wire::Member& changed,
                  Millis now,
                  Membership& membership) {
  wire::Member announced = changed;
  announced.version = SelfMember(membership).version + 1;
  Store(announced, now, membership);
}

MergeResult MergeMember(const MembershipRules& rules,
                        const wire::Member& update,
                        Millis now,
                        Membership& membership) {
  MergeResult result;
  if (update.node.empty() || update.state > kLeft) {
    return result;
  }
  if (update.node == membership.self.Value()) {
    return MergeSelf(update, now, membership);
  }
  const auto known = membership.members.find(update.node);
  if (known == membership.members.end()) {
    if (membership.members.size() >= rules.max_members) {
      return result;
    }
  } else if (!IsNewer(update, known->second.member)) {
    return result;
  }
  Store(update, now, membership);
  result.is_changed = true;
  return result;
}

bool SuspectMember(const std::string& node,
                   Millis now,
                   Membership& membership) {
  const auto found = membership.members.find(node);
  const bool is_possible = found != membership.members.end() &&
                           node != membership.self.Value() &&
                           found->second.member.state == kAlive;
  if (!is_possible) {
    return false;
  }
  wire::Member suspected = found->second.member;
  suspected.state = kSuspect;
  Store(suspected, now, membership);
  return true;
}

std::vector<std::string> ExpireMembers(const MembershipRules& rules,
                                       Millis now,
                                       Membership& membership) {
  std::vector<std::string> failed;
  for (auto it = membership.members.begin(); it != membership.members.end();) {
    MemberEntry& entry = it->second;
    const Millis age = now - entry.changed_at;
    const bool is_self = it->first == membership.self.Value();
    if (!is_self && entry.member.state >= kFailed && age > rules.tombstone) {
      it = membership.members.erase(it);
      continue;
    }
    const bool is_over = !is_self && entry.member.state == kSuspect &&
                         age > rules.suspect_timeout;
    if (is_over) {
      entry.member.state = kFailed;
      entry.changed_at = now;
      entry.transmissions = 0;
      failed.push_back(it->first);
    }
    ++it;
  }
  return failed;
}

std::optional<wire::Member> NextProbe(double draw, Membership& membership) {
  for (int round = 0; round < 2; ++round) {
    while (membership.probe_next < membership.probe_order.size()) {
      const std::string& node = membership.probe_order[membership.probe_next++];
      const auto found = membership.members.find(node);
      if (found != membership.members.end() && IsLiving(found->second.member)) {
        return found->second.member;
      }
    }
    ShuffleProbeOrder(draw, membership);
  }
  return std::nullopt;
}

std::optional<wire::Member> PickFailed(double draw,
                                       const Membership& membership) {
  std::vector<const wire::Member*> failed;
  for (const auto& [node, entry] : membership.members) {
    if (entry.member.state == kFailed) {
      failed.push_back(&entry.member);
    }
  }
  if (failed.empty()) {
    return std::nullopt;
  }
  const auto index =
      static_cast<std::size_t>(draw * static_cast<double>(failed.size()));
  return *failed[std::min(index, failed.size() - 1)];
}

std::vector<wire::Member> PickHelpers(const std::string& except,
                                      std::size_t count,
                                      double draw,
                                      const Membership& membership) {
  std::vector<const wire::Member*> living;
  for (const auto& [node, entry] : membership.members) {
    const bool is_helper = node != except && node != membership.self.Value() &&
                           entry.member.state == kAlive;
    if (is_helper) {
      living.push_back(&entry.member);
    }
  }
  std::vector<wire::Member> picked;
  if (living.empty()) {
    return picked;
  }
  const std::size_t start =
      static_cast<std::size_t>(draw * static_cast<double>(living.size()));
  for (std::size_t i = 0; i < std::min(count, living.size()); ++i) {
    picked.push_back(*living[(start + i) % living.size()]);
  }
  return picked;
}

std::vector<wire::Member> PickUpdates(const MembershipRules& rules,
                                      Membership& membership) {
  const std::uint32_t max_transmissions = MaxTransmissions(rules, membership);
  std::vector<MemberEntry*> pending;
  for (auto& [node, entry] : membership.members) {
    if (entry.transmissions < max_transmissions) {
      pending.push_back(&entry);
    }
  }
  const std::size_t count = std::min(rules.updates_per_message, pending.size());
  std::partial_sort(
      pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count),
      pending.end(), [](const MemberEntry* a, const MemberEntry* b) {
        return a->transmissions < b->transmissions;
      });
  std::vector<wire::Member> updates;
  for (std::size_t i = 0; i < count; ++i) {
    ++pending[i]->transmissions;
    updates.push_back(pending[i]->member);
  }
  return updates;
}

std::size_t LivingCount(const Membership& membership) {
  return static_cast<std::size_t>(std::count_if(
      membership.members.begin(), membership.members.end(),
      [](const auto& item) { return IsLiving(item.second.member); }));
}

}  // namespace almondlink::control
