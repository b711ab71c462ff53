#include "control/field_reader.h"
#include "sycamorebend/control.h"

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

Status ReadEntries(const Json::Value& entries, SharedState& state) {
  if (!entries.isObject()) {
    return MakeError(ResultCode::kProtocolError,
                     "\"entries\" must be an object");
  }
  for (const std::string& id : entries.getMemberNames()) {
    internal::FieldReader reader(entries[id]);
    EntryInfo entry;
    entry.entry_id = id;
    entry.address = reader.Name("address");
    entry.failure_domain = reader.OptionalString("failure_domain");
    entry.incarnation = reader.OptionalString("incarnation");
    entry.draining = reader.OptionalBool("draining");
    const Status checked = reader.Finish();
    if (!checked) {
      return MakeError(ResultCode::kProtocolError,
                       "entry " + id + ": " + checked.error().message);
    }
    state.entries.push_back(std::move(entry));
  }
  return Success();
}

Status ReadFindings(const Json::Value& findings, SharedState& state) {
  if (!findings.isObject()) {
    return MakeError(ResultCode::kProtocolError,
                     "\"crash_findings\" must be an object");
  }
  for (const std::string& content : findings.getMemberNames()) {
    internal::FieldReader reader(findings[content]);
    CrashFinding finding;
    finding.content = content;
    finding.until_ms = static_cast<std::int64_t>(reader.Unsigned("until_ms"));
    finding.findings = reader.Unsigned("findings");
    const Status checked = reader.Finish();
    if (!checked) {
      return MakeError(ResultCode::kProtocolError,
                       "finding " + content + ": " + checked.error().message);
    }
    state.crash_findings.push_back(std::move(finding));
  }
  return Success();
}

Status ReadServers(const Json::Value& servers, SharedState& state) {
  if (!servers.isObject()) {
    return MakeError(ResultCode::kProtocolError,
                     "\"servers\" must be an object");
  }
  for (const std::string& id : servers.getMemberNames()) {
    Result<ServerRecord> record = ServerRecordFromJson(servers[id]);
    if (!record) {
      return MakeError(ResultCode::kProtocolError,
                       "server " + id + ": " + record.error().message);
    }
    state.servers.push_back(std::move(record.value()));
  }
  return Success();
}

}  // namespace

Json::Value SharedStateToJson(const SharedState& state) {
  Json::Value value;
  value["epoch"] = state.epoch;
  value["version"] = Json::UInt64(state.version);
  value["configuration_version"] = Json::UInt64(state.configuration_version);
  value["configuration"] = state.configuration;
  // Keyed by ID, so that a patch names only the entry daemons that changed.
  Json::Value& entries = value["entries"] = Json::Value(Json::objectValue);
  for (const EntryInfo& entry : state.entries) {
    Json::Value& item = entries[entry.entry_id];
    item["address"] = entry.address;
    item["failure_domain"] = entry.failure_domain;
    item["incarnation"] = entry.incarnation;
    item["draining"] = entry.draining;
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

Result<SharedState> SharedStateFromJson(const Json::Value& value) {
  internal::FieldReader reader(value);
  SharedState state;
  state.epoch = reader.OptionalString("epoch");
  state.version = reader.Unsigned("version");
  state.configuration_version = reader.Unsigned("configuration_version");
  const std::vector<std::string> drained = reader.Names("drained_servers");
  const std::vector<std::string> quarantined = reader.Names("quarantined");
  state.replicas = reader.Names("replicas");
  const Status checked = reader.Finish();
  if (!checked) {
    return MakeError(ResultCode::kProtocolError, checked.error().message);
  }
  state.configuration = value["configuration"];
  state.drained_servers.insert(drained.begin(), drained.end());
  state.quarantined.insert(quarantined.begin(), quarantined.end());
  BOOST_OUTCOME_TRY(ReadEntries(value["entries"], state));
  // Absent in the state of an earlier release.
  if (value.isMember("crash_findings")) {
    BOOST_OUTCOME_TRY(ReadFindings(value["crash_findings"], state));
  }
  if (value.isMember("servers")) {
    BOOST_OUTCOME_TRY(ReadServers(value["servers"], state));
  }
  return state;
}

}  // namespace sycamorebend
