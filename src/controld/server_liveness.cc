#include "controld/server_liveness.h"

#include <algorithm>
#include <iterator>

namespace sycamorebend {

void ServerLiveness::Reset(TimePoint now) {
  this->since = now;
  this->heard.clear();
}

bool ServerLiveness::Note(const ServerRecord& announced,
                          const SharedState& state,
                          TimePoint now) {
  Heard& last = this->heard[announced.server_id];
  const bool newer =
      announced.incarnation > last.incarnation ||
      (announced.incarnation == last.incarnation &&
       (announced.sequence > last.sequence || last.at == TimePoint()));
  if (!newer) {
    return false;
  }
  last = {announced.incarnation, announced.sequence, now};
  const auto known =
      std::find_if(state.servers.begin(), state.servers.end(),
                   [&](const ServerRecord& record) {
                     return record.server_id == announced.server_id;
                   });
  return known == state.servers.end() || !SameAnnouncement(*known, announced);
}

std::vector<ServerLiveness::Lapse> ServerLiveness::FindLapses(
    const SharedState& state,
    TimePoint now) {
  for (auto one = this->heard.begin(); one != this->heard.end();) {
    one = now - one->second.at > this->leases.expire_after
              ? this->heard.erase(one)
              : std::next(one);
  }
  std::vector<Lapse> lapses;
  for (const ServerRecord& record : state.servers) {
    const auto last = this->heard.find(record.server_id);
    const TimePoint at =
        last == this->heard.end() ? this->since : last->second.at;
    if (now - at > this->leases.expire_after) {
      lapses.push_back({record.server_id, record.incarnation, true});
    } else if (!record.silent && now - at > this->leases.silent_after) {
      lapses.push_back({record.server_id, record.incarnation, false});
    }
  }
  return lapses;
}

}  // namespace sycamorebend
