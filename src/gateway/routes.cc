#include "gateway/routes.h"

#include <strings.h>

#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace sycamorebend::gateway {

namespace {

constexpr std::array<std::string_view, 3> kKindNames = {
    "idempotent", "non_idempotent", "stream"};

std::string_view StripPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

std::string_view RouteKindName(RouteKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

const std::string& Route::PickService(std::uint64_t point) const {
  std::uint64_t total = 0;
  for (const WeightedService& weighted : this->services) {
    total += static_cast<std::uint64_t>(weighted.weight);
  }
  std::uint64_t remaining = total == 0 ? 0 : point % total;
  for (const WeightedService& weighted : this->services) {
    const auto weight = static_cast<std::uint64_t>(weighted.weight);
    if (remaining < weight) {
      return weighted.service;
    }
    remaining -= weight;
  }
  return this->services.front().service;
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const std::string_view name = StripPort(host);
  const Route* best = nullptr;
  for (const Route& route : this->routes) {
    const std::string_view prefix = route.path_prefix;
    if (route.host.size() == name.size() &&
        strncasecmp(route.host.data(), name.data(), name.size()) == 0 &&
        path.substr(0, prefix.size()) == prefix &&
        (best == nullptr || best->path_prefix.size() < prefix.size())) {
      best = &route;
    }
  }
  return best;
}

void RouteTable::BuildPriorityLevels() {
  this->priority_ranks.clear();
  for (const Route& route : this->routes) {
    this->priority_ranks.emplace(0, route.priority);
    for (const Tenant& tenant : this->tenants) {
      this->priority_ranks.emplace(tenant.priority, route.priority);
    }
  }
}

int RouteTable::PriorityLevel(const Route& route, const Tenant* tenant) const {
  const std::pair<int, int> priorities(tenant == nullptr ? 0 : tenant->priority,
                                       route.priority);
  const auto index = static_cast<int>(std::distance(
      this->priority_ranks.begin(), this->priority_ranks.find(priorities)));
  const auto count = static_cast<int>(this->priority_ranks.size());
  // With more combinations than levels, adjacent combinations share a level.
  return count <= kPriorityLevels ? index : index * kPriorityLevels / count;
}

const Tenant* RouteTable::FindTenant(std::string_view key) const {
  const auto found = this->keys.find(key);
  return found == this->keys.end() ? nullptr : &this->tenants[found->second];
}

}  // namespace sycamorebend::gateway
