// When the leader last heard from each backend server.
#ifndef SYCAMOREBEND_SRC_CONTROLD_SERVER_LIVENESS_H_
#define SYCAMOREBEND_SRC_CONTROLD_SERVER_LIVENESS_H_

#include <map>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {

struct ServerLeases {
  // A server that was not heard of for this long is marked silent. Longer than
  // several announcement intervals, because announcements can be seconds late.
  Duration silent_after = seconds(6);
  // A silent server is removed after this long.
  Duration expire_after = seconds(60);
};

// Not thread-safe. Empty at a new leader: every known server then gets a full
// lease, counted from the start of its leadership.
class ServerLiveness {
 public:
  struct Lapse {
    std::string server_id;
    std::uint64_t incarnation = 0;
    bool expired = false;  // False: it only became silent.
  };

  explicit ServerLiveness(ServerLeases leases) : leases(leases) {}

  // This replica began to lead, or continues after a pause.
  void Reset(TimePoint now);

  // @return true if the announcement says something new and must be proposed.
  bool Note(const ServerRecord& announced,
            const SharedState& state,
            TimePoint now);

  // The next announcement of this server is new again.
  void Forget(const std::string& server_id) { this->heard.erase(server_id); }

  // @return the servers of `state` whose leases have ended.
  std::vector<Lapse> FindLapses(const SharedState& state, TimePoint now);

 private:
  struct Heard {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint at;
  };

  const ServerLeases leases;
  TimePoint since;
  std::map<std::string, Heard> heard;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_SERVER_LIVENESS_H_
