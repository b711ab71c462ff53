// The entry daemon: wiring, life cycle and draining.
#ifndef SYCAMOREBEND_SRC_ENTRY_DAEMON_H_
#define SYCAMOREBEND_SRC_ENTRY_DAEMON_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "control/leader_calls.h"
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

// What tests replace.
struct DaemonParts {
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
  // Begins to serve.
  // @return kListenFailed if the address cannot be bound.
  static Result<std::unique_ptr<EntryDaemon>> Start(EntrySettings settings,
                                                    const DaemonParts& parts);
  ~EntryDaemon() override;

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  std::string Address() const { return this->server->Address(); }

  // Announces that this daemon drains; requests are served as before.
  void BeginDrain();
  // Must be called again and again after BeginDrain.
  // @return true when no caller can still hold this daemon's address as valid
  // and every request is answered.
  bool AdvanceDrain();

  // Ends everything; requests in flight are cut.
  void Stop();

 private:
  EntryDaemon(EntrySettings settings, const DaemonParts& parts);
  Status Listen();
  void StartFollower(const DaemonParts& parts);
  void OnUpdate(std::shared_ptr<const SharedState> state);
  void ServeReady(HttpExchange& exchange);
  void ServeMetrics(const std::shared_ptr<HttpExchange>& exchange);
  std::vector<std::string> Replicas() const;
  // Reports evidence about a crash to the control replicas.
  void ReportEvidence(const CrashReport& evidence);
  // @return true if the shared state no longer offers this daemon to callers.
  bool WithdrawnFromCallers() const;

  const EntrySettings settings;
  SystemClock clock;
  Metrics metrics;
  SharedView view;
  std::atomic<bool> draining{false};
  ControlThread control;
  // Declared before the client, whose last callbacks use it.
  std::unique_ptr<RequestRouter> router;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<RpcClient> rpc_client;
  std::shared_ptr<LeaderRpcClient> leader_calls;
  std::unique_ptr<OrderLedger> order_ledger;
  std::shared_ptr<OrderContext> orders;
  std::unique_ptr<CallerApi> caller_api;
  std::unique_ptr<BackendApi> backend_api;
  std::unique_ptr<RpcApi> rpc_api;
  std::unique_ptr<RpcServer> rpc_server;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<FeedFollower> follower;
  TimePoint drain_started;
  // When the last request was answered.
  TimePoint idle_since = TimePoint::max();
  // When the shared state first showed that this daemon drains.
  TimePoint withdrawn_at = TimePoint::max();
  bool refusing = false;
  bool stopped = false;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_DAEMON_H_
