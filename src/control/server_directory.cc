#include "control/server_directory.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>

#include "control/field_reader.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr std::uint64_t kMaxSlots = 1U << 20U;
constexpr const char* kAcceptedNames =
    "1 to 256 bytes of UTF-8 without control characters";

// Each announcement states the remaining time again, and is delayed by some
// time. Differences up to this are no change, so that they need no log entry.
constexpr std::int64_t kLeaveTimeToleranceMs = 1000;

}  // namespace

bool SameAnnouncement(const ServerRecord& a, const ServerRecord& b) {
  return a.server_id == b.server_id && a.incarnation == b.incarnation &&
         a.service == b.service && a.address == b.address &&
         a.failure_domain == b.failure_domain && a.slots == b.slots &&
         a.leaving == b.leaving && a.silent == b.silent &&
         a.reclaimable == b.reclaimable &&
         std::abs(a.leaves_at_ms - b.leaves_at_ms) <= kLeaveTimeToleranceMs;
}

Json::Value ServerRecordToJson(const ServerRecord& record) {
  Json::Value value;
  value["server_id"] = record.server_id;
  value["incarnation"] = Json::UInt64(record.incarnation);
  value["sequence"] = Json::UInt64(record.sequence);
  value["service"] = record.service;
  value["address"] = record.address;
  value["failure_domain"] = record.failure_domain;
  value["slots"] = record.slots;
  value["leaving"] = record.leaving;
  value["silent"] = record.silent;
  // Absent in records of servers to which they do not apply, as in those of
  // earlier releases.
  if (record.reclaimable) {
    value["reclaimable"] = true;
  }
  if (record.leaves_at_ms > 0) {
    value["leaves_at_ms"] = Json::Int64(record.leaves_at_ms);
  }
  return value;
}

Result<ServerRecord> ServerRecordFromJson(const Json::Value& value) {
  internal::FieldReader reader(value);
  ServerRecord record;
  record.server_id = reader.Name("server_id");
  record.incarnation = reader.Unsigned("incarnation");
  record.sequence = reader.Unsigned("sequence");
  record.service = reader.Name("service");
  record.address = reader.Name("address");
  record.failure_domain = reader.OptionalString("failure_domain");
  const std::uint64_t slots = reader.Unsigned("slots");
  record.leaving = reader.OptionalBool("leaving");
  record.silent = reader.OptionalBool("silent");
  if (value.isObject()) {
    // An odd value of these must not make a server unknown.
    record.reclaimable = value["reclaimable"] == Json::Value(true);
    const Json::Value& leaves_at = value["leaves_at_ms"];
    record.leaves_at_ms =
        leaves_at.isUInt64() && leaves_at.isInt64() ? leaves_at.asInt64() : 0;
  }
  if (slots == 0 || slots > kMaxSlots) {
    reader.Reject("slots", "a number from 1 to 1048576");
  }
  record.slots = static_cast<int>(slots);
  BOOST_OUTCOME_TRY(reader.Finish());
  return record;
}

Status CheckAnnouncement(const ServerRecord& record) {
  const Json::Value value = ServerRecordToJson(record);
  BOOST_OUTCOME_TRYV(ServerRecordFromJson(value));
  internal::FieldReader reader(value);
  // The ID is sent in headers, and a name is compared as text; one that another
  // process reads differently names no server.
  for (const char* key : {"server_id", "service", "failure_domain"}) {
    if (!IsName(value[key].asString())) {
      reader.Reject(key, kAcceptedNames);
    }
  }
  if (!IsAddress(record.address)) {
    reader.Reject("address", "\"IP:port\" with an IPv4 address");
  }
  return reader.Finish();
}

Status CheckServerId(const std::string& server_id) {
  if (IsName(server_id)) {
    return Success();
  }
  return MakeError(ResultCode::kMalformedRequest,
                   std::string("\"server_id\" must be ") + kAcceptedNames);
}

