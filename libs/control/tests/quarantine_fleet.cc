#include "libs/control/tests/quarantine_fleet.h"

#include <algorithm>
#include <string>

namespace almondlink::control::test {

namespace {

constexpr Millis kRetryInterval{50};
constexpr Millis kTrialLease{5500};
constexpr const char* kService = "service";

}  // namespace

QuarantineFleet::QuarantineFleet(const FleetSpec& spec_in)
    : spec(spec_in),
      random(spec_in.seed),
      nodes(static_cast<std::size_t>(spec_in.nodes)),
      targets(static_cast<std::size_t>(spec_in.targets)) {
  for (Target& target : this->targets) {
    target.incarnation = ++this->last_incarnation;
  }
}

void QuarantineFleet::Schedule(Millis at, std::function<void()> action) {
  this->events.emplace(at.count, std::move(action));
}

/// Delivers a message if both ends are connected when it arrives.
void QuarantineFleet::Deliver(int from,
                              int to,
                              const std::function<void()>& action) {
  if (from == to) {
    action();
    return;
  }
  this->Schedule(this->now + this->spec.latency, [this, from, to, action]() {
    if (!this->nodes[from].is_cut_off && !this->nodes[to].is_cut_off) {
      action();
    }
  });
}

FleetCounts& QuarantineFleet::CountsOf(std::uint64_t content) {
  return content < kFirstHarmless ? this->deadly : this->harmless;
}

void QuarantineFleet::Send(Millis at, int node, std::uint64_t content) {
  this->Schedule(at, [this, node, content]() {
    const int id = ++this->last_job;
    Job job;
    job.content = content;
    job.node = node;
    this->jobs[id] = job;
    ++this->CountsOf(content).sent;
    this->Attempt(id);
  });
}

void QuarantineFleet::CrashTarget(Millis at, int target) {
  this->Schedule(at, [this, target]() { this->Crash(target); });
}

void QuarantineFleet::CutOff(Millis at, int node, Millis span) {
  this->Schedule(at, [this, node]() { this->nodes[node].is_cut_off = true; });
  this->Schedule(at + span, [this, node]() {
    this->nodes[node].is_cut_off = false;
    // When links are set up again, each side reports its records.
    for (int other = 0; other < this->spec.nodes; ++other) {
      for (const auto& [digest, record] : this->nodes[node].table.records) {
        this->Report(node, digest.high);
      }
      const QuarantineTable table = this->nodes[other].table;
      for (const auto& [digest, record] : table.records) {
        MergeQuarantine(this->rules, this->now, digest, record,
                        this->nodes[node].table);
      }
    }
  });
}

void QuarantineFleet::Restart(Millis at, int node) {
  this->Schedule(at, [this, node]() {
    this->nodes[node].table = QuarantineTable();
    this->nodes[node].registry = TrialRegistry();
  });
  this->Schedule(at + this->spec.latency, [this, node]() {
    for (int other = 0; other < this->spec.nodes; ++other) {
      if (other == node || this->nodes[other].is_cut_off) {
        continue;
      }
      for (const auto& [digest, record] : this->nodes[other].table.records) {
        if (IsQuarantined(this->rules, record)) {
          MergeQuarantine(this->rules, this->now, digest, record,
                          this->nodes[node].table);
        }
      }
    }
  });
}

void QuarantineFleet::RunUntil(Millis end) {
  while (!this->events.empty() && this->events.begin()->first <= end.count) {
    const auto first = this->events.begin();
    this->now = Millis{first->first};
    const std::function<void()> action = std::move(first->second);
    this->events.erase(first);
    action();
  }
}

/// Node 0 grants trials; a node that is cut off grants its own.
int QuarantineFleet::TrialGranter(int node) const {
  return this->nodes[node].is_cut_off || this->nodes[0].is_cut_off ? node : 0;
}

int QuarantineFleet::ChooseTarget(int node, int except) {
  std::vector<int> open;
  for (int target = 0; target < this->spec.targets; ++target) {
    const bool is_reached = target == node || (!this->nodes[node].is_cut_off &&
                                               !this->nodes[target].is_cut_off);
    if (this->targets[target].is_up && target != except && is_reached) {
      open.push_back(target);
    }
  }
  return open.empty() ? -1 : open[this->random() % open.size()];
}

void QuarantineFleet::Attempt(int id) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return;
  }
  Job& job = found->second;
  const QuarantineDecision decision =
      DecideQuarantine(this->rules, this->now, this->DigestOf(job.content),
                       this->nodes[job.node].table);
  if (decision.action != QuarantineAction::kAllow) {
    if (job.wait_until == Millis{0}) {
      job.wait_until = this->now + this->spec.trial_wait;
    }
    if (decision.action == QuarantineAction::kRefuse ||
        this->now >= job.wait_until) {
      const bool has_target = decision.action == QuarantineAction::kRefuse ||
                              this->ChooseTarget(job.node, -1) >= 0;
      // Without a target no request is served, quarantined or not.
      ++(has_target ? this->CountsOf(job.content).refused
                    : this->CountsOf(job.content).without_target);
      this->jobs.erase(found);
      return;
    }
    this->RequestTrial(id);
    this->Schedule(this->now + kRetryInterval, [this, id]() {
      const auto waiting = this->jobs.find(id);
      if (waiting != this->jobs.end() && waiting->second.target < 0) {
        this->Attempt(id);
      }
    });
    return;
  }
  const int target = this->ChooseTarget(job.node, job.target);
  if (target < 0) {
    ++this->CountsOf(job.content).without_target;
    this->jobs.erase(found);
    return;
  }
  this->Dispatch(id, target);
}

