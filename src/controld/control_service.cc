#include "controld/control_service.h"

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "control/field_reader.h"
#include "feed/replica_notice.h"
#include "sycamorebend/policy.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using internal::FieldReader;

// A replica whose state was last confirmed longer ago is not ready.
constexpr Duration kMaxReadyConfirmationAge = seconds(3);
constexpr std::uint64_t kDefaultHistoryLimit = 20;
// Ticks are due every 200 ms. A longer gap means that the process was paused.
constexpr Duration kMaxTickGap = seconds(1);
constexpr std::string_view kStatusMethod = "control.status";

// @return the value, or kShuttingDown if the log was stopped and cancelled or
// dropped the callback that sets it. Callers then repeat the call on another
// replica; kCancelled would be final for them.
template <typename T, template <typename> class Future>
Result<T> Wait(Future<Result<T>> future) {
  try {
    Result<T> result = future.get();
    if (result || result.error().code != ResultCode::kCancelled) {
      return result;
    }
  } catch (const std::future_error&) {
    // The callback was dropped.
  }
  return MakeError(ResultCode::kShuttingDown, "this replica is stopping");
}

std::pair<std::uint64_t, std::uint64_t> Version(const ServerRecord& record) {
  return {record.incarnation, record.sequence};
}

Json::Value AgeToJson(Duration age) {
  return Json::Int64(age == Duration::max() ? -1 : ToMilliseconds(age) + 1);
}

Json::Value ReplicasToJson(const ReplicatedLog::LogStatus& status) {
  Json::Value list(Json::arrayValue);
  for (const ReplicatedLog::ReplicaStatus& replica : status.replicas) {
    Json::Value item;
    item["id"] = Json::UInt64(replica.id);
    item["address"] = replica.address;
    item["voter"] = replica.voter;
    item["reachable"] = replica.reachable;
    item["match_index"] = Json::UInt64(replica.match_index);
    item["lag_bytes"] = Json::UInt64(replica.lag_bytes);
    list.append(item);
  }
  return list;
}

}  // namespace

ControlService::ControlService(ControlState& state,
                               FeedSource& feed,
                               const Clock& clock)
    : state(state), feed(feed), clock(clock) {}

void ControlService::SetLog(ReplicatedLogService& new_log,
                            ReplicaSetTarget target) {
  this->manager =
      std::make_unique<ReplicaManager>(target, new_log, this->clock);
  this->log = &new_log;
}

void ControlService::StopChanges() {
  this->stopping = true;
}

const std::map<std::string, ControlService::Method>& ControlService::Methods() {
  static const std::map<std::string, Method> kMethods = {
      {"control.apply", &ControlService::Apply},
      {"control.show", &ControlService::Show},
      {"control.history", &ControlService::History},
      {"config.replace", &ControlService::Replace},
      {"server.heartbeat", &ControlService::Heartbeat},
      {"server.leave", &ControlService::Leave},
      {kReplicaJoinMethod, &ControlService::JoinReplica},
      {kReplicaMemberMethod, &ControlService::CheckMember},
      {"control.drain", &ControlService::Drain},
      {"control.undrain", &ControlService::Undrain},
      {"control.replica", &ControlService::ChangeReplicas},
      {"order.begin", &ControlService::BeginOrder},
      {"order.finish", &ControlService::FinishOrder},
      {"order.get", &ControlService::GetOrder},
      {"finding.report", &ControlService::ReportFinding},
      {"finding.record", &ControlService::RecordFinding},
      {"fence.take", &ControlService::TakeFence},
      {"duty.status", &ControlService::ShowDuties},
  };
  return kMethods;
}

Result<Json::Value> ControlService::Call(const std::string& method,
                                         const Json::Value& params) {
  Result<Json::Value> result = this->Dispatch(method, params);
  this->CountCall(method, result ? ResultCode::kOk : result.error().code);
  return result;
}

std::optional<Result<HttpBody>> ControlService::CallEncoded(
    const std::string& method,
    const Json::Value& params) {
  // Before that, Call refuses all methods.
  if (method != kFeedPollMethod || this->log.load() == nullptr) {
    return std::nullopt;
  }
  Result<HttpBody> result = this->feed.ServeEncodedPoll(params);
  this->CountCall(method, result ? ResultCode::kOk : result.error().code);
  return result;
}

