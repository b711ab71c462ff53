#include "gateway/forwarder.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "net/http_writer.h"

namespace sycamorebend::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Logged if the caller disconnects or stops reading before the response is
// complete.
constexpr int kCallerDisconnectedStatus = 499;

// Time limit of a request without a deadline.
constexpr Duration kDefaultDeadline = seconds(60);
// An attempt with less time left than this is not started.
constexpr Duration kMinAttemptTime = milliseconds(20);
// Maximum size of a response that is not a stream. Such a response is buffered
// completely, so that a truncated one can be detected and retried before the
// caller sees it.
constexpr std::size_t kMaxBufferedBytes = 1 << 20;
// A stream is aborted if more bytes than this wait for its caller to read them.
constexpr std::size_t kMaxUnsentBytes = 1 << 20;
// Maximum size of one event of a stream. An attempt that exceeds it has failed.
constexpr std::size_t kMaxEventBytes = 256 << 10;
// Retry-After times of error responses.
constexpr Duration kRetryAfterRefusal = milliseconds(300);
constexpr Duration kRetryAfterNoServer = milliseconds(500);
// Callers whose servers want no requests come back within this time after its
// end, and as much later for each step of their route's priority.
constexpr Duration kQuietReturnSpread = milliseconds(400);
constexpr Duration kMalformedLogInterval = seconds(10);

// A generation is refused if its first event is expected later than this
// fraction of the target. A longer queue does not increase the prefill
// throughput of the engines; if the estimates are off by a quarter, it makes
// all requests behind it late.
constexpr double kMaxExpectedTargetFraction = 0.8;
// A prompt is not refused for its own size if its expected queueing time is at
// most this fraction of the target.
constexpr double kNegligibleWaitFraction = 0.15;
// Range of the Retry-After time for refused generations, as a fraction of the
// remaining time until the deadline. Callers wait for at most a third of it.
constexpr double kMinRetryAfterFraction = 0.2;
constexpr double kMaxRetryAfterFraction = 0.32;
constexpr int kRetryAfterSteps = 1000;
constexpr Duration kMaxRetryAfter = milliseconds(2500);

// Time without a first byte after which a repeatable request is sent to another
// server, as a multiple of the route's target, and its lower bound.
constexpr double kFirstByteTimeoutFactor = 2.0;
constexpr Duration kMinFirstByteTimeout = milliseconds(400);
// The same for the time between two events of a stream.
constexpr double kGapTimeoutFactor = 3.0;
constexpr Duration kMinGapTimeout = milliseconds(600);

// @return true if callers take the status for a guarantee that the request has
// not run.
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kTooManyRequests ||
         status == kUnavailable;
}

// @return the hexadecimal IDs of the prompt's blocks except the last, which
// belongs to the request or its session; empty without a prompt.
std::string SharedBlockNames(const GenerationRequest* generation) {
  std::string names;
  if (generation == nullptr) {
    return names;
  }
  for (std::size_t i = 0; i + 1 < generation->prompt.size(); ++i) {
    names += fmt::format("{}{:x}", i == 0 ? "" : ",", generation->prompt[i].id);
  }
  return names;
}

}  // namespace

void RetryBudgets::SetLimits(internal::RetryLimits new_limits) {
  this->limits = new_limits;
  for (auto& [service, budget] : this->budgets) {
    budget.SetLimits(new_limits);
  }
}

internal::RetryBudget& RetryBudgets::ForService(const std::string& service) {
  return this->budgets.try_emplace(service, this->limits).first->second;
}

void Forwarder::Start(ForwardContext& context, ForwardJob job) {
  std::shared_ptr<Forwarder> forwarder(new Forwarder(context, std::move(job)));
  forwarder->self = forwarder;
  forwarder->Begin();
}

Forwarder::Forwarder(ForwardContext& context, ForwardJob job)
    : context(context),
      job(std::move(job)),
      request_id(this->job.fields.request_id),
      started_at(this->job.exchange->ReceivedAt()) {}

