// Records when the leader last received an announcement of each backend server.
#ifndef SYCAMOREBEND_SRC_CONTROLD_SERVER_LIVENESS_H_
#define SYCAMOREBEND_SRC_CONTROLD_SERVER_LIVENESS_H_

#include <map>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {

struct ServerLeases {
  // A server that did not announce itself for this long is marked silent.
  // Longer than several announcement intervals, because announcements can be
  // seconds late.
  Duration silent_after = seconds(6);
  // A server that did not announce itself for this long is removed.
  Duration expire_after = seconds(60);
};

// Leases of the backend servers, kept by the leader. A new leader has received
// no announcements yet and gives every known server a full lease from the start
// of its leadership. Not thread-safe.
class ServerLiveness {
 public:
  struct ExpiredLease {
    std::string server_id;
    std::uint64_t incarnation = 0;
    // True if the server is to be removed, false if it is to be marked silent.
    bool remove_server = false;
  };

  explicit ServerLiveness(ServerLeases leases) : leases(leases) {}

  // Forgets all announcements and restarts the leases at `now`: this replica
  // became leader or continues after a pause.
  void Reset(TimePoint now);

  // @return true if the announcement differs from the server's record in
  // `state` and must be proposed; false for an older or repeated announcement.
  bool RecordAnnouncement(const ServerRecord& announced,
                          const SharedState& state,
                          TimePoint now);

  // The last announcement of this server was not stored. The next one is not
  // treated as a repetition, but the server's lease goes on.
  void Discard(const std::string& server_id);

  // @return the servers of `state` whose leases have expired.
  std::vector<ExpiredLease> FindExpiredLeases(const SharedState& state,
                                              TimePoint now);

 private:
  struct LastAnnouncement {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint received_at;
    bool discarded = false;
  };

  const ServerLeases leases;
  TimePoint leases_start;
  std::map<std::string, LastAnnouncement> last_announcements;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_SERVER_LIVENESS_H_
