// A scheduler with a small policy, and helpers to drive it and to read its
// actions.
#ifndef TESTS_ROUTING_FIXTURE_H_
#define TESTS_ROUTING_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sycamorebend/routing.h"

namespace sycamorebend {

inline ClassPolicy MakeClass(const std::string& name, Tier tier) {
  ClassPolicy result;
  result.name = name;
  result.tier = tier;
  result.match = Selector::Parse("class=" + name).value();
  result.servers = Selector::Parse("model=m").value();
  return result;
}

inline Policy MakePolicy() {
  Policy policy;
  policy.tiers = {"urgent", "standard", "batch"};
  policy.classes = {MakeClass("urgent", 0), MakeClass("standard", 1),
                    MakeClass("batch", 2), MakeClass("order", 0)};
  policy.classes[3].idempotent = false;
  for (const char* name : {"a", "b"}) {
    CustomerPolicy customer;
    customer.name = name;
    customer.tiers = {0, 1, 2};
    policy.customers.push_back(customer);
  }
  return policy;
}

struct Fixture {
  explicit Fixture(Policy policy = MakePolicy()) { this->Apply(policy); }

  void Apply(const Policy& policy) {
    this->scheduler->SetPolicy(std::make_shared<Policy>(policy), this->now);
  }

  void Step(Duration step) {
    this->now += step;
    this->scheduler->Advance(this->now);
  }

  // Sends a report of server `id` with `running` requests by tier.
  void Server(const std::string& id,
              int slots = 2,
              std::vector<int> running = {},
              bool accepting = true) {
    ServerState state;
    state.server_id = id;
    state.incarnation = "1";
    state.address = id + ":1";
    state.labels = {{"model", "m"}};
    state.slots = slots;
    state.report_sequence = ++this->sequence;
    state.reported_at = this->now;
    state.running_by_tier = std::move(running);
    state.accepting = accepting;
    this->scheduler->UpdateServer(state, this->now);
  }

  void Submit(const std::string& id,
              const std::string& class_name,
              const std::string& customer = "a") {
    this->scheduler->Submit(this->MakeInfo(id, class_name, customer),
                            this->now);
  }

  RequestInfo MakeInfo(const std::string& id,
                       const std::string& class_name,
                       const std::string& customer = "a") {
    RequestInfo info;
    info.request_id = id;
    info.customer = customer;
    info.labels = {{"class", class_name}};
    info.fingerprint = "f-" + id;
    return info;
  }

  void Done(const std::string& id,
            int attempt = 1,
            ResultCode code = ResultCode::kOk,
            int delivered = 0,
            bool nothing_sent = false) {
    this->scheduler->OnAttemptDone(
        id, attempt, {code, "", nothing_sent, delivered}, this->now);
  }

  // @return the actions since the last call as text: "dispatch r1 s1 p0",
  // "refuse r1 301", "cancel r1 s1", "queue r1" or "resume r1 s1 at 5".
  std::vector<std::string> Actions() {
    std::vector<std::string> texts;
    for (const RoutingAction& action : this->scheduler->TakeActions()) {
      texts.push_back(
          std::visit([](const auto& a) { return Describe(a); }, action));
    }
    return texts;
  }

  // @return the actions since the last call, joined by "; ".
  std::string Action() {
    std::string joined;
    for (const std::string& text : this->Actions()) {
      joined += (joined.empty() ? "" : "; ") + text;
    }
    return joined;
  }

  static std::string Describe(const DispatchAction& a) {
    if (a.resume_offset) {
      return "resume " + a.request_id + " " + a.server_id + " at " +
             std::to_string(*a.resume_offset);
    }
    return "dispatch " + a.request_id + " " + a.server_id + " p" +
           std::to_string(a.priority);
  }
  static std::string Describe(const RefuseAction& a) {
    return "refuse " + a.request_id + " " +
           std::to_string(static_cast<int>(a.code));
  }
  static std::string Describe(const CancelAction& a) {
    return "cancel " + a.request_id + " " + a.server_id;
  }
  static std::string Describe(const QueueAction& a) {
    return "queue " + a.request_id;
  }

  TimePoint now{seconds(1000)};
  std::uint64_t sequence = 0;
  std::unique_ptr<Scheduler> scheduler = Scheduler::Create({});
};

}  // namespace sycamorebend

#endif  // TESTS_ROUTING_FIXTURE_H_
