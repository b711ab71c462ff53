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
    TrackedRequest request;
    request.info = info;
    request.policy = this->policy->FindClass(info.class_name);
    request.deadline = now + request.policy->deadline;
    this->deadlines.emplace(request.deadline, info.request_id);
    this->Dispatch(
        this->requests.emplace(info.request_id, request).first->second);
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
    TrackedRequest& request = found->second;
    if (result.code == ResultCode::kOk) {
      this->requests.erase(found);
      return;
    }
    const bool silent = result.code == ResultCode::kServerStalled ||
                        result.code == ResultCode::kServerFirstByteTimeout;
    if (request.policy->idempotent && silent && result.delivered_tokens > 0 &&
        !request.resumed) {
      request.resumed = true;
      this->EmitDispatch(request, result.delivered_tokens);
      return;
    }
    if (silent) {
      this->actions.emplace_back(
          CancelAction{id, attempt, request.server.server_id, "silent"});
    }
    if (request.policy->idempotent && result.delivered_tokens == 0 &&
        attempt < 2) {
      this->Dispatch(request);
      return;
    }
    this->Refuse(request, result.code);
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
      TrackedRequest& request = found->second;
      this->actions.emplace_back(CancelAction{
          id, request.attempt, request.server.server_id, "deadline"});
      this->Refuse(request, ResultCode::kDeadlineUnreachable);
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
  struct TrackedRequest {
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

  const ServerState* Choose(const TrackedRequest& request) {
    std::vector<const ServerState*> eligible;
    for (const auto& [id, server] : this->servers) {
      if (server.accepting && request.policy->servers.Matches(server.labels) &&
          (request.attempt == 0 || id != request.server.server_id)) {
        eligible.push_back(&server);
      }
    }
    if (eligible.empty()) {
      return nullptr;
    }
    const auto pick_random = [&] {
      return eligible[this->random.Next() % eligible.size()];
    };
    const auto less_loaded = [](const ServerState* a, const ServerState* b) {
      return Load(*a) < Load(*b);
    };
    switch (this->kind) {
      case BaselineKind::kRandom:
        return pick_random();
      case BaselineKind::kRoundRobin:
        return eligible[this->next++ % eligible.size()];
      case BaselineKind::kLeastReported:
        return *std::min_element(eligible.begin(), eligible.end(), less_loaded);
      case BaselineKind::kTwoChoices: {
        const ServerState* a = pick_random();
        const ServerState* b = pick_random();
        return less_loaded(b, a) ? b : a;
      }
    }
    return nullptr;
  }

  void Dispatch(TrackedRequest& request) {
    const ServerState* server = this->Choose(request);
    if (server == nullptr) {
      this->Refuse(request, ResultCode::kNoEligibleServer);
      return;
    }
    request.server = *server;
    ++request.attempt;
    this->EmitDispatch(request, std::nullopt);
  }

  void EmitDispatch(const TrackedRequest& request, std::optional<int> offset) {
    DispatchAction action;
    action.request_id = request.info.request_id;
    action.attempt = request.attempt;
    action.server_id = request.server.server_id;
    action.priority = 0;
    action.first_byte_timeout = request.policy->first_byte_timeout;
    action.gap_timeout = request.policy->gap_timeout;
    action.resume_offset = offset;
    this->actions.emplace_back(std::move(action));
  }

  void Refuse(const TrackedRequest& request, ResultCode code) {
    const std::string id = request.info.request_id;
    this->actions.emplace_back(RefuseAction{id, code, "", Duration{0}});
    this->requests.erase(id);
  }

  BaselineKind kind;
  internal::Random random;
  std::uint64_t next;
  std::shared_ptr<const Policy> policy;
  std::map<std::string, ServerState> servers;
  std::map<std::string, TrackedRequest> requests;
  std::set<std::pair<TimePoint, std::string>> deadlines;
  std::vector<RoutingAction> actions;
};

}  // namespace

std::unique_ptr<Scheduler> CreateBaseline(BaselineKind kind,
                                          const SchedulerOptions& options) {
  return std::make_unique<Baseline>(kind, options);
}

}  // namespace sycamorebend::benchmark
