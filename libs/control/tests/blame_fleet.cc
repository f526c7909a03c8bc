#include "libs/control/tests/blame_fleet.h"

#include <algorithm>
#include <string>

namespace almondlink::control::test {

namespace {

constexpr Millis kAskAgain{50};
constexpr Millis kTrialLease{5500};
constexpr const char* kService = "service";

}  // namespace

BlameFleet::BlameFleet(const FleetSpec& spec_in)
    : spec(spec_in),
      random(spec_in.seed),
      nodes(static_cast<std::size_t>(spec_in.nodes)),
      targets(static_cast<std::size_t>(spec_in.targets)) {
  for (Target& target : this->targets) {
    target.start = ++this->last_start;
  }
}

void BlameFleet::At(Millis at, std::function<void()> what) {
  this->events.emplace(at.count, std::move(what));
}

/// Carries a message, if both ends are in touch when it arrives.
void BlameFleet::Between(int from, int to, const std::function<void()>& what) {
  if (from == to) {
    what();
    return;
  }
  this->At(this->now + this->spec.hop, [this, from, to, what]() {
    if (!this->nodes[from].is_cut && !this->nodes[to].is_cut) {
      what();
    }
  });
}

FleetCounts& BlameFleet::CountsOf(std::uint64_t content) {
  return content < kFirstInnocent ? this->deadly : this->innocent;
}

void BlameFleet::Send(Millis at, int node, std::uint64_t content) {
  this->At(at, [this, node, content]() {
    const int id = ++this->last_job;
    Job job;
    job.content = content;
    job.node = node;
    this->jobs[id] = job;
    ++this->CountsOf(content).sent;
    this->Attempt(id);
  });
}

void BlameFleet::EndTarget(Millis at, int target) {
  this->At(at, [this, target]() { this->EndNow(target); });
}

void BlameFleet::CutOff(Millis at, int node, Millis span) {
  this->At(at, [this, node]() { this->nodes[node].is_cut = true; });
  this->At(at + span, [this, node]() {
    this->nodes[node].is_cut = false;
    // Links are greeted anew: each side tells what it holds.
    for (int other = 0; other < this->spec.nodes; ++other) {
      for (const auto& [digest, record] : this->nodes[node].table.records) {
        this->Tell(node, digest.high);
      }
      const BlameTable table = this->nodes[other].table;
      for (const auto& [digest, record] : table.records) {
        MergeBlame(this->rules, this->now, digest, record,
                   this->nodes[node].table);
      }
    }
  });
}

void BlameFleet::Restart(Millis at, int node) {
  this->At(at, [this, node]() {
    this->nodes[node].table = BlameTable();
    this->nodes[node].book = TrialBook();
  });
  this->At(at + this->spec.hop, [this, node]() {
    for (int other = 0; other < this->spec.nodes; ++other) {
      if (other == node || this->nodes[other].is_cut) {
        continue;
      }
      for (const auto& [digest, record] : this->nodes[other].table.records) {
        if (IsSuspect(this->rules, record)) {
          MergeBlame(this->rules, this->now, digest, record,
                     this->nodes[node].table);
        }
      }
    }
  });
}

void BlameFleet::RunUntil(Millis end) {
  while (!this->events.empty() && this->events.begin()->first <= end.count) {
    const auto first = this->events.begin();
    this->now = Millis{first->first};
    const std::function<void()> what = std::move(first->second);
    this->events.erase(first);
    what();
  }
}

/// Node 0 permits trials; a node that is cut off permits its own.
int BlameFleet::Keeper(int node) const {
  return this->nodes[node].is_cut || this->nodes[0].is_cut ? node : 0;
}

int BlameFleet::ChooseTarget(int node, int except) {
  std::vector<int> open;
  for (int target = 0; target < this->spec.targets; ++target) {
    const bool is_reached = target == node || (!this->nodes[node].is_cut &&
                                               !this->nodes[target].is_cut);
    if (this->targets[target].is_up && target != except && is_reached) {
      open.push_back(target);
    }
  }
  return open.empty() ? -1 : open[this->random() % open.size()];
}

void BlameFleet::Attempt(int id) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return;
  }
  Job& job = found->second;
  const BlameVerdict verdict =
      Judge(this->rules, this->now, this->DigestOf(job.content),
            this->nodes[job.node].table);
  if (verdict.step != BlameStep::kGo) {
    if (job.held_until == Millis{0}) {
      job.held_until = this->now + this->spec.patience;
    }
    if (verdict.step == BlameStep::kRefuse || this->now >= job.held_until) {
      const bool has_target = verdict.step == BlameStep::kRefuse ||
                              this->ChooseTarget(job.node, -1) >= 0;
      // Without a target no request is served, whatever is known of it.
      ++(has_target ? this->CountsOf(job.content).refused
                    : this->CountsOf(job.content).turned_away);
      this->jobs.erase(found);
      return;
    }
    this->Ask(id);
    this->At(this->now + kAskAgain, [this, id]() {
      const auto waiting = this->jobs.find(id);
      if (waiting != this->jobs.end() && waiting->second.target < 0) {
        this->Attempt(id);
      }
    });
    return;
  }
  const int target = this->ChooseTarget(job.node, job.target);
  if (target < 0) {
    ++this->CountsOf(job.content).turned_away;
    this->jobs.erase(found);
    return;
  }
  this->Dispatch(id, target);
}

