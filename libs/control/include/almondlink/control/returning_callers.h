#ifndef ALMONDLINK_CONTROL_RETURNING_CALLERS_H_
#define ALMONDLINK_CONTROL_RETURNING_CALLERS_H_

#include <cstdint>
#include <optional>

#include "almondlink/base/clock.h"
#include "almondlink/control/decision_sums.h"
#include "almondlink/control/demand_meter.h"

/// Callers that return after a refusal: which requests are such returns, how
/// they are admitted, and which refused callers are invited to return.
///
/// Without this, a caller that returns is drawn again with the same share as a
/// new one, so a quarter of the callers is refused twice where three quarters
/// can be served. Here refusals invite as many callers per second as a fifth of
/// what is admitted, and callers that return are admitted first. All others are
/// told to return when the shortage is expected to end.
///
/// A request is recognized as a return by the time that is left of its
/// caller's deadline. A client can state less than it has. If more requests
/// look like returns than callers were invited, the preference is scaled down
/// by that ratio, so all such clients together never get more preference than
/// was granted by invitations.
///
/// Designed for: a class that is short of capacity for seconds or all day,
/// whose refused callers return once.
namespace almondlink::control {

struct ReturnRules {
  /// Part of the admitted requests that returning callers may take. With a
  /// larger part, every new caller would be refused once before being served.
  double returning_part = 0.2;
  /// A request returns if it has less time left than usual by more than the
  /// larger of these. The transport to the node and the rounding of clients
  /// take up to some tens of milliseconds.
  Millis tolerance{25};
  double relative_tolerance = 0.01;
  /// The usual deadline is the longest that callers stated in the current and
  /// the previous window of this length. A node that gets a request of the
  /// class every ten seconds still sees new callers in each window.
  Millis deadline_window{30'000};
  /// A shortage ends after all requests were admitted for this long, so that a
  /// demand that oscillates around the capacity is one shortage.
  Millis recovery{1000};
  /// Longest expected remainder of a shortage. Also bounds the time for which
  /// callers stay away after a shortage of hours.
  Millis max_remainder{60'000};
  /// Admitted share from which a refused caller returns while an answer still
  /// has its full value, however long the shortage lasts: it has a fair chance
  /// then, and callers wait for a third of their remaining time at most.
  double fair_share = 0.25;
};

/// Numbers of callers since the start of the node, for metrics.
struct ReturnCounts {
  /// Refused callers that were invited to return while the shortage lasts.
  std::uint64_t invited = 0;
  /// Refused callers that were told to return at the expected end of the
  /// shortage, within their deadline.
  std::uint64_t after_shortage = 0;
  /// Refused callers that were told to return after their deadline.
  std::uint64_t no_capacity = 0;
  /// Requests that are returns, and those that were served.
  std::uint64_t returned = 0;
  std::uint64_t returned_served = 0;
};

/// State of one class of root requests at one node. Not thread safe.
struct ReturningClass {
  /// Longest deadline stated in the current and in the previous window.
  Millis longest_stated;
  Millis previous_longest;
  Millis window_start;
  /// Since when the class is short of capacity, if it is, and since when all
  /// of its requests are admitted again.
  std::optional<Millis> short_since;
  std::optional<Millis> recovered_since;
  /// Callers of this node.
  RateMeter invited;
  RateMeter returned;
  ReturnCounts counts;
};

/// Closes the rate window of `span_ms` milliseconds and follows the beginning
/// and the end of a shortage. `share` is the admitted share of the class. Call
/// about every 100 ms; does nothing unless `span_ms` is above 0.
void UpdateReturningClass(const ReturnRules& rules,
                          Millis now,
                          double span_ms,
                          double share,
                          ReturningClass& state);

/// Rates of this node, for the sums over all nodes.
ReturnRates LocalReturnRates(const ReturningClass& state);

/// Counts a request and returns whether its caller returns after a refusal.
/// `time_left` is what the caller states to be left of its deadline; a request
/// without it counts as new.
bool RecordCaller(const ReturnRules& rules,
                  Millis now,
                  std::optional<Millis> time_left,
                  ReturningClass& state);

/// Rates of a class, all over the same nodes.
struct ReturnLoad {
  double offered_per_s = 0;
  ReturnRates returns;
};

/// Admitted shares of returning and of new requests.
struct ReturnShares {
  double returning = 1;
  double first = 1;
};

/// Divides the share `share` of an account of the class (or of the class)
/// among returning and new requests, so that the same number is admitted in
/// all. `class_share` is the admitted share of the class. Requests are never
/// preferred for being new: where returns exceed `returning_part` of the
/// offered requests, both shares are `share`.
ReturnShares DivideShare(const ReturnRules& rules,
                         double class_share,
                         double share,
                         const ReturnLoad& load);

/// A caller whose request is refused.
struct RefusedCaller {
  /// What is left of its deadline; not set if the caller states none.
  std::optional<Millis> time_left;
  /// Time after which an invited caller returns, with jitter.
  Millis usual_wait;
  /// Time that an answer is expected to take.
  Millis answer_time;
  /// Longest wait after which an answer still has its full value.
  Millis full_value_wait;
  /// Admitted share of requests like this one.
  double share = 1;
};

/// When a refused caller is told to return.
struct ReturnPlan {
  enum class Kind { kNoShortage, kInvited, kAfterShortage, kNoCapacity };
  Kind kind = Kind::kNoShortage;
  Millis wait;
};

/// Decides when a refused caller is told to return, and counts it.
/// `invitation_draw` and `jitter_draw` are random numbers, uniform in [0, 1).
ReturnPlan PlanReturn(const ReturnRules& rules,
                      Millis now,
                      const RefusedCaller& caller,
                      double invitation_draw,
                      double jitter_draw,
                      ReturningClass& state);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RETURNING_CALLERS_H_
