// State of a request, from Submit until it completes, is refused or cancelled.
#ifndef ROUTING_REQUEST_H_
#define ROUTING_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "sycamorebend/routing.h"

namespace sycamorebend::internal {

using ServerIndex = std::uint32_t;
constexpr ServerIndex kNoServer = ~ServerIndex{0};

struct Request {
  RequestInfo info;
  std::uint64_t serial = 0;  // Order of arrival.
  std::size_t class_index = 0;
  std::size_t customer = 0;
  Tier tier = 0;
  TimePoint submitted_at;
  TimePoint deadline;
  // When the request's timer fires; part of the key in SchedulerImpl::timers.
  TimePoint timer_at = TimePoint::max();

  bool queued = false;
  // True once the first token can no longer meet its target.
  bool late = false;
  // Attempts so far. The current attempt runs on `server`.
  int attempt = 0;
  ServerIndex server = kNoServer;
  TimePoint sent_at;
  // Priority of the attempt at its server: 0 for urgent requests and for
  // requests dispatched by the aging rule, otherwise 1.
  Tier sent_priority = 0;
  // True once a report of the server is recent enough to include the attempt.
  bool in_report = false;
  bool first_token_seen = false;
  TimePoint first_token_at;
  int tokens = 0;
  // Token count and time at the end of the last time-per-token sample.
  int sampled_tokens = 0;
  TimePoint sampled_at;
  // True if the server was estimated to have a free slot when the attempt was
  // sent.
  bool sent_to_free_slot = false;
  // Expected output tokens that were charged to the customer's fair share.
  double charged_tokens = 0;
  // Consecutive resumes of the current attempt without a new token.
  int resumes_without_progress = 0;
  // True if a server crashed while it ran this request. A suspect is not sent
  // to a server that runs another suspect of this entry daemon.
  bool suspect = false;
  // Servers on which an attempt of this request failed.
  std::vector<ServerIndex> failed_servers;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_REQUEST_H_
