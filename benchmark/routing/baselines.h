// Schedulers to compare with: a usual proxy with plain FIFO admission.
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

// Every request is forwarded when it arrives, to a server chosen by `kind`
// among the accepting ones, all with the same priority, so that each server
// serves first in, first out. At the deadline of the class the request is
// cancelled. A failed attempt is tried once more before the first token, except
// for orders; a silent connection is resumed at the offset once.
std::unique_ptr<Scheduler> CreateBaseline(BaselineKind kind,
                                          const SchedulerOptions& options);

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_BASELINES_H_
