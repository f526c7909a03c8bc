#ifndef ALMONDLINK_CONTROL_QUARANTINE_H_
#define ALMONDLINK_CONTROL_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/request_digest.h"

/// Detects queries of death: requests that crash the targets that run them, and
/// quarantines them.
///
/// A target that crashes takes down every request that it was running, and at
/// most one of them caused the crash. Which one shows only by repetition: the
/// cause is running again when other incarnations of targets crash, and it
/// never completes. So a record holds the incarnations that crashed while the
/// request was running. Requests that were running in no crash have no record
/// and cost no computation.
///
/// After one crash a request runs as any other: most crashes are not caused by
/// a request, and everything that was running is served by other targets. After
/// a second crash it runs only as a *trial*: one at a time in the whole
/// deployment, at a target that runs no other trial
/// (almondlink/control/trial_registry.h). A completed run clears the record for
/// every sender of the same request, so a request that merely shared two
/// crashes with the cause is released by its first trial. A target that crashes
/// during a trial incriminates only the request on trial. That request is
/// refused, and tried once more after a pause because the targets may have been
/// repaired.
///
/// All nodes hold the same records because they report crashes and completed
/// runs to each other. Only certain crashes count: the process is gone and had
/// not announced that it was leaving. While a request has a recent completed
/// run, no crash is attributed to it: a popular request is running in nearly
/// every crash, whereas a query of death never completes.
namespace almondlink::control {

/// Incarnations of crashed targets that are kept for one request: more than the
/// decisions need, because further targets may crash before the reports of the
/// first crashes arrive.
constexpr std::size_t kMaxCrashedIncarnations = 8;

/// The crash history of one request.
struct QuarantineRecord {
  /// Hashes of the distinct incarnations of targets that crashed while the
  /// request was running; the most recently added ones.
  std::vector<std::uint64_t> crashed_incarnations;
  /// Crashes during a trial of the request.
  std::uint32_t failed_trials = 0;
  /// When the first crash was attributed to the request.
  Millis first_crash;
  /// When a target last crashed while the request was running, whether or not
  /// the crash was attributed to the request.
  Millis last_crash;
  /// When a run of the request last completed; 0 if none has.
  Millis completed_at;
};

/// Thresholds and retention times.
struct QuarantineRules {
  /// Maximum number of requests with a record.
  std::size_t max_records = 1024;
  /// A record with one crash expires after this time; each further crash adds
  /// as much again.
  Millis retention{600'000};
  /// Number of crashed incarnations from which on the request runs only as a
  /// trial. A single crash is rarely caused by a request, and each further one
  /// loses everything that runs on the target.
  std::size_t crashes_until_trial = 2;
  /// Pause between a trial that crashed its target and the next trial.
  Millis trial_pause{60'000};
  /// Failed trials after which the request is a confirmed query of death and is
  /// refused until its record expires or an operator lifts the quarantine. With
  /// a limit of three crashes in all, two leaves a margin for one request that
  /// is sent before the report arrives.
  std::uint32_t max_failed_trials = 2;
  /// Retention of the record of a confirmed query of death.
  Millis confirmed_retention{86'400'000};
  /// How long a completed run keeps crashes from being attributed to the
  /// request: longer than it takes a service to lose its targets one after the
  /// other.
  Millis completed_run_validity{5000};
  /// Minimum time between two reports of completed runs of the same request.
  Millis completed_run_interval{1000};
  /// A record without attributed crashes only matters while targets crash. It
  /// expires this long after the last crash, and requests for its path need no
  /// digest any more.
  Millis cleared_retention{10'000};
};

/// Plain data; one thread at a time.
struct QuarantineTable {
  std::map<RequestDigest, QuarantineRecord> records;
};

/// The crash of one incarnation of a target.
struct TargetCrash {
  /// Hash of the incarnation.
  std::uint64_t incarnation = 0;
  /// The request was running as a trial.
  bool is_on_trial = false;
};

/// How a node may run a request.
enum class QuarantineAction {
  /// Without restriction.
  kAllow,
  /// Only as a trial.
  kTrial,
  /// Not now.
  kRefuse,
};

/// What a node does with a request now.
struct QuarantineDecision {
  QuarantineAction action = QuarantineAction::kAllow;
  /// For kRefuse: time until the next trial is possible.
  Millis wait;
};

/// Records that a target crashed while the request was running. Returns true if
/// the crash is attributed to the request and its incarnation is new to the
/// record. If the table is full, the record with the fewest failed trials is
/// evicted, then the one with the fewest crashes, then the oldest.
bool RecordTargetCrash(const QuarantineRules& rules,
                       Millis now,
                       const RequestDigest& digest,
                       const TargetCrash& crash,
                       QuarantineTable& table);

/// Records a completed run, which clears the crash history of the request.
/// Returns true if the completion should be reported to the other nodes.
bool RecordCompletedRun(const QuarantineRules& rules,
                        Millis now,
                        const RequestDigest& digest,
                        QuarantineTable& table);

/// Merges the record that another node reported for the request.
void MergeQuarantine(const QuarantineRules& rules,
                     Millis now,
                     const RequestDigest& digest,
                     const QuarantineRecord& reported,
                     QuarantineTable& table);

/// Decides how the request may run now.
QuarantineDecision DecideQuarantine(const QuarantineRules& rules,
                                    Millis now,
                                    const RequestDigest& digest,
                                    const QuarantineTable& table);

/// Removes expired records; call periodically.
void ExpireQuarantine(const QuarantineRules& rules,
                      Millis now,
                      QuarantineTable& table);

/// The record of the request; null if there is none.
const QuarantineRecord* FindQuarantine(const RequestDigest& digest,
                                       const QuarantineTable& table);

/// Whether any request with this path has a record.
bool HasRecordForPath(std::uint64_t path, const QuarantineTable& table);

/// Whether the record restricts the request to trials, or refuses it.
bool IsQuarantined(const QuarantineRules& rules,
                   const QuarantineRecord& record);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_QUARANTINE_H_
