#include "routing/crash_tracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorebend::internal {

namespace {

// A crash without a known cause is evidence for this long.
constexpr Duration kCrashRetention = std::chrono::minutes(10);
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxCandidatesPerCrash = 256;
// In all crashes; the oldest crashes are forgotten first.
constexpr std::size_t kMaxCandidates = 1 << 14;
// What a server ran without a crash this long before another one crashed is not
// a candidate.
constexpr Duration kServedRetention = seconds(10);
// Entries of `served` beyond this are dropped, at the price of more candidates.
constexpr std::size_t kMaxServed = 1 << 16;
// Servers that crash within this time have crashed at the same moment. Longer
// than daemons need to tell each other.
constexpr Duration kSameMoment = milliseconds(250);

constexpr std::size_t kCrashesOfRequest = 2;
// The same if the response had begun at one of them, and the number of
// different moments at which they have to occur.
constexpr std::size_t kCrashesOfBegunRequest = 3;
constexpr std::size_t kMomentsOfBegunRequest = 2;
// Crashes of a part of different requests, if nothing else was running during
// all of them, and otherwise.
constexpr std::size_t kCrashesOfPart = 2;
constexpr std::size_t kCrashesOfPartWithRivals = 3;
constexpr std::size_t kDifferentRequests = 2;

constexpr Duration kFirstQuarantine = std::chrono::minutes(10);
// Of a suspicion that another daemon has reported, and that it reports again
// while it lasts.
constexpr Duration kReportedSuspicion = seconds(5);
constexpr int kMaxDoublings = 4;
// A former cause is quarantined again by a single crash.
constexpr Duration kCauseRetention = std::chrono::hours(6);
constexpr std::size_t kMaxCauses = 64;
// How long news for other daemons are kept.
constexpr Duration kNewsRetention = seconds(5);

bool Contains(const std::vector<std::uint64_t>& sorted, std::uint64_t value) {
  return std::binary_search(sorted.begin(), sorted.end(), value);
}

bool Includes(const std::vector<std::uint64_t>& all,
              const std::vector<std::uint64_t>& part) {
  return std::includes(all.begin(), all.end(), part.begin(), part.end());
}

bool Matches(const CrashCause& cause, const RequestContent& content) {
  return cause.request != 0
             ? cause.request == content.request
             : !cause.parts.empty() && Includes(content.parts, cause.parts);
}

bool SameContent(const CrashCause& a, const CrashCause& b) {
  return a.request == b.request && a.parts == b.parts;
}

bool InScope(NewsSource source, NewsScope scope) {
  return scope == NewsScope::kAll || source == NewsSource::kOwn;
}

template <typename Value>
std::vector<Value> Intersection(const std::vector<Value>& a,
                                const std::vector<Value>& b) {
  std::vector<Value> both;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(both));
  return both;
}

}  // namespace

bool CrashTracker::ServedRecently(std::uint64_t hash, TimePoint now) const {
  const auto found = this->served.find(hash);
  return found != this->served.end() && now - found->second <= kServedRetention;
}

void CrashTracker::RecordServed(const RequestContent& content, TimePoint now) {
  const auto record = [&](std::uint64_t hash) {
    this->served[hash] = now;
    if (!this->suspects.empty() || !this->causes.empty()) {
      this->Clear(hash, NewsSource::kOwn, now);
    }
  };
  if (content.request != 0) {
    record(content.request);
  }
  for (const std::uint64_t part : content.parts) {
    record(part);
  }
  if (now >= this->next_served_prune || this->served.size() > kMaxServed) {
    this->next_served_prune = now + kServedRetention;
    const bool full = this->served.size() > kMaxServed;
    for (auto it = this->served.begin(); it != this->served.end();) {
      const Duration age = now - it->second;
      it = age > (full ? kServedRetention / 2 : kServedRetention)
               ? this->served.erase(it)
               : std::next(it);
    }
    if (this->served.size() > kMaxServed) {
      this->served.clear();
    }
  }
}

