#include "gateway/route_handler.h"

#include <utility>

#include <fmt/format.h>

namespace sycamorebend::gateway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Retry-After time of a gateway that is starting or stopping.
constexpr Duration kRetryAfter = milliseconds(500);

}  // namespace

RouteHandler::RouteHandler(ForwardContext& context) : context(context) {
  context.quarantine.SetFoundCallback([this] {
    // Posted, since a request that is being dispatched may have asked.
    this->context.loop.Post([this] { this->WithdrawQuarantined(); });
  });
}

void RouteHandler::ForEachOpen(void (Forwarder::*end)()) {
  // Those that end remove themselves.
  const std::set<Forwarder*> all = this->context.open;
  for (Forwarder* forwarder : all) {
    if (this->context.open.count(forwarder) > 0) {
      (forwarder->*end)();
    }
  }
}

void RouteHandler::WithdrawQuarantined() {
  this->ForEachOpen(&Forwarder::WithdrawIfQuarantined);
}

void RouteHandler::Reject(CallerExchange& exchange,
                          const RequestFields& fields,
                          int status,
                          const std::string& reason) {
  LogEvent(Severity::kWarning, Event::kRequestRejected,
           {{"request_id", fields.request_id},
            {"target", exchange.Head().target},
            {"status", status},
            {"reason", reason}});
  this->Respond(exchange, status);
}

void RouteHandler::RejectByTable(CallerExchange& exchange,
                                 const RequestFields& fields,
                                 int status,
                                 const std::string& reason) {
  const Duration age = this->confirmation_age();
  // A newer configuration may allow the request, and these statuses are final
  // for callers: another gateway may know it.
  if (age > this->max_confirmation_age) {
    status = kUnavailable;
  }
  LogEvent(Severity::kWarning, Event::kRequestRejected,
           {{"request_id", fields.request_id},
            {"target", exchange.Head().target},
            {"status", status},
            {"reason", reason},
            {"configuration_version", this->table->version},
            {"confirmed_age_ms",
             age == Duration::max() ? -1 : ToMilliseconds(age)}});
  this->Respond(exchange, status);
}

void RouteHandler::Respond(CallerExchange& exchange, int status) {
  this->context.metrics.AddRejected(status);
  HttpHeaders headers;
  if (status == kUnavailable) {
    headers.push_back(
        {"Retry-After",
         fmt::format("{:.3f}",
                     std::chrono::duration<double>(kRetryAfter).count())});
  }
  exchange.Respond(status, headers, {});
}

void RouteHandler::EndOpenRequests() {
  this->ForEachOpen(&Forwarder::EndForStop);
}

void RouteHandler::Handle(std::shared_ptr<CallerExchange> exchange) {
  Result<RequestFields> read =
      this->context.format.ReadRequestFields(exchange->Head());
  if (!read) {
    this->Reject(*exchange, {}, kBadRequest, read.error().message);
    return;
  }
  ForwardJob job;
  job.fields = std::move(read.value());
  if (this->rejecting) {
    this->Reject(*exchange, job.fields, kUnavailable,
                 "this gateway is stopping");
    return;
  }
  if (this->table == nullptr) {
    this->Reject(*exchange, job.fields, kUnavailable,
                 "there is no configuration yet");
    return;
  }
  if (this->confirmation_age() > this->max_confirmation_age) {
    this->context.metrics.AddUnconfirmed();
  }
  job.table = this->table;
  job.route = this->table->Find(job.fields.host, exchange->Head().Path());
  if (job.route == nullptr) {
    this->RejectByTable(*exchange, job.fields, kNotFound, "no route matches");
    return;
  }
  job.tenant = this->table->FindTenant(job.fields.api_key);
  if (job.tenant == nullptr && this->table->NeedsKey(*job.route)) {
    this->RejectByTable(*exchange, job.fields, kUnauthorized,
                        job.fields.api_key.empty() ? "there is no API key"
                                                   : "the API key is unknown");
    return;
  }
  job.exchange = std::move(exchange);
  Forwarder::Start(this->context, std::move(job));
}

}  // namespace sycamorebend::gateway
