// Deterministic control state of a deployment: configuration and its history,
// orders, drains, entry daemons, crash findings and fencing tokens. See
// docs/design.md, section 3.3, and docs/control.md.
#ifndef SYCAMOREBEND_CONTROL_H_
#define SYCAMOREBEND_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"

namespace sycamorebend {

// An entry daemon as recorded in the control state.
struct EntryInfo {
  std::string entry_id;
  // "IP:port" at which it serves callers, backend servers and RPC.
  std::string address;
  std::string failure_domain;
  std::string incarnation;
  bool draining = false;
  // "IP:port" at which it serves the feed to others; empty if it does not.
  std::string feed_address;
  // "IP:port" at which it receives a ReplicaNotice as a datagram; empty if it
  // does not. Known to control replicas only.
  std::string notice_address;
};

// A backend server that announced itself to the control replicas.
struct ServerRecord {
  std::string server_id;
  // Increases with every start of a server under the same ID.
  std::uint64_t incarnation = 0;
  // Sequence number of the announcement that this record comes from.
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;  // "IP:port".
  std::string failure_domain;
  int slots = 1;
  // The server is stopping and gets no new requests.
  bool leaving = false;
  // The platform may reclaim the server at short notice.
  bool reclaimable = false;
  // When a server that is leaving will end, Unix milliseconds by the clock of
  // the replica that received the announcement; 0 if it was not stated.
  std::int64_t leaves_at_ms = 0;
  // No announcement was received for longer than the announcement lease. The
  // server may still work: only its path to the control replicas may have
  // failed.
  bool silent = false;
};

// @return true if the records are equal except for their sequence numbers and
// for small differences of the time at which they leave.
bool SameAnnouncement(const ServerRecord& a, const ServerRecord& b);

// JSON form of a record in commands and in the shared state.
Json::Value ServerRecordToJson(const ServerRecord& record);
// @return the record, or kMalformedRequest naming the field.
Result<ServerRecord> ServerRecordFromJson(const Json::Value& value);

// Checks a record before it is proposed; what is stored already is not checked
// again, since replicas of different releases must agree on it.
// @return kMalformedRequest naming the field.
Status CheckAnnouncement(const ServerRecord& record);
// @return kMalformedRequest if no server can have this ID.
Status CheckServerId(const std::string& server_id);

// What gateways found to crash backend servers.
struct CrashFinding {
  // Identifies the requests; only gateways interpret it.
  std::string content;
  std::int64_t until_ms = 0;  // End of the quarantine, Unix time.
  // Number of findings with this content so far.
  std::uint64_t findings = 1;
};

// Immutable JSON document. Copies share it, so that a new version of a state
// that contains a large document does not copy it.
class SharedDocument {
 public:
  SharedDocument() : SharedDocument(Json::Value()) {}
  // NOLINTNEXTLINE(google-explicit-constructor): a document is its value.
  SharedDocument(Json::Value value)
      : value(std::make_shared<const Json::Value>(std::move(value))) {}

  const Json::Value& operator*() const { return *this->value; }
  const Json::Value* operator->() const { return this->value.get(); }
  // @return true if both are copies of the same object, and therefore equal.
  // Documents that are equal need not be.
  bool SharesWith(const SharedDocument& other) const {
    return this->value == other.value;
  }

