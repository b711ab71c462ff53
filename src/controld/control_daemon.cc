#include "controld/control_daemon.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace sycamorebend {

namespace {

// Calls in progress at the RPC address: 16 of the largest bodies.
constexpr std::size_t kMaxIncomingBytes = 64 << 20;
constexpr int kClientThreads = 1;
constexpr Duration kTickPeriod = milliseconds(200);
// Threads in addition to those of the followers: for polls with which other
// control replicas forward renewals, and for polls that are redirected.
constexpr int kExtraFeedThreads = 16;
// Maximum time that a graceful stop waits for open calls.
constexpr Duration kStopTimeout = seconds(5);
constexpr Duration kStopPollInterval = milliseconds(20);
// Maximum wait for one replica's response in a call to the leader. A healthy
// leader commits within one election timeout.
constexpr Duration kLeaderTryTimeout = milliseconds(400);
// Interval of the requests of a replica without an identity.
constexpr Duration kIdentityRequestInterval = milliseconds(500);
// A replica whose state was not confirmed for this long asks whether it is
// still in the replica set, and asks again at this interval. Longer than an
// election.
constexpr Duration kMembershipCheckAge = seconds(3);
// Time until the epoch is stored again after a failure.
constexpr Duration kEpochStoreInterval = seconds(5);

}  // namespace

ControlDaemon::ControlDaemon(const ControlSettings& settings,
                             std::shared_ptr<NoticedReplicas> noticed)
    : settings(settings),
      control_thread(this->clock),
      http_client(HttpClient::Create(kClientThreads)),
      rpc(RpcClient::Create(*this->http_client)),
      feed(FeedSource::Create(settings.feed, *this->rpc, this->clock)),
      state(ControlState::Create(
          [this](std::shared_ptr<const SharedState> shared) {
            this->feed->Publish(std::move(shared));
          })),
      noticed(std::move(noticed)),
      service(*this->state, *this->feed, this->clock),
      seeds(settings.seeds) {
  this->leader_client = std::make_shared<LeaderRpcClient>(
      [this] { return this->KnownReplicas(); }, *this->rpc,
      this->control_thread, this->clock, kLeaderTryTimeout);
  this->service.SetNoticedReplicas(*this->noticed);
}

ControlDaemon::~ControlDaemon() {
  this->Stop();
}

Result<std::unique_ptr<ControlDaemon>> ControlDaemon::Start(
    const ControlSettings& settings,
    std::shared_ptr<NoticedReplicas> noticed) {
  std::unique_ptr<ControlDaemon> daemon(
      new ControlDaemon(settings, std::move(noticed)));
  BOOST_OUTCOME_TRY(daemon->Listen());
  if (settings.seeds.empty()) {
    BOOST_OUTCOME_TRY(
        daemon->StartLog({settings.log.id, settings.log.initial_replicas, ""}));
    return daemon;
  }
  const std::string& directory = settings.log.data_directory;
  BOOST_OUTCOME_TRY(identity, LoadIdentity(directory));
  BOOST_OUTCOME_TRY(erased, WasErased(directory));
  if (erased) {
    // Finishes what a kill or a loss of power interrupted.
    BOOST_OUTCOME_TRY(EraseReplica(directory));
  } else if (!identity && settings.bootstrap) {
    identity = InitialReplicaIdentity(settings.seeds, settings.log.address);
    if (identity) {
      BOOST_OUTCOME_TRY(StoreIdentity(directory, *identity));
    }
  }
  if (identity) {
    BOOST_OUTCOME_TRY(daemon->StartLog(*identity));
  }
  return daemon;
}

Status ControlDaemon::Listen() {
  ControlThreads threads;
  threads.feed =
      static_cast<int>(this->settings.feed.max_followers) + kExtraFeedThreads;
  this->http = std::make_unique<ControlHttp>(this->service, threads);
  HttpServerOptions options;
  options.address = this->settings.log.address;
  options.threads = 1;
  options.max_incoming_bytes = kMaxIncomingBytes;
  BOOST_OUTCOME_TRY(started, HttpServer::Start(options, *this->http));
  this->server = std::move(started);
  BOOST_OUTCOME_TRY(
      sender, NoticeSender::Create(this->settings.log.address, *this->rpc));
  this->notice_sender = std::move(sender);
  this->notifier = std::make_unique<ReplicaNotifier>(*this->notice_sender);
  this->service.SetNotifier(*this->notifier);
  return Success();
}

