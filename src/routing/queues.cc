// Order in which waiting requests are served.
#include <algorithm>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

// A class whose turn is due gets it after this many dispatches to higher tiers
// since its last turn, or after this time if there were fewer.
constexpr int kAgingPeriod = 8;
constexpr milliseconds kAgingInterval(1000);

}  // namespace

ClassQueue& SchedulerImpl::QueueOf(Request& request) {
  ClassState& one = this->ClassOf(request);
  return request.late ? one.late : one.on_time;
}

TimePoint SchedulerImpl::LastTimelyStart(const Request& request) const {
  const ClassState& one = this->ClassOf(request);
  return request.submitted_at + one.policy.first_token_target -
         one.lengths.FirstTokenTime();
}

TimePoint SchedulerImpl::LastUsefulStart(const Request& request) const {
  // Half of the expected time: a request that is shorter than expected must
  // not be refused for a wrong guess. Late ones risk more waste than they can
  // gain.
  const Duration service = this->ClassOf(request).lengths.ServiceTime(
      request.customer, request.info.max_output_tokens);
  return request.deadline - (request.late ? 2 * service : service / 2);
}

void SchedulerImpl::Enqueue(Request& request, TimePoint now) {
  const TimePoint timely = this->LastTimelyStart(request);
  request.late = request.late || timely <= now;
  this->QueueOf(request).Push(request);
  ++this->queued_requests;
  const TimePoint useful = this->LastUsefulStart(request);
  this->SetDue(request, request.late ? useful : std::min(timely, useful));
}

void SchedulerImpl::MoveToLate(Request& request, TimePoint now) {
  this->QueueOf(request).Remove(request);
  request.late = true;
  this->QueueOf(request).Push(request);
  this->SetDue(request, this->LastUsefulStart(request));
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
  const auto can_use = [&](const ClassState& one) {
    if (server == kNoServer) {
      return true;
    }
    const auto& pools = this->servers.At(server).pools;
    return std::find(pools.begin(), pools.end(), one.pool) != pools.end();
  };
  const auto serve = [&](bool urgent, bool late) {
    for (const std::size_t index : this->by_tier) {
      ClassState& one = this->classes[index];
      ClassQueue& queue = late ? one.late : one.on_time;
      if ((one.policy.tier == 0) != urgent || queue.Empty() || !can_use(one)) {
        continue;
      }
      while (this->ServeOne(queue, now)) {
      }
    }
  };
  // After the urgent tier, requests that can still be in time go before late
  // ones of a higher tier: a late answer counts for nobody.
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
    if (load.ahead[0] >= load.slots) {
      return false;
    }
  }
  if (request->tier > 0) {
    this->ProbeSlowServer(*request, choice, now);
  }
  this->Send(*request, choice, request->tier, now);
  return true;
}

TimePoint SchedulerImpl::NextTurn(const ClassState& one) const {
  return std::max(one.unserved_since + one.policy.max_wait,
                  one.last_turn + kAgingInterval);
}

Request* SchedulerImpl::NextAged(ClassState& one) {
  if (one.Queued()) {
    // A late request that is close to its deadline may not start in time.
    return one.on_time.Empty() ? one.late.Newest() : one.on_time.Front();
  }
  // All wait at servers behind work of higher tiers. One of them is withdrawn
  // and sent again with the highest priority.
  for (auto it = one.unstarted.rbegin(); it != one.unstarted.rend(); ++it) {
    if (it->second->sent_tier > 0 && one.policy.idempotent) {
      return it->second;
    }
  }
  return nullptr;
}

void SchedulerImpl::ServeAged(TimePoint now) {
  for (const std::size_t index : this->by_tier) {
    ClassState& one = this->classes[index];
    if (!one.Waiting() || one.policy.tier == 0 ||
        one.unserved_since + one.policy.max_wait > now ||
        (one.higher_dispatches<kAgingPeriod&& this->NextTurn(one)> now)) {
      continue;
    }
    one.higher_dispatches = 0;
    one.last_turn = now;
    Request* request = this->NextAged(one);
    if (request == nullptr) {
      continue;
    }
    Choice choice = this->Choose(*request, 0, false);
    if (choice.server != kNoServer) {
      one.unserved_since = now;
      choice.reason = "the class was not served for its longest wait";
      if (!request->queued) {
        this->CancelAttempt(*request, "sent again with a higher priority");
      }
      this->Send(*request, choice, 0, now);
    }
  }
}

}  // namespace sycamorebend::internal
