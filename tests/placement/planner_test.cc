#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

#include "sycamorebend/placement.h"

namespace sycamorebend {

namespace {

const ModelVersion kRepair{"repair", "1"};
const ModelVersion kParts{"parts", "1"};

EngineView MakeEngine(int number, std::set<ModelVersion> loaded) {
  EngineView engine;
  engine.server_id = "e" + std::to_string(number);
  engine.failure_domain = "d" + std::to_string(number % 3);
  engine.loaded = std::move(loaded);
  return engine;
}

ModelDemand MakeDemand(const ModelVersion& model, double busy) {
  ModelDemand demand;
  demand.model = model;
  demand.busy_engines = busy;
  demand.weight_bytes = 10ULL << 30;
  return demand;
}

// @return `count` engines; the first `repair_count` serve kRepair, the others
// kParts.
std::vector<EngineView> MakeEngines(int count, int repair_count) {
  std::vector<EngineView> engines;
  engines.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    engines.push_back(MakeEngine(i, {i < repair_count ? kRepair : kParts}));
  }
  return engines;
}

std::vector<EngineView> MakeEmptyEngines(int count) {
  std::vector<EngineView> engines = MakeEngines(count, 0);
  for (EngineView& engine : engines) {
    engine.loaded.clear();
  }
  return engines;
}

TimePoint At(Duration elapsed) {
  return TimePoint(std::chrono::hours(1) + elapsed);
}

// Applies all commands to the engines and reports them as done.
void ExecuteCommands(const std::vector<EngineCommand>& commands,
                     std::vector<EngineView>& engines,
                     PlacementPlanner& planner,
                     TimePoint now) {
  for (const EngineCommand& command : commands) {
    for (EngineView& engine : engines) {
      if (engine.server_id != command.server_id) {
        continue;
      }
      if (command.kind == EngineCommandKind::kLoadModel) {
        engine.loaded.insert(command.model);
      } else {
        engine.loaded.erase(command.model);
      }
      planner.OnCommandDone(command.server_id, now);
    }
  }
}

int CountLoaded(const std::vector<EngineView>& engines,
                const ModelVersion& model) {
  return static_cast<int>(std::count_if(
      engines.begin(), engines.end(),
      [&](const auto& engine) { return engine.loaded.count(model) > 0; }));
}

}  // namespace

// Guards against a model of a class in use that no engine serves.
BOOST_AUTO_TEST_CASE(UnservedModelTakesAnEngineAtOnce) {
  auto planner = PlacementPlanner::Create({});
  std::vector<EngineView> engines{MakeEngine(0, {kRepair}),
                                  MakeEngine(1, {kRepair})};
  const std::vector<ModelDemand> demand{MakeDemand(kRepair, 2),
                                        MakeDemand(kParts, 0)};
  for (int step = 0; step < 2; ++step) {
    ExecuteCommands(planner->Plan(engines, demand, At(seconds(step))), engines,
                    *planner, At(seconds(step)));
  }
  BOOST_TEST(CountLoaded(engines, kParts) == 1);
  BOOST_TEST(CountLoaded(engines, kRepair) == 1);
}

// Guards against taking the last engine of a model in use.
BOOST_AUTO_TEST_CASE(LastEngineOfRequiredModelStays) {
  auto planner = PlacementPlanner::Create({});
  std::vector<EngineView> engines{MakeEngine(0, {kRepair})};
  const std::vector<ModelDemand> demand{MakeDemand(kRepair, 0),
                                        MakeDemand(kParts, 5)};
  BOOST_TEST(planner->Plan(engines, demand, At(std::chrono::hours(1))).empty());
}

// Guards against thrashing: moving engines back and forth on short changes of
// demand.
BOOST_AUTO_TEST_CASE(ShortDemandPeaksMoveNoEngine) {
  auto planner = PlacementPlanner::Create({});
  const std::vector<EngineView> engines = MakeEngines(6, 3);
  int commands = 0;
  for (int second = 0; second < 600; second += 10) {
    const bool peak = (second / 30) % 2 == 0;
    const std::vector<ModelDemand> demand{MakeDemand(kRepair, peak ? 3.5 : 0.5),
                                          MakeDemand(kParts, peak ? 0.5 : 3.5)};
    commands += static_cast<int>(
        planner->Plan(engines, demand, At(seconds(second))).size());
  }
  BOOST_TEST(commands == 0);
}

