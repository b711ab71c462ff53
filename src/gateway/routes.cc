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

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

std::string_view RouteKindName(RouteKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

const std::string& Route::PickService(std::uint64_t point) const {
  std::uint64_t total = 0;
  for (const WeightedService& one : this->services) {
    total += static_cast<std::uint64_t>(one.weight);
  }
  std::uint64_t rest = total == 0 ? 0 : point % total;
  for (const WeightedService& one : this->services) {
    const auto weight = static_cast<std::uint64_t>(one.weight);
    if (rest < weight) {
      return one.service;
    }
    rest -= weight;
  }
  return this->services.front().service;
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const std::string_view name = WithoutPort(host);
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
  this->ranks.clear();
  for (const Route& route : this->routes) {
    this->ranks.emplace(0, route.priority);
    for (const Tenant& tenant : this->tenants) {
      this->ranks.emplace(tenant.priority, route.priority);
    }
  }
}

int RouteTable::PriorityLevel(const Route& route, const Tenant* tenant) const {
  const std::pair<int, int> own(tenant == nullptr ? 0 : tenant->priority,
                                route.priority);
  const auto index = static_cast<int>(
      std::distance(this->ranks.begin(), this->ranks.find(own)));
  const auto count = static_cast<int>(this->ranks.size());
  // With more ranks than urgencies, neighbours share one.
  return count <= kPriorityLevels ? index : index * kPriorityLevels / count;
}

const Tenant* RouteTable::FindTenant(std::string_view key) const {
  const auto found = this->keys.find(key);
  return found == this->keys.end() ? nullptr : &this->tenants[found->second];
}

}  // namespace sycamorebend::gateway
