#define BOOST_TEST_MODULE end_to_end
#include <csignal>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"
#include "system/test_fleet.h"

namespace sycamorebend {

// Guards against components that work separately but not together:
// configuration through control replicas and feed, announcements, routing,
// streaming and orders.
BOOST_AUTO_TEST_CASE(EndToEnd) {
  TestFleet fleet(FleetOptions{});
  // The caller receives the engine's response unchanged from each entry daemon.
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    const std::string prompt = "how hot is the press? " + std::to_string(i);
    const auto response = fleet.Client().Fetch(
        fleet.ChatCall(fleet.Entry(i).address, prompt, 40));
    BOOST_TEST_REQUIRE(bool(response));
    BOOST_TEST(response.value().status == 200);
    BOOST_TEST(DataLines(response.value().body) ==
               DataLines(ExpectedChat(prompt, 40)));
  }
  // A resent order is not executed again, also at another entry daemon: the
  // response comes from its record.
  std::string first_body;
  for (std::size_t i = 0; i < 2; ++i) {
    const auto response = fleet.Client().Fetch(
        fleet.OrderCall(fleet.Entry(i).address, "order-1", "two belts"));
    BOOST_TEST_REQUIRE(bool(response));
    BOOST_TEST(response.value().status == 200, response.value().body);
    if (i == 0) {
      first_body = response.value().body;
    }
    BOOST_TEST(response.value().body == first_body);
  }
  BOOST_TEST(fleet.Stats(fleet.Service(0))["runs_by_key"]["order-1"].asInt() ==
             1);
  // A configuration change reaches every entry daemon.
  Json::Value document = Fleet::DefaultDocument();
  document["classes"][0]["max_queue"] = 7;
  const std::uint64_t version = fleet.ApplyDocument(document);
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    BOOST_TEST(
        WaitFor([&] { return fleet.EntryVersion(i).value_or(0) == version; }));
  }
}

// Guards against storing a document that was rejected.
BOOST_AUTO_TEST_CASE(InvalidDocumentIsRefused) {
  FleetOptions options;
  options.entries = 1;
  TestFleet fleet(options);
  const std::uint64_t version = fleet.ConfigurationVersion();
  Json::Value params(Json::objectValue);
  params["change_id"] = "bad";
  params["operator"] = "test";
  params["expected_version"] = static_cast<Json::UInt64>(version);
  params["document"] = Fleet::DefaultDocument();
  params["document"]["tires"] = Json::Value(Json::arrayValue);
  const auto applied = fleet.CallControl("control.apply", params);
  BOOST_TEST_REQUIRE(!applied);
  BOOST_TEST((applied.error().code == ResultCode::kConfigurationInvalid));
  BOOST_TEST(fleet.ConfigurationVersion() == version);
}

}  // namespace sycamorebend
