// Identity of this process as a replica of the log. An initial replica derives
// it from the seed addresses, a restarted replica loads it from its data
// directory, and a new replica requests an ID from the leader.
#ifndef SYCAMOREBEND_SRC_CONTROLD_REPLICA_IDENTITY_H_
#define SYCAMOREBEND_SRC_CONTROLD_REPLICA_IDENTITY_H_

#include <unistd.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"

namespace sycamorebend {

struct ReplicaIdentity {
  ReplicaId id = 0;
  // The initial replica set; empty for a replica that joined later. Needed
  // until the log has its first entry.
  std::vector<ReplicaAddress> initial_replicas;
  // Epoch of the replica's deployment; empty until it is known. The state of a
  // replica that was started again is empty at first.
  std::string epoch;
};

// @param seeds addresses of the initial replicas; must be the same set on each
// of them.
// @return the identity of the initial replica at `own_address`, or nothing if
// that address is not a seed.
std::optional<ReplicaIdentity> InitialReplicaIdentity(
    std::vector<std::string> seeds,
    const std::string& own_address);

// @param sync syncs the file or directory of a descriptor; -1 with errno set is
// a failure.
// @return the identity stored in `directory`, nothing if there is none,
// kLogCorrupt, or kStorageFailed if it cannot be opened or synced.
Result<std::optional<ReplicaIdentity>> LoadIdentity(
    const std::string& directory,
    const std::function<int(int file)>& sync = ::fsync);

// Replaces the stored identity durably and atomically.
// @return kStorageFailed naming the file.
Status StoreIdentity(const std::string& directory,
                     const ReplicaIdentity& identity);

// Removes the files in `directory`, for a replica that was removed from the
// replica set. The directory is marked first and durably, so that whatever is
// left after a kill or a loss of power, the old identity is either used with
// its complete state or never again. May be repeated.
// @return kStorageFailed naming the file.
Status EraseReplica(const std::string& directory);

// @return true if the replica of this directory was erased and has no identity
// since. Its process must finish the erasure and join under a new ID: an empty
// log under an ID of the first replica set could start a second one.
// kStorageFailed if this cannot be found out.
Result<bool> WasErased(const std::string& directory);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_REPLICA_IDENTITY_H_
