// A gateway: forwards callers' requests by route to backend servers that
// announced themselves to the control replicas.
#ifndef SYCAMOREBEND_SRC_GATEWAY_GATEWAY_H_
#define SYCAMOREBEND_SRC_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>

#include "gateway/balancer.h"
#include "gateway/caller_connection.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_settings.h"
#include "gateway/route_handler.h"
#include "gateway/server_pool.h"
#include "gateway/wire_format.h"
#include "net/event_loop.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/metrics.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend::gateway {

// All methods are called on the loop's thread, except Start and Stop, which the
// owner calls before and after the loop runs.
// @param confirmation_age time since a quorum confirmed the state;
// Duration::max() if it never did.
// @param waited time since the gateway started.
// @return true if a gateway without a configuration may take this one. A
// replica that restarts shows its log as it reads it: old configurations first.
bool MayTakeFirstConfiguration(Duration confirmation_age, Duration waited);

class Gateway {
 public:
  // The references must outlive the gateway.
  // @return the gateway, or kListenFailed.
  static Result<std::unique_ptr<Gateway>> Start(const GatewaySettings& settings,
                                                const WireFormat& format,
                                                net::EventLoop& loop,
                                                const Clock& clock);
  ~Gateway();

  // Begins a graceful stop. The loop is stopped when it is complete.
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
  void Follow();
  void OnShared(const std::shared_ptr<const SharedState>& state);
  void TakeConfiguration(const SharedState& state);
  // Takes the newest state's configuration if it is the first.
  void TakeFirstConfiguration();
  void SetRetryLimits(std::size_t gateways);
  void AdvanceStop();
  // Brings the metrics up to date.
  void PublishMetrics();

  const GatewaySettings settings;
  const WireFormat& format;
  net::EventLoop& loop;
  const Clock& clock;
  Metrics metrics;
  RequestMetrics request_metrics;
  Balancer balancer;
  ServerPool pool;
  RetryBudgets budgets;
  ForwardContext context;
  RouteHandler handler;
  AdminHandler admin_handler;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<CallerServer> admin;
  std::unique_ptr<CallerServer> metrics_server;
  std::unique_ptr<LoadExchange> exchange;
  std::unique_ptr<HttpClient> http_client;
  std::unique_ptr<RpcClient> rpc;
  std::unique_ptr<FeedFollower> follower;
  bool stopping = false;
  bool refusing = false;
  TimePoint stop_began;
  const TimePoint started_at;
  TimerId first_configuration_timer = 0;
  // When the configuration in force was taken.
  TimePoint configured_at;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_GATEWAY_H_
