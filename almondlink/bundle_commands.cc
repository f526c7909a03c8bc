#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

#include "almondlink/base/clock.h"
#include "almondlink/command.h"
#include "almondlink/config/ini_reader.h"
#include "almondlink/flags.h"
#include "almondlink/peer_query.h"
#include "almondlink/policy/bundle.h"
#include "almondlink/policy/fold.h"

DEFINE_bool(wait, false, "release: wait until every node has it in force");
DEFINE_int32(wait_seconds, 30, "release: longest wait");
DEFINE_string(against,
              "",
              "check: bundle file now in force, to check the change");

namespace almondlink::tool {

namespace {

using policy::Bytes;
using policy::FoldState;

constexpr int kAppendTries = 5;
constexpr Millis kAppendPause{300};
constexpr Millis kWaitPause{250};

std::string FreshId() {
  return policy::ToHex(policy::RandomBytes(16));
}

/// The fold over all that the log has.
Result<FoldState> ReadFold(record_log::Log& log,
                           const policy::FoldRules& rules) {
  FoldState state;
  BOOST_LEAF_CHECK(ReadWhole(
      log, record_log::BundleStream(FLAGS_deployment),
      [&](const wire::LogPage& page) {
        policy::StartFold(state, page.first_retained);
        for (const wire::LogEntry& entry : page.entries) {
          policy::ApplyRecord(rules, state,
                              policy::LogRecord{entry.offset, entry.data});
        }
      }));
  return state;
}

/// Whether the record is in the stream, and where.
Result<std::optional<std::uint64_t>> FindRecord(record_log::Log& log,
                                                const Bytes& record) {
  std::optional<std::uint64_t> offset;
  BOOST_LEAF_CHECK(ReadWhole(log, record_log::BundleStream(FLAGS_deployment),
                             [&](const wire::LogPage& page) {
                               for (const wire::LogEntry& entry :
                                    page.entries) {
                                 if (entry.data == record) {
                                   offset = entry.offset;
                                 }
                               }
                             }));
  return offset;
}

/// Appends a record once, although answers may be lost: what is in the stream
/// decides whether to append again.
Result<std::uint64_t> AppendOnce(record_log::Log& log, const Bytes& record) {
  for (int i = 0; i < kAppendTries; ++i) {
    const std::optional<std::uint64_t> appended = HandleFailure(
        [&]() -> Result<std::optional<std::uint64_t>> {
          BOOST_LEAF_AUTO(
              offset,
              log.Append(record_log::BundleStream(FLAGS_deployment), record));
          return std::optional<std::uint64_t>(offset);
        },
        [](const Failure&) { return std::optional<std::uint64_t>(); });
    if (appended.has_value()) {
      return *appended;
    }
    const std::optional<std::uint64_t> found = HandleFailure(
        [&]() { return FindRecord(log, record); },
        [](const Failure&) { return std::optional<std::uint64_t>(); });
    if (found.has_value()) {
      return *found;
    }
    SleepFor(kAppendPause);
  }
  return Fail(ErrorKind::kIo,
              "the log did not confirm the append; it may have taken effect: "
              "look at 'almondlink bundle history' before trying again");
}

void PrintFaults(const std::string& file,
                 const std::vector<policy::Fault>& faults) {
  for (const policy::Fault& fault : faults) {
    std::cout << config::AtLine(file, fault.line, fault.text) << "\n";
  }
}

/// Every fault of a file, the change against `current` included.
std::vector<policy::Fault> FaultsOf(const policy::ParsedBundle& parsed,
                                    const policy::Bundle* current) {
  std::vector<policy::Fault> faults = parsed.faults;
  if (current != nullptr) {
    const std::vector<policy::Fault> change =
        policy::CheckChange(*current, parsed.bundle);
    faults.insert(faults.end(), change.begin(), change.end());
  }
  return faults;
}

Result<int> Check(const Arguments& arguments) {
  if (arguments.size() != 1) {
    return Fail(ErrorKind::kBadSettings, "one bundle file is required");
  }
  BOOST_LEAF_AUTO(text, config::ReadFile(arguments[0]));
  const policy::ParsedBundle parsed = policy::ParseBundle(text);
  policy::Bundle current;
  if (!FLAGS_against.empty()) {
    BOOST_LEAF_AUTO(old_text, config::ReadFile(FLAGS_against));
    BOOST_LEAF_ASSIGN(current, policy::RequireBundle(old_text));
  }
  const std::vector<policy::Fault> faults =
      FaultsOf(parsed, FLAGS_against.empty() ? nullptr : &current);
  PrintFaults(arguments[0], faults);
  if (!faults.empty()) {
    return kExitFaults;
  }
  std::cout << arguments[0] << ": ok, version " << parsed.bundle.version << ", "
            << parsed.bundle.operations.size() << " operations\n";
  return kExitOk;
}

Result<int> Propose(const Arguments& arguments) {
  if (arguments.size() != 1) {
    return Fail(ErrorKind::kBadSettings, "one bundle file is required");
  }
  BOOST_LEAF_CHECK(RequireFlag(FLAGS_key, "key"));
  BOOST_LEAF_AUTO(text, config::ReadFile(arguments[0]));
  BOOST_LEAF_AUTO(key, policy::LoadOperatorKey(FLAGS_key));
  BOOST_LEAF_AUTO(rules, FoldRulesFromFlags());
  BOOST_LEAF_AUTO(log, OpenLog());
  BOOST_LEAF_AUTO(state, ReadFold(*log, rules));
  const policy::ParsedBundle parsed = policy::ParseBundle(text);
  const policy::Bundle* current =
      state.in_force == nullptr ? nullptr : state.in_force->bundle.get();
  const std::vector<policy::Fault> faults = FaultsOf(parsed, current);
  PrintFaults(arguments[0], faults);
  if (!faults.empty()) {
    return kExitFaults;
  }
  const std::uint64_t version = current == nullptr ? 0 : current->version;
  if (parsed.bundle.base != version) {
    return Fail(ErrorKind::kConflict, "version " + std::to_string(version) +
                                          " is in force, the file's base is " +
                                          std::to_string(parsed.bundle.base));
  }
  wire::BundlePropose record;
  record.record_id = FreshId();
  record.deployment = parsed.bundle.deployment;
  record.base = parsed.bundle.base;
  record.version = parsed.bundle.version;
  record.text = text;
  policy::Sign(key, record);
  const std::string id = record.record_id;
  const Bytes bytes = wire::Encode(std::move(record));
  if (bytes.size() > policy::kMaxRecordBytes) {
    return Fail(ErrorKind::kBadBundle, "the bundle is too large");
  }
  BOOST_LEAF_CHECK(AppendOnce(*log, bytes));
  std::cout << id << "\n";
  return kExitOk;
}

const policy::Proposal* FindProposal(const FoldState& state,
                                     const std::string& prefix) {
  const policy::Proposal* found = nullptr;
  for (const auto& [id, proposal] : state.proposals) {
    if (id.rfind(prefix, 0) == 0) {
      found = &proposal;
    }
  }
  return found;
}

/// What an operator needs to act on a proposal.
struct Desk {
  policy::OperatorKey key;
  policy::FoldRules rules;
  std::unique_ptr<record_log::Log> log;
  policy::Proposal proposal;
};

/// Opens the log and finds the proposal of the arguments.
Result<Desk> OpenDesk(const Arguments& arguments) {
  if (arguments.size() != 1) {
    return Fail(ErrorKind::kBadSettings, "one proposal id is required");
  }
  Desk desk;
  BOOST_LEAF_CHECK(RequireFlag(FLAGS_key, "key"));
  BOOST_LEAF_ASSIGN(desk.key, policy::LoadOperatorKey(FLAGS_key));
  BOOST_LEAF_ASSIGN(desk.rules, FoldRulesFromFlags());
  BOOST_LEAF_ASSIGN(desk.log, OpenLog());
  BOOST_LEAF_AUTO(state, ReadFold(*desk.log, desk.rules));
  const policy::Proposal* proposal = FindProposal(state, arguments[0]);
  if (proposal == nullptr) {
    return Fail(ErrorKind::kBadRecord, "no such proposal: " + arguments[0]);
  }
  desk.proposal = *proposal;
  return desk;
}

/// Appends a record and reads back what became of it: the fold behind it, or a
/// failure of that kind with the reason of the refusal.
Result<FoldState> AppendAndRead(Desk& desk,
                                const Bytes& record,
                                ErrorKind refused,
                                std::uint64_t& offset) {
  BOOST_LEAF_ASSIGN(offset, AppendOnce(*desk.log, record));
  BOOST_LEAF_AUTO(after, ReadFold(*desk.log, desk.rules));
  for (const policy::HistoryEntry& entry : after.history) {
    if (entry.offset == offset && !entry.is_accepted) {
      return Fail(refused, "refused: " + entry.reason);
    }
  }
  return after;
}

Result<int> SignProposal(const Arguments& arguments) {
  BOOST_LEAF_AUTO(desk, OpenDesk(arguments));
  wire::BundleSign record;
  record.record_id = FreshId();
  record.proposal = desk.proposal.record.record_id;
  record.digest = policy::DigestOf(desk.proposal.record);
  policy::Sign(desk.key, record);
  std::uint64_t offset = 0;
  BOOST_LEAF_AUTO(after, AppendAndRead(desk, wire::Encode(record),
                                       ErrorKind::kBadSignature, offset));
  std::cout << "signed by " << FindProposal(after, arguments[0])->signers.size()
            << " of " << desk.rules.signatures << "\n";
  return kExitOk;
}

/// Nodes with the release in force, by availability zone: have and all.
struct ZoneProgress {
  int in_force = 0;
  int all = 0;
};

std::map<std::string, ZoneProgress> ReadProgress(
    const policy::DeploymentKey& key,
    const std::vector<wire::Member>& members,
    std::uint64_t offset) {
  std::vector<std::string> addresses;
  addresses.reserve(members.size());
  for (const wire::Member& member : members) {
    addresses.push_back(member.address);
  }
  const std::map<std::string, wire::StatePush> states =
      QueryPeers(key, addresses, wire::StatePull{}, Millis{1500});
  std::map<std::string, ZoneProgress> zones;
  for (const wire::Member& member : members) {
    ZoneProgress& zone = zones[member.zone];
    const auto found = states.find(member.address);
    // A node that does not answer is not counted: it may be gone for good, and
    // a living one is asked again.
    if (found == states.end()) {
      continue;
    }
    ++zone.all;
    zone.in_force += found->second.bundle_offset > offset ? 1 : 0;
  }
  return zones;
}

Result<int> WaitInForce(std::uint64_t offset) {
  BOOST_LEAF_AUTO(key, DeploymentKeyFromFlags());
  const Millis start = MonotonicNow();
  const Millis until = start + Millis{1000} * FLAGS_wait_seconds;
  std::string last;
  while (MonotonicNow() < until) {
    BOOST_LEAF_AUTO(members, MembersFromLog());
    const std::map<std::string, ZoneProgress> zones =
        ReadProgress(key, members, offset);
    std::string line;
    bool is_all = !zones.empty();
    for (const auto& [zone, progress] : zones) {
      line += "  " + zone + " " + std::to_string(progress.in_force) + "/" +
              std::to_string(progress.all);
      is_all = is_all && progress.in_force == progress.all;
    }
    const Millis took = MonotonicNow() - start;
    if (line != last || is_all) {
      std::cout << took.count << " ms" << line << "\n";
      last = line;
    }
    if (is_all) {
      return kExitOk;
    }
    SleepFor(kWaitPause);
  }
  std::cerr << "almondlink: accepted, but not yet in force everywhere\n";
  return kExitNotInForce;
}

Result<int> Release(const Arguments& arguments) {
  BOOST_LEAF_AUTO(desk, OpenDesk(arguments));
  wire::BundleRelease record;
  record.record_id = FreshId();
  record.proposal = desk.proposal.record.record_id;
  policy::Sign(desk.key, record);
  std::uint64_t offset = 0;
  BOOST_LEAF_CHECK(
      AppendAndRead(desk, wire::Encode(record), ErrorKind::kConflict, offset));
  std::cout << "version " << desk.proposal.record.version
            << " accepted at offset " << offset << "\n";
  return FLAGS_wait ? WaitInForce(offset) : Result<int>(kExitOk);
}

Result<int> Show(const Arguments& arguments) {
  BOOST_LEAF_AUTO(rules, FoldRulesFromFlags());
  BOOST_LEAF_AUTO(log, OpenLog());
  BOOST_LEAF_AUTO(state, ReadFold(*log, rules));
  if (!arguments.empty()) {
    const policy::Proposal* proposal = FindProposal(state, arguments[0]);
    if (proposal == nullptr) {
      return Fail(ErrorKind::kBadRecord, "no such proposal: " + arguments[0]);
    }
    std::cout << proposal->record.text;
    return kExitOk;
  }
  if (state.in_force == nullptr) {
    std::cerr << "no bundle is in force\n";
    return kExitNotInForce;
  }
  std::cout << "# version " << state.in_force->bundle->version << ", offset "
            << state.in_force->offset << ", proposal "
            << state.in_force->proposal << "\n";
  const policy::LogRecord& propose = state.in_force->proof.front();
  BOOST_LEAF_AUTO(record, wire::DecodeBundlePropose(propose.data.data(),
                                                    propose.data.size()));
  std::cout << record.text;
  return kExitOk;
}

Result<int> History(const Arguments& /*arguments*/) {
  BOOST_LEAF_AUTO(rules, FoldRulesFromFlags());
  BOOST_LEAF_AUTO(log, OpenLog());
  BOOST_LEAF_AUTO(state, ReadFold(*log, rules));
  std::printf("%8s %-9s %-12s %8s %-16s %s\n", "offset", "record", "proposal",
              "version", "operator", "result");
  for (const policy::HistoryEntry& entry : state.history) {
    std::printf(
        "%8llu %-9s %-12s %8llu %-16s %s\n",
        static_cast<unsigned long long>(entry.offset), entry.what.c_str(),
        entry.proposal.substr(0, 12).c_str(),
        static_cast<unsigned long long>(entry.version),
        entry.operator_key.substr(0, 16).c_str(),
        entry.is_accepted ? "accepted" : ("refused: " + entry.reason).c_str());
  }
  return kExitOk;
}

Result<int> MakeKey(const Arguments& arguments) {
  if (arguments.size() != 1) {
    return Fail(ErrorKind::kBadSettings, "one file name is required");
  }
  if (std::ifstream(arguments[0]).good()) {
    return Fail(ErrorKind::kIo, arguments[0] + " exists");
  }
  const Bytes seed = policy::RandomBytes(32);
  BOOST_LEAF_AUTO(key, policy::OperatorKeyFromSeed(seed));
  std::ofstream out(arguments[0]);
  out << policy::ToHex(seed) << "\n";
  out.close();
  if (!out) {
    return Fail(ErrorKind::kIo, arguments[0] + ": cannot be written");
  }
  std::cout << policy::ToHex(key.public_key) << "\n";
  return kExitOk;
}

}  // namespace

std::vector<Command> BundleCommands() {
  return {
      {"bundle check", "FILE [--against=OLD]",
       "Prints every fault of a bundle file with its line. With --against "
       "also\n"
       "what the change must state in words: shedding a valued operation "
       "after\n"
       "a lesser one, making an at-most-once operation repeatable.\n"
       "Exit 0 ok, 1 faults.",
       Check},
      {"bundle propose", "FILE --log --deployment --operators --key",
       "Checks the file against what is in force and appends it as a "
       "proposal,\n"
       "signed with your key. Prints the proposal id.\n"
       "Exit 1 faults, 5 the base is not in force.",
       Propose},
      {"bundle sign", "PROPOSAL --log --deployment --operators --key",
       "Adds your signature to a proposal. The id may be shortened.",
       SignProposal},
      {"bundle release",
       "PROPOSAL --log --deployment --operators --key [--wait]",
       "Asks for the proposal to come into force. The first release of a base\n"
       "wins. With --wait (needs --deployment_key) shows the nodes that have "
       "it\n"
       "in force, by availability zone.\n"
       "Exit 0 accepted, 5 another release won or signatures are missing,\n"
       "6 accepted but not yet in force everywhere.",
       Release},
      {"bundle show", "[PROPOSAL] --log --deployment --operators",
       "Prints the bundle in force, or a proposal.", Show},
      {"bundle history", "--log --deployment --operators",
       "Who proposed, signed and released, and why a record was refused.",
       History},
      {"key make", "FILE",
       "Makes an operator key, or a deployment key, in a new file and prints\n"
       "its public key.",
       MakeKey},
  };
}

}  // namespace almondlink::tool
