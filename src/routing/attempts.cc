// What happens to attempts: first token, progress, results, retries.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

constexpr int kMaxAttempts = 3;
// Connections that may fall silent in a row without a token in between.
constexpr int kMaxResumes = 2;
// A request that was in flight during this many crashes is not sent again.
constexpr int kMaxCrashes = 2;
// Tokens between two samples of a server's speed.
constexpr int kSampleTokens = 16;
// Counted for a server that gave no first token in time.
constexpr double kSilentRatio = 4;
// A request moves to another server when its first token takes this many times
// the usual time, but not before this part of the target has passed.
constexpr int kMoveFactor = 3;
constexpr double kMoveTargetPart = 0.35;

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

void SchedulerImpl::AddSlowness(ServerIndex server,
                                double ratio,
                                TimePoint now) {
  this->stragglers.Add(server, ratio, now);
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
  // The request started at some time after it was sent; the earliest possible
  // time keeps the stated longest wait.
  ClassState& one = this->ClassOf(*request);
  one.unserved_since = std::max(one.unserved_since, request->sent_at);
  this->ClassOf(*request).unstarted.erase(request->serial);
  request->first_token_at = now;
  request->tokens = std::max(request->tokens, 1);
  request->sampled_tokens = request->tokens;
  request->sampled_at = now;
  this->SetDue(*request, request->deadline);
  if (request->sent_to_free_slot) {
    this->ClassOf(*request).lengths.AddFirstTokenTime(now - request->sent_at);
  }
  // The server's own events come late; its cache holds the prompt by now.
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
  request->resumes = 0;
  this->SampleSpeed(*request, tokens, now);
}

void SchedulerImpl::SampleSpeed(Request& request, int tokens, TimePoint now) {
  const int count = tokens - request.sampled_tokens;
  if (count < kSampleTokens) {
    return;
  }
  const Duration time = (now - request.sampled_at) / count;
  request.sampled_tokens = tokens;
  request.sampled_at = now;
  const ServerLoad& load = this->servers.LoadAt(request.server);
  if (load.ahead[kMaxTiers - 1] > load.slots) {
    return;  // A pause may be a preemption.
  }
  LengthEstimator& lengths = this->ClassOf(request).lengths;
  const double ratio = static_cast<double>(time.count()) /
                       static_cast<double>(lengths.TokenTime().count());
  lengths.AddTokenTime(time);
  this->AddSlowness(request.server, ratio, now);
}

