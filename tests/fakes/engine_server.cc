#include "fakes/engine_server.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusBadGateway = 502;
constexpr int kCrashExitStatus = 70;
constexpr Duration kStopTimeout = seconds(60);
constexpr Duration kMaxIdleWait = seconds(1);
constexpr Duration kStopPollPeriod = milliseconds(10);
constexpr std::string_view kStreamPath = "/v1/streams/";

void Crash() {
  // Exits without running destructors, as in a crash.
  _exit(kCrashExitStatus);
}

Json::Value ErrorBody(ResultCode code, const std::string& message) {
  Json::Value body(Json::objectValue);
  body["error"]["code"] = static_cast<int>(code);
  body["error"]["message"] = message;
  return body;
}

int IntegerHeader(const HttpRequest& request, std::string_view name) {
  const auto header = FindHeader(request.headers, name);
  return header ? std::atoi(header->c_str()) : 0;
}

Json::Value StringsJson(const std::vector<std::string>& strings) {
  Json::Value value(Json::arrayValue);
  for (const std::string& text : strings) {
    value.append(text);
  }
  return value;
}

}  // namespace

EngineServerOptions ReadEngineOptions(SettingsObject& settings) {
  EngineServerOptions options;
  EngineOptions& engine = options.engine;
  options.identity = ReadIdentity(settings);
  options.models = settings.GetStringList("models");
  options.roles =
      settings.GetStringList("roles", std::vector<std::string>{"mixed"});
  options.checks_fence = settings.GetBool("checks_fence", true);
  options.http_threads =
      static_cast<int>(settings.GetInteger("http_threads", 1, 64, 2));
  options.weight_store = settings.Has("weight_store")
                             ? settings.GetAddress("weight_store")
                             : std::string();
  options.weight_bytes =
      settings.GetInteger("weight_bytes", 0, std::int64_t{1} << 40, 1 << 20);
  engine.slots = static_cast<int>(settings.GetInteger("slots", 1, 100000, 8));
  engine.token_delay =
      microseconds(settings.GetInteger("token_delay_us", 0, 60000000, 10000));
  engine.prefill_delay_per_block =
      microseconds(settings.GetInteger("prefill_block_us", 0, 60000000, 1000));
  engine.cache_blocks =
      static_cast<int>(settings.GetInteger("cache_blocks", 1, 1000000, 1024));
  engine.cache_event_delay =
      settings.GetMilliseconds("cache_event_delay_ms", milliseconds(0),
                               milliseconds(60000), milliseconds(200));
  engine.cache_event_drop_every = static_cast<int>(
      settings.GetInteger("cache_event_drop_every", 0, 1000000, 0));
  engine.report_lag = settings.GetMilliseconds(
      "report_lag_ms", milliseconds(0), milliseconds(60000), milliseconds(0));
  engine.kv_tokens =
      settings.GetInteger("kv_tokens", 1, std::int64_t{1} << 40, 100000);
  return options;
}

EngineServer::EngineServer(const EngineServerOptions& options)
    : options(options),
      core(options.engine, Crash),
      models(options.models.begin(), options.models.end()),
      roles(options.roles),
      client(HttpClient::Create(1)) {}

EngineServer::~EngineServer() {
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  this->announcer.reset();
  if (this->server != nullptr) {
    this->server->Stop();
  }
}

Status EngineServer::Start() {
  HttpServerOptions server_options;
  server_options.address = this->options.identity.address;
  server_options.threads = this->options.http_threads;
  BOOST_OUTCOME_TRY(started, HttpServer::Start(server_options, *this));
  this->server = std::move(started);
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", this->server->Address()}});
  this->thread = std::thread([this] { this->Run(); });
  Announcer::Options announcer_options;
  announcer_options.server_id = this->options.identity.server_id;
  announcer_options.incarnation = RandomId();
  announcer_options.entry_addresses = this->options.identity.entry_addresses;
  announcer_options.describe = [this] { return this->Describe(); };
  announcer_options.report = [this](std::uint64_t first, std::uint64_t* next) {
    return this->Report(first, next);
  };
  this->announcer =
      std::make_unique<Announcer>(this->clock, std::move(announcer_options));
  return Success();
}

