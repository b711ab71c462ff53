// Types shared by the core, the storage and the transport of the log.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_TYPES_H_
#define SYCAMOREBEND_SRC_CONSENSUS_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamorebend/consensus.h"

namespace sycamorebend::internal {

enum class EntryKind : std::uint8_t {
  kNoOp = 0,
  kCommand = 1,
  kReplicaSet = 2,
};

struct Entry {
  LogIndex index = 0;
  Term term = 0;
  std::int64_t leader_time_ms = 0;
  EntryKind kind = EntryKind::kNoOp;
  // The command, or the encoded ReplicaSet.
  std::string payload;
};
// Shared by the in-memory log, queued writes and queued messages.
using EntryPtr = std::shared_ptr<const Entry>;

struct Member {
  ReplicaId id = 0;
  std::string address;
  bool voter = false;
};

struct ReplicaSet {
  std::vector<Member> members;
  // The largest ID that any member ever had. New members need a larger one, so
  // that no ID is reused.
  ReplicaId largest_id = 0;

  const Member* Find(ReplicaId id) const;
  Member* Find(ReplicaId id);
  bool IsVoter(ReplicaId id) const;
  std::size_t VoterCount() const;
};

struct HardState {
  Term term = 0;
  ReplicaId vote = 0;  // 0 if no vote was granted in this term.
};

struct SnapshotData {
  LogIndex index = 0;
  Term term = 0;
  std::int64_t leader_time_ms = 0;
  ReplicaSet replicas;
  std::string state;
};
using SnapshotPtr = std::shared_ptr<const SnapshotData>;

// State that storage returns after a restart.
struct StoredState {
  HardState hard_state;
  SnapshotPtr snapshot;  // Null if no snapshot was ever written.
  std::vector<EntryPtr> entries;
};

// A storage request. The fields are applied in order. Entries that conflict
// with the snapshot are removed before the snapshot is stored; otherwise a
// crash in between could leave conflicting entries after the snapshot.
struct Write {
  std::uint64_t id = 0;
  std::optional<HardState> hard_state;
  // Removes the entries from this index on.
  std::optional<LogIndex> truncate_from;
  // Replaces the stored snapshot. Entries up to and including its index may be
  // deleted.
  SnapshotPtr snapshot;
  std::vector<EntryPtr> entries;
};

enum class MessageType : std::uint8_t {
  kPreVote = 1,
  kPreVoteReply = 2,
  kVote = 3,
  kVoteReply = 4,
  kAppend = 5,
  kAppendReply = 6,
  kSnapshot = 7,
  kSnapshotReply = 8,
  // Asks the receiver to start an election immediately.
  kTimeoutNow = 9,
};

struct Message {
  MessageType type = MessageType::kAppend;
  ReplicaId from = 0;
  ReplicaId to = 0;
  Term term = 0;
  // kAppend: the entry before `entries`. kPreVote and kVote: the candidate's
  // last entry. kSnapshot: the last entry that the snapshot covers.
  // kAppendReply: the last matching entry.
  LogIndex index = 0;
  Term index_term = 0;
  LogIndex commit = 0;
  bool granted = false;  // Replies: the request was accepted.
  // kVote: the leader requested this election with kTimeoutNow.
  bool leadership_transfer = false;
  // Rejected kAppendReply: the last entry that may match. index_term is the
  // term of that entry.
  LogIndex hint = 0;
  // Send time on the leader's clock. The reply returns it unchanged; only the
  // leader interprets it.
  std::int64_t leader_timestamp = 0;
  // Send time on the follower's clock, masked. The leader returns the latest
  // one unchanged in later appends; only the follower interprets it.
  std::int64_t follower_timestamp = 0;
  // kAppend: time since a quorum last confirmed the leader, or -1 if none has.
  std::int64_t confirmation_age_ns = -1;
  // kSnapshot: offset of `data` and total size of the encoded snapshot.
  // kSnapshotReply: `offset` is the number of bytes received so far.
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;
  std::vector<EntryPtr> entries;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_TYPES_H_