void Forwarder::Begin() {
  const Route& route = *this->job.route;
  this->context.open.insert(this);
  this->service = route.PickService(StableHash64(this->request_id));
  this->deadline =
      this->started_at +
      std::min(route.timeout,
               this->job.fields.deadline.value_or(kDefaultDeadline));
  this->profile.service = this->service;
  this->profile.route = route.name;
  this->profile.gap_target = route.gap_target;
  this->profile.target = route.target;
  this->profile.priority = route.priority;
  this->profile.request_bytes = this->job.exchange->Body().size();
  this->profile.generation =
      this->job.fields.generation ? &*this->job.fields.generation : nullptr;
  if (this->profile.generation != nullptr) {
    this->profile.priority_level =
        this->job.table->PriorityLevel(route, this->job.tenant);
    this->profile.max_first_byte_time =
        Scale(route.target, kMaxExpectedTargetFraction);
  }
  this->content = ContentOf(
      this->job.exchange->Head(), this->job.exchange->Body(),
      this->job.tenant != nullptr ? this->job.tenant->name : std::string(),
      this->job.fields.generation);
  this->last_event = this->job.fields.resume_after;
  this->context.budgets.ForService(this->service)
      .CountRequest(this->started_at);
  this->CountArrival();
  const std::weak_ptr<Forwarder> weak = this->weak_from_this();
  this->job.exchange->OnDisconnect([weak] {
    if (const auto forwarder = weak.lock()) {
      forwarder->OnCallerDisconnected();
    }
  });
  this->deadline_timer =
      this->context.loop.SubscribeOnce(this->deadline, [weak] {
        if (const auto forwarder = weak.lock()) {
          forwarder->deadline_timer = 0;
          forwarder->OnDeadline();
        }
      });
  this->Dispatch();
}

void Forwarder::Dispatch() {
  const TimePoint now = this->context.loop.Now();
  if (this->deadline - now < kMinAttemptTime) {
    this->OnDeadline();
    return;
  }
  if (this->RefuseIfQuarantined(now) || this->WaitForFinding(now)) {
    return;
  }
  std::optional<Choice> selected =
      this->context.balancer.Choose(this->profile, now);
  if (!selected && this->ReadmitServersWithErrors()) {
    selected = this->context.balancer.Choose(this->profile, now);
  }
  if (!selected) {
    this->RefuseWithoutServer(now);
    return;
  }
  if (this->WouldMissTarget(*selected)) {
    LogEvent(Severity::kInfo, Event::kRequestRefused,
             {{"request_id", this->request_id},
              {"route", this->job.route->name},
              {"best_server_id", selected->server_id},
              {"expected_ms", ToMilliseconds(selected->expected_first_byte)},
              {"target_ms", ToMilliseconds(this->job.route->target)},
              {"uncached_tokens", selected->uncached_tokens},
              {"running", selected->running},
              {"pending_tokens", selected->pending_tokens},
              {"slowness", selected->slowness}});
    this->context.balancer.OnRefused(*selected, this->profile, now);
    this->RespondWithError(kUnavailable, "no engine can begin it in time",
                           this->OverloadRetryAfter());
    return;
  }
  this->Send(*selected);
}

bool Forwarder::ReadmitServersWithErrors() {
  std::vector<std::string>& excluded = this->profile.excluded;
  for (const std::string& key : this->servers_with_errors) {
    excluded.erase(std::remove(excluded.begin(), excluded.end(), key),
                   excluded.end());
  }
  const bool readmitted = !this->servers_with_errors.empty();
  this->servers_with_errors.clear();
  return readmitted;
}

void Forwarder::RefuseWithoutServer(TimePoint now) {
  const PoolState state = this->context.balancer.StateOf(this->service, now);
  if (this->may_have_run) {
    this->RespondWithError(
        kBadGateway,
        fmt::format("no other server is usable: {}", state.Describe()));
    return;
  }
  Duration retry_after = kRetryAfterNoServer;
  if (state.quiet_time) {
    // Callers come back one after the other, those of urgent routes first.
    const double point =
        static_cast<double>(StableHash64(this->request_id) % kRetryAfterSteps) /
        kRetryAfterSteps;
    retry_after =
        std::max(retry_after,
                 *state.quiet_time + Scale(kQuietReturnSpread,
                                           this->job.route->priority + point));
  }
  this->RespondWithError(
      kUnavailable, fmt::format("no server is usable: {}", state.Describe()),
      retry_after);
}

