#include "almondlink/control/route_exchange.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// An exchange that has begun ends below this part of the required ratio.
constexpr double kEndingPart = 0.8;
/// Largest change of the receiver's share in one step. Smaller steps divide
/// slots more evenly among several receivers and givers, and cost more time.
constexpr double kShareStep = 0.01;
/// Differences of shares below this count as none.
constexpr double kEqualShares = 1e-6;
/// Upper bound of the steps at one service; a pair of classes takes at most a
/// hundred.
constexpr int kMaxSteps = 2000;
/// Bisection steps for a common share: an error of a billionth.
constexpr int kBisectionRounds = 30;

bool IsComparable(const ExchangeClass& entry) {
  return entry.slots_per_root > 0 && entry.offered_slots > 0;
}

/// Admitted share of all root requests of the class.
double ShareOf(const ExchangeClass& entry) {
  return entry.granted_slots / entry.offered_slots;
}

/// False for a class that is served in full or that another service limits;
/// less urgent classes may be admitted with a larger share than such a class.
bool CanUseMore(const ExchangeClass& entry) {
  return entry.wanted_slots - entry.granted_slots >
         kEqualShares * entry.offered_slots;
}

/// Whether `first` is of a more urgent route than `second`, for accounts of the
/// same priority.
bool IsMoreUrgent(const ExchangeClass& first, const ExchangeClass& second) {
  return first.account_priority == second.account_priority &&
         first.route_priority < second.route_priority;
}

/// Classes that are admitted with one share.
struct Block {
  std::vector<ExchangeClass*> members;
  double granted = 0;
  double share = 0;
};

/// The share at which the members use the slots that they have together, each
/// up to what it wants.
double CommonShare(const Block& block) {
  double low = 0;
  double high = 1;
  for (int round = 0; round < kBisectionRounds; ++round) {
    const double middle = (low + high) / 2;
    double used = 0;
    for (const ExchangeClass* member : block.members) {
      used += std::min(member->wanted_slots, middle * member->offered_slots);
    }
    (used > block.granted ? high : low) = middle;
  }
  return low;
}

/// Adds a class to the blocks of more urgent ones, whose shares fall from one
/// block to the next. A class with a larger share than the last block is merged
/// with it, and so on until the shares fall again.
void AddToBlocks(ExchangeClass& entry, std::vector<Block>& blocks) {
  const bool exceeds =
      !blocks.empty() && ShareOf(entry) > blocks.back().share + kEqualShares;
  if (!exceeds && !CanUseMore(entry)) {
    return;
  }
  Block block;
  block.members = {&entry};
  block.granted = entry.granted_slots;
  block.share = ShareOf(entry);
  while (!blocks.empty() && block.share > blocks.back().share + kEqualShares) {
    const Block& last = blocks.back();
    block.members.insert(block.members.end(), last.members.begin(),
                         last.members.end());
    block.granted += last.granted;
    block.share = CommonShare(block);
    blocks.pop_back();
  }
  blocks.push_back(std::move(block));
}

/// Largest share that a receiver may reach: that of the more urgent class with
/// the smallest one.
double ReceiverLimit(const ExchangeClass& receiver,
                     const std::vector<ExchangeClass>& classes) {
  double limit = 1;
  for (const ExchangeClass& entry : classes) {
    if (IsComparable(entry) && CanUseMore(entry) &&
        IsMoreUrgent(entry, receiver)) {
      limit = std::min(limit, ShareOf(entry));
    }
  }
  return limit;
}

/// Smallest share that a giver may fall to: the largest of a less urgent class.
double GiverLimit(const ExchangeClass& giver,
                  const std::vector<ExchangeClass>& classes) {
  double limit = 0;
  for (const ExchangeClass& entry : classes) {
    if (IsComparable(entry) && IsMoreUrgent(giver, entry)) {
      limit = std::max(limit, ShareOf(entry));
    }
  }
  return limit;
}

