#include "entry/caller_api.h"

#include <set>
#include <string>
#include <utility>

#include "entry/error_body.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr int kStatusOk = 200;
// A caller that was refused because the configuration is not confirmed can try
// the next address at once.
constexpr Duration kOtherAddressDelay = milliseconds(100);

void RespondJson(HttpExchange& exchange, const Json::Value& value) {
  exchange.Respond(kStatusOk, {{"Content-Type", "application/json"}},
                   WriteJson(value));
}

Json::Value FormatModels(const std::set<std::string>& models) {
  Json::Value answer;
  answer["object"] = "list";
  answer["data"] = Json::Value(Json::arrayValue);
  for (const std::string& name : models) {
    Json::Value model;
    model["id"] = name;
    model["object"] = "model";
    answer["data"].append(model);
  }
  return answer;
}

// @return true if the outcome of an earlier sending of this request may be
// recorded as that of an order.
bool MayBeOrder(const HttpRequest& request) {
  return FindHeader(request.headers, kIdempotencyHeader).has_value();
}

}  // namespace

CallerApi::CallerApi(const EntrySettings& settings,
                     const SharedView& view,
                     RequestRouter& router,
                     ControlThread& control,
                     HttpClient& client,
                     std::shared_ptr<OrderContext> orders,
                     const Clock& clock,
                     Metrics& metrics)
    : settings(settings),
      view(view),
      router(router),
      control(control),
      client(client),
      orders(std::move(orders)),
      clock(clock),
      metrics(metrics),
      next_rotation(StableHash64(RandomId())) {}

void CallerApi::Handle(std::shared_ptr<HttpExchange> exchange) {
  if (this->refusing.load()) {
    this->Reject(*exchange, MakeError(ResultCode::kShuttingDown));
    return;
  }
  const Status confirmed = this->view.CheckConfirmed();
  if (!confirmed) {
    this->Reject(*exchange, confirmed.error());
    return;
  }
  const HttpRequest& request = exchange->Request();
  if (request.path == "/v1/addresses") {
    this->ServeAddresses(*exchange);
    return;
  }
  const std::shared_ptr<const Policy> policy = this->view.Current().policy;
  if (request.path == "/v1/models") {
    this->ServeModels(exchange, *policy);
    return;
  }
  this->Route(exchange, *policy);
}

void CallerApi::ServeAddresses(HttpExchange& exchange) {
  if (exchange.Request().method != "GET") {
    this->Reject(exchange, MakeError(ResultCode::kMethodNotAllowed));
    return;
  }
  const SharedSnapshot snapshot = this->view.Current();
  const std::string domain =
      FindHeader(exchange.Request().query, "failure_domain").value_or("");
  Json::Value answer;
  answer["addresses"] = Json::Value(Json::arrayValue);
  for (const std::string& address : ListCallerAddresses(
           snapshot.state->entries, domain, this->next_rotation.fetch_add(1))) {
    answer["addresses"].append(address);
  }
  answer["valid_for_ms"] =
      static_cast<Json::Int64>(ToMilliseconds(this->settings.address_valid));
  RespondJson(exchange, answer);
}

void CallerApi::ServeModels(const std::shared_ptr<HttpExchange>& exchange,
                            const Policy& policy) {
  const auto customer = Authenticate(exchange->Request(), policy);
  if (!customer) {
    this->Reject(*exchange, customer.error());
    return;
  }
  if (exchange->Request().method != "GET") {
    this->Reject(*exchange, MakeError(ResultCode::kMethodNotAllowed));
    return;
  }
  std::set<std::string> models;
  for (const auto& [name, labels] : policy.model_labels) {
    models.insert(name);
  }
  this->control.Post([this, exchange, models = std::move(models)]() mutable {
    for (const RegisteredServer& server : this->router.Registry().Servers()) {
      models.insert(server.state.models.begin(), server.state.models.end());
    }
    RespondJson(*exchange, FormatModels(models));
  });
}

void CallerApi::Route(const std::shared_ptr<HttpExchange>& exchange,
                      const Policy& policy) {
  Result<CallerRequest> parsed =
      ParseCallerRequest(exchange->Request(), policy, this->clock.Now());
  if (!parsed) {
    this->Reject(*exchange, parsed.error());
    return;
  }
  const std::string request_id = parsed.value().info.request_id;
  this->router.Submit(this->MakeSession(std::move(parsed.value()), exchange));
  // Subscribed after Submit, so that the control thread learns of the request
  // before it learns that the caller left.
  exchange->OnCallerDisconnected(
      [this, request_id] { this->router.OnCallerDisconnected(request_id); });
}

std::shared_ptr<CallerSession> CallerApi::MakeSession(
    CallerRequest request,
    const std::shared_ptr<HttpExchange>& exchange) {
  if (request.is_order) {
    return std::make_shared<OrderSession>(std::move(request), exchange,
                                          this->orders);
  }
  ProxyOptions options;
  options.limits = this->settings.limits;
  options.heartbeat = this->settings.heartbeat;
  return std::make_shared<ProxySession>(std::move(request), exchange,
                                        this->router, this->client, this->clock,
                                        options);
}

void CallerApi::Reject(HttpExchange& exchange, const Error& error) {
  LogEvent(Severity::kInfo, Event::kRequestRejected,
           {{"path", exchange.Request().path},
            {"code", static_cast<int>(error.code)},
            {"message", error.message}});
  this->metrics.Count("sycamorebend_rejected_total",
                      "Requests refused before routing, by result code.",
                      {{"code", std::to_string(static_cast<int>(error.code))}});
  CallerError answer{error.code, error.message};
  if (GetResultCodeInfo(error.code).retry == RetryAdvice::kOtherAddress) {
    answer.retry_after = kOtherAddressDelay;
    // An earlier sending of the same order may have run; only its record can
    // tell, and it was not read here.
    answer.ran = MayBeOrder(exchange.Request()) ? Ran::kUnknown : Ran::kNotRun;
  }
  RespondError(exchange, answer);
}

}  // namespace sycamorebend::entry
