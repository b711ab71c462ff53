#include "entry/proxy_session.h"

#include <fmt/format.h>

#include <utility>

#include "entry/error_body.h"
#include "entry/upstream_call.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
// An event holds one token of a completion; a larger one is an error.
constexpr std::size_t kMaxEventBytes = 1 << 20;
// Progress is reported to the control thread in batches, because one task per
// token would saturate it at 280,000 tokens/s.
constexpr int kProgressBatchTokens = 16;
constexpr Duration kProgressInterval = milliseconds(100);

// @return true if another engine may be able to run the request. That includes
// 404, the status of an engine that has unloaded the model since its last
// report.
bool IsRetryableEngineStatus(int status) {
  return status == kStatusNotFound || status == kStatusTooManyRequests ||
         status >= kFirstServerErrorStatus;
}

// @return the number of generated tokens stated in the body of a completion.
int ReadCompletionTokens(const std::string& body) {
  const Result<Json::Value> parsed = ParseJson(body);
  if (!parsed || !parsed.value().isObject() ||
      !parsed.value()["usage"].isObject()) {
    return 0;
  }
  const Json::Value& count = parsed.value()["usage"]["completion_tokens"];
  return count.isInt() ? count.asInt() : 0;
}

}  // namespace

// Forwards the callbacks of one connection to the session.
class ProxySession::Connection : public HttpObserver {
 public:
  Connection(std::shared_ptr<ProxySession> session, int generation)
      : session(std::move(session)), generation(generation) {}

  void OnHeaders(int status, const HttpHeaders& headers) override {
    this->session->OnHeaders(this->generation, status, headers);
  }
  void OnData(std::string_view data) override {
    this->session->OnData(this->generation, data);
  }
  void OnDone(const HttpOutcome& outcome) override {
    this->session->OnDone(this->generation, outcome);
  }

 private:
  const std::shared_ptr<ProxySession> session;
  const int generation;
};

ProxySession::ProxySession(CallerRequest request,
                           std::shared_ptr<HttpExchange> exchange,
                           SessionListener& listener,
                           HttpClient& client,
                           const Clock& clock,
                           ProxyOptions options)
    : request(std::move(request)),
      exchange(std::move(exchange)),
      listener(listener),
      client(client),
      clock(clock),
      options(options) {}

void ProxySession::Dispatch(const DispatchAction& action) {
  std::lock_guard lock(this->mutex);
  if (this->closed) {
    return;
  }
  if (action.resume_offset && this->request.stream &&
      action.attempt == this->scheduled_attempt.attempt) {
    this->ResumeStream(action);
    return;
  }
  if (this->response_started && this->call_active) {
    this->KeepResponse(action);
    return;
  }
  this->EndCall(true);
  if (this->response_started) {
    // The outputs of two attempts must not be concatenated.
    this->scheduled_attempt = action;
    this->FailAttempt(ResultCode::kServerError,
                      "the response has started and cannot be restarted", true);
    return;
  }
  this->BeginAttempt(action);
}

void ProxySession::ResumeStream(const DispatchAction& action) {
  this->EndCall(false);
  this->server_attempt.first_byte_timeout = action.first_byte_timeout;
  this->server_attempt.gap_timeout = action.gap_timeout;
  this->attempt_open = true;
  this->awaiting_resumed_event = true;
  // The engine sends the event again that the old connection delivered in part.
  this->splitter = net::SseSplitter();
  this->StartCall(BuildResumeCall(this->request, this->server_attempt,
                                  this->last_id, this->clock.Now()));
}

void ProxySession::KeepResponse(const DispatchAction& action) {
  // The scheduler moved the request to another server before it learned of the
  // first token. The caller already has the start of this response, so the move
  // could only truncate it.
  this->scheduled_attempt = action;
  this->listener.OnFirstToken(this->request.info.request_id, action.attempt);
  this->listener.OnProgress(this->request.info.request_id, action.attempt,
                            this->tokens);
}

void ProxySession::BeginAttempt(const DispatchAction& action) {
  this->ReportWastedTokens(WasteCause::kAttemptFailed);
  this->scheduled_attempt = action;
  this->server_attempt = action;
  this->attempt_open = true;
  this->awaiting_resumed_event = false;
  this->splitter = net::SseSplitter();
  this->preamble.clear();
  this->last_id = 0;
  this->reported_tokens = 0;
  this->StartCall(BuildAttemptCall(this->exchange->Request(), this->request,
                                   action, this->clock.Now()));
  if (this->request.kind == ServerKind::kEngine && !this->request.stream) {
    // The first token of a response that is not streamed cannot be observed.
    // Without this call the scheduler would take a long generation for a silent
    // server and move the request.
    this->listener.OnFirstToken(this->request.info.request_id, action.attempt);
  }
}

