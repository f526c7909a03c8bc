#ifndef ALMONDLINK_TEST_SOAK_REPEAT_CHECK_H_
#define ALMONDLINK_TEST_SOAK_REPEAT_CHECK_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace almondlink::test {

/// An arrival at a target: its time, and the id of the request.
using Arrival = std::pair<std::chrono::steady_clock::time_point, std::string>;

struct RepeatCheck {
  /// Arrivals beyond the first of each request.
  int repeats = 0;
  bool is_broken = false;
  /// In the first window with too many: repeats and requests.
  int worst_repeats = 0;
  int worst_requests = 0;
};

/// Whether in any window the arrivals beyond the first of each request stay
/// within the bound of the nodes' settings, over all nodes and however many of
/// them were restarted. `all`: arrivals at the targets of one service.
RepeatCheck CheckRepeats(std::vector<Arrival> all);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SOAK_REPEAT_CHECK_H_
