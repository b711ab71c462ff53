#include "entry/upstream_call.h"

#include <fmt/format.h>
#include <strings.h>

#include <algorithm>
#include <array>

namespace sycamorebend::entry {

namespace {

// A server that has not answered this long after the deadline is given up even
// if the scheduler did not cancel the attempt.
constexpr Duration kDeadlineSlack = seconds(1);
constexpr Duration kCancelTimeout = seconds(5);

constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
    "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
    // Set by the HTTP libraries.
    "Host", "Content-Length"};

bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// @return true if the comma-separated `list` names `name`.
bool ListNames(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (EqualNames(item, name)) {
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
    // The first byte of a whole completion comes when all tokens have been
    // generated, so the times of a stream do not apply.
    call.first_byte_timeout = call.total_timeout;
    call.gap_timeout = call.total_timeout;
  }
}

class IgnoringObserver : public HttpObserver {
 public:
  void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnData(std::string_view /*data*/) override {}
  void OnDone(const HttpOutcome& /*outcome*/) override {}
};

}  // namespace

std::string StreamName(const std::string& request_id, int attempt) {
  return attempt <= 1 ? request_id : fmt::format("{}.{}", request_id, attempt);
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  const std::string named = FindHeader(headers, "Connection").value_or("");
  HttpHeaders result;
  for (const HttpHeader& header : headers) {
    const bool hop_by_hop =
        std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                    [&header](std::string_view name) {
                      return EqualNames(name, header.name);
                    });
    if (!hop_by_hop && !ListNames(named, header.name) &&
        !EqualNames(header.name, "Expect")) {
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
      {"X-Request-Id", StreamName(request.info.request_id, action.attempt)});
  // libcurl sends a request again by itself when a reused connection closes
  // before the first byte of the answer; an order must not be sent twice.
  call.fresh_connection = request.is_order;
  return call;
}

HttpCall BuildResumeCall(const CallerRequest& request,
                         const DispatchAction& action,
                         std::int64_t offset,
                         TimePoint now) {
  HttpCall call;
  call.url =
      fmt::format("http://{}/v1/streams/{}?offset={}", action.address,
                  StreamName(request.info.request_id, action.attempt), offset);
  SetTimeouts(call, request, action, now);
  // The connections to this server may be the ones that went silent.
  call.fresh_connection = true;
  return call;
}

HttpCall BuildCancelCall(const std::string& address,
                         const std::string& request_id,
                         int attempt) {
  HttpCall call;
  call.method = "DELETE";
  call.url = fmt::format("http://{}/v1/streams/{}", address,
                         StreamName(request_id, attempt));
  call.first_byte_timeout = kCancelTimeout;
  call.total_timeout = kCancelTimeout;
  return call;
}

ResultCode AttemptCode(const HttpOutcome& outcome) {
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

std::shared_ptr<HttpObserver> MakeIgnoringObserver() {
  return std::make_shared<IgnoringObserver>();
}

}  // namespace sycamorebend::entry
