#include "fakes/weight_store.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace sycamorebend {

namespace {

constexpr Duration kSendPeriod = milliseconds(20);
constexpr std::int64_t kPeriodsPerSecond = seconds(1) / kSendPeriod;
constexpr std::int64_t kDefaultBytes = 1 << 20;
constexpr Duration kStopTimeout = seconds(60);
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr std::string_view kWeightsPath = "/weights/";

}  // namespace

WeightStoreOptions ReadWeightStoreOptions(SettingsObject& settings) {
  WeightStoreOptions options;
  options.address = settings.GetAddress("address");
  options.bytes_per_second = settings.GetInteger(
      "bytes_per_second", kPeriodsPerSecond, std::int64_t{1} << 40, 100 << 20);
  return options;
}

WeightStore::WeightStore(const WeightStoreOptions& options)
    : options(options), thread(clock) {}

WeightStore::~WeightStore() {
  this->thread.Stop();
  if (this->server != nullptr) {
    this->server->Stop();
  }
}

Status WeightStore::Start() {
  HttpServerOptions server_options;
  server_options.address = this->options.address;
  BOOST_OUTCOME_TRY(started, HttpServer::Start(server_options, *this));
  this->server = std::move(started);
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", this->server->Address()}});
  this->thread.SubscribePeriodic(kSendPeriod, [this] { this->SendDueBytes(); });
  return Success();
}

void WeightStore::StopGracefully() {
  this->server->StopAccepting();
  WaitForExchanges(*this->server, kStopTimeout);
}

void WeightStore::Handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->Request();
  std::lock_guard lock(this->mutex);
  if (request.path == "/healthz" || request.path == "/readyz") {
    exchange->Respond(kStatusOk, {}, "ok\n");
  } else if (request.path == "/fake/stats") {
    Json::Value stats(Json::objectValue);
    stats["finished"] = static_cast<Json::UInt64>(this->finished);
    stats["open"] = static_cast<Json::UInt64>(this->downloads.size());
    RespondJson(*exchange, kStatusOk, stats);
  } else if (request.path.compare(0, kWeightsPath.size(), kWeightsPath) == 0) {
    const auto bytes = FindHeader(request.query, "bytes");
    exchange->StartStream(kStatusOk,
                          {{"Content-Type", "application/octet-stream"}});
    this->downloads.push_back(
        {exchange, bytes ? std::atoll(bytes->c_str()) : kDefaultBytes});
  } else {
    exchange->Respond(kStatusNotFound, {}, "");
  }
}

void WeightStore::SendDueBytes() {
  std::lock_guard lock(this->mutex);
  if (this->downloads.empty()) {
    return;
  }
  const std::int64_t share = std::max<std::int64_t>(
      1, this->options.bytes_per_second / kPeriodsPerSecond /
             static_cast<std::int64_t>(this->downloads.size()));
  for (auto item = this->downloads.begin(); item != this->downloads.end();) {
    const std::int64_t count = std::min(share, item->remaining_bytes);
    item->exchange->Write(std::string(static_cast<std::size_t>(count), 'w'));
    item->remaining_bytes -= count;
    if (item->remaining_bytes > 0) {
      ++item;
      continue;
    }
    item->exchange->FinishStream();
    ++this->finished;
    item = this->downloads.erase(item);
  }
}

}  // namespace sycamorebend
