#define BOOST_TEST_MODULE harness
#include <csignal>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/http.h"
#include "system/process.h"
#include "system/relay.h"

namespace sycamorebend {

namespace {

// A fake service and a relay in front of it.
struct RelayFixture {
  RelayFixture() {
    WriteFile(directory.Path() + "/s.json",
              R"({"server_id": "s", "address": ")" + address + "\"}");
    service = std::make_unique<ChildProcess>(
        "sycamorebend-fake-service",
        std::vector<std::string>{"--settings=" + directory.Path() + "/s.json"},
        directory.Path() + "/s.log");
    relay = std::make_unique<Relay>(FreeAddress(), address);
    BOOST_TEST_REQUIRE(
        WaitFor([this] { return IsHealthy(address, seconds(1)); }));
  }

  bool IsHealthy(const std::string& target, Duration limit) const {
    HttpCall call;
    call.url = "http://" + target + "/healthz";
    call.first_byte_timeout = limit;
    call.total_timeout = limit;
    const auto response = client->Fetch(std::move(call));
    return response && response.value().status == 200;
  }

  TemporaryDirectory directory;
  std::string address = FreeAddress();
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  std::unique_ptr<ChildProcess> service;
  std::unique_ptr<Relay> relay;
};

}  // namespace

// Guards against failure tests that pass only because the relay injects no
// fault.
BOOST_FIXTURE_TEST_CASE(RelayCutsAndRestores, RelayFixture) {
  BOOST_TEST(IsHealthy(relay->Address(), seconds(10)));
  relay->Cut();
  BOOST_TEST(!IsHealthy(relay->Address(), milliseconds(500)));
  relay->Restore();
  BOOST_TEST(IsHealthy(relay->Address(), seconds(10)));
  relay->SetMode(RelayMode::kPass, RelayMode::kDrop);
  BOOST_TEST(!IsHealthy(relay->Address(), milliseconds(500)));
  relay->Restore();
  BOOST_TEST(IsHealthy(relay->Address(), seconds(10)));
  relay->DropOnOpenConnections();
  IsHealthy(relay->Address(), milliseconds(500));
  BOOST_TEST(
      WaitFor([this] { return IsHealthy(relay->Address(), seconds(10)); }));
}

BOOST_FIXTURE_TEST_CASE(ChildrenStopGracefully, RelayFixture) {
  BOOST_TEST(service->Running());
  service->Signal(SIGTERM);
  BOOST_TEST(service->WaitForExit(seconds(30)) == 0);
  BOOST_TEST(!service->Running());
}

// Guards against fake servers that accept unknown settings and ignore them.
BOOST_AUTO_TEST_CASE(UnknownSettingIsRefused) {
  const TemporaryDirectory directory;
  const std::string path = directory.Path() + "/e.json";
  WriteFile(path, "{\"server_id\": \"e\", \"adress\": \"127.0.0.1:1\"}");
  for (const char* const program :
       {"sycamorebend-fake-engine", "sycamorebend-fake-service",
        "sycamorebend-fake-weight-store", "sycamorebend-load"}) {
    const CommandResult result =
        RunCommand(program, {"--settings=" + path, "--check"});
    BOOST_TEST(result.exit_status == 2);
    BOOST_TEST(result.output.find("e.json") != std::string::npos);
  }
}

// Guards against examples that no longer work with the libraries.
BOOST_AUTO_TEST_CASE(ExamplesRun) {
  for (const char* const name :
       {"settings", "selector", "http", "rpc", "timer"}) {
    const CommandResult result = RunCommand(std::string("example-") + name, {});
    BOOST_TEST(result.exit_status == 0, name << ": " << result.output);
  }
}

}  // namespace sycamorebend
