#include "entry/backend_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "entry/error_body.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr int kStatusOk = 200;
constexpr int kMaxSlots = 100000;
constexpr std::size_t kMaxIdBytes = 255;
constexpr Json::ArrayIndex kMaxListItems = 100000;

Error InvalidKey(const std::string& key, const std::string& accepted) {
  return MakeError(ResultCode::kMalformedRequest,
                   fmt::format("\"{}\" must be {}", key, accepted));
}

Result<Json::Value> ParseObject(const std::string& body) {
  BOOST_OUTCOME_TRY(value, ParseJson(body));
  if (!value.isObject()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "the body must be a JSON object");
  }
  return std::move(value);
}

// Reads a string of 1 to kMaxIdBytes bytes.
Status ReadId(const Json::Value& object,
              const std::string& key,
              std::string& value) {
  const Json::Value& found = object[key];
  if (!found.isString() || found.asString().empty() ||
      found.asString().size() > kMaxIdBytes) {
    return InvalidKey(key,
                      fmt::format("a string of 1 to {} bytes", kMaxIdBytes));
  }
  value = found.asString();
  return Success();
}

Status ReadIntegers(const Json::Value& object,
                    const std::string& key,
                    std::vector<int>& values) {
  const Json::Value& list = object[key];
  if (list.isNull()) {
    return Success();
  }
  if (!list.isArray() || list.size() > kMaxListItems) {
    return InvalidKey(key, "a list of whole numbers");
  }
  for (const Json::Value& item : list) {
    if (!item.isInt() || item.asInt() < 0) {
      return InvalidKey(key, "a list of non-negative whole numbers");
    }
    values.push_back(item.asInt());
  }
  return Success();
}

Status ReadStrings(const Json::Value& object,
                   const std::string& key,
                   std::vector<std::string>& values) {
  const Json::Value& list = object[key];
  if (list.isNull()) {
    return Success();
  }
  if (!list.isArray() || list.size() > kMaxListItems) {
    return InvalidKey(key, "a list of strings");
  }
  for (const Json::Value& item : list) {
    if (!item.isString()) {
      return InvalidKey(key, "a list of strings");
    }
    values.push_back(item.asString());
  }
  return Success();
}

// Reads "labels": an object of strings, or text such as "a=b,c=d".
Status ReadLabels(const Json::Value& object, Labels& labels) {
  const Json::Value& value = object["labels"];
  std::string text;
  if (value.isString()) {
    text = value.asString();
  } else if (value.isObject()) {
    Labels raw;
    for (const std::string& name : value.getMemberNames()) {
      if (!value[name].isString()) {
        return InvalidKey("labels", "an object of strings");
      }
      raw[name] = value[name].asString();
    }
    text = FormatLabels(raw);
  } else if (!value.isNull()) {
    return InvalidKey("labels", "an object of strings");
  }
  BOOST_OUTCOME_TRY(parsed, ParseLabels(text));
  labels = std::move(parsed);
  return Success();
}

Status ReadSequence(const Json::Value& object,
                    const std::string& key,
                    std::uint64_t& value) {
  if (!object[key].isUInt64() || object[key].asUInt64() == 0) {
    return InvalidKey(key, "a positive whole number");
  }
  value = object[key].asUInt64();
  return Success();
}

Status ReadCacheEvents(const Json::Value& object, ServerReport& report) {
  const Json::Value& batch = object["cache_events"];
  if (batch.isNull()) {
    return Success();
  }
  const std::string accepted =
      R"({"first_seq", "events": [{"op": "add" or "remove", "hash": "123"}]})";
  if (!batch.isObject() || !batch["events"].isArray() ||
      batch["events"].size() > kMaxListItems) {
    return InvalidKey("cache_events", accepted);
  }
  CacheEventBatch result;
  BOOST_OUTCOME_TRY(ReadSequence(batch, "first_seq", result.first_sequence));
  for (const Json::Value& item : batch["events"]) {
    if (!item.isObject() || !item["op"].isString() ||
        !item["hash"].isString()) {
      return InvalidKey("cache_events", accepted);
    }
    CacheEvent event;
    event.added = item["op"].asString() == "add";
    const std::string hash = item["hash"].asString();
    const char* const end = hash.data() + hash.size();
    const auto [stop, error] = std::from_chars(hash.data(), end, event.hash);
    if ((!event.added && item["op"].asString() != "remove") ||
        error != std::errc() || stop != end) {
      return InvalidKey("cache_events", accepted);
    }
    result.events.push_back(event);
  }
  report.cache_events = std::move(result);
  return Success();
}

