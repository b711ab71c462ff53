#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

#include "control/change_table.h"
#include "control/configuration_history.h"
#include "control/duty_table.h"
#include "control/field_reader.h"
#include "control/finding_table.h"
#include "control/lost_member_table.h"
#include "control/order_table.h"
#include "control/record_codec.h"
#include "control/server_directory.h"
#include "control/usage_records.h"
#include "sycamorebend/control.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using internal::ChangeTable;
using internal::ConfigurationHistory;
using internal::DutyTable;
using internal::FieldReader;
using internal::FindingTable;
using internal::LostMemberTable;
using internal::OrderTable;
using internal::RecordReader;
using internal::RecordWriter;
using internal::ServerDirectory;
using internal::UsageRecords;

constexpr int kSnapshotFormat = 1;

// A snapshot is a sequence of records. A record is a tag that identifies its
// table, its size and its bytes.
constexpr char kHeaderTag = 'S';
constexpr char kHistoryTag = 'H';
constexpr char kChangeTag = 'C';
constexpr char kOrderTag = 'O';
constexpr char kFindingTag = 'F';
constexpr char kUsageTag = 'U';
// The last record. Holds the number of records before it.
constexpr char kEndTag = 'E';

std::string EncodeResult(const Result<Json::Value>& result) {
  Json::Value response;
  if (result) {
    response["result"] = result.value();
  } else {
    response["error"]["code"] = static_cast<int>(result.error().code);
    response["error"]["message"] = result.error().message;
  }
  return WriteJson(response);
}

// The complete state. Not thread-safe.
struct Tables {
  explicit Tables(const ControlLimits& limits)
      : history(limits),
        changes(limits),
        orders(limits),
        findings(limits),
        duties(limits),
        usage(limits),
        lost(limits) {}

  std::string epoch;
  std::uint64_t shared_version = 0;
  ConfigurationHistory history;
  ChangeTable changes;
  OrderTable orders;
  FindingTable findings;
  DutyTable duties;
  UsageRecords usage;
  std::map<std::string, EntryInfo> entries;
  LostMemberTable lost;
  ServerDirectory servers;
  std::set<std::string> drained_servers;
  std::vector<std::string> replicas;
  std::uint64_t fence = 0;
};

Json::Value SaveHeader(const Tables& tables) {
  Json::Value header;
  header["format"] = kSnapshotFormat;
  header["epoch"] = tables.epoch;
  header["shared_version"] = Json::UInt64(tables.shared_version);
  header["history"] = tables.history.SaveHeader();
  header["changes"] = tables.changes.SaveHeader();
  header["fence"] = Json::UInt64(tables.fence);
  header["duties"] = tables.duties.Save();
  header["usage"] = tables.usage.SaveHeader();
  Json::Value& entries = header["entries"] = Json::Value(Json::arrayValue);
  for (const auto& [id, entry] : tables.entries) {
    Json::Value item;
    item["entry_id"] = id;
    item["address"] = entry.address;
    item["failure_domain"] = entry.failure_domain;
    item["incarnation"] = entry.incarnation;
    item["draining"] = entry.draining;
    item["feed_address"] = entry.feed_address;
    item["notice_address"] = entry.notice_address;
    entries.append(item);
  }
  header["servers"] = tables.servers.Save();
  Json::Value& drained = header["drained"] = Json::Value(Json::arrayValue);
  for (const std::string& server : tables.drained_servers) {
    drained.append(server);
  }
  Json::Value& replicas = header["replicas"] = Json::Value(Json::arrayValue);
  for (const std::string& replica : tables.replicas) {
    replicas.append(replica);
  }
  header["lost"] = tables.lost.Save();
  return header;
}

