#include "controld/replica_manager.h"

#include <algorithm>
#include <future>
#include <memory>
#include <utility>
#include <vector>

#include "control/field_reader.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using ReplicaStatus = ReplicatedLog::ReplicaStatus;
using LogStatus = ReplicatedLog::LogStatus;

Error NotLeader(const LogStatus& status) {
  return {ResultCode::kNotLeader, status.leader_address};
}

// Calls `start` with a callback and waits until the callback is called.
// @return the status passed to the callback, or kCancelled if the log was
// stopped and dropped it.
template <typename Start>
Status RunChange(Start start) {
  auto promise = std::make_shared<std::promise<Status>>();
  std::future<Status> future = promise->get_future();
  start([promise](Status result) { promise->set_value(std::move(result)); });
  try {
    return future.get();
  } catch (const std::future_error&) {
    return MakeError(ResultCode::kCancelled, "this replica is stopping");
  }
}

}  // namespace

bool ConfirmsRemoval(const Json::Value& response,
                     const std::string& own_epoch,
                     bool has_entries) {
  if (!response.isObject() || response["member"] != Json::Value(false)) {
    return false;
  }
  if (own_epoch.empty()) {
    return !has_entries || response["known_address"] == Json::Value(true);
  }
  // Missing in the response of an earlier release, which may be of any
  // deployment.
  return response["epoch"] == Json::Value(own_epoch);
}

void ReplicaSetPlanner::UpdateReachability(const LogStatus& status,
                                           TimePoint now) {
  // What was seen in an earlier term says nothing about the time since then.
  if (std::exchange(this->term, status.term) != status.term) {
    this->last_reachable.clear();
  }
  std::map<ReplicaId, TimePoint> seen;
  for (const ReplicaStatus& replica : status.replicas) {
    const auto known = this->last_reachable.find(replica.id);
    seen[replica.id] = replica.reachable || known == this->last_reachable.end()
                           ? now
                           : known->second;
  }
  this->last_reachable = std::move(seen);
}

Duration ReplicaSetPlanner::UnreachableTime(ReplicaId id, TimePoint now) const {
  const auto seen = this->last_reachable.find(id);
  return seen == this->last_reachable.end() ? Duration{0} : now - seen->second;
}

std::optional<ReplicaChange> ReplicaSetPlanner::Plan(const LogStatus& status,
                                                     TimePoint now) {
  this->UpdateReachability(status, now);
  int voters = 0;
  const ReplicaStatus* learner = nullptr;
  const ReplicaStatus* surplus_voter = nullptr;
  const ReplicaStatus* lost_voter = nullptr;
  for (const ReplicaStatus& replica : status.replicas) {
    const Duration unreachable = this->UnreachableTime(replica.id, now);
    if (!replica.voter) {
      if (unreachable > this->target.remove_learner_after) {
        return ReplicaChange{ReplicaChange::Kind::kRemove, replica.id};
      }
      if (replica.reachable && replica.caught_up) {
        learner = learner == nullptr ? &replica : learner;
      }
      continue;
    }
    ++voters;
    if (replica.id == status.id) {
      continue;
    }
    surplus_voter = &replica;
    if (unreachable >= this->target.replace_voter_after) {
      lost_voter = &replica;
    }
  }
  if (voters > this->target.voters && surplus_voter != nullptr) {
    const ReplicaStatus* removed_voter =
        lost_voter != nullptr ? lost_voter : surplus_voter;
    return ReplicaChange{ReplicaChange::Kind::kRemove, removed_voter->id};
  }
  if (learner != nullptr &&
      (voters < this->target.voters || lost_voter != nullptr)) {
    return ReplicaChange{ReplicaChange::Kind::kPromote, learner->id};
  }
  return std::nullopt;
}

ReplicaManager::ReplicaManager(ReplicaSetTarget target,
                               ReplicatedLog& log,
                               const Clock& clock)
    : target(target), log(log), clock(clock), planner(target) {}

Status ReplicaManager::Remove(ReplicaId id) {
  return RunChange([&](ReplicatedLog::StatusCallback done) {
    this->log.RemoveReplica(id, std::move(done));
  });
}

Result<Json::Value> ReplicaManager::Join(const Json::Value& params) {
  internal::FieldReader reader(params);
  const std::string address = reader.Name("address");
  if (!IsAddress(address)) {
    reader.Reject("address", "\"IP:port\" with an IPv4 address");
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  std::lock_guard lock(this->join_mutex);
  const LogStatus status = this->log.GetStatus();
  if (!status.is_leader) {
    return NotLeader(status);
  }
  for (const ReplicaStatus& replica : status.replicas) {
    if (replica.address == address && replica.id != status.id) {
      BOOST_OUTCOME_TRY(this->Remove(replica.id));
    }
  }
  const ReplicaId id = this->log.GetStatus().largest_id + 1;
  BOOST_OUTCOME_TRY(RunChange([&](ReplicatedLog::StatusCallback done) {
    this->log.AddReplica(id, address, std::move(done));
  }));
  Json::Value response;
  response["id"] = Json::UInt64(id);
  return response;
}

Result<Json::Value> ReplicaManager::CheckMember(const Json::Value& params) {
  internal::FieldReader reader(params);
  const ReplicaId id = reader.Unsigned("id");
  BOOST_OUTCOME_TRY(reader.Finish());
  // A replica that is reported as removed erases its log. Therefore neither a
  // former leader that does not know yet that it was replaced nor a removal
  // that is not committed may be the reason.
  BOOST_OUTCOME_TRY(RunChange([&](ReplicatedLog::StatusCallback done) {
    this->log.ReadBarrier(std::move(done));
  }));
  const std::vector<ReplicaId> members =
      this->log.GetStatus().committed_members;
  Json::Value response;
  response["member"] =
      std::find(members.begin(), members.end(), id) != members.end();
  return response;
}

void ReplicaManager::Tick() {
  const LogStatus status = this->log.GetStatus();
  if (this->target.voters == 0 || !status.is_leader) {
    return;
  }
  const std::optional<ReplicaChange> change =
      this->planner.Plan(status, this->clock.Now());
  if (!change) {
    return;
  }
  {
    std::lock_guard lock(this->progress->mutex);
    if (std::exchange(this->progress->changing, true)) {
      return;
    }
  }
  const auto done = [progress = this->progress](const Status& result) {
    if (!result) {
      LogEvent(Severity::kInfo, Event::kRpcFailed,
               {{"method", "replica set change"},
                {"message", result.error().message}});
    }
    std::lock_guard lock(progress->mutex);
    progress->changing = false;
  };
  if (change->kind == ReplicaChange::Kind::kPromote) {
    this->log.PromoteReplica(change->id, done);
  } else {
    this->log.RemoveReplica(change->id, done);
  }
}

}  // namespace sycamorebend
