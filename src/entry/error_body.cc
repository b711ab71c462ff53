#include "entry/error_body.h"

#include <json/value.h>

#include <array>

#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusForbidden = 403;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusHeadersTooLarge = 431;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

constexpr std::array<std::string_view, 3> kExecutionStateNames = {
    "not_run", "unknown", "ran"};

// @return the status for codes of routing, backend servers, control and
// transport.
int ServerSideStatus(ResultCode code) {
  switch (code) {
    case ResultCode::kCustomerLimit:
      return kStatusTooManyRequests;
    case ResultCode::kRequestQuarantined:
      return kStatusUnprocessable;
    case ResultCode::kServerFirstByteTimeout:
    case ResultCode::kDeadlineUnreachable:
      return kStatusGatewayTimeout;
    case ResultCode::kServerUnknown:
      return kStatusNotFound;
    case ResultCode::kServerConnectFailed:
    case ResultCode::kServerStalled:
    case ResultCode::kServerCrashed:
    case ResultCode::kServerError:
    case ResultCode::kStreamTruncated:
    case ResultCode::kRetryBudgetExhausted:
    case ResultCode::kProtocolError:
    case ResultCode::kConnectFailed:
      return kStatusBadGateway;
    default:
      return kStatusUnavailable;
  }
}

Json::Value BuildError(const CallerError& error) {
  const ResultCodeInfo& info = GetResultCodeInfo(error.code);
  Json::Value details;
  details["code"] = static_cast<int>(info.code);
  details["name"] = std::string(info.name);
  details["message"] =
      error.message.empty() ? std::string(info.message) : error.message;
  details["ran"] =
      std::string(kExecutionStateNames.at(static_cast<std::size_t>(error.ran)));
  details["retry"] = info.retry != RetryAdvice::kNever;
  details["retry_after_ms"] =
      static_cast<Json::Int64>(ToMilliseconds(error.retry_after));
  Json::Value body;
  body["error"] = details;
  return body;
}

}  // namespace

int HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kMalformedRequest:
    case ResultCode::kInvalidLabel:
    case ResultCode::kInvalidSelector:
    case ResultCode::kOrderKeyMissing:
    case ResultCode::kOrderKeyInvalid:
      return kStatusBadRequest;
    case ResultCode::kUnknownCustomer:
      return kStatusUnauthorized;
    case ResultCode::kTierNotGranted:
      return kStatusForbidden;
    case ResultCode::kUnknownModel:
    case ResultCode::kUnknownClass:
    case ResultCode::kNotFound:
      return kStatusNotFound;
    case ResultCode::kMethodNotAllowed:
      return kStatusMethodNotAllowed;
    case ResultCode::kRequestTimeout:
      return kStatusRequestTimeout;
    case ResultCode::kOrderNotRun:
    case ResultCode::kOrderRightExpired:
      return kStatusConflict;
    case ResultCode::kOrderKeyExpired:
      return kStatusGone;
    case ResultCode::kBodyTooLarge:
      return kStatusTooLarge;
    case ResultCode::kOrderKeyReused:
      return kStatusUnprocessable;
    case ResultCode::kHeadersTooLarge:
      return kStatusHeadersTooLarge;
    case ResultCode::kOrderOutcomeUnknown:
      return kStatusGatewayTimeout;
    default:
      return ServerSideStatus(code);
  }
}

std::string FormatErrorBody(const CallerError& error) {
  return WriteJson(BuildError(error));
}

std::string FormatErrorEvent(const CallerError& error) {
  return "event: error\ndata: " + FormatErrorBody(error) + "\n\n";
}

void RespondError(HttpExchange& exchange,
                  const CallerError& error,
                  HttpHeaders headers) {
  headers.push_back({"Content-Type", "application/json"});
  const int status = HttpStatusOf(error.code);
  if (error.retry_after > Duration::zero()) {
    const auto retry_after_seconds =
        std::chrono::ceil<seconds>(error.retry_after);
    headers.push_back(
        {"Retry-After", std::to_string(retry_after_seconds.count())});
  }
  exchange.Respond(status, std::move(headers), FormatErrorBody(error));
}

}  // namespace sycamorebend::entry
