#include "duties/duty_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

// Minimum time between two reports to the leader.
constexpr Duration kReportInterval = seconds(1);
// Time in which a new leader hears of all gateways: each replica forwards
// everything once a second, after the response that shows that the leader is a
// new one.
constexpr Duration kInformedAfter = milliseconds(2500);
// Ticks are due every 200 ms. A longer gap means that the process was paused
// and has missed reports.
constexpr Duration kMaxTickGap = seconds(1);
// Windows that begin this much after the present one are accepted: clocks
// differ a little.
constexpr std::uint64_t kMaxFutureWindows = 2;
// Gateways without a report for this long are forgotten.
constexpr Duration kGatewayRetention = seconds(60);
// Time after which a quorum has probably confirmed the leadership again. On a
// slow machine each tick can come so late that it looks like a suspension.
constexpr Duration kConfirmationWait = milliseconds(120);
// Ticks that are on time must not look like a suspension.
constexpr Duration kMinSuspension = milliseconds(250);
// Back-off of failed calls, doubled with each.
constexpr Duration kMinBackOff = milliseconds(200);
constexpr Duration kMaxBackOff = seconds(2);
// Time that a stop waits for open calls, and for the release of the grants.
constexpr Duration kStopWait = milliseconds(500);
constexpr Duration kStopPollInterval = milliseconds(10);
// Windows that a status report has.
constexpr std::size_t kReportedWindows = 10;

std::uint64_t TotalOf(const FixedUsage& usage) {
  std::uint64_t total = 0;
  for (const auto& [customer, count] : usage.counts) {
    total += count;
  }
  return total;
}

}  // namespace

DutyRunner::DutyRunner(DutyOptions options,
                       Duration leader_lease,
                       DutyApi& api,
                       const ControlState& state,
                       ControlThread& control_thread,
                       const Clock& clock)
    : options(std::move(options)),
      schedule({this->options.usage_window, this->options.usage_delay}),
      api(api),
      state(state),
      control_thread(control_thread),
      clock(clock),
      table(RandomId()) {
  DutyLeaseOptions lease;
  lease.self = this->options.self;
  lease.lease = this->options.lease;
  lease.suspension = std::max(this->options.suspension, kMinSuspension);
  lease.leader_lease = leader_lease;
  const std::string process = RandomId();
  for (const Duty duty : this->options.duties) {
    this->leases.try_emplace(duty, duty, lease, process);
    this->calls[duty];
  }
}

void DutyRunner::SetTickTask(std::function<void()> task) {
  this->control_thread.Post([this, task = std::move(task)]() mutable {
    this->tick_task = std::move(task);
  });
}

void DutyRunner::Tick(ReplicatedLog& replica_log) {
  this->log = &replica_log;
  const TimePoint now = this->clock.Now();
  std::int64_t now_ms = 0;
  {
    std::lock_guard lock(this->mutex);
    now_ms = this->time.Read(now, this->clock.WallTimeMs());
    this->table.Drop(this->schedule.FirstKept(now_ms), now - kGatewayRetention);
  }
  const bool paused = now - this->last_tick > kMaxTickGap;
  this->last_tick = now;
  const ReplicatedLog::LogStatus status = replica_log.GetStatus();
  if (this->stopping) {
    return;
  }
  this->AdvanceLeases(status);
  if (!status.is_leader) {
    this->leader_term = 0;
  } else {
    if (this->leader_term != status.term || paused) {
      this->leader_term = status.term;
      this->leader_since = now;
    }
    if (this->leases.count(Duty::kUsage) > 0) {
      this->FixWindows(now_ms, now);
      this->SendUsage();
    }
  }
  if (this->tick_task) {
    this->tick_task();
  }
}

DutyObservation DutyRunner::Observe(Duty duty,
                                    const ReplicatedLog::LogStatus& status) {
  DutyObservation observation;
  observation.term = status.term;
  observation.is_leader = status.is_leader;
  // The time is read before the age, which makes the confirmation appear
  // earlier, and the grant last, so that it is not older than the confirmation.
  observation.now = this->clock.Now();
  observation.confirmation_age = this->log->ConfirmationAge();
  const std::map<std::string, DutyGrantRecord> grants =
      this->state.DutyGrants();
  const auto grant = grants.find(std::string(DutyName(duty)));
  if (grant != grants.end()) {
    observation.grant = grant->second;
  }
  return observation;
}

