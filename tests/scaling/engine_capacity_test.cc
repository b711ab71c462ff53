#include "scaling/engine_capacity.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend {

using internal::EngineCapacity;
using internal::WorkOf;

namespace {

ServiceDemand Demand(double tokens, double late_share) {
  ServiceDemand demand;
  demand.requests_per_s = 200;
  demand.prompt_tokens_per_s = tokens;
  demand.late_per_s = 200 * late_share;
  return demand;
}

// Observes the same load for some seconds, from `now` on.
void Observe(EngineCapacity& capacity,
             const ServiceDemand& demand,
             int serving,
             int count,
             TimePoint& now) {
  for (int i = 0; i < count; ++i) {
    now += seconds(1);
    capacity.Observe(demand, WorkOf(demand), serving, now);
  }
}

}  // namespace

// Guards against a capacity that no longer changes with what was observed.
BOOST_AUTO_TEST_CASE(CapacityFollowsServedLoad) {
  EngineCapacity capacity;
  TimePoint now{seconds(1000)};
  const ServiceDemand calm = Demand(2e6, 0);
  const double load = WorkOf(calm) / 90;
  Observe(capacity, calm, 90, 60, now);
  const double learned = capacity.Value();
  BOOST_TEST(learned > load);
  // Targets are missed at that load.
  Observe(capacity, Demand(4.4e6, 0.3), 90, 9, now);
  BOOST_TEST(capacity.Value() < learned);
  const double reduced = capacity.Value();
  // Calm does not prove more than it shows: the load that failed is remembered.
  Observe(capacity, Demand(5e6, 0.002), 180, 30, now);
  BOOST_TEST(capacity.Value() >= reduced);
  BOOST_TEST(capacity.Value() < WorkOf(Demand(4.4e6, 0)) / 90);
}

// Guards against a fleet that is reduced although engines have queues already.
BOOST_AUTO_TEST_CASE(QueuesLimitWhatIsExpected) {
  EngineCapacity quick;
  EngineCapacity queueing;
  TimePoint now{seconds(1000)};
  ServiceDemand demand = Demand(4e6, 0);
  Observe(quick, demand, 90, 60, now);
  demand.first_byte_of_target = 0.7;
  Observe(queueing, demand, 90, 60, now);
  BOOST_TEST(queueing.Value() > WorkOf(demand) / 90);
  BOOST_TEST(queueing.Value() < quick.Value());
}

// Guards against blaming the load for late responses at idle engines.
BOOST_AUTO_TEST_CASE(LateResponsesOfIdleEnginesSayNothing) {
  EngineCapacity capacity;
  TimePoint now{seconds(1000)};
  Observe(capacity, Demand(2e5, 0.5), 90, 60, now);
  BOOST_TEST(capacity.Value() == 1);
}

// Guards against learning from cold caches of engines that have just started.
BOOST_AUTO_TEST_CASE(ChangesOfTheFleetSayNothing) {
  EngineCapacity capacity;
  TimePoint now{seconds(1000)};
  for (int i = 0; i < 20; ++i) {
    Observe(capacity, Demand(4e6, 0.5), i % 2 == 0 ? 60 : 90, 1, now);
  }
  BOOST_TEST(capacity.Value() == 1);
}

}  // namespace sycamorebend
