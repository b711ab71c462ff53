#include "controld/noticed_replicas.h"

namespace sycamorebend {

void NoticedReplicas::SetEpoch(const std::string& epoch) {
  std::lock_guard lock(this->mutex);
  this->own_epoch = epoch;
  if (this->newest.epoch != epoch) {
    this->newest = {};
  }
}

std::string NoticedReplicas::Epoch() const {
  std::lock_guard lock(this->mutex);
  return this->own_epoch;
}

bool NoticedReplicas::Accept(const ReplicaNotice& notice) {
  std::lock_guard lock(this->mutex);
  const bool own = this->own_epoch.empty() || notice.epoch == this->own_epoch;
  const bool older = notice.epoch == this->newest.epoch &&
                     notice.version < this->newest.version;
  if (!own || older) {
    return false;
  }
  this->newest = notice;
  return true;
}

std::vector<std::string> NoticedReplicas::Addresses(
    std::uint64_t known_version) const {
  std::lock_guard lock(this->mutex);
  return known_version > this->newest.version ? std::vector<std::string>()
                                              : this->newest.replicas;
}

}  // namespace sycamorebend
