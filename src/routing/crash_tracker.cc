#include "routing/crash_tracker.h"

namespace sycamorebend::internal {

namespace {

// A fingerprint that caused no further crash for this long is forgotten,
// except a guilty one.
constexpr std::chrono::minutes kSuspicion(10);
constexpr std::size_t kMaxSuspects = 4096;

}  // namespace

void CrashTracker::OnCrash(const std::vector<std::string>& candidates,
                           TimePoint now) {
  const std::set<std::string> unique(candidates.begin(), candidates.end());
  this->DropOld(now);
  for (const std::string& fingerprint : unique) {
    if (fingerprint.empty()) {
      continue;
    }
    Suspect& suspect = this->suspects[fingerprint];
    if (suspect.crashes++ == 0) {
      suspect.common = unique;
    } else {
      for (auto it = suspect.common.begin(); it != suspect.common.end();) {
        it = unique.count(*it) > 0 ? std::next(it) : suspect.common.erase(it);
      }
    }
    suspect.last_crash = now;
  }
}

void CrashTracker::DropOld(TimePoint now) {
  for (auto it = this->suspects.begin(); it != this->suspects.end();) {
    const bool old = now - it->second.last_crash > kSuspicion;
    const bool crowded = this->suspects.size() > kMaxSuspects;
    const bool drop = (old || crowded) && !this->IsGuilty(it->first);
    it = drop ? this->suspects.erase(it) : std::next(it);
  }
}

bool CrashTracker::IsSuspect(const std::string& fingerprint,
                             TimePoint now) const {
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() &&
         now - found->second.last_crash <= kSuspicion;
}

bool CrashTracker::IsGuilty(const std::string& fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() && found->second.crashes >= 2 &&
         found->second.common.size() == 1;
}

int CrashTracker::Crashes(const std::string& fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  return found == this->suspects.end() ? 0 : found->second.crashes;
}

}  // namespace sycamorebend::internal
