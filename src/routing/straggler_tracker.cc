#include "routing/straggler_tracker.h"

#include <algorithm>

namespace sycamorebend::internal {

namespace {

// A full batch needs up to twice the time per token of a small one, so a
// smaller ratio does not indicate a straggler.
constexpr double kSlowRatio = 2.0;
// Lower than kSlowRatio, so that a server does not alternate between slow and
// recovered.
constexpr double kRecoveredRatio = 1.6;
constexpr double kMaxRatio = 20;
// Divisor of the exponential moving average of ratios.
constexpr double kSmoothing = 4;
constexpr seconds kProbeInterval(2);
constexpr seconds kUrgentProbeInterval(10);

}  // namespace

void StragglerTracker::AddSample(ServerIndex server,
                                 double ratio,
                                 TimePoint now) {
  State& state = this->states[server];
  state.ratio += (std::min(ratio, kMaxRatio) - state.ratio) / kSmoothing;
  const auto found =
      std::find(this->slow_servers.begin(), this->slow_servers.end(), server);
  if (found == this->slow_servers.end() && state.ratio > kSlowRatio) {
    this->slow_servers.push_back(server);
    state.probed_at = now;
  } else if (found != this->slow_servers.end() &&
             state.ratio < kRecoveredRatio) {
    this->slow_servers.erase(found);
  }
}

void StragglerTracker::Forget(ServerIndex server) {
  this->states.erase(server);
  this->slow_servers.erase(
      std::remove(this->slow_servers.begin(), this->slow_servers.end(), server),
      this->slow_servers.end());
}

float StragglerTracker::Slowness(ServerIndex server) const {
  if (std::find(this->slow_servers.begin(), this->slow_servers.end(), server) ==
      this->slow_servers.end()) {
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