namespace internal {

namespace {

// Longest delay, for instance by a network partition, with which an
// announcement may arrive after its sender has left.
constexpr std::int64_t kTombstoneRetentionMs = 10LL * 60 * 1000;

}  // namespace

bool ServerDirectory::Announce(const ServerRecord& record,
                               std::int64_t now_ms) {
  this->ExpireTombstones(now_ms);
  const auto tombstone = this->tombstones.find(record.server_id);
  if (tombstone != this->tombstones.end() &&
      tombstone->second.incarnation >= record.incarnation) {
    return false;
  }
  const auto known = this->records.find(record.server_id);
  if (known != this->records.end() &&
      (known->second.incarnation > record.incarnation ||
       (known->second.incarnation == record.incarnation &&
        known->second.sequence >= record.sequence))) {
    return false;
  }
  if (this->HasNewerServerAtAddress(record)) {
    return false;
  }
  this->RemoveOthersAtAddress(record);
  const bool changed =
      known == this->records.end() || !SameAnnouncement(known->second, record);
  this->records[record.server_id] = record;
  return changed;
}

bool ServerDirectory::Leave(const std::string& server_id,
                            std::uint64_t incarnation,
                            std::int64_t now_ms) {
  const auto known = this->records.find(server_id);
  if (incarnation == 0 && known != this->records.end()) {
    incarnation = known->second.incarnation;
  }
  Tombstone& tombstone = this->tombstones[server_id];
  tombstone.incarnation = std::max(tombstone.incarnation, incarnation);
  tombstone.time_ms = now_ms;
  if (known == this->records.end() || known->second.incarnation > incarnation) {
    return false;
  }
  this->records.erase(known);
  return true;
}

bool ServerDirectory::SetSilent(const std::string& server_id,
                                std::uint64_t incarnation) {
  const auto known = this->records.find(server_id);
  if (known == this->records.end() || known->second.silent ||
      known->second.incarnation != incarnation) {
    return false;
  }
  known->second.silent = true;
  return true;
}

bool ServerDirectory::Expire(const std::string& server_id,
                             std::uint64_t incarnation) {
  const auto known = this->records.find(server_id);
  if (known == this->records.end() ||
      known->second.incarnation != incarnation) {
    return false;
  }
  this->records.erase(known);
  return true;
}

bool ServerDirectory::HasNewerServerAtAddress(
    const ServerRecord& record) const {
  for (const auto& [id, other] : this->records) {
    if (id != record.server_id && other.address == record.address &&
        other.incarnation > record.incarnation) {
      return true;
    }
  }
  return false;
}

void ServerDirectory::RemoveOthersAtAddress(const ServerRecord& record) {
  for (auto other = this->records.begin(); other != this->records.end();) {
    const bool replaced = other->first != record.server_id &&
                          other->second.address == record.address;
    other = replaced ? this->records.erase(other) : std::next(other);
  }
}

void ServerDirectory::ExpireTombstones(std::int64_t now_ms) {
  for (auto tombstone = this->tombstones.begin();
       tombstone != this->tombstones.end();) {
    tombstone = now_ms - tombstone->second.time_ms > kTombstoneRetentionMs
                    ? this->tombstones.erase(tombstone)
                    : std::next(tombstone);
  }
}

Json::Value ServerDirectory::Save() const {
  Json::Value saved;
  saved["records"] = Json::Value(Json::arrayValue);
  for (const auto& [id, record] : this->records) {
    saved["records"].append(ServerRecordToJson(record));
  }
  saved["departed"] = Json::Value(Json::arrayValue);
  for (const auto& [id, tombstone] : this->tombstones) {
    Json::Value item;
    item["server_id"] = id;
    item["incarnation"] = Json::UInt64(tombstone.incarnation);
    item["time_ms"] = Json::Int64(tombstone.time_ms);
    saved["departed"].append(item);
  }
  return saved;
}

void ServerDirectory::Load(const Json::Value& saved) {
  for (const Json::Value& item : saved["records"]) {
    const Result<ServerRecord> record = ServerRecordFromJson(item);
    if (record) {
      this->records[record.value().server_id] = record.value();
    } else {
      LogEvent(Severity::kError, Event::kReportRejected,
               {{"reason", record.error().message},
                {"source", "snapshot of the control state"}});
    }
  }
  for (const Json::Value& item : saved["departed"]) {
    this->tombstones[item["server_id"].asString()] = {
        item["incarnation"].asUInt64(), item["time_ms"].asInt64()};
  }
}

}  // namespace internal
}  // namespace sycamorebend
