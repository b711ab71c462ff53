#include "gateway/replica_finder.h"

#include <algorithm>
#include <utility>

namespace sycamorebend::gateway {

namespace {

// A state that was confirmed longer ago makes a gateway ask, and keeps it from
// answering. In calm operation the age is up to twice the wait of a poll: it
// counts from the sending of the last poll that was responded to.
constexpr Duration kMaxConfirmedAge = milliseconds(1500);
constexpr std::size_t kGatewaysPerQuery = 3;
// Without an answer for so long, no gateway knows the replicas, or there is no
// leader. Queries go on less often.
constexpr Duration kFrequentQueries = seconds(5);
constexpr Duration kSlowInterval = seconds(1);
// Bounds what datagrams with a forged sender make a gateway send.
constexpr int kMaxAnswersPerSecond = 50;

}  // namespace

void ReplicaFinder::SetGateways(std::vector<std::string> ips) {
  if (!ips.empty()) {
    this->gateways = std::move(ips);
  }
}

std::vector<std::string> ReplicaFinder::GatewaysToAsk(Duration age,
                                                      TimePoint now) {
  std::vector<std::string> asked;
  if (age <= kMaxConfirmedAge) {
    this->asking_since.reset();
    return asked;
  }
  this->asking_since = this->asking_since.value_or(now);
  if (now < this->next_ask) {
    return asked;
  }
  const bool frequent = now - *this->asking_since < kFrequentQueries;
  // The timer may be early by a part of its interval.
  this->next_ask =
      now + (frequent ? kAskInterval : kSlowInterval) - kAskInterval / 2;
  const std::size_t count = std::min(kGatewaysPerQuery, this->gateways.size());
  for (std::size_t i = 0; i < count; ++i) {
    asked.push_back(
        this->gateways[this->next_gateway++ % this->gateways.size()]);
  }
  return asked;
}

std::optional<ReplicaNotice> ReplicaFinder::Answer(
    const internal::ReplicaQuery& query,
    const SharedState* state,
    Duration age,
    TimePoint now) {
  if (state == nullptr || state->epoch != query.epoch ||
      state->version <= query.version || state->replicas.empty() ||
      age > kMaxConfirmedAge) {
    return std::nullopt;
  }
  if (now - this->answers_since >= seconds(1)) {
    this->answers_since = now;
    this->answers = 0;
  }
  if (++this->answers > kMaxAnswersPerSecond) {
    return std::nullopt;
  }
  return internal::MakeReplicaNotice(*state, {});
}

}  // namespace sycamorebend::gateway
