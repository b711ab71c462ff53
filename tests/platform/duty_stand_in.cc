#include "platform/duty_stand_in.h"

#include <strings.h>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"

namespace sycamorebend::platform {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

}  // namespace

std::string HeaderOf(const HttpRequest& request, const std::string& name) {
  for (const HttpHeader& header : request.headers) {
    if (strcasecmp(header.name.c_str(), name.c_str()) == 0) {
      return header.value;
    }
  }
  return {};
}

DutyStandIn::DutyStandIn() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  auto started = HttpServer::Start(options, *this);
  BOOST_REQUIRE(started);
  this->server = std::move(started.value());
}

DutyStandIn::~DutyStandIn() {
  this->server->Stop();
}

void DutyStandIn::Handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->Request();
  const Result<Json::Value> body = ParseJson(request.body);
  Call call;
  call.owner = HeaderOf(request, "X-Sycamorebend-Duty-Owner");
  call.token = std::strtoull(
      HeaderOf(request, "X-Sycamorebend-Fencing-Token").c_str(), nullptr, 10);
  std::unique_lock lock(this->mutex);
  if (request.method != "POST" || request.path != "/usage" || !body ||
      !body.value()["window_id"].isUInt64() ||
      !body.value()["counts"].isObject()) {
    this->violations.push_back("malformed: " + request.path + request.body);
    lock.unlock();
    exchange->Respond(kBadRequest, {}, {});
    return;
  }
  call.body = body.value();
  const auto owner = this->owners_by_token.emplace(call.token, call.owner);
  if (owner.first->second != call.owner) {
    this->violations.push_back(fmt::format("token {} is used by {} and {}",
                                           call.token, owner.first->second,
                                           call.owner));
  }
  if (this->silent) {
    this->kept.push_back(std::move(call));
    this->unanswered.push_back(std::move(exchange));
    return;
  }
  const int status = this->Execute(call);
  lock.unlock();
  exchange->Respond(status, {}, {});
}

int DutyStandIn::Execute(const Call& call) {
  if (call.token < this->highest_token) {
    return kConflict;
  }
  this->highest_token = call.token;
  const std::uint64_t window = call.body["window_id"].asUInt64();
  const auto known = this->windows.emplace(window, call.body["counts"]);
  if (known.first->second != call.body["counts"]) {
    this->violations.push_back(
        fmt::format("window {} has different counts", window));
  }
  ++this->accepted;
  this->last_owner = call.owner;
  return kOk;
}

void DutyStandIn::ExecuteLate() {
  std::lock_guard lock(this->mutex);
  for (const Call& call : this->kept) {
    this->Execute(call);
  }
  this->kept.clear();
}

std::uint64_t DutyStandIn::Reported(const std::string& customer) const {
  std::lock_guard lock(this->mutex);
  std::uint64_t sum = 0;
  for (const auto& [window, counts] : this->windows) {
    sum += counts[customer].asUInt64();
  }
  return sum;
}

std::size_t DutyStandIn::Accepted() const {
  std::lock_guard lock(this->mutex);
  return this->accepted;
}

std::string DutyStandIn::LastOwner() const {
  std::lock_guard lock(this->mutex);
  return this->last_owner;
}

std::size_t DutyStandIn::Kept() const {
  std::lock_guard lock(this->mutex);
  return this->kept.size();
}

std::vector<std::string> DutyStandIn::Violations() const {
  std::lock_guard lock(this->mutex);
  return this->violations;
}

}  // namespace sycamorebend::platform
