// Control replica: replicated log, control state, feed and RPC server.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_DAEMON_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_DAEMON_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "control/leader_rpc_client.h"
#include "controld/control_http.h"
#include "controld/control_service.h"
#include "controld/control_settings.h"
#include "controld/replica_identity.h"
#include "scaling/order_runner.h"

namespace sycamorebend {

// Not thread-safe, except where stated.
class ControlDaemon {
 public:
  // Listens for RPC, and starts the log if the replica's identity is known.
  // Otherwise Advance requests an identity from the leader.
  // @param noticed what an earlier daemon of this process was told.
  static Result<std::unique_ptr<ControlDaemon>> Start(
      const ControlSettings& settings,
      std::shared_ptr<NoticedReplicas> noticed =
          std::make_shared<NoticedReplicas>());
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  // Performs periodic work. To be called every 100 ms.
  // @return an error on which the process must exit.
  Status Advance();

  // @return true once this replica was removed from the replica set. The owner
  // then stops the daemon, erases its data directory and starts a new one.
  bool WasRemoved() const { return this->removed_from_set; }

  // @return false if no replica responds: this one has no identity, or its
  // state was not confirmed recently.
  bool HasContact() const;

  // Stops gracefully: transfers leadership and waits for open calls.
  void Stop();

  // Performs duties from now on. To be called once.
  // @param api must outlive the calls that Stop ends.
  void StartDuties(const DutyOptions& options, DutyApi& api);
  // Orders engines from now on, after StartDuties. To be called once.
  // @param read_rules reads the rules of all services from a configuration.
  void StartEngineOrders(EngineOrderRunner::RulesReader read_rules);
  // @return the duties, or nullptr before StartDuties.
  DutyRunner* Duties() { return this->duties.get(); }

  // Replaces the seed addresses after the settings were reloaded. Thread-safe.
  // @return true if they differ.
  bool SetSeeds(std::vector<std::string> seeds);

  // @return the client for calls to the leader. Thread-safe.
  ControlRpcClient& Leader() { return *this->leader_client; }
  // @return the newest shared state of this replica. Thread-safe.
  std::shared_ptr<const SharedState> Shared() const {
    return this->state->Shared();
  }
  const Clock& GetClock() const { return this->clock; }

 private:
  ControlDaemon(const ControlSettings& settings,
                std::shared_ptr<NoticedReplicas> noticed);

  Status Listen();
  Status StartLog(const ReplicaIdentity& new_identity);
  void RequestIdentity();
  // Stores the epoch of the deployment with the identity once it is known.
  void StoreEpoch();
  // Acts on the response to kReplicaMemberMethod; null if there is none.
  void UpdateMembership(const Json::Value& response);
  void CheckMembership();
  // @return the replicas of the newest notice, of the replica set, and the
  // seeds.
  std::vector<std::string> KnownReplicas() const;

  ControlSettings settings;
  const SystemClock clock;
  ControlThread control_thread;
  std::unique_ptr<HttpClient> http_client;
  std::unique_ptr<RpcClient> rpc;
  std::unique_ptr<FeedSource> feed;
  std::unique_ptr<ControlState> state;
  std::unique_ptr<DutyRunner> duties;
  std::unique_ptr<EngineOrderRunner> engine_orders;
  const std::shared_ptr<NoticedReplicas> noticed;
  std::unique_ptr<NoticeSender> notice_sender;
  std::unique_ptr<ReplicaNotifier> notifier;
  ControlService service;
  std::unique_ptr<ControlHttp> http;
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<LeaderRpcClient> leader_client;
  std::unique_ptr<ReplicatedLogService> log;
  mutable std::mutex mutex;
  std::vector<std::string> seeds;

  // Results of calls to the leader, stored by their callbacks for Advance.
  struct LeaderResponses {
    std::mutex mutex;
    bool join_pending = false;
    ReplicaId assigned_id = 0;
    std::string assigned_epoch;
    // Newest response to kReplicaMemberMethod; null if there is none.
    Json::Value membership;
  };
  const std::shared_ptr<LeaderResponses> leader_responses =
      std::make_shared<LeaderResponses>();
  // As stored, if the replica set manages its own membership.
  ReplicaIdentity identity;
  TimePoint next_request;
  TimePoint next_epoch_store;
  bool removed_from_set = false;
  bool stopped = false;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_DAEMON_H_
