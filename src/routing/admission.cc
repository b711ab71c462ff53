// Admission: which requests are accepted, queued or refused.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

// Advice when the time until capacity returns cannot be estimated: two report
// intervals.
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

ResultCode SchedulerImpl::Admit(Request& request, TimePoint now) {
  const CustomerState& customer = this->customers[request.customer];
  const ClassState& one = this->ClassOf(request);
  if (customer.policy.tiers.count(one.policy.tier) == 0) {
    return ResultCode::kTierNotGranted;
  }
  if (this->quarantine.count(request.info.fingerprint) > 0) {
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
  const auto customer = this->customer_index.find(info.customer);
  if (customer == this->customer_index.end()) {
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
  ClassState& one = this->classes[class_index];
  request.tier = one.policy.tier;
  request.deadline = now + one.policy.deadline;
  if (info.deadline) {
    request.deadline = std::min(request.deadline, *info.deadline);
  }
  ++one.stats.submitted;
  const ResultCode code = this->Admit(request, now);
  if (code != ResultCode::kOk) {
    ++one.stats.refused;
    this->RefuseNew(
        info, code,
        code == ResultCode::kCustomerLimit ? kDefaultRetryAfter : Duration{0});
    return;
  }
  this->requests.emplace(info.request_id, std::move(owned));
  ++this->customers[request.customer].in_flight;
  this->SetDue(request, request.deadline);
  this->Place(request, now);
}

void SchedulerImpl::Place(Request& request, TimePoint now) {
  ClassState& one = this->ClassOf(request);
  const bool urgent = request.tier == 0;
  if (urgent || one.queue.Empty()) {
    const Choice choice = this->Choose(request, request.tier, !urgent);
    if (choice.server != kNoServer) {
      const ServerLoad& load = this->servers.LoadAt(choice.server);
      const Duration wait = this->ExpectedWait(request, load);
      if (urgent && now + wait > request.deadline) {
        this->Refuse(request, ResultCode::kDeadlineUnreachable,
                     "every eligible server has too much urgent work", wait);
        return;
      }
      this->Send(request, choice.server, request.tier, "least loaded", now);
      return;
    }
    if (!choice.eligible) {
      this->Refuse(request, ResultCode::kNoEligibleServer, "",
                   kDefaultRetryAfter);
      return;
    }
  }
  if (static_cast<int>(one.queue.Size()) >= one.policy.max_queue) {
    this->Refuse(request, ResultCode::kQueueFull, "", one.service_time);
    return;
  }
  this->Enqueue(request, "no free slot", now);
}

void SchedulerImpl::Enqueue(Request& request,
                            std::string reason,
                            TimePoint now) {
  ClassState& one = this->ClassOf(request);
  one.queue.Push(request);
  this->actions.emplace_back(
      QueueAction{request.info.request_id, one.policy.name, std::move(reason)});
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
    this->ClassOf(request).queue.Remove(request);
  }
  this->SetDue(request, TimePoint::max());
  --this->customers[request.customer].in_flight;
  // The key is copied because erasing by a reference into the erased value is
  // not safe.
  const std::string id = request.info.request_id;
  this->requests.erase(id);
}

}  // namespace sycamorebend::internal