void ControlService::CountCall(const std::string& method, ResultCode code) {
  const bool known = Methods().count(method) > 0 ||
                     method == kRaftMessageMethod ||
                     method == kFeedPollMethod || method == kStatusMethod ||
                     method == kReplicaNoticeMethod;
  std::lock_guard lock(this->counts_mutex);
  ++this->counts[{known ? method : "other", code}];
}

ControlService::CallCounts ControlService::Calls() const {
  std::lock_guard lock(this->counts_mutex);
  return this->counts;
}

Result<Json::Value> ControlService::Dispatch(const std::string& method,
                                             const Json::Value& params) {
  if (method == kReplicaNoticeMethod) {
    return this->ReceiveNotice(params);
  }
  ReplicatedLogService* const replica_log = this->log;
  if (replica_log == nullptr) {
    return MakeError(ResultCode::kNotLeader, "");
  }
  if (method == kRaftMessageMethod) {
    return replica_log->HandleMessage(params);
  }
  if (method == kFeedPollMethod) {
    return this->feed.ServePoll(params);
  }
  if (method == kStatusMethod) {
    return this->StatusReport();
  }
  const auto found = Methods().find(method);
  if (found == Methods().end()) {
    return MakeError(ResultCode::kUnknownCommand,
                     "method \"" + method + "\" is unknown");
  }
  if (this->stopping) {
    return MakeError(ResultCode::kShuttingDown, "this replica is stopping");
  }
  if (!params.isObject()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "the parameters must be an object");
  }
  return (this->*found->second)(params);
}

Result<Json::Value> ControlService::Propose(const std::string& type,
                                            Json::Value params) {
  params["type"] = type;
  auto promise = std::make_shared<std::promise<Result<std::string>>>();
  std::future<Result<std::string>> future = promise->get_future();
  this->log.load()->Propose(WriteJson(params),
                            [promise](Result<std::string> result) {
                              promise->set_value(std::move(result));
                            });
  BOOST_OUTCOME_TRY(response, Wait(std::move(future)));
  return DecodeCommandResult(response);
}

Status ControlService::Barrier() {
  auto promise = std::make_shared<std::promise<Status>>();
  std::future<Status> future = promise->get_future();
  this->log.load()->ReadBarrier(
      [promise](Status result) { promise->set_value(std::move(result)); });
  return Wait(std::move(future));
}

Result<Json::Value> ControlService::Apply(const Json::Value& params) {
  if (params["dry_run"] == Json::Value(true)) {
    return this->DryRun(params);
  }
  FieldReader reader(params);
  const std::string change_id = reader.Name("change_id");
  const std::string operator_name = reader.Name("operator");
  BOOST_OUTCOME_TRY(reader.Finish());
  BOOST_OUTCOME_TRY(ParsePolicy(params["document"]));
  Result<Json::Value> response = this->Propose("config.apply", params);
  if (response) {
    LogEvent(Severity::kInfo, Event::kConfigurationAccepted,
             {{"version", response.value()["version"].asUInt64()},
              {"change_id", change_id},
              {"operator", operator_name}});
  } else if (response.error().code == ResultCode::kVersionConflict) {
    LogEvent(Severity::kInfo, Event::kConfigurationConflict,
             {{"change_id", change_id},
              {"operator", operator_name},
              {"message", response.error().message}});
  }
  return response;
}

Result<Json::Value> ControlService::DryRun(const Json::Value& params) {
  BOOST_OUTCOME_TRY(ParsePolicy(params["document"]));
  BOOST_OUTCOME_TRY(this->Barrier());
  BOOST_OUTCOME_TRY(current, this->state.ShowConfiguration(std::nullopt));
  Json::Value response;
  response["version"] = current["version"];
  response["changed"] = current["document"] != params["document"];
  response["patch"] = DiffJson(current["document"], params["document"]);
  return response;
}

Result<Json::Value> ControlService::Show(const Json::Value& params) {
  FieldReader reader(params);
  const std::optional<std::uint64_t> version =
      reader.OptionalUnsigned("version");
  const std::optional<std::uint64_t> known =
      reader.OptionalUnsigned("known_version");
  BOOST_OUTCOME_TRY(reader.Finish());
  BOOST_OUTCOME_TRY(this->Barrier());
  if (!version && known &&
      *known == this->state.Shared()->configuration_version) {
    Json::Value unchanged;
    unchanged["version"] = Json::UInt64(*known);
    unchanged["unchanged"] = true;
    return unchanged;
  }
  return this->state.ShowConfiguration(version);
}

