// Events of attempts: first token, progress, result, retry, resume.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

constexpr int kMaxAttempts = 3;
// Consecutive resumes without a new token.
constexpr int kMaxResumes = 2;
// A request that was in flight during this many crashes is not retried.
constexpr int kMaxCrashes = 2;
// Tokens between two samples of a server's speed.
constexpr int kTokensPerSample = 16;
// Speed ratio recorded for a server that timed out.
constexpr double kTimeoutRatio = 4;
// A request is moved to another server when its first token takes this many
// times the usual time, but not before this fraction of the first-token target
// has passed.
constexpr int kMoveAfterFactor = 3;
constexpr double kMoveAfterTargetShare = 0.35;

}  // namespace

Request* SchedulerImpl::FindCurrent(const std::string& request_id,
                                    int attempt) {
  const auto found = this->requests.find(request_id);
  if (found == this->requests.end() || found->second->queued ||
      found->second->attempt != attempt) {
    return nullptr;
  }
  return found->second.get();
}

void SchedulerImpl::AddSpeedSample(ServerIndex server,
                                   double ratio,
                                   TimePoint now) {
  this->stragglers.AddSample(server, ratio, now);
  this->servers.LoadAt(server).slowness = this->stragglers.Slowness(server);
}

void SchedulerImpl::OnFirstToken(const std::string& request_id,
                                 int attempt,
                                 TimePoint now) {
  Request* request = this->FindCurrent(request_id, attempt);
  if (request == nullptr || request->first_token_seen) {
    return;
  }
  request->first_token_seen = true;
  // The request as a whole may still crash its server.
  this->crashes.RecordServed({0, ContentOf(request->info).parts}, now);
  // The start time is unknown. The earliest possible one is used, so that the
  // class's maximum wait is not exceeded.
  ClassState& class_state = this->ClassOf(*request);
  class_state.unserved_since =
      std::max(class_state.unserved_since, request->sent_at);
  this->ClassOf(*request).awaiting_first_token.erase(request->serial);
  request->first_token_at = now;
  request->tokens = std::max(request->tokens, 1);
  request->sampled_tokens = request->tokens;
  request->sampled_at = now;
  this->SetTimer(*request, request->deadline);
  if (request->sent_to_free_slot) {
    this->ClassOf(*request).estimator.AddFirstTokenTime(now - request->sent_at);
  }
  // The server has cached the prompt by now; its cache events arrive later.
  for (const std::uint64_t hash : request->info.prefix_hashes) {
    this->prefixes.Add(request->server, hash);
  }
}

void SchedulerImpl::OnProgress(const std::string& request_id,
                               int attempt,
                               int tokens,
                               TimePoint now) {
  Request* request = this->FindCurrent(request_id, attempt);
  if (request == nullptr || tokens <= request->tokens) {
    return;
  }
  this->OnFirstToken(request_id, attempt, now);
  request->tokens = tokens;
  request->resumes_without_progress = 0;
  this->SampleSpeed(*request, tokens, now);
}

void SchedulerImpl::SampleSpeed(Request& request, int tokens, TimePoint now) {
  const int count = tokens - request.sampled_tokens;
  if (count < kTokensPerSample) {
    return;
  }
  const Duration time = (now - request.sampled_at) / count;
  request.sampled_tokens = tokens;
  request.sampled_at = now;
  const ServerLoad& load = this->servers.LoadAt(request.server);
  if (load.requests_ahead[kMaxTiers - 1] > load.slots) {
    return;  // The delay may be due to a preemption.
  }
  LengthEstimator& estimator = this->ClassOf(request).estimator;
  const double ratio = static_cast<double>(time.count()) /
                       static_cast<double>(estimator.TokenTime().count());
  estimator.AddTokenTime(time);
  this->AddSpeedSample(request.server, ratio, now);
}

void SchedulerImpl::EndAttempt(Request& request) {
  if (request.server != kNoServer) {
    this->ClassOf(request).awaiting_first_token.erase(request.serial);
    this->servers.RemoveRequest(request);
    request.server = kNoServer;
  }
}

