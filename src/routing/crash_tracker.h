// Identifies requests, and parts of prompts, that crash servers.
#ifndef ROUTING_CRASH_TRACKER_H_
#define ROUTING_CRASH_TRACKER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// What a request consists of, as hashes.
struct RequestContent {
  std::uint64_t request = 0;  // Of the whole content; 0 if unknown.
  // Parts of its prompt that other requests may share, sorted.
  std::vector<std::uint64_t> parts;
};

// A request that ran on a server when it crashed and may be the cause.
struct CrashCandidate {
  std::uint32_t server = 0;  // Hash that identifies the server's incarnation.
  RequestContent content;
  // The server had sent a part of the response. It has run the parts of the
  // prompt then, but the request as a whole may still be the cause.
  bool begun = false;
};

// Content that crashes servers: the whole request or, if `request` is 0, all of
// `parts` together.
struct CrashCause {
  std::uint64_t request = 0;
  std::vector<std::uint64_t> parts;  // Sorted.
  int crashes = 0;                   // That led to the finding.
  // Findings with this content so far. Each one doubles the quarantine.
  int findings = 1;
  TimePoint quarantined_until;
  // Others were running during each of two crashes and may be their causes.
  // Such a request explains no crash, and is released when they are found.
  bool suspected = false;
  // A suspicion that another daemon has reported: only that one can release it.
  bool reported = false;
};

// Whether this daemon observed something or heard of it.
enum class NewsSource { kOwn = 0, kPeer = 1 };
// Which news are asked for.
enum class NewsScope { kOwn = 0, kAll = 1 };

struct CrashTrackerOptions {
  // A crash is evaluated after this time, when all daemons have told each other
  // what they ran on the server.
  Duration report_window{0};
};

// Every request that was running during a crash is a candidate. A server that
// begins to respond to it clears its parts, and one that runs it to its end
// clears the request. What was never cleared and was running during several
// crashes is their cause; two crashes suffice for a repeated request, and for a
// part of different requests, if nothing else was running during both. A
// repeated request that was never alone is only suspected then: each crash may
// have another cause. A crash with a known cause is no evidence against the
// other candidates.
//
// A request whose response had begun needs one crash more, not all of them at
// the same moment: long streams are often cut twice by crashes of others.
//
// Several servers that crash at the same moment count as one crash: they have
// failed together, for another reason.
//
// No threads, no I/O; the current time is passed in.
class CrashTracker {
 public:
  explicit CrashTracker(const CrashTrackerOptions& options = {})
      : options(options), gather_time(options.report_window) {}

  // @param time after which all daemons have told each other what they ran on a
  // server that crashed, also if a message was lost. If that is longer than
  // report_window, a request that seems to have been alone is only suspected
  // until then.
  void SetGatherTime(Duration time) {
    this->gather_time = std::max(time, this->options.report_window);
  }

  // Records that a server ran the content without a crash: the parts of a
  // prompt once it begins to respond, the request at its end.
  void RecordServed(const RequestContent& content, TimePoint now);
  // The same, as reported by another daemon.
  void RecordCleared(const std::vector<std::uint64_t>& hashes, TimePoint now);
  // @return false if the candidate is already known.
  bool RecordCrash(const CrashCandidate& reported,
                   NewsSource source,
                   TimePoint now);
  // Adds a finding of another daemon, or prolongs it.
  // @return false if it adds nothing.
  bool AddCause(const CrashCause& cause, TimePoint now);

  // Evaluates the crashes that are due.
  // @return the new findings.
  std::vector<CrashCause> Evaluate(TimePoint now);

  // @return the cause that the content matches, or nothing if it may run. The
  // caller calls Evaluate before.
  std::optional<CrashCause> FindCause(const RequestContent& content,
                                      TimePoint now) const;
  // @return true if the whole request was running during a crash and was not
  // cleared since.
  bool IsSuspect(std::uint64_t request) const;
  // @return when the last of the crashes is evaluated during which the request
  // or one of its parts was running, if there were several and it is not
  // cleared since; nothing if all of them are evaluated.
  std::optional<TimePoint> EvaluationDue(const RequestContent& content,
                                         TimePoint now) const;
  // @return the number of crashes during which the request was running.
  std::size_t Crashes(std::uint64_t request) const;

