#include <algorithm>
#include <utility>

#include "almondlink/base/hash.h"
#include "almondlink/relay/peer_frames.h"
#include "frame_codec.h"

/// Frames in which nodes tell who they are and how they are.
namespace almondlink::relay {

namespace {

void PutRepeats(const std::vector<ServiceRepeats>& repeats, Writer& writer) {
  writer.PutShort(repeats.size());
  for (const ServiceRepeats& entry : repeats) {
    writer.Put(entry.service);
    writer.PutShort(entry.counts.requests);
    writer.PutShort(entry.counts.requests_half_earlier);
    writer.PutShort(entry.counts.requests_previous);
    writer.PutShort(entry.counts.repeats);
  }
}

/// An older node says nothing of them.
void TakeRepeats(Reader& in, std::vector<ServiceRepeats>& repeats) {
  repeats.clear();
  if (in.IsAtEnd()) {
    return;
  }
  repeats.resize(in.TakeShortCount());
  for (ServiceRepeats& entry : repeats) {
    in.Take(entry.service);
    entry.counts.requests = in.TakeShortNumber();
    entry.counts.requests_half_earlier = in.TakeShortNumber();
    entry.counts.requests_previous = in.TakeShortNumber();
    entry.counts.repeats = in.TakeShortNumber();
  }
}

/// The calls of chains, of the routes that have some.
void PutCalls(const std::vector<control::RootRate>& roots, Writer& writer) {
  writer.PutShort(static_cast<std::uint64_t>(std::count_if(
      roots.begin(), roots.end(),
      [](const control::RootRate& root) { return !root.calls.empty(); })));
  for (const control::RootRate& root : roots) {
    if (root.calls.empty()) {
      continue;
    }
    writer.Put(root.route);
    writer.PutShort(root.calls.size());
    for (const control::ServiceCalls& calls : root.calls) {
      writer.Put(calls.service);
      writer.PutShortFraction(calls.per_root);
    }
  }
}

/// An older node says nothing of them.
void TakeCalls(Reader& in, std::vector<control::RootRate>& roots) {
  const std::size_t count = in.IsAtEnd() ? 0 : in.TakeShortCount();
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    std::uint32_t route = 0;
    in.Take(route);
    std::vector<control::ServiceCalls> all(in.TakeShortCount());
    for (control::ServiceCalls& calls : all) {
      in.Take(calls.service);
      calls.per_root = in.TakeShortFraction();
    }
    const auto root = std::find_if(
        roots.begin(), roots.end(),
        [route](const control::RootRate& r) { return r.route == route; });
    if (root != roots.end()) {
      root->calls = std::move(all);
    }
  }
}

}  // namespace

std::uint32_t ServiceKeyOf(std::string_view service) {
  return static_cast<std::uint32_t>(StableHash(service));
}

void Append(const HelloFrame& frame, std::string& out) {
  Writer writer(FrameType::kHello, out);
  PutAddress(frame.self, writer);
  writer.PutText(frame.zone);
  writer.PutText(frame.deployment);
  writer.Put(static_cast<std::uint32_t>(frame.others.size()));
  for (const NodeAddress& node : frame.others) {
    PutAddress(node, writer);
  }
  writer.Put(static_cast<std::uint32_t>(frame.remembered.size()));
  for (const InstanceRecord& record : frame.remembered) {
    writer.PutText(record.node);
    writer.PutText(record.instance);
    writer.Put(record.sequence);
    writer.PutByte(static_cast<std::uint8_t>(record.state));
  }
  writer.Put(frame.dialect);
  writer.Put(frame.known_incarnation);
  for (const InstanceRecord& record : frame.remembered) {
    writer.Put(record.born);
  }
  writer.Put(frame.former_incarnation);
  PutRepeats(frame.former_repeats, writer);
}

