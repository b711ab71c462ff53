// Values that the parts of the replicated log exchange.
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
// Shared by the log in memory, queued writes and queued messages.
using EntryPtr = std::shared_ptr<const Entry>;

struct Member {
  ReplicaId id = 0;
  std::string address;
  bool voter = false;
};

struct ReplicaSet {
  std::vector<Member> members;
  // The largest ID that was ever a member. New members need a larger one, so
  // that no ID is reused.
  ReplicaId largest_id = 0;

  const Member* Find(ReplicaId id) const;
  Member* Find(ReplicaId id);
  bool IsVoter(ReplicaId id) const;
  std::size_t VoterCount() const;
};

struct HardState {
  Term term = 0;
  ReplicaId vote = 0;  // 0: no vote in this term.
};

struct SnapshotData {
  LogIndex index = 0;
  Term term = 0;
  std::int64_t leader_time_ms = 0;
  ReplicaSet replicas;
  std::string state;
};
using SnapshotPtr = std::shared_ptr<const SnapshotData>;

// What storage has after a restart.
struct StoredState {
  HardState hard;
  SnapshotPtr snapshot;  // Null if none was ever written.
  std::vector<EntryPtr> entries;
};

// A unit of storage work. The parts apply in the order of the fields: entries
// that a snapshot of another history replaces are removed before the snapshot
// is stored, so that a crash in between cannot leave them behind it.
struct Write {
  std::uint64_t id = 0;
  std::optional<HardState> hard;
  // Removes the entries from this index on.
  std::optional<LogIndex> truncate_from;
  // Replaces the snapshot. Entries at or before its index may be deleted.
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
  // Asks the receiver to start an election at once.
  kHandOver = 9,
};

struct Message {
  MessageType type = MessageType::kAppend;
  ReplicaId from = 0;
  ReplicaId to = 0;
  Term term = 0;
  // kAppend: the entry before `entries`. kVote: the last entry. kSnapshot: the
  // last entry covered. kAppendReply: the last matching entry.
  LogIndex index = 0;
  Term index_term = 0;
  LogIndex commit = 0;
  bool granted = false;    // Replies: accepted.
  bool hand_over = false;  // kVote: the leader asked for this election.
  // kAppendReply with granted == false: the last entry that may match;
  // index_term is its term.
  LogIndex hint = 0;
  // Leader's send time, returned unchanged by the reply. Meaningful to the
  // leader only.
  std::int64_t leader_echo = 0;
  // Follower's send time, returned unchanged by later messages of the leader.
  std::int64_t follower_echo = 0;
  // kAppend: age of the newest confirmation by a quorum; -1 if there is none.
  std::int64_t confirmation_age_ns = -1;
  // kSnapshot: position and size of `data`; kSnapshotReply: bytes received.
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;
  std::vector<EntryPtr> entries;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_TYPES_H_
