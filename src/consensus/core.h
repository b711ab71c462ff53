// Side-effect-free Raft: takes messages, ticks and storage completions with
// the time, and returns messages, writes and committed entries. It starts no
// thread, reads no clock and does no I/O, so that the tests run the daemon's
// code in virtual time.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_CORE_H_
#define SYCAMOREBEND_SRC_CONSENSUS_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/types.h"

namespace sycamorebend::internal {

// Rules that keep the log safe or available. Only tests switch one off, to
// show that they notice its absence.
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
  std::uint64_t trailing_entries = 2000;
  std::uint64_t random_seed = 0;
  Safeguards safeguards;
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

// Identifies a read: valid while the replica leads in `term`.
struct ReadPoint {
  Term term = 0;
  LogIndex index = 0;
};
enum class ReadState { kWaiting, kReady, kFailed };

// What the owner has to do, in the order of the fields.
struct CoreOutput {
  std::vector<Write> writes;
  std::vector<Message> messages;
  // Replaces the state machine's state, before `committed`.
  SnapshotPtr restore;
  std::vector<EntryPtr> committed;
};

class Core {
 public:
  // @param stored what storage had. `initial` is used only if storage is empty;
  // null starts a replica that waits to be added.
  Core(const CoreOptions& options,
       const StoredState& stored,
       const ReplicaSet* initial,
       TimePoint now);

  void Tick(TimePoint now);
  void Receive(const Message& message, TimePoint now);
  void WriteDone(std::uint64_t write_id, TimePoint now);

  // @return the index of the new entry; kNotLeader or kEntryTooLarge.
  Result<LogIndex> Propose(std::string command,
                           TimePoint now,
                           std::int64_t wall_ms);
  // @return the index of the replica set entry, or 0 if the set already has
  // the requested form.
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
  // The answer to the reader must follow at once: kReady holds only at `now`.
  ReadState CheckRead(const ReadPoint& point, TimePoint now) const;

  // Gives up the lease for the rest of this term and asks the follower with
  // the longest log to take over. Does nothing if there is none.
  void HandOver(TimePoint now);

  // Takes over a snapshot of the state after the last committed entry that
  // TakeOutput returned.
  void Compact(std::string state);

  CoreOutput TakeOutput();

  bool LeaseValid(TimePoint now) const;
  // @return the time from which ReplicatedLog::ConfirmationAge counts, or
  // TimePoint::min() if there is none.
  TimePoint ConfirmedAt(TimePoint now) const;

  struct Progress {
    LogIndex match = 0;
    LogIndex next = 1;
    // Last index of the one append with entries that is not answered yet.
    LogIndex in_flight = 0;
    TimePoint in_flight_since;
    // Send time of the newest message that was answered.
    TimePoint acknowledged = TimePoint::min();
    std::int64_t follower_echo = 0;
    // Set while a snapshot is being sent.
    std::shared_ptr<const std::string> snapshot;
    LogIndex snapshot_index = 0;
    Term snapshot_term = 0;
    std::uint64_t snapshot_offset = 0;
    TimePoint snapshot_sent;
  };

  ReplicaId Id() const { return this->options.id; }
  Term CurrentTerm() const { return this->hard.term; }
  Role CurrentRole() const { return this->role; }
  ReplicaId Leader() const { return this->leader; }
  LogIndex CommitIndex() const { return this->commit_index; }
  LogIndex AppliedIndex() const { return this->applied_index; }
  LogIndex LastIndex() const;
  LogIndex SnapshotIndex() const;
  std::uint64_t SnapshotBytes() const;
  std::uint64_t BytesSinceSnapshot() const { return this->log_bytes; }
  const ReplicaSet& Replicas() const { return this->replica_sets.back().set; }
  const std::map<ReplicaId, Progress>& Followers() const {
    return this->followers;
  }

 private:
  struct IndexedSet {
    LogIndex index;
    ReplicaSet set;
  };
  struct HeldMessage {
    std::uint64_t after_write;
    Message message;
  };
  struct PendingWrite {
    std::uint64_t id;
    // Entries up to here are durable once the write is done.
    LogIndex last_index;
  };
  struct Confirmation {
    LogIndex commit;
    TimePoint at;
  };

  // core.cc: log, writes and outputs.
  std::optional<Term> TermAt(LogIndex index) const;
  Term LastTerm() const;
  const EntryPtr& EntryAt(LogIndex index) const;
  bool LogUpToDate(LogIndex last_index, Term last_term) const;
  void AppendToLog(EntryPtr entry);
  void TruncateLog(LogIndex from);
  std::uint64_t AddWrite(Write write);
  void SaveHardState();
  Message MakeMessage(MessageType type, ReplicaId to) const;
  void Send(Message message);
  void SendAfterWrite(Message message, std::uint64_t write_id);
  void ReleaseMessages();
  void CommitTo(LogIndex index);
  const ReplicaSet& ReplicasAt(LogIndex index) const;
  void PromoteConfirmations();

