// Parses and validates requests of callers.
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

// Optional for orders: when the key was created, in milliseconds since the Unix
// epoch. With it, an old key is refused even after its record was deleted.
inline constexpr std::string_view kKeyCreatedHeader =
    "X-Sycamorebend-Key-Created-Ms";

// A valid request.
struct CallerRequest {
  RequestInfo info;
  ServerKind kind = ServerKind::kEngine;
  // The caller asked for a stream of server-sent events.
  bool stream = false;
  // The request belongs to a class that is not idempotent.
  bool is_order = false;
  std::string idempotency_key;
  std::optional<std::uint64_t> key_created_ms;
  // SHA-256 digest of method, target and body. A key must not be reused for a
  // request with another digest.
  std::string body_digest;
  // The deadline given by the caller or by the class, whichever is earlier.
  TimePoint deadline;
};

// Finds the customer by the bearer token of the request.
// @return the customer, or kUnknownCustomer.
Result<const CustomerPolicy*> Authenticate(const HttpRequest& request,
                                           const Policy& policy);

// Validates `request` and determines its customer, labels and class.
// @return the request; otherwise a result code 2xx, or 401 or 407 if the key of
// an order is missing or invalid.
Result<CallerRequest> ParseCallerRequest(const HttpRequest& request,
                                         const Policy& policy,
                                         TimePoint now);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_CALLER_REQUEST_H_
