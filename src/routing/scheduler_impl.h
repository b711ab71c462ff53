// The implementation of Scheduler. Its methods are in several files by
// responsibility: admission.cc, dispatch.cc (choice of server, aging),
// attempts.cc (results, retries, resumes), scheduler.cc (policy, servers,
// timers) and inspect.cc (explain and statistics).
#ifndef ROUTING_SCHEDULER_IMPL_H_
#define ROUTING_SCHEDULER_IMPL_H_

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "routing/class_queue.h"
#include "routing/random.h"
#include "routing/request.h"
#include "routing/server_table.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::internal {

// A class of the policy in force and what was learnt about it.
struct ClassState {
  ClassPolicy policy;
  PoolIndex pool = 0;
  ClassQueue queue;
  SchedulerStats::ClassStats stats;
  // Mean time that a server spends on a request.
  Duration service_time = milliseconds(500);
  // Aging: dispatches to higher tiers and time since the last turn.
  int higher_dispatches = 0;
  TimePoint last_turn;
};

struct CustomerState {
  CustomerPolicy policy;
  int in_flight = 0;  // Queued ones included.
};

// The best server for a request and its score; lower is better.
struct Choice {
  ServerIndex server = kNoServer;
  float score = 0;
  // True if an accepting server exists, with or without room.
  bool eligible = false;
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
  std::vector<CrashEvidence> TakeEvidence() override;
  DecisionTrace Explain(const RequestInfo& info, TimePoint now) const override;
  SchedulerStats GetStats() const override;

 private:
  using RequestMap = std::unordered_map<std::string, std::unique_ptr<Request>>;

  // admission.cc
  // Checks that need no server. @return kOk, or why the request is refused.
  ResultCode Admit(Request& request, TimePoint now);
  // Sends the request now or puts it into its queue, or refuses it.
  void Place(Request& request, TimePoint now);
  void RefuseNew(const RequestInfo& info, ResultCode code, Duration retry);
  // Refuses a known request and forgets it.
  void Refuse(Request& request,
              ResultCode code,
              std::string message,
              Duration retry_after);
  void Forget(Request& request);
  void Enqueue(Request& request, std::string reason, TimePoint now);

  // dispatch.cc
  bool IsEligible(const Request& request, ServerIndex server) const;
  float Score(const Request& request, Tier tier, const ServerLoad& load) const;
  // @param needs_room only servers that can run the request at once.
  Choice Choose(const Request& request, Tier tier, bool needs_room);
  void Send(Request& request,
            ServerIndex server,
            Tier priority,
            const char* reason,
            TimePoint now);
  // Time until the request starts behind work of its own and higher tiers.
  Duration ExpectedWait(const Request& request, const ServerLoad& load) const;
  // Serves the queues that can use `server`, or all if kNoServer.
  void ServeQueues(ServerIndex server, TimePoint now);
  bool ServeClass(ClassState& one, TimePoint now);
  // Gives classes whose head waited too long their turn.
  void ServeAged(TimePoint now);
  TimePoint NextTurn(const ClassState& one) const;
  DecisionTrace Trace(const Request& request,
                      ServerIndex chosen,
                      std::string reason) const;

  // attempts.cc
  Request* FindCurrent(const std::string& request_id, int attempt);
  void CompleteRequest(Request& request, TimePoint now);
  // Ends the attempt: its server no longer works on it.
  void EndAttempt(Request& request);
  void CancelAttempt(Request& request, std::string reason);
  void RefuseFailed(Request& request, const AttemptResult& result);
  bool MayRetry(const Request& request, const AttemptResult& result) const;

  // scheduler.cc
  // Moves a request to the lists of a new policy.
  void Remap(Request& request,
             const std::vector<ClassState>& old_classes,
             const std::vector<CustomerState>& old_customers,
             std::vector<ClassPolicy>& policies);
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
  RequestMap requests;
  std::uint64_t next_serial = 1;
  std::set<std::pair<TimePoint, Request*>> timers;
  std::vector<RoutingAction> actions;
  std::vector<CrashEvidence> evidence;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_SCHEDULER_IMPL_H_
