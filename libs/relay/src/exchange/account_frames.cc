#include "almondlink/relay/account_frames.h"

#include <cmath>
#include <cstdint>

#include "frame_codec.h"

namespace almondlink::relay {

namespace {

/// Rates are encoded in thousandths: a node with one request of an account in
/// some seconds still has a rate.
constexpr double kRateScale = 1000;

void PutRates(FrameType type,
              const std::vector<AccountRate>& rates,
              std::string& out) {
  Writer writer(type, out);
  writer.PutVarint(rates.size());
  for (const AccountRate& rate : rates) {
    writer.Put(rate.account.account);
    writer.Put(rate.account.route);
    const double scaled = std::clamp(rate.per_s * kRateScale, 0.0,
                                     static_cast<double>(kMaxVarintFraction));
    writer.PutVarint(static_cast<std::uint64_t>(std::llround(scaled)));
  }
}

bool TakeRates(std::string_view payload, std::vector<AccountRate>& rates) {
  Reader in(payload);
  rates.clear();
  const std::size_t count = in.TakeVarintCount();
  if (count > kMaxDemandEntries) {
    return false;
  }
  for (std::size_t i = 0; i < count && in.IsGood(); ++i) {
    AccountRate& rate = rates.emplace_back();
    in.Take(rate.account.account);
    in.Take(rate.account.route);
    const std::uint64_t scaled = in.TakeVarint();
    if (scaled > kMaxVarintFraction) {
      return false;
    }
    rate.per_s = static_cast<double>(scaled) / kRateScale;
  }
  return in.IsGood();
}

}  // namespace

void Append(const AccountDemandFrame& frame, std::string& out) {
  PutRates(FrameType::kAccountDemand, frame.rates, out);
}

void Append(const AccountDemandTotalFrame& frame, std::string& out) {
  PutRates(FrameType::kAccountDemandTotal, frame.rates, out);
}

bool Decode(std::string_view payload, AccountDemandFrame& frame) {
  return TakeRates(payload, frame.rates);
}

bool Decode(std::string_view payload, AccountDemandTotalFrame& frame) {
  return TakeRates(payload, frame.rates);
}

}  // namespace almondlink::relay
