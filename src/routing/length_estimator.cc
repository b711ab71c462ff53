#include "routing/length_estimator.h"

#include <algorithm>

namespace sycamorebend::internal {

namespace {

// Assumed length before anything was learnt, counted as this many answers.
constexpr double kPriorTokens = 100;
constexpr double kPriorWeight = 1;
// A customer's own mean counts fully only after several answers.
constexpr double kClassWeight = 8;
// Older answers fade, so that the estimate follows a change.
constexpr double kMemory = 64;
// One observation moves a mean time by 1/16 at most, and an outlier counts as
// twice the mean at most: one straggler does not shift the class.
constexpr int kTimeMemory = 16;

void Add(Duration& mean, Duration value) {
  mean += (std::min(value, 2 * mean) - mean) / kTimeMemory;
  mean = std::max(mean, Duration(1000));
}

}  // namespace

void LengthEstimator::AddLength(std::size_t customer, int tokens) {
  for (Mean* mean : {&this->all, &this->by_customer[customer]}) {
    mean->count = std::min(mean->count + 1, kMemory);
    mean->value += (tokens - mean->value) / mean->count;
  }
}

double LengthEstimator::Tokens(std::size_t customer, int limit) const {
  double mean =
      (this->all.value * this->all.count + kPriorTokens * kPriorWeight) /
      (this->all.count + kPriorWeight);
  const auto own = this->by_customer.find(customer);
  if (own != this->by_customer.end()) {
    const Mean& value = own->second;
    mean = (value.value * value.count + mean * kClassWeight) /
           (value.count + kClassWeight);
  }
  return limit > 0 ? std::min(mean, static_cast<double>(limit)) : mean;
}

void LengthEstimator::AddFirstTokenTime(Duration time) {
  Add(this->first_token, time);
}

void LengthEstimator::AddTokenTime(Duration time) {
  Add(this->token_time, time);
}

Duration LengthEstimator::ServiceTime(std::size_t customer, int limit) const {
  const double tokens = this->Tokens(customer, limit);
  return this->first_token +
         Duration(static_cast<std::int64_t>(
             tokens * static_cast<double>(this->token_time.count())));
}

}  // namespace sycamorebend::internal