BOOST_AUTO_TEST_CASE(LastingShortageMovesIdleEngines) {
  auto planner = PlacementPlanner::Create({});
  std::vector<EngineView> engines = MakeEngines(8, 2);
  const std::vector<ModelDemand> demand{MakeDemand(kRepair, 3.5),
                                        MakeDemand(kParts, 0.5)};
  for (int second = 0; second < 300; second += 10) {
    ExecuteCommands(planner->Plan(engines, demand, At(seconds(second))),
                    engines, *planner, At(seconds(second)));
  }
  BOOST_TEST(CountLoaded(engines, kRepair) == 5);
  BOOST_TEST(CountLoaded(engines, kParts) == 3);
}

// Guards against more concurrent loads than the weight store can deliver.
BOOST_AUTO_TEST_CASE(WeightStoreRateBoundsLoads) {
  PlacementOptions options;
  options.weight_store_bytes_per_second = 1ULL << 30;
  options.max_load_duration = seconds(20);
  auto planner = PlacementPlanner::Create(options);
  std::vector<EngineView> engines = MakeEmptyEngines(10);
  const std::vector<ModelDemand> demand{MakeDemand(kRepair, 8)};
  BOOST_TEST(planner->Plan(engines, demand, At(seconds(0))).size() == 2U);
  BOOST_TEST(planner->Plan(engines, demand, At(seconds(1))).empty());
  planner->OnCommandDone("e0", At(seconds(2)));
  engines[0].loaded.insert(kRepair);
  BOOST_TEST(planner->Plan(engines, demand, At(seconds(2))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RequiredModelSpreadsOverFailureDomains) {
  auto planner = PlacementPlanner::Create({});
  std::vector<EngineView> engines{MakeEngine(0, {kRepair}), MakeEngine(3, {}),
                                  MakeEngine(1, {})};
  const std::vector<ModelDemand> demand{MakeDemand(kRepair, 1.2)};
  const auto commands = planner->Plan(engines, demand, At(seconds(0)));
  BOOST_TEST(commands.size() == 1U);
  BOOST_TEST(commands[0].server_id == "e1");
}

// Guards against required models that stay without an engine, and against
// invalid commands: two for one engine, loads without a free slot, or commands
// to engines that do not accept them. Uses random demand.
BOOST_AUTO_TEST_CASE(RandomDemandKeepsInvariants) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    auto planner = PlacementPlanner::Create({});
    std::vector<EngineView> engines = MakeEmptyEngines(12);
    for (EngineView& engine : engines) {
      engine.model_slots = 1 + static_cast<int>(random() % 2);
      engine.accepting = random() % 10 != 0;
    }
    for (int step = 0; step < 60; ++step) {
      std::vector<ModelDemand> demand;
      demand.reserve(5);
      for (int model = 0; model < 5; ++model) {
        demand.push_back(MakeDemand({"m" + std::to_string(model), "1"},
                                    static_cast<double>(random() % 60) / 10));
      }
      const TimePoint now = At(seconds(30 * step));
      const auto commands = planner->Plan(engines, demand, now);
      std::set<std::string> commanded_servers;
      for (const EngineCommand& command : commands) {
        BOOST_REQUIRE_MESSAGE(
            commanded_servers.insert(command.server_id).second,
            "two commands for one engine, seed " << seed);
      }
      ExecuteCommands(commands, engines, *planner, now);
      for (const EngineView& engine : engines) {
        BOOST_REQUIRE_MESSAGE(
            static_cast<int>(engine.loaded.size()) <= engine.model_slots,
            "more models than fit, seed " << seed);
        BOOST_REQUIRE_MESSAGE(
            engine.accepting || engine.loaded.empty(),
            "command to an engine that does not accept it, seed " << seed);
      }
      for (const ModelDemand& model : demand) {
        BOOST_REQUIRE_MESSAGE(
            step < 10 || CountLoaded(engines, model.model) > 0,
            "required model without engine, seed " << seed);
      }
    }
  }
}

}  // namespace sycamorebend
