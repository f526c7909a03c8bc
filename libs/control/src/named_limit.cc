#include "almondlink/control/named_limit.h"

#include <cmath>

namespace almondlink::control {

namespace {

/// A limit is kept for at least this long after it was last named.
constexpr Millis kLimitRetention{500};
/// Relative change of a limit that is reported.
constexpr double kReportedChange = 0.1;

bool DiffersNotably(const std::optional<double>& limit,
                    const std::optional<double>& reported) {
  if (!limit.has_value() || !reported.has_value()) {
    return limit.has_value() != reported.has_value();
  }
  return std::abs(*limit - *reported) > kReportedChange * *reported;
}

}  // namespace

bool UpdateNamedLimit(Millis now,
                      Millis sent_at,
                      std::optional<double> per_s,
                      NamedLimit& limit) {
  if (per_s.has_value()) {
    limit.per_s = per_s;
    limit.named_at = now;
  } else if (sent_at - limit.named_at >= kLimitRetention) {
    limit.per_s.reset();
  }
  const bool is_reported = DiffersNotably(limit.per_s, limit.reported_per_s);
  if (is_reported) {
    limit.reported_per_s = limit.per_s;
  }
  return is_reported;
}

}  // namespace almondlink::control
