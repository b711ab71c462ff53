// Decides when the counts of a window of usage are complete. Without threads or
// I/O.
#ifndef SYCAMOREBEND_SRC_DUTIES_USAGE_SCHEDULE_H_
#define SYCAMOREBEND_SRC_DUTIES_USAGE_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "sycamorebend/control.h"

namespace sycamorebend {

// Window k begins at k times `window` after the Unix epoch.
struct UsageScheduleOptions {
  Duration window = seconds(5);
  // Time after the end of a window at which its report is due.
  Duration due = seconds(10);
};

class UsageSchedule {
 public:
  explicit UsageSchedule(UsageScheduleOptions options) : options(options) {}

  std::uint64_t WindowAt(std::int64_t time_ms) const;
  std::int64_t EndMs(std::uint64_t window) const;
  // @return the first window whose counts gateways and replicas keep.
  std::uint64_t FirstKept(std::int64_t now_ms) const;

  // @param counted windows with counts.
  // @param first_led window in which this process began to lead.
  // @param informed this leader has had the time to hear of all gateways.
  // @param all_reported whether all live gateways have reported up to a time.
  // @return the windows to be fixed now, the oldest first.
  std::vector<std::uint64_t> ToFix(
      std::int64_t now_ms,
      const FixedUsageTable& fixed,
      const std::set<std::uint64_t>& counted,
      std::uint64_t first_led,
      bool informed,
      const std::function<bool(std::int64_t)>& all_reported) const;

 private:
  const UsageScheduleOptions options;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_DUTIES_USAGE_SCHEDULE_H_
