// The Raft protocol without side effects. Its inputs are messages, ticks and
// storage completions, each with the current time; its outputs are messages,
// writes and committed entries. It starts no thread, reads no clock and does no
// I/O, so that tests run the production code in virtual time.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_CORE_H_
#define SYCAMOREBEND_SRC_CONSENSUS_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/log_window.h"
#include "consensus/types.h"

namespace sycamorebend::internal {

// Protocol rules that keep the log safe or available. Only tests disable them,
// to check that the simulation detects the resulting violations.
struct Safeguards {
  bool pre_vote = true;
  bool lease_check = true;
  bool sync_before_acknowledge = true;
  bool learner_without_vote = true;
};

struct CoreOptions {
  ReplicaId id = 0;
  ConsensusTimings timings;
  std::size_t max_command_bytes = 1 << 20;
  // Payload bytes of the entries in one message; at least one entry is sent.
  std::size_t max_message_bytes = 512 << 10;
  std::size_t snapshot_chunk_bytes = 256 << 10;
  // See ReplicatedLogOptions.
  std::uint64_t snapshot_entries = 20000;
  std::uint64_t snapshot_bytes = 16 << 20;
  std::uint64_t trailing_entries = 2000;
  std::uint64_t catch_up_bytes = 4 << 20;
  std::uint64_t max_pending_bytes = 16 << 20;
  std::uint64_t random_seed = 0;
  Safeguards safeguards;
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

// The state that a read must observe: everything up to `index`. Valid only
// while the replica is the leader in `term`.
struct ReadPoint {
  Term term = 0;
  LogIndex index = 0;
};
enum class ReadState { kWaiting, kReady, kFailed };

// Work for the owner of the core, to be done in the order of the fields.
struct CoreOutput {
  std::vector<Write> writes;
  std::vector<Message> messages;
  // If set, restores the state machine before `committed` is applied.
  SnapshotPtr restore;
  std::vector<EntryPtr> committed;
};

class Core {
 public:
  // @param stored the state loaded from storage.
  // @param initial the initial replica set, used only if there is no stored
  // snapshot; null starts a replica that waits to be added.
  Core(const CoreOptions& options,
       const StoredState& stored,
       const ReplicaSet* initial,
       TimePoint now);

  void Tick(TimePoint now);
  void Receive(const Message& message, TimePoint now);
  void WriteDone(std::uint64_t write_id, TimePoint now);

  // @return the index of the new entry; kNotLeader, kEntryTooLarge or kLogBusy.
  Result<LogIndex> Propose(std::string command,
                           TimePoint now,
                           std::int64_t wall_ms);
  // @return the index of the replica set entry, or 0 if the requested change is
  // already in effect.
  Result<LogIndex> AddReplica(const Member& member,
                              TimePoint now,
                              std::int64_t wall_ms);
  Result<LogIndex> PromoteReplica(ReplicaId id,
                                  TimePoint now,
                                  std::int64_t wall_ms);
  Result<LogIndex> RemoveReplica(ReplicaId id,
                                 TimePoint now,
                                 std::int64_t wall_ms);

  Result<ReadPoint> BeginRead(TimePoint now) const;
  // kReady holds only at `now`, so the caller must complete the read at once.
  ReadState CheckRead(const ReadPoint& point, TimePoint now) const;

  // Gives up the lease for the rest of this term and asks the reachable voter
  // with the highest match index to start an election. Does nothing if there is
  // no such follower.
  void TransferLeadership(TimePoint now);

  // Transfers leadership from a replica that cannot write, if the others can:
  // entries are committed that are not durable here. Otherwise the lease is
  // kept, so that reads are still served.
  void TransferFromFullDisk(TimePoint now);

  // @return true if Compact is due: the log has grown enough since the last
  // snapshot, or a follower waits for a newer one. To be checked before each
  // TakeOutput.
  bool SnapshotDue() const;

  // Stores a snapshot and drops old log entries.
  // @param state the state machine's snapshot at AppliedIndex().
  void Compact(std::string state, TimePoint now);

  CoreOutput TakeOutput();

  // To be called after each entry that was applied and each snapshot that was
  // restored: what is said of the state, to readers too, must not be ahead of
  // it while a batch of entries is applied.
  // @param index the entry, or the last one in the snapshot.
  void SetApplied(LogIndex index);

  bool LeaseValid(TimePoint now) const;
  // @return the time at which the applied state was last confirmed as current
  // (see ReplicatedLog::ConfirmationAge), or TimePoint::min() if it never was.
  TimePoint ConfirmedAt(TimePoint now) const;

