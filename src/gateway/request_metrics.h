// Counts and distributions of a gateway's requests. They are added up here,
// which costs little for each request, and published when they are read.
#ifndef SYCAMOREBEND_SRC_GATEWAY_REQUEST_METRICS_H_
#define SYCAMOREBEND_SRC_GATEWAY_REQUEST_METRICS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/metrics.h"

namespace sycamorebend::gateway {

// How a request ended, for its caller.
enum class RequestOutcome {
  kInTime = 0,
  kLate = 1,
  kRefused = 2,  // With the promise that it has not run.
  kFailed = 3,
  kCallerLeft = 4,
};

// @return the name of `outcome` in metrics.
std::string_view RequestOutcomeName(RequestOutcome outcome);

struct RequestResult {
  std::string route;
  std::string tenant;  // Empty without API keys.
  RequestOutcome outcome = RequestOutcome::kInTime;
  int status = 0;
  int attempts = 0;
  Duration target{0};
  // Time to the first event, or to the whole answer; 0 if there was none.
  Duration first{0};
  Duration longest_gap{0};  // Between the events of a stream.
};

class RequestMetrics {
 public:
  void Add(const RequestResult& result);
  // Counts a request that was not forwarded.
  void AddRejected(int status) { ++this->rejected[status]; }
  // Writes the totals; may be called any number of times.
  void Publish(Metrics& metrics);

 private:
  // Counts of values up to each bound, and above the last.
  struct Distribution {
    std::vector<double> counts;
    double sum = 0;
  };
  using CountKey = std::tuple<std::string, std::string, RequestOutcome, int>;

  static void Observe(Distribution& distribution, Duration value);

  std::map<CountKey, std::uint64_t> requests;
  std::map<std::string, std::uint64_t> attempts;
  std::map<int, std::uint64_t> rejected;
  std::map<std::string, Distribution> first;
  std::map<std::string, Distribution> pauses;
  std::set<std::string> tenants;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_REQUEST_METRICS_H_
