// Forwards one request of a caller to a backend server and the response back.
#ifndef SYCAMOREBEND_SRC_GATEWAY_FORWARDER_H_
#define SYCAMOREBEND_SRC_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/balancer.h"
#include "gateway/caller_connection.h"
#include "gateway/crash_quarantine.h"
#include "gateway/request_metrics.h"
#include "gateway/routes.h"
#include "gateway/server_pool.h"
#include "gateway/usage_counter.h"
#include "gateway/wire_format.h"
#include "net/event_loop.h"
#include "net/sse_splitter.h"
#include "routing/retry_budget.h"

namespace sycamorebend::gateway {

// Retry budget of each service for this gateway.
class RetryBudgets {
 public:
  void SetLimits(internal::RetryLimits new_limits);
  internal::RetryBudget& ForService(const std::string& service);

 private:
  internal::RetryLimits limits;
  std::map<std::string, internal::RetryBudget> budgets;
};

class Forwarder;

// State shared by all requests of a gateway.
struct ForwardContext {
  net::EventLoop& loop;
  const WireFormat& format;
  Balancer& balancer;
  ServerPool& pool;
  RetryBudgets& budgets;
  RequestMetrics& metrics;
  CrashQuarantine& quarantine;
  // Requests without an end.
  std::set<Forwarder*> open = std::set<Forwarder*>();
  // When a response with a malformed header was last logged.
  TimePoint malformed_logged_at = TimePoint();
  // Counts for usage reports; nullptr if there are none.
  UsageCounter* usage = nullptr;
};

// An admitted request with its parsed fields, route and tenant.
struct ForwardJob {
  std::shared_ptr<CallerExchange> exchange;
  RequestFields fields;
  // Route table in force when the request was admitted; owns `route` and
  // `tenant`.
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  const Tenant* tenant = nullptr;
};

// Lives until the caller has received the response or has disconnected.
class Forwarder : public CallObserver,
                  public std::enable_shared_from_this<Forwarder> {
 public:
  // Starts forwarding. The forwarder keeps itself alive until it is finished.
  static void Start(ForwardContext& context, ForwardJob job);

  // Ends the request if it crashes servers and its server has not begun to run
  // it.
  void WithdrawIfQuarantined();
  // Ends the request because the gateway is about to end.
  void EndForStop();

  void OnConnected(bool reused) override;
  void OnResponseHead(const net::MessageHead& head,
                      const ResponseFields& fields) override;
  void OnResponseBody(std::string_view data) override;
  void OnResponseEnd() override;
  void OnFailure(CallFailure failure) override;

 private:
  Forwarder(ForwardContext& context, ForwardJob job);

  void Begin();
  // @return true if the request would miss its target even at the best server.
  bool WouldMissTarget(const Choice& selected) const;
  // @return the Retry-After time of a request refused because of overload.
  Duration OverloadRetryAfter() const;
  // Sends the request to the best server, or responds to the caller if there is
  // none.
  void Dispatch();
  // Dispatches later if it is about to be known whether the request crashes
  // servers.
  // @return true if it does.
  bool WaitForFinding(TimePoint now);
  // @return true if the request crashes servers and was answered with an error.
  bool RefuseIfQuarantined(TimePoint now);
  void Send(const Choice& selected);
  // Chooses another server for an attempt of which nothing was sent.
  void SendElsewhere();
  AttemptFields FieldsOfAttempt(TimePoint now) const;
  // Acts on what a server states about itself in its response.
  void HandleNotices(const ResponseFields& fields, TimePoint now);
  // Allows the servers again that responded with an error: a second attempt at
  // the only server that is left may succeed.
  // @return true if there is one.
  bool ReadmitServersWithErrors();
  // Responds that no server may be used.
  void RefuseWithoutServer(TimePoint now);
  // Ends the call in progress, if there is one.
  void EndCall(AttemptOutcome outcome);
  // @return how the end of the server's response is marked, for logs and
  // metrics; "none" before its head.
  std::string ResponseFraming() const;
  void SetAttemptTimer(Duration wait, void (Forwarder::*on_timeout)());
  void DispatchAgain();
  void OnAttemptTimeout();
  void OnDeadline();
  // Ends the request with an error that says whether it may have run.
  void EndUnfinished(int status_if_sent, const std::string& reason);
  void OnCallerDisconnected();

  void HandleEvents();
  void StartStream();
  // @return how the stream is incomplete although the HTTP message is complete;
  // empty if it is not.
  std::string_view StreamTruncation() const;
  // Ends the attempt if its stream is incomplete.
  // @return true if it is.
  bool FailTruncatedStream();
  // Handles the end of the server's response to a stream.
  void FinishStream();
  void DeliverBufferedResponse();
  // Handles a response that guarantees that the request was not run.
  void HandleRefusal();
  // Handles an attempt whose connection was lost, after finding out whether the
  // server has crashed.
  void HandleLostConnection(const std::string& reason);
  // Handles an attempt that failed after the request may have been run: retries
  // it, or responds with an error.
  void HandleFailedAttempt(const std::string& reason);
  // @return true if the request may be sent to another server.
  bool CanRetry();
  bool SpendRetry();

  // Responds with an error of the gateway itself.
  // @param retry_after value of the Retry-After header; only for responses that
  // guarantee that the request was not run.
  void RespondWithError(int status,
                        const std::string& reason,
                        Duration retry_after = {});
  void Finish(int status, const std::string& outcome);
  // Counts the request for usage reports: its arrival, an attempt that a server
  // began to run, and its end.
  void CountArrival();
  void CountRun();
  void CountEnd(const RequestResult& result);
  // @return the result of the request for the metrics.
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

  RequestProfile profile;
  // Servers in `profile.excluded` that responded with an error.
  std::vector<std::string> servers_with_errors;
  internal::RequestContent content;
  Choice choice;
  std::unique_ptr<ServerCall> call;
  // Number of servers to which the request was sent.
  int attempts = 0;
  // True once a server may have started to run the request.
  bool may_have_run = false;
  TimePoint sent_at;
  bool first_byte_seen = false;

  net::MessageHead response;
  ResponseFields response_fields;
  bool response_is_stream = false;
  bool attempt_has_events = false;
  std::string body;
  net::SseSplitter splitter;
  std::optional<std::int64_t> last_event;
  // False once an event without a number was passed on: a server that resumes
  // after `last_event` would send it again.
  bool position_known = true;
  int events = 0;
  TimePoint first_event_at;
  TimePoint last_event_at;
  Duration longest_gap{0};
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_FORWARDER_H_
