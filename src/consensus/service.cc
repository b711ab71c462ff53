#include "consensus/service.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace sycamorebend {

namespace internal {

namespace {

// Ticks per heartbeat interval. Bounds the delay until an expired timeout or
// lease is detected.
constexpr int kTicksPerHeartbeat = 5;
constexpr Duration kStopPollInterval = milliseconds(5);
// Committed entries are applied for this long before messages and timers are
// handled again: a leader that applies a long log sends its heartbeats.
constexpr Duration kMaxApplyTime = milliseconds(20);

// The part of the service that runs on the control thread. Queued tasks hold a
// shared_ptr to it, so that it outlives the service until they have run.
class Replica : public std::enable_shared_from_this<Replica> {
 public:
  Replica(const ReplicatedLogOptions& options, ServiceDependencies dependencies)
      : options(options), dependencies(std::move(dependencies)) {}

  Status Start();
  void Stop();

  void Receive(ReceivedMessages received);
  void Propose(std::string command, ReplicatedLog::ProposeCallback callback);
  void Read(ReplicatedLog::StatusCallback callback);
  using Change =
      std::function<Result<LogIndex>(Core&, TimePoint, std::int64_t)>;
  void ChangeReplicas(Change change, ReplicatedLog::StatusCallback callback);

  Duration ConfirmationAge() const {
    const TimePoint now = this->dependencies.clock.Now();
    std::lock_guard lock(this->status_mutex);
    return this->confirmed_at == TimePoint::min() ? Duration::max()
                                                  : now - this->confirmed_at;
  }

  ReplicatedLog::LogStatus GetStatus() const {
    std::lock_guard lock(this->status_mutex);
    return this->latest_status;
  }

  // Runs `step` on the control thread.
  void Post(std::function<void(Replica&)> step) {
    this->dependencies.control_thread.Post([self = this->shared_from_this(),
                                            step = std::move(step),
                                            posted = this->Now()] {
      self->RecordWait(posted);
      step(*self);
    });
  }

  bool Stopped() const { return this->stopped; }

 private:
  struct PendingProposal {
    Term term;
    TimePoint deadline;
    ReplicatedLog::ProposeCallback callback;
  };
  struct PendingRead {
    ReadPoint point;
    TimePoint deadline;
    ReplicatedLog::StatusCallback callback;
  };

  TimePoint Now() const { return this->dependencies.clock.Now(); }
  void RecordWait(TimePoint posted) {
    const Duration wait = this->Now() - posted;
    std::lock_guard lock(this->status_mutex);
    Duration& longest = this->latest_status.longest_wait;
    longest = std::max(longest, wait);
  }
  void Tick();
  void ProcessOutput();
  void ApplyCommitted();
  void Apply(const Entry& entry);
  void MaybeSnapshot();
  void CompleteReads();
  void FailLostProposals();
  void FailAll(ResultCode code);
  void LogLeadershipChange();
  void LogSnapshotSent(const Message& message) const;
  void PublishStatus(bool include_replicas);
  std::string AddressOf(ReplicaId id) const;
  Error NotLeader() const;

  const ReplicatedLogOptions options;
  ServiceDependencies dependencies;
  std::unique_ptr<Storage> storage;
  std::unique_ptr<Core> core;
  TimerId timer = 0;
  std::atomic<bool> stopped = false;

  // Committed entries that are still to be applied.
  std::deque<EntryPtr> committed;
  // The control thread has a task that applies the rest of `committed`.
  bool apply_posted = false;
  std::map<LogIndex, PendingProposal> proposals;
  std::vector<PendingRead> reads;
  // Last known address of each sender. Needed for senders that are not in this
  // replica's current replica set.
  std::map<ReplicaId, std::string> sender_addresses;
  bool was_leader = false;
  // Last entry of the log at the start of this replica.
  LogIndex start_index = 0;

