#include <fmt/format.h>

#include "control/field_reader.h"
#include "sycamorebend/control.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

template <typename List>
Json::Value ToArray(const List& names) {
  Json::Value array(Json::arrayValue);
  for (const std::string& name : names) {
    array.append(name);
  }
  return array;
}

// Reads the members of `records`, which is named `list`, with `read`. Those
// that cannot be read are left out and named in `state.unreadable`.
// @return kProtocolError if `records` is no object.
template <typename Read>
Status ReadRecords(const Json::Value& records,
                   const std::string& list,
                   SharedState& state,
                   const Read& read) {
  if (!records.isObject()) {
    return MakeError(ResultCode::kProtocolError,
                     "\"" + list + "\" must be an object");
  }
  for (const std::string& id : records.getMemberNames()) {
    const Status checked = read(id, records[id]);
    if (!checked) {
      state.unreadable[fmt::format("{}/{}", list, id)] =
          checked.error().message;
    }
  }
  return Success();
}

Status ReadEntry(const std::string& id,
                 const Json::Value& value,
                 SharedState& state) {
  internal::FieldReader reader(value);
  EntryInfo entry;
  entry.entry_id = id;
  entry.address = reader.Name("address");
  entry.failure_domain = reader.OptionalString("failure_domain");
  entry.incarnation = reader.OptionalString("incarnation");
  entry.draining = reader.OptionalBool("draining");
  entry.feed_address = reader.OptionalString("feed_address");
  BOOST_OUTCOME_TRYV(reader.Finish());
  state.entries.push_back(std::move(entry));
  return Success();
}

Status ReadFinding(const std::string& content,
                   const Json::Value& value,
                   SharedState& state) {
  internal::FieldReader reader(value);
  CrashFinding finding;
  finding.content = content;
  finding.until_ms = static_cast<std::int64_t>(reader.Unsigned("until_ms"));
  finding.findings = reader.Unsigned("findings");
  BOOST_OUTCOME_TRYV(reader.Finish());
  state.crash_findings.push_back(std::move(finding));
  return Success();
}

Status ReadServer(const Json::Value& value, SharedState& state) {
  BOOST_OUTCOME_TRY(record, ServerRecordFromJson(value));
  if (!IsAddress(record.address)) {
    return MakeError(ResultCode::kMalformedRequest,
                     "\"address\" must be \"IP:port\" with an IPv4 address");
  }
  state.servers.push_back(std::move(record));
  return Success();
}

}  // namespace

Json::Value SharedStateToJson(const SharedState& state) {
  Json::Value value = SharedRecordsToJson(state);
  value[kConfigurationMember] = *state.configuration;
  return value;
}

Json::Value SharedRecordsToJson(const SharedState& state) {
  Json::Value value;
  value["epoch"] = state.epoch;
  value["version"] = Json::UInt64(state.version);
  value["configuration_version"] = Json::UInt64(state.configuration_version);
  value["configuration_time_ms"] = Json::Int64(state.configuration_time_ms);
  // Keyed by ID, so that a patch names only the entry daemons that changed.
  Json::Value& entries = value["entries"] = Json::Value(Json::objectValue);
  for (const EntryInfo& entry : state.entries) {
    Json::Value& item = entries[entry.entry_id];
    item["address"] = entry.address;
    item["failure_domain"] = entry.failure_domain;
    item["incarnation"] = entry.incarnation;
    item["draining"] = entry.draining;
    if (!entry.feed_address.empty()) {
      item["feed_address"] = entry.feed_address;
    }
  }
  Json::Value& servers = value["servers"] = Json::Value(Json::objectValue);
  for (const ServerRecord& server : state.servers) {
    servers[server.server_id] = ServerRecordToJson(server);
  }
  value["drained_servers"] = ToArray(state.drained_servers);
  value["quarantined"] = ToArray(state.quarantined);
  Json::Value& findings = value["crash_findings"] =
      Json::Value(Json::objectValue);
  for (const CrashFinding& finding : state.crash_findings) {
    Json::Value& item = findings[finding.content];
    item["until_ms"] = Json::Int64(finding.until_ms);
    item["findings"] = Json::UInt64(finding.findings);
  }
  value["replicas"] = ToArray(state.replicas);
  return value;
}

Result<SharedState> SharedStateFromJson(Json::Value value) {
  internal::FieldReader reader(value);
  SharedState state;
  state.epoch = reader.OptionalString("epoch");
  state.version = reader.Unsigned("version");
  state.configuration_version = reader.Unsigned("configuration_version");
  state.configuration_time_ms = static_cast<std::int64_t>(
      reader.OptionalUnsigned("configuration_time_ms").value_or(0));
  const std::vector<std::string> drained = reader.Names("drained_servers");
  const std::vector<std::string> quarantined = reader.Names("quarantined");
  state.replicas = reader.Names("replicas");
  const Status checked = reader.Finish();
  if (!checked) {
    return MakeError(ResultCode::kProtocolError, checked.error().message);
  }
  Json::Value configuration;
  if (value.isMember(kConfigurationMember)) {
    configuration.swap(value[kConfigurationMember]);
  }
  state.configuration = std::move(configuration);
  state.drained_servers.insert(drained.begin(), drained.end());
  state.quarantined.insert(quarantined.begin(), quarantined.end());
  BOOST_OUTCOME_TRYV(
      ReadRecords(value["entries"], "entries", state,
                  [&state](const std::string& id, const Json::Value& entry) {
                    return ReadEntry(id, entry, state);
                  }));
  // Absent in the state of an earlier release.
  if (value.isMember("crash_findings")) {
    BOOST_OUTCOME_TRYV(ReadRecords(
        value["crash_findings"], "crash_findings", state,
        [&state](const std::string& content, const Json::Value& finding) {
          return ReadFinding(content, finding, state);
        }));
  }
  if (value.isMember("servers")) {
    BOOST_OUTCOME_TRYV(ReadRecords(
        value["servers"], "servers", state,
        [&state](const std::string& /*id*/, const Json::Value& server) {
          return ReadServer(server, state);
        }));
  }
  return state;
}

}  // namespace sycamorebend
