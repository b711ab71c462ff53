// A request that the scheduler knows, from Submit to its end.
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
  // When the scheduler looks at the request next; the key in the timer set.
  TimePoint due = TimePoint::max();

  bool queued = false;
  // True once its first token can no longer come in time.
  bool late = false;
  // Attempts so far. The current one runs on `server`.
  int attempt = 0;
  ServerIndex server = kNoServer;
  TimePoint sent_at;
  // Priority of the attempt at its server: 0 for urgent requests and those
  // sent by the aging rule, otherwise 1.
  Tier sent_tier = 0;
  // True once a report of the server can include the attempt.
  bool reflected = false;
  bool first_token_seen = false;
  TimePoint first_token_at;
  int tokens = 0;
  // Where the last sample of the time per token ended.
  int sampled_tokens = 0;
  TimePoint sampled_at;
  // True if a slot seemed free when the attempt was sent.
  bool sent_to_free_slot = false;
  // Service charged to the customer's share, in expected tokens.
  double charged = 0;
  // Resumes of the current attempt without a new token in between.
  int resumes = 0;
  // True after a crash on its server: it runs apart from other suspects.
  bool suspect = false;
  // Servers on which an attempt failed.
  std::vector<ServerIndex> failed_on;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_REQUEST_H_
