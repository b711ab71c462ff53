// Waiting requests of one class, with weighted fairness between customers.
#ifndef ROUTING_CLASS_QUEUE_H_
#define ROUTING_CLASS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "routing/request.h"

namespace sycamorebend::internal {

// Serves customers by start-time fair queueing: the next request is that of
// the customer with the least service received, divided by its weight. A
// customer that returns after a pause starts level with the others, so unused
// shares are not saved up.
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
  // Removes `request` and charges its customer `cost` units of service.
  void Take(Request& request, double cost);
  // Corrects an earlier charge once the true cost is known.
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