  mutable std::mutex status_mutex;
  ReplicatedLog::LogStatus latest_status;
  TimePoint confirmed_at = TimePoint::min();
};

Status Replica::Start() {
  const std::weak_ptr<Replica> weak = this->weak_from_this();
  this->storage =
      this->dependencies.make_storage([weak](std::uint64_t write_id) {
        if (const auto self = weak.lock()) {
          self->Post([write_id](Replica& replica) {
            if (!replica.stopped) {
              replica.core->WriteDone(write_id, replica.Now());
              replica.ProcessOutput();
            }
          });
        }
      });
  BOOST_OUTCOME_TRY(stored, this->storage->Load());
  CoreOptions core_options;
  core_options.id = this->options.id;
  core_options.timings = this->options.timings;
  core_options.max_command_bytes = this->options.max_command_bytes;
  core_options.snapshot_entries = this->options.snapshot_entries;
  core_options.snapshot_bytes = this->options.snapshot_bytes;
  core_options.trailing_entries = this->options.trailing_entries;
  core_options.catch_up_bytes = this->options.catch_up_bytes;
  core_options.max_pending_bytes = this->options.max_pending_bytes;
  core_options.random_seed = StableHash64(RandomId());
  ReplicaSet initial;
  for (const ReplicaAddress& replica : this->options.initial_replicas) {
    initial.members.push_back({replica.id, replica.address, true});
    initial.largest_id = std::max(initial.largest_id, replica.id);
  }
  const bool empty = stored.snapshot == nullptr && stored.entries.empty() &&
                     stored.hard_state.term == 0;
  this->dependencies.control_thread.PostAndWait([&] {
    this->core = std::make_unique<Core>(
        core_options, stored, empty && !this->options.join ? &initial : nullptr,
        this->Now());
    this->start_index = this->core->LastIndex();
    this->ProcessOutput();
    this->PublishStatus(true);
  });
  this->timer = this->dependencies.control_thread.SubscribePeriodic(
      this->options.timings.heartbeat / kTicksPerHeartbeat, [weak] {
        if (const auto self = weak.lock()) {
          self->Tick();
        }
      });
  return Success();
}

void Replica::Stop() {
  if (this->stopped) {
    return;
  }
  std::atomic<bool> is_leading = false;
  const auto poll_leadership = [this, &is_leading](bool start_transfer) {
    this->dependencies.control_thread.PostAndWait(
        [this, &is_leading, start_transfer] {
          if (start_transfer && this->core != nullptr) {
            this->core->TransferLeadership(this->Now());
            this->ProcessOutput();
          }
          is_leading = this->core != nullptr &&
                       this->core->CurrentRole() == Role::kLeader &&
                       this->core->Followers().size() > 0;
        });
  };
  const auto deadline = std::chrono::steady_clock::now() +
                        this->options.timings.election_timeout_min;
  poll_leadership(true);
  while (is_leading && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kStopPollInterval);
    is_leading = false;
    poll_leadership(false);
  }
  this->dependencies.control_thread.PostAndWait([this] {
    this->stopped = true;
    this->FailAll(ResultCode::kCancelled);
  });
  // Set here too: a control thread that has already stopped drops the task.
  this->stopped = true;
  this->dependencies.control_thread.Cancel(this->timer);
  if (this->storage != nullptr) {
    this->storage->Stop();
  }
  this->dependencies.transport->Stop();
}

void Replica::Tick() {
  if (this->stopped) {
    return;
  }
  const TimePoint now = this->Now();
  this->core->Tick(now);
  if (this->storage->Full()) {
    this->core->TransferFromFullDisk(now);
  }
  // Expire proposals that were not committed in time, for instance because the
  // disk is full.
  for (auto it = this->proposals.begin(); it != this->proposals.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    const auto callback = std::move(it->second.callback);
    it = this->proposals.erase(it);
    callback(MakeError(ResultCode::kTransportTimeout,
                       "the entry was not committed in time"));
  }
  this->ProcessOutput();
  this->PublishStatus(true);
}

void Replica::Receive(ReceivedMessages received) {
  if (this->stopped) {
    return;
  }
  for (const Message& message : received.messages) {
    this->sender_addresses[message.from] = received.sender_address;
    this->core->Receive(message, this->Now());
    this->ProcessOutput();
  }
}

void Replica::Propose(std::string command,
                      ReplicatedLog::ProposeCallback callback) {
  if (this->stopped) {
    callback(MakeError(ResultCode::kCancelled));
    return;
  }
  if (this->storage->Full()) {
    callback(MakeError(ResultCode::kStorageFull));
    return;
  }
  const TimePoint now = this->Now();
  const Result<LogIndex> index = this->core->Propose(
      std::move(command), now, this->dependencies.clock.WallTimeMs());
  if (!index) {
    callback(index.error().code == ResultCode::kNotLeader ? this->NotLeader()
                                                          : index.error());
    return;
  }
  this->proposals[index.value()] = {this->core->CurrentTerm(),
                                    now + this->options.timings.request_timeout,
                                    std::move(callback)};
  this->ProcessOutput();
}

void Replica::Read(ReplicatedLog::StatusCallback callback) {
  if (this->stopped) {
    callback(MakeError(ResultCode::kCancelled));
    return;
  }
  const TimePoint now = this->Now();
  const Result<ReadPoint> point = this->core->BeginRead(now);
  if (!point) {
    callback(this->NotLeader());
    return;
  }
  this->reads.push_back({point.value(),
                         now + this->options.timings.request_timeout,
                         std::move(callback)});
  this->CompleteReads();
}

void Replica::ChangeReplicas(Change change,
                             ReplicatedLog::StatusCallback callback) {
  if (this->stopped) {
    callback(MakeError(ResultCode::kCancelled));
    return;
  }
  const TimePoint now = this->Now();
  const Result<LogIndex> index =
      change(*this->core, now, this->dependencies.clock.WallTimeMs());
  if (!index) {
    callback(index.error().code == ResultCode::kNotLeader ? this->NotLeader()
                                                          : index.error());
    return;
  }
  if (index.value() == 0) {
    callback(Success());
    return;
  }
  this->proposals[index.value()] = {
      this->core->CurrentTerm(), now + this->options.timings.request_timeout,
      [callback = std::move(callback)](const Result<std::string>& result) {
        callback(result ? Status(Success()) : Status(result.error()));
      }};
  this->ProcessOutput();
}

void Replica::ProcessOutput() {
  for (;;) {
    this->MaybeSnapshot();
    CoreOutput output = this->core->TakeOutput();
    if (output.writes.empty() && output.messages.empty() &&
        output.restore == nullptr && output.committed.empty()) {
      break;
    }
    for (Write& write : output.writes) {
      this->storage->Submit(std::move(write));
    }
    for (const Message& message : output.messages) {
      if (message.type == MessageType::kSnapshot && message.offset == 0) {
        this->LogSnapshotSent(message);
      }
      const std::string address = this->AddressOf(message.to);
      if (!address.empty()) {
        this->dependencies.transport->Send(address, message);
      }
    }
    if (output.restore != nullptr) {
      LogEvent(Severity::kInfo, Event::kSnapshotInstalled,
               {{"index", output.restore->index}});
      const Status restored =
          this->dependencies.state_machine.Restore(output.restore->state);
      if (!restored) {
        // Continuing would let this state machine diverge from the log.
        LogEvent(Severity::kError, Event::kLogCorrupt,
                 {{"message", restored.error().message}});
        std::_Exit(EXIT_FAILURE);
      }
      this->core->SetApplied(output.restore->index);
      this->committed.clear();
    }
    this->committed.insert(this->committed.end(), output.committed.begin(),
                           output.committed.end());
    if (!this->apply_posted) {
      this->ApplyCommitted();
    }
  }
  this->LogLeadershipChange();
  this->FailLostProposals();
  this->CompleteReads();
  this->PublishStatus(false);
}

void Replica::ApplyCommitted() {
  const TimePoint end = this->Now() + kMaxApplyTime;
  while (!this->committed.empty() && this->Now() < end) {
    const EntryPtr entry = std::move(this->committed.front());
    this->committed.pop_front();
    this->Apply(*entry);
  }
  this->apply_posted = !this->committed.empty();
  if (this->apply_posted) {
    this->Post([](Replica& replica) {
      replica.apply_posted = false;
      if (!replica.stopped) {
        replica.ApplyCommitted();
        replica.ProcessOutput();
      }
    });
  }
}

void Replica::Apply(const Entry& entry) {
  std::string command_result;
  if (entry.kind == EntryKind::kCommand) {
    command_result = this->dependencies.state_machine.Apply(
        entry.index, entry.leader_time_ms, entry.payload);
  }
  this->core->SetApplied(entry.index);
  if (entry.kind == EntryKind::kReplicaSet) {
    // Update the status before the callback, so that the caller of the change
    // sees its effect.
    this->PublishStatus(true);
  }
  const auto found = this->proposals.find(entry.index);
  if (found == this->proposals.end()) {
    return;
  }
  const bool same_entry = found->second.term == entry.term;
  const auto callback = std::move(found->second.callback);
  this->proposals.erase(found);
  if (same_entry) {
    callback(std::move(command_result));
  } else {
    callback(this->NotLeader());
  }
}

void Replica::MaybeSnapshot() {
  if (this->core->SnapshotDue()) {
    this->core->Compact(this->dependencies.state_machine.Snapshot(),
                        this->Now());
  }
}

void Replica::CompleteReads() {
  std::vector<PendingRead> waiting;
  std::vector<PendingRead> taken;
  taken.swap(this->reads);
  for (PendingRead& read : taken) {
    const TimePoint now = this->Now();
    const ReadState state = this->core->CheckRead(read.point, now);
    if (state == ReadState::kReady) {
      read.callback(Success());
    } else if (state == ReadState::kFailed) {
      read.callback(this->NotLeader());
    } else if (now >= read.deadline) {
      read.callback(MakeError(ResultCode::kNoQuorum));
    } else {
      waiting.push_back(std::move(read));
    }
  }
  // A callback may have started another read.
  std::move(this->reads.begin(), this->reads.end(),
            std::back_inserter(waiting));
  this->reads.swap(waiting);
}

void Replica::FailLostProposals() {
  if (this->proposals.empty() || this->core->CurrentRole() == Role::kLeader) {
    return;
  }
  std::map<LogIndex, PendingProposal> lost;
  lost.swap(this->proposals);
  for (auto& [index, proposal] : lost) {
    proposal.callback(MakeError(ResultCode::kNoQuorum,
                                "leadership was lost before the entry was "
                                "committed"));
  }
}

void Replica::FailAll(ResultCode code) {
  std::map<LogIndex, PendingProposal> open_proposals;
  open_proposals.swap(this->proposals);
  for (auto& [index, proposal] : open_proposals) {
    proposal.callback(MakeError(code));
  }
  std::vector<PendingRead> open_reads;
  open_reads.swap(this->reads);
  for (PendingRead& read : open_reads) {
    read.callback(MakeError(code));
  }
}

void Replica::LogLeadershipChange() {
  const bool is_leading = this->core->CurrentRole() == Role::kLeader;
  if (is_leading != this->was_leader) {
    this->was_leader = is_leading;
    LogEvent(
        Severity::kInfo,
        is_leading ? Event::kLeaderElected : Event::kLeadershipLost,
        {{"replica", this->options.id}, {"term", this->core->CurrentTerm()}});
    this->PublishStatus(true);
  }
}

void Replica::LogSnapshotSent(const Message& message) const {
  const auto follower = this->core->Followers().find(message.to);
  const LogIndex match =
      follower == this->core->Followers().end() ? 0 : follower->second.match;
  LogEvent(Severity::kInfo, Event::kSnapshotSent,
           {{"replica", message.to},
            {"index", message.index},
            {"bytes", message.total},
            {"lag_bytes", this->core->CommittedBytesAfter(match)}});
}

std::string Replica::AddressOf(ReplicaId id) const {
  const Member* member = this->core->Replicas().Find(id);
  if (member != nullptr) {
    return member->address;
  }
  const auto found = this->sender_addresses.find(id);
  return found == this->sender_addresses.end() ? std::string() : found->second;
}

Error Replica::NotLeader() const {
  Error error;
  error.code = ResultCode::kNotLeader;
  const ReplicaId leader = this->core->Leader();
  if (leader != 0 && leader != this->options.id) {
    error.message = this->AddressOf(leader);
  }
  return error;
}

void Replica::PublishStatus(bool include_replicas) {
  const TimePoint now = this->Now();
  std::lock_guard lock(this->status_mutex);
  ReplicatedLog::LogStatus& status = this->latest_status;
  status.id = this->options.id;
  status.term = this->core->CurrentTerm();
  status.is_leader = this->core->CurrentRole() == Role::kLeader;
  const ReplicaId leader = this->core->Leader();
  status.leader.reset();
  if (leader != 0) {
    status.leader = leader;
  }
  status.commit_index = this->core->CommitIndex();
  status.applied_index = this->core->AppliedIndex();
  status.last_index = this->core->LastIndex();
  status.snapshot_index = this->core->SnapshotIndex();
  status.log_bytes = this->core->LogBytes();
  const bool confirmed_before = this->confirmed_at != TimePoint::min();
  // What was confirmed of an earlier state holds for each later one.
  this->confirmed_at =
      std::max(this->confirmed_at, this->core->ConfirmedAt(now));
  if (!confirmed_before && this->confirmed_at != TimePoint::min()) {
    LogEvent(Severity::kInfo, Event::kStateConfirmed,
             {{"replica", status.id},
              {"term", status.term},
              {"applied_index", status.applied_index},
              {"commit_index", status.commit_index},
              {"start_index", this->start_index}});
  }
  if (!include_replicas) {
    return;
  }
  status.leader_address = leader == 0 ? "" : this->AddressOf(leader);
  status.largest_id = this->core->Replicas().largest_id;
  status.replicas.clear();
  for (const Member& member : this->core->Replicas().members) {
    ReplicatedLog::ReplicaStatus replica;
    replica.id = member.id;
    replica.address = member.address;
    replica.voter = member.voter;
    const auto found = this->core->Followers().find(member.id);
    if (member.id == this->options.id) {
      replica.reachable = true;
      replica.match_index = status.last_index;
    } else {
      replica.reachable =
          this->dependencies.transport->Reachable(member.address);
      if (found != this->core->Followers().end()) {
        replica.match_index = found->second.match;
        replica.caught_up = this->core->CaughtUp(found->second);
        replica.lag_bytes =
            this->core->CommittedBytesAfter(found->second.match);
      }
    }
    status.replicas.push_back(std::move(replica));
  }
  status.committed_members.clear();
  for (const Member& member : this->core->CommittedReplicas().members) {
    status.committed_members.push_back(member.id);
  }
}

class LogService : public ReplicatedLogService {
 public:
  explicit LogService(std::shared_ptr<Replica> replica)
      : replica(std::move(replica)) {}
  ~LogService() override { this->replica->Stop(); }