void BlameFleet::Ask(int id) {
  const Job job = this->jobs[id];
  const int keeper = this->Keeper(job.node);
  this->Between(job.node, keeper, [this, id, job, keeper]() {
    Node& node = this->nodes[keeper];
    const RequestDigest digest = this->DigestOf(job.content);
    if (Judge(this->rules, this->now, digest, node.table).step ==
        BlameStep::kRefuse) {
      return;
    }
    std::vector<TrialPlace> places;
    for (int target = 0; target < this->spec.targets; ++target) {
      if (this->targets[target].is_up) {
        places.push_back(
            {std::to_string(target),
             static_cast<std::uint32_t>(this->targets[target].jobs.size())});
      }
    }
    const std::optional<std::string> place =
        PermitTrial(this->now, digest, kService, places,
                    this->now + kTrialLease, node.book);
    if (!place.has_value()) {
      return;
    }
    this->Between(keeper, job.node, [this, id, place, digest, keeper]() {
      const auto found = this->jobs.find(id);
      if (found == this->jobs.end() || found->second.target >= 0) {
        control::EndTrial(digest, this->nodes[keeper].book);
        return;
      }
      found->second.is_on_trial = true;
      this->Dispatch(id, std::stoi(*place));
    });
  });
}

void BlameFleet::Dispatch(int id, int target) {
  Job& job = this->jobs[id];
  job.target = target;
  ++job.attempts;
  this->At(this->now + this->spec.hop, [this, id, target]() {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
      return;
    }
    if (!this->targets[target].is_up) {
      // Turned back before the target.
      this->EndTrial(found->second);
      found->second.target = -1;
      --found->second.attempts;
      this->Attempt(id);
      return;
    }
    this->targets[target].jobs.insert(id);
    const std::uint64_t content = found->second.content;
    const std::uint64_t start = this->targets[target].start;
    if (content < kFirstInnocent) {
      this->runs[content].push_back(this->now);
    }
    this->At(this->now + this->spec.work, [this, id, target, content, start]() {
      if (this->targets[target].start != start ||
          this->targets[target].jobs.count(id) == 0) {
        return;
      }
      if (content < kFirstInnocent) {
        this->EndNow(target);
        return;
      }
      this->targets[target].jobs.erase(id);
      this->At(this->now + this->spec.hop, [this, id]() { this->OnWhole(id); });
    });
  });
}

void BlameFleet::EndNow(int number) {
  Target& target = this->targets[number];
  if (!target.is_up) {
    return;
  }
  ++this->ends;
  target.is_up = false;
  const std::uint64_t start = target.start;
  for (const int id : target.jobs) {
    this->At(this->now + this->spec.hop,
             [this, id, start]() { this->OnTargetEnd(id, start); });
  }
  target.jobs.clear();
  target.start = 0;
  this->At(this->now + this->spec.back, [this, number]() {
    this->targets[number].is_up = true;
    this->targets[number].start = ++this->last_start;
  });
}

/// Tells all what the node knows of the content, or that it knows nothing.
void BlameFleet::Tell(int node, std::uint64_t content) {
  const RequestDigest digest = this->DigestOf(content);
  const BlameRecord* known = FindBlame(digest, this->nodes[node].table);
  const bool is_whole = known == nullptr || known->starts.empty();
  const BlameRecord record = is_whole ? BlameRecord() : *known;
  for (int other = 0; other < this->spec.nodes; ++other) {
    if (other == node) {
      continue;
    }
    this->Between(node, other, [this, other, digest, is_whole, record]() {
      BlameTable& table = this->nodes[other].table;
      if (is_whole) {
        NoteWholeRun(this->rules, this->now, digest, table);
      } else {
        MergeBlame(this->rules, this->now, digest, record, table);
      }
    });
  }
}

void BlameFleet::EndTrial(Job& job) {
  if (!job.is_on_trial) {
    return;
  }
  job.is_on_trial = false;
  const RequestDigest digest = this->DigestOf(job.content);
  const int keeper = this->Keeper(job.node);
  this->Between(job.node, keeper, [this, digest, keeper]() {
    control::EndTrial(digest, this->nodes[keeper].book);
  });
}

void BlameFleet::OnWhole(int id) {
  Job& job = this->jobs[id];
  if (NoteWholeRun(this->rules, this->now, this->DigestOf(job.content),
                   this->nodes[job.node].table)) {
    this->Tell(job.node, job.content);
  }
  this->EndTrial(job);
  ++this->CountsOf(job.content).whole;
  this->jobs.erase(id);
}

void BlameFleet::OnTargetEnd(int id, std::uint64_t start) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return;
  }
  Job& job = found->second;
  if (NoteTargetEnd(this->rules, this->now, this->DigestOf(job.content),
                    {start, job.is_on_trial}, this->nodes[job.node].table)) {
    this->Tell(job.node, job.content);
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

int BlameFleet::LateRuns(std::uint64_t content, Millis after) {
  const std::vector<Millis>& all = this->runs[content];
  if (all.size() < 3) {
    return 0;
  }
  const Millis known = all[2] + this->spec.work + after;
  return static_cast<int>(std::count_if(
      all.begin(), all.end(), [known](Millis at) { return at > known; }));
}

}  // namespace almondlink::control::test
