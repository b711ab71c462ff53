// RPC calls to the leader of the control replicas.
#ifndef SYCAMOREBEND_SRC_CONTROL_LEADER_RPC_CLIENT_H_
#define SYCAMOREBEND_SRC_CONTROL_LEADER_RPC_CLIENT_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

// Sends calls to the leader.
class ControlRpcClient {
 public:
  virtual ~ControlRpcClient() = default;

  // @param callback runs once, on any thread; must not block. It receives the
  // leader's result or, once `deadline` has passed, the error of the last
  // attempt; in the latter case the call may have been executed (see
  // MayHaveExecuted).
  virtual void Call(const std::string& method,
                    const Json::Value& params,
                    TimePoint deadline,
                    RpcCallback callback) = 0;
};

// @return true if the leader may have executed a call that failed with `code`,
// or may still execute it.
bool MayHaveExecuted(ResultCode code);

// Finds the leader: follows the address in a kNotLeader error, and otherwise
// tries the replicas in turn until one responds as the leader.
class LeaderRpcClient : public ControlRpcClient,
                        public std::enable_shared_from_this<LeaderRpcClient> {
 public:
  using ReplicaList = std::function<std::vector<std::string>()>;

  // A leader responds after one synced write on a majority. If that takes
  // longer, another replica is tried.
  static constexpr Duration kAttemptTimeout = seconds(1);

  // @param replicas returns the known addresses; called from any thread.
  // @param rpc, timers and clock must outlive the calls.
  // @param attempt_timeout longest wait for the response of one replica.
  LeaderRpcClient(ReplicaList replicas,
                  RpcClient& rpc,
                  TimerService& timers,
                  const Clock& clock,
                  Duration attempt_timeout = kAttemptTimeout);

  void Call(const std::string& method,
            const Json::Value& params,
            TimePoint deadline,
            RpcCallback callback) override;

  // Begins the next call at another of the known replicas than the one that
  // responded last, which may be of another deployment.
  void ForgetLeader();

 private:
  struct PendingCall;

  void SendAttempt(const std::shared_ptr<PendingCall>& call);
  void OnResult(const std::shared_ptr<PendingCall>& call,
                const std::string& address,
                Result<Json::Value> result);
  std::string ChooseAddress();
  // Selects the replica for the next attempt after `failed`: `leader_hint` if
  // it is another address, otherwise the next replica in the list.
  void SelectNextReplica(const std::string& failed,
                         const std::string& leader_hint);

  const ReplicaList replicas;
  RpcClient& rpc;
  TimerService& timers;
  const Clock& clock;
  const Duration attempt_timeout;
  std::mutex mutex;
  // The replica that last responded as the leader, or that another replica
  // named as the leader. Empty if unknown.
  std::string preferred_replica;
  std::size_t next_replica = 0;
};

// @return the first "IP:port" in `text`, or an empty string.
std::string FindAddress(const std::string& text);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_LEADER_RPC_CLIENT_H_
