#include "almondlinkd/platform_thread.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "almondlink/base/event_log.h"

namespace almondlink::daemon {

namespace {

constexpr std::uint32_t kRecordsPerRead = 500;
/// Members are read often after the start, when others may be starting too, and
/// ever less often later: gossip carries single changes.
constexpr Millis kFirstMemberInterval{1000};
constexpr Millis kMemberInterval{30'000};
constexpr Millis kLongestAnnounceInterval{10 * 60 * 1000};
constexpr Millis kRetryInterval{1000};
constexpr std::int64_t kAnnouncesPerRetention = 4;
/// The bundle is appended again when its proof is between a third and a half of
/// retention old; the spread makes one node do it for all.
constexpr double kKeepFrom = 1.0 / 3;
constexpr double kKeepSpread = 1.0 / 6;
constexpr double kLeastJitter = 0.75;
constexpr double kJitterSpan = 0.5;

}  // namespace

Result<policy::FoldRules> MakeFoldRules(const config::Settings& settings,
                                        const policy::DeploymentKey& key) {
  policy::FoldRules rules;
  rules.deployment = settings.node.deployment;
  rules.signatures = static_cast<std::size_t>(settings.bundle.signatures);
  rules.deployment_key = key;
  for (const std::string& text : settings.bundle.operators) {
    BOOST_LEAF_AUTO(bytes, policy::FromHex(text));
    rules.operators.push_back(bytes);
  }
  return rules;
}

class PlatformThread::Impl {
 public:
  Impl(SharedState& shared,
       std::unique_ptr<record_log::Log> log,
       PlatformHooks hooks)
      : shared(shared),
        log(std::move(log)),
        hooks(std::move(hooks)),
        random(std::random_device()()) {
    this->rules = HandleFailure(
        [&]() { return MakeFoldRules(shared.settings, shared.key); },
        [](const Failure&) { return policy::FoldRules{}; });
  }

  ~Impl() { this->StopThread(); }

  void Start() {
    this->thread = std::thread([this]() { this->Run(); });
  }

