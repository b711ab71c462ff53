// The implementation of Scheduler. Its methods are in several files by
// responsibility: admission.cc, dispatch.cc (choice of server), queues.cc
// (order of service, aging), attempts.cc (results, retries, resumes),
// scheduler.cc (policy, servers, timers) and inspect.cc (explain, statistics).
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

// A class of the policy in force and what was learnt about it.
struct ClassState {
  ClassPolicy policy;
  PoolIndex pool = 0;
  // Requests that can still meet the target of the first token, and those that
  // cannot.
  ClassQueue on_time;
  ClassQueue late;
  SchedulerStats::ClassStats stats;
  LengthEstimator lengths;
  // Requests that were dispatched and have no token yet, by arrival.
  std::map<std::uint64_t, Request*> unstarted;
  // Aging: dispatches to higher tiers since the last turn, when the last turn
  // was, and since when requests of the class have waited without a first
  // token for any of them.
  int higher_dispatches = 0;
  TimePoint last_turn;
  TimePoint unserved_since;

  bool Queued() const { return !this->on_time.Empty() || !this->late.Empty(); }
  bool Waiting() const { return this->Queued() || !this->unstarted.empty(); }
};

struct CustomerState {
  CustomerPolicy policy;
  int in_flight = 0;  // Queued ones included.
  int urgent_in_flight = 0;
};

struct Candidate {
  ServerIndex server = kNoServer;
  float score = 0;  // Lower is better.
};

// Outcome of a scan over a pool.
struct Choice {
  static constexpr std::size_t kRunnersUp = 3;

  ServerIndex server = kNoServer;
  float score = 0;
  const char* reason = "lowest score";
  // True if an accepting server exists, with or without room.
  bool eligible = false;
  // The best of the scan in order, for the trace.
  Candidate best[kRunnersUp + 1];
};

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
  // Checks that need no server. @return kOk, or why the request is refused.
  ResultCode Admit(const Request& request, TimePoint now) const;
  bool IsQuarantined(const std::string& fingerprint) const;
  // Sends the request now or puts it into its queue, or refuses it.
  void Place(Request& request, TimePoint now);
  void PlaceUrgent(Request& request, TimePoint now);
  // Sends an urgent request that was held back and whose deadline comes close.
  // @return false if every server has too much urgent work.
  bool SendLastUrgent(Request& request, TimePoint now);
  // How long an urgent request may have to wait before it is refused instead.
  Duration AllowedWait(const Request& request, TimePoint now) const;
  void RefuseNew(const RequestInfo& info, ResultCode code, Duration retry);
  // Refuses a known request and forgets it.
  void Refuse(Request& request,
              ResultCode code,
              std::string message,
              Duration retry_after);
  void Forget(Request& request);
  // @return `wait` with a random part, so that callers do not return together.
  Duration RetryAfter(Duration wait);

  // dispatch.cc
  bool IsEligible(const Request& request, ServerIndex server) const;
  float Score(Tier tier, const ServerLoad& load) const;
  // @param needs_room only servers that can run the request at once.
  Choice Choose(const Request& request, Tier tier, bool needs_room);
  void PreferCached(const Request& request,
                    Tier tier,
                    bool needs_room,
                    Choice& choice) const;
  // Replaces the choice by a slow server whose probe is due.
  void ProbeSlowServer(const Request& request, Choice& choice, TimePoint now);
  // The server with the shortest wait behind work of the request's tier.
  ServerIndex ShortestWait(const Request& request, Duration& wait) const;
  void Send(Request& request,
            const Choice& choice,
            Tier priority,
            TimePoint now);
  // Time until the request starts behind work of its own and higher tiers.
  Duration ExpectedWait(const Request& request, ServerIndex server) const;
  DecisionTrace Trace(const Request& request, const Choice& choice) const;

  // queues.cc
  void Enqueue(Request& request, TimePoint now);
  void MoveToLate(Request& request, TimePoint now);
  void Dequeue(Request& request);
  ClassQueue& QueueOf(Request& request);
  TimePoint LastTimelyStart(const Request& request) const;
  TimePoint LastUsefulStart(const Request& request) const;
  // Serves the queues that can use `server`, or all if kNoServer.
  void ServeQueues(ServerIndex server, TimePoint now);
  bool ServeOne(ClassQueue& queue, TimePoint now);
  // Gives classes that were not served for too long their turn.
  void ServeAged(TimePoint now);
  // The request that takes the turn of an aged class, or nullptr.
  Request* NextAged(ClassState& one);
  TimePoint NextTurn(const ClassState& one) const;

  // attempts.cc
  Request* FindCurrent(const std::string& request_id, int attempt);
  void SampleSpeed(Request& request, int tokens, TimePoint now);
  void AddSlowness(ServerIndex server, double ratio, TimePoint now);
  void CompleteRequest(Request& request, TimePoint now);
  void FailAttempt(Request& request,
                   const AttemptResult& result,
                   TimePoint now);
  void Resume(Request& request, int offset);
  void OnCrash(ServerIndex server, TimePoint now);
  // Ends the attempt: its server no longer works on it.
  void EndAttempt(Request& request);
  void CancelAttempt(Request& request, std::string reason);
  void RefuseFailed(Request& request, const AttemptResult& result);
  // @return kOk if the request may be sent again, or why not.
  ResultCode CheckRetry(const Request& request,
                        const AttemptResult& result,
                        TimePoint now);
  TimePoint MoveTime(const Request& request) const;
  // Sends a request that got no first token to another server.
  void TryMove(Request& request, TimePoint now);

  // scheduler.cc
  // Moves a request to the lists of a new policy.
  void Remap(Request& request,
             const std::vector<ClassState>& old_classes,
             const std::vector<CustomerState>& old_customers,
             std::vector<ClassPolicy>& policies);
  void RebuildClasses(const std::vector<ClassPolicy>& policies,
                      std::vector<ClassState>& old_classes);
  void RequeueAll(std::vector<Request*> by_arrival, TimePoint now);
  void SetDue(Request& request, TimePoint due);
  void OnDue(Request& request, TimePoint now);
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
  std::unordered_map<std::string, std::size_t> customer_index;
  std::set<std::string> quarantine;
  ServerTable servers;
  PrefixIndex prefixes;
  StragglerTracker stragglers;
  RetryBudget retries;
  CrashTracker crashes;
  RequestMap requests;
  int queued_requests = 0;
  std::uint64_t next_serial = 1;
  // By time, then arrival: equal times must not be ordered by address.
  std::map<std::pair<TimePoint, std::uint64_t>, Request*> timers;
  std::vector<RoutingAction> actions;
  std::vector<CrashReport> evidence;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_SCHEDULER_IMPL_H_