bool Forwarder::WaitForFinding(TimePoint now) {
  const std::optional<TimePoint> due =
      this->context.quarantine.FindingDue(this->content, now);
  if (!due) {
    return false;
  }
  LogEvent(Severity::kInfo, Event::kRequestQueued,
           {{"request_id", this->request_id},
            {"route", this->job.route->name},
            {"attempts", this->attempts},
            {"reason", "something in it was running during several crashes"},
            {"wait_ms", ToMilliseconds(*due - now)}});
  this->SetAttemptTimer(*due - now, &Forwarder::DispatchAgain);
  return true;
}

void Forwarder::DispatchAgain() {
  const auto keep = this->shared_from_this();
  this->Dispatch();
}

bool Forwarder::RefuseIfQuarantined(TimePoint now) {
  const std::optional<internal::CrashCause> cause =
      this->context.quarantine.Check(this->content, now);
  if (!cause) {
    return false;
  }
  const Duration left = cause->quarantined_until - now;
  LogEvent(Severity::kWarning, Event::kRequestQuarantined,
           {{"request_id", this->request_id},
            {"route", this->job.route->name},
            {"attempts", this->attempts},
            {"request_hash", fmt::format("{:x}", cause->request)},
            {"prompt_parts", FormatHashes(cause->parts)},
            {"quarantine_ms", ToMilliseconds(left)}});
  this->context.quarantine.CountRefused(*cause);
  const std::string reason = cause->request != 0
                                 ? "the request crashes servers"
                                 : "a part of its prompt crashes servers";
  if (this->job.exchange->Started()) {
    this->job.exchange->Abort();
    this->Finish(kBadGateway, "stream cut: " + reason);
  } else if (this->may_have_run) {
    this->RespondWithError(kBadGateway, reason);
  } else {
    this->RespondWithError(kUnavailable, reason, left);
  }
  return true;
}

void Forwarder::WithdrawIfQuarantined() {
  const auto keep = this->shared_from_this();
  const TimePoint now = this->context.loop.Now();
  if (this->call == nullptr || this->first_byte_seen ||
      this->attempt_has_events ||
      !this->context.quarantine.Check(this->content, now)) {
    return;
  }
  this->EndCall(AttemptOutcome::kCancelled);
  this->RefuseIfQuarantined(now);
}

bool Forwarder::WouldMissTarget(const Choice& selected) const {
  // A request that was already sent to a server or that resumes a stream is not
  // refused: its caller has waited, and it adds no new load.
  const Duration wait = selected.expected_first_byte - selected.prefill_time;
  return this->profile.generation != nullptr && this->attempts == 0 &&
         selected.running > 0 && !this->last_event &&
         selected.expected_first_byte > this->profile.max_first_byte_time &&
         wait > Scale(this->job.route->target, kNegligibleWaitFraction);
}

Duration Forwarder::OverloadRetryAfter() const {
  const Duration left = this->deadline - this->context.loop.Now();
  // Derived from the request id, so that callers do not retry simultaneously.
  const double fraction =
      kMinRetryAfterFraction +
      (kMaxRetryAfterFraction - kMinRetryAfterFraction) *
          static_cast<double>(StableHash64(this->request_id) %
                              kRetryAfterSteps) /
          kRetryAfterSteps;
  return std::min(kMaxRetryAfter, Scale(left, fraction));
}

