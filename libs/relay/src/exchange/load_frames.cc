#include <algorithm>

#include "almondlink/relay/peer_frames.h"
#include "frame_codec.h"

/// Frames of the sums of loads, see almondlink/control/load_sums.h.
namespace almondlink::relay {

namespace {

/// Maximum number of silent nodes named in a frame. Each of the others is named
/// once these have been lost or answer again.
constexpr std::size_t kMaxSilentNodes = 256;

void PutDemand(std::uint32_t route,
               const control::DemandSums& demand,
               Writer& writer) {
  writer.Put(route);
  writer.PutVarintFraction(demand.calls_per_s);
  writer.PutVarintFraction(demand.timed_calls_per_s);
  writer.PutVarintFraction(demand.timed_work);
}

void PutTargets(std::uint32_t service,
                const control::TargetSums& targets,
                Writer& writer) {
  writer.Put(service);
  writer.PutVarint(targets.targets);
  writer.PutVarintFraction(targets.waiting);
  writer.PutVarintFraction(targets.slots);
  writer.PutVarintFraction(targets.timed_slots);
  // Slots per millisecond may be far below a hundredth; the mean time is not.
  writer.PutVarintFraction(targets.slots_per_ms > 0
                               ? targets.timed_slots / targets.slots_per_ms
                               : 0);
  writer.PutVarint(targets.demand.size());
  for (const auto& [route, demand] : targets.demand) {
    PutDemand(route, demand, writer);
  }
}

void TakeTargets(Reader& in, control::LoadSums& sums) {
  std::uint32_t service = 0;
  in.Take(service);
  control::TargetSums& targets = sums.services[service];
  targets.targets = in.TakeVarint32();
  targets.waiting = in.TakeVarintFraction();
  targets.slots = in.TakeVarintFraction();
  targets.timed_slots = in.TakeVarintFraction();
  const double work_ms = in.TakeVarintFraction();
  targets.slots_per_ms = work_ms > 0 ? targets.timed_slots / work_ms : 0;
  const std::size_t routes = in.TakeVarintCount();
  for (std::size_t i = 0; i < routes && in.IsGood(); ++i) {
    std::uint32_t route = 0;
    in.Take(route);
    control::DemandSums& demand = targets.demand[route];
    demand.calls_per_s = in.TakeVarintFraction();
    demand.timed_calls_per_s = in.TakeVarintFraction();
    demand.timed_work = in.TakeVarintFraction();
  }
}

void PutRoots(std::uint32_t route,
              const control::RootTotals& roots,
              Writer& writer) {
  writer.Put(route);
  writer.PutVarintFraction(roots.offered_per_s);
  writer.PutVarintFraction(roots.admitted_per_s);
  writer.PutVarintFraction(roots.counted_per_s);
  writer.PutVarint(roots.calls_per_s.size());
  for (const auto& [service, calls] : roots.calls_per_s) {
    writer.Put(service);
    writer.PutVarintFraction(calls);
  }
}

void TakeRoots(Reader& in, control::LoadSums& sums) {
  std::uint32_t route = 0;
  in.Take(route);
  control::RootTotals& roots = sums.roots[route];
  roots.offered_per_s = in.TakeVarintFraction();
  roots.admitted_per_s = in.TakeVarintFraction();
  roots.counted_per_s = in.TakeVarintFraction();
  const std::size_t services = in.TakeVarintCount();
  for (std::size_t i = 0; i < services && in.IsGood(); ++i) {
    std::uint32_t service = 0;
    in.Take(service);
    roots.calls_per_s[service] = in.TakeVarintFraction();
  }
}

}  // namespace

control::NodeLoad ToNodeLoad(const LoadReportFrame& report) {
  control::NodeLoad load;
  load.service = report.service;
  load.target.slots = report.slots;
  load.target.waiting = report.load.waiting;
  load.target.work_ms = report.load.work_ms;
  load.target.error_rate = report.load.error_rate;
  load.target.limit_per_s = report.limit_per_s;
  load.target.demand = report.load.demand;
  load.roots = report.load.roots;
  for (const ServiceRepeats& entry : report.load.repeats) {
    load.repeats[entry.service] = entry.counts;
  }
  return load;
}

void Append(const LoadReportFrame& frame, std::string& out) {
  Writer writer(FrameType::kLoadReport, out);
  writer.PutByte(static_cast<std::uint8_t>((frame.is_counted ? 1U : 0U) |
                                           (frame.is_last ? 2U : 0U)));
  writer.Put(frame.service);
  writer.PutVarint(frame.slots);
  PutLoad(frame.load, writer);
  PutOptionalRate(frame.limit_per_s, writer);
}

bool Decode(std::string_view payload, LoadReportFrame& frame) {
  Reader in(payload);
  const std::uint8_t flags = in.TakeByte();
  frame.is_counted = (flags & 1U) != 0;
  frame.is_last = (flags & 2U) != 0;
  in.Take(frame.service);
  frame.slots = in.TakeVarint32();
  TakeLoad(in, frame.load);
  frame.limit_per_s = TakeOptionalRate(in);
  return in.IsGood();
}

void AppendSums(FrameType type,
                const control::LoadSums& sums,
                std::string& out) {
  Writer writer(type, out);
  writer.PutVarint(sums.nodes);
  writer.PutVarint(sums.services.size());
  for (const auto& [service, targets] : sums.services) {
    PutTargets(service, targets, writer);
  }
  writer.PutVarint(sums.roots.size());
  for (const auto& [route, roots] : sums.roots) {
    PutRoots(route, roots, writer);
  }
  writer.PutVarint(sums.repeats.size());
  for (const auto& [service, repeats] : sums.repeats) {
    writer.Put(service);
    writer.PutVarint(repeats.requests);
    writer.PutVarint(repeats.requests_half_earlier);
    writer.PutVarint(repeats.requests_previous);
    writer.PutVarint(repeats.repeats);
  }
  const std::size_t silent =
      std::min(kMaxSilentNodes, sums.silent_nodes.size());
  writer.PutVarint(silent);
  for (std::size_t i = 0; i < silent; ++i) {
    writer.PutText(sums.silent_nodes[i]);
  }
}

bool Decode(std::string_view payload, control::LoadSums& sums) {
  Reader in(payload);
  sums = control::LoadSums();
  sums.nodes = in.TakeVarint32();
  const std::size_t services = in.TakeVarintCount();
  for (std::size_t i = 0; i < services && in.IsGood(); ++i) {
    TakeTargets(in, sums);
  }
  const std::size_t routes = in.TakeVarintCount();
  for (std::size_t i = 0; i < routes && in.IsGood(); ++i) {
    TakeRoots(in, sums);
  }
  const std::size_t repeated = in.TakeVarintCount();
  for (std::size_t i = 0; i < repeated && in.IsGood(); ++i) {
    std::uint32_t service = 0;
    in.Take(service);
    control::RepeatSums& repeats = sums.repeats[service];
    repeats.requests = in.TakeVarint();
    repeats.requests_half_earlier = in.TakeVarint();
    repeats.requests_previous = in.TakeVarint();
    repeats.repeats = in.TakeVarint();
  }
  sums.silent_nodes.resize(in.TakeVarintCount());
  for (std::string& node : sums.silent_nodes) {
    in.TakeText(node);
  }
  return in.IsGood();
}

}  // namespace almondlink::relay