void CrashTracker::RecordCleared(const std::vector<std::uint64_t>& hashes,
                                 TimePoint now) {
  for (const std::uint64_t hash : hashes) {
    if (hash != 0) {
      this->served[hash] = now;
      this->Clear(hash, NewsSource::kPeer, now);
    }
  }
}

void CrashTracker::Clear(std::uint64_t hash, NewsSource source, TimePoint now) {
  const auto found = this->suspects.find(hash);
  const bool suspect = found != this->suspects.end();
  if (suspect) {
    const std::vector<std::uint32_t> servers = std::move(found->second);
    this->suspects.erase(found);
    for (Crash& crash : this->crashes) {
      if (std::find(servers.begin(), servers.end(), crash.server) ==
          servers.end()) {
        continue;
      }
      for (Candidate& candidate : crash.candidates) {
        RequestContent& content = candidate.content;
        if (content.request == hash) {
          content.request = 0;
        }
        const auto part =
            std::lower_bound(content.parts.begin(), content.parts.end(), hash);
        if (part != content.parts.end() && *part == hash) {
          content.parts.erase(part);
        }
      }
    }
  }
  bool cause_changed = false;
  for (auto cause = this->causes.begin(); cause != this->causes.end();) {
    const auto part =
        std::lower_bound(cause->parts.begin(), cause->parts.end(), hash);
    if (part != cause->parts.end() && *part == hash) {
      cause->parts.erase(part);
      cause_changed = true;
    }
    const bool refuted =
        cause->request == hash || (cause->request == 0 && cause->parts.empty());
    cause_changed = cause_changed || refuted;
    cause = refuted ? this->causes.erase(cause) : std::next(cause);
  }
  if (suspect || cause_changed) {
    this->cleared.push_back({hash, now, source});
  }
  // A suspected request may have been alone after all.
  if (suspect && this->HasSuspects()) {
    this->next_evaluation = now;
  }
}

void CrashTracker::RemoveOldestCrash() {
  const Crash& oldest = this->crashes.front();
  const auto forget = [&](std::uint64_t hash) {
    const auto found = this->suspects.find(hash);
    if (found == this->suspects.end()) {
      return;
    }
    std::vector<std::uint32_t>& servers = found->second;
    const auto server =
        std::find(servers.begin(), servers.end(), oldest.server);
    if (server != servers.end()) {
      servers.erase(server);
    }
    if (servers.empty()) {
      this->suspects.erase(found);
    }
  };
  for (const Candidate& candidate : oldest.candidates) {
    forget(candidate.content.request);
    for (const std::uint64_t part : candidate.content.parts) {
      forget(part);
    }
  }
  this->candidate_count -= oldest.candidates.size();
  this->crashes.pop_front();
}

void CrashTracker::Prune(TimePoint now) {
  while (!this->crashes.empty() &&
         (now - this->crashes.front().at > kCrashRetention ||
          this->crashes.size() > kMaxCrashes ||
          this->candidate_count > kMaxCandidates)) {
    this->RemoveOldestCrash();
  }
  while (!this->cleared.empty() &&
         now - this->cleared.front().at > kNewsRetention) {
    this->cleared.pop_front();
  }
  this->causes.erase(
      std::remove_if(this->causes.begin(), this->causes.end(),
                     [now](const CrashCause& cause) {
                       return now - cause.quarantined_until >
                              (cause.suspected ? Duration{0} : kCauseRetention);
                     }),
      this->causes.end());
}

