#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "scaling/demand_window.h"
#include "scaling/engine_capacity.h"
#include "scaling/fleet_plan.h"
#include "scaling/order_ledger.h"
#include "sycamorebend/scaling.h"

namespace sycamorebend {

std::string_view EngineKindName(EngineKind kind) {
  constexpr std::array<std::string_view, 2> kNames = {"ordinary",
                                                      "reclaimable"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view OrderOutcomeName(OrderOutcome outcome) {
  constexpr std::array<std::string_view, 5> kNames = {
      "accepted", "rejected", "unknown", "not_sent", "limited"};
  return kNames[static_cast<std::size_t>(outcome)];
}

bool operator==(const ScalingRules& a, const ScalingRules& b) {
  return a.min_engines == b.min_engines && a.max_engines == b.max_engines &&
         a.startup == b.startup && a.reclaimable_price == b.reclaimable_price &&
         a.domain_prices == b.domain_prices;
}

namespace internal {
namespace {

constexpr Duration kDecisionInterval = milliseconds(990);

// Reports older than this, or of fewer gateways, say nothing.
constexpr Duration kMaxReportAge = seconds(3);
constexpr double kMinReportingShare = 0.5;
// No engine is removed unless this share of the gateways has reported.
constexpr double kMinReportingShareToReduce = 0.8;
// No engine is removed before the load has been known for this long.
constexpr Duration kMinKnowledge = seconds(20);
// No engine is removed while many announcements are missing: the network may
// have failed, not the engines.
constexpr double kMaxSilentShare = 0.1;
// No engine is removed for this long after targets were missed.
constexpr Duration kMissedHold = seconds(15);
constexpr double kMissedShare = 0.05;
constexpr int kMinSecondsMissed = 2;

// No engine is removed while the work is this much above the steady work.
constexpr double kPeakInProgress = 1.3;

// Utilization of engines at the peak. With random arrivals and hosts of unequal
// speed, the wait for an engine is then still short compared with the work.
constexpr double kPeakUtilization = 0.6;
// The same without the reclaimable engines of one failure domain, which lasts
// for seconds.
constexpr double kReducedUtilization = 0.8;
// Utilization from which present work is too much.
constexpr double kHighUtilization = 0.95;
// Part of the steady work that ordinary engines can do alone if the reclaimable
// ones of several failure domains are lost in succession.
constexpr double kOrdinaryShare = 0.3;
// Margin on the present work below which more ordinary engines are ordered.
constexpr double kPresentMargin = 1.1;

// Engines are removed in steps of this share of their kind at this interval.
constexpr double kReductionShare = 0.1;
constexpr Duration kReductionInterval = seconds(5);
// Smaller surpluses are kept.
constexpr double kKeptSurplusShare = 0.05;
constexpr int kKeptSurplus = 1;

using Counts = std::map<std::string, int>;

int Sum(const Counts& counts) {
  int sum = 0;
  for (const auto& [domain, count] : counts) {
    sum += count;
  }
  return sum;
}

int EnginesFor(double work, double capacity, double utilization) {
  // The subtracted part keeps rounding errors from adding an engine.
  return static_cast<int>(std::ceil(work / (capacity * utilization) - 1e-6));
}

// Limits that the configuration does not check.
ScalingRules Checked(ScalingRules rules) {
  rules.max_engines = std::max(rules.max_engines, 0);
  rules.min_engines = std::clamp(rules.min_engines, 0, rules.max_engines);
  return rules;
}

class Scaler : public EngineScaler {
 public:
  explicit Scaler(ScalingRules rules) : rules(Checked(std::move(rules))) {}

  void SetRules(const ScalingRules& new_rules) override {
    this->rules = Checked(new_rules);
  }

  std::vector<EngineOrder> Decide(const ScalingInput& input,
                                  TimePoint time) override {
    if (this->decided_at && time - *this->decided_at < kDecisionInterval) {
      return {};
    }
    this->decided_at = time;
    this->now = time;
    this->ledger.Update(input.engines, this->rules.startup, time);
    this->Observe(input);
    this->hold_reason = this->FindHoldReason(input);
    return this->Send(this->Targets());
  }

  void OnOutcome(const EngineOrder& order,
                 OrderOutcome outcome,
                 TimePoint time) override {
    this->ledger.OnOutcome({order.failure_domain, order.kind}, order.count,
                           outcome, time);
  }

  ScalingStatus Status() const override {
    ScalingStatus status;
    const double value = this->capacity.Value();
    status.present_engines = this->window.Present(this->now) / value;
    status.steady_engines = this->window.Steady(this->now) / value;
    status.peak_engines = this->window.Peak(this->now) / value;
    status.capacity = value;
    status.hold_reason = this->hold_reason;
    status.groups = this->ledger.Status();
    return status;
  }

 private:
  struct Target {
    int count = 0;
    std::string reason;
  };
  using TargetMap = std::map<EngineGroup, Target>;

  static double ReportingShare(const ServiceDemand& demand) {
    return demand.gateways == 0
               ? 0
               : static_cast<double>(demand.reporting_gateways) /
                     static_cast<double>(demand.gateways);
  }

  static bool IsUsable(const std::optional<ServiceDemand>& demand) {
    return demand && demand->oldest_report_age <= kMaxReportAge &&
           ReportingShare(*demand) >= kMinReportingShare;
  }

  void Observe(const ScalingInput& input) {
    if (!IsUsable(input.demand)) {
      return;
    }
    const ServiceDemand& demand = *input.demand;
    const double share = std::min(1.0, ReportingShare(demand));
    const double work = WorkOf(demand) / share;
    this->window.Add(work, this->now);
    const bool missed = demand.late_per_s + demand.refused_per_s >
                        kMissedShare * demand.requests_per_s;
    this->seconds_missed = missed ? this->seconds_missed + 1 : 0;
    if (this->seconds_missed >= kMinSecondsMissed) {
      this->missed_at = this->now;
    }
    if (share < kMinReportingShareToReduce) {
      return;
    }
    int serving = 0;
    for (const auto& [group, counts] : input.engines) {
      serving += counts.serving;
    }
    this->capacity.Observe(demand, work, serving, this->now);
  }

  // @return why no engine may be removed now, or an empty text.
  std::string FindHoldReason(const ScalingInput& input) const {
    if (!IsUsable(input.demand) ||
        ReportingShare(*input.demand) < kMinReportingShareToReduce) {
      return "reports are missing or old";
    }
    if (this->window.KnownFor(this->now) < kMinKnowledge) {
      return "the load has not been known for long enough";
    }
    int silent = 0;
    int staying = 0;
    for (const auto& [group, counts] : input.engines) {
      silent += counts.silent;
      staying += counts.Staying();
    }
    if (silent > kMaxSilentShare * staying) {
      return "engines are silent";
    }
    if (this->missed_at && this->now - *this->missed_at < kMissedHold) {
      return "targets were missed";
    }
    if (this->window.Present(this->now) >
        kPeakInProgress * this->window.Steady(this->now)) {
      return "a peak is in progress";
    }
    if (this->IsDisturbed()) {
      return "reclaimable engines are leaving or not available";
    }
    return {};
  }

  // @return true if reclaimable engines are being lost or not available.
  bool IsDisturbed() const {
    for (const std::string& domain : this->ledger.Domains()) {
      const EngineGroup group{domain, EngineKind::kReclaimable};
      if (this->ledger.IsLeaving(group) || this->ledger.IsRefused(group) ||
          this->ledger.IsOverdue(group)) {
        return true;
      }
    }
    return false;
  }

  Counts Ordered(EngineKind kind) const {
    Counts counts;
    for (const std::string& domain : this->ledger.Domains()) {
      counts[domain] = this->ledger.Ordered({domain, kind});
    }
    return counts;
  }

  FleetNeed Need() const {
    const double value = this->capacity.Value();
    const double peak = this->window.Peak(this->now);
    FleetNeed need;
    need.engines = EnginesFor(peak, value, kPeakUtilization);
    need.survivors = EnginesFor(peak, value, kReducedUtilization);
    need.ordinary =
        EnginesFor(kOrdinaryShare * this->window.Steady(this->now), value, 1);
    return need;
  }

  // Without knowledge of the load, what was ordered is kept.
  TargetMap Targets() {
    const Counts ordinary = this->Ordered(EngineKind::kOrdinary);
    const Counts reclaimable = this->Ordered(EngineKind::kReclaimable);
    Fleet wanted{ordinary, reclaimable};
    TargetMap targets;
    if (this->window.KnownFor(this->now) > Duration{0}) {
      const FleetNeed need = this->Need();
      const Fleet plan = PlanFleet(this->rules, this->ledger.Domains(), need);
      wanted.reclaimable = this->WantedReclaimable(ordinary, plan, need);
      if (!this->rules.reclaimable_price) {
        for (auto& [domain, count] : wanted.ordinary) {
          count = std::max(count, plan.ordinary.at(domain));
        }
      }
      this->AddForPresentWork(wanted);
      if (wanted.ordinary == ordinary) {
        this->ReduceOrdinary(wanted, plan, need);
      }
      this->LimitReductions(reclaimable, wanted.reclaimable);
    }
    for (auto& [domain, count] : wanted.ordinary) {
      count = std::max(count,
                       this->rules.min_engines - wanted.reclaimable.at(domain));
    }
    const std::string reason = this->Reason();
    for (const auto& [domain, count] : wanted.ordinary) {
      targets[{domain, EngineKind::kOrdinary}] = {count, reason};
    }
    for (const auto& [domain, count] : wanted.reclaimable) {
      targets[{domain, EngineKind::kReclaimable}] = {count, reason};
    }
    return targets;
  }

  std::string Reason() const {
    const double value = this->capacity.Value();
    return fmt::format(
        "work of {:.1f} engines, steady {:.1f}, peak {:.1f}, capacity {:.2f}",
        this->window.Present(this->now) / value,
        this->window.Steady(this->now) / value,
        this->window.Peak(this->now) / value, value);
  }

  // What both the present ordinary engines and the planned ones need beside
  // them: the ordinary ones are reduced only once the others serve.
  Counts WantedReclaimable(const Counts& ordinary,
                           const Fleet& plan,
                           const FleetNeed& need) const {
    Counts wanted = PlanReclaimable(this->rules, ordinary, need).reclaimable;
    for (auto& [domain, count] : wanted) {
      count =
          std::min(std::max(count, plan.reclaimable.at(domain)),
                   std::max(0, this->rules.max_engines - ordinary.at(domain)));
    }
    return wanted;
  }

  // Orders ordinary engines where those that can be relied on are too few for
  // the present work. The reserve for a peak consists of reclaimable engines:
  // an estimate of what a peak needs is no reason for ordinary ones.
  void AddForPresentWork(Fleet& wanted) const {
    Fleet expected;
    for (const auto& [domain, count] : wanted.ordinary) {
      expected.ordinary[domain] =
          this->ledger.Expected({domain, EngineKind::kOrdinary}, count);
    }
    for (const auto& [domain, count] : wanted.reclaimable) {
      expected.reclaimable[domain] =
          this->ledger.Expected({domain, EngineKind::kReclaimable}, count);
    }
    const double value = this->capacity.Value();
    const double work = kPresentMargin * this->window.Present(this->now);
    int missing = EnginesFor(work, value, kHighUtilization) - expected.Total();
    if (!this->IsDisturbed()) {
      missing = std::max(missing,
                         EnginesFor(this->window.Present(this->now), value, 1) -
                             expected.Survivors());
    }
    for (const std::string& domain :
         ByPrice(this->rules, this->ledger.Domains())) {
      const EngineGroup group{domain, EngineKind::kOrdinary};
      if (missing <= 0 || this->ledger.IsOverdue(group)) {
        continue;
      }
      int& ordinary = wanted.ordinary[domain];
      int& reclaimable = wanted.reclaimable[domain];
      const int kept =
          this->ledger.Announced({domain, EngineKind::kReclaimable});
      const int room = this->rules.max_engines - ordinary - kept;
      const int added = std::clamp(missing, 0, std::max(0, room));
      ordinary += added;
      missing -= added;
      reclaimable = std::min(
          reclaimable, std::max(kept, this->rules.max_engines - ordinary));
    }
  }

  // Removes a step of the ordinary engines that are not needed beside the
  // reclaimable ones that serve already.
  void ReduceOrdinary(Fleet& wanted, const Fleet& plan, const FleetNeed& need) {
    const int all = wanted.Ordinary();
    const int surplus = all - plan.Ordinary();
    if (!this->hold_reason.empty() ||
        surplus <= std::max<double>(kKeptSurplus, kKeptSurplusShare * all) ||
        !this->IsReductionDue(EngineKind::kOrdinary)) {
      return;
    }
    int step =
        std::min(surplus, std::max(1, static_cast<int>(kReductionShare * all)));
    Fleet serving;
    for (const std::string& domain : this->ledger.Domains()) {
      serving.ordinary[domain] =
          std::min(wanted.ordinary.at(domain),
                   this->ledger.Settled({domain, EngineKind::kOrdinary}));
      serving.reclaimable[domain] =
          this->ledger.Settled({domain, EngineKind::kReclaimable});
    }
    while (step-- > 0) {
      const std::string domain = this->MostExcess(wanted, plan);
      --serving.ordinary[domain];
      if (domain.empty() || !serving.Meets(need)) {
        break;
      }
      --wanted.ordinary[domain];
      this->reduced_at[EngineKind::kOrdinary] = this->now;
    }
  }

  // @return the failure domain with the most ordinary engines above the plan,
  // the most expensive of several, or an empty text. Reducing all domains
  // alike leaves room for reclaimable engines in all of them.
  std::string MostExcess(const Fleet& wanted, const Fleet& plan) const {
    std::string domain;
    int most = 0;
    for (const std::string& other :
         ByPrice(this->rules, this->ledger.Domains())) {
      const int excess = wanted.ordinary.at(other) - plan.ordinary.at(other);
      if (excess > 0 && excess >= most) {
        domain = other;
        most = excess;
      }
    }
    return domain;
  }

  bool IsReductionDue(EngineKind kind) const {
    const auto reduced = this->reduced_at.find(kind);
    return reduced == this->reduced_at.end() ||
           this->now - reduced->second >= kReductionInterval;
  }

  // Keeps the reclaimable engines that were ordered, except for a step of a
  // lasting surplus.
  void LimitReductions(const Counts& ordered, Counts& wanted) {
    int surplus = 0;
    for (const auto& [domain, count] : ordered) {
      surplus += std::max(0, count - wanted[domain]);
    }
    const int all = Sum(ordered);
    const bool reduce =
        this->hold_reason.empty() &&
        surplus > std::max<double>(kKeptSurplus, kKeptSurplusShare * all) &&
        this->IsReductionDue(EngineKind::kReclaimable);
    int step =
        reduce ? std::max(1, static_cast<int>(kReductionShare * all)) : 0;
    if (reduce) {
      this->reduced_at[EngineKind::kReclaimable] = this->now;
    }
    for (const auto& [domain, count] : ordered) {
      const int lowered = std::clamp(count - wanted[domain], 0, step);
      step -= lowered;
      wanted[domain] = std::max(wanted[domain], count - lowered);
    }
  }

  std::vector<EngineOrder> Send(const TargetMap& targets) {
    std::vector<EngineOrder> orders;
    for (const auto& [group, target] : targets) {
      const std::optional<std::string> reason = this->ledger.Due(
          group, target.count, target.reason, this->hold_reason.empty());
      if (reason) {
        orders.push_back({group.first, group.second, target.count, *reason});
      }
    }
    return orders;
  }

  ScalingRules rules;
  DemandWindow window;
  EngineCapacity capacity;
  OrderLedger ledger;
  std::optional<TimePoint> decided_at;
  TimePoint now;
  int seconds_missed = 0;
  std::optional<TimePoint> missed_at;
  std::map<EngineKind, TimePoint> reduced_at;
  std::string hold_reason = "there is no decision yet";
};

}  // namespace
}  // namespace internal

std::unique_ptr<EngineScaler> EngineScaler::Create(ScalingRules rules) {
  return std::make_unique<internal::Scaler>(std::move(rules));
}

}  // namespace sycamorebend
