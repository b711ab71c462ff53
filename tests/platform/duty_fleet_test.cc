#define BOOST_TEST_MODULE platform_duty
// Usage reports of a fleet whose control replicas are killed, frozen and
// stopped, with a platform that checks them.
#include <signal.h>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway/scripted_server.h"
#include "platform/busy_gateway.h"
#include "platform/duty_stand_in.h"
#include "platform/platform_fleet.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::platform {

namespace {

using gateway::ReceivedRequest;
using gateway::ScriptedServer;
using gateway::Socket;

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kGateways = 2;
constexpr Duration kReportTimeout = seconds(90);

bool Serve(const ReceivedRequest& request, Socket& socket) {
  const std::string id = request.Header(kRequestId);
  const std::string echo =
      id.empty() ? std::string() : fmt::format("{}: {}\r\n", kRequestId, id);
  return socket.Send(fmt::format(
      "HTTP/1.1 200 OK\r\n{}{}Content-Length: 2\r\n\r\nok", echo, kSignature));
}

// Three replicas, two gateways and a server that serves each request.
struct DutyFixture {
  DutyFixture()
      : server(Serve),
        fleet(kReplicas,
              kGateways,
              /*max_followers=*/8,
              /*silent_seeds=*/0,
              {{"cloud_api", "1"},
               {"cloud_api.address|json", '"' + this->platform.Address() + '"'},
               {"cloud_api.duties|json", R"(["metering"])"},
               {"bounds.report_window_s", "2"}}) {
    BOOST_REQUIRE(
        WaitFor([&] { return this->fleet.Replace(1); }, kStepTimeout));
    for (std::size_t i = 0; i < kGateways; ++i) {
      BOOST_REQUIRE(WaitFor(
          [&] {
            this->Announce();
            return this->Request(i);
          },
          kStepTimeout));
    }
  }

  bool Announce() {
    return this->fleet.Announce("engine", this->server.Address());
  }

  // Sends a request of customer "t".
  // @return true if it was served.
  bool Request(std::size_t gateway) {
    HttpCall call;
    call.url = "http://" + this->fleet.CallerAddress(gateway) + "/a/x";
    call.headers = {{"Host", "h.example"}, {"Authorization", "Bearer k1"}};
    call.total_timeout = seconds(2);
    const Result<HttpResponse> response = this->client->Fetch(call);
    return response && response.value().status == 200;
  }

  void SendRequests(int count) {
    for (int i = 0; i < count; ++i) {
      const auto served = [&] {
        this->Announce();
        return this->Request(static_cast<std::size_t>(i) % kGateways);
      };
      BOOST_REQUIRE(WaitFor(served, kStepTimeout));
    }
  }

  // @return true once each request that the server got is reported.
  bool AllReported() {
    this->Announce();
    return this->platform.Reported("t") == this->server.Requests().size();
  }

  // @return the index of the replica that holds the duty.
  std::size_t Holder() {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (this->platform.LastOwner() == fmt::format("control-{}", i)) {
        return i;
      }
    }
    return kReplicas;
  }

  void CheckRules() {
    for (const std::string& violation : this->platform.Violations()) {
      BOOST_ERROR(violation);
    }
  }

  ScriptedServer server;
  DutyStandIn platform;
  PlatformFleet fleet;
  const std::unique_ptr<HttpClient> client = HttpClient::Create(1);
};

}  // namespace

