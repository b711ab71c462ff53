// Routing decisions of an entry daemon: admission, queueing, choice of server,
// retries, cancellation and quarantine. The scheduler has no threads, does no
// I/O and reads no clock: events and times go in, actions come out. See
// docs/design.md, section 3.6.
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

// A backend server as this entry daemon knows it.
struct ServerState {
  std::string server_id;
  std::string incarnation;
  std::string address;
  ServerKind kind = ServerKind::kEngine;
  Labels labels;  // Announced labels, replaced by those of the operators.
  std::string failure_domain;
  int slots = 1;  // Requests that the server runs at the same time.
  std::vector<std::string> models;
  // The newest report: its number, when it was received, requests by tier.
  std::uint64_t report_sequence = 0;
  TimePoint reported_at;
  std::vector<int> running_by_tier;
  std::vector<int> queued_by_tier;
  // False while the server is leaving, drained or without a valid lease.
  bool accepting = true;
};

enum class RemovalReason : int { kLeft = 0, kLeaseExpired = 1, kRestarted = 2 };

// Prompt prefixes that a server's cache holds, as hashes of token blocks.
struct CacheEvents {
  // True if earlier events were lost: the view starts anew.
  bool reset = false;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

struct RequestInfo {
  std::string request_id;
  std::string customer;
  Labels labels;
  // The class if the caller named one; otherwise the first that matches.
  std::string class_name;
  // Hashes of the prompt's prefixes by increasing length, one for each block.
  std::vector<std::uint64_t> prefix_hashes;
  int input_tokens = 0;
  int max_output_tokens = 0;  // 0: the caller gave no limit.
  // The caller's deadline; the class's applies if it is earlier.
  std::optional<TimePoint> deadline;
  // Digest of the request's content, for crash findings.
  std::string fingerprint;
};

// Why a server was chosen, for the log line and for `explain`.
struct DecisionTrace {
  struct Candidate {
    std::string server_id;
    double score = 0;       // Lower is better.
    std::string rejection;  // Empty for an eligible server.
  };
  std::string class_name;
  std::string selector;
  std::vector<Candidate> candidates;  // At most 16, the best first.
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
  // Set when an attempt continues at its server on a new connection: the
  // number of tokens that were received. The attempt number stays the same.
  std::optional<int> resume_offset;
  DecisionTrace trace;
};

// Answer the caller with an error. The scheduler forgets the request.
struct RefuseAction {
  std::string request_id;
  ResultCode code = ResultCode::kNoEligibleServer;
  std::string message;
  Duration retry_after{0};
};

// Close an attempt and tell its server to stop working on it. The scheduler
// expects no further event for this attempt.
struct CancelAction {
  std::string request_id;
  int attempt = 1;
  std::string server_id;
  std::string reason;
};

// The request waits; for the log only.
struct QueueAction {
  std::string request_id;
  std::string class_name;
  std::string reason;
};

using RoutingAction =
    std::variant<DispatchAction, RefuseAction, CancelAction, QueueAction>;

// How an attempt ended.
struct AttemptResult {
  // kOk for a complete answer.
  ResultCode code = ResultCode::kOk;
  std::string message;
  // True if no byte of the request can have reached the server.
  bool nothing_sent = false;
  // Tokens (or body pieces) that were passed on to the caller.
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
  // Differs between entry daemons, so that they break ties differently.
  std::uint64_t seed = 1;
  // Entry daemons that are live, this one included.
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

// Events name the request and the attempt; those for an attempt that is no
// longer current are ignored. Not thread-safe.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  static std::unique_ptr<Scheduler> Create(const SchedulerOptions& options);

  virtual void SetPolicy(std::shared_ptr<const Policy> policy,
                         TimePoint now) = 0;
  virtual void SetEntryCount(int entry_count) = 0;
  // Replaces the set of fingerprints that are refused.
  virtual void SetQuarantine(const std::set<std::string>& fingerprints,
                             TimePoint now) = 0;

  // Adds a server or replaces what is known of it.
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
  // @param tokens total number of tokens received so far in this attempt.
  virtual void OnProgress(const std::string& request_id,
                          int attempt,
                          int tokens,
                          TimePoint now) = 0;
  virtual void OnAttemptDone(const std::string& request_id,
                             int attempt,
                             const AttemptResult& result,
                             TimePoint now) = 0;
  // The caller left.
  virtual void Cancel(const std::string& request_id, TimePoint now) = 0;

  // Does what is due: timeouts in the queue, aging, probes.
  virtual void Advance(TimePoint now) = 0;
  // @return when Advance must be called at the latest.
  virtual TimePoint NextWake() const = 0;

  // @return the actions since the last call, in order.
  virtual std::vector<RoutingAction> TakeActions() = 0;
  // @return the evidence since the last call, for the control state.
  virtual std::vector<CrashReport> TakeCrashReports() = 0;

  // @return what would be decided for `request` now. Changes nothing.
  virtual DecisionTrace Explain(const RequestInfo& request,
                                TimePoint now) const = 0;
  virtual SchedulerStats GetStats() const = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_ROUTING_H_