void QuarantineFleet::RequestTrial(int id) {
  const Job job = this->jobs[id];
  const int granter = this->TrialGranter(job.node);
  this->Deliver(job.node, granter, [this, id, job, granter]() {
    Node& node = this->nodes[granter];
    const RequestDigest digest = this->DigestOf(job.content);
    if (DecideQuarantine(this->rules, this->now, digest, node.table).action ==
        QuarantineAction::kRefuse) {
      return;
    }
    std::vector<TrialCandidate> candidates;
    for (int target = 0; target < this->spec.targets; ++target) {
      if (this->targets[target].is_up) {
        candidates.push_back(
            {std::to_string(target),
             static_cast<std::uint32_t>(this->targets[target].jobs.size())});
      }
    }
    const std::optional<std::string> place =
        PermitTrial(this->now, digest, kService, candidates,
                    this->now + kTrialLease, node.registry);
    if (!place.has_value()) {
      return;
    }
    this->Deliver(granter, job.node, [this, id, place, digest, granter]() {
      const auto found = this->jobs.find(id);
      if (found == this->jobs.end() || found->second.target >= 0) {
        control::EndTrial(digest, this->nodes[granter].registry);
        return;
      }
      found->second.is_on_trial = true;
      this->Dispatch(id, std::stoi(*place));
    });
  });
}

void QuarantineFleet::Dispatch(int id, int target) {
  Job& job = this->jobs[id];
  job.target = target;
  ++job.attempts;
  this->Schedule(this->now + this->spec.latency, [this, id, target]() {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
      return;
    }
    if (!this->targets[target].is_up) {
      // Refused before it reached the target.
      this->EndTrial(found->second);
      found->second.target = -1;
      --found->second.attempts;
      this->Attempt(id);
      return;
    }
    this->targets[target].jobs.insert(id);
    const std::uint64_t content = found->second.content;
    const std::uint64_t incarnation = this->targets[target].incarnation;
    if (content < kFirstHarmless) {
      this->runs[content].push_back(this->now);
    }
    this->Schedule(this->now + this->spec.run_time,
                   [this, id, target, content, incarnation]() {
                     if (this->targets[target].incarnation != incarnation ||
                         this->targets[target].jobs.count(id) == 0) {
                       return;
                     }
                     if (content < kFirstHarmless) {
                       this->Crash(target);
                       return;
                     }
                     this->targets[target].jobs.erase(id);
                     this->Schedule(this->now + this->spec.latency,
                                    [this, id]() { this->OnCompleted(id); });
                   });
  });
}

void QuarantineFleet::Crash(int number) {
  Target& target = this->targets[number];
  if (!target.is_up) {
    return;
  }
  ++this->crashes;
  target.is_up = false;
  const std::uint64_t incarnation = target.incarnation;
  for (const int id : target.jobs) {
    this->Schedule(this->now + this->spec.latency, [this, id, incarnation]() {
      this->OnTargetCrash(id, incarnation);
    });
  }
  target.jobs.clear();
  target.incarnation = 0;
  this->Schedule(this->now + this->spec.restart_time, [this, number]() {
    this->targets[number].is_up = true;
    this->targets[number].incarnation = ++this->last_incarnation;
  });
}

/// Reports the record of the content to all nodes, or that there is none.
void QuarantineFleet::Report(int node, std::uint64_t content) {
  const RequestDigest digest = this->DigestOf(content);
  const QuarantineRecord* known =
      FindQuarantine(digest, this->nodes[node].table);
  const bool is_cleared =
      known == nullptr || known->crashed_incarnations.empty();
  const QuarantineRecord record = is_cleared ? QuarantineRecord() : *known;
  for (int other = 0; other < this->spec.nodes; ++other) {
    if (other == node) {
      continue;
    }
    this->Deliver(node, other, [this, other, digest, is_cleared, record]() {
      QuarantineTable& table = this->nodes[other].table;
      if (is_cleared) {
        RecordCompletedRun(this->rules, this->now, digest, table);
      } else {
        MergeQuarantine(this->rules, this->now, digest, record, table);
      }
    });
  }
}

void QuarantineFleet::EndTrial(Job& job) {
  if (!job.is_on_trial) {
    return;
  }
  job.is_on_trial = false;
  const RequestDigest digest = this->DigestOf(job.content);
  const int granter = this->TrialGranter(job.node);
  this->Deliver(job.node, granter, [this, digest, granter]() {
    control::EndTrial(digest, this->nodes[granter].registry);
  });
}

void QuarantineFleet::OnCompleted(int id) {
  Job& job = this->jobs[id];
  if (RecordCompletedRun(this->rules, this->now, this->DigestOf(job.content),
                         this->nodes[job.node].table)) {
    this->Report(job.node, job.content);
  }
  this->EndTrial(job);
  ++this->CountsOf(job.content).completed;
  this->jobs.erase(id);
}

void QuarantineFleet::OnTargetCrash(int id, std::uint64_t incarnation) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return;
  }
  Job& job = found->second;
  if (RecordTargetCrash(this->rules, this->now, this->DigestOf(job.content),
                        {incarnation, job.is_on_trial},
                        this->nodes[job.node].table)) {
    this->Report(job.node, job.content);
  }
  this->EndTrial(job);
  if (job.attempts >= this->spec.attempts) {
    ++this->CountsOf(job.content).lost;
    this->jobs.erase(found);
    return;
  }
  job.target = -1;
  this->Attempt(id);
}

int QuarantineFleet::LateRuns(std::uint64_t content, Millis after) {
  const std::vector<Millis>& all = this->runs[content];
  if (all.size() < 3) {
    return 0;
  }
  const Millis known = all[2] + this->spec.run_time + after;
  return static_cast<int>(std::count_if(
      all.begin(), all.end(), [known](Millis at) { return at > known; }));
}

}  // namespace almondlink::control::test
