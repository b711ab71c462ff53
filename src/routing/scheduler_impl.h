// Implementation of Scheduler. Its methods are split over several files:
// admission.cc, dispatch.cc (server selection), queues.cc (queueing, aging),
// attempts.cc (results, retries, resumes), scheduler.cc (policy, servers,
// timers) and inspect.cc (explain, statistics).
#ifndef ROUTING_SCHEDULER_IMPL_H_
#define ROUTING_SCHEDULER_IMPL_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "routing/class_queue.h"
#include "routing/crash_tracker.h"
#include "routing/length_estimator.h"
#include "routing/prefix_index.h"
#include "routing/random.h"
#include "routing/request.h"
#include "routing/retry_budget.h"
#include "routing/server_table.h"
#include "routing/straggler_tracker.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::internal {

// Runtime state of a class of the current policy.
struct ClassState {
  ClassPolicy policy;
  PoolIndex pool = 0;
  // Queued requests that can still meet the first-token target, and those that
  // no longer can.
  ClassQueue on_time;
  ClassQueue late;
  SchedulerStats::ClassStats stats;
  LengthEstimator estimator;
  // Dispatched requests without a first token, in order of arrival.
  std::map<std::uint64_t, Request*> awaiting_first_token;
  // For the aging rule: dispatches to higher tiers since the rule was last
  // applied to this class, when it was last applied, and since when requests of
  // the class have waited without any of them getting a first token.
  int higher_tier_dispatches = 0;
  TimePoint last_aged_at;
  TimePoint unserved_since;

  bool HasQueued() const {
    return !this->on_time.Empty() || !this->late.Empty();
  }
  bool HasWaiting() const {
    return this->HasQueued() || !this->awaiting_first_token.empty();
  }
};

struct CustomerState {
  CustomerPolicy policy;
  int in_flight = 0;  // Including queued requests.
  int urgent_in_flight = 0;
};

struct Candidate {
  ServerIndex server = kNoServer;
  float score = 0;  // Lower is better.
};

// Result of server selection.
struct Choice {
  static constexpr std::size_t kAlternatives = 3;

  ServerIndex server = kNoServer;
  float score = 0;
  const char* reason = "lowest score";
  // True if an eligible server exists, with or without an available slot.
  bool eligible = false;
  // The servers with the best scores, best first, for the trace.
  Candidate best[kAlternatives + 1];
};

// @return the hash of the whole request; 0 if its content is unknown.
std::uint64_t RequestHash(const RequestInfo& info);
// @return the content by which requests that crash servers are recognized.
RequestContent ContentOf(const RequestInfo& info);

class SchedulerImpl : public Scheduler {
 public:
  explicit SchedulerImpl(const SchedulerOptions& options);

  void SetPolicy(std::shared_ptr<const Policy> policy, TimePoint now) override;
  void SetEntryCount(int entry_count) override;
  void SetQuarantine(const std::set<std::string>& fingerprints,
                     TimePoint now) override;
  void UpdateServer(const ServerState& server, TimePoint now) override;
  void RemoveServer(const std::string& server_id,
                    RemovalReason reason,
                    TimePoint now) override;
  void ApplyCacheEvents(const std::string& server_id,
                        const CacheEvents& events) override;
  void Submit(const RequestInfo& info, TimePoint now) override;
  void OnFirstToken(const std::string& request_id,
                    int attempt,
                    TimePoint now) override;
  void OnProgress(const std::string& request_id,
                  int attempt,
                  int tokens,
                  TimePoint now) override;
  void OnAttemptDone(const std::string& request_id,
                     int attempt,
                     const AttemptResult& result,
                     TimePoint now) override;
  void Cancel(const std::string& request_id, TimePoint now) override;
  void Advance(TimePoint now) override;
  TimePoint NextWake() const override;
  std::vector<RoutingAction> TakeActions() override;
  std::vector<CrashReport> TakeCrashReports() override;
  DecisionTrace Explain(const RequestInfo& info, TimePoint now) const override;
  SchedulerStats GetStats() const override;

 private:
  using RequestMap = std::unordered_map<std::string, std::unique_ptr<Request>>;

  // admission.cc
  // Admission checks that do not depend on servers.
  // @return kOk, or why the request is refused.
  ResultCode Admit(const Request& request, TimePoint now) const;
  bool IsQuarantined(const RequestInfo& info, TimePoint now) const;
  // Refuses the queued requests that have been quarantined meanwhile.
  void RefuseQuarantined(TimePoint now);
  // Sends, enqueues or refuses the request.
  void DispatchOrEnqueue(Request& request, TimePoint now);
  void DispatchOrEnqueueUrgent(Request& request, TimePoint now);
  // Sends an urgent request that was held in the queue until shortly before its
  // deadline.
  // @return false if no server can start it before the deadline.
  bool SendBeforeDeadline(Request& request, TimePoint now);
  // @return the longest expected wait for which an urgent request is accepted.
  Duration AllowedWait(const Request& request, TimePoint now) const;
  void RefuseNew(const RequestInfo& info, ResultCode code, Duration retry);
  // Refuses a tracked request and removes it.
  void Refuse(Request& request,
              ResultCode code,
              std::string message,
              Duration retry_after);
  void Forget(Request& request);
  // @return `wait` plus jitter, so that callers do not all retry at once.
  Duration RetryAfter(Duration wait);

