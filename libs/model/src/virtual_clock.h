#ifndef ALMONDLINK_MODEL_SRC_VIRTUAL_CLOCK_H_
#define ALMONDLINK_MODEL_SRC_VIRTUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "almondlink/base/clock.h"

namespace almondlink::model {

/// Event queue in virtual time. Tasks run in order of time; tasks of the same
/// time run in the order in which they were scheduled.
class VirtualClock {
 public:
  using Task = std::function<void()>;

  /// Virtual time in milliseconds since the start, with fractions.
  double Now() const { return this->now; }
  /// Virtual time in whole milliseconds, as the functions of `control` take it.
  Millis NowMillis() const {
    return Millis{static_cast<std::int64_t>(this->now)};
  }

  /// Schedules `task` to run after `delay` milliseconds; a negative delay is 0.
  void Schedule(double delay, Task task) {
    this->events.push(Event{this->now + (delay > 0 ? delay : 0),
                            ++this->sequence, std::move(task)});
  }

  /// Runs all tasks due up to `until`, and sets the time to it.
  void RunUntil(double until) {
    while (!this->events.empty() && this->events.top().time <= until) {
      // top() returns a const reference; the move is safe because the event is
      // removed at once.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->now = event.time;
      event.task();
    }
    this->now = until;
  }

 private:
  struct Event {
    double time;
    std::uint64_t sequence;
    Task task;
    friend bool operator<(const Event& a, const Event& b) {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  double now = 0;
  std::uint64_t sequence = 0;
  std::priority_queue<Event> events;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_VIRTUAL_CLOCK_H_
