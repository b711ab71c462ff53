// Connects the scheduler with sessions, backend servers and timers.
#ifndef SYCAMOREBEND_SRC_ENTRY_REQUEST_ROUTER_H_
#define SYCAMOREBEND_SRC_ENTRY_REQUEST_ROUTER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "entry/session.h"
#include "sycamorebend/membership.h"
#include "sycamorebend/metrics.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::entry {

// What the scheduler needs of the shared state.
struct RoutingInput {
  std::shared_ptr<const Policy> policy;
  std::set<std::string> quarantined;
  std::set<std::string> drained_servers;
  int entry_count = 1;
};

// The scheduler and the server registry live on the control thread. The
// functions of SessionHost, Submit and SetInput may be called from any thread,
// the others on the control thread only.
class RequestRouter : public SessionHost {
 public:
  using EvidenceSink = std::function<void(const CrashReport&)>;

  // All references must outlive the router; `control` must be stopped before
  // the router is destroyed.
  RequestRouter(std::unique_ptr<Scheduler> scheduler,
                ControlThread& control,
                const Clock& clock,
                Metrics& metrics,
                Duration heartbeat,
                EvidenceSink evidence_sink);
  ~RequestRouter() override;

  // Submits the request of `session` to the scheduler.
  void Submit(std::shared_ptr<CallerSession> session);

  void SetInput(RoutingInput input);

  // @return requests that are not answered yet.
  std::size_t OpenRequests() const { return this->open_requests.load(); }

  ServerRegistry& Registry() { return this->registry; }
  const Scheduler& GetScheduler() const { return *this->scheduler; }
  // Passes changes of the registry to the scheduler, performs the scheduler's
  // actions and sets the timer for the next one.
  void Pump();

  void OnFirstToken(const std::string& request_id, int attempt) override;
  void OnProgress(const std::string& request_id,
                  int attempt,
                  int tokens) override;
  void OnAttemptDone(const std::string& request_id,
                     int attempt,
                     const AttemptResult& result) override;
  void OnCallerDisconnected(const std::string& request_id) override;
  void OnWithdrawn(const std::string& request_id) override;
  void OnClosed(const std::string& request_id) override;
  void OnWaste(const std::string& class_name,
               WasteCause cause,
               int tokens) override;

 private:
  void ApplyRegistryChanges(TimePoint now);
  void Perform(const RoutingAction& action);
  void PerformDispatch(const DispatchAction& action);
  void PerformRefuse(const RefuseAction& action);
  void PerformCancel(const CancelAction& action);
  void SetWakeTimer();
  void Erase(const std::string& request_id);
  std::shared_ptr<CallerSession> FindSession(const std::string& request_id);

  const std::unique_ptr<Scheduler> scheduler;
  ControlThread& control;
  const Clock& clock;
  Metrics& metrics;
  const EvidenceSink evidence_sink;
  ServerRegistry registry;
  std::unordered_map<std::string, std::shared_ptr<CallerSession>> sessions;
  std::atomic<std::size_t> open_requests{0};
  TimerId wake_timer = 0;
  TimePoint wake_time = TimePoint::max();
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_REQUEST_ROUTER_H_