  void AdoptFromPeer(const wire::StatePush& push) {
    if (push.bundle_offset == 0) {
      return;
    }
    std::vector<policy::LogRecord> proof;
    const std::size_t count =
        std::min(push.records.size(), push.offsets.size());
    for (std::size_t i = 0; i < count; ++i) {
      proof.push_back(policy::LogRecord{push.offsets[i], push.records[i]});
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    const bool is_changed = HandleFailure(
        [&]() {
          return policy::AdoptFromPeer(this->rules, this->fold,
                                       push.bundle_offset - 1, proof);
        },
        [](const Failure& failure) {
          LogEvent(kEventBundleRefused, {{"reason", failure.detail}});
          return false;
        });
    if (is_changed) {
      this->Publish("peer");
    }
  }

  bool Finish(Millis patience) {
    this->StopThread();
    const Millis until = MonotonicNow() + patience;
    while (MonotonicNow() < until) {
      if (this->AppendUsage(true)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  PlatformReport Report() const {
    const std::lock_guard<std::mutex> guard(this->mutex);
    PlatformReport report = this->report;
    report.bundle_next_offset = this->fold.next_offset;
    report.usage_sequence = this->usage_sequence;
    const std::size_t shown =
        std::min<std::size_t>(20, this->fold.history.size());
    report.history.assign(
        this->fold.history.end() - static_cast<std::ptrdiff_t>(shown),
        this->fold.history.end());
    return report;
  }

 private:
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  Millis Jittered(Millis interval) {
    const double factor = kLeastJitter + kJitterSpan * this->Draw();
    return Millis{static_cast<std::int64_t>(
        static_cast<double>(interval.count) * factor)};
  }

  void StopThread() {
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->is_stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  /// Sleeps until `time`; false when stopping.
  bool SleepUntil(Millis time) {
    std::unique_lock<std::mutex> lock(this->mutex);
    const Millis pause = std::max(Millis{0}, time - MonotonicNow());
    this->wake.wait_for(lock, std::chrono::milliseconds(pause.count),
                        [this]() { return this->is_stopping; });
    return !this->is_stopping;
  }

  void Run() {
    const RcuThread rcu;
    const config::Settings& settings = this->shared.settings;
    const Millis announce_interval =
        std::min(kLongestAnnounceInterval,
                 Millis{settings.log.retention.count / kAnnouncesPerRetention});
    Millis next_bundle{0};
    Millis next_members{0};
    Millis member_interval = kFirstMemberInterval;
    Millis next_announce{0};
    Millis next_usage =
        MonotonicNow() + this->Jittered(settings.metering.interval);
    this->ResetKeepTime(MonotonicNow());
    while (true) {
      if (MonotonicNow() >= next_bundle) {
        this->ReadBundles();
        this->KeepBundle();
        next_bundle =
            MonotonicNow() + this->Jittered(settings.log.poll_interval);
      }
      if (MonotonicNow() >= next_members) {
        const bool is_read = this->ReadMembers();
        if (is_read) {
          member_interval = std::min(kMemberInterval, member_interval * 2);
        }
        next_members =
            MonotonicNow() +
            this->Jittered(is_read ? member_interval : kRetryInterval);
      }
      if (MonotonicNow() >= next_announce) {
        const bool is_done = this->Announce();
        next_announce =
            MonotonicNow() +
            this->Jittered(is_done ? announce_interval : kRetryInterval);
      }
      if (MonotonicNow() >= next_usage) {
        this->AppendUsage(false);
        next_usage =
            MonotonicNow() + this->Jittered(settings.metering.interval);
      }
      const Millis next =
          std::min({next_bundle, next_members, next_announce, next_usage});
      if (!this->SleepUntil(next)) {
        return;
      }
    }
  }

  /// Counts a read and tells when the log goes and comes back.
  void NoteRead(bool is_read) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    ++this->report.reads;
    this->report.read_failures += is_read ? 0 : 1;
    if (is_read != this->report.is_log_up) {
      LogEvent(is_read ? kEventLogBack : kEventLogUnavailable);
    }
    this->report.is_log_up = is_read;
  }

  /// Reads one stream to its end; `apply` takes each page.
  template <typename Apply>
  bool ReadStream(const record_log::StreamName& stream,
                  std::uint64_t& next,
                  Apply apply) {
    bool is_at_end = false;
    while (!is_at_end) {
      const bool is_read = HandleFailure(
          [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(page,
                            this->log->Read(stream, next, kRecordsPerRead));
            apply(page);
            next = std::max(next, page.first_retained);
            if (!page.entries.empty()) {
              next = std::max(next, page.entries.back().offset + 1);
            }
            is_at_end = page.entries.empty() || next >= page.next_offset;
            return true;
          },
          [](const Failure&) { return false; });
      this->NoteRead(is_read);
      if (!is_read) {
        return false;
      }
    }
    return true;
  }

  void ReadBundles() {
    std::uint64_t next = 0;
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      next = this->fold.next_offset;
    }
    this->ReadStream(
        record_log::BundleStream(this->shared.settings.node.deployment), next,
        [this](const wire::LogPage& page) { this->ApplyBundles(page); });
  }

  void ApplyBundles(const wire::LogPage& page) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    policy::StartFold(this->fold, page.first_retained);
    bool is_changed = false;
    for (const wire::LogEntry& entry : page.entries) {
      is_changed |= policy::ApplyRecord(
          this->rules, this->fold, policy::LogRecord{entry.offset, entry.data});
      const bool is_proof =
          this->fold.in_force != nullptr &&
          HandleFailure(
              [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(
                    tag, wire::PeekTag(entry.data.data(), entry.data.size()));
                return tag == wire::Tag::kBundleSnapshot ||
                       tag == wire::Tag::kBundleRelease;
              },
              [](const Failure&) { return false; });
      if (is_proof && this->has_read_once) {
        this->ResetKeepTime(MonotonicNow());
      }
    }
    this->has_read_once = true;
    if (is_changed) {
      this->Publish("log");
    }
  }

  /// Puts the fold's bundle in force. Under the lock.
  void Publish(const char* source) {
    const std::shared_ptr<const policy::InForce> in_force = this->fold.in_force;
    this->shared.bundle.Replace(
        BuildBundleView(in_force, this->shared.bundle.Read()));
    LogEvent(kEventBundleInForce,
             {{"version", std::to_string(in_force->bundle->version)},
              {"offset", std::to_string(in_force->offset)},
              {"source", source}});
    this->hooks.on_bundle(in_force->offset + 1);
  }

  void ResetKeepTime(Millis now) {
    const double retention =
        static_cast<double>(this->shared.settings.log.retention.count);
    const double age = retention * (kKeepFrom + kKeepSpread * this->Draw());
    this->keep_at = now + Millis{static_cast<std::int64_t>(age)};
  }

  /// Appends the bundle in force again before retention drops its proof.
  void KeepBundle() {
    std::shared_ptr<const policy::InForce> in_force;
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      in_force = this->fold.in_force;
    }
    if (in_force == nullptr || MonotonicNow() < this->keep_at) {
      return;
    }
    const bool is_done = this->Append(
        record_log::BundleStream(this->shared.settings.node.deployment),
        wire::Encode(policy::MakeSnapshot(this->rules, *in_force)));
    if (is_done) {
      LogEvent(kEventBundleKept,
               {{"version", std::to_string(in_force->bundle->version)}});
      this->ResetKeepTime(MonotonicNow());
    }
  }

  bool ReadMembers() {
    std::vector<wire::Member> members;
    const bool is_read = this->ReadStream(
        record_log::MemberStream(this->shared.settings.node.deployment),
        this->members_next, [&members](const wire::LogPage& page) {
          for (const wire::LogEntry& entry : page.entries) {
            HandleFailure(
                [&]() -> Result<bool> {
                  BOOST_LEAF_AUTO(record,
                                  wire::DecodeMemberRecord(entry.data.data(),
                                                           entry.data.size()));
                  members.push_back(record.member);
                  return true;
                },
                [](const Failure&) { return false; });
          }
        });
    if (!members.empty()) {
      this->hooks.on_members(std::move(members));
    }
    return is_read;
  }

  bool Announce() {
    wire::MemberRecord record;
    record.member = this->hooks.self();
    return this->Append(
        record_log::MemberStream(this->shared.settings.node.deployment),
        wire::Encode(std::move(record)));
  }

  /// A lost answer is no matter: the next record holds these counts too.
  bool AppendUsage(bool is_final) {
    wire::UsageRecord record;
    record.node = this->shared.settings.node.id;
    record.incarnation = this->shared.incarnation.Value();
    record.time_ms = WallNow().count;
    record.is_final = is_final;
    record.cells = control::CellsOf(this->hooks.usage());
    if (record.cells.empty() && !is_final) {
      return true;
    }
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      record.sequence = ++this->usage_sequence;
    }
    return this->Append(
        record_log::UsageStream(this->shared.settings.node.deployment),
        wire::Encode(std::move(record)));
  }

