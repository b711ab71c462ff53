// Routing decisions of an entry daemon: admission, queueing, server selection,
// retries, cancellation and quarantine. The scheduler starts no threads, does
// no I/O and reads no clock: the caller passes in events and the current time
// and carries out the returned actions. See docs/design.md, section 3.6.
#ifndef SYCAMOREBEND_ROUTING_H_
#define SYCAMOREBEND_ROUTING_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/policy.h"
#include "sycamorebend/selector.h"

namespace sycamorebend {

enum class ServerKind : int { kEngine = 0, kService = 1 };

// State of a backend server as known to this entry daemon.
struct ServerState {
  std::string server_id;
  std::string incarnation;
  std::string address;
  ServerKind kind = ServerKind::kEngine;
  Labels labels;  // Announced labels, overridden by those set by operators.
  std::string failure_domain;
  int slots = 1;  // Requests that the server can run concurrently.
  std::vector<std::string> models;
  // From the latest report: its sequence number, when it was received, and the
  // number of requests by tier.
  std::uint64_t report_sequence = 0;
  TimePoint reported_at;
  std::vector<int> running_by_tier;
  std::vector<int> queued_by_tier;
  // False while the server is leaving, drained or without a valid lease.
  bool accepting = true;
};

enum class RemovalReason : int { kLeft = 0, kLeaseExpired = 1, kRestarted = 2 };

// Changes to the prompt prefixes that a server caches, as hashes of token
// blocks.
struct CacheEvents {
  // True if earlier events were lost: all known prefixes are discarded before
  // these events are applied.
  bool reset = false;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

struct RequestInfo {
  std::string request_id;
  std::string customer;
  Labels labels;
  // The class that the caller named. If empty, the first class whose selector
  // matches the labels is used.
  std::string class_name;
  // Hashes of the prompt's prefixes by increasing length, one per block.
  std::vector<std::uint64_t> prefix_hashes;
  int input_tokens = 0;
  int max_output_tokens = 0;  // 0: the caller set no limit.
  // The caller's deadline. The deadline of the class applies if it is earlier.
  std::optional<TimePoint> deadline;
  // Digest of the request's content; identifies requests that crash servers.
  std::string fingerprint;
};

// Why a server was chosen. Used in log lines and by `explain`.
struct DecisionTrace {
  struct Candidate {
    std::string server_id;
    double score = 0;       // Lower is better.
    std::string rejection;  // Empty for an eligible server.
  };
  std::string class_name;
  std::string selector;
  std::vector<Candidate> candidates;  // At most 16, best first.
  std::string reason;
};

// Send the request to a server.
struct DispatchAction {
  std::string request_id;
  int attempt = 1;
  std::string server_id;
  std::string address;
  Tier priority = 0;
  Duration first_byte_timeout{0};
  Duration gap_timeout{0};
  // Set when an attempt is resumed on a new connection to its server: the
  // number of tokens received so far. The attempt number stays the same.
  std::optional<int> resume_offset;
  DecisionTrace trace;
};

// Return an error to the caller. The scheduler no longer tracks the request.
struct RefuseAction {
  std::string request_id;
  ResultCode code = ResultCode::kNoEligibleServer;
  std::string message;
  Duration retry_after{0};
};

// Cancel an attempt at its server. The scheduler expects no further events for
// this attempt.
struct CancelAction {
  std::string request_id;
  int attempt = 1;
  std::string server_id;
  std::string reason;
};

// The request was queued. Needs no action; reported for logging.
struct QueueAction {
  std::string request_id;
  std::string class_name;
  std::string reason;
};

using RoutingAction =
    std::variant<DispatchAction, RefuseAction, CancelAction, QueueAction>;

// How an attempt ended.
struct AttemptResult {
  // kOk for a complete response.
  ResultCode code = ResultCode::kOk;
  std::string message;
  // True if no byte of the request can have reached the server.
  bool nothing_sent = false;
  // Tokens (or body chunks) that were forwarded to the caller.
  int delivered_tokens = 0;
};

// A server crashed while these requests ran on it.
struct CrashReport {
  std::string server_id;
  std::string incarnation;
  std::vector<std::string> fingerprints;
};

struct SchedulerOptions {
  std::string failure_domain;
  // Must differ between entry daemons, so that they break ties differently.
  std::uint64_t seed = 1;
  // Number of live entry daemons, including this one.
  int entry_count = 1;
};

struct SchedulerStats {
  struct ClassStats {
    std::string class_name;
    int queued = 0;
    int in_flight = 0;
    std::uint64_t submitted = 0;
    std::uint64_t finished = 0;
    std::uint64_t within_target = 0;
    std::uint64_t refused = 0;
    std::uint64_t retried = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t goodput_tokens = 0;
    std::uint64_t wasted_tokens = 0;
  };
  std::vector<ClassStats> classes;
};

// Attempt events carry the request ID and the attempt number. Events of an
// attempt that is no longer current are ignored. Not thread-safe.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  static std::unique_ptr<Scheduler> Create(const SchedulerOptions& options);

  virtual void SetPolicy(std::shared_ptr<const Policy> policy,
                         TimePoint now) = 0;
  virtual void SetEntryCount(int entry_count) = 0;
  // Replaces the set of fingerprints whose requests are refused.
  virtual void SetQuarantine(const std::set<std::string>& fingerprints,
                             TimePoint now) = 0;

  // Adds a server or replaces its state.
  virtual void UpdateServer(const ServerState& server, TimePoint now) = 0;
  virtual void RemoveServer(const std::string& server_id,
                            RemovalReason reason,
                            TimePoint now) = 0;
  virtual void ApplyCacheEvents(const std::string& server_id,
                                const CacheEvents& events) = 0;

  virtual void Submit(const RequestInfo& request, TimePoint now) = 0;
  virtual void OnFirstToken(const std::string& request_id,
                            int attempt,
                            TimePoint now) = 0;
  // @param tokens number of tokens received so far in this attempt.
  virtual void OnProgress(const std::string& request_id,
                          int attempt,
                          int tokens,
                          TimePoint now) = 0;
  virtual void OnAttemptDone(const std::string& request_id,
                             int attempt,
                             const AttemptResult& result,
                             TimePoint now) = 0;
  // The caller disconnected.
  virtual void Cancel(const std::string& request_id, TimePoint now) = 0;

  // Processes expired timers and dispatches queued requests.
  virtual void Advance(TimePoint now) = 0;
  // @return the latest time at which Advance must be called.
  virtual TimePoint NextWake() const = 0;

  // @return the actions since the last call, in order, and clears them.
  virtual std::vector<RoutingAction> TakeActions() = 0;
  // @return the crashes observed since the last call, for the control state,
  // and clears them.
  virtual std::vector<CrashReport> TakeCrashReports() = 0;

  // @return the decision for `request` if it were submitted now. Has no side
  // effects.
  virtual DecisionTrace Explain(const RequestInfo& request,
                                TimePoint now) const = 0;
  virtual SchedulerStats GetStats() const = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_ROUTING_H_
