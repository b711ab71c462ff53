#include "scaling/fleet_plan.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend {

using internal::Fleet;
using internal::FleetNeed;
using internal::PlanFleet;

namespace {

ScalingRules Rules() {
  ScalingRules rules;
  rules.min_engines = 1;
  rules.max_engines = 60;
  rules.reclaimable_price = 0.18;
  rules.domain_prices = {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}};
  return rules;
}

}  // namespace

// Guards against plans that meet the need only while nothing is reclaimed.
BOOST_AUTO_TEST_CASE(PlanSurvivesALostDomain) {
  FleetNeed need;
  need.engines = 136;
  need.survivors = 107;
  need.ordinary = 15;
  const Fleet fleet = PlanFleet(Rules(), {"a", "b", "c"}, need);
  BOOST_TEST(fleet.Meets(need));
  // Mostly reclaimable engines: they cost less, although one domain's are
  // spare.
  BOOST_TEST(fleet.Ordinary() <= 30);
  for (const char* domain : {"a", "b", "c"}) {
    BOOST_TEST(fleet.ordinary.at(domain) >= 1);
    BOOST_TEST(fleet.ordinary.at(domain) + fleet.reclaimable.at(domain) <= 60);
  }
}

// Guards against reclaimable engines where there is no second failure domain
// that could replace them.
BOOST_AUTO_TEST_CASE(OneDomainSurvivesWithOrdinaryEngines) {
  FleetNeed need;
  need.engines = 20;
  need.survivors = 16;
  const Fleet fleet = PlanFleet(Rules(), {"a"}, need);
  BOOST_TEST(fleet.Ordinary() == 16);
  BOOST_TEST(fleet.Reclaimable() == 4);
}

// Guards against orders of a kind that is not offered.
BOOST_AUTO_TEST_CASE(NoReclaimableEngines) {
  ScalingRules rules = Rules();
  rules.reclaimable_price.reset();
  FleetNeed need;
  need.engines = 50;
  need.survivors = 40;
  const Fleet fleet = PlanFleet(rules, {"a", "b", "c"}, need);
  BOOST_TEST(fleet.Ordinary() == 50);
  BOOST_TEST(fleet.Reclaimable() == 0);
}

// Guards against exceeding the limits for a need that cannot be met.
BOOST_AUTO_TEST_CASE(NeedAboveTheLimits) {
  FleetNeed need;
  need.engines = 500;
  need.survivors = 400;
  const Fleet fleet = PlanFleet(Rules(), {"a", "b", "c"}, need);
  BOOST_TEST(fleet.Total() == 180);
}

}  // namespace sycamorebend
