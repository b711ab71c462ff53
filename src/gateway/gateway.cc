#include "gateway/gateway.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace sycamorebend::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kFeedThreads = 1;

// Connections to the admin address and to the metrics address.
constexpr std::size_t kAdminConnections = 32;
// Descriptors that callers leave to those connections (64), the feed, the
// exchange, the log, the listening sockets and connections to servers: 128, or
// a quarter of all if that is more.
constexpr std::size_t kMinReservedFiles = 128;
constexpr std::size_t kReservedFraction = 4;

// @param max_files descriptors that the process may open; 0: not stated.
std::size_t MaxCallerConnections(std::size_t max_files) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const auto system = static_cast<std::size_t>(limit.rlim_cur);
  const std::size_t files =
      max_files == 0 ? system : std::min(max_files, system);
  const std::size_t reserved =
      std::max(kMinReservedFiles, files / kReservedFraction);
  return files > reserved ? files - reserved : kAdminConnections;
}

// Time after the stop signal during which new requests are accepted: callers
// that resolved the addresses just before the signal keep using them for a
// while.
constexpr Duration kAcceptDuringStop = milliseconds(2800);
// Upper bound of that time as a fraction of stop_grace, so that accepted
// requests have time to finish.
constexpr double kMaxAcceptFraction = 0.35;
// Open requests are ended with an error this long before the end of stop_grace,
// and the process ends this long before it.
constexpr Duration kStopAbortMargin = milliseconds(400);
constexpr Duration kStopExitMargin = milliseconds(150);
constexpr Duration kStopCheckInterval = milliseconds(50);
// Maximum time that a stop waits for the last usage report. Reports are sent
// with polls, at most 1.5 s apart, and acknowledged within 0.5 s.
constexpr Duration kUsageReportWait = milliseconds(2500);
// The first configuration is applied after this time even if no quorum has
// confirmed it: on a VM that is partitioned from the replicas, a possibly
// outdated configuration is better than none.
constexpr Duration kConfirmationWait = seconds(3);
constexpr Duration kFirstConfigurationCheckInterval = milliseconds(20);
// An older confirmation may date from before a restart of the replica.
constexpr Duration kMaxConfirmationAge = seconds(2);
// Interval at which findings that the control replicas do not have are
// reported.
constexpr Duration kFindingsInterval = seconds(2);
// Fraction of the shared retry slack that is distributed, so that the total is
// not exceeded while gateways have an outdated view of their number.
constexpr double kRetrySlackFraction = 0.8;

}  // namespace

bool MayApplyFirstConfiguration(Duration confirmation_age, Duration waited) {
  return confirmation_age < kMaxConfirmationAge || waited >= kConfirmationWait;
}

Gateway::Gateway(const GatewaySettings& settings,
                 const WireFormat& format,
                 net::EventLoop& loop,
                 const Clock& clock)
    : settings(settings),
      format(format),
      loop(loop),
      clock(clock),
      balancer({settings.failure_domain,
                StableHash64(settings.entry_id + RandomId())}),
      pool(loop, format),
      incarnation(RandomId()),
      usage(settings.usage_window > Duration(0)
                ? std::make_unique<UsageCounter>(
                      UsageScheduleOptions{settings.usage_window,
                                           settings.usage_delay},
                      UsageSource{settings.entry_id, this->incarnation},
                      clock)
                : nullptr),
      context{loop,
              format,
              this->balancer,
              this->pool,
              this->budgets,
              this->request_metrics,
              this->quarantine},
      handler(this->context),
      admin_handler(*this),
      caller_memory(loop, MemoryCeiling(settings.memory_mb)),
      replica_finder(StableHash64(settings.entry_id)),
      timers(clock),
      configured_replicas(settings.replicas) {
  this->context.usage = this->usage.get();
  this->handler.SetConfirmationAge(
      [this] { return this->follower->ConfirmationAge(); },
      this->settings.max_confirmation_age);
  this->SetRetryLimits(1);
}

Gateway::~Gateway() {
  this->loop.Cancel(this->findings_timer);
  this->loop.Cancel(this->find_replicas_timer);
  this->timers.Stop();
  if (this->follower != nullptr) {
    this->follower->Stop();
  }
  this->callers.reset();
  this->admin.reset();
  this->metrics_server.reset();
}

