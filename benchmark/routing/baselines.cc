#include "baselines.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

#include "routing/random.h"

namespace sycamorebend::benchmark {

namespace {

class Baseline : public Scheduler {
 public:
  Baseline(BaselineKind kind, const SchedulerOptions& options)
      : kind(kind), random(options.seed), next(options.seed) {}

  void SetPolicy(std::shared_ptr<const Policy> policy, TimePoint) override {
    this->policy = std::move(policy);
  }
  void SetEntryCount(int) override {}
  void SetQuarantine(const std::set<std::string>&, TimePoint) override {}
  void UpdateServer(const ServerState& server, TimePoint) override {
    this->servers[server.server_id] = server;
  }
  void RemoveServer(const std::string& id, RemovalReason, TimePoint) override {
    this->servers.erase(id);
  }
  void ApplyCacheEvents(const std::string&, const CacheEvents&) override {}

  void Submit(const RequestInfo& info, TimePoint now) override {
    Entry entry;
    entry.info = info;
    entry.policy = this->policy->FindClass(info.class_name);
    entry.deadline = now + entry.policy->deadline;
    this->deadlines.emplace(entry.deadline, info.request_id);
    this->Dispatch(
        this->requests.emplace(info.request_id, entry).first->second);
  }

  void OnFirstToken(const std::string&, int, TimePoint) override {}
  void OnProgress(const std::string&, int, int, TimePoint) override {}

  void OnAttemptDone(const std::string& id,
                     int attempt,
                     const AttemptResult& result,
                     TimePoint) override {
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.attempt != attempt) {
      return;
    }
    Entry& entry = found->second;
    if (result.code == ResultCode::kOk) {
      this->requests.erase(found);
      return;
    }
    const bool silent = result.code == ResultCode::kServerStalled ||
                        result.code == ResultCode::kServerFirstByteTimeout;
    if (entry.policy->idempotent && silent && result.delivered_tokens > 0 &&
        !entry.resumed) {
      entry.resumed = true;
      this->Emit(entry, result.delivered_tokens);
      return;
    }
    if (silent) {
      this->actions.emplace_back(
          CancelAction{id, attempt, entry.server.server_id, "silent"});
    }
    if (entry.policy->idempotent && result.delivered_tokens == 0 &&
        attempt < 2) {
      this->Dispatch(entry);
      return;
    }
    this->Refuse(entry, result.code);
  }

  void Cancel(const std::string& id, TimePoint) override {
    this->requests.erase(id);
  }

  void Advance(TimePoint now) override {
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
      const std::string id = this->deadlines.begin()->second;
      this->deadlines.erase(this->deadlines.begin());
      const auto found = this->requests.find(id);
      if (found == this->requests.end()) {
        continue;
      }
      Entry& entry = found->second;
      this->actions.emplace_back(
          CancelAction{id, entry.attempt, entry.server.server_id, "deadline"});
      this->Refuse(entry, ResultCode::kDeadlineUnreachable);
    }
  }

  TimePoint NextWake() const override {
    return this->deadlines.empty() ? TimePoint::max()
                                   : this->deadlines.begin()->first;
  }

  std::vector<RoutingAction> TakeActions() override {
    return std::exchange(this->actions, {});
  }
  std::vector<CrashReport> TakeCrashReports() override { return {}; }
  DecisionTrace Explain(const RequestInfo&, TimePoint) const override {
    return {};
  }
  SchedulerStats GetStats() const override { return {}; }

 private:
  struct Entry {
    RequestInfo info;
    const ClassPolicy* policy = nullptr;
    TimePoint deadline;
    ServerState server;
    int attempt = 0;
    bool resumed = false;
  };

  static int Load(const ServerState& server) {
    const auto sum = [](const std::vector<int>& counts) {
      return std::accumulate(counts.begin(), counts.end(), 0);
    };
    return sum(server.running_by_tier) + sum(server.queued_by_tier);
  }

  const ServerState* Choose(const Entry& entry) {
    std::vector<const ServerState*> able;
    for (const auto& [id, server] : this->servers) {
      if (server.accepting && entry.policy->servers.Matches(server.labels) &&
          (entry.attempt == 0 || id != entry.server.server_id)) {
        able.push_back(&server);
      }
    }
    if (able.empty()) {
      return nullptr;
    }
    const auto any = [&] { return able[this->random.Next() % able.size()]; };
    const auto less = [](const ServerState* a, const ServerState* b) {
      return Load(*a) < Load(*b);
    };
    switch (this->kind) {
      case BaselineKind::kRandom:
        return any();
      case BaselineKind::kRoundRobin:
        return able[this->next++ % able.size()];
      case BaselineKind::kLeastReported:
        return *std::min_element(able.begin(), able.end(), less);
      case BaselineKind::kTwoChoices: {
        const ServerState* a = any();
        const ServerState* b = any();
        return less(b, a) ? b : a;
      }
    }
    return nullptr;
  }

  void Dispatch(Entry& entry) {
    const ServerState* server = this->Choose(entry);
    if (server == nullptr) {
      this->Refuse(entry, ResultCode::kNoEligibleServer);
      return;
    }
    entry.server = *server;
    ++entry.attempt;
    this->Emit(entry, std::nullopt);
  }

  void Emit(const Entry& entry, std::optional<int> offset) {
    DispatchAction action;
    action.request_id = entry.info.request_id;
    action.attempt = entry.attempt;
    action.server_id = entry.server.server_id;
    action.priority = 0;
    action.first_byte_timeout = entry.policy->first_byte_timeout;
    action.gap_timeout = entry.policy->gap_timeout;
    action.resume_offset = offset;
    this->actions.emplace_back(std::move(action));
  }

  void Refuse(const Entry& entry, ResultCode code) {
    const std::string id = entry.info.request_id;
    this->actions.emplace_back(RefuseAction{id, code, "", Duration{0}});
    this->requests.erase(id);
  }

  BaselineKind kind;
  internal::Random random;
  std::uint64_t next;
  std::shared_ptr<const Policy> policy;
  std::map<std::string, ServerState> servers;
  std::map<std::string, Entry> requests;
  std::set<std::pair<TimePoint, std::string>> deadlines;
  std::vector<RoutingAction> actions;
};

}  // namespace

std::unique_ptr<Scheduler> CreateBaseline(BaselineKind kind,
                                          const SchedulerOptions& options) {
  return std::make_unique<Baseline>(kind, options);
}

}  // namespace sycamorebend::benchmark
