#include "gateway/lanes.h"

#include <algorithm>
#include <cmath>

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
                   Duration gap_target,
                   int uncached_tokens,
                   TimePoint now) {
  const auto [known, added] = this->routes.try_emplace(route);
  RouteLoad& load = known->second;
  if (added) {
    load.uncached_tokens = uncached_tokens;
    load.at = now;
  }
  this->Advance(load, now);
  load.gap_target = gap_target;
  ++load.outstanding;
  load.uncached_tokens +=
      kTokensWeight * (uncached_tokens - load.uncached_tokens);
  load.tokens.Add(uncached_tokens, now);
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
    any_harmed = any_harmed || (!this->Long(load) &&
                                load.gap_target.count() * kGapUse <
                                    static_cast<double>(slowest_event.count()));
  }
  return any_long && any_harmed;
}

std::size_t Lanes::ShortPromptEngines(std::size_t engines,
                                      int slots,
                                      int gateways,
                                      TimePoint now) {
  if (engines < 2 || !this->Apart()) {
    return 0;
  }
  double need_short = 0;
  double need_long = 0;
  for (auto& [name, load] : this->routes) {
    this->Advance(load, now);
    const double in_use = load.busy.PerSecond(now) / (slots * kSlotUse);
    const double prefill = load.tokens.PerSecond(now) /
                           (this->model.tokens_per_ms * 1000 * kPrefillUse);
    (this->Long(load) ? need_long : need_short) +=
        gateways * (in_use + prefill);
  }
  if (need_short + need_long <= 0) {
    return 0;
  }
  const double ideal = need_short / (need_short + need_long);
  const auto count = static_cast<double>(engines);
  if (this->share == 0 || std::abs(ideal - this->share) * count > kHysteresis) {
    this->share = ideal;
  }
  return std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(this->share * count)), 1,
      engines - 1);
}

}  // namespace sycamorebend::gateway
