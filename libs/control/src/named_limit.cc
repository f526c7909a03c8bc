#include "almondlink/control/named_limit.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

/// A limit is kept for at least this long after it was last named.
constexpr Millis kLimitRetention{500};
/// Relative change of a limit that is reported.
constexpr double kReportedChange = 0.1;
/// Minimum time between reports of changes: each goes to all nodes.
constexpr Millis kReportInterval{1000};
/// Limits from here on bind no target.
constexpr double kMaxRate = 1e6;
/// Requests per second that are sent whatever the limit: only an answer tells
/// that it has ended.
constexpr double kMinRate = 0.5;
/// Time for which unused tokens are kept. Requests that wait are sent with the
/// answers of others and with a timer of 50 ms, which may be late.
constexpr double kBurstMs = 500;
/// Maximum time of a reservation. Long enough for a turn of each of some
/// hundred nodes at a low limit; a limit that rises or ends is told to all.
constexpr double kMaxReservationMs = 10000;
constexpr double kMsPerSecond = 1000;
/// Admitted requests in multiples of the limit.
constexpr double kPlannedFactor = 1.1;

double SendRate(const NamedLimit& limit) {
  return std::max(kMinRate, *limit.per_s);
}

double MaxTokens(const NamedLimit& limit) {
  return std::max(1.0, SendRate(limit) * kBurstMs / kMsPerSecond);
}

/// Starts with an empty bucket.
void StartLimit(Millis now, NamedLimit& limit) {
  limit.bucket.is_initialized = true;
  limit.bucket.tokens = 0;
  limit.bucket.filled_at = now;
  limit.reserved_until = 0;
}

bool IsToBeReported(Millis now, const NamedLimit& limit) {
  const std::optional<double>& reported = limit.reported_per_s;
  if (!limit.per_s.has_value() || !reported.has_value()) {
    return limit.per_s.has_value() != reported.has_value();
  }
  return now - limit.reported_at >= kReportInterval &&
         std::abs(*limit.per_s - *reported) > kReportedChange * *reported;
}

}  // namespace

bool UpdateNamedLimit(Millis now,
                      Millis sent_at,
                      std::optional<double> per_s,
                      NamedLimit& limit) {
  if (per_s.has_value()) {
    if (!limit.per_s.has_value()) {
      StartLimit(now, limit);
    }
    limit.per_s = std::min(kMaxRate, *per_s);
    limit.named_at = now;
  } else if (sent_at - limit.named_at >= kLimitRetention) {
    limit.per_s.reset();
  }
  const bool is_reported = IsToBeReported(now, limit);
  if (is_reported) {
    limit.reported_per_s = limit.per_s;
    limit.reported_at = now;
  }
  return is_reported;
}

bool MaySend(Millis now, NamedLimit& limit) {
  if (!limit.per_s.has_value()) {
    return true;
  }
  Refill(SendRate(limit), MaxTokens(limit), now, limit.bucket);
  return limit.bucket.tokens >= 1;
}

void CountSend(NamedLimit& limit) {
  if (limit.per_s.has_value()) {
    limit.bucket.tokens -= 1;
  }
}

Millis ReserveSend(Millis now, std::uint32_t waiting, NamedLimit& limit) {
  if (!limit.per_s.has_value() || (waiting == 0 && MaySend(now, limit))) {
    return Millis{0};
  }
  Refill(SendRate(limit), MaxTokens(limit), now, limit.bucket);
  const double interval = kMsPerSecond / SendRate(limit);
  const auto now_ms = static_cast<double>(now.count);
  const double earliest =
      now_ms + std::max(0.0, waiting + 1 - limit.bucket.tokens) * interval;
  limit.reserved_until =
      std::min(now_ms + kMaxReservationMs,
               std::max(earliest, limit.reserved_until + interval));
  return Millis{
      static_cast<std::int64_t>(std::ceil(limit.reserved_until - now_ms))};
}

Millis TimeToSend(std::uint32_t waiting, const NamedLimit& limit) {
  if (!limit.per_s.has_value()) {
    return Millis{0};
  }
  return Millis{
      static_cast<std::int64_t>(waiting * kMsPerSecond / SendRate(limit))};
}

double PlannedSlotsWithinLimit(double per_s, double work_ms) {
  return kPlannedFactor * per_s * work_ms / kMsPerSecond;
}

std::uint32_t SlotsWithinLimit(std::uint32_t slots,
                               std::optional<double> per_s,
                               double work_ms) {
  if (!per_s.has_value() || work_ms <= 0) {
    return slots;
  }
  const double used = std::ceil(*per_s * work_ms / kMsPerSecond);
  return used >= slots ? slots : std::max(1U, static_cast<std::uint32_t>(used));
}

}  // namespace almondlink::control