void Forwarder::Send(const Choice& selected) {
  const TimePoint now = this->context.loop.Now();
  const Route& route = *this->job.route;
  this->choice = selected;
  const AttemptFields fields = this->FieldsOfAttempt(now);
  const net::MessageHead& head = this->job.exchange->Head();
  Result<std::string> request_head =
      net::FormatRequestHead(head.method, head.target,
                             this->context.format.ServerHeaders(head, fields),
                             this->job.exchange->Body().size());
  if (!request_head) {
    LogEvent(Severity::kError, Event::kHeaderRefused,
             {{"request_id", this->request_id},
              {"server_id", selected.server_id},
              {"address", selected.address},
              {"reason", request_head.error().message}});
    this->SendElsewhere();
    return;
  }
  ++this->attempts;
  this->sent_at = now;
  this->first_byte_seen = false;
  this->response = net::MessageHead();
  this->response_is_stream = false;
  this->attempt_has_events = false;
  this->body.clear();
  this->splitter = net::SseSplitter();
  this->context.balancer.OnSent(this->choice, this->profile, now);

  ServerRequest request;
  request.server_key = selected.server_key;
  request.address = selected.address;
  request.request_id = this->request_id;
  request.head = std::move(request_head.value());
  request.body = this->job.exchange->Body();
  request.no_response_body = head.method == "HEAD";
  LogEvent(
      Severity::kInfo,
      this->attempts == 1 ? Event::kRequestDispatched : Event::kRequestRetried,
      {{"request_id", this->request_id},
       {"attempt", this->attempts},
       {"route", route.name},
       {"service", this->service},
       {"server_id", selected.server_id},
       {"address", selected.address},
       {"reason", selected.reason},
       {"expected_ms", ToMilliseconds(selected.expected_first_byte)},
       {"uncached_tokens", selected.uncached_tokens},
       {"cached_at", selected.holders},
       {"running", selected.running},
       {"pending_tokens", selected.pending_tokens},
       {"slowness", selected.slowness},
       {"tenant", fields.tenant.value_or(std::string())},
       {"priority", fields.priority.value_or(-1)},
       {"left_ms", ToMilliseconds(fields.deadline)}});
  this->call = this->context.pool.Start(request, *this);
  if (route.Repeatable() && this->attempts < route.max_attempts) {
    this->SetAttemptTimer(
        std::max(kMinFirstByteTimeout,
                 Scale(route.target, kFirstByteTimeoutFactor)),
        &Forwarder::OnAttemptTimeout);
  }
}

AttemptFields Forwarder::FieldsOfAttempt(TimePoint now) const {
  AttemptFields fields;
  fields.server_id = this->choice.server_id;
  fields.deadline = this->deadline - now;
  if (this->job.tenant != nullptr) {
    fields.tenant = this->job.tenant->name;
  }
  if (this->profile.generation != nullptr) {
    fields.priority = this->profile.priority_level;
  }
  fields.resume_after = this->last_event;
  return fields;
}

void Forwarder::SetAttemptTimer(Duration wait,
                                void (Forwarder::*on_timeout)()) {
  this->context.loop.Cancel(std::exchange(this->attempt_timer, 0));
  const std::weak_ptr<Forwarder> weak = this->weak_from_this();
  this->attempt_timer = this->context.loop.SubscribeOnce(
      this->context.loop.Now() + wait, [weak, on_timeout] {
        if (const auto forwarder = weak.lock()) {
          forwarder->attempt_timer = 0;
          (*forwarder.*on_timeout)();
        }
      });
}

void Forwarder::EndCall(AttemptOutcome outcome) {
  this->context.loop.Cancel(std::exchange(this->attempt_timer, 0));
  if (this->call == nullptr) {
    return;
  }
  this->call.reset();
  const TimePoint now = this->context.loop.Now();
  if (outcome != AttemptOutcome::kAnswered &&
      outcome != AttemptOutcome::kCancelled) {
    LogEvent(Severity::kWarning, Event::kServerFailed,
             {{"request_id", this->request_id},
              {"server_id", this->choice.server_id},
              {"attempt", this->attempts},
              {"failure", AttemptOutcomeName(outcome)},
              {"status", this->response.status},
              {"framing", this->ResponseFraming()},
              {"unfinished_bytes", this->splitter.PendingBytes()},
              {"response_begun", this->first_byte_seen},
              {"request_hash", fmt::format("{:x}", this->content.request)},
              {"shared_blocks", SharedBlockNames(this->profile.generation)},
              {"after_ms", ToMilliseconds(now - this->sent_at)}});
  }
  this->context.metrics.AddAttempt(this->ResponseFraming(),
                                   AttemptOutcomeName(outcome));
  this->context.balancer.OnDone(this->choice, this->profile, outcome,
                                this->first_byte_seen, now - this->sent_at,
                                now);
}

std::string Forwarder::ResponseFraming() const {
  return this->response.status == 0
             ? std::string("none")
             : std::string(net::BodyFramingName(this->response.framing));
}

void Forwarder::OnConnected(bool /*reused*/) {
  this->may_have_run = true;
}

