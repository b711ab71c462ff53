#include "entry/order_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "entry/order_recorder.h"
#include "entry/upstream_call.h"
#include "net/sse_splitter.h"

namespace sycamorebend::entry {

namespace {

// Timeout of the order.begin call that checks whether a refused order has a
// record.
constexpr Duration kRefusalLookupTimeout = seconds(2);
constexpr Duration kRecordPollInterval = milliseconds(200);
// How long after the deadline a response is still awaited. It determines the
// outcome of an order that was reported to the caller as unknown.
constexpr Duration kLateResponseTimeout = seconds(30);
// Marks a repeated response whose body was not kept.
constexpr const char* kResponseDroppedHeader = "X-Sycamorebend-Answer";

OrderIdentity BuildIdentity(const CallerRequest& request,
                            const OrderContext& context) {
  OrderIdentity identity;
  identity.customer = request.info.customer;
  identity.key = request.idempotency_key;
  identity.body_digest = request.body_digest;
  identity.attempt_id = request.info.request_id;
  identity.entry_id = context.entry_id;
  identity.created_ms = request.key_created_ms;
  return identity;
}

}  // namespace

// Collects the response of the server and passes it to the control thread.
class OrderSession::Connection : public HttpObserver {
 public:
  explicit Connection(std::shared_ptr<OrderSession> session)
      : session(std::move(session)) {}

  void OnHeaders(int status, const HttpHeaders& headers) override {
    this->response.status = status;
    this->response.headers = EndToEndHeaders(headers);
  }

  void OnData(std::string_view data) override {
    if (this->response.body.size() + data.size() >
        this->session->context->max_answer_bytes) {
      this->too_large = true;
      return;
    }
    this->response.body.append(data);
  }

  void OnDone(const HttpOutcome& outcome) override {
    HttpOutcome final_outcome = outcome;
    if (this->too_large && outcome.code == ResultCode::kOk) {
      final_outcome.code = ResultCode::kServerError;
      final_outcome.message = "the response is too large";
    } else if (outcome.code == ResultCode::kOk &&
               net::IsTruncatedEventStream(this->response.headers,
                                           this->response.body)) {
      final_outcome.code = ResultCode::kStreamTruncated;
      final_outcome.message = "the response ended inside an event";
    }
    this->session->Post([session = this->session, final_outcome,
                         response = std::move(this->response)]() mutable {
      session->OnCallDone(final_outcome, std::move(response));
    });
  }

