#include "fakes/plain_service.h"

#include <unistd.h>

#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kCrashExitStatus = 70;
constexpr Duration kStopTimeout = seconds(60);

const std::vector<std::string>& FaultPoints() {
  static const std::vector<std::string> kFaultPoints = {"never", "before",
                                                        "after"};
  return kFaultPoints;
}

Json::Value CountsJson(const std::map<std::string, int>& counts) {
  Json::Value value(Json::objectValue);
  for (const auto& [name, count] : counts) {
    value[name] = count;
  }
  return value;
}

}  // namespace

PlainServiceOptions ReadServiceOptions(SettingsObject& settings) {
  PlainServiceOptions options;
  options.identity = ReadIdentity(settings);
  options.slots = static_cast<int>(settings.GetInteger("slots", 1, 100000, 64));
  return options;
}

PlainService::PlainService(const PlainServiceOptions& options)
    : options(options), thread(clock) {}

PlainService::~PlainService() {
  this->thread.Stop();
  this->announcer.reset();
  if (this->server != nullptr) {
    this->server->Stop();
  }
}

Status PlainService::Start() {
  HttpServerOptions server_options;
  server_options.address = this->options.identity.address;
  BOOST_OUTCOME_TRY(started, HttpServer::Start(server_options, *this));
  this->server = std::move(started);
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", this->server->Address()}});
  Announcer::Options announcer_options;
  announcer_options.server_id = this->options.identity.server_id;
  announcer_options.incarnation = RandomId();
  announcer_options.entry_addresses = this->options.identity.entry_addresses;
  announcer_options.describe = [this] { return this->Describe(); };
  announcer_options.report = [this](std::uint64_t /*first*/,
                                    std::uint64_t* /*next*/) {
    return this->Report();
  };
  this->announcer =
      std::make_unique<Announcer>(this->clock, std::move(announcer_options));
  return Success();
}

void PlainService::StopGracefully() {
  this->announcer->Leave();
  if (!this->options.identity.entry_addresses.empty()) {
    // Entry daemons may still send requests until they know that this server is
    // leaving.
    std::this_thread::sleep_for(seconds(3));
  }
  this->server->StopAccepting();
  WaitForExchanges(*this->server, kStopTimeout);
}

void PlainService::Handle(std::shared_ptr<HttpExchange> exchange) {
  const std::string& path = exchange->Request().path;
  if (path == "/healthz" || path == "/readyz") {
    exchange->Respond(kStatusOk, {}, "ok\n");
    return;
  }
  if (path == "/fake/stats") {
    RespondJson(*exchange, kStatusOk, this->Stats());
    return;
  }
  if (path == "/fake/behaviour") {
    this->SetBehaviour(exchange);
    return;
  }
  Behaviour current;
  {
    std::lock_guard lock(this->mutex);
    current = this->behaviour;
    ++this->received;
    ++this->running;
  }
  if (current.delay == Duration(0)) {
    this->Execute(exchange, current);
    return;
  }
  this->thread.SubscribeOnce(
      this->clock.Now() + current.delay,
      [this, exchange, current] { this->Execute(exchange, current); });
}

void PlainService::Execute(const std::shared_ptr<HttpExchange>& exchange,
                           const Behaviour& current) {
  if (current.crash == "before") {
    _exit(kCrashExitStatus);
  }
  const HttpRequest& request = exchange->Request();
  const auto key = FindHeader(request.headers, "Idempotency-Key");
  const std::string digest = Sha256Hex(request.body);
  Json::Value response(Json::objectValue);
  {
    std::lock_guard lock(this->mutex);
    --this->running;
    if (current.silence == "before") {
      this->silent_exchanges.push_back(exchange);
      return;
    }
    ++this->executions;
    ++this->runs_by_body[digest];
    response["execution"] = key ? ++this->runs_by_key[*key] : 0;
    if (current.silence == "after") {
      this->silent_exchanges.push_back(exchange);
      return;
    }
  }
  if (current.crash == "after") {
    _exit(kCrashExitStatus);
  }
  response["server_id"] = this->options.identity.server_id;
  response["method"] = request.method;
  response["target"] = request.target;
  response["body_sha256"] = digest;
  RespondJson(*exchange, kStatusOk, response);
}

void PlainService::SetBehaviour(const std::shared_ptr<HttpExchange>& exchange) {
  auto settings = SettingsObject::Parse(exchange->Request().body, "behaviour");
  Status finished = Success();
  if (settings) {
    SettingsObject& values = settings.value();
    std::lock_guard lock(this->mutex);
    Behaviour changed = this->behaviour;
    changed.delay = values.GetMilliseconds(
        "delay_ms", milliseconds(0), milliseconds(3600000),
        milliseconds(ToMilliseconds(changed.delay)));
    changed.crash = values.GetChoice("crash", FaultPoints(), changed.crash);
    changed.silence =
        values.GetChoice("silence", FaultPoints(), changed.silence);
    finished = values.Finish();
    if (finished) {
      this->behaviour = changed;
    }
  } else {
    finished = settings.error();
  }
  Json::Value response(Json::objectValue);
  if (!finished) {
    response["error"] = finished.error().message;
  }
  RespondJson(*exchange, finished ? kStatusOk : kStatusBadRequest, response);
}

Json::Value PlainService::Stats() {
  std::lock_guard lock(this->mutex);
  Json::Value stats(Json::objectValue);
  stats["received"] = static_cast<Json::UInt64>(this->received);
  stats["executions"] = static_cast<Json::UInt64>(this->executions);
  stats["running"] = this->running;
  stats["runs_by_key"] = CountsJson(this->runs_by_key);
  stats["runs_by_body"] = CountsJson(this->runs_by_body);
  return stats;
}

Json::Value PlainService::Describe() const {
  Json::Value body(Json::objectValue);
  body["address"] = this->server->Address();
  body["kind"] = "service";
  body["labels"] = LabelsJson(this->options.identity.labels);
  body["failure_domain"] = this->options.identity.failure_domain;
  body["slots"] = this->options.slots;
  body["models"] = Json::Value(Json::arrayValue);
  body["roles"] = Json::Value(Json::arrayValue);
  body["checks_fence"] = false;
  return body;
}

Json::Value PlainService::Report() {
  std::lock_guard lock(this->mutex);
  Json::Value body(Json::objectValue);
  body["running_by_tier"] = Json::Value(Json::arrayValue);
  body["running_by_tier"].append(this->running);
  body["queued_by_tier"] = Json::Value(Json::arrayValue);
  body["queued_by_tier"].append(0);
  body["free_kv_tokens"] = 0;
  body["cache_events"]["first_seq"] = 1;
  body["cache_events"]["events"] = Json::Value(Json::arrayValue);
  return body;
}

}  // namespace sycamorebend
