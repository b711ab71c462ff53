// Speed of each server relative to its peers.
#ifndef ROUTING_STRAGGLER_TRACKER_H_
#define ROUTING_STRAGGLER_TRACKER_H_

#include <unordered_map>
#include <vector>

#include "routing/request.h"

namespace sycamorebend::internal {

class StragglerTracker {
 public:
  // @param ratio time for a token divided by the mean of the class.
  void Add(ServerIndex server, double ratio, TimePoint now);
  // Forgets a server that was removed or restarted.
  void Forget(ServerIndex server);
  // @return 1 for a server like its peers, more for a slow one.
  float Slowness(ServerIndex server) const;
  // Servers that count as slow.
  const std::vector<ServerIndex>& Slow() const { return this->slow; }
  // A slow server that gets no work cannot show that it has recovered, so one
  // request is sent to it now and then.
  // @param urgent true if only an urgent request is at hand.
  bool ProbeDue(ServerIndex server, bool urgent, TimePoint now) const;
  void OnProbe(ServerIndex server, TimePoint now);

 private:
  struct State {
    double ratio = 1;
    TimePoint probed_at;
  };

  std::unordered_map<ServerIndex, State> states;
  std::vector<ServerIndex> slow;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_STRAGGLER_TRACKER_H_
