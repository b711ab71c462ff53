// Calls to the control replicas.
#ifndef SYCAMOREBEND_SRC_CONTROL_LEADER_CALLS_H_
#define SYCAMOREBEND_SRC_CONTROL_LEADER_CALLS_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

// Runs calls at the leader.
class ControlRpcClient {
 public:
  virtual ~ControlRpcClient() = default;

  // @param callback runs once, on any thread; must not block. Its error is the
  // leader's, or that of the last try when `deadline` has passed; in the latter
  // case the call may have run (see MayHaveExecuted).
  virtual void Call(const std::string& method,
                    const Json::Value& params,
                    TimePoint deadline,
                    RpcCallback callback) = 0;
};

// @return true if a call that ended with `code` may have run, or may still
// run, at the leader.
bool MayHaveExecuted(ResultCode code);

// Finds the leader: follows the address in a kNotLeader error and tries the
// replicas in turn while none answers.
class LeaderRpcClient : public ControlRpcClient,
                        public std::enable_shared_from_this<LeaderRpcClient> {
 public:
  using ReplicaList = std::function<std::vector<std::string>()>;

  // A leader answers after one synced write at a majority; a longer silence
  // means that another replica should be asked.
  static constexpr Duration kTryTimeout = seconds(1);

  // @param replicas returns the known addresses; called from any thread.
  // @param rpc, timers and clock must outlive the calls.
  // @param try_timeout longest time for the answer of one replica.
  LeaderRpcClient(ReplicaList replicas,
                  RpcClient& rpc,
                  TimerService& timers,
                  const Clock& clock,
                  Duration try_timeout = kTryTimeout);

  void Call(const std::string& method,
            const Json::Value& params,
            TimePoint deadline,
            RpcCallback callback) override;

 private:
  struct Pending;

  void Try(const std::shared_ptr<Pending>& pending);
  void OnResult(const std::shared_ptr<Pending>& pending,
                const std::string& address,
                Result<Json::Value> result);
  std::string ChooseAddress();
  // Another address is tried next time; `hint` first if it is one.
  void Redirect(const std::string& failed, const std::string& hint);

  const ReplicaList replicas;
  RpcClient& rpc;
  TimerService& timers;
  const Clock& clock;
  const Duration try_timeout;
  std::mutex mutex;
  // The replica that answered last, or a hint. Empty if none is known.
  std::string preferred;
  std::size_t next_replica = 0;
};

// @return the first "IP:port" in `text`, or an empty string.
std::string FindAddress(const std::string& text);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_LEADER_CALLS_H_