  // dispatch.cc
  bool IsEligible(const Request& request, ServerIndex server) const;
  float Score(Tier tier, const ServerLoad& load) const;
  // @param needs_available_slot consider only servers with an available slot.
  Choice Choose(const Request& request, Tier tier, bool needs_available_slot);
  // Replaces the choice by a server that caches the prompt prefix if its score
  // with the cache bonus is lower.
  void PreferCached(const Request& request,
                    Tier tier,
                    bool needs_available_slot,
                    Choice& choice) const;
  // Replaces the choice by a slow server that is due for a probe.
  void ProbeSlowServer(const Request& request, Choice& choice, TimePoint now);
  // @param wait set to the expected wait at the returned server.
  // @return the eligible server with the shortest expected wait, or kNoServer.
  ServerIndex FindShortestWait(const Request& request, Duration& wait) const;
  void Send(Request& request,
            const Choice& choice,
            Tier priority,
            TimePoint now);
  // @return the time until the server starts the request, which waits behind
  // requests of its own and higher tiers.
  Duration ExpectedWait(const Request& request, ServerIndex server) const;
  DecisionTrace MakeTrace(const Request& request, const Choice& choice) const;

  // queues.cc
  void Enqueue(Request& request, TimePoint now);
  void MoveToLate(Request& request, TimePoint now);
  void Dequeue(Request& request);
  ClassQueue& QueueOf(Request& request);
  // @return the latest start with which the first token meets its target.
  TimePoint LatestOnTimeStart(const Request& request) const;
  // @return the latest start with which the request may finish by its deadline.
  TimePoint LatestUsefulStart(const Request& request) const;
  // Dispatches queued requests of the classes that can use `server`, or of all
  // classes if it is kNoServer.
  void ServeQueues(ServerIndex server, TimePoint now);
  // Dispatches the next request of the queue. @return false if it has none or
  // no server can take it.
  bool ServeOne(ClassQueue& queue, TimePoint now);
  // Aging rule: dispatches a request of each lower-tier class that has not been
  // served for its max_wait, with the highest priority.
  void ServeAged(TimePoint now);
  // @return the request of the class to be dispatched by the aging rule, or
  // nullptr.
  Request* NextAgedRequest(ClassState& class_state);
  // @return when the aging rule next applies to the class.
  TimePoint NextAgingTime(const ClassState& class_state) const;

  // attempts.cc
  // @return the request if `attempt` is its current attempt, or nullptr.
  Request* FindCurrent(const std::string& request_id, int attempt);
  void SampleSpeed(Request& request, int tokens, TimePoint now);
  void AddSpeedSample(ServerIndex server, double ratio, TimePoint now);
  void CompleteRequest(Request& request, TimePoint now);
  void FailAttempt(Request& request,
                   const AttemptResult& result,
                   TimePoint now);
  void Resume(Request& request, int offset);
  void OnCrash(ServerIndex server, TimePoint now);
  // Removes the attempt from its server's load.
  void EndAttempt(Request& request);
  void CancelAttempt(Request& request, std::string reason);
  // Refuses a request whose attempt failed and may not be retried.
  void RefuseFailed(Request& request, const AttemptResult& result);
  // @return kOk if the request may be retried, or why not.
  ResultCode CheckRetry(const Request& request,
                        const AttemptResult& result,
                        TimePoint now);
  // @return when a request without a first token is moved to another server.
  TimePoint MoveTime(const Request& request) const;
  // Moves a request without a first token to another server, if there is one.
  void TryMove(Request& request, TimePoint now);

  // scheduler.cc
  // Updates the class and customer indices of a request for a new policy.
  void Remap(Request& request,
             const std::vector<ClassState>& old_classes,
             const std::vector<CustomerState>& old_customers,
             std::vector<ClassPolicy>& policies);
  void RebuildClasses(const std::vector<ClassPolicy>& policies,
                      std::vector<ClassState>& old_classes);
  void RequeueAll(std::vector<Request*> by_arrival, TimePoint now);
  void SetTimer(Request& request, TimePoint timer_at);
  void OnTimer(Request& request, TimePoint now);
  ClassState& ClassOf(const Request& request) {
    return this->classes[request.class_index];
  }
  const ClassState& ClassOf(const Request& request) const {
    return this->classes[request.class_index];
  }
  std::size_t FindClass(const RequestInfo& info) const;

  SchedulerOptions options;
  Random random;
  std::shared_ptr<const Policy> policy;
  std::vector<ClassState> classes;
  // Indices of the classes from the most to the least urgent tier.
  std::vector<std::size_t> by_tier;
  std::vector<CustomerState> customers;
  std::unordered_map<std::string, std::size_t> customers_by_name;
  std::set<std::string> quarantine;
  ServerTable servers;
  PrefixIndex prefixes;
  StragglerTracker stragglers;
  RetryBudget retries;
  CrashTracker crashes;
  RequestMap requests;
  int queued_requests = 0;
  std::uint64_t next_serial = 1;
  // By time, then by arrival, so that the order of timers with equal times does
  // not depend on memory addresses.
  std::map<std::pair<TimePoint, std::uint64_t>, Request*> timers;
  std::vector<RoutingAction> actions;
  std::vector<CrashReport> crash_reports;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_SCHEDULER_IMPL_H_
