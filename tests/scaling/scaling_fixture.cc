#include "scaling_fixture.h"

#include <algorithm>

namespace sycamorebend {

namespace {

constexpr std::size_t kGateways = 90;
constexpr int kEnginesPerDomain = 30;
constexpr double kOutputTokens = 54;
constexpr double kOverloadedLateShare = 0.33;
constexpr Duration kNotice = seconds(2);

}  // namespace

ScalingFixture::ScalingFixture() {
  this->rules.min_engines = 1;
  this->rules.max_engines = 60;
  this->rules.startup = seconds(4);
  this->rules.reclaimable_price = 0.18;
  this->rules.domain_prices = {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}};
  for (const char* domain : {"a", "b", "c"}) {
    const EngineGroup group{domain, EngineKind::kOrdinary};
    this->engines[group].serving = kEnginesPerDomain;
    this->desired[group] = kEnginesPerDomain;
  }
  this->scaler = EngineScaler::Create(this->rules);
}

ScalingInput ScalingFixture::Input(double requests) const {
  ScalingInput input;
  input.engines = this->engines;
  if (this->reports) {
    ServiceDemand demand;
    demand.requests_per_s = requests;
    demand.prompt_tokens_per_s = requests * this->prompt_tokens;
    demand.output_tokens_per_s = requests * kOutputTokens;
    const double load = requests * this->prompt_tokens;
    const bool overloaded = load > this->engine_limit * this->All();
    demand.late_per_s =
        requests * (overloaded ? kOverloadedLateShare : this->late_share);
    demand.gateways = kGateways;
    demand.reporting_gateways = this->reporting_gateways;
    demand.oldest_report_age = this->report_age;
    input.demand = demand;
  }
  return input;
}

void ScalingFixture::Run(int seconds_to_run, double requests) {
  for (int i = 0; i < seconds_to_run; ++i) {
    this->Step(requests);
  }
}

void ScalingFixture::Step(double requests) {
  this->now += seconds(1);
  for (auto& [group, counts] : this->engines) {
    if (this->gone_at[group] <= this->now) {
      counts.leaving = 0;
    }
  }
  for (const Starting& started : this->starting) {
    if (started.ready_at <= this->now && !this->engines_crash) {
      this->engines[started.group].serving += started.count;
    }
  }
  this->starting.erase(
      std::remove_if(
          this->starting.begin(), this->starting.end(),
          [this](const Starting& s) { return s.ready_at <= this->now; }),
      this->starting.end());
  this->FollowDesired();
  for (const EngineOrder& order :
       this->scaler->Decide(this->Input(requests), this->now)) {
    this->orders.push_back(order);
    this->Execute(order);
  }
}

void ScalingFixture::Execute(const EngineOrder& order) {
  const EngineGroup group{order.failure_domain, order.kind};
  OrderOutcome result = this->outcome;
  if (this->unavailable.count(group) > 0 &&
      order.count > this->engines[group].serving) {
    result = OrderOutcome::kRejected;
  }
  if (result == OrderOutcome::kAccepted) {
    this->desired[group] = order.count;
    this->FollowDesired();
  }
  this->scaler->OnOutcome(order, result, this->now);
}

void ScalingFixture::FollowDesired() {
  for (const auto& [group, count] : this->desired) {
    EngineCounts& counts = this->engines[group];
    int present = counts.Staying();
    for (const Starting& one : this->starting) {
      present += one.group == group ? one.count : 0;
    }
    if (count > present) {
      this->starting.push_back(
          {this->now + this->rules.startup, group, count - present});
    } else if (count < counts.serving) {
      this->Remove(group, counts.serving - count);
    }
  }
}

void ScalingFixture::Remove(const EngineGroup& group, int count) {
  EngineCounts& counts = this->engines[group];
  counts.leaving += count;
  counts.serving -= count;
  this->gone_at[group] = this->now + kNotice;
}

void ScalingFixture::Reclaim(const std::string& domain) {
  const EngineGroup group{domain, EngineKind::kReclaimable};
  this->Remove(group, this->engines[group].serving);
  this->desired[group] = 0;
}

int ScalingFixture::Serving(EngineKind kind) const {
  int sum = 0;
  for (const auto& [group, counts] : this->engines) {
    sum += group.second == kind ? counts.serving : 0;
  }
  return sum;
}

int ScalingFixture::Serving(const std::string& domain, EngineKind kind) const {
  const auto found = this->engines.find({domain, kind});
  return found == this->engines.end() ? 0 : found->second.serving;
}

int ScalingFixture::All() const {
  return this->Serving(EngineKind::kOrdinary) +
         this->Serving(EngineKind::kReclaimable);
}

}  // namespace sycamorebend
