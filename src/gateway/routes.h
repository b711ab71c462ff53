// Routes of a gateway: which service answers which requests, and what callers
// may expect. Typed form of a configuration document; a WireFormat reads it.
#ifndef SYCAMOREBEND_SRC_GATEWAY_ROUTE_TABLE_H_
#define SYCAMOREBEND_SRC_GATEWAY_ROUTE_TABLE_H_

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
  // The longest time for a whole answer.
  Duration timeout = seconds(30);
  // Time to a whole answer, or to the first event of a stream, that is in time.
  Duration target = milliseconds(600);
  // Longest pause between events that is in time; streams only.
  Duration gap_target = milliseconds(300);
  int priority = 0;  // 0 is the most urgent.
  // Backend servers to which one request may be sent.
  int max_attempts = 1;
  // Callers need no API key.
  bool open = false;
  // A stream can go on at another server after its last event.
  bool resumable = false;

  // @return true if a request may run more than once.
  bool Repeatable() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  // @param point a number that picks one of the services by weight.
  const std::string& PickService(std::uint64_t point) const;
};

struct ServiceLimits {
  // Connections that one server accepts from all callers together.
  int max_connections = 100;
  // The servers are model engines with a cache of prompts.
  bool engine = false;
  // Tokens that one engine's memory holds; 0 if it is none.
  std::int64_t cache_tokens = 0;
  // Tokens in one event of an engine's stream.
  int event_tokens = 1;
};

struct CallerLimits {
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 4 << 20;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct Tenant {
  std::string name;
  // Takes precedence over the route's priority, which orders the requests of
  // tenants with the same one. 0 is the most urgent.
  int priority = 0;
};

// Urgencies that backend servers tell apart: 0 is the most urgent.
inline constexpr int kPriorityLevels = 10;

class RouteTable {
 public:
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceLimits> services;
  std::vector<Tenant> tenants;
  // Index into `tenants` by API key.
  std::map<std::string, std::size_t, std::less<>> keys;
  CallerLimits limits;

  // @return the route of the host with the longest prefix of `path`, or
  // nullptr. The host is compared without its port and without regard to case.
  const Route* Find(std::string_view host, std::string_view path) const;
  // @return the urgency at a backend server of a request: by the tenant's
  // priority, then by the route's, among all that the table has.
  // BuildPriorityLevels must have been called.
  int PriorityLevel(const Route& route, const Tenant* tenant) const;
  // Orders the urgencies of the routes and tenants, once they are complete.
  void BuildPriorityLevels();
  // @return nullptr for an unknown key.
  const Tenant* FindTenant(std::string_view key) const;

 private:
  // Pairs of a tenant's and a route's priority, the most urgent first.
  std::set<std::pair<int, int>> ranks;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_ROUTE_TABLE_H_