  // @return false if nothing was ever found, or all of it is forgotten.
  bool HasCauses() const { return !this->causes.empty(); }
  // @return the causes in quarantine.
  std::vector<CrashCause> Causes(TimePoint now) const;
  // @return the candidates recorded since `since`.
  std::vector<CrashCandidate> CandidatesSince(TimePoint since,
                                              NewsScope scope) const;
  // @return the hashes of candidates that were cleared since `since`.
  std::vector<std::uint64_t> ClearedSince(TimePoint since,
                                          NewsScope scope) const;
  // @return true if a request of this daemon was running during a crash that
  // the cause explains.
  bool HasOwnCandidate(const CrashCause& cause) const;
  std::size_t CrashCount() const { return this->crashes.size(); }
  // @return the number of candidates in all crashes.
  std::size_t CandidateCount() const { return this->candidate_count; }

 private:
  struct Candidate {
    RequestContent content;  // Without what was cleared.
    RequestContent reported;
    bool begun = false;
    TimePoint at;
    NewsSource source = NewsSource::kOwn;
  };
  struct Crash {
    std::uint32_t server = 0;
    TimePoint at;
    std::vector<Candidate> candidates;
  };
  // Against a request or a part.
  struct Evidence {
    std::set<std::size_t> crashes;  // During which it was running, as indices.
    std::set<std::uint64_t> requests;  // That have the part.
    // Parts of the request, or of all requests that have the part.
    std::vector<std::uint64_t> together;
    // Nothing else was running during one of the crashes.
    bool alone = false;
    // The response had begun at one of the crashes.
    bool begun = false;
  };
  struct EvidenceTable {
    std::unordered_map<std::uint64_t, Evidence> requests;
    std::unordered_map<std::uint64_t, Evidence> parts;
  };
  struct Cleared {
    std::uint64_t hash = 0;
    TimePoint at;
    NewsSource source = NewsSource::kOwn;
  };

  void Prune(TimePoint now);
  void RemoveOldestCrash();
  // Removes the hash from the candidates and the causes.
  void Clear(std::uint64_t hash, NewsSource source, TimePoint now);
  bool ServedRecently(std::uint64_t hash, TimePoint now) const;
  // @return the crashes that are evaluated.
  std::vector<const Crash*> DueCrashes(TimePoint now) const;
  // @return true if something in the candidate was not cleared.
  static bool MayBeCause(const Candidate& candidate);
  // @return the candidates of the crash that may be its cause.
  std::vector<const Candidate*> Unexplained(const Crash& crash,
                                            TimePoint now) const;
  // @return the number of crashes, counting those at the same moment once.
  static std::size_t Moments(const std::vector<const Crash*>& due,
                             const std::set<std::size_t>& indices);
  EvidenceTable CollectEvidence(const std::vector<const Crash*>& due,
                                TimePoint now) const;
  // What else was running during the same crashes as a suspect.
  enum class Rivals {
    kNone = 0,
    // Only requests whose responses had begun.
    kBegun = 1,
    kOthers = 2,
  };
  static Rivals FindRivals(const EvidenceTable& table, const Evidence& suspect);
  // @return the number of crashes that convict a request.
  static std::size_t CrashesToConvict(bool begun);
  // @return the request as a cause if the evidence suffices.
  static std::optional<CrashCause> WeighRequest(
      std::uint64_t request,
      const std::vector<const Crash*>& due,
      const EvidenceTable& table);
  std::optional<CrashCause> FindRequestCause(
      const std::vector<const Crash*>& due,
      const EvidenceTable& table,
      TimePoint now) const;
  static std::optional<CrashCause> FindPartCause(
      const std::vector<const Crash*>& due,
      const EvidenceTable& table);
  // @return a former cause that has crashed a server again.
  std::optional<CrashCause> FindRelapse(const std::vector<const Crash*>& due,
                                        TimePoint now) const;
  bool HasSuspects() const;
  // Removes the suspects of whose crashes all but one are explained.
  void ReleaseSuspects(const EvidenceTable& table);
  CrashCause& Quarantine(const CrashCause& cause, TimePoint now);

  const CrashTrackerOptions options;
  Duration gather_time;
  // When a server last ran each part or request without a crash.
  std::unordered_map<std::uint64_t, TimePoint> served;
  TimePoint next_served_prune;
  std::deque<Crash> crashes;  // The oldest first.
  std::size_t candidate_count = 0;
  // Hashes of the candidates that were not cleared, and the servers at whose
  // crashes they were, one for each candidate.
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> suspects;
  std::deque<Cleared> cleared;
  // In quarantine, or remembered after it.
  std::vector<CrashCause> causes;
  TimePoint next_evaluation = TimePoint::max();
  TimePoint last_candidate_at;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_CRASH_TRACKER_H_