bool CrashTracker::RecordCrash(const CrashCandidate& reported,
                               NewsSource source,
                               TimePoint now) {
  this->Prune(now);
  auto crash = std::find_if(
      this->crashes.begin(), this->crashes.end(),
      [&](const Crash& known) { return known.server == reported.server; });
  if (crash == this->crashes.end()) {
    this->crashes.push_back({reported.server, now, {}});
    crash = std::prev(this->crashes.end());
  }
  Candidate candidate;
  candidate.reported = reported.content;
  candidate.begun = reported.begun;
  if (reported.begun) {
    candidate.reported.parts.clear();
  }
  const bool known = std::any_of(
      crash->candidates.begin(), crash->candidates.end(),
      [&](const Candidate& other) {
        return other.begun == candidate.begun &&
               other.reported.request == candidate.reported.request &&
               other.reported.parts == candidate.reported.parts;
      });
  if (known || crash->candidates.size() >= kMaxCandidatesPerCrash) {
    return false;
  }
  candidate.at = now;
  candidate.source = source;
  const auto add = [&](std::uint64_t hash) {
    if (this->ServedRecently(hash, now)) {
      this->cleared.push_back({hash, now, NewsSource::kOwn});
      return false;
    }
    this->suspects[hash].push_back(reported.server);
    return true;
  };
  if (reported.content.request != 0 && add(reported.content.request)) {
    candidate.content.request = reported.content.request;
  }
  for (const std::uint64_t part : candidate.reported.parts) {
    if (add(part)) {
      candidate.content.parts.push_back(part);
    }
  }
  crash->candidates.push_back(std::move(candidate));
  ++this->candidate_count;
  this->last_candidate_at = now;
  this->next_evaluation =
      std::min(this->next_evaluation,
               std::max(now, crash->at + this->options.report_window));
  return true;
}

std::vector<const CrashTracker::Crash*> CrashTracker::DueCrashes(
    TimePoint now) const {
  std::vector<const Crash*> due;
  for (const Crash& crash : this->crashes) {
    if (crash.at + this->options.report_window <= now) {
      due.push_back(&crash);
    }
  }
  return due;
}

bool CrashTracker::MayBeCause(const Candidate& candidate) {
  return candidate.content.request != 0 || !candidate.content.parts.empty();
}

std::vector<const CrashTracker::Candidate*> CrashTracker::Unexplained(
    const Crash& crash,
    TimePoint now) const {
  std::vector<const Candidate*> all;
  std::vector<const Candidate*> repeated;
  for (const Candidate& candidate : crash.candidates) {
    for (const CrashCause& cause : this->causes) {
      if (now >= cause.quarantined_until || cause.suspected ||
          !Matches(cause, candidate.reported)) {
        continue;
      }
      if (cause.request == 0) {
        return {};
      }
      // One of its parts may be the cause.
      repeated.push_back(&candidate);
      break;
    }
    all.push_back(&candidate);
  }
  return repeated.empty() ? all : repeated;
}

std::size_t CrashTracker::Moments(const std::vector<const Crash*>& due,
                                  const std::set<std::size_t>& indices) {
  // Ordered by time, as are the crashes.
  std::size_t moments = 0;
  TimePoint last;
  for (const std::size_t index : indices) {
    if (moments == 0 || due[index]->at - last > kSameMoment) {
      ++moments;
      last = due[index]->at;
    }
  }
  return moments;
}

CrashTracker::EvidenceTable CrashTracker::CollectEvidence(
    const std::vector<const Crash*>& due,
    TimePoint now) const {
  EvidenceTable table;
  // What was running during one crash is neither a cause nor a rival of one.
  const auto seen_often = [this](std::uint64_t hash) {
    const auto found = this->suspects.find(hash);
    return found != this->suspects.end() && found->second.size() > 1;
  };
  for (std::size_t i = 0; i < due.size(); ++i) {
    const std::vector<const Candidate*> candidates =
        this->Unexplained(*due[i], now);
    const bool alone = now >= due[i]->at + this->gather_time &&
                       std::count_if(candidates.begin(), candidates.end(),
                                     [](const Candidate* candidate) {
                                       return MayBeCause(*candidate);
                                     }) == 1;
    for (const Candidate* candidate : candidates) {
      const RequestContent& content = candidate->content;
      if (content.request != 0 && seen_often(content.request)) {
        Evidence& request = table.requests[content.request];
        request.crashes.insert(i);
        request.together = content.parts;
        request.alone = request.alone || alone;
        request.begun = request.begun || candidate->begun;
      }
      for (const std::uint64_t hash : content.parts) {
        if (!seen_often(hash)) {
          continue;
        }
        Evidence& part = table.parts[hash];
        part.together = part.crashes.empty()
                            ? content.parts
                            : Intersection(part.together, content.parts);
        part.crashes.insert(i);
        part.requests.insert(candidate->reported.request);
      }
    }
  }
  return table;
}

