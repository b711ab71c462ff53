// Errors as callers see them.
#ifndef SYCAMOREBEND_SRC_ENTRY_ERROR_BODY_H_
#define SYCAMOREBEND_SRC_ENTRY_ERROR_BODY_H_

#include <string>

#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// Whether the request ran at a backend server. For an order this is a statement
// about the order, not only about this sending of it.
enum class Ran : int { kNotRun = 0, kUnknown = 1, kRan = 2 };

struct CallerError {
  ResultCode code = ResultCode::kProtocolError;
  std::string message;
  Ran ran = Ran::kNotRun;
  Duration retry_after{0};
};

// @return the HTTP status for `code`.
int HttpStatusOf(ResultCode code);

// @return {"error": {"code", "name", "message", "ran", "retry",
// "retry_after_ms"}}.
std::string FormatErrorBody(const CallerError& error);

// @return the same as the last event of a stream.
std::string FormatErrorEvent(const CallerError& error);

// Answers `exchange` with the error.
// @param headers added to the answer.
void RespondError(HttpExchange& exchange,
                  const CallerError& error,
                  HttpHeaders headers = {});

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ERROR_BODY_H_
