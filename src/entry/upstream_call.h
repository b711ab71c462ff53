// Requests that an entry daemon sends to backend servers.
#ifndef SYCAMOREBEND_SRC_ENTRY_UPSTREAM_CALL_H_
#define SYCAMOREBEND_SRC_ENTRY_UPSTREAM_CALL_H_

#include <string>

#include "entry/caller_request.h"
#include "sycamorebend/http.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::entry {

// @return the name of the stream at the engine: the request ID, with the
// attempt from the second one on. An engine that gets two attempts of one
// request can so tell them apart, and the cancellation of the first one cannot
// hit the second.
std::string StreamName(const std::string& request_id, int attempt);

// @return the call for a new attempt.
HttpCall BuildAttemptCall(const HttpRequest& original,
                          const CallerRequest& request,
                          const DispatchAction& action,
                          TimePoint now);

// @return the call that continues a stream after `offset` tokens.
HttpCall BuildResumeCall(const CallerRequest& request,
                         const DispatchAction& action,
                         std::int64_t offset,
                         TimePoint now);

// @return the call that ends an attempt's stream at an engine.
HttpCall BuildCancelCall(const std::string& address,
                         const std::string& request_id,
                         int attempt);

// @return `headers` without those that concern one connection only, and
// without Host and Content-Length, which the HTTP libraries set.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

// @return the failure of an attempt in terms of the backend server.
ResultCode AttemptCode(const HttpOutcome& outcome);

// An observer that ignores the answer.
std::shared_ptr<HttpObserver> MakeIgnoringObserver();

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_UPSTREAM_CALL_H_
