// Admission control: dispatches, queues or refuses new and retried requests.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

// Used when the time until capacity becomes available cannot be estimated: two
// report intervals.
constexpr milliseconds kDefaultRetryAfter(1000);

}  // namespace

std::size_t SchedulerImpl::FindClass(const RequestInfo& info) const {
  const auto& list = this->policy->classes;
  const ClassPolicy* found = info.class_name.empty()
                                 ? this->policy->MatchClass(info.labels)
                                 : this->policy->FindClass(info.class_name);
  return found == nullptr ? list.size()
                          : static_cast<std::size_t>(found - list.data());
}

bool SchedulerImpl::IsQuarantined(const RequestInfo& info,
                                  TimePoint now) const {
  return this->quarantine.count(info.fingerprint) > 0 ||
         (this->crashes.HasCauses() &&
          this->crashes.FindCause(ContentOf(info), now));
}

ResultCode SchedulerImpl::Admit(const Request& request, TimePoint now) const {
  const CustomerState& customer = this->customers[request.customer];
  const ClassState& class_state = this->ClassOf(request);
  if (customer.policy.tiers.count(class_state.policy.tier) == 0) {
    return ResultCode::kTierNotGranted;
  }
  if (this->IsQuarantined(request.info, now)) {
    return ResultCode::kRequestQuarantined;
  }
  if (customer.in_flight >= customer.policy.max_in_flight) {
    return ResultCode::kCustomerLimit;
  }
  return request.deadline <= now ? ResultCode::kDeadlineUnreachable
                                 : ResultCode::kOk;
}

void SchedulerImpl::Submit(const RequestInfo& info, TimePoint now) {
  if (this->requests.count(info.request_id) > 0) {
    this->RefuseNew(info, ResultCode::kMalformedRequest, Duration{0});
    return;
  }
  const std::size_t class_index = this->FindClass(info);
  if (class_index == this->policy->classes.size()) {
    this->RefuseNew(info, ResultCode::kUnknownClass, Duration{0});
    return;
  }
  const auto customer = this->customers_by_name.find(info.customer);
  if (customer == this->customers_by_name.end()) {
    this->RefuseNew(info, ResultCode::kUnknownCustomer, Duration{0});
    return;
  }
  auto owned = std::make_unique<Request>();
  Request& request = *owned;
  request.info = info;
  request.serial = this->next_serial++;
  request.class_index = class_index;
  request.customer = customer->second;
  request.submitted_at = now;
  ClassState& class_state = this->classes[class_index];
  request.tier = class_state.policy.tier;
  request.deadline = now + class_state.policy.deadline;
  if (info.deadline) {
    request.deadline = std::min(request.deadline, *info.deadline);
  }
  ++class_state.stats.submitted;
  request.suspect = this->crashes.IsSuspect(RequestHash(info));
  const ResultCode code = this->Admit(request, now);
  if (code != ResultCode::kOk) {
    ++class_state.stats.refused;
    this->RefuseNew(
        info, code,
        code == ResultCode::kCustomerLimit ? kDefaultRetryAfter : Duration{0});
    return;
  }
  this->requests.emplace(info.request_id, std::move(owned));
  ++this->customers[request.customer].in_flight;
  this->customers[request.customer].urgent_in_flight +=
      request.tier == 0 ? 1 : 0;
  this->retries.CountRequest(now);
  this->SetTimer(request, request.deadline);
  if (!class_state.HasWaiting()) {
    class_state.unserved_since = now;
  }
  this->DispatchOrEnqueue(request, now);
}

void SchedulerImpl::DispatchOrEnqueue(Request& request, TimePoint now) {
  if (request.tier == 0) {
    this->DispatchOrEnqueueUrgent(request, now);
    return;
  }
  ClassState& class_state = this->ClassOf(request);
  Choice choice = this->Choose(request, request.tier, true);
  if (choice.server != kNoServer && class_state.on_time.Empty()) {
    this->ProbeSlowServer(request, choice, now);
    this->Send(request, choice, request.tier, now);
  } else if (!choice.eligible && !request.suspect) {
    this->Refuse(request, ResultCode::kNoEligibleServer, "",
                 this->RetryAfter(kDefaultRetryAfter));
  } else if (static_cast<int>(class_state.on_time.Size() +
                              class_state.late.Size()) >=
             class_state.policy.max_queue) {
    this->Refuse(request, ResultCode::kQueueFull, "",
                 this->RetryAfter(
                     class_state.estimator.ServiceTime(request.customer, 0)));
  } else {
    this->Enqueue(request, now);
    this->actions.emplace_back(QueueAction{
        request.info.request_id, class_state.policy.name, "no free slot"});
  }
}

