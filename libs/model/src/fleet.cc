#include "almondlink/model/fleet.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "almondlink/control/load_sums.h"

namespace almondlink::model {

namespace {

using control::LoadSums;

constexpr Millis kStep{50};
/// Heads of a packet and of its acknowledgement.
constexpr double kPacketBytes = 106;
/// Bytes of a frame's head, of an entry by route and of one by service.
constexpr double kFrameBytes = 30;
constexpr double kRouteBytes = 14;
constexpr double kServiceBytes = 12;
/// Interval of direct loads, see relay/peer_table.cc.
constexpr std::int64_t kDirectMillisPerLink = 3;
constexpr Millis kMinDirect{200};
constexpr Millis kMaxDirect{1000};
/// Time from a query to a silent node until it is suspect, with the ping.
constexpr Millis kSuspectAfter{700};

/// Mean time of the reports in a sum.
struct TimedSums {
  LoadSums sums;
  double report_times = 0;
};

struct Node {
  std::string name;
  std::uint32_t zone = 0;
  bool is_alive = true;
  /// Since when it is dead without a sign.
  Millis silent_since;
  std::uint32_t reports_to = 0;
  Millis next_report;
  Millis next_sums;
  Millis totals_at;
  TimedSums totals;
  /// By node, for an aggregator.
  std::map<std::uint32_t, Millis> members;
  std::map<std::uint32_t, std::pair<Millis, TimedSums>> groups;
  double messages = 0;
  double bytes = 0;
};

class Fleet {
 public:
  explicit Fleet(const FleetPlan& plan_in) : plan(plan_in), random(plan.seed) {
    for (std::uint32_t i = 0; i < this->plan.nodes; ++i) {
      Node node;
      node.name = "host-" + std::to_string(i);
      node.zone = i % this->plan.zones;
      node.next_report = this->RandomBelow(this->ReportInterval());
      node.next_sums = this->RandomBelow(control::kAggregation);
      this->nodes.push_back(std::move(node));
    }
    this->known_alive.assign(this->plan.nodes, true);
    this->ChooseAggregators();
  }

  FleetFigures Play() {
    for (this->now = Millis{0}; this->now < this->plan.length;
         this->now = this->now + kStep) {
      if (this->now == this->plan.fault_at - Millis{1000}) {
        this->ClearCounts();
      }
      if (this->now == this->plan.fault_at) {
        this->TakeCounts();
        this->InjectFault();
      }
      this->NoticeLosses();
      this->Step();
      this->MeasureRepair();
    }
    return this->figures;
  }

 private:
  Millis ReportInterval() const {
    if (this->plan.scheme == FleetScheme::kSums) {
      return control::kBusyReport;
    }
    const Millis by_links{static_cast<std::int64_t>(this->plan.nodes) *
                          kDirectMillisPerLink};
    return std::clamp(by_links, kMinDirect, kMaxDirect);
  }

  Millis RandomBelow(Millis span) {
    std::uniform_int_distribution<std::int64_t> draw(0, span.count - 1);
    return Millis{draw(this->random)};
  }

  double LoadBytes() const {
    return kFrameBytes + 2 * kRouteBytes * this->plan.routes +
           kServiceBytes * this->plan.services;
  }

  double SumsBytes() const {
    return kFrameBytes +
           this->plan.routes *
               (kRouteBytes + kServiceBytes * this->plan.services) +
           this->plan.services *
               (kServiceBytes + kRouteBytes * this->plan.routes);
  }

  void Count(Node& from, Node& to, double frame_bytes) {
    const double bytes = frame_bytes + kPacketBytes;
    for (Node* node : {&from, &to}) {
      node->messages += 1;
      node->bytes += bytes;
    }
    this->zone_bytes += from.zone == to.zone ? 0 : bytes;
  }