bool Decode(std::string_view payload, HelloFrame& frame) {
  Reader in(payload);
  TakeAddress(in, frame.self);
  in.TakeText(frame.zone);
  in.TakeText(frame.deployment);
  frame.others.resize(in.TakeCount());
  for (NodeAddress& node : frame.others) {
    TakeAddress(in, node);
  }
  frame.remembered.resize(in.TakeCount());
  for (InstanceRecord& record : frame.remembered) {
    in.TakeText(record.node);
    in.TakeText(record.instance);
    in.Take(record.sequence);
    record.state = static_cast<InstanceState>(in.TakeByte());
    record.born = 0;
  }
  // An older node says nothing of it.
  frame.dialect = 0;
  frame.known_incarnation = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.dialect);
  }
  if (!in.IsAtEnd()) {
    in.Take(frame.known_incarnation);
    for (InstanceRecord& record : frame.remembered) {
      in.Take(record.born);
    }
  }
  frame.former_incarnation = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.former_incarnation);
  }
  TakeRepeats(in, frame.former_repeats);
  return in.IsGood();
}

LoadFrame LoadOf(const StateFrame& state) {
  LoadFrame load;
  load.running = state.running;
  load.waiting = state.waiting;
  load.work_ms = state.work_ms;
  load.calls_per_run = state.calls_per_run;
  load.demand = state.demand;
  load.roots = state.roots;
  load.repeats = state.repeats;
  load.erring = state.erring;
  return load;
}

void ApplyLoad(LoadFrame load, StateFrame& state) {
  state.running = load.running;
  state.waiting = load.waiting;
  state.work_ms = load.work_ms;
  state.calls_per_run = load.calls_per_run;
  state.demand = std::move(load.demand);
  for (control::RootRate& root : load.roots) {
    const auto before = std::find_if(state.roots.begin(), state.roots.end(),
                                     [&root](const control::RootRate& known) {
                                       return known.route == root.route;
                                     });
    if (root.calls.empty() && before != state.roots.end()) {
      root.calls = std::move(before->calls);
    }
  }
  state.roots = std::move(load.roots);
  state.repeats = std::move(load.repeats);
  state.erring = load.erring;
}

bool HaveSameFactsButVersion(const StateFrame& a, const StateFrame& b) {
  return a.is_stopping == b.is_stopping && a.service == b.service &&
         a.zone == b.zone && a.instance == b.instance && a.born == b.born &&
         a.state == b.state && a.slots == b.slots &&
         a.has_source == b.has_source;
}

bool HaveSameFacts(const StateFrame& a, const StateFrame& b) {
  return a.policy_version == b.policy_version && HaveSameFactsButVersion(a, b);
}

void AppendNodes(const std::vector<NodeAddress>& nodes, std::string& out) {
  Writer writer(FrameType::kNodes, out);
  writer.Put(static_cast<std::uint32_t>(nodes.size()));
  for (const NodeAddress& node : nodes) {
    PutAddress(node, writer);
  }
}

bool DecodeNodes(std::string_view payload, std::vector<NodeAddress>& nodes) {
  Reader in(payload);
  nodes.resize(in.TakeCount());
  for (NodeAddress& node : nodes) {
    TakeAddress(in, node);
  }
  return in.IsGood();
}

void Append(const LoadFrame& frame, std::string& out) {
  Writer writer(FrameType::kLoad, out);
  writer.PutShort(frame.running);
  writer.PutShort(frame.waiting);
  writer.PutShortFraction(frame.work_ms);
  writer.PutShortFraction(frame.calls_per_run);
  writer.PutShort(frame.demand.size());
  for (const control::RouteDemand& entry : frame.demand) {
    writer.Put(entry.route);
    writer.PutShortFraction(entry.calls_per_s);
    writer.PutShortFraction(entry.work_ms);
  }
  writer.PutShort(frame.roots.size());
  for (const control::RootRate& entry : frame.roots) {
    writer.Put(entry.route);
    writer.PutShortFraction(entry.offered_per_s);
    writer.PutShortFraction(entry.admitted_per_s);
  }
  PutRepeats(frame.repeats, writer);
  PutCalls(frame.roots, writer);
  writer.PutShortFraction(frame.erring);
}

