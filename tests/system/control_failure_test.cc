#define BOOST_TEST_MODULE control_failure
#include <csignal>

#include <filesystem>
#include <set>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"
#include "system/test_fleet.h"

namespace sycamorebend {

namespace {

FleetOptions ControlOnly() {
  FleetOptions options;
  options.entries = 1;
  options.engines = 0;
  options.services = 0;
  return options;
}

Json::Value DocumentWithQueue(int max_queue) {
  Json::Value document = Fleet::DefaultDocument();
  document["classes"][0]["max_queue"] = max_queue;
  return document;
}

Json::Value ApplyParams(const std::string& change_id,
                        std::uint64_t expected_version,
                        const Json::Value& document) {
  Json::Value params(Json::objectValue);
  params["change_id"] = change_id;
  params["operator"] = change_id;
  params["expected_version"] = static_cast<Json::UInt64>(expected_version);
  params["document"] = document;
  return params;
}

bool WaitUntilInForce(Fleet& fleet, std::uint64_t version) {
  return WaitFor([&] {
    for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
      if (fleet.EntryVersion(i).value_or(0) < version) {
        return false;
      }
    }
    return true;
  });
}

Result<Json::Value> ChangeReplica(Fleet& fleet,
                                  const std::string& action,
                                  std::uint64_t id,
                                  const std::string& address) {
  Json::Value params(Json::objectValue);
  params["action"] = action;
  params["id"] = static_cast<Json::UInt64>(id);
  if (!address.empty()) {
    params["address"] = address;
  }
  return fleet.CallControl("control.replica", params, seconds(60));
}

}  // namespace

// Guards against accepted changes that are lost with the leader, and against a
// replica set that accepts no changes afterwards.
BOOST_AUTO_TEST_CASE(LeaderKilled) {
  TestFleet fleet(ControlOnly());
  const std::uint64_t before = fleet.ApplyDocument(DocumentWithQueue(11));
  const std::size_t leader = fleet.WaitForLeader();
  fleet.Replica(leader).process->Kill();
  fleet.WaitForLeader(leader);
  BOOST_TEST(fleet.ConfigurationVersion() == before);
  const std::uint64_t after = fleet.ApplyDocument(DocumentWithQueue(12));
  BOOST_TEST(after == before + 1);
  BOOST_TEST(WaitUntilInForce(fleet, after));
  // The killed replica restarts with its log, after which another one can fail.
  fleet.Start(fleet.Replica(leader));
  fleet.WaitReady(fleet.Replica(leader));
  const std::size_t second = fleet.WaitForLeader();
  fleet.Replica(second).process->Kill();
  fleet.WaitForLeader(second);
  BOOST_TEST(fleet.ConfigurationVersion() == after);
}

// Guards against a suspended leader that returns old state when it resumes.
BOOST_AUTO_TEST_CASE(LeaderFrozen) {
  TestFleet fleet(ControlOnly());
  const std::size_t leader = fleet.WaitForLeader();
  Daemon& frozen = fleet.Replica(leader);
  frozen.process->Signal(SIGSTOP);
  fleet.WaitForLeader(leader);
  const std::uint64_t version = fleet.ApplyDocument(DocumentWithQueue(21));
  BOOST_TEST(WaitUntilInForce(fleet, version));
  frozen.process->Signal(SIGCONT);
  for (int i = 0; i < 50; ++i) {
    const auto shown =
        fleet.Rpc().Call(frozen.address, "control.show",
                         Json::Value(Json::objectValue), seconds(5));
    if (shown) {
      BOOST_TEST(shown.value()["version"].asUInt64() >= version);
    }
    SleepBriefly();
  }
  BOOST_TEST(fleet.ApplyDocument(DocumentWithQueue(22)) == version + 1);
}

// Guards against changes that need all replicas instead of a majority.
BOOST_AUTO_TEST_CASE(FollowerKilledAndFrozen) {
  TestFleet fleet(ControlOnly());
  for (const int signal : {SIGKILL, SIGSTOP}) {
    const std::size_t leader = fleet.WaitForLeader();
    Daemon& follower = fleet.Replica((leader + 1) % fleet.ReplicaCount());
    follower.process->Signal(signal);
    const std::uint64_t version =
        fleet.ApplyDocument(DocumentWithQueue(30 + signal));
    BOOST_TEST(WaitUntilInForce(fleet, version));
    if (signal == SIGSTOP) {
      follower.process->Signal(SIGCONT);
    } else {
      follower.process->Kill();
      fleet.Start(follower);
    }
    fleet.WaitReady(follower);
  }
}