void LoadHeader(const Json::Value& header, Tables& tables) {
  tables.epoch = header["epoch"].asString();
  tables.shared_version = header["shared_version"].asUInt64();
  tables.history.LoadHeader(header["history"]);
  tables.changes.LoadHeader(header["changes"]);
  tables.fence = header["fence"].asUInt64();
  tables.duties.Load(header["duties"]);
  tables.usage.LoadHeader(header["usage"]);
  for (const Json::Value& item : header["entries"]) {
    EntryInfo entry;
    entry.entry_id = item["entry_id"].asString();
    entry.address = item["address"].asString();
    entry.failure_domain = item["failure_domain"].asString();
    entry.incarnation = item["incarnation"].asString();
    entry.draining = item["draining"].asBool();
    entry.feed_address = item["feed_address"].asString();
    entry.notice_address = item["notice_address"].asString();
    tables.entries[entry.entry_id] = std::move(entry);
  }
  tables.servers.Load(header["servers"]);
  for (const Json::Value& server : header["drained"]) {
    tables.drained_servers.insert(server.asString());
  }
  for (const Json::Value& replica : header["replicas"]) {
    tables.replicas.push_back(replica.asString());
  }
  tables.lost.Load(header["lost"]);
}

Error DamagedSnapshot(const std::string& detail) {
  return MakeError(ResultCode::kProtocolError, "the snapshot " + detail);
}

Status LoadHeaderRecord(std::string_view record, Tables& tables) {
  BOOST_OUTCOME_TRY(header, ParseStoredJson(record));
  const Json::Value& format =
      header.isObject() ? header["format"] : Json::Value::nullSingleton();
  if (!format.isInt() || format.asInt() != kSnapshotFormat) {
    return DamagedSnapshot(
        fmt::format("has a format other than {}", kSnapshotFormat));
  }
  LoadHeader(header, tables);
  return Success();
}

Status LoadRecord(char tag, std::string_view record, Tables& tables) {
  bool loaded = false;
  switch (tag) {
    case kHeaderTag:
      return LoadHeaderRecord(record, tables);
    case kHistoryTag:
      loaded = tables.history.Load(record);
      break;
    case kChangeTag:
      loaded = tables.changes.Load(record);
      break;
    case kOrderTag:
      loaded = tables.orders.Load(record);
      break;
    case kFindingTag:
      loaded = tables.findings.Load(record);
      break;
    case kUsageTag:
      loaded = tables.usage.Load(record);
      break;
    default:
      break;
  }
  if (!loaded) {
    return DamagedSnapshot(
        fmt::format("has a damaged record of kind {}", static_cast<int>(tag)));
  }
  return Success();
}

Status LoadRecords(std::string_view snapshot, Tables& tables) {
  if (snapshot.empty() || snapshot[0] != kHeaderTag) {
    return DamagedSnapshot("does not start with its header");
  }
  for (std::uint64_t records = 0; !snapshot.empty(); ++records) {
    const char tag = snapshot[0];
    snapshot.remove_prefix(1);
    RecordReader reader(snapshot);
    const std::string_view record = reader.Text();
    if (reader.Failed()) {
      break;
    }
    snapshot.remove_prefix(sizeof(std::uint64_t) + record.size());
    if (tag == kEndTag) {
      if (RecordReader(record).Number() != records || !snapshot.empty()) {
        break;
      }
      return Success();
    }
    BOOST_OUTCOME_TRY(LoadRecord(tag, record, tables));
  }
  return DamagedSnapshot("is incomplete");
}

class TableControlState : public ControlState {
 public:
  TableControlState(SharedCallback on_shared, ControlLimits limits)
      : on_shared(std::move(on_shared)),
        limits(limits),
        tables(std::make_unique<Tables>(this->limits)),
        shared(std::make_shared<SharedState>()) {}

  std::string Apply(LogIndex /*index*/,
                    std::int64_t leader_time_ms,
                    std::string_view command) override {
    std::shared_ptr<const SharedState> changed;
    std::string response;
    {
      std::lock_guard lock(this->mutex);
      this->shared_state_changed = this->AdvanceTime(leader_time_ms);
      response = EncodeResult(this->Run(command, leader_time_ms));
      if (this->shared_state_changed) {
        ++this->tables->shared_version;
        changed = this->RebuildSharedState();
      }
    }
    if (changed != nullptr && this->on_shared) {
      this->on_shared(changed);
    }
    return response;
  }

