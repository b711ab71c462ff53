#include "entry/rpc_api.h"

#include <utility>

namespace sycamorebend::entry {

namespace {

Json::Value ToJson(const std::vector<int>& values) {
  Json::Value list(Json::arrayValue);
  for (const int value : values) {
    list.append(value);
  }
  return list;
}

Json::Value ToJson(const std::vector<std::string>& values) {
  Json::Value list(Json::arrayValue);
  for (const std::string& value : values) {
    list.append(value);
  }
  return list;
}

Json::Value ToJson(const SchedulerStats::ClassStats& stats) {
  Json::Value value;
  value["class"] = stats.class_name;
  value["queued"] = stats.queued;
  value["in_flight"] = stats.in_flight;
  value["submitted"] = static_cast<Json::UInt64>(stats.submitted);
  value["finished"] = static_cast<Json::UInt64>(stats.finished);
  value["within_target"] = static_cast<Json::UInt64>(stats.within_target);
  value["refused"] = static_cast<Json::UInt64>(stats.refused);
  value["retried"] = static_cast<Json::UInt64>(stats.retried);
  return value;
}

Json::Value ToJson(const RegisteredServer& server, TimePoint now) {
  const ServerState& state = server.state;
  Json::Value value;
  value["server_id"] = state.server_id;
  value["incarnation"] = state.incarnation;
  value["address"] = state.address;
  value["kind"] = state.kind == ServerKind::kEngine ? "engine" : "service";
  value["labels"] = FormatLabels(state.labels);
  value["failure_domain"] = state.failure_domain;
  value["slots"] = state.slots;
  value["models"] = ToJson(state.models);
  value["roles"] = ToJson(server.announcement.roles);
  value["checks_fence"] = server.announcement.checks_fence;
  value["report_seq"] = static_cast<Json::UInt64>(state.report_sequence);
  value["report_age_ms"] =
      static_cast<Json::Int64>(ToMilliseconds(now - state.reported_at));
  value["running_by_tier"] = ToJson(state.running_by_tier);
  value["queued_by_tier"] = ToJson(state.queued_by_tier);
  value["free_kv_tokens"] = static_cast<Json::Int64>(server.free_kv_tokens);
  value["accepting"] = state.accepting;
  value["leaving"] = server.leaving;
  value["drained"] = server.drained;
  return value;
}

Json::Value ToJson(const DecisionTrace& trace) {
  Json::Value value;
  value["class"] = trace.class_name;
  value["selector"] = trace.selector;
  value["reason"] = trace.reason;
  value["candidates"] = Json::Value(Json::arrayValue);
  for (const DecisionTrace::Candidate& candidate : trace.candidates) {
    Json::Value item;
    item["server_id"] = candidate.server_id;
    item["score"] = candidate.score;
    item["rejection"] = candidate.rejection;
    value["candidates"].append(item);
  }
  return value;
}

// @return the parameter, or an empty string if it is absent.
Result<std::string> ReadOptionalString(const Json::Value& params,
                                       const char* key) {
  if (!params.isMember(key)) {
    return std::string();
  }
  if (!params[key].isString()) {
    return MakeError(ResultCode::kMalformedRequest,
                     std::string("\"") + key + "\" must be a string");
  }
  return params[key].asString();
}

}  // namespace

RpcApi::RpcApi(const EntrySettings& settings,
               const SharedView& view,
               RequestRouter& router,
               ControlThread& control,
               const Clock& clock,
               const std::atomic<bool>& draining)
    : settings(settings),
      view(view),
      router(router),
      control(control),
      clock(clock),
      draining(draining) {}

Result<Json::Value> RpcApi::Call(const std::string& method,
                                 const Json::Value& params) {
  if (method == "entry.status") {
    return this->Status();
  }
  if (method == "entry.servers") {
    return this->Servers();
  }
  if (method == "entry.explain") {
    return this->Explain(params);
  }
  return MakeError(ResultCode::kUnknownCommand,
                   "unknown method \"" + method + "\"");
}

std::optional<Result<HttpBody>> RpcApi::CallEncoded(const std::string& method,
                                                    const Json::Value& params) {
  if (method != kFeedPollMethod) {
    return std::nullopt;
  }
  FeedFollower* const source = this->follower.load();
  if (source == nullptr) {
    return Error(MakeError(ResultCode::kConfigurationUnconfirmed));
  }
  return source->ServeEncodedPoll(params);
}

Json::Value RpcApi::Status() {
  // Read before the state, which then contains what was committed when the
  // quorum confirmed it.
  const Duration age = this->view.ConfirmationAge();
  const bool ready = this->view.CheckConfirmed().has_value();
  const SharedSnapshot snapshot = this->view.Current();
  Json::Value value;
  value["entry_id"] = this->settings.entry_id;
  value["address"] = this->settings.address;
  value["failure_domain"] = this->settings.failure_domain;
  value["ready"] = ready;
  value["draining"] = this->draining.load();
  value["version"] =
      static_cast<Json::UInt64>(snapshot.state ? snapshot.state->version : 0);
  value["configuration_version"] =
      static_cast<Json::UInt64>(snapshot.policy ? snapshot.policy->version : 0);
  // -1 before the first confirmation.
  value["confirmed_age_ms"] = static_cast<Json::Int64>(
      age == Duration::max() ? -1 : ToMilliseconds(age));
  value["entries"] = static_cast<Json::UInt64>(
      snapshot.state ? snapshot.state->entries.size() : 0);
  value["open_requests"] =
      static_cast<Json::UInt64>(this->router.OpenRequests());
  value["classes"] = Json::Value(Json::arrayValue);
  this->control.PostAndWait([&] {
    value["servers"] =
        static_cast<Json::UInt64>(this->router.Registry().Servers().size());
    for (const auto& stats : this->router.GetScheduler().GetStats().classes) {
      value["classes"].append(ToJson(stats));
    }
  });
  return value;
}

Json::Value RpcApi::Servers() {
  Json::Value value;
  value["servers"] = Json::Value(Json::arrayValue);
  this->control.PostAndWait([&] {
    for (const RegisteredServer& server : this->router.Registry().Servers()) {
      value["servers"].append(ToJson(server, this->clock.Now()));
    }
  });
  return value;
}

Result<Json::Value> RpcApi::Explain(const Json::Value& params) {
  if (!params.isObject()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "the parameters must be an object");
  }
  RequestInfo info;
  info.request_id = "explain";
  BOOST_OUTCOME_TRY(customer, ReadOptionalString(params, "customer"));
  BOOST_OUTCOME_TRY(class_name, ReadOptionalString(params, "class"));
  BOOST_OUTCOME_TRY(model, ReadOptionalString(params, "model"));
  BOOST_OUTCOME_TRY(label_text, ReadOptionalString(params, "labels"));
  BOOST_OUTCOME_TRY(labels, ParseLabels(label_text));
  info.customer = customer;
  info.class_name = class_name;
  info.labels = labels;
  const std::shared_ptr<const Policy> policy = this->view.Current().policy;
  if (!policy) {
    return MakeError(ResultCode::kConfigurationUnconfirmed);
  }
  if (!model.empty()) {
    const auto known = policy->model_labels.find(model);
    const Labels model_labels = known != policy->model_labels.end()
                                    ? known->second
                                    : Labels{{"model", model}};
    for (const auto& [name, value] : model_labels) {
      info.labels[name] = value;
    }
  }
  DecisionTrace trace;
  this->control.PostAndWait([&] {
    trace = this->router.GetScheduler().Explain(info, this->clock.Now());
  });
  return ToJson(trace);
}

}  // namespace sycamorebend::entry
