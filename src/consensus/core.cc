#include "consensus/core.h"

#include <algorithm>

#include "consensus/encoding.h"

namespace sycamorebend::internal {

Core::Core(const CoreOptions& options,
           const StoredState& stored,
           const ReplicaSet* initial,
           TimePoint now)
    : options(options),
      random(options.random_seed),
      timestamp_mask(static_cast<std::int64_t>(this->random())),
      started(now),
      hard_state(stored.hard_state),
      // The time of the last leader contact is lost in a restart, so the
      // interval in which no vote is granted starts again.
      last_leader_contact(now) {
  this->replica_sets.push_back({0, {}});
  if (stored.snapshot != nullptr) {
    this->snapshot = stored.snapshot;
    this->log.Reset(this->snapshot->index, this->snapshot->term);
    this->last_time_ms = this->snapshot->leader_time_ms;
    this->delivered_time_ms = this->last_time_ms;
    this->commit_index = this->snapshot->index;
    this->delivered_index = this->snapshot->index;
    this->replica_sets.back() = {this->snapshot->index,
                                 this->snapshot->replicas};
    // A snapshot at index 0 holds only the initial replica set, no state.
    if (this->snapshot->index > 0) {
      this->output.restore = this->snapshot;
    }
  } else if (initial != nullptr) {
    auto first = std::make_shared<SnapshotData>();
    first->replicas = *initial;
    this->snapshot = first;
    this->replica_sets.back() = {0, *initial};
    Write write;
    write.snapshot = this->snapshot;
    this->hard_state_write_id = this->AddWrite(std::move(write));
  }
  for (const EntryPtr& entry : stored.entries) {
    this->AppendToLog(entry);
  }
  this->durable_index = this->LastIndex();
  this->ResetElectionTimer(now);
}

LogIndex Core::SnapshotIndex() const {
  return this->snapshot == nullptr ? 0 : this->snapshot->index;
}

std::uint64_t Core::SnapshotBytes() const {
  return this->snapshot == nullptr ? 0 : this->snapshot->state.size();
}

bool Core::LogUpToDate(LogIndex last_index, Term last_term) const {
  return std::make_pair(last_term, last_index) >=
         std::make_pair(this->log.LastTerm(), this->LastIndex());
}

void Core::AppendToLog(EntryPtr entry) {
  this->last_time_ms = entry->leader_time_ms;
  if (entry->kind == EntryKind::kReplicaSet) {
    this->replica_sets.push_back(
        {entry->index,
         DecodeReplicaSet(entry->payload).value_or(ReplicaSet{})});
  }
  this->log.Append(std::move(entry));
}

void Core::TruncateLog(LogIndex from) {
  this->log.TruncateFrom(from);
  while (this->replica_sets.size() > 1 &&
         this->replica_sets.back().index >= from) {
    this->replica_sets.pop_back();
  }
  this->last_time_ms = this->log.Empty()
                           ? this->delivered_time_ms
                           : this->log.At(this->LastIndex())->leader_time_ms;
  this->durable_index = std::min(this->durable_index, from - 1);
  for (PendingWrite& write : this->pending_writes) {
    write.last_index = std::min(write.last_index, from - 1);
  }
}

std::uint64_t Core::AddWrite(Write write) {
  write.id = ++this->last_write_id;
  this->pending_writes.push_back(
      {write.id, write.entries.empty() ? 0 : write.entries.back()->index});
  const std::uint64_t id = write.id;
  this->output.writes.push_back(std::move(write));
  return id;
}

void Core::SaveHardState() {
  Write write;
  write.hard_state = this->hard_state;
  this->hard_state_write_id = this->AddWrite(std::move(write));
}

void Core::WriteDone(std::uint64_t write_id, TimePoint now) {
  this->completed_write_id = std::max(this->completed_write_id, write_id);
  while (!this->pending_writes.empty() &&
         this->pending_writes.front().id <= write_id) {
    this->durable_index =
        std::max(this->durable_index, this->pending_writes.front().last_index);
    this->pending_writes.pop_front();
  }
  this->SendDeferredMessages();
  this->MaybeBecomeLeader(now);
  this->MaybeCommit();
}

Message Core::MakeMessage(MessageType type, ReplicaId to) const {
  Message message;
  message.type = type;
  message.from = this->options.id;
  message.to = to;
  message.term = this->hard_state.term;
  return message;
}

void Core::Send(Message message) {
  this->output.messages.push_back(std::move(message));
}

void Core::SendAfterWrite(Message message, std::uint64_t write_id) {
  if (write_id <= this->completed_write_id ||
      !this->options.safeguards.sync_before_acknowledge) {
    this->Send(std::move(message));
    return;
  }
  this->deferred_messages.push_back({write_id, std::move(message)});
}

void Core::SendDeferredMessages() {
  std::deque<DeferredMessage> remaining;
  for (DeferredMessage& item : this->deferred_messages) {
    if (item.after_write <= this->completed_write_id) {
      this->Send(std::move(item.message));
    } else {
      remaining.push_back(std::move(item));
    }
  }
  this->deferred_messages.swap(remaining);
}

void Core::CommitTo(LogIndex index) {
  this->commit_index = std::max(this->commit_index, index);
  while (this->delivered_index < this->commit_index) {
    ++this->delivered_index;
    const EntryPtr& entry = this->log.At(this->delivered_index);
    this->delivered_time_ms = entry->leader_time_ms;
    this->output.committed.push_back(entry);
  }
}

void Core::SetApplied(LogIndex index) {
  this->applied_index = index;
  this->TrimLog();
  this->UpdateConfirmedAt();
}

const ReplicaSet& Core::ReplicasAt(LogIndex index) const {
  const auto after = std::find_if(
      this->replica_sets.begin() + 1, this->replica_sets.end(),
      [index](const IndexedReplicaSet& item) { return item.index > index; });
  return std::prev(after)->set;
}

bool Core::SnapshotDue() const {
  if (this->applied_index <= this->SnapshotIndex()) {
    return false;
  }
  return this->snapshot_requested ||
         this->applied_index - this->SnapshotIndex() >=
             this->options.snapshot_entries ||
         this->BytesSinceSnapshot() >=
             this->options.snapshot_bytes + this->SnapshotBytes();
}

void Core::Compact(std::string state, TimePoint now) {
  if (this->applied_index <= this->SnapshotIndex()) {
    return;
  }
  this->snapshot_requested = false;
  auto next = std::make_shared<SnapshotData>();
  next->index = this->applied_index;
  next->term = *this->log.TermAt(this->applied_index);
  next->leader_time_ms = this->log.At(this->applied_index)->leader_time_ms;
  next->replicas = this->ReplicasAt(this->applied_index);
  next->state = std::move(state);
  this->snapshot = next;
  Write write;
  write.snapshot = this->snapshot;
  this->AddWrite(std::move(write));
  this->TrimLog();
  this->ReplicateAll(now);
}

void Core::TrimLog() {
  const LogIndex covered = std::min(this->SnapshotIndex(), this->applied_index);
  const auto surplus = [this, covered] {
    return covered - this->log.BaseIndex() > this->options.trailing_entries ||
           this->log.BytesBetween(this->log.BaseIndex(), this->applied_index) >
               this->CatchUpBytes();
  };
  while (this->log.BaseIndex() < covered && surplus()) {
    this->log.DropThrough(this->log.BaseIndex() + 1);
  }
  while (this->replica_sets.size() > 1 &&
         this->replica_sets[1].index <= this->log.BaseIndex()) {
    this->replica_sets.erase(this->replica_sets.begin());
  }
}

void Core::UpdateConfirmedAt() {
  while (!this->confirmations.empty() &&
         this->confirmations.front().commit <= this->applied_index) {
    this->confirmed_at =
        std::max(this->confirmed_at, this->confirmations.front().at);
    this->confirmations.pop_front();
  }
}

CoreOutput Core::TakeOutput() {
  CoreOutput taken;
  std::swap(taken, this->output);
  return taken;
}

void Core::Tick(TimePoint now) {
  if (this->role == Role::kLeader) {
    this->TickLeader(now);
  } else if (now >= this->election_deadline) {
    this->StartPreVote(now);
  }
}

void Core::Receive(const Message& message, TimePoint now) {
  if (message.to != this->options.id || message.from == this->options.id) {
    return;
  }
  switch (message.type) {
    case MessageType::kPreVote:
      return this->OnPreVote(message, now);
    case MessageType::kPreVoteReply:
      return this->OnPreVoteReply(message, now);
    case MessageType::kVote:
      return this->OnVote(message, now);
    case MessageType::kVoteReply:
      return this->OnVoteReply(message, now);
    case MessageType::kAppend:
      return this->OnAppend(message, now);
    case MessageType::kAppendReply:
      return this->OnAppendReply(message, now);
    case MessageType::kSnapshot:
      return this->OnSnapshot(message, now);
    case MessageType::kSnapshotReply:
      return this->OnSnapshotReply(message, now);
    case MessageType::kTimeoutNow:
      return this->OnTimeoutNow(message, now);
  }
}

}  // namespace sycamorebend::internal
