// Performs the duties of a control replica: takes grants while it leads, fixes
// windows of usage and reports them. See docs/design/duties.md.
#ifndef SYCAMOREBEND_SRC_DUTIES_DUTY_RUNNER_H_
#define SYCAMOREBEND_SRC_DUTIES_DUTY_RUNNER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <json/value.h>

#include "duties/duty_lease.h"
#include "duties/true_time.h"
#include "duties/usage_schedule.h"
#include "duties/usage_table.h"
#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"
#include "sycamorebend/control.h"
#include "sycamorebend/duties.h"
#include "sycamorebend/feed.h"

namespace sycamorebend {

// Methods are called on the control thread, except where stated.
class DutyRunner : public DutyHolder,
                   public DemandSource,
                   public DutyApi,
                   public FeedReportReceiver {
 public:
  // The references must outlive the runner.
  // @param leader_lease time after a quorum's confirmation during which no
  // other replica can be the leader.
  DutyRunner(DutyOptions options,
             Duration leader_lease,
             DutyApi& api,
             const ControlState& state,
             ControlThread& control_thread,
             const Clock& clock);

  // Performs periodic work. To be called every 200 ms.
  void Tick(ReplicatedLog& replica_log);

  // Calls `task` at the end of each tick from now on. May be called from any
  // thread.
  void SetTickTask(std::function<void()> task);

  std::optional<DutyGrant> Current(Duty duty) override;
  void Renew(Duty duty) override;
  std::optional<DemandReport> CurrentDemand() override;

  // Pass calls on to the platform's API and log their results. The callback
  // runs on the control thread.
  void ReportUsage(const DutyGrant& grant,
                   const UsageRecord& record,
                   Callback callback) override;
  void OrderServers(const DutyGrant& grant,
                    const ServerOrder& order,
                    Callback callback) override;

  // Ends all calls and releases the grants, so that the next leader need not
  // wait. Blocks; must not be called on the control thread.
  void Stop();

  // Thread-safe.
  Result<Json::Value> Accept(const Json::Value& report) override;
  Json::Value NextReport() override;
  void OnReceipt(const Json::Value& receipt) override;
  // @return holders, windows and calls, for operators.
  Json::Value StatusReport() const;

 private:
  // Used by callbacks, which can outlive a tick.
  struct Calls {
    std::array<std::uint64_t, kDutyCallResults> results{};
    int open = 0;
    Json::Value last;
  };

  DutyObservation Observe(Duty duty, const ReplicatedLog::LogStatus& status);
  void AdvanceLeases(const ReplicatedLog::LogStatus& status);
  void FixWindows(std::int64_t now_ms, TimePoint now);
  void FixWindow(std::uint64_t window);
  // Sends the next window that was not accepted.
  void SendUsage();
  // Calls SendUsage when the grant has probably become usable.
  void RetrySoon();
  void OnUsageSent(std::uint64_t window, DutyCallResult result);
  void RecordSent(std::uint64_t window);
  // Proposes a command unless one with the same `key` is in flight.
  // @param on_result runs on the control thread.
  void Propose(const std::string& key,
               const Json::Value& command,
               std::function<void(const Result<Json::Value>&)> on_result);
  void EndCall(const DutyGrant& grant,
               Json::Value content,
               const Callback& callback,
               DutyCallResult result);
  void StartCall(Duty duty);
  std::size_t OpenCalls() const;
  void ReleaseGrants();

  const DutyOptions options;
  const UsageSchedule schedule;
  DutyApi& api;
  const ControlState& state;
  ControlThread& control_thread;
  const Clock& clock;
  std::function<void()> tick_task;
  ReplicatedLog* log = nullptr;
  std::map<Duty, DutyLease> leases;
  std::set<std::string> proposals;
  bool stopping = false;
  // Leadership of this replica, and the last tick.
  Term leader_term = 0;
  TimePoint leader_since;
  TimePoint last_tick;
  std::optional<std::uint64_t> first_led_window;
  // Windows that were accepted by the platform and not yet recorded as such.
  std::set<std::uint64_t> accepted;
  std::optional<std::uint64_t> window_in_flight;
  // The window tried last; the next one is tried first.
  std::uint64_t last_tried = 0;
  bool retrying = false;
  Duration back_off{0};
  TimePoint next_attempt;

  // Guards what follows.
  mutable std::mutex mutex;
  TrueTime time;
  UsageTable table;
  TimePoint next_report;
  std::map<Duty, Calls> calls;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_DUTIES_DUTY_RUNNER_H_
