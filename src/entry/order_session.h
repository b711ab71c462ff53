// One order: a call that must run at most once.
#ifndef SYCAMOREBEND_SRC_ENTRY_ORDER_SESSION_H_
#define SYCAMOREBEND_SRC_ENTRY_ORDER_SESSION_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "entry/error_body.h"
#include "entry/order_ledger.h"
#include "entry/session.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// Time during which a granted order may be sent, measured from before
// order.begin was sent.
inline constexpr Duration kOrderRight = seconds(5);

// What order sessions share. The references must outlive the sessions.
struct OrderContext {
  SessionHost& host;
  HttpClient& client;
  OrderLedger& ledger;
  TimerService& timers;
  const Clock& clock;
  std::string entry_id;
  std::size_t max_answer_bytes = 16 << 20;
  // Outcomes that are known here and not recorded yet.
  std::atomic<int> unrecorded{0};
};

// Decides once and for all whether an order was sent. Closing the gate and
// sending exclude each other.
class SendGate {
 public:
  // @return true if the order may be sent; it counts as sent from then on.
  bool Pass() {
    State expected = State::kOpen;
    return this->state.compare_exchange_strong(expected, State::kSent);
  }
  // @return true if the order was not sent and can not be sent any more.
  bool Close() {
    State expected = State::kOpen;
    return this->state.compare_exchange_strong(expected, State::kClosed) ||
           expected == State::kClosed;
  }

 private:
  enum class State : int { kOpen = 0, kSent = 1, kClosed = 2 };
  std::atomic<State> state{State::kOpen};
};

// The order is recorded as begun when the scheduler dispatches it, before any
// byte is sent. It is recorded as not_run only if no byte was sent, and as ran
// when an answer arrived; otherwise its outcome stays unknown. Once it was
// sent, neither the caller's departure nor its deadline cuts the call, because
// a later answer still settles the outcome.
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
    kQueued = 0,     // Waits for the scheduler.
    kBeginning = 1,  // order.begin was sent.
    kSending = 2,    // The call to the server runs.
    kFinished = 3,   // Nothing more happens at a server.
    kWaiting = 4,    // Another attempt holds the right to send.
  };

  // Runs `task` on the control thread.
  void Post(std::function<void()> task);

  void Begin(TimePoint deadline);
  void OnBegun(const Result<OrderBegun>& result);
  void OnGranted();
  void OnNotGranted(const OrderRecord& record);
  void OnBeginFailed(const Error& error);
  void OnCallDone(const HttpOutcome& outcome, HttpResponse response);
  // The order was not sent and can not be sent any more.
  void OnNotSent(const CallerError& error);
  void OnAnswer(HttpResponse response);
  void OnOutcomeUnknown(ResultCode code, const std::string& message);
  // Reads the record again until it is settled or the deadline has passed.
  void AwaitOther();
  void OnOtherRecord(const Result<OrderRecord>& result);
  void TellScheduler(ResultCode code,
                     const std::string& message,
                     bool nothing_sent);
  void RespondRecord(const OrderRecord& record);
  void RespondAnswer(HttpResponse response);
  void RespondError(const CallerError& error);
  // The session ends when nothing happens at a server and the caller has its
  // answer or left.
  void CloseIfOver();

  const CallerRequest request;
  const std::shared_ptr<HttpExchange> exchange;
  const std::shared_ptr<OrderContext> context;
  const OrderIdentity identity;
  const std::shared_ptr<SendGate> gate = std::make_shared<SendGate>();

  Phase phase = Phase::kQueued;
  DispatchAction current;
  HttpCallId call_id = 0;
  // The right to send ends here.
  TimePoint right_end;
  // Set when the scheduler refused the order before it was sent.
  std::optional<CallerError> refusal;
  // The caller has its answer, or left.
  bool answered = false;
  bool closed = false;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ORDER_SESSION_H_