// Guards against losing accepted changes when a second replica fails right
// after a replica that lost its disk was replaced.
BOOST_AUTO_TEST_CASE(LostDiskThenSecondFailure) {
  TestFleet fleet(ControlOnly());
  std::uint64_t version = 0;
  for (int i = 0; i < 20; ++i) {
    version = fleet.ApplyDocument(DocumentWithQueue(100 + i));
  }
  const std::size_t leader = fleet.WaitForLeader();
  const std::size_t lost = (leader + 1) % fleet.ReplicaCount();
  const std::size_t third = (leader + 2) % fleet.ReplicaCount();
  fleet.Replica(lost).process->Kill();
  std::filesystem::remove_all(fleet.Directory() + "/data-" +
                              std::to_string(lost + 1));
  Daemon& replacement = fleet.AddJoiningReplica(4);
  fleet.Start(replacement);
  const auto removed = ChangeReplica(fleet, "remove", lost + 1, "");
  BOOST_TEST_REQUIRE(bool(removed), removed.error().message);
  const auto added = ChangeReplica(fleet, "add", 4, replacement.address);
  BOOST_TEST_REQUIRE(bool(added), added.error().message);
  BOOST_TEST_REQUIRE(
      WaitFor([&] { return bool(ChangeReplica(fleet, "promote", 4, "")); },
              seconds(60)));
  fleet.Replica(third).process->Kill();
  BOOST_TEST(fleet.ConfigurationVersion() == version);
  BOOST_TEST(fleet.ApplyDocument(DocumentWithQueue(200)) == version + 1);
  fleet.Replica(leader).process->Signal(SIGSTOP);
  fleet.Start(fleet.Replica(third));
  fleet.WaitForLeader(leader);
  BOOST_TEST(fleet.ConfigurationVersion() == version + 1);
  fleet.Replica(leader).process->Signal(SIGCONT);
}

// Guards against accepting two concurrent changes with the same version, and
// against a resent change that is applied again or gets a different result.
BOOST_AUTO_TEST_CASE(OperatorsRace) {
  constexpr int kOperators = 8;
  TestFleet fleet(ControlOnly());
  for (int round = 0; round < 5; ++round) {
    const std::uint64_t version = fleet.ConfigurationVersion();
    std::vector<std::vector<Result<Json::Value>>> results(kOperators);
    std::vector<std::thread> threads;
    threads.reserve(kOperators);
    for (int i = 0; i < kOperators; ++i) {
      threads.emplace_back([&, i] {
        const Json::Value params = ApplyParams(
            "race-" + std::to_string(round) + "-" + std::to_string(i), version,
            DocumentWithQueue(1000 + 100 * round + i));
        for (int resend = 0; resend < 3; ++resend) {
          results[static_cast<std::size_t>(i)].push_back(
              fleet.CallControl("control.apply", params, seconds(30)));
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    int winners = 0;
    for (const auto& list : results) {
      BOOST_TEST(std::all_of(list.begin(), list.end(), [&](const auto& item) {
        return bool(item) == bool(list.front());
      }));
      if (list.front()) {
        ++winners;
        for (const auto& item : list) {
          BOOST_TEST(item.value()["version"].asUInt64() == version + 1);
        }
      } else {
        BOOST_TEST((list.front().error().code == ResultCode::kVersionConflict),
                   list.front().error().message);
      }
    }
    BOOST_TEST(winners == 1);
    BOOST_TEST(fleet.ConfigurationVersion() == version + 1);
  }
}

// Guards against applying a change twice when it is resent after the leader was
// killed.
BOOST_AUTO_TEST_CASE(ResendAfterLeaderKilled) {
  TestFleet fleet(ControlOnly());
  const std::uint64_t version = fleet.ConfigurationVersion();
  const Json::Value params =
      ApplyParams("resend", version, DocumentWithQueue(41));
  const auto first = fleet.CallControl("control.apply", params);
  BOOST_TEST_REQUIRE(bool(first));
  const std::size_t leader = fleet.WaitForLeader();
  fleet.Replica(leader).process->Kill();
  fleet.WaitForLeader(leader);
  const auto second = fleet.CallControl("control.apply", params, seconds(30));
  BOOST_TEST_REQUIRE(bool(second));
  BOOST_TEST(second.value()["version"] == first.value()["version"]);
  BOOST_TEST(fleet.ConfigurationVersion() == version + 1);
  const auto reused = fleet.CallControl(
      "control.apply", ApplyParams("resend", version, DocumentWithQueue(42)));
  BOOST_TEST_REQUIRE(!reused);
  BOOST_TEST((reused.error().code == ResultCode::kChangeIdReused));
}

}  // namespace sycamorebend
