#include "gateway/lanes.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

constexpr std::size_t kEngines = 18;
constexpr int kSlots = 32;

struct Load {
  // Sends requests of a short and a long route for some seconds, each of which
  // ends after two seconds.
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
        this->lanes.OnSent("short", {milliseconds(200), 0, 600}, this->now);
        ends.emplace(this->now + seconds(2), "short");
      }
      for (; long_due >= 1; --long_due) {
        this->lanes.OnSent("long", {milliseconds(300), 1, long_tokens},
                           this->now);
        ends.emplace(this->now + milliseconds(500), "long");
      }
      while (!ends.empty() && ends.begin()->first <= this->now) {
        this->lanes.OnDone(ends.begin()->second, this->now);
        ends.erase(ends.begin());
      }
    }
  }

  std::size_t Engines(std::size_t engines = kEngines) {
    return this->lanes.ShortPromptEngines(
        engines, this->lanes.OwnNeed(kSlots, this->now));
  }

  Lanes lanes;
  TimePoint now{seconds(100)};
};

}  // namespace

// Pattern: short questions beside long prompts, five tokens in an event. Guards
// against pauses of five chunks in each of their events.
BOOST_AUTO_TEST_CASE(LongPromptsAreKeptFromShortPauses) {
  Load load;
  load.lanes.SetEventTokens(5);
  load.Run(50, 40, 4000, 5);
  BOOST_TEST((load.lanes.KindOf("long") == Lanes::Kind::kLongPrompt));
  BOOST_TEST((load.lanes.KindOf("short") == Lanes::Kind::kShortPrompt));
  const std::size_t engines = load.Engines();
  BOOST_TEST(engines > 4);
  BOOST_TEST(engines < 14);
}

// Pattern: a burst of long prompts, then one of short questions. Guards against
// engines that stay with the kind that needed them last.
BOOST_AUTO_TEST_CASE(EnginesFollowABurst) {
  Load load;
  load.lanes.SetEventTokens(5);
  load.Run(50, 90, 4000, 8);
  const std::size_t during_long = load.Engines();
  load.Run(110, 40, 4000, 8);
  BOOST_TEST(load.Engines() > during_long + 1);
}

// Pattern: more of both kinds than all engines can serve in time. Guards
// against urgent questions that wait while engines read less urgent prompts.
BOOST_AUTO_TEST_CASE(UrgentKindIsServedFirstWhenEnginesAreShort) {
  Load load;
  load.lanes.SetEventTokens(5);
  load.Run(140, 300, 6000, 8);
  BOOST_TEST(load.Engines() >= 10U);
  BOOST_TEST(load.Engines() <= 12U);
}

// Pattern: one token in an event. Guards against engines that are divided
// although no pause would be late.
BOOST_AUTO_TEST_CASE(EnginesAreSharedWhenPausesAreInTime) {
  Load load;
  load.lanes.SetEventTokens(1);
  load.Run(50, 40, 4000, 5);
  BOOST_TEST(load.Engines() == 0U);
}

// Pattern: only one kind of route. Guards against idle engines.
BOOST_AUTO_TEST_CASE(OneKindUsesAllEngines) {
  Load load;
  load.lanes.SetEventTokens(5);
  load.Run(50, 0, 0, 5);
  BOOST_TEST(load.Engines() == 0U);
}

// Guards against a kind that is left without any engine.
BOOST_AUTO_TEST_CASE(EachKindKeepsAnEngine) {
  Load load;
  load.lanes.SetEventTokens(5);
  load.Run(1, 200, 8000, 8);
  BOOST_TEST(load.Engines() >= 1U);
  BOOST_TEST(load.Engines(2) == 1U);
  BOOST_TEST(load.Engines(1) == 0U);
}

}  // namespace sycamorebend::gateway
