// A gateway: forwards requests of callers by route to the backend servers that
// are registered with the control replicas.
#ifndef SYCAMOREBEND_SRC_GATEWAY_GATEWAY_H_
#define SYCAMOREBEND_SRC_GATEWAY_GATEWAY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/leader_rpc_client.h"
#include "gateway/balancer.h"
#include "gateway/caller_connection.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_settings.h"
#include "gateway/load_exchange.h"
#include "gateway/replica_finder.h"
#include "gateway/route_handler.h"
#include "gateway/server_pool.h"
#include "gateway/wire_format.h"
#include "net/event_loop.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/metrics.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend::gateway {

// Decides whether a gateway without a configuration may apply the newest one it
// knows. A replica that restarts replays its log and publishes old
// configurations first, which must not be applied.
// @param confirmation_age time since a quorum confirmed the state;
// Duration::max() if it never did.
// @param waited time since the gateway got its first configuration.
// @return true if the configuration may be applied.
bool MayApplyFirstConfiguration(Duration confirmation_age, Duration waited);

// Start and the destructor are called while the loop does not run; all other
// methods are called on the thread of the loop.
class Gateway {
 public:
  // The references must outlive the gateway.
  // @return the gateway, or kListenFailed.
  static Result<std::unique_ptr<Gateway>> Start(const GatewaySettings& settings,
                                                const WireFormat& format,
                                                net::EventLoop& loop,
                                                const Clock& clock);
  ~Gateway();

  // Replaces the control replicas of the settings, after these were read again.
  void SetReplicas(const std::vector<std::string>& replicas);
  // @return true if no control replica has confirmed the state for a while.
  bool IsUnconfirmed() const;

  // Begins a graceful stop, which stops the loop when it is complete.
  void BeginStop();

  std::string CallerAddress() const { return this->callers->Address(); }
  std::string AdminAddress() const { return this->admin->Address(); }

 private:
  class AdminHandler : public CallerHandler {
   public:
    explicit AdminHandler(Gateway& gateway) : gateway(gateway) {}
    void Handle(std::shared_ptr<CallerExchange> exchange) override;

   private:
    Gateway& gateway;
  };

  Gateway(const GatewaySettings& settings,
          const WireFormat& format,
          net::EventLoop& loop,
          const Clock& clock);

  Status Listen();
  void ListenForMetrics();
  void StartFollower();
  // Asks other gateways for the control replicas while none responds.
  void FindReplicas();
  void OnReplicaDatagram(std::string_view data, const sockaddr_in& from);
  // Applies the newest state of the feed.
  void OnSharedState();
  void ApplyConfiguration(const SharedState& state);
  // Called on any thread.
  Result<std::shared_ptr<const RouteTable>> ReadTable(
      const SharedState& state) const;
  // Reads the configuration of `state` on the follower's thread, so that
  // requests do not wait until a large one is decoded.
  void ReadAhead(const SharedState& state);
  // @return the configuration of `state`, read ahead or now.
  Result<std::shared_ptr<const RouteTable>> TakeReadTable(
      const SharedState& state);
  // Applies the configuration of the newest state as the first one, once
  // MayApplyFirstConfiguration allows it.
  void ApplyFirstConfiguration();
  void SetRetryLimits(std::size_t gateways);
  // @return the addresses of the control replicas.
  std::vector<std::string> Replicas() const;
  // Reports findings about crashes to the control replicas.
  void ReportFindings();
  // @return the age of the shared state's confirmation; -1 if no quorum has
  // confirmed it.
  std::int64_t ConfirmationAgeMs() const;
  void AdvanceStop();
  // @return true if the end of a stop need not wait for usage reports.
  bool UsageIsReported();
  // Copies the current values to `metrics`.
  void PublishMetrics();
  void PublishFeedMetrics();

  const GatewaySettings settings;
  const WireFormat& format;
  net::EventLoop& loop;
  const Clock& clock;
  Metrics metrics;
  RequestMetrics request_metrics;
  CrashQuarantine quarantine;
  Balancer balancer;
  ServerPool pool;
  RetryBudgets budgets;
  // Identifies this process.
  const std::string incarnation;
  // nullptr without usage reports.
  std::unique_ptr<UsageCounter> usage;
  ForwardContext context;
  RouteHandler handler;
  AdminHandler admin_handler;
  CallerMemory caller_memory;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<CallerServer> admin;
  std::unique_ptr<CallerServer> metrics_server;
  std::unique_ptr<LoadExchange> exchange;
  ReplicaFinder replica_finder;
  TimerId find_replicas_timer = 0;
  std::uint64_t replica_queries = 0;
  std::uint64_t replica_notices = 0;
  // Runs the timers of calls to the leader, which may be made on any thread.
  ControlThread timers;
  std::unique_ptr<HttpClient> http_client;
  std::unique_ptr<RpcClient> rpc;
  std::shared_ptr<ControlRpcClient> leader;
  TimerId findings_timer = 0;
  struct TableReadAhead {
    std::uint64_t version;
    Result<std::shared_ptr<const RouteTable>> table;
  };
  // Control replicas of the settings. Read from any thread.
  mutable std::mutex replicas_mutex;
  std::vector<std::string> configured_replicas;
  std::mutex read_mutex;
  std::optional<TableReadAhead> read_ahead;
  // Used on the follower's thread only.
  std::uint64_t last_read_version = 0;
  // Set with the first configuration. Those before it may be outdated, and
  // there are no requests that wait.
  std::atomic<bool> read_ahead_enabled{false};
  std::unique_ptr<FeedFollower> follower;
  bool stopping = false;
  bool rejecting = false;
  TimePoint stop_began;
  // Time when the last request had ended.
  std::optional<TimePoint> quiet_since;
  // The newest state that was applied, except for its configuration.
  std::shared_ptr<const SharedState> handled_state;
  // Time of the first state that has a configuration.
  std::optional<TimePoint> first_state_at;
  TimerId first_configuration_timer = 0;
  // Time when the configuration in force was applied.
  TimePoint configured_at;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_GATEWAY_H_
