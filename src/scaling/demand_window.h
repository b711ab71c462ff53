// Work of a service over the last minute.
#ifndef SYCAMOREBEND_SRC_SCALING_DEMAND_WINDOW_H_
#define SYCAMOREBEND_SRC_SCALING_DEMAND_WINDOW_H_

#include <deque>
#include <optional>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// Factor by which work can rise within a second, as observed.
inline constexpr double kBurstFactor = 2.5;

// Work is in engines at the starting capacity. Not thread-safe.
class DemandWindow {
 public:
  // Adds the work of the last second.
  void Add(double work, TimePoint now);

  // @return the highest work of the last seconds.
  double Present(TimePoint now) const;
  // @return the work without bursts.
  double Steady(TimePoint now) const;
  // @return the highest work of the window, or of a burst from the steady work.
  double Peak(TimePoint now) const;
  // @return for how long work has been known without a gap, since the first
  // that was not zero.
  Duration KnownFor(TimePoint now) const;

 private:
  struct Sample {
    TimePoint time;
    double work = 0;
  };

  std::deque<Sample> samples;
  std::optional<TimePoint> known_since;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_SCALING_DEMAND_WINDOW_H_
