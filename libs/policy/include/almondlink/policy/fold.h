#ifndef ALMONDLINK_POLICY_FOLD_H_
#define ALMONDLINK_POLICY_FOLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/policy/bundle.h"
#include "almondlink/policy/signing.h"
#include "almondlink/wire/messages.generated.h"

/// The state of releases as a deterministic fold over the bundle stream.
///
/// A release record is accepted iff, at its offset, (1) its proposal is known,
/// for this deployment, valid, and has the version after the one in force, (2)
/// the proposal was signed by the required number of distinct known operators
/// at lower offsets, and (3) the releaser is a known operator. The first such
/// release of a base wins; later ones find another version in force. Every
/// reader of the same records computes the same answer.
///
/// The log forgets. A fold that did not start at offset 0 cannot know what was
/// in force, so it keeps what it reads aside until a snapshot - the accepted
/// release with its proof, appended again by a node well inside retention and
/// sealed with the deployment key - tells it, and then applies what it kept
/// from after that release.
namespace almondlink::policy {

/// Who may release.
struct FoldRules {
  std::string deployment;
  std::vector<Bytes> operators;
  std::size_t signatures = 2;
  /// Checks snapshots; a tool without it ignores them and needs offset 0.
  DeploymentKey deployment_key;
};

/// A record with its offset.
struct LogRecord {
  std::uint64_t offset = 0;
  Bytes data;
};

/// A bundle in force with its proof.
struct InForce {
  /// Offset of the accepted release record.
  std::uint64_t offset = 0;
  std::shared_ptr<const Bundle> bundle;
  std::string proposal;
  /// Propose, sign and release records that prove it.
  std::vector<LogRecord> proof;
};

/// What became of one record, for `bundle history`.
struct HistoryEntry {
  std::uint64_t offset = 0;
  /// propose, sign, release or snapshot.
  std::string what;
  std::string proposal;
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  /// Public key, hexadecimal.
  std::string operator_key;
  bool is_accepted = false;
  /// Why it was refused; empty when accepted.
  std::string reason;
};

/// A proposal that is known but not (yet) released.
struct Proposal {
  std::uint64_t offset = 0;
  wire::BundlePropose record;
  std::vector<LogRecord> proof;
  /// Distinct operators that signed, the proposer first.
  std::vector<Bytes> signers;
};

/// The fold's state. Plain data; one thread at a time.
struct FoldState {
  /// First offset that has not been applied.
  std::uint64_t next_offset = 0;
  /// Whether records before the first one read may have been dropped.
  bool is_partial = false;
  /// Null until a release is accepted or a snapshot read.
  std::shared_ptr<const InForce> in_force;
  std::map<std::string, Proposal> proposals;
  /// Records kept while a partial fold waits for a snapshot.
  std::vector<LogRecord> kept;
  std::vector<HistoryEntry> history;
};

/// Largest record that is looked at.
constexpr std::size_t kMaxRecordBytes = 256 * 1024;
/// Most proposals, and most records kept aside, in memory.
constexpr std::size_t kMaxProposals = 256;
constexpr std::size_t kMaxKept = 4096;
/// Most history entries kept by a node; the tool keeps as many.
constexpr std::size_t kMaxHistory = 2048;

/// Tells the fold where reading starts: the first offset that the log still
/// has. Call before the first ApplyRecord, and again after a gap.
void StartFold(FoldState& state, std::uint64_t first_retained);

/// Applies one record. Offsets must not go down; one that was applied before is
/// ignored. Returns true if another bundle came into force. Never fails: a bad
/// record is refused in `history`.
bool ApplyRecord(const FoldRules& rules,
                 FoldState& state,
                 const LogRecord& record);

/// Takes a bundle in force from a peer (whose link proved the deployment key)
/// with its proof. Never goes down in offset or version. Returns true if it is
/// in force now. Errors: kBadRecord, kBadSignature if the proof does not hold.
Result<bool> AdoptFromPeer(const FoldRules& rules,
                           FoldState& state,
                           std::uint64_t release_offset,
                           const std::vector<LogRecord>& proof);

/// The snapshot record of what is in force. Precondition: something is.
wire::BundleSnapshot MakeSnapshot(const FoldRules& rules,
                                  const InForce& in_force);

}  // namespace almondlink::policy

#endif  // ALMONDLINK_POLICY_FOLD_H_
