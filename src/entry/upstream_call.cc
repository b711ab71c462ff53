#include "entry/upstream_call.h"

#include <fmt/format.h>
#include <strings.h>

#include <algorithm>
#include <array>

namespace sycamorebend::entry {

namespace {

// A call is aborted this long after the deadline even if the scheduler did not
// cancel the attempt.
constexpr Duration kDeadlineSlack = seconds(1);
constexpr Duration kCancelTimeout = seconds(5);

constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
    "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
    // Set by the HTTP libraries.
    "Host", "Content-Length"};

bool EqualHeaderNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// @return true if the comma-separated `list` contains `name`, ignoring case.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (EqualHeaderNames(item, name)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

void SetTimeouts(HttpCall& call,
                 const CallerRequest& request,
                 const DispatchAction& action,
                 TimePoint now) {
  call.total_timeout =
      std::max<Duration>(request.deadline - now, Duration::zero()) +
      kDeadlineSlack;
  call.first_byte_timeout = action.first_byte_timeout;
  call.gap_timeout = action.gap_timeout;
  if (request.kind == ServerKind::kEngine && !request.stream) {
    // A completion that is not streamed starts only when all tokens have been
    // generated, so the timeouts of a stream do not apply.
    call.first_byte_timeout = call.total_timeout;
    call.gap_timeout = call.total_timeout;
  }
}

class NullObserver : public HttpObserver {
 public:
  void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnData(std::string_view /*data*/) override {}
  void OnDone(const HttpOutcome& /*outcome*/) override {}
};

}  // namespace

std::string StreamId(const std::string& request_id, int attempt) {
  return attempt <= 1 ? request_id : fmt::format("{}.{}", request_id, attempt);
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  const std::string connection_options =
      FindHeader(headers, "Connection").value_or("");
  HttpHeaders result;
  for (const HttpHeader& header : headers) {
    const bool hop_by_hop =
        std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                    [&header](std::string_view name) {
                      return EqualHeaderNames(name, header.name);
                    });
    if (!hop_by_hop && !ListContains(connection_options, header.name) &&
        !EqualHeaderNames(header.name, "Expect")) {
      result.push_back(header);
    }
  }
  return result;
}

HttpCall BuildAttemptCall(const HttpRequest& original,
                          const CallerRequest& request,
                          const DispatchAction& action,
                          TimePoint now) {
  HttpCall call;
  call.method = original.method;
  call.url = "http://" + action.address + original.target;
  call.body = original.body;
  SetTimeouts(call, request, action, now);
  if (request.kind == ServerKind::kEngine) {
    call.headers = {
        {"Content-Type", "application/json"},
        {"X-Attempt", std::to_string(action.attempt)},
        {"X-Priority", std::to_string(action.priority)},
    };
  } else {
    call.headers = EndToEndHeaders(original.headers);
  }
  call.headers.push_back(
      {"X-Request-Id", StreamId(request.info.request_id, action.attempt)});
  // On a reused connection, libcurl takes a late second copy of the previous
  // response for the response to this request. It also resends a request by
  // itself when such a connection closes before the first byte of the response,
  // and an order must not be sent twice.
  call.fresh_connection = true;
  return call;
}

HttpCall BuildResumeCall(const CallerRequest& request,
                         const DispatchAction& action,
                         std::int64_t offset,
                         TimePoint now) {
  HttpCall call;
  call.url =
      fmt::format("http://{}/v1/streams/{}?offset={}", action.address,
                  StreamId(request.info.request_id, action.attempt), offset);
  SetTimeouts(call, request, action, now);
  // A pooled connection to this server may be the one that went silent.
  call.fresh_connection = true;
  return call;
}

HttpCall BuildCancelCall(const std::string& address,
                         const std::string& request_id,
                         int attempt) {
  HttpCall call;
  call.method = "DELETE";
  call.url = fmt::format("http://{}/v1/streams/{}", address,
                         StreamId(request_id, attempt));
  call.first_byte_timeout = kCancelTimeout;
  call.total_timeout = kCancelTimeout;
  return call;
}

ResultCode AttemptResultCode(const HttpOutcome& outcome) {
  switch (outcome.code) {
    case ResultCode::kConnectFailed:
      return ResultCode::kServerConnectFailed;
    case ResultCode::kTransportTimeout:
      return ResultCode::kDeadlineUnreachable;
    case ResultCode::kProtocolError:
      return ResultCode::kServerError;
    default:
      return outcome.code;
  }
}

std::shared_ptr<HttpObserver> MakeNullObserver() {
  return std::make_shared<NullObserver>();
}

}  // namespace sycamorebend::entry
