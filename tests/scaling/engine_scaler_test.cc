// Load patterns of the decision how many engines to order. "Requests" are long
// prompts; 180 per second are usual in the reference deployments.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "scaling_fixture.h"

namespace sycamorebend {

namespace {

constexpr double kUsual = 180;
constexpr double kBurst = 2.5 * kUsual;
constexpr int kBurstSeconds = 9;
constexpr auto kOrdinary = EngineKind::kOrdinary;
constexpr auto kReclaimable = EngineKind::kReclaimable;

// The engines present at the start would be fully used by a burst at less than
// the capacity that a served burst shows.
constexpr int kEnoughInBurst = 110;

// A fleet that has served a burst and was reduced to what the next one needs.
struct ReducedFleet : ScalingFixture {
  ReducedFleet() {
    Run(30, kUsual);
    Run(kBurstSeconds, kBurst);
    Run(150, kUsual);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(EngineScalerTest)

// Guards against paying for the engines of a peak after it has passed, and
// against removing them at once.
BOOST_FIXTURE_TEST_CASE(CalmAfterAPeak, ScalingFixture) {
  Run(30, kUsual);
  Run(kBurstSeconds, kBurst);
  const int at_peak = All();
  Run(5, kUsual);
  BOOST_TEST(All() >= at_peak * 9 / 10);
  Run(300, kUsual);
  BOOST_TEST(Serving(kOrdinary) < 40);
  BOOST_TEST(All() >= kEnoughInBurst);
  int largest_step = 0;
  std::map<EngineGroup, int> last;
  for (const EngineOrder& order : orders) {
    int& count = last[{order.failure_domain, order.kind}];
    largest_step = std::max(largest_step, count - order.count);
    count = order.count;
  }
  BOOST_TEST(largest_step <= 18);
}

// Guards against a fleet that is sized for the calm and orders only once the
// burst has begun.
BOOST_FIXTURE_TEST_CASE(BurstWithinASecond, ReducedFleet) {
  BOOST_TEST(All() >= kEnoughInBurst);
  const std::size_t before = orders.size();
  for (int i = 0; i < kBurstSeconds; ++i) {
    Step(kBurst);
    BOOST_TEST(All() >= kEnoughInBurst);
  }
  for (std::size_t i = before; i < orders.size(); ++i) {
    BOOST_TEST((orders[i].kind == kReclaimable), orders[i].reason);
  }
}

// Guards against a fleet that depends on the reclaimable engines of one failure
// domain, and against waiting until they have left.
BOOST_FIXTURE_TEST_CASE(ReclaimOfOneDomainDuringABurst, ReducedFleet) {
  Run(3, kBurst);
  const int lost = Serving("a", kReclaimable);
  BOOST_TEST(lost > 0);
  Reclaim("a");
  BOOST_TEST(All() >= kEnoughInBurst);
  const std::size_t before = orders.size();
  Step(kBurst);
  BOOST_TEST(std::any_of(orders.begin() + static_cast<std::ptrdiff_t>(before),
                         orders.end(), [](const EngineOrder& order) {
                           return order.failure_domain == "a" &&
                                  order.kind == kReclaimable;
                         }));
  Run(6, kBurst);
  BOOST_TEST(Serving("a", kReclaimable) >= lost);
}

// Guards against a storm of orders and against ordinary engines for a fleet
// that is still large enough.
BOOST_FIXTURE_TEST_CASE(NoneAvailableForEightSeconds, ReducedFleet) {
  const int ordinary = Serving(kOrdinary);
  const int lost = Serving("b", kReclaimable);
  for (const char* domain : {"a", "b", "c"}) {
    unavailable.insert({domain, kReclaimable});
  }
  Reclaim("b");
  const std::size_t before = orders.size();
  Run(8, kUsual);
  BOOST_TEST(orders.size() - before <= 4U);
  BOOST_TEST(Serving(kOrdinary) == ordinary);
  unavailable.clear();
  Run(10, kUsual);
  BOOST_TEST(Serving("b", kReclaimable) >= lost * 9 / 10);
}

// Guards against waiting for reclaimable engines while the remaining ones
// cannot do the present work.
BOOST_FIXTURE_TEST_CASE(NoneAvailableAndTooFewRemain, ReducedFleet) {
  const int ordinary = Serving(kOrdinary);
  for (const char* domain : {"a", "b", "c"}) {
    unavailable.insert({domain, kReclaimable});
    Reclaim(domain);
  }
  Run(10, kUsual);
  BOOST_TEST(Serving(kOrdinary) > ordinary);
}

// Guards against a storm of orders for engines that do not stay.
BOOST_FIXTURE_TEST_CASE(EnginesCrashAsFastAsTheyAreOrdered, ScalingFixture) {
  Run(30, kUsual);
  engines_crash = true;
  for (const char* domain : {"a", "b", "c"}) {
    Reclaim(domain);
  }
  const std::size_t before = orders.size();
  Run(60, kUsual);
  BOOST_TEST(orders.size() - before <= 24U);
  int highest = 0;
  for (const EngineOrder& order : orders) {
    highest = std::max(highest, order.count);
  }
  BOOST_TEST(highest <= rules.max_engines);
}

// Guards against a number that stays wrong because an old order was executed
// after the newest one.
BOOST_FIXTURE_TEST_CASE(OrderExecutedLate, ScalingFixture) {
  Run(120, kUsual);
  const EngineGroup group{"a", kReclaimable};
  const int wanted = Serving("a", kReclaimable);
  desired[group] = wanted / 2;
  Run(20, kUsual);
  BOOST_TEST(Serving("a", kReclaimable) >= wanted * 9 / 10);
}

// Guards against a call without a response that is repeated each second.
BOOST_FIXTURE_TEST_CASE(PlatformDoesNotRespond, ScalingFixture) {
  outcome = OrderOutcome::kUnknown;
  Run(60, kUsual);
  BOOST_TEST(!orders.empty());
  BOOST_TEST(orders.size() <= 3U * 8U);
  outcome = OrderOutcome::kAccepted;
  Run(30, kUsual);
  BOOST_TEST(Serving(kReclaimable) > 0);
}

// Guards against removing engines when nothing is known about the load: there
// is no traffic yet, and some engines have not announced themselves.
BOOST_FIXTURE_TEST_CASE(RestartOfTheWholeFleet, ReducedFleet) {
  const int before = All();
  scaler = EngineScaler::Create(rules);
  Run(14, 0);
  BOOST_TEST(All() >= before);
  Run(19, kUsual);
  BOOST_TEST(All() >= before);
}

// Guards against orders from a part of the engines shortly after a start.
BOOST_FIXTURE_TEST_CASE(EnginesAnnounceThemselvesLate, ScalingFixture) {
  ScalingInput input;
  input.engines[{"a", kOrdinary}].serving = 3;
  BOOST_TEST(scaler->Decide(input, now).empty());
  input.engines[{"a", kOrdinary}].serving = 30;
  for (int i = 0; i < 30; ++i) {
    now += seconds(1);
    BOOST_TEST(scaler->Decide(input, now).empty());
  }
}

// Guards against removing engines because gateways have stopped reporting.
BOOST_FIXTURE_TEST_CASE(StaleOrMissingReports, ScalingFixture) {
  Run(30, kUsual);
  const int before = Serving(kOrdinary);
  reports = false;
  Run(30, 0);
  BOOST_TEST(Serving(kOrdinary) == before);
  reports = true;
  report_age = seconds(20);
  Run(30, 0);
  BOOST_TEST(Serving(kOrdinary) == before);
  report_age = milliseconds(500);
  reporting_gateways = 60;
  Run(30, kUsual / 3);
  BOOST_TEST(Serving(kOrdinary) == before);
  BOOST_TEST(!scaler->Status().hold_reason.empty());
}

// Guards against a size by requests: the same number of requests becomes more
// work.
BOOST_FIXTURE_TEST_CASE(PromptsBecomeLonger, ReducedFleet) {
  Run(200, kUsual / 2);
  const int before = All();
  prompt_tokens *= 1.8;
  Run(30, kUsual / 2);
  BOOST_TEST(All() > before);
}

// Guards against a capacity that is believed although targets are missed.
BOOST_FIXTURE_TEST_CASE(TargetsAreMissed, ReducedFleet) {
  Run(200, kUsual / 2);
  const int before = All();
  late_share = 0.2;
  Run(kBurstSeconds, kBurst / 2);
  late_share = 0;
  Run(10, kUsual / 2);
  BOOST_TEST(All() > before);
}

// Guards against fewer engines than operators ask for.
BOOST_FIXTURE_TEST_CASE(FewerThanTheMinimum, ScalingFixture) {
  rules.min_engines = 35;
  scaler->SetRules(rules);
  reports = false;
  Run(10, 0);
  BOOST_TEST(All() == 105);
}

// Guards against orders that follow each fluctuation of the load.
BOOST_FIXTURE_TEST_CASE(Noise, ReducedFleet) {
  const std::size_t before = orders.size();
  for (int i = 0; i < 120; ++i) {
    Step(kUsual * (i % 3 == 0 ? 1.08 : i % 3 == 1 ? 0.93 : 1.0));
  }
  BOOST_TEST(orders.size() - before <= 12U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend
