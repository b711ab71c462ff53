#include <fmt/format.h>

#include <algorithm>

#include "sycamorebend/placement.h"

namespace sycamorebend {

OrderGate::OrderGate(const OrderGateOptions& options) : options(options) {}

void OrderGate::OnFenceGranted(std::uint64_t fence,
                               TimePoint asked_at,
                               TimePoint now) {
  if (fence <= this->fence) {
    return;
  }
  this->fence = fence;
  this->lease_until = asked_at + this->options.fence_lease;
  // The previous holder may send until its lease ends, and the engine may start
  // its last command up to one lifetime later.
  this->quiet_from =
      now + this->options.fence_lease + this->options.order_lifetime;
  this->read_at.clear();
}

void OrderGate::OnFenceLost() {
  this->lease_until = TimePoint();
}

void OrderGate::OnFenceConfirmed(std::uint64_t fence, TimePoint asked_at) {
  if (fence == this->fence) {
    this->lease_until =
        std::max(this->lease_until, asked_at + this->options.fence_lease);
  }
}

void OrderGate::OnEngineStateRead(const std::string& server_id,
                                  TimePoint asked_at) {
  this->read_at[server_id] = asked_at;
}

void OrderGate::OnOrderSent(const std::string& server_id) {
  this->read_at.erase(server_id);
}

Result<FencedOrder> OrderGate::Admit(const EngineOrder& order,
                                     bool checks_fence,
                                     TimePoint now) const {
  if (this->fence == 0 || now >= this->lease_until) {
    return MakeError(ResultCode::kFenceTooOld,
                     "the lease of the fencing token has expired");
  }
  if (!checks_fence && now < this->quiet_from) {
    return MakeError(
        ResultCode::kFenceTooOld,
        fmt::format("{} does not check fencing tokens; commands of a previous "
                    "holder can still arrive for {} ms",
                    order.server_id, ToMilliseconds(this->quiet_from - now)));
  }
  const auto read = this->read_at.find(order.server_id);
  const bool current = read != this->read_at.end() &&
                       (checks_fence || read->second >= this->quiet_from);
  if (!current) {
    return MakeError(
        ResultCode::kServerUnknown,
        fmt::format("the state of {} must be read before a command is sent",
                    order.server_id));
  }
  return FencedOrder{order, this->fence, this->options.order_lifetime};
}

}  // namespace sycamorebend
