#include "almondlink/policy/fold.h"

#include <algorithm>
#include <utility>

namespace almondlink::policy {

namespace {

bool Contains(const std::vector<Bytes>& list, const Bytes& key) {
  return std::find(list.begin(), list.end(), key) != list.end();
}

/// Adds an entry; the oldest one makes room.
void Note(FoldState& state, HistoryEntry entry) {
  if (state.history.size() >= kMaxHistory) {
    state.history.erase(state.history.begin());
  }
  state.history.push_back(std::move(entry));
}

std::uint64_t VersionInForce(const FoldState& state) {
  return state.in_force == nullptr ? 0 : state.in_force->bundle->version;
}

/// Drops the oldest proposal that is not newer than what is in force, or else
/// the oldest one.
void MakeRoom(FoldState& state) {
  if (state.proposals.size() < kMaxProposals) {
    return;
  }
  auto oldest = state.proposals.begin();
  for (auto it = state.proposals.begin(); it != state.proposals.end(); ++it) {
    if (it->second.offset < oldest->second.offset) {
      oldest = it;
    }
  }
  state.proposals.erase(oldest);
}

/// Why a proposal cannot stand, or nothing.
std::string FaultOf(const FoldRules& rules, const wire::BundlePropose& record) {
  if (record.deployment != rules.deployment) {
    return "for another deployment";
  }
  if (!Contains(rules.operators, record.operator_key)) {
    return "the proposer is not an operator";
  }
  if (!IsSigned(record)) {
    return "the signature does not verify";
  }
  if (record.version != record.base + 1) {
    return "the version is not base + 1";
  }
  return HandleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(bundle, RequireBundle(record.text));
        const bool is_same = bundle.version == record.version &&
                             bundle.base == record.base &&
                             bundle.deployment == record.deployment;
        return std::string(is_same ? ""
                                   : "the file and the record do not agree");
      },
      [](const Failure& failure) { return failure.detail; });
}

void ApplyPropose(const FoldRules& rules,
                  FoldState& state,
                  const LogRecord& log_record,
                  wire::BundlePropose record) {
  HistoryEntry entry{log_record.offset,
                     "propose",
                     record.record_id,
                     record.base,
                     record.version,
                     ToHex(record.operator_key),
                     false,
                     ""};
  entry.reason = FaultOf(rules, record);
  if (entry.reason.empty() && state.proposals.count(record.record_id) != 0) {
    entry.reason = "the record id was used before";
  }
  entry.is_accepted = entry.reason.empty();
  Note(state, entry);
  if (!entry.is_accepted) {
    return;
  }
  MakeRoom(state);
  Proposal proposal;
  proposal.offset = log_record.offset;
  proposal.signers.push_back(record.operator_key);
  proposal.proof.push_back(log_record);
  proposal.record = std::move(record);
  const std::string id = proposal.record.record_id;
  state.proposals.emplace(id, std::move(proposal));
}

std::string FaultOf(const FoldRules& rules,
                    const Proposal* proposal,
                    const wire::BundleSign& record) {
  if (proposal == nullptr) {
    return "the proposal is not known";
  }
  if (!Contains(rules.operators, record.operator_key)) {
    return "the signer is not an operator";
  }
  if (!IsSigned(record)) {
    return "the signature does not verify";
  }
  if (record.digest != DigestOf(proposal->record)) {
    return "the digest is of another proposal";
  }
  if (Contains(proposal->signers, record.operator_key)) {
    return "the operator has signed before";
  }
  return "";
}

Proposal* FindProposal(FoldState& state, const std::string& id) {
  const auto found = state.proposals.find(id);
  return found == state.proposals.end() ? nullptr : &found->second;
}

void ApplySign(const FoldRules& rules,
               FoldState& state,
               const LogRecord& log_record,
               const wire::BundleSign& record) {
  Proposal* proposal = FindProposal(state, record.proposal);
  HistoryEntry entry{log_record.offset,
                     "sign",
                     record.proposal,
                     0,
                     0,
                     ToHex(record.operator_key),
                     false,
                     ""};
  entry.reason = FaultOf(rules, proposal, record);
  entry.is_accepted = entry.reason.empty();
  if (proposal != nullptr) {
    entry.base = proposal->record.base;
    entry.version = proposal->record.version;
  }
  Note(state, entry);
  if (entry.is_accepted) {
    proposal->signers.push_back(record.operator_key);
    proposal->proof.push_back(log_record);
  }
}

/// Why a release cannot stand apart from what is in force.
std::string FaultOf(const FoldRules& rules,
                    const Proposal* proposal,
                    const wire::BundleRelease& record) {
  if (proposal == nullptr) {
    return "the proposal is not known";
  }
  if (!Contains(rules.operators, record.operator_key)) {
    return "the releaser is not an operator";
  }
  if (!IsSigned(record)) {
    return "the signature does not verify";
  }
  if (proposal->signers.size() < rules.signatures) {
    return "signed by " + std::to_string(proposal->signers.size()) + " of " +
           std::to_string(rules.signatures) + " operators";
  }
  return "";
}

