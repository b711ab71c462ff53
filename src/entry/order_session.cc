#include "entry/order_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "entry/order_recorder.h"
#include "entry/upstream_call.h"

namespace sycamorebend::entry {

namespace {

// Time to find out whether a refused order has a record.
constexpr Duration kRefusalLookup = seconds(2);
constexpr Duration kRecordPollInterval = milliseconds(200);
// A late answer still settles the outcome of an order whose caller was told
// that it is unknown.
constexpr Duration kLateAnswer = seconds(30);
// On a repeated answer whose body was not kept.
constexpr const char* kDroppedHeader = "X-Sycamorebend-Answer";

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

// Collects the answer of the server and passes it to the control thread.
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
      final_outcome.message = "the answer is too large";
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
    // One dispatch is granted one right to send; there is no second one.
    this->context->host.OnWithdrawn(this->request.info.request_id);
    return;
  }
  this->current = action;
  this->Begin(this->request.deadline);
}

void OrderSession::Begin(TimePoint deadline) {
  this->phase = Phase::kBeginning;
  const TimePoint now = this->context->clock.Now();
  this->right_end = now + kOrderRight;
  this->context->ledger.Begin(
      this->identity, std::min(deadline, this->right_end),
      [self = this->shared_from_this()](Result<OrderBegun> result) {
        self->Post(
            [self, result = std::move(result)] { self->OnBegun(result); });
      });
}

void OrderSession::OnBegun(const Result<OrderBegun>& result) {
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
  if (this->answered) {
    // The caller left before anything was sent.
    this->OnNotSent({ResultCode::kOrderNotRun, {}});
    return;
  }
  this->phase = Phase::kSending;
  const TimePoint now = this->context->clock.Now();
  HttpCall call = BuildAttemptCall(this->exchange->Request(), this->request,
                                   this->current, now);
  call.total_timeout += kLateAnswer;
  call.first_byte_timeout = call.total_timeout;
  call.gap_timeout = call.total_timeout;
  call.before_send = [gate = this->gate, right_end = this->right_end,
                      &clock = this->context->clock] {
    return clock.Now() < right_end && gate->Pass();
  };
  this->call_id = this->context->client.Start(
      std::move(call), std::make_shared<Connection>(this->shared_from_this()));
}

void OrderSession::OnNotGranted(const OrderRecord& record) {
  this->context->host.OnWithdrawn(this->request.info.request_id);
  if (record.state == OrderState::kStarted && !this->answered) {
    this->phase = Phase::kWaiting;
    this->AwaitOther();
    return;
  }
  this->phase = Phase::kFinished;
  this->RespondRecord(record);
}

void OrderSession::OnBeginFailed(const Error& error) {
  this->phase = Phase::kFinished;
  this->context->host.OnWithdrawn(this->request.info.request_id);
  if (MayHaveExecuted(error.code)) {
    // The record may exist, or appear later. This attempt never sends the
    // order, so it is settled for those who ask again.
    this->gate->Close();
    RecordOutcome(this->context, this->identity, OrderState::kNotRun, {},
                  nullptr);
  }
  CallerError answer{error.code, error.message, Ran::kUnknown};
  if (this->refusal) {
    answer.code = this->refusal->code;
    answer.message = this->refusal->message;
    answer.retry_after = this->refusal->retry_after;
  } else if (error.code == ResultCode::kOrderKeyReused ||
             error.code == ResultCode::kOrderKeyInvalid ||
             error.code == ResultCode::kOrderKeyMissing) {
    // The record, if there is one, is that of another request.
    answer.ran = Ran::kNotRun;
  }
  this->RespondError(answer);
}

void OrderSession::OnCallDone(const HttpOutcome& outcome,
                              HttpResponse response) {
  this->phase = Phase::kFinished;
  if (outcome.code == ResultCode::kOk) {
    this->TellScheduler(ResultCode::kOk, {}, false);
    this->OnAnswer(std::move(response));
    return;
  }
  const ResultCode code = AttemptCode(outcome);
  if (this->gate->Close()) {
    this->TellScheduler(code, outcome.message, true);
    const bool expired = this->context->clock.Now() >= this->right_end;
    CallerError error{expired ? ResultCode::kOrderRightExpired : code,
                      expired ? std::string() : outcome.message};
    if (outcome.code == ResultCode::kCancelled && !expired) {
      error = this->refusal.value_or(CallerError{ResultCode::kOrderNotRun, {}});
    }
    this->OnNotSent(error);
    return;
  }
  this->TellScheduler(code, outcome.message, false);
  this->OnOutcomeUnknown(ResultCode::kOrderOutcomeUnknown, outcome.message);
}

void OrderSession::OnNotSent(const CallerError& error) {
  this->gate->Close();
  this->phase = Phase::kFinished;
  // Only this attempt may send the order and it never will, so "not_run" is
  // true also before it is recorded.
  CallerError answer = error;
  answer.ran = Ran::kNotRun;
  RecordOutcome(this->context, this->identity, OrderState::kNotRun, {},
                [self = this->shared_from_this(), answer](bool /*recorded*/) {
                  self->Post([self, answer] { self->RespondError(answer); });
                });
}

