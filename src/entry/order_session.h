// One order: a request that must run at most once.
#ifndef SYCAMOREBEND_SRC_ENTRY_ORDER_SESSION_H_
#define SYCAMOREBEND_SRC_ENTRY_ORDER_SESSION_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/error_body.h"
#include "entry/order_store.h"
#include "entry/session.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// How long a granted order may be sent, measured from the start of the
// order.begin call.
inline constexpr Duration kOrderSendLease = seconds(5);

// Dependencies that order sessions share. The references must outlive the
// sessions.
struct OrderContext {
  SessionListener& listener;
  HttpClient& client;
  OrderStore& store;
  TimerService& timers;
  const Clock& clock;
  std::string entry_id;
  std::size_t max_answer_bytes = 16 << 20;
  // Number of outcomes that this daemon knows and that are not recorded yet.
  std::atomic<int> unrecorded_outcomes{0};
};

// Decides atomically whether an order is sent. Either TrySend succeeds, at most
// once, or TryPrevent does.
class SendDecision {
 public:
  // @return true if the order may be sent. It counts as sent from then on.
  bool TrySend() {
    State expected = State::kUndecided;
    return this->state.compare_exchange_strong(expected, State::kSent);
  }
  // @return true if the order was not sent and cannot be sent any more.
  bool TryPrevent() {
    State expected = State::kUndecided;
    return this->state.compare_exchange_strong(expected, State::kPrevented) ||
           expected == State::kPrevented;
  }

 private:
  enum class State : int { kUndecided = 0, kSent = 1, kPrevented = 2 };
  std::atomic<State> state{State::kUndecided};
};

// The order is recorded as started when the scheduler dispatches it, before any
// byte is sent. It is recorded as not_run only if no byte was sent, and as ran
// when a response arrived; otherwise its outcome stays unknown. Once it was
// sent, the call is not cancelled when the caller disconnects or its deadline
// passes, because a later response still determines the outcome.
//
// All methods run on the control thread.
class OrderSession : public CallerSession,
                     public std::enable_shared_from_this<OrderSession> {
 public:
  OrderSession(CallerRequest request,
               std::shared_ptr<HttpExchange> exchange,
               std::shared_ptr<OrderContext> context);

  const CallerRequest& Request() const override { return this->request; }
  void Dispatch(const DispatchAction& action) override;
  void CancelAttempt(const CancelAction& action) override;
  void Refuse(const RefuseAction& action) override;
  void Heartbeat(TimePoint now) override {}
  void Abandon() override;

 private:
  class Connection;

  enum class Phase : int {
    kQueued = 0,         // Waits for the scheduler.
    kBeginning = 1,      // Waits for the result of order.begin.
    kSending = 2,        // The call to the server is in progress.
    kFinished = 3,       // This attempt makes no further call to a server.
    kPollingRecord = 4,  // Another attempt may send the order.
  };

  // Runs `task` on the control thread.
  void Post(std::function<void()> task);

  void Begin(TimePoint deadline);
  void OnBeginResult(const Result<BeginOrderResult>& result);
  void OnGranted();
  void OnNotGranted(const OrderRecord& record);
  void OnBeginFailed(const Error& error);
  void OnCallDone(const HttpOutcome& outcome, HttpResponse response);
  // The order was not sent and cannot be sent any more.
  void OnNotSent(const CallerError& error);
  void OnResponse(HttpResponse response);
  void OnOutcomeUnknown(ResultCode code, const std::string& message);
  // Polls the record until it has an outcome or the deadline has passed.
  void PollRecord();
  void OnRecordPolled(const Result<OrderRecord>& result);
  void ReportAttemptDone(ResultCode code,
                         const std::string& message,
                         bool nothing_sent);
  void RespondFromRecord(const OrderRecord& record);
  void SendResponse(HttpResponse response);
  void RespondError(const CallerError& error);
  // Closes the session if the order is neither being begun nor being sent and
  // the caller has its response or has disconnected.
  void CloseIfDone();

  const CallerRequest request;
  const std::shared_ptr<HttpExchange> exchange;
  const std::shared_ptr<OrderContext> context;
  const OrderIdentity identity;
  const std::shared_ptr<SendDecision> send_decision =
      std::make_shared<SendDecision>();

  Phase phase = Phase::kQueued;
  DispatchAction current;
  HttpCallId call_id = 0;
  // The order must not be sent at or after this time.
  TimePoint send_lease_end;
  // Set when the scheduler refused the order before it was sent.
  std::optional<CallerError> refusal;
  // The caller has its response, or has disconnected.
  bool caller_done = false;
  bool closed = false;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ORDER_SESSION_H_