/// What comes into force with an accepted proposal.
std::shared_ptr<const InForce> MakeInForce(const Proposal& proposal,
                                           const LogRecord& release) {
  std::shared_ptr<InForce> next = std::make_shared<InForce>();
  next->offset = release.offset;
  next->proposal = proposal.record.record_id;
  next->proof = proposal.proof;
  next->proof.push_back(release);
  ParsedBundle parsed = ParseBundle(proposal.record.text);
  next->bundle = std::make_shared<const Bundle>(std::move(parsed.bundle));
  return next;
}

bool ApplyRelease(const FoldRules& rules,
                  FoldState& state,
                  const LogRecord& log_record,
                  const wire::BundleRelease& record) {
  const Proposal* proposal = FindProposal(state, record.proposal);
  HistoryEntry entry{log_record.offset,
                     "release",
                     record.proposal,
                     0,
                     0,
                     ToHex(record.operator_key),
                     false,
                     ""};
  entry.reason = FaultOf(rules, proposal, record);
  if (proposal != nullptr) {
    entry.base = proposal->record.base;
    entry.version = proposal->record.version;
  }
  const bool is_behind =
      state.in_force != nullptr && log_record.offset <= state.in_force->offset;
  if (entry.reason.empty() && !is_behind &&
      proposal->record.base != VersionInForce(state)) {
    entry.reason = "version " + std::to_string(VersionInForce(state)) +
                   " is in force, the base is " +
                   std::to_string(proposal->record.base);
  }
  // A peer told of a later state before the log was read this far.
  if (entry.reason.empty() && is_behind) {
    entry.reason = state.in_force->offset == log_record.offset
                       ? ""
                       : "a later release is in force";
    entry.is_accepted = entry.reason.empty();
    Note(state, entry);
    return false;
  }
  entry.is_accepted = entry.reason.empty();
  Note(state, entry);
  if (!entry.is_accepted) {
    return false;
  }
  state.in_force = MakeInForce(*proposal, log_record);
  return true;
}

/// Proves `records` by themselves: builds the proposal from them and returns
/// the release. The caller vouches that the fold accepted it.
Result<std::shared_ptr<const InForce>> Prove(
    const FoldRules& rules,
    std::uint64_t release_offset,
    const std::vector<LogRecord>& records) {
  if (records.size() < 2 || records.back().offset != release_offset) {
    return Fail(ErrorKind::kBadRecord, "the proof has no release");
  }
  FoldState scratch;
  for (const LogRecord& record : records) {
    if (record.data.size() > kMaxRecordBytes) {
      return Fail(ErrorKind::kBadRecord, "a record of the proof is too large");
    }
  }
  for (std::size_t i = 0; i + 1 < records.size(); ++i) {
    const LogRecord& record = records[i];
    BOOST_LEAF_AUTO(tag, wire::PeekTag(record.data.data(), record.data.size()));
    if (tag == wire::Tag::kBundlePropose) {
      BOOST_LEAF_AUTO(propose, wire::DecodeBundlePropose(record.data.data(),
                                                         record.data.size()));
      ApplyPropose(rules, scratch, record, propose);
    } else {
      BOOST_LEAF_AUTO(
          sign, wire::DecodeBundleSign(record.data.data(), record.data.size()));
      ApplySign(rules, scratch, record, sign);
    }
  }
  const LogRecord& last = records.back();
  BOOST_LEAF_AUTO(
      release, wire::DecodeBundleRelease(last.data.data(), last.data.size()));
  const Proposal* proposal = FindProposal(scratch, release.proposal);
  const std::string fault = FaultOf(rules, proposal, release);
  if (!fault.empty()) {
    return Fail(ErrorKind::kBadSignature, "the proof does not hold: " + fault);
  }
  return MakeInForce(*proposal, last);
}

std::vector<LogRecord> ProofOf(const wire::BundleSnapshot& record) {
  std::vector<LogRecord> proof;
  const std::size_t count =
      std::min(record.records.size(), record.offsets.size());
  for (std::size_t i = 0; i < count; ++i) {
    proof.push_back(LogRecord{record.offsets[i], record.records[i]});
  }
  return proof;
}

bool ApplyOne(const FoldRules& rules,
              FoldState& state,
              const LogRecord& record);

/// Applies what was kept aside from after the release now in force.
void ApplyKept(const FoldRules& rules, FoldState& state) {
  std::vector<LogRecord> kept = std::move(state.kept);
  state.kept.clear();
  for (const LogRecord& record : kept) {
    ApplyOne(rules, state, record);
  }
}

