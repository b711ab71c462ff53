// RPC client for the control replicas: finds the leader and retries calls.
#ifndef SYCAMOREBEND_SRC_CTL_CONTROL_CLIENT_H_
#define SYCAMOREBEND_SRC_CTL_CONTROL_CLIENT_H_

#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/rpc.h"

namespace sycamorebend {

class ControlClient {
 public:
  // @param timeout time limit of a call, including all attempts.
  ControlClient(RpcClient& rpc,
                const Clock& clock,
                std::vector<std::string> replicas,
                Duration timeout);

  // Calls the leader. A call without a response is retried unchanged and may
  // reach the leader twice, so a change must carry a change ID.
  // @return the result; the error with which the call was refused; or the last
  // retryable error once `timeout` has elapsed.
  Result<Json::Value> CallLeader(const std::string& method,
                                 const Json::Value& params);

  // Calls one process once.
  Result<Json::Value> CallAt(const std::string& address,
                             const std::string& method,
                             const Json::Value& params);

  // Calls the replicas in turn until one succeeds, whether or not it is the
  // leader.
  Result<Json::Value> CallAny(const std::string& method,
                              const Json::Value& params);

  const std::vector<std::string>& Replicas() const { return this->replicas; }

 private:
  RpcClient& rpc;
  const Clock& clock;
  const std::vector<std::string> replicas;
  const Duration timeout;
  // Last known leader.
  std::string leader;
};

// @return true if no leader decided the call, so that it can be retried.
bool IsRetryable(ResultCode code);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_CONTROL_CLIENT_H_
