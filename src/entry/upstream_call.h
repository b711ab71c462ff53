// Requests that an entry daemon sends to backend servers.
#ifndef SYCAMOREBEND_SRC_ENTRY_UPSTREAM_CALL_H_
#define SYCAMOREBEND_SRC_ENTRY_UPSTREAM_CALL_H_

#include <string>

#include "entry/caller_request.h"
#include "sycamorebend/http.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::entry {

// @return the ID of the stream at the engine: the request ID, followed by the
// attempt number from the second attempt on. It lets an engine tell two
// attempts of one request apart, so that the cancellation of the first one
// cannot end the second.
std::string StreamId(const std::string& request_id, int attempt);

// @return the call that starts a new attempt.
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

// @return `headers` without the hop-by-hop headers, Expect, and those that the
// HTTP libraries set: Host and Content-Length.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

// @return the result code of an attempt, with transport errors mapped to those
// of backend servers.
ResultCode AttemptResultCode(const HttpOutcome& outcome);

// @return an observer that ignores the response.
std::shared_ptr<HttpObserver> MakeNullObserver();

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_UPSTREAM_CALL_H_
