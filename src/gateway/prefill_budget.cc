#include "gateway/prefill_budget.h"

namespace sycamorebend::gateway {

namespace {

// A prompt is not refused for its own size if its expected queueing time is at
// most this fraction of the target.
constexpr double kNegligibleWaitFraction = 0.15;

}  // namespace

bool QueueMissesTarget(const PrefillEstimate& estimate, Duration target) {
  return estimate.running > 0 &&
         estimate.first_byte > Scale(target, kMaxExpectedTargetFraction) &&
         estimate.first_byte - estimate.prefill >
             Scale(target, kNegligibleWaitFraction);
}

}  // namespace sycamorebend::gateway
