#include <ctime>

#include "sycamorebend/base.h"

namespace sycamorebend {

TimePoint SystemClock::Now() const {
  // CLOCK_MONOTONIC stands still while a VM is suspended, and a lease that is
  // measured on it would outlive the suspension.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
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
