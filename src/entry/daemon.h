// The entry daemon: construction, life cycle and draining.
#ifndef SYCAMOREBEND_SRC_ENTRY_DAEMON_H_
#define SYCAMOREBEND_SRC_ENTRY_DAEMON_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "control/leader_rpc_client.h"
#include "entry/backend_api.h"
#include "entry/caller_api.h"
#include "entry/order_session.h"
#include "entry/rpc_api.h"
#include "entry/settings.h"
#include "entry/shared_view.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/http.h"
#include "sycamorebend/metrics.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend::entry {

// Factories of the components that tests replace.
struct DaemonDependencies {
  std::function<std::unique_ptr<Scheduler>(const SchedulerOptions&)>
      make_scheduler;
  std::function<std::unique_ptr<FeedFollower>(FeedFollowerOptions,
                                              RpcClient&,
                                              const Clock&,
                                              FeedFollower::UpdateCallback)>
      make_follower;
};

class EntryDaemon : public HttpHandler {
 public:
  // Starts to serve.
  // @return the daemon, or kListenFailed if the address cannot be bound.
  static Result<std::unique_ptr<EntryDaemon>> Start(
      EntrySettings settings,
      const DaemonDependencies& dependencies);
  ~EntryDaemon() override;

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  std::string Address() const { return this->server->Address(); }

  // Announces that this daemon is draining. Requests are still served.
  void BeginDrain();
  // Continues the drain; must be called repeatedly after BeginDrain.
  // @return true when no caller can still consider this daemon's address valid,
  // every request has its response, and the outcomes of orders are recorded or
  // the time limit for that has passed.
  bool AdvanceDrain();

  // Stops all components. Requests in flight are aborted.
  void Stop();

 private:
  EntryDaemon(EntrySettings settings, const DaemonDependencies& dependencies);
  Status Listen();
  void StartFollower(const DaemonDependencies& dependencies);
  void OnUpdate(std::shared_ptr<const SharedState> state);
  void ServeReady(HttpExchange& exchange);
  void ServeMetrics(const std::shared_ptr<HttpExchange>& exchange);
  std::vector<std::string> Replicas() const;
  // Reports the crash of a backend server to the control replicas.
  void SendCrashReport(const CrashReport& report);
  // @return true if the shared state does not offer this daemon to callers.
  bool WithdrawnFromAddressList() const;

  const EntrySettings settings;
  SystemClock clock;
  Metrics metrics;
  SharedView view;
  std::atomic<bool> draining{false};
  ControlThread control;
  // Declared before the client, whose last callbacks use the router.
  std::unique_ptr<RequestRouter> router;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<RpcClient> rpc_client;
  std::shared_ptr<LeaderRpcClient> leader_client;
  std::unique_ptr<OrderStore> order_store;
  std::shared_ptr<OrderContext> orders;
  std::unique_ptr<CallerApi> caller_api;
  std::unique_ptr<BackendApi> backend_api;
  std::unique_ptr<RpcApi> rpc_api;
  std::unique_ptr<RpcServer> rpc_server;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<FeedFollower> follower;
  TimePoint drain_started;
  // Since when no request has been open.
  TimePoint idle_since = TimePoint::max();
  // When this daemon was no longer offered to callers.
  TimePoint withdrawn_at = TimePoint::max();
  bool rejecting_new_requests = false;
  bool stopped = false;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_DAEMON_H_