// Guards against counts that are lost, or reported twice, when the holder of
// the duty is killed.
BOOST_FIXTURE_TEST_CASE(UsageIsReportedAcrossAKill, DutyFixture) {
  this->SendRequests(10);
  BOOST_REQUIRE(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  const std::size_t holder = this->Holder();
  BOOST_REQUIRE(holder < kReplicas);
  this->SendRequests(6);
  this->fleet.Replica(holder).Kill();
  this->SendRequests(6);
  BOOST_TEST(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  BOOST_TEST(this->Holder() != holder);
  this->CheckRules();
}

// Guards against operators who cannot see who holds a duty.
BOOST_FIXTURE_TEST_CASE(OperatorsSeeTheDuty, DutyFixture) {
  this->SendRequests(2);
  BOOST_REQUIRE(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  const std::size_t holder = this->Holder();
  const std::string address = this->fleet.ReplicaAddress(holder);
  const CommandResult shown =
      RunCommand("sycamorebend-ctl", {"duties", "--control=" + address});
  BOOST_TEST(shown.exit_status == 0);
  BOOST_TEST_INFO(shown.output);
  BOOST_TEST(gateway::Contains(shown.output, this->platform.LastOwner()));
  HttpCall call;
  call.url = "http://" + address + "/metrics";
  const Result<HttpResponse> page = this->client->Fetch(call);
  BOOST_REQUIRE(page);
  BOOST_TEST(gateway::Contains(
      page.value().body,
      fmt::format("duty_token{{duty=\"usage\",holder=\"control-{}\"}}",
                  holder)));
}

// Guards against a planned stop that leaves the duty with a VM that is gone,
// and against counts that are lost by it.
BOOST_FIXTURE_TEST_CASE(StoppedHolderReleasesTheDuty, DutyFixture) {
  this->SendRequests(6);
  BOOST_REQUIRE(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  const std::size_t holder = this->Holder();
  this->SendRequests(6);
  this->fleet.Replica(holder).Signal(SIGTERM);
  BOOST_TEST(this->fleet.Replica(holder).WaitForExit(kStepTimeout) == 0);
  BOOST_TEST(
      WaitFor([&] { return this->AllReported() && this->Holder() != holder; },
              kReportTimeout));
  this->CheckRules();
}

// Guards against a gateway that ends before it has reported its last requests.
BOOST_FIXTURE_TEST_CASE(StoppedGatewayReportsEverything, DutyFixture) {
  this->SendRequests(10);
  this->fleet.Gateway(0).Signal(SIGTERM);
  BOOST_TEST(this->fleet.Gateway(0).WaitForExit(kStepTimeout) == 0);
  BOOST_TEST(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  this->CheckRules();
}

// Guards against windows that are reported again with other counts, or lower
// tokens, after all processes lost power.
BOOST_FIXTURE_TEST_CASE(UsageIsReportedAfterAPowerLoss, DutyFixture) {
  this->SendRequests(6);
  BOOST_REQUIRE(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  this->fleet.RestartAll();
  this->SendRequests(6);
  BOOST_TEST(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  this->CheckRules();
}

// Guards against a holder that acts after a freeze in which another one took
// the duty.
BOOST_FIXTURE_TEST_CASE(FrozenHolderSendsNothing, DutyFixture) {
  this->SendRequests(6);
  BOOST_REQUIRE(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  const std::size_t holder = this->Holder();
  this->fleet.Replica(holder).Signal(SIGSTOP);
  this->SendRequests(6);
  BOOST_TEST(
      WaitFor([&] { return this->AllReported() && this->Holder() != holder; },
              kReportTimeout));
  this->fleet.Replica(holder).Signal(SIGCONT);
  const std::size_t accepted = this->platform.Accepted();
  BOOST_TEST(WaitFor([&] { return this->platform.Accepted() > accepted + 2; },
                     kReportTimeout));
  BOOST_TEST(this->Holder() != holder);
  this->CheckRules();
}

// Guards against late executions of calls without a response that overwrite
// newer ones, and against resends with other counts.
BOOST_FIXTURE_TEST_CASE(SilentPlatformExecutesLate, DutyFixture) {
  this->platform.SetSilent(true);
  this->SendRequests(6);
  BOOST_REQUIRE(
      WaitFor([&] { return this->platform.Kept() >= 2; }, kReportTimeout));
  this->platform.SetSilent(false);
  BOOST_TEST(WaitFor([&] { return this->AllReported(); }, kReportTimeout));
  this->platform.ExecuteLate();
  BOOST_TEST(this->AllReported());
  this->CheckRules();
}

}  // namespace sycamorebend::platform