bool Decode(std::string_view payload, LoadFrame& frame) {
  Reader in(payload);
  frame.running = in.TakeShortNumber();
  frame.waiting = in.TakeShortNumber();
  frame.work_ms = in.TakeShortFraction();
  frame.calls_per_run = in.TakeShortFraction();
  frame.demand.resize(in.TakeShortCount());
  for (control::RouteDemand& entry : frame.demand) {
    in.Take(entry.route);
    entry.calls_per_s = in.TakeShortFraction();
    entry.work_ms = in.TakeShortFraction();
  }
  frame.roots.resize(in.TakeShortCount());
  for (control::RootRate& entry : frame.roots) {
    in.Take(entry.route);
    entry.offered_per_s = in.TakeShortFraction();
    entry.admitted_per_s = in.TakeShortFraction();
  }
  TakeRepeats(in, frame.repeats);
  TakeCalls(in, frame.roots);
  frame.erring = TakeErring(in);
  return in.IsGood();
}

void Append(const StateFrame& frame, std::string& out) {
  Writer writer(FrameType::kState, out);
  writer.Put(frame.policy_version);
  writer.PutByte(frame.is_stopping ? 1 : 0);
  writer.PutText(frame.service);
  writer.PutText(frame.zone);
  writer.PutText(frame.instance);
  writer.Put(frame.sequence);
  writer.PutByte(static_cast<std::uint8_t>(frame.state));
  writer.Put(frame.slots);
  writer.Put(frame.running);
  writer.Put(frame.waiting);
  writer.PutFraction(frame.work_ms);
  writer.PutFraction(frame.calls_per_run);
  writer.Put(static_cast<std::uint32_t>(frame.demand.size()));
  for (const control::RouteDemand& entry : frame.demand) {
    writer.Put(entry.route);
    writer.PutFraction(entry.calls_per_s);
    writer.PutFraction(entry.work_ms);
  }
  writer.Put(static_cast<std::uint32_t>(frame.roots.size()));
  for (const control::RootRate& entry : frame.roots) {
    writer.Put(entry.route);
    writer.PutFraction(entry.offered_per_s);
    writer.PutFraction(entry.admitted_per_s);
  }
  writer.Put(frame.born);
  PutRepeats(frame.repeats, writer);
  writer.PutByte(frame.has_source ? 1 : 0);
  PutCalls(frame.roots, writer);
  writer.PutShortFraction(frame.erring);
}

bool Decode(std::string_view payload, StateFrame& frame) {
  Reader in(payload);
  in.Take(frame.policy_version);
  frame.is_stopping = in.TakeByte() != 0;
  in.TakeText(frame.service);
  in.TakeText(frame.zone);
  in.TakeText(frame.instance);
  in.Take(frame.sequence);
  frame.state = static_cast<InstanceState>(in.TakeByte());
  in.Take(frame.slots);
  in.Take(frame.running);
  in.Take(frame.waiting);
  frame.work_ms = in.TakeFraction();
  frame.calls_per_run = in.TakeFraction();
  frame.demand.resize(in.TakeCount());
  for (control::RouteDemand& entry : frame.demand) {
    in.Take(entry.route);
    entry.calls_per_s = in.TakeFraction();
    entry.work_ms = in.TakeFraction();
  }
  frame.roots.resize(in.TakeCount());
  for (control::RootRate& entry : frame.roots) {
    in.Take(entry.route);
    entry.offered_per_s = in.TakeFraction();
    entry.admitted_per_s = in.TakeFraction();
  }
  // An older node says nothing of it.
  frame.born = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.born);
  }
  TakeRepeats(in, frame.repeats);
  frame.has_source = !in.IsAtEnd() && in.TakeByte() != 0;
  TakeCalls(in, frame.roots);
  frame.erring = TakeErring(in);
  return in.IsGood();
}

}  // namespace almondlink::relay
