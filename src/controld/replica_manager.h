// Keeps the replica set at its intended size without an operator: adds replicas
// that request to join, promotes learners that have caught up, and replaces
// voters that stay unreachable.
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

// RPC method with which a replica without a stored identity requests an ID from
// the leader. Parameters {address}; result {id}.
inline constexpr const char* kReplicaJoinMethod = "replica.join";
// RPC method with which a replica whose state is no longer confirmed asks the
// leader whether it is still in the replica set. Parameters {id, epoch,
// address}; result {member, epoch, known_address}, the last one true if a
// replica at that address is, or was lately, in the set. A replica of another
// deployment fails it with kNotLeader.
inline constexpr const char* kReplicaMemberMethod = "replica.member";

// Decides whether a replica erases its state after a response to
// kReplicaMemberMethod. The address that it has asked may be that of another
// deployment by now.
// @param own_epoch epoch of the replica's deployment; empty if unknown.
// @param has_entries whether its log has any.
// @return true if its own deployment has removed it. If it does not know its
// deployment, as it was removed right after the start: if the other one had it
// as a replica, or if it has nothing that could be lost.
bool ConfirmsRemoval(const Json::Value& response,
                     const std::string& own_epoch,
                     bool has_entries);

struct ReplicaSetTarget {
  // Intended number of voters. 0: the operators manage the replica set.
  int voters = 0;
  // A voter that cannot be reached for this long is replaced, provided that a
  // learner has caught up. Shorter than the time within which a second loss has
  // to be tolerated.
  Duration replace_voter_after = seconds(2);
  // A learner that cannot be reached for this long is removed.
  Duration remove_learner_after = seconds(60);
};

// One change of the replica set.
struct ReplicaChange {
  enum class Kind { kPromote, kRemove };
  Kind kind = Kind::kPromote;
  ReplicaId id = 0;
};

// Chooses the changes of the replica set; starts no threads and does no I/O.
// Used by the leader. Not thread-safe.
class ReplicaSetPlanner {
 public:
  explicit ReplicaSetPlanner(ReplicaSetTarget target) : target(target) {}

  // @return the next change that brings the set closer to its target, or
  // nothing if there is none.
  std::optional<ReplicaChange> Plan(const ReplicatedLog::LogStatus& status,
                                    TimePoint now);

 private:
  Duration UnreachableTime(ReplicaId id, TimePoint now) const;
  void UpdateReachability(const ReplicatedLog::LogStatus& status,
                          TimePoint now);

  const ReplicaSetTarget target;
  // Term in which `last_reachable` was recorded.
  Term term = 0;
  std::map<ReplicaId, TimePoint> last_reachable;
};

class ReplicaManager {
 public:
  // The references must outlive the manager.
  ReplicaManager(ReplicaSetTarget target,
                 ReplicatedLog& log,
                 const Clock& clock);

  // Leader only: adds the replica at `params["address"]` as a learner under a
  // new ID. A member with the same address has lost its disk and is removed
  // first. Blocks until the change is committed.
  Result<Json::Value> Join(const Json::Value& params);

  // Leader only: handles kReplicaMemberMethod.
  Result<Json::Value> CheckMember(const Json::Value& params);

  // On the leader, starts the next change unless one is in progress.
  void Tick();

 private:
  Status Remove(ReplicaId id);

  const ReplicaSetTarget target;
  ReplicatedLog& log;
  const Clock& clock;
  ReplicaSetPlanner planner;
  std::mutex join_mutex;

  // Shared with the callback of a change, which can outlive the manager.
  struct Progress {
    std::mutex mutex;
    bool changing = false;
  };
  const std::shared_ptr<Progress> progress = std::make_shared<Progress>();
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_REPLICA_MANAGER_H_
