// Runs the cores of several replicas in virtual time with a simulated network
// and simulated disks. Checks the invariants after every event and throws
// Violation if one doesn't hold.
#ifndef TESTS_CONSENSUS_SIMULATION_H_
#define TESTS_CONSENSUS_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "consensus/core.h"

namespace sycamorebend {

struct Violation : std::runtime_error {
  Violation(const std::string& what, bool safety)
      : std::runtime_error(what), safety(safety) {}
  // True for a violated safety property; false if the replicas did not recover
  // after the faults had ended.
  bool safety;
};

struct SimulationOptions {
  std::uint64_t seed = 1;
  Duration duration = seconds(10);
  bool faults = true;
  internal::Safeguards safeguards;
  // An initial replica that was removed and has erased its state joins under a
  // new ID, and does not found the replica set again.
  bool erased_replica_joins = true;
};

// Numbers of the events of a run, to check that the schedules exercise them.
struct SimulationCounts {
  std::uint64_t committed = 0;
  std::uint64_t reads = 0;
  std::uint64_t leaders = 0;
  std::uint64_t crashes = 0;
  std::uint64_t freezes = 0;
  std::uint64_t link_faults = 0;
  std::uint64_t replaced_disks = 0;
  std::uint64_t replica_changes = 0;
  std::uint64_t snapshots = 0;
  std::uint64_t installed_snapshots = 0;
  std::uint64_t leadership_transfers = 0;
  std::uint64_t erasures = 0;
  std::uint64_t erased_initial_replicas = 0;
  std::uint64_t interrupted_erasures = 0;

  void Add(const SimulationCounts& other);
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);

  // Injects faults for options.duration, then ends them all and checks that the
  // replicas elect a leader, commit further commands and catch up.
  void RunSchedule();

  void RunFor(Duration time);
  // @return the replica whose lease is valid, or 0.
  ReplicaId LeaseHolder() const;
  Term LargestTerm() const;
  void SetLinkBlocked(ReplicaId from, ReplicaId to, bool blocked);
  std::vector<ReplicaId> Running() const;
  const SimulationCounts& Counts() const { return this->counts; }

 private:
  struct PendingRead {
    internal::ReadPoint point;
    LogIndex min_index;
  };
  struct Replica {
    ReplicaId id = 0;
    // The replica's clock shows offset + rate * virtual time.
    double rate = 1;
    Duration offset{0};
    std::unique_ptr<internal::Core> core;  // Null while crashed.
    std::uint64_t incarnation = 0;
    internal::StoredState disk;
    bool empty_disk = true;
    std::vector<internal::Write> unsynced;
    Duration last_sync{0};
    Duration frozen_until{0};
    std::vector<std::function<void()>> delayed;
    LogIndex applied = 0;
    std::uint64_t history_hash = 0;  // Hash over all applied commands.
    std::int64_t last_time_ms = 0;
    std::vector<PendingRead> reads;
    bool joins = false;
    bool disk_lost = false;
    // The replica has erased its state and has joined under another ID.
    bool erased = false;
  };
  struct Scheduled {
    Duration at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };
  struct Committed {
    Term term = 0;
    std::uint64_t history_hash = 0;
    std::string payload;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  bool Chance(double probability) { return this->Uniform() < probability; }
  Duration RandomDuration(Duration low, Duration high);
  void Schedule(Duration time, std::function<void()> run);
  // Runs `step` on the replica once it is not frozen, unless it has crashed
  // since.
  void Deliver(ReplicaId id, std::function<void(Replica&)> step);
  TimePoint LocalTime(const Replica& replica) const;

  Replica& AddReplica(ReplicaId id, bool joins);
  void Start(Replica& replica);
  void Crash(Replica& replica);
  void Restart(ReplicaId id, Duration delay);
  static void Persist(Replica& replica, const internal::Write& write);
  void TickLoop(ReplicaId id, std::uint64_t incarnation);
  void ClientLoop();
  void FaultLoop();
  void InjectFault();
  static bool CanLoseDisk(const internal::Core& core);
  void ReplicaChangeLoop();
  void ChangeReplicas(internal::Core& core, TimePoint local);
  // @return the member to remove from a set that is larger than wanted.
  ReplicaId PickSurplus(const internal::ReplicaSet& set);
  void MembershipCheckLoop();
  // The leader tells a replica that is no member that it was removed.
  void CheckMembership(ReplicaId leader, ReplicaId id);
  void EraseReplica(Replica& replica);
  void EndFaults();

  void ProcessOutput(Replica& replica);
  void SendMessage(const internal::Message& message);
  void SubmitWrites(Replica& replica, std::vector<internal::Write> writes);
  void Apply(Replica& replica, const internal::Entry& entry);
  void Restore(Replica& replica, const internal::SnapshotData& snapshot);

  void CheckLeaders(const Replica& replica);
  void CheckReads(Replica& replica);
  void CheckConfirmation(const Replica& replica);
  void CheckConverged();
  std::string Describe() const;
  [[noreturn]] void ThrowViolation(const std::string& message,
                                   bool safety = true) const;

  const SimulationOptions options;
  std::mt19937_64 random;
  Duration now{0};
  std::uint64_t next_order = 0;
  std::priority_queue<Scheduled> events;
  std::map<ReplicaId, Replica> replicas;
  std::set<std::pair<ReplicaId, ReplicaId>> blocked_links;
  internal::ReplicaSet initial;
  bool faults_active = false;
  double loss = 0;
  double duplication = 0;
  double slow_messages = 0;
  double slow_syncs = 0;
  bool replaces_disks = false;
  bool changes_replicas = false;
  ReplicaId next_id = 0;
  // The replica that lost its disk and is not removed from the set yet, or 0.
  ReplicaId lost_replica = 0;
  std::size_t wanted_voters = 3;
  std::uint64_t next_command = 0;

  std::map<Term, ReplicaId> leaders;
  std::vector<Committed> committed = {{}};  // By index; index 0 is unused.
  // Times and indexes of commits, to check confirmation ages.
  std::vector<std::pair<Duration, LogIndex>> commit_times;
  SimulationCounts counts;
};

}  // namespace sycamorebend

#endif  // TESTS_CONSENSUS_SIMULATION_H_
