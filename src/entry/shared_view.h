// The shared state and the policy that this daemon applies.
#ifndef SYCAMOREBEND_SRC_ENTRY_SHARED_VIEW_H_
#define SYCAMOREBEND_SRC_ENTRY_SHARED_VIEW_H_

#include <memory>
#include <mutex>

#include "sycamorebend/feed.h"
#include "sycamorebend/policy.h"

namespace sycamorebend::entry {

// A state and the policy that was parsed from its configuration, or from the
// configuration of an earlier state if that failed.
struct SharedSnapshot {
  std::shared_ptr<const SharedState> state;
  std::shared_ptr<const Policy> policy;
};

// Methods may be called from any thread.
class SharedView {
 public:
  // @param lease longest time since the last confirmation of the configuration
  // with which requests are still accepted.
  SharedView(Duration lease, bool serve_unconfirmed);

  // Sets the source of confirmations; without one, nothing is confirmed.
  // `follower` must stay valid until it is replaced; nullptr removes it.
  void SetFollower(const FeedFollower* follower);

  // Applies a state. If its configuration cannot be parsed, the policy stays as
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
  // The current period without confirmation has been logged.
  mutable bool unconfirmed_logged = false;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_SHARED_VIEW_H_