Result<std::unique_ptr<Gateway>> Gateway::Start(const GatewaySettings& settings,
                                                const WireFormat& format,
                                                net::EventLoop& loop,
                                                const Clock& clock) {
  std::unique_ptr<Gateway> gateway(new Gateway(settings, format, loop, clock));
  BOOST_OUTCOME_TRY(gateway->Listen());
  gateway->StartFollower();
  return gateway;
}

Status Gateway::Listen() {
  BOOST_OUTCOME_TRY(
      started_callers,
      CallerServer::Start(this->loop, this->settings.caller_address,
                          this->handler,
                          {&this->caller_memory,
                           MaxCallerConnections(this->settings.max_files)}));
  this->callers = std::move(started_callers);
  BOOST_OUTCOME_TRY(
      started_admin,
      CallerServer::Start(this->loop, this->settings.admin_address,
                          this->admin_handler,
                          {&this->caller_memory, kAdminConnections}));
  this->admin = std::move(started_admin);
  this->ListenForMetrics();
  BOOST_OUTCOME_TRY(
      started_exchange,
      LoadExchange::Start(
          this->loop, this->settings.exchange_address,
          this->settings.failure_domain,
          [this](LoadMessage& message) {
            this->balancer.FillLoadMessage(message, this->loop.Now());
            this->quarantine.FillLoadMessage(message, this->loop.Now());
          },
          [this](const LoadMessage& message) {
            this->balancer.OnPeerLoad(message, this->loop.Now());
            this->quarantine.OnPeerLoad(message, this->loop.Now());
          }));
  this->exchange = std::move(started_exchange);
  this->exchange->SetDatagramHandler(
      [this](std::string_view data, const sockaddr_in& from) {
        this->OnReplicaDatagram(data, from);
      });
  this->balancer.SetHeavyLoadCallback([this] { this->exchange->SendEarly(); });
  this->quarantine.SetCrashCallback([this] { this->exchange->SendEarly(); });
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", this->callers->Address()},
            {"admin_address", this->admin->Address()}});
  return Success();
}

void Gateway::ListenForMetrics() {
  const std::string& address = this->settings.metrics_address;
  if (address.empty()) {
    return;
  }
  auto started = CallerServer::Start(this->loop, address, this->admin_handler,
                                     {&this->caller_memory, kAdminConnections});
  if (started) {
    this->metrics_server = std::move(started.value());
    return;
  }
  // Callers are served without it, and /metrics is also available at the admin
  // address.
  LogEvent(Severity::kError, Event::kSettingsRejected,
           {{"key", "metrics_address"},
            {"address", address},
            {"message", started.error().message}});
}

void Gateway::StartFollower() {
  this->http_client = HttpClient::Create(kFeedThreads);
  this->rpc = RpcClient::Create(*this->http_client);
  this->leader =
      std::make_shared<LeaderRpcClient>([this] { return this->Replicas(); },
                                        *this->rpc, this->timers, this->clock);
  this->findings_timer = this->loop.SubscribePeriodic(
      kFindingsInterval, [this] { this->ReportFindings(); });
  FeedFollowerOptions options;
  options.self.entry_id = this->settings.entry_id;
  options.self.address = this->callers->Address();
  options.self.failure_domain = this->settings.failure_domain;
  options.self.incarnation = this->incarnation;
  options.self.notice_address = this->settings.exchange_address;
  options.reporter = this->usage.get();
  options.replicas = this->settings.replicas;
  this->follower = FeedFollower::Start(
      std::move(options), *this->rpc, this->clock,
      [this](const std::shared_ptr<const SharedState>& state) {
        this->ReadAhead(*state);
        this->loop.Post([this] { this->OnSharedState(); });
      });
  this->find_replicas_timer = this->loop.SubscribePeriodic(
      ReplicaFinder::kAskInterval, [this] { this->FindReplicas(); });
}

void Gateway::FindReplicas() {
  const std::vector<std::string> asked = this->replica_finder.GatewaysToAsk(
      this->follower->ConfirmationAge(), this->loop.Now());
  const std::shared_ptr<const SharedState> state = this->follower->Current();
  if (asked.empty() || state == nullptr) {
    return;
  }
  const std::string query = internal::EncodeReplicaDatagram(
      internal::ReplicaQuery{state->epoch, state->version});
  for (const std::string& ip : asked) {
    this->exchange->SendDatagram(ip, query);
  }
  this->replica_queries += asked.size();
}