void ProxySession::StartCall(HttpCall call) {
  ++this->generation;
  this->status = 0;
  this->headers.clear();
  this->streaming = false;
  this->body.clear();
  this->call_active = true;
  this->call_id = this->client.Start(
      std::move(call),
      std::make_shared<Connection>(this->shared_from_this(), this->generation));
}

void ProxySession::EndCall(bool cancel_at_server) {
  if (this->call_active) {
    this->call_active = false;
    this->maybe_sent = true;
    ++this->generation;
    this->client.Cancel(this->call_id);
  }
  if (cancel_at_server && this->attempt_open &&
      this->request.kind == ServerKind::kEngine) {
    this->client.Start(BuildCancelCall(this->server_attempt.address,
                                       this->request.info.request_id,
                                       this->server_attempt.attempt),
                       MakeNullObserver());
  }
  if (cancel_at_server) {
    this->attempt_open = false;
  }
}

void ProxySession::CancelAttempt(const CancelAction& action) {
  std::lock_guard lock(this->mutex);
  if (this->closed || action.attempt != this->scheduled_attempt.attempt) {
    return;
  }
  if (this->response_started && this->call_active) {
    // The next action determines what happens to the response: a refusal ends
    // it, another dispatch continues it (see KeepResponse).
    return;
  }
  this->EndCall(true);
  this->ReportWastedTokens(WasteCause::kCancelled);
}

void ProxySession::Refuse(const RefuseAction& action) {
  std::lock_guard lock(this->mutex);
  this->EndCall(true);
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->ReportWastedTokens(WasteCause::kAttemptFailed);
  const CallerError error{
      action.code, action.message,
      this->maybe_sent ? ExecutionState::kUnknown : ExecutionState::kNotRun,
      action.retry_after};
  if (this->response_started) {
    this->exchange->Write(FormatErrorEvent(error));
    this->exchange->FinishStream();
  } else {
    RespondError(
        *this->exchange, error,
        {{std::string(kRequestIdHeader), this->request.info.request_id}});
  }
  this->listener.OnClosed(this->request.info.request_id);
}

void ProxySession::Heartbeat(TimePoint now) {
  std::lock_guard lock(this->mutex);
  if (!this->response_started || this->closed ||
      now - this->last_write < this->options.heartbeat) {
    return;
  }
  // Only complete events are written, so the comment never splits one.
  this->exchange->Write(": heartbeat\n\n");
  this->last_write = now;
}

void ProxySession::Abandon() {
  std::lock_guard lock(this->mutex);
  this->EndCall(true);
  if (!this->closed) {
    this->closed = true;
    this->ReportWastedTokens(WasteCause::kCallerGone);
    this->exchange->AbortStream();
  }
  this->listener.OnClosed(this->request.info.request_id);
}

void ProxySession::OnHeaders(int generation,
                             int status,
                             const HttpHeaders& headers) {
  std::lock_guard lock(this->mutex);
  if (generation != this->generation) {
    return;
  }
  this->status = status;
  this->headers = headers;
  this->streaming = this->request.stream && status == kStatusOk &&
                    net::IsEventStream(headers);
}

void ProxySession::OnData(int generation, std::string_view data) {
  std::lock_guard lock(this->mutex);
  if (generation != this->generation) {
    return;
  }
  if (!this->streaming) {
    if (this->body.size() + data.size() >
        this->options.limits.max_answer_bytes) {
      this->FailAttempt(ResultCode::kServerError,
                        fmt::format("the response exceeds {} bytes",
                                    this->options.limits.max_answer_bytes),
                        false);
      return;
    }
    this->body.append(data);
    return;
  }
  this->splitter.Append(data);
  while (const auto event = this->splitter.Next()) {
    if (!this->HandleEvent(*event)) {
      return;
    }
  }
  if (this->splitter.PendingBytes() > kMaxEventBytes) {
    this->FailAttempt(ResultCode::kServerError,
                      fmt::format("an event exceeds {} bytes", kMaxEventBytes),
                      false);
    return;
  }
  this->ReportProgress(this->clock.Now());
  if (this->response_started &&
      this->exchange->PendingBytes() > this->options.limits.max_unread_bytes) {
    this->DisconnectSlowCaller();
  }
}

bool ProxySession::HandleEvent(const net::SseEvent& event) {
  if (event.id) {
    if (*event.id <= this->last_id) {
      return true;
    }
    if (this->awaiting_resumed_event && *event.id != this->last_id + 1) {
      this->FailAttempt(
          ResultCode::kStreamTruncated,
          fmt::format("the stream was resumed at event {} instead of {}",
                      *event.id, this->last_id + 1),
          false);
      return false;
    }
    this->awaiting_resumed_event = false;
    this->last_id = *event.id;
  }
  if (!this->response_started) {
    if (!event.has_data) {
      this->preamble.append(event.bytes);
      return true;
    }
    this->StartStream();
  }
  this->exchange->Write(event.bytes);
  if (event.done) {
    this->closed = true;
    this->call_active = false;
    ++this->generation;
    this->exchange->FinishStream();
    this->FinishAttempt(this->tokens);
    return false;
  }
  if (event.has_data) {
    ++this->tokens;
  }
  return true;
}

