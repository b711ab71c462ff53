// Raft replicated log with leader leases. See docs/design.md, section 3.2.
#ifndef SYCAMOREBEND_CONSENSUS_H_
#define SYCAMOREBEND_CONSENSUS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

using LogIndex = std::uint64_t;
using Term = std::uint64_t;
// Permanent identifier of a replica. IDs are never reused; 0 is invalid.
using ReplicaId = std::uint64_t;

// Deterministic state machine to which the log applies committed commands. All
// methods are called on the control thread.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies one committed command.
  // @param leader_time_ms wall-clock time at which the leader accepted the
  // command, in milliseconds since the Unix epoch. It never decreases from one
  // log entry to the next.
  // @return the result for the proposer. It must be the same on every replica.
  virtual std::string Apply(LogIndex index,
                            std::int64_t leader_time_ms,
                            std::string_view command) = 0;

  // @return the serialized state, which Restore accepts.
  virtual std::string Snapshot() const = 0;
  virtual Status Restore(std::string_view snapshot) = 0;
};

// Interface of the log to the rest of a control replica. All methods may be
// called from any thread. Each callback runs exactly once, on the control
// thread.
class ReplicatedLog {
 public:
  using ProposeCallback = std::function<void(Result<std::string>)>;
  using StatusCallback = std::function<void(Status)>;

  struct ReplicaStatus {
    ReplicaId id = 0;
    std::string address;
    bool voter = false;
    bool reachable = false;
    LogIndex match_index = 0;
    // Bytes of the committed entries that the replica lacks, as far as this
    // replica has them in memory. Known on the leader; otherwise 0.
    std::uint64_t lag_bytes = 0;
    // Leader only: a learner lacks so little that it can be promoted.
    bool caught_up = false;
  };

  struct LogStatus {
    ReplicaId id = 0;
    Term term = 0;
    bool is_leader = false;
    // Set if a leader is known.
    std::optional<ReplicaId> leader;
    std::string leader_address;
    LogIndex commit_index = 0;
    LogIndex applied_index = 0;
    LogIndex last_index = 0;
    LogIndex snapshot_index = 0;
    // Memory of the entries that this replica keeps for its own use and for
    // other replicas.
    std::uint64_t log_bytes = 0;
    // The largest replica ID ever used. A new replica needs a larger one.
    ReplicaId largest_id = 0;
    // The replica set in effect. A change takes effect before it is committed
    // and may still be undone by another leader.
    std::vector<ReplicaStatus> replicas;
    // Members of the last replica set that is known to be committed. After a
    // read barrier on the leader it includes every change that was committed
    // when the barrier was requested.
    std::vector<ReplicaId> committed_members;
    // Longest time that a message, proposal or change waited for the control
    // thread since the start.
    Duration longest_wait{0};
  };

  virtual ~ReplicatedLog() = default;

  // Appends a command and calls back with the state machine's result once the
  // command is committed and applied. Errors: kNotLeader (nothing was appended;
  // the message is the leader's address, or empty if no leader is known),
  // kNoQuorum or kTransportTimeout (the command may still be committed),
  // kEntryTooLarge, kStorageFull, kLogBusy (entries of max_pending_bytes are
  // not applied yet).
  virtual void Propose(std::string command, ProposeCallback callback) = 0;

  // Linearizable read: calls back once this replica's state machine has applied
  // every command that was committed when the call was made, and the leader's
  // lease has been found valid after that. Only the leader can do this; other
  // replicas fail the call with kNotLeader.
  virtual void ReadBarrier(StatusCallback callback) = 0;

  // @return an upper bound on how stale this replica's applied state is: the
  // time since a quorum last confirmed that the state is current, or
  // Duration::max() if that never happened. On the leader it is the time since
  // it sent the last heartbeats that a quorum acknowledged. A follower adds the
  // time since it sent the message that the leader had received before it
  // reported its age, so that network delay never makes the age too small.
  virtual Duration ConfirmationAge() const = 0;

