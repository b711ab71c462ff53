// Model placement: decides which engine loads which model version, and when
// commands to engines may be sent under a fencing token. See docs/placement.md.
#ifndef SYCAMOREBEND_PLACEMENT_H_
#define SYCAMOREBEND_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

// A version of a model, such as {"repair-13b", "4"}.
struct ModelVersion {
  std::string model;
  std::string version;

  bool operator<(const ModelVersion& other) const;
  bool operator==(const ModelVersion& other) const;
};

// The phases of inference that an engine runs: both, prefill only or decode
// only.
enum class EngineRole : int { kMixed = 0, kPrefill = 1, kDecode = 2 };

// @return "mixed", "prefill" or "decode".
std::string_view EngineRoleName(EngineRole role);

// State of an engine, as input to the planner.
struct EngineView {
  std::string server_id;
  std::string failure_domain;
  // Models that the engine is allowed to load; empty: any.
  std::set<std::string> allowed_models;
  std::set<ModelVersion> loaded;
  EngineRole role = EngineRole::kMixed;
  int model_slots = 1;  // Models that fit into its memory at the same time.
  bool accepting = true;
  // True if the engine refuses commands with an outdated fencing token.
  bool checks_fence = false;
};

// Demand for a model over the last measurement window.
struct ModelDemand {
  ModelVersion model;
  // Number of engines kept busy by the demand, such as 2.5. Queued requests
  // count like running ones.
  double busy_engines = 0;
  // True if a configured class that is in use needs the model, so that at least
  // one engine must serve it.
  bool required = true;
  std::uint64_t weight_bytes = 0;
};

enum class EngineCommandKind : int { kLoadModel = 0, kUnloadModel = 1 };

// @return "load_model" or "unload_model".
std::string_view EngineCommandKindName(EngineCommandKind kind);

// A command to an engine to load or unload a model.
struct EngineCommand {
  std::string server_id;
  EngineCommandKind kind = EngineCommandKind::kLoadModel;
  ModelVersion model;
  std::string reason;
};

struct PlacementOptions {
  // Engines to provide per busy engine, so that short bursts can be served.
  double headroom = 1.25;
  // A model gives up an engine only if the utilization of its remaining engines
  // stays below this, or to a model without any engine. The distance to
  // 1 / headroom prevents thrashing.
  double release_utilization = 0.5;
  // Minimum time between two changes of the same engine.
  Duration min_dwell_time = std::chrono::minutes(5);
  // A shortage must last this long before an engine is taken from another
  // model. A model without any engine gets one immediately.
  Duration min_shortage_duration = std::chrono::minutes(1);
  std::uint64_t weight_store_bytes_per_second = 1ULL << 30;
  // Maximum time that all pending loads together may need at the weight store.
  Duration max_load_duration = std::chrono::minutes(2);
};

// Plans commands to engines. Reads no clock and does no I/O; not thread-safe.
class PlacementPlanner {
 public:
  virtual ~PlacementPlanner() = default;

  static std::unique_ptr<PlacementPlanner> Create(
      const PlacementOptions& options);

  // @return the commands to send now, most important first. A command is
  // pending until OnCommandDone is called for its server.
  virtual std::vector<EngineCommand> Plan(
      const std::vector<EngineView>& engines,
      const std::vector<ModelDemand>& demand,
      TimePoint now) = 0;

  // The command was executed, was refused by the engine, or expired.
  virtual void OnCommandDone(const std::string& server_id, TimePoint now) = 0;
};

// A command together with its fencing token, as sent to the engine.
struct FencedCommand {
  EngineCommand command;
  std::uint64_t fence = 0;
  // The engine must not start the command later than this after it was sent.
  Duration lifetime{0};
};

struct CommandAdmissionOptions {
  // Maximum time for which a previous holder may still consider its fencing
  // token valid.
  Duration fence_lease = seconds(5);
  // Maximum time from sending a command until the engine starts it.
  Duration command_lifetime = seconds(10);
};

// Decides when the holder of a fencing token may send commands to engines.
// Engines that do not check the token also accept commands of previous holders.
// For these engines, a new holder waits until no earlier command can be in
// flight and the engine's state was read after that. Not thread-safe.
class CommandAdmission {
 public:
  explicit CommandAdmission(const CommandAdmissionOptions& options);

  // This process was granted the fencing token `fence`.
  // @param asked_at when it was requested.
  void OnFenceGranted(std::uint64_t fence, TimePoint asked_at, TimePoint now);
  // Another process holds a newer fencing token.
  void OnFenceLost();
  // The lease of the fencing token was renewed.
  // @param asked_at when the renewal was requested.
  void OnFenceRenewed(std::uint64_t fence, TimePoint asked_at);
  // The state of an engine was read. @param asked_at when it was requested.
  void OnEngineStateRead(const std::string& server_id, TimePoint asked_at);
  // A command was sent. The engine's state is unknown until it is read again.
  void OnCommandSent(const std::string& server_id);

  // Must be called immediately before sending.
  // @return the command to send; kFenceTooOld or kServerUnknown, with the
  // reason, if it must not be sent now.
  Result<FencedCommand> Admit(const EngineCommand& command,
                              bool checks_fence,
                              TimePoint now) const;

 private:
  const CommandAdmissionOptions options;
  std::uint64_t fence = 0;
  TimePoint lease_until;
  // No command of a previous holder can start at or after this time.
  TimePoint earlier_commands_expire_at;
  // When the latest known state of each engine was requested, by server ID.
  std::map<std::string, TimePoint> read_at;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_PLACEMENT_H_
