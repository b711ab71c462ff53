#include "routing/length_estimator.h"

#include <algorithm>

namespace sycamorebend::internal {

namespace {

// Prior for the output length and its weight, as a number of responses.
constexpr double kPriorTokens = 100;
constexpr double kPriorCount = 1;
// Weight of the class mean in a customer's estimate, as a number of responses.
constexpr double kClassMeanCount = 8;
// Limits the weight of past responses, so that the mean follows changes.
constexpr double kMaxCount = 64;
// Divisor of the exponential moving average of times. Samples are clipped to
// twice the mean, so a sample raises it by at most 1/16 and a straggler does
// not distort the estimate of the class.
constexpr int kTimeSmoothing = 16;

void Add(Duration& mean, Duration value) {
  mean += (std::min(value, 2 * mean) - mean) / kTimeSmoothing;
  mean = std::max(mean, Duration(1000));
}

}  // namespace

void LengthEstimator::AddOutputLength(std::size_t customer, int tokens) {
  for (Mean* mean : {&this->class_mean, &this->by_customer[customer]}) {
    mean->count = std::min(mean->count + 1, kMaxCount);
    mean->value += (tokens - mean->value) / mean->count;
  }
}

double LengthEstimator::ExpectedTokens(std::size_t customer, int limit) const {
  double mean = (this->class_mean.value * this->class_mean.count +
                 kPriorTokens * kPriorCount) /
                (this->class_mean.count + kPriorCount);
  const auto own = this->by_customer.find(customer);
  if (own != this->by_customer.end()) {
    const Mean& value = own->second;
    mean = (value.value * value.count + mean * kClassMeanCount) /
           (value.count + kClassMeanCount);
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
  const double tokens = this->ExpectedTokens(customer, limit);
  return this->first_token +
         Duration(static_cast<std::int64_t>(
             tokens * static_cast<double>(this->token_time.count())));
}

}  // namespace sycamorebend::internal
