// The feed between the programs of both roles.
#define BOOST_TEST_MODULE platform_fleet
#include <boost/test/unit_test.hpp>

#include <signal.h>

#include <chrono>

#include "platform/platform_fleet.h"

namespace sycamorebend::platform {

// Guards against gateways that get no change of the configuration because the
// replicas that are left are full, and refer them to daemons that do not serve
// the feed.
BOOST_AUTO_TEST_CASE(ChangeReachesGatewaysBeyondTheLimitOfTheReplicas) {
  constexpr std::size_t kReplicas = 5;
  constexpr std::size_t kGateways = 12;
  constexpr std::size_t kMaxFollowers = 2;
  PlatformFleet fleet(kReplicas, kGateways, kMaxFollowers);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(1); }, kStepTimeout));
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(1) == kGateways; }, kStepTimeout));
  // The loss of two replicas is borne once all are voters.
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.Voters() == kReplicas; }, kStepTimeout));
  // One of the two lost replicas refuses connections, the other is silent.
  fleet.Replica(0).Kill();
  fleet.Replica(1).Signal(SIGSTOP);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(2); }, kStepTimeout));
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(2) == kGateways; }, kStepTimeout));
  // No gateway was asked for the feed.
  BOOST_TEST(fleet.GatewayLogs().find("\"target\":\"/rpc\"") ==
             std::string::npos);
}

// Guards against a gateway that, after a restart of all processes, puts an
// older configuration in force than the one that was acknowledged last, because
// a replica confirms the states through which it applies its log.
BOOST_AUTO_TEST_CASE(RestartOfAllProcessesBringsBackNoOlderConfiguration) {
  constexpr std::size_t kReplicas = 5;
  constexpr std::size_t kGateways = 12;
  constexpr std::uint64_t kChangesBetweenFaults = 25;
  constexpr int kRestarts = 4;
  PlatformFleet fleet(kReplicas, kGateways, /*max_followers=*/64);
  std::uint64_t version = 0;
  const auto change = [&] {
    ++version;
    BOOST_TEST_REQUIRE(
        WaitFor([&] { return fleet.Replace(version); }, kStepTimeout),
        "version " << version << " is not acknowledged");
  };
  const auto all_vote = [&] { return fleet.Voters() == kReplicas; };
  change();
  BOOST_REQUIRE(WaitFor(all_vote, kStepTimeout));
  for (int restart = 0; restart < kRestarts; ++restart) {
    // The replica comes back under another ID: the log has changes of the
    // replica set between those of the configuration.
    fleet.LoseDisk(kReplicas - 1);
    fleet.StartReplica(kReplicas - 1);
    BOOST_REQUIRE(WaitFor(all_vote, kStepTimeout));
    for (std::uint64_t i = 0; i < kChangesBetweenFaults; ++i) {
      change();
    }
    fleet.RestartAll();
    BOOST_TEST_REQUIRE(
        WaitFor([&] { return fleet.InForce(version) == kGateways; },
                kStepTimeout),
        "version " << version << " is not in force everywhere");
    for (const std::uint64_t used : fleet.VersionsInForceSinceStart()) {
      BOOST_TEST(used >= version, "after restart " << restart << ", version "
                                                   << used << " instead of "
                                                   << version);
    }
  }
}

// Guards against gateways that ask replicas which stopped responding, and the
// machines of earlier ones, one after the other: a change was not in force in
// time after its acknowledgement.
BOOST_AUTO_TEST_CASE(ChangeIsInForceInTimeWithSilentReplicas) {
  constexpr std::size_t kReplicas = 5;
  constexpr std::size_t kGateways = 12;
  constexpr std::size_t kSilentSeeds = 5;
  // config_apply_ms of the small deployments.
  constexpr Duration kApplyTime = seconds(2);
  PlatformFleet fleet(kReplicas, kGateways, /*max_followers=*/64, kSilentSeeds);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(1); }, kStepTimeout));
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(1) == kGateways; }, kStepTimeout));
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.Voters() == kReplicas; }, kStepTimeout));
  // Two replicas stop that gateways use and that do not lead, so that a change
  // is acknowledged at once.
  const std::size_t leader = fleet.Leader();
  BOOST_REQUIRE(leader < kReplicas);
  for (std::size_t stopped = 0, i = 0; stopped < 2; ++i) {
    if (i != leader) {
      fleet.Replica(i).Signal(SIGSTOP);
      ++stopped;
    }
  }
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.Replace(2, leader); }, kStepTimeout));
  const auto acknowledged = std::chrono::steady_clock::now();
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(2) == kGateways; }, kStepTimeout));
  const auto elapsed = std::chrono::steady_clock::now() - acknowledged;
  BOOST_TEST_MESSAGE(
      "in force after "
      << std::chrono::duration_cast<milliseconds>(elapsed).count() << " ms");
  BOOST_TEST((elapsed < kApplyTime));
}