  std::string Snapshot() const override {
    std::lock_guard lock(this->mutex);
    std::string bytes;
    std::uint64_t records = 0;
    const auto record_sink = [&bytes, &records](char tag) {
      return [&bytes, &records, tag](std::string_view record) {
        bytes += tag;
        RecordWriter(bytes).Text(record);
        ++records;
      };
    };
    record_sink(kHeaderTag)(WriteJson(SaveHeader(*this->tables)));
    this->tables->history.Save(record_sink(kHistoryTag));
    this->tables->changes.Save(record_sink(kChangeTag));
    this->tables->orders.Save(record_sink(kOrderTag));
    this->tables->findings.Save(record_sink(kFindingTag));
    this->tables->usage.Save(record_sink(kUsageTag));
    std::string end;
    RecordWriter(end).Number(records);
    record_sink(kEndTag)(end);
    return bytes;
  }

  Status Restore(std::string_view snapshot) override {
    std::shared_ptr<const SharedState> restored;
    {
      std::lock_guard lock(this->mutex);
      auto loaded = std::make_unique<Tables>(this->limits);
      try {
        BOOST_OUTCOME_TRY(LoadRecords(snapshot, *loaded));
      } catch (const Json::Exception& exception) {
        return MakeError(
            ResultCode::kProtocolError,
            std::string("the snapshot has a value of an unexpected "
                        "type: ") +
                exception.what());
      }
      this->tables = std::move(loaded);
      restored = this->RebuildSharedState();
    }
    if (this->on_shared) {
      this->on_shared(restored);
    }
    return Success();
  }

  std::shared_ptr<const SharedState> Shared() const override {
    std::lock_guard lock(this->mutex);
    return this->shared;
  }

  Result<Json::Value> ShowConfiguration(
      std::optional<std::uint64_t> version) const override {
    std::lock_guard lock(this->mutex);
    const ConfigurationHistory& history = this->tables->history;
    return history.Show(version.value_or(history.Version()));
  }

  Json::Value History(std::size_t limit) const override {
    std::lock_guard lock(this->mutex);
    return this->tables->history.List(limit);
  }

  Result<Json::Value> GetOrder(const std::string& customer,
                               const std::string& key) const override {
    std::lock_guard lock(this->mutex);
    return this->tables->orders.Get(customer, key);
  }

  Json::Value Counts() const override {
    std::lock_guard lock(this->mutex);
    const auto count = [](std::size_t number) { return Json::UInt64(number); };
    const Tables& state_tables = *this->tables;
    Json::Value counts;
    counts["configuration_version"] = count(state_tables.history.Version());
    counts["shared_version"] = count(state_tables.shared_version);
    counts["history_changes"] = count(state_tables.history.Size());
    counts["history_bytes"] = count(state_tables.history.Bytes());
    counts["change_ids"] = count(state_tables.changes.Size());
    counts["orders"] = count(state_tables.orders.Size());
    counts["order_response_bytes"] = count(state_tables.orders.ResponseBytes());
    counts["crashes"] = count(state_tables.findings.Crashes());
    counts["quarantined"] = count(state_tables.findings.Quarantined().size());
    counts["crash_findings"] = count(state_tables.findings.Recorded().size());
    counts["entries"] = count(state_tables.entries.size());
    counts["servers"] = count(state_tables.servers.Records().size());
    counts["fence"] = count(state_tables.fence);
    counts["usage_windows"] =
        count(state_tables.usage.Windows().windows.size());
    counts["lost_entries"] = count(state_tables.lost.Entries());
    counts["former_replicas"] = count(state_tables.lost.Replicas());
    return counts;
  }

  std::map<std::string, DutyGrantRecord> DutyGrants() const override {
    std::lock_guard lock(this->mutex);
    return this->tables->duties.Grants();
  }

  FixedUsageTable FixedUsageWindows() const override {
    std::lock_guard lock(this->mutex);
    return this->tables->usage.Windows();
  }

  LostMembers Lost() const override {
    std::lock_guard lock(this->mutex);
    return this->tables->lost.All();
  }

  bool NeedsTick(std::int64_t now_ms) const override {
    std::lock_guard lock(this->mutex);
    return this->tables->orders.HasExpired(now_ms) ||
           this->tables->findings.HasCrashesToEvaluate(now_ms) ||
           this->tables->findings.HasExpiredRecorded(now_ms) ||
           this->tables->lost.HasExpired(now_ms);
  }