  /// The aggregators of all groups, from the nodes that are not known to be
  /// lost.
  void ChooseAggregators() {
    this->aggregators.clear();
    for (std::uint32_t zone = 0; zone < this->plan.zones; ++zone) {
      std::vector<std::uint32_t> members;
      for (std::uint32_t i = zone; i < this->nodes.size();
           i += this->plan.zones) {
        if (this->known_alive[i]) {
          members.push_back(i);
        }
      }
      const std::uint32_t groups = control::GroupCount(
          std::max(1U, static_cast<std::uint32_t>(members.size())));
      std::vector<std::uint32_t> best(groups, 0);
      for (std::uint32_t group = 0; !members.empty() && group < groups;
           ++group) {
        best[group] = *std::max_element(
            members.begin(), members.end(),
            [this, group](std::uint32_t a, std::uint32_t b) {
              return control::AggregatorRank(this->nodes[a].name, group) <
                     control::AggregatorRank(this->nodes[b].name, group);
            });
      }
      for (const std::uint32_t member : members) {
        Node& node = this->nodes[member];
        const std::uint32_t chosen = best[control::GroupOf(node.name, groups)];
        if (chosen != node.reports_to) {
          this->nodes[node.reports_to].members.erase(member);
          node.reports_to = chosen;
          node.next_report = this->now;
        }
      }
      if (!members.empty()) {
        this->aggregators.insert(this->aggregators.end(), best.begin(),
                                 best.end());
      }
    }
    std::sort(this->aggregators.begin(), this->aggregators.end());
    this->aggregators.erase(
        std::unique(this->aggregators.begin(), this->aggregators.end()),
        this->aggregators.end());
  }

  void Lose(std::uint32_t index, bool is_silent) {
    Node& node = this->nodes[index];
    node.is_alive = false;
    node.silent_since = this->now;
    if (!is_silent) {
      this->known_alive[index] = false;
    } else {
      this->silent.push_back(index);
    }
    for (Node& other : this->nodes) {
      if (!is_silent) {
        other.members.erase(index);
        other.groups.erase(index);
      }
    }
  }

  void InjectFault() {
    switch (this->plan.fault) {
      case FleetFault::kNone:
        return;
      case FleetFault::kKilledAggregator:
        this->Lose(this->aggregators.front(), false);
        break;
      case FleetFault::kSilentAggregator:
        this->Lose(this->aggregators.front(), true);
        break;
      case FleetFault::kKilledHalf:
        for (std::uint32_t i = 0; i < this->nodes.size(); ++i) {
          if (i / this->plan.zones % 2 == 0) {
            this->Lose(i, false);
          }
        }
        break;
      case FleetFault::kSilentZone:
        for (std::uint32_t i = 0; i < this->nodes.size();
             i += this->plan.zones) {
          this->Lose(i, true);
        }
        break;
    }
    this->ChooseAggregators();
  }

  /// A silent node is queried when its totals or its report are overdue, and
  /// is then suspect.
  void NoticeLosses() {
    std::vector<std::uint32_t> noticed;
    for (const std::uint32_t index : this->silent) {
      const bool is_aggregator = std::binary_search(
          this->aggregators.begin(), this->aggregators.end(), index);
      const Millis overdue =
          is_aggregator ? control::kTotalsOverdue : control::kReportOverdue;
      if (this->now - this->nodes[index].silent_since >=
          overdue + kSuspectAfter) {
        noticed.push_back(index);
      }
    }
    for (const std::uint32_t index : noticed) {
      this->known_alive[index] = false;
      this->silent.erase(
          std::find(this->silent.begin(), this->silent.end(), index));
    }
    if (!noticed.empty()) {
      this->ChooseAggregators();
    }
  }

  void Step() {
    for (std::uint32_t i = 0; i < this->nodes.size(); ++i) {
      Node& node = this->nodes[i];
      if (!node.is_alive) {
        continue;
      }
      if (this->now >= node.next_report) {
        node.next_report = this->now + this->ReportInterval();
        this->Report(i);
      }
      if (this->plan.scheme == FleetScheme::kSums &&
          this->now >= node.next_sums) {
        node.next_sums = this->now + control::kAggregation;
        this->Aggregate(i);
      }
    }
  }

  void Report(std::uint32_t index) {
    Node& node = this->nodes[index];
    if (this->plan.scheme == FleetScheme::kDirect) {
      for (Node& other : this->nodes) {
        if (&other != &node) {
          this->Count(node, other, this->LoadBytes());
        }
      }
      return;
    }
    Node& aggregator = this->nodes[node.reports_to];
    if (!aggregator.is_alive) {
      return;
    }
    aggregator.members[index] = this->now;
    if (&aggregator != &node) {
      this->Count(node, aggregator, this->LoadBytes());
    }
  }

