// What was ordered, what is announced, and when a group may be ordered again.
#ifndef SYCAMOREBEND_SRC_SCALING_ORDER_LEDGER_H_
#define SYCAMOREBEND_SRC_SCALING_ORDER_LEDGER_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sycamorebend/scaling.h"

namespace sycamorebend::internal {

// Not thread-safe.
class OrderLedger {
 public:
  // @param new_startup time from an order until a new engine serves.
  void Update(const std::map<EngineGroup, EngineCounts>& engines,
              Duration new_startup,
              TimePoint new_now);

  // @return the failure domains in which engines were announced.
  std::vector<std::string> Domains() const;

  // @return the number that the last accepted order named. Before the first
  // order, the highest number that was announced: engines that have not yet
  // announced themselves must not be removed by ignorance.
  int Ordered(const EngineGroup& group) const;
  int Announced(const EngineGroup& group) const;
  // @return the lowest number that served within the last seconds.
  int Settled(const EngineGroup& group) const;
  // @return true if engines of the group are leaving.
  bool IsLeaving(const EngineGroup& group) const;
  // @return true if the last order was refused.
  bool IsRefused(const EngineGroup& group) const;
  // @return true if many engines did not announce themselves in time.
  bool IsOverdue(const EngineGroup& group) const;
  // @return the number that can be relied on if `target` is ordered.
  int Expected(const EngineGroup& group, int target) const;

  // @param may_reduce whether an order may lower the announced number.
  // @return the reason to order `target` now, or nothing.
  std::optional<std::string> Due(const EngineGroup& group,
                                 int target,
                                 const std::string& reason,
                                 bool may_reduce);

  void OnOutcome(const EngineGroup& group,
                 int count,
                 OrderOutcome outcome,
                 TimePoint at);

  // @return the groups for operators.
  std::map<EngineGroup, ScalingStatus::Group> Status() const;

 private:
  struct Orders {
    EngineCounts counts;
    std::optional<int> accepted;
    int highest_announced = 0;
    bool in_flight = false;
    bool refused = false;
    int failures = 0;
    // Repetitions since the announced number was last as ordered for long.
    int repetitions = 0;
    // Since when the announced number has been different.
    std::optional<TimePoint> different_since;
    std::optional<TimePoint> same_since;
    TimePoint ordered_at;
    TimePoint not_before;
    std::string reason;
    std::deque<std::pair<TimePoint, int>> serving;

    int Ordered() const { return this->accepted.value_or(highest_announced); }
  };

  const Orders* Find(const EngineGroup& group) const;
  void UpdateGroup(Orders& orders, const EngineCounts& counts);
  // @return true if the last order is to be repeated.
  bool IsRepetitionDue(const EngineGroup& group, const Orders& orders) const;

  std::map<EngineGroup, Orders> groups;
  Duration startup{0};
  TimePoint now;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_SCALING_ORDER_LEDGER_H_
