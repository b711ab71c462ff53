#include "gateway/forwarder.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "net/http_writer.h"

namespace sycamorebend::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Logged for a caller that left before its answer.
constexpr int kCallerGoneStatus = 499;

// Time limit when a caller names none.
constexpr Duration kDefaultDeadline = seconds(60);
// A server that gets less time than this could not finish anything.
constexpr Duration kShortestAttempt = milliseconds(20);
// An answer without a stream is passed on as a whole up to this size, so that a
// broken one is noticed before the caller sees it.
constexpr std::size_t kMaxBufferedBytes = 1 << 20;
// Bytes that a caller may leave unread before its stream is given up.
constexpr std::size_t kMaxUnsentBytes = 1 << 20;
// When callers may come back after a refusal.
constexpr Duration kRetryAfterRefusal = milliseconds(300);
constexpr Duration kRetryAfterNoServer = milliseconds(500);

// A generation whose first event is expected later than this part of the
// route's target is turned away: engines read prompts no faster with a longer
// queue, and one in which expectations err by a quarter of it makes all behind
// it late.
constexpr double kHopelessFactor = 0.8;
// A prompt that waits for others no longer than this part of the target is not
// turned away for its own size.
constexpr double kFairWait = 0.15;
// When such a caller may come back, as a part of the time that it has left.
// Callers wait for a third of it at the most.
constexpr double kEarliestReturn = 0.2;
constexpr double kLatestReturn = 0.32;
constexpr int kReturnSteps = 1000;
constexpr Duration kLongestReturn = milliseconds(2500);

// Silence after which a request that may be repeated is sent to another
// server, as a multiple of the route's target, and the shortest such time.
constexpr double kFirstByteFactor = 2.0;
constexpr Duration kShortestFirstByte = milliseconds(400);
// The same for the pauses of a stream.
constexpr double kGapFactor = 3.0;
constexpr Duration kShortestGap = milliseconds(600);

bool IsEventStream(const HttpHeaders& headers) {
  constexpr std::string_view kType = "text/event-stream";
  const auto type = FindHeader(headers, "Content-Type");
  return type && std::string_view(*type).substr(0, kType.size()) == kType;
}

}  // namespace

void RetryBudgets::SetLimits(internal::RetryLimits new_limits) {
  this->limits = new_limits;
  for (auto& [service, budget] : this->budgets) {
    budget.SetLimits(new_limits);
  }
}

