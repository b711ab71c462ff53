// Cores of three replicas and of replicas that join them, with instant disks
// and one message per step to slow replicas. Counts what each replica is sent.
#ifndef TESTS_CONSENSUS_DIRECT_CLUSTER_H_
#define TESTS_CONSENSUS_DIRECT_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "consensus/core.h"

namespace sycamorebend {

class DirectCluster {
 public:
  // A step of virtual time, in which each slow replica receives one append or
  // snapshot chunk.
  static constexpr Duration kStep = milliseconds(20);

  struct Sent {
    std::uint64_t entries = 0;
    std::uint64_t entry_bytes = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t snapshot_bytes = 0;
  };

  // @param state_bytes size of the state machine's snapshot.
  DirectCluster(const internal::CoreOptions& options, std::size_t state_bytes);

  // @return the error of the leader's core, or success.
  Status Propose(std::size_t bytes);
  void Steps(int count);
  // Adds a replica without entries as a learner.
  void Join(ReplicaId id);
  // A replica that is not connected gets and sends nothing.
  void SetConnected(ReplicaId id, bool connected);
  void SetSlow(ReplicaId id) { this->slow.insert(id); }
  // The replica's disk completes no write until it is released again.
  void SetDiskHeld(ReplicaId id, bool held);

  internal::Core& Leader();
  internal::Core& Of(ReplicaId id) { return *this->replicas.at(id).core; }
  const Sent& SentTo(ReplicaId id) { return this->sent[id]; }
  LogIndex AppliedBy(ReplicaId id) const {
    return this->replicas.at(id).core->AppliedIndex();
  }
  TimePoint Now() const { return this->now; }

 private:
  struct Replica {
    std::unique_ptr<internal::Core> core;
    std::uint64_t last_write = 0;
  };

  void Add(ReplicaId id, const internal::ReplicaSet* initial);
  void Process(ReplicaId id);
  void Deliver();
  static bool IsLarge(const internal::Message& message);

  const internal::CoreOptions options;
  const std::size_t state_bytes;
  TimePoint now{seconds(100)};
  std::map<ReplicaId, Replica> replicas;
  std::set<ReplicaId> disconnected;
  std::set<ReplicaId> slow;
  std::set<ReplicaId> held_disks;
  std::deque<internal::Message> messages;
  std::map<ReplicaId, Sent> sent;
};

}  // namespace sycamorebend

#endif  // TESTS_CONSENSUS_DIRECT_CLUSTER_H_
