#ifndef ALMONDLINK_CONTROL_QUARANTINE_H_
#define ALMONDLINK_CONTROL_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/request_digest.h"

/// Which requests were under way when targets ended, and what may be done with
/// them.
///
/// A target that ends takes all requests with it that it was running, and at
/// most one of them did it. What tells them apart is repetition over different
/// starts of targets, without any run that ended whole. So what is kept of a
/// request is the starts that ended under it; nothing is kept of requests that
/// no target ended under, and nothing is computed for them.
///
/// After one end a request goes on as any other: most ends are nobody's fault,
/// and all that ran there is served elsewhere. After a second it runs only as a
/// *trial*: one at a time in the whole deployment, at a target where no other
/// trial runs (almondlink/control/trial_registry.h). A whole run clears it, and
/// with it everybody who sends the same; the innocent that share two ends with
/// the guilty one are told apart by that within one run. A target that ends
/// under a trial proves the request guilty: nothing else that ran there is held
/// as well. It is then refused, and tried once more after a pause, for its
/// targets may have been mended.
///
/// All nodes keep the same records by telling each other of ends and of whole
/// runs. Only ends that are certain count: the process is gone, though it had
/// not said that it leaves. While a request's whole runs are fresh no end is
/// laid to it: a popular one runs wherever something ends, and what ends
/// targets has no whole runs.
namespace almondlink::control {

/// Starts of targets remembered for one request: as many as decisions tell
/// apart, and some for those that end before the news of it.
constexpr std::size_t kMaxCrashedIncarnations = 8;

/// What is known of one request.
struct QuarantineRecord {
  /// Hashes of the starts of targets that ended under it, each once; the first
  /// few of them.
  std::vector<std::uint64_t> crashed_incarnations;
  /// Those that ended while it was on trial.
  std::uint32_t failed_trials = 0;
  Millis first_crash;
  /// The last end that it was under way at, laid to it or not.
  Millis last_crash;
  /// When a target last lived through a run of it; 0: none did.
  Millis completed_at;
};

struct QuarantineRules {
  /// Most requests that are remembered.
  std::size_t max_records = 1024;
  /// A request under which one target ended is forgotten after this time, one
  /// with more ends after as much more.
  Millis retention{600'000};
  /// Starts that ended under a request, from which on it runs on trial only.
  /// One end is mostly nobody's fault; each further one costs all that ran
  /// there.
  std::size_t crashes_until_trial = 2;
  /// Time from a trial that ended its target to the next one.
  Millis trial_pause{60'000};
  /// Trials that may end their target; then the request is refused until it is
  /// forgotten or lifted. Two leave room for one send that the news has not
  /// reached, where three in all are allowed.
  std::uint32_t max_failed_trials = 2;
  /// How long such a request is remembered.
  Millis confirmed_retention{86'400'000};
  /// How long a whole run speaks for a request: longer than a service takes to
  /// lose its targets one after the other.
  Millis completed_run_validity{5000};
  /// A whole run is told again after this.
  Millis completed_run_interval{1000};
  /// What speaks for a request is of use while targets end; so long after the
  /// last one it is forgotten, and digests of that path are needed no more.
  Millis cleared_retention{10'000};
};

/// Plain data; one thread at a time.
struct QuarantineTable {
  std::map<RequestDigest, QuarantineRecord> records;
};

/// A start of a target ended.
struct TargetCrash {
  /// Hash of the start.
  std::uint64_t incarnation = 0;
  /// The request was on trial there.
  bool is_on_trial = false;
};

/// What may be done with a request.
enum class QuarantineAction {
  /// As with any other.
  kAllow,
  /// It may run on trial.
  kTrial,
  /// Not now.
  kRefuse,
};

struct QuarantineDecision {
  QuarantineAction action = QuarantineAction::kAllow;
  /// Until it may be tried again.
  Millis wait;
};

/// The request was under way where a target ended. True if that start is new to
/// its record. Where the table is full the record with the fewest ends, of
/// these the oldest, makes room.
bool RecordTargetCrash(const QuarantineRules& rules,
                       Millis now,
                       const RequestDigest& digest,
                       const TargetCrash& end,
                       QuarantineTable& table);

/// A target lived through a run of the request: what was known of it is
/// forgotten. True if others should be told.
bool RecordCompletedRun(const QuarantineRules& rules,
                        Millis now,
                        const RequestDigest& digest,
                        QuarantineTable& table);

/// Takes what another node knows of the request.
void MergeQuarantine(const QuarantineRules& rules,
                     Millis now,
                     const RequestDigest& digest,
                     const QuarantineRecord& reported,
                     QuarantineTable& table);

QuarantineDecision DecideQuarantine(const QuarantineRules& rules,
                                    Millis now,
                                    const RequestDigest& digest,
                                    const QuarantineTable& table);

/// Forgets what is too old; call every now and then.
void ExpireQuarantine(const QuarantineRules& rules,
                      Millis now,
                      QuarantineTable& table);

/// What is known of the request; null if nothing is.
const QuarantineRecord* FindQuarantine(const RequestDigest& digest,
                                       const QuarantineTable& table);

/// Whether anything is known of a request with this path.
bool HasRecordForPath(std::uint64_t path, const QuarantineTable& table);

/// Whether the request is held to trials, or refused.
bool IsQuarantined(const QuarantineRules& rules,
                   const QuarantineRecord& record);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_QUARANTINE_H_
