// Choice of a server, service of the queues, and aging.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

// Servers whose scores differ by less are chosen at random, so that entry
// daemons that read the same report do not all choose the same server.
constexpr float kNearEqual = 0.1F;
// A server in another failure domain must be this much less loaded.
constexpr float kDomainPenalty = 0.05F;
// Weight of lower-tier work that would have to be preempted.
constexpr float kPreemptionWeight = 0.5F;
// A class whose head waited too long gets a turn after this many dispatches to
// higher tiers, or after this time if there were fewer.
constexpr int kAgingPeriod = 8;
constexpr milliseconds kAgingInterval(1000);
constexpr std::size_t kTraceCandidates = 16;

}  // namespace

bool SchedulerImpl::IsEligible(const Request& request,
                               ServerIndex server) const {
  return this->servers.LoadAt(server).accepting &&
         std::find(request.failed_on.begin(), request.failed_on.end(),
                   server) == request.failed_on.end();
}

float SchedulerImpl::Score(const Request& request,
                           Tier tier,
                           const ServerLoad& load) const {
  const auto slots = static_cast<float>(load.slots);
  const auto ahead = static_cast<float>(load.ahead[tier]);
  const auto total = static_cast<float>(load.ahead[kMaxTiers - 1]);
  const float excess = std::max(0.0F, total + 1 - slots);
  return load.slowness * (ahead + kPreemptionWeight * excess + 1) / slots +
         (load.same_domain ? 0 : kDomainPenalty);
}

Choice SchedulerImpl::Choose(const Request& request,
                             Tier tier,
                             bool needs_room) {
  Choice best;
  for (const ServerIndex index :
       this->servers.PoolAt(this->ClassOf(request).pool).members) {
    if (!this->IsEligible(request, index)) {
      continue;
    }
    best.eligible = true;
    const ServerLoad& load = this->servers.LoadAt(index);
    if (needs_room && load.room[tier] <= 0) {
      continue;
    }
    const float score =
        this->Score(request, tier, load) + kNearEqual * this->random.Unit();
    if (best.server == kNoServer || score < best.score) {
      best.server = index;
      best.score = score;
    }
  }
  return best;
}

Duration SchedulerImpl::ExpectedWait(const Request& request,
                                     const ServerLoad& load) const {
  const int excess = load.ahead[request.tier] + 1 - load.slots;
  if (excess <= 0) {
    return Duration{0};
  }
  return this->ClassOf(request).service_time * excess / load.slots;
}

void SchedulerImpl::Send(Request& request,
                         ServerIndex server,
                         Tier priority,
                         const char* reason,
                         TimePoint now) {
  ClassState& one = this->ClassOf(request);
  if (request.queued) {
    one.queue.Take(request, 1);
  }
  for (ClassState& other : this->classes) {
    if (other.policy.tier > priority && !other.queue.Empty()) {
      ++other.higher_dispatches;
    }
  }
  DispatchAction action;
  action.trace = this->Trace(request, server, reason);
  ++request.attempt;
  request.server = server;
  request.sent_at = now;
  request.sent_tier = priority;
  request.first_token_seen = false;
  request.tokens = 0;
  request.resumes = 0;
  this->servers.AddOwn(request);
  action.request_id = request.info.request_id;
  action.attempt = request.attempt;
  action.server_id = this->servers.At(server).state.server_id;
  action.address = this->servers.At(server).state.address;
  action.priority = priority;
  action.first_byte_timeout = one.policy.first_byte_timeout;
  action.gap_timeout = one.policy.gap_timeout;
  this->actions.emplace_back(std::move(action));
}

void SchedulerImpl::ServeQueues(ServerIndex server, TimePoint now) {
  this->ServeAged(now);
  for (const std::size_t index : this->by_tier) {
    ClassState& one = this->classes[index];
    if (one.queue.Empty()) {
      continue;
    }
    if (server != kNoServer) {
      const auto& pools = this->servers.At(server).pools;
      if (std::find(pools.begin(), pools.end(), one.pool) == pools.end()) {
        continue;
      }
    }
    while (this->ServeClass(one, now)) {
    }
  }
}

bool SchedulerImpl::ServeClass(ClassState& one, TimePoint now) {
  Request* request = one.queue.Front();
  if (request == nullptr) {
    return false;
  }
  const Choice choice = this->Choose(*request, request->tier, true);
  if (choice.server == kNoServer) {
    return false;
  }
  this->Send(*request, choice.server, request->tier, "slot became free", now);
  return true;
}

TimePoint SchedulerImpl::NextTurn(const ClassState& one) const {
  const Request* oldest = one.queue.Oldest();
  const TimePoint aged = oldest->submitted_at + one.policy.max_wait;
  return std::max(aged, one.last_turn + kAgingInterval);
}

void SchedulerImpl::ServeAged(TimePoint now) {
  for (const std::size_t index : this->by_tier) {
    ClassState& one = this->classes[index];
    Request* oldest = one.queue.Oldest();
    if (oldest == nullptr || oldest->submitted_at + one.policy.max_wait > now ||
        (one.higher_dispatches<kAgingPeriod&& this->NextTurn(one)> now)) {
      continue;
    }
    const Choice choice = this->Choose(*oldest, 0, false);
    if (choice.server != kNoServer) {
      one.higher_dispatches = 0;
      one.last_turn = now;
      this->Send(*oldest, choice.server, 0, "waited longest", now);
    }
  }
}

DecisionTrace SchedulerImpl::Trace(const Request& request,
                                   ServerIndex chosen,
                                   std::string reason) const {
  DecisionTrace trace;
  const ClassState& one = this->ClassOf(request);
  trace.class_name = one.policy.name;
  trace.selector = one.policy.servers.Text();
  trace.reason = std::move(reason);
  if (chosen != kNoServer) {
    trace.candidates.push_back(
        {this->servers.At(chosen).state.server_id,
         this->Score(request, request.tier, this->servers.LoadAt(chosen)), ""});
  }
  return trace;
}

}  // namespace sycamorebend::internal
