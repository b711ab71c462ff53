// The settings templates in deploy/, filled in as the platform does.
#include <boost/test/unit_test.hpp>

#include "gateway/gateway_settings.h"
#include "platform/control_api_settings.h"
#include "platform/rendered_settings.h"

namespace sycamorebend::platform {

namespace {

SettingsObject Render(const std::string& name, const TemplateFields& changes) {
  auto object = SettingsObject::Parse(RenderTemplate(name, changes), name);
  BOOST_REQUIRE(object);
  return std::move(object.value());
}

Result<gateway::GatewaySettings> ReadGateway(const TemplateFields& changes) {
  return gateway::ReadGatewaySettings(Render("gateway.json", changes));
}

Result<PlatformControlSettings> ReadControl(const TemplateFields& changes) {
  return ReadPlatformControlSettings(Render("control.json", changes));
}

}  // namespace

// A deployment played at a share of its size has fractions in its bounds.
// Guards against gateways that end with an error at each start.
BOOST_AUTO_TEST_CASE(GatewayAcceptsFractions) {
  const auto settings =
      ReadGateway({{"bounds.budget_slack", "33.157894736842103"},
                   {"bounds.grace_s", "7.5"},
                   {"bounds.retry_budget_ratio", "0.0125"}});
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings.value().retry_slack == 33.157894736842103);
  BOOST_TEST((settings.value().stop_grace == milliseconds(7500)));
  BOOST_TEST(settings.value().retry_ratio == 0.0125);
}

BOOST_AUTO_TEST_CASE(GatewayAcceptsExtremes) {
  for (const char* slack : {"0", "0.0", "0.4", "1e3", "250000"}) {
    BOOST_TEST(bool(ReadGateway({{"bounds.budget_slack", slack}})), slack);
  }
  for (const char* ratio : {"0", "1", "1.0", "2"}) {
    BOOST_TEST(bool(ReadGateway({{"bounds.retry_budget_ratio", ratio}})),
               ratio);
  }
  for (const char* grace : {"1", "1.0", "30", "8.25", "600"}) {
    BOOST_TEST(bool(ReadGateway({{"bounds.grace_s", grace}})), grace);
  }
}

BOOST_AUTO_TEST_CASE(GatewayErrorNamesTheKey) {
  const auto settings = ReadGateway({{"bounds.grace_s", "\"8 s\""}});
  BOOST_REQUIRE(!settings);
  BOOST_TEST(settings.error().message.find("stop_grace_s") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ControlAcceptsExtremes) {
  for (const char* losses : {"0", "1", "2.0", "4"}) {
    BOOST_TEST(bool(ReadControl({{"fault_tolerance.nodes", losses}})), losses);
  }
  const auto settings = ReadControl({{"bootstrap", "false"}});
  BOOST_REQUIRE(settings);
  BOOST_TEST(!settings.value().control.bootstrap);
  BOOST_TEST((settings.value().address_ttl == seconds(2)));
}

}  // namespace sycamorebend::platform