void DutyRunner::AdvanceLeases(const ReplicatedLog::LogStatus& status) {
  for (auto& [duty, lease] : this->leases) {
    const std::optional<DutyProposal> proposal =
        lease.Advance(this->Observe(duty, status));
    if (!proposal) {
      continue;
    }
    const std::string name(DutyName(duty));
    Json::Value command;
    command["type"] = "duty.grant";
    command["duty"] = name;
    command["holder"] = this->options.self;
    command["session"] = proposal->session;
    command["previous_token"] = Json::UInt64(proposal->previous_token);
    this->Propose("duty.grant " + name, command,
                  [name](const Result<Json::Value>& result) {
                    if (result) {
                      LogEvent(Severity::kInfo, Event::kDutyGranted,
                               {{"duty", name},
                                {"token", result.value()["token"].asUInt64()}});
                    }
                  });
  }
}

std::optional<DutyGrant> DutyRunner::Current(Duty duty) {
  const auto lease = this->leases.find(duty);
  if (lease == this->leases.end() || this->log == nullptr || this->stopping) {
    return std::nullopt;
  }
  return lease->second.Current(this->Observe(duty, this->log->GetStatus()));
}

void DutyRunner::Renew(Duty duty) {
  const auto lease = this->leases.find(duty);
  if (lease != this->leases.end()) {
    lease->second.Renew();
  }
}

std::optional<DemandReport> DutyRunner::CurrentDemand() {
  if (this->log == nullptr || !this->log->GetStatus().is_leader) {
    return std::nullopt;
  }
  const std::shared_ptr<const SharedState> shared = this->state.Shared();
  std::lock_guard lock(this->mutex);
  return this->table.Demand(shared->entries, this->clock.Now());
}

void DutyRunner::FixWindows(std::int64_t now_ms, TimePoint now) {
  if (!this->first_led_window) {
    this->first_led_window = this->schedule.WindowAt(now_ms);
  }
  const FixedUsageTable fixed = this->state.FixedUsageWindows();
  const std::shared_ptr<const SharedState> shared = this->state.Shared();
  std::vector<std::uint64_t> windows;
  {
    std::lock_guard lock(this->mutex);
    windows = this->schedule.ToFix(
        now_ms, fixed, this->table.Windows(), *this->first_led_window,
        now - this->leader_since >= kInformedAfter, [&](std::int64_t time_ms) {
          return !shared->entries.empty() &&
                 this->table.HaveReported(shared->entries, time_ms);
        });
  }
  for (const std::uint64_t window : windows) {
    this->FixWindow(window);
  }
}

void DutyRunner::FixWindow(std::uint64_t window) {
  Json::Value command;
  command["type"] = "usage.fix";
  command["window"] = Json::UInt64(window);
  Json::Value& counts = command["counts"] = Json::Value(Json::objectValue);
  std::uint64_t total = 0;
  {
    std::lock_guard lock(this->mutex);
    for (const auto& [customer, count] : this->table.Sum(window)) {
      counts[customer] = Json::UInt64(count);
      total += count;
    }
  }
  const std::uint64_t customers = counts.size();
  this->Propose(
      fmt::format("usage.fix {}", window), command,
      [this, window, customers, total](const Result<Json::Value>& result) {
        if (result && result.value()["fixed"].asBool()) {
          LogEvent(Severity::kInfo, Event::kUsageFixed,
                   {{"window", window},
                    {"customers", customers},
                    {"requests", total}});
          this->SendUsage();
        }
      });
}

void DutyRunner::SendUsage() {
  if (this->window_in_flight || this->stopping ||
      this->clock.Now() < this->next_attempt) {
    return;
  }
  const FixedUsageTable fixed = this->state.FixedUsageWindows();
  std::optional<std::uint64_t> next;
  for (const auto& [window, usage] : fixed.windows) {
    if (usage->sent) {
      this->accepted.erase(window);
    } else if (this->accepted.count(window) > 0) {
      this->RecordSent(window);
    } else if (!next ||
               (*next <= this->last_tried && window > this->last_tried)) {
      // The first one after the last that was tried, or else the first one: a
      // window that is not accepted does not hold up the others.
      next = window;
    }
  }
  if (!next) {
    return;
  }
  const std::optional<DutyGrant> grant = this->Current(Duty::kUsage);
  if (!grant) {
    this->RetrySoon();
    return;
  }
  this->window_in_flight = next;
  this->last_tried = *next;
  this->ReportUsage(*grant, {*next, fixed.windows.at(*next)->counts},
                    [this, window = *next](DutyCallResult result) {
                      this->OnUsageSent(window, result);
                    });
}

