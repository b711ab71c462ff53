// Output length and time for each token, learnt by class and customer.
#ifndef ROUTING_LENGTH_ESTIMATOR_H_
#define ROUTING_LENGTH_ESTIMATOR_H_

#include <cstddef>
#include <unordered_map>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// The estimates of one class. A guess can be wrong by a large factor, so they
// only order work, charge customers (corrected once the length is known) and
// refuse a request when even a fraction of the guess cannot be done in time.
class LengthEstimator {
 public:
  // @param tokens length of a complete answer.
  void AddLength(std::size_t customer, int tokens);
  // @return expected output tokens, at most `limit` if that is positive.
  double Tokens(std::size_t customer, int limit) const;

  void AddFirstTokenTime(Duration time);
  // Time from dispatch to first token of a request that did not queue.
  Duration FirstTokenTime() const { return this->first_token; }

  void AddTokenTime(Duration time);
  Duration TokenTime() const { return this->token_time; }

  // Time on a server until the answer is complete.
  Duration ServiceTime(std::size_t customer, int limit) const;
  void ForgetCustomers() { this->by_customer.clear(); }

 private:
  struct Mean {
    double value = 0;
    double count = 0;
  };

  Mean all;
  std::unordered_map<std::size_t, Mean> by_customer;
  Duration first_token = milliseconds(100);
  Duration token_time = milliseconds(20);
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_LENGTH_ESTIMATOR_H_