void Gateway::OnReplicaDatagram(std::string_view data,
                                const sockaddr_in& from) {
  const Result<internal::ReplicaDatagram> datagram =
      internal::DecodeReplicaDatagram(data);
  if (!datagram) {
    LogEvent(
        Severity::kWarning, Event::kReportRejected,
        {{"source", "replica datagram"}, {"reason", datagram.error().message}});
    return;
  }
  if (const auto* query =
          std::get_if<internal::ReplicaQuery>(&datagram.value())) {
    const std::optional<ReplicaNotice> notice = this->replica_finder.Answer(
        *query, this->follower->Current().get(),
        this->follower->ConfirmationAge(), this->loop.Now());
    if (notice) {
      this->exchange->SendDatagram(from,
                                   internal::EncodeReplicaDatagram(*notice));
    }
    return;
  }
  const auto& notice = std::get<ReplicaNotice>(datagram.value());
  this->replica_notices += this->follower->OnReplicaNotice(notice) ? 1 : 0;
}

void Gateway::OnSharedState() {
  // The newest state: the one of this update may have been followed by others,
  // the last of which was handled already.
  const std::shared_ptr<const SharedState> state = this->follower->Current();
  if (state == std::exchange(this->handled_state, state)) {
    return;
  }
  for (const std::string& key : this->balancer.SetServers(state->servers)) {
    this->pool.CloseIdleConnections(key);
  }
  this->quarantine.SetRecorded(state->crash_findings, this->clock.WallTimeMs(),
                               this->loop.Now());
  this->SetRetryLimits(state->entries.size());
  std::vector<ExchangePeer> gateways;
  std::vector<std::string> others;
  for (const EntryInfo& entry : state->entries) {
    gateways.push_back({entry.address.substr(0, entry.address.find(':')),
                        entry.failure_domain});
    if (entry.entry_id != this->settings.entry_id) {
      others.push_back(gateways.back().ip);
    }
  }
  this->replica_finder.SetGateways(std::move(others));
  this->exchange->SetGateways(gateways);
  this->balancer.SetExchangeInterval(this->exchange->Interval());
  this->quarantine.SetExchangeInterval(this->exchange->Interval());
  if (this->handler.Table() != nullptr) {
    this->ApplyConfiguration(*state);
  } else {
    this->ApplyFirstConfiguration();
  }
}

std::vector<std::string> Gateway::Replicas() const {
  const auto state = this->follower->Current();
  if (state != nullptr && !state->replicas.empty()) {
    return state->replicas;
  }
  std::lock_guard lock(this->replicas_mutex);
  return this->configured_replicas;
}

void Gateway::SetReplicas(const std::vector<std::string>& replicas) {
  {
    std::lock_guard lock(this->replicas_mutex);
    if (std::exchange(this->configured_replicas, replicas) == replicas) {
      return;
    }
  }
  this->follower->SetReplicas(replicas);
}

bool Gateway::IsUnconfirmed() const {
  return this->follower->ConfirmationAge() >
         this->settings.max_confirmation_age;
}

void Gateway::ReportFindings() {
  const TimePoint now = this->loop.Now();
  for (const internal::CrashCause& cause : this->quarantine.Unrecorded(now)) {
    Json::Value params;
    params["content"] = FormatCause(cause);
    params["quarantine_ms"] =
        Json::Int64(ToMilliseconds(cause.quarantined_until - now));
    params["findings"] = cause.findings;
    this->leader->Call("finding.record", params, now + kFindingsInterval,
                       [](const Result<Json::Value>& result) {
                         if (!result) {
                           // It is reported again while the state does not have
                           // it.
                           LogEvent(Severity::kWarning, Event::kRpcFailed,
                                    {{"method", "finding.record"},
                                     {"message", result.error().message}});
                         }
                       });
  }
}

void Gateway::ApplyFirstConfiguration() {
  // Read before the state: what was confirmed holds for any later state, but
  // not for an earlier one.
  const Duration age = this->follower->ConfirmationAge();
  const std::shared_ptr<const SharedState> state = this->follower->Current();
  if (state != nullptr && !state->configuration->isNull()) {
    if (!this->first_state_at) {
      this->first_state_at = this->loop.Now();
    }
    if (MayApplyFirstConfiguration(age,
                                   this->loop.Now() - *this->first_state_at)) {
      this->ApplyConfiguration(*state);
    }
  }
  if (this->handler.Table() != nullptr) {
    this->loop.Cancel(std::exchange(this->first_configuration_timer, 0));
  } else if (state != nullptr && !state->configuration->isNull() &&
             this->first_configuration_timer == 0) {
    this->first_configuration_timer = this->loop.SubscribePeriodic(
        kFirstConfigurationCheckInterval,
        [this] { this->ApplyFirstConfiguration(); });
  }
}

