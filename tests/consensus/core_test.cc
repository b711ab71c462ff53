#define BOOST_TEST_MODULE consensus_core
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <optional>
#include <thread>

#include "simulation.h"

namespace sycamorebend {

namespace {

constexpr std::uint64_t kSchedules = 3000;
// Number of schedules within which a disabled safeguard must cause a violation.
constexpr std::uint64_t kSchedulesToDetect = 400;
constexpr unsigned kThreads = 3;

// Reads SB_SEED=n, which runs one schedule, or SB_SCHEDULES=n, which sets the
// number of schedules.
std::optional<std::uint64_t> NumberFromEnvironment(const char* name) {
  const char* text = std::getenv(name);
  return text == nullptr ? std::nullopt
                         : std::optional(std::strtoull(text, nullptr, 10));
}

struct RunResult {
  SimulationCounts counts;
  std::vector<std::string> violations;
  std::uint64_t schedules = 0;
};

// Runs the schedules of seeds 1 to `count` and stops at the first violation.
// @param rules options of each schedule, except for the seed.
// @param safety_only ignores liveness violations, that is, schedules after
// which the replicas did not recover.
RunResult RunSchedules(std::uint64_t count,
                       const SimulationOptions& rules,
                       bool safety_only) {
  RunResult result;
  std::mutex mutex;
  std::atomic<std::uint64_t> next = 1;
  std::atomic<bool> violation_found = false;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed <= count && !violation_found;
         seed = next++) {
      SimulationOptions options = rules;
      options.seed = seed;
      Simulation simulation(options);
      std::string violation;
      try {
        simulation.RunSchedule();
      } catch (const Violation& error) {
        if (error.safety || !safety_only) {
          violation = error.what();
          violation_found = true;
        }
      }
      std::lock_guard lock(mutex);
      result.counts.Add(simulation.Counts());
      ++result.schedules;
      if (!violation.empty()) {
        result.violations.push_back(violation);
      }
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return result;
}

void RequireViolation(const SimulationOptions& rules) {
  const RunResult result = RunSchedules(kSchedulesToDetect, rules, true);
  BOOST_TEST_REQUIRE(!result.violations.empty());
  std::cout << "detected: " << result.violations.front() << "\n";
}

// @return true if the leader and the term are unchanged after a follower was
// isolated for a while and has rejoined.
bool RejoinKeepsLeader(std::uint64_t seed,
                       const internal::Safeguards& safeguards) {
  SimulationOptions options;
  options.seed = seed;
  options.faults = false;
  options.safeguards = safeguards;
  Simulation simulation(options);
  simulation.RunFor(seconds(4));
  const ReplicaId leader = simulation.LeaseHolder();
  BOOST_TEST_REQUIRE(leader != 0u);
  const Term term = simulation.LargestTerm();
  const ReplicaId isolated = leader % 3 + 1;
  const auto set_isolated = [&](bool value) {
    for (ReplicaId other = 1; other <= 3; ++other) {
      simulation.SetLinkBlocked(isolated, other, value);
      simulation.SetLinkBlocked(other, isolated, value);
    }
  };
  set_isolated(true);
  simulation.RunFor(seconds(5));
  set_isolated(false);
  simulation.RunFor(seconds(2));
  return simulation.LeaseHolder() == leader && simulation.LargestTerm() == term;
}

}  // namespace

// Guards against two leaders in a term, overlapping leases, lost or changed
// entries, diverging replicas, stale reads, confirmation ages that are too
// small, and replica sets that don't recover after faults.
BOOST_AUTO_TEST_CASE(SchedulesKeepTheLogSafe) {
  if (const auto seed = NumberFromEnvironment("SB_SEED")) {
    SimulationOptions options;
    options.seed = *seed;
    Simulation simulation(options);
    try {
      simulation.RunSchedule();
    } catch (const Violation& error) {
      BOOST_ERROR(error.what());
    }
    return;
  }
  const RunResult result = RunSchedules(
      NumberFromEnvironment("SB_SCHEDULES").value_or(kSchedules), {}, false);
  for (const std::string& violation : result.violations) {
    BOOST_ERROR(violation << " (repeat with SB_SEED)");
  }
  const SimulationCounts& counts = result.counts;
  std::cout << result.schedules << " schedules: " << counts.committed
            << " entries, " << counts.reads << " reads, " << counts.leaders
            << " leaders, " << counts.crashes << " crashes, " << counts.freezes
            << " freezes, " << counts.link_faults << " link faults, "
            << counts.replaced_disks << " replaced disks, "
            << counts.replica_changes << " replica changes, "
            << counts.snapshots << " snapshots, " << counts.installed_snapshots
            << " installed, " << counts.leadership_transfers
            << " leadership transfers, " << counts.erasures
            << " erasures of removed replicas, "
            << counts.erased_initial_replicas << " of initial ones, "
            << counts.interrupted_erasures << " interrupted\n";
  // Without these events the schedules would pass without testing anything.
  BOOST_TEST(counts.reads > kSchedules);
  BOOST_TEST(counts.replaced_disks > kSchedules / 10);
  BOOST_TEST(counts.replica_changes > kSchedules);
  BOOST_TEST(counts.installed_snapshots > kSchedules / 10);
  BOOST_TEST(counts.erased_initial_replicas > kSchedules / 5);
  BOOST_TEST(counts.interrupted_erasures > kSchedules / 20);
}

// Checks that the schedules detect a replica that acknowledges writes before
// syncing them.
BOOST_AUTO_TEST_CASE(SchedulesDetectMissingSync) {
  SimulationOptions rules;
  rules.safeguards.sync_before_acknowledge = false;
  RequireViolation(rules);
}

// Checks that the schedules detect a leader that serves reads without a valid
// lease.
BOOST_AUTO_TEST_CASE(SchedulesDetectMissingLeaseCheck) {
  SimulationOptions rules;
  rules.safeguards.lease_check = false;
  RequireViolation(rules);
}

// Checks that the schedules detect learners that vote.
BOOST_AUTO_TEST_CASE(SchedulesDetectVotingLearners) {
  SimulationOptions rules;
  rules.safeguards.learner_without_vote = false;
  RequireViolation(rules);
}

// Checks that the schedules detect a removed initial replica that founds the
// replica set again after it has erased its state: with another one like it, it
// would start a second log.
BOOST_AUTO_TEST_CASE(SchedulesDetectASecondFounding) {
  SimulationOptions rules;
  rules.erased_replica_joins = false;
  RequireViolation(rules);
}

// Guards against a replica that rejoins with a higher term and thereby deposes
// a healthy leader.
BOOST_AUTO_TEST_CASE(PreVoteProtectsTheLeader) {
  internal::Safeguards without;
  without.pre_vote = false;
  int disturbed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST(RejoinKeepsLeader(seed, {}), "seed " << seed);
    disturbed += RejoinKeepsLeader(seed, without) ? 0 : 1;
  }
  BOOST_TEST(disturbed > 0);
}

}  // namespace sycamorebend
