#include "almondlink/control/work_table.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr std::uint32_t kGenerationShift = 32;
constexpr std::uint64_t kGrantMask = 0xffffffffULL;
constexpr std::size_t kMaxProbes = 64;

std::uint32_t GenerationOf(std::uint64_t word) {
  return static_cast<std::uint32_t>(word >> kGenerationShift);
}

std::uint32_t GrantOf(std::uint64_t word) {
  return static_cast<std::uint32_t>(word & kGrantMask);
}

std::uint64_t PackState(std::uint32_t generation, std::uint32_t grant) {
  return (static_cast<std::uint64_t>(generation) << kGenerationShift) | grant;
}

bool IsInUse(std::uint32_t generation) {
  return (generation & 1U) != 0;
}

std::size_t RoundUpToPowerOfTwo(std::size_t min_size) {
  std::size_t size = 1;
  while (size < min_size) {
    size *= 2;
  }
  return size;
}

}  // namespace

WorkTable::WorkTable(std::size_t capacity, std::uint64_t secret)
    : mask(RoundUpToPowerOfTwo(capacity) - 1),
      secret(secret),
      slots(std::make_unique<Slot[]>(RoundUpToPowerOfTwo(capacity))) {}

SpanId WorkTable::SpanOf(std::size_t index, std::uint32_t generation) const {
  const std::uint64_t plain =
      (static_cast<std::uint64_t>(generation) << kGenerationShift) | index;
  return SpanId(plain ^ this->secret);
}

WorkTable::Slot* WorkTable::SlotOf(SpanId span,
                                   std::uint32_t& generation) const {
  const std::uint64_t plain = span.Value() ^ this->secret;
  const std::size_t index = static_cast<std::size_t>(plain & kGrantMask);
  generation = static_cast<std::uint32_t>(plain >> kGenerationShift);
  const bool is_possible = index <= this->mask && IsInUse(generation);
  return is_possible ? &this->slots[index] : nullptr;
}

std::optional<SpanId> WorkTable::Begin(const WorkContext& context,
                                       std::uint32_t grant) {
  const std::size_t start = this->next.fetch_add(1, std::memory_order_relaxed);
  const std::size_t probes = std::min(kMaxProbes, this->mask + 1);
  for (std::size_t i = 0; i < probes; ++i) {
    const std::size_t index = (start + i) & this->mask;
    Slot& slot = this->slots[index];
    std::uint64_t word = slot.state.load(std::memory_order_acquire);
    const std::uint32_t generation = GenerationOf(word);
    // The fields are written before the odd generation is published. Until
    // then, a grant of 1 in the even generation marks the slot as reserved for
    // this writer.
    if (IsInUse(generation) || GrantOf(word) != 0) {
      continue;
    }
    if (!slot.state.compare_exchange_strong(word, PackState(generation, 1),
                                            std::memory_order_acq_rel)) {
      continue;
    }
    slot.root_high.store(context.root.high, std::memory_order_relaxed);
    slot.root_low.store(context.root.low, std::memory_order_relaxed);
    slot.deadline.store(context.deadline.count, std::memory_order_relaxed);
    slot.criticality.store(static_cast<std::uint32_t>(context.criticality),
                           std::memory_order_relaxed);
    slot.depth.store(context.depth, std::memory_order_relaxed);
    slot.downstream_level.store(0, std::memory_order_relaxed);
    slot.attempts.store(0, std::memory_order_relaxed);
    for (std::atomic<std::uint64_t>& failure : slot.failures) {
      failure.store(0, std::memory_order_relaxed);
    }
    slot.state.store(PackState(generation + 1, grant),
                     std::memory_order_release);
    this->size.fetch_add(1, std::memory_order_relaxed);
    return this->SpanOf(index, generation + 1);
  }
  return std::nullopt;
}

std::optional<WorkContext> WorkTable::Find(SpanId span) const {
  std::uint32_t generation = 0;
  const Slot* slot = this->SlotOf(span, generation);
  if (slot == nullptr ||
      GenerationOf(slot->state.load(std::memory_order_acquire)) != generation) {
    return std::nullopt;
  }
  WorkContext context;
  context.root.high = slot->root_high.load(std::memory_order_relaxed);
  context.root.low = slot->root_low.load(std::memory_order_relaxed);
  context.deadline = Millis{slot->deadline.load(std::memory_order_relaxed)};
  context.criticality = static_cast<Criticality>(
      slot->criticality.load(std::memory_order_relaxed));
  context.depth = slot->depth.load(std::memory_order_relaxed);
  std::atomic_thread_fence(std::memory_order_acquire);
  // The slot may have been reused while it was read.
  if (GenerationOf(slot->state.load(std::memory_order_relaxed)) != generation) {
    return std::nullopt;
  }
  return context;
}

