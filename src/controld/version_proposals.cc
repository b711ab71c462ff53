#include "controld/version_proposals.h"

#include <optional>

namespace sycamorebend {

VersionProposals::Outcome VersionProposals::Run(
    std::uint64_t version,
    const std::function<Outcome()>& propose) {
  std::promise<Outcome> promise;
  std::optional<std::shared_future<Outcome>> in_progress;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->proposals.find(version);
    if (found != this->proposals.end()) {
      in_progress = found->second;
    } else {
      this->proposals[version] = promise.get_future().share();
    }
  }
  if (in_progress) {
    return in_progress->get();
  }
  Outcome outcome = propose();
  {
    std::lock_guard lock(this->mutex);
    this->proposals.erase(version);
  }
  promise.set_value(outcome);
  return outcome;
}

}  // namespace sycamorebend