 private:
  std::shared_ptr<const Json::Value> value;
};

// One version of the state that all entry daemons share.
struct SharedState {
  // Identifies the control state of the deployment. Versions from different
  // epochs cannot be compared. Empty until the control state is initialized.
  std::string epoch;
  // Increases with every change of any field.
  std::uint64_t version = 0;
  // Version and document of the operators' configuration. The document of
  // version 0 is null.
  std::uint64_t configuration_version = 0;
  SharedDocument configuration;
  // When the leader accepted that version, Unix milliseconds by its clock; 0 if
  // unknown. For logs only.
  std::int64_t configuration_time_ms = 0;
  std::vector<EntryInfo> entries;
  // Backend servers that announced themselves to the control replicas.
  std::vector<ServerRecord> servers;
  // IDs of backend servers that operators have drained.
  std::set<std::string> drained_servers;
  // Fingerprints of requests that must not be executed.
  std::set<std::string> quarantined;
  // Found by gateways, by content.
  std::vector<CrashFinding> crash_findings;
  // Addresses of the control replicas.
  std::vector<std::string> replicas;
  // Records that SharedStateFromJson has left out, "LIST/ID", with the reason.
  std::map<std::string, std::string> unreadable;
};

Json::Value SharedStateToJson(const SharedState& state);
// @return SharedStateToJson without the member kConfigurationMember.
Json::Value SharedRecordsToJson(const SharedState& state);
inline constexpr const char* kConfigurationMember = "configuration";
// Leaves out single records that cannot be read, so that one odd record does
// not keep readers from all others.
// @return the state, or kProtocolError naming the field.
Result<SharedState> SharedStateFromJson(Json::Value value);

// @return a patch with which PatchJson turns `before` into `after`. Objects are
// compared member by member. In an array, the elements between the common
// prefix and the common suffix are replaced.
Json::Value DiffJson(const Json::Value& before, const Json::Value& after);
// @return the patched value, or kProtocolError if the patch does not apply.
Result<Json::Value> PatchJson(Json::Value value, const Json::Value& patch);

// Adds the patch of the member `name` to a patch of an object that does not
// contain it yet.
void AddMemberPatch(Json::Value& patch,
                    const std::string& name,
                    Json::Value member_patch);
// Removes the patch of the member `name` from a patch of an object, so that the
// member can be patched separately.
// @return the patch of the member, null if the member is removed; empty if
// `patch` does not change it.
std::optional<Json::Value> TakeMemberPatch(Json::Value& patch,
                                           const std::string& name);

// Limits of the control state. The results of commands depend on them, so they
// must be equal on all replicas.
struct ControlLimits {
  // Configuration changes that are kept with their documents.
  std::size_t history_changes = 1000;
  std::size_t history_bytes = 4 << 20;
  // How long the result of an accepted change is kept for retries.
  std::int64_t change_id_retention_ms = 30LL * 24 * 3600 * 1000;
  std::size_t change_ids = 100000;
  // Largest configuration document as JSON text. With its command it must fit
  // into a log entry (1 MiB).
  std::size_t document_bytes = 900 << 10;
  // Age from which an order key is rejected as expired.
  std::int64_t order_retention_ms = 24LL * 3600 * 1000;
  // How long the key of an expired order is kept after that, so that a key
  // without a creation time is still recognized as used.
  std::int64_t order_key_retention_ms = 6LL * 24 * 3600 * 1000;
  // Largest stored response of one order, and of all orders together.
  std::size_t max_order_response_bytes = 64 << 10;
  std::size_t max_total_order_response_bytes = 64 << 20;
  std::size_t orders = 500000;
  // Time for which reports on a crash are collected from the entry daemons
  // before it is evaluated.
  std::int64_t crash_report_window_ms = 1000;
  std::int64_t crash_retention_ms = 3600LL * 1000;
  std::size_t crashes = 1000;
  std::size_t quarantined = 10000;
  std::size_t crash_findings = 256;
  std::int64_t max_quarantine_ms = 24LL * 3600 * 1000;
  // Windows of usage that are kept.
  std::size_t usage_windows = 64;
  // How long an earlier holder of a duty is remembered. Much longer than the
  // lease, since it is measured with the wall clocks of leaders.
  std::int64_t earlier_holder_ms = 60LL * 1000;
  // Lost entry daemons and former replicas that are kept, and for how long.
  // A process that was away for longer is found when it is started again.
  std::size_t lost_entries = 1024;
  std::size_t former_replicas = 16;
  std::int64_t lost_retention_ms = 3600LL * 1000;
};

// The newest grant of a duty. See sycamorebend/duties.h.
struct DutyGrantRecord {
  // Name of the VM that holds the duty.
  std::string holder;
  // Identifies the term of office in which the holder got it.
  std::string session;
  std::uint64_t token = 0;
  // Time of the grant by the leader's clock.
  std::int64_t since_ms = 0;
  // The holder has stopped as planned and sends nothing any more.
  bool released = false;
  // VMs that held the duty before, with the time of the next grant by the
  // leader's clock; only those of the last minute.
  std::map<std::string, std::int64_t> earlier_holders;
};

// The number of requests in one window, as it was or will be reported.
struct FixedUsage {
  std::map<std::string, std::uint64_t> counts;  // By customer.
  bool sent = false;
};

// The windows of usage that are kept, by window.
struct FixedUsageTable {
  std::map<std::uint64_t, std::shared_ptr<const FixedUsage>> windows;
  // Earlier windows were dropped and cannot be fixed any more.
  std::uint64_t first_window = 0;
};

// An entry daemon whose lease expired although it was not draining. It may have
// missed that the control replicas were replaced.
struct LostEntry {
  std::string entry_id;
  std::string notice_address;  // "IP:port" for a ReplicaNotice.
  // Unix milliseconds by the leader's clock.
  std::int64_t expired_ms = 0;
};

// A control replica that was removed from the replica set.
struct FormerReplica {
  std::string address;  // "IP:port" of its RPC server.
  // Unix milliseconds by the leader's clock.
  std::int64_t removed_ms = 0;
};

// Processes that may know none of the present control replicas, oldest losses
// first. Not part of the shared state.
struct LostMembers {
  std::vector<LostEntry> entries;
  std::vector<FormerReplica> replicas;
};

// The state machine of the control replicas. Commands are JSON objects with a
// `type`. Apply returns {"result": ...} or {"error": {"code", "message"}} as
// JSON text. Methods may be called from any thread.
class ControlState : public StateMachine {
 public:
  using SharedCallback =
      std::function<void(std::shared_ptr<const SharedState>)>;

  // @param on_shared is called on the control thread with each new version of
  // the shared state.
  static std::unique_ptr<ControlState> Create(SharedCallback on_shared,
                                              ControlLimits limits = {});

  // @return the shared state; never nullptr.
  virtual std::shared_ptr<const SharedState> Shared() const = 0;

  // @param version a configuration version; the newest if not given.
  // @return {version, change_id, operator, time_ms, document}, or kNotFound if
  // that version is no longer kept.
  virtual Result<Json::Value> ShowConfiguration(
      std::optional<std::uint64_t> version) const = 0;

  // @return the newest `limit` changes without documents, newest first.
  virtual Json::Value History(std::size_t limit) const = 0;

  // @return the record of an order, or kNotFound.
  virtual Result<Json::Value> GetOrder(const std::string& customer,
                                       const std::string& key) const = 0;

  // @return the sizes of the tables: orders, change IDs, crashes, bytes.
  virtual Json::Value Counts() const = 0;

  // @return the newest grants by name of the duty.
  virtual std::map<std::string, DutyGrantRecord> DutyGrants() const = 0;

  virtual FixedUsageTable FixedUsageWindows() const = 0;

  virtual LostMembers Lost() const = 0;

  // @return true if a `clock.tick` at `now_ms` would change the state.
  virtual bool NeedsTick(std::int64_t now_ms) const = 0;
};

// Decodes the return value of ControlState::Apply.
Result<Json::Value> DecodeCommandResult(const std::string& response);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_CONTROL_H_
