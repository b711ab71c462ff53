// Server selection and dispatch.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

// Random amount added to scores, so that entry daemons with the same report do
// not all choose the same server.
constexpr float kScoreJitter = 0.1F;
// Score penalty of a server in another failure domain.
constexpr float kDomainPenalty = 0.02F;
// Weight of each request in excess of the server's slots (a lower-tier request
// that would have to be preempted), relative to a request ahead.
constexpr float kPreemptionWeight = 2.0F;
// Score bonus of a server that caches the whole prompt, as a fraction of its
// slots. It is bounded so that a popular prefix does not overload the servers
// that cache it.
constexpr float kCacheWeight = 0.3F;
constexpr std::size_t kMaxHolders = 16;

// In a larger pool the scan starts at a random position and stops once it has
// visited this many servers and one of them can run the request at once, so
// that the decision time does not grow with the pool.
constexpr std::size_t kMinScannedServers = 128;

bool HasAvailableSlot(const Request& request,
                      Tier tier,
                      const ServerLoad& load) {
  if (load.available_slots[tier] <= 0) {
    return false;
  }
  // The response to a late request has already missed its target, so it must
  // not take a slot that an on-time request may need soon.
  return !request.late || tier == 0 ||
         load.requests_ahead[kMaxTiers - 1] * 4 <= load.slots * 3;
}

}  // namespace

bool SchedulerImpl::IsEligible(const Request& request,
                               ServerIndex server) const {
  if (!this->servers.LoadAt(server).accepting) {
    return false;
  }
  if (request.suspect && this->servers.At(server).own_suspects > 0) {
    return false;
  }
  return request.failed_servers.empty() ||
         std::find(request.failed_servers.begin(), request.failed_servers.end(),
                   server) == request.failed_servers.end();
}

float SchedulerImpl::Score(Tier tier, const ServerLoad& load) const {
  const auto requests_ahead = static_cast<float>(load.requests_ahead[tier]);
  const auto total = static_cast<float>(load.requests_ahead[kMaxTiers - 1]);
  const float excess =
      std::max(0.0F, total + 1 - static_cast<float>(load.slots));
  return load.slowness * (requests_ahead + kPreemptionWeight * excess + 1) *
             load.inverse_slots +
         (load.same_domain ? 0 : kDomainPenalty);
}

Choice SchedulerImpl::Choose(const Request& request,
                             Tier tier,
                             bool needs_available_slot) {
  Choice choice;
  std::size_t count = 0;
  const auto& members =
      this->servers.PoolAt(this->ClassOf(request).pool).members;
  const std::size_t size = members.size();
  const std::size_t start =
      size > kMinScannedServers ? this->random.Next() % size : 0;
  for (std::size_t i = 0; i < size; ++i) {
    const ServerIndex index = members[(start + i) % size];
    if (i >= kMinScannedServers && choice.best[0].server != kNoServer &&
        this->servers.LoadAt(choice.best[0].server)
                .requests_ahead[kMaxTiers - 1] <
            this->servers.LoadAt(choice.best[0].server).slots) {
      break;
    }
    if (!this->IsEligible(request, index)) {
      continue;
    }
    choice.eligible = true;
    const ServerLoad& load = this->servers.LoadAt(index);
    if (needs_available_slot && !HasAvailableSlot(request, tier, load)) {
      continue;
    }
    const float score =
        this->Score(tier, load) + kScoreJitter * this->random.Unit();
    constexpr std::size_t kLast = Choice::kAlternatives;
    if (count > kLast && score >= choice.best[kLast].score) {
      continue;
    }
    std::size_t at = std::min(count, kLast);
    for (; at > 0 && choice.best[at - 1].score > score; --at) {
      choice.best[at] = choice.best[at - 1];
    }
    choice.best[at] = {index, score};
    ++count;
  }
  choice.server = choice.best[0].server;
  choice.score = choice.best[0].score;
  if (choice.server != kNoServer && !request.info.prefix_hashes.empty()) {
    this->PreferCached(request, tier, needs_available_slot, choice);
  }
  return choice;
}

void SchedulerImpl::PreferCached(const Request& request,
                                 Tier tier,
                                 bool needs_available_slot,
                                 Choice& choice) const {
  const auto& hashes = request.info.prefix_hashes;
  const PrefixIndex::Match match = this->prefixes.Find(hashes);
  if (match.servers == nullptr) {
    return;
  }
  const float bonus = kCacheWeight * static_cast<float>(match.blocks) /
                      static_cast<float>(hashes.size());
  const PoolIndex pool = this->ClassOf(request).pool;
  std::size_t tried = 0;
  for (const ServerIndex index : *match.servers) {
    if (++tried > kMaxHolders) {
      break;
    }
    const auto& pools = this->servers.At(index).pools;
    const ServerLoad& load = this->servers.LoadAt(index);
    if (std::find(pools.begin(), pools.end(), pool) == pools.end() ||
        !this->IsEligible(request, index) ||
        (needs_available_slot && !HasAvailableSlot(request, tier, load))) {
      continue;
    }
    const float score = this->Score(tier, load) - bonus;
    if (score < choice.score) {
      choice.server = index;
      choice.score = score;
      choice.reason = "prompt prefix is cached";
    }
  }
}