void DutyRunner::RetrySoon() {
  if (std::exchange(this->retrying, true)) {
    return;
  }
  this->control_thread.SubscribeOnce(this->clock.Now() + kConfirmationWait,
                                     [this] {
                                       this->retrying = false;
                                       if (this->leader_term != 0) {
                                         this->SendUsage();
                                       }
                                     });
}

void DutyRunner::OnUsageSent(std::uint64_t window, DutyCallResult result) {
  this->window_in_flight.reset();
  if (result == DutyCallResult::kAccepted) {
    this->back_off = Duration(0);
    this->accepted.insert(window);
    this->RecordSent(window);
    this->SendUsage();
    return;
  }
  if (result == DutyCallResult::kRejected ||
      result == DutyCallResult::kUnknown) {
    // With a higher token, the platform refuses a late execution of this call.
    this->Renew(Duty::kUsage);
  }
  this->back_off = std::clamp(this->back_off * 2, kMinBackOff, kMaxBackOff);
  this->next_attempt = this->clock.Now() + this->back_off;
}

void DutyRunner::RecordSent(std::uint64_t window) {
  Json::Value command;
  command["type"] = "usage.sent";
  command["window"] = Json::UInt64(window);
  this->Propose(fmt::format("usage.sent {}", window), command,
                [](const Result<Json::Value>& /*result*/) {});
}

void DutyRunner::Propose(
    const std::string& key,
    const Json::Value& command,
    std::function<void(const Result<Json::Value>&)> on_result) {
  if (!this->proposals.insert(key).second) {
    return;
  }
  this->log->Propose(
      WriteJson(command), [this, key, on_result = std::move(on_result)](
                              const Result<std::string>& response) {
        this->proposals.erase(key);
        const Result<Json::Value> result =
            response ? DecodeCommandResult(response.value())
                     : Result<Json::Value>(response.error());
        if (!result) {
          LogEvent(Severity::kInfo, Event::kRpcFailed,
                   {{"method", key}, {"message", result.error().message}});
        }
        on_result(result);
      });
}

void DutyRunner::StartCall(Duty duty) {
  std::lock_guard lock(this->mutex);
  ++this->calls[duty].open;
}

void DutyRunner::ReportUsage(const DutyGrant& grant,
                             const UsageRecord& record,
                             Callback callback) {
  Json::Value content;
  content["window"] = Json::UInt64(record.window);
  content["customers"] = Json::UInt64(record.counts.size());
  this->StartCall(grant.duty);
  this->api.ReportUsage(
      grant, record, [this, grant, content, callback](DutyCallResult result) {
        this->control_thread.Post([this, grant, content, callback, result] {
          this->EndCall(grant, content, callback, result);
        });
      });
}

void DutyRunner::OrderServers(const DutyGrant& grant,
                              const ServerOrder& order,
                              Callback callback) {
  Json::Value content;
  content["service"] = order.service;
  content["failure_domain"] = order.failure_domain;
  content["count"] = order.count;
  content["reclaimable"] = order.reclaimable;
  content["reason"] = order.reason;
  this->StartCall(grant.duty);
  this->api.OrderServers(
      grant, order, [this, grant, content, callback](DutyCallResult result) {
        this->control_thread.Post([this, grant, content, callback, result] {
          this->EndCall(grant, content, callback, result);
        });
      });
}

void DutyRunner::EndCall(const DutyGrant& grant,
                         Json::Value content,
                         const Callback& callback,
                         DutyCallResult result) {
  LogEvent(result == DutyCallResult::kAccepted ? Severity::kInfo
                                               : Severity::kWarning,
           Event::kDutyCallEnded,
           {{"duty", DutyName(grant.duty)},
            {"token", grant.fencing_token},
            {"content", WriteJson(content)},
            {"result", DutyCallResultName(result)}});
  content["token"] = Json::UInt64(grant.fencing_token);
  content["result"] = std::string(DutyCallResultName(result));
  content["time_ms"] = Json::Int64(this->clock.WallTimeMs());
  {
    std::lock_guard lock(this->mutex);
    Calls& duty_calls = this->calls[grant.duty];
    --duty_calls.open;
    ++duty_calls.results.at(static_cast<std::size_t>(result));
    duty_calls.last = std::move(content);
  }
  callback(result);
}

