#include <string>
#include <utility>

#include "almondlink/relay/peer_frames.h"
#include "frame_codec.h"

/// Frames of the sums for decisions, see almondlink/control/decision_sums.h.
namespace almondlink::relay {

namespace {

/// Writes the non-empty buckets of a histogram, each with its index.
template <typename Buckets, typename IsEmpty, typename PutBucket>
void PutBuckets(const Buckets& buckets,
                const IsEmpty& is_empty,
                const PutBucket& put,
                Writer& writer) {
  std::size_t used = 0;
  for (const auto& bucket : buckets) {
    used += is_empty(bucket) ? 0 : 1;
  }
  writer.PutVarint(used);
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    if (!is_empty(buckets[i])) {
      writer.PutByte(static_cast<std::uint8_t>(i));
      put(buckets[i]);
    }
  }
}

/// Reads what PutBuckets() wrote; an index out of range is an error.
template <typename Buckets, typename TakeBucket>
bool TakeBuckets(Reader& in, const TakeBucket& take, Buckets& buckets) {
  const std::size_t used = in.TakeVarintCount();
  for (std::size_t i = 0; i < used && in.IsGood(); ++i) {
    const std::size_t index = in.TakeByte();
    if (index >= buckets.size()) {
      return false;
    }
    take(buckets[index]);
  }
  return in.IsGood();
}

void PutDemand(const control::DemandHistogram& demand, Writer& writer) {
  PutBuckets(
      demand.buckets,
      [](const control::DemandBucket& bucket) { return bucket.per_s <= 0; },
      [&writer](const control::DemandBucket& bucket) {
        writer.PutVarintFraction(bucket.per_s);
        writer.PutVarintFraction(bucket.weight);
      },
      writer);
}

bool TakeDemand(Reader& in, control::DemandHistogram& demand) {
  return TakeBuckets(
      in,
      [&in](control::DemandBucket& bucket) {
        bucket.per_s = in.TakeVarintFraction();
        bucket.weight = in.TakeVarintFraction();
      },
      demand.buckets);
}

void PutRunTimes(const control::RunTimeHistogram& times, Writer& writer) {
  PutBuckets(
      times.runs, [](double runs) { return runs <= 0; },
      [&writer](double runs) { writer.PutVarintFraction(runs); }, writer);
}

bool TakeRunTimes(Reader& in, control::RunTimeHistogram& times) {
  return TakeBuckets(
      in, [&in](double& runs) { runs = in.TakeVarintFraction(); }, times.runs);
}

void PutZones(const control::DecisionSums& sums, Writer& writer) {
  writer.PutVarint(sums.zones.size());
  for (const auto& [place, load] : sums.zones) {
    writer.Put(place.first);
    writer.Put(place.second);
    writer.PutVarintFraction(load.slots);
    writer.PutVarintFraction(load.load);
    writer.PutVarintFraction(load.outstanding);
    writer.PutVarintFraction(load.waiting);
  }
}

void TakeZones(Reader& in, control::DecisionSums& sums) {
  const std::size_t zones = in.TakeVarintCount();
  for (std::size_t i = 0; i < zones && in.IsGood(); ++i) {
    control::ZoneService place;
    in.Take(place.first);
    in.Take(place.second);
    control::ZoneLoad& load = sums.zones[place];
    load.slots = in.TakeVarintFraction();
    load.load = in.TakeVarintFraction();
    load.outstanding = in.TakeVarintFraction();
    load.waiting = in.TakeVarintFraction();
  }
}

}  // namespace

void AppendDecisions(FrameType type,
                     const control::DecisionSums& sums,
                     std::string& out) {
  Writer writer(type, out);
  writer.PutVarint(sums.nodes);
  writer.PutVarint(sums.refusals.size());
  for (const auto& [service, rates] : sums.refusals) {
    writer.Put(service);
    writer.PutVarintFraction(rates.sent_per_s);
    writer.PutVarintFraction(rates.refused_per_s);
  }
  writer.PutVarint(sums.returns.size());
  for (const auto& [route, rates] : sums.returns) {
    writer.Put(route);
    writer.PutVarintFraction(rates.invited_per_s);
    writer.PutVarintFraction(rates.returned_per_s);
  }
  writer.PutVarint(sums.account_demand.size());
  for (const auto& [route, demand] : sums.account_demand) {
    writer.Put(route);
    PutDemand(demand, writer);
  }
  writer.PutVarint(sums.run_times.size());
  for (const auto& [route, times] : sums.run_times) {
    writer.Put(route);
    PutRunTimes(times, writer);
  }
  PutZones(sums, writer);
}

bool Decode(std::string_view payload, control::DecisionSums& sums) {
  Reader in(payload);
  sums = control::DecisionSums();
  sums.nodes = in.TakeVarint32();
  const std::size_t services = in.TakeVarintCount();
  for (std::size_t i = 0; i < services && in.IsGood(); ++i) {
    std::uint32_t service = 0;
    in.Take(service);
    control::RefusalRates& rates = sums.refusals[service];
    rates.sent_per_s = in.TakeVarintFraction();
    rates.refused_per_s = in.TakeVarintFraction();
  }
  const std::size_t returns = in.TakeVarintCount();
  for (std::size_t i = 0; i < returns && in.IsGood(); ++i) {
    std::uint32_t route = 0;
    in.Take(route);
    control::ReturnRates& rates = sums.returns[route];
    rates.invited_per_s = in.TakeVarintFraction();
    rates.returned_per_s = in.TakeVarintFraction();
  }
  const std::size_t classes = in.TakeVarintCount();
  for (std::size_t i = 0; i < classes && in.IsGood(); ++i) {
    std::uint32_t route = 0;
    in.Take(route);
    if (!TakeDemand(in, sums.account_demand[route])) {
      return false;
    }
  }
  const std::size_t routes = in.TakeVarintCount();
  for (std::size_t i = 0; i < routes && in.IsGood(); ++i) {
    std::uint32_t route = 0;
    in.Take(route);
    if (!TakeRunTimes(in, sums.run_times[route])) {
      return false;
    }
  }
  TakeZones(in, sums);
  return in.IsGood();
}

}  // namespace almondlink::relay
