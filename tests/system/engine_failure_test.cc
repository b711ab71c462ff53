#define BOOST_TEST_MODULE engine_failure
#include <csignal>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"
#include "system/test_fleet.h"

namespace sycamorebend {

namespace {

FleetOptions TwoEngines() {
  FleetOptions options;
  options.services = 0;
  options.engine_settings["token_delay_us"] = 5000;
  return options;
}

int ErrorCode(const std::string& body) {
  const auto parsed = ParseJson(body);
  return parsed && parsed.value().isObject()
             ? parsed.value()["error"]["code"].asInt()
             : 0;
}

// @return an empty string if the response is complete and correct; otherwise
// the response body or the error.
std::string UnexpectedResponse(Fleet& fleet,
                               std::size_t entry,
                               const std::string& prompt) {
  const auto response = fleet.Client().Fetch(
      fleet.ChatCall(fleet.Entry(entry).address, prompt, 10));
  if (!response) {
    return response.error().message;
  }
  const bool whole =
      response.value().status == 200 &&
      DataLines(response.value().body) == DataLines(ExpectedChat(prompt, 10));
  return whole ? std::string() : response.value().body + " ";
}

bool ServedCompletely(Fleet& fleet,
                      std::size_t entry,
                      const std::string& prompt) {
  return UnexpectedResponse(fleet, entry, prompt).empty();
}

// @return the index of the engine that runs the only open request.
std::size_t BusyEngine(Fleet& fleet) {
  std::size_t busy = 0;
  BOOST_TEST_REQUIRE(WaitFor([&] {
    for (std::size_t i = 0; i < 2; ++i) {
      if (fleet.Stats(fleet.Engine(i))["running"].asInt() > 0) {
        busy = i;
        return true;
      }
    }
    return false;
  }));
  return busy;
}

// @return the number of requests that an engine has started.
std::uint64_t Started(Fleet& fleet, std::size_t engine) {
  return fleet.Stats(fleet.Engine(engine))["started"].asUInt64();
}

}  // namespace

// Guards against a response assembled from two runs, and against a truncated
// stream that appears complete.
BOOST_AUTO_TEST_CASE(EngineCrashMidStream) {
  TestFleet fleet(TwoEngines());
  OpenCall call(fleet.Client(),
                fleet.ChatCall(fleet.Entry(0).address, "long one", 1000));
  BOOST_TEST_REQUIRE(call.WaitForBytes(1000));
  fleet.Engine(BusyEngine(fleet)).process->Kill();
  BOOST_TEST_REQUIRE(call.WaitForEnd());
  const std::string body = call.Body();
  const std::size_t error = body.find("event: error");
  BOOST_TEST(error != std::string::npos);
  BOOST_TEST(body.find("[DONE]") == std::string::npos);
  const std::string received = DataLines(body.substr(0, error));
  BOOST_TEST(!received.empty());
  BOOST_TEST(DataLines(ExpectedChat("long one", 1000)).find(received) == 0U);
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    BOOST_TEST(WaitFor([&] { return ServedCompletely(fleet, i, "next"); }));
  }
}

// Guards against a request that fails although no part of its response was
// delivered and another engine is available.
BOOST_AUTO_TEST_CASE(EngineCrashBeforeFirstToken) {
  FleetOptions options = TwoEngines();
  options.engine_settings["prefill_block_us"] = 3000000;
  TestFleet fleet(options);
  OpenCall call(fleet.Client(),
                fleet.ChatCall(fleet.Entry(0).address, "retried", 10));
  fleet.Engine(BusyEngine(fleet)).process->Kill();
  BOOST_TEST_REQUIRE(call.WaitForEnd());
  BOOST_TEST(call.Status() == 200);
  BOOST_TEST(DataLines(call.Body()) == DataLines(ExpectedChat("retried", 10)));
}

// Guards against a stream that hangs on a connection that stopped delivering
// data while new connections work, and against lost or repeated tokens after
// resuming.
BOOST_AUTO_TEST_CASE(EngineSilentMidStream) {
  TestFleet fleet(TwoEngines());
  for (std::size_t i = 0; i < 2; ++i) {
    fleet.SetBehaviour(fleet.Engine(i),
                       R"({"silent_after_tokens": 20, "silent_streams": 1})");
  }
  for (int i = 0; i < 3; ++i) {
    const std::string prompt = "silent " + std::to_string(i);
    OpenCall call(fleet.Client(),
                  fleet.ChatCall(fleet.Entry(0).address, prompt, 200));
    BOOST_TEST_REQUIRE(call.WaitForEnd());
    BOOST_TEST(DataLines(call.Body()) == DataLines(ExpectedChat(prompt, 200)));
  }
  BOOST_TEST(fleet.SumEngineStats("resumed") > 0U);
}

// Guards against an engine that continues to generate for a disconnected
// caller.
BOOST_AUTO_TEST_CASE(CallerLeavesMidStream) {
  TestFleet fleet(TwoEngines());
  OpenCall call(fleet.Client(),
                fleet.ChatCall(fleet.Entry(0).address, "left", 100000));
  BOOST_TEST_REQUIRE(call.WaitForBytes(1000));
  call.Cancel();
  BOOST_TEST(WaitFor([&] { return fleet.SumEngineStats("cancelled") == 1; }));
  BOOST_TEST(fleet.SumEngineStats("running") == 0U);
}