void Forwarder::HandleNotices(const ResponseFields& fields, TimePoint now) {
  const std::string& key = this->choice.server_key;
  if (!fields.malformed_header.empty() &&
      now - this->context.malformed_logged_at > kMalformedLogInterval) {
    this->context.malformed_logged_at = now;
    LogEvent(Severity::kWarning, Event::kReportRejected,
             {{"source", "response header"},
              {"server_id", this->choice.server_id},
              {"reason", fields.malformed_header + " has an invalid value"}});
  }
  if (!fields.authentic && !fields.not_executed) {
    return;
  }
  if (fields.leaving && this->context.balancer.OnServerLeaving(key, now)) {
    LogEvent(Severity::kInfo, Event::kServerLeft,
             {{"server_id", this->choice.server_id}, {"source", "response"}});
    this->context.pool.CloseIdleConnections(key);
  }
  if (fields.quiet_time && this->response.status == kUnavailable) {
    LogEvent(Severity::kInfo, Event::kServerQuiet,
             {{"server_id", this->choice.server_id},
              {"quiet_ms", ToMilliseconds(*fields.quiet_time)}});
    this->context.balancer.OnServerQuiet(key, *fields.quiet_time, now);
  }
}

void Forwarder::OnResponseHead(const net::MessageHead& head,
                               const ResponseFields& fields) {
  const TimePoint now = this->context.loop.Now();
  this->response = head;
  this->response_fields = fields;
  if (fields.load) {
    this->context.balancer.OnLoadReport(this->choice.server_key, *fields.load,
                                        now);
  }
  this->HandleNotices(fields, now);
  this->CountRun();
  const bool success = head.status >= kOk && head.status < kFirstRedirect;
  this->response_is_stream = this->job.route->kind == RouteKind::kStream &&
                             success && fields.authentic &&
                             net::IsEventStream(head.headers);
  if (success && !this->response_is_stream && !this->first_byte_seen) {
    this->first_byte_seen = true;
    this->context.balancer.OnFirstByte(this->choice, now - this->sent_at, now);
  }
}

void Forwarder::OnResponseBody(std::string_view data) {
  const auto keep = this->shared_from_this();
  if (this->response_is_stream) {
    this->splitter.Append(data);
    this->HandleEvents();
    // The complete events before it have been delivered.
    if (this->call != nullptr &&
        this->splitter.PendingBytes() > kMaxEventBytes) {
      this->EndCall(AttemptOutcome::kServerError);
      this->HandleFailedAttempt("an event of the stream is too large");
    }
    return;
  }
  if (this->body.size() + data.size() > kMaxBufferedBytes) {
    this->EndCall(AttemptOutcome::kServerError);
    this->HandleFailedAttempt("the response is too large to buffer");
    return;
  }
  this->body.append(data);
}

void Forwarder::HandleEvents() {
  const TimePoint now = this->context.loop.Now();
  std::string out;
  bool progress = false;
  while (const auto event = this->splitter.Next()) {
    const bool comment = event->IsComment();
    if (!comment && !this->attempt_has_events) {
      this->attempt_has_events = true;
      this->context.quarantine.RecordBegun(this->content, now);
    }
    if (event->id) {
      if (this->last_event && *event->id <= *this->last_event) {
        continue;
      }
      this->last_event = event->id;
    }
    // A comment is no sign of progress, and no reason to begin the response.
    if (comment && this->events == 0) {
      continue;
    }
    if (!comment) {
      progress = true;
      ++this->events;
      this->position_known = event->id.has_value();
    }
    out.append(event->bytes);
  }
  if (out.empty()) {
    return;
  }
  if (!this->first_byte_seen) {
    this->first_byte_seen = true;
    this->context.balancer.OnFirstByte(this->choice, now - this->sent_at, now);
  }
  if (progress && this->job.exchange->Started()) {
    this->longest_gap = std::max(this->longest_gap, now - this->last_event_at);
  }
  this->last_event_at = progress ? now : this->last_event_at;
  this->StartStream();
  this->job.exchange->Write(out);
  if (this->job.exchange->UnsentBytes() > kMaxUnsentBytes) {
    this->EndCall(AttemptOutcome::kCancelled);
    this->job.exchange->Abort();
    this->Finish(kCallerDisconnectedStatus,
                 "the caller does not read its stream");
    return;
  }
  const Route& route = *this->job.route;
  if (progress && route.Repeatable() && this->attempts < route.max_attempts) {
    this->SetAttemptTimer(
        std::max(kMinGapTimeout, Scale(route.gap_target, kGapTimeoutFactor)),
        &Forwarder::OnAttemptTimeout);
  }
}

