// Measurements with real daemons as processes on loopback.
#ifndef SYCAMOREBEND_BENCHMARK_SYSTEM_MEASUREMENTS_H_
#define SYCAMOREBEND_BENCHMARK_SYSTEM_MEASUREMENTS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Prints lines `name value unit bound pass|fail` and counts failures.
class Bounds {
 public:
  void AtMost(const std::string& name,
              double value,
              const std::string& unit,
              double bound);
  void AtLeast(const std::string& name,
               double value,
               const std::string& unit,
               double bound);
  // A figure without a bound of its own.
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

void MeasureFirstByte(Bounds& bounds);
void MeasureThroughput(Bounds& bounds);
void MeasureMemory(Bounds& bounds);
void MeasureInterleaved(Bounds& bounds);
void MeasureChangeInForce(Bounds& bounds);
void MeasureNewLeader(Bounds& bounds);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_BENCHMARK_SYSTEM_MEASUREMENTS_H_
