#include "controld/control_http.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sycamorebend {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusNotAllowed = 405;
constexpr int kStatusUnavailable = 503;

HttpHeaders PlainText() {
  return {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}};
}

void RespondError(HttpExchange& exchange, int status, ResultCode code) {
  exchange.Respond(status, PlainText(),
                   std::string(GetResultCodeInfo(code).message) + "\n");
}

// @return true if `body` is a call of `method` as RpcClient encodes it, with
// sorted keys and no white space. A call in another format is handled by the
// threads for other calls.
bool IsCallOf(std::string_view body, std::string_view method) {
  constexpr std::size_t kSearchedBytes = 128;
  const std::string key = "\"method\":\"" + std::string(method) + "\"";
  return body.substr(0, kSearchedBytes).find(key) != std::string_view::npos;
}

void AddGauge(prometheus::Registry& registry,
              const std::string& name,
              const std::string& help,
              const Json::Value& value) {
  prometheus::BuildGauge()
      .Name("sycamorebend_control_" + name)
      .Help(help)
      .Register(registry)
      .Add({})
      .Set(value.isBool() ? static_cast<double>(value.asBool())
                          : value.asDouble());
}

// Voters and learners whose bytes the leader knows.
void AddReplicaMetrics(prometheus::Registry& registry,
                       const Json::Value& report) {
  if (!report["is_leader"].asBool()) {
    return;
  }
  auto& lag = prometheus::BuildGauge()
                  .Name("sycamorebend_control_replica_lag_bytes")
                  .Help("Committed bytes of the log that a replica lacks.")
                  .Register(registry);
  for (const Json::Value& replica : report["replicas"]) {
    lag.Add({{"address", replica["address"].asString()},
             {"voter", replica["voter"].asBool() ? "true" : "false"}})
        .Set(replica["lag_bytes"].asDouble());
  }
}

void AddScalingMetrics(prometheus::Registry& registry,
                       const Json::Value& services) {
  auto& work = prometheus::BuildGauge()
                   .Name("sycamorebend_control_scaling_work_engines")
                   .Help("Work of a service in fully used engines.")
                   .Register(registry);
  auto& capacity = prometheus::BuildGauge()
                       .Name("sycamorebend_control_scaling_capacity")
                       .Help(
                           "Learned capacity of an engine, relative to the "
                           "starting value.")
                       .Register(registry);
  auto& held = prometheus::BuildGauge()
                   .Name("sycamorebend_control_scaling_held")
                   .Help("1 if no engine may be removed at the moment.")
                   .Register(registry);
  auto& engines = prometheus::BuildGauge()
                      .Name("sycamorebend_control_scaling_engines")
                      .Help("Engines as announced and as ordered.")
                      .Register(registry);
  auto& orders = prometheus::BuildCounter()
                     .Name("sycamorebend_control_scaling_orders_total")
                     .Help("Orders of engines by outcome.")
                     .Register(registry);
  for (const std::string& name : services.getMemberNames()) {
    const Json::Value& service = services[name];
    for (const char* load : {"present", "steady", "peak"}) {
      work.Add({{"service", name}, {"load", load}})
          .Set(service[std::string(load) + "_engines"].asDouble());
    }
    capacity.Add({{"service", name}}).Set(service["capacity"].asDouble());
    held.Add({{"service", name}})
        .Set(service["hold_reason"].asString().empty() ? 0 : 1);
    for (const Json::Value& group : service["groups"]) {
      for (const char* state : {"announced", "ordered"}) {
        engines
            .Add({{"service", name},
                  {"failure_domain", group["failure_domain"].asString()},
                  {"kind", group["kind"].asString()},
                  {"state", state}})
            .Set(group[state].asDouble());
      }
    }
    for (const std::string& outcome : service["orders"].getMemberNames()) {
      orders.Add({{"service", name}, {"outcome", outcome}})
          .Increment(service["orders"][outcome].asDouble());
    }
  }
}

void AddDutyMetrics(prometheus::Registry& registry, const Json::Value& report) {
  AddGauge(registry, "usage_unsent_windows",
           "Fixed windows of usage that the platform has not accepted.",
           report["unsent_windows"]);
  prometheus::BuildCounter()
      .Name("sycamorebend_control_usage_late_requests_total")
      .Help("Requests that were reported after their window was fixed.")
      .Register(registry)
      .Add({})
      .Increment(report["late_requests"].asDouble());
  auto& calls = prometheus::BuildCounter()
                    .Name("sycamorebend_control_duty_calls_total")
                    .Help("Calls of duties by result.")
                    .Register(registry);
  auto& tokens = prometheus::BuildGauge()
                     .Name("sycamorebend_control_duty_token")
                     .Help("Newest fencing token of a duty, by holder.")
                     .Register(registry);
  for (const Json::Value& duty : report["duties"]) {
    const std::string name = duty["duty"].asString();
    tokens.Add({{"duty", name}, {"holder", duty["holder"].asString()}})
        .Set(duty["token"].asDouble());
    for (const std::string& result : duty["calls"].getMemberNames()) {
      calls.Add({{"duty", name}, {"result", result}})
          .Increment(duty["calls"][result].asDouble());
    }
  }
}

}  // namespace

