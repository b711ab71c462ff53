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
        this->partition.OnSent(
            "short", {milliseconds(200), 0, 600, milliseconds(600)}, this->now);
        ends.emplace(this->now + seconds(2), "short");
      }
      for (; long_due >= 1; --long_due) {
        this->partition.OnSent(
            "long", {milliseconds(300), 1, long_tokens, milliseconds(600)},
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
    return this->partition.Groups() > 1
               ? this->partition.EnginesOf("short").own.end
               : 0;
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
  const std::size_t engines = load.Engines();
  BOOST_TEST(engines > 4);
  BOOST_TEST(engines < 14);
  BOOST_TEST(load.partition.EnginesOf("long").own.begin == engines);
  BOOST_TEST(load.partition.EnginesOf("long").Delays(0));
  BOOST_TEST(!load.partition.EnginesOf("short").Delays(kEngines - 1));
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
    load.partition.OnRefused(
        "short", {milliseconds(200), 0, 600, milliseconds(600)}, load.now);
    if (ms % 20 == 0) {
      load.partition.OnSent(
          "long", {milliseconds(300), 1, 4000, milliseconds(600)}, load.now);
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
  partition.OnSent("short", {milliseconds(200), 0, 4000, milliseconds(600)},
                   now);
  partition.OnSent("long", {milliseconds(300), 1, 900, milliseconds(600)}, now);
  std::vector<RouteDemand> demand = partition.LocalDemand(now);
  demand.push_back({StableHash32("short"), 100, 60000, 100});
  demand.push_back({StableHash32("long"), 40, 200000, 20});
  partition.Update(kEngines, kSlots, demand);
  const EngineRange range = partition.EnginesOf("short").own;
  BOOST_TEST(range.begin == 0U);
  BOOST_TEST(range.end < kEngines);
  BOOST_TEST(partition.EnginesOf("long").own.begin == range.end);
}

// Three routes: short prompts, and two of long prompts with targets of 500 and
// 1500 ms. Guards against requests with a short target that wait for the
// prefill of larger prompts, and against a group without its share.
BOOST_AUTO_TEST_CASE(RoutesWithUnlikeTargetsAreSeparated) {
  EnginePartition partition;
  partition.SetEventTokens(6);
  const TimePoint now{seconds(100)};
  partition.OnSent("chat", {milliseconds(150), 0, 1200, milliseconds(300)},
                   now);
  partition.OnSent("query", {milliseconds(250), 1, 5300, milliseconds(500)},
                   now);
  partition.OnSent("draft", {milliseconds(600), 2, 7200, milliseconds(1500)},
                   now);
  const std::vector<RouteDemand> demand = {
      {StableHash32("chat"), 219, 262800, 200},
      {StableHash32("query"), 94, 498200, 40},
      {StableHash32("draft"), 194, 1396800, 200}};
  partition.Update(90, 64, demand);
  const EngineRange chat = partition.EnginesOf("chat").own;
  const EngineRange query = partition.EnginesOf("query").own;
  const EngineRange draft = partition.EnginesOf("draft").own;
  BOOST_TEST(chat.begin == 0U);
  BOOST_TEST(chat.Size() >= 11U);
  BOOST_TEST(query.begin == chat.end);
  BOOST_TEST(query.Size() >= 20U);
  BOOST_TEST(draft.begin == query.end);
  BOOST_TEST(draft.end == 90U);
  BOOST_TEST(partition.EnginesOf("draft").Delays(query.begin));
  BOOST_TEST(!partition.EnginesOf("chat").Delays(query.begin));
}

// Two routes of long prompts with equal targets. Guards against a partition
// without need, which would leave engines idle.
BOOST_AUTO_TEST_CASE(RoutesWithLikeTargetsShareEngines) {
  EnginePartition partition;
  partition.SetEventTokens(1);
  const TimePoint now{seconds(100)};
  const RequestLoad load{milliseconds(600), 1, 3000, milliseconds(1500)};
  partition.OnSent("one", load, now);
  partition.OnSent("two", load, now);
  partition.Update(20, 64, partition.LocalDemand(now));
  BOOST_TEST(partition.Groups() == 1U);
  BOOST_TEST(partition.EnginesOf("one").own.Size() == 20U);
}

// Only one prompt class has requests. Guards against engines that stay idle.
BOOST_AUTO_TEST_CASE(SingleClassUsesAllEngines) {
  LoadGenerator load;
  load.partition.SetEventTokens(5);
  load.Run(50, 0, 0, 5);
  BOOST_TEST(load.Engines() == 0U);
}

// Load: arrivals that rise at once, of streams that last for two seconds.
// Guards against engines that are full before their number follows.
BOOST_AUTO_TEST_CASE(EnginesFollowArrivalsBeforeStreamsAccumulate) {
  LoadGenerator late;
  LoadGenerator planned;
  planned.partition.PlanForArrivals();
  for (LoadGenerator* load : {&late, &planned}) {
    load->partition.SetEventTokens(5);
    load->Run(20, 40, 4000, 6);
    load->Run(100, 40, 4000, 1);
  }
  BOOST_TEST(planned.Engines() > late.Engines());
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
