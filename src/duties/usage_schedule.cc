#include "duties/usage_schedule.h"

#include <algorithm>

namespace sycamorebend {

namespace {

// Fractions of the time until a report is due. From the first one on, a window
// is fixed if all live gateways have reported past its end: a gateway reports
// each second and a replica forwards each second. At the second one it is fixed
// without those that are missing, which leaves time for resends.
constexpr double kEarliestFix = 0.3;
constexpr double kLatestFix = 0.6;
// A window without any counts, and any window at a new leader that may not have
// heard of all gateways, is fixed only if it would otherwise be missed.
constexpr double kLatestUninformedFix = 0.85;
// Counts are kept until this multiple of that time, so that the reports of a
// window that are late can be told from new ones.
constexpr double kKept = 2;

}  // namespace

std::uint64_t UsageSchedule::WindowAt(std::int64_t time_ms) const {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(time_ms, 0) /
                                    ToMilliseconds(this->options.window));
}

std::int64_t UsageSchedule::EndMs(std::uint64_t window) const {
  return static_cast<std::int64_t>(window + 1) *
         ToMilliseconds(this->options.window);
}

std::uint64_t UsageSchedule::FirstKept(std::int64_t now_ms) const {
  return this->WindowAt(now_ms -
                        ToMilliseconds(Scale(this->options.due, kKept)) -
                        ToMilliseconds(this->options.window));
}

std::vector<std::uint64_t> UsageSchedule::ToFix(
    std::int64_t now_ms,
    const FixedUsageTable& fixed,
    const std::set<std::uint64_t>& counted,
    std::uint64_t first_led,
    bool informed,
    const std::function<bool(std::int64_t)>& all_reported) const {
  const std::uint64_t current = this->WindowAt(now_ms);
  std::vector<std::uint64_t> to_fix;
  for (std::uint64_t window = this->FirstKept(now_ms); window < current;
       ++window) {
    if (window < fixed.first_window || fixed.windows.count(window) > 0) {
      continue;
    }
    const std::int64_t end_ms = this->EndMs(window);
    const Duration since = milliseconds(now_ms - end_ms);
    if (since < Scale(this->options.due, kEarliestFix)) {
      continue;
    }
    const bool has_counts = counted.count(window) > 0;
    // Windows before the deployment began, and those that passed while all of
    // it was down, are not reported.
    const bool expected =
        since < this->options.due &&
        (window >= first_led ||
         (!fixed.windows.empty() && fixed.windows.begin()->first < window));
    const double latest =
        has_counts && informed ? kLatestFix : kLatestUninformedFix;
    if ((has_counts || expected) &&
        (since >= Scale(this->options.due, latest) ||
         (informed && all_reported(end_ms)))) {
      to_fix.push_back(window);
    }
  }
  return to_fix;
}

}  // namespace sycamorebend
