// Detects stragglers: servers that are slower than their peers.
#ifndef ROUTING_STRAGGLER_TRACKER_H_
#define ROUTING_STRAGGLER_TRACKER_H_

#include <unordered_map>
#include <vector>

#include "routing/request.h"

namespace sycamorebend::internal {

class StragglerTracker {
 public:
  // @param ratio time per token divided by the mean of the class.
  void AddSample(ServerIndex server, double ratio, TimePoint now);
  // Forgets a server that was removed or restarted.
  void Forget(ServerIndex server);
  // @return the time per token relative to the class mean for a server that
  // counts as slow, otherwise 1.
  float Slowness(ServerIndex server) const;
  // Servers that currently count as slow.
  const std::vector<ServerIndex>& SlowServers() const {
    return this->slow_servers;
  }
  // A slow server that gets no requests cannot show that it has recovered, so
  // it is sent a single request at intervals.
  // @param urgent true if the request to be used as the probe is urgent; these
  // are used less often.
  bool ProbeDue(ServerIndex server, bool urgent, TimePoint now) const;
  void OnProbe(ServerIndex server, TimePoint now);

 private:
  struct State {
    double ratio = 1;
    TimePoint probed_at;
  };

  std::unordered_map<ServerIndex, State> states;
  std::vector<ServerIndex> slow_servers;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_STRAGGLER_TRACKER_H_
