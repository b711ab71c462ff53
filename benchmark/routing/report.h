// Reports of the policy benchmark: table, CSV file, SVG plot and checks against
// bounds.
#ifndef BENCHMARK_ROUTING_REPORT_H_
#define BENCHMARK_ROUTING_REPORT_H_

#include <string>
#include <vector>

#include "simulation.h"

namespace sycamorebend::benchmark {

// Results of a scheduler in a scenario, summed over all seeds.
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
// Fraction of requests that met all latency targets; UrgentAttainment considers
// only tier 0.
double UrgentAttainment(const RunResult& run);
double Attainment(const RunResult& run);
double Goodput(const RunResult& run);
double WastedTokens(const RunResult& run);

void PrintTable(const std::vector<Row>& rows);
bool WriteCsv(const std::vector<Row>& rows, const std::string& path);

// Checks values against bounds, prints `name value unit bound pass|fail` for
// each and counts the failures.
class BoundChecker {
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
                 BoundChecker& bounds);

// Writes an SVG plot of urgent attainment, goodput and wasted tokens of each
// scheduler (plot.cc).
bool WriteSvg(const std::vector<Row>& rows, const std::string& path);

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_REPORT_H_