ControlHttp::ControlHttp(ControlService& service, const ControlThreads& threads)
    : service(service),
      raft_calls(RpcServer::Create(service, threads.raft)),
      feed_calls(RpcServer::Create(service, threads.feed)),
      other_calls(RpcServer::Create(service, threads.other)) {}

void ControlHttp::Handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->Request();
  if (request.path == kRpcPath) {
    if (request.method != "POST") {
      RespondError(*exchange, kStatusNotAllowed, ResultCode::kMethodNotAllowed);
      return;
    }
    const std::string& body = request.body;
    RpcServer& server = IsCallOf(body, kRaftMessageMethod) ? *this->raft_calls
                        : IsCallOf(body, kFeedPollMethod)  ? *this->feed_calls
                                                           : *this->other_calls;
    server.Handle(std::move(exchange));
    return;
  }
  this->Get(*exchange);
}

void ControlHttp::Get(HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const bool known = request.path == "/healthz" || request.path == "/readyz" ||
                     request.path == "/metrics";
  if (!known) {
    RespondError(exchange, kStatusNotFound, ResultCode::kNotFound);
  } else if (request.method != "GET") {
    RespondError(exchange, kStatusNotAllowed, ResultCode::kMethodNotAllowed);
  } else if (request.path == "/metrics") {
    exchange.Respond(kStatusOk, PlainText(), ControlMetrics(this->service));
  } else if (request.path == "/readyz" && !this->service.Ready()) {
    RespondError(exchange, kStatusUnavailable,
                 ResultCode::kConfigurationUnconfirmed);
  } else {
    exchange.Respond(kStatusOk, PlainText(), "ok\n");
  }
}

std::string ControlMetrics(const ControlService& service) {
  prometheus::Registry registry;
  const Result<Json::Value> status = service.StatusReport();
  AddGauge(registry, "ready", "1 if a quorum confirmed the state recently.",
           service.Ready());
  if (status) {
    const Json::Value& report = status.value();
    AddGauge(registry, "leader", "1 on the leader.", report["is_leader"]);
    AddGauge(registry, "term", "Current term.", report["term"]);
    AddGauge(registry, "commit_index", "Last committed entry of the log.",
             report["commit_index"]);
    AddGauge(registry, "applied_index", "Last applied entry of the log.",
             report["applied_index"]);
    AddGauge(registry, "snapshot_index", "Last entry in the newest snapshot.",
             report["snapshot_index"]);
    AddGauge(registry, "log_bytes", "Memory of the entries of the log.",
             report["log_bytes"]);
    AddReplicaMetrics(registry, report);
    AddGauge(registry, "confirmation_age_seconds",
             "Time since a quorum confirmed the state; negative if never.",
             report["confirmation_age_ms"].asDouble() / 1000);
    AddGauge(registry, "consensus_longest_wait_seconds",
             "Longest time that consensus waited for its thread.",
             report["longest_wait_ms"].asDouble() / 1000);
    prometheus::BuildCounter()
        .Name("sycamorebend_control_feed_redirects_total")
        .Help("Polls of daemons for which there was no place.")
        .Register(registry)
        .Add({})
        .Increment(report["feed_redirects"].asDouble());
    auto& notices =
        prometheus::BuildCounter()
            .Name("sycamorebend_control_replica_notices_total")
            .Help("Notices of the present replicas to lost processes.")
            .Register(registry);
    for (const std::string& receiver : report["notices"].getMemberNames()) {
      const Json::Value& outcomes = report["notices"][receiver];
      for (const std::string& outcome : outcomes.getMemberNames()) {
        notices.Add({{"receiver", receiver}, {"outcome", outcome}})
            .Increment(outcomes[outcome].asDouble());
      }
    }
    const Json::Value& counts = report["counts"];
    for (const std::string& name : counts.getMemberNames()) {
      AddGauge(registry, name, "Size of the control state.", counts[name]);
    }
  }
  const Json::Value duties = service.DutyReport();
  if (!duties.isNull()) {
    AddDutyMetrics(registry, duties);
  }
  if (duties.isMember("scaling")) {
    AddScalingMetrics(registry, duties["scaling"]);
  }
  auto& calls = prometheus::BuildCounter()
                    .Name("sycamorebend_control_calls_total")
                    .Help("RPC calls by method and result code.")
                    .Register(registry);
  for (const auto& [call, count] : service.Calls()) {
    calls
        .Add({{"method", call.first},
              {"code", std::string(GetResultCodeInfo(call.second).name)}})
        .Increment(static_cast<double>(count));
  }
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace sycamorebend
