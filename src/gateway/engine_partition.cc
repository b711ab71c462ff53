#include "gateway/engine_partition.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorebend::gateway {

namespace {

// Time constant of the decaying sums: longer than the noise of one gateway's
// few requests per second, shorter than a burst.
constexpr double kDecaySeconds = 2;
constexpr double kEwmaWeight = 0.05;
// A prompt that fills at least this fraction of a chunk is long.
constexpr double kLongPromptChunkFraction = 0.75;
// Time of one decode step, without the prefill chunk that runs with it.
constexpr double kDecodeStepMs = 5;
// Average utilization of an engine's slots and prefill throughput to plan for,
// leaving headroom for short bursts.
constexpr double kTargetSlotUtilization = 0.6;
constexpr double kTargetPrefillUtilization = 0.5;
// Fraction of the gap target that prefill chunks may use: attention over long
// contexts makes some chunks slower than PrefillModel predicts.
constexpr double kChunkGapFraction = 0.8;
// Maximum share of the engines that the higher-priority class gets first when
// there are too few engines for both classes.
constexpr double kMaxHighPriorityShare = 0.6;
// The share changes only if it moves by more than this number of engines;
// smaller changes are noise.
constexpr double kShareHysteresisEngines = 0.7;
// Routes with fewer requests have no load.
constexpr double kMinRequestsPerSecond = 0.001;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

std::uint32_t StableHash32(const std::string& text) {
  return static_cast<std::uint32_t>(StableHash64(text));
}

void RouteDemand::Add(const RouteDemand& other, int sign) {
  this->requests_per_s += sign * other.requests_per_s;
  this->tokens_per_s += sign * other.tokens_per_s;
  this->outstanding += sign * other.outstanding;
}

void DecayingSum::Add(double amount, TimePoint now) {
  this->value = this->value * std::exp(-SecondsBetween(this->updated_at, now) /
                                       kDecaySeconds) +
                amount;
  this->updated_at = now;
}

double DecayingSum::PerSecond(TimePoint now) const {
  return this->value *
         std::exp(-SecondsBetween(this->updated_at, now) / kDecaySeconds) /
         kDecaySeconds;
}

void EnginePartition::Advance(RouteLoad& load, TimePoint now) {
  load.request_seconds.Add(
      load.outstanding * SecondsBetween(load.updated_at, now), now);
  load.updated_at = now;
}

EnginePartition::RouteLoad& EnginePartition::Record(const std::string& route,
                                                    const RequestLoad& request,
                                                    TimePoint now) {
  const auto [found, added] = this->routes.try_emplace(route);
  RouteLoad& load = found->second;
  if (added) {
    load.demand.route_hash = StableHash32(route);
    load.prompt_tokens = request.uncached_tokens;
    load.updated_at = now;
  }
  this->Advance(load, now);
  load.gap_target = request.gap_target;
  load.priority = request.priority;
  load.requests.Add(1, now);
  load.tokens.Add(request.uncached_tokens, now);
  return load;
}

void EnginePartition::OnSent(const std::string& route,
                             const RequestLoad& request,
                             TimePoint now) {
  ++this->Record(route, request, now).outstanding;
}

void EnginePartition::OnRefused(const std::string& route,
                                const RequestLoad& request,
                                TimePoint now) {
  RouteLoad& load = this->Record(route, request, now);
  load.request_seconds.Add(load.seconds, now);
}

void EnginePartition::OnDone(const std::string& route,
                             Duration elapsed,
                             TimePoint now) {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return;
  }
  RouteLoad& load = found->second;
  this->Advance(load, now);
  load.outstanding = std::max(0, load.outstanding - 1);
  load.seconds +=
      kEwmaWeight *
      (std::chrono::duration<double>(elapsed).count() - load.seconds);
}

bool EnginePartition::HasLongPrompts(const RouteLoad& load) const {
  return load.prompt_tokens >=
         kLongPromptChunkFraction * this->model.chunk_tokens;
}

EnginePartition::PromptClass EnginePartition::PromptClassOf(
    const std::string& route) const {
  const auto found = this->routes.find(route);
  return found != this->routes.end() && this->HasLongPrompts(found->second)
             ? PromptClass::kLongPrompt
             : PromptClass::kShortPrompt;
}

