// Distribution of durations with a relative error of 2%.
#ifndef SYCAMOREBEND_LOAD_DISTRIBUTION_H_
#define SYCAMOREBEND_LOAD_DISTRIBUTION_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "sycamorebend/base.h"

namespace sycamorebend {

class Distribution {
 public:
  void Add(Duration value);
  std::uint64_t Count() const { return this->count; }
  // @param share from 0 to 1.
  // @return the percentile in milliseconds; 0 if nothing was added.
  double Percentile(double share) const;

 private:
  // 1 us * 1.04^600 is about 4.6 hours.
  static constexpr std::size_t kBuckets = 600;
  std::array<std::uint64_t, kBuckets> buckets{};
  std::uint64_t count = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_LOAD_DISTRIBUTION_H_
