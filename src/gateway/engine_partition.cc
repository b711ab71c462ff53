#include "gateway/engine_partition.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace sycamorebend::gateway {

namespace {

// Time constant of the decaying sums: longer than the noise of one gateway's
// few requests per second, shorter than a burst.
constexpr double kDecaySeconds = 2;
constexpr double kEwmaWeight = 0.05;
// Time of a step that decodes about half of an engine's slots and, now and
// then, prefills a chunk; used until requests have ended.
constexpr double kHealthyStepSeconds = 0.007;
constexpr double kMinDone = 10;
// A rate is not extrapolated from less time than this.
constexpr double kMinObservedSeconds = 0.5;
// A prompt that fills at least this fraction of a chunk is long.
constexpr double kLongPromptChunkFraction = 0.75;
// Time of one decode step, without the prefill chunk that runs with it.
constexpr double kDecodeStepMs = 5;
// Average utilization of an engine's slots and prefill throughput to plan for,
// leaving headroom for short bursts.
constexpr double kTargetSlotUtilization = 0.6;
constexpr double kTargetPrefillUtilization = 0.5;
constexpr double kSensitivePrefillUtilization = 0.35;
// Demand as a fraction of the engines below which an overload has ended.
constexpr double kOverloadEnd = 0.7;
// Fraction of the gap target that prefill chunks may use: attention over long
// contexts makes some chunks slower than PrefillModel predicts.
constexpr double kChunkGapFraction = 0.8;
// Maximum share of the engines left that groups of one priority get before
// those of lower priorities when there are too few engines.
constexpr double kMaxPriorityShare = 0.6;
// A range ends elsewhere only if its end moves by more than this number of
// engines; smaller changes are noise.
constexpr double kHysteresisEngines = 0.7;
constexpr double kHysteresisFraction = 0.15;
// A prompt that is prefilled for longer than this fraction of another route's
// target makes requests of that route late that arrive meanwhile.
constexpr double kBlockedTargetFraction = 0.3;
// Routes with fewer requests have no load.
constexpr double kMinRequestsPerSecond = 0.001;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

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
    load.begun_at = now;
    load.asked_seconds = request.output_tokens * kHealthyStepSeconds;
  }
  this->Advance(load, now);
  load.limits = request;
  load.asked_seconds +=
      kEwmaWeight *
      (request.output_tokens * kHealthyStepSeconds - load.asked_seconds);
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
  ++load.done;
  load.seconds +=
      (this->plans_for_arrivals ? std::max(kEwmaWeight, 1 / load.done)
                                : kEwmaWeight) *
      (std::chrono::duration<double>(elapsed).count() - load.seconds);
}

bool RouteEngines::Delays(std::size_t index) const {
  return std::any_of(
      this->delayed.begin(), this->delayed.end(),
      [index](const EngineRange& range) { return range.Contains(index); });
}

bool EnginePartition::HasLongPrompts(const RouteLoad& load) const {
  return load.prompt_tokens >=
         kLongPromptChunkFraction * this->model.chunk_tokens;
}

bool EnginePartition::Delays(const RouteLoad& heavy,
                             const RouteLoad& load) const {
  const double blocked_ms = heavy.prompt_tokens / this->model.tokens_per_ms;
  if (this->overloaded &&
      blocked_ms > kBlockedTargetFraction * ToMs(load.limits.target)) {
    return true;
  }
  const double chunk_ms =
      this->model.chunk_tokens / this->model.tokens_per_ms + kDecodeStepMs;
  return this->HasLongPrompts(heavy) && !this->HasLongPrompts(load) &&
         this->event_tokens * chunk_ms >
             kChunkGapFraction * ToMs(load.limits.gap_target);
}

bool EnginePartition::CanShare(const Group& group,
                               const RouteLoad& load) const {
  return std::none_of(
      group.routes.begin(), group.routes.end(), [&](const RouteLoad* other) {
        return this->Delays(load, *other) || this->Delays(*other, load);
      });
}

RouteDemand EnginePartition::DemandOf(const RouteLoad& load,
                                      TimePoint now) const {
  RouteDemand demand{load.demand.route_hash, load.requests.PerSecond(now),
                     load.tokens.PerSecond(now),
                     load.request_seconds.PerSecond(now)};
  if (!this->plans_for_arrivals) {
    return demand;
  }
  // The sums have covered only a part of their time since the first request.
  const double covered =
      1 - std::exp(-std::max(kMinObservedSeconds,
                             SecondsBetween(load.begun_at, now)) /
                   kDecaySeconds);
  demand.requests_per_s /= covered;
  demand.tokens_per_s /= covered;
  // The first requests to end are the shortest.
  const double seconds = load.done < kMinDone
                             ? std::max(load.asked_seconds, load.seconds)
                             : load.seconds;
  demand.outstanding =
      std::max(demand.outstanding, demand.requests_per_s * seconds);
  return demand;
}

std::vector<RouteDemand> EnginePartition::LocalDemand(TimePoint now) {
  std::vector<RouteDemand> demand;
  for (auto& [name, load] : this->routes) {
    this->Advance(load, now);
    const RouteDemand own = this->DemandOf(load, now);
    if (own.requests_per_s > kMinRequestsPerSecond || load.outstanding > 0) {
      demand.push_back(own);
    }
  }
  return demand;
}

