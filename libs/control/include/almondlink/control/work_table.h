#ifndef ALMONDLINK_CONTROL_WORK_TABLE_H_
#define ALMONDLINK_CONTROL_WORK_TABLE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"

/// The work in progress at one target, and the retry grant that belongs to it.
///
/// A target's calls come back to its node on other threads than the one that
/// dispatched the work. Each slot packs generation and grant into one atomic
/// word, so taking and giving back are compare-and-swap loops on exactly the
/// work that was meant: a late return to a finished work changes nothing.
namespace almondlink::control {

/// What a call made within some work inherits from it.
struct WorkContext {
  RootId root;
  Millis deadline;
  Criticality criticality = Criticality::kNormal;
  std::uint32_t depth = 0;
};

/// Lock-free table of work. All methods are thread safe.
class WorkTable {
 public:
  /// `capacity` is rounded up to a power of two. `secret` makes span ids hard
  /// to guess.
  WorkTable(std::size_t capacity, std::uint64_t secret);

  /// Registers work with its grant. Nothing if the table is full.
  std::optional<SpanId> Begin(const WorkContext& context, std::uint32_t grant);

  /// The context of work in progress, or nothing if it has ended.
  std::optional<WorkContext> Find(SpanId span) const;

  /// Takes half of the grant, rounded down, to lend with a call.
  std::uint32_t Lend(SpanId span);

  /// Takes one retry; false if none is left or the work has ended.
  bool TakeRetry(SpanId span);

  /// Gives unspent retries back; no effect if the work has ended.
  void GiveBack(SpanId span, std::uint32_t unspent);

  /// Notes that a call with this hash failed, so that the service's own repeat
  /// of it is charged.
  void RecordFailure(SpanId span, std::uint64_t call_hash);

  /// Whether a call with this hash failed before within the work.
  bool IsRepeat(SpanId span, std::uint64_t call_hash) const;

  /// Notes the pressure level that a refused call of the work met.
  void RecordDownstreamLevel(SpanId span, std::uint32_t level);

  /// Adds to the attempts made below this work.
  void AddAttempts(SpanId span, std::uint32_t attempts);

  /// What is left at the end of work.
  struct FinishedWork {
    std::uint32_t unspent_grant = 0;
    std::uint32_t downstream_level = 0;
    std::uint32_t attempts = 0;
    /// A call of the work failed.
    bool is_call_failed = false;
  };

  /// Ends the work and returns what is left of it.
  FinishedWork End(SpanId span);

  /// Work in progress.
  std::size_t Size() const;

 private:
  static constexpr std::size_t kMaxFailures = 8;

  struct Slot {
    /// Generation in the high half, grant in the low half; an even generation
    /// is free.
    std::atomic<std::uint64_t> state{0};
    std::atomic<std::uint64_t> root_high{0};
    std::atomic<std::uint64_t> root_low{0};
    std::atomic<std::int64_t> deadline{0};
    std::atomic<std::uint32_t> criticality{0};
    std::atomic<std::uint32_t> depth{0};
    std::atomic<std::uint32_t> downstream_level{0};
    std::atomic<std::uint32_t> attempts{0};
    std::array<std::atomic<std::uint64_t>, kMaxFailures> failures{};
  };

  Slot* SlotOf(SpanId span, std::uint32_t& generation) const;
  SpanId SpanOf(std::size_t index, std::uint32_t generation) const;

  std::size_t mask;
  std::uint64_t secret;
  std::unique_ptr<Slot[]> slots;
  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> size{0};
};

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_WORK_TABLE_H_
