#include "scaling/engine_capacity.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace sycamorebend::internal {

namespace {

// Cautious starting capacity of an engine: half of what an engine of the
// reference deployments reads (38 to 52 prompt tokens per ms) without its
// cache, and the output of its slots at three times its shortest step.
constexpr double kPromptTokensPerS = 20000;
constexpr double kOutputTokensPerS = 4000;

// Bounds of the learned capacity.
constexpr double kMinCapacity = 0.25;
constexpr double kMaxCapacity = 8;

// Shares of requests that are late or refused. Some are late for other
// reasons, such as slow hosts or lost engines.
constexpr double kWellMetShare = 0.01;
constexpr double kMetShare = 0.03;
constexpr double kMissedShare = 0.05;
// Mean time to the first byte, as a share of its target, above which engines
// already have queues although few responses are late.
constexpr double kWellMetFirstByte = 0.5;
// Fewer requests than this in a second say nothing.
constexpr double kMinRequests = 20;

// How much more than a load that it served an engine can serve. Together with
// the planned utilization of 0.6, a burst that was served well reduces the
// fleet by 7%, which the next burst confirms or not.
constexpr double kWellMetFactor = 1.8;
constexpr double kMetFactor = 1.3;
// Largest rise in one second, up to the load that was served and beyond it.
// Late responses are known a second or two after their requests.
constexpr double kServedRiseFactor = 1.25;
constexpr double kRiseFactor = 1.1;
constexpr int kMinSecondsMet = 3;

// Late responses of engines below this utilization have another cause. Lower
// than the planned utilization at the peak (0.6), higher than in calm (0.24).
constexpr double kMinMissedUtilization = 0.4;
constexpr int kMinSecondsMissed = 2;
constexpr double kCutFactor = 0.9;
// A load at which targets were missed is not attempted for this long.
constexpr Duration kMissedMemory = seconds(120);
constexpr double kBelowMissed = 0.95;

// At the start of a service all caches are cold, which says nothing about the
// capacity afterwards.
constexpr Duration kWarmUp = seconds(15);
constexpr Duration kSettleTime = seconds(3);
constexpr double kSettledChange = 0.1;

}  // namespace

double WorkOf(const ServiceDemand& demand) {
  return demand.prompt_tokens_per_s / kPromptTokensPerS +
         demand.output_tokens_per_s / kOutputTokensPerS;
}

bool EngineCapacity::IsSettling(int serving, TimePoint now) {
  const int change = std::abs(serving - this->last_serving);
  if (change > kSettledChange * this->last_serving) {
    this->changed_at = now;
    this->last_serving = serving;
  } else if (now - this->changed_at >= kSettleTime) {
    this->last_serving = serving;
  }
  return now - this->changed_at < kSettleTime;
}

void EngineCapacity::Observe(const ServiceDemand& demand,
                             double work,
                             int serving,
                             TimePoint now) {
  const bool settling = this->IsSettling(serving, now);
  if (!this->first_work && demand.requests_per_s >= kMinRequests) {
    this->first_work = now;
  }
  const bool warm = this->first_work && now - *this->first_work >= kWarmUp;
  if (settling || !warm || serving == 0 ||
      demand.requests_per_s < kMinRequests) {
    this->seconds_met = 0;
    this->seconds_missed = 0;
    return;
  }
  if (this->missed_load && now - this->missed_at > kMissedMemory) {
    this->missed_load.reset();
  }
  const double load = work / serving;
  const double share =
      (demand.late_per_s + demand.refused_per_s) / demand.requests_per_s;
  this->seconds_met = share <= kMetShare ? this->seconds_met + 1 : 0;
  this->seconds_missed = share >= kMissedShare ? this->seconds_missed + 1 : 0;
  if (this->seconds_met >= kMinSecondsMet) {
    const bool well_met = share <= kWellMetShare &&
                          demand.first_byte_of_target <= kWellMetFirstByte;
    this->ObserveMet(load, well_met ? kWellMetFactor : kMetFactor);
  } else if (this->seconds_missed >= kMinSecondsMissed) {
    this->ObserveMissed(load, now);
  }
}

void EngineCapacity::ObserveMet(double load, double factor) {
  double reachable = factor * load;
  if (this->missed_load) {
    reachable = std::min(reachable, kBelowMissed * *this->missed_load);
  }
  const double served = std::min(load, kServedRiseFactor * this->value);
  reachable = std::min(reachable, kRiseFactor * this->value);
  this->value = std::clamp(std::max(served, reachable), this->value,
                           std::max(this->value, kMaxCapacity));
}

void EngineCapacity::ObserveMissed(double load, TimePoint now) {
  if (load < kMinMissedUtilization * this->value) {
    return;
  }
  this->seconds_missed = 0;
  this->missed_load =
      this->missed_load ? std::min(*this->missed_load, load) : load;
  this->missed_at = now;
  this->value = std::max(kMinCapacity, kCutFactor * this->value);
}

}  // namespace sycamorebend::internal