void EngineServer::StopGracefully() {
  {
    std::lock_guard lock(this->mutex);
    this->leaving = true;
  }
  this->announcer->Leave();
  // Entry daemons may still send requests until they know that this server is
  // leaving.
  const TimePoint earliest = this->clock.Now() + seconds(3);
  const TimePoint latest = this->clock.Now() + kStopTimeout;
  while (this->clock.Now() < latest) {
    std::this_thread::sleep_for(kStopPollPeriod);
    std::lock_guard lock(this->mutex);
    if (this->core.Idle() && (this->clock.Now() >= earliest ||
                              this->options.identity.entry_addresses.empty())) {
      break;
    }
  }
  this->server->StopAccepting();
  WaitForExchanges(*this->server, seconds(2));
}

void EngineServer::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    const TimePoint now = this->clock.Now();
    const TimePoint next = this->core.Advance(now);
    this->wake.wait_until(lock, std::min(next, now + kMaxIdleWait));
  }
}

void EngineServer::Handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->Request();
  if (request.method == "POST" && request.path == "/v1/chat/completions") {
    this->HandleCompletion(exchange, true);
  } else if (request.method == "POST" && request.path == "/v1/completions") {
    this->HandleCompletion(exchange, false);
  } else if (request.path.compare(0, kStreamPath.size(), kStreamPath) == 0) {
    this->HandleStream(exchange);
  } else if (request.method == "POST" && request.path == "/admin/orders") {
    this->HandleEngineOrder(exchange);
  } else if (!this->HandleOtherPaths(exchange)) {
    RespondJson(*exchange, kStatusNotFound,
                ErrorBody(ResultCode::kNotFound, request.path));
  }
}

bool EngineServer::HandleOtherPaths(
    const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  if (request.path == "/healthz" || request.path == "/readyz") {
    exchange->Respond(kStatusOk, {}, "ok\n");
  } else if (request.path == "/v1/models") {
    Json::Value body(Json::objectValue);
    body["object"] = "list";
    std::lock_guard lock(this->mutex);
    body["data"] = Json::Value(Json::arrayValue);
    for (const std::string& model : this->models) {
      Json::Value item(Json::objectValue);
      item["id"] = model;
      item["object"] = "model";
      body["data"].append(std::move(item));
    }
    RespondJson(*exchange, kStatusOk, body);
  } else if (request.path == "/kv/export") {
    Json::Value body(Json::objectValue);
    std::lock_guard lock(this->mutex);
    body["hashes"] = this->core.ExportCache();
    RespondJson(*exchange, kStatusOk, body);
  } else if (request.path == "/kv/import") {
    this->ImportCache(exchange);
  } else if (request.path == "/fake/stats") {
    RespondJson(*exchange, kStatusOk, this->Stats());
  } else if (request.path == "/fake/behaviour") {
    this->SetBehaviour(exchange);
  } else {
    return false;
  }
  return true;
}

void EngineServer::ImportCache(const std::shared_ptr<HttpExchange>& exchange) {
  const auto body = ParseJson(exchange->Request().body);
  if (!body || !body.value().isObject() || !body.value()["hashes"].isArray()) {
    RespondJson(*exchange, kStatusBadRequest,
                ErrorBody(ResultCode::kMalformedRequest,
                          "\"hashes\" must be an array"));
    return;
  }
  std::lock_guard lock(this->mutex);
  this->core.ImportCache(body.value()["hashes"], this->clock.Now());
  RespondJson(*exchange, kStatusOk, Json::Value(Json::objectValue));
}

void EngineServer::HandleCompletion(
    const std::shared_ptr<HttpExchange>& exchange,
    bool chat) {
  const HttpRequest& request = exchange->Request();
  const auto completion = ParseCompletion(chat, request.body);
  if (!completion) {
    RespondJson(*exchange, kStatusBadRequest,
                ErrorBody(completion.error().code, completion.error().message));
    return;
  }
  std::lock_guard lock(this->mutex);
  if (this->models.count(completion.value().model) == 0) {
    RespondJson(
        *exchange, kStatusNotFound,
        ErrorBody(ResultCode::kUnknownModel,
                  "model \"" + completion.value().model + "\" is not loaded"));
    return;
  }
  const auto request_id = FindHeader(request.headers, "X-Request-Id");
  if (this->leaving) {
    ++this->started_after_leave;
  }
  this->core.Submit(
      request_id ? *request_id
                 : "anonymous-" + std::to_string(this->next_anonymous_id++),
      IntegerHeader(request, "X-Priority"), completion.value(), exchange,
      this->clock.Now());
  this->wake.notify_one();
}

