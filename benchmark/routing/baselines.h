// Baseline schedulers for comparison: a load-balancing proxy without admission
// control.
#ifndef BENCHMARK_ROUTING_BASELINES_H_
#define BENCHMARK_ROUTING_BASELINES_H_

#include <memory>
#include <string>
#include <vector>

#include "sycamorebend/routing.h"

namespace sycamorebend::benchmark {

enum class BaselineKind : int {
  kRandom = 0,
  kRoundRobin = 1,
  kLeastReported = 2,
  kTwoChoices = 3,
};

// Forwards each request immediately on arrival to an accepting server chosen by
// `kind`. All requests have the same priority, so servers run them first in,
// first out. Requests are cancelled at the deadline of their class. Except for
// orders, an attempt that fails before the first token is retried once, and a
// stalled stream is resumed once at the current offset.
std::unique_ptr<Scheduler> CreateBaseline(BaselineKind kind,
                                          const SchedulerOptions& options);

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_BASELINES_H_
