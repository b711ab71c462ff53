// Deterministic control state of a deployment: configuration and its history,
// orders, drains, entry daemons, crash findings and fencing numbers. See
// docs/design.md, section 3.3, and docs/control.md.
#ifndef SYCAMOREBEND_CONTROL_H_
#define SYCAMOREBEND_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"

namespace sycamorebend {

// One entry daemon as the control state knows it.
struct EntryInfo {
  std::string entry_id;
  std::string address;  // "IP:port" for callers, backend servers and RPC.
  std::string failure_domain;
  std::string incarnation;
  bool draining = false;
};

// One backend server that announces itself to the control replicas.
struct ServerRecord {
  std::string server_id;
  // Grows with every start of a server under the same ID.
  std::uint64_t incarnation = 0;
  // Number of the announcement that this record reflects.
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;  // "IP:port".
  std::string failure_domain;
  int slots = 1;
  // It gets no new work.
  bool leaving = false;
  // Nothing was heard of it for longer than the announcement lease. It may
  // still serve: the path to the control replicas can be all that failed.
  bool silent = false;
};

// @return true if both say the same, whatever their sequence.
bool SameAnnouncement(const ServerRecord& a, const ServerRecord& b);

// Members of a record as they stand in commands and in the shared state.
Json::Value ServerRecordToJson(const ServerRecord& record);
// @return the record, or kMalformedRequest naming the field.
Result<ServerRecord> ServerRecordFromJson(const Json::Value& value);

// Everything that entry daemons share, at one version.
struct SharedState {
  // Identifies the deployment's control state. Versions of different epochs
  // cannot be compared. Empty in a control state that was never initialised.
  std::string epoch;
  // Grows with every change of any part.
  std::uint64_t version = 0;
  // Version and document of the operators' configuration. Version 0 has a null
  // document.
  std::uint64_t configuration_version = 0;
  Json::Value configuration;
  std::vector<EntryInfo> entries;
  // Backend servers that announced themselves to the control replicas.
  std::vector<ServerRecord> servers;
  // IDs of backend servers that operators drain.
  std::set<std::string> drained_servers;
  // Fingerprints of requests that must not run.
  std::set<std::string> quarantined;
  // Addresses of the control replicas.
  std::vector<std::string> replicas;
};

Json::Value SharedStateToJson(const SharedState& state);
// @return the state, or kProtocolError naming the field.
Result<SharedState> SharedStateFromJson(const Json::Value& value);

// @return a patch that PatchJson turns `before` into `after` with. Members of
// objects are compared by name; of an array, the elements between the common
// start and the common end are replaced.
Json::Value DiffJson(const Json::Value& before, const Json::Value& after);
// @return the patched value, or kProtocolError if the patch does not fit.
Result<Json::Value> PatchJson(Json::Value value, const Json::Value& patch);

// Bounds of the state. They take part in deciding commands and must therefore
// be equal on all replicas.
struct ControlLimits {
  // Changes whose documents can be shown.
  std::size_t history_changes = 1000;
  std::size_t history_bytes = 4 << 20;
  // How long the answer to an accepted change is kept for resends.
  std::int64_t change_id_retention_ms = 30LL * 24 * 3600 * 1000;
  std::size_t change_ids = 100000;
  // Largest configuration document as JSON text; with its command it has to fit
  // into an entry of the log (1 MiB).
  std::size_t document_bytes = 900 << 10;
  // Age from which an order key is refused.
  std::int64_t order_retention_ms = 24LL * 3600 * 1000;
  // How long a used key is remembered after that, for keys without a creation
  // time.
  std::int64_t order_key_retention_ms = 6LL * 24 * 3600 * 1000;
  // Largest stored answer of one order, and of all orders together.
  std::size_t max_order_response_bytes = 64 << 10;
  std::size_t max_total_order_response_bytes = 64 << 20;
  std::size_t orders = 500000;
  // Time for all entry daemons to report their part of a crash.
  std::int64_t crash_report_window_ms = 1000;
  std::int64_t crash_retention_ms = 3600LL * 1000;
  std::size_t crashes = 1000;
  std::size_t quarantined = 10000;
};

// The state machine behind the replicated log. Commands are JSON objects with a
// `type`; answers are {"result": ...} or {"error": {"code", "message"}}.
// Methods may be called from any thread.
class ControlState : public StateMachine {
 public:
  using SharedCallback =
      std::function<void(std::shared_ptr<const SharedState>)>;

  // @param on_shared runs on the control thread with each new shared state.
  static std::unique_ptr<ControlState> Create(SharedCallback on_shared,
                                              ControlLimits limits = {});

  // @return the shared state; never nullptr.
  virtual std::shared_ptr<const SharedState> Shared() const = 0;

  // @param version a version of the configuration; the newest by default.
  // @return {version, change_id, operator, time_ms, document}, or kNotFound if
  // that version is not kept.
  virtual Result<Json::Value> ShowConfiguration(
      std::optional<std::uint64_t> version) const = 0;

  // @return the newest `limit` changes without documents, newest first.
  virtual Json::Value History(std::size_t limit) const = 0;

  // @return the record of an order, or kNotFound.
  virtual Result<Json::Value> GetOrder(const std::string& customer,
                                       const std::string& key) const = 0;

  // @return counts of what is kept: orders, change IDs, crashes, bytes.
  virtual Json::Value Counts() const = 0;

  // @return true if a `clock.tick` at `now_ms` would change the state.
  virtual bool NeedsTick(std::int64_t now_ms) const = 0;
};

// Reads an answer of ControlState::Apply.
Result<Json::Value> DecodeCommandResult(const std::string& answer);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_CONTROL_H_