  /// Sends the sums of the group and the totals.
  void Aggregate(std::uint32_t index) {
    Node& node = this->nodes[index];
    for (auto entry = node.members.begin(); entry != node.members.end();) {
      const bool is_old = this->now - entry->second > control::kMaxLoadAge;
      entry = is_old ? node.members.erase(entry) : std::next(entry);
    }
    for (auto entry = node.groups.begin(); entry != node.groups.end();) {
      const bool is_old =
          this->now - entry->second.first > control::kMaxSumsAge;
      entry = is_old ? node.groups.erase(entry) : std::next(entry);
    }
    if (node.members.empty()) {
      return;
    }
    TimedSums own;
    for (const auto& [member, at] : node.members) {
      ++own.sums.nodes;
      own.report_times += static_cast<double>(at.count);
    }
    for (const std::uint32_t other : this->aggregators) {
      if (other != index && this->nodes[other].is_alive) {
        this->nodes[other].groups[index] = {this->now, own};
        this->Count(node, this->nodes[other], this->SumsBytes());
      }
    }
    TimedSums total = own;
    for (const auto& [group, sums] : node.groups) {
      control::AddSums(sums.second.sums, total.sums);
      total.report_times += sums.second.report_times;
    }
    for (const auto& [member, at] : node.members) {
      Node& receiver = this->nodes[member];
      if (receiver.is_alive && receiver.reports_to == index) {
        receiver.totals = total;
        receiver.totals_at = this->now;
        if (&receiver != &node) {
          this->Count(node, receiver, this->SumsBytes());
        }
      }
    }
  }

  void ClearCounts() {
    this->zone_bytes = 0;
    for (Node& node : this->nodes) {
      node.messages = 0;
      node.bytes = 0;
    }
  }

  /// Takes the counts of the second before now.
  void TakeCounts() {
    std::vector<double> messages;
    std::vector<double> bytes;
    double age = 0;
    for (const Node& node : this->nodes) {
      messages.push_back(node.messages);
      bytes.push_back(node.bytes);
      age += this->plan.scheme == FleetScheme::kDirect
                 ? static_cast<double>(this->ReportInterval().count) / 2
                 : this->AgeAt(node);
    }
    std::sort(messages.begin(), messages.end());
    std::sort(bytes.begin(), bytes.end());
    this->figures.messages_per_s = messages[messages.size() / 2];
    this->figures.messages_per_s_busiest = messages.back();
    this->figures.bytes_per_s = bytes[bytes.size() / 2];
    this->figures.bytes_per_s_busiest = bytes.back();
    this->figures.zone_bytes_per_s = this->zone_bytes;
    this->figures.aggregators =
        this->plan.scheme == FleetScheme::kSums
            ? static_cast<std::uint32_t>(this->aggregators.size())
            : 0;
    this->figures.links = 2 * (this->plan.nodes - 1);
    this->figures.mean_age_ms = age / static_cast<double>(this->nodes.size());
  }

  double AgeAt(const Node& node) const {
    const double count = std::max(1U, node.totals.sums.nodes);
    return static_cast<double>(this->now.count) -
           node.totals.report_times / count;
  }

  void MeasureRepair() {
    if (this->plan.fault == FleetFault::kNone ||
        this->plan.scheme == FleetScheme::kDirect ||
        this->now <= this->plan.fault_at) {
      return;
    }
    const auto alive = static_cast<std::uint32_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(),
                      [](const Node& node) { return node.is_alive; }));
    const bool is_exact = std::all_of(
        this->nodes.begin(), this->nodes.end(), [&](const Node& node) {
          return !node.is_alive || (node.totals_at >= this->plan.fault_at &&
                                    node.totals.sums.nodes == alive);
        });
    if (!is_exact) {
      this->figures.repaired_after_ms = -1;
    } else if (this->figures.repaired_after_ms < 0) {
      this->figures.repaired_after_ms =
          static_cast<double>((this->now - this->plan.fault_at).count);
    }
  }

  const FleetPlan plan;
  std::mt19937 random;
  Millis now;
  std::vector<Node> nodes;
  /// Whether the others still take the node for alive.
  std::vector<bool> known_alive;
  std::vector<std::uint32_t> silent;
  std::vector<std::uint32_t> aggregators;
  double zone_bytes = 0;
  FleetFigures figures;
};

}  // namespace

FleetFigures PlayFleet(const FleetPlan& plan) {
  return Fleet(plan).Play();
}

}  // namespace almondlink::model
