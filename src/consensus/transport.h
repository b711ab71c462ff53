// Carries messages between replicas. Messages may be lost, repeated, delayed
// and reordered.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_TRANSPORT_H_
#define SYCAMOREBEND_SRC_CONSENSUS_TRANSPORT_H_

#include <memory>
#include <string>
#include <vector>

#include "consensus/types.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend::internal {

class Transport {
 public:
  virtual ~Transport() = default;
  // Does not block.
  virtual void Send(const std::string& address, const Message& message) = 0;
  // @return false if the last completed call to `address` failed.
  virtual bool Reachable(const std::string& address) const = 0;
  // Drops further messages and waits until no call is in flight.
  virtual void Stop() = 0;
};

// Sends messages as kRaftMessageMethod calls, with several messages per call.
// @param own_address is included in each call, because a replica that was just
// added does not know the leader's address yet.
std::unique_ptr<Transport> CreateRpcTransport(RpcClient& client,
                                              std::string own_address,
                                              Duration call_timeout);

struct ReceivedMessages {
  std::string sender_address;
  std::vector<Message> messages;
};

// @return the messages in the params of a call, or kProtocolError.
Result<ReceivedMessages> DecodeTransportParams(const Json::Value& params);

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_TRANSPORT_H_
