// Decides whether an engine may be given the prefill of one more prompt. No
// threads, no I/O.
#ifndef SYCAMOREBEND_SRC_GATEWAY_PREFILL_BUDGET_H_
#define SYCAMOREBEND_SRC_GATEWAY_PREFILL_BUDGET_H_

#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

// What is expected of a prompt at the engine that suits it best.
struct PrefillEstimate {
  Duration first_byte{0};
  Duration prefill{0};  // Part of it that is prefill of the prompt itself.
  int running = 0;      // Requests at the engine.
};

// A generation is refused if its first event is expected later than this
// fraction of the target. A longer queue does not increase the prefill
// throughput of the engines; if the estimates are off by a quarter, it makes
// all requests behind it late.
inline constexpr double kMaxExpectedTargetFraction = 0.8;

// @return true if a prompt would miss its target because of the work that the
// engine already has.
bool QueueMissesTarget(const PrefillEstimate& estimate, Duration target);

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_PREFILL_BUDGET_H_
