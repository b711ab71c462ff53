// Keeps the replica set at its intended size without an operator: admits
// replicas that ask to join, promotes those that have the log, and replaces
// voters that are lost.
#ifndef SYCAMOREBEND_SRC_CONTROLD_REPLICA_MANAGER_H_
#define SYCAMOREBEND_SRC_CONTROLD_REPLICA_MANAGER_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"

namespace sycamorebend {

// RPC method by which a replica with an empty disk asks the leader for an ID.
// Params {address}; answer {id}.
inline constexpr const char* kReplicaJoinMethod = "replica.join";
// RPC method by which a replica that hears no leader asks whether it is still
// in the replica set. Params {id}; answer {member}.
inline constexpr const char* kReplicaMemberMethod = "replica.member";

struct ReplicaSetGoal {
  // Voters when all are well. 0: the operators manage the replica set.
  int voters = 0;
  // A voter that cannot be reached for this long is replaced, provided that
  // another replica has the log. Shorter than the time within which a second
  // loss has to be tolerated.
  Duration replace_after = seconds(2);
  // A replica without a vote that cannot be reached for this long is removed.
  Duration forget_after = seconds(60);
};

// One change of the replica set.
struct ReplicaChange {
  enum class Kind { kPromote, kRemove };
  Kind kind = Kind::kPromote;
  ReplicaId id = 0;
};

// Decides; no threads, no I/O. Called by the leader.
class ReplicaPlanner {
 public:
  explicit ReplicaPlanner(ReplicaSetGoal goal) : goal(goal) {}

  // @return the next change that brings the set closer to its goal.
  std::optional<ReplicaChange> Plan(const ReplicatedLog::LogStatus& status,
                                    TimePoint now);

 private:
  Duration Unreachable(ReplicaId id, TimePoint now) const;
  void NoteReachable(const ReplicatedLog::LogStatus& status, TimePoint now);

  const ReplicaSetGoal goal;
  std::map<ReplicaId, TimePoint> last_reachable;
};

class ReplicaManager {
 public:
  // The references must outlive the manager.
  ReplicaManager(ReplicaSetGoal goal, ReplicatedLog& log, const Clock& clock);

  // Leader: admits the replica at `params["address"]` as a learner under a new
  // ID. A member with the same address has lost its disk and is removed first.
  // Blocks until the change is committed.
  Result<Json::Value> Join(const Json::Value& params);

  // Leader: answers kReplicaMemberMethod.
  Result<Json::Value> Member(const Json::Value& params);

  // Leader: makes the next change if none is under way.
  void Tick();

 private:
  Status Remove(ReplicaId id);

  const ReplicaSetGoal goal;
  ReplicatedLog& log;
  const Clock& clock;
  ReplicaPlanner planner;
  std::mutex join_mutex;

  struct Progress {
    std::mutex mutex;
    bool changing = false;
  };
  const std::shared_ptr<Progress> progress = std::make_shared<Progress>();
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_REPLICA_MANAGER_H_