 private:
  using Handler = Result<Json::Value> (
      TableControlState::*)(const Json::Value& command, std::int64_t now_ms);

  // Expires records and evaluates crashes that are due at `now_ms`.
  // @return true if the shared state changed.
  bool AdvanceTime(std::int64_t now_ms) {
    this->tables->orders.Expire(now_ms);
    this->tables->changes.Expire(now_ms);
    this->tables->lost.Expire(now_ms);
    const std::vector<std::string> newly_quarantined =
        this->tables->findings.EvaluateCrashes(now_ms);
    for (const std::string& fingerprint : newly_quarantined) {
      LogEvent(Severity::kWarning, Event::kFindingRecorded,
               {{"fingerprint", fingerprint}, {"quarantined", true}});
    }
    const bool expired = this->tables->findings.ExpireRecorded(now_ms);
    return expired || !newly_quarantined.empty();
  }

  std::shared_ptr<const SharedState> RebuildSharedState() {
    auto state = std::make_shared<SharedState>();
    state->epoch = this->tables->epoch;
    state->version = this->tables->shared_version;
    state->configuration_version = this->tables->history.Version();
    state->configuration_time_ms = this->tables->history.TimeMs();
    state->configuration = this->tables->history.Document();
    for (const auto& [id, entry] : this->tables->entries) {
      state->entries.push_back(entry);
    }
    for (const auto& [id, server] : this->tables->servers.Records()) {
      state->servers.push_back(server);
    }
    state->drained_servers = this->tables->drained_servers;
    state->quarantined = this->tables->findings.Quarantined();
    state->crash_findings = this->tables->findings.Recorded();
    state->replicas = this->tables->replicas;
    this->shared = state;
    return state;
  }

  Result<Json::Value> Run(std::string_view text, std::int64_t now_ms) {
    BOOST_OUTCOME_TRY(command, ParseJson(text));
    if (!command.isObject() || !command["type"].isString()) {
      return MakeError(ResultCode::kMalformedRequest,
                       "a command must be an object with a string \"type\"");
    }
    static const std::map<std::string, Handler> kHandlers = {
        {"config.apply", &TableControlState::ApplyConfiguration},
        {"config.replace", &TableControlState::ReplaceConfiguration},
        {"server.announce", &TableControlState::AnnounceServer},
        {"server.leave", &TableControlState::RemoveServer},
        {"server.silent", &TableControlState::RemoveServer},
        {"server.expire", &TableControlState::RemoveServer},
        {"server.drain", &TableControlState::DrainServer},
        {"server.undrain", &TableControlState::DrainServer},
        {"entry.join", &TableControlState::JoinEntry},
        {"entry.drain", &TableControlState::DrainEntry},
        {"entry.expire", &TableControlState::ExpireEntry},
        {"order.begin", &TableControlState::BeginOrder},
        {"order.finish", &TableControlState::FinishOrder},
        {"finding.report", &TableControlState::ReportFinding},
        {"finding.record", &TableControlState::RecordFinding},
        {"fence.take", &TableControlState::TakeFence},
        {"duty.grant", &TableControlState::GrantDuty},
        {"duty.release", &TableControlState::ReleaseDuty},
        {"usage.fix", &TableControlState::FixUsage},
        {"usage.sent", &TableControlState::RecordUsageSent},
        {"cluster.init", &TableControlState::InitCluster},
        {"replicas.set", &TableControlState::SetReplicas},
        {"clock.tick", &TableControlState::Tick},
    };
    const auto handler = kHandlers.find(command["type"].asString());
    if (handler == kHandlers.end()) {
      return MakeError(
          ResultCode::kUnknownCommand,
          fmt::format("command \"{}\" is unknown", command["type"].asString()));
    }
    return (this->*handler->second)(command, now_ms);
  }

