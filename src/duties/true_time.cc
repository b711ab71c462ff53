#include "duties/true_time.h"

namespace sycamorebend {

namespace {

// A larger difference from the expected time is a jump. Adjustments of a clock
// that runs at a slightly wrong rate are much smaller between two readings.
constexpr Duration kMaxAdjustment = milliseconds(100);
// A wall clock that disagrees for this long was set right, not wrong. Longer
// than a wrong clock usually stays unnoticed.
constexpr Duration kMaxDisagreement = std::chrono::minutes(10);

}  // namespace

std::int64_t TrueTime::Read(TimePoint now, std::int64_t wall_ms) {
  const Duration measured = milliseconds(wall_ms) - now.time_since_epoch();
  const Duration difference = measured - this->offset.value_or(measured);
  const bool agrees =
      difference <= kMaxAdjustment && difference >= -kMaxAdjustment;
  const bool set_right =
      this->disagrees_since && now - *this->disagrees_since > kMaxDisagreement;
  if (agrees || set_right) {
    this->offset = measured;
    this->disagrees_since.reset();
  } else if (!this->disagrees_since) {
    this->disagrees_since = now;
    ++this->jumps;
  }
  return ToMilliseconds(now.time_since_epoch() + *this->offset);
}

}  // namespace sycamorebend
