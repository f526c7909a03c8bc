#ifndef ALMONDLINK_CONTROL_WORK_TABLE_H_
#define ALMONDLINK_CONTROL_WORK_TABLE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"

/// Table of the requests in progress at one target (their work), with the retry
/// grant of each.
///
/// The calls that a target makes for a request reach its node on other threads
/// than the one that dispatched the request. Each slot packs a generation and
/// the grant into one atomic word, so every update of a grant is a
/// compare-and-swap that applies only to the intended request: a late return of
/// retries after its end has no effect.
namespace almondlink::control {

/// Properties of a request that the calls made for it inherit.
struct WorkContext {
  RootId root;
  Millis deadline;
  Criticality criticality = Criticality::kNormal;
  std::uint32_t depth = 0;
};

/// Lock-free table of requests in progress. All methods are thread safe.
class WorkTable {
 public:
  /// `capacity` is rounded up to a power of two. `secret` is mixed into span
  /// ids to make them hard to guess.
  WorkTable(std::size_t capacity, std::uint64_t secret);

  /// Registers a request with its retry grant. Returns nothing if no free slot
  /// was found within a bounded number of probes.
  std::optional<SpanId> Begin(const WorkContext& context, std::uint32_t grant);

  /// Context of a request in progress; nothing if it has ended.
  std::optional<WorkContext> Find(SpanId span) const;

  /// Takes half of the grant, rounded down, to pass on with a call, and returns
  /// the number of retries taken; 0 if the request has ended.
  std::uint32_t Lend(SpanId span);

  /// Takes one retry from the grant; false if none is left or the request has
  /// ended.
  bool TakeRetry(SpanId span);

  /// Returns unspent retries to the grant; no effect if the request has ended.
  void GiveBack(SpanId span, std::uint32_t unspent);

  /// Records that a call with this hash failed, so that a repeat of it by the
  /// service is charged to the grant.
  void RecordFailure(SpanId span, std::uint64_t call_hash);

  /// Whether a call with this hash has failed before within the request. Once
  /// the list of failures is full, true for every call.
  bool IsRepeat(SpanId span, std::uint64_t call_hash) const;

  /// Records the pressure level with which a call of the request was refused;
  /// the highest is kept.
  void RecordDownstreamLevel(SpanId span, std::uint32_t level);

  /// Adds to the number of attempts made below this request.
  void AddAttempts(SpanId span, std::uint32_t attempts);

  /// Final state of a request.
  struct FinishedWork {
    std::uint32_t unspent_grant = 0;
    std::uint32_t downstream_level = 0;
    std::uint32_t attempts = 0;
    /// Whether a call made for the request failed.
    bool is_call_failed = false;
  };

  /// Removes the request and returns its final state; all zero if it has ended
  /// already.
  FinishedWork End(SpanId span);

  /// Number of requests in progress.
  std::size_t Size() const;

 private:
  static constexpr std::size_t kMaxFailures = 8;

  struct Slot {
    /// Generation in the high half, grant in the low half. The slot is free if
    /// the generation is even.
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
