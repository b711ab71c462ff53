// The settings templates in deploy/, filled in as the platform does.
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>

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

// Runs a script of review/lib/, which must succeed.
// @return its output.
std::string RunReviewScript(const std::string& name,
                            const std::string& argument) {
  const char* const root = std::getenv("SB_SOURCE_DIR");
  BOOST_REQUIRE(root != nullptr);
  const std::string command = "python3 -B '" + std::string(root) +
                              "/review/lib/" + name + "' " + argument;
  std::FILE* const pipe = popen(command.c_str(), "r");
  BOOST_REQUIRE(pipe != nullptr);
  std::string output;
  std::array<char, 4096> buffer;
  std::size_t size = 0;
  while ((size = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0) {
    output.append(buffer.data(), size);
  }
  const int status = pclose(pipe);
  BOOST_REQUIRE_MESSAGE(WIFEXITED(status) && WEXITSTATUS(status) == 0, command);
  return output;
}

SettingsObject RenderForReview(const std::string& role) {
  auto object = SettingsObject::Parse(RunReviewScript("render.py", role), role);
  BOOST_REQUIRE(object);
  return std::move(object.value());
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

// Guards against a VM that does not start, or performs duties that it should
// not, because of the API for duties in the platform's settings.
BOOST_AUTO_TEST_CASE(DutiesAreThoseOfThePlatform) {
  BOOST_TEST(!ReadControl({}).value().duties.has_value());
  BOOST_TEST((ReadGateway({}).value().usage_window == Duration(0)));
  const TemplateFields api = {
      {"cloud_api.address", "1"},
      {"cloud_api.address|json", "\"10.9.0.1:80\""},
      {"bounds.report_window_s", "2.5"},
      {"bounds.lease_ms", "2500.5"},
      {"cloud_api.duties|json", R"(["autoscaler", "of a later release"])"}};
  const auto control = ReadControl(api);
  BOOST_REQUIRE(control);
  BOOST_REQUIRE(control.value().duties.has_value());
  const DutyOptions& duties = control.value().duties->duties;
  BOOST_TEST((duties.duties == std::set<Duty>{Duty::kServerOrders}));
  BOOST_TEST(duties.self == "edge-a-1");
  BOOST_TEST((duties.lease == microseconds(2500500)));
  BOOST_TEST((duties.usage_window == milliseconds(2500)));
  BOOST_TEST(control.value().duties->api.address == "10.9.0.1:80");
  const auto gateway = ReadGateway(api);
  BOOST_REQUIRE(gateway);
  BOOST_TEST((gateway.value().usage_window == milliseconds(2500)));
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

// Guards against templates with fields or sections that the scripts in review/
// cannot render: their cases would no longer start.
BOOST_AUTO_TEST_CASE(ReviewScriptsRenderGatewayTemplate) {
  const auto settings =
      gateway::ReadGatewaySettings(RenderForReview("gateway"));
  BOOST_REQUIRE_MESSAGE(settings, settings.error().message);
  BOOST_TEST(settings.value().replicas.size() == 3U);
  BOOST_TEST(settings.value().memory_mb == 260U);
  BOOST_TEST(settings.value().max_files == 4100U);
  BOOST_TEST((settings.value().usage_window == Duration(0)));
}

// Guards against the same with the settings of control replicas.
BOOST_AUTO_TEST_CASE(ReviewScriptsRenderControlTemplate) {
  const auto settings = ReadPlatformControlSettings(RenderForReview("control"));
  BOOST_REQUIRE_MESSAGE(settings, settings.error().message);
  BOOST_TEST(settings.value().control.bootstrap);
  BOOST_TEST(!settings.value().duties.has_value());
}

BOOST_AUTO_TEST_CASE(ReviewScriptsRenderSections) {
  RunReviewScript("render_test.py", "");
}

}  // namespace sycamorebend::platform
