#include "routing/class_queue.h"

#include <algorithm>

namespace sycamorebend::internal {

ClassQueue::ClassQueue(std::vector<double> weights) {
  this->customers.resize(weights.size());
  for (std::size_t i = 0; i < weights.size(); ++i) {
    this->customers[i].weight = weights[i];
  }
}

void ClassQueue::Push(Request& request) {
  Customer& customer = this->customers[request.customer];
  if (customer.waiting.empty()) {
    customer.service = std::max(customer.service, this->virtual_time);
  }
  customer.waiting.emplace(request.serial, &request);
  this->by_arrival.emplace(request.serial, &request);
  request.queued = true;
}

void ClassQueue::Remove(Request& request) {
  if (this->by_arrival.erase(request.serial) == 0) {
    return;
  }
  this->customers[request.customer].waiting.erase(request.serial);
  request.queued = false;
}

Request* ClassQueue::Front() const {
  const Customer* best = nullptr;
  for (const Customer& customer : this->customers) {
    if (!customer.waiting.empty() &&
        (best == nullptr || customer.service < best->service)) {
      best = &customer;
    }
  }
  return best == nullptr ? nullptr : best->waiting.begin()->second;
}

Request* ClassQueue::Newest() const {
  return this->by_arrival.empty() ? nullptr : this->by_arrival.rbegin()->second;
}

void ClassQueue::Charge(std::size_t customer, double cost) {
  Customer& charged = this->customers[customer];
  charged.service += cost / charged.weight;
}

void ClassQueue::RemoveAndCharge(Request& request, double cost) {
  Customer& customer = this->customers[request.customer];
  this->virtual_time = std::max(this->virtual_time, customer.service);
  customer.service += cost / customer.weight;
  this->Remove(request);
}

}  // namespace sycamorebend::internal
