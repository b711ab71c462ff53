#include "control/leader_rpc_client.h"

#include <algorithm>
#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr Duration kRetryDelay = milliseconds(50);

bool IsRetryable(ResultCode code) {
  return code == ResultCode::kNotLeader || code == ResultCode::kNoQuorum ||
         code == ResultCode::kShuttingDown ||
         code == ResultCode::kConnectFailed ||
         code == ResultCode::kTransportTimeout ||
         code == ResultCode::kProtocolError || code == ResultCode::kLogBusy ||
         // A leader with a full disk hands its leadership over.
         code == ResultCode::kStorageFull;
}

// @return true if the leader has refused the call before it did anything.
bool IsRefusal(ResultCode code) {
  return code == ResultCode::kStorageFull || code == ResultCode::kLogBusy;
}

}  // namespace

bool MayHaveExecuted(ResultCode code) {
  return code == ResultCode::kCancelled ||
         (IsRetryable(code) && !IsRefusal(code));
}

std::string FindAddress(const std::string& text) {
  std::size_t begin = 0;
  constexpr const char* kAddressCharacters = "0123456789.:";
  while (begin < text.size()) {
    begin = text.find_first_of(kAddressCharacters, begin);
    if (begin == std::string::npos) {
      break;
    }
    const std::size_t end = std::min(
        text.find_first_not_of(kAddressCharacters, begin), text.size());
    std::string candidate = text.substr(begin, end - begin);
    // Strip a period or colon that ends a clause of the text.
    while (!candidate.empty() &&
           (candidate.back() == '.' || candidate.back() == ':')) {
      candidate.pop_back();
    }
    if (IsAddress(candidate)) {
      return candidate;
    }
    begin = end;
  }
  return {};
}

struct LeaderRpcClient::PendingCall {
  std::string method;
  Json::Value params;
  TimePoint deadline;
  RpcCallback callback;
};

LeaderRpcClient::LeaderRpcClient(ReplicaList replicas,
                                 RpcClient& rpc,
                                 TimerService& timers,
                                 const Clock& clock,
                                 Duration attempt_timeout)
    : replicas(std::move(replicas)),
      rpc(rpc),
      timers(timers),
      clock(clock),
      attempt_timeout(attempt_timeout) {}

void LeaderRpcClient::Call(const std::string& method,
                           const Json::Value& params,
                           TimePoint deadline,
                           RpcCallback callback) {
  this->SendAttempt(std::make_shared<PendingCall>(
      PendingCall{method, params, deadline, std::move(callback)}));
}

void LeaderRpcClient::SendAttempt(const std::shared_ptr<PendingCall>& call) {
  const std::string address = this->ChooseAddress();
  if (address.empty()) {
    call->callback(
        MakeError(ResultCode::kConnectFailed, "no control replica is known"));
    return;
  }
  const Duration left = call->deadline - this->clock.Now();
  const Duration timeout =
      std::clamp<Duration>(left, milliseconds(1), this->attempt_timeout);
  this->rpc.CallAsync(address, call->method, call->params, timeout,
                      [self = this->shared_from_this(), call,
                       address](Result<Json::Value> result) {
                        self->OnResult(call, address, std::move(result));
                      });
}

void LeaderRpcClient::OnResult(const std::shared_ptr<PendingCall>& call,
                               const std::string& address,
                               Result<Json::Value> result) {
  if (result || !IsRetryable(result.error().code)) {
    if (!result && result.error().code == ResultCode::kUnknownCommand) {
      // The address may belong to a process of another kind by now.
      this->SelectNextReplica(address, {});
    } else {
      std::lock_guard lock(this->mutex);
      this->preferred_replica = address;
    }
    call->callback(std::move(result));
    return;
  }
  const bool not_leader = result.error().code == ResultCode::kNotLeader;
  const std::string leader_hint =
      not_leader ? FindAddress(result.error().message) : std::string();
  this->SelectNextReplica(address, leader_hint);
  const TimePoint next = this->clock.Now() + kRetryDelay;
  if (next >= call->deadline) {
    call->callback(std::move(result));
    return;
  }
  if (!leader_hint.empty() && leader_hint != address) {
    this->SendAttempt(call);
    return;
  }
  this->timers.SubscribeOnce(next, [self = this->shared_from_this(), call] {
    self->SendAttempt(call);
  });
}

void LeaderRpcClient::ForgetLeader() {
  std::lock_guard lock(this->mutex);
  this->preferred_replica.clear();
  ++this->next_replica;
}

std::string LeaderRpcClient::ChooseAddress() {
  const std::vector<std::string> known = this->replicas();
  std::lock_guard lock(this->mutex);
  if (!this->preferred_replica.empty()) {
    return this->preferred_replica;
  }
  return known.empty() ? std::string()
                       : known[this->next_replica % known.size()];
}

void LeaderRpcClient::SelectNextReplica(const std::string& failed,
                                        const std::string& leader_hint) {
  std::lock_guard lock(this->mutex);
  if (!leader_hint.empty() && leader_hint != failed) {
    this->preferred_replica = leader_hint;
    return;
  }
  if (this->preferred_replica == failed) {
    this->preferred_replica.clear();
  }
  ++this->next_replica;
}

}  // namespace sycamorebend