std::uint32_t WorkTable::Lend(SpanId span) {
  std::uint32_t generation = 0;
  Slot* slot = this->SlotOf(span, generation);
  if (slot == nullptr) {
    return 0;
  }
  std::uint64_t word = slot->state.load(std::memory_order_acquire);
  while (GenerationOf(word) == generation) {
    const std::uint32_t lent = GrantOf(word) / 2;
    if (lent == 0) {
      return 0;
    }
    if (slot->state.compare_exchange_weak(
            word, PackState(generation, GrantOf(word) - lent),
            std::memory_order_acq_rel)) {
      return lent;
    }
  }
  return 0;
}

bool WorkTable::TakeRetry(SpanId span) {
  std::uint32_t generation = 0;
  Slot* slot = this->SlotOf(span, generation);
  if (slot == nullptr) {
    return false;
  }
  std::uint64_t word = slot->state.load(std::memory_order_acquire);
  while (GenerationOf(word) == generation && GrantOf(word) > 0) {
    if (slot->state.compare_exchange_weak(
            word, PackState(generation, GrantOf(word) - 1),
            std::memory_order_acq_rel)) {
      return true;
    }
  }
  return false;
}

void WorkTable::GiveBack(SpanId span, std::uint32_t unspent) {
  std::uint32_t generation = 0;
  Slot* slot = this->SlotOf(span, generation);
  if (slot == nullptr || unspent == 0) {
    return;
  }
  std::uint64_t word = slot->state.load(std::memory_order_acquire);
  while (GenerationOf(word) == generation) {
    if (slot->state.compare_exchange_weak(
            word, PackState(generation, GrantOf(word) + unspent),
            std::memory_order_acq_rel)) {
      return;
    }
  }
}

void WorkTable::RecordFailure(SpanId span, std::uint64_t call_hash) {
  std::uint32_t generation = 0;
  Slot* slot = this->SlotOf(span, generation);
  if (slot == nullptr || !this->Find(span).has_value()) {
    return;
  }
  for (std::atomic<std::uint64_t>& failure : slot->failures) {
    std::uint64_t expected = 0;
    const bool is_stored = failure.compare_exchange_strong(expected, call_hash);
    if (is_stored || expected == call_hash) {
      return;
    }
  }
}

bool WorkTable::IsRepeat(SpanId span, std::uint64_t call_hash) const {
  std::uint32_t generation = 0;
  const Slot* slot = this->SlotOf(span, generation);
  if (slot == nullptr || !this->Find(span).has_value()) {
    return false;
  }
  for (const std::atomic<std::uint64_t>& failure : slot->failures) {
    if (failure.load() == call_hash) {
      return true;
    }
  }
  // Once the list is full, every further call counts as a repeat, which errs
  // towards fewer retries.
  return slot->failures.back().load() != 0;
}

void WorkTable::RecordDownstreamLevel(SpanId span, std::uint32_t level) {
  std::uint32_t generation = 0;
  Slot* slot = this->SlotOf(span, generation);
  if (slot == nullptr || !this->Find(span).has_value()) {
    return;
  }
  std::uint32_t known = slot->downstream_level.load();
  while (known < level &&
         !slot->downstream_level.compare_exchange_weak(known, level)) {
  }
}

void WorkTable::AddAttempts(SpanId span, std::uint32_t attempts) {
  std::uint32_t generation = 0;
  Slot* slot = this->SlotOf(span, generation);
  if (slot != nullptr && this->Find(span).has_value()) {
    slot->attempts.fetch_add(attempts, std::memory_order_relaxed);
  }
}

WorkTable::FinishedWork WorkTable::End(SpanId span) {
  std::uint32_t generation = 0;
  Slot* slot = this->SlotOf(span, generation);
  FinishedWork ended;
  if (slot == nullptr) {
    return ended;
  }
  std::uint64_t word = slot->state.load(std::memory_order_acquire);
  while (GenerationOf(word) == generation) {
    ended.downstream_level = slot->downstream_level.load();
    ended.attempts = slot->attempts.load();
    ended.is_call_failed = slot->failures.front().load() != 0;
    if (slot->state.compare_exchange_weak(word, PackState(generation + 1, 0),
                                          std::memory_order_acq_rel)) {
      ended.unspent_grant = GrantOf(word);
      this->size.fetch_sub(1, std::memory_order_relaxed);
      return ended;
    }
  }
  return FinishedWork{};
}

std::size_t WorkTable::Size() const {
  return this->size.load(std::memory_order_relaxed);
}

}  // namespace almondlink::control
