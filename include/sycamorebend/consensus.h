// Replicated log with leader leases. See docs/design.md, section 3.2.
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
  using StatusCallback = std::function<void(Status)>;

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
    // The largest ID that a replica ever had; a new one needs a larger ID.
    ReplicaId largest_id = 0;
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
  virtual void ReadBarrier(StatusCallback callback) = 0;

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
  // A replica starts an election after a silence drawn from this range, and
  // grants no vote during the minimum after it heard a leader.
  Duration election_timeout_min = milliseconds(600);
  Duration election_timeout_max = milliseconds(1200);
  // Must be shorter than election_timeout_min; the difference is the margin for
  // clocks that run at different rates.
  Duration lease = milliseconds(500);
  // A proposal or read without an outcome by then fails.
  Duration request_timeout = seconds(2);
};

struct ReplicatedLogOptions {
  ReplicaId id = 0;
  std::string address;
  // Created if missing. A directory written by another replica ID is refused.
  std::string data_directory;
  // The first replica set. Used only if the data directory is empty and `join`
  // is false; must be the same at every replica and contain `id`.
  std::vector<ReplicaAddress> initial_replicas;
  // Starts empty, without a vote, and waits to be added by AddReplica.
  bool join = false;
  ConsensusTimings timings;
  // A snapshot is written after this many applied entries, or once the log has
  // grown by snapshot_bytes and by the size of the last snapshot.
  std::uint64_t snapshot_entries = 20000;
  std::uint64_t snapshot_bytes = 16 << 20;
  // Entries kept before the snapshot for followers that are a little behind.
  std::uint64_t trailing_entries = 2000;
  std::size_t max_command_bytes = 1 << 20;
};

// A replica of the log.
class ReplicatedLogService : public ReplicatedLog {
 public:
  // Accepts the params of a received kRaftMessageMethod call. Does not block.
  // @return an empty object, or kProtocolError.
  virtual Result<Json::Value> HandleMessage(const Json::Value& params) = 0;

  // Hands leadership over if this replica leads, then stops; open callbacks get
  // kCancelled. Blocks for at most one election timeout. Must not be called on
  // the control thread.
  virtual void Stop() = 0;
};

// Starts a replica: reads the data directory, restores `state_machine` from
// the snapshot and begins to take part. The references must outlive the
// service. Must not be called on the control thread.
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