  // Changes of the replica set. Only one change may be uncommitted at a time. A
  // new replica joins as a non-voting learner and can be promoted to a voter
  // once it has caught up with the log.
  virtual void AddReplica(ReplicaId id,
                          std::string address,
                          StatusCallback callback) = 0;
  virtual void PromoteReplica(ReplicaId id, StatusCallback callback) = 0;
  virtual void RemoveReplica(ReplicaId id, StatusCallback callback) = 0;

  virtual LogStatus GetStatus() const = 0;
};

// RPC method that carries messages between replicas.
inline constexpr std::string_view kRaftMessageMethod = "raft.message";

struct ReplicaAddress {
  ReplicaId id = 0;
  std::string address;  // "IP:port" at which the replica serves RPC.
};

struct ConsensusTimings {
  Duration heartbeat = milliseconds(100);
  // A replica starts an election when it has received nothing from a leader for
  // a random time in this range. It grants no vote until the minimum has passed
  // since it last received a message from a leader.
  Duration election_timeout_min = milliseconds(600);
  Duration election_timeout_max = milliseconds(1200);
  // Must be shorter than election_timeout_min. The difference is the tolerance
  // for clocks that run at different rates.
  Duration lease = milliseconds(500);
  // A proposal or read that has not completed after this time fails.
  Duration request_timeout = seconds(2);
};

struct ReplicatedLogOptions {
  ReplicaId id = 0;
  std::string address;
  // Created if it does not exist. A directory that was written under another
  // replica ID is rejected.
  std::string data_directory;
  // The initial replica set. Used only if the data directory is empty and
  // `join` is false. Must be the same on every replica and contain `id`.
  std::vector<ReplicaAddress> initial_replicas;
  // Starts with an empty log and without a vote, and waits until the leader
  // adds this replica with AddReplica.
  bool join = false;
  ConsensusTimings timings;
  // A snapshot is written after this many applied entries, or once the log has
  // grown by snapshot_bytes plus the size of the last snapshot.
  std::uint64_t snapshot_entries = 20000;
  std::uint64_t snapshot_bytes = 16 << 20;
  // Entries kept in memory from before the snapshot, so that a follower that is
  // slightly behind does not need the whole snapshot.
  std::uint64_t trailing_entries = 2000;
  // A follower that lacks more bytes of applied entries than this, and than the
  // snapshot has, is sent the snapshot instead.
  std::uint64_t catch_up_bytes = 4 << 20;
  std::size_t max_command_bytes = 1 << 20;
  // Proposals are refused while entries of so many bytes are not applied yet:
  // they cannot be removed from memory.
  std::uint64_t max_pending_bytes = 16 << 20;
};

// A replica of the log.
class ReplicatedLogService : public ReplicatedLog {
 public:
  // Processes the params of a kRaftMessageMethod call from a peer. Does not
  // block.
  // @return an empty object, or kProtocolError.
  virtual Result<Json::Value> HandleMessage(const Json::Value& params) = 0;

  // Transfers leadership to a follower if this replica is the leader, then
  // stops. Pending callbacks fail with kCancelled. Blocks for up to
  // election_timeout_min while leadership is transferred. Must not be called on
  // the control thread.
  virtual void Stop() = 0;
};

// Starts a replica: reads the data directory, restores `state_machine` from
// the snapshot and joins the protocol. The references must outlive the service.
// Must not be called on the control thread.
// @return the service, or kLogCorrupt, kStorageFailed, kReplicaIdReused (the
// directory belongs to another replica) or kSettingsInvalidValue.
Result<std::unique_ptr<ReplicatedLogService>> CreateReplicatedLog(
    const ReplicatedLogOptions& options,
    StateMachine& state_machine,
    RpcClient& rpc_client,
    ControlThread& control_thread,
    const Clock& clock);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_CONSENSUS_H_
