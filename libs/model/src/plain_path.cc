#include "plain_path.h"

#include <algorithm>
#include <utility>

namespace almondlink::model {

namespace {

constexpr int kAttemptsPerHop = 3;
constexpr double kBackoffMs = 50;
/// Queue of the fixed limit, in multiples of the slots.
constexpr int kQueueShare = 1;

/// Giving a call up stops only the waiting for it.
struct PlainHandle : CallHandle {
  explicit PlainHandle(std::shared_ptr<bool> over) : over(std::move(over)) {}
  void Cancel() override { *this->over = true; }
  std::shared_ptr<bool> over;
};

}  // namespace

struct PlainPath::Pending {
  CallSpec spec;
  CallDone done;
  std::shared_ptr<bool> is_over = std::make_shared<bool>(false);
  int attempts = 0;
  /// The attempt that is waited for; earlier ones are ignored.
  int current = 0;
};

PlainPath::PlainPath(World& world, bool has_limit)
    : world(world),
      has_limit(has_limit),
      next(world.by_service.size()),
      taken(world.instances.size()) {}

CallHandlePointer PlainPath::Call(const CallSpec& spec, CallDone done) {
  const auto pending = std::make_shared<Pending>();
  pending->spec = spec;
  pending->done = std::move(done);
  this->Attempt(pending);
  return std::make_shared<PlainHandle>(pending->is_over);
}

void PlainPath::Attempt(const std::shared_ptr<Pending>& pending) {
  const OperationInfo& info = this->world.operations[pending->spec.operation];
  const std::vector<std::size_t>& targets =
      this->world.by_service[info.service];
  const std::size_t target =
      targets[this->next[info.service]++ % targets.size()];
  const int attempt = ++pending->attempts;
  pending->current = attempt;
  ++pending->spec.root->calls;
  this->world.clock.After(
      this->world.Latency(pending->spec.entry, target),
      [this, pending, target]() { this->Arrive(pending, target); });
  this->world.clock.After(
      static_cast<double>(info.spec->timeout.count),
      [this, pending, attempt]() { this->Fail(pending, attempt); });
}

void PlainPath::Arrive(const std::shared_ptr<Pending>& pending,
                       std::size_t target) {
  const int attempt = pending->current;
  const double back = this->world.Latency(pending->spec.entry, target);
  const int slots =
      this->world.scenario.services[this->world.instances[target].service]
          .slots;
  const bool is_refused =
      this->has_limit && this->taken[target] >= slots * (1 + kQueueShare);
  const bool is_silent = this->world.HasFault(FaultKind::kSilentLinks, target);
  if (is_silent) {
    return;
  }
  if (is_refused) {
    this->world.clock.After(
        back, [this, pending, attempt]() { this->Fail(pending, attempt); });
    return;
  }
  ++this->taken[target];
  const auto work = std::make_shared<Work>();
  work->root = pending->spec.root;
  work->operation = pending->spec.operation;
  work->instance = target;
  work->depth = pending->spec.depth;
  work->deadline_ms = pending->spec.deadline_ms;
  work->done = [this, pending, attempt, back, target](bool is_whole) {
    --this->taken[target];
    this->world.clock.After(back, [this, pending, attempt, is_whole]() {
      if (!is_whole) {
        this->Fail(pending, attempt);
        return;
      }
      if (*pending->is_over) {
        return;
      }
      *pending->is_over = true;
      pending->done(CallResult{true});
    });
  };
  this->world.Submit(work);
}

void PlainPath::Fail(const std::shared_ptr<Pending>& pending, int attempt) {
  if (*pending->is_over || pending->current != attempt) {
    return;
  }
  if (pending->attempts >= kAttemptsPerHop) {
    *pending->is_over = true;
    pending->done(CallResult{false, ErrorKind::kTargetTimeout});
    return;
  }
  ++pending->current;
  this->world.clock.After(
      kBackoffMs * pending->attempts * (0.5 + this->world.Draw()),
      [this, pending]() {
        if (!*pending->is_over) {
          this->Attempt(pending);
        }
      });
}

}  // namespace almondlink::model
