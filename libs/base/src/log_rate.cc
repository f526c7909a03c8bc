#include "almondlink/base/log_rate.h"

#include <algorithm>

namespace almondlink {

namespace {

constexpr double kMillisPerSecond = 1000;

void Refill(Millis now, LogRate& rate) {
  const double passed =
      static_cast<double>((now - rate.refilled).count) / kMillisPerSecond;
  rate.refilled = now;
  for (std::uint32_t i = 0; i < kVolumeCount; ++i) {
    rate.tokens[i] =
        std::min(kLinesAtOnce[i], rate.tokens[i] + passed * kLinesPerSecond[i]);
  }
}

}  // namespace

bool HasLine(Millis now, Volume volume, LogRate& rate) {
  Refill(now, rate);
  const auto index = static_cast<std::uint32_t>(volume);
  if (rate.tokens[index] < 1) {
    ++rate.left_out[index];
    return false;
  }
  return true;
}

bool TakeLine(Millis now, Volume volume, LogRate& rate) {
  if (!HasLine(now, volume, rate)) {
    return false;
  }
  rate.tokens[static_cast<std::uint32_t>(volume)] -= 1;
  return true;
}

}  // namespace almondlink