void Forwarder::StartStream() {
  if (this->job.exchange->Started()) {
    return;
  }
  this->first_event_at = this->context.loop.Now();
  this->job.exchange->Start(this->response.status,
                            net::ForwardableHeaders(this->response.headers));
}

void Forwarder::OnResponseEnd() {
  const auto keep = this->shared_from_this();
  if (this->response_is_stream) {
    this->FinishStream();
  } else if (this->response_fields.not_executed ||
             this->response.status == kMisdirected) {
    this->HandleRefusal();
  } else {
    this->DeliverBufferedResponse();
  }
}

std::string_view Forwarder::StreamTruncation() const {
  if (this->splitter.PendingBytes() > 0) {
    return "truncated inside an event";
  }
  // A sound stream has events, and without other framing only these distinguish
  // its end from that of a server that crashes before the first one.
  if (this->response.framing == net::BodyFraming::kUntilClose &&
      !this->attempt_has_events) {
    return "truncated before the first event";
  }
  return {};
}

bool Forwarder::FailTruncatedStream() {
  const std::string_view truncation = this->StreamTruncation();
  if (truncation.empty()) {
    return false;
  }
  this->EndCall(AttemptOutcome::kTruncated);
  this->HandleLostConnection(std::string(truncation));
  return true;
}

void Forwarder::FinishStream() {
  if (this->FailTruncatedStream()) {
    return;
  }
  this->EndCall(AttemptOutcome::kAnswered);
  // A server that crashes between two events ends a response without other
  // framing in the same way.
  if (this->response.framing != net::BodyFraming::kUntilClose) {
    this->context.quarantine.RecordServed(this->content,
                                          this->context.loop.Now());
  }
  this->StartStream();
  this->job.exchange->Finish();
  this->Finish(this->response.status, "whole");
}

void Forwarder::DeliverBufferedResponse() {
  const bool error = this->response.status >= kFirstServerError;
  const bool success =
      this->response.status >= kOk && this->response.status < kFirstRedirect;
  if (success && !this->response_fields.authentic) {
    this->EndCall(AttemptOutcome::kServerError);
    this->HandleFailedAttempt("the response is not the server's own");
    return;
  }
  if (success && net::IsEventStream(this->response.headers)) {
    this->splitter.Append(this->body);
    while (const auto event = this->splitter.Next()) {
      this->attempt_has_events =
          this->attempt_has_events || !event->IsComment();
    }
    if (this->FailTruncatedStream()) {
      return;
    }
  }
  const bool unfounded_promise =
      PromisesNotRun(this->response.status) && !this->job.route->Repeatable();
  this->EndCall(error || unfounded_promise ? AttemptOutcome::kServerError
                                           : AttemptOutcome::kAnswered);
  if (unfounded_promise) {
    this->HandleFailedAttempt(fmt::format(
        "status {} without a statement that the request has not run",
        this->response.status));
    return;
  }
  if (success) {
    this->context.quarantine.RecordServed(this->content,
                                          this->context.loop.Now());
  }
  if (this->job.exchange->Started()) {
    // The second server did not resume the stream.
    this->HandleFailedAttempt(fmt::format(
        "status {} instead of the rest of a stream", this->response.status));
    return;
  }
  if (error && this->CanRetry() && this->SpendRetry()) {
    this->profile.excluded.push_back(this->choice.server_key);
    this->servers_with_errors.push_back(this->choice.server_key);
    this->Dispatch();
    return;
  }
  this->job.exchange->Respond(this->response.status,
                              net::ForwardableHeaders(this->response.headers),
                              this->body);
  this->Finish(this->response.status, error ? "server error" : "whole");
}

void Forwarder::HandleRefusal() {
  this->EndCall(AttemptOutcome::kRefused);
  this->may_have_run =
      this->attempts > 1 && this->may_have_run && this->job.route->Repeatable();
  this->profile.excluded.push_back(this->choice.server_key);
  if (this->attempts < this->job.route->max_attempts && this->SpendRetry()) {
    this->Dispatch();
    return;
  }
  if (this->job.exchange->Started()) {
    this->HandleFailedAttempt("the server refused the rest of the stream");
  } else if (this->may_have_run) {
    this->RespondWithError(kBadGateway, "the last server refused the request");
  } else {
    this->RespondWithError(
        this->response.status == kTooManyRequests ? kTooManyRequests
                                                  : kUnavailable,
        "the server refused the request", kRetryAfterRefusal);
  }
}

