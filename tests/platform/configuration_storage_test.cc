// What the control replicas store and send of a configuration, as gateways read
// it.
#include <vector>

#include <boost/test/unit_test.hpp>

#include "control/control_fixture.h"
#include "platform/configuration_format.h"

namespace sycamorebend::platform {

namespace {

// @return a configuration with one route and, unless it is empty, the member
// "tenants" as JSON.
Json::Value Document(const std::string& tenants) {
  Json::Value document = ParseJson(R"({"route_table": [
        {"name": "r", "hostname": "h.example", "path_prefix": "/a/",
         "route_type": "idempotent", "timeout_ms": 1500, "backend": "app"}],
        "backends": [{"name": "app"}]})")
                             .value();
  if (!tenants.empty()) {
    document["tenants"] = ParseStoredJson(tenants).value();
  }
  return document;
}

bool NeedsKey(const SharedState& state) {
  const auto read = ReadConfiguration(*state.configuration);
  BOOST_REQUIRE(read);
  return read.value().NeedsKey(read.value().routes[0]);
}

struct Step {
  std::string tenants;
  bool needs_key = false;
};

}  // namespace

// Guards against an empty list of tenants that is dropped, or an absent one
// that becomes empty, in the log, in a patch to followers, in a snapshot or in
// an earlier version.
BOOST_FIXTURE_TEST_CASE(EmptyTenantsAreKeptApartFromAbsentOnes,
                        ControlFixture) {
  const std::string one = R"([{"name": "t", "api_keys": ["k"]}])";
  const std::vector<Step> steps = {{"", false},  {"[]", true}, {one, true},
                                   {"[]", true}, {"", false},  {one, true},
                                   {"", false},  {"[]", true}};
  Json::Value followed;
  Json::Value command;
  command["type"] = "config.replace";
  command["operator"] = "alice";
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const std::uint64_t version = i + 1;
    command["version"] = Json::UInt64(version);
    command["document"] = Document(steps[i].tenants);
    command["document"]["version"] = Json::UInt64(version);
    BOOST_TEST_REQUIRE(this->Run(WriteJson(command)).has_value());
    const SharedState& published = *this->published.back();
    BOOST_TEST(NeedsKey(published) == steps[i].needs_key, "step " << i);

    const Json::Value sent = SharedStateToJson(published);
    const Json::Value patch =
        ParseStoredJson(WriteJson(DiffJson(followed, sent))).value();
    followed = PatchJson(std::move(followed), patch).value();
    BOOST_TEST(
        NeedsKey(SharedStateFromJson(followed).value()) == steps[i].needs_key,
        "patch of step " << i);

    BOOST_TEST_REQUIRE(this->Restart().has_value());
    BOOST_TEST(NeedsKey(*this->state->Shared()) == steps[i].needs_key,
               "snapshot of step " << i);
  }
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const Json::Value shown =
        this->state->ShowConfiguration(i + 1).value()["document"];
    BOOST_TEST(shown.isMember("tenants") == !steps[i].tenants.empty(),
               "version " << i + 1);
  }
}

}  // namespace sycamorebend::platform