CrashTracker::Rivals CrashTracker::FindRivals(const EvidenceTable& table,
                                              const Evidence& suspect) {
  const auto covers = [&](const Evidence& other) {
    return &other != &suspect &&
           std::includes(other.crashes.begin(), other.crashes.end(),
                         suspect.crashes.begin(), suspect.crashes.end());
  };
  if (std::any_of(table.parts.begin(), table.parts.end(),
                  [&](const auto& part) {
                    return !Contains(suspect.together, part.first) &&
                           covers(part.second);
                  })) {
    return Rivals::kOthers;
  }
  Rivals rivals = Rivals::kNone;
  for (const auto& [request, evidence] : table.requests) {
    if (suspect.requests.count(request) > 0 || !covers(evidence)) {
      continue;
    }
    if (!evidence.begun) {
      return Rivals::kOthers;
    }
    rivals = Rivals::kBegun;
  }
  return rivals;
}

std::size_t CrashTracker::CrashesToConvict(bool begun) {
  return begun ? kCrashesOfBegunRequest : kCrashesOfRequest;
}

std::optional<CrashCause> CrashTracker::WeighRequest(
    std::uint64_t request,
    const std::vector<const Crash*>& due,
    const EvidenceTable& table) {
  const Evidence& evidence = table.requests.at(request);
  const std::size_t count = evidence.crashes.size();
  const std::size_t needed = CrashesToConvict(evidence.begun);
  if (count < needed || (evidence.begun && Moments(due, evidence.crashes) <
                                               kMomentsOfBegunRequest)) {
    return std::nullopt;
  }
  const Rivals rivals = FindRivals(table, evidence);
  // A request whose response had not begun is the more likely cause of two.
  if (rivals == Rivals::kOthers ||
      (rivals == Rivals::kBegun && evidence.begun)) {
    return std::nullopt;
  }
  CrashCause cause;
  cause.request = request;
  cause.crashes = static_cast<int>(count);
  cause.suspected =
      rivals == Rivals::kBegun || (!evidence.alone && count == needed);
  return cause;
}

std::optional<CrashCause> CrashTracker::FindRequestCause(
    const std::vector<const Crash*>& due,
    const EvidenceTable& table,
    TimePoint now) const {
  for (const auto& [request, evidence] : table.requests) {
    std::optional<CrashCause> cause = WeighRequest(request, due, table);
    if (!cause) {
      continue;
    }
    const bool known = std::any_of(
        this->causes.begin(), this->causes.end(), [&](const CrashCause& other) {
          return SameContent(other, *cause) && now < other.quarantined_until &&
                 (cause->suspected ? !other.reported : !other.suspected);
        });
    if (!known) {
      return cause;
    }
  }
  return std::nullopt;
}

std::optional<CrashCause> CrashTracker::FindPartCause(
    const std::vector<const Crash*>& due,
    const EvidenceTable& table) {
  std::optional<CrashCause> best;
  for (const auto& [hash, evidence] : table.parts) {
    const std::size_t moments = Moments(due, evidence.crashes);
    const int count = static_cast<int>(evidence.crashes.size());
    if (moments < kCrashesOfPart ||
        evidence.requests.size() < kDifferentRequests ||
        (best && count <= best->crashes)) {
      continue;
    }
    const Rivals rivals = FindRivals(table, evidence);
    if (rivals == Rivals::kNone ||
        (rivals == Rivals::kOthers && moments >= kCrashesOfPartWithRivals)) {
      best = CrashCause{0, evidence.together, count, 1, {}};
    }
  }
  return best;
}

