#include "almondlinkd/entry_call.h"

#include <strings.h>

#include <algorithm>

#include "almondlink/base/hash.h"

namespace almondlink::daemon {

namespace {

constexpr double kMicrosPerMilli = 1000;
constexpr const char* kNoOperation = "none";

control::UsageKey UsageOf(const ClassifiedCall& call) {
  return control::UsageKey{call.team, call.operation->name.Value(),
                           call.criticality, call.parent.has_value()};
}

/// Whether almondlink sets the field anew at each hop.
bool IsOwn(const wire::Header& header) {
  const std::string prefix = "almondlink-";
  return strncasecmp(header.name.c_str(), prefix.c_str(), prefix.size()) == 0 ||
         server::IsSameToken(header.name, server::kTraceParentHeader) ||
         server::IsSameToken(header.name, server::kKeyHeader) ||
         server::IsSameToken(header.name, "host");
}

double TookMs(const EntryCall& entry) {
  return PreciseNow().count - entry.started.count;
}

}  // namespace

std::uint64_t HashOf(const server::CallerRequest& request,
                     const ClassifiedCall& call) {
  std::uint64_t hash = StableHash(call.caller);
  hash = StableHash(request.method, hash);
  hash = StableHash(call.operation->service.Value(), hash);
  hash = StableHash(request.target, hash);
  return StableHash(call.key, hash) | 1U;
}

void DropOwnHeaders(server::Headers& headers) {
  headers.erase(std::remove_if(headers.begin(), headers.end(), IsOwn),
                headers.end());
}

wire::Call MakeCall(const EntryCall& entry, Millis left) {
  const ClassifiedCall& classified = entry.call;
  wire::Call call;
  call.service = classified.operation->service.Value();
  call.operation = classified.operation->name.Value();
  call.method = entry.request.method;
  call.path = entry.request.target;
  call.headers = entry.request.headers;
  DropOwnHeaders(call.headers);
  call.root = FormatRoot(classified.root);
  call.timeout_ms = left.count;
  call.criticality = static_cast<std::uint32_t>(classified.criticality);
  call.depth = classified.depth;
  call.grant = entry.lent;
  call.team = classified.team;
  call.caller = classified.caller;
  call.key = classified.key;
  call.is_recall = entry.is_recalling;
  call.is_mint = entry.is_minting;
  call.body = entry.request.body;
  return call;
}

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
