#include "almondlinkd/lost_calls.h"

#include "almondlink/relay/target_probe.h"

namespace almondlink::daemon {

struct LostCalls::State {
  boost::asio::io_context& loop;
  config::Endpoint target;
  OnSettled on_settled;
  List calls;
};

LostCalls::LostCalls(boost::asio::io_context& loop,
                     const config::Endpoint& target,
                     OnSettled on_settled)
    : state(std::make_shared<State>(
          State{loop, target, std::move(on_settled), {}})) {}

void LostCalls::Add(control::Ticket ticket, server::TargetAnswer result) {
  this->state->calls.emplace_back(ticket, std::move(result));
  if (this->state->calls.size() > 1) {
    return;
  }
  const config::Endpoint& target = this->state->target;
  relay::ProbeTarget(
      this->state->loop,
      {boost::asio::ip::make_address(target.ip), target.port},
      [weak = std::weak_ptr<State>(this->state)](
          relay::TargetProbeResult presence) {
        if (const std::shared_ptr<State> open = weak.lock()) {
          const List settled = std::exchange(open->calls, {});
          open->on_settled(settled,
                           presence == relay::TargetProbeResult::kNotListening);
        }
      });
}

}  // namespace almondlink::daemon