Result<std::shared_ptr<const RouteTable>> Gateway::ReadTable(
    const SharedState& state) const {
  BOOST_OUTCOME_TRY(table,
                    this->format.ReadConfiguration(*state.configuration));
  table.version = state.configuration_version;
  table.BuildPriorityLevels();
  return std::make_shared<const RouteTable>(std::move(table));
}

void Gateway::ReadAhead(const SharedState& state) {
  if (!this->read_ahead_enabled ||
      this->last_read_version == state.configuration_version ||
      state.configuration->isNull()) {
    return;
  }
  this->last_read_version = state.configuration_version;
  TableReadAhead read{state.configuration_version, this->ReadTable(state)};
  std::lock_guard lock(this->read_mutex);
  this->read_ahead = std::move(read);
}

Result<std::shared_ptr<const RouteTable>> Gateway::TakeReadTable(
    const SharedState& state) {
  {
    std::lock_guard lock(this->read_mutex);
    if (this->read_ahead &&
        this->read_ahead->version == state.configuration_version) {
      Result<std::shared_ptr<const RouteTable>> table =
          std::move(this->read_ahead->table);
      this->read_ahead.reset();
      return table;
    }
  }
  return this->ReadTable(state);
}

void Gateway::ApplyConfiguration(const SharedState& state) {
  if (state.configuration->isNull() ||
      (this->handler.Table() != nullptr &&
       this->handler.Table()->version == state.configuration_version)) {
    return;
  }
  const Result<std::shared_ptr<const RouteTable>> read =
      this->TakeReadTable(state);
  if (!read) {
    // The control replicas validate a configuration before they accept it, so
    // it must come from a newer release. The previous one stays in force.
    LogEvent(Severity::kError, Event::kConfigurationUnconfirmed,
             {{"version", state.configuration_version},
              {"message", read.error().message}});
    return;
  }
  const std::shared_ptr<const RouteTable>& table = read.value();
  this->handler.SetTable(table);
  this->read_ahead_enabled = true;
  this->configured_at = this->loop.Now();
  this->callers->SetLimits(table->limits);
  this->balancer.SetServices(table->services);
  LogEvent(Severity::kInfo, Event::kConfigurationInForce,
           {{"version", table->version},
            {"routes", static_cast<std::uint64_t>(table->routes.size())},
            {"accepted_ms", state.configuration_time_ms},
            {"state_version", state.version},
            {"source", this->follower->GetStatus().source},
            {"confirmed_age_ms", this->ConfirmationAgeMs()}});
}

std::int64_t Gateway::ConfirmationAgeMs() const {
  const Duration age = this->follower->ConfirmationAge();
  return age == Duration::max() ? -1 : ToMilliseconds(age);
}

void Gateway::SetRetryLimits(std::size_t gateways) {
  internal::RetryLimits limits;
  limits.ratio = this->settings.retry_ratio;
  limits.floor = 0;
  limits.slack = kRetrySlackFraction * this->settings.retry_slack /
                 static_cast<double>(std::max<std::size_t>(1, gateways));
  this->budgets.SetLimits(limits);
}

void Gateway::AdminHandler::Handle(std::shared_ptr<CallerExchange> exchange) {
  const std::string_view path = exchange->Head().Path();
  if (path == "/metrics") {
    this->gateway.PublishMetrics();
    exchange->Respond(kOk, {{"Content-Type", kMetricsContentType}},
                      this->gateway.metrics.Text());
    return;
  }
  if (path != "/readyz") {
    exchange->Respond(kNotFound, {}, {});
    return;
  }
  const bool ready =
      this->gateway.handler.Table() != nullptr && !this->gateway.stopping;
  exchange->Respond(ready ? kOk : kUnavailable,
                    {{"Content-Type", "text/plain"}},
                    ready ? "ready\n" : "not ready\n");
}