  void Propose(std::string command, ProposeCallback callback) override {
    this->replica->Post(
        [command = std::move(command),
         callback = std::move(callback)](Replica& replica) mutable {
          replica.Propose(std::move(command), std::move(callback));
        });
  }

  void ReadBarrier(StatusCallback callback) override {
    this->replica->Post(
        [callback = std::move(callback)](Replica& replica) mutable {
          replica.Read(std::move(callback));
        });
  }

  Duration ConfirmationAge() const override {
    return this->replica->ConfirmationAge();
  }

  void AddReplica(ReplicaId id,
                  std::string address,
                  StatusCallback callback) override {
    this->Change(
        [id, address = std::move(address)](Core& core, TimePoint now,
                                           std::int64_t wall_ms) {
          return core.AddReplica({id, address, false}, now, wall_ms);
        },
        Event::kReplicaAdded, id, std::move(callback));
  }

  void PromoteReplica(ReplicaId id, StatusCallback callback) override {
    this->Change(
        [id](Core& core, TimePoint now, std::int64_t wall_ms) {
          return core.PromoteReplica(id, now, wall_ms);
        },
        Event::kReplicaPromoted, id, std::move(callback));
  }

  void RemoveReplica(ReplicaId id, StatusCallback callback) override {
    this->Change(
        [id](Core& core, TimePoint now, std::int64_t wall_ms) {
          return core.RemoveReplica(id, now, wall_ms);
        },
        Event::kReplicaRemoved, id, std::move(callback));
  }

