#include "routing/retry_budget.h"

#include <algorithm>

namespace sycamorebend::internal {

namespace {

std::int64_t ToSeconds(TimePoint now) {
  return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

}  // namespace

RetryBudget::Bucket& RetryBudget::Current(TimePoint now) {
  const std::int64_t second = ToSeconds(now);
  Bucket& bucket = this->buckets[static_cast<std::size_t>(second) % kSeconds];
  if (bucket.second != second) {
    bucket = {second, 0, 0};
  }
  return bucket;
}

void RetryBudget::CountRequest(TimePoint now) {
  ++this->Current(now).requests;
}

int RetryBudget::Left(TimePoint now) const {
  const std::int64_t second = ToSeconds(now);
  int requests = 0;
  int retries = 0;
  for (const Bucket& bucket : this->buckets) {
    if (bucket.second > second - kSeconds) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
  }
  const double share =
      std::max<double>(this->limits.floor, this->limits.ratio * requests);
  return static_cast<int>(this->limits.slack + share) - retries;
}

bool RetryBudget::TryRetry(TimePoint now) {
  if (this->Left(now) <= 0) {
    return false;
  }
  ++this->Current(now).retries;
  return true;
}

}  // namespace sycamorebend::internal
