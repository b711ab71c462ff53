// Requests that were in flight on servers when these crashed.
#ifndef ROUTING_CRASH_TRACKER_H_
#define ROUTING_CRASH_TRACKER_H_

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sycamorebend/routing.h"

namespace sycamorebend::internal {

// A fingerprint is a suspect after one crash. It is guilty once it was in two
// crashes whose candidates have only this fingerprint in common. Suspects are
// kept apart from each other, so that the next crash tells them apart.
class CrashTracker {
 public:
  void OnCrash(const std::vector<std::string>& candidates, TimePoint now);
  bool IsSuspect(const std::string& fingerprint, TimePoint now) const;
  // True if this daemon's own findings show that the fingerprint crashes
  // servers; the control state learns the same from the evidence.
  bool IsGuilty(const std::string& fingerprint) const;
  // Crashes during which the fingerprint was in flight.
  int Crashes(const std::string& fingerprint) const;

 private:
  struct Suspect {
    // Fingerprints in flight in all crashes of this one.
    std::set<std::string> common;
    int crashes = 0;
    TimePoint last_crash;
  };

  void DropOld(TimePoint now);

  std::unordered_map<std::string, Suspect> suspects;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_CRASH_TRACKER_H_
