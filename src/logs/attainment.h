// Attainment, refusals and failures over time, from the logs of gateways.
#ifndef SYCAMOREBEND_SRC_LOGS_ATTAINMENT_H_
#define SYCAMOREBEND_SRC_LOGS_ATTAINMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "logs/log_reader.h"

namespace sycamorebend::logs {

// Requests that ended in one interval or on one route, by outcome.
struct OutcomeCounts {
  int in_time = 0;
  int late = 0;
  int refused = 0;  // 429 and 503.
  int failed = 0;
  std::int64_t slowest_ms = 0;  // To the first event, or to the full response.

  int Total() const {
    return this->in_time + this->late + this->refused + this->failed;
  }
};

struct Attainment {
  std::int64_t begin_ms = 0;  // Wall clock at the start of the first interval.
  std::int64_t interval_ms = 0;  // Length of an interval.
  std::vector<OutcomeCounts> intervals;
  std::map<std::string, OutcomeCounts> by_route;
};

// @param interval_ms greater than 0.
Attainment ComputeAttainment(const LogLines& logs, std::int64_t interval_ms);

// @return a table for a terminal: the intervals, then the routes.
std::string FormatAttainment(const Attainment& attainment);

// @return an SVG chart of the intervals: stacked shares over time.
std::string RenderAttainmentSvg(const Attainment& attainment);

}  // namespace sycamorebend::logs

#endif  // SYCAMOREBEND_SRC_LOGS_ATTAINMENT_H_
