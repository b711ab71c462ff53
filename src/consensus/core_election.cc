#include <algorithm>
#include <functional>

#include "consensus/core.h"

namespace sycamorebend::internal {

void Core::BecomeFollower(Term term, ReplicaId leader, TimePoint now) {
  if (this->role == Role::kLeader) {
    this->confirmed_at = this->ConfirmedAt(now);
    this->followers.clear();
    this->snapshot_requested = false;
    this->ResetElectionTimer(now);
  }
  if (term > this->hard_state.term) {
    this->hard_state = {term, 0};
    this->SaveHardState();
    // Deferred replies to the leader of an older term are no longer valid.
    this->deferred_messages.clear();
  }
  this->role = Role::kFollower;
  this->leader = leader;
}

void Core::ResetElectionTimer(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> delay(
      this->options.timings.election_timeout_min.count(),
      this->options.timings.election_timeout_max.count());
  this->election_deadline = now + Duration(delay(this->random));
}

bool Core::HasLiveLeader(TimePoint now) const {
  if (this->role == Role::kLeader) {
    return this->LeaseValid(now);
  }
  return now <
         this->last_leader_contact + this->options.timings.election_timeout_min;
}

bool Core::CountsAsVoter(ReplicaId id) const {
  if (!this->options.safeguards.learner_without_vote) {
    return this->Replicas().Find(id) != nullptr;
  }
  return this->Replicas().IsVoter(id);
}

std::size_t Core::Quorum() const {
  return this->Replicas().VoterCount() / 2 + 1;
}

bool Core::HasQuorum(const std::set<ReplicaId>& ids) const {
  const auto count =
      std::count_if(ids.begin(), ids.end(),
                    [this](ReplicaId id) { return this->CountsAsVoter(id); });
  return static_cast<std::size_t>(count) >= this->Quorum();
}

void Core::RequestVotes(MessageType type, Term term, bool leadership_transfer) {
  for (const Member& member : this->Replicas().members) {
    if (member.id == this->options.id || !this->CountsAsVoter(member.id)) {
      continue;
    }
    Message message = this->MakeMessage(type, member.id);
    message.term = term;
    message.index = this->LastIndex();
    message.index_term = this->log.LastTerm();
    message.leadership_transfer = leadership_transfer;
    this->SendAfterWrite(std::move(message), this->hard_state_write_id);
  }
}

void Core::StartPreVote(TimePoint now) {
  this->ResetElectionTimer(now);
  if (!this->CountsAsVoter(this->options.id)) {
    return;
  }
  if (!this->options.safeguards.pre_vote) {
    this->StartElection(now, false);
    return;
  }
  this->role = Role::kPreCandidate;
  this->leader = 0;
  this->votes = {this->options.id};
  this->RequestVotes(MessageType::kPreVote, this->hard_state.term + 1, false);
  if (this->HasQuorum(this->votes)) {
    this->StartElection(now, false);
  }
}

void Core::StartElection(TimePoint now, bool leadership_transfer) {
  this->ResetElectionTimer(now);
  this->role = Role::kCandidate;
  this->leader = 0;
  this->hard_state = {this->hard_state.term + 1, this->options.id};
  this->deferred_messages.clear();
  this->SaveHardState();
  this->votes = {this->options.id};
  this->RequestVotes(MessageType::kVote, this->hard_state.term,
                     leadership_transfer);
}

void Core::MaybeBecomeLeader(TimePoint now) {
  // The candidate's own vote counts only once it is durable.
  if (this->role == Role::kCandidate &&
      (this->completed_write_id >= this->hard_state_write_id ||
       !this->options.safeguards.sync_before_acknowledge) &&
      this->HasQuorum(this->votes)) {
    this->BecomeLeader(now);
  }
}

void Core::BecomeLeader(TimePoint now) {
  this->role = Role::kLeader;
  this->leader = this->options.id;
  this->leader_since = now;
  this->transferring_leadership = false;
  this->followers.clear();
  this->UpdateFollowers(this->LastIndex() + 1);
  // Raft commits entries of earlier terms only together with an entry of the
  // current term.
  this->term_start_index =
      this->AppendAsLeader(EntryKind::kNoOp, {}, now, this->last_time_ms);
  this->next_heartbeat = now;
  this->TickLeader(now);
}

void Core::OnPreVote(const Message& message, TimePoint now) {
  Message reply = this->MakeMessage(MessageType::kPreVoteReply, message.from);
  reply.granted = message.term > this->hard_state.term &&
                  !this->HasLiveLeader(now) &&
                  !this->Replicas().members.empty() &&
                  this->LogUpToDate(message.index, message.index_term);
  // A granted reply carries the term that the candidate proposed.
  reply.term = reply.granted ? message.term : this->hard_state.term;
  this->SendAfterWrite(std::move(reply), this->hard_state_write_id);
}

void Core::OnPreVoteReply(const Message& message, TimePoint now) {
  if (!message.granted) {
    if (message.term > this->hard_state.term) {
      this->BecomeFollower(message.term, 0, now);
    }
    return;
  }
  if (this->role != Role::kPreCandidate ||
      message.term != this->hard_state.term + 1) {
    return;
  }
  this->votes.insert(message.from);
  if (this->HasQuorum(this->votes)) {
    this->StartElection(now, false);
  }
}

void Core::OnVote(const Message& message, TimePoint now) {
  if (message.term > this->hard_state.term) {
    // While a leader is live, its lease must hold, so neither a vote nor the
    // newer term is accepted. A leader that requested this election has already
    // given up its lease.
    if (this->HasLiveLeader(now) && !message.leadership_transfer) {
      return;
    }
    this->BecomeFollower(message.term, 0, now);
  }
  Message reply = this->MakeMessage(MessageType::kVoteReply, message.from);
  const bool can_vote =
      this->hard_state.vote == 0 || this->hard_state.vote == message.from;
  // A replica that has not joined yet has no replica set and must not vote.
  reply.granted = message.term == this->hard_state.term && can_vote &&
                  !this->Replicas().members.empty() &&
                  this->LogUpToDate(message.index, message.index_term);
  if (reply.granted && this->hard_state.vote == 0) {
    this->hard_state.vote = message.from;
    this->SaveHardState();
    this->ResetElectionTimer(now);
  }
  this->SendAfterWrite(std::move(reply), this->hard_state_write_id);
}

void Core::OnVoteReply(const Message& message, TimePoint now) {
  if (message.term > this->hard_state.term) {
    this->BecomeFollower(message.term, 0, now);
    return;
  }
  if (this->role != Role::kCandidate || message.term != this->hard_state.term ||
      !message.granted) {
    return;
  }
  this->votes.insert(message.from);
  this->MaybeBecomeLeader(now);
}

void Core::OnTimeoutNow(const Message& message, TimePoint now) {
  if (message.term == this->hard_state.term && this->leader == message.from &&
      this->role == Role::kFollower && this->CountsAsVoter(this->options.id)) {
    this->StartElection(now, true);
  }
}

void Core::TransferLeadership(TimePoint now) {
  if (this->role != Role::kLeader || this->transferring_leadership) {
    return;
  }
  ReplicaId target = 0;
  LogIndex best = 0;
  for (const auto& [id, progress] : this->followers) {
    const bool reachable = progress.acknowledged != TimePoint::min() &&
                           now < progress.acknowledged +
                                     this->options.timings.election_timeout_min;
    if (reachable && this->CountsAsVoter(id) && progress.match > best) {
      target = id;
      best = progress.match;
    }
  }
  if (target == 0) {
    return;
  }
  this->transferring_leadership = true;
  this->leader_since = now;
  this->Send(this->MakeMessage(MessageType::kTimeoutNow, target));
}

void Core::TransferFromFullDisk(TimePoint now) {
  if (this->role != Role::kLeader || this->transferring_leadership) {
    return;
  }
  if (this->commit_index > this->durable_index) {
    this->TransferLeadership(now);
  } else if (this->durable_index == this->LastIndex()) {
    // Only a snapshot waits for space. The others show with this entry whether
    // they can write.
    this->AppendAsLeader(EntryKind::kNoOp, {}, now, this->last_time_ms);
  }
}

TimePoint Core::LeaseStart(TimePoint now) const {
  std::vector<TimePoint> times;
  for (const Member& member : this->Replicas().members) {
    if (!this->CountsAsVoter(member.id)) {
      continue;
    }
    if (member.id == this->options.id) {
      times.push_back(now);
      continue;
    }
    const auto found = this->followers.find(member.id);
    times.push_back(found == this->followers.end()
                        ? TimePoint::min()
                        : found->second.acknowledged);
  }
  const std::size_t quorum = this->Quorum();
  if (times.size() < quorum) {
    return TimePoint::min();
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[quorum - 1];
}

bool Core::LeaseValid(TimePoint now) const {
  if (this->role != Role::kLeader || this->transferring_leadership) {
    return false;
  }
  if (!this->options.safeguards.lease_check) {
    return true;
  }
  const TimePoint start = this->LeaseStart(now);
  return start != TimePoint::min() && now < start + this->options.timings.lease;
}

bool Core::CommittedInCurrentTerm() const {
  return this->role == Role::kLeader &&
         this->commit_index >= this->term_start_index;
}

TimePoint Core::ConfirmedAt(TimePoint now) const {
  if (this->CommittedInCurrentTerm() &&
      this->applied_index >= this->commit_index) {
    return std::max(this->confirmed_at, this->LeaseStart(now));
  }
  return this->confirmed_at;
}

Result<ReadPoint> Core::BeginRead(TimePoint now) const {
  if (!this->LeaseValid(now)) {
    return MakeError(ResultCode::kNotLeader);
  }
  return ReadPoint{this->hard_state.term,
                   std::max(this->commit_index, this->term_start_index)};
}

ReadState Core::CheckRead(const ReadPoint& point, TimePoint now) const {
  if (this->role != Role::kLeader || this->hard_state.term != point.term) {
    return ReadState::kFailed;
  }
  if (this->applied_index < point.index || !this->LeaseValid(now)) {
    return ReadState::kWaiting;
  }
  return ReadState::kReady;
}

}  // namespace sycamorebend::internal