  struct Progress {
    LogIndex match = 0;
    LogIndex next = 1;
    // Last index of the append with entries that awaits a reply, or 0. At most
    // one such append is outstanding.
    LogIndex in_flight = 0;
    TimePoint in_flight_since;
    // Send time of the latest message that the follower acknowledged.
    TimePoint acknowledged = TimePoint::min();
    // Newest Message::follower_timestamp received, to be returned to the
    // follower.
    std::int64_t follower_timestamp = 0;
    // The encoded snapshot while it is being sent, otherwise null.
    std::shared_ptr<const std::string> snapshot;
    LogIndex snapshot_index = 0;
    Term snapshot_term = 0;
    std::uint64_t snapshot_offset = 0;
    TimePoint snapshot_sent;
  };

  ReplicaId Id() const { return this->options.id; }
  Term CurrentTerm() const { return this->hard_state.term; }
  Role CurrentRole() const { return this->role; }
  ReplicaId Leader() const { return this->leader; }
  LogIndex CommitIndex() const { return this->commit_index; }
  LogIndex AppliedIndex() const { return this->applied_index; }
  LogIndex LastIndex() const { return this->log.LastIndex(); }
  LogIndex SnapshotIndex() const;
  std::uint64_t SnapshotBytes() const;
  // @return bytes of the entries that are applied and not in the snapshot.
  std::uint64_t BytesSinceSnapshot() const {
    return this->log.BytesBetween(this->SnapshotIndex(), this->applied_index);
  }
  // @return bytes of the entries in memory.
  std::uint64_t LogBytes() const { return this->log.Bytes(); }
  // @return bytes of the committed entries after `index` that are in memory.
  std::uint64_t CommittedBytesAfter(LogIndex index) const {
    return this->log.BytesBetween(index, this->commit_index);
  }
  const ReplicaSet& Replicas() const { return this->replica_sets.back().set; }
  const ReplicaSet& CommittedReplicas() const {
    return this->ReplicasAt(this->commit_index);
  }
  // @return true if a learner has the log but for what can be sent within a
  // fraction of a proposal's timeout, so that it can be promoted.
  bool CaughtUp(const Progress& progress) const;
  const std::map<ReplicaId, Progress>& Followers() const {
    return this->followers;
  }

 private:
  struct IndexedReplicaSet {
    LogIndex index;
    ReplicaSet set;
  };
  struct DeferredMessage {
    std::uint64_t after_write;
    Message message;
  };
  struct PendingWrite {
    std::uint64_t id;
    // Entries up to this index are durable once the write completes.
    LogIndex last_index;
  };
  struct Confirmation {
    LogIndex commit;
    TimePoint at;
  };

  // Defined in core.cc: log, writes and outputs.
  bool LogUpToDate(LogIndex last_index, Term last_term) const;
  void AppendToLog(EntryPtr entry);
  void TruncateLog(LogIndex from);
  std::uint64_t AddWrite(Write write);
  void SaveHardState();
  Message MakeMessage(MessageType type, ReplicaId to) const;
  void Send(Message message);
  void SendAfterWrite(Message message, std::uint64_t write_id);
  void SendDeferredMessages();
  void CommitTo(LogIndex index);
  const ReplicaSet& ReplicasAt(LogIndex index) const;
  void UpdateConfirmedAt();

  // Defined in core_election.cc: terms, votes and leases.
  void BecomeFollower(Term term, ReplicaId leader, TimePoint now);
  void ResetElectionTimer(TimePoint now);
  bool HasLiveLeader(TimePoint now) const;
  bool CountsAsVoter(ReplicaId id) const;
  std::size_t Quorum() const;
  bool HasQuorum(const std::set<ReplicaId>& ids) const;
  void StartPreVote(TimePoint now);
  void StartElection(TimePoint now, bool leadership_transfer);
  void RequestVotes(MessageType type, Term term, bool leadership_transfer);
  void MaybeBecomeLeader(TimePoint now);
  void BecomeLeader(TimePoint now);
  void OnPreVote(const Message& message, TimePoint now);
  void OnPreVoteReply(const Message& message, TimePoint now);
  void OnVote(const Message& message, TimePoint now);
  void OnVoteReply(const Message& message, TimePoint now);
  void OnTimeoutNow(const Message& message, TimePoint now);
  TimePoint LeaseStart(TimePoint now) const;
  bool CommittedInCurrentTerm() const;

