// Routes of a gateway: the mapping of requests to services, and their latency
// targets and limits. This is the typed form of a configuration document, which
// a WireFormat parses.
#ifndef SYCAMOREBEND_SRC_GATEWAY_ROUTES_H_
#define SYCAMOREBEND_SRC_GATEWAY_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/scaling.h"

namespace sycamorebend::gateway {

enum class RouteKind { kIdempotent = 0, kNonIdempotent = 1, kStream = 2 };

// @return the name of `kind` in logs and metrics.
std::string_view RouteKindName(RouteKind kind);

struct WeightedService {
  std::string service;
  int weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<WeightedService> services;
  // Time limit for the complete response.
  Duration timeout = seconds(30);
  // Latency target: time to the complete response or to the first event of a
  // stream.
  Duration target = milliseconds(600);
  // Target for the time between two events of a stream.
  Duration gap_target = milliseconds(300);
  int priority = 0;  // 0 is the highest.
  // Maximum number of backend servers to which one request is sent.
  int max_attempts = 1;
  // Requests without an API key are accepted.
  bool open = false;
  // A stream can be resumed at another server after its last event.
  bool resumable = false;

  // @return true if a request may run more than once.
  bool Repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  // @param point a hash value that selects one of the services by weight.
  // @return the name of the selected service.
  const std::string& PickService(std::uint64_t point) const;
};

struct ServiceLimits {
  // Maximum number of connections that one server accepts from all callers.
  int max_connections = 100;
  // The servers are model engines with a prefix cache.
  bool engine = false;
  // Capacity of an engine's prefix cache in tokens; 0 if the servers are no
  // engines.
  std::int64_t cache_tokens = 0;
  // Number of tokens in one event of an engine's stream.
  int event_tokens = 1;
  // Set if the number of servers is to be decided by the control replicas.
  std::optional<ScalingRules> scaling;
};

struct CallerLimits {
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 4 << 20;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct Tenant {
  std::string name;
  // Takes precedence over the priority of the route, which orders requests of
  // tenants with the same priority. 0 is the highest.
  int priority = 0;
};

// Number of priority levels that backend servers distinguish; 0 is the highest.
inline constexpr int kPriorityLevels = 10;

class RouteTable {
 public:
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceLimits> services;
  std::vector<Tenant> tenants;
  // Requests need an API key unless their route is open. Not derived from
  // `tenants`: a configuration may have none left, and then no key is valid.
  bool keys_required = false;
  // Index into `tenants` by API key.
  std::map<std::string, std::size_t, std::less<>> keys;
  CallerLimits limits;

  // @return the route of the host with the longest matching prefix of `path`,
  // or nullptr. The port of the host is ignored, and the comparison is
  // case-insensitive.
  const Route* Find(std::string_view host, std::string_view path) const;
  // @return the priority level of a request at a backend server. Levels are
  // ordered by the priority of the tenant, then by that of the route, over all
  // combinations in the table. BuildPriorityLevels must have been called.
  int PriorityLevel(const Route& route, const Tenant* tenant) const;
  // Computes the priority levels; must be called once `routes` and `tenants`
  // are set.
  void BuildPriorityLevels();
  // @return true if only requests with the key of a tenant may use the route.
  bool NeedsKey(const Route& route) const {
    return this->keys_required && !route.open;
  }
  // @return nullptr for an unknown key.
  const Tenant* FindTenant(std::string_view key) const;

 private:
  // Pairs of tenant and route priority, the highest first.
  std::set<std::pair<int, int>> priority_ranks;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_ROUTES_H_