void EngineServer::HandleStream(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  const std::string id = request.path.substr(kStreamPath.size());
  std::lock_guard lock(this->mutex);
  bool known = false;
  if (request.method == "DELETE") {
    known = this->core.Cancel(id);
    if (known) {
      RespondJson(*exchange, kStatusOk, Json::Value(Json::objectValue));
    }
  } else if (request.method == "GET") {
    const auto offset = FindHeader(request.query, "offset");
    known = this->core.Resume(id, offset ? std::atoi(offset->c_str()) : 0,
                              exchange);
  }
  if (!known) {
    RespondJson(*exchange, kStatusNotFound,
                ErrorBody(ResultCode::kNotFound, "unknown stream " + id));
  }
  this->wake.notify_one();
}

void EngineServer::HandleEngineOrder(
    const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->Request();
  const auto body = ParseJson(request.body);
  if (!body || !body.value().isObject() || !body.value()["action"].isString()) {
    RespondJson(*exchange, kStatusBadRequest,
                ErrorBody(ResultCode::kMalformedRequest,
                          "\"action\" must be a string"));
    return;
  }
  const Json::Value& order = body.value();
  std::int64_t fence = IntegerHeader(request, "X-Fence");
  if (order["fence"].isInt64()) {
    fence = order["fence"].asInt64();
  }
  {
    std::lock_guard lock(this->mutex);
    if (this->options.checks_fence && fence < this->highest_fence) {
      ++this->orders_refused;
      RespondJson(*exchange, kStatusConflict,
                  ErrorBody(ResultCode::kFenceTooOld,
                            "the highest fencing token seen is " +
                                std::to_string(this->highest_fence)));
      return;
    }
    this->highest_fence = std::max(this->highest_fence, fence);
    ++this->orders_applied;
  }
  this->ApplyEngineOrder(exchange, order);
}

void EngineServer::ApplyEngineOrder(
    const std::shared_ptr<HttpExchange>& exchange,
    const Json::Value& order) {
  const std::string action = order["action"].asString();
  const std::string model = order["model"].asString();
  if (action == "load_model") {
    this->LoadWeights(exchange, model);
  } else if (action == "load_adapter") {
    this->LoadWeights(exchange, model + ":" + order["adapter"].asString());
  } else if (action == "load_version") {
    this->LoadWeights(exchange, model + "@" + order["version"].asString());
  } else if (action == "unload_model" || action == "set_role") {
    {
      std::lock_guard lock(this->mutex);
      if (action == "set_role") {
        this->roles = {order["role"].asString()};
      } else {
        this->models.erase(model);
      }
    }
    this->announcer->AnnounceNow();
    RespondJson(*exchange, kStatusOk, this->Describe());
  } else {
    RespondJson(*exchange, kStatusBadRequest,
                ErrorBody(ResultCode::kMalformedRequest,
                          "action \"" + action +
                              "\" is none of load_model, load_adapter, "
                              "load_version, unload_model, set_role"));
  }
}

void EngineServer::LoadWeights(const std::shared_ptr<HttpExchange>& exchange,
                               const std::string& name) {
  if (this->options.weight_store.empty()) {
    this->FinishLoad(name);
    RespondJson(*exchange, kStatusOk, this->Describe());
    return;
  }
  class Download : public HttpObserver {
   public:
    explicit Download(std::function<void(bool)> done) : done(std::move(done)) {}
    void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
    void OnData(std::string_view /*data*/) override {}
    void OnDone(const HttpOutcome& outcome) override {
      this->done(outcome.code == ResultCode::kOk &&
                 outcome.status == kStatusOk);
    }

   private:
    const std::function<void(bool)> done;
  };
  HttpCall call;
  call.url = "http://" + this->options.weight_store + "/weights/" + name +
             "?bytes=" + std::to_string(this->options.weight_bytes);
  this->client->Start(
      std::move(call),
      std::make_shared<Download>([this, exchange, name](bool loaded) {
        if (!loaded) {
          RespondJson(
              *exchange, kStatusBadGateway,
              ErrorBody(ResultCode::kServerError,
                        "the download from the weight store failed: " + name));
          return;
        }
        this->FinishLoad(name);
        RespondJson(*exchange, kStatusOk, this->Describe());
      }));
}

