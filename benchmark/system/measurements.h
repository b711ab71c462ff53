// Measurements with real daemons as processes on loopback.
#ifndef SYCAMOREBEND_BENCHMARK_SYSTEM_MEASUREMENTS_H_
#define SYCAMOREBEND_BENCHMARK_SYSTEM_MEASUREMENTS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Compares figures with their bounds: prints a line `name value unit bound
// pass|fail` for each and counts failures.
class BoundChecker {
 public:
  void AtMost(const std::string& name,
              double value,
              const std::string& unit,
              double bound);
  void AtLeast(const std::string& name,
               double value,
               const std::string& unit,
               double bound);
  // Prints a figure that has no bound.
  void Report(const std::string& name, double value, const std::string& unit);
  int Failures() const { return this->failures; }

 private:
  void Print(const std::string& name,
             double value,
             const std::string& unit,
             const std::string& bound,
             bool pass);

  int failures = 0;
};

// Resources of a process, from /proc.
struct ProcessUsage {
  Duration cpu{0};
  double resident_megabytes = 0;
};
ProcessUsage ReadUsage(pid_t pid);

void MeasureFirstByte(BoundChecker& checker);
void MeasureThroughput(BoundChecker& checker);
void MeasureMemory(BoundChecker& checker);
void MeasureInterleaved(BoundChecker& checker);
void MeasureChangeInForce(BoundChecker& checker);
void MeasureNewLeader(BoundChecker& checker);
void MeasureFeed(BoundChecker& checker);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_BENCHMARK_SYSTEM_MEASUREMENTS_H_
