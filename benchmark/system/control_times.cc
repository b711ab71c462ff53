#include <algorithm>
#include <csignal>

#include "system/fleet.h"
#include "system/measurements.h"

namespace sycamorebend {

namespace {

constexpr int kChanges = 10;
constexpr int kFailures = 3;
constexpr double kInForceBoundSeconds = 3;
constexpr double kLeaderBoundSeconds = 3;

FleetOptions ControlFleet(int entries) {
  FleetOptions options;
  options.entries = entries;
  options.engines = 0;
  options.services = 0;
  return options;
}

Json::Value Document(int change) {
  Json::Value document = Fleet::DefaultDocument();
  document["classes"][0]["max_queue"] = 1 + change;
  return document;
}

double ElapsedSeconds(TimePoint start) {
  return std::chrono::duration<double>(SystemClock().Now() - start).count();
}

// @return the time until the version is in force at every entry daemon.
double WaitUntilInForce(Fleet& fleet,
                        std::uint64_t version,
                        TimePoint accepted) {
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    WaitFor([&] { return fleet.EntryVersion(i).value_or(0) >= version; },
            seconds(60));
  }
  return ElapsedSeconds(accepted);
}

}  // namespace

void MeasureChangeInForce(BoundChecker& checker) {
  Fleet fleet(ControlFleet(8));
  double slowest = 0;
  int change = 0;
  for (int i = 0; i < kChanges; ++i) {
    const std::uint64_t version = fleet.ApplyDocument(Document(++change));
    slowest = std::max(slowest,
                       WaitUntilInForce(fleet, version, SystemClock().Now()));
  }
  checker.AtMost("change_in_force", slowest, "s", kInForceBoundSeconds);
  slowest = 0;
  for (int i = 0; i < kFailures; ++i) {
    const std::size_t leader = fleet.WaitForLeader();
    const std::uint64_t version = fleet.ApplyDocument(Document(++change));
    const TimePoint accepted = SystemClock().Now();
    fleet.Replica(leader).process->Kill();
    slowest = std::max(slowest, WaitUntilInForce(fleet, version, accepted));
    fleet.Start(fleet.Replica(leader));
    fleet.WaitReady(fleet.Replica(leader));
  }
  checker.AtMost("change_in_force_leader_killed", slowest, "s",
                 kInForceBoundSeconds);
}

void MeasureNewLeader(BoundChecker& checker) {
  Fleet fleet(ControlFleet(1));
  for (const int signal : {SIGKILL, SIGSTOP}) {
    double slowest = 0;
    for (int i = 0; i < kFailures; ++i) {
      const std::size_t leader = fleet.WaitForLeader();
      Daemon& replica = fleet.Replica(leader);
      const TimePoint start = SystemClock().Now();
      replica.process->Signal(signal);
      fleet.WaitForLeader(leader);
      slowest = std::max(slowest, ElapsedSeconds(start));
      if (signal == SIGKILL) {
        replica.process->Kill();
        fleet.Start(replica);
      } else {
        replica.process->Signal(SIGCONT);
      }
      fleet.WaitReady(replica);
    }
    checker.AtMost(
        signal == SIGKILL ? "new_leader_after_kill" : "new_leader_after_freeze",
        slowest, "s", kLeaderBoundSeconds);
  }
}

}  // namespace sycamorebend
