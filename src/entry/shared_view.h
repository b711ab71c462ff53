// The shared state as this daemon applies it.
#ifndef SYCAMOREBEND_SRC_ENTRY_SHARED_VIEW_H_
#define SYCAMOREBEND_SRC_ENTRY_SHARED_VIEW_H_

#include <memory>
#include <mutex>

#include "sycamorebend/feed.h"
#include "sycamorebend/policy.h"

namespace sycamorebend::entry {

// State and the policy that was read from its configuration.
struct SharedSnapshot {
  std::shared_ptr<const SharedState> state;
  std::shared_ptr<const Policy> policy;
};

// Methods may be called from any thread.
class SharedView {
 public:
  // @param lease oldest confirmation by which requests are routed.
  SharedView(Duration lease, bool serve_unconfirmed);

  // Must be called before the others; `follower` must outlive this object.
  void SetFollower(const FeedFollower* follower);

  // Applies a state. A configuration that cannot be read leaves the policy as
  // it is.
  // @return the new snapshot.
  SharedSnapshot Update(std::shared_ptr<const SharedState> state);

  // @return the newest snapshot; both members are null before the first.
  SharedSnapshot Current() const;

  // @return Duration::max() before the first confirmation.
  Duration ConfirmationAge() const;

  // @return kConfigurationUnconfirmed if new requests must be refused.
  Status CheckConfirmed() const;

 private:
  const Duration lease;
  const bool serve_unconfirmed;
  mutable std::mutex mutex;
  const FeedFollower* follower = nullptr;
  SharedSnapshot snapshot;
  // True while refusals are logged already.
  mutable bool unconfirmed_logged = false;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_SHARED_VIEW_H_
