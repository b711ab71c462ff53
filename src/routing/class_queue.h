// Queue for the requests of one class, with weighted fair sharing between
// customers.
#ifndef ROUTING_CLASS_QUEUE_H_
#define ROUTING_CLASS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "routing/request.h"

namespace sycamorebend::internal {

// Start-time fair queueing: the next request is taken from the customer that
// has received the least service relative to its weight. The service of a
// customer that was idle is raised to the current virtual time, so that unused
// shares do not accumulate.
class ClassQueue {
 public:
  // @param weights by customer index; positive.
  explicit ClassQueue(std::vector<double> weights = {});

  void Push(Request& request);
  // Does nothing if the request is not in the queue.
  void Remove(Request& request);
  // @return the request to serve next, or nullptr.
  Request* Front() const;
  // @return the request that has waited least, or nullptr.
  Request* Newest() const;
  // Removes `request` and charges its customer `cost` tokens.
  void RemoveAndCharge(Request& request, double cost);
  // Adds `cost`, which may be negative, to correct an earlier charge once the
  // actual cost is known.
  void Charge(std::size_t customer, double cost);
  bool Empty() const { return this->by_arrival.empty(); }
  std::size_t Size() const { return this->by_arrival.size(); }

 private:
  struct Customer {
    std::map<std::uint64_t, Request*> waiting;
    double weight = 1;
    double service = 0;
  };

  std::vector<Customer> customers;
  std::map<std::uint64_t, Request*> by_arrival;
  double virtual_time = 0;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_CLASS_QUEUE_H_