Result<Json::Value> ControlService::History(const Json::Value& params) {
  FieldReader reader(params);
  const std::uint64_t limit =
      reader.OptionalUnsigned("limit").value_or(kDefaultHistoryLimit);
  BOOST_OUTCOME_TRY(reader.Finish());
  BOOST_OUTCOME_TRY(this->Barrier());
  Json::Value response;
  response["changes"] = this->state.History(limit);
  return response;
}

Result<Json::Value> ControlService::Replace(const Json::Value& params) {
  FieldReader reader(params);
  const std::uint64_t version = reader.Unsigned("version");
  BOOST_OUTCOME_TRY(reader.Finish());
  return this->version_proposals.Run(version, [this, version, &params] {
    return this->ProposeReplacement(version, params);
  });
}

Result<Json::Value> ControlService::ProposeReplacement(
    std::uint64_t version,
    const Json::Value& params) {
  if (version <= this->state.Shared()->configuration_version) {
    // Without the barrier, a replica that has been deposed could confirm a
    // version that it has only read.
    BOOST_OUTCOME_TRY(this->Barrier());
    Json::Value unchanged;
    unchanged["version"] =
        Json::UInt64(this->state.Shared()->configuration_version);
    unchanged["changed"] = false;
    return unchanged;
  }
  Result<Json::Value> response = this->Propose("config.replace", params);
  if (response && response.value()["changed"].asBool()) {
    LogEvent(Severity::kInfo, Event::kConfigurationAccepted,
             {{"version", response.value()["version"].asUInt64()},
              {"operator", params["operator"].asString()}});
  }
  return response;
}

Result<Json::Value> ControlService::Heartbeat(const Json::Value& params) {
  BOOST_OUTCOME_TRY(record, ServerRecordFromJson(params));
  BOOST_OUTCOME_TRYV(CheckAnnouncement(record));
  const ReplicatedLog::LogStatus status = this->log.load()->GetStatus();
  if (!status.is_leader) {
    return MakeError(ResultCode::kNotLeader, status.leader_address);
  }
  std::promise<Status> promise;
  std::optional<std::shared_future<Status>> earlier_proposal;
  {
    std::lock_guard lock(this->liveness_mutex);
    bool must_propose = this->liveness.RecordAnnouncement(
        record, *this->state.Shared(), this->clock.Now());
    const auto found = this->announcement_proposals.find(record.server_id);
    if (!must_propose && found == this->announcement_proposals.end()) {
      return Json::Value(Json::objectValue);
    }
    // A proposal in flight, and one that failed without a definite outcome, may
    // still change the record with which the announcement agrees.
    must_propose = must_propose || !found->second.finished.valid() ||
                   Version(record) > found->second.version;
    if (must_propose) {
      this->announcement_proposals[record.server_id] = {
          Version(record), promise.get_future().share()};
    } else {
      earlier_proposal = found->second.finished;
    }
  }
  if (earlier_proposal) {
    BOOST_OUTCOME_TRYV(Wait(*earlier_proposal));
    return Json::Value(Json::objectValue);
  }
  Result<Json::Value> response = this->Propose("server.announce", params);
  this->FinishAnnouncement(record, response.has_value());
  if (response) {
    promise.set_value(Success());
    LogEvent(Severity::kInfo, Event::kServerAnnounced,
             {{"server_id", record.server_id},
              {"incarnation", record.incarnation},
              {"service", record.service},
              {"address", record.address},
              {"leaving", record.leaving}});
  } else {
    promise.set_value(response.error());
  }
  return response;
}

void ControlService::FinishAnnouncement(const ServerRecord& record,
                                        bool committed) {
  std::lock_guard lock(this->liveness_mutex);
  const auto newest = this->announcement_proposals.find(record.server_id);
  if (newest == this->announcement_proposals.end() ||
      newest->second.version != Version(record)) {
    return;
  }
  if (committed) {
    this->announcement_proposals.erase(newest);
    return;
  }
  // The next announcement must be proposed again.
  newest->second.finished = {};
  this->liveness.Discard(record.server_id);
}