  // Defined in core_replication.cc: appends, snapshots and replica set changes.
  void TickLeader(TimePoint now);
  void SendHeartbeat(ReplicaId id, Progress& progress, TimePoint now);
  void Replicate(ReplicaId id, Progress& progress, TimePoint now);
  // @return bytes up to which a follower is sent the entries that it lacks.
  std::uint64_t CatchUpBytes() const;
  // @return true if the snapshot brings the follower up to date sooner than the
  // entries do, or if the entries are no longer in memory.
  bool NeedsSnapshot(const Progress& progress) const;
  // Sends the snapshot, or requests a newer one if this one is too old for the
  // follower.
  void StartSnapshot(ReplicaId id, Progress& progress, TimePoint now);
  std::shared_ptr<const std::string> EncodedSnapshot();
  // Removes the entries that the snapshot covers and no follower is sent.
  void TrimLog();
  void ReplicateAll(TimePoint now);
  void SendSnapshotChunk(ReplicaId id, Progress& progress, TimePoint now);
  void SetAppendHeader(Message& message,
                       const Progress& progress,
                       TimePoint now);
  void OnAppend(const Message& message, TimePoint now);
  void OnAppendReply(const Message& message, TimePoint now);
  void OnSnapshot(const Message& message, TimePoint now);
  void OnSnapshotReply(const Message& message, TimePoint now);
  void RecordConfirmation(const Message& message, TimePoint now);
  std::uint64_t StoreEntries(const Message& message);
  void RejectAppend(const Message& message, TimePoint now);
  void AcceptAppend(const Message& message,
                    LogIndex match,
                    std::uint64_t after_write,
                    TimePoint now);
  std::uint64_t InstallSnapshot(SnapshotPtr snapshot);
  // Steps down if the reply has a newer term; otherwise records the follower's
  // acknowledgement, which extends the lease.
  // @return the follower's progress, or nullptr if the reply is not for this
  // leader and term.
  Progress* ProcessReply(const Message& message, TimePoint now);
  void MaybeCommit();
  LogIndex AppendAsLeader(EntryKind kind,
                          std::string payload,
                          TimePoint now,
                          std::int64_t wall_ms);
  Status CheckReplicaChange(TimePoint now) const;
  LogIndex ChangeReplicas(const ReplicaSet& set,
                          TimePoint now,
                          std::int64_t wall_ms);
  // Makes `followers` match the replica set. Replication to new members starts
  // at index `next`.
  void UpdateFollowers(LogIndex next);

  const CoreOptions options;
  std::mt19937_64 random;
  // Random per start, so that a timestamp that this replica sent before a
  // restart falls outside the plausible range when it is returned.
  const std::int64_t timestamp_mask;
  const TimePoint started;

  HardState hard_state;
  Role role = Role::kFollower;
  ReplicaId leader = 0;
  // Time of the last message from a leader, or of this replica's start. The
  // replica grants no vote for election_timeout_min after it.
  TimePoint last_leader_contact;
  TimePoint election_deadline;
  std::set<ReplicaId> votes;

  LogWindow log;
  SnapshotPtr snapshot;
  std::int64_t last_time_ms = 0;
  // Leader time of the entry at `delivered_index`.
  std::int64_t delivered_time_ms = 0;
  // Replica sets with the index of the entry that set each; the last one is in
  // effect, even before it is committed.
  std::vector<IndexedReplicaSet> replica_sets;
  LogIndex commit_index = 0;
  // Last entry that was handed out in `output`.
  LogIndex delivered_index = 0;
  // Last entry that is known to be in the state machine.
  LogIndex applied_index = 0;
  LogIndex durable_index = 0;

  std::uint64_t last_write_id = 0;
  std::uint64_t completed_write_id = 0;
  std::uint64_t hard_state_write_id = 0;
  std::deque<PendingWrite> pending_writes;
  std::deque<DeferredMessage> deferred_messages;
  CoreOutput output;

  // Used only by the leader.
  std::map<ReplicaId, Progress> followers;
  // A follower waits for a snapshot that is newer than `snapshot`.
  bool snapshot_requested = false;
  // Encoded form of the snapshot at `encoded_index`, shared by the followers to
  // which it is being sent.
  std::weak_ptr<const std::string> encoded_snapshot;
  LogIndex encoded_index = 0;
  LogIndex term_start_index = 0;
  // Start of leadership, or of its transfer to another replica.
  TimePoint leader_since;
  TimePoint next_heartbeat;
  bool transferring_leadership = false;

  // Used only by followers.
  std::string incoming_snapshot;
  LogIndex incoming_index = 0;
  Term incoming_term = 0;
  std::deque<Confirmation> confirmations;
  TimePoint confirmed_at = TimePoint::min();
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_CORE_H_