std::optional<CrashCause> CrashTracker::FindRelapse(
    const std::vector<const Crash*>& due,
    TimePoint now) const {
  for (const CrashCause& cause : this->causes) {
    if (now < cause.quarantined_until || cause.suspected) {
      continue;
    }
    for (const Crash* crash : due) {
      if (crash->at < cause.quarantined_until) {
        continue;
      }
      for (const Candidate* candidate : this->Unexplained(*crash, now)) {
        if (Matches(cause, candidate->content)) {
          CrashCause again = cause;
          again.crashes = 1;
          ++again.findings;
          return again;
        }
      }
    }
  }
  return std::nullopt;
}

CrashCause& CrashTracker::Quarantine(const CrashCause& cause, TimePoint now) {
  // A cause with fewer parts takes the place of those that contain it.
  this->causes.erase(
      std::remove_if(this->causes.begin(), this->causes.end(),
                     [&](const CrashCause& other) {
                       return cause.request != 0
                                  ? other.request == cause.request
                                  : other.request == 0 &&
                                        Includes(other.parts, cause.parts);
                     }),
      this->causes.end());
  if (this->causes.size() >= kMaxCauses) {
    this->causes.erase(
        std::min_element(this->causes.begin(), this->causes.end(),
                         [](const CrashCause& a, const CrashCause& b) {
                           return a.quarantined_until < b.quarantined_until;
                         }));
  }
  this->causes.push_back(cause);
  CrashCause& added = this->causes.back();
  if (added.quarantined_until <= now) {
    added.quarantined_until =
        now +
        kFirstQuarantine * (1 << std::min(added.findings - 1, kMaxDoublings));
  }
  return added;
}

bool CrashTracker::HasSuspects() const {
  return std::any_of(this->causes.begin(), this->causes.end(),
                     [](const CrashCause& cause) { return cause.suspected; });
}

void CrashTracker::ReleaseSuspects(const EvidenceTable& table) {
  const auto released = [&table](const CrashCause& cause) {
    const auto found = table.requests.find(cause.request);
    return cause.suspected && !cause.reported &&
           (found == table.requests.end() ||
            found->second.crashes.size() <
                CrashesToConvict(found->second.begun));
  };
  this->causes.erase(
      std::remove_if(this->causes.begin(), this->causes.end(), released),
      this->causes.end());
}

bool CrashTracker::AddCause(const CrashCause& cause, TimePoint now) {
  CrashCause added = cause;
  added.reported = added.suspected;
  if (added.reported) {
    added.quarantined_until =
        std::min(added.quarantined_until, now + kReportedSuspicion);
  }
  if (now >= added.quarantined_until ||
      (added.request == 0 && added.parts.empty())) {
    return false;
  }
  // Sent before one of the parts was cleared.
  const bool refuted =
      added.request != 0 ? this->ServedRecently(added.request, now)
                         : std::any_of(added.parts.begin(), added.parts.end(),
                                       [&](std::uint64_t part) {
                                         return this->ServedRecently(part, now);
                                       });
  if (refuted) {
    return false;
  }
  for (CrashCause& known : this->causes) {
    const bool covers =
        added.request != 0
            ? known.request == added.request
            : known.request == 0 && Includes(added.parts, known.parts);
    if (covers && now < known.quarantined_until) {
      if (SameContent(known, added)) {
        known.suspected = known.suspected && added.suspected;
        known.reported = known.reported && added.reported;
        known.quarantined_until =
            std::max(known.quarantined_until, added.quarantined_until);
        known.findings = std::max(known.findings, added.findings);
      }
      return false;
    }
  }
  if (!added.suspected && this->HasSuspects()) {
    this->next_evaluation = now;
  }
  this->Quarantine(added, now);
  return true;
}

