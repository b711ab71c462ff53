// Learns the work that one engine can do while latency targets are met.
#ifndef SYCAMOREBEND_SRC_SCALING_ENGINE_CAPACITY_H_
#define SYCAMOREBEND_SRC_SCALING_ENGINE_CAPACITY_H_

#include <optional>

#include "sycamorebend/base.h"
#include "sycamorebend/scaling.h"

namespace sycamorebend::internal {

// @return the work of `demand` in engines at the starting capacity.
double WorkOf(const ServiceDemand& demand);

// Not thread-safe.
class EngineCapacity {
 public:
  // @param work in engines at the starting capacity.
  // @param serving number of engines that served it.
  void Observe(const ServiceDemand& demand,
               double work,
               int serving,
               TimePoint now);

  // @return the capacity relative to the starting value.
  double Value() const { return this->value; }

 private:
  // The number of engines changed recently: new engines have cold caches, and
  // the work of lost ones is repeated.
  bool IsSettling(int serving, TimePoint now);
  void ObserveMet(double load, double factor);
  void ObserveMissed(double load, TimePoint now);

  double value = 1;
  std::optional<TimePoint> first_work;
  int last_serving = 0;
  TimePoint changed_at;
  int seconds_met = 0;
  int seconds_missed = 0;
  // Load of an engine at which targets were missed, and when.
  std::optional<double> missed_load;
  TimePoint missed_at;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_SCALING_ENGINE_CAPACITY_H_
