// Estimates the output length and service time of requests.
#ifndef ROUTING_LENGTH_ESTIMATOR_H_
#define ROUTING_LENGTH_ESTIMATOR_H_

#include <cstddef>
#include <unordered_map>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// Estimates for one class. The length of a single response can differ from its
// estimate by a large factor. The estimates are therefore used only to schedule
// requests, to charge customers (corrected once the length is known), and, with
// a margin, to refuse requests that are unlikely to finish by their deadline.
class LengthEstimator {
 public:
  // @param tokens length of a complete response.
  void AddOutputLength(std::size_t customer, int tokens);
  // @return the expected number of output tokens, at most `limit` if it is
  // positive.
  double ExpectedTokens(std::size_t customer, int limit) const;

  void AddFirstTokenTime(Duration time);
  // Time from dispatch to the first token if the server has a free slot.
  Duration FirstTokenTime() const { return this->first_token; }

  void AddTokenTime(Duration time);
  Duration TokenTime() const { return this->token_time; }

  // Expected time from the start at a server until the response is complete.
  Duration ServiceTime(std::size_t customer, int limit) const;
  void ClearCustomers() { this->by_customer.clear(); }

 private:
  struct Mean {
    double value = 0;
    double count = 0;
  };

  Mean class_mean;
  std::unordered_map<std::size_t, Mean> by_customer;
  Duration first_token = milliseconds(100);
  Duration token_time = milliseconds(20);
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_LENGTH_ESTIMATOR_H_