void Gateway::PublishMetrics() {
  const TimePoint now = this->loop.Now();
  this->request_metrics.Publish(this->metrics);
  this->caller_memory.Publish(this->metrics);
  this->callers->Publish(this->metrics, "callers");
  this->admin->Publish(this->metrics, "admin");
  this->quarantine.Publish(this->metrics, now);
  this->metrics.SetGauge("sycamorebend_gateway_open_requests",
                         "Requests without an end.", {},
                         static_cast<double>(this->context.open.size()));
  const auto& table = this->handler.Table();
  if (table != nullptr) {
    this->metrics.SetGauge("sycamorebend_gateway_configuration_version",
                           "Version of the configuration in force.", {},
                           static_cast<double>(table->version));
    this->metrics.SetGauge(
        "sycamorebend_gateway_configuration_age_seconds",
        "Time since the configuration came into force.", {},
        std::chrono::duration<double>(now - this->configured_at).count());
  }
  this->PublishFeedMetrics();
  if (this->usage != nullptr) {
    this->usage->Publish(this->metrics);
  }
  for (const std::string& service : this->balancer.Services()) {
    const PoolState state = this->balancer.StateOf(service, now);
    for (std::size_t i = 0; i < kServerUses; ++i) {
      const std::string name(ServerUseName(static_cast<ServerUse>(i)));
      this->metrics.SetGauge(
          "sycamorebend_gateway_servers", "Backend servers by state.",
          {{"service", service}, {"state", name}}, state.servers[i]);
    }
    this->metrics.SetGauge("sycamorebend_gateway_server_requests",
                           "Own requests at the servers of a service.",
                           {{"service", service}}, state.outstanding);
    this->metrics.SetGauge("sycamorebend_gateway_retry_budget",
                           "Repeats that may be added at present.",
                           {{"service", service}},
                           this->budgets.ForService(service).Left(now));
  }
}

void Gateway::PublishFeedMetrics() {
  const FeedFollowerStatus feed = this->follower->GetStatus();
  for (std::size_t i = 0; i < kFeedPollOutcomes; ++i) {
    const std::string outcome(
        FeedPollOutcomeName(static_cast<FeedPollOutcome>(i)));
    this->metrics.SetTotal("sycamorebend_gateway_feed_polls_total",
                           "Polls of the control replicas by outcome.",
                           {{"outcome", outcome}},
                           static_cast<double>(feed.polls[i]));
  }
  this->metrics.SetGauge(
      "sycamorebend_gateway_feed_longest_gap_seconds",
      "Longest time without news from the control replicas.", {},
      std::chrono::duration<double>(feed.longest_gap).count());
  this->metrics.SetGauge(
      "sycamorebend_gateway_state_confirmed_age_seconds",
      "Time since a quorum confirmed the shared state; negative if never.", {},
      static_cast<double>(this->ConfirmationAgeMs()) / 1000);
  this->metrics.SetTotal(
      "sycamorebend_gateway_replica_queries_total",
      "Other gateways that were asked for the control replicas.", {},
      static_cast<double>(this->replica_queries));
  this->metrics.SetTotal("sycamorebend_gateway_replica_notices_total",
                         "Notices of control replicas that were polled.", {},
                         static_cast<double>(this->replica_notices));
}

void Gateway::BeginStop() {
  if (std::exchange(this->stopping, true)) {
    return;
  }
  this->stop_began = this->loop.Now();
  LogEvent(Severity::kInfo, Event::kProcessStopping,
           {{"open_requests", this->context.open.size()}});
  this->follower->SetDraining();
  this->loop.SubscribePeriodic(kStopCheckInterval,
                               [this] { this->AdvanceStop(); });
}

bool Gateway::UsageIsReported() {
  const TimePoint now = this->loop.Now();
  this->quiet_since = this->quiet_since.value_or(now);
  return this->usage == nullptr || this->usage->AllReported() ||
         now - *this->quiet_since >= kUsageReportWait;
}

void Gateway::AdvanceStop() {
  const Duration elapsed = this->loop.Now() - this->stop_began;
  const Duration grace = this->settings.stop_grace;
  if (elapsed < std::min(kAcceptDuringStop, Scale(grace, kMaxAcceptFraction))) {
    return;
  }
  if (!std::exchange(this->rejecting, true)) {
    this->handler.RejectNewRequests();
    this->callers->StopAccepting();
  }
  this->callers->CloseIdle();
  if (elapsed >= grace - kStopAbortMargin && !this->context.open.empty()) {
    // The answers are sent before the next check.
    this->handler.EndOpenRequests();
    return;
  }
  const bool finished = this->context.open.empty() && this->callers->Quiet() &&
                        this->UsageIsReported();
  if (finished || elapsed >= grace - kStopExitMargin) {
    LogEvent(Severity::kInfo, Event::kProcessStopped,
             {{"open_requests", this->context.open.size()}});
    this->loop.Stop();
  }
}

}  // namespace sycamorebend::gateway
