#include "sycamorebend/base.h"

namespace sycamorebend {

TimePoint SystemClock::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

std::int64_t SystemClock::WallTimeMs() const {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TimePoint ManualClock::Now() const {
  std::lock_guard lock(this->mutex);
  return TimePoint(this->elapsed);
}

std::int64_t ManualClock::WallTimeMs() const {
  std::lock_guard lock(this->mutex);
  return ToMilliseconds(this->elapsed);
}

void ManualClock::Advance(Duration step) {
  std::lock_guard lock(this->mutex);
  this->elapsed += step;
}

}  // namespace sycamorebend