  // core_election.cc: terms, votes and leases.
  void BecomeFollower(Term term, ReplicaId leader, TimePoint now);
  void ResetElectionTimer(TimePoint now);
  bool HearsLeader(TimePoint now) const;
  bool CountsAsVoter(ReplicaId id) const;
  std::size_t Quorum() const;
  bool HasQuorum(const std::set<ReplicaId>& ids) const;
  void StartPreVote(TimePoint now);
  void StartElection(TimePoint now, bool hand_over);
  void RequestVotes(MessageType type, Term term, bool hand_over);
  void MaybeWin(TimePoint now);
  void BecomeLeader(TimePoint now);
  void OnPreVote(const Message& message, TimePoint now);
  void OnPreVoteReply(const Message& message, TimePoint now);
  void OnVote(const Message& message, TimePoint now);
  void OnVoteReply(const Message& message, TimePoint now);
  void OnHandOver(const Message& message, TimePoint now);
  TimePoint LeaseStart(TimePoint now) const;
  bool ReadyToLead() const;

  // core_replication.cc: appends, snapshots and replica set changes.
  void TickLeader(TimePoint now);
  void Heartbeat(ReplicaId id, Progress& progress, TimePoint now);
  void Replicate(ReplicaId id, Progress& progress, TimePoint now);
  void ReplicateAll(TimePoint now);
  void SendSnapshotChunk(ReplicaId id, Progress& progress, TimePoint now);
  void StampAppend(Message& message, const Progress& progress, TimePoint now);
  void OnAppend(const Message& message, TimePoint now);
  void OnAppendReply(const Message& message, TimePoint now);
  void OnSnapshot(const Message& message, TimePoint now);
  void OnSnapshotReply(const Message& message, TimePoint now);
  void NoteConfirmation(const Message& message, TimePoint now);
  std::uint64_t StoreEntries(const Message& message);
  void RejectAppend(const Message& message, TimePoint now);
  void AcceptAppend(const Message& message,
                    LogIndex match,
                    std::uint64_t after_write,
                    TimePoint now);
  std::uint64_t InstallSnapshot(SnapshotPtr snapshot);
  // Renews the lease with a follower's reply.
  // @return the follower's progress, or nullptr if the reply is not for this
  // leader and term.
  Progress* TakeReply(const Message& message, TimePoint now);
  void MaybeCommit();
  LogIndex AppendAsLeader(EntryKind kind,
                          std::string payload,
                          TimePoint now,
                          std::int64_t wall_ms);
  Status CheckReplicaChange(TimePoint now) const;
  LogIndex ChangeReplicas(const ReplicaSet& set,
                          TimePoint now,
                          std::int64_t wall_ms);
  // Follows exactly the members; new ones from `next` on.
  void SyncFollowers(LogIndex next);

  const CoreOptions options;
  std::mt19937_64 random;
  // Makes echoes of an earlier run of this replica unrecognisable.
  const std::int64_t echo_mask;
  const TimePoint started;

  HardState hard;
  Role role = Role::kFollower;
  ReplicaId leader = 0;
  TimePoint last_heard;  // From a leader; the promise not to vote starts here.
  TimePoint election_deadline;
  std::set<ReplicaId> votes;

  // Entries after `base_index`.
  std::deque<EntryPtr> log;
  LogIndex base_index = 0;
  Term base_term = 0;
  SnapshotPtr snapshot;
  std::uint64_t log_bytes = 0;
  std::int64_t last_time_ms = 0;
  std::int64_t applied_time_ms = 0;
  // Replica sets by the entry that set them; the last one is in force.
  std::vector<IndexedSet> replica_sets;
  LogIndex commit_index = 0;
  LogIndex applied_index = 0;
  LogIndex durable_index = 0;

  std::uint64_t last_write = 0;
  std::uint64_t done_write = 0;
  std::uint64_t hard_state_write = 0;
  std::deque<PendingWrite> pending_writes;
  std::deque<HeldMessage> held;
  CoreOutput output;

  // Leader.
  std::map<ReplicaId, Progress> followers;
  LogIndex term_start_index = 0;
  TimePoint leader_since;
  TimePoint next_heartbeat;
  bool handed_over = false;

  // Follower.
  std::string incoming_snapshot;
  LogIndex incoming_index = 0;
  Term incoming_term = 0;
  std::deque<Confirmation> confirmations;
  TimePoint confirmed_at = TimePoint::min();
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_CORE_H_