std::vector<CrashCause> CrashTracker::Evaluate(TimePoint now) {
  std::vector<CrashCause> found;
  if (now < this->next_evaluation) {
    return found;
  }
  this->Prune(now);
  const std::vector<const Crash*> due = this->DueCrashes(now);
  while (found.size() < kMaxCauses) {
    std::optional<CrashCause> cause = this->FindRelapse(due, now);
    if (!cause) {
      const EvidenceTable table = this->CollectEvidence(due, now);
      this->ReleaseSuspects(table);
      cause = FindPartCause(due, table);
      if (!cause) {
        cause = this->FindRequestCause(due, table, now);
      }
    }
    if (!cause) {
      break;
    }
    found.push_back(this->Quarantine(*cause, now));
  }
  this->next_evaluation = TimePoint::max();
  for (const Crash& crash : this->crashes) {
    for (const Duration wait :
         {this->options.report_window, this->gather_time}) {
      if (crash.at + wait > now) {
        this->next_evaluation =
            std::min(this->next_evaluation, crash.at + wait);
      }
    }
  }
  return found;
}

std::optional<CrashCause> CrashTracker::FindCause(const RequestContent& content,
                                                  TimePoint now) const {
  for (const CrashCause& cause : this->causes) {
    if (now < cause.quarantined_until && Matches(cause, content)) {
      return cause;
    }
  }
  return std::nullopt;
}

bool CrashTracker::IsSuspect(std::uint64_t request) const {
  return request != 0 && this->suspects.count(request) > 0;
}

std::optional<TimePoint> CrashTracker::EvaluationDue(
    const RequestContent& content,
    TimePoint now) const {
  if (this->next_evaluation == TimePoint::max()) {
    return std::nullopt;
  }
  std::optional<TimePoint> due;
  const auto check = [&](std::uint64_t hash, const auto& has) {
    if (hash == 0 || this->suspects.count(hash) == 0) {
      return;
    }
    std::size_t count = 0;
    bool begun = false;
    TimePoint last;
    for (const Crash& crash : this->crashes) {
      bool running = false;
      for (const Candidate& candidate : crash.candidates) {
        if (has(candidate.content)) {
          running = true;
          begun = begun || candidate.begun;
        }
      }
      if (running) {
        ++count;
        last = std::max(last, crash.at + this->options.report_window);
      }
    }
    if (count >= CrashesToConvict(begun) && last > now) {
      due = std::max(due.value_or(last), last);
    }
  };
  check(content.request, [&](const RequestContent& seen) {
    return seen.request == content.request;
  });
  for (const std::uint64_t part : content.parts) {
    check(part, [part](const RequestContent& seen) {
      return Contains(seen.parts, part);
    });
  }
  return due;
}

std::size_t CrashTracker::Crashes(std::uint64_t request) const {
  return static_cast<std::size_t>(std::count_if(
      this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                           [&](const Candidate& candidate) {
                             return request != 0 &&
                                    candidate.content.request == request;
                           });
      }));
}

std::vector<CrashCause> CrashTracker::Causes(TimePoint now) const {
  std::vector<CrashCause> active;
  std::copy_if(
      this->causes.begin(), this->causes.end(), std::back_inserter(active),
      [now](const CrashCause& cause) { return now < cause.quarantined_until; });
  return active;
}

std::vector<CrashCandidate> CrashTracker::CandidatesSince(
    TimePoint since,
    NewsScope scope) const {
  std::vector<CrashCandidate> recent;
  if (this->last_candidate_at < since) {
    return recent;
  }
  for (const Crash& crash : this->crashes) {
    for (const Candidate& candidate : crash.candidates) {
      if (candidate.at >= since && InScope(candidate.source, scope)) {
        recent.push_back({crash.server, candidate.reported, candidate.begun});
      }
    }
  }
  return recent;
}

bool CrashTracker::HasOwnCandidate(const CrashCause& cause) const {
  return std::any_of(
      this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                           [&](const Candidate& candidate) {
                             return candidate.source == NewsSource::kOwn &&
                                    Matches(cause, candidate.reported);
                           });
      });
}

std::vector<std::uint64_t> CrashTracker::ClearedSince(TimePoint since,
                                                      NewsScope scope) const {
  std::vector<std::uint64_t> hashes;
  for (const Cleared& entry : this->cleared) {
    if (entry.at >= since && InScope(entry.source, scope)) {
      hashes.push_back(entry.hash);
    }
  }
  std::sort(hashes.begin(), hashes.end());
  hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
  return hashes;
}

}  // namespace sycamorebend::internal