void Forwarder::OnFailure(CallFailure failure) {
  const auto keep = this->shared_from_this();
  const bool nothing_sent = failure == CallFailure::kConnect;
  this->EndCall(nothing_sent ? AttemptOutcome::kConnectFailed
                             : AttemptOutcome::kConnectionLost);
  if (nothing_sent) {
    // The request has not reached the server: do not count the attempt.
    --this->attempts;
    this->SendElsewhere();
    return;
  }
  this->profile.excluded.push_back(this->choice.server_key);
  if (failure == CallFailure::kReset) {
    this->HandleLostConnection(std::string(CallFailureName(failure)));
  } else {
    this->HandleFailedAttempt(std::string(CallFailureName(failure)));
  }
}

void Forwarder::SendElsewhere() {
  this->profile.excluded.push_back(this->choice.server_key);
  if (this->job.exchange->Started() && !this->CanRetry()) {
    this->HandleFailedAttempt("no connection for the rest of the stream");
    return;
  }
  this->Dispatch();
}

void Forwarder::HandleLostConnection(const std::string& reason) {
  const bool may_retry = this->CanRetry();
  this->context.pool.CheckReachable(
      this->choice.server_key, this->choice.address,
      [weak = this->weak_from_this(), &context = this->context,
       key = this->choice.server_key, content = this->content,
       begun = this->attempt_has_events, may_retry, reason,
       request_id = this->request_id,
       server_id = this->choice.server_id](Reachability reachability) {
        LogEvent(Severity::kInfo, Event::kServerChecked,
                 {{"request_id", request_id},
                  {"server_id", server_id},
                  {"response_begun", begun},
                  {"result", ReachabilityName(reachability)}});
        const TimePoint now = context.loop.Now();
        if (reachability == Reachability::kRefused &&
            context.balancer.IsExpectedToRun(key, now)) {
          context.quarantine.RecordCrash(key, content, begun, now);
        }
        const auto forwarder = weak.lock();
        if (may_retry && forwarder) {
          forwarder->HandleFailedAttempt(reason);
        }
      });
  if (!may_retry) {
    this->HandleFailedAttempt(reason);
  }
}

bool Forwarder::CanRetry() {
  const Route& route = *this->job.route;
  const Duration left = this->deadline - this->context.loop.Now();
  return route.Repeatable() && this->position_known &&
         this->attempts < route.max_attempts && left > kMinAttemptTime;
}

bool Forwarder::SpendRetry() {
  return this->context.budgets.ForService(this->service)
      .TryRetry(this->context.loop.Now());
}

void Forwarder::HandleFailedAttempt(const std::string& reason) {
  if (this->CanRetry() && this->SpendRetry()) {
    this->profile.excluded.push_back(this->choice.server_key);
    this->Dispatch();
    return;
  }
  if (this->job.exchange->Started()) {
    this->job.exchange->Abort();
    this->Finish(kBadGateway, "stream cut: " + reason);
    return;
  }
  this->RespondWithError(kBadGateway, reason);
}

void Forwarder::OnAttemptTimeout() {
  const auto keep = this->shared_from_this();
  if (!this->CanRetry() || !this->SpendRetry()) {
    return;
  }
  this->EndCall(AttemptOutcome::kStalled);
  this->profile.excluded.push_back(this->choice.server_key);
  this->Dispatch();
}

void Forwarder::OnDeadline() {
  this->EndUnfinished(kGatewayTimeout, "its time is up");
}

void Forwarder::EndForStop() {
  this->EndUnfinished(kBadGateway, "this gateway is stopping");
}

void Forwarder::EndUnfinished(int status_if_sent, const std::string& reason) {
  const auto keep = this->shared_from_this();
  this->EndCall(AttemptOutcome::kCancelled);
  if (this->job.exchange->Started()) {
    this->job.exchange->Abort();
    this->Finish(status_if_sent, "stream cut: " + reason);
  } else if (this->may_have_run) {
    this->RespondWithError(status_if_sent, "no answer: " + reason);
  } else {
    this->RespondWithError(kUnavailable, "not sent to a server: " + reason,
                           kRetryAfterNoServer);
  }
}