void Reject(HttpExchange& exchange, const Error& error) {
  LogEvent(Severity::kWarning, Event::kReportRejected,
           {{"path", exchange.Request().path},
            {"code", static_cast<int>(error.code)},
            {"message", error.message}});
  RespondError(exchange, {error.code, error.message});
}

}  // namespace

Result<ServerAnnouncement> ParseAnnouncement(const std::string& body) {
  BOOST_OUTCOME_TRY(object, ParseObject(body));
  ServerAnnouncement result;
  BOOST_OUTCOME_TRY(ReadId(object, "server_id", result.server_id));
  BOOST_OUTCOME_TRY(ReadId(object, "incarnation", result.incarnation));
  BOOST_OUTCOME_TRY(ReadId(object, "address", result.address));
  if (!IsAddress(result.address)) {
    return InvalidKey("address", "an IPv4 address and port");
  }
  const Json::Value& kind = object["kind"];
  if (kind != "engine" && kind != "service") {
    return InvalidKey("kind", "\"engine\" or \"service\"");
  }
  result.kind = kind == "engine" ? ServerKind::kEngine : ServerKind::kService;
  BOOST_OUTCOME_TRY(ReadLabels(object, result.labels));
  if (object["failure_domain"].isString()) {
    result.failure_domain = object["failure_domain"].asString();
  }
  const Json::Value& slots = object["slots"];
  if (!slots.isInt() || slots.asInt() < 1 || slots.asInt() > kMaxSlots) {
    return InvalidKey("slots", fmt::format("a number from 1 to {}", kMaxSlots));
  }
  result.slots = slots.asInt();
  BOOST_OUTCOME_TRY(ReadStrings(object, "models", result.models));
  BOOST_OUTCOME_TRY(ReadStrings(object, "roles", result.roles));
  result.checks_fence =
      object["checks_fence"].isBool() && object["checks_fence"].asBool();
  return result;
}

Result<ServerReport> ParseReport(const std::string& body) {
  BOOST_OUTCOME_TRY(object, ParseObject(body));
  ServerReport result;
  BOOST_OUTCOME_TRY(ReadId(object, "server_id", result.server_id));
  BOOST_OUTCOME_TRY(ReadId(object, "incarnation", result.incarnation));
  BOOST_OUTCOME_TRY(ReadSequence(object, "seq", result.sequence));
  BOOST_OUTCOME_TRY(
      ReadIntegers(object, "running_by_tier", result.running_by_tier));
  BOOST_OUTCOME_TRY(
      ReadIntegers(object, "queued_by_tier", result.queued_by_tier));
  if (object["free_kv_tokens"].isInt64()) {
    result.free_kv_tokens = object["free_kv_tokens"].asInt64();
  }
  BOOST_OUTCOME_TRY(ReadCacheEvents(object, result));
  const Json::Value& state = object["state"];
  if (!state.isNull() && state != "serving" && state != "leaving") {
    return InvalidKey("state", "\"serving\" or \"leaving\"");
  }
  result.leaving = state == "leaving";
  return result;
}

BackendApi::BackendApi(BackendApiOptions options,
                       const SharedView& view,
                       RequestRouter& router,
                       ControlThread& control,
                       const Clock& clock)
    : options(std::move(options)),
      view(view),
      router(router),
      control(control),
      clock(clock) {}

void BackendApi::Handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->Request();
  if (request.method != "POST") {
    RespondError(*exchange, {ResultCode::kMethodNotAllowed, {}});
  } else if (request.path == "/backend/v1/announce") {
    this->Announce(exchange);
  } else if (request.path == "/backend/v1/report") {
    this->Report(exchange);
  } else if (request.path == "/backend/v1/leave") {
    this->Leave(exchange);
  } else {
    RespondError(*exchange, {ResultCode::kNotFound, {}});
  }
}

