// Replicated log with leader leases. See docs/design.md, section 3.2.
#ifndef SYCAMOREBEND_CONSENSUS_H_
#define SYCAMOREBEND_CONSENSUS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

using LogIndex = std::uint64_t;
using Term = std::uint64_t;
// Identifies a replica for its whole life. Never reused; 0 is invalid.
using ReplicaId = std::uint64_t;

// The deterministic machine that the log drives. Called on the control thread.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies one committed command.
  // @param leader_time_ms wall time of the leader when it accepted the command,
  // in milliseconds since the Unix epoch; it never decreases along the log.
  // @return the answer for the proposer; equal on every replica.
  virtual std::string Apply(LogIndex index,
                            std::int64_t leader_time_ms,
                            std::string_view command) = 0;

  // @return the whole state as bytes, from which Restore rebuilds it.
  virtual std::string Snapshot() const = 0;
  virtual Status Restore(std::string_view snapshot) = 0;
};

// What the rest of a control replica sees of the log. All methods may be
// called from any thread; callbacks run once, on the control thread.
class ReplicatedLog {
 public:
  using ProposeCallback = std::function<void(Result<std::string>)>;
  using ReadCallback = std::function<void(Status)>;

  struct ReplicaStatus {
    ReplicaId id = 0;
    std::string address;
    bool voter = false;
    bool reachable = false;
    LogIndex match_index = 0;
  };

  struct LogStatus {
    ReplicaId id = 0;
    Term term = 0;
    bool is_leader = false;
    // Valid if a leader is known.
    std::optional<ReplicaId> leader;
    std::string leader_address;
    LogIndex commit_index = 0;
    LogIndex applied_index = 0;
    LogIndex last_index = 0;
    LogIndex snapshot_index = 0;
    std::vector<ReplicaStatus> replicas;
  };

  virtual ~ReplicatedLog() = default;

  // Appends a command and calls back with the state machine's answer once it
  // is committed and applied. Errors: kNotLeader (nothing was appended; the
  // message is the leader's address, or empty), kNoQuorum or kTransportTimeout
  // (it may still be committed), kEntryTooLarge, kStorageFull.
  virtual void Propose(std::string command, ProposeCallback callback) = 0;

  // Calls back once this replica's state machine has applied everything that
  // was committed when the call was made, and the leader's lease was valid
  // afterwards. Only the leader can answer; others give kNotLeader.
  virtual void ReadBarrier(ReadCallback callback) = 0;

  // @return the age of the newest confirmation by a quorum that this replica's
  // applied state is current, or Duration::max() if there is none. On the
  // leader it is the time since the start of the last confirmed heartbeat
  // round; followers add the time since they sent or received the message that
  // told them, so that the age is never understated.
  virtual Duration ConfirmationAge() const = 0;

  // Replica set changes, one at a time. A new replica joins as a learner and
  // is promoted when it has the log.
  virtual void AddReplica(ReplicaId id,
                          std::string address,
                          ReadCallback callback) = 0;
  virtual void PromoteReplica(ReplicaId id, ReadCallback callback) = 0;
  virtual void RemoveReplica(ReplicaId id, ReadCallback callback) = 0;

  virtual LogStatus GetStatus() const = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_CONSENSUS_H_
