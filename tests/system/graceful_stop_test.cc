#define BOOST_TEST_MODULE graceful_stop
#include <csignal>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "load/load_runner.h"
#include "sycamorebend/settings.h"
#include "system/test_fleet.h"

namespace sycamorebend {

namespace {

// Maximum time for a daemon to exit after SIGTERM.
constexpr Duration kStopTimeout = seconds(90);

// Shorter times than the defaults, so that a drain takes a few seconds.
FleetOptions ShortDrainOptions() {
  FleetOptions options;
  options.entry_settings["configuration_lease_ms"] = 3000;
  options.entry_settings["address_valid_ms"] = 1000;
  options.engine_settings["token_delay_us"] = 5000;
  return options;
}

// Load of streams and orders from callers that use the addresses from
// /v1/addresses.
LoadOptions CallerLoad(Fleet& fleet, Duration duration) {
  LoadOptions options;
  // An entry daemon that the test does not stop.
  options.addresses_from = fleet.Entry(2).address;
  options.requests_per_second = 40;
  options.duration = duration;
  LoadClass chat;
  chat.name = "chat";
  chat.model = "chat-1";
  chat.api_key = Fleet::ApiKey();
  chat.minimum_tokens = 20;
  chat.maximum_tokens = 200;
  LoadClass order;
  order.name = "order";
  order.kind = LoadKind::kOrder;
  order.labels = "kind=order";
  order.api_key = Fleet::ApiKey();
  options.classes = {chat, order};
  return options;
}

std::vector<std::string> CallerAddresses(Fleet& fleet, std::size_t entry) {
  HttpCall call;
  call.url = "http://" + fleet.Entry(entry).address + "/v1/addresses";
  const auto response = fleet.Client().Fetch(std::move(call));
  std::vector<std::string> addresses;
  if (response && response.value().status == 200) {
    const Json::Value body = ParseJson(response.value().body).value();
    for (const Json::Value& item : body["addresses"]) {
      addresses.push_back(item.asString());
    }
  }
  return addresses;
}

bool Contains(const std::vector<std::string>& addresses,
              const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

void CheckAllCompleted(const LoadReport& report) {
  const ClassReport total = report.Total();
  BOOST_TEST(total.started > 100U);
  BOOST_TEST(total.whole == total.started, report.ToTable());
  BOOST_TEST(total.wrong == 0U);
}

}  // namespace

// Guards against requests that fail because of a planned stop: an entry daemon,
// an engine and a service are stopped under load. LeaderStopsDuringOrders
// covers control replicas.
BOOST_AUTO_TEST_CASE(PlannedStopsLoseNoRequests) {
  FleetOptions options = ShortDrainOptions();
  options.services = 2;
  TestFleet fleet(options);
  LoadReport report;
  std::thread load([&] { report = RunLoad(CallerLoad(fleet, seconds(20))); });
  std::this_thread::sleep_for(seconds(2));
  const std::vector<Daemon*> stopped = {&fleet.Entry(0), &fleet.Engine(0),
                                        &fleet.Service(0)};
  for (Daemon* const daemon : stopped) {
    daemon->process->Signal(SIGTERM);
  }
  for (Daemon* const daemon : stopped) {
    BOOST_TEST(daemon->process->WaitForExit(kStopTimeout) == 0, daemon->name);
  }
  load.join();
  CheckAllCompleted(report);
}

// Guards against requests that are refused because the called control replica
// is stopping, although another one becomes leader.
BOOST_AUTO_TEST_CASE(LeaderStopsDuringOrders) {
  constexpr std::size_t kCallers = 6;
  FleetOptions options = ShortDrainOptions();
  options.engines = 1;
  TestFleet fleet(options);
  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::map<std::string, int> failures;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      const std::string& address = fleet.Entry(caller % 3).address;
      for (int n = 0; !stop; ++n) {
        const std::string key =
            std::to_string(caller) + "-" + std::to_string(n);
        // The first caller sends chat requests, the others send orders.
        const auto response = fleet.Client().Fetch(
            caller == 0 ? fleet.ChatCall(address, key, 10)
                        : fleet.OrderCall(address, key, "body"));
        if (!response || response.value().status != 200) {
          std::lock_guard lock(mutex);
          ++failures[response ? response.value().body
                              : response.error().message];
        }
      }
    });
  }
  for (int i = 0; i < 3; ++i) {
    Daemon& leader = fleet.Replica(fleet.WaitForLeader());
    leader.process->Signal(SIGTERM);
    BOOST_TEST(leader.process->WaitForExit(kStopTimeout) == 0);
    fleet.Start(leader);
    fleet.WaitReady(leader);
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& [failure, count] : failures) {
    BOOST_ERROR(count << " times: " << failure);
  }
}

// Guards against address lists that still contain a draining entry daemon, and
// against a draining entry daemon that refuses callers with an older list that
// contains it.
BOOST_AUTO_TEST_CASE(DrainingEntryServesUntilListsExpire) {
  TestFleet fleet(ShortDrainOptions());
  const std::string drained = fleet.Entry(0).address;
  BOOST_TEST_REQUIRE(
      WaitFor([&] { return Contains(CallerAddresses(fleet, 1), drained); }));
  OpenCall open(fleet.Client(), fleet.ChatCall(drained, "open", 2000));
  BOOST_TEST_REQUIRE(open.WaitForBytes(100));
  fleet.Entry(0).process->Signal(SIGTERM);
  // A caller with a list from before the drain.
  const auto late = fleet.Client().Fetch(fleet.ChatCall(drained, "late", 10));
  BOOST_TEST_REQUIRE(bool(late));
  BOOST_TEST(DataLines(late.value().body) ==
             DataLines(ExpectedChat("late", 10)));
  for (const std::size_t entry : {1, 2}) {
    BOOST_TEST(WaitFor(
        [&] { return !Contains(CallerAddresses(fleet, entry), drained); }));
  }
  BOOST_TEST_REQUIRE(open.WaitForEnd());
  BOOST_TEST(DataLines(open.Body()) == DataLines(ExpectedChat("open", 2000)));
  BOOST_TEST(fleet.Entry(0).process->WaitForExit(kStopTimeout) == 0);
}

// Guards against address lists that still contain a killed or suspended entry
// daemon.
BOOST_AUTO_TEST_CASE(KilledEntryLeavesAddressList) {
  TestFleet fleet(ShortDrainOptions());
  for (const int signal : {SIGKILL, SIGSTOP}) {
    Daemon& entry = fleet.Entry(signal == SIGKILL ? 0 : 1);
    entry.process->Signal(signal);
    BOOST_TEST(WaitFor(
        [&] { return !Contains(CallerAddresses(fleet, 2), entry.address); }));
  }
  const auto response =
      fleet.Client().Fetch(fleet.ChatCall(fleet.Entry(2).address, "alone", 10));
  BOOST_TEST(DataLines(response.value().body) ==
             DataLines(ExpectedChat("alone", 10)));
  fleet.Entry(1).process->Signal(SIGCONT);
}

}  // namespace sycamorebend