void BackendApi::Announce(const std::shared_ptr<HttpExchange>& exchange) {
  Result<ServerAnnouncement> parsed =
      ParseAnnouncement(exchange->Request().body);
  if (!parsed) {
    Reject(*exchange, parsed.error());
    return;
  }
  this->control.Post([this, exchange,
                      announcement = std::move(parsed.value())] {
    // A server that reports to other daemons only is not registered here. It
    // would stay registered without reports until its lease expires.
    const auto targets = this->ReportTargets(announcement);
    const bool reports_here = std::find(targets.begin(), targets.end(),
                                        this->options.address) != targets.end();
    if (reports_here) {
      const RegisteredServer* const known =
          this->router.Registry().Find(announcement.server_id);
      // Servers repeat their announcements; a repetition is logged at debug
      // level.
      const bool is_new = known == nullptr ||
                          known->state.incarnation != announcement.incarnation;
      const Status accepted =
          this->router.Registry().Announce(announcement, this->clock.Now());
      if (!accepted) {
        Reject(*exchange, accepted.error());
        return;
      }
      LogEvent(is_new ? Severity::kInfo : Severity::kDebug,
               Event::kServerAnnounced,
               {{"server_id", announcement.server_id},
                {"incarnation", announcement.incarnation},
                {"address", announcement.address},
                {"labels", FormatLabels(announcement.labels)}});
    }
    this->Accept(*exchange, announcement);
    this->router.RunScheduler();
  });
}

void BackendApi::Report(const std::shared_ptr<HttpExchange>& exchange) {
  Result<ServerReport> parsed = ParseReport(exchange->Request().body);
  if (!parsed) {
    Reject(*exchange, parsed.error());
    return;
  }
  this->control.Post([this, exchange, report = std::move(parsed.value())] {
    const Status accepted =
        this->router.Registry().Report(report, this->clock.Now());
    if (!accepted) {
      RespondError(*exchange,
                   {accepted.error().code, accepted.error().message});
      return;
    }
    this->Accept(*exchange,
                 this->router.Registry().Find(report.server_id)->announcement);
    this->router.RunScheduler();
  });
}

void BackendApi::Leave(const std::shared_ptr<HttpExchange>& exchange) {
  std::string server_id;
  std::string incarnation;
  const auto read = [&]() -> Status {
    BOOST_OUTCOME_TRY(object, ParseObject(exchange->Request().body));
    BOOST_OUTCOME_TRY(ReadId(object, "server_id", server_id));
    return ReadId(object, "incarnation", incarnation);
  };
  const Status parsed = read();
  if (!parsed) {
    Reject(*exchange, parsed.error());
    return;
  }
  this->control.Post([this, exchange, server_id, incarnation] {
    const Status leave_status =
        this->router.Registry().Leave(server_id, incarnation);
    if (!leave_status) {
      RespondError(*exchange,
                   {leave_status.error().code, leave_status.error().message});
      return;
    }
    LogEvent(Severity::kInfo, Event::kServerLeft, {{"server_id", server_id}});
    this->Accept(*exchange,
                 this->router.Registry().Find(server_id)->announcement);
    this->router.RunScheduler();
  });
}

std::vector<std::string> BackendApi::ReportTargets(
    const ServerAnnouncement& announcement) const {
  const SharedSnapshot snapshot = this->view.Current();
  std::vector<std::string> targets;
  if (snapshot.state) {
    targets = ChooseReportTargets(
        announcement.server_id, announcement.failure_domain,
        snapshot.state->entries, this->options.report_fanout);
  }
  if (targets.empty()) {
    // The list of entry daemons is not known yet; the server reports here until
    // it is.
    targets.push_back(this->options.address);
  }
  return targets;
}

void BackendApi::Accept(HttpExchange& exchange,
                        const ServerAnnouncement& announcement) const {
  Json::Value response;
  response["lease_ms"] = static_cast<Json::Int64>(ToMilliseconds(kServerLease));
  response["report_interval_ms"] =
      static_cast<Json::Int64>(ToMilliseconds(kServerReportInterval));
  response["report_to"] = Json::Value(Json::arrayValue);
  for (const std::string& target : this->ReportTargets(announcement)) {
    response["report_to"].append(target);
  }
  exchange.Respond(kStatusOk, {{"Content-Type", "application/json"}},
                   WriteJson(response));
}

}  // namespace sycamorebend::entry
