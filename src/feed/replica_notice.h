// Datagrams by which a process that lost contact with the control replicas
// learns the addresses of the present ones.
#ifndef SYCAMOREBEND_SRC_FEED_REPLICA_NOTICE_H_
#define SYCAMOREBEND_SRC_FEED_REPLICA_NOTICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "sycamorebend/base.h"
#include "sycamorebend/feed.h"

namespace sycamorebend {
namespace internal {

// Asks another process of the deployment for a ReplicaNotice.
struct ReplicaQuery {
  // Deployment and version of the newest state of the sender.
  std::string epoch;
  std::uint64_t version = 0;
};

// Maximum number of replicas that a notice names; more than a deployment has in
// the middle of a replacement. Bounds what a corrupt datagram makes a receiver
// poll.
inline constexpr std::size_t kMaxNoticeReplicas = 16;

using ReplicaDatagram = std::variant<ReplicaQuery, ReplicaNotice>;

std::string EncodeReplicaDatagram(const ReplicaDatagram& datagram);

// @return true if `data` begins like a datagram of this kind. Other messages in
// MessagePack never do.
bool IsReplicaDatagram(std::string_view data);

// @return a notice of the replicas in `state`, for the entry daemon `entry_id`;
// for any process if that is empty.
ReplicaNotice MakeReplicaNotice(const SharedState& state,
                                const std::string& entry_id);

// @return the datagram, or kProtocolError if `data` is not one.
Result<ReplicaDatagram> DecodeReplicaDatagram(std::string_view data);

// @return as RPC parameters, and back; the error is kMalformedRequest.
Json::Value ReplicaNoticeToJson(const ReplicaNotice& notice);
Result<ReplicaNotice> ReplicaNoticeFromJson(const Json::Value& params);

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_FEED_REPLICA_NOTICE_H_
