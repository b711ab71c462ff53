#include "load/distribution.h"

#include <algorithm>
#include <cmath>

namespace sycamorebend {

namespace {

constexpr double kGrowth = 1.04;
constexpr double kMicrosecondsPerMillisecond = 1000;

}  // namespace

void Distribution::Add(Duration value) {
  const double microseconds =
      std::chrono::duration<double, std::micro>(value).count();
  const double bucket =
      microseconds <= 1 ? 0 : std::log(microseconds) / std::log(kGrowth);
  ++this->buckets[std::min(kBuckets - 1, static_cast<std::size_t>(bucket))];
  ++this->count;
}

double Distribution::Percentile(double share) const {
  if (this->count == 0) {
    return 0;
  }
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(share * static_cast<double>(this->count)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += this->buckets[i];
    if (seen >= std::max<std::uint64_t>(rank, 1)) {
      // The middle of the bucket.
      return std::pow(kGrowth, static_cast<double>(i) + 0.5) /
             kMicrosecondsPerMillisecond;
    }
  }
  return 0;
}

}  // namespace sycamorebend
