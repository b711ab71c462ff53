#include "ctl/control_client.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

// Longer than the request timeout of a control replica, so that the replica's
// own error usually arrives before the attempt times out.
constexpr Duration kAttemptTimeout = seconds(3);
constexpr Duration kRoundRetryDelay = milliseconds(100);

}  // namespace

bool IsRetryable(ResultCode code) {
  switch (code) {
    case ResultCode::kNotLeader:
    case ResultCode::kNoQuorum:
    case ResultCode::kConnectFailed:
    case ResultCode::kTransportTimeout:
    case ResultCode::kCancelled:
    case ResultCode::kShuttingDown:
      return true;
    default:
      return false;
  }
}

ControlClient::ControlClient(RpcClient& rpc,
                             const Clock& clock,
                             std::vector<std::string> replicas,
                             Duration timeout)
    : rpc(rpc), clock(clock), replicas(std::move(replicas)), timeout(timeout) {}

Result<Json::Value> ControlClient::CallLeader(const std::string& method,
                                              const Json::Value& params) {
  const TimePoint deadline = this->clock.Now() + this->timeout;
  std::size_t next = 0;
  Error last = MakeError(ResultCode::kConnectFailed);
  for (;;) {
    const Duration left = deadline - this->clock.Now();
    if (left <= Duration(0)) {
      return last;
    }
    const bool hinted = !this->leader.empty();
    const std::string address =
        hinted ? std::exchange(this->leader, {})
               : this->replicas[next++ % this->replicas.size()];
    Result<Json::Value> result = this->rpc.Call(
        address, method, params, std::min(left, kAttemptTimeout));
    if (result || !IsRetryable(result.error().code)) {
      this->leader = address;
      return result;
    }
    last = result.error();
    if (last.code == ResultCode::kNotLeader) {
      // The leader that a follower names may have just failed: it is tried
      // once, and the round over the replicas continues if that fails.
      const bool named = IsAddress(last.message) && last.message != address;
      this->leader = named && !hinted ? last.message : std::string();
      last.message = address + " is not the leader";
    } else {
      last.message = address + ": " + last.message;
    }
    if (this->leader.empty() && next % this->replicas.size() == 0) {
      std::this_thread::sleep_for(std::min(left, kRoundRetryDelay));
    }
  }
}

Result<Json::Value> ControlClient::CallAt(const std::string& address,
                                          const std::string& method,
                                          const Json::Value& params) {
  return this->rpc.Call(address, method, params,
                        std::min(this->timeout, kAttemptTimeout));
}

Result<Json::Value> ControlClient::CallAny(const std::string& method,
                                           const Json::Value& params) {
  Result<Json::Value> result = MakeError(ResultCode::kConnectFailed);
  for (const std::string& address : this->replicas) {
    result = this->CallAt(address, method, params);
    if (result) {
      break;
    }
  }
  return result;
}

}  // namespace sycamorebend
