// Placement: which engine loads which model and version, and the fenced
// delivery of engine orders. See docs/placement.md.
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

// A model at one version, such as {"repair-13b", "4"}.
struct ModelVersion {
  std::string model;
  std::string version;

  bool operator<(const ModelVersion& other) const;
  bool operator==(const ModelVersion& other) const;
};

// Part of an answer that an engine works on.
enum class EngineRole : int { kMixed = 0, kPrefill = 1, kDecode = 2 };

// @return "mixed", "prefill" or "decode".
std::string_view EngineRoleName(EngineRole role);

// An engine as the planner sees it.
struct EngineView {
  std::string server_id;
  std::string failure_domain;
  // Models that the engine is allowed to load; empty: any.
  std::set<std::string> allowed_models;
  std::set<ModelVersion> loaded;
  EngineRole role = EngineRole::kMixed;
  int model_slots = 1;  // Models that fit into its memory at the same time.
  bool accepting = true;
  // Refuses engine orders with an old fencing number.
  bool checks_fence = false;
};

// Demand for one model over the last window.
struct ModelDemand {
  ModelVersion model;
  // Engines kept busy by the demand, such as 2.5. Waiting requests count as if
  // they were running.
  double busy_engines = 0;
  // True if a configured class in use needs the model.
  bool required = true;
  std::uint64_t weight_bytes = 0;
};

enum class EngineOrderKind : int { kLoadModel = 0, kUnloadModel = 1 };

// @return "load_model" or "unload_model".
std::string_view EngineOrderKindName(EngineOrderKind kind);

// A command to an engine.
struct EngineOrder {
  std::string server_id;
  EngineOrderKind kind = EngineOrderKind::kLoadModel;
  ModelVersion model;
  std::string reason;
};

struct PlacementOptions {
  // Engines wanted for each busy one, so that short bursts fit.
  double headroom = 1.25;
  // A model gives up an engine only below this share of its engines being
  // busy. The distance to 1 / headroom is what prevents thrashing.
  double release_below = 0.5;
  // An engine is not changed again before this time.
  Duration minimum_dwell = std::chrono::minutes(5);
  // A shortage must last this long before an engine is taken from another
  // model; a model without any engine is served at once.
  Duration shortage_before_move = std::chrono::minutes(1);
  std::uint64_t weight_store_bytes_per_second = 1ULL << 30;
  // Longest time that the loads under way may take together.
  Duration load_window = std::chrono::minutes(2);
};

// Decides engine orders. Reads no clock and does no I/O; not thread-safe.
class PlacementPlanner {
 public:
  virtual ~PlacementPlanner() = default;

  static std::unique_ptr<PlacementPlanner> Create(
      const PlacementOptions& options);

  // @return orders to be given now, the most important first. An order counts
  // as under way until OnOrderDone is called for its server.
  virtual std::vector<EngineOrder> Plan(const std::vector<EngineView>& engines,
                                        const std::vector<ModelDemand>& demand,
                                        TimePoint now) = 0;

  // The engine carried out the order, refused it, or it expired.
  virtual void OnOrderDone(const std::string& server_id, TimePoint now) = 0;
};

// An engine order as it is sent.
struct FencedOrder {
  EngineOrder order;
  std::uint64_t fence = 0;
  // The engine must not begin the order later than this after it was sent.
  Duration lifetime{0};
};

struct OrderGateOptions {
  // Longest time that an earlier holder can believe to hold the fence.
  Duration fence_lease = seconds(5);
  // Longest time from the sending of an order to its beginning at the engine.
  Duration order_lifetime = seconds(10);
};

// Decides when the holder of a fencing number may give engine orders. Engines
// that ignore the number accept orders of an earlier holder, so that a new
// holder waits until none can be on its way any more and the engine's state
// was read after that. Not thread-safe.
class OrderGate {
 public:
  explicit OrderGate(const OrderGateOptions& options);

  // This process was granted `fence`. @param asked_at when it asked.
  void OnFenceGranted(std::uint64_t fence, TimePoint asked_at, TimePoint now);
  // Another process holds a newer fence.
  void OnFenceLost();
  // The lease was confirmed. @param asked_at when the confirmation was asked.
  void OnFenceConfirmed(std::uint64_t fence, TimePoint asked_at);
  // The state of an engine was read. @param asked_at when it was asked.
  void OnEngineStateRead(const std::string& server_id, TimePoint asked_at);
  // An order was sent: the engine's state is unknown until it is read again.
  void OnOrderSent(const std::string& server_id);

  // Called at the moment of sending.
  // @return the order to be sent, or kFenceTooOld or kServerUnknown with the
  // reason why it must not be sent now.
  Result<FencedOrder> Admit(const EngineOrder& order,
                            bool checks_fence,
                            TimePoint now) const;

 private:
  const OrderGateOptions options;
  std::uint64_t fence = 0;
  TimePoint lease_until;
  TimePoint quiet_from;
  std::map<std::string, TimePoint> read_at;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_PLACEMENT_H_