// Replaces all control replicas of the start, one after the other.
static void ReplaceAllReplicas(PlatformFleet& fleet, std::size_t replicas) {
  const auto all_vote = [&] { return fleet.PresentReplicasVote(); };
  BOOST_REQUIRE(WaitFor(all_vote, kStepTimeout));
  for (std::size_t i = 0; i < replicas; ++i) {
    fleet.ReplaceReplica(i);
    BOOST_REQUIRE(WaitFor(all_vote, kStepTimeout));
  }
}

// Waits until all gateways know each other.
static void WaitForCompleteState(PlatformFleet& fleet,
                                 std::uint64_t next_version) {
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.Replace(next_version); }, kStepTimeout));
  const auto complete = [&] {
    const Json::Value state = fleet.SharedStateAt(fleet.ReplicaAddress(0));
    return state["entries"].size() == fleet.Gateways();
  };
  BOOST_REQUIRE(WaitFor(complete, kStepTimeout));
  // A later version comes with the entries.
  ++next_version;
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.Replace(next_version); }, kStepTimeout));
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.InForce(next_version) == fleet.Gateways(); },
              kStepTimeout));
}

// Guards against a gateway that goes on by an old configuration for good, since
// all replicas that it knows were replaced while it was frozen.
BOOST_AUTO_TEST_CASE(GatewayThatMissedTheReplacementOfAllReplicasGetsChanges) {
  constexpr std::size_t kReplicas = 5;
  constexpr std::size_t kGateways = 3;
  PlatformFleet fleet(kReplicas, kGateways, /*max_followers=*/64);
  WaitForCompleteState(fleet, 1);
  fleet.Gateway(0).Signal(SIGSTOP);
  ReplaceAllReplicas(fleet, kReplicas);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(3); }, kStepTimeout));
  fleet.Gateway(0).Signal(SIGCONT);
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(3) == kGateways; }, kStepTimeout));
}

// Guards against the same where no gateway knows a live replica.
BOOST_AUTO_TEST_CASE(GatewaysThatAllMissedTheReplacementGetChanges) {
  constexpr std::size_t kReplicas = 5;
  constexpr std::size_t kGateways = 3;
  PlatformFleet fleet(kReplicas, kGateways, /*max_followers=*/64);
  WaitForCompleteState(fleet, 1);
  for (std::size_t i = 0; i < kGateways; ++i) {
    fleet.Gateway(i).Signal(SIGSTOP);
  }
  ReplaceAllReplicas(fleet, kReplicas);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(3); }, kStepTimeout));
  for (std::size_t i = 0; i < kGateways; ++i) {
    fleet.Gateway(i).Signal(SIGCONT);
  }
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(3) == kGateways; }, kStepTimeout));
}

// Guards against a replica that lost its disk while all others were replaced,
// and asks only its seeds, which are gone, for a place in the replica set.
BOOST_AUTO_TEST_CASE(ReplicaWithoutADiskFindsTheSuccessorsOfItsSeeds) {
  constexpr std::size_t kReplicas = 5;
  constexpr std::size_t kLost = kReplicas - 1;
  PlatformFleet fleet(kReplicas, /*gateways=*/1, /*max_followers=*/64);
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.PresentReplicasVote(); }, kStepTimeout));
  fleet.LoseDisk(kLost);
  for (std::size_t i = 0; i < kLost; ++i) {
    fleet.ReplaceReplica(i);
    // One of the replicas that are down was removed for it: the loss of the
    // next one is borne.
    const auto replaced = [&] {
      const std::set<std::string> voters = fleet.VoterAddresses();
      return voters.size() == kReplicas &&
             voters.count(fleet.ReplicaAddress(i)) > 0;
    };
    BOOST_REQUIRE(WaitFor(replaced, kStepTimeout));
  }
  fleet.StartReplica(kLost);
  BOOST_TEST(
      WaitFor([&] { return fleet.PresentReplicasVote(); }, kStepTimeout));
}

// Guards against an address in the shared state or in a look-up at which the
// named program does not serve what the address is given out for.
BOOST_AUTO_TEST_CASE(AddressesGivenOutAreServed) {
  constexpr std::size_t kReplicas = 3;
  constexpr std::size_t kGateways = 2;
  PlatformFleet fleet(kReplicas, kGateways, /*max_followers=*/8);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(1); }, kStepTimeout));
  const auto complete = [&] {
    const Json::Value state = fleet.SharedStateAt(fleet.ReplicaAddress(0));
    return state["entries"].size() == kGateways &&
           state["replicas"].size() == kReplicas;
  };
  BOOST_REQUIRE(WaitFor(complete, kStepTimeout));
  const Json::Value state = fleet.SharedStateAt(fleet.ReplicaAddress(0));
  for (const Json::Value& replica : state["replicas"]) {
    BOOST_TEST(fleet.SharedStateAt(replica.asString()).isObject());
  }
  // A gateway does not serve the feed, so it must not be given out as a relay.
  for (const Json::Value& entry : state["entries"]) {
    BOOST_TEST(!entry.isMember("feed_address"));
  }
  const Json::Value addresses = fleet.LookUp(0);
  BOOST_TEST(addresses.size() == kGateways);
  for (const Json::Value& address : addresses) {
    BOOST_TEST(fleet.Serves(address.asString()));
  }
}

}  // namespace sycamorebend::platform
