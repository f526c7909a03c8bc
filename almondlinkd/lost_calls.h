#ifndef ALMONDLINKD_LOST_CALLS_H_
#define ALMONDLINKD_LOST_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "almondlink/config/setting.h"
#include "almondlink/control/admission.h"
#include "almondlink/server/target_client.h"

namespace almondlink::daemon {

/// Calls whose connections to the target closed, until it is known whether its
/// process is gone: all of its connections close at once then, and what ran on
/// them has to be looked at together. Belongs to one loop.
class LostCalls {
 public:
  using List = std::vector<std::pair<control::Ticket, server::TargetAnswer>>;
  /// Called from the loop within a tenth of a second after a first Add.
  using OnSettled = std::function<void(const List& calls, bool is_gone)>;

  LostCalls(boost::asio::io_context& loop,
            const config::Endpoint& target,
            OnSettled on_settled);

  void Add(control::Ticket ticket, server::TargetAnswer result);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_LOST_CALLS_H_
