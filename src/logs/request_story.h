// The story of one request, from the logs of all processes.
#ifndef SYCAMOREBEND_SRC_LOGS_REQUEST_STORY_H_
#define SYCAMOREBEND_SRC_LOGS_REQUEST_STORY_H_

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
  kServerSilent = 8,   // It answered nobody.
  kRequestSilent = 9,  // It answered others.
  kServerError = 10,
  kCallerLeft = 11,
  kGatewayEnded = 12,
  kNoServer = 13,
  kStreamTooSlow = 14,  // Events came, but not all in the caller's time.
  kUnexplained = 15,
};

// @return the name of `cause`.
std::string_view CauseName(Cause cause);

struct RequestStory {
  Cause cause = Cause::kNotInLogs;
  // What happened and what shows it, in one or two sentences.
  std::string conclusion;
  // The request's own lines and those that explain them, in order of time.
  std::vector<LogLine> lines;
};

// @param request_id the ID that the caller sent with this attempt.
RequestStory ExplainRequest(const LogLines& logs,
                            const std::string& request_id);

// @return the story as text, one line for each log line.
std::string FormatStory(const RequestStory& story,
                        const std::string& request_id);

}  // namespace sycamorebend::logs

#endif  // SYCAMOREBEND_SRC_LOGS_REQUEST_STORY_H_
