#include "entry/request_router.h"

#include <array>
#include <utility>

namespace sycamorebend::entry {

namespace {

constexpr std::array<const char*, 4> kWasteNames = {
    "caller_gone", "slow_caller", "attempt_failed", "cancelled"};

// Looking at all sessions four times in a heartbeat delays a heartbeat by at
// most a quarter of its time.
constexpr int kHeartbeatChecks = 4;

void LogServerChange(const ServerChange& change) {
  const auto* const removed = std::get_if<ServerRemoved>(&change);
  if (removed == nullptr || removed->reason == RemovalReason::kRestarted) {
    return;
  }
  const bool left = removed->reason == RemovalReason::kLeft;
  LogEvent(left ? Severity::kInfo : Severity::kWarning,
           left ? Event::kServerLeft : Event::kServerLeaseExpired,
           {{"server_id", removed->server_id}});
}

}  // namespace

RequestRouter::RequestRouter(std::unique_ptr<Scheduler> scheduler,
                             ControlThread& control,
                             const Clock& clock,
                             Metrics& metrics,
                             Duration heartbeat,
                             EvidenceSink evidence_sink)
    : scheduler(std::move(scheduler)),
      control(control),
      clock(clock),
      metrics(metrics),
      evidence_sink(std::move(evidence_sink)) {
  this->control.SubscribePeriodic(heartbeat / kHeartbeatChecks, [this] {
    const TimePoint now = this->clock.Now();
    for (const auto& [id, session] : this->sessions) {
      session->Heartbeat(now);
    }
  });
}

RequestRouter::~RequestRouter() = default;

void RequestRouter::Submit(std::shared_ptr<CallerSession> session) {
  ++this->open_requests;
  this->control.Post([this, session = std::move(session)] {
    const RequestInfo& info = session->Request().info;
    this->sessions.emplace(info.request_id, session);
    this->scheduler->Submit(info, this->clock.Now());
    this->Pump();
  });
}

void RequestRouter::SetInput(RoutingInput input) {
  this->control.Post([this, input = std::move(input)] {
    const TimePoint now = this->clock.Now();
    this->scheduler->SetPolicy(input.policy, now);
    this->scheduler->SetEntryCount(input.entry_count);
    this->scheduler->SetQuarantine(input.quarantined, now);
    this->registry.SetDrained(input.drained_servers);
    this->registry.SetLabelOverrides(input.policy->server_labels);
    this->Pump();
  });
}

void RequestRouter::Pump() {
  const TimePoint now = this->clock.Now();
  this->registry.Expire(now);
  this->ApplyRegistryChanges(now);
  this->scheduler->Advance(now);
  for (const RoutingAction& action : this->scheduler->TakeActions()) {
    this->Perform(action);
  }
  for (const CrashReport& evidence : this->scheduler->TakeCrashReports()) {
    this->evidence_sink(evidence);
  }
  this->SetWakeTimer();
}

void RequestRouter::ApplyRegistryChanges(TimePoint now) {
  for (const ServerChange& change : this->registry.TakeChanges()) {
    LogServerChange(change);
    if (const auto* const updated = std::get_if<ServerUpdated>(&change)) {
      this->scheduler->UpdateServer(updated->state, now);
    } else if (const auto* const removed =
                   std::get_if<ServerRemoved>(&change)) {
      this->scheduler->RemoveServer(removed->server_id, removed->reason, now);
    } else {
      const auto& cache = std::get<ServerCacheChanged>(change);
      this->scheduler->ApplyCacheEvents(cache.server_id, cache.events);
    }
  }
}

void RequestRouter::Perform(const RoutingAction& action) {
  if (const auto* const dispatch = std::get_if<DispatchAction>(&action)) {
    this->PerformDispatch(*dispatch);
  } else if (const auto* const refuse = std::get_if<RefuseAction>(&action)) {
    this->PerformRefuse(*refuse);
  } else if (const auto* const cancel = std::get_if<CancelAction>(&action)) {
    this->PerformCancel(*cancel);
  } else {
    const auto& queue = std::get<QueueAction>(action);
    LogEvent(Severity::kInfo, Event::kRequestQueued,
             {{"request_id", queue.request_id},
              {"class", queue.class_name},
              {"reason", queue.reason}});
  }
}

void RequestRouter::PerformDispatch(const DispatchAction& action) {
  Event event = Event::kRequestDispatched;
  if (action.resume_offset) {
    event = Event::kRequestResumed;
  } else if (action.attempt > 1) {
    event = Event::kRequestRetried;
  }
  LogEvent(Severity::kInfo, event,
           {{"request_id", action.request_id},
            {"attempt", action.attempt},
            {"server_id", action.server_id},
            {"class", action.trace.class_name},
            {"selector", action.trace.selector},
            {"candidates",
             static_cast<std::uint64_t>(action.trace.candidates.size())},
            {"priority", action.priority},
            {"reason", action.trace.reason}});
  if (const auto session = this->FindSession(action.request_id)) {
    session->Dispatch(action);
  }
}

void RequestRouter::PerformRefuse(const RefuseAction& action) {
  LogEvent(Severity::kInfo,
           action.code == ResultCode::kRequestQuarantined
               ? Event::kRequestQuarantined
               : Event::kRequestRefused,
           {{"request_id", action.request_id},
            {"code", static_cast<int>(action.code)},
            {"message", action.message}});
  this->metrics.Count(
      "sycamorebend_refused_total",
      "Requests refused after admission, by result code.",
      {{"code", std::to_string(static_cast<int>(action.code))}});
  if (const auto session = this->FindSession(action.request_id)) {
    session->Refuse(action);
  }
}

void RequestRouter::PerformCancel(const CancelAction& action) {
  LogEvent(Severity::kInfo, Event::kRequestCancelled,
           {{"request_id", action.request_id},
            {"attempt", action.attempt},
            {"server_id", action.server_id},
            {"reason", action.reason}});
  if (const auto session = this->FindSession(action.request_id)) {
    session->CancelAttempt(action);
  }
}

void RequestRouter::SetWakeTimer() {
  const TimePoint wanted =
      std::min(this->scheduler->NextWake(), this->registry.NextExpiry());
  if (wanted == this->wake_time) {
    return;
  }
  this->control.Cancel(this->wake_timer);
  this->wake_timer = 0;
  this->wake_time = wanted;
  if (wanted != TimePoint::max()) {
    this->wake_timer = this->control.SubscribeOnce(wanted, [this] {
      this->wake_time = TimePoint::max();
      this->Pump();
    });
  }
}

void RequestRouter::Erase(const std::string& request_id) {
  if (this->sessions.erase(request_id) > 0) {
    --this->open_requests;
  }
}

std::shared_ptr<CallerSession> RequestRouter::FindSession(
    const std::string& request_id) {
  const auto found = this->sessions.find(request_id);
  return found != this->sessions.end() ? found->second : nullptr;
}

void RequestRouter::OnFirstToken(const std::string& request_id, int attempt) {
  this->control.Post([this, request_id, attempt] {
    this->scheduler->OnFirstToken(request_id, attempt, this->clock.Now());
    this->Pump();
  });
}

void RequestRouter::OnProgress(const std::string& request_id,
                               int attempt,
                               int tokens) {
  this->control.Post([this, request_id, attempt, tokens] {
    this->scheduler->OnProgress(request_id, attempt, tokens, this->clock.Now());
    this->Pump();
  });
}

void RequestRouter::OnAttemptDone(const std::string& request_id,
                                  int attempt,
                                  const AttemptResult& result) {
  this->control.Post([this, request_id, attempt, result] {
    if (result.code != ResultCode::kOk) {
      LogEvent(Severity::kWarning, Event::kServerFailed,
               {{"request_id", request_id},
                {"attempt", attempt},
                {"code", static_cast<int>(result.code)},
                {"message", result.message},
                {"nothing_sent", result.nothing_sent},
                {"delivered_tokens", result.delivered_tokens}});
    } else {
      LogEvent(Severity::kInfo, Event::kRequestFinished,
               {{"request_id", request_id},
                {"attempt", attempt},
                {"tokens", result.delivered_tokens}});
    }
    this->scheduler->OnAttemptDone(request_id, attempt, result,
                                   this->clock.Now());
    this->Pump();
  });
}

void RequestRouter::OnCallerDisconnected(const std::string& request_id) {
  this->control.Post([this, request_id] {
    const auto session = this->FindSession(request_id);
    if (!session) {
      return;
    }
    LogEvent(Severity::kInfo, Event::kCallerGone, {{"request_id", request_id}});
    session->Abandon();
    this->scheduler->Cancel(request_id, this->clock.Now());
    this->Pump();
  });
}

void RequestRouter::OnWithdrawn(const std::string& request_id) {
  this->control.Post([this, request_id] {
    this->scheduler->Cancel(request_id, this->clock.Now());
    this->Pump();
  });
}

void RequestRouter::OnClosed(const std::string& request_id) {
  this->control.Post([this, request_id] { this->Erase(request_id); });
}

void RequestRouter::OnWaste(const std::string& class_name,
                            WasteCause cause,
                            int tokens) {
  this->metrics.Count(
      "sycamorebend_wasted_tokens_total",
      "Tokens that reached this daemon and were of no use, by cause.",
      {{"class", class_name},
       {"cause", kWasteNames.at(static_cast<std::size_t>(cause))}},
      tokens);
}

}  // namespace sycamorebend::entry
