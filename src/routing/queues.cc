// Queueing: the order in which waiting requests are dispatched.
#include <algorithm>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

// A class that has exceeded its max_wait is served by the aging rule once per
// this many dispatches to higher tiers, or once per this interval if there are
// fewer dispatches.
constexpr int kAgingPeriodDispatches = 8;
constexpr milliseconds kAgingInterval(1000);

}  // namespace

ClassQueue& SchedulerImpl::QueueOf(Request& request) {
  ClassState& class_state = this->ClassOf(request);
  return request.late ? class_state.late : class_state.on_time;
}

TimePoint SchedulerImpl::LatestOnTimeStart(const Request& request) const {
  const ClassState& class_state = this->ClassOf(request);
  return request.submitted_at + class_state.policy.first_token_target -
         class_state.estimator.FirstTokenTime();
}

TimePoint SchedulerImpl::LatestUsefulStart(const Request& request) const {
  // Half of the expected service time, so that a request that turns out shorter
  // than expected is not refused. Twice the expected time for late requests:
  // their response is worth little, and an unfinished one wastes tokens.
  const Duration service = this->ClassOf(request).estimator.ServiceTime(
      request.customer, request.info.max_output_tokens);
  return request.deadline - (request.late ? 2 * service : service / 2);
}

void SchedulerImpl::Enqueue(Request& request, TimePoint now) {
  const TimePoint on_time_until = this->LatestOnTimeStart(request);
  request.late = request.late || on_time_until <= now;
  this->QueueOf(request).Push(request);
  ++this->queued_requests;
  const TimePoint useful_until = this->LatestUsefulStart(request);
  this->SetTimer(request, request.late ? useful_until
                                       : std::min(on_time_until, useful_until));
}

void SchedulerImpl::MoveToLate(Request& request, TimePoint now) {
  this->QueueOf(request).Remove(request);
  request.late = true;
  this->QueueOf(request).Push(request);
  this->SetTimer(request, this->LatestUsefulStart(request));
}

void SchedulerImpl::Dequeue(Request& request) {
  this->QueueOf(request).Remove(request);
  --this->queued_requests;
}

void SchedulerImpl::ServeQueues(ServerIndex server, TimePoint now) {
  this->ServeAged(now);
  if (this->queued_requests == 0) {
    return;
  }
  const auto can_use = [&](const ClassState& class_state) {
    if (server == kNoServer) {
      return true;
    }
    const auto& pools = this->servers.At(server).pools;
    return std::find(pools.begin(), pools.end(), class_state.pool) !=
           pools.end();
  };
  const auto serve = [&](bool urgent, bool late) {
    for (const std::size_t index : this->by_tier) {
      ClassState& class_state = this->classes[index];
      ClassQueue& queue = late ? class_state.late : class_state.on_time;
      if ((class_state.policy.tier == 0) != urgent || queue.Empty() ||
          !can_use(class_state)) {
        continue;
      }
      while (this->ServeOne(queue, now)) {
      }
    }
  };
  // After the urgent tier, on-time requests of all tiers go before late ones,
  // because the response to a late request has already missed its target.
  serve(true, false);
  serve(true, true);
  serve(false, false);
  serve(false, true);
}

bool SchedulerImpl::ServeOne(ClassQueue& queue, TimePoint now) {
  Request* request = queue.Front();
  if (request == nullptr) {
    return false;
  }
  Choice choice = this->Choose(*request, request->tier, request->tier > 0);
  if (choice.server == kNoServer) {
    return false;
  }
  if (request->tier == 0 && request->late) {
    const ServerLoad& load = this->servers.LoadAt(choice.server);
    if (load.requests_ahead[0] >= load.slots) {
      return false;
    }
  }
  if (request->tier > 0) {
    this->ProbeSlowServer(*request, choice, now);
  }
  this->Send(*request, choice, request->tier, now);
  return true;
}

TimePoint SchedulerImpl::NextAgingTime(const ClassState& class_state) const {
  return std::max(class_state.unserved_since + class_state.policy.max_wait,
                  class_state.last_aged_at + kAgingInterval);
}

Request* SchedulerImpl::NextAgedRequest(ClassState& class_state) {
  if (class_state.HasQueued()) {
    // The newest of the late requests: an older one, closer to its deadline,
    // may not start in time.
    return class_state.on_time.Empty() ? class_state.late.Newest()
                                       : class_state.on_time.Front();
  }
  // All requests of the class wait at servers behind higher tiers. One of them
  // is cancelled and sent again with the highest priority.
  for (auto it = class_state.awaiting_first_token.rbegin();
       it != class_state.awaiting_first_token.rend(); ++it) {
    if (it->second->sent_priority > 0 && class_state.policy.idempotent) {
      return it->second;
    }
  }
  return nullptr;
}

void SchedulerImpl::ServeAged(TimePoint now) {
  for (const std::size_t index : this->by_tier) {
    ClassState& class_state = this->classes[index];
    if (!class_state.HasWaiting() || class_state.policy.tier == 0 ||
        class_state.unserved_since + class_state.policy.max_wait > now ||
        (class_state.higher_tier_dispatches<
            kAgingPeriodDispatches&& this->NextAgingTime(class_state)> now)) {
      continue;
    }
    class_state.higher_tier_dispatches = 0;
    class_state.last_aged_at = now;
    Request* request = this->NextAgedRequest(class_state);
    if (request == nullptr) {
      continue;
    }
    Choice choice = this->Choose(*request, 0, false);
    if (choice.server != kNoServer) {
      class_state.unserved_since = now;
      choice.reason = "the class was not served for its maximum wait";
      if (!request->queued) {
        this->CancelAttempt(*request, "sent again with a higher priority");
      }
      this->Send(*request, choice, 0, now);
    }
  }
}

}  // namespace sycamorebend::internal
