#include "simulation.h"

#include <algorithm>

#include <fmt/format.h>

namespace sycamorebend {

using internal::Core;
using internal::Entry;
using internal::EntryKind;
using internal::EntryPtr;
using internal::Message;
using internal::Role;
using internal::SnapshotData;
using internal::Write;

namespace {

constexpr Duration kTick = milliseconds(20);
constexpr Duration kClientInterval = milliseconds(25);
constexpr Duration kFaultInterval = milliseconds(400);
constexpr Duration kReplicaChangeInterval = milliseconds(150);
constexpr Duration kMembershipCheckInterval = milliseconds(100);
constexpr std::uint64_t kSnapshotEntries = 25;
// Clock rates differ by at most 6%. The default timings tolerate more: a lease
// of 500 ms against a minimum election timeout of 600 ms.
constexpr double kMaxClockDrift = 0.03;
// Bounds the relative error of an age that is measured with two drifting
// clocks.
constexpr double kAgeTolerance = 1.07;
constexpr Duration kHealTime = seconds(8);

std::uint64_t AppendToHash(std::uint64_t history_hash,
                           std::string_view command) {
  return StableHash64(std::to_string(history_hash) + ":" +
                      std::string(command));
}

}  // namespace

void SimulationCounts::Add(const SimulationCounts& other) {
  this->committed += other.committed;
  this->reads += other.reads;
  this->leaders += other.leaders;
  this->crashes += other.crashes;
  this->freezes += other.freezes;
  this->link_faults += other.link_faults;
  this->replaced_disks += other.replaced_disks;
  this->replica_changes += other.replica_changes;
  this->snapshots += other.snapshots;
  this->installed_snapshots += other.installed_snapshots;
  this->leadership_transfers += other.leadership_transfers;
  this->erasures += other.erasures;
  this->erased_initial_replicas += other.erased_initial_replicas;
  this->interrupted_erasures += other.interrupted_erasures;
}

Simulation::Simulation(const SimulationOptions& options)
    : options(options), random(options.seed) {
  for (ReplicaId id = 1; id <= 3; ++id) {
    this->initial.members.push_back({id, std::to_string(id), true});
  }
  this->initial.largest_id = 3;
  this->next_id = 4;
  if (options.faults) {
    this->loss = this->Chance(0.5) ? 0.1 * this->Uniform() : 0;
    this->duplication = this->Chance(0.5) ? 0.1 * this->Uniform() : 0;
    this->slow_messages = this->Chance(0.5) ? 0.1 * this->Uniform() : 0;
    this->slow_syncs = this->Chance(0.3) ? 0.1 * this->Uniform() : 0;
    this->replaces_disks = this->Chance(0.5);
    this->changes_replicas = this->replaces_disks || this->Chance(0.5);
  }
  for (ReplicaId id = 1; id <= 3; ++id) {
    this->Start(this->AddReplica(id, false));
  }
  this->ClientLoop();
}

Duration Simulation::RandomDuration(Duration low, Duration high) {
  return low +
         Duration(static_cast<Duration::rep>(
             this->Uniform() * static_cast<double>((high - low).count())));
}

void Simulation::Schedule(Duration time, std::function<void()> run) {
  this->events.push({time, this->next_order++, std::move(run)});
}

void Simulation::RunFor(Duration time) {
  const Duration end = this->now + time;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Scheduled event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  this->now = end;
}

void Simulation::RunSchedule() {
  this->faults_active = this->options.faults;
  this->FaultLoop();
  this->ReplicaChangeLoop();
  this->MembershipCheckLoop();
  this->RunFor(this->options.duration);
  this->EndFaults();
  this->RunFor(kHealTime);
  this->CheckConverged();
}

TimePoint Simulation::LocalTime(const Replica& replica) const {
  return TimePoint(replica.offset +
                   Duration(static_cast<Duration::rep>(
                       replica.rate * static_cast<double>(this->now.count()))));
}

void Simulation::Deliver(ReplicaId id, std::function<void(Replica&)> step) {
  Replica& replica = this->replicas.at(id);
  if (replica.core == nullptr) {
    return;
  }
  const std::uint64_t incarnation = replica.incarnation;
  auto run = [this, id, incarnation, step = std::move(step)] {
    Replica& target = this->replicas.at(id);
    if (target.core != nullptr && target.incarnation == incarnation) {
      step(target);
      this->ProcessOutput(target);
    }
  };
  if (this->now < replica.frozen_until) {
    replica.delayed.push_back(std::move(run));
  } else {
    run();
  }
}

Simulation::Replica& Simulation::AddReplica(ReplicaId id, bool joins) {
  Replica& replica = this->replicas[id];
  replica.id = id;
  replica.joins = joins;
  replica.rate = 1 + kMaxClockDrift * (2 * this->Uniform() - 1);
  replica.offset = this->RandomDuration(Duration(0), std::chrono::hours(1));
  return replica;
}

void Simulation::Start(Replica& replica) {
  internal::CoreOptions core_options;
  core_options.id = replica.id;
  core_options.max_message_bytes = 200;
  core_options.snapshot_chunk_bytes = 100;
  core_options.snapshot_entries = kSnapshotEntries;
  core_options.trailing_entries = 10;
  // Every other schedule prefers snapshots to a few entries.
  if (this->options.seed % 2 == 0) {
    core_options.catch_up_bytes = 1000;
  }
  core_options.random_seed = this->random();
  core_options.safeguards = this->options.safeguards;
  replica.applied = 0;
  replica.history_hash = 0;
  replica.last_time_ms = 0;
  replica.reads.clear();
  replica.unsynced.clear();
  replica.delayed.clear();
  replica.last_sync = this->now;
  ++replica.incarnation;
  replica.core = std::make_unique<Core>(
      core_options, replica.disk,
      replica.empty_disk && !replica.joins ? &this->initial : nullptr,
      this->LocalTime(replica));
  this->ProcessOutput(replica);
  this->TickLoop(replica.id, replica.incarnation);
}

void Simulation::Crash(Replica& replica) {
  ++this->counts.crashes;
  replica.core.reset();
  // Any prefix of the unsynced writes may have reached the disk.
  while (!replica.unsynced.empty() && this->Chance(0.5)) {
    Persist(replica, replica.unsynced.front());
    replica.unsynced.erase(replica.unsynced.begin());
  }
  replica.unsynced.clear();
}

void Simulation::Restart(ReplicaId id, Duration delay) {
  this->Schedule(this->now + delay, [this, id] {
    Replica& target = this->replicas.at(id);
    if (target.core == nullptr && !target.disk_lost && !target.erased) {
      this->Start(target);
    }
  });
}

void Simulation::Persist(Replica& replica, const Write& write) {
  internal::StoredState& disk = replica.disk;
  replica.empty_disk = false;
  if (write.hard_state) {
    disk.hard_state = *write.hard_state;
  }
  const auto remove_from = [&disk](LogIndex from) {
    while (!disk.entries.empty() && disk.entries.back()->index >= from) {
      disk.entries.pop_back();
    }
  };
  if (write.truncate_from) {
    remove_from(*write.truncate_from);
  }
  if (write.snapshot != nullptr) {
    disk.snapshot = write.snapshot;
    const auto kept = std::find_if(
        disk.entries.begin(), disk.entries.end(), [&](const EntryPtr& entry) {
          return entry->index > write.snapshot->index;
        });
    disk.entries.erase(disk.entries.begin(), kept);
  }
  for (const EntryPtr& entry : write.entries) {
    disk.entries.push_back(entry);
  }
}

void Simulation::TickLoop(ReplicaId id, std::uint64_t incarnation) {
  const Replica& replica = this->replicas.at(id);
  if (replica.core == nullptr || replica.incarnation != incarnation) {
    return;
  }
  this->Deliver(id, [this](Replica& target) {
    target.core->Tick(this->LocalTime(target));
  });
  this->Schedule(this->now + kTick,
                 [this, id, incarnation] { this->TickLoop(id, incarnation); });
}

void Simulation::ClientLoop() {
  for (auto& [id, replica] : this->replicas) {
    if (replica.core == nullptr ||
        replica.core->CurrentRole() != Role::kLeader) {
      continue;
    }
    this->Deliver(id, [this](Replica& target) {
      const TimePoint local = this->LocalTime(target);
      const Result<internal::ReadPoint> point = target.core->BeginRead(local);
      if (point) {
        target.reads.push_back({point.value(), this->committed.size() - 1});
      }
      // The wall clock jumps back and forth. The time in the log must not
      // decrease.
      const std::int64_t wall_ms =
          1000000 + static_cast<std::int64_t>(10000 * this->Uniform());
      (void)target.core->Propose("c" + std::to_string(++this->next_command),
                                 local, wall_ms);
    });
  }
  this->Schedule(this->now + kClientInterval, [this] { this->ClientLoop(); });
}

void Simulation::FaultLoop() {
  if (!this->faults_active) {
    return;
  }
  this->InjectFault();
  this->Schedule(
      this->now + this->RandomDuration(milliseconds(20), 2 * kFaultInterval),
      [this] { this->FaultLoop(); });
}

void Simulation::InjectFault() {
  std::vector<ReplicaId> running = this->Running();
  if (running.empty()) {
    return;
  }
  const auto pick = [&] {
    return running[static_cast<std::size_t>(
        this->Uniform() * static_cast<double>(running.size()))];
  };
  ReplicaId id = pick();
  // Faults of the leader are the most likely to violate safety.
  const ReplicaId lease_holder = this->LeaseHolder();
  if (lease_holder != 0 && this->Chance(0.4)) {
    id = lease_holder;
  }
  Replica& replica = this->replicas.at(id);
  const double kind = this->Uniform();
  const Duration length =
      this->RandomDuration(milliseconds(50), milliseconds(2000));
  if (kind < 0.3) {
    ++this->counts.link_faults;
    const bool both = this->Chance(0.5);
    const bool all = this->Chance(0.5);
    for (const auto& [other, unused] : this->replicas) {
      if (other == id || (!all && this->Chance(0.5))) {
        continue;
      }
      const bool outgoing = this->Chance(0.5);
      const auto set = [this, id, other = other, both, outgoing](bool blocked) {
        if (both || outgoing) {
          this->SetLinkBlocked(id, other, blocked);
        }
        if (both || !outgoing) {
          this->SetLinkBlocked(other, id, blocked);
        }
      };
      set(true);
      this->Schedule(this->now + length, [set] { set(false); });
    }
  } else if (kind < 0.55) {
    ++this->counts.freezes;
    replica.frozen_until = this->now + length;
    this->Schedule(replica.frozen_until, [this, id] {
      std::vector<std::function<void()>> delayed;
      delayed.swap(this->replicas.at(id).delayed);
      std::shuffle(delayed.begin(), delayed.end(), this->random);
      for (const auto& run : delayed) {
        run();
      }
    });
  } else if (kind < 0.75) {
    this->Crash(replica);
    this->Restart(id, length);
  } else if (kind < 0.82) {
    ++this->counts.leadership_transfers;
    this->Deliver(id, [this](Replica& target) {
      target.core->TransferLeadership(this->LocalTime(target));
    });
  } else if (this->replaces_disks && this->lost_replica == 0 &&
             lease_holder != 0 &&
             this->CanLoseDisk(*this->replicas.at(lease_holder).core)) {
    ++this->counts.replaced_disks;
    this->Crash(replica);
    replica.disk_lost = true;
    this->lost_replica = id;
    this->Start(this->AddReplica(this->next_id++, true));
  }
}

bool Simulation::CanLoseDisk(const Core& core) {
  // With fewer than three committed voters, losing a disk means losing the
  // quorum, from which the log cannot recover.
  return core.Replicas().VoterCount() >= 3 &&
         core.AppliedIndex() == core.LastIndex();
}

void Simulation::ReplicaChangeLoop() {
  if (!this->faults_active) {
    return;
  }
  const ReplicaId lease_holder = this->LeaseHolder();
  if (lease_holder != 0 && this->changes_replicas) {
    this->Deliver(lease_holder, [this](Replica& target) {
      this->ChangeReplicas(*target.core, this->LocalTime(target));
    });
  }
  this->Schedule(this->now + kReplicaChangeInterval,
                 [this] { this->ReplicaChangeLoop(); });
}

void Simulation::ChangeReplicas(Core& core, TimePoint local) {
  if (!core.LeaseValid(local)) {
    return;
  }
  const std::int64_t wall_ms = 0;
  const internal::ReplicaSet set = core.Replicas();
  Result<LogIndex> changed = LogIndex{0};
  // Replace a replica that lost its disk before other changes: first add its
  // replacement, then remove it.
  if (this->lost_replica != 0 && set.Find(this->lost_replica) == nullptr &&
      core.AppliedIndex() == core.LastIndex()) {
    this->lost_replica = 0;
  }
  for (const internal::Member& member : set.members) {
    if (!member.voter) {
      changed = core.PromoteReplica(member.id, local, wall_ms);
      this->counts.replica_changes += changed && changed.value() > 0 ? 1 : 0;
      return;
    }
  }
  const std::vector<ReplicaId> running = this->Running();
  for (const ReplicaId id : running) {
    if (id > set.largest_id) {
      changed =
          core.AddReplica({id, std::to_string(id), false}, local, wall_ms);
      this->counts.replica_changes += changed ? 1 : 0;
      return;
    }
  }
  if (this->lost_replica != 0 && set.Find(this->lost_replica) != nullptr) {
    changed = core.RemoveReplica(this->lost_replica, local, wall_ms);
    this->counts.replica_changes += changed ? 1 : 0;
    return;
  }
  if (this->Chance(0.2)) {
    this->wanted_voters = this->wanted_voters == 3 ? 5 : 3;
  }
  if (set.members.size() < this->wanted_voters) {
    this->Start(this->AddReplica(this->next_id++, true));
  } else if (set.members.size() > this->wanted_voters) {
    changed = core.RemoveReplica(this->PickSurplus(set), local, wall_ms);
    this->counts.replica_changes += changed ? 1 : 0;
  }
}

ReplicaId Simulation::PickSurplus(const internal::ReplicaSet& set) {
  const std::size_t index = static_cast<std::size_t>(
      this->Uniform() * static_cast<double>(set.members.size()));
  // Two initial replicas are a majority of the first replica set.
  if (this->Chance(0.5)) {
    for (const internal::Member& member : set.members) {
      if (this->initial.Find(member.id) != nullptr) {
        return member.id;
      }
    }
  }
  return set.members[index].id;
}

void Simulation::MembershipCheckLoop() {
  if (!this->faults_active) {
    return;
  }
  const ReplicaId lease_holder = this->LeaseHolder();
  if (lease_holder != 0) {
    for (const ReplicaId id : this->Running()) {
      if (id != lease_holder && this->Chance(0.5)) {
        this->CheckMembership(lease_holder, id);
      }
    }
  }
  this->Schedule(this->now + kMembershipCheckInterval,
                 [this] { this->MembershipCheckLoop(); });
}

void Simulation::CheckMembership(ReplicaId leader, ReplicaId id) {
  this->Deliver(leader, [this, id](Replica& target) {
    Core& core = *target.core;
    const TimePoint local = this->LocalTime(target);
    const Result<internal::ReadPoint> point = core.BeginRead(local);
    const internal::ReplicaSet& committed = core.CommittedReplicas();
    // IDs above the largest one are assigned, but not added yet.
    if (!point ||
        core.CheckRead(point.value(), local) != internal::ReadState::kReady ||
        committed.Find(id) != nullptr || id > committed.largest_id) {
      return;
    }
    const Duration delay =
        this->RandomDuration(milliseconds(1), milliseconds(20));
    this->Schedule(this->now + delay, [this, id] {
      Replica& told = this->replicas.at(id);
      if (told.core != nullptr && this->now >= told.frozen_until) {
        this->EraseReplica(told);
      }
    });
  });
}

void Simulation::EraseReplica(Replica& replica) {
  this->Crash(replica);
  const Duration delay =
      this->RandomDuration(milliseconds(20), milliseconds(1000));
  // Killed before its directory says that it has to join.
  if (this->Chance(0.2)) {
    ++this->counts.interrupted_erasures;
    this->Restart(replica.id, delay);
    return;
  }
  ++this->counts.erasures;
  const bool initial_replica = this->initial.Find(replica.id) != nullptr;
  this->counts.erased_initial_replicas += initial_replica ? 1 : 0;
  replica.disk = {};
  replica.empty_disk = true;
  if (initial_replica && !this->options.erased_replica_joins) {
    this->Restart(replica.id, delay);
    return;
  }
  // Kills between the further steps only delay this: the next start completes
  // them.
  replica.erased = true;
  this->Schedule(this->now + delay, [this] {
    this->Start(this->AddReplica(this->next_id++, true));
  });
}

void Simulation::EndFaults() {
  this->faults_active = false;
  this->loss = 0;
  this->duplication = 0;
  this->slow_messages = 0;
  this->slow_syncs = 0;
  this->blocked_links.clear();
  for (auto& [id, replica] : this->replicas) {
    if (replica.core == nullptr && !replica.disk_lost && !replica.erased) {
      this->Start(replica);
    }
  }
}

std::vector<ReplicaId> Simulation::Running() const {
  std::vector<ReplicaId> running;
  for (const auto& [id, replica] : this->replicas) {
    if (replica.core != nullptr) {
      running.push_back(id);
    }
  }
  return running;
}

void Simulation::SetLinkBlocked(ReplicaId from, ReplicaId to, bool blocked) {
  if (blocked) {
    this->blocked_links.insert({from, to});
  } else {
    this->blocked_links.erase({from, to});
  }
}

ReplicaId Simulation::LeaseHolder() const {
  for (const auto& [id, replica] : this->replicas) {
    if (replica.core != nullptr &&
        replica.core->LeaseValid(this->LocalTime(replica))) {
      return id;
    }
  }
  return 0;
}

Term Simulation::LargestTerm() const {
  Term largest = 0;
  for (const auto& [id, replica] : this->replicas) {
    if (replica.core != nullptr) {
      largest = std::max(largest, replica.core->CurrentTerm());
    }
  }
  return largest;
}

void Simulation::ProcessOutput(Replica& replica) {
  for (;;) {
    if (replica.core->SnapshotDue()) {
      ++this->counts.snapshots;
      // The padding makes the snapshot larger than one chunk.
      replica.core->Compact(
          std::to_string(replica.history_hash) + std::string(400, ' '),
          this->LocalTime(replica));
    }
    internal::CoreOutput output = replica.core->TakeOutput();
    if (output.writes.empty() && output.messages.empty() &&
        output.restore == nullptr && output.committed.empty()) {
      break;
    }
    this->SubmitWrites(replica, std::move(output.writes));
    for (const Message& message : output.messages) {
      this->SendMessage(message);
    }
    if (output.restore != nullptr) {
      this->Restore(replica, *output.restore);
    }
    for (const EntryPtr& entry : output.committed) {
      this->Apply(replica, *entry);
      // The state between two entries of a batch is visible to readers.
      this->CheckReads(replica);
      this->CheckConfirmation(replica);
    }
  }
  this->CheckLeaders(replica);
  this->CheckReads(replica);
  this->CheckConfirmation(replica);
}

void Simulation::SubmitWrites(Replica& replica, std::vector<Write> writes) {
  for (Write& write : writes) {
    const std::uint64_t write_id = write.id;
    replica.unsynced.push_back(std::move(write));
    Duration sync = this->RandomDuration(microseconds(500), milliseconds(8));
    if (this->Chance(this->slow_syncs)) {
      sync = this->RandomDuration(milliseconds(50), milliseconds(800));
    }
    replica.last_sync = std::max(replica.last_sync, this->now + sync);
    const ReplicaId id = replica.id;
    const std::uint64_t incarnation = replica.incarnation;
    this->Schedule(replica.last_sync, [this, id, incarnation, write_id] {
      Replica& target = this->replicas.at(id);
      if (target.core == nullptr || target.incarnation != incarnation) {
        return;
      }
      while (!target.unsynced.empty() &&
             target.unsynced.front().id <= write_id) {
        Persist(target, target.unsynced.front());
        target.unsynced.erase(target.unsynced.begin());
      }
      this->Deliver(id, [this, write_id](Replica& completed) {
        completed.core->WriteDone(write_id, this->LocalTime(completed));
      });
    });
  }
}

void Simulation::SendMessage(const Message& message) {
  if (this->replicas.count(message.to) == 0) {
    return;
  }
  const int copies = this->Chance(this->duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (this->Chance(this->loss)) {
      continue;
    }
    Duration delay = this->RandomDuration(microseconds(300), milliseconds(4));
    if (this->Chance(this->slow_messages)) {
      delay = this->RandomDuration(milliseconds(10), milliseconds(1500));
    }
    this->Schedule(this->now + delay, [this, message] {
      if (this->blocked_links.count({message.from, message.to}) == 0) {
        this->Deliver(message.to, [this, message](Replica& target) {
          target.core->Receive(message, this->LocalTime(target));
        });
      }
    });
  }
}

void Simulation::Apply(Replica& replica, const Entry& entry) {
  if (entry.index != replica.applied + 1) {
    this->ThrowViolation(fmt::format("replica {} applied {} after {}",
                                     replica.id, entry.index, replica.applied));
  }
  if (entry.leader_time_ms < replica.last_time_ms) {
    this->ThrowViolation(
        fmt::format("the leader time decreased at {}", entry.index));
  }
  replica.applied = entry.index;
  replica.core->SetApplied(entry.index);
  replica.last_time_ms = entry.leader_time_ms;
  replica.history_hash = AppendToHash(replica.history_hash, entry.payload);
  if (entry.index == this->committed.size()) {
    this->committed.push_back(
        {entry.term, replica.history_hash, entry.payload});
    this->commit_times.emplace_back(this->now, entry.index);
    ++this->counts.committed;
    return;
  }
  if (entry.index > this->committed.size()) {
    this->ThrowViolation("an entry was committed before its predecessor");
  }
  const Committed& first = this->committed[entry.index];
  if (first.term != entry.term || first.history_hash != replica.history_hash) {
    this->ThrowViolation(fmt::format(
        "replica {} committed \"{}\" of term {} at {}, which was \"{}\" of "
        "term {}",
        replica.id, entry.payload, entry.term, entry.index, first.payload,
        first.term));
  }
}

void Simulation::Restore(Replica& replica, const SnapshotData& snapshot) {
  if (replica.applied > 0) {
    ++this->counts.installed_snapshots;
  }
  if (snapshot.index < replica.applied ||
      snapshot.index >= this->committed.size()) {
    this->ThrowViolation(fmt::format("replica {} restored {} after {}",
                                     replica.id, snapshot.index,
                                     replica.applied));
  }
  replica.applied = snapshot.index;
  replica.core->SetApplied(snapshot.index);
  replica.history_hash = std::stoull(snapshot.state);
  replica.last_time_ms = snapshot.leader_time_ms;
  if (replica.history_hash != this->committed[snapshot.index].history_hash) {
    this->ThrowViolation(
        fmt::format("the snapshot at {} has another history", snapshot.index));
  }
}

void Simulation::CheckLeaders(const Replica& replica) {
  if (replica.core->CurrentRole() != Role::kLeader) {
    return;
  }
  const auto [found, inserted] =
      this->leaders.emplace(replica.core->CurrentTerm(), replica.id);
  this->counts.leaders += inserted ? 1 : 0;
  if (found->second != replica.id) {
    this->ThrowViolation(fmt::format("replicas {} and {} lead in term {}",
                                     found->second, replica.id, found->first));
  }
  ReplicaId lease_holder = 0;
  for (const auto& [id, other] : this->replicas) {
    if (other.core == nullptr ||
        !other.core->LeaseValid(this->LocalTime(other))) {
      continue;
    }
    if (lease_holder != 0) {
      this->ThrowViolation(
          fmt::format("the leases of {} and {} overlap", lease_holder, id));
    }
    lease_holder = id;
  }
}

void Simulation::CheckReads(Replica& replica) {
  std::vector<PendingRead> waiting;
  for (const PendingRead& read : replica.reads) {
    switch (replica.core->CheckRead(read.point, this->LocalTime(replica))) {
      case internal::ReadState::kWaiting:
        waiting.push_back(read);
        break;
      case internal::ReadState::kFailed:
        break;
      case internal::ReadState::kReady:
        ++this->counts.reads;
        if (replica.applied < read.min_index) {
          this->ThrowViolation(fmt::format(
              "replica {} served a read at {}, but {} was committed before",
              replica.id, replica.applied, read.min_index));
        }
        break;
    }
  }
  replica.reads.swap(waiting);
}

void Simulation::CheckConfirmation(const Replica& replica) {
  const TimePoint local = this->LocalTime(replica);
  const TimePoint confirmed = replica.core->ConfirmedAt(local);
  if (confirmed == TimePoint::min()) {
    return;
  }
  const Duration age(static_cast<Duration::rep>(
      kAgeTolerance * static_cast<double>((local - confirmed).count())));
  // Everything that was committed at the confirmed time must be applied here.
  const auto after = std::upper_bound(
      this->commit_times.begin(), this->commit_times.end(), this->now - age,
      [](Duration time, const auto& item) { return time < item.first; });
  if (after != this->commit_times.begin() &&
      std::prev(after)->second > replica.applied) {
    this->ThrowViolation(fmt::format(
        "replica {} at {} reports an age of {} ms, but {} was committed then",
        replica.id, replica.applied, ToMilliseconds(local - confirmed),
        std::prev(after)->second));
  }
}

void Simulation::CheckConverged() {
  const ReplicaId lease_holder = this->LeaseHolder();
  if (lease_holder == 0) {
    this->ThrowViolation(
        "no leader after all faults had ended\n" + this->Describe(), false);
  }
  const std::uint64_t before = this->committed.size();
  this->RunFor(seconds(1));
  if (this->committed.size() < before + 10) {
    this->ThrowViolation(
        "no progress after all faults had ended\n" + this->Describe(), false);
  }
  const Core& leader = *this->replicas.at(lease_holder).core;
  for (const internal::Member& member : leader.Replicas().members) {
    const Replica& replica = this->replicas.at(member.id);
    if (replica.core != nullptr && replica.applied < before) {
      this->ThrowViolation(fmt::format("replica {} stays behind at {} of {}",
                                       member.id, replica.applied, before),
                           false);
    }
  }
}

std::string Simulation::Describe() const {
  std::string text;
  for (const auto& [id, replica] : this->replicas) {
    if (replica.core == nullptr) {
      continue;
    }
    const Core& core = *replica.core;
    text +=
        fmt::format("  {}: role {}, term {}, last {}, commit {}, set", id,
                    static_cast<int>(core.CurrentRole()), core.CurrentTerm(),
                    core.LastIndex(), core.CommitIndex());
    for (const internal::Member& member : core.Replicas().members) {
      text += fmt::format(" {}{}", member.id, member.voter ? "" : "(learner)");
    }
    text += "\n";
  }
  return text;
}

void Simulation::ThrowViolation(const std::string& message, bool safety) const {
  throw Violation(fmt::format("seed {}, {} ms: {}", this->options.seed,
                              ToMilliseconds(this->now), message),
                  safety);
}

}  // namespace sycamorebend
