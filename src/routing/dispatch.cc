// Choice of a server.
#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

// Servers whose scores differ by less are chosen at random, so that entry
// daemons that read the same report do not all choose the same server.
constexpr float kNearEqual = 0.1F;
// A server in another failure domain must be this much less loaded.
constexpr float kDomainPenalty = 0.02F;
// Weight of a request of a lower tier that would have to be preempted,
// relative to one that is ahead.
constexpr float kPreemptionWeight = 2.0F;
// A server that holds the whole prompt may be more loaded by this part of its
// slots. The bound keeps a popular prefix from overloading its holders.
constexpr float kAffinityWeight = 0.3F;
constexpr std::size_t kMaxHolders = 16;

// A pool with more servers is searched from a random place until this many were
// seen and one of them can run the request at once, so that the time for a
// decision does not grow with the pool.
constexpr std::size_t kEnoughServers = 128;

bool HasRoom(const Request& request, Tier tier, const ServerLoad& load) {
  if (load.room[tier] <= 0) {
    return false;
  }
  // A late answer counts for nobody, so it must not take a slot that a timely
  // request may need soon.
  return !request.late || tier == 0 ||
         load.ahead[kMaxTiers - 1] * 4 <= load.slots * 3;
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
  return request.failed_on.empty() ||
         std::find(request.failed_on.begin(), request.failed_on.end(),
                   server) == request.failed_on.end();
}

float SchedulerImpl::Score(Tier tier, const ServerLoad& load) const {
  const auto ahead = static_cast<float>(load.ahead[tier]);
  const auto total = static_cast<float>(load.ahead[kMaxTiers - 1]);
  const float excess =
      std::max(0.0F, total + 1 - static_cast<float>(load.slots));
  return load.slowness * (ahead + kPreemptionWeight * excess + 1) *
             load.per_slot +
         (load.same_domain ? 0 : kDomainPenalty);
}

Choice SchedulerImpl::Choose(const Request& request,
                             Tier tier,
                             bool needs_room) {
  Choice choice;
  std::size_t count = 0;
  const auto& members =
      this->servers.PoolAt(this->ClassOf(request).pool).members;
  const std::size_t size = members.size();
  const std::size_t start =
      size > kEnoughServers ? this->random.Next() % size : 0;
  for (std::size_t i = 0; i < size; ++i) {
    const ServerIndex index = members[(start + i) % size];
    if (i >= kEnoughServers && choice.best[0].server != kNoServer &&
        this->servers.LoadAt(choice.best[0].server).ahead[kMaxTiers - 1] <
            this->servers.LoadAt(choice.best[0].server).slots) {
      break;
    }
    if (!this->IsEligible(request, index)) {
      continue;
    }
    choice.eligible = true;
    const ServerLoad& load = this->servers.LoadAt(index);
    if (needs_room && !HasRoom(request, tier, load)) {
      continue;
    }
    const float score =
        this->Score(tier, load) + kNearEqual * this->random.Unit();
    constexpr std::size_t kLast = Choice::kRunnersUp;
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
    this->PreferCached(request, tier, needs_room, choice);
  }
  return choice;
}

void SchedulerImpl::PreferCached(const Request& request,
                                 Tier tier,
                                 bool needs_room,
                                 Choice& choice) const {
  const auto& hashes = request.info.prefix_hashes;
  const PrefixIndex::Match match = this->prefixes.Find(hashes);
  if (match.servers == nullptr) {
    return;
  }
  const float bonus = kAffinityWeight * static_cast<float>(match.blocks) /
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
        (needs_room && !HasRoom(request, tier, load))) {
      continue;
    }
    const float score = this->Score(tier, load) - bonus;
    if (score < choice.score) {
      choice.server = index;
      choice.score = score;
      choice.reason = "holds the prompt prefix";
    }
  }
}

void SchedulerImpl::ProbeSlowServer(const Request& request,
                                    Choice& choice,
                                    TimePoint now) {
  const ClassState& one = this->ClassOf(request);
  if (choice.server == kNoServer || !one.policy.idempotent) {
    return;
  }
  for (const ServerIndex index : this->stragglers.Slow()) {
    const Server& server = this->servers.At(index);
    if (!this->stragglers.ProbeDue(index, request.tier == 0, now) ||
        !this->IsEligible(request, index) ||
        this->servers.LoadAt(index).ahead[kMaxTiers - 1] >=
            this->servers.LoadAt(index).slots ||
        std::find(server.pools.begin(), server.pools.end(), one.pool) ==
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
  // Work that the aging rule put among the urgent requests may delay them but
  // is no reason to refuse one.
  const int excess = load.ahead[request.tier] + 1 - load.slots -
                     this->servers.At(server).own_aged;
  if (excess <= 0) {
    return Duration{0};
  }
  return this->ClassOf(request).lengths.ServiceTime(
             request.customer, request.info.max_output_tokens) *
         excess / load.slots;
}

ServerIndex SchedulerImpl::ShortestWait(const Request& request,
                                        Duration& wait) const {
  ServerIndex best = kNoServer;
  for (const ServerIndex index :
       this->servers.PoolAt(this->ClassOf(request).pool).members) {
    if (!this->IsEligible(request, index)) {
      continue;
    }
    const Duration own = this->ExpectedWait(request, index);
    if (best == kNoServer || own < wait) {
      best = index;
      wait = own;
    }
  }
  return best;
}

void SchedulerImpl::Send(Request& request,
                         const Choice& choice,
                         Tier priority,
                         TimePoint now) {
  ClassState& one = this->ClassOf(request);
  if (request.queued) {
    request.charged =
        one.lengths.Tokens(request.customer, request.info.max_output_tokens);
    this->QueueOf(request).Take(request, request.charged);
    --this->queued_requests;
  }
  one.unstarted.emplace(request.serial, &request);
  if (this->queued_requests > 0) {
    for (ClassState& other : this->classes) {
      other.higher_dispatches += other.policy.tier > priority ? 1 : 0;
    }
  }
  DispatchAction action;
  action.trace = this->Trace(request, choice);
  ++request.attempt;
  request.server = choice.server;
  request.sent_at = now;
  // Servers see two priorities. With one for each tier, a server preempts work
  // of the lower tiers for each other as well and computes it again; their
  // order is kept by the queues here.
  request.sent_tier = std::min(priority, 1);
  request.first_token_seen = false;
  request.tokens = 0;
  request.resumes = 0;
  const ServerLoad& load = this->servers.LoadAt(choice.server);
  request.sent_to_free_slot = load.ahead[kMaxTiers - 1] < load.slots;
  this->servers.AddOwn(request);
  const ServerState& state = this->servers.At(choice.server).state;
  action.request_id = request.info.request_id;
  action.attempt = request.attempt;
  action.server_id = state.server_id;
  action.address = state.address;
  action.priority = request.sent_tier;
  action.first_byte_timeout = one.policy.first_byte_timeout;
  action.gap_timeout = one.policy.gap_timeout;
  this->actions.emplace_back(std::move(action));
  this->SetDue(request, std::min(request.deadline, this->MoveTime(request)));
}

DecisionTrace SchedulerImpl::Trace(const Request& request,
                                   const Choice& choice) const {
  DecisionTrace trace;
  const ClassState& one = this->ClassOf(request);
  trace.class_name = one.policy.name;
  trace.selector = one.policy.servers.Text();
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