  bool Append(const record_log::StreamName& stream,
              const std::vector<std::uint8_t>& record) {
    const bool is_done = HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(this->log->Append(stream, record));
          return true;
        },
        [](const Failure&) { return false; });
    const std::lock_guard<std::mutex> guard(this->mutex);
    ++this->report.appends;
    this->report.append_failures += is_done ? 0 : 1;
    return is_done;
  }

  SharedState& shared;
  const std::unique_ptr<record_log::Log> log;
  const PlatformHooks hooks;
  policy::FoldRules rules;
  std::mt19937_64 random;
  std::uint64_t members_next = 0;
  Millis keep_at;
  bool has_read_once = false;
  // Shared.
  mutable std::mutex mutex;
  std::condition_variable wake;
  bool is_stopping = false;
  policy::FoldState fold;
  PlatformReport report;
  std::uint64_t usage_sequence = 0;
  std::thread thread;
};

PlatformThread::PlatformThread(SharedState& shared,
                               std::unique_ptr<record_log::Log> log,
                               PlatformHooks hooks)
    : impl(std::make_unique<Impl>(shared, std::move(log), std::move(hooks))) {}

PlatformThread::~PlatformThread() = default;

void PlatformThread::Start() {
  this->impl->Start();
}

void PlatformThread::AdoptFromPeer(const wire::StatePush& push) {
  this->impl->AdoptFromPeer(push);
}

bool PlatformThread::Finish(Millis patience) {
  return this->impl->Finish(patience);
}

PlatformReport PlatformThread::Report() const {
  return this->impl->Report();
}

}  // namespace almondlink::daemon
