#include <algorithm>
#include <functional>

#include <fmt/format.h>

#include "consensus/core.h"
#include "consensus/encoding.h"

namespace sycamorebend::internal {

namespace {

// An append or snapshot chunk that is unacknowledged for this many heartbeat
// intervals is sent again.
constexpr int kResendHeartbeats = 2;
// A learner may be promoted while it lacks up to this many committed entries
// and bytes, because under steady load an append is always in flight. Commits
// may wait for it until it has them.
constexpr LogIndex kPromotionLagEntries = 64;
constexpr std::uint64_t kPromotionLagBytes = 4 << 20;
// Bound on the confirmations that wait for entries to be applied.
constexpr std::size_t kMaxPendingConfirmations = 64;

}  // namespace

void Core::UpdateFollowers(LogIndex next) {
  const ReplicaSet& replicas = this->Replicas();
  for (auto it = this->followers.begin(); it != this->followers.end();) {
    it = replicas.Find(it->first) == nullptr ? this->followers.erase(it)
                                             : std::next(it);
  }
  for (const Member& member : replicas.members) {
    if (member.id != this->options.id &&
        this->followers.count(member.id) == 0) {
      this->followers[member.id].next = next;
    }
  }
}

void Core::TickLeader(TimePoint now) {
  const Duration quorum_timeout = this->options.timings.election_timeout_min;
  const TimePoint confirmed =
      this->transferring_leadership
          ? this->leader_since
          : std::max(this->LeaseStart(now), this->leader_since);
  const bool removed = this->Replicas().Find(this->options.id) == nullptr &&
                       this->replica_sets.back().index <= this->commit_index;
  // Step down without a quorum: if the followers receive this leader's messages
  // but their replies are lost, their election timeouts would never expire.
  if (now >= confirmed + quorum_timeout || removed) {
    this->BecomeFollower(this->hard_state.term, 0, now);
    return;
  }
  if (now < this->next_heartbeat) {
    return;
  }
  this->next_heartbeat = now + this->options.timings.heartbeat;
  for (auto& [id, progress] : this->followers) {
    this->SendHeartbeat(id, progress, now);
  }
}

void Core::SetAppendHeader(Message& message,
                           const Progress& progress,
                           TimePoint now) {
  message.commit = this->commit_index;
  message.leader_timestamp = now.time_since_epoch().count();
  message.follower_timestamp = progress.follower_timestamp;
  const TimePoint confirmed = this->LeaseStart(now);
  if (this->CommittedInCurrentTerm() && confirmed != TimePoint::min()) {
    message.confirmation_age_ns = (now - confirmed).count();
  }
}

void Core::SendHeartbeat(ReplicaId id, Progress& progress, TimePoint now) {
  Message message = this->MakeMessage(MessageType::kAppend, id);
  // Refers to the last matching entry, so that the follower accepts the
  // heartbeat regardless of its order relative to the appends.
  const std::optional<Term> term = this->log.TermAt(progress.match);
  if (term) {
    message.index = progress.match;
    message.index_term = *term;
  }
  this->SetAppendHeader(message, progress, now);
  this->Send(std::move(message));
  const Duration resend = kResendHeartbeats * this->options.timings.heartbeat;
  if (progress.snapshot != nullptr) {
    if (now >= progress.snapshot_sent + resend) {
      // A delayed reply from before a restart of the follower may have set the
      // offset too high. The reply to the first chunk gives the real offset.
      progress.snapshot_offset = 0;
      this->SendSnapshotChunk(id, progress, now);
    }
    return;
  }
  if (progress.in_flight != 0 && now >= progress.in_flight_since + resend) {
    progress.in_flight = 0;
  }
  this->Replicate(id, progress, now);
}

void Core::ReplicateAll(TimePoint now) {
  for (auto& [id, progress] : this->followers) {
    this->Replicate(id, progress, now);
  }
}

void Core::Replicate(ReplicaId id, Progress& progress, TimePoint now) {
  if (progress.snapshot != nullptr || progress.in_flight != 0 ||
      progress.next > this->LastIndex()) {
    return;
  }
  if (this->NeedsSnapshot(progress)) {
    this->StartSnapshot(id, progress, now);
    return;
  }
  Message message = this->MakeMessage(MessageType::kAppend, id);
  message.index = progress.next - 1;
  message.index_term = *this->log.TermAt(message.index);
  std::size_t bytes = 0;
  for (LogIndex index = progress.next; index <= this->LastIndex(); ++index) {
    const EntryPtr& entry = this->log.At(index);
    bytes += entry->payload.size();
    if (!message.entries.empty() && bytes > this->options.max_message_bytes) {
      break;
    }
    message.entries.push_back(entry);
  }
  this->SetAppendHeader(message, progress, now);
  progress.in_flight = message.entries.back()->index;
  progress.in_flight_since = now;
  this->Send(std::move(message));
}

std::uint64_t Core::CatchUpBytes() const {
  return std::max(this->options.catch_up_bytes, this->SnapshotBytes());
}

// Compares applied entries only. A snapshot cannot contain later ones, and a
// follower that gets it must not be sent the same one again.
bool Core::NeedsSnapshot(const Progress& progress) const {
  return progress.next <= this->log.BaseIndex() ||
         this->log.BytesBetween(progress.next - 1, this->applied_index) >
             this->CatchUpBytes();
}

void Core::StartSnapshot(ReplicaId id, Progress& progress, TimePoint now) {
  // The follower is sent the entries after the snapshot, which therefore must
  // not be close to the limit itself.
  const std::uint64_t entries_after =
      this->log.BytesBetween(this->SnapshotIndex(), this->applied_index);
  if (this->SnapshotIndex() < progress.next ||
      entries_after > this->CatchUpBytes() / 2) {
    this->snapshot_requested = true;
    return;
  }
  progress.snapshot = this->EncodedSnapshot();
  progress.snapshot_index = this->snapshot->index;
  progress.snapshot_term = this->snapshot->term;
  progress.snapshot_offset = 0;
  this->SendSnapshotChunk(id, progress, now);
}

std::shared_ptr<const std::string> Core::EncodedSnapshot() {
  std::shared_ptr<const std::string> encoded = this->encoded_snapshot.lock();
  if (encoded == nullptr || this->encoded_index != this->snapshot->index) {
    encoded =
        std::make_shared<const std::string>(EncodeSnapshot(*this->snapshot));
    this->encoded_snapshot = encoded;
    this->encoded_index = this->snapshot->index;
  }
  return encoded;
}

void Core::SendSnapshotChunk(ReplicaId id, Progress& progress, TimePoint now) {
  Message message = this->MakeMessage(MessageType::kSnapshot, id);
  message.index = progress.snapshot_index;
  message.index_term = progress.snapshot_term;
  message.offset = progress.snapshot_offset;
  message.total = progress.snapshot->size();
  message.data = progress.snapshot->substr(message.offset,
                                           this->options.snapshot_chunk_bytes);
  message.leader_timestamp = now.time_since_epoch().count();
  progress.snapshot_sent = now;
  this->Send(std::move(message));
}

void Core::OnAppend(const Message& message, TimePoint now) {
  if (message.term < this->hard_state.term) {
    this->RejectAppend(message, now);
    return;
  }
  this->BecomeFollower(message.term, message.from, now);
  this->last_leader_contact = now;
  this->ResetElectionTimer(now);
  const std::optional<Term> own_term = this->log.TermAt(message.index);
  const bool covered = message.index < this->log.BaseIndex();
  if (!covered && own_term != message.index_term) {
    this->RejectAppend(message, now);
    return;
  }
  const std::uint64_t after_write = this->StoreEntries(message);
  const LogIndex match = message.index + message.entries.size();
  this->AcceptAppend(message, match, after_write, now);
  this->CommitTo(std::max(this->commit_index, std::min(message.commit, match)));
  this->RecordConfirmation(message, now);
}

std::uint64_t Core::StoreEntries(const Message& message) {
  Write write;
  for (const EntryPtr& entry : message.entries) {
    if (entry->index <= this->log.BaseIndex()) {
      continue;
    }
    if (write.entries.empty()) {
      if (this->log.TermAt(entry->index) == entry->term) {
        continue;
      }
      if (entry->index <= this->LastIndex()) {
        write.truncate_from = entry->index;
        this->TruncateLog(entry->index);
      }
    }
    this->AppendToLog(entry);
    write.entries.push_back(entry);
  }
  return write.entries.empty() ? 0 : this->AddWrite(std::move(write));
}

void Core::RejectAppend(const Message& message, TimePoint now) {
  Message reply = this->MakeMessage(MessageType::kAppendReply, message.from);
  reply.index = message.index;
  reply.leader_timestamp = message.leader_timestamp;
  reply.follower_timestamp =
      now.time_since_epoch().count() ^ this->timestamp_mask;
  // The entry at message.index is missing or has another term. Terms never
  // decrease along a log, so earlier entries with a higher term than the
  // leader's entry at message.index conflict too and are skipped here. The
  // leader skips its own entries with a higher term than the hint's likewise.
  reply.hint = std::min(this->LastIndex(),
                        message.index - std::min<LogIndex>(message.index, 1));
  while (reply.hint > this->commit_index &&
         this->log.TermAt(reply.hint).value_or(0) > message.index_term) {
    --reply.hint;
  }
  reply.index_term = this->log.TermAt(reply.hint).value_or(0);
  this->SendAfterWrite(std::move(reply), this->hard_state_write_id);
}

void Core::AcceptAppend(const Message& message,
                        LogIndex match,
                        std::uint64_t after_write,
                        TimePoint now) {
  Message reply = this->MakeMessage(MessageType::kAppendReply, message.from);
  reply.granted = true;
  reply.leader_timestamp = message.leader_timestamp;
  reply.follower_timestamp =
      now.time_since_epoch().count() ^ this->timestamp_mask;
  // If this message caused no entry write, the reply does not wait for earlier
  // ones, so that a slow disk does not delay heartbeats. It then acknowledges
  // only entries that are already durable.
  const bool wait = after_write != 0;
  reply.index = wait || !this->options.safeguards.sync_before_acknowledge
                    ? match
                    : std::min(match, this->durable_index);
  this->SendAfterWrite(std::move(reply),
                       std::max(after_write, this->hard_state_write_id));
}

void Core::RecordConfirmation(const Message& message, TimePoint now) {
  if (message.confirmation_age_ns < 0) {
    return;
  }
  // The leader received this replica's message with the timestamp before it
  // computed the age. Counting the age from that earlier time therefore never
  // understates it.
  const TimePoint sent(
      Duration(message.follower_timestamp ^ this->timestamp_mask));
  if (sent < this->started || sent > now) {
    return;
  }
  const TimePoint confirmed = sent - Duration(message.confirmation_age_ns);
  if (this->confirmations.size() < kMaxPendingConfirmations) {
    this->confirmations.push_back({message.commit, confirmed});
  }
  this->UpdateConfirmedAt();
}

Core::Progress* Core::ProcessReply(const Message& message, TimePoint now) {
  if (message.term > this->hard_state.term) {
    this->BecomeFollower(message.term, 0, now);
    return nullptr;
  }
  const auto found = this->followers.find(message.from);
  if (this->role != Role::kLeader || message.term != this->hard_state.term ||
      found == this->followers.end()) {
    return nullptr;
  }
  Progress& progress = found->second;
  const TimePoint sent(Duration(message.leader_timestamp));
  progress.acknowledged = std::max(progress.acknowledged, sent);
  if (message.follower_timestamp != 0) {
    progress.follower_timestamp = message.follower_timestamp;
  }
  return &progress;
}

void Core::OnAppendReply(const Message& message, TimePoint now) {
  Progress* const found = this->ProcessReply(message, now);
  if (found == nullptr) {
    return;
  }
  Progress& progress = *found;
  if (!message.granted) {
    LogIndex matching = std::min(progress.next - 1, message.hint);
    while (matching > progress.match &&
           this->log.TermAt(matching).value_or(0) > message.index_term) {
      --matching;
    }
    progress.next = std::max(progress.match, matching) + 1;
    progress.in_flight = 0;
  } else {
    progress.match = std::max(progress.match, message.index);
    if (progress.in_flight <= progress.match) {
      progress.in_flight = 0;
      progress.next = std::max(progress.next, progress.match + 1);
    }
    this->MaybeCommit();
  }
  this->Replicate(message.from, progress, now);
}

void Core::MaybeCommit() {
  if (this->role != Role::kLeader) {
    return;
  }
  std::vector<LogIndex> matches;
  for (const Member& member : this->Replicas().members) {
    if (!this->CountsAsVoter(member.id)) {
      continue;
    }
    if (member.id == this->options.id) {
      matches.push_back(this->options.safeguards.sync_before_acknowledge
                            ? this->durable_index
                            : this->LastIndex());
      continue;
    }
    const auto found = this->followers.find(member.id);
    matches.push_back(found == this->followers.end() ? 0 : found->second.match);
  }
  const std::size_t quorum = this->Quorum();
  if (matches.size() < quorum) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex index = matches[quorum - 1];
  if (index > this->commit_index &&
      this->log.TermAt(index) == this->hard_state.term) {
    this->CommitTo(index);
  }
}

void Core::OnSnapshot(const Message& message, TimePoint now) {
  if (message.term < this->hard_state.term) {
    this->RejectAppend(message, now);
    return;
  }
  this->BecomeFollower(message.term, message.from, now);
  this->last_leader_contact = now;
  this->ResetElectionTimer(now);
  Message reply = this->MakeMessage(MessageType::kSnapshotReply, message.from);
  reply.granted = true;
  reply.index = message.index;
  reply.leader_timestamp = message.leader_timestamp;
  if (message.index <= this->commit_index) {
    reply.offset = message.total;
    this->SendAfterWrite(std::move(reply), this->last_write_id);
    return;
  }
  // A duplicate of the first chunk does not restart the transfer: the leader
  // ignores replies whose offset decreases, except to 0.
  if (this->incoming_index != message.index ||
      this->incoming_term != message.term) {
    this->incoming_snapshot.clear();
    this->incoming_index = message.index;
    this->incoming_term = message.term;
  }
  if (message.offset == this->incoming_snapshot.size()) {
    this->incoming_snapshot += message.data;
  }
  reply.offset = this->incoming_snapshot.size();
  std::uint64_t after_write = this->hard_state_write_id;
  if (reply.offset == message.total) {
    std::optional<SnapshotData> decoded =
        DecodeSnapshot(this->incoming_snapshot);
    this->incoming_snapshot.clear();
    this->incoming_index = 0;
    if (!decoded || decoded->index != message.index) {
      reply.offset = 0;
    } else {
      after_write = this->InstallSnapshot(
          std::make_shared<const SnapshotData>(std::move(*decoded)));
    }
  }
  this->SendAfterWrite(std::move(reply), after_write);
}

std::uint64_t Core::InstallSnapshot(SnapshotPtr snapshot) {
  Write write;
  write.snapshot = snapshot;
  if (this->log.TermAt(snapshot->index) == snapshot->term) {
    // The log continues the snapshot. Keep the entries after it, because some
    // may have been acknowledged.
    this->log.DropThrough(snapshot->index);
  } else {
    if (this->LastIndex() > this->log.BaseIndex()) {
      write.truncate_from = this->log.BaseIndex() + 1;
      this->TruncateLog(this->log.BaseIndex() + 1);
    }
    this->log.Reset(snapshot->index, snapshot->term);
  }
  std::vector<IndexedReplicaSet> sets = {{snapshot->index, snapshot->replicas}};
  for (IndexedReplicaSet& item : this->replica_sets) {
    if (item.index > snapshot->index) {
      sets.push_back(std::move(item));
    }
  }
  this->replica_sets = std::move(sets);
  if (this->log.Empty()) {
    this->last_time_ms = snapshot->leader_time_ms;
  }
  this->delivered_time_ms = snapshot->leader_time_ms;
  this->snapshot = std::move(snapshot);
  this->commit_index = this->snapshot->index;
  this->delivered_index = this->snapshot->index;
  this->output.committed.clear();
  this->output.restore = this->snapshot;
  const std::uint64_t id = this->AddWrite(std::move(write));
  // Writing the snapshot makes the entries that it covers durable.
  this->pending_writes.back().last_index = this->snapshot->index;
  return id;
}

void Core::OnSnapshotReply(const Message& message, TimePoint now) {
  Progress* const found = this->ProcessReply(message, now);
  if (found == nullptr) {
    return;
  }
  Progress& progress = *found;
  if (progress.snapshot == nullptr ||
      message.index != progress.snapshot_index) {
    return;
  }
  if (message.offset < progress.snapshot->size()) {
    // A duplicate reply to an earlier chunk must not cause a retransmission.
    const bool expected =
        message.offset == 0 || message.offset > progress.snapshot_offset;
    if (expected) {
      progress.snapshot_offset = message.offset;
      this->SendSnapshotChunk(message.from, progress, now);
    }
    return;
  }
  progress.match = std::max(progress.match, progress.snapshot_index);
  progress.next = progress.match + 1;
  progress.snapshot = nullptr;
  this->MaybeCommit();
  this->Replicate(message.from, progress, now);
}

LogIndex Core::AppendAsLeader(EntryKind kind,
                              std::string payload,
                              TimePoint now,
                              std::int64_t wall_ms) {
  auto entry = std::make_shared<Entry>();
  entry->index = this->LastIndex() + 1;
  entry->term = this->hard_state.term;
  entry->leader_time_ms = std::max(wall_ms, this->last_time_ms);
  entry->kind = kind;
  entry->payload = std::move(payload);
  const LogIndex index = entry->index;
  Write write;
  write.entries = {entry};
  this->AppendToLog(std::move(entry));
  this->AddWrite(std::move(write));
  this->ReplicateAll(now);
  return index;
}

Result<LogIndex> Core::Propose(std::string command,
                               TimePoint now,
                               std::int64_t wall_ms) {
  if (!this->LeaseValid(now)) {
    return MakeError(ResultCode::kNotLeader);
  }
  if (command.size() > this->options.max_command_bytes) {
    return MakeError(
        ResultCode::kEntryTooLarge,
        fmt::format("the entry has {} bytes; the log accepts at most {}",
                    command.size(), this->options.max_command_bytes));
  }
  if (this->log.BytesAfter(this->applied_index) + command.size() >
      this->options.max_pending_bytes) {
    return MakeError(ResultCode::kLogBusy);
  }
  return this->AppendAsLeader(EntryKind::kCommand, std::move(command), now,
                              wall_ms);
}

Status Core::CheckReplicaChange(TimePoint now) const {
  if (!this->LeaseValid(now)) {
    return MakeError(ResultCode::kNotLeader);
  }
  // Before an entry of this term is committed, this leader may not know of a
  // change that an earlier leader started. Two concurrent changes could lead to
  // quorums that don't intersect.
  if (!this->CommittedInCurrentTerm() ||
      this->replica_sets.back().index > this->commit_index) {
    return MakeError(ResultCode::kMembershipChangeInProgress);
  }
  return Success();
}

LogIndex Core::ChangeReplicas(const ReplicaSet& set,
                              TimePoint now,
                              std::int64_t wall_ms) {
  const LogIndex index = this->AppendAsLeader(
      EntryKind::kReplicaSet, EncodeReplicaSet(set), now, wall_ms);
  // Replication to a new member starts with this entry; starting after it would
  // send the member nothing until a later entry is appended.
  this->UpdateFollowers(index);
  this->ReplicateAll(now);
  return index;
}

Result<LogIndex> Core::AddReplica(const Member& member,
                                  TimePoint now,
                                  std::int64_t wall_ms) {
  BOOST_OUTCOME_TRYV(this->CheckReplicaChange(now));
  const Member* known = this->Replicas().Find(member.id);
  if (known != nullptr && known->address == member.address) {
    return LogIndex{0};
  }
  if (member.id == 0 || member.id <= this->Replicas().largest_id) {
    return MakeError(ResultCode::kReplicaIdReused);
  }
  ReplicaSet set = this->Replicas();
  set.members.push_back({member.id, member.address, false});
  set.largest_id = member.id;
  return this->ChangeReplicas(set, now, wall_ms);
}

bool Core::CaughtUp(const Progress& progress) const {
  return progress.match > 0 && progress.match >= this->log.BaseIndex() &&
         progress.match + kPromotionLagEntries >= this->commit_index &&
         this->CommittedBytesAfter(progress.match) <= kPromotionLagBytes;
}

Result<LogIndex> Core::PromoteReplica(ReplicaId id,
                                      TimePoint now,
                                      std::int64_t wall_ms) {
  BOOST_OUTCOME_TRYV(this->CheckReplicaChange(now));
  ReplicaSet set = this->Replicas();
  Member* member = set.Find(id);
  if (member == nullptr) {
    return MakeError(ResultCode::kNotFound, "no such replica");
  }
  if (member->voter) {
    return LogIndex{0};
  }
  const auto found = this->followers.find(id);
  if (found == this->followers.end() || !this->CaughtUp(found->second)) {
    return MakeError(ResultCode::kReplicaNotCaughtUp);
  }
  member->voter = true;
  return this->ChangeReplicas(set, now, wall_ms);
}

Result<LogIndex> Core::RemoveReplica(ReplicaId id,
                                     TimePoint now,
                                     std::int64_t wall_ms) {
  BOOST_OUTCOME_TRYV(this->CheckReplicaChange(now));
  ReplicaSet set = this->Replicas();
  const Member* member = set.Find(id);
  if (member == nullptr) {
    return LogIndex{0};
  }
  if (member->voter && set.VoterCount() == 1) {
    return MakeError(ResultCode::kNoQuorum,
                     "the last voting replica cannot be removed");
  }
  set.members.erase(set.members.begin() + (member - set.members.data()));
  return this->ChangeReplicas(set, now, wall_ms);
}

}  // namespace sycamorebend::internal
