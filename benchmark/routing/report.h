// Tables, CSV and bounds of the policy benchmark.
#ifndef BENCHMARK_ROUTING_REPORT_H_
#define BENCHMARK_ROUTING_REPORT_H_

#include <string>
#include <vector>

#include "simulation.h"

namespace sycamorebend::benchmark {

// One scheduler in one scenario, over all seeds.
struct Row {
  std::string deployment;
  std::string scenario;
  std::string scheduler;
  bool twice_capacity = false;
  bool fault = false;
  RunResult run;
};

// The name of the scheduler under test in Row::scheduler.
constexpr const char* kPolicyName = "policy";

void Merge(RunResult& into, const RunResult& from);
// Attained requests of tier 0 divided by all of tier 0.
double UrgentAttainment(const RunResult& run);
double Attainment(const RunResult& run);
double Goodput(const RunResult& run);
double Waste(const RunResult& run);

void PrintTable(const std::vector<Row>& rows);
bool WriteCsv(const std::vector<Row>& rows, const std::string& path);

// Prints `name value unit bound pass|fail`.
class Bounds {
 public:
  void AtLeast(const std::string& name,
               double value,
               const char* unit,
               double bound);
  void AtMost(const std::string& name,
              double value,
              const char* unit,
              double bound);
  int Failures() const { return this->failures; }

 private:
  void Print(const std::string& name,
             double value,
             const char* unit,
             const char* relation,
             double bound,
             bool pass);

  int failures = 0;
};

void CheckBounds(const std::vector<Row>& rows,
                 const std::vector<Deployment>& deployments,
                 Bounds& bounds);

// plot.cc: attainment and goodput of each scheduler as an SVG file.
bool WriteSvg(const std::vector<Row>& rows, const std::string& path);

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_REPORT_H_
