#define BOOST_TEST_MODULE order_failure
#include <csignal>

#include <thread>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"
#include "system/test_fleet.h"

namespace sycamorebend {

namespace {

FleetOptions OrderFleet() {
  FleetOptions options;
  options.engines = 0;
  return options;
}

struct OrderResult {
  int status = 0;
  int code = 0;
  std::string ran;
  std::string body;
};

OrderResult ParseOrderResponse(int status, const std::string& body) {
  OrderResult result;
  result.status = status;
  result.body = body;
  const auto parsed = ParseJson(body);
  if (parsed && parsed.value().isObject() &&
      parsed.value()["error"].isObject()) {
    result.code = parsed.value()["error"]["code"].asInt();
    result.ran = parsed.value()["error"]["ran"].asString();
  }
  return result;
}

OrderResult SendOrder(Fleet& fleet,
                      std::size_t entry,
                      const std::string& key,
                      int deadline_ms = 20000) {
  HttpCall call =
      fleet.OrderCall(fleet.Entry(entry).address, key, "body of " + key);
  call.headers.push_back(
      {"X-Sycamorebend-Deadline-Ms", std::to_string(deadline_ms)});
  const auto response = fleet.Client().Fetch(std::move(call));
  if (!response) {
    return OrderResult{};
  }
  return ParseOrderResponse(response.value().status, response.value().body);
}

int RunCount(Fleet& fleet, const std::string& key) {
  return fleet.Stats(fleet.Service(0))["runs_by_key"][key].asInt();
}

// @return the state of an order's record, or an empty text.
std::string RecordState(Fleet& fleet, const std::string& key) {
  Json::Value params(Json::objectValue);
  params["customer"] = "customer-1";
  params["key"] = key;
  const auto record = fleet.CallControl("order.get", params, seconds(5));
  return record ? record.value()["record"]["state"].asString() : std::string();
}

// Sends an order whose grant is recorded by the leader, while the response with
// the grant does not reach the entry daemon.
std::unique_ptr<OpenCall> BeginWithoutGrant(Fleet& fleet,
                                            const std::string& key) {
  const std::size_t leader = fleet.WaitForLeader();
  fleet.ControlRelay(leader).SetMode(RelayMode::kPass, RelayMode::kDrop);
  auto call = std::make_unique<OpenCall>(
      fleet.Client(),
      fleet.OrderCall(fleet.Entry(0).address, key, "body of " + key));
  BOOST_TEST_REQUIRE(
      WaitFor([&] { return RecordState(fleet, key) == "started"; }));
  return call;
}

}  // namespace

// Guards against a second run, or a wrong "not_run", when the entry daemon is
// killed after the grant and before it has sent the order.
BOOST_AUTO_TEST_CASE(EntryKilledBeforeSending) {
  FleetOptions options = OrderFleet();
  options.relay_control = true;
  TestFleet fleet(options);
  const auto call = BeginWithoutGrant(fleet, "k-1");
  fleet.Entry(0).process->Kill();
  for (std::size_t i = 0; i < fleet.ReplicaCount(); ++i) {
    fleet.ControlRelay(i).Restore();
  }
  for (int resend = 0; resend < 2; ++resend) {
    const OrderResult result = SendOrder(fleet, 1, "k-1", 3000);
    BOOST_TEST(result.ran != "not_run", result.body);
    BOOST_TEST(result.status != 200);
  }
  BOOST_TEST(RunCount(fleet, "k-1") == 0);
  // Other orders are not affected.
  BOOST_TEST(SendOrder(fleet, 1, "k-2").status == 200);
}

// Guards against a run after the right to send has expired: the entry daemon is
// suspended after the grant and before it has sent the order, and resumes much
// later.
BOOST_AUTO_TEST_CASE(EntryFrozenBeforeSending) {
  FleetOptions options = OrderFleet();
  options.relay_control = true;
  TestFleet fleet(options);
  const auto call = BeginWithoutGrant(fleet, "k-1");
  fleet.Entry(0).process->Signal(SIGSTOP);
  for (std::size_t i = 0; i < fleet.ReplicaCount(); ++i) {
    fleet.ControlRelay(i).Restore();
  }
  const OrderResult result = SendOrder(fleet, 1, "k-1", 7000);
  BOOST_TEST(result.ran != "not_run", result.body);
  fleet.Entry(0).process->Signal(SIGCONT);
  // The entry daemon that holds the grant records the outcome itself.
  BOOST_TEST(WaitFor([&] { return RecordState(fleet, "k-1") == "not_run"; }));
  BOOST_TEST(call->WaitForEnd());
  const OrderResult resolved = SendOrder(fleet, 1, "k-1");
  BOOST_TEST(resolved.ran == "not_run", resolved.body);
  BOOST_TEST(RunCount(fleet, "k-1") == 0);
}

// Guards against a second run when the entry daemon is killed after it sent the
// order and before it recorded the outcome.
BOOST_AUTO_TEST_CASE(EntryKilledAfterSending) {
  TestFleet fleet(OrderFleet());
  fleet.SetBehaviour(fleet.Service(0), R"({"delay_ms": 2000})");
  OpenCall call(fleet.Client(),
                fleet.OrderCall(fleet.Entry(0).address, "k-1", "body of k-1"));
  BOOST_TEST_REQUIRE(WaitFor(
      [&] { return fleet.Stats(fleet.Service(0))["received"].asInt() == 1; }));
  fleet.Entry(0).process->Kill();
  const OrderResult result = SendOrder(fleet, 1, "k-1", 5000);
  BOOST_TEST(result.ran != "not_run", result.body);
  BOOST_TEST(WaitFor([&] { return RunCount(fleet, "k-1") == 1; }));
  BOOST_TEST(SendOrder(fleet, 2, "k-1", 3000).ran != "not_run");
  BOOST_TEST(RunCount(fleet, "k-1") == 1);
}

// Guards against a second run when the service does not respond, before or
// after it ran the order.
BOOST_AUTO_TEST_CASE(ServiceSilent) {
  TestFleet fleet(OrderFleet());
  for (const char* const phase : {"before", "after"}) {
    fleet.SetBehaviour(fleet.Service(0),
                       std::string(R"({"silence": ")") + phase + "\"}");
    const std::string key = std::string("silent-") + phase;
    for (std::size_t entry = 0; entry < 3; ++entry) {
      const OrderResult result = SendOrder(fleet, entry, key, 3000);
      BOOST_TEST(result.ran == "unknown", result.body);
    }
    BOOST_TEST(RunCount(fleet, key) == (key == "silent-after" ? 1 : 0));
  }
}

// Guards against orders that are lost or run twice while the leader changes,
// and against a wrong "not_run".
BOOST_AUTO_TEST_CASE(LeaderKilledDuringOrders) {
  constexpr int kOrders = 60;
  TestFleet fleet(OrderFleet());
  std::vector<OrderResult> results(kOrders);
  std::vector<std::thread> callers;
  callers.reserve(3);
  for (int caller = 0; caller < 3; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = caller; i < kOrders; i += 3) {
        results[static_cast<std::size_t>(i)] =
            SendOrder(fleet, static_cast<std::size_t>(caller),
                      "order-" + std::to_string(i));
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(50));
  const std::size_t leader = fleet.WaitForLeader();
  fleet.Replica(leader).process->Kill();
  for (std::thread& caller : callers) {
    caller.join();
  }
  int completed = 0;
  for (int i = 0; i < kOrders; ++i) {
    const OrderResult& result = results[static_cast<std::size_t>(i)];
    const int runs = RunCount(fleet, "order-" + std::to_string(i));
    BOOST_TEST(runs <= 1);
    if (result.status == 200) {
      ++completed;
      BOOST_TEST(runs == 1);
    }
    if (result.ran == "not_run") {
      BOOST_TEST(runs == 0, result.body);
    }
  }
  BOOST_TEST(completed > 0);
  fleet.WaitForLeader(leader);
  BOOST_TEST(SendOrder(fleet, 0, "after").status == 200);
}

// Guards against accepting a key again with another body, or an order without a
// key.
BOOST_AUTO_TEST_CASE(KeyIsRequiredAndNotReusable) {
  TestFleet fleet(OrderFleet());
  BOOST_TEST(SendOrder(fleet, 0, "k").status == 200);
  HttpCall reused = fleet.OrderCall(fleet.Entry(1).address, "k", "other body");
  const auto second = fleet.Client().Fetch(reused);
  BOOST_TEST(
      ParseOrderResponse(second.value().status, second.value().body).code ==
      402);
  HttpCall keyless = fleet.OrderCall(fleet.Entry(1).address, "", "body");
  keyless.headers.pop_back();
  const auto third = fleet.Client().Fetch(keyless);
  BOOST_TEST(
      ParseOrderResponse(third.value().status, third.value().body).code == 401);
  BOOST_TEST(fleet.Stats(fleet.Service(0))["executions"].asInt() == 1);
}

}  // namespace sycamorebend
