// Tells lost processes of the present control replicas. See
// docs/design/finding-replicas.md.
#ifndef SYCAMOREBEND_SRC_CONTROLD_REPLICA_NOTIFIER_H_
#define SYCAMOREBEND_SRC_CONTROLD_REPLICA_NOTIFIER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <json/value.h>

#include "controld/notice_planner.h"
#include "sycamorebend/base.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

// RPC method with which the leader tells a removed control replica of the
// present ones. Parameters: a ReplicaNotice; result {}.
inline constexpr const char* kReplicaNoticeMethod = "replica.notice";

// Sends notices over the network. Must not block.
class NoticeSender {
 public:
  virtual ~NoticeSender() = default;

  // @param own_address "IP:port" of this replica; its datagrams have this IP.
  // @param rpc must outlive the sender and its calls.
  // @return the sender, or kListenFailed.
  static Result<std::unique_ptr<NoticeSender>> Create(
      const std::string& own_address,
      RpcClient& rpc);

  // Sends one datagram; it may be lost.
  // @return kConnectFailed with the reason if it was not sent.
  virtual Status SendDatagram(const std::string& address,
                              std::string_view data) = 0;

  // Calls kReplicaNoticeMethod.
  // @param callback called once on any thread.
  virtual void CallReplica(const std::string& address,
                           const Json::Value& params,
                           RpcCallback callback) = 0;
};

// Used by the leader. Not thread-safe, except where stated.
class ReplicaNotifier {
 public:
  // @param sender must outlive the notifier.
  explicit ReplicaNotifier(NoticeSender& sender) : sender(sender) {}

  // Sends the notices that are due. To be called every 200 ms on the leader.
  void Tick(const NoticeInput& input, TimePoint now);

  // @return the notices since the start {entry, replica: {sent, failed}}.
  // Thread-safe.
  Json::Value StatusReport() const;

 private:
  struct Counts {
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> failed{0};
    void Add(bool success) { ++(success ? this->sent : this->failed); }
    Json::Value ToJson() const;
  };
  // Shared with the callbacks of calls, which can outlive the notifier.
  struct AllCounts {
    Counts entries;
    Counts replicas;
  };

  void Notify(const NoticeTarget& target, const SharedState& shared);

  NoticeSender& sender;
  NoticePlanner planner;
  const std::shared_ptr<AllCounts> counts = std::make_shared<AllCounts>();
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_REPLICA_NOTIFIER_H_