Status ControlDaemon::StartLog(const ReplicaIdentity& new_identity) {
  ReplicatedLogOptions options = this->settings.log;
  options.id = new_identity.id;
  if (!this->settings.seeds.empty()) {
    options.initial_replicas = new_identity.initial_replicas;
    options.join = new_identity.initial_replicas.empty();
  }
  BOOST_OUTCOME_TRY(started,
                    CreateReplicatedLog(options, *this->state, *this->rpc,
                                        this->control_thread, this->clock));
  this->log = std::move(started);
  this->identity = new_identity;
  if (!new_identity.epoch.empty()) {
    this->noticed->SetEpoch(new_identity.epoch);
  }
  ReplicaSetTarget target;
  target.voters = this->settings.voters;
  this->service.SetLog(*this->log, target);
  this->feed->SetLog(*this->log);
  this->control_thread.SubscribePeriodic(kTickPeriod,
                                         [this] { this->service.Tick(); });
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", this->server->Address()},
            {"id", static_cast<std::uint64_t>(new_identity.id)},
            {"failure_domain", this->settings.failure_domain}});
  return Success();
}

void ControlDaemon::StartDuties(const DutyOptions& options, DutyApi& api) {
  this->duties = std::make_unique<DutyRunner>(
      options, this->settings.log.timings.lease, api, *this->state,
      this->control_thread, this->clock);
  this->feed->SetReportReceiver(this->duties.get());
  this->service.SetDuties(*this->duties);
}

void ControlDaemon::StartEngineOrders(
    EngineOrderRunner::RulesReader read_rules) {
  this->engine_orders = std::make_unique<EngineOrderRunner>(
      *this->duties, *this->duties, *this->duties,
      [this] { return this->Shared(); }, std::move(read_rules), this->clock);
  this->service.SetEngineOrders(*this->engine_orders);
  this->control_thread.PostAndWait([this] {
    this->duties->SetTickTask([this] { this->engine_orders->Tick(); });
  });
}

std::vector<std::string> ControlDaemon::KnownReplicas() const {
  const std::shared_ptr<const SharedState> shared = this->state->Shared();
  const std::vector<std::string> noticed_addresses =
      this->noticed->Addresses(shared->version);
  std::vector<std::string> known;
  const auto add = [&known](const std::vector<std::string>& addresses) {
    for (const std::string& address : addresses) {
      if (std::find(known.begin(), known.end(), address) == known.end()) {
        known.push_back(address);
      }
    }
  };
  // A notice of an unknown deployment counts less than the settings.
  const bool deployment_known = !this->noticed->Epoch().empty();
  if (deployment_known) {
    add(noticed_addresses);
  }
  add(shared->replicas);
  {
    std::lock_guard lock(this->mutex);
    add(this->seeds);
  }
  add(noticed_addresses);
  return known;
}

bool ControlDaemon::SetSeeds(std::vector<std::string> new_seeds) {
  std::lock_guard lock(this->mutex);
  if (this->seeds == new_seeds) {
    return false;
  }
  this->seeds = std::move(new_seeds);
  return true;
}

bool ControlDaemon::HasContact() const {
  return this->log != nullptr &&
         this->log->ConfirmationAge() < kMembershipCheckAge;
}

Status ControlDaemon::Advance() {
  ReplicaIdentity assigned;
  Json::Value membership;
  {
    std::lock_guard lock(this->leader_responses->mutex);
    assigned.id = std::exchange(this->leader_responses->assigned_id, 0);
    assigned.epoch = this->leader_responses->assigned_epoch;
    membership = std::exchange(this->leader_responses->membership, {});
  }
  if (this->log == nullptr) {
    if (assigned.id == 0) {
      this->RequestIdentity();
      return Success();
    }
    BOOST_OUTCOME_TRY(
        StoreIdentity(this->settings.log.data_directory, assigned));
    return this->StartLog(assigned);
  }
  if (!this->settings.seeds.empty()) {
    this->StoreEpoch();
    this->UpdateMembership(membership);
    this->CheckMembership();
  }
  return Success();
}