void SchedulerImpl::ProbeSlowServer(const Request& request,
                                    Choice& choice,
                                    TimePoint now) {
  const ClassState& class_state = this->ClassOf(request);
  if (choice.server == kNoServer || !class_state.policy.idempotent) {
    return;
  }
  for (const ServerIndex index : this->stragglers.SlowServers()) {
    const Server& server = this->servers.At(index);
    if (!this->stragglers.ProbeDue(index, request.tier == 0, now) ||
        !this->IsEligible(request, index) ||
        this->servers.LoadAt(index).requests_ahead[kMaxTiers - 1] >=
            this->servers.LoadAt(index).slots ||
        std::find(server.pools.begin(), server.pools.end(), class_state.pool) ==
            server.pools.end()) {
      continue;
    }
    this->stragglers.OnProbe(index, now);
    choice.server = index;
    choice.score = this->Score(request.tier, this->servers.LoadAt(index));
    choice.reason = "probe of a slow server";
    return;
  }
}

Duration SchedulerImpl::ExpectedWait(const Request& request,
                                     ServerIndex server) const {
  const ServerLoad& load = this->servers.LoadAt(server);
  // Requests dispatched by the aging rule are not counted: they may delay
  // urgent requests but must not cause one to be refused.
  const int excess = load.requests_ahead[request.tier] + 1 - load.slots -
                     this->servers.At(server).own_aged;
  if (excess <= 0) {
    return Duration{0};
  }
  return this->ClassOf(request).estimator.ServiceTime(
             request.customer, request.info.max_output_tokens) *
         excess / load.slots;
}

ServerIndex SchedulerImpl::FindShortestWait(const Request& request,
                                            Duration& wait) const {
  ServerIndex best = kNoServer;
  for (const ServerIndex index :
       this->servers.PoolAt(this->ClassOf(request).pool).members) {
    if (!this->IsEligible(request, index)) {
      continue;
    }
    const Duration server_wait = this->ExpectedWait(request, index);
    if (best == kNoServer || server_wait < wait) {
      best = index;
      wait = server_wait;
    }
  }
  return best;
}

void SchedulerImpl::Send(Request& request,
                         const Choice& choice,
                         Tier priority,
                         TimePoint now) {
  ClassState& class_state = this->ClassOf(request);
  if (request.queued) {
    request.charged_tokens = class_state.estimator.ExpectedTokens(
        request.customer, request.info.max_output_tokens);
    this->QueueOf(request).RemoveAndCharge(request, request.charged_tokens);
    --this->queued_requests;
  }
  class_state.awaiting_first_token.emplace(request.serial, &request);
  if (this->queued_requests > 0) {
    for (ClassState& other : this->classes) {
      other.higher_tier_dispatches += other.policy.tier > priority ? 1 : 0;
    }
  }
  DispatchAction action;
  action.trace = this->MakeTrace(request, choice);
  ++request.attempt;
  request.server = choice.server;
  request.sent_at = now;
  // Servers get only two priorities. With one per tier, a server would also
  // preempt and recompute requests of one lower tier for another. The queues
  // here already order the lower tiers.
  request.sent_priority = std::min(priority, 1);
  request.first_token_seen = false;
  request.tokens = 0;
  request.resumes_without_progress = 0;
  const ServerLoad& load = this->servers.LoadAt(choice.server);
  request.sent_to_free_slot = load.requests_ahead[kMaxTiers - 1] < load.slots;
  this->servers.AddRequest(request);
  const ServerState& state = this->servers.At(choice.server).state;
  action.request_id = request.info.request_id;
  action.attempt = request.attempt;
  action.server_id = state.server_id;
  action.address = state.address;
  action.priority = request.sent_priority;
  action.first_byte_timeout = class_state.policy.first_byte_timeout;
  action.gap_timeout = class_state.policy.gap_timeout;
  this->actions.emplace_back(std::move(action));
  this->SetTimer(request, std::min(request.deadline, this->MoveTime(request)));
}

DecisionTrace SchedulerImpl::MakeTrace(const Request& request,
                                       const Choice& choice) const {
  DecisionTrace trace;
  const ClassState& class_state = this->ClassOf(request);
  trace.class_name = class_state.policy.name;
  trace.selector = class_state.policy.servers.Text();
  trace.reason = choice.reason;
  const auto add = [&](ServerIndex server, float score) {
    trace.candidates.push_back(
        {this->servers.At(server).state.server_id, score, ""});
  };
  add(choice.server, choice.score);
  for (const Candidate& candidate : choice.best) {
    if (candidate.server != kNoServer && candidate.server != choice.server) {
      add(candidate.server, candidate.score);
    }
  }
  return trace;
}

}  // namespace sycamorebend::internal
