#include "routing/crash_tracker.h"

namespace sycamorebend::internal {

namespace {

// A suspect without a further crash is dropped after this time, unless it was
// identified as the cause of crashes.
constexpr std::chrono::minutes kSuspectRetention(10);
constexpr std::size_t kMaxSuspects = 4096;

}  // namespace

void CrashTracker::OnCrash(const std::vector<std::string>& candidates,
                           TimePoint now) {
  const std::set<std::string> unique(candidates.begin(), candidates.end());
  this->EvictOld(now);
  for (const std::string& fingerprint : unique) {
    if (fingerprint.empty()) {
      continue;
    }
    Suspect& suspect = this->suspects[fingerprint];
    if (suspect.crashes++ == 0) {
      suspect.common_fingerprints = unique;
    } else {
      for (auto it = suspect.common_fingerprints.begin();
           it != suspect.common_fingerprints.end();) {
        it = unique.count(*it) > 0 ? std::next(it)
                                   : suspect.common_fingerprints.erase(it);
      }
    }
    suspect.last_crash = now;
  }
}

void CrashTracker::EvictOld(TimePoint now) {
  for (auto it = this->suspects.begin(); it != this->suspects.end();) {
    const bool old = now - it->second.last_crash > kSuspectRetention;
    const bool crowded = this->suspects.size() > kMaxSuspects;
    const bool drop = (old || crowded) && !this->CausesCrashes(it->first);
    it = drop ? this->suspects.erase(it) : std::next(it);
  }
}

bool CrashTracker::IsSuspect(const std::string& fingerprint,
                             TimePoint now) const {
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() &&
         now - found->second.last_crash <= kSuspectRetention;
}

bool CrashTracker::CausesCrashes(const std::string& fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() && found->second.crashes >= 2 &&
         found->second.common_fingerprints.size() == 1;
}

int CrashTracker::Crashes(const std::string& fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  return found == this->suspects.end() ? 0 : found->second.crashes;
}

}  // namespace sycamorebend::internal