std::size_t DutyRunner::OpenCalls() const {
  std::lock_guard lock(this->mutex);
  std::size_t open = 0;
  for (const auto& [duty, duty_calls] : this->calls) {
    open += static_cast<std::size_t>(duty_calls.open);
  }
  return open;
}

void DutyRunner::Stop() {
  // Current returns nothing from now on.
  this->control_thread.PostAndWait([this] { this->stopping = true; });
  const auto end = std::chrono::steady_clock::now() + kStopWait;
  while (this->OpenCalls() > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
  this->ReleaseGrants();
}

void DutyRunner::ReleaseGrants() {
  const auto released = std::make_shared<std::promise<void>>();
  std::future<void> all_released = released->get_future();
  this->control_thread.PostAndWait([this, released] {
    if (this->log == nullptr) {
      released->set_value();
      return;
    }
    const auto left = std::make_shared<std::size_t>(1);
    const auto finish = [left, released] {
      if (--*left == 0) {
        released->set_value();
      }
    };
    for (const auto& [name, grant] : this->state.DutyGrants()) {
      if (grant.holder != this->options.self || grant.released) {
        continue;
      }
      ++*left;
      Json::Value command;
      command["type"] = "duty.release";
      command["duty"] = name;
      command["token"] = Json::UInt64(grant.token);
      this->log->Propose(
          WriteJson(command),
          [finish, name = name](const Result<std::string>& result) {
            if (result) {
              LogEvent(Severity::kInfo, Event::kDutyReleased, {{"duty", name}});
            }
            finish();
          });
    }
    finish();
  });
  all_released.wait_for(kStopWait);
}

Result<Json::Value> DutyRunner::Accept(const Json::Value& report) {
  const TimePoint now = this->clock.Now();
  const FixedUsageTable fixed = this->state.FixedUsageWindows();
  std::lock_guard lock(this->mutex);
  const std::int64_t now_ms = this->time.Read(now, this->clock.WallTimeMs());
  return this->table.Merge(
      report, now,
      [&fixed](std::uint64_t window) {
        return window < fixed.first_window || fixed.windows.count(window) > 0;
      },
      this->schedule.WindowAt(now_ms) + kMaxFutureWindows);
}

Json::Value DutyRunner::NextReport() {
  std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  if (now < this->next_report) {
    return {};
  }
  this->next_report = now + kReportInterval;
  return this->table.NextReport(now);
}

void DutyRunner::OnReceipt(const Json::Value& receipt) {
  std::lock_guard lock(this->mutex);
  this->table.OnReceipt(receipt);
}

Json::Value DutyRunner::StatusReport() const {
  Json::Value report;
  const FixedUsageTable fixed = this->state.FixedUsageWindows();
  std::uint64_t unsent = 0;
  for (const auto& [window, usage] : fixed.windows) {
    unsent += usage->sent ? 0 : 1;
  }
  report["unsent_windows"] = Json::UInt64(unsent);
  Json::Value& windows = report["windows"] = Json::Value(Json::arrayValue);
  for (auto window = fixed.windows.rbegin();
       window != fixed.windows.rend() && windows.size() < kReportedWindows;
       ++window) {
    Json::Value item;
    item["window"] = Json::UInt64(window->first);
    item["customers"] = Json::UInt64(window->second->counts.size());
    item["requests"] = Json::UInt64(TotalOf(*window->second));
    item["sent"] = window->second->sent;
    windows.append(item);
  }
  const std::map<std::string, DutyGrantRecord> grants =
      this->state.DutyGrants();
  std::lock_guard lock(this->mutex);
  report["late_requests"] = Json::UInt64(this->table.LateCounts());
  report["clock_jumps"] = Json::UInt64(this->time.Jumps());
  report["duties"] = Json::Value(Json::arrayValue);
  for (const auto& [duty, duty_calls] : this->calls) {
    Json::Value item;
    item["duty"] = std::string(DutyName(duty));
    const auto grant = grants.find(item["duty"].asString());
    if (grant != grants.end()) {
      item["holder"] = grant->second.holder;
      item["token"] = Json::UInt64(grant->second.token);
      item["since_ms"] = Json::Int64(grant->second.since_ms);
      item["released"] = grant->second.released;
    }
    for (std::size_t i = 0; i < kDutyCallResults; ++i) {
      item["calls"]
          [std::string(DutyCallResultName(static_cast<DutyCallResult>(i)))] =
              Json::UInt64(duty_calls.results.at(i));
    }
    item["last_call"] = duty_calls.last;
    report["duties"].append(item);
  }
  return report;
}

}  // namespace sycamorebend
