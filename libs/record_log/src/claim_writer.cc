#include "almondlink/record_log/claim_writer.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/control/claims.h"

namespace almondlink::record_log {

namespace {

constexpr std::size_t kKeysPerBatch = 512;
constexpr std::size_t kMostWaiting = 20'000;
constexpr std::uint32_t kRecordsPerRead = 1000;
constexpr Millis kPauseAfterFailure{50};
/// Without a successful read for this long the log counts as down: who waits is
/// refused at once instead of at its deadline, and the log is tried again only
/// after a while.
constexpr Millis kDownAfter{300};
constexpr Millis kDownPause{500};

}  // namespace

class ClaimWriter::Impl {
 public:
  Impl(const ClaimWriterConfig& config, std::unique_ptr<Log> log)
      : config(config),
        log(std::move(log)),
        claim_life_ms(config.claim_life.count),
        thread([this]() { this->Run(); }) {}

  ~Impl() {
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->is_stopping = true;
    }
    this->wake.notify_all();
    this->thread.join();
    for (const ClaimRequest& request : this->waiting) {
      request.done(ClaimResult{});
    }
  }

  void Claim(ClaimRequest request) {
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      if (this->waiting.size() < kMostWaiting && !this->is_stopping) {
        this->waiting.push_back(std::move(request));
        this->wake.notify_one();
        return;
      }
    }
    request.done(ClaimResult{});
  }

  void SetInterval(Millis interval) { this->interval_ms.store(interval.count); }

  void SetClaimLife(Millis life) { this->claim_life_ms.store(life.count); }

  ClaimWriterStats Stats() const {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->stats;
  }

 private:
  void Run() {
    while (true) {
      std::vector<ClaimRequest> batch = this->WaitForBatch();
      if (this->IsStopping()) {
        Refuse(batch);
        return;
      }
      if (batch.empty()) {
        this->ReadOn();
      } else if (MonotonicNow() < this->down_until) {
        Refuse(batch);
      } else {
        this->Decide(std::move(batch));
      }
      control::ExpireClaims(MonotonicNow(), Millis{this->claim_life_ms.load()},
                            this->claims);
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->stats.known_keys = this->claims.by_key.size();
    }
  }

  std::vector<ClaimRequest> WaitForBatch() {
    std::unique_lock<std::mutex> lock(this->mutex);
    // The first read is not put off: claims need the fold from the start.
    const Millis pause = this->has_read ? this->config.idle_read : Millis{0};
    this->wake.wait_for(lock, std::chrono::milliseconds(pause.count), [this]() {
      return this->is_stopping || !this->waiting.empty();
    });
    const Millis next = this->last_append + Millis{this->interval_ms.load()};
    const Millis early = next - MonotonicNow();
    if (!this->waiting.empty() && early > Millis{0}) {
      this->wake.wait_for(lock, std::chrono::milliseconds(early.count),
                          [this]() { return this->is_stopping; });
    }
    std::vector<ClaimRequest> batch;
    while (!this->waiting.empty() && batch.size() < kKeysPerBatch) {
      batch.push_back(std::move(this->waiting.front()));
      this->waiting.pop_front();
    }
    return batch;
  }

  bool IsStopping() const {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->is_stopping;
  }

  static void Refuse(const std::vector<ClaimRequest>& batch) {
    for (const ClaimRequest& request : batch) {
      request.done(ClaimResult{});
    }
  }

  /// Decides a batch: reads on, answers what is known, appends the rest and
  /// reads back until the record is seen.
  void Decide(std::vector<ClaimRequest> batch) {
    if (!this->has_read) {
      this->ReadOn();
    }
    this->AnswerKnown(batch);
    this->AnswerLate(batch);
    if (batch.empty()) {
      return;
    }
    wire::ClaimBatch record;
    record.record_id = this->NextRecordId();
    record.node = this->config.node.Value();
    record.incarnation = this->config.incarnation.Value();
    for (const ClaimRequest& request : batch) {
      record.keys.push_back(request.key.Value());
    }
    const std::vector<std::uint8_t> bytes = wire::Encode(std::move(record));
    const std::string record_id = this->LastRecordId();
    while (!batch.empty() && !this->IsStopping()) {
      this->AppendOnce(bytes);
      // Whether the append reported success or not, the stream tells.
      const bool is_read = this->ReadOn();
      if (control::HasRecord(record_id, this->claims)) {
        this->AnswerKnown(batch);
        break;
      }
      const Millis now = MonotonicNow();
      if (!is_read && now - this->last_read > kDownAfter) {
        this->down_until = now + kDownPause;
        break;
      }
      this->AnswerLate(batch);
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kPauseAfterFailure.count));
    }
    Refuse(batch);
  }

  std::string NextRecordId() {
    ++this->sequence;
    return this->LastRecordId();
  }

  std::string LastRecordId() const {
    return this->config.node.Value() + "/" +
           std::to_string(this->config.incarnation.Value()) + "/" +
           std::to_string(this->sequence);
  }

  void AppendOnce(const std::vector<std::uint8_t>& bytes) {
    this->last_append = MonotonicNow();
    const bool is_done = HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(this->log->Append(this->config.stream, bytes));
          return true;
        },
        [](const Failure&) { return false; });
    const std::lock_guard<std::mutex> guard(this->mutex);
    ++this->stats.appends;
    this->stats.append_failures += is_done ? 0 : 1;
  }

  /// Applies everything up to the end of the stream. A failure leaves the fold
  /// where it was.
  bool ReadOn() {
    bool is_at_end = false;
    while (!is_at_end) {
      const bool is_read = HandleFailure(
          [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(page, this->log->Read(this->config.stream,
                                                  this->claims.next_offset,
                                                  kRecordsPerRead));
            this->ApplyPage(page);
            is_at_end = this->claims.next_offset >= page.next_offset;
            return true;
          },
          [](const Failure&) { return false; });
      const std::lock_guard<std::mutex> guard(this->mutex);
      ++this->stats.reads;
      if (!is_read) {
        ++this->stats.read_failures;
        return false;
      }
    }
    this->has_read = true;
    this->last_read = MonotonicNow();
    return true;
  }

  void ApplyPage(const wire::LogPage& page) {
    const bool had_gap = this->claims.has_gap;
    control::SkipToRetained(page.first_retained, WallNow(), this->claims);
    if (this->claims.has_gap && !had_gap) {
      LogEvent(kEventClaimGap,
               {{"stream", this->config.stream.Value()},
                {"first_retained", std::to_string(page.first_retained)}});
    }
    for (const wire::LogEntry& entry : page.entries) {
      this->ApplyEntry(entry);
    }
  }

  void ApplyEntry(const wire::LogEntry& entry) {
    const bool is_applied = HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(batch, wire::DecodeClaimBatch(entry.data.data(),
                                                        entry.data.size()));
          control::ApplyClaims(entry.offset, batch, MonotonicNow(),
                               this->claims);
          return true;
        },
        [](const Failure&) { return false; });
    if (!is_applied) {
      LogEvent(kEventRecordRefused, {{"stream", this->config.stream.Value()},
                                     {"offset", std::to_string(entry.offset)}});
      this->claims.next_offset =
          std::max(this->claims.next_offset, entry.offset + 1);
    }
  }

  /// Answers and removes the requests whose key has a claim, if the fold is
  /// complete for their time.
  void AnswerKnown(std::vector<ClaimRequest>& batch) {
    std::vector<ClaimRequest> rest;
    for (ClaimRequest& request : batch) {
      const control::Claim* claim =
          control::FindClaim(request.key.Value(), this->claims);
      if (claim == nullptr) {
        rest.push_back(std::move(request));
        continue;
      }
      request.done(this->ResultOf(*claim, request));
    }
    batch = std::move(rest);
  }

  ClaimResult ResultOf(const control::Claim& claim,
                       const ClaimRequest& request) {
    ClaimResult result;
    result.holder = claim.node;
    result.holder_incarnation = claim.incarnation;
    const bool is_own = claim.node == this->config.node &&
                        claim.incarnation == this->config.incarnation;
    if (!is_own) {
      result.outcome = ClaimOutcome::kLost;
    } else if (control::CanDecide(request.made, this->claims)) {
      result.outcome = ClaimOutcome::kWon;
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    ++this->stats.claims;
    return result;
  }

  /// Refuses and removes the requests whose deadline has passed, or whose time
  /// the fold has not seen.
  void AnswerLate(std::vector<ClaimRequest>& batch) {
    const Millis now = MonotonicNow();
    std::vector<ClaimRequest> rest;
    for (ClaimRequest& request : batch) {
      const bool is_useless = now >= request.deadline || !this->has_read ||
                              !control::CanDecide(request.made, this->claims);
      if (is_useless) {
        request.done(ClaimResult{});
      } else {
        rest.push_back(std::move(request));
      }
    }
    batch = std::move(rest);
  }

  const ClaimWriterConfig config;
  const std::unique_ptr<Log> log;
  // The thread's own.
  control::Claims claims;
  std::uint64_t sequence = 0;
  Millis last_read;
  Millis last_append;
  std::atomic<std::int64_t> interval_ms{0};
  std::atomic<std::int64_t> claim_life_ms;
  Millis down_until;
  std::atomic<bool> has_read{false};
  // Shared.
  mutable std::mutex mutex;
  std::condition_variable wake;
  std::deque<ClaimRequest> waiting;
  bool is_stopping = false;
  ClaimWriterStats stats;
  // Last, so that everything else is there when it starts.
  std::thread thread;
};

ClaimWriter::ClaimWriter(const ClaimWriterConfig& config,
                         std::unique_ptr<Log> log)
    : impl(std::make_unique<Impl>(config, std::move(log))) {}

ClaimWriter::~ClaimWriter() = default;

void ClaimWriter::Claim(ClaimRequest request) {
  this->impl->Claim(std::move(request));
}

void ClaimWriter::SetInterval(Millis interval) {
  this->impl->SetInterval(interval);
}

void ClaimWriter::SetClaimLife(Millis life) {
  this->impl->SetClaimLife(life);
}

ClaimWriterStats ClaimWriter::Stats() const {
  return this->impl->Stats();
}

}  // namespace almondlink::record_log
