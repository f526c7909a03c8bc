#include "almondlink/relay/target_pool.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "almondlink/relay/target_probe.h"
#include "target_connection.h"

namespace almondlink::relay {

TargetPool::TargetPool(boost::asio::io_context& loop, const HeaderNames& names)
    : state(std::make_shared<State>(loop, names)) {}

TargetPool::~TargetPool() {
  this->CloseIdle();
}

void TargetPool::SetAddress(const boost::asio::ip::tcp::endpoint& address) {
  if (this->state->address != address) {
    this->CloseIdle();
    this->state->address = address;
  }
}

/// Removes the most recently used idle connection that the request may be sent
/// on and returns it; null if there is none.
TargetExchange TargetPool::TakeIdle(Millis now, const TargetRequest& request) {
  if (!request.is_repeatable) {
    return nullptr;
  }
  std::vector<std::shared_ptr<TargetConnection>>& idle = this->state->idle;
  for (std::size_t index = idle.size(); index-- > 0;) {
    TargetExchange candidate = idle[index];
    const auto place = idle.begin() + static_cast<std::ptrdiff_t>(index);
    if (!candidate->IsOpen() || now >= candidate->IdleUntil()) {
      idle.erase(place);
      candidate->Close();
      continue;
    }
    if (!candidate->HasCarried(request.id)) {
      idle.erase(place);
      return candidate;
    }
  }
  return nullptr;
}

TargetExchange TargetPool::Send(Millis now,
                                TargetRequest request,
                                TargetEvents events) {
  TargetExchange idle = this->TakeIdle(now, request);
  if (idle != nullptr) {
    idle->Use(std::move(request), std::move(events));
    return idle;
  }
  std::shared_ptr<TargetConnection> fresh = std::make_shared<TargetConnection>(
      this->state, this->state->loop, this->state->names);
  ++this->state->connects;
  this->state->connecting.push_back(fresh);
  fresh->Open(now, this->state->address, std::move(request), std::move(events));
  return fresh;
}

void TargetPool::Cancel(const TargetExchange& exchange) {
  if (exchange != nullptr) {
    exchange->Close();
  }
}

void TargetPool::OnConsumed(const TargetExchange& exchange, std::size_t bytes) {
  if (exchange != nullptr) {
    exchange->OnConsumed(bytes);
  }
}

std::size_t TargetPool::CarriedBefore(const TargetExchange& exchange) {
  return exchange == nullptr ? 0 : exchange->CarriedBefore();
}

void TargetPool::Sweep(Millis now) {
  std::vector<std::weak_ptr<TargetConnection>> connecting;
  connecting.swap(this->state->connecting);
  for (const std::weak_ptr<TargetConnection>& entry : connecting) {
    const std::shared_ptr<TargetConnection> connection = entry.lock();
    if (connection != nullptr && connection->IsBusy()) {
      connection->CheckConnect(now);
      this->state->connecting.push_back(entry);
    }
  }
  std::vector<std::shared_ptr<TargetConnection>>& idle = this->state->idle;
  const auto is_over = [now](const std::shared_ptr<TargetConnection>& entry) {
    if (entry->IsOpen() && now < entry->IdleUntil()) {
      return false;
    }
    entry->Close();
    return true;
  };
  idle.erase(std::remove_if(idle.begin(), idle.end(), is_over), idle.end());
}

void TargetPool::CloseIdle() {
  for (const std::shared_ptr<TargetConnection>& entry : this->state->idle) {
    entry->Close();
  }
  this->state->idle.clear();
}

void TargetPool::CheckProcessGone(
    std::function<void(bool is_gone)> done) const {
  const std::weak_ptr<State> weak = this->state;
  ProbeTarget(this->state->loop, this->state->address,
              [weak, done = std::move(done)](TargetProbeResult result) {
                if (!weak.expired()) {
                  done(result == TargetProbeResult::kNotListening);
                }
              });
}

void TargetPool::CheckHealth(
    const std::string& path,
    std::function<void(const HealthAnswer&)> done) const {
  const std::weak_ptr<State> weak = this->state;
  AskForHealth(this->state->loop, this->state->address, this->state->names,
               path,
               [weak, done = std::move(done)](const HealthAnswer& answer) {
                 if (!weak.expired()) {
                   done(answer);
                 }
               });
}

bool TargetPool::HasOpenIdle() const {
  const auto& idle = this->state->idle;
  return std::any_of(idle.begin(), idle.end(),
                     [](const std::shared_ptr<TargetConnection>& connection) {
                       return connection->IsOpen();
                     });
}

std::uint64_t TargetPool::ConnectCount() const {
  return this->state->connects;
}

}  // namespace almondlink::relay
