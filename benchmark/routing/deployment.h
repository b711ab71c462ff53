// The two simulated deployments (docs/design.md, section 1.1), their request
// classes, and the benchmark scenarios (section 1.7).
#ifndef BENCHMARK_ROUTING_DEPLOYMENT_H_
#define BENCHMARK_ROUTING_DEPLOYMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "sycamorebend/routing.h"

namespace sycamorebend::benchmark {

// Size of the requests of a class, and the class's share of the load.
struct ClassLoad {
  std::string name;
  double work_share = 0;  // Share of the server time of engines or services.
  int input_tokens = 0;   // Drawn uniformly between half and twice this value.
  int output_tokens = 0;  // Median of a log-normal distribution.
  double output_sigma = 0;
  // Number of distinct long prompt prefixes shared by requests, such as service
  // histories or rosters; 0: none.
  int shared_prefixes = 0;
};

struct ServerSpec {
  std::string id;
  std::string model;
  int domain = 0;
  int slots = 16;
  // Fixed part of the duration of a step; 0 for a plain service.
  Duration step_base{0};
};

struct Deployment {
  std::string name;
  std::shared_ptr<const Policy> policy;
  std::vector<ClassLoad> loads;
  std::vector<ServerSpec> servers;
  Duration domain_delay{0};  // One-way delay between failure domains.
  Duration caller_delay{0};  // One-way delay between callers and entry daemons.
  std::vector<double> customer_shares;
};

// Values of the label "model" of engines and of plain services.
constexpr const char* kEngineModel = "engine";
constexpr const char* kServiceModel = "service";

Deployment Karoo();
Deployment Prairie();

struct Scenario {
  std::string name;
  double load = 0.6;  // Relative to capacity.
  // Load between kFaultStart and kFaultEnd, relative to capacity; 0: no peak.
  double peak_load = 0;
  // Between kFaultStart and kFaultEnd, this class gets additional load that
  // alone fills the capacity.
  std::string burst_class;
  bool stragglers = false;
  bool crashes = false;
  bool silent = false;
  bool crashing_request = false;
  bool half_leave = false;
  bool domain_lost = false;

  bool HasFault() const {
    return this->stragglers || this->crashes || this->silent ||
           this->crashing_request || this->half_leave || this->domain_lost;
  }
};

std::vector<Scenario> Scenarios(const Deployment& deployment);

constexpr seconds kFaultStart(20);
constexpr seconds kFaultEnd(80);
constexpr seconds kArrivalsEnd(100);
constexpr int kEntryCount = 8;
constexpr int kDomains = 3;
constexpr int kBlockTokens = 64;  // 256 bytes of prompt.

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_DEPLOYMENT_H_
