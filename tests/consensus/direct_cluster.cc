#include "direct_cluster.h"

#include <utility>

namespace sycamorebend {

using internal::Core;
using internal::Message;
using internal::MessageType;
using internal::Role;

DirectCluster::DirectCluster(const internal::CoreOptions& options,
                             std::size_t state_bytes)
    : options(options), state_bytes(state_bytes) {
  internal::ReplicaSet initial;
  for (ReplicaId id = 1; id <= 3; ++id) {
    initial.members.push_back({id, std::to_string(id), true});
  }
  initial.largest_id = 3;
  for (ReplicaId id = 1; id <= 3; ++id) {
    this->Add(id, &initial);
  }
  this->Steps(200);
}

void DirectCluster::Add(ReplicaId id, const internal::ReplicaSet* initial) {
  internal::CoreOptions own = this->options;
  own.id = id;
  own.random_seed = id;
  this->replicas[id].core =
      std::make_unique<Core>(own, internal::StoredState(), initial, this->now);
  this->Process(id);
}

Core& DirectCluster::Leader() {
  for (auto& [id, replica] : this->replicas) {
    if (replica.core->LeaseValid(this->now)) {
      return *replica.core;
    }
  }
  return *this->replicas.at(1).core;
}

Status DirectCluster::Propose(std::size_t bytes) {
  Core& leader = this->Leader();
  const Result<LogIndex> index =
      leader.Propose(std::string(bytes, 'x'), this->now, 0);
  this->Process(leader.Id());
  return index ? Status(Success()) : Status(index.error());
}

void DirectCluster::Join(ReplicaId id) {
  this->Add(id, nullptr);
  Core& leader = this->Leader();
  (void)leader.AddReplica({id, std::to_string(id), false}, this->now, 0);
  this->Process(leader.Id());
}

void DirectCluster::SetConnected(ReplicaId id, bool connected) {
  if (connected) {
    this->disconnected.erase(id);
  } else {
    this->disconnected.insert(id);
  }
}

void DirectCluster::SetDiskHeld(ReplicaId id, bool held) {
  if (held) {
    this->held_disks.insert(id);
    return;
  }
  this->held_disks.erase(id);
  Replica& replica = this->replicas.at(id);
  replica.core->WriteDone(replica.last_write, this->now);
  this->Process(id);
}

void DirectCluster::Steps(int count) {
  for (int i = 0; i < count; ++i) {
    this->now += kStep;
    for (auto& [id, replica] : this->replicas) {
      replica.core->Tick(this->now);
      this->Process(id);
    }
    this->Deliver();
  }
}

bool DirectCluster::IsLarge(const Message& message) {
  return !message.entries.empty() || message.type == MessageType::kSnapshot;
}

void DirectCluster::Deliver() {
  std::set<ReplicaId> served;
  std::deque<Message> delayed;
  while (!this->messages.empty()) {
    const Message message = std::move(this->messages.front());
    this->messages.pop_front();
    if (this->disconnected.count(message.to) > 0 ||
        this->disconnected.count(message.from) > 0) {
      continue;
    }
    if (IsLarge(message) && this->slow.count(message.to) > 0 &&
        !served.insert(message.to).second) {
      delayed.push_back(message);
      continue;
    }
    Sent& counts = this->sent[message.to];
    counts.entries += message.entries.size();
    for (const internal::EntryPtr& entry : message.entries) {
      counts.entry_bytes += entry->payload.size();
    }
    if (message.type == MessageType::kSnapshot) {
      counts.snapshots += message.offset == 0 ? 1 : 0;
      counts.snapshot_bytes += message.data.size();
    }
    this->replicas.at(message.to).core->Receive(message, this->now);
    this->Process(message.to);
  }
  this->messages.swap(delayed);
}

void DirectCluster::Process(ReplicaId id) {
  Replica& replica = this->replicas.at(id);
  Core& core = *replica.core;
  for (;;) {
    if (core.SnapshotDue()) {
      core.Compact(std::string(this->state_bytes, 's'), this->now);
    }
    internal::CoreOutput output = core.TakeOutput();
    if (output.writes.empty() && output.messages.empty() &&
        output.restore == nullptr && output.committed.empty()) {
      return;
    }
    for (Message& message : output.messages) {
      this->messages.push_back(std::move(message));
    }
    if (output.restore != nullptr) {
      core.SetApplied(output.restore->index);
    }
    for (const internal::EntryPtr& entry : output.committed) {
      core.SetApplied(entry->index);
    }
    if (!output.writes.empty()) {
      replica.last_write = output.writes.back().id;
      if (this->held_disks.count(id) == 0) {
        core.WriteDone(replica.last_write, this->now);
      }
    }
  }
}

}  // namespace sycamorebend
