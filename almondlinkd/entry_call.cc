#include "almondlinkd/entry_call.h"

namespace almondlink::daemon {

namespace {

constexpr double kMicrosPerMilli = 1000;
constexpr const char* kNoOperation = "none";

control::UsageKey UsageOf(const ClassifiedCall& call) {
  return control::UsageKey{call.team, call.operation->name.Value(),
                           call.criticality, call.parent.has_value()};
}

double TookMs(const EntryCall& entry) {
  return PreciseNow().count - entry.started.count;
}

}  // namespace

void CallAccounts::NoteFinished(const EntryCall& entry,
                                ErrorKind kind,
                                std::uint32_t status) {
  // Asking for a key is no call of an operation.
  if (entry.is_minting) {
    return;
  }
  const ClassifiedCall& call = entry.call;
  control::CountCall(UsageOf(call), kind, entry.retries, this->usage);
  const LatencyMs took{TookMs(entry)};
  this->call_time.Add(took);
  if (!this->recorder.IsOn()) {
    return;
  }
  TraceCall trace;
  trace.arrived = entry.arrived;
  trace.took = took;
  trace.root = FormatRoot(call.root);
  trace.operation = call.operation->name.Value();
  trace.team = call.team;
  trace.criticality = static_cast<std::uint32_t>(call.criticality);
  trace.depth = call.depth;
  trace.outcome = kind;
  trace.status = status;
  trace.attempts = entry.attempts + entry.attempts_below;
  this->recorder.Record(trace);
}

void CallAccounts::NoteNotUnderstood(const std::string& team, ErrorKind kind) {
  control::CountCall(
      control::UsageKey{team, kNoOperation, Criticality::kNormal, false}, kind,
      0, this->usage);
}

void CallAccounts::NoteWasted(const EntryCall& entry) {
  control::CountWasted(UsageOf(entry.call), this->usage);
}

void CallAccounts::NoteAdded(const EntryCall& entry, std::uint64_t target_us) {
  const double at_target = static_cast<double>(target_us) / kMicrosPerMilli;
  this->added_time.Add(LatencyMs{TookMs(entry) - at_target});
}

}  // namespace almondlink::daemon
