// Takes one request from its caller to a backend server and the answer back.
#ifndef SYCAMOREBEND_SRC_GATEWAY_FORWARDER_H_
#define SYCAMOREBEND_SRC_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/balancer.h"
#include "gateway/caller_connection.h"
#include "gateway/request_metrics.h"
#include "gateway/routes.h"
#include "gateway/server_pool.h"
#include "gateway/wire_format.h"
#include "net/event_loop.h"
#include "net/sse_splitter.h"
#include "routing/retry_budget.h"

namespace sycamorebend::gateway {

// Repeated sendings that this gateway may add to the load of each service.
class RetryBudgets {
 public:
  void SetLimits(internal::RetryLimits new_limits);
  internal::RetryBudget& Of(const std::string& service);

 private:
  internal::RetryLimits limits;
  std::map<std::string, internal::RetryBudget> budgets;
};

// What all requests of a gateway share.
struct ForwardContext {
  net::EventLoop& loop;
  const WireFormat& format;
  Balancer& balancer;
  ServerPool& pool;
  RetryBudgets& budgets;
  RequestMetrics& metrics;
  int open_requests = 0;
};

// Limits that follow from the request's route and its caller's patience.
struct ForwardJob {
  std::shared_ptr<CallerExchange> exchange;
  RequestFields fields;
  // The table that the request was admitted by; holds `route`.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  const Tenant* tenant = nullptr;
};

// Lives until the caller has its answer or is gone.
class Forwarder : public CallObserver,
                  public std::enable_shared_from_this<Forwarder> {
 public:
  // Begins to forward. The forwarder keeps itself alive.
  static void Start(ForwardContext& context, ForwardJob job);

  void OnConnected(bool reused) override;
  void OnAnswerHead(const net::MessageHead& head,
                    const ResponseFields& fields) override;
  void OnAnswerBody(std::string_view data) override;
  void OnAnswerEnd() override;
  void OnFailure(CallFailure failure) override;

 private:
  Forwarder(ForwardContext& context, ForwardJob job);

  void Begin();
  // @return true if the request would be late wherever it is sent.
  bool IsHopeless(const Choice& found) const;
  // @return when its caller may come back.
  Duration ComeBackLater() const;
  // Sends the request to the best server, or answers the caller.
  void Dispatch();
  void Send(const Choice& found);
  // Ends the call in progress, if there is one.
  void EndCall(SendOutcome outcome);
  void SetAttemptTimer(Duration wait);
  void OnAttemptTimeout();
  void OnDeadline();
  void OnCallerDisconnected();

  void HandleEvents();
  void StartStream();
  void FinishStream();
  void DeliverBuffered();
  // The server refused the request without running it.
  void HandleRefusal();
  // The attempt failed after the request may have run.
  void HandleLoss(const std::string& reason);
  // @return true if the request may be sent once more.
  bool MayRepeat();
  bool TakeRetry();

  // Answers on behalf of the gateway.
  // @param retry_after when the caller may come back; only for answers that
  // promise that the request has not run.
  void Answer(int status, const std::string& reason, Duration retry_after = {});
  void Finish(int status, const std::string& outcome);
  // @return what the metrics count of the request.
  RequestResult Summarize(int status, TimePoint now) const;

  ForwardContext& context;
  ForwardJob job;
  const std::string& request_id;
  std::string service;
  TimePoint started_at;
  TimePoint deadline;
  std::shared_ptr<Forwarder> self;
  TimerId deadline_timer = 0;
  TimerId attempt_timer = 0;

  Demand demand;
  Choice choice;
  std::unique_ptr<ServerCall> call;
  // Servers that the request was sent to.
  int attempts = 0;
  // True once a server may have begun to run the request.
  bool may_have_run = false;
  TimePoint sent_at;
  bool first_byte_seen = false;

  net::MessageHead answer;
  ResponseFields answer_fields;
  bool answer_is_stream = false;
  std::string body;
  net::SseSplitter splitter;
  std::optional<std::int64_t> last_event;
  int events = 0;
  TimePoint first_event_at;
  TimePoint last_event_at;
  Duration longest_gap{0};
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_FORWARDER_H_