  LogStatus GetStatus() const override { return this->replica->GetStatus(); }

  Result<Json::Value> HandleMessage(const Json::Value& params) override {
    BOOST_OUTCOME_TRY(received, DecodeTransportParams(params));
    this->replica->Post(
        [received = std::move(received)](Replica& replica) mutable {
          replica.Receive(std::move(received));
        });
    return Json::Value(Json::objectValue);
  }

  void Stop() override { this->replica->Stop(); }

 private:
  void Change(Replica::Change change,
              Event event,
              ReplicaId id,
              StatusCallback callback) {
    auto report = [event, id, callback = std::move(callback)](Status status) {
      if (status) {
        LogEvent(Severity::kInfo, event, {{"replica", id}});
      }
      callback(std::move(status));
    };
    this->replica->Post([change = std::move(change),
                         report = std::move(report)](Replica& replica) mutable {
      replica.ChangeReplicas(std::move(change), std::move(report));
    });
  }

  const std::shared_ptr<Replica> replica;
};

Status CheckOptions(const ReplicatedLogOptions& options) {
  const auto invalid = [](std::string message) {
    return MakeError(ResultCode::kSettingsInvalidValue, std::move(message));
  };
  const ConsensusTimings& timings = options.timings;
  if (options.id == 0) {
    return invalid("the replica ID must not be 0");
  }
  if (timings.heartbeat <= Duration::zero() ||
      timings.lease <= timings.heartbeat ||
      timings.election_timeout_min <= timings.lease ||
      timings.election_timeout_max < timings.election_timeout_min) {
    return invalid(
        "timings must satisfy 0 < heartbeat < lease < election_timeout_min <= "
        "election_timeout_max");
  }
  const bool listed = std::any_of(
      options.initial_replicas.begin(), options.initial_replicas.end(),
      [&](const ReplicaAddress& replica) { return replica.id == options.id; });
  if (!options.join && !listed) {
    return invalid(fmt::format("replica {} is not in the initial replica set",
                               options.id));
  }
  return Success();
}

}  // namespace

