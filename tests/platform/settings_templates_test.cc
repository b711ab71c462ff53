// The settings templates in deploy/, filled in as the platform does.
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "gateway/gateway_settings.h"
#include "platform/control_api_settings.h"

namespace sycamorebend::platform {

namespace {

// Placeholders with the JSON text that the platform puts in their place.
using Fields = std::map<std::string, std::string>;

const Fields kFields = {
    {"ip", "10.1.0.19"},
    {"node_name|json", "\"edge-a-1\""},
    {"zone|json", "\"a\""},
    {"listen.frontend|json", "\"10.1.0.19:8740\""},
    {"listen.readiness|json", "\"10.1.0.19:8749\""},
    {"listen.control_plane|json", "\"10.1.0.19:8748\""},
    {"listen.registry|json", "\"10.1.0.19:8747\""},
    {"internal_ports.0", "7200"},
    {"seed_nodes|json", R"(["10.1.0.22:8748", "10.2.0.16:8748"])"},
    {"data_dir|json", "\"/data\""},
    {"bootstrap", "true"},
    {"fault_tolerance.nodes", "1"},
    {"bounds.grace_s", "8"},
    {"bounds.retry_budget_ratio", "0.2"},
    {"bounds.budget_slack", "56"}};

// @return the template with each placeholder replaced; one that is unknown is
// an error of the test.
SettingsObject Render(const std::string& name, const Fields& changes) {
  const char* const root = std::getenv("SB_SOURCE_DIR");
  BOOST_REQUIRE(root != nullptr);
  std::ostringstream file;
  file << std::ifstream(std::string(root) + "/deploy/" + name).rdbuf();
  std::string text = file.str();
  for (auto begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const auto end = text.find("}}", begin);
    BOOST_REQUIRE(end != std::string::npos);
    const std::string field = text.substr(begin + 2, end - begin - 2);
    const auto changed = changes.find(field);
    const auto known = changed == changes.end() ? kFields.find(field) : changed;
    BOOST_REQUIRE_MESSAGE(known != kFields.end(), field);
    text.replace(begin, end + 2 - begin, known->second);
  }
  auto object = SettingsObject::Parse(text, name);
  BOOST_REQUIRE(object);
  return std::move(object.value());
}

Result<gateway::GatewaySettings> ReadGateway(const Fields& changes) {
  return gateway::ReadGatewaySettings(Render("gateway.json", changes));
}

Result<PlatformControlSettings> ReadControl(const Fields& changes) {
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
