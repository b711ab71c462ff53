#include "scaling/order_runner.h"

#include <iterator>
#include <utility>
#include <vector>

namespace sycamorebend {

namespace {

std::map<EngineGroup, EngineCounts> CountEngines(const SharedState& shared,
                                                 const std::string& service) {
  std::map<EngineGroup, EngineCounts> engines;
  for (const ServerRecord& server : shared.servers) {
    if (server.service != service) {
      continue;
    }
    const EngineKind kind =
        server.reclaimable ? EngineKind::kReclaimable : EngineKind::kOrdinary;
    EngineCounts& counts = engines[{server.failure_domain, kind}];
    // An engine that operators have drained stays, but does not serve.
    const bool idle =
        server.silent || shared.drained_servers.count(server.server_id) > 0;
    ++(server.leaving ? counts.leaving : idle ? counts.silent : counts.serving);
  }
  return engines;
}

std::optional<ServiceDemand> DemandOf(const DemandReport& report,
                                      const std::string& service) {
  if (report.reporting_gateways == 0) {
    return std::nullopt;
  }
  ServiceDemand demand;
  const auto found = report.services.find(service);
  if (found != report.services.end()) {
    demand.requests_per_s = found->second.requests_per_s;
    demand.prompt_tokens_per_s = found->second.prompt_tokens_per_s;
    demand.output_tokens_per_s = found->second.output_tokens_per_s;
    demand.refused_per_s = found->second.refused_per_s;
    demand.late_per_s = found->second.late_per_s;
    demand.first_byte_of_target = found->second.first_byte_of_target;
  }
  demand.gateways = report.gateways;
  demand.reporting_gateways = report.reporting_gateways;
  demand.oldest_report_age = report.oldest_report_age;
  return demand;
}

Json::Value ToJson(const ScalingStatus& status) {
  Json::Value value;
  value["present_engines"] = status.present_engines;
  value["steady_engines"] = status.steady_engines;
  value["peak_engines"] = status.peak_engines;
  value["capacity"] = status.capacity;
  value["hold_reason"] = status.hold_reason;
  Json::Value& groups = value["groups"] = Json::Value(Json::arrayValue);
  for (const auto& [group, state] : status.groups) {
    Json::Value item;
    item["failure_domain"] = group.first;
    item["kind"] = std::string(EngineKindName(group.second));
    item["announced"] = state.announced;
    item["ordered"] = state.ordered;
    item["refused"] = state.refused;
    item["reason"] = state.reason;
    groups.append(std::move(item));
  }
  return value;
}

}  // namespace

EngineOrderRunner::EngineOrderRunner(DutyHolder& holder,
                                     DemandSource& demand,
                                     DutyApi& api,
                                     SharedReader shared,
                                     RulesReader read_rules,
                                     const Clock& clock)
    : holder(holder),
      demand(demand),
      api(api),
      shared(std::move(shared)),
      read_rules(std::move(read_rules)),
      clock(clock) {}

void EngineOrderRunner::Tick() {
  const std::optional<DemandReport> report = this->demand.CurrentDemand();
  if (!report) {
    // Another replica decides. What this one has learned grows old.
    if (!this->services.empty()) {
      this->services.clear();
      this->configuration_version.reset();
      this->Publish();
    }
    return;
  }
  const std::shared_ptr<const SharedState> state = this->shared();
  this->ReadRules(*state);
  for (auto& [name, service] : this->services) {
    this->Decide(name, service, *state, *report);
  }
  if (!this->services.empty()) {
    this->Publish();
  }
}

void EngineOrderRunner::ReadRules(const SharedState& state) {
  if (this->configuration_version == state.configuration_version) {
    return;
  }
  this->configuration_version = state.configuration_version;
  const std::map<std::string, ScalingRules> rules =
      this->read_rules(*state.configuration);
  for (auto service = this->services.begin();
       service != this->services.end();) {
    service = rules.count(service->first) == 0 ? this->services.erase(service)
                                               : std::next(service);
  }
  for (const auto& [name, rule] : rules) {
    Service& service = this->services[name];
    if (service.scaler != nullptr && service.rules == rule) {
      continue;
    }
    service.rules = rule;
    if (service.scaler == nullptr) {
      service.scaler = EngineScaler::Create(rule);
    } else {
      service.scaler->SetRules(rule);
    }
    const bool consistent = rule.min_engines <= rule.max_engines;
    LogEvent(consistent ? Severity::kInfo : Severity::kWarning,
             Event::kScalingRulesRead,
             {{"service", name},
              {"min_engines", rule.min_engines},
              {"max_engines", rule.max_engines},
              {"startup_ms", ToMilliseconds(rule.startup)},
              {"reclaimable_price", rule.reclaimable_price.value_or(-1)},
              {"message", consistent ? ""
                                     : "the minimum is above the maximum, "
                                       "which is used for both"}});
  }
}

void EngineOrderRunner::Decide(const std::string& name,
                               Service& service,
                               const SharedState& state,
                               const DemandReport& report) {
  ScalingInput input;
  input.engines = CountEngines(state, name);
  input.demand = DemandOf(report, name);
  const std::vector<EngineOrder> orders =
      service.scaler->Decide(input, this->clock.Now());
  const ScalingStatus status = service.scaler->Status();
  if (status.hold_reason != service.hold_reason) {
    service.hold_reason = status.hold_reason;
    LogEvent(Severity::kInfo, Event::kScalingHeld,
             {{"service", name},
              {"reason", status.hold_reason},
              {"present_engines", status.present_engines},
              {"steady_engines", status.steady_engines},
              {"peak_engines", status.peak_engines},
              {"capacity", status.capacity}});
  }
  for (const EngineOrder& order : orders) {
    this->Send(name, order);
  }
}

void EngineOrderRunner::Send(const std::string& name,
                             const EngineOrder& order) {
  const std::optional<DutyGrant> grant =
      this->holder.Current(Duty::kServerOrders);
  if (!grant) {
    this->EndOrder(name, order, OrderOutcome::kNotSent);
    return;
  }
  ServerOrder call;
  call.service = name;
  call.failure_domain = order.failure_domain;
  call.count = order.count;
  call.reclaimable = order.kind == EngineKind::kReclaimable;
  call.reason = order.reason;
  this->api.OrderServers(
      *grant, call,
      [this, name, order,
       weak = std::weak_ptr<bool>(this->alive)](DutyCallResult result) {
        if (weak.lock() != nullptr) {
          this->OnResult(name, order, result);
        }
      });
}

void EngineOrderRunner::OnResult(const std::string& name,
                                 const EngineOrder& order,
                                 DutyCallResult result) {
  switch (result) {
    case DutyCallResult::kAccepted:
      this->EndOrder(name, order, OrderOutcome::kAccepted);
      break;
    case DutyCallResult::kRejected:
      this->holder.Renew(Duty::kServerOrders);
      this->EndOrder(name, order, OrderOutcome::kRejected);
      break;
    case DutyCallResult::kUnknown:
      // With a higher token, the platform refuses a late execution of this
      // call.
      this->holder.Renew(Duty::kServerOrders);
      this->EndOrder(name, order, OrderOutcome::kUnknown);
      break;
    case DutyCallResult::kLimited:
      this->EndOrder(name, order, OrderOutcome::kLimited);
      break;
    case DutyCallResult::kNotSent:
      this->EndOrder(name, order, OrderOutcome::kNotSent);
      break;
  }
}

void EngineOrderRunner::EndOrder(const std::string& name,
                                 const EngineOrder& order,
                                 OrderOutcome outcome) {
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return;
  }
  ++service->second.orders[outcome];
  service->second.scaler->OnOutcome(order, outcome, this->clock.Now());
}

void EngineOrderRunner::Publish() {
  Json::Value written(Json::objectValue);
  for (const auto& [name, service] : this->services) {
    Json::Value& item = written[name] = ToJson(service.scaler->Status());
    item["orders"] = Json::Value(Json::objectValue);
    for (const auto& [outcome, count] : service.orders) {
      item["orders"][std::string(OrderOutcomeName(outcome))] =
          Json::UInt64(count);
    }
  }
  std::lock_guard lock(this->mutex);
  this->report = std::move(written);
}

Json::Value EngineOrderRunner::StatusReport() const {
  std::lock_guard lock(this->mutex);
  return this->report;
}

}  // namespace sycamorebend