void SchedulerImpl::EndAttempt(Request& request) {
  if (request.server != kNoServer) {
    this->ClassOf(request).unstarted.erase(request.serial);
    this->servers.RemoveOwn(request);
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
  const ClassState& one = this->ClassOf(request);
  if (!one.policy.idempotent || request.attempt >= kMaxAttempts) {
    return TimePoint::max();
  }
  const Duration part(static_cast<std::int64_t>(
      kMoveTargetPart *
      static_cast<double>(one.policy.first_token_target.count())));
  return request.sent_at +
         std::max(part, kMoveFactor * one.lengths.FirstTokenTime());
}

void SchedulerImpl::TryMove(Request& request, TimePoint now) {
  this->SetDue(request, request.deadline);
  if (request.first_token_seen || this->LastTimelyStart(request) < now ||
      (request.sent_tier == 0 && request.tier > 0)) {
    return;  // After a move an aged request would wait at the end of a queue.
  }
  const ServerIndex server = request.server;
  if (this->ExpectedWait(request, server) > Duration{0}) {
    return;  // It waits behind other work, as expected.
  }
  this->AddSlowness(server, kSilentRatio, now);
  request.failed_on.push_back(server);
  Choice choice = this->Choose(request, request.tier, true);
  if (choice.server == kNoServer || !this->retries.TryRetry(now)) {
    request.failed_on.pop_back();
    return;
  }
  ++this->ClassOf(request).stats.retried;
  this->CancelAttempt(request, "no first token in time");
  choice.reason = "moved from a server without a first token";
  this->Send(request, choice, request.tier, now);
}

ResultCode SchedulerImpl::CheckRetry(const Request& request,
                                     const AttemptResult& result,
                                     TimePoint now) {
  // An order is dispatched once: a second dispatch, even after an attempt of
  // which no byte was sent, would need a new right to send.
  if (!this->ClassOf(request).policy.idempotent ||
      result.delivered_tokens > 0 || request.attempt >= kMaxAttempts) {
    return result.code;
  }
  if (this->IsQuarantined(request.info.fingerprint) ||
      this->crashes.Crashes(request.info.fingerprint) >= kMaxCrashes) {
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
  ClassState& one = this->ClassOf(request);
  const auto tokens = static_cast<std::uint64_t>(request.tokens);
  ++one.stats.finished;
  one.stats.output_tokens += tokens;
  const bool first_in_time =
      (request.first_token_seen ? request.first_token_at : now) -
          request.submitted_at <=
      one.policy.first_token_target;
  if (first_in_time && now <= request.deadline) {
    ++one.stats.within_target;
    one.stats.goodput_tokens += tokens;
  }
  one.lengths.AddLength(request.customer, request.tokens);
  if (request.charged > 0) {
    // An answer without tokens, of a plain service, costs a slot as well.
    one.on_time.Charge(request.customer,
                       std::max(1, request.tokens) - request.charged);
  }
  this->EndAttempt(request);
  this->Forget(request);
}

void SchedulerImpl::Resume(Request& request, int offset) {
  ++request.resumes;
  const ServerState& state = this->servers.At(request.server).state;
  const ClassPolicy& one = this->ClassOf(request).policy;
  DispatchAction action;
  action.request_id = request.info.request_id;
  action.attempt = request.attempt;
  action.server_id = state.server_id;
  action.address = state.address;
  action.priority = request.sent_tier;
  // The engine has the tokens already, so the probe needs no longer than a gap.
  action.first_byte_timeout = one.gap_timeout;
  action.gap_timeout = one.gap_timeout;
  action.resume_offset = offset;
  Choice choice;
  choice.server = request.server;
  choice.reason = "resume after a silent connection";
  action.trace = this->Trace(request, choice);
  this->actions.emplace_back(std::move(action));
}

void SchedulerImpl::OnCrash(ServerIndex server, TimePoint now) {
  if (this->servers.At(server).down) {
    return;  // The other requests of the same crash.
  }
  this->servers.MarkDown(server, now);
  const ServerState& state = this->servers.At(server).state;
  CrashReport found;
  found.server_id = state.server_id;
  found.incarnation = state.incarnation;
  for (Request* request : this->servers.At(server).own) {
    if (!request->info.fingerprint.empty()) {
      found.fingerprints.push_back(request->info.fingerprint);
    }
  }
  this->crashes.OnCrash(found.fingerprints, now);
  this->servers.MarkSuspects(server);
  this->evidence.push_back(std::move(found));
}

void SchedulerImpl::FailAttempt(Request& request,
                                const AttemptResult& result,
                                TimePoint now) {
  const ServerIndex server = request.server;
  ClassState& one = this->ClassOf(request);
  if (result.code == ResultCode::kServerCrashed) {
    this->OnCrash(server, now);
  } else if (result.code == ResultCode::kServerConnectFailed) {
    this->servers.MarkDown(server, now);
  } else if (result.code == ResultCode::kServerFirstByteTimeout ||
             result.code == ResultCode::kServerStalled) {
    this->AddSlowness(server, kSilentRatio, now);
    if (one.policy.idempotent) {
      this->CancelAttempt(request, "the server fell silent");
    }
  }
  this->EndAttempt(request);
  request.failed_on.push_back(server);
  const ResultCode retry = this->CheckRetry(request, result, now);
  if (retry == ResultCode::kOk) {
    ++one.stats.retried;
    this->Place(request, now);
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
      request->resumes < kMaxResumes &&
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
