// Explanation of decisions, and statistics.
#include <algorithm>

#include "routing/scheduler_impl.h"

namespace sycamorebend::internal {

namespace {

constexpr std::size_t kMaxCandidates = 16;

const char* Rejection(const ServerLoad& load, Tier tier) {
  if (!load.accepting) {
    return "not accepting";
  }
  return tier > 0 && load.available_slots[tier] <= 0 ? "no free slot" : "";
}

}  // namespace

DecisionTrace SchedulerImpl::Explain(const RequestInfo& info,
                                     TimePoint now) const {
  DecisionTrace trace;
  const std::size_t index = this->FindClass(info);
  if (index == this->policy->classes.size()) {
    trace.reason = "no class matches the labels";
    return trace;
  }
  const ClassState& class_state = this->classes[index];
  const Tier tier = class_state.policy.tier;
  trace.class_name = class_state.policy.name;
  trace.selector = class_state.policy.servers.Text();
  const PrefixIndex::Match match = this->prefixes.Find(info.prefix_hashes);
  for (const ServerIndex server :
       this->servers.PoolAt(class_state.pool).members) {
    const ServerLoad& load = this->servers.LoadAt(server);
    trace.candidates.push_back({this->servers.At(server).state.server_id,
                                this->Score(tier, load),
                                Rejection(load, tier)});
  }
  std::stable_sort(trace.candidates.begin(), trace.candidates.end(),
                   [](const auto& a, const auto& b) {
                     return a.rejection.empty() != b.rejection.empty()
                                ? a.rejection.empty()
                                : a.score < b.score;
                   });
  if (this->IsQuarantined(info, now)) {
    trace.reason = "the request is quarantined";
  } else if (trace.candidates.empty()) {
    trace.reason = "no server matches the class";
  } else if (!trace.candidates.front().rejection.empty()) {
    trace.reason = "no server can run the request now";
  } else {
    trace.reason = match.servers != nullptr && !match.servers->empty()
                       ? "lowest score, cached prefix preferred"
                       : "lowest score";
  }
  if (trace.candidates.size() > kMaxCandidates) {
    trace.candidates.resize(kMaxCandidates);
  }
  return trace;
}

SchedulerStats SchedulerImpl::GetStats() const {
  SchedulerStats stats;
  for (const ClassState& class_state : this->classes) {
    stats.classes.push_back(class_state.stats);
    stats.classes.back().queued =
        static_cast<int>(class_state.on_time.Size() + class_state.late.Size());
  }
  for (const auto& [id, request] : this->requests) {
    if (!request->queued) {
      ++stats.classes[request->class_index].in_flight;
    }
  }
  return stats;
}

}  // namespace sycamorebend::internal
