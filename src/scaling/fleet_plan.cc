#include "scaling/fleet_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace sycamorebend::internal {

namespace {

// Numbers of ordinary engines that are compared; bounds the time of a decision.
constexpr int kMaxAlternatives = 200;

int Sum(const std::map<std::string, int>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), 0,
      [](int sum, const auto& count) { return sum + count.second; });
}

double Price(const ScalingRules& rules, const Fleet& fleet) {
  double price = 0;
  for (const auto& [domain, count] : fleet.ordinary) {
    price += count * DomainPrice(rules, domain);
  }
  for (const auto& [domain, count] : fleet.reclaimable) {
    price += count * DomainPrice(rules, domain) *
             rules.reclaimable_price.value_or(1);
  }
  return price;
}

// Distributes `count` ordinary engines: the minimum everywhere, the others in
// the cheapest failure domains.
// @param largest_share of all of them that one domain may have.
std::map<std::string, int> DistributeOrdinary(
    const ScalingRules& rules,
    const std::vector<std::string>& domains,
    int count,
    double largest_share) {
  const int balanced = static_cast<int>(std::ceil(largest_share * count));
  std::map<std::string, int> ordinary;
  for (const std::string& domain : domains) {
    ordinary[domain] = rules.min_engines;
    count -= rules.min_engines;
  }
  for (const int limit :
       {std::min(balanced, rules.max_engines), rules.max_engines}) {
    for (const std::string& domain : domains) {
      const int added =
          std::clamp(count, 0, std::max(0, limit - ordinary[domain]));
      ordinary[domain] += added;
      count -= added;
    }
  }
  return ordinary;
}

// @return largest shares of one failure domain that are compared. Unequal ones
// use cheap domains; equal ones leave most room for reclaimable engines, and
// most engines if those of a domain are lost. None is above one half, so that
// the loss of a domain leaves the other half.
std::vector<double> LargestShares(std::size_t domains) {
  if (domains <= 2) {
    return {1.0 / static_cast<double>(std::max<std::size_t>(domains, 1))};
  }
  const double equal = 1.0 / static_cast<double>(domains);
  return {0.5, (0.5 + equal) / 2, equal};
}

}  // namespace

int Fleet::Ordinary() const {
  return Sum(this->ordinary);
}

int Fleet::Reclaimable() const {
  return Sum(this->reclaimable);
}

int Fleet::Survivors() const {
  int largest = 0;
  for (const auto& [domain, count] : this->reclaimable) {
    largest = std::max(largest, count);
  }
  return this->Total() - largest;
}

bool Fleet::Meets(const FleetNeed& need) const {
  return this->Total() >= need.engines && this->Survivors() >= need.survivors &&
         this->Ordinary() >= need.ordinary;
}

double DomainPrice(const ScalingRules& rules, const std::string& domain) {
  const auto price = rules.domain_prices.find(domain);
  return price == rules.domain_prices.end() ? 1 : price->second;
}

std::vector<std::string> ByPrice(const ScalingRules& rules,
                                 std::vector<std::string> domains) {
  std::stable_sort(domains.begin(), domains.end(),
                   [&rules](const std::string& a, const std::string& b) {
                     return DomainPrice(rules, a) < DomainPrice(rules, b);
                   });
  return domains;
}

Fleet PlanReclaimable(const ScalingRules& rules,
                      const std::map<std::string, int>& ordinary,
                      const FleetNeed& need) {
  Fleet fleet;
  fleet.ordinary = ordinary;
  std::vector<std::string> domains;
  for (const auto& [domain, count] : ordinary) {
    fleet.reclaimable[domain] = 0;
    domains.push_back(domain);
  }
  if (!rules.reclaimable_price) {
    return fleet;
  }
  const auto met = [&] {
    return fleet.Total() >= need.engines && fleet.Survivors() >= need.survivors;
  };
  // The same number everywhere loses least with one failure domain.
  const auto set_each = [&](int each) {
    for (const std::string& domain : domains) {
      fleet.reclaimable[domain] =
          std::clamp(rules.max_engines - fleet.ordinary[domain], 0, each);
    }
  };
  int too_few = -1;
  int enough = rules.max_engines;
  while (enough - too_few > 1) {
    const int middle = too_few + (enough - too_few) / 2;
    set_each(middle);
    (met() ? enough : too_few) = middle;
  }
  set_each(enough);
  if (!met()) {
    return fleet;
  }
  // What is more than needed is removed where it costs most.
  domains = ByPrice(rules, std::move(domains));
  for (auto domain = domains.rbegin(); domain != domains.rend(); ++domain) {
    const int surplus = std::min(fleet.Total() - need.engines,
                                 fleet.Survivors() - need.survivors);
    int& count = fleet.reclaimable[*domain];
    count -= std::min(count, surplus);
  }
  return fleet;
}

Fleet PlanFleet(const ScalingRules& rules,
                const std::vector<std::string>& domains,
                const FleetNeed& need) {
  const std::vector<std::string> by_price = ByPrice(rules, domains);
  const int most = rules.max_engines * static_cast<int>(domains.size());
  const int least = std::min(
      most, std::max(need.ordinary,
                     rules.min_engines * static_cast<int>(domains.size())));
  const int step = 1 + (most - least) / kMaxAlternatives;
  std::optional<Fleet> cheapest;
  for (const double share : LargestShares(domains.size())) {
    for (int count = least; count <= most; count += step) {
      Fleet fleet = PlanReclaimable(
          rules, DistributeOrdinary(rules, by_price, count, share), need);
      if (fleet.Meets(need) &&
          (!cheapest || Price(rules, fleet) < Price(rules, *cheapest))) {
        cheapest = std::move(fleet);
      }
    }
  }
  if (!cheapest) {
    cheapest = PlanReclaimable(
        rules, DistributeOrdinary(rules, by_price, most, 1), need);
  }
  return *cheapest;
}

}  // namespace sycamorebend::internal
