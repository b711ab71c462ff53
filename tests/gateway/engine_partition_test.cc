#include "gateway/engine_partition.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

constexpr std::size_t kEngines = 18;
constexpr int kSlots = 32;

struct LoadGenerator {
  // Sends requests of a short-prompt and a long-prompt route for `duration_s`.
  // The short ones end after 2 s, the long ones after 500 ms.
  void Run(int short_per_s, int long_per_s, int long_tokens, int duration_s) {
    constexpr int kStepMs = 10;
    double short_due = 0;
    double long_due = 0;
    std::multimap<TimePoint, std::string> ends;
    for (int ms = 0; ms < duration_s * 1000; ms += kStepMs) {
      this->now += milliseconds(kStepMs);
      short_due += short_per_s * kStepMs / 1000.0;
      long_due += long_per_s * kStepMs / 1000.0;
      for (; short_due >= 1; --short_due) {
        this->partition.OnSent("short", {milliseconds(200), 0, 600}, this->now);
        ends.emplace(this->now + seconds(2), "short");
      }
      for (; long_due >= 1; --long_due) {
        this->partition.OnSent("long", {milliseconds(300), 1, long_tokens},
                               this->now);
        ends.emplace(this->now + milliseconds(500), "long");
      }
      while (!ends.empty() && ends.begin()->first <= this->now) {
        const std::string& route = ends.begin()->second;
        this->partition.OnDone(
            route, route == "short" ? seconds(2) : milliseconds(500),
            this->now);
        ends.erase(ends.begin());
      }
    }
  }

  std::size_t Engines(std::size_t engines = kEngines) {
    this->partition.Update(engines, kSlots,
                           this->partition.LocalDemand(this->now));
    return this->partition.ShortPromptEngines();
  }

  EnginePartition partition;
  TimePoint now{seconds(100)};
};

}  // namespace

// Short prompts and long prompts with five tokens per event. Guards against
// short-prompt streams whose events are each delayed by five prefill chunks.
BOOST_AUTO_TEST_CASE(LongPromptsAreSeparatedFromShortPrompts) {
  LoadGenerator load;
  load.partition.SetEventTokens(5);
  load.Run(50, 40, 4000, 5);
  BOOST_TEST((load.partition.PromptClassOf("long") ==
              EnginePartition::PromptClass::kLongPrompt));
  BOOST_TEST((load.partition.PromptClassOf("short") ==
              EnginePartition::PromptClass::kShortPrompt));
  const std::size_t engines = load.Engines();
  BOOST_TEST(engines > 4);
  BOOST_TEST(engines < 14);
}

// A burst of long prompts is followed by one of short prompts. Guards against a
// partition that does not adapt to the new load.
BOOST_AUTO_TEST_CASE(PartitionFollowsABurst) {
  LoadGenerator load;
  load.partition.SetEventTokens(5);
  load.Run(50, 90, 4000, 8);
  const std::size_t during_long = load.Engines();
  load.Run(110, 40, 4000, 8);
  BOOST_TEST(load.Engines() > during_long + 1);
}

// The load of both classes exceeds the capacity of all engines. Guards against
// high-priority requests that wait while engines prefill prompts of lower
// priority.
BOOST_AUTO_TEST_CASE(HigherPriorityClassIsServedFirstUnderOverload) {
  LoadGenerator load;
  load.partition.SetEventTokens(5);
  load.Run(140, 300, 6000, 8);
  BOOST_TEST(load.Engines() >= 10U);
  BOOST_TEST(load.Engines() <= 12U);
}

// One token per event. Guards against partitioning although no gap would exceed
// its target.
BOOST_AUTO_TEST_CASE(EnginesAreSharedWhenGapsAreInTime) {
  LoadGenerator load;
  load.partition.SetEventTokens(1);
  load.Run(50, 40, 4000, 5);
  BOOST_TEST(load.Engines() == 0U);
}

// A burst of short prompts of which most are refused. Guards against a class
// that gets no engines because its requests are refused.
BOOST_AUTO_TEST_CASE(RefusedRequestsCountAsDemand) {
  LoadGenerator load;
  load.partition.SetEventTokens(5);
  load.Run(20, 60, 4000, 5);
  const std::size_t before = load.Engines();
  for (int ms = 0; ms < 4000; ms += 10) {
    load.Run(0, 0, 4000, 0);
    load.now += milliseconds(10);
    load.partition.OnRefused("short", {milliseconds(200), 0, 600}, load.now);
    if (ms % 20 == 0) {
      load.partition.OnSent("long", {milliseconds(300), 1, 4000}, load.now);
      load.partition.OnDone("long", milliseconds(500), load.now);
    }
  }
  BOOST_TEST(load.Engines() > before);
}

// One gateway sees a few unusually large prompts of a short-prompt route.
// Guards against gateways that disagree on the classes, so that each one sends
// its long prompts to the engines that others keep for short ones.
BOOST_AUTO_TEST_CASE(RoutesAreClassifiedByTheLoadOfAllGateways) {
  EnginePartition partition;
  partition.SetEventTokens(5);
  const TimePoint now{seconds(100)};
  partition.OnSent("short", {milliseconds(200), 0, 4000}, now);
  partition.OnSent("long", {milliseconds(300), 1, 900}, now);
  std::vector<RouteDemand> demand = partition.LocalDemand(now);
  demand.push_back({StableHash32("short"), 100, 60000, 100});
  demand.push_back({StableHash32("long"), 40, 200000, 20});
  partition.Update(kEngines, kSlots, demand);
  BOOST_TEST((partition.PromptClassOf("short") ==
              EnginePartition::PromptClass::kShortPrompt));
  BOOST_TEST((partition.PromptClassOf("long") ==
              EnginePartition::PromptClass::kLongPrompt));
  BOOST_TEST(partition.ShortPromptEngines() > 0U);
}

// Only one prompt class has requests. Guards against engines that stay idle.
BOOST_AUTO_TEST_CASE(SingleClassUsesAllEngines) {
  LoadGenerator load;
  load.partition.SetEventTokens(5);
  load.Run(50, 0, 0, 5);
  BOOST_TEST(load.Engines() == 0U);
}

// Guards against a prompt class without any engine.
BOOST_AUTO_TEST_CASE(EachClassKeepsAnEngine) {
  LoadGenerator load;
  load.partition.SetEventTokens(5);
  load.Run(1, 200, 8000, 8);
  BOOST_TEST(load.Engines() >= 1U);
  BOOST_TEST(load.Engines(2) == 1U);
  BOOST_TEST(load.Engines(1) == 0U);
}

}  // namespace sycamorebend::gateway