void ControlDaemon::StoreEpoch() {
  const std::string epoch = this->state->Shared()->epoch;
  const TimePoint now = this->clock.Now();
  if (epoch.empty() || epoch == this->identity.epoch ||
      now < this->next_epoch_store) {
    return;
  }
  this->noticed->SetEpoch(epoch);
  ReplicaIdentity complete = this->identity;
  complete.epoch = epoch;
  const Status stored =
      StoreIdentity(this->settings.log.data_directory, complete);
  if (stored) {
    this->identity = std::move(complete);
    return;
  }
  // A full disk must not end a replica whose log bears it.
  this->next_epoch_store = now + kEpochStoreInterval;
  LogEvent(Severity::kWarning, Event::kStorageFailed,
           {{"file", "identity"}, {"message", stored.error().message}});
}

void ControlDaemon::RequestIdentity() {
  const TimePoint now = this->clock.Now();
  {
    std::lock_guard lock(this->leader_responses->mutex);
    if (this->leader_responses->join_pending || now < this->next_request) {
      return;
    }
    this->leader_responses->join_pending = true;
  }
  this->next_request = now + kIdentityRequestInterval;
  Json::Value params;
  params["address"] = this->settings.log.address;
  params["epoch"] = this->noticed->Epoch();
  this->leader_client->Call(
      kReplicaJoinMethod, params, now + seconds(2),
      [leader_responses =
           this->leader_responses](Result<Json::Value> response) {
        std::lock_guard lock(leader_responses->mutex);
        leader_responses->join_pending = false;
        if (response) {
          leader_responses->assigned_id = response.value()["id"].asUInt64();
          // Not in the response of an earlier release.
          const Json::Value& epoch = response.value()["epoch"];
          leader_responses->assigned_epoch =
              epoch.isString() ? epoch.asString() : std::string();
        } else {
          LogEvent(Severity::kInfo, Event::kRpcFailed,
                   {{"method", kReplicaJoinMethod},
                    {"message", response.error().message}});
        }
      });
}

void ControlDaemon::UpdateMembership(const Json::Value& response) {
  if (ConfirmsRemoval(response, this->identity.epoch,
                      this->log->GetStatus().last_index > 0)) {
    this->removed_from_set = true;
  } else if (response.isObject() && response["member"] == Json::Value(false)) {
    LogEvent(Severity::kWarning, Event::kRpcFailed,
             {{"method", kReplicaMemberMethod},
              {"message",
               "the removal is not certain: the response is of another "
               "deployment or of an earlier release"}});
    this->leader_client->ForgetLeader();
  }
}

void ControlDaemon::CheckMembership() {
  const TimePoint now = this->clock.Now();
  if (this->log->ConfirmationAge() < kMembershipCheckAge ||
      now < this->next_request) {
    return;
  }
  this->next_request = now + kMembershipCheckAge;
  Json::Value params;
  params["id"] = Json::UInt64(this->identity.id);
  params["epoch"] = this->identity.epoch;
  params["address"] = this->settings.log.address;
  this->leader_client->Call(
      kReplicaMemberMethod, params, now + kMembershipCheckAge,
      [leader_responses =
           this->leader_responses](Result<Json::Value> response) {
        if (!response) {
          LogEvent(Severity::kInfo, Event::kRpcFailed,
                   {{"method", kReplicaMemberMethod},
                    {"message", response.error().message}});
        } else {
          std::lock_guard lock(leader_responses->mutex);
          leader_responses->membership = response.value();
        }
      });
}

void ControlDaemon::Stop() {
  if (std::exchange(this->stopped, true)) {
    return;
  }
  if (this->duties != nullptr) {
    this->duties->Stop();
  }
  this->service.StopChanges();
  this->feed->Stop();
  if (this->log != nullptr) {
    // Transfers leadership while the other replicas can still call this one.
    this->log->Stop();
  }
  if (this->server != nullptr) {
    this->server->StopAccepting();
    const TimePoint deadline = this->clock.Now() + kStopTimeout;
    while (this->server->OpenExchanges() > 0 && this->clock.Now() < deadline) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
    this->server->Stop();
  }
  this->control_thread.Stop();
  // Ends the remaining calls while the members that they use still exist.
  this->http.reset();
  this->http_client.reset();
}

}  // namespace sycamorebend
