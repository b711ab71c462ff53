// What a control replica was told of the present ones, which may have removed
// it while it was frozen. See docs/design/finding-replicas.md.
#ifndef SYCAMOREBEND_SRC_CONTROLD_NOTICED_REPLICAS_H_
#define SYCAMOREBEND_SRC_CONTROLD_NOTICED_REPLICAS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "sycamorebend/feed.h"

namespace sycamorebend {

// Outlives the erasure of a replica, so that it finds its own deployment again.
// Methods may be called from any thread.
class NoticedReplicas {
 public:
  // Sets the epoch of this replica's deployment. Notices of others are ignored
  // from now on.
  void SetEpoch(const std::string& epoch);
  // @return the epoch of this replica's deployment; empty if unknown.
  std::string Epoch() const;

  // Keeps `notice` unless it is of another deployment or older than the one
  // that is kept.
  // @return whether it is kept.
  bool Accept(const ReplicaNotice& notice);

  // @return the addresses of the newest notice; none if a state of this
  // deployment of `known_version` is newer.
  std::vector<std::string> Addresses(std::uint64_t known_version) const;

 private:
  mutable std::mutex mutex;
  std::string own_epoch;
  ReplicaNotice newest;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_NOTICED_REPLICAS_H_
