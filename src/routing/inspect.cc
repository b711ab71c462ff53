// Explanations and statistics.
#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

DecisionTrace SchedulerImpl::Explain(const RequestInfo& info,
                                     TimePoint now) const {
  DecisionTrace trace;
  const std::size_t index = this->FindClass(info);
  if (index == this->policy->classes.size()) {
    trace.reason = "no class matches";
    return trace;
  }
  Request request;
  request.info = info;
  request.class_index = index;
  request.tier = this->classes[index].policy.tier;
  return this->Trace(request, kNoServer, "");
}

SchedulerStats SchedulerImpl::GetStats() const {
  SchedulerStats stats;
  for (const ClassState& one : this->classes) {
    stats.classes.push_back(one.stats);
    stats.classes.back().queued = static_cast<int>(one.queue.Size());
  }
  for (const auto& [id, request] : this->requests) {
    if (!request->queued) {
      ++stats.classes[request->class_index].in_flight;
    }
  }
  return stats;
}

}  // namespace sycamorebend::internal
