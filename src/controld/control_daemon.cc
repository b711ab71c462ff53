#include "controld/control_daemon.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace sycamorebend {

namespace {

constexpr int kClientThreads = 1;
constexpr Duration kTickPeriod = milliseconds(200);
// Polls that control replicas send each other to pass renewals on, and polls
// that are referred elsewhere.
constexpr int kSparePolls = 16;
// Longest time that a graceful stop waits for open calls.
constexpr Duration kStopTimeout = seconds(5);
constexpr Duration kStopCheck = milliseconds(20);
// Longest wait for one replica's answer in a call to the leader: a healthy
// leader commits within one election timeout.
constexpr Duration kLeaderTryTimeout = milliseconds(400);
// A replica without an identity, or one that hears no leader, asks this often.
constexpr Duration kQuestionInterval = milliseconds(500);
// A replica whose state was not confirmed for this long asks whether it is
// still in the replica set. Longer than an election.
constexpr Duration kMembershipDoubt = seconds(3);

}  // namespace

ControlDaemon::ControlDaemon(const ControlSettings& settings)
    : settings(settings),
      control_thread(this->clock),
      http_client(HttpClient::Create(kClientThreads)),
      rpc(RpcClient::Create(*this->http_client)),
      feed(FeedSource::Create(settings.feed, *this->rpc, this->clock)),
      state(ControlState::Create(
          [this](std::shared_ptr<const SharedState> shared) {
            this->feed->Publish(std::move(shared));
          })),
      service(*this->state, *this->feed, this->clock),
      seeds(settings.seeds) {
  this->leader_calls = std::make_shared<LeaderRpcClient>(
      [this] { return this->Replicas(); }, *this->rpc, this->control_thread,
      this->clock, kLeaderTryTimeout);
}

ControlDaemon::~ControlDaemon() {
  this->Stop();
}

Result<std::unique_ptr<ControlDaemon>> ControlDaemon::Start(
    const ControlSettings& settings) {
  std::unique_ptr<ControlDaemon> daemon(new ControlDaemon(settings));
  BOOST_OUTCOME_TRY(daemon->Listen());
  if (settings.seeds.empty()) {
    BOOST_OUTCOME_TRY(
        daemon->StartLog({settings.log.id, settings.log.initial_replicas}));
    return daemon;
  }
  const std::string& directory = settings.log.data_directory;
  BOOST_OUTCOME_TRY(identity, LoadIdentity(directory));
  if (!identity && settings.bootstrap) {
    identity = FounderIdentity(settings.seeds, settings.log.address);
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
      static_cast<int>(this->settings.feed.max_followers) + kSparePolls;
  this->http = std::make_unique<ControlHttp>(this->service, threads);
  HttpServerOptions options;
  options.address = this->settings.log.address;
  options.threads = 1;
  BOOST_OUTCOME_TRY(started, HttpServer::Start(options, *this->http));
  this->server = std::move(started);
  return Success();
}

Status ControlDaemon::StartLog(const ReplicaIdentity& identity) {
  ReplicatedLogOptions options = this->settings.log;
  options.id = identity.id;
  if (!this->settings.seeds.empty()) {
    options.initial_replicas = identity.founders;
    options.join = identity.founders.empty();
  }
  BOOST_OUTCOME_TRY(started,
                    CreateReplicatedLog(options, *this->state, *this->rpc,
                                        this->control_thread, this->clock));
  this->log = std::move(started);
  ReplicaSetGoal goal;
  goal.voters = this->settings.voters;
  this->service.SetLog(*this->log, goal);
  this->feed->SetLog(*this->log);
  this->control_thread.SubscribePeriodic(kTickPeriod,
                                         [this] { this->service.Tick(); });
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", this->server->Address()},
            {"id", static_cast<std::uint64_t>(identity.id)},
            {"failure_domain", this->settings.failure_domain}});
  return Success();
}

std::vector<std::string> ControlDaemon::Replicas() const {
  std::vector<std::string> known = this->state->Shared()->replicas;
  std::lock_guard lock(this->mutex);
  for (const std::string& seed : this->seeds) {
    if (std::find(known.begin(), known.end(), seed) == known.end()) {
      known.push_back(seed);
    }
  }
  return known;
}

void ControlDaemon::SetSeeds(std::vector<std::string> new_seeds) {
  std::lock_guard lock(this->mutex);
  this->seeds = std::move(new_seeds);
}

Status ControlDaemon::Advance() {
  ReplicaId granted = 0;
  {
    std::lock_guard lock(this->inbox->mutex);
    granted = std::exchange(this->inbox->granted_id, 0);
    this->expelled = this->expelled || this->inbox->removed;
  }
  if (this->log == nullptr) {
    if (granted == 0) {
      this->AskForIdentity();
      return Success();
    }
    const ReplicaIdentity identity{granted, {}};
    BOOST_OUTCOME_TRY(
        StoreIdentity(this->settings.log.data_directory, identity));
    return this->StartLog(identity);
  }
  if (!this->settings.seeds.empty()) {
    this->CheckMembership();
  }
  return Success();
}

void ControlDaemon::AskForIdentity() {
  const TimePoint now = this->clock.Now();
  {
    std::lock_guard lock(this->inbox->mutex);
    if (this->inbox->asking || now < this->next_question) {
      return;
    }
    this->inbox->asking = true;
  }
  this->next_question = now + kQuestionInterval;
  Json::Value params;
  params["address"] = this->settings.log.address;
  this->leader_calls->Call(kReplicaJoinMethod, params, now + seconds(2),
                           [inbox = this->inbox](Result<Json::Value> answer) {
                             std::lock_guard lock(inbox->mutex);
                             inbox->asking = false;
                             if (answer) {
                               inbox->granted_id =
                                   answer.value()["id"].asUInt64();
                             } else {
                               LogEvent(Severity::kInfo, Event::kRpcFailed,
                                        {{"method", kReplicaJoinMethod},
                                         {"message", answer.error().message}});
                             }
                           });
}

void ControlDaemon::CheckMembership() {
  const TimePoint now = this->clock.Now();
  if (this->log->ConfirmationAge() < kMembershipDoubt ||
      now < this->next_question) {
    return;
  }
  this->next_question = now + kMembershipDoubt;
  Json::Value params;
  params["id"] = Json::UInt64(this->log->GetStatus().id);
  this->leader_calls->Call(
      kReplicaMemberMethod, params, now + kMembershipDoubt,
      [inbox = this->inbox](Result<Json::Value> answer) {
        if (answer && answer.value()["member"] == Json::Value(false)) {
          std::lock_guard lock(inbox->mutex);
          inbox->removed = true;
        }
      });
}

void ControlDaemon::Stop() {
  if (std::exchange(this->stopped, true)) {
    return;
  }
  this->service.StopChanges();
  this->feed->Stop();
  if (this->log != nullptr) {
    // Leadership is handed over while the other replicas can still call here.
    this->log->Stop();
  }
  if (this->server != nullptr) {
    this->server->StopAccepting();
    const TimePoint deadline = this->clock.Now() + kStopTimeout;
    while (this->server->OpenExchanges() > 0 && this->clock.Now() < deadline) {
      std::this_thread::sleep_for(kStopCheck);
    }
    this->server->Stop();
  }
  this->control_thread.Stop();
  // Ends the calls; their callbacks may still use the parts of this object.
  this->http.reset();
  this->http_client.reset();
}

}  // namespace sycamorebend
