// Calls to the control replicas: finds the leader and sends again.
#ifndef SYCAMOREBEND_SRC_CTL_CONTROL_CLIENT_H_
#define SYCAMOREBEND_SRC_CTL_CONTROL_CLIENT_H_

#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/rpc.h"

namespace sycamorebend {

class ControlClient {
 public:
  // @param timeout time limit of a call, with all its attempts.
  ControlClient(RpcClient& rpc,
                const Clock& clock,
                std::vector<std::string> replicas,
                Duration timeout);

  // Calls the leader. A call without an answer is sent again, unchanged, so
  // that changes need a change ID.
  // @return the result; the leader's refusal; or the last error of the
  // transport when the time is over.
  Result<Json::Value> CallLeader(const std::string& method,
                                 const Json::Value& params);

  // Calls one process once.
  Result<Json::Value> CallAt(const std::string& address,
                             const std::string& method,
                             const Json::Value& params);

  // Calls the first replica that answers, leader or not.
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

// @return true if the call was not refused but did not reach a leader that
// could decide it, so that it can be sent again.
bool IsUnreachable(ResultCode code);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_CONTROL_CLIENT_H_