void SchedulerImpl::CancelAttempt(Request& request, std::string reason) {
  this->ClassOf(request).stats.wasted_tokens +=
      static_cast<std::uint64_t>(request.tokens);
  this->actions.emplace_back(CancelAction{
      request.info.request_id, request.attempt,
      this->servers.At(request.server).state.server_id, std::move(reason)});
  this->EndAttempt(request);
}

TimePoint SchedulerImpl::MoveTime(const Request& request) const {
  const ClassState& class_state = this->ClassOf(request);
  if (!class_state.policy.idempotent || request.attempt >= kMaxAttempts) {
    return TimePoint::max();
  }
  const Duration part(static_cast<std::int64_t>(
      kMoveAfterTargetShare *
      static_cast<double>(class_state.policy.first_token_target.count())));
  return request.sent_at +
         std::max(part,
                  kMoveAfterFactor * class_state.estimator.FirstTokenTime());
}

void SchedulerImpl::TryMove(Request& request, TimePoint now) {
  this->SetTimer(request, request.deadline);
  if (request.first_token_seen || this->LatestOnTimeStart(request) < now ||
      (request.sent_priority == 0 && request.tier > 0)) {
    // An aged request would lose its position: after the move it would wait
    // behind the other requests of the new server.
    return;
  }
  const ServerIndex server = request.server;
  if (this->ExpectedWait(request, server) > Duration{0}) {
    return;  // The request waits behind other requests, as expected.
  }
  this->AddSpeedSample(server, kTimeoutRatio, now);
  request.failed_servers.push_back(server);
  Choice choice = this->Choose(request, request.tier, true);
  if (choice.server == kNoServer || !this->retries.TryRetry(now)) {
    request.failed_servers.pop_back();
    return;
  }
  ++this->ClassOf(request).stats.retried;
  this->CancelAttempt(request, "no first token in time");
  choice.reason = "moved to another server: no first token in time";
  this->Send(request, choice, request.tier, now);
}

ResultCode SchedulerImpl::CheckRetry(const Request& request,
                                     const AttemptResult& result,
                                     TimePoint now) {
  // A non-idempotent request (order) is dispatched only once. A second dispatch
  // would need a new permission to send, even if the first attempt sent no
  // byte.
  if (!this->ClassOf(request).policy.idempotent ||
      result.delivered_tokens > 0 || request.attempt >= kMaxAttempts) {
    return result.code;
  }
  if (this->IsQuarantined(request.info, now) ||
      this->crashes.Crashes(RequestHash(request.info)) >= kMaxCrashes) {
    return ResultCode::kRequestQuarantined;
  }
  return this->retries.TryRetry(now) ? ResultCode::kOk
                                     : ResultCode::kRetryBudgetExhausted;
}

void SchedulerImpl::RefuseFailed(Request& request,
                                 const AttemptResult& result) {
  ResultCode code = result.code;
  if (!this->ClassOf(request).policy.idempotent) {
    code = result.nothing_sent ? ResultCode::kOrderNotRun
                               : ResultCode::kOrderOutcomeUnknown;
  } else if (result.delivered_tokens > 0) {
    code = ResultCode::kStreamTruncated;
  }
  this->Refuse(request, code, result.message, Duration{0});
}

void SchedulerImpl::CompleteRequest(Request& request, TimePoint now) {
  ClassState& class_state = this->ClassOf(request);
  this->crashes.RecordServed(ContentOf(request.info), now);
  const auto tokens = static_cast<std::uint64_t>(request.tokens);
  ++class_state.stats.finished;
  class_state.stats.output_tokens += tokens;
  const bool first_in_time =
      (request.first_token_seen ? request.first_token_at : now) -
          request.submitted_at <=
      class_state.policy.first_token_target;
  if (first_in_time && now <= request.deadline) {
    ++class_state.stats.within_target;
    class_state.stats.goodput_tokens += tokens;
  }
  class_state.estimator.AddOutputLength(request.customer, request.tokens);
  if (request.charged_tokens > 0) {
    // A response without tokens (from a plain service) also uses a slot.
    class_state.on_time.Charge(
        request.customer, std::max(1, request.tokens) - request.charged_tokens);
  }
  this->EndAttempt(request);
  this->Forget(request);
}

