#include <algorithm>
#include <utility>

#include "almondlink/base/hash.h"
#include "almondlink/relay/peer_frames.h"
#include "frame_codec.h"

/// Frames that carry the identity, state and load of nodes.
namespace almondlink::relay {

namespace {

void PutRepeats(const std::vector<ServiceRepeats>& repeats, Writer& writer) {
  writer.PutVarint(repeats.size());
  for (const ServiceRepeats& entry : repeats) {
    writer.Put(entry.service);
    writer.PutVarint(entry.counts.requests);
    writer.PutVarint(entry.counts.requests_half_earlier);
    writer.PutVarint(entry.counts.requests_previous);
    writer.PutVarint(entry.counts.repeats);
  }
}

/// Older nodes do not send them.
void TakeRepeats(Reader& in, std::vector<ServiceRepeats>& repeats) {
  repeats.clear();
  if (in.IsAtEnd()) {
    return;
  }
  repeats.resize(in.TakeVarintCount());
  for (ServiceRepeats& entry : repeats) {
    in.Take(entry.service);
    entry.counts.requests = in.TakeVarint32();
    entry.counts.requests_half_earlier = in.TakeVarint32();
    entry.counts.requests_previous = in.TakeVarint32();
    entry.counts.repeats = in.TakeVarint32();
  }
}

/// Writes the call chains of the routes that have any.
void PutCalls(const std::vector<control::RootRate>& roots, Writer& writer) {
  writer.PutVarint(static_cast<std::uint64_t>(std::count_if(
      roots.begin(), roots.end(),
      [](const control::RootRate& root) { return !root.calls.empty(); })));
  for (const control::RootRate& root : roots) {
    if (root.calls.empty()) {
      continue;
    }
    writer.Put(root.route);
    writer.PutVarint(root.calls.size());
    for (const control::ServiceCalls& calls : root.calls) {
      writer.Put(calls.service);
      writer.PutVarintFraction(calls.per_root);
    }
  }
}

/// Older nodes do not send them.
void TakeCalls(Reader& in, std::vector<control::RootRate>& roots) {
  const std::size_t count = in.IsAtEnd() ? 0 : in.TakeVarintCount();
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    std::uint32_t route = 0;
    in.Take(route);
    std::vector<control::ServiceCalls> all(in.TakeVarintCount());
    for (control::ServiceCalls& calls : all) {
      in.Take(calls.service);
      calls.per_root = in.TakeVarintFraction();
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
  writer.Put(static_cast<std::uint32_t>(frame.known_nodes.size()));
  for (const NodeAddress& node : frame.known_nodes) {
    PutAddress(node, writer);
  }
  writer.Put(static_cast<std::uint32_t>(frame.draining_instances.size()));
  for (const InstanceRecord& record : frame.draining_instances) {
    writer.PutText(record.node);
    writer.PutText(record.instance);
    writer.Put(record.sequence);
    writer.PutByte(static_cast<std::uint8_t>(record.state));
  }
  writer.Put(frame.protocol_version);
  writer.Put(frame.known_incarnation);
  for (const InstanceRecord& record : frame.draining_instances) {
    writer.Put(record.started_at);
  }
  writer.Put(frame.previous_incarnation);
  PutRepeats(frame.previous_repeats, writer);
  writer.PutByte(frame.has_repeat_counts ? 1 : 0);
  writer.PutByte(frame.shares_link ? 1 : 0);
  PutOptionalRate(frame.known_limit_per_s, writer);
  if (frame.known_limit_per_s.has_value()) {
    writer.PutText(frame.limited_instance);
    writer.Put(frame.limited_started_at);
  }
  writer.PutByte(frame.has_earlier_state ? 1 : 0);
}

bool Decode(std::string_view payload, HelloFrame& frame) {
  Reader in(payload);
  TakeAddress(in, frame.self);
  in.TakeText(frame.zone);
  in.TakeText(frame.deployment);
  frame.known_nodes.resize(in.TakeCount());
  for (NodeAddress& node : frame.known_nodes) {
    TakeAddress(in, node);
  }
  frame.draining_instances.resize(in.TakeCount());
  for (InstanceRecord& record : frame.draining_instances) {
    in.TakeText(record.node);
    in.TakeText(record.instance);
    in.Take(record.sequence);
    record.state = static_cast<InstanceState>(in.TakeByte());
    record.started_at = 0;
  }
  // Older nodes do not send these fields.
  frame.protocol_version = 0;
  frame.known_incarnation = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.protocol_version);
  }
  if (!in.IsAtEnd()) {
    in.Take(frame.known_incarnation);
    for (InstanceRecord& record : frame.draining_instances) {
      in.Take(record.started_at);
    }
  }
  frame.previous_incarnation = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.previous_incarnation);
  }
  TakeRepeats(in, frame.previous_repeats);
  frame.has_repeat_counts = in.IsAtEnd() || in.TakeByte() != 0;
  frame.shares_link = !in.IsAtEnd() && in.TakeByte() != 0;
  frame.known_limit_per_s = TakeOptionalRate(in);
  frame.limited_instance.clear();
  frame.limited_started_at = 0;
  if (frame.known_limit_per_s.has_value()) {
    in.TakeText(frame.limited_instance);
    in.Take(frame.limited_started_at);
  }
  frame.has_earlier_state = !in.IsAtEnd() && in.TakeByte() != 0;
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
  load.error_rate = state.error_rate;
  load.speed = state.speed;
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
  state.error_rate = load.error_rate;
  state.speed = load.speed;
}