  // ParsePolicy validates the document before it is proposed. It is not
  // validated here: during a rolling upgrade, replicas with different checks
  // would diverge.
  Result<Json::Value> ApplyConfiguration(const Json::Value& command,
                                         std::int64_t now_ms) {
    FieldReader reader(command);
    const std::string change_id = reader.Name("change_id");
    const std::string operator_name = reader.Name("operator");
    const std::uint64_t expected = reader.Unsigned("expected_version");
    const Json::Value& document = command["document"];
    if (!document.isObject()) {
      reader.Reject("document", "an object");
    }
    BOOST_OUTCOME_TRY(reader.Finish());
    const std::string text = WriteJson(document);
    const std::string digest = Sha256Hex(
        fmt::format("config.apply\n{}\n{}\n{}", operator_name, expected, text));
    BOOST_OUTCOME_TRY(earlier,
                      this->tables->changes.Find(change_id, digest, now_ms));
    if (!earlier.isNull()) {
      return earlier;
    }
    if (text.size() > this->limits.document_bytes) {
      return MakeError(
          ResultCode::kConfigurationInvalid,
          fmt::format("the document has {} bytes; at most {} are accepted",
                      text.size(), this->limits.document_bytes));
    }
    ConfigurationHistory& history = this->tables->history;
    if (expected != history.Version()) {
      return MakeError(ResultCode::kVersionConflict,
                       history.DescribeConflict(expected));
    }
    history.Add(history.Version() + 1, change_id, operator_name, now_ms,
                document);
    this->shared_state_changed = true;
    Json::Value response;
    response["version"] = Json::UInt64(history.Version());
    response["change_id"] = change_id;
    response["shared_version"] = this->NextSharedVersion();
    this->tables->changes.Add(change_id, digest, response, now_ms);
    return response;
  }

  // The highest version wins. A version that is not higher than the current one
  // is a repeated or delayed command; it changes nothing and is not an error.
  Result<Json::Value> ReplaceConfiguration(const Json::Value& command,
                                           std::int64_t now_ms) {
    FieldReader reader(command);
    const std::uint64_t version = reader.Unsigned("version");
    const std::string operator_name = reader.Name("operator");
    const Json::Value& document = command["document"];
    if (!document.isObject()) {
      reader.Reject("document", "an object");
    }
    BOOST_OUTCOME_TRY(reader.Finish());
    ConfigurationHistory& history = this->tables->history;
    const bool newer = version > history.Version();
    if (newer) {
      history.Add(version, fmt::format("version-{}", version), operator_name,
                  now_ms, document);
      this->shared_state_changed = true;
    }
    Json::Value response;
    response["version"] = Json::UInt64(history.Version());
    response["changed"] = newer;
    response["shared_version"] = this->NextSharedVersion();
    return response;
  }

  Result<Json::Value> AnnounceServer(const Json::Value& command,
                                     std::int64_t now_ms) {
    BOOST_OUTCOME_TRY(record, ServerRecordFromJson(command));
    this->shared_state_changed =
        this->tables->servers.Announce(record, now_ms) ||
        this->shared_state_changed;
    return this->SharedVersionResult();
  }

  // Handles server.leave, server.silent and server.expire.
  Result<Json::Value> RemoveServer(const Json::Value& command,
                                   std::int64_t now_ms) {
    FieldReader reader(command);
    const std::string id = reader.Name("server_id");
    const std::uint64_t incarnation = reader.Unsigned("incarnation");
    BOOST_OUTCOME_TRY(reader.Finish());
    const std::string type = command["type"].asString();
    ServerDirectory& servers = this->tables->servers;
    const bool changed =
        type == "server.leave"    ? servers.Leave(id, incarnation, now_ms)
        : type == "server.silent" ? servers.SetSilent(id, incarnation)
                                  : servers.Expire(id, incarnation);
    this->shared_state_changed = changed || this->shared_state_changed;
    return this->SharedVersionResult();
  }

