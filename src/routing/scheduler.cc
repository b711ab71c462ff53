#include <algorithm>
#include <utility>

#include "routing/scheduler_impl.h"

namespace sycamorebend {

std::unique_ptr<Scheduler> Scheduler::Create(const SchedulerOptions& options) {
  return std::make_unique<internal::SchedulerImpl>(options);
}

namespace internal {

SchedulerImpl::SchedulerImpl(const SchedulerOptions& options)
    : options(options),
      random(options.seed ^ 0x5bd1e995U),
      policy(std::make_shared<Policy>()),
      servers(options) {}

void SchedulerImpl::SetPolicy(std::shared_ptr<const Policy> policy,
                              TimePoint now) {
  this->policy = std::move(policy);
  std::vector<ClassState> old_classes = std::exchange(this->classes, {});
  std::vector<CustomerState> old_customers = std::exchange(this->customers, {});
  this->customers_by_name.clear();
  for (const CustomerPolicy& customer : this->policy->customers) {
    this->customers_by_name.emplace(customer.name, this->customers.size());
    this->customers.push_back({customer, 0});
  }
  // Removed classes and customers are kept at the end of the lists while
  // existing requests refer to them. New requests cannot use them.
  std::vector<ClassPolicy> policies = this->policy->classes;
  std::vector<Request*> by_arrival;
  for (const auto& [id, request] : this->requests) {
    by_arrival.push_back(request.get());
    this->Remap(*request, old_classes, old_customers, policies);
  }
  this->RebuildClasses(policies, old_classes);
  this->RequeueAll(std::move(by_arrival), now);
}

void SchedulerImpl::RebuildClasses(const std::vector<ClassPolicy>& policies,
                                   std::vector<ClassState>& old_classes) {
  const std::vector<PoolIndex> pools = this->servers.SetPolicy(policies);
  std::vector<double> weights;
  for (const CustomerState& customer : this->customers) {
    weights.push_back(std::max(customer.policy.weight, 1e-6));
  }
  this->by_tier.clear();
  for (std::size_t i = 0; i < policies.size(); ++i) {
    ClassState state;
    for (ClassState& old : old_classes) {
      if (old.policy.name == policies[i].name) {
        state = std::move(old);
        break;
      }
    }
    state.policy = policies[i];
    state.policy.tier =
        std::clamp(state.policy.tier, 0, static_cast<Tier>(kMaxTiers) - 1);
    state.pool = pools[i];
    state.on_time = ClassQueue(weights);
    state.late = ClassQueue(weights);
    state.awaiting_first_token.clear();
    // The indices of customers have changed.
    state.estimator.ClearCustomers();
    state.stats.class_name = state.policy.name;
    this->classes.push_back(std::move(state));
    this->by_tier.push_back(i);
  }
  std::stable_sort(this->by_tier.begin(), this->by_tier.end(),
                   [this](std::size_t a, std::size_t b) {
                     return this->classes[a].policy.tier <
                            this->classes[b].policy.tier;
                   });
}

void SchedulerImpl::Remap(Request& request,
                          const std::vector<ClassState>& old_classes,
                          const std::vector<CustomerState>& old_customers,
                          std::vector<ClassPolicy>& policies) {
  const ClassPolicy& old_class = old_classes[request.class_index].policy;
  const auto found = std::find_if(
      policies.begin(), policies.end(),
      [&](const ClassPolicy& policy) { return policy.name == old_class.name; });
  request.class_index = static_cast<std::size_t>(found - policies.begin());
  if (found == policies.end()) {
    policies.push_back(old_class);
  }
  const CustomerPolicy& old_customer = old_customers[request.customer].policy;
  std::size_t customer = 0;
  while (customer < this->customers.size() &&
         this->customers[customer].policy.name != old_customer.name) {
    ++customer;
  }
  if (customer == this->customers.size()) {
    this->customers.push_back({old_customer, 0});
  }
  request.customer = customer;
  ++this->customers[customer].in_flight;
}

void SchedulerImpl::RequeueAll(std::vector<Request*> by_arrival,
                               TimePoint now) {
  std::sort(
      by_arrival.begin(), by_arrival.end(),
      [](const Request* a, const Request* b) { return a->serial < b->serial; });
  this->queued_requests = 0;
  for (Request* request : by_arrival) {
    // Attempts that are already sent keep their priority (sent_priority).
    const Tier tier = this->ClassOf(*request).policy.tier;
    this->customers[request->customer].urgent_in_flight += tier == 0 ? 1 : 0;
    request->tier = tier;
    if (!request->queued) {
      if (!request->first_token_seen) {
        this->ClassOf(*request).awaiting_first_token.emplace(request->serial,
                                                             request);
      }
      continue;
    }
    request->queued = false;
    if (request->class_index >= this->policy->classes.size()) {
      this->Refuse(*request, ResultCode::kUnknownClass,
                   "the class was removed from the configuration", Duration{0});
      continue;
    }
    this->Enqueue(*request, now);
  }
  this->ServeQueues(kNoServer, now);
}

void SchedulerImpl::SetEntryCount(int entry_count) {
  this->servers.SetEntryCount(entry_count);
}

std::uint64_t RequestHash(const RequestInfo& info) {
  return info.fingerprint.empty() ? 0 : StableHash64(info.fingerprint);
}

RequestContent ContentOf(const RequestInfo& info) {
  RequestContent content;
  content.request = RequestHash(info);
  if (!info.prefix_hashes.empty()) {
    // The longest prefix may belong to this request alone.
    content.parts.assign(info.prefix_hashes.begin(),
                         std::prev(info.prefix_hashes.end()));
    std::sort(content.parts.begin(), content.parts.end());
    content.parts.erase(std::unique(content.parts.begin(), content.parts.end()),
                        content.parts.end());
  }
  return content;
}

void SchedulerImpl::SetQuarantine(const std::set<std::string>& fingerprints,
                                  TimePoint now) {
  this->quarantine = fingerprints;
  this->RefuseQuarantined(now);
  this->ServeQueues(kNoServer, now);
}

void SchedulerImpl::RefuseQuarantined(TimePoint now) {
  std::vector<Request*> refused;
  for (const auto& [id, request] : this->requests) {
    if (request->queued && this->IsQuarantined(request->info, now)) {
      refused.push_back(request.get());
    }
  }
  std::sort(
      refused.begin(), refused.end(),
      [](const Request* a, const Request* b) { return a->serial < b->serial; });
  for (Request* request : refused) {
    this->Refuse(*request, ResultCode::kRequestQuarantined, "", Duration{0});
  }
}

void SchedulerImpl::UpdateServer(const ServerState& server, TimePoint now) {
  const ServerIndex known = this->servers.Find(server.server_id);
  if (known != kNoServer &&
      this->servers.At(known).state.incarnation != server.incarnation) {
    this->RemoveServer(server.server_id, RemovalReason::kRestarted, now);
  }
  this->ServeQueues(this->servers.Update(server), now);
}

void SchedulerImpl::RemoveServer(const std::string& server_id,
                                 RemovalReason reason,
                                 TimePoint now) {
  const ServerIndex index = this->servers.Find(server_id);
  if (index == kNoServer) {
    return;
  }
  this->servers.Remove(index);
  this->prefixes.Clear(index);
  this->stragglers.Forget(index);
  if (reason != RemovalReason::kRestarted) {
    // Responses may still arrive: a leaving server finishes its requests, and a
    // server whose lease expired may only have failed to deliver its reports.
    return;
  }
  std::vector<std::pair<std::string, int>> lost;
  for (const Request* request : this->servers.At(index).own_requests) {
    lost.emplace_back(request->info.request_id, request->attempt);
  }
  for (const auto& [id, attempt] : lost) {
    const Request* request = this->FindCurrent(id, attempt);
    if (request == nullptr) {
      continue;
    }
    this->actions.emplace_back(
        CancelAction{id, attempt, server_id, "the server restarted"});
    this->OnAttemptDone(id, attempt,
                        {ResultCode::kServerCrashed, "the server restarted",
                         false, request->tokens},
                        now);
  }
}

void SchedulerImpl::ApplyCacheEvents(const std::string& server_id,
                                     const CacheEvents& events) {
  const ServerIndex index = this->servers.Find(server_id);
  if (index == kNoServer) {
    return;
  }
  if (events.reset) {
    this->prefixes.Clear(index);
  }
  for (const std::uint64_t hash : events.added) {
    this->prefixes.Add(index, hash);
  }
  for (const std::uint64_t hash : events.removed) {
    this->prefixes.Remove(index, hash);
  }
}

void SchedulerImpl::SetTimer(Request& request, TimePoint timer_at) {
  if (request.timer_at != TimePoint::max()) {
    this->timers.erase({request.timer_at, request.serial});
  }
  request.timer_at = timer_at;
  if (timer_at != TimePoint::max()) {
    this->timers.emplace(std::pair(timer_at, request.serial), &request);
  }
}

void SchedulerImpl::OnTimer(Request& request, TimePoint now) {
  this->SetTimer(request, TimePoint::max());
  if (request.queued) {
    if (!request.late && this->LatestUsefulStart(request) > now) {
      this->MoveToLate(request, now);
      return;
    }
    if (request.tier == 0 && this->SendBeforeDeadline(request, now)) {
      return;
    }
    this->Refuse(request, ResultCode::kDeadlineUnreachable,
                 "no server became free in time",
                 this->RetryAfter(this->ClassOf(request).estimator.ServiceTime(
                     request.customer, 0)));
    return;
  }
  if (now < request.deadline) {
    this->TryMove(request, now);
    return;
  }
  const bool is_order = !this->ClassOf(request).policy.idempotent;
  this->CancelAttempt(request, "the deadline has passed");
  this->Refuse(request,
               is_order ? ResultCode::kOrderOutcomeUnknown
                        : ResultCode::kDeadlineUnreachable,
               "the deadline has passed", Duration{0});
}

void SchedulerImpl::Advance(TimePoint now) {
  while (!this->timers.empty() && this->timers.begin()->first.first <= now) {
    this->OnTimer(*this->timers.begin()->second, now);
  }
  this->ServeQueues(kNoServer, now);
}

TimePoint SchedulerImpl::NextWake() const {
  TimePoint wake = this->timers.empty() ? TimePoint::max()
                                        : this->timers.begin()->first.first;
  for (const ClassState& class_state : this->classes) {
    if (class_state.policy.tier > 0 && class_state.HasWaiting()) {
      wake = std::min(wake, this->NextAgingTime(class_state));
    }
  }
  return wake;
}

std::vector<RoutingAction> SchedulerImpl::TakeActions() {
  return std::exchange(this->actions, {});
}

std::vector<CrashReport> SchedulerImpl::TakeCrashReports() {
  return std::exchange(this->crash_reports, {});
}

}  // namespace internal

}  // namespace sycamorebend