// Guards against an entry daemon that still sends new requests to a server 3 s
// after the server announced that it leaves.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoNewWork) {
  TestFleet fleet(TwoEngines());
  std::atomic<bool> stop{false};
  std::vector<std::thread> callers;
  std::mutex mutex;
  std::map<std::string, int> failures;
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; !stop; ++n) {
        const std::string prompt =
            std::to_string(i) + " work " + std::to_string(n);
        const std::string unexpected = UnexpectedResponse(fleet, i, prompt);
        if (!unexpected.empty()) {
          std::lock_guard lock(mutex);
          ++failures[unexpected];
        }
      }
    });
  }
  BOOST_TEST(WaitFor([&] { return Started(fleet, 0) > 10; }));
  fleet.SetBehaviour(fleet.Engine(0), R"({"leave": true})");
  std::this_thread::sleep_for(seconds(3));
  const std::uint64_t after_leave = Started(fleet, 0);
  const std::uint64_t other = Started(fleet, 1);
  BOOST_TEST(WaitFor([&] { return Started(fleet, 1) > other + 100; }));
  BOOST_TEST(Started(fleet, 0) == after_leave);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& [failure, count] : failures) {
    BOOST_ERROR(count << " times: " << failure);
  }
}

// Guards against new requests to a server that an operator drains.
BOOST_AUTO_TEST_CASE(DrainedServerGetsNoNewWork) {
  TestFleet fleet(TwoEngines());
  Json::Value params(Json::objectValue);
  params["change_id"] = "drain-1";
  params["operator"] = "test";
  params["server_id"] = "engine-1";
  BOOST_TEST_REQUIRE(bool(fleet.CallControl("control.drain", params)));
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    BOOST_TEST_REQUIRE(
        WaitFor([&] { return fleet.AcceptingServers(i).size() == 1; }));
  }
  const std::uint64_t before = Started(fleet, 0);
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST(UnexpectedResponse(fleet, static_cast<std::size_t>(i) % 3,
                                  "drained " + std::to_string(i)) == "");
  }
  BOOST_TEST(Started(fleet, 0) == before);
  params["change_id"] = "undrain-1";
  BOOST_TEST_REQUIRE(bool(fleet.CallControl("control.undrain", params)));
  BOOST_TEST(WaitFor([&] { return fleet.AcceptingServers(0).size() == 2; }));
}

// Guards against a request that crashes its server and is resent repeatedly, so
// that it crashes all servers. Other requests must still be served.
BOOST_AUTO_TEST_CASE(CrashingRequestIsQuarantined) {
  FleetOptions options = TwoEngines();
  options.engines = 3;
  TestFleet fleet(options);
  const auto set_crash_marker = [&](std::size_t i) {
    fleet.SetBehaviour(fleet.Engine(i),
                       R"({"crash_on_marker": "poison",
                           "crash_after_tokens": 3})");
  };
  for (std::size_t i = 0; i < 3; ++i) {
    set_crash_marker(i);
  }
  int crashes = 0;
  const auto restart_crashed = [&] {
    for (std::size_t i = 0; i < 3; ++i) {
      Daemon& engine = fleet.Engine(i);
      if (!engine.process->Running()) {
        ++crashes;
        fleet.Start(engine);
        fleet.WaitReady(engine);
        set_crash_marker(i);
      }
    }
  };
  int wrong_responses = 0;
  const auto quarantined = [&](std::size_t entry) {
    const auto response = fleet.Client().Fetch(
        fleet.ChatCall(fleet.Entry(entry).address, "a poison pill", 1000));
    return response && ErrorCode(response.value().body) == 305;
  };
  int other_requests = 0;
  const auto send_other_requests = [&] {
    for (int i = 0; i < 5; ++i) {
      const std::string prompt = "innocent " + std::to_string(other_requests++);
      const auto response = fleet.Client().Fetch(
          fleet.ChatCall(fleet.Entry(1).address, prompt, 10));
      // Another request may be refused while engines are down, but must never
      // be quarantined or get a wrong response.
      if (response &&
          (ErrorCode(response.value().body) == 305 ||
           (response.value().body.find("[DONE]") != std::string::npos &&
            DataLines(response.value().body) !=
                DataLines(ExpectedChat(prompt, 10))))) {
        ++wrong_responses;
      }
    }
  };
  bool found = false;
  for (int i = 0; i < 12 && !found; ++i) {
    found = quarantined(static_cast<std::size_t>(i) % 3);
    restart_crashed();
    send_other_requests();
  }
  BOOST_TEST(found);
  BOOST_TEST(wrong_responses == 0);
  BOOST_TEST_MESSAGE("engine crashes until quarantine: " << crashes);
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    BOOST_TEST(WaitFor([&] {
      const bool refused = quarantined(i);
      restart_crashed();
      return refused;
    }));
    BOOST_TEST(WaitFor([&] { return ServedCompletely(fleet, i, "after"); }));
  }
}

}  // namespace sycamorebend
