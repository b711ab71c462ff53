// Finds the present control replicas through other gateways.
#ifndef SYCAMOREBEND_SRC_GATEWAY_REPLICA_FINDER_H_
#define SYCAMOREBEND_SRC_GATEWAY_REPLICA_FINDER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "feed/replica_notice.h"
#include "sycamorebend/base.h"
#include "sycamorebend/control.h"
#include "sycamorebend/feed.h"

namespace sycamorebend::gateway {

// Decides when this gateway asks others for the control replicas, and which
// queries it answers. No threads, no I/O; the current time is passed in.
class ReplicaFinder {
 public:
  // @param seed selects the gateways that are asked first, so that not all ask
  // the same ones.
  explicit ReplicaFinder(std::size_t seed) : next_gateway(seed) {}

  // @param ips the other gateways of the newest state. An empty list is
  // ignored: those known before may still respond.
  void SetGateways(std::vector<std::string> ips);

  // To be called every kAskInterval.
  // @param age time since a quorum confirmed this gateway's state.
  // @return IPs of the gateways to ask now.
  std::vector<std::string> GatewaysToAsk(Duration age, TimePoint now);

  // @param state the own state; may be nullptr.
  // @param age time since a quorum confirmed it.
  // @return the notice to respond with; empty if this gateway does not know
  // better than the sender, or has answered often enough.
  std::optional<ReplicaNotice> Answer(const internal::ReplicaQuery& query,
                                      const SharedState* state,
                                      Duration age,
                                      TimePoint now);

  static constexpr Duration kAskInterval = milliseconds(250);

 private:
  std::vector<std::string> gateways;
  std::size_t next_gateway;
  // Start of the present time without a confirmation.
  std::optional<TimePoint> asking_since;
  TimePoint next_ask;
  // Answers since `answers_since`.
  int answers = 0;
  TimePoint answers_since;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_REPLICA_FINDER_H_
