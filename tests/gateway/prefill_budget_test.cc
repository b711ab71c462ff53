#include "gateway/prefill_budget.h"

#include <boost/test/unit_test.hpp>

#include "engine_fleet.h"

namespace sycamorebend::gateway {

namespace {

constexpr std::uint64_t kSeeds = 3;

// Results of both routes, added over all seeds: those of one seed differ by
// several percent.
struct FleetResult {
  RouteResult long_prompts;
  RouteResult chats;
};

void Add(RouteResult& sum, const RouteResult& result) {
  sum.arrived += result.arrived;
  sum.in_time += result.in_time;
  sum.refused += result.refused;
  sum.smooth += result.smooth;
}

FleetResult RunFleets(FleetOptions options, bool state_host_time) {
  FleetResult sum;
  options.state_host_time = state_host_time;
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    EngineFleet fleet(options);
    fleet.Run();
    Add(sum.long_prompts, fleet.long_prompts);
    Add(sum.chats, fleet.chats);
  }
  return sum;
}

void Print(const std::string& load, const RouteResult& result) {
  BOOST_TEST_MESSAGE(
      load << ": " << 100 * result.in_time / result.arrived << "% in time, "
           << 100 * result.smooth / result.arrived << "% without pauses");
}

// Checks that chats gain if the engines state their host times.
void CompareChats(const std::string& load, const FleetOptions& options) {
  const FleetResult before = RunFleets(options, false);
  const FleetResult after = RunFleets(options, true);
  Print(load + ", long before", before.long_prompts);
  Print(load + ", long after", after.long_prompts);
  Print(load + ", chat before", before.chats);
  Print(load + ", chat after", after.chats);
  BOOST_TEST(after.chats.in_time > before.chats.in_time);
  BOOST_TEST(after.chats.smooth > before.chats.smooth);
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
  const FleetResult fleet = RunFleets({}, true);
  BOOST_TEST(fleet.long_prompts.refused == 0);
  BOOST_TEST(fleet.chats.refused == 0);
}

}  // namespace sycamorebend::gateway