void EngineServer::FinishLoad(const std::string& name) {
  {
    std::lock_guard lock(this->mutex);
    this->models.insert(name);
  }
  this->announcer->AnnounceNow();
}

void EngineServer::SetBehaviour(const std::shared_ptr<HttpExchange>& exchange) {
  const auto body = ParseJson(exchange->Request().body);
  auto settings = SettingsObject::Parse(exchange->Request().body, "behaviour");
  if (!body || !settings) {
    RespondJson(*exchange, kStatusBadRequest,
                ErrorBody(ResultCode::kMalformedRequest,
                          "the body must be a JSON object"));
    return;
  }
  SettingsObject& values = settings.value();
  std::unique_lock lock(this->mutex);
  EngineBehaviour changed = this->core.Behaviour();
  changed.slow_factor =
      values.GetNumber("slow_factor", 0.001, 1e6, changed.slow_factor);
  changed.crash_on_marker =
      values.GetString("crash_on_marker", changed.crash_on_marker);
  changed.crash_after_tokens = static_cast<int>(values.GetInteger(
      "crash_after_tokens", 0, 1000000, changed.crash_after_tokens));
  changed.silent_after_tokens = static_cast<int>(values.GetInteger(
      "silent_after_tokens", 0, 1000000, changed.silent_after_tokens));
  changed.silent_streams = static_cast<int>(
      values.GetInteger("silent_streams", -1, 1000000, changed.silent_streams));
  const bool crash_now = values.GetBool("crash_now", false);
  const bool refuse = values.GetBool("refuse_connections", false);
  const bool leave = values.GetBool("leave", false);
  const bool silent = values.GetBool("stop_reports", false);
  const Status finished = values.Finish();
  if (!finished) {
    RespondJson(
        *exchange, kStatusBadRequest,
        ErrorBody(ResultCode::kMalformedRequest, finished.error().message));
    return;
  }
  this->core.SetBehaviour(changed);
  this->leaving = this->leaving || leave;
  lock.unlock();
  if (crash_now) {
    Crash();
  }
  if (values.Has("stop_reports")) {
    this->announcer->SetSilent(silent);
  }
  if (leave) {
    this->announcer->Leave();
  }
  RespondJson(*exchange, kStatusOk, Json::Value(Json::objectValue));
  if (refuse) {
    this->server->StopAccepting();
  }
}

Json::Value EngineServer::Describe() {
  std::lock_guard lock(this->mutex);
  Json::Value body(Json::objectValue);
  body["address"] = this->server->Address();
  body["kind"] = "engine";
  body["labels"] = LabelsJson(this->options.identity.labels);
  body["failure_domain"] = this->options.identity.failure_domain;
  body["slots"] = this->options.engine.slots;
  body["models"] = StringsJson({this->models.begin(), this->models.end()});
  body["checks_fence"] = this->options.checks_fence;
  body["roles"] = StringsJson(this->roles);
  return body;
}

Json::Value EngineServer::Report(std::uint64_t first_seq,
                                 std::uint64_t* next_seq) {
  std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  Json::Value body = this->core.LoadReport(now);
  body["cache_events"] = this->core.CacheEvents(first_seq, now, next_seq);
  return body;
}

Json::Value EngineServer::Stats() {
  std::lock_guard lock(this->mutex);
  Json::Value stats = this->core.Stats();
  stats["started_after_leave"] =
      static_cast<Json::UInt64>(this->started_after_leave);
  stats["orders_applied"] = static_cast<Json::UInt64>(this->orders_applied);
  stats["orders_refused"] = static_cast<Json::UInt64>(this->orders_refused);
  stats["highest_fence"] = static_cast<Json::Int64>(this->highest_fence);
  stats["models"] = StringsJson({this->models.begin(), this->models.end()});
  stats["roles"] = StringsJson(this->roles);
  return stats;
}

}  // namespace sycamorebend
