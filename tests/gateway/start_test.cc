#include <boost/test/unit_test.hpp>

#include "gateway/gateway.h"
#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

GatewaySettings MakeSettings() {
  GatewaySettings settings;
  settings.entry_id = "e1";
  settings.failure_domain = "a";
  settings.caller_address = "127.0.0.1:0";
  settings.admin_address = "127.0.0.1:0";
  settings.exchange_address = "127.0.0.1:0";
  // No server listens on this port.
  settings.replicas = {"127.0.0.1:1"};
  return settings;
}

}  // namespace

// Guards against a gateway that does not start because its metrics port is in
// use, and against one that ignores that its caller address is in use.
BOOST_AUTO_TEST_CASE(MetricsPortInUseDoesNotStopTheGateway) {
  const SystemClock clock;
  const TestFormat format;
  const auto loop = net::EventLoop::Create(clock);
  const auto first = Gateway::Start(MakeSettings(), format, *loop, clock);
  BOOST_REQUIRE(first);
  GatewaySettings settings = MakeSettings();
  settings.metrics_address = first.value()->AdminAddress();
  BOOST_TEST(Gateway::Start(settings, format, *loop, clock).has_value());
  settings.caller_address = first.value()->CallerAddress();
  BOOST_TEST(!Gateway::Start(settings, format, *loop, clock).has_value());
}

}  // namespace sycamorebend::gateway
