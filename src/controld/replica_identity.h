// Which replica of the log this process is: a founder of the replica set, a
// replica that was here before, or a new one that has to ask for an ID.
#ifndef SYCAMOREBEND_SRC_CONTROLD_REPLICA_IDENTITY_H_
#define SYCAMOREBEND_SRC_CONTROLD_REPLICA_IDENTITY_H_

#include <optional>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"

namespace sycamorebend {

struct ReplicaIdentity {
  ReplicaId id = 0;
  // The first replica set; empty for a replica that joined later. Needed until
  // the log has its first entry.
  std::vector<ReplicaAddress> founders;
};

// @param seeds addresses of the first replicas, equal at all of them.
// @return the identity of the founder at `own_address`, or nothing if it is not
// a seed.
std::optional<ReplicaIdentity> FounderIdentity(std::vector<std::string> seeds,
                                               const std::string& own_address);

// @return the identity stored in `directory`, nothing if there is none, or
// kLogCorrupt.
Result<std::optional<ReplicaIdentity>> LoadIdentity(
    const std::string& directory);

// Stores an identity durably. @return kStorageFailed naming the file.
Status StoreIdentity(const std::string& directory,
                     const ReplicaIdentity& identity);

// Removes everything in `directory`, for a replica that was removed from the
// replica set and joins again under a new ID.
Status EraseReplica(const std::string& directory);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_REPLICA_IDENTITY_H_
