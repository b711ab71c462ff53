#include "scaling/order_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace sycamorebend {

namespace {

struct FakeDuties : DutyHolder, DemandSource, DutyApi {
  std::optional<DutyGrant> Current(Duty duty) override {
    return this->holds ? std::make_optional(DutyGrant{duty, "core-a", 7})
                       : std::nullopt;
  }
  void Renew(Duty /*duty*/) override { ++this->renewals; }
  std::optional<DemandReport> CurrentDemand() override {
    return this->leads ? std::make_optional(this->demand) : std::nullopt;
  }
  void ReportUsage(const DutyGrant&, const UsageRecord&, Callback) override {}
  void OrderServers(const DutyGrant& /*grant*/,
                    const ServerOrder& order,
                    Callback callback) override {
    this->orders.push_back(order);
    this->callbacks.push_back(std::move(callback));
  }

  bool holds = true;
  bool leads = true;
  int renewals = 0;
  DemandReport demand;
  std::vector<ServerOrder> orders;
  std::vector<Callback> callbacks;
};

struct RunnerFixture {
  RunnerFixture() {
    state->configuration_version = 1;
    for (const char* domain : {"a", "b"}) {
      for (int i = 0; i < 10; ++i) {
        ServerRecord server;
        server.server_id = domain + std::to_string(i);
        server.service = "llm";
        server.failure_domain = domain;
        state->servers.push_back(server);
      }
    }
    ServiceDemandReport& demand = duties.demand.services["llm"];
    demand.requests_per_s = 40;
    demand.prompt_tokens_per_s = 200000;
    duties.demand.gateways = 10;
    duties.demand.reporting_gateways = 10;
  }

  void Run(int seconds_to_run) {
    for (int i = 0; i < seconds_to_run * 5; ++i) {
      clock.Advance(milliseconds(200));
      runner->Tick();
    }
  }
  void Respond(DutyCallResult result) {
    for (const auto& callback : std::exchange(duties.callbacks, {})) {
      callback(result);
    }
  }

  ManualClock clock;
  FakeDuties duties;
  std::shared_ptr<SharedState> state = std::make_shared<SharedState>();
  std::map<std::string, ScalingRules> rules = {
      {"llm", {1, 40, seconds(4), 0.2, {}}}};
  std::unique_ptr<EngineOrderRunner> runner =
      std::make_unique<EngineOrderRunner>(
          duties,
          duties,
          duties,
          [this] { return state; },
          [this](const Json::Value&) { return rules; },
          clock);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(OrderRunnerTest, RunnerFixture)

// Guards against calls without the right to them, and against two calls for
// the same engines at once.
BOOST_AUTO_TEST_CASE(OrdersOnlyWithAGrant) {
  duties.holds = false;
  Run(5);
  BOOST_TEST(duties.orders.empty());
  duties.holds = true;
  Run(5);
  BOOST_TEST(duties.orders.size() == 2U);
  BOOST_TEST(duties.orders[0].service == "llm");
  BOOST_TEST(duties.orders[0].reclaimable);
  BOOST_TEST(!duties.orders[0].reason.empty());
  Respond(DutyCallResult::kAccepted);
  Run(1);
  BOOST_TEST(runner->StatusReport()["llm"]["orders"]["accepted"].asInt() == 2);
}

// Guards against further calls with a token that was refused or whose call may
// be executed late.
BOOST_AUTO_TEST_CASE(TakesANewTokenAfterAFailedCall) {
  Run(5);
  Respond(DutyCallResult::kRejected);
  BOOST_TEST(duties.renewals == 2);
  Run(5);
  Respond(DutyCallResult::kUnknown);
  BOOST_TEST(duties.renewals == 4);
  Run(10);
  Respond(DutyCallResult::kLimited);
  BOOST_TEST(duties.renewals == 4);
}

// Guards against orders of a replica that no longer leads, from what it knew
// when it did, and against results that arrive after that.
BOOST_AUTO_TEST_CASE(ForgetsWhenItNoLongerLeads) {
  Run(5);
  duties.leads = false;
  Run(1);
  Respond(DutyCallResult::kAccepted);
  const std::size_t before = duties.orders.size();
  Run(30);
  BOOST_TEST(duties.orders.size() == before);
  BOOST_TEST(runner->StatusReport().empty());
  Run(1);
  runner.reset();
  Respond(DutyCallResult::kUnknown);
}

// Guards against orders for services whose configuration does not ask for them.
BOOST_AUTO_TEST_CASE(OtherServicesAreLeftAlone) {
  rules.clear();
  Run(30);
  BOOST_TEST(duties.orders.empty());
}

// Guards against engines of one kind that are counted as the other.
BOOST_AUTO_TEST_CASE(CountsEnginesByKind) {
  state->servers[0].reclaimable = true;
  state->servers[1].leaving = true;
  state->servers[2].silent = true;
  Run(2);
  int announced = 0;
  const Json::Value report = runner->StatusReport();
  for (const Json::Value& group : report["llm"]["groups"]) {
    if (group["failure_domain"] == "a" && group["kind"] == "ordinary") {
      announced = group["announced"].asInt();
    }
  }
  BOOST_TEST(announced == 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend
