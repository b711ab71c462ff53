#include "entry/caller_api.h"

#include <set>
#include <string>
#include <utility>

#include "entry/error_body.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr int kStatusOk = 200;
// Retry delay sent with a rejection that advises another address. The next
// address can be tried almost at once.
constexpr Duration kOtherAddressRetryDelay = milliseconds(100);

void RespondJson(HttpExchange& exchange, const Json::Value& value) {
  exchange.Respond(kStatusOk, {{"Content-Type", "application/json"}},
                   WriteJson(value));
}

Json::Value FormatModels(const std::set<std::string>& models) {
  Json::Value body;
  body["object"] = "list";
  body["data"] = Json::Value(Json::arrayValue);
  for (const std::string& name : models) {
    Json::Value model;
    model["id"] = name;
    model["object"] = "model";
    body["data"].append(model);
  }
  return body;
}

// @return true if the request may be an order, whose earlier attempts may have
// run.
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
      next_address_rotation(StableHash64(RandomId())) {}

void CallerApi::Handle(std::shared_ptr<HttpExchange> exchange) {
  if (this->rejecting_new_requests.load()) {
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
  Json::Value body;
  body["addresses"] = Json::Value(Json::arrayValue);
  for (const std::string& address :
       ListCallerAddresses(snapshot.state->entries, domain,
                           this->next_address_rotation.fetch_add(1))) {
    body["addresses"].append(address);
  }
  body["valid_for_ms"] =
      static_cast<Json::Int64>(ToMilliseconds(this->settings.address_valid));
  RespondJson(exchange, body);
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
  // Registered after Submit, so that the control thread learns of the request
  // before it learns that the caller disconnected.
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
  CallerError caller_error{error.code, error.message};
  if (GetResultCodeInfo(error.code).retry == RetryAdvice::kOtherAddress) {
    caller_error.retry_after = kOtherAddressRetryDelay;
    // An earlier attempt at the same order may have run. Only its record shows
    // that, and the record is not read here.
    caller_error.ran = MayBeOrder(exchange.Request()) ? ExecutionState::kUnknown
                                                      : ExecutionState::kNotRun;
  }
  RespondError(exchange, caller_error);
}

}  // namespace sycamorebend::entry