void SchedulerImpl::Resume(Request& request, int offset) {
  ++request.resumes_without_progress;
  const ServerState& state = this->servers.At(request.server).state;
  const ClassPolicy& policy = this->ClassOf(request).policy;
  DispatchAction action;
  action.request_id = request.info.request_id;
  action.attempt = request.attempt;
  action.server_id = state.server_id;
  action.address = state.address;
  action.priority = request.sent_priority;
  // The engine has already computed these tokens, so the first byte should
  // arrive within the timeout between tokens.
  action.first_byte_timeout = policy.gap_timeout;
  action.gap_timeout = policy.gap_timeout;
  action.resume_offset = offset;
  Choice choice;
  choice.server = request.server;
  choice.reason = "resumed after the connection was lost or stalled";
  action.trace = this->MakeTrace(request, choice);
  this->actions.emplace_back(std::move(action));
}

void SchedulerImpl::OnCrash(ServerIndex server, TimePoint now) {
  if (this->servers.At(server).down) {
    return;  // Already handled for another request on the same server.
  }
  this->servers.MarkDown(server, now);
  const ServerState& state = this->servers.At(server).state;
  CrashReport report;
  report.server_id = state.server_id;
  report.incarnation = state.incarnation;
  const auto hash = static_cast<std::uint32_t>(
      StableHash64(state.server_id + "#" + state.incarnation));
  for (Request* request : this->servers.At(server).own_requests) {
    this->crashes.RecordCrash(
        {hash, ContentOf(request->info), request->first_token_seen},
        NewsSource::kOwn, now);
    if (!request->info.fingerprint.empty()) {
      report.fingerprints.push_back(request->info.fingerprint);
    }
  }
  if (!this->crashes.Evaluate(now).empty()) {
    this->RefuseQuarantined(now);
  }
  this->servers.MarkSuspects(server);
  this->crash_reports.push_back(std::move(report));
}

void SchedulerImpl::FailAttempt(Request& request,
                                const AttemptResult& result,
                                TimePoint now) {
  const ServerIndex server = request.server;
  ClassState& class_state = this->ClassOf(request);
  if (result.code == ResultCode::kServerCrashed) {
    this->OnCrash(server, now);
  } else if (result.code == ResultCode::kServerConnectFailed) {
    this->servers.MarkDown(server, now);
  } else if (result.code == ResultCode::kServerFirstByteTimeout ||
             result.code == ResultCode::kServerStalled) {
    this->AddSpeedSample(server, kTimeoutRatio, now);
    if (class_state.policy.idempotent) {
      this->CancelAttempt(request, "the server stopped sending data");
    }
  }
  this->EndAttempt(request);
  request.failed_servers.push_back(server);
  const ResultCode retry = this->CheckRetry(request, result, now);
  if (retry == ResultCode::kOk) {
    ++class_state.stats.retried;
    this->DispatchOrEnqueue(request, now);
  } else if (retry != result.code) {
    this->Refuse(request, retry, "", this->RetryAfter(seconds(1)));
  } else {
    this->RefuseFailed(request, result);
  }
}

void SchedulerImpl::OnAttemptDone(const std::string& request_id,
                                  int attempt,
                                  const AttemptResult& result,
                                  TimePoint now) {
  Request* request = this->FindCurrent(request_id, attempt);
  if (request == nullptr) {
    return;
  }
  const ServerIndex server = request->server;
  const bool connection_lost = result.code == ResultCode::kServerStalled ||
                               result.code == ResultCode::kStreamTruncated;
  if (connection_lost && result.delivered_tokens > 0 &&
      request->resumes_without_progress < kMaxResumes &&
      this->ClassOf(*request).policy.idempotent) {
    this->Resume(*request, result.delivered_tokens);
    return;
  }
  if (result.code == ResultCode::kOk) {
    this->CompleteRequest(*request, now);
  } else {
    this->FailAttempt(*request, result, now);
  }
  this->ServeQueues(server, now);
}

void SchedulerImpl::Cancel(const std::string& request_id, TimePoint now) {
  const auto found = this->requests.find(request_id);
  if (found == this->requests.end()) {
    return;
  }
  Request& request = *found->second;
  const ServerIndex server = request.server;
  if (!request.queued) {
    this->CancelAttempt(request, "the caller left");
  }
  this->Forget(request);
  if (server != kNoServer) {
    this->ServeQueues(server, now);
  }
}

}  // namespace sycamorebend::internal
