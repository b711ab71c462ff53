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
// An event of this size is no token of a completion.
constexpr std::size_t kMaxEventBytes = 1 << 20;
// Progress goes to the control thread in batches, because one task for each of
// 280,000 tokens/s would occupy it.
constexpr int kProgressTokens = 16;
constexpr Duration kProgressInterval = milliseconds(100);

bool IsEventStream(const HttpHeaders& headers) {
  constexpr std::string_view kType = "text/event-stream";
  const auto type = FindHeader(headers, "Content-Type");
  return type && std::string_view(*type).substr(0, kType.size()) == kType;
}

// @return true if another engine may answer the request: an engine that has
// unloaded the model since its last report answers with status 404.
bool IsEngineFailure(int status) {
  return status == kStatusNotFound || status == kStatusTooManyRequests ||
         status >= kFirstServerErrorStatus;
}

// @return the number of generated tokens that a whole completion states.
int CountCompletionTokens(const std::string& body) {
  const Result<Json::Value> parsed = ParseJson(body);
  if (!parsed || !parsed.value().isObject() ||
      !parsed.value()["usage"].isObject()) {
    return 0;
  }
  const Json::Value& count = parsed.value()["usage"]["completion_tokens"];
  return count.isInt() ? count.asInt() : 0;
}

}  // namespace

// Receives one connection's answer.
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
                           SessionHost& host,
                           HttpClient& client,
                           const Clock& clock,
                           ProxyOptions options)
    : request(std::move(request)),
      exchange(std::move(exchange)),
      host(host),
      client(client),
      clock(clock),
      options(options) {}

void ProxySession::Dispatch(const DispatchAction& action) {
  std::lock_guard lock(this->mutex);
  if (this->closed) {
    return;
  }
  if (action.resume_offset && this->request.stream &&
      action.attempt == this->current.attempt) {
    this->ResumeStream(action);
    return;
  }
  if (this->started && this->call_active) {
    this->KeepAnswer(action);
    return;
  }
  this->EndCall(true);
  if (this->started) {
    // Two outputs must not be concatenated.
    this->current = action;
    this->FailAttempt(ResultCode::kServerError,
                      "the answer has begun and cannot be repeated", true);
    return;
  }
  this->BeginAttempt(action);
}

void ProxySession::ResumeStream(const DispatchAction& action) {
  this->EndCall(false);
  this->serving.first_byte_timeout = action.first_byte_timeout;
  this->serving.gap_timeout = action.gap_timeout;
  this->attempt_open = true;
  this->resumed = true;
  // The part of an event that the lost connection delivered comes again.
  this->splitter = net::SseSplitter();
  this->StartCall(BuildResumeCall(this->request, this->serving, this->last_id,
                                  this->clock.Now()));
}

void ProxySession::KeepAnswer(const DispatchAction& action) {
  // The scheduler moved the request to another server before it learnt of the
  // first token. The caller has the beginning of this answer, so the move
  // would only truncate it.
  this->current = action;
  this->host.OnFirstToken(this->request.info.request_id, action.attempt);
  this->host.OnProgress(this->request.info.request_id, action.attempt,
                        this->tokens);
}

