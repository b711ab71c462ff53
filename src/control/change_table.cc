#include "control/change_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "control/record_codec.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

constexpr std::size_t kTimeDigits = 13;
// Limit on how far the creation time of a change ID may be ahead of the
// leader's clock. Evicting an ID from further in the future would set
// evicted_until_ms ahead of the clock, and valid IDs would be rejected as
// expired.
constexpr std::int64_t kMaxFutureSkewMs = 3600LL * 1000;

}  // namespace

std::optional<std::int64_t> ChangeIdTime(const std::string& change_id) {
  if (change_id.size() <= kTimeDigits || change_id[kTimeDigits] != '-') {
    return std::nullopt;
  }
  std::int64_t time_ms = 0;
  for (std::size_t i = 0; i < kTimeDigits; ++i) {
    if (change_id[i] < '0' || change_id[i] > '9') {
      return std::nullopt;
    }
    time_ms = time_ms * 10 + (change_id[i] - '0');
  }
  return time_ms;
}

Result<Json::Value> ChangeTable::Find(const std::string& change_id,
                                      const std::string& digest,
                                      std::int64_t now_ms) const {
  const auto found = this->changes.find(change_id);
  if (found != this->changes.end()) {
    if (found->second.digest != digest) {
      return MakeError(
          ResultCode::kChangeIdReused,
          fmt::format("change ID \"{}\" was used with a different change",
                      change_id));
    }
    return ParseJson(found->second.result);
  }
  const std::optional<std::int64_t> created_ms = ChangeIdTime(change_id);
  if (created_ms && *created_ms <= this->evicted_until_ms) {
    return MakeError(
        ResultCode::kChangeIdExpired,
        fmt::format("change ID \"{}\" is older than the changes that are kept",
                    change_id));
  }
  if (created_ms && *created_ms > now_ms + kMaxFutureSkewMs) {
    return MakeError(
        ResultCode::kMalformedRequest,
        fmt::format("the time in change ID \"{}\" is more than an hour ahead "
                    "of the leader's clock",
                    change_id));
  }
  return Json::Value();
}

void ChangeTable::Add(const std::string& change_id,
                      const std::string& digest,
                      const Json::Value& result,
                      std::int64_t now_ms) {
  this->changes[change_id] = {digest, WriteJson(result), now_ms};
  this->oldest_first.push_back(change_id);
  while (this->changes.size() > this->limits.change_ids) {
    this->EvictOldest();
  }
}

void ChangeTable::Expire(std::int64_t now_ms) {
  while (!this->oldest_first.empty() &&
         this->changes[this->oldest_first.front()].time_ms +
                 this->limits.change_id_retention_ms <
             now_ms) {
    this->EvictOldest();
  }
}

void ChangeTable::EvictOldest() {
  const std::string& change_id = this->oldest_first.front();
  // Use the time in the ID if the client's clock was ahead of the leader's.
  const std::int64_t time_ms = std::max(this->changes[change_id].time_ms,
                                        ChangeIdTime(change_id).value_or(0));
  this->evicted_until_ms = std::max(this->evicted_until_ms, time_ms);
  this->changes.erase(change_id);
  this->oldest_first.pop_front();
}

void ChangeTable::Save(const RecordSink& write) const {
  std::string bytes;
  for (const std::string& change_id : this->oldest_first) {
    const Change& change = this->changes.at(change_id);
    bytes.clear();
    RecordWriter record(bytes);
    record.Text(change_id);
    record.Text(change.digest);
    record.Text(change.result);
    record.Number(static_cast<std::uint64_t>(change.time_ms));
    write(bytes);
  }
}

Json::Value ChangeTable::SaveHeader() const {
  return Json::Int64(this->evicted_until_ms);
}

void ChangeTable::LoadHeader(const Json::Value& header) {
  this->evicted_until_ms = header.asInt64();
}

bool ChangeTable::Load(std::string_view record) {
  RecordReader reader(record);
  const std::string change_id(reader.Text());
  Change change;
  change.digest = reader.Text();
  change.result = reader.Text();
  change.time_ms = reader.Signed();
  if (reader.Failed() || !reader.AtEnd()) {
    return false;
  }
  this->changes[change_id] = std::move(change);
  this->oldest_first.push_back(change_id);
  return true;
}

}  // namespace internal
}  // namespace sycamorebend
