// Reads requests of callers.
#ifndef SYCAMOREBEND_SRC_ENTRY_CALLER_REQUEST_H_
#define SYCAMOREBEND_SRC_ENTRY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "sycamorebend/base.h"
#include "sycamorebend/http.h"
#include "sycamorebend/policy.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::entry {

inline constexpr std::string_view kLabelsHeader = "X-Sycamorebend-Labels";
inline constexpr std::string_view kClassHeader = "X-Sycamorebend-Class";
inline constexpr std::string_view kDeadlineHeader =
    "X-Sycamorebend-Deadline-Ms";
inline constexpr std::string_view kRequestIdHeader =
    "X-Sycamorebend-Request-Id";
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";

// Optional for orders: when the key was made, in milliseconds since the Unix
// epoch. An old key is refused even if its record is gone.
inline constexpr std::string_view kKeyCreatedHeader =
    "X-Sycamorebend-Key-Created-Ms";

// A request that passed all checks.
struct CallerRequest {
  RequestInfo info;
  ServerKind kind = ServerKind::kEngine;
  // The caller wants server-sent events.
  bool stream = false;
  // The class is not idempotent.
  bool is_order = false;
  std::string idempotency_key;
  std::optional<std::uint64_t> key_created_ms;
  // Digest of method, target and body: what a key must not be reused for.
  std::string body_digest;
  // The caller's or the class's, whichever is earlier.
  TimePoint deadline;
};

// @return the customer, or kUnknownCustomer.
Result<const CustomerPolicy*> Authenticate(const HttpRequest& request,
                                           const Policy& policy);

// Checks `request` and finds its customer, labels and class.
// @return a 2xx error, or 401 or 407 for the key of an order.
Result<CallerRequest> ParseCallerRequest(const HttpRequest& request,
                                         const Policy& policy,
                                         TimePoint now);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_CALLER_REQUEST_H_
