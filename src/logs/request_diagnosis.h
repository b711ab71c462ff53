// Determines from the logs of all processes how one request ended, and why.
#ifndef SYCAMOREBEND_SRC_LOGS_REQUEST_DIAGNOSIS_H_
#define SYCAMOREBEND_SRC_LOGS_REQUEST_DIAGNOSIS_H_

#include <string>
#include <string_view>
#include <vector>

#include "logs/log_reader.h"

namespace sycamorebend::logs {

// Why a request ended as it did.
enum class Cause {
  kNotInLogs = 0,
  kServed = 1,
  kLate = 2,
  kRejected = 3,  // No route, key or configuration; or a graceful stop.
  kRefusedUnderLoad = 4,
  kServerRefused = 5,
  kServerCrashed = 6,
  kConnectionLost = 7,
  kServerSilent = 8,   // It responded to no other request either.
  kRequestSilent = 9,  // It responded to other requests.
  kServerError = 10,
  kCallerLeft = 11,
  kGatewayEnded = 12,
  kNoServer = 13,
  kStreamTooSlow = 14,  // Events arrived, but not all before the deadline.
  kUnexplained = 15,
  kQuarantined = 16,  // Such requests crash servers.
};

std::string_view CauseName(Cause cause);

struct RequestDiagnosis {
  Cause cause = Cause::kNotInLogs;
  // What happened and which observations support it, in one or two sentences.
  std::string conclusion;
  // The lines of the request and those that support the conclusion, in order of
  // time.
  std::vector<LogLine> lines;
};

// @param request_id the ID that the caller sent with this attempt.
RequestDiagnosis ExplainRequest(const LogLines& logs,
                                const std::string& request_id);

// @return the cause, the conclusion and one line of text for each log line.
std::string FormatDiagnosis(const RequestDiagnosis& diagnosis,
                            const std::string& request_id);

}  // namespace sycamorebend::logs

#endif  // SYCAMOREBEND_SRC_LOGS_REQUEST_DIAGNOSIS_H_