bool EnginePartition::NeedsPartition() const {
  const double chunk_ms =
      this->model.chunk_tokens / this->model.tokens_per_ms + kDecodeStepMs;
  const Duration slowest_event = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(this->event_tokens * chunk_ms));
  bool any_long = false;
  bool any_gap_exceeded = false;
  for (const auto& [name, load] : this->routes) {
    any_long = any_long || this->HasLongPrompts(load);
    any_gap_exceeded =
        any_gap_exceeded ||
        (!this->HasLongPrompts(load) &&
         Scale(load.gap_target, kChunkGapFraction) < slowest_event);
  }
  return any_long && any_gap_exceeded;
}

std::vector<RouteDemand> EnginePartition::LocalDemand(TimePoint now) {
  std::vector<RouteDemand> demand;
  for (auto& [name, load] : this->routes) {
    this->Advance(load, now);
    const double requests_per_s = load.requests.PerSecond(now);
    if (requests_per_s > kMinRequestsPerSecond || load.outstanding > 0) {
      demand.push_back({load.demand.route_hash, requests_per_s,
                        load.tokens.PerSecond(now),
                        load.request_seconds.PerSecond(now)});
    }
  }
  return demand;
}

EnginePartition::ClassNeeds EnginePartition::Needs(int slots) const {
  ClassNeeds in_use;
  ClassNeeds prefill;
  for (const auto& [name, load] : this->routes) {
    const bool is_long = this->HasLongPrompts(load);
    (is_long ? in_use.long_prompts : in_use.short_prompts) +=
        load.demand.outstanding / (slots * kTargetSlotUtilization);
    (is_long ? prefill.long_prompts : prefill.short_prompts) +=
        load.demand.tokens_per_s /
        (this->model.tokens_per_ms * 1000 * kTargetPrefillUtilization);
  }
  return {std::max(in_use.short_prompts, prefill.short_prompts),
          std::max(in_use.long_prompts, prefill.long_prompts)};
}

double EnginePartition::IdealShortPromptShare(double engines,
                                              const ClassNeeds& needs) const {
  const double total = needs.short_prompts + needs.long_prompts;
  if (total <= engines) {
    return needs.short_prompts / total;
  }
  // Too few engines to meet all targets: serve the higher-priority class first.
  int short_priority = std::numeric_limits<int>::max();
  int long_priority = std::numeric_limits<int>::max();
  for (const auto& [name, load] : this->routes) {
    int& priority = this->HasLongPrompts(load) ? long_priority : short_priority;
    priority = std::min(priority, load.priority);
  }
  if (short_priority < long_priority) {
    return std::min(needs.short_prompts / engines, kMaxHighPriorityShare);
  }
  if (long_priority < short_priority) {
    return 1 - std::min(needs.long_prompts / engines, kMaxHighPriorityShare);
  }
  return needs.short_prompts / total;
}

void EnginePartition::Update(std::size_t engines,
                             int slots,
                             const std::vector<RouteDemand>& demand) {
  for (auto& [name, load] : this->routes) {
    const std::uint32_t hash = load.demand.route_hash;
    load.demand = {};
    load.demand.route_hash = hash;
    for (const RouteDemand& route : demand) {
      if (route.route_hash == hash) {
        load.demand.Add(route);
      }
    }
    if (load.demand.requests_per_s > kMinRequestsPerSecond) {
      load.prompt_tokens =
          load.demand.tokens_per_s / load.demand.requests_per_s;
    }
  }
  const ClassNeeds needs = this->Needs(slots);
  this->short_engines = 0;
  if (engines < 2 || needs.short_prompts + needs.long_prompts <= 0 ||
      !this->NeedsPartition()) {
    return;
  }
  const auto count = static_cast<double>(engines);
  const double ideal = this->IdealShortPromptShare(count, needs);
  if (this->short_prompt_share == 0 ||
      std::abs(ideal - this->short_prompt_share) * count >
          kShareHysteresisEngines) {
    this->short_prompt_share = ideal;
  }
  this->short_engines = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(this->short_prompt_share * count)),
      1, engines - 1);
}

}  // namespace sycamorebend::gateway