/// Slots that may move in one step, 0 if none.
double SlotsToMove(const ExchangeClass& giver,
                   const ExchangeClass& receiver,
                   const std::vector<ExchangeClass>& classes) {
  const double offered = giver.offered_slots + receiver.offered_slots;
  const double until_equal = (giver.granted_slots * receiver.offered_slots -
                              receiver.granted_slots * giver.offered_slots) /
                             offered;
  const double rise = std::min(
      kShareStep, ReceiverLimit(receiver, classes) - ShareOf(receiver));
  const double fall = ShareOf(giver) - GiverLimit(giver, classes);
  const double moved = std::min(
      {until_equal, rise * receiver.offered_slots, fall * giver.offered_slots,
       receiver.wanted_slots - receiver.granted_slots});
  return moved > kEqualShares * offered ? moved : 0;
}

/// Moves slots to the class with the smallest share that can receive some.
/// Returns false if none can.
bool MoveOnce(const std::set<ExchangePair>& pairs,
              std::vector<ExchangeClass>& classes,
              std::map<ExchangePair, double>& moved) {
  // Smallest share first; among equal ones the most urgent, which the others
  // may not overtake.
  std::vector<ExchangeClass*> order;
  for (ExchangeClass& entry : classes) {
    if (IsComparable(entry)) {
      order.push_back(&entry);
    }
  }
  std::sort(order.begin(), order.end(),
            [](const ExchangeClass* a, const ExchangeClass* b) {
              const double first = ShareOf(*a);
              const double second = ShareOf(*b);
              return first != second ? first < second
                                     : a->route_priority < b->route_priority;
            });
  for (ExchangeClass* receiver : order) {
    // Largest share first; among equal ones the least urgent.
    for (auto giver = order.rbegin(); giver != order.rend(); ++giver) {
      const ExchangePair pair{(*giver)->route, receiver->route};
      if (pairs.count(pair) == 0) {
        continue;
      }
      const double slots = SlotsToMove(**giver, *receiver, classes);
      if (slots > 0) {
        (*giver)->granted_slots -= slots;
        receiver->granted_slots += slots;
        moved[pair] += slots;
        return true;
      }
    }
  }
  return false;
}

}  // namespace

std::set<ExchangePair> AllowedExchanges(
    const ExchangeRules& rules,
    const std::vector<ExchangeClass>& classes,
    const std::set<ExchangePair>& begun) {
  std::set<ExchangePair> pairs;
  for (const ExchangeClass& giver : classes) {
    if (!IsComparable(giver) ||
        giver.route_priority <= rules.most_urgent_route) {
      continue;
    }
    for (const ExchangeClass& receiver : classes) {
      if (!IsComparable(receiver) || !IsMoreUrgent(giver, receiver)) {
        continue;
      }
      const ExchangePair pair{giver.route, receiver.route};
      const double ratio =
          begun.count(pair) > 0 ? kEndingPart * rules.ratio : rules.ratio;
      if (giver.slots_per_root >= ratio * receiver.slots_per_root) {
        pairs.insert(pair);
      }
    }
  }
  return pairs;
}

void RestorePriorityOrder(std::vector<ExchangeClass>& classes) {
  std::map<std::optional<std::uint32_t>, std::vector<ExchangeClass*>> groups;
  for (ExchangeClass& entry : classes) {
    if (IsComparable(entry)) {
      groups[entry.account_priority].push_back(&entry);
    }
  }
  for (auto& [priority, group] : groups) {
    // Classes of one route priority are not ordered. The largest share comes
    // first, so that they are not merged without need.
    std::sort(group.begin(), group.end(),
              [](const ExchangeClass* a, const ExchangeClass* b) {
                return a->route_priority != b->route_priority
                           ? a->route_priority < b->route_priority
                           : ShareOf(*a) > ShareOf(*b);
              });
    std::vector<Block> blocks;
    for (ExchangeClass* entry : group) {
      AddToBlocks(*entry, blocks);
    }
    for (const Block& block : blocks) {
      if (block.members.size() < 2) {
        continue;
      }
      for (ExchangeClass* member : block.members) {
        member->granted_slots =
            std::min(member->wanted_slots, block.share * member->offered_slots);
      }
    }
  }
}

std::map<ExchangePair, double> ExchangeSlots(
    const std::set<ExchangePair>& pairs,
    std::vector<ExchangeClass>& classes) {
  std::map<ExchangePair, double> moved;
  for (int step = 0; step < kMaxSteps && MoveOnce(pairs, classes, moved);
       ++step) {
  }
  return moved;
}

}  // namespace almondlink::control
