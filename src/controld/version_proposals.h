// Proposals of configuration versions that are in progress.
#ifndef SYCAMOREBEND_SRC_CONTROLD_VERSION_PROPOSALS_H_
#define SYCAMOREBEND_SRC_CONTROLD_VERSION_PROPOSALS_H_

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <mutex>

#include <json/value.h>

#include "sycamorebend/base.h"

namespace sycamorebend {

// A call that takes long is repeated by its sender, and each proposal writes
// the whole document into the log. Calls for a version that is being proposed
// therefore wait for that proposal. Thread-safe.
class VersionProposals {
 public:
  using Outcome = Result<Json::Value>;

  // Calls `propose` on this thread, unless a proposal of `version` is in
  // progress. Blocks until the proposal has ended. `propose` must not throw.
  // @return the outcome of the proposal.
  Outcome Run(std::uint64_t version, const std::function<Outcome()>& propose);

 private:
  std::mutex mutex;
  std::map<std::uint64_t, std::shared_future<Outcome>> proposals;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_VERSION_PROPOSALS_H_