void ProxySession::StartStream() {
  this->response_started = true;
  this->exchange->StartStream(kStatusOk, {{"Content-Type", "text/event-stream"},
                                          {"Cache-Control", "no-cache"},
                                          {std::string(kRequestIdHeader),
                                           this->request.info.request_id}});
  this->exchange->Write(this->preamble);
  this->last_progress = this->clock.Now();
  this->listener.OnFirstToken(this->request.info.request_id,
                              this->scheduled_attempt.attempt);
}

void ProxySession::ReportProgress(TimePoint now) {
  this->last_write = now;
  const int unreported_tokens = this->tokens - this->reported_tokens;
  if (unreported_tokens >= kProgressBatchTokens ||
      (unreported_tokens > 0 &&
       now - this->last_progress >= kProgressInterval)) {
    this->reported_tokens = this->tokens;
    this->last_progress = now;
    this->listener.OnProgress(this->request.info.request_id,
                              this->scheduled_attempt.attempt, this->tokens);
  }
}

void ProxySession::DisconnectSlowCaller() {
  this->closed = true;
  this->exchange->AbortStream();
  this->EndCall(true);
  this->ReportWastedTokens(WasteCause::kSlowCaller);
  this->listener.OnCallerDisconnected(this->request.info.request_id);
}

void ProxySession::OnDone(int generation, const HttpOutcome& outcome) {
  std::lock_guard lock(this->mutex);
  if (generation != this->generation) {
    return;
  }
  this->call_active = false;
  if (outcome.code != ResultCode::kOk) {
    this->FailAttempt(AttemptResultCode(outcome), outcome.message,
                      outcome.nothing_sent);
    return;
  }
  if (this->streaming) {
    this->FailAttempt(ResultCode::kServerCrashed,
                      "the stream ended before its last event", false);
    return;
  }
  if (this->awaiting_resumed_event) {
    this->FailAttempt(
        ResultCode::kServerError,
        fmt::format("resuming the stream failed with HTTP status {}",
                    this->status),
        false);
    return;
  }
  if (this->request.kind == ServerKind::kEngine &&
      IsRetryableEngineStatus(this->status)) {
    this->FailAttempt(
        ResultCode::kServerError,
        fmt::format("the engine responded with HTTP status {}", this->status),
        false);
    return;
  }
  if (net::IsTruncatedEventStream(this->headers, this->body)) {
    this->FailAttempt(ResultCode::kStreamTruncated,
                      "the response ended inside an event", false);
    return;
  }
  this->FinishResponse();
}

void ProxySession::FinishResponse() {
  this->closed = true;
  int count = 0;
  if (this->request.kind == ServerKind::kEngine && this->status == kStatusOk) {
    count = ReadCompletionTokens(this->body);
  }
  HttpHeaders response_headers = EndToEndHeaders(this->headers);
  response_headers.push_back(
      {std::string(kRequestIdHeader), this->request.info.request_id});
  this->exchange->Respond(this->status, std::move(response_headers),
                          std::move(this->body));
  this->FinishAttempt(count);
}

void ProxySession::FinishAttempt(int tokens) {
  this->attempt_open = false;
  AttemptResult result;
  result.delivered_tokens = tokens;
  this->tokens = 0;
  this->listener.OnAttemptDone(this->request.info.request_id,
                               this->scheduled_attempt.attempt, result);
  this->listener.OnClosed(this->request.info.request_id);
}

void ProxySession::FailAttempt(ResultCode code,
                               std::string message,
                               bool nothing_sent) {
  if (this->call_active) {
    this->call_active = false;
    this->client.Cancel(this->call_id);
  }
  ++this->generation;
  this->maybe_sent = this->maybe_sent || !nothing_sent;
  AttemptResult result;
  result.code = code;
  result.message = std::move(message);
  result.nothing_sent = nothing_sent;
  result.delivered_tokens = this->tokens;
  this->listener.OnAttemptDone(this->request.info.request_id,
                               this->scheduled_attempt.attempt, result);
}

void ProxySession::ReportWastedTokens(WasteCause cause) {
  if (this->tokens > 0) {
    this->listener.OnTokensWasted(this->request.info.class_name, cause,
                                  this->tokens);
    this->tokens = 0;
  }
}

}  // namespace sycamorebend::entry
