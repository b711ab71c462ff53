// Identifies requests that crash servers.
#ifndef ROUTING_CRASH_TRACKER_H_
#define ROUTING_CRASH_TRACKER_H_

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sycamorebend/routing.h"

namespace sycamorebend::internal {

// A fingerprint that was in flight during a crash is a suspect. It is
// identified as the cause once it was in flight during at least two crashes and
// is the only fingerprint common to all of them. The scheduler does not send a
// suspect to a server that runs another one, so that a further crash identifies
// one of them.
class CrashTracker {
 public:
  // @param candidates fingerprints in flight on the server that crashed.
  void OnCrash(const std::vector<std::string>& candidates, TimePoint now);
  bool IsSuspect(const std::string& fingerprint, TimePoint now) const;
  // @return true if the crashes seen by this daemon identify the fingerprint as
  // the cause. The control state draws the same conclusion from the crashes
  // reported by all daemons.
  bool CausesCrashes(const std::string& fingerprint) const;
  // @return the number of crashes during which the fingerprint was in flight.
  int Crashes(const std::string& fingerprint) const;

 private:
  struct Suspect {
    // Fingerprints in flight during every crash of this suspect, its own
    // included.
    std::set<std::string> common_fingerprints;
    int crashes = 0;
    TimePoint last_crash;
  };

  void EvictOld(TimePoint now);

  std::unordered_map<std::string, Suspect> suspects;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_CRASH_TRACKER_H_