  Result<Json::Value> DrainServer(const Json::Value& command,
                                  std::int64_t now_ms) {
    FieldReader reader(command);
    const std::string change_id = reader.Name("change_id");
    const std::string server_id = reader.Name("server_id");
    BOOST_OUTCOME_TRY(reader.Finish());
    const std::string type = command["type"].asString();
    const std::string digest =
        Sha256Hex(fmt::format("{}\n{}", type, server_id));
    BOOST_OUTCOME_TRY(earlier,
                      this->tables->changes.Find(change_id, digest, now_ms));
    if (!earlier.isNull()) {
      return earlier;
    }
    std::set<std::string>& drained = this->tables->drained_servers;
    const bool drain = type == "server.drain";
    this->shared_state_changed = (drain ? drained.insert(server_id).second
                                        : drained.erase(server_id) > 0) ||
                                 this->shared_state_changed;
    Json::Value response;
    response["server_id"] = server_id;
    response["drained"] = drain;
    response["shared_version"] = this->NextSharedVersion();
    this->tables->changes.Add(change_id, digest, response, now_ms);
    return response;
  }

  Result<Json::Value> JoinEntry(const Json::Value& command,
                                std::int64_t /*now_ms*/) {
    FieldReader reader(command);
    EntryInfo entry;
    entry.entry_id = reader.Name("entry_id");
    entry.address = reader.Name("address");
    entry.failure_domain = reader.OptionalString("failure_domain");
    entry.incarnation = reader.Name("incarnation");
    entry.draining = reader.OptionalBool("draining");
    entry.feed_address = reader.OptionalString("feed_address");
    entry.notice_address = reader.OptionalString("notice_address");
    BOOST_OUTCOME_TRY(reader.Finish());
    this->shared_state_changed = true;
    this->tables->lost.RemoveEntry(entry);
    this->tables->entries[entry.entry_id] = std::move(entry);
    return this->SharedVersionResult();
  }

  // Looks up the entry daemon that `command` names.
  // @return its iterator, or end() if it is unknown or has another incarnation.
  Result<std::map<std::string, EntryInfo>::iterator> FindEntry(
      const Json::Value& command) {
    FieldReader reader(command);
    const std::string id = reader.Name("entry_id");
    const std::string incarnation = reader.Name("incarnation");
    BOOST_OUTCOME_TRY(reader.Finish());
    const auto found = this->tables->entries.find(id);
    const bool same = found != this->tables->entries.end() &&
                      found->second.incarnation == incarnation;
    return same ? found : this->tables->entries.end();
  }

  Result<Json::Value> DrainEntry(const Json::Value& command,
                                 std::int64_t /*now_ms*/) {
    BOOST_OUTCOME_TRY(found, this->FindEntry(command));
    if (found != this->tables->entries.end() && !found->second.draining) {
      found->second.draining = true;
      this->shared_state_changed = true;
    }
    return this->SharedVersionResult();
  }

  Result<Json::Value> ExpireEntry(const Json::Value& command,
                                  std::int64_t now_ms) {
    BOOST_OUTCOME_TRY(found, this->FindEntry(command));
    if (found != this->tables->entries.end()) {
      const EntryInfo expired = std::move(found->second);
      this->tables->entries.erase(found);
      if (!expired.draining && !this->HasEntryAt(expired.notice_address)) {
        this->tables->lost.AddEntry(expired, now_ms);
      }
      this->shared_state_changed = true;
    }
    return this->SharedVersionResult();
  }

  // @return true if a present entry daemon has this notice address.
  bool HasEntryAt(const std::string& notice_address) const {
    const std::map<std::string, EntryInfo>& entries = this->tables->entries;
    return std::any_of(entries.begin(), entries.end(),
                       [&notice_address](const auto& item) {
                         return item.second.notice_address == notice_address;
                       });
  }

  Result<Json::Value> BeginOrder(const Json::Value& command,
                                 std::int64_t now_ms) {
    return this->tables->orders.Begin(command, now_ms);
  }

  Result<Json::Value> FinishOrder(const Json::Value& command,
                                  std::int64_t /*now_ms*/) {
    return this->tables->orders.Finish(command);
  }

  Result<Json::Value> ReportFinding(const Json::Value& command,
                                    std::int64_t now_ms) {
    return this->tables->findings.Report(command, now_ms);
  }

  Result<Json::Value> RecordFinding(const Json::Value& command,
                                    std::int64_t now_ms) {
    BOOST_OUTCOME_TRY(response, this->tables->findings.Record(command, now_ms));
    if (response["changed"].asBool()) {
      this->shared_state_changed = true;
      LogEvent(Severity::kWarning, Event::kFindingRecorded,
               {{"content", command["content"].asString()},
                {"quarantine_ms", command["quarantine_ms"].asUInt64()}});
    }
    return response;
  }

