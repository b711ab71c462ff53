#include "control/duty_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "control/field_reader.h"

namespace sycamorebend {
namespace internal {

Result<Json::Value> DutyTable::Grant(const Json::Value& command,
                                     std::int64_t now_ms,
                                     std::uint64_t& fence) {
  FieldReader reader(command);
  const std::string duty = reader.Name("duty");
  DutyGrantRecord grant;
  grant.holder = reader.Name("holder");
  grant.session = reader.Name("session");
  const std::uint64_t previous_token = reader.Unsigned("previous_token");
  BOOST_OUTCOME_TRY(reader.Finish());
  const auto previous = this->grants.find(duty);
  const std::uint64_t newest =
      previous == this->grants.end() ? 0 : previous->second.token;
  if (newest != previous_token) {
    return MakeError(ResultCode::kVersionConflict,
                     fmt::format("the newest token of duty \"{}\" is {}, not "
                                 "{}",
                                 duty, newest, previous_token));
  }
  if (previous != this->grants.end()) {
    grant.earlier_holders = std::move(previous->second.earlier_holders);
    if (previous->second.holder != grant.holder) {
      grant.earlier_holders[previous->second.holder] = now_ms;
    }
    for (auto earlier = grant.earlier_holders.begin();
         earlier != grant.earlier_holders.end();) {
      earlier = now_ms - earlier->second > this->limits.earlier_holder_ms
                    ? grant.earlier_holders.erase(earlier)
                    : std::next(earlier);
    }
  }
  // At least the time, since the platform remembers the tokens of a deployment
  // whose replicas have all lost their disks and begin again with an empty log.
  fence = std::max(
      fence + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(now_ms, 0)));
  grant.token = fence;
  grant.since_ms = now_ms;
  this->grants[duty] = std::move(grant);
  Json::Value response;
  response["token"] = Json::UInt64(fence);
  return response;
}

Result<Json::Value> DutyTable::Release(const Json::Value& command) {
  FieldReader reader(command);
  const std::string duty = reader.Name("duty");
  const std::uint64_t token = reader.Unsigned("token");
  BOOST_OUTCOME_TRY(reader.Finish());
  const auto grant = this->grants.find(duty);
  const bool newest =
      grant != this->grants.end() && grant->second.token == token;
  if (newest) {
    grant->second.released = true;
  }
  Json::Value response;
  response["released"] = newest;
  return response;
}

Json::Value DutyTable::Save() const {
  Json::Value value(Json::objectValue);
  for (const auto& [duty, grant] : this->grants) {
    Json::Value& item = value[duty];
    item["holder"] = grant.holder;
    item["session"] = grant.session;
    item["token"] = Json::UInt64(grant.token);
    item["since_ms"] = Json::Int64(grant.since_ms);
    item["released"] = grant.released;
    for (const auto& [holder, until_ms] : grant.earlier_holders) {
      item["earlier_holders"][holder] = Json::Int64(until_ms);
    }
  }
  return value;
}

void DutyTable::Load(const Json::Value& value) {
  // Null in a snapshot of an earlier release.
  for (const std::string& duty : value.getMemberNames()) {
    const Json::Value& item = value[duty];
    DutyGrantRecord grant;
    grant.holder = item["holder"].asString();
    grant.session = item["session"].asString();
    grant.token = item["token"].asUInt64();
    grant.since_ms = item["since_ms"].asInt64();
    grant.released = item["released"].asBool();
    const Json::Value& earlier = item["earlier_holders"];
    for (const std::string& holder : earlier.getMemberNames()) {
      grant.earlier_holders[holder] = earlier[holder].asInt64();
    }
    this->grants[duty] = std::move(grant);
  }
}

}  // namespace internal
}  // namespace sycamorebend