bool ApplySnapshot(const FoldRules& rules,
                   FoldState& state,
                   const LogRecord& log_record,
                   const wire::BundleSnapshot& record) {
  const bool is_known =
      state.in_force != nullptr && state.in_force->offset >= record.offset;
  if (is_known) {
    return false;
  }
  HistoryEntry entry{log_record.offset, "snapshot", "", 0, 0, "", false, ""};
  bool is_changed = false;
  if (!IsSealed(rules.deployment_key, record)) {
    entry.reason = "the seal does not verify";
  } else {
    entry.reason = HandleFailure(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(in_force,
                          Prove(rules, record.offset, ProofOf(record)));
          if (in_force->bundle->version <= VersionInForce(state)) {
            return std::string("an older version");
          }
          state.in_force = in_force;
          is_changed = true;
          return std::string();
        },
        [](const Failure& failure) { return failure.detail; });
  }
  entry.is_accepted = is_changed;
  if (is_changed) {
    entry.proposal = state.in_force->proposal;
    entry.version = state.in_force->bundle->version;
    entry.base = state.in_force->bundle->base;
  }
  Note(state, entry);
  if (is_changed) {
    ApplyKept(rules, state);
  }
  return is_changed;
}

bool ApplyDecoded(const FoldRules& rules,
                  FoldState& state,
                  const LogRecord& record,
                  wire::Tag tag) {
  const std::uint8_t* data = record.data.data();
  const std::size_t size = record.data.size();
  const std::string fault = HandleFailure(
      [&]() -> Result<std::string> {
        if (tag == wire::Tag::kBundlePropose) {
          BOOST_LEAF_AUTO(propose, wire::DecodeBundlePropose(data, size));
          ApplyPropose(rules, state, record, std::move(propose));
        } else if (tag == wire::Tag::kBundleSign) {
          BOOST_LEAF_AUTO(sign, wire::DecodeBundleSign(data, size));
          ApplySign(rules, state, record, sign);
        } else if (tag == wire::Tag::kBundleRelease) {
          BOOST_LEAF_AUTO(release, wire::DecodeBundleRelease(data, size));
          return std::string(
              ApplyRelease(rules, state, record, release) ? "changed" : "");
        } else {
          return std::string("not a record of this stream");
        }
        return std::string();
      },
      [](const Failure& failure) { return failure.detail; });
  if (fault.empty() || fault == "changed") {
    return !fault.empty();
  }
  Note(state,
       HistoryEntry{record.offset, "unknown", "", 0, 0, "", false, fault});
  return false;
}

/// Proposals and signatures are always collected; whether a release counts can
/// be told only once the fold knows what was in force before it.
bool ApplyOne(const FoldRules& rules,
              FoldState& state,
              const LogRecord& record) {
  if (record.data.size() > kMaxRecordBytes) {
    Note(state, HistoryEntry{record.offset, "unknown", "", 0, 0, "", false,
                             "the record is too large"});
    return false;
  }
  const wire::Tag tag = HandleFailure(
      [&]() { return wire::PeekTag(record.data.data(), record.data.size()); },
      [](const Failure&) { return static_cast<wire::Tag>(0); });
  if (tag == wire::Tag::kBundleSnapshot) {
    return HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(snapshot,
                          wire::DecodeBundleSnapshot(record.data.data(),
                                                     record.data.size()));
          return ApplySnapshot(rules, state, record, snapshot);
        },
        [&](const Failure& failure) {
          Note(state, HistoryEntry{record.offset, "snapshot", "", 0, 0, "",
                                   false, failure.detail});
          return false;
        });
  }
  const bool is_waiting = state.is_partial && state.in_force == nullptr;
  if (is_waiting && tag == wire::Tag::kBundleRelease) {
    if (state.kept.size() < kMaxKept) {
      state.kept.push_back(record);
    }
    return false;
  }
  return ApplyDecoded(rules, state, record, tag);
}

}  // namespace

void StartFold(FoldState& state, std::uint64_t first_retained) {
  if (first_retained > state.next_offset) {
    state.is_partial = true;
    state.next_offset = first_retained;
  }
}

bool ApplyRecord(const FoldRules& rules,
                 FoldState& state,
                 const LogRecord& record) {
  if (record.offset < state.next_offset) {
    return false;
  }
  state.next_offset = record.offset + 1;
  return ApplyOne(rules, state, record);
}

Result<bool> AdoptFromPeer(const FoldRules& rules,
                           FoldState& state,
                           std::uint64_t release_offset,
                           const std::vector<LogRecord>& proof) {
  const bool is_older =
      state.in_force != nullptr && state.in_force->offset >= release_offset;
  if (is_older) {
    return false;
  }
  BOOST_LEAF_AUTO(in_force, Prove(rules, release_offset, proof));
  if (in_force->bundle->version <= VersionInForce(state)) {
    return false;
  }
  state.in_force = in_force;
  ApplyKept(rules, state);
  return true;
}

wire::BundleSnapshot MakeSnapshot(const FoldRules& rules,
                                  const InForce& in_force) {
  wire::BundleSnapshot record;
  record.offset = in_force.offset;
  for (const LogRecord& proof : in_force.proof) {
    record.records.push_back(proof.data);
    record.offsets.push_back(proof.offset);
  }
  Seal(rules.deployment_key, record);
  return record;
}

}  // namespace almondlink::policy