void OrderSession::OnAnswer(HttpResponse response) {
  RecordOutcome(
      this->context, this->identity, OrderState::kRan, response,
      [self = this->shared_from_this(), response](bool /*recorded*/) {
        self->Post([self, response] { self->RespondAnswer(response); });
      });
}

void OrderSession::OnOutcomeUnknown(ResultCode code,
                                    const std::string& message) {
  LogEvent(Severity::kWarning, Event::kOrderUnknown,
           {{"request_id", this->request.info.request_id},
            {"key", this->identity.key},
            {"message", message}});
  this->RespondError({code, message, Ran::kUnknown});
}

void OrderSession::AwaitOther() {
  const TimePoint next = this->context->clock.Now() + kRecordPollInterval;
  if (this->answered || next >= this->request.deadline) {
    this->phase = Phase::kFinished;
    this->OnOutcomeUnknown(ResultCode::kOrderOutcomeUnknown,
                           "another attempt has not settled the order yet");
    return;
  }
  this->context->timers.SubscribeOnce(next, [self = this->shared_from_this()] {
    self->context->ledger.Get(self->identity, self->request.deadline,
                              [self](Result<OrderRecord> result) {
                                self->Post([self, result = std::move(result)] {
                                  self->OnOtherRecord(result);
                                });
                              });
  });
}

void OrderSession::OnOtherRecord(const Result<OrderRecord>& result) {
  if (!result || result.value().state == OrderState::kStarted) {
    this->AwaitOther();
    return;
  }
  this->phase = Phase::kFinished;
  this->RespondRecord(result.value());
}

void OrderSession::CancelAttempt(const CancelAction& action) {
  if (this->phase == Phase::kSending && this->gate->Close()) {
    this->context->client.Cancel(this->call_id);
  }
}

void OrderSession::Refuse(const RefuseAction& action) {
  const CallerError error{action.code, action.message, Ran::kUnknown,
                          action.retry_after};
  switch (this->phase) {
    case Phase::kQueued:
      // An earlier sending of this order may have run, so the record decides
      // what the caller is told.
      this->refusal = error;
      this->Begin(this->context->clock.Now() + kRefusalLookup);
      break;
    case Phase::kBeginning:
      this->refusal = error;
      break;
    case Phase::kSending:
      if (this->gate->Close()) {
        this->refusal = error;
        this->context->client.Cancel(this->call_id);
      } else {
        this->OnOutcomeUnknown(ResultCode::kOrderOutcomeUnknown,
                               action.message);
      }
      break;
    case Phase::kFinished:
    case Phase::kWaiting:
      // The answer is on its way.
      break;
  }
}

void OrderSession::Abandon() {
  this->answered = true;
  if (this->phase == Phase::kQueued) {
    this->phase = Phase::kFinished;
  } else if (this->phase == Phase::kSending && this->gate->Close()) {
    this->context->client.Cancel(this->call_id);
  }
  this->CloseIfOver();
}

void OrderSession::TellScheduler(ResultCode code,
                                 const std::string& message,
                                 bool nothing_sent) {
  AttemptResult result;
  result.code = code;
  result.message = message;
  result.nothing_sent = nothing_sent;
  this->context->host.OnAttemptDone(this->request.info.request_id,
                                    this->current.attempt, result);
}

void OrderSession::RespondRecord(const OrderRecord& record) {
  if (record.state == OrderState::kNotRun) {
    this->RespondError({ResultCode::kOrderNotRun, {}, Ran::kNotRun});
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
    response.headers.push_back({kDroppedHeader, "dropped"});
  }
  this->RespondAnswer(std::move(response));
}

void OrderSession::RespondAnswer(HttpResponse response) {
  if (!this->answered) {
    this->answered = true;
    response.headers.push_back(
        {std::string(kRequestIdHeader), this->request.info.request_id});
    this->exchange->Respond(response.status, std::move(response.headers),
                            std::move(response.body));
  }
  this->CloseIfOver();
}

void OrderSession::RespondError(const CallerError& error) {
  if (!this->answered) {
    this->answered = true;
    LogEvent(Severity::kInfo, Event::kOrderRefused,
             {{"request_id", this->request.info.request_id},
              {"key", this->identity.key},
              {"code", static_cast<int>(error.code)}});
    entry::RespondError(
        *this->exchange, error,
        {{std::string(kRequestIdHeader), this->request.info.request_id}});
  }
  this->CloseIfOver();
}

void OrderSession::CloseIfOver() {
  const bool running =
      this->phase == Phase::kBeginning || this->phase == Phase::kSending;
  if (this->answered && !running && !this->closed) {
    this->closed = true;
    this->context->host.OnClosed(this->request.info.request_id);
  }
}

}  // namespace sycamorebend::entry
