// Limits retries to a fraction of the requests, so that retries after failures
// do not overload the remaining backend servers.
#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// Retries allowed in 10 s: slack + max(floor, ratio * requests), rounded down.
struct RetryLimits {
  double ratio = 0.1;
  int floor = 30;
  // May have a fraction: the share of one of many gateways can be below 1.
  double slack = 0;
};

// Counts requests and retries over the last 10 s, in buckets of 1 s.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits = {}) : limits(limits) {}

  void SetLimits(RetryLimits new_limits) { this->limits = new_limits; }
  void CountRequest(TimePoint now);
  // Counts a retry if the budget allows it.
  // @return whether the retry is allowed.
  bool TryRetry(TimePoint now);
  // @return the number of retries that the budget still allows at `now`.
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
