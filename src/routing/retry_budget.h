// Limits retries to a share of the requests, so that a failing backend server
// does not multiply the load on the others.
#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// Retries that are allowed in 10 s: `slack` and the larger of `floor` and
// `ratio` of the requests.
struct RetryLimits {
  double ratio = 0.1;
  int floor = 30;
  int slack = 0;
};

// Counts requests and retries over the last 10 s, in buckets of 1 s.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits = {}) : limits(limits) {}

  void SetLimits(RetryLimits new_limits) { this->limits = new_limits; }
  void CountRequest(TimePoint now);
  // @return true and counts the retry if the budget allows it.
  bool TryRetry(TimePoint now);
  // @return retries that the budget allows at `now`.
  int Left(TimePoint now) const;

 private:
  static constexpr int kSeconds = 10;
  struct Bucket {
    std::int64_t second = -kSeconds;
    int requests = 0;
    int retries = 0;
  };

  Bucket& Current(TimePoint now);

  RetryLimits limits;
  std::array<Bucket, kSeconds> buckets;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_RETRY_BUDGET_H_