Result<Json::Value> ControlService::Leave(const Json::Value& params) {
  BOOST_OUTCOME_TRYV(
      CheckServerId(FieldReader(params).OptionalString("server_id")));
  Result<Json::Value> response = this->Propose("server.leave", params);
  if (response) {
    LogEvent(Severity::kInfo, Event::kServerLeft,
             {{"server_id", params["server_id"].asString()}});
  }
  return response;
}

Status ControlService::CheckDeployment(const Json::Value& params) const {
  FieldReader reader(params);
  // Empty if the caller does not know its deployment, or is of an earlier
  // release.
  const std::string caller_epoch = reader.OptionalString("epoch");
  BOOST_OUTCOME_TRY(reader.Finish());
  if (!caller_epoch.empty() && caller_epoch != this->state.Shared()->epoch) {
    return MakeError(ResultCode::kNotLeader,
                     "this is a replica of another deployment");
  }
  return Success();
}

Result<Json::Value> ControlService::JoinReplica(const Json::Value& params) {
  BOOST_OUTCOME_TRYV(this->CheckDeployment(params));
  BOOST_OUTCOME_TRY(response, this->manager->Join(params));
  response["epoch"] = this->state.Shared()->epoch;
  return response;
}

Result<Json::Value> ControlService::CheckMember(const Json::Value& params) {
  // Waits until the state contains what was committed.
  BOOST_OUTCOME_TRY(response, this->manager->CheckMember(params));
  BOOST_OUTCOME_TRYV(this->CheckDeployment(params));
  response["epoch"] = this->state.Shared()->epoch;
  response["known_address"] =
      this->KnowsReplicaAt(FieldReader(params).OptionalString("address"));
  return response;
}

bool ControlService::KnowsReplicaAt(const std::string& address) const {
  const std::shared_ptr<const SharedState> shared = this->state.Shared();
  const std::vector<std::string>& present = shared->replicas;
  const std::vector<FormerReplica> former = this->state.Lost().replicas;
  return std::find(present.begin(), present.end(), address) != present.end() ||
         std::any_of(former.begin(), former.end(),
                     [&address](const FormerReplica& replica) {
                       return replica.address == address;
                     });
}

Result<Json::Value> ControlService::ReceiveNotice(const Json::Value& params) {
  NoticedReplicas* const noticed_replicas = this->noticed;
  BOOST_OUTCOME_TRY(notice, internal::ReplicaNoticeFromJson(params));
  if (noticed_replicas == nullptr || !noticed_replicas->Accept(notice)) {
    return MakeError(ResultCode::kVersionConflict,
                     "the notice is of another deployment or an old one");
  }
  return Json::Value(Json::objectValue);
}

Result<Json::Value> ControlService::Drain(const Json::Value& params) {
  return this->Propose("server.drain", params);
}

Result<Json::Value> ControlService::Undrain(const Json::Value& params) {
  return this->Propose("server.undrain", params);
}