Result<std::unique_ptr<ReplicatedLogService>> StartService(
    const ReplicatedLogOptions& options,
    ServiceDependencies dependencies) {
  BOOST_OUTCOME_TRYV(CheckOptions(options));
  auto replica = std::make_shared<Replica>(options, std::move(dependencies));
  BOOST_OUTCOME_TRYV(replica->Start());
  return std::unique_ptr<ReplicatedLogService>(
      std::make_unique<LogService>(std::move(replica)));
}

}  // namespace internal

Result<std::unique_ptr<ReplicatedLogService>> CreateReplicatedLog(
    const ReplicatedLogOptions& options,
    StateMachine& state_machine,
    RpcClient& rpc_client,
    ControlThread& control_thread,
    const Clock& clock) {
  // Half the shortest election timeout, so that a stalled connection is
  // abandoned before it can cause an election.
  const Duration call_timeout = options.timings.election_timeout_min / 2;
  internal::ServiceDependencies dependencies{
      state_machine, control_thread, clock,
      internal::CreateRpcTransport(rpc_client, options.address, call_timeout),
      [&options](std::function<void(std::uint64_t)> on_durable) {
        internal::FileStorageOptions storage;
        storage.directory = options.data_directory;
        storage.replica_id = options.id;
        storage.on_durable = std::move(on_durable);
        return internal::CreateFileStorage(std::move(storage));
      }};
  return internal::StartService(options, std::move(dependencies));
}

}  // namespace sycamorebend
