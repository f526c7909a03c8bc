#ifndef ALMONDLINKD_LOOP_H_
#define ALMONDLINKD_LOOP_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

#include "almondlink/base/clock.h"
#include "almondlink/base/rcu.h"

namespace almondlink::daemon {

/// An event loop with the one thread that runs it.
struct Loop {
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{context.get_executor()};
  std::thread thread;

  /// Starts the thread. Call once.
  void Run() {
    this->thread = std::thread([this]() {
      const RcuThread rcu;
      this->context.run();
    });
  }

  /// Stops the loop and waits for its thread; does nothing without one.
  void Join() {
    this->guard.reset();
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
};

/// Longest time to wait for a loop that does not come to a question.
constexpr Millis kAskTimeout{2000};

/// Runs `task` on the loop and waits for what it returns; a default value if
/// the loop does not come to it. Never call it on the loop's own thread.
template <typename T, typename Task>
T AskLoop(boost::asio::io_context& context, Task task) {
  auto promise = std::make_shared<std::promise<T>>();
  std::future<T> future = promise->get_future();
  boost::asio::post(context, [promise, task]() { promise->set_value(task()); });
  const std::future_status status =
      future.wait_for(std::chrono::milliseconds(kAskTimeout.count));
  return status == std::future_status::ready ? future.get() : T{};
}

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_LOOP_H_