double EnginePartition::Need(const Group& group, int slots) const {
  double in_use = 0;
  double prefill = 0;
  for (const RouteLoad* load : group.routes) {
    in_use += load->demand.outstanding / (slots * kTargetSlotUtilization);
    prefill += load->demand.tokens_per_s /
               (this->model.tokens_per_ms * 1000 *
                (this->HasLongPrompts(*load) ? kTargetPrefillUtilization
                                             : kSensitivePrefillUtilization));
  }
  return std::max(in_use, prefill);
}

std::vector<EnginePartition::Group> EnginePartition::MakeGroups(int slots) {
  std::vector<RouteLoad*> order;
  for (auto& [name, load] : this->routes) {
    load.group = 0;
    if (load.demand.requests_per_s > kMinRequestsPerSecond ||
        load.demand.outstanding > 0) {
      order.push_back(&load);
    }
  }
  // The targets of routes rarely change, so neither does the order.
  std::stable_sort(order.begin(), order.end(),
                   [](const RouteLoad* a, const RouteLoad* b) {
                     return std::tie(a->limits.target, a->limits.gap_target) <
                            std::tie(b->limits.target, b->limits.gap_target);
                   });
  std::vector<Group> groups;
  for (RouteLoad* load : order) {
    if (groups.empty() || !this->CanShare(groups.back(), *load)) {
      groups.emplace_back();
      groups.back().priority = load->limits.priority;
    }
    Group& group = groups.back();
    group.routes.push_back(load);
    group.priority = std::min(group.priority, load->limits.priority);
    load->group = groups.size() - 1;
  }
  for (Group& group : groups) {
    group.need = this->Need(group, slots);
  }
  return groups;
}

void EnginePartition::Update(std::size_t engines,
                             int slots,
                             const std::vector<RouteDemand>& demand) {
  this->engine_count = engines;
  for (auto& [name, load] : this->routes) {
    RouteDemand total;
    total.route_hash = load.demand.route_hash;
    for (const RouteDemand& route : demand) {
      if (route.route_hash == total.route_hash) {
        total.Add(route);
      }
    }
    load.demand = total;
    if (total.requests_per_s > kMinRequestsPerSecond) {
      load.prompt_tokens = total.tokens_per_s / total.requests_per_s;
    }
  }
  double need = 0;
  for (const Group& group : this->MakeGroups(slots)) {
    need += group.need;
  }
  this->overloaded = need > static_cast<double>(engines) *
                                (this->overloaded ? kOverloadEnd : 1.0);
  const std::vector<Group> groups = this->MakeGroups(slots);
  if (groups.size() < 2 || engines < groups.size()) {
    this->ends.clear();
    return;
  }
  this->AssignEngines(engines, groups);
}

std::vector<double> EnginePartition::ShareEngines(
    const std::vector<Group>& groups,
    double engines) {
  double total = 0;
  std::map<int, double> need_by_priority;
  for (const Group& group : groups) {
    total += group.need;
    need_by_priority[group.priority] += group.need;
  }
  // Engines for all groups of one priority, which share them by need. With
  // enough engines for all, every group gets the same multiple of its need.
  std::map<int, double> engines_by_priority;
  double left = engines;
  for (const auto& [priority, need] : need_by_priority) {
    const bool last = priority == need_by_priority.rbegin()->first;
    const double granted = total <= engines ? engines * need / total
                           : last           ? left
                                  : std::min(need, left * kMaxPriorityShare);
    engines_by_priority[priority] = granted;
    left -= granted;
  }
  std::vector<double> shares;
  shares.reserve(groups.size());
  for (const Group& group : groups) {
    shares.push_back(engines_by_priority[group.priority] * group.need /
                     need_by_priority[group.priority]);
  }
  return shares;
}

void EnginePartition::AssignEngines(std::size_t engines,
                                    const std::vector<Group>& groups) {
  const std::vector<double> shares =
      ShareEngines(groups, static_cast<double>(engines));
  if (this->ends.size() != groups.size()) {
    this->ends.assign(groups.size(), 0);
  }
  double ideal_end = 0;
  std::size_t begin = 0;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    ideal_end += shares[i];
    std::size_t& end = this->ends[i];
    if (std::abs(ideal_end - static_cast<double>(end)) >
        std::max(kHysteresisEngines, kHysteresisFraction * shares[i])) {
      end = static_cast<std::size_t>(std::lround(ideal_end));
    }
    // Each group keeps at least one engine.
    const std::size_t groups_after = groups.size() - 1 - i;
    end = std::clamp(end, begin + 1, engines - groups_after);
    begin = end;
  }
  this->ends.back() = engines;
}

RouteEngines EnginePartition::EnginesOf(const std::string& route) const {
  RouteEngines result;
  result.own = {0, this->engine_count};
  const auto found = this->routes.find(route);
  if (this->ends.empty() || found == this->routes.end()) {
    return result;
  }
  const RouteLoad& own = found->second;
  const auto range = [this](std::size_t group) {
    return EngineRange{group == 0 ? 0 : this->ends[group - 1],
                       this->ends[group]};
  };
  result.own = range(own.group);
  std::set<std::size_t> delayed;
  for (const auto& [name, load] : this->routes) {
    if (load.group != own.group && load.demand.outstanding > 0 &&
        this->Delays(own, load)) {
      delayed.insert(load.group);
    }
  }
  for (const std::size_t group : delayed) {
    result.delayed.push_back(range(group));
  }
  return result;
}

}  // namespace sycamorebend::gateway
