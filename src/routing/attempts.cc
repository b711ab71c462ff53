// What happens to attempts: first token, progress, results, retries.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

constexpr int kMaxAttempts = 3;
constexpr int kMaxResumes = 2;
// Weight of a new observation of the service time.
constexpr int kLearningRate = 16;

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

void SchedulerImpl::OnFirstToken(const std::string& request_id,
                                 int attempt,
                                 TimePoint now) {
  Request* request = this->FindCurrent(request_id, attempt);
  if (request != nullptr && !request->first_token_seen) {
    request->first_token_seen = true;
    request->first_token_at = now;
    request->tokens = std::max(request->tokens, 1);
  }
}

void SchedulerImpl::OnProgress(const std::string& request_id,
                               int attempt,
                               int tokens,
                               TimePoint now) {
  Request* request = this->FindCurrent(request_id, attempt);
  if (request != nullptr && tokens > request->tokens) {
    request->tokens = tokens;
    request->resumes = 0;
  }
}

void SchedulerImpl::EndAttempt(Request& request) {
  if (request.server != kNoServer) {
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

bool SchedulerImpl::MayRetry(const Request& request,
                             const AttemptResult& result) const {
  // An order is dispatched once: a second dispatch, even after an attempt of
  // which no byte was sent, would need a new right to send.
  return this->ClassOf(request).policy.idempotent &&
         result.delivered_tokens == 0 && request.attempt < kMaxAttempts;
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
  const bool first_in_time = !request.first_token_seen ||
                             request.first_token_at - request.submitted_at <=
                                 one.policy.first_token_target;
  if (first_in_time && now <= request.deadline) {
    ++one.stats.within_target;
    one.stats.goodput_tokens += tokens;
  }
  one.service_time +=
      (now - request.sent_at - one.service_time) / kLearningRate;
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
  if (result.code == ResultCode::kServerStalled &&
      result.delivered_tokens > 0 && request->resumes < kMaxResumes) {
    ++request->resumes;
    DispatchAction action;
    const ServerState& state = this->servers.At(server).state;
    const ClassPolicy& one = this->ClassOf(*request).policy;
    action.request_id = request_id;
    action.attempt = attempt;
    action.server_id = state.server_id;
    action.address = state.address;
    action.priority = request->sent_tier;
    action.first_byte_timeout = one.gap_timeout;
    action.gap_timeout = one.gap_timeout;
    action.resume_offset = result.delivered_tokens;
    action.trace = this->Trace(*request, server, "resume a silent connection");
    this->actions.emplace_back(std::move(action));
    return;
  }
  if (result.code == ResultCode::kOk) {
    this->CompleteRequest(*request, now);
    this->EndAttempt(*request);
    this->Forget(*request);
  } else {
    this->EndAttempt(*request);
    request->failed_on.push_back(server);
    if (this->MayRetry(*request, result)) {
      ++this->ClassOf(*request).stats.retried;
      this->Place(*request, now);
    } else {
      this->RefuseFailed(*request, result);
    }
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
