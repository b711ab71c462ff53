// Wall clock without jumps: windows of usage are defined in true time, and the
// wall clock of a VM can be set wrong for a while.
#ifndef SYCAMOREBEND_SRC_DUTIES_TRUE_TIME_H_
#define SYCAMOREBEND_SRC_DUTIES_TRUE_TIME_H_

#include <cstdint>
#include <optional>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Not thread-safe.
class TrueTime {
 public:
  // @return the time in milliseconds since the Unix epoch.
  // @param now on the monotonic clock that counts suspensions.
  // @param wall_ms what the wall clock shows at that time.
  std::int64_t Read(TimePoint now, std::int64_t wall_ms);

  // Jumps of the wall clock that were noticed.
  std::uint64_t Jumps() const { return this->jumps; }

 private:
  // Wall time minus monotonic time.
  std::optional<Duration> offset;
  // Start of the time for which the wall clock has disagreed.
  std::optional<TimePoint> disagrees_since;
  std::uint64_t jumps = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_DUTIES_TRUE_TIME_H_
