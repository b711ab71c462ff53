// Error responses to callers.
#ifndef SYCAMOREBEND_SRC_ENTRY_ERROR_BODY_H_
#define SYCAMOREBEND_SRC_ENTRY_ERROR_BODY_H_

#include <string>

#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// Whether a backend server executed the request. For an order this covers all
// attempts with its key, not only this one.
enum class ExecutionState : int { kNotRun = 0, kUnknown = 1, kRan = 2 };

struct CallerError {
  ResultCode code = ResultCode::kProtocolError;
  std::string message;
  ExecutionState ran = ExecutionState::kNotRun;
  Duration retry_after{0};
};

int HttpStatusOf(ResultCode code);

// @return {"error": {"code", "name", "message", "ran", "retry",
// "retry_after_ms"}}.
std::string FormatErrorBody(const CallerError& error);

// @return the same body as the event that ends a stream.
std::string FormatErrorEvent(const CallerError& error);

// Responds with the error.
// @param headers are added to the response.
void RespondError(HttpExchange& exchange,
                  const CallerError& error,
                  HttpHeaders headers = {});

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ERROR_BODY_H_
