#include "gateway/gateway_settings.h"

#include "gateway/gateway.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

constexpr const char* kSettings = R"({
  "entry_id": "e1", "failure_domain": "a",
  "caller_address": "127.0.0.1:80", "admin_address": "127.0.0.1:81",
  "exchange_address": "127.0.0.1:82",
  "control_seeds": ["10.0.0.1:900", "10.0.0.2:900"], "control_port": 7200
})";

Result<GatewaySettings> Read(const std::string& text) {
  auto root = SettingsObject::Parse(text, "gateway.json");
  BOOST_REQUIRE(root);
  return ReadGatewaySettings(std::move(root.value()));
}

}  // namespace

// Guards against seeds that are contacted at the wrong port instead of
// control_port.
BOOST_AUTO_TEST_CASE(SeedsUseTheControlPort) {
  const auto settings = Read(kSettings);
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings.value().replicas[1] == "10.0.0.2:7200");
}

// Guards against silently ignoring a misspelled key.
BOOST_AUTO_TEST_CASE(UnknownKeyIsNamed) {
  std::string text = kSettings;
  text.replace(text.find("\"entry_id\""), 10,
               "\"retry_rate\": 1, \"entry_id\"");
  const auto settings = Read(text);
  BOOST_REQUIRE(!settings);
  BOOST_TEST(settings.error().message.find("retry_rate") != std::string::npos);
}

// Guards against a gateway that restarts together with the replicas and applies
// an old configuration from their replayed log, and against one that waits for
// a quorum forever.
BOOST_AUTO_TEST_CASE(FirstConfigurationMustBeConfirmed) {
  const Duration never = Duration::max();
  BOOST_TEST(!MayApplyFirstConfiguration(never, milliseconds(0)));
  BOOST_TEST(!MayApplyFirstConfiguration(never, milliseconds(2900)));
  BOOST_TEST(!MayApplyFirstConfiguration(seconds(60), milliseconds(500)));
  BOOST_TEST(MayApplyFirstConfiguration(milliseconds(300), milliseconds(0)));
  BOOST_TEST(MayApplyFirstConfiguration(never, seconds(3)));
}

}  // namespace sycamorebend::gateway
