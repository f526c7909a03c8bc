#ifndef ALMONDLINK_MODEL_SRC_VIRTUAL_CLOCK_H_
#define ALMONDLINK_MODEL_SRC_VIRTUAL_CLOCK_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "almondlink/base/clock.h"

namespace almondlink::model {

/// Virtual time: events run in order of time, those of one time in the order
/// they were added.
class VirtualClock {
 public:
  using Task = std::function<void()>;

  /// Now, in milliseconds with fractions.
  double Now() const { return this->now; }
  /// Now, as the decisions take it.
  Millis NowMillis() const {
    return Millis{static_cast<std::int64_t>(this->now)};
  }

  /// Runs `task` after `delay` milliseconds.
  void Schedule(double delay, Task task) {
    this->events.push(Event{this->now + (delay > 0 ? delay : 0),
                            ++this->sequence, std::move(task)});
  }

  /// Runs events up to `until`.
  void RunUntil(double until) {
    while (!this->events.empty() && this->events.top().time <= until) {
      // The queue hands out const references only; the event is removed next.
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