Result<Json::Value> ControlService::ChangeReplicas(const Json::Value& params) {
  FieldReader reader(params);
  const std::string action = reader.Name("action");
  const ReplicaId id = reader.Unsigned("id");
  const std::string address = reader.OptionalString("address");
  if (id == 0) {
    reader.Reject("id", "a replica ID greater than 0");
  }
  if (action != "add" && action != "remove" && action != "promote") {
    reader.Reject("action", "\"add\", \"remove\" or \"promote\"");
  }
  if (action == "add" && !IsAddress(address)) {
    reader.Reject("address", "\"IP:port\" with an IPv4 address");
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  auto promise = std::make_shared<std::promise<Status>>();
  std::future<Status> future = promise->get_future();
  const auto callback = [promise](Status result) {
    promise->set_value(std::move(result));
  };
  ReplicatedLogService& replica_log = *this->log.load();
  if (action == "add") {
    replica_log.AddReplica(id, address, callback);
  } else if (action == "promote") {
    replica_log.PromoteReplica(id, callback);
  } else {
    replica_log.RemoveReplica(id, callback);
  }
  BOOST_OUTCOME_TRY(Wait(std::move(future)));
  Json::Value response;
  response["replicas"] = ReplicasToJson(replica_log.GetStatus());
  return response;
}

Result<Json::Value> ControlService::BeginOrder(const Json::Value& params) {
  return this->Propose("order.begin", params);
}

Result<Json::Value> ControlService::FinishOrder(const Json::Value& params) {
  // The log rejects entries that are too large, and the outcome of the order
  // would not be recorded.
  Json::Value command = params;
  if (WriteJson(params["response"]).size() >
      ControlLimits().max_order_response_bytes) {
    command.removeMember("response");
    command["response_dropped"] = true;
  }
  return this->Propose("order.finish", std::move(command));
}

Result<Json::Value> ControlService::GetOrder(const Json::Value& params) {
  FieldReader reader(params);
  const std::string customer = reader.Name("customer");
  const std::string key = reader.Name("key");
  BOOST_OUTCOME_TRY(reader.Finish());
  BOOST_OUTCOME_TRY(this->Barrier());
  BOOST_OUTCOME_TRY(record, this->state.GetOrder(customer, key));
  Json::Value response;
  response["record"] = std::move(record);
  return response;
}

Result<Json::Value> ControlService::ReportFinding(const Json::Value& params) {
  return this->Propose("finding.report", params);
}

Result<Json::Value> ControlService::RecordFinding(const Json::Value& params) {
  return this->Propose("finding.record", params);
}

Result<Json::Value> ControlService::TakeFence(const Json::Value& params) {
  return this->Propose("fence.take", params);
}

Json::Value ControlService::DutyReport() const {
  const DutyRunner* const runner = this->duties;
  if (runner == nullptr) {
    return {};
  }
  Json::Value report = runner->StatusReport();
  const EngineOrderRunner* const orders = this->engine_orders;
  if (orders != nullptr) {
    report["scaling"] = orders->StatusReport();
  }
  return report;
}

Result<Json::Value> ControlService::ShowDuties(const Json::Value& /*params*/) {
  BOOST_OUTCOME_TRY(this->Barrier());
  Json::Value report = this->DutyReport();
  if (report.isNull()) {
    return MakeError(ResultCode::kNotFound,
                     "the settings of this replica name no duties");
  }
  return report;
}

void ControlService::Tick() {
  this->feed.Tick();
  ReplicatedLogService* const replica_log = this->log;
  DutyRunner* const runner = this->duties;
  if (replica_log != nullptr && runner != nullptr) {
    runner->Tick(*replica_log);
  }
  if (replica_log == nullptr || this->stopping) {
    return;
  }
  const ReplicatedLog::LogStatus status = replica_log->GetStatus();
  if (!status.is_leader) {
    return;
  }
  this->manager->Tick();
  const std::shared_ptr<const SharedState> shared = this->state.Shared();
  this->ProposeLeaseExpiries(status, *shared);
  this->NotifyLost(status, *shared);
  if (shared->epoch.empty()) {
    Json::Value command;
    command["epoch"] = RandomId();
    this->ProposeOnce("cluster.init", "cluster.init", command);
  }
  std::vector<std::string> addresses;
  for (const ReplicatedLog::ReplicaStatus& replica : status.replicas) {
    addresses.push_back(replica.address);
  }
  std::sort(addresses.begin(), addresses.end());
  if (!addresses.empty() && addresses != shared->replicas) {
    Json::Value command;
    for (const std::string& address : addresses) {
      command["addresses"].append(address);
    }
    this->ProposeOnce("replicas.set", "replicas.set", command);
  }
  if (this->state.NeedsTick(this->clock.WallTimeMs())) {
    this->ProposeOnce("clock.tick", "clock.tick",
                      Json::Value(Json::objectValue));
  }
}

void ControlService::ProposeOnce(const std::string& key,
                                 const std::string& type,
                                 Json::Value command) {
  {
    std::lock_guard lock(this->proposals_in_flight->mutex);
    if (!this->proposals_in_flight->keys.insert(key).second) {
      return;
    }
  }
  command["type"] = type;
  this->log.load()->Propose(
      WriteJson(command),
      [flags = this->proposals_in_flight, key](Result<std::string> /*result*/) {
        std::lock_guard lock(flags->mutex);
        flags->keys.erase(key);
      });
}

void ControlService::ProposeLeaseExpiries(
    const ReplicatedLog::LogStatus& status,
    const SharedState& shared) {
  const TimePoint now = this->clock.Now();
  std::vector<ServerLiveness::ExpiredLease> expired_leases;
  {
    std::lock_guard lock(this->liveness_mutex);
    // After a pause of this process, as after an election, the announcements
    // sent in the meantime have not been received yet.
    const bool paused = now - this->last_tick > kMaxTickGap;
    this->last_tick = now;
    if (this->liveness_term != status.term || paused) {
      this->liveness_term = status.term;
      this->liveness.Reset(now);
    }
    expired_leases = this->liveness.FindExpiredLeases(shared, now);
  }
  for (const ServerLiveness::ExpiredLease& expired_lease : expired_leases) {
    Json::Value command;
    command["server_id"] = expired_lease.server_id;
    command["incarnation"] = Json::UInt64(expired_lease.incarnation);
    LogEvent(Severity::kWarning, Event::kServerLeaseExpired,
             {{"server_id", expired_lease.server_id},
              {"removed", expired_lease.remove_server}});
    this->ProposeOnce(
        expired_lease.server_id,
        expired_lease.remove_server ? "server.expire" : "server.silent",
        command);
  }
}

void ControlService::NotifyLost(const ReplicatedLog::LogStatus& status,
                                const SharedState& shared) {
  ReplicaNotifier* const lost_notifier = this->notifier;
  if (lost_notifier == nullptr) {
    return;
  }
  const std::map<std::string, TimePoint> renewals = this->feed.RenewalTimes();
  LostMembers lost = this->state.Lost();
  // A member may have lost its disk, and the addresses that it knew with it.
  for (const ReplicatedLog::ReplicaStatus& replica : status.replicas) {
    if (replica.id != status.id && !replica.reachable) {
      lost.replicas.push_back({replica.address, this->clock.WallTimeMs()});
    }
  }
  lost_notifier->Tick({status.term, shared, renewals, lost}, this->clock.Now());
}

bool ControlService::Ready() const {
  const ReplicatedLogService* const replica_log = this->log;
  return replica_log != nullptr && !this->stopping &&
         replica_log->ConfirmationAge() <= kMaxReadyConfirmationAge;
}

Result<Json::Value> ControlService::StatusReport() const {
  const ReplicatedLogService* const replica_log = this->log;
  if (replica_log == nullptr) {
    return MakeError(ResultCode::kNotLeader, "");
  }
  // Read before the state, which then contains what was committed when the
  // quorum confirmed it.
  const Duration age = replica_log->ConfirmationAge();
  const ReplicatedLog::LogStatus status = replica_log->GetStatus();
  const std::shared_ptr<const SharedState> shared = this->state.Shared();
  Json::Value response;
  response["id"] = Json::UInt64(status.id);
  response["term"] = Json::UInt64(status.term);
  response["is_leader"] = status.is_leader;
  response["leader"] = Json::UInt64(status.leader.value_or(0));
  response["leader_address"] = status.leader_address;
  response["commit_index"] = Json::UInt64(status.commit_index);
  response["applied_index"] = Json::UInt64(status.applied_index);
  response["last_index"] = Json::UInt64(status.last_index);
  response["snapshot_index"] = Json::UInt64(status.snapshot_index);
  response["log_bytes"] = Json::UInt64(status.log_bytes);
  response["replicas"] = ReplicasToJson(status);
  response["longest_wait_ms"] =
      Json::Int64(ToMilliseconds(status.longest_wait));
  response["confirmation_age_ms"] = AgeToJson(age);
  response["epoch"] = shared->epoch;
  response["configuration_version"] =
      Json::UInt64(shared->configuration_version);
  response["shared_version"] = Json::UInt64(shared->version);
  const Json::Value visible = SharedRecordsToJson(*shared);
  response["entries"] = visible["entries"];
  response["drained_servers"] = visible["drained_servers"];
  response["quarantined"] = visible["quarantined"];
  response["counts"] = this->state.Counts();
  const FeedSourceStatus feed_status = this->feed.GetStatus();
  response["counts"]["feed_followers"] = Json::UInt64(feed_status.followers);
  response["feed_redirects"] = Json::UInt64(feed_status.redirects);
  const ReplicaNotifier* const lost_notifier = this->notifier;
  if (lost_notifier != nullptr) {
    response["notices"] = lost_notifier->StatusReport();
  }
  return response;
}

}  // namespace sycamorebend
