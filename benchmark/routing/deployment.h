// The two deployments of docs/design.md section 1.1, their request classes and
// the scenarios of section 1.7.
#ifndef BENCHMARK_ROUTING_DEPLOYMENT_H_
#define BENCHMARK_ROUTING_DEPLOYMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "sycamorebend/routing.h"

namespace sycamorebend::benchmark {

// How requests of a class look, and which part of the work they are.
struct ClassLoad {
  std::string name;
  double work_share = 0;  // Of the server time of its kind of server.
  int input_tokens = 0;   // Mean; drawn from half to twice of it.
  int output_tokens = 0;  // Median of a log-normal distribution.
  double output_sigma = 0;
  // Different long prompt prefixes (service histories, rosters); 0: none.
  int shared_prefixes = 0;
};

struct ServerSpec {
  std::string id;
  std::string model;
  int domain = 0;
  int slots = 16;
  // Fixed part of a step; a plain service has none.
  Duration step_base{0};
};

struct Deployment {
  std::string name;
  std::shared_ptr<const Policy> policy;
  std::vector<ClassLoad> loads;
  std::vector<ServerSpec> servers;
  Duration domain_delay{0};  // One way, between failure domains.
  Duration caller_delay{0};  // One way.
  std::vector<double> customer_shares;
};

// Names of the model labels: engines and plain services.
constexpr const char* kEngineModel = "engine";
constexpr const char* kServiceModel = "service";

Deployment Karoo();
Deployment Prairie();

struct Scenario {
  std::string name;
  double load = 0.6;  // Relative to capacity.
  double rush = 0;    // Load between kFaultStart and kFaultEnd; 0: no rush.
  std::string burst_class;  // Gets one capacity more in that time.
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