void Forwarder::OnCallerDisconnected() {
  const auto keep = this->shared_from_this();
  this->EndCall(AttemptOutcome::kCancelled);
  this->Finish(kCallerDisconnectedStatus, "the caller left");
}

void Forwarder::RespondWithError(int status,
                                 const std::string& reason,
                                 Duration retry_after) {
  HttpHeaders headers;
  if (retry_after > Duration{0}) {
    headers.push_back(
        {"Retry-After",
         fmt::format("{:.3f}",
                     std::chrono::duration<double>(retry_after).count())});
  }
  this->job.exchange->Respond(status, headers, {});
  this->Finish(status, reason);
}

void Forwarder::Finish(int status, const std::string& outcome) {
  this->EndCall(AttemptOutcome::kCancelled);
  this->context.loop.Cancel(std::exchange(this->deadline_timer, 0));
  this->job.exchange->OnDisconnect(nullptr);
  this->context.open.erase(this);
  const TimePoint now = this->context.loop.Now();
  const Route& route = *this->job.route;
  const bool failed = status >= kFirstRedirect;
  LogEvent(failed ? Severity::kWarning : Severity::kInfo,
           Event::kRequestFinished,
           {{"request_id", this->request_id},
            {"route", route.name},
            {"status", status},
            {"outcome", outcome},
            {"attempts", this->attempts},
            {"server_id", this->choice.server_id},
            {"framing", this->ResponseFraming()},
            {"events", this->events},
            {"unfinished_bytes", this->splitter.PendingBytes()},
            {"first_event_ms",
             this->events > 0
                 ? ToMilliseconds(this->first_event_at - this->started_at)
                 : std::int64_t{-1}},
            {"longest_gap_ms", ToMilliseconds(this->longest_gap)},
            {"target_ms", ToMilliseconds(route.target)},
            {"tenant", this->job.tenant == nullptr ? std::string()
                                                   : this->job.tenant->name},
            {"duration_ms", ToMilliseconds(now - this->started_at)}});
  const RequestResult result = this->Summarize(status, now);
  this->context.metrics.Add(result);
  this->CountEnd(result);
  this->self.reset();
}

void Forwarder::CountArrival() {
  if (this->context.usage != nullptr) {
    const GenerationRequest* const generation = this->profile.generation;
    this->context.usage->CountRequest(
        this->service,
        generation == nullptr ? 0 : std::max(generation->input_tokens, 0));
  }
}

void Forwarder::CountRun() {
  if (this->context.usage != nullptr && this->job.tenant != nullptr &&
      ShowsThatItRan(this->response.status, this->response_fields.authentic,
                     this->response_fields.not_executed)) {
    this->context.usage->CountBegun(this->job.tenant->name);
  }
}

void Forwarder::CountEnd(const RequestResult& result) {
  if (this->context.usage != nullptr) {
    const auto limits = this->job.table->services.find(this->service);
    const int event_tokens = limits == this->job.table->services.end()
                                 ? 1
                                 : limits->second.event_tokens;
    this->context.usage->CountEnd(this->service, result,
                                  static_cast<std::uint64_t>(this->events) *
                                      static_cast<std::uint64_t>(event_tokens));
  }
}

RequestResult Forwarder::Summarize(int status, TimePoint now) const {
  const Route& route = *this->job.route;
  RequestResult result;
  result.route = route.name;
  result.tenant =
      this->job.tenant == nullptr ? std::string() : this->job.tenant->name;
  result.status = status;
  result.attempts = this->attempts;
  result.target = route.target;
  result.longest_gap = this->longest_gap;
  if (status == kCallerDisconnectedStatus) {
    result.outcome = RequestOutcome::kCallerLeft;
  } else if (status == kUnavailable || status == kTooManyRequests) {
    result.outcome = RequestOutcome::kRefused;
  } else if (status >= kFirstServerError) {
    result.outcome = RequestOutcome::kFailed;
  } else {
    result.first_event =
        (this->events > 0 ? this->first_event_at : now) - this->started_at;
    result.outcome = result.first_event > route.target
                         ? RequestOutcome::kLate
                         : RequestOutcome::kInTime;
  }
  return result;
}

}  // namespace sycamorebend::gateway