internal::RetryBudget& RetryBudgets::Of(const std::string& service) {
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
  ++this->context.open_requests;
  this->service = route.PickService(StableHash64(this->request_id));
  this->deadline =
      this->started_at +
      std::min(route.timeout,
               this->job.fields.deadline.value_or(kDefaultDeadline));
  this->demand.service = this->service;
  this->demand.route = route.name;
  this->demand.gap_target = route.gap_target;
  this->demand.priority = route.priority;
  this->demand.generation =
      this->job.fields.generation ? &*this->job.fields.generation : nullptr;
  if (this->demand.generation != nullptr) {
    this->demand.latest_first_byte = Scale(route.target, kHopelessFactor);
  }
  this->last_event = this->job.fields.resume_after;
  this->context.budgets.Of(this->service).CountRequest(this->started_at);
  const std::weak_ptr<Forwarder> weak = this->weak_from_this();
  this->job.exchange->OnGone([weak] {
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
  if (this->deadline - now < kShortestAttempt) {
    this->OnDeadline();
    return;
  }
  const std::optional<Choice> found =
      this->context.balancer.Choose(this->demand, now);
  if (!found) {
    if (this->may_have_run) {
      this->Answer(kBadGateway, "no other server is usable");
    } else {
      this->Answer(kUnavailable, "no server is usable", kRetryAfterNoServer);
    }
    return;
  }
  if (this->IsHopeless(*found)) {
    LogEvent(Severity::kInfo, Event::kRequestRefused,
             {{"request_id", this->request_id},
              {"route", this->job.route->name},
              {"best_server_id", found->server_id},
              {"expected_ms", ToMilliseconds(found->expected)},
              {"target_ms", ToMilliseconds(this->job.route->target)},
              {"uncached_tokens", found->uncached_tokens},
              {"running", found->running},
              {"pending_tokens", found->pending_tokens},
              {"slowness", found->slowness}});
    this->Answer(kUnavailable, "no engine can begin it in time",
                 this->ComeBackLater());
    return;
  }
  this->Send(*found);
}

bool Forwarder::IsHopeless(const Choice& found) const {
  // What has run, or was refused elsewhere, is not turned away: its caller has
  // waited, and no more load comes from it.
  const Duration wait = found.expected - found.reading;
  return this->demand.generation != nullptr && this->attempts == 0 &&
         found.running > 0 && !this->last_event &&
         found.expected > this->demand.latest_first_byte &&
         wait > Scale(this->job.route->target, kFairWait);
}

Duration Forwarder::ComeBackLater() const {
  const Duration left = this->deadline - this->context.loop.Now();
  // Spread by the request, so that callers do not come back together.
  const double part =
      kEarliestReturn +
      (kLatestReturn - kEarliestReturn) *
          static_cast<double>(StableHash64(this->request_id) % kReturnSteps) /
          kReturnSteps;
  return std::min(kLongestReturn, Scale(left, part));
}

void Forwarder::Send(const Choice& found) {
  const TimePoint now = this->context.loop.Now();
  const Route& route = *this->job.route;
  this->choice = found;
  ++this->attempts;
  this->sent_at = now;
  this->first_byte_seen = false;
  this->answer_is_stream = false;
  this->body.clear();
  this->splitter = net::SseSplitter();
  this->context.balancer.OnSent(this->choice, this->demand, now);

  AttemptFields fields;
  fields.server_id = found.server_id;
  fields.deadline = this->deadline - now;
  if (this->job.tenant != nullptr) {
    fields.tenant = this->job.tenant->name;
  }
  if (this->demand.generation != nullptr) {
    fields.priority = this->job.table->PriorityLevel(route, this->job.tenant);
  }
  fields.resume_after = this->last_event;

  const net::MessageHead& head = this->job.exchange->Head();
  ServerRequest request;
  request.server_key = found.server_key;
  request.address = found.address;
  request.request_id = this->request_id;
  request.head =
      net::FormatRequestHead(head.method, head.target,
                             this->context.format.ServerHeaders(head, fields),
                             this->job.exchange->Body().size());
  request.body = this->job.exchange->Body();
  request.no_answer_body = head.method == "HEAD";
  LogEvent(
      Severity::kInfo,
      this->attempts == 1 ? Event::kRequestDispatched : Event::kRequestRetried,
      {{"request_id", this->request_id},
       {"attempt", this->attempts},
       {"route", route.name},
       {"service", this->service},
       {"server_id", found.server_id},
       {"address", found.address},
       {"reason", found.reason},
       {"expected_ms", ToMilliseconds(found.expected)},
       {"uncached_tokens", found.uncached_tokens},
       {"running", found.running},
       {"pending_tokens", found.pending_tokens},
       {"slowness", found.slowness},
       {"tenant", fields.tenant.value_or(std::string())},
       {"priority", fields.priority.value_or(-1)},
       {"left_ms", ToMilliseconds(fields.deadline)}});
  this->call = this->context.pool.Start(request, *this);
  if (route.Repeatable() && this->attempts < route.max_attempts) {
    this->SetAttemptTimer(
        std::max(kShortestFirstByte, Scale(route.target, kFirstByteFactor)));
  }
}

void Forwarder::SetAttemptTimer(Duration wait) {
  this->context.loop.Cancel(std::exchange(this->attempt_timer, 0));
  const std::weak_ptr<Forwarder> weak = this->weak_from_this();
  this->attempt_timer =
      this->context.loop.SubscribeOnce(this->context.loop.Now() + wait, [weak] {
        if (const auto forwarder = weak.lock()) {
          forwarder->attempt_timer = 0;
          forwarder->OnAttemptTimeout();
        }
      });
}

void Forwarder::EndCall(SendOutcome outcome) {
  this->context.loop.Cancel(std::exchange(this->attempt_timer, 0));
  if (this->call == nullptr) {
    return;
  }
  this->call.reset();
  const TimePoint now = this->context.loop.Now();
  if (outcome != SendOutcome::kAnswered && outcome != SendOutcome::kCancelled) {
    LogEvent(Severity::kWarning, Event::kServerFailed,
             {{"request_id", this->request_id},
              {"server_id", this->choice.server_id},
              {"attempt", this->attempts},
              {"failure", SendOutcomeName(outcome)},
              {"status", this->answer.status},
              {"after_ms", ToMilliseconds(now - this->sent_at)}});
  }
  this->context.balancer.OnDone(this->choice, this->demand, outcome,
                                this->first_byte_seen, now - this->sent_at,
                                now);
}

void Forwarder::OnConnected(bool /*reused*/) {
  this->may_have_run = true;
}

void Forwarder::OnAnswerHead(const net::MessageHead& head,
                             const ResponseFields& fields) {
  const TimePoint now = this->context.loop.Now();
  this->answer = head;
  this->answer_fields = fields;
  if (fields.load) {
    this->context.balancer.OnLoad(this->choice.server_key, *fields.load, now);
  }
  const bool success = head.status >= kOk && head.status < kFirstRedirect;
  this->answer_is_stream = this->job.route->kind == RouteKind::kStream &&
                           success && fields.authentic &&
                           IsEventStream(head.headers);
  if (success && !this->answer_is_stream && !this->first_byte_seen) {
    this->first_byte_seen = true;
    this->context.balancer.OnFirstByte(this->choice, now - this->sent_at, now);
  }
}

void Forwarder::OnAnswerBody(std::string_view data) {
  const auto keep = this->shared_from_this();
  if (this->answer_is_stream) {
    this->splitter.Append(data);
    this->HandleEvents();
    return;
  }
  if (this->body.size() + data.size() > kMaxBufferedBytes) {
    this->EndCall(SendOutcome::kServerError);
    this->HandleLoss("the answer is larger than can be passed on");
    return;
  }
  this->body.append(data);
}

void Forwarder::HandleEvents() {
  const TimePoint now = this->context.loop.Now();
  std::string out;
  while (const auto event = this->splitter.Next()) {
    if (event->id) {
      if (this->last_event && *event->id <= *this->last_event) {
        continue;
      }
      this->last_event = event->id;
    }
    ++this->events;
    out.append(event->bytes);
  }
  if (out.empty()) {
    return;
  }
  if (!this->first_byte_seen) {
    this->first_byte_seen = true;
    this->context.balancer.OnFirstByte(this->choice, now - this->sent_at, now);
  }
  if (this->job.exchange->Started()) {
    this->longest_gap = std::max(this->longest_gap, now - this->last_event_at);
  }
  this->last_event_at = now;
  this->StartStream();
  this->job.exchange->Write(out);
  if (this->job.exchange->UnsentBytes() > kMaxUnsentBytes) {
    this->EndCall(SendOutcome::kCancelled);
    this->job.exchange->Abort();
    this->Finish(kCallerGoneStatus, "the caller does not read its stream");
    return;
  }
  const Route& route = *this->job.route;
  if (route.Repeatable() && this->attempts < route.max_attempts) {
    this->SetAttemptTimer(
        std::max(kShortestGap, Scale(route.gap_target, kGapFactor)));
  }
}

void Forwarder::StartStream() {
  if (this->job.exchange->Started()) {
    return;
  }
  this->first_event_at = this->context.loop.Now();
  this->job.exchange->Start(this->answer.status,
                            net::ForwardableHeaders(this->answer.headers));
}

void Forwarder::OnAnswerEnd() {
  const auto keep = this->shared_from_this();
  if (this->answer_is_stream) {
    this->FinishStream();
  } else if (this->answer_fields.not_executed ||
             this->answer.status == kMisdirected) {
    this->HandleRefusal();
  } else {
    this->DeliverBuffered();
  }
}

void Forwarder::FinishStream() {
  this->EndCall(SendOutcome::kAnswered);
  this->StartStream();
  this->job.exchange->Finish();
  this->Finish(this->answer.status, "whole");
}

void Forwarder::DeliverBuffered() {
  const bool error = this->answer.status >= kFirstServerError;
  const bool success =
      this->answer.status >= kOk && this->answer.status < kFirstRedirect;
  if (success && !this->answer_fields.authentic) {
    this->EndCall(SendOutcome::kServerError);
    this->HandleLoss("the answer is not the server's own");
    return;
  }
  this->EndCall(error ? SendOutcome::kServerError : SendOutcome::kAnswered);
  if (this->job.exchange->Started()) {
    // A resumed stream that the second server refused.
    this->HandleLoss(fmt::format("status {} instead of the rest of a stream",
                                 this->answer.status));
    return;
  }
  if (error && this->MayRepeat() && this->TakeRetry()) {
    this->demand.excluded.push_back(this->choice.server_key);
    this->Dispatch();
    return;
  }
  this->job.exchange->Respond(this->answer.status,
                              net::ForwardableHeaders(this->answer.headers),
                              this->body);
  this->Finish(this->answer.status, error ? "server error" : "whole");
}

void Forwarder::HandleRefusal() {
  this->EndCall(SendOutcome::kRefused);
  this->may_have_run =
      this->attempts > 1 && this->may_have_run && this->job.route->Repeatable();
  this->demand.excluded.push_back(this->choice.server_key);
  if (this->attempts < this->job.route->max_attempts && this->TakeRetry()) {
    this->Dispatch();
    return;
  }
  if (this->job.exchange->Started()) {
    this->HandleLoss("the server refused the rest of the stream");
  } else if (this->may_have_run) {
    this->Answer(kBadGateway, "the last server refused the request");
  } else {
    this->Answer(this->answer.status == kTooManyRequests ? kTooManyRequests
                                                         : kUnavailable,
                 "the server refused the request", kRetryAfterRefusal);
  }
}

void Forwarder::OnFailure(CallFailure failure) {
  const auto keep = this->shared_from_this();
  const bool nothing_sent = failure == CallFailure::kConnect;
  this->EndCall(nothing_sent ? SendOutcome::kConnectFailed
                             : SendOutcome::kConnectionLost);
  this->demand.excluded.push_back(this->choice.server_key);
  if (nothing_sent) {
    // The request has not reached the server: this was no attempt.
    --this->attempts;
    if (this->job.exchange->Started() && !this->MayRepeat()) {
      this->HandleLoss("no connection for the rest of the stream");
      return;
    }
    this->Dispatch();
    return;
  }
  this->HandleLoss(std::string(CallFailureName(failure)));
}

bool Forwarder::MayRepeat() {
  return this->job.route->Repeatable() &&
         this->attempts<this->job.route->max_attempts&& this->deadline -
                        this->context.loop.Now()>
             kShortestAttempt;
}

bool Forwarder::TakeRetry() {
  return this->context.budgets.Of(this->service)
      .TryRetry(this->context.loop.Now());
}

void Forwarder::HandleLoss(const std::string& reason) {
  if (this->MayRepeat() && this->TakeRetry()) {
    this->demand.excluded.push_back(this->choice.server_key);
    this->Dispatch();
    return;
  }
  if (this->job.exchange->Started()) {
    this->job.exchange->Abort();
    this->Finish(kBadGateway, "stream cut: " + reason);
    return;
  }
  this->Answer(kBadGateway, reason);
}

void Forwarder::OnAttemptTimeout() {
  const auto keep = this->shared_from_this();
  if (!this->MayRepeat() || !this->TakeRetry()) {
    return;
  }
  this->EndCall(SendOutcome::kStalled);
  this->demand.excluded.push_back(this->choice.server_key);
  this->Dispatch();
}

void Forwarder::OnDeadline() {
  const auto keep = this->shared_from_this();
  const bool unsent = !this->may_have_run;
  this->EndCall(SendOutcome::kCancelled);
  if (this->job.exchange->Started()) {
    this->job.exchange->Abort();
    this->Finish(kGatewayTimeout, "stream cut: its time is up");
  } else if (unsent) {
    this->Answer(kUnavailable, "no server could be reached in time",
                 kRetryAfterNoServer);
  } else {
    this->Answer(kGatewayTimeout, "no answer in time");
  }
}

void Forwarder::OnCallerDisconnected() {
  const auto keep = this->shared_from_this();
  this->EndCall(SendOutcome::kCancelled);
  this->Finish(kCallerGoneStatus, "the caller left");
}

void Forwarder::Answer(int status,
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
  this->EndCall(SendOutcome::kCancelled);
  this->context.loop.Cancel(std::exchange(this->deadline_timer, 0));
  this->job.exchange->OnGone(nullptr);
  --this->context.open_requests;
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
            {"events", this->events},
            {"first_event_ms",
             this->events > 0
                 ? ToMilliseconds(this->first_event_at - this->started_at)
                 : std::int64_t{-1}},
            {"longest_gap_ms", ToMilliseconds(this->longest_gap)},
            {"target_ms", ToMilliseconds(route.target)},
            {"tenant", this->job.tenant == nullptr ? std::string()
                                                   : this->job.tenant->name},
            {"duration_ms", ToMilliseconds(now - this->started_at)}});
  this->context.metrics.Add(this->Summarize(status, now));
  this->self.reset();
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
  if (status == kCallerGoneStatus) {
    result.outcome = RequestOutcome::kCallerLeft;
  } else if (status == kUnavailable || status == kTooManyRequests) {
    result.outcome = RequestOutcome::kRefused;
  } else if (status >= kFirstServerError) {
    result.outcome = RequestOutcome::kFailed;
  } else {
    result.first =
        (this->events > 0 ? this->first_event_at : now) - this->started_at;
    result.outcome = result.first > route.target ? RequestOutcome::kLate
                                                 : RequestOutcome::kInTime;
  }
  return result;
}

}  // namespace sycamorebend::gateway