void ProxySession::BeginAttempt(const DispatchAction& action) {
  this->CountWaste(WasteCause::kAttemptFailed);
  this->current = action;
  this->serving = action;
  this->attempt_open = true;
  this->resumed = false;
  this->splitter = net::SseSplitter();
  this->preamble.clear();
  this->last_id = 0;
  this->reported_tokens = 0;
  this->StartCall(BuildAttemptCall(this->exchange->Request(), this->request,
                                   action, this->clock.Now()));
  if (this->request.kind == ServerKind::kEngine && !this->request.stream) {
    // The first token of a whole answer cannot be seen. Without this the
    // scheduler would take a long answer for a silent server and move it.
    this->host.OnFirstToken(this->request.info.request_id, action.attempt);
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

void ProxySession::EndCall(bool tell_server) {
  if (this->call_active) {
    this->call_active = false;
    this->sent = true;
    ++this->generation;
    this->client.Cancel(this->call_id);
  }
  if (tell_server && this->attempt_open &&
      this->request.kind == ServerKind::kEngine) {
    this->client.Start(
        BuildCancelCall(this->serving.address, this->request.info.request_id,
                        this->serving.attempt),
        MakeIgnoringObserver());
  }
  if (tell_server) {
    this->attempt_open = false;
  }
}

void ProxySession::CancelAttempt(const CancelAction& action) {
  std::lock_guard lock(this->mutex);
  if (this->closed || action.attempt != this->current.attempt) {
    return;
  }
  if (this->started && this->call_active) {
    // Whether the answer goes on depends on what follows: a refusal ends it,
    // another dispatch does not. See KeepAnswer.
    return;
  }
  this->EndCall(true);
  this->CountWaste(WasteCause::kCancelled);
}

void ProxySession::Refuse(const RefuseAction& action) {
  std::lock_guard lock(this->mutex);
  this->EndCall(true);
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->CountWaste(WasteCause::kAttemptFailed);
  const CallerError error{action.code, action.message,
                          this->sent ? Ran::kUnknown : Ran::kNotRun,
                          action.retry_after};
  if (this->started) {
    this->exchange->Write(FormatErrorEvent(error));
    this->exchange->FinishStream();
  } else {
    RespondError(
        *this->exchange, error,
        {{std::string(kRequestIdHeader), this->request.info.request_id}});
  }
  this->host.OnClosed(this->request.info.request_id);
}

void ProxySession::Heartbeat(TimePoint now) {
  std::lock_guard lock(this->mutex);
  if (!this->started || this->closed ||
      now - this->last_write < this->options.heartbeat) {
    return;
  }
  // Whole events are written only, so this is always between two events.
  this->exchange->Write(": heartbeat\n\n");
  this->last_write = now;
}

void ProxySession::Abandon() {
  std::lock_guard lock(this->mutex);
  this->EndCall(true);
  if (!this->closed) {
    this->closed = true;
    this->CountWaste(WasteCause::kCallerGone);
    this->exchange->AbortStream();
  }
  this->host.OnClosed(this->request.info.request_id);
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
  this->streaming =
      this->request.stream && status == kStatusOk && IsEventStream(headers);
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
                        fmt::format("the answer exceeds {} bytes",
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
  if (this->started &&
      this->exchange->PendingBytes() > this->options.limits.max_unread_bytes) {
    this->GiveUpSlowCaller();
  }
}

bool ProxySession::HandleEvent(const net::SseEvent& event) {
  if (event.id) {
    if (*event.id <= this->last_id) {
      return true;
    }
    if (this->resumed && *event.id != this->last_id + 1) {
      this->FailAttempt(
          ResultCode::kStreamTruncated,
          fmt::format("the stream was resumed at event {} instead of {}",
                      *event.id, this->last_id + 1),
          false);
      return false;
    }
    this->resumed = false;
    this->last_id = *event.id;
  }
  if (!this->started) {
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
  this->started = true;
  this->exchange->StartStream(kStatusOk, {{"Content-Type", "text/event-stream"},
                                          {"Cache-Control", "no-cache"},
                                          {std::string(kRequestIdHeader),
                                           this->request.info.request_id}});
  this->exchange->Write(this->preamble);
  this->last_progress = this->clock.Now();
  this->host.OnFirstToken(this->request.info.request_id, this->current.attempt);
}

void ProxySession::ReportProgress(TimePoint now) {
  this->last_write = now;
  const int fresh = this->tokens - this->reported_tokens;
  if (fresh >= kProgressTokens ||
      (fresh > 0 && now - this->last_progress >= kProgressInterval)) {
    this->reported_tokens = this->tokens;
    this->last_progress = now;
    this->host.OnProgress(this->request.info.request_id, this->current.attempt,
                          this->tokens);
  }
}

void ProxySession::GiveUpSlowCaller() {
  this->closed = true;
  this->exchange->AbortStream();
  this->EndCall(true);
  this->CountWaste(WasteCause::kSlowCaller);
  this->host.OnCallerDisconnected(this->request.info.request_id);
}

void ProxySession::OnDone(int generation, const HttpOutcome& outcome) {
  std::lock_guard lock(this->mutex);
  if (generation != this->generation) {
    return;
  }
  this->call_active = false;
  if (outcome.code != ResultCode::kOk) {
    this->FailAttempt(AttemptCode(outcome), outcome.message,
                      outcome.nothing_sent);
    return;
  }
  if (this->streaming) {
    this->FailAttempt(ResultCode::kServerCrashed,
                      "the stream ended before its last event", false);
    return;
  }
  if (this->resumed) {
    this->FailAttempt(
        ResultCode::kServerError,
        fmt::format("resuming the stream: HTTP status {}", this->status),
        false);
    return;
  }
  if (this->request.kind == ServerKind::kEngine &&
      IsEngineFailure(this->status)) {
    this->FailAttempt(
        ResultCode::kServerError,
        fmt::format("the engine answered with HTTP status {}", this->status),
        false);
    return;
  }
  this->FinishWhole();
}

void ProxySession::FinishWhole() {
  this->closed = true;
  int count = 0;
  if (this->request.kind == ServerKind::kEngine && this->status == kStatusOk) {
    count = CountCompletionTokens(this->body);
  }
  HttpHeaders answer_headers = EndToEndHeaders(this->headers);
  answer_headers.push_back(
      {std::string(kRequestIdHeader), this->request.info.request_id});
  this->exchange->Respond(this->status, std::move(answer_headers),
                          std::move(this->body));
  this->FinishAttempt(count);
}

void ProxySession::FinishAttempt(int tokens) {
  this->attempt_open = false;
  AttemptResult result;
  result.delivered_tokens = tokens;
  this->tokens = 0;
  this->host.OnAttemptDone(this->request.info.request_id, this->current.attempt,
                           result);
  this->host.OnClosed(this->request.info.request_id);
}

void ProxySession::FailAttempt(ResultCode code,
                               std::string message,
                               bool nothing_sent) {
  if (this->call_active) {
    this->call_active = false;
    this->client.Cancel(this->call_id);
  }
  ++this->generation;
  this->sent = this->sent || !nothing_sent;
  AttemptResult result;
  result.code = code;
  result.message = std::move(message);
  result.nothing_sent = nothing_sent;
  result.delivered_tokens = this->tokens;
  this->host.OnAttemptDone(this->request.info.request_id, this->current.attempt,
                           result);
}

void ProxySession::CountWaste(WasteCause cause) {
  if (this->tokens > 0) {
    this->host.OnWaste(this->request.info.class_name, cause, this->tokens);
    this->tokens = 0;
  }
}

}  // namespace sycamorebend::entry
