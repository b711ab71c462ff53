// RPC methods of a control replica. See docs/design.md, section 3.9.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_SERVICE_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <json/value.h>

#include "controld/noticed_replicas.h"
#include "controld/replica_manager.h"
#include "controld/replica_notifier.h"
#include "controld/server_liveness.h"
#include "controld/version_proposals.h"
#include "duties/duty_runner.h"
#include "scaling/order_runner.h"
#include "sycamorebend/consensus.h"
#include "sycamorebend/control.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

class ControlService : public RpcService {
 public:
  // The references must outlive the service.
  ControlService(ControlState& state, FeedSource& feed, const Clock& clock);

  // Sets the log. Calls are refused before that.
  // @param target intended size of the replica set.
  void SetLog(ReplicatedLogService& new_log, ReplicaSetTarget target = {});

  // Sets the duties of this replica, which must outlive the service.
  void SetDuties(DutyRunner& new_duties) { this->duties = &new_duties; }

  // Sets the orders of engines, which must outlive the service.
  void SetEngineOrders(const EngineOrderRunner& orders) {
    this->engine_orders = &orders;
  }

  // Sets the notifier of lost processes, which must outlive the service.
  void SetNotifier(ReplicaNotifier& new_notifier) {
    this->notifier = &new_notifier;
  }

  // Sets where notices are kept, which must outlive the service.
  void SetNoticedReplicas(NoticedReplicas& new_noticed) {
    this->noticed = &new_noticed;
  }

  // @return the result of `duty.status`; null if this deployment has none.
  Json::Value DutyReport() const;

  // Refuses further changes with kShuttingDown. Raft messages are still
  // accepted, so that leadership can be transferred.
  void StopChanges();

  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) override;
  std::optional<Result<HttpBody>> CallEncoded(
      const std::string& method,
      const Json::Value& params) override;

  // Calls so far by method and result code. Unknown methods are counted as
  // "other".
  using CallCounts =
      std::map<std::pair<std::string, ResultCode>, std::uint64_t>;
  CallCounts Calls() const;

  // Performs periodic work; on the leader, proposes the commands that the
  // passage of time and the replica set require. To be called every 200 ms.
  void Tick();

  // @return true if a quorum confirmed this replica's state recently.
  bool Ready() const;

  // @return the result of `control.status`.
  Result<Json::Value> StatusReport() const;

 private:
  using Method = Result<Json::Value> (ControlService::*)(const Json::Value&);

  static const std::map<std::string, Method>& Methods();
  void CountCall(const std::string& method, ResultCode code);
  Result<Json::Value> Dispatch(const std::string& method,
                               const Json::Value& params);

  Result<Json::Value> Apply(const Json::Value& params);
  Result<Json::Value> DryRun(const Json::Value& params);
  // control.show: a caller that has the newest version, `known_version`, gets
  // no document.
  Result<Json::Value> Show(const Json::Value& params);
  Result<Json::Value> History(const Json::Value& params);
  // config.replace: the highest version wins. The caller has validated the
  // document. Nothing is proposed for a version that is not higher than the one
  // in force, or that is being proposed.
  Result<Json::Value> Replace(const Json::Value& params);
  Result<Json::Value> ProposeReplacement(std::uint64_t version,
                                         const Json::Value& params);
  // server.heartbeat: proposes the announcement if it changes the server's
  // record. Succeeds once this announcement or a newer one is committed.
  Result<Json::Value> Heartbeat(const Json::Value& params);
  Result<Json::Value> Leave(const Json::Value& params);
  Result<Json::Value> JoinReplica(const Json::Value& params);
  Result<Json::Value> CheckMember(const Json::Value& params);
  // @return kNotLeader if the caller is of another deployment; it then goes on
  // to the next replica that it knows.
  Status CheckDeployment(const Json::Value& params) const;
  // replica.notice: also without a log, as it helps to join again.
  Result<Json::Value> ReceiveNotice(const Json::Value& params);
  // @return true if a replica at `address` is, or was lately, in the set.
  bool KnowsReplicaAt(const std::string& address) const;
  Result<Json::Value> Drain(const Json::Value& params);
  Result<Json::Value> Undrain(const Json::Value& params);
  Result<Json::Value> ChangeReplicas(const Json::Value& params);
  Result<Json::Value> BeginOrder(const Json::Value& params);
  Result<Json::Value> FinishOrder(const Json::Value& params);
  Result<Json::Value> GetOrder(const Json::Value& params);
  Result<Json::Value> ReportFinding(const Json::Value& params);
  Result<Json::Value> RecordFinding(const Json::Value& params);
  Result<Json::Value> TakeFence(const Json::Value& params);
  Result<Json::Value> ShowDuties(const Json::Value& params);

  // Proposes `params` as a command of `type` and waits for its result.
  Result<Json::Value> Propose(const std::string& type, Json::Value params);
  // Waits until this replica's state contains everything that was committed
  // before the call.
  Status Barrier();
  // Proposes a command unless one with the same `key` is in flight.
  void ProposeOnce(const std::string& key,
                   const std::string& type,
                   Json::Value command);
  // Updates announcement_proposals after the announcement's proposal.
  void FinishAnnouncement(const ServerRecord& record, bool committed);
  // Leader only: marks backend servers silent or removes them when their leases
  // have expired.
  void ProposeLeaseExpiries(const ReplicatedLog::LogStatus& status,
                            const SharedState& shared);
  // Leader only: tells lost processes of the present replicas.
  void NotifyLost(const ReplicatedLog::LogStatus& status,
                  const SharedState& shared);

  struct ProposalsInFlight {
    std::mutex mutex;
    std::set<std::string> keys;
  };

  // Incarnation and sequence, which order the announcements of a server.
  using AnnouncementVersion = std::pair<std::uint64_t, std::uint64_t>;
  struct AnnouncementProposal {
    AnnouncementVersion version;
    // Not valid if the proposal has failed. It may still be committed.
    std::shared_future<Status> finished;
  };

  ControlState& state;
  FeedSource& feed;
  const Clock& clock;
  std::atomic<ReplicatedLogService*> log{nullptr};
  std::atomic<DutyRunner*> duties{nullptr};
  std::atomic<const EngineOrderRunner*> engine_orders{nullptr};
  std::atomic<ReplicaNotifier*> notifier{nullptr};
  std::atomic<NoticedReplicas*> noticed{nullptr};
  std::atomic<bool> stopping{false};
  std::unique_ptr<ReplicaManager> manager;
  std::mutex liveness_mutex;
  ServerLiveness liveness{ServerLeases()};
  // Newest proposal of each backend server that is not known to be committed,
  // by server ID. Older and repeated announcements wait for it.
  std::map<std::string, AnnouncementProposal> announcement_proposals;
  VersionProposals version_proposals;
  Term liveness_term = 0;
  TimePoint last_tick;
  mutable std::mutex counts_mutex;
  CallCounts counts;
  const std::shared_ptr<ProposalsInFlight> proposals_in_flight =
      std::make_shared<ProposalsInFlight>();
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_SERVICE_H_
