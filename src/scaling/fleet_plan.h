// The cheapest numbers of engines that can do given work.
#ifndef SYCAMOREBEND_SRC_SCALING_FLEET_PLAN_H_
#define SYCAMOREBEND_SRC_SCALING_FLEET_PLAN_H_

#include <map>
#include <string>
#include <vector>

#include "sycamorebend/scaling.h"

namespace sycamorebend::internal {

// Numbers of engines that are needed.
struct FleetNeed {
  int engines = 0;
  // Without the reclaimable engines of any one failure domain.
  int survivors = 0;
  int ordinary = 0;
};

// Engines of both kinds, by failure domain.
struct Fleet {
  std::map<std::string, int> ordinary;
  std::map<std::string, int> reclaimable;

  int Ordinary() const;
  int Reclaimable() const;
  int Total() const { return this->Ordinary() + this->Reclaimable(); }
  // @return the engines that remain if the reclaimable ones of one failure
  // domain are lost.
  int Survivors() const;
  bool Meets(const FleetNeed& need) const;
};

// @return the price of an ordinary engine in the failure domain.
double DomainPrice(const ScalingRules& rules, const std::string& domain);

// @return the failure domains, the cheapest first.
std::vector<std::string> ByPrice(const ScalingRules& rules,
                                 std::vector<std::string> domains);

// @return the fleet with these ordinary engines and as few reclaimable engines
// as meet the need, or as many as allowed if none do.
Fleet PlanReclaimable(const ScalingRules& rules,
                      const std::map<std::string, int>& ordinary,
                      const FleetNeed& need);

// @return the cheapest fleet that meets the need, or the largest one if none
// does.
Fleet PlanFleet(const ScalingRules& rules,
                const std::vector<std::string>& domains,
                const FleetNeed& need);

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_SCALING_FLEET_PLAN_H_
