// Counters and histograms of a gateway's requests. They are accumulated here,
// which is cheap for each request, and published when the metrics are read.
#ifndef SYCAMOREBEND_SRC_GATEWAY_REQUEST_METRICS_H_
#define SYCAMOREBEND_SRC_GATEWAY_REQUEST_METRICS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/metrics.h"

namespace sycamorebend::gateway {

// Outcome of a request from its caller's view.
enum class RequestOutcome {
  kInTime = 0,
  kLate = 1,
  kRefused = 2,  // Guaranteed not to have run.
  kFailed = 3,
  kCallerLeft = 4,
};

// @return the name of `outcome` in metrics.
std::string_view RequestOutcomeName(RequestOutcome outcome);

struct RequestResult {
  std::string route;
  std::string tenant;  // Empty for requests without a tenant.
  RequestOutcome outcome = RequestOutcome::kInTime;
  int status = 0;
  int attempts = 0;
  Duration target{0};
  // Time to the first event or to the complete response; 0 if there was
  // neither.
  Duration first_event{0};
  Duration longest_gap{0};  // Longest time between two events of a stream.
};

class RequestMetrics {
 public:
  void Add(const RequestResult& result);
  // Counts an attempt that ended.
  // @param framing how the end of the server's response was marked.
  // @param outcome name of an AttemptOutcome.
  void AddAttempt(const std::string& framing, std::string_view outcome) {
    ++this->attempt_ends[{framing, std::string(outcome)}];
  }
  // Counts a request that was rejected before forwarding.
  void AddRejected(int status) { ++this->rejected[status]; }
  // Counts a request that arrived while no quorum had confirmed the
  // configuration in force for long.
  void AddUnconfirmed() { ++this->unconfirmed; }
  // Writes the totals to `metrics`; may be called repeatedly.
  void Publish(Metrics& metrics);

 private:
  // Number of values per bucket; the last bucket has no upper bound.
  struct Histogram {
    std::vector<double> counts;
    double sum = 0;
  };
  using CountKey = std::tuple<std::string, std::string, RequestOutcome, int>;

  static void Observe(Histogram& histogram, Duration value);

  std::map<CountKey, std::uint64_t> requests;
  std::map<std::string, std::uint64_t> attempts;
  // By framing and outcome.
  std::map<std::pair<std::string, std::string>, std::uint64_t> attempt_ends;
  std::map<int, std::uint64_t> rejected;
  std::uint64_t unconfirmed = 0;
  std::map<std::string, Histogram> first_event;
  std::map<std::string, Histogram> longest_gaps;
  std::set<std::string> tenants;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_REQUEST_METRICS_H_
