#include "gateway/prefill_budget.h"

#include <boost/test/unit_test.hpp>

#include "engine_fleet.h"

namespace sycamorebend::gateway {

namespace {

EngineFleet RunFleet(FleetOptions options, bool state_host_time) {
  options.state_host_time = state_host_time;
  EngineFleet fleet(options);
  fleet.Run();
  return fleet;
}

int Percent(int part, int all) {
  return 100 * part / all;
}

// Prints the share of both routes that is in time and without pauses, and
// checks that chats gain if the engines state their host times.
void CompareChats(const std::string& load, const FleetOptions& options) {
  const EngineFleet before = RunFleet(options, false);
  const EngineFleet after = RunFleet(options, true);
  for (const EngineFleet* fleet : {&before, &after}) {
    BOOST_TEST_MESSAGE(
        load << (fleet == &before ? " before" : " after") << ": long "
             << Percent(fleet->long_prompts.in_time,
                        fleet->long_prompts.arrived)
             << "% in time, "
             << Percent(fleet->long_prompts.smooth, fleet->long_prompts.arrived)
             << "% without pauses; chat "
             << Percent(fleet->chats.in_time, fleet->chats.arrived)
             << "% in time, "
             << Percent(fleet->chats.smooth, fleet->chats.arrived)
             << "% without pauses");
  }
  BOOST_TEST(after.chats.in_time >= before.chats.in_time);
  BOOST_TEST(after.chats.smooth >= before.chats.smooth);
}

}  // namespace

// Load: any. Guards against a prompt that is refused for its own size although
// nothing waits ahead of it, and one that is sent into a queue it cannot pass.
BOOST_AUTO_TEST_CASE(OnlyTheQueueMakesAPromptRefused) {
  const Duration target = milliseconds(800);
  BOOST_TEST(!QueueMissesTarget({seconds(1), milliseconds(950), 3}, target));
  BOOST_TEST(QueueMissesTarget({seconds(1), milliseconds(500), 3}, target));
  BOOST_TEST(!QueueMissesTarget({seconds(1), milliseconds(500), 0}, target));
  BOOST_TEST(!QueueMissesTarget({milliseconds(600), Duration{0}, 3}, target));
}

// Load: 2.7 times the usual requests for 9 s, 0.5 s after the first one, with
// cold caches; uneven engines. Guards against chats that wait for slots of the
// few engines that have the short part that all of them share.
BOOST_AUTO_TEST_CASE(ChatsGetSlotsInABurstAtAColdStart) {
  FleetOptions options;
  options.burst_end_s = 9.5;
  CompareChats("burst at a cold start", options);
}

// Load: the same burst with warm caches.
BOOST_AUTO_TEST_CASE(ChatsGetSlotsInAWarmBurst) {
  FleetOptions options;
  options.burst_begin_s = 8;
  options.burst_end_s = 17;
  options.end_s = 19;
  CompareChats("warm burst", options);
}

// Load: steady, uneven engines. Guards against learned paces that refuse
// requests without need.
BOOST_AUTO_TEST_CASE(SteadyLoadIsNotRefused) {
  const EngineFleet fleet = RunFleet({}, true);
  BOOST_TEST(fleet.long_prompts.refused == 0);
  BOOST_TEST(fleet.chats.refused == 0);
}

}  // namespace sycamorebend::gateway