void SchedulerImpl::DispatchOrEnqueueUrgent(Request& request, TimePoint now) {
  Choice choice = this->Choose(request, 0, false);
  if (choice.server == kNoServer) {
    if (request.suspect) {
      this->Enqueue(request, now);
      this->actions.emplace_back(QueueAction{
          request.info.request_id, this->ClassOf(request).policy.name,
          "every eligible server runs another crash suspect"});
      return;
    }
    this->Refuse(request, ResultCode::kNoEligibleServer, "",
                 this->RetryAfter(kDefaultRetryAfter));
    return;
  }
  if (this->ExpectedWait(request, choice.server) > Duration{0}) {
    Duration wait{0};
    choice.server = this->FindShortestWait(request, wait);
    choice.reason = "shortest wait behind urgent work";
    if (wait > this->AllowedWait(request, now)) {
      this->Refuse(request, ResultCode::kDeadlineUnreachable,
                   "every eligible server has too much urgent work",
                   this->RetryAfter(wait));
      return;
    }
    const ClassState& class_state = this->ClassOf(request);
    if (now + wait > this->LatestOnTimeStart(request) &&
        static_cast<int>(class_state.late.Size()) <
            class_state.policy.max_queue) {
      // Behind this much urgent work the first token would miss its target, and
      // the request would delay later ones past their target as well. It is
      // queued here until a server has fewer urgent requests than slots or the
      // deadline is close.
      request.late = true;
      this->Enqueue(request, now);
      this->actions.emplace_back(QueueAction{request.info.request_id,
                                             class_state.policy.name,
                                             "too much urgent work"});
      return;
    }
  }
  this->ProbeSlowServer(request, choice, now);
  this->Send(request, choice, 0, now);
}

bool SchedulerImpl::SendBeforeDeadline(Request& request, TimePoint now) {
  Choice choice;
  Duration wait{0};
  choice.server = this->FindShortestWait(request, wait);
  if (choice.server == kNoServer || now + wait >= request.deadline) {
    return false;
  }
  choice.reason = "deadline is close";
  this->Send(request, choice, 0, now);
  return true;
}

Duration SchedulerImpl::AllowedWait(const Request& request,
                                    TimePoint now) const {
  const ClassState& class_state = this->ClassOf(request);
  const Duration longest =
      request.deadline - now -
      class_state.estimator.ServiceTime(request.customer,
                                        request.info.max_output_tokens) /
          2;
  // Under urgent overload, customers that exceed their fair share are refused
  // first: the more they exceed it, the shorter the wait they are allowed.
  double weights = 0;
  double in_flight = 0;
  for (const CustomerState& customer : this->customers) {
    if (customer.urgent_in_flight > 0) {
      weights += customer.policy.weight;
      in_flight += customer.urgent_in_flight;
    }
  }
  const CustomerState& own = this->customers[request.customer];
  const double excess = own.urgent_in_flight * weights /
                        std::max(1e-9, in_flight * own.policy.weight);
  const Duration target = class_state.policy.first_token_target;
  if (excess <= 1 || longest <= target) {
    return longest;
  }
  return target +
         Duration(static_cast<std::int64_t>(
             static_cast<double>((longest - target).count()) / excess));
}

Duration SchedulerImpl::RetryAfter(Duration wait) {
  constexpr float kRandomPart = 0.5F;
  return wait +
         Duration(static_cast<std::int64_t>(static_cast<float>(wait.count()) *
                                            kRandomPart * this->random.Unit()));
}

void SchedulerImpl::RefuseNew(const RequestInfo& info,
                              ResultCode code,
                              Duration retry) {
  this->actions.emplace_back(
      RefuseAction{info.request_id, code,
                   std::string(GetResultCodeInfo(code).message), retry});
}

void SchedulerImpl::Refuse(Request& request,
                           ResultCode code,
                           std::string message,
                           Duration retry_after) {
  ++this->ClassOf(request).stats.refused;
  if (message.empty()) {
    message = GetResultCodeInfo(code).message;
  }
  this->actions.emplace_back(RefuseAction{request.info.request_id, code,
                                          std::move(message), retry_after});
  this->Forget(request);
}

void SchedulerImpl::Forget(Request& request) {
  if (request.queued) {
    this->Dequeue(request);
  }
  this->SetTimer(request, TimePoint::max());
  --this->customers[request.customer].in_flight;
  this->customers[request.customer].urgent_in_flight -=
      request.tier == 0 ? 1 : 0;
  // The key is copied because it is owned by the element that erase destroys.
  const std::string id = request.info.request_id;
  this->requests.erase(id);
}

}  // namespace sycamorebend::internal