  Result<Json::Value> TakeFence(const Json::Value& command,
                                std::int64_t /*now_ms*/) {
    FieldReader reader(command);
    const std::string holder = reader.Name("holder");
    BOOST_OUTCOME_TRY(reader.Finish());
    Json::Value response;
    response["fence"] = Json::UInt64(++this->tables->fence);
    response["holder"] = holder;
    return response;
  }

  Result<Json::Value> GrantDuty(const Json::Value& command,
                                std::int64_t now_ms) {
    return this->tables->duties.Grant(command, now_ms, this->tables->fence);
  }

  Result<Json::Value> ReleaseDuty(const Json::Value& command,
                                  std::int64_t /*now_ms*/) {
    return this->tables->duties.Release(command);
  }

  Result<Json::Value> FixUsage(const Json::Value& command,
                               std::int64_t /*now_ms*/) {
    return this->tables->usage.Fix(command);
  }

  Result<Json::Value> RecordUsageSent(const Json::Value& command,
                                      std::int64_t /*now_ms*/) {
    return this->tables->usage.RecordSent(command);
  }

  // The first leader sets the epoch of the deployment; later calls change
  // nothing.
  Result<Json::Value> InitCluster(const Json::Value& command,
                                  std::int64_t /*now_ms*/) {
    FieldReader reader(command);
    const std::string epoch = reader.Name("epoch");
    BOOST_OUTCOME_TRY(reader.Finish());
    if (this->tables->epoch.empty()) {
      this->tables->epoch = epoch;
      this->shared_state_changed = true;
    }
    return this->SharedVersionResult();
  }

  Result<Json::Value> SetReplicas(const Json::Value& command,
                                  std::int64_t now_ms) {
    FieldReader reader(command);
    std::vector<std::string> addresses = reader.Names("addresses");
    BOOST_OUTCOME_TRY(reader.Finish());
    std::sort(addresses.begin(), addresses.end());
    if (addresses != this->tables->replicas) {
      for (const std::string& earlier : this->tables->replicas) {
        if (!std::binary_search(addresses.begin(), addresses.end(), earlier)) {
          this->tables->lost.AddReplica(earlier, now_ms);
        }
      }
      for (const std::string& present : addresses) {
        this->tables->lost.RemoveReplica(present);
      }
      this->tables->replicas = std::move(addresses);
      this->shared_state_changed = true;
    }
    return this->SharedVersionResult();
  }

  Result<Json::Value> Tick(const Json::Value& /*command*/,
                           std::int64_t /*now_ms*/) {
    return this->SharedVersionResult();
  }

  // @return the shared version after the current command.
  Json::Value NextSharedVersion() const {
    return Json::UInt64(this->tables->shared_version +
                        (this->shared_state_changed ? 1 : 0));
  }

  Json::Value SharedVersionResult() const {
    Json::Value response;
    response["shared_version"] = this->NextSharedVersion();
    return response;
  }

  const SharedCallback on_shared;
  const ControlLimits limits;
  mutable std::mutex mutex;
  std::unique_ptr<Tables> tables;
  std::shared_ptr<const SharedState> shared;
  bool shared_state_changed = false;
};

}  // namespace

std::unique_ptr<ControlState> ControlState::Create(SharedCallback on_shared,
                                                   ControlLimits limits) {
  return std::make_unique<TableControlState>(std::move(on_shared), limits);
}

Result<Json::Value> DecodeCommandResult(const std::string& response) {
  BOOST_OUTCOME_TRY(value, ParseJson(response));
  if (value.isObject() && value.isMember("result")) {
    return value["result"];
  }
  const Json::Value& error =
      value.isObject() ? value["error"] : Json::Value::nullSingleton();
  if (!error.isObject() || !error["code"].isInt() ||
      !error["message"].isString()) {
    return MakeError(ResultCode::kProtocolError,
                     "the state machine's response is malformed");
  }
  return MakeError(static_cast<ResultCode>(error["code"].asInt()),
                   error["message"].asString());
}

}  // namespace sycamorebend
