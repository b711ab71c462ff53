#include "entry/daemon.h"

#include <algorithm>
#include <utility>

#include "entry/error_body.h"

namespace sycamorebend::entry {

namespace {

constexpr int kStatusOk = 200;
// Each feed.poll of another daemon blocks a thread for up to half a second.
constexpr int kRpcThreads = 64;
// An entry daemon without a renewal for this long is removed from the shared
// state. A draining daemon waits no longer than that to see itself withdrawn.
constexpr Duration kEntryLease = seconds(3);

// How long the report of a crash is retried.
constexpr Duration kFindingReportTimeout = std::chrono::minutes(5);
// How long a daemon without open requests delays its exit to record the
// outcomes of orders.
constexpr Duration kOutcomeRecordTimeout = seconds(10);

HttpServerOptions BuildServerOptions(const EntrySettings& settings) {
  HttpServerOptions options;
  options.address = settings.address;
  options.threads = settings.server_threads;
  options.max_body_bytes = settings.limits.max_body_bytes;
  options.max_header_bytes = settings.limits.max_header_bytes;
  options.receive_timeout = settings.limits.receive_timeout;
  options.max_connections = settings.limits.max_connections;
  return options;
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

EntryDaemon::EntryDaemon(EntrySettings settings,
                         const DaemonDependencies& dependencies)
    : settings(std::move(settings)),
      view(this->settings.configuration_lease,
           this->settings.serve_unconfirmed),
      control(this->clock) {
  SchedulerOptions options;
  options.failure_domain = this->settings.failure_domain;
  options.seed = StableHash64(this->settings.entry_id + RandomId());
  this->router = std::make_unique<RequestRouter>(
      dependencies.make_scheduler(options), this->control, this->clock,
      this->metrics, this->settings.heartbeat,
      [this](const CrashReport& report) { this->SendCrashReport(report); });
  this->client = HttpClient::Create(this->settings.client_threads);
  this->rpc_client = RpcClient::Create(*this->client);
  this->leader_client = std::make_shared<LeaderRpcClient>(
      [this] { return this->Replicas(); }, *this->rpc_client, this->control,
      this->clock);
  this->order_store = MakeOrderStore(*this->leader_client);
  this->orders.reset(new OrderContext{*this->router, *this->client,
                                      *this->order_store, this->control,
                                      this->clock, this->settings.entry_id,
                                      this->settings.limits.max_answer_bytes});
  this->caller_api = std::make_unique<CallerApi>(
      this->settings, this->view, *this->router, this->control, *this->client,
      this->orders, this->clock, this->metrics);
  this->backend_api = std::make_unique<BackendApi>(
      BackendApiOptions{this->settings.address, this->settings.report_fanout},
      this->view, *this->router, this->control, this->clock);
  this->rpc_api =
      std::make_unique<RpcApi>(this->settings, this->view, *this->router,
                               this->control, this->clock, this->draining);
  this->rpc_server = RpcServer::Create(*this->rpc_api, kRpcThreads);
}

EntryDaemon::~EntryDaemon() {
  this->Stop();
}

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::Start(
    EntrySettings settings,
    const DaemonDependencies& dependencies) {
  std::unique_ptr<EntryDaemon> daemon(
      new EntryDaemon(std::move(settings), dependencies));
  BOOST_OUTCOME_TRY(daemon->Listen());
  daemon->StartFollower(dependencies);
  return daemon;
}

Status EntryDaemon::Listen() {
  BOOST_OUTCOME_TRY(
      started, HttpServer::Start(BuildServerOptions(this->settings), *this));
  this->server = std::move(started);
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", this->server->Address()}});
  return Success();
}

void EntryDaemon::StartFollower(const DaemonDependencies& dependencies) {
  FeedFollowerOptions options;
  options.self.entry_id = this->settings.entry_id;
  options.self.address = this->settings.address;
  options.self.feed_address = this->settings.address;
  options.self.failure_domain = this->settings.failure_domain;
  options.self.incarnation = RandomId();
  options.replicas = this->settings.replicas;
  options.relays = this->settings.relays;
  this->follower = dependencies.make_follower(
      std::move(options), *this->rpc_client, this->clock,
      [this](std::shared_ptr<const SharedState> state) {
        this->OnUpdate(std::move(state));
      });
  this->view.SetFollower(this->follower.get());
  this->rpc_api->SetFollower(this->follower.get());
}

void EntryDaemon::OnUpdate(std::shared_ptr<const SharedState> state) {
  const SharedSnapshot snapshot = this->view.Update(std::move(state));
  if (!snapshot.policy) {
    return;
  }
  RoutingState routing_state;
  routing_state.policy = snapshot.policy;
  routing_state.quarantined = snapshot.state->quarantined;
  routing_state.drained_servers = snapshot.state->drained_servers;
  routing_state.entry_count =
      std::max(1, static_cast<int>(snapshot.state->entries.size()));
  this->router->SetRoutingState(std::move(routing_state));
}

void EntryDaemon::Handle(std::shared_ptr<HttpExchange> exchange) {
  const std::string& path = exchange->Request().path;
  if (path == kRpcPath) {
    this->rpc_server->Handle(std::move(exchange));
  } else if (StartsWith(path, "/backend/v1/")) {
    this->backend_api->Handle(std::move(exchange));
  } else if (path == "/healthz") {
    exchange->Respond(kStatusOk, {{"Content-Type", "text/plain"}}, "ok\n");
  } else if (path == "/readyz") {
    this->ServeReady(*exchange);
  } else if (path == "/metrics") {
    this->ServeMetrics(exchange);
  } else {
    this->caller_api->Handle(std::move(exchange));
  }
}

void EntryDaemon::ServeReady(HttpExchange& exchange) {
  const Status confirmed = this->view.CheckConfirmed();
  if (!confirmed) {
    RespondError(exchange, {confirmed.error().code, confirmed.error().message});
  } else if (this->draining.load()) {
    RespondError(exchange, {ResultCode::kShuttingDown, {}});
  } else {
    exchange.Respond(kStatusOk, {{"Content-Type", "text/plain"}}, "ready\n");
  }
}

std::vector<std::string> EntryDaemon::Replicas() const {
  const SharedSnapshot snapshot = this->view.Current();
  return snapshot.state && !snapshot.state->replicas.empty()
             ? snapshot.state->replicas
             : this->settings.replicas;
}

void EntryDaemon::SendCrashReport(const CrashReport& report) {
  Json::Value candidates(Json::arrayValue);
  for (const std::string& fingerprint : report.fingerprints) {
    candidates.append(fingerprint);
  }
  // One report lists all candidates; a report for each would add nothing.
  if (report.fingerprints.empty()) {
    return;
  }
  Json::Value params;
  params["fingerprint"] = report.fingerprints.front();
  params["server_id"] = report.server_id;
  params["incarnation"] = report.incarnation;
  params["candidates"] = candidates;
  this->leader_client->Call(
      "finding.report", params, this->clock.Now() + kFindingReportTimeout,
      [server_id = report.server_id](const Result<Json::Value>& result) {
        LogEvent(
            result ? Severity::kInfo : Severity::kWarning,
            result ? Event::kFindingRecorded : Event::kRpcFailed,
            {{"method", "finding.report"},
             {"server_id", server_id},
             {"message", result ? std::string() : result.error().message}});
      });
}

bool EntryDaemon::WithdrawnFromAddressList() const {
  const SharedSnapshot snapshot = this->view.Current();
  if (!snapshot.state) {
    return true;
  }
  const auto& entries = snapshot.state->entries;
  return std::none_of(
      entries.begin(), entries.end(), [this](const EntryInfo& entry) {
        return entry.entry_id == this->settings.entry_id && !entry.draining;
      });
}

void EntryDaemon::BeginDrain() {
  if (this->draining.exchange(true)) {
    return;
  }
  LogEvent(Severity::kInfo, Event::kProcessStopping,
           {{"open_requests",
             static_cast<std::uint64_t>(this->router->OpenRequests())}});
  this->drain_started = this->clock.Now();
  this->follower->SetDraining();
}

bool EntryDaemon::AdvanceDrain() {
  const TimePoint now = this->clock.Now();
  if (this->withdrawn_at == TimePoint::max() &&
      (this->WithdrawnFromAddressList() ||
       now - this->drain_started > kEntryLease)) {
    this->withdrawn_at = now;
  }
  if (this->withdrawn_at == TimePoint::max() ||
      now - this->withdrawn_at <
          this->settings.configuration_lease + this->settings.address_valid) {
    // Another daemon may still list this one from a state as old as the
    // configuration lease, and callers use its list for address_valid.
    return false;
  }
  if (!this->rejecting_new_requests) {
    this->rejecting_new_requests = true;
    this->caller_api->RejectNewRequests();
    this->server->StopAccepting();
  }
  if (this->router->OpenRequests() > 0) {
    this->idle_since = TimePoint::max();
    return false;
  }
  this->idle_since = std::min(this->idle_since, now);
  return this->orders->unrecorded_outcomes.load() == 0 ||
         now - this->idle_since > kOutcomeRecordTimeout;
}

void EntryDaemon::Stop() {
  if (this->stopped) {
    return;
  }
  this->stopped = true;
  if (this->follower) {
    this->follower->Stop();
  }
  if (this->server) {
    this->server->Stop();
  }
  this->rpc_server.reset();
  this->control.Stop();
  this->rpc_api->SetFollower(nullptr);
  this->view.SetFollower(nullptr);
  this->follower.reset();
  this->rpc_client.reset();
  // Ends the calls, whose last callbacks use the sessions and the router.
  this->client.reset();
}

}  // namespace sycamorebend::entry