 private:
  const std::shared_ptr<OrderSession> session;
  HttpResponse response;
  bool too_large = false;
};

OrderSession::OrderSession(CallerRequest request,
                           std::shared_ptr<HttpExchange> exchange,
                           std::shared_ptr<OrderContext> context)
    : request(std::move(request)),
      exchange(std::move(exchange)),
      context(std::move(context)),
      identity(BuildIdentity(this->request, *this->context)) {}

void OrderSession::Post(std::function<void()> task) {
  this->context->timers.SubscribeOnce(this->context->clock.Now(),
                                      std::move(task));
}

void OrderSession::Dispatch(const DispatchAction& action) {
  if (this->phase != Phase::kQueued) {
    // An order is sent for its first dispatch only.
    this->context->listener.OnWithdrawn(this->request.info.request_id);
    return;
  }
  this->current = action;
  this->Begin(this->request.deadline);
}

void OrderSession::Begin(TimePoint deadline) {
  this->phase = Phase::kBeginning;
  const TimePoint now = this->context->clock.Now();
  this->send_lease_end = now + kOrderSendLease;
  this->context->store.Begin(
      this->identity, std::min(deadline, this->send_lease_end),
      [self = this->shared_from_this()](Result<BeginOrderResult> result) {
        self->Post([self, result = std::move(result)] {
          self->OnBeginResult(result);
        });
      });
}

void OrderSession::OnBeginResult(const Result<BeginOrderResult>& result) {
  if (!result) {
    this->OnBeginFailed(result.error());
  } else if (!result.value().granted) {
    this->OnNotGranted(result.value().record);
  } else {
    this->OnGranted();
  }
}

void OrderSession::OnGranted() {
  LogEvent(Severity::kInfo, Event::kOrderStarted,
           {{"request_id", this->request.info.request_id},
            {"key", this->identity.key},
            {"server_id", this->current.server_id}});
  if (this->refusal) {
    this->OnNotSent(*this->refusal);
    return;
  }
  if (this->caller_done) {
    // The caller disconnected before anything was sent.
    this->OnNotSent({ResultCode::kOrderNotRun, {}});
    return;
  }
  this->phase = Phase::kSending;
  const TimePoint now = this->context->clock.Now();
  HttpCall call = BuildAttemptCall(this->exchange->Request(), this->request,
                                   this->current, now);
  call.total_timeout += kLateResponseTimeout;
  call.first_byte_timeout = call.total_timeout;
  call.gap_timeout = call.total_timeout;
  call.before_send = [send_decision = this->send_decision,
                      send_lease_end = this->send_lease_end,
                      &clock = this->context->clock] {
    return clock.Now() < send_lease_end && send_decision->TrySend();
  };
  this->call_id = this->context->client.Start(
      std::move(call), std::make_shared<Connection>(this->shared_from_this()));
}

void OrderSession::OnNotGranted(const OrderRecord& record) {
  this->context->listener.OnWithdrawn(this->request.info.request_id);
  if (record.state == OrderState::kStarted && !this->caller_done) {
    this->phase = Phase::kPollingRecord;
    this->PollRecord();
    return;
  }
  this->phase = Phase::kFinished;
  this->RespondFromRecord(record);
}

void OrderSession::OnBeginFailed(const Error& error) {
  this->phase = Phase::kFinished;
  this->context->listener.OnWithdrawn(this->request.info.request_id);
  if (MayHaveExecuted(error.code)) {
    // order.begin may have created the record, or may still create it. This
    // attempt never sends the order, so it is recorded as not_run for callers
    // that repeat the request.
    this->send_decision->TryPrevent();
    RecordOutcome(this->context, this->identity, OrderState::kNotRun, {},
                  nullptr);
  }
  CallerError caller_error{error.code, error.message, ExecutionState::kUnknown};
  if (this->refusal) {
    caller_error.code = this->refusal->code;
    caller_error.message = this->refusal->message;
    caller_error.retry_after = this->refusal->retry_after;
  } else if (error.code == ResultCode::kOrderKeyReused ||
             error.code == ResultCode::kOrderKeyInvalid ||
             error.code == ResultCode::kOrderKeyMissing) {
    // The record, if there is one, belongs to another request.
    caller_error.ran = ExecutionState::kNotRun;
  }
  this->RespondError(caller_error);
}

void OrderSession::OnCallDone(const HttpOutcome& outcome,
                              HttpResponse response) {
  this->phase = Phase::kFinished;
  if (outcome.code == ResultCode::kOk) {
    this->ReportAttemptDone(ResultCode::kOk, {}, false);
    this->OnResponse(std::move(response));
    return;
  }
  const ResultCode code = AttemptResultCode(outcome);
  if (this->send_decision->TryPrevent()) {
    this->ReportAttemptDone(code, outcome.message, true);
    const bool expired = this->context->clock.Now() >= this->send_lease_end;
    CallerError error{expired ? ResultCode::kOrderRightExpired : code,
                      expired ? std::string() : outcome.message};
    if (outcome.code == ResultCode::kCancelled && !expired) {
      error = this->refusal.value_or(CallerError{ResultCode::kOrderNotRun, {}});
    }
    this->OnNotSent(error);
    return;
  }
  this->ReportAttemptDone(code, outcome.message, false);
  this->OnOutcomeUnknown(ResultCode::kOrderOutcomeUnknown, outcome.message);
}

void OrderSession::OnNotSent(const CallerError& error) {
  this->send_decision->TryPrevent();
  this->phase = Phase::kFinished;
  // Only this attempt may send the order and it never will, so "not_run" is
  // true even if it cannot be recorded in time.
  CallerError caller_error = error;
  caller_error.ran = ExecutionState::kNotRun;
  RecordOutcome(
      this->context, this->identity, OrderState::kNotRun, {},
      [self = this->shared_from_this(), caller_error](bool /*recorded*/) {
        self->Post([self, caller_error] { self->RespondError(caller_error); });
      });
}

void OrderSession::OnResponse(HttpResponse response) {
  RecordOutcome(
      this->context, this->identity, OrderState::kRan, response,
      [self = this->shared_from_this(), response](bool /*recorded*/) {
        self->Post([self, response] { self->SendResponse(response); });
      });
}

void OrderSession::OnOutcomeUnknown(ResultCode code,
                                    const std::string& message) {
  LogEvent(Severity::kWarning, Event::kOrderUnknown,
           {{"request_id", this->request.info.request_id},
            {"key", this->identity.key},
            {"message", message}});
  this->RespondError({code, message, ExecutionState::kUnknown});
}

void OrderSession::PollRecord() {
  const TimePoint next = this->context->clock.Now() + kRecordPollInterval;
  if (this->caller_done || next >= this->request.deadline) {
    this->phase = Phase::kFinished;
    this->OnOutcomeUnknown(ResultCode::kOrderOutcomeUnknown,
                           "another attempt has not finished the order yet");
    return;
  }
  this->context->timers.SubscribeOnce(next, [self = this->shared_from_this()] {
    self->context->store.Get(self->identity, self->request.deadline,
                             [self](Result<OrderRecord> result) {
                               self->Post([self, result = std::move(result)] {
                                 self->OnRecordPolled(result);
                               });
                             });
  });
}

void OrderSession::OnRecordPolled(const Result<OrderRecord>& result) {
  if (!result || result.value().state == OrderState::kStarted) {
    this->PollRecord();
    return;
  }
  this->phase = Phase::kFinished;
  this->RespondFromRecord(result.value());
}

void OrderSession::CancelAttempt(const CancelAction& action) {
  if (this->phase == Phase::kSending && this->send_decision->TryPrevent()) {
    this->context->client.Cancel(this->call_id);
  }
}

void OrderSession::Refuse(const RefuseAction& action) {
  const CallerError error{action.code, action.message, ExecutionState::kUnknown,
                          action.retry_after};
  switch (this->phase) {
    case Phase::kQueued:
      // An earlier attempt at this order may have run, so the record determines
      // the response.
      this->refusal = error;
      this->Begin(this->context->clock.Now() + kRefusalLookupTimeout);
      break;
    case Phase::kBeginning:
      this->refusal = error;
      break;
    case Phase::kSending:
      if (this->send_decision->TryPrevent()) {
        this->refusal = error;
        this->context->client.Cancel(this->call_id);
      } else {
        this->OnOutcomeUnknown(ResultCode::kOrderOutcomeUnknown,
                               action.message);
      }
      break;
    case Phase::kFinished:
    case Phase::kPollingRecord:
      // The response follows from the record or the outcome in any case.
      break;
  }
}

void OrderSession::Abandon() {
  this->caller_done = true;
  if (this->phase == Phase::kQueued) {
    this->phase = Phase::kFinished;
  } else if (this->phase == Phase::kSending &&
             this->send_decision->TryPrevent()) {
    this->context->client.Cancel(this->call_id);
  }
  this->CloseIfDone();
}

void OrderSession::ReportAttemptDone(ResultCode code,
                                     const std::string& message,
                                     bool nothing_sent) {
  AttemptResult result;
  result.code = code;
  result.message = message;
  result.nothing_sent = nothing_sent;
  this->context->listener.OnAttemptDone(this->request.info.request_id,
                                        this->current.attempt, result);
}

void OrderSession::RespondFromRecord(const OrderRecord& record) {
  if (record.state == OrderState::kNotRun) {
    this->RespondError({ResultCode::kOrderNotRun, {}, ExecutionState::kNotRun});
    return;
  }
  if (record.state == OrderState::kStarted) {
    this->OnOutcomeUnknown(ResultCode::kOrderOutcomeUnknown, {});
    return;
  }
  LogEvent(Severity::kInfo, Event::kOrderReplayed,
           {{"request_id", this->request.info.request_id},
            {"key", this->identity.key}});
  HttpResponse response = record.response;
  if (record.response_dropped) {
    response.headers.push_back({kResponseDroppedHeader, "dropped"});
  }
  this->SendResponse(std::move(response));
}

void OrderSession::SendResponse(HttpResponse response) {
  if (!this->caller_done) {
    this->caller_done = true;
    response.headers.push_back(
        {std::string(kRequestIdHeader), this->request.info.request_id});
    this->exchange->Respond(response.status, std::move(response.headers),
                            std::move(response.body));
  }
  this->CloseIfDone();
}

void OrderSession::RespondError(const CallerError& error) {
  if (!this->caller_done) {
    this->caller_done = true;
    LogEvent(Severity::kInfo, Event::kOrderRefused,
             {{"request_id", this->request.info.request_id},
              {"key", this->identity.key},
              {"code", static_cast<int>(error.code)}});
    entry::RespondError(
        *this->exchange, error,
        {{std::string(kRequestIdHeader), this->request.info.request_id}});
  }
  this->CloseIfDone();
}

void OrderSession::CloseIfDone() {
  const bool running =
      this->phase == Phase::kBeginning || this->phase == Phase::kSending;
  if (this->caller_done && !running && !this->closed) {
    this->closed = true;
    this->context->listener.OnClosed(this->request.info.request_id);
  }
}

}  // namespace sycamorebend::entry
