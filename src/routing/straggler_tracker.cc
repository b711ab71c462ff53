#include "routing/straggler_tracker.h"

#include <algorithm>

namespace sycamorebend::internal {

namespace {

// A full batch is up to twice as slow as a small one, so a smaller ratio does
// not show a straggler.
constexpr double kSlowRatio = 2.0;
// Once slow, a server must come closer to its peers to count as recovered.
constexpr double kRecoveredRatio = 1.6;
constexpr double kMaxRatio = 20;
constexpr double kMemory = 4;
constexpr seconds kProbeInterval(2);
constexpr seconds kUrgentProbeInterval(10);

}  // namespace

void StragglerTracker::Add(ServerIndex server, double ratio, TimePoint now) {
  State& state = this->states[server];
  state.ratio += (std::min(ratio, kMaxRatio) - state.ratio) / kMemory;
  const auto found = std::find(this->slow.begin(), this->slow.end(), server);
  if (found == this->slow.end() && state.ratio > kSlowRatio) {
    this->slow.push_back(server);
    state.probed_at = now;
  } else if (found != this->slow.end() && state.ratio < kRecoveredRatio) {
    this->slow.erase(found);
  }
}

void StragglerTracker::Forget(ServerIndex server) {
  this->states.erase(server);
  this->slow.erase(std::remove(this->slow.begin(), this->slow.end(), server),
                   this->slow.end());
}

float StragglerTracker::Slowness(ServerIndex server) const {
  if (std::find(this->slow.begin(), this->slow.end(), server) ==
      this->slow.end()) {
    return 1;
  }
  return static_cast<float>(this->states.at(server).ratio);
}

bool StragglerTracker::ProbeDue(ServerIndex server,
                                bool urgent,
                                TimePoint now) const {
  const auto found = this->states.find(server);
  return found != this->states.end() &&
         now - found->second.probed_at >=
             (urgent ? kUrgentProbeInterval : kProbeInterval);
}

void StragglerTracker::OnProbe(ServerIndex server, TimePoint now) {
  this->states[server].probed_at = now;
}

}  // namespace sycamorebend::internal
