// An in-memory log with a single replica, for tests.
#ifndef SYCAMOREBEND_TESTS_CONTROL_MEMORY_LOG_H_
#define SYCAMOREBEND_TESTS_CONTROL_MEMORY_LOG_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "sycamorebend/consensus.h"

namespace sycamorebend {

class MemoryLog : public ReplicatedLogService {
 public:
  MemoryLog(StateMachine& state_machine,
            ControlThread& control_thread,
            const Clock& clock)
      : state_machine(state_machine),
        control_thread(control_thread),
        clock(clock) {
    this->status.id = 1;
    this->status.term = 1;
    this->status.is_leader = true;
    this->status.leader = 1;
  }

  void Propose(std::string command, ProposeCallback callback) override {
    if (const Status leading = this->CheckLeader(); !leading) {
      callback(leading.error());
      return;
    }
    this->largest_command =
        std::max(this->largest_command.load(), command.size());
    this->control_thread.Post(
        [this, command = std::move(command), callback = std::move(callback)] {
          if (this->stopped) {
            callback(MakeError(ResultCode::kCancelled));
            return;
          }
          std::string response = this->Commit(command);
          if (this->lose_next_response.exchange(false)) {
            callback(MakeError(ResultCode::kTransportTimeout, "response lost"));
            return;
          }
          callback(std::move(response));
        });
  }

  void ReadBarrier(StatusCallback callback) override {
    const Status leading = this->CheckLeader();
    this->control_thread.Post([this, leading, callback = std::move(callback)] {
      callback(this->stopped ? Status(MakeError(ResultCode::kCancelled))
                             : leading);
    });
  }

  Duration ConfirmationAge() const override {
    if (const auto step = std::exchange(this->before_age, nullptr)) {
      step();
    }
    return this->age;
  }

  void AddReplica(ReplicaId id,
                  std::string address,
                  StatusCallback callback) override {
    this->ChangeReplicas(
        [id, address](std::vector<ReplicaStatus>& replicas) {
          replicas.push_back({id, address, false, true, 0});
        },
        std::move(callback));
  }
  void PromoteReplica(ReplicaId id, StatusCallback callback) override {
    this->ChangeReplicas(
        [id](std::vector<ReplicaStatus>& replicas) {
          for (ReplicaStatus& replica : replicas) {
            replica.voter = replica.voter || replica.id == id;
          }
        },
        std::move(callback));
  }
  void RemoveReplica(ReplicaId id, StatusCallback callback) override {
    this->ChangeReplicas(
        [id](std::vector<ReplicaStatus>& replicas) {
          replicas.erase(std::remove_if(replicas.begin(), replicas.end(),
                                        [id](const ReplicaStatus& replica) {
                                          return replica.id == id;
                                        }),
                         replicas.end());
        },
        std::move(callback));
  }

  LogStatus GetStatus() const override {
    std::lock_guard lock(this->mutex);
    LogStatus latest = this->status;
    for (const ReplicaStatus& replica : latest.replicas) {
      latest.committed_members.push_back(replica.id);
    }
    return latest;
  }

  Result<Json::Value> HandleMessage(const Json::Value& /*params*/) override {
    return Json::Value(Json::objectValue);
  }

  // Pending callbacks fail with kCancelled, and later ones too.
  void Stop() override { this->stopped = true; }

  // Makes this replica a follower of the leader at `address`.
  void Follow(const std::string& address) {
    std::lock_guard lock(this->mutex);
    this->status.is_leader = false;
    this->status.leader = 2;
    this->status.leader_address = address;
  }

  void Lead(const std::string& address) {
    std::lock_guard lock(this->mutex);
    this->status.is_leader = true;
    this->status.leader = this->status.id;
    this->status.leader_address = address;
    ++this->status.term;
  }

  void SetReplicas(std::vector<ReplicaStatus> replicas) {
    std::lock_guard lock(this->mutex);
    this->status.replicas = std::move(replicas);
  }

  // Commits and applies a command. May be called from any thread.
  std::string Commit(const std::string& command) {
    std::lock_guard lock(this->apply_mutex);
    LogIndex index = 0;
    {
      std::lock_guard status_lock(this->mutex);
      index = ++this->status.commit_index;
      this->status.applied_index = this->status.last_index = index;
    }
    return this->state_machine.Apply(index, this->clock.WallTimeMs(), command);
  }

  // The value that ConfirmationAge returns.
  std::atomic<Duration> age{Duration(0)};
  // If set, called once by ConfirmationAge before the age is read.
  mutable std::function<void()> before_age;
  // Size of the largest proposed command.
  std::atomic<std::size_t> largest_command{0};
  // Commits the next proposal but fails its callback with a timeout.
  std::atomic<bool> lose_next_response{false};

 private:
  Status CheckLeader() const {
    std::lock_guard lock(this->mutex);
    if (!this->status.is_leader) {
      return MakeError(ResultCode::kNotLeader,
                       this->status.leader_address.empty()
                           ? std::string()
                           : this->status.leader_address);
    }
    return Success();
  }

  template <typename Change>
  void ChangeReplicas(const Change& change, StatusCallback callback) {
    const Status leading = this->CheckLeader();
    if (leading) {
      std::lock_guard lock(this->mutex);
      change(this->status.replicas);
    }
    this->control_thread.Post(
        [leading, callback = std::move(callback)] { callback(leading); });
  }

  StateMachine& state_machine;
  ControlThread& control_thread;
  const Clock& clock;
  mutable std::mutex mutex;
  std::mutex apply_mutex;
  std::atomic<bool> stopped{false};
  LogStatus status;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_CONTROL_MEMORY_LOG_H_
