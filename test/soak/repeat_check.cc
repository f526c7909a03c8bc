#include "test/soak/repeat_check.h"

#include <algorithm>
#include <set>

namespace almondlink::test {

namespace {

using Clock = std::chrono::steady_clock;

/// The bound on repeats, as in the nodes' settings.
constexpr double kRepeatRatio = 0.2;
constexpr double kRepeatFixed = 40;
constexpr std::chrono::milliseconds kRepeatWindow{10'000};

/// Number of times in the window that begins at `from`. Precondition: sorted.
int CountInWindow(const std::vector<Clock::time_point>& times,
                  Clock::time_point from) {
  return static_cast<int>(
      std::lower_bound(times.begin(), times.end(), from + kRepeatWindow) -
      std::lower_bound(times.begin(), times.end(), from));
}

}  // namespace

RepeatCheck CheckRepeats(std::vector<Arrival> all) {
  std::sort(all.begin(), all.end());
  std::set<std::string> known;
  std::vector<Clock::time_point> firsts;
  std::vector<Clock::time_point> repeats;
  for (const auto& [at, id] : all) {
    (known.insert(id).second ? firsts : repeats).push_back(at);
  }
  RepeatCheck check;
  check.repeats = static_cast<int>(repeats.size());
  for (const Clock::time_point& from : repeats) {
    const int many = CountInWindow(repeats, from);
    const int requests =
        std::max({CountInWindow(firsts, from),
                  CountInWindow(firsts, from - kRepeatWindow),
                  CountInWindow(firsts, from - kRepeatWindow / 2)});
    if (many > kRepeatRatio * requests + kRepeatFixed) {
      check.is_broken = true;
      check.worst_repeats = many;
      check.worst_requests = requests;
      return check;
    }
  }
  return check;
}

}  // namespace almondlink::test