StateFrame WithoutSummed(StateFrame state) {
  if (state.is_load_summed) {
    state.demand.clear();
    state.roots.clear();
    state.repeats.clear();
  }
  return state;
}

bool EqualExceptLoadAndVersion(const StateFrame& a, const StateFrame& b) {
  return a.is_stopping == b.is_stopping && a.service == b.service &&
         a.zone == b.zone && a.instance == b.instance &&
         a.started_at == b.started_at && a.state == b.state &&
         a.slots == b.slots && a.has_source == b.has_source &&
         a.is_load_summed == b.is_load_summed && a.limit_per_s == b.limit_per_s;
}

bool EqualExceptLoad(const StateFrame& a, const StateFrame& b) {
  return a.policy_version == b.policy_version &&
         EqualExceptLoadAndVersion(a, b);
}

bool IsLimitEased(const StateFrame& before, const StateFrame& now) {
  return !now.limit_per_s.has_value() || now.limit_per_s > before.limit_per_s;
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
  PutLoad(frame, writer);
  writer.PutVarintFraction(frame.speed);
}

bool Decode(std::string_view payload, LoadFrame& frame) {
  Reader in(payload);
  TakeLoad(in, frame);
  frame.speed = TakeSpeed(in);
  return in.IsGood();
}

void PutLoad(const LoadFrame& frame, Writer& writer) {
  writer.PutVarint(frame.running);
  writer.PutVarint(frame.waiting);
  writer.PutVarintFraction(frame.work_ms);
  writer.PutVarintFraction(frame.calls_per_run);
  writer.PutVarint(frame.demand.size());
  for (const control::RouteDemand& entry : frame.demand) {
    writer.Put(entry.route);
    writer.PutVarintFraction(entry.calls_per_s);
    writer.PutVarintFraction(entry.work_ms);
  }
  writer.PutVarint(frame.roots.size());
  for (const control::RootRate& entry : frame.roots) {
    writer.Put(entry.route);
    writer.PutVarintFraction(entry.offered_per_s);
    writer.PutVarintFraction(entry.admitted_per_s);
  }
  PutRepeats(frame.repeats, writer);
  PutCalls(frame.roots, writer);
  writer.PutVarintFraction(frame.error_rate);
}

void TakeLoad(Reader& in, LoadFrame& frame) {
  frame.running = in.TakeVarint32();
  frame.waiting = in.TakeVarint32();
  frame.work_ms = in.TakeVarintFraction();
  frame.calls_per_run = in.TakeVarintFraction();
  frame.demand.resize(in.TakeVarintCount());
  for (control::RouteDemand& entry : frame.demand) {
    in.Take(entry.route);
    entry.calls_per_s = in.TakeVarintFraction();
    entry.work_ms = in.TakeVarintFraction();
  }
  frame.roots.resize(in.TakeVarintCount());
  for (control::RootRate& entry : frame.roots) {
    in.Take(entry.route);
    entry.offered_per_s = in.TakeVarintFraction();
    entry.admitted_per_s = in.TakeVarintFraction();
  }
  TakeRepeats(in, frame.repeats);
  TakeCalls(in, frame.roots);
  frame.error_rate = TakeErrorRate(in);
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
  writer.Put(frame.started_at);
  PutRepeats(frame.repeats, writer);
  writer.PutByte(frame.has_source ? 1 : 0);
  PutCalls(frame.roots, writer);
  writer.PutVarintFraction(frame.error_rate);
  writer.PutByte(frame.is_load_summed ? 1 : 0);
  PutOptionalRate(frame.limit_per_s, writer);
  writer.PutVarintFraction(frame.speed);
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
  // Older nodes do not send it.
  frame.started_at = 0;
  if (!in.IsAtEnd()) {
    in.Take(frame.started_at);
  }
  TakeRepeats(in, frame.repeats);
  frame.has_source = !in.IsAtEnd() && in.TakeByte() != 0;
  TakeCalls(in, frame.roots);
  frame.error_rate = TakeErrorRate(in);
  frame.is_load_summed = !in.IsAtEnd() && in.TakeByte() != 0;
  frame.limit_per_s = TakeOptionalRate(in);
  frame.speed = TakeSpeed(in);
  return in.IsGood();
}

}  // namespace almondlink::relay
