#include "control/leader_calls.h"

#include <algorithm>
#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr Duration kRetryDelay = milliseconds(50);

bool IsWorthRetrying(ResultCode code) {
  return code == ResultCode::kNotLeader || code == ResultCode::kNoQuorum ||
         code == ResultCode::kShuttingDown ||
         code == ResultCode::kConnectFailed ||
         code == ResultCode::kTransportTimeout ||
         code == ResultCode::kProtocolError;
}

}  // namespace

bool MayHaveExecuted(ResultCode code) {
  return IsWorthRetrying(code) || code == ResultCode::kCancelled;
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
    // A full stop or colon that ends the clause is not part of the address.
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

struct LeaderRpcClient::Pending {
  std::string method;
  Json::Value params;
  TimePoint deadline;
  RpcCallback callback;
};

LeaderRpcClient::LeaderRpcClient(ReplicaList replicas,
                                 RpcClient& rpc,
                                 TimerService& timers,
                                 const Clock& clock,
                                 Duration try_timeout)
    : replicas(std::move(replicas)),
      rpc(rpc),
      timers(timers),
      clock(clock),
      try_timeout(try_timeout) {}

void LeaderRpcClient::Call(const std::string& method,
                           const Json::Value& params,
                           TimePoint deadline,
                           RpcCallback callback) {
  this->Try(std::make_shared<Pending>(
      Pending{method, params, deadline, std::move(callback)}));
}

void LeaderRpcClient::Try(const std::shared_ptr<Pending>& pending) {
  const std::string address = this->ChooseAddress();
  if (address.empty()) {
    pending->callback(
        MakeError(ResultCode::kConnectFailed, "no control replica is known"));
    return;
  }
  const Duration left = pending->deadline - this->clock.Now();
  const Duration timeout =
      std::clamp<Duration>(left, milliseconds(1), this->try_timeout);
  this->rpc.CallAsync(address, pending->method, pending->params, timeout,
                      [self = this->shared_from_this(), pending,
                       address](Result<Json::Value> result) {
                        self->OnResult(pending, address, std::move(result));
                      });
}

void LeaderRpcClient::OnResult(const std::shared_ptr<Pending>& pending,
                               const std::string& address,
                               Result<Json::Value> result) {
  if (result || !IsWorthRetrying(result.error().code)) {
    {
      std::lock_guard lock(this->mutex);
      this->preferred = address;
    }
    pending->callback(std::move(result));
    return;
  }
  const bool not_leader = result.error().code == ResultCode::kNotLeader;
  const std::string hint =
      not_leader ? FindAddress(result.error().message) : std::string();
  this->Redirect(address, hint);
  const TimePoint next = this->clock.Now() + kRetryDelay;
  if (next >= pending->deadline) {
    pending->callback(std::move(result));
    return;
  }
  if (!hint.empty() && hint != address) {
    this->Try(pending);
    return;
  }
  this->timers.SubscribeOnce(
      next, [self = this->shared_from_this(), pending] { self->Try(pending); });
}

std::string LeaderRpcClient::ChooseAddress() {
  const std::vector<std::string> known = this->replicas();
  std::lock_guard lock(this->mutex);
  if (!this->preferred.empty()) {
    return this->preferred;
  }
  return known.empty() ? std::string()
                       : known[this->next_replica % known.size()];
}

void LeaderRpcClient::Redirect(const std::string& failed,
                               const std::string& hint) {
  std::lock_guard lock(this->mutex);
  if (!hint.empty() && hint != failed) {
    this->preferred = hint;
    return;
  }
  if (this->preferred == failed) {
    this->preferred.clear();
  }
  ++this->next_replica;
}

}  // namespace sycamorebend
