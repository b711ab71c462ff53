// Input that is valid as JSON but odd: deep nesting, numbers out of range.
#include <boost/test/unit_test.hpp>

#include "control_fixture.h"

namespace sycamorebend {

namespace {

// @return `depth` objects, each in the one before it.
std::string Nested(int depth) {
  std::string text;
  for (int i = 0; i < depth; ++i) {
    text += "{\"x\":";
  }
  return text + "1" + std::string(static_cast<std::size_t>(depth), '}');
}

}  // namespace

// Guards against an accepted configuration that no replica can restore from its
// snapshot, so that none of them starts again, and whose earlier versions
// cannot be shown.
BOOST_FIXTURE_TEST_CASE(DeepConfigurationSurvivesARestart, ControlFixture) {
  // With its command, a document is nested two levels deeper.
  constexpr int kMaxDepth = 62;
  Json::Value command;
  command["type"] = "config.replace";
  command["operator"] = "alice";
  for (int depth = 1; depth <= kMaxDepth; ++depth) {
    command["version"] = depth;
    command["document"] = ParseJson(Nested(depth)).value();
    BOOST_TEST_REQUIRE(this->Run(WriteJson(command)).has_value(),
                       "depth " << depth);
    const Status restored = this->Restart();
    BOOST_TEST_REQUIRE(restored.has_value(),
                       "depth " << depth << ": "
                                << (restored ? "" : restored.error().message));
    BOOST_TEST_REQUIRE(this->state->ShowConfiguration(1).has_value(),
                       "depth " << depth);
  }
  // What is too deep is refused before it is stored.
  command["version"] = kMaxDepth + 1;
  command["document"] = ParseStoredJson(Nested(kMaxDepth + 1)).value();
  BOOST_TEST(!this->Run(WriteJson(command)).has_value());
}

}  // namespace sycamorebend
