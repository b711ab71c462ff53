#include "gateway/lanes.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorebend::gateway {

namespace {

// Time over which rates are averaged: longer than the noise of one gateway's
// few requests a second, shorter than a burst.
constexpr double kAverageSeconds = 2;
constexpr double kTokensWeight = 0.05;
// A prompt that fills this part of a chunk is long.
constexpr double kLongPart = 0.75;
// Time for one token besides the chunk that is read with it.
constexpr double kTokenMs = 5;
// Parts of an engine's slots and time that may be in use on average, so that
// bursts of single requests find room.
constexpr double kSlotUse = 0.6;
constexpr double kPrefillUse = 0.5;
// Part of the pause that is in time which chunks may take up: attention over
// long contexts makes some chunks slower than the model says.
constexpr double kGapUse = 0.8;
// Largest part of the engines that the more urgent kind gets before the other
// when there are too few for both.
constexpr double kUrgentShare = 0.6;
// A change of the share smaller than this part of an engine is noise.
constexpr double kHysteresis = 0.7;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

void DecayingSum::Add(double amount, TimePoint now) {
  this->value =
      this->value * std::exp(-SecondsBetween(this->at, now) / kAverageSeconds) +
      amount;
  this->at = now;
}

double DecayingSum::PerSecond(TimePoint now) const {
  return this->value *
         std::exp(-SecondsBetween(this->at, now) / kAverageSeconds) /
         kAverageSeconds;
}

void Lanes::Advance(RouteLoad& load, TimePoint now) {
  load.busy.Add(load.outstanding * SecondsBetween(load.at, now), now);
  load.at = now;
}

void Lanes::OnSent(const std::string& route,
                   const LaneRequest& request,
                   TimePoint now) {
  const auto [known, added] = this->routes.try_emplace(route);
  RouteLoad& load = known->second;
  if (added) {
    load.uncached_tokens = request.uncached_tokens;
    load.at = now;
  }
  this->Advance(load, now);
  load.gap_target = request.gap_target;
  load.priority = request.priority;
  ++load.outstanding;
  load.uncached_tokens +=
      kTokensWeight * (request.uncached_tokens - load.uncached_tokens);
  load.tokens.Add(request.uncached_tokens, now);
}

void Lanes::OnDone(const std::string& route, TimePoint now) {
  const auto known = this->routes.find(route);
  if (known != this->routes.end()) {
    this->Advance(known->second, now);
    known->second.outstanding = std::max(0, known->second.outstanding - 1);
  }
}

bool Lanes::Long(const RouteLoad& load) const {
  return load.uncached_tokens >= kLongPart * this->model.chunk_tokens;
}

Lanes::Kind Lanes::KindOf(const std::string& route) const {
  const auto known = this->routes.find(route);
  return known != this->routes.end() && this->Long(known->second)
             ? Kind::kLongPrompt
             : Kind::kShortPrompt;
}

bool Lanes::Apart() const {
  const double chunk_ms =
      this->model.chunk_tokens / this->model.tokens_per_ms + kTokenMs;
  const Duration slowest_event = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(this->event_tokens * chunk_ms));
  bool any_long = false;
  bool any_harmed = false;
  for (const auto& [name, load] : this->routes) {
    any_long = any_long || this->Long(load);
    any_harmed =
        any_harmed ||
        (!this->Long(load) && Scale(load.gap_target, kGapUse) < slowest_event);
  }
  return any_long && any_harmed;
}

LaneNeed Lanes::OwnNeed(int slots, TimePoint now) {
  LaneNeed in_use;
  LaneNeed prefill;
  for (auto& [name, load] : this->routes) {
    this->Advance(load, now);
    const bool is_long = this->Long(load);
    (is_long ? in_use.long_prompts : in_use.short_prompts) +=
        load.busy.PerSecond(now) / (slots * kSlotUse);
    (is_long ? prefill.long_prompts : prefill.short_prompts) +=
        load.tokens.PerSecond(now) /
        (this->model.tokens_per_ms * 1000 * kPrefillUse);
  }
  return {std::max(in_use.short_prompts, prefill.short_prompts),
          std::max(in_use.long_prompts, prefill.long_prompts)};
}

double Lanes::IdealShare(double engines, const LaneNeed& need) const {
  const double total = need.short_prompts + need.long_prompts;
  if (total <= engines) {
    return need.short_prompts / total;
  }
  // Not all can be in time: the more urgent kind first.
  int short_priority = std::numeric_limits<int>::max();
  int long_priority = std::numeric_limits<int>::max();
  for (const auto& [name, load] : this->routes) {
    int& priority = this->Long(load) ? long_priority : short_priority;
    priority = std::min(priority, load.priority);
  }
  if (short_priority < long_priority) {
    return std::min(need.short_prompts / engines, kUrgentShare);
  }
  if (long_priority < short_priority) {
    return 1 - std::min(need.long_prompts / engines, kUrgentShare);
  }
  return need.short_prompts / total;
}

std::size_t Lanes::ShortPromptEngines(std::size_t engines,
                                      const LaneNeed& need) {
  if (engines < 2 || need.short_prompts + need.long_prompts <= 0 ||
      !this->Apart()) {
    return 0;
  }
  const auto count = static_cast<double>(engines);
  const double ideal = this->IdealShare(count, need);
  if (this->share == 0 || std::abs(ideal - this->share) * count > kHysteresis) {
    this->share = ideal;
  }
  return std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(this->share * count)), 1,
      engines - 1);
}

}  // namespace sycamorebend::gateway
