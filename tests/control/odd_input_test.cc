// Input that is valid as JSON but odd: deep nesting, numbers out of range, and
// records with missing or mistyped fields.
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

Json::Value ServerNamed(const std::string& id) {
  ServerRecord record;
  record.server_id = id;
  record.incarnation = 1;
  record.service = "app";
  record.address = "10.0.0.1:80";
  record.slots = 4;
  return ServerRecordToJson(record);
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

// Guards against followers that stop following because one record of the shared
// state cannot be read.
BOOST_AUTO_TEST_CASE(OddRecordsOfTheSharedStateAreDropped) {
  SharedState state;
  state.epoch = "e";
  state.version = 7;
  state.entries = {{"entry1", "10.0.1.1:80", "a", "1", false, ""}};
  state.crash_findings = {{"request:1", 5, 1}};
  Json::Value json = SharedStateToJson(state);
  const std::vector<std::string> odd = {
      "null", "1", "[]", "\"text\"", "{}", Nested(60), "{\"slots\":1}"};
  for (std::size_t i = 0; i < odd.size(); ++i) {
    const Json::Value record = ParseJson(odd[i]).value();
    const std::string name = "odd" + std::to_string(i);
    json["servers"][name] = record;
    json["entries"][name] = record;
    json["crash_findings"][name] = record;
  }
  for (int i = 0; i < 100; ++i) {
    const std::string id = "s" + std::to_string(i);
    json["servers"][id] = ServerNamed(id);
  }
  for (const std::string& field : ServerNamed("s").getMemberNames()) {
    for (const char* value :
         {"-1", "1.5", "1e30", "18446744073709551615", "[1]", "{\"a\":1}"}) {
      const std::string name = field + value;
      json["servers"][name] = ServerNamed(name);
      json["servers"][name][field] = ParseJson(value).value();
    }
  }
  const auto read = SharedStateFromJson(json);
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().servers.size() == 100U);
  BOOST_TEST(read.value().entries.size() == 1U);
  BOOST_TEST(read.value().crash_findings.size() == 1U);
  BOOST_TEST(read.value().version == 7U);
}

}  // namespace sycamorebend
