#include "controld/server_liveness.h"

#include <algorithm>
#include <iterator>

namespace sycamorebend {

void ServerLiveness::Reset(TimePoint now) {
  this->leases_start = now;
  this->last_announcements.clear();
}

bool ServerLiveness::RecordAnnouncement(const ServerRecord& announced,
                                        const SharedState& state,
                                        TimePoint now) {
  LastAnnouncement& last = this->last_announcements[announced.server_id];
  const bool newer = announced.incarnation > last.incarnation ||
                     (announced.incarnation == last.incarnation &&
                      (announced.sequence > last.sequence ||
                       last.received_at == TimePoint())) ||
                     last.discarded;
  if (!newer) {
    return false;
  }
  last = {announced.incarnation, announced.sequence, now, false};
  const auto known =
      std::find_if(state.servers.begin(), state.servers.end(),
                   [&](const ServerRecord& record) {
                     return record.server_id == announced.server_id;
                   });
  return known == state.servers.end() || !SameAnnouncement(*known, announced);
}

void ServerLiveness::Discard(const std::string& server_id) {
  const auto found = this->last_announcements.find(server_id);
  if (found != this->last_announcements.end()) {
    found->second.discarded = true;
  }
}

std::vector<ServerLiveness::ExpiredLease> ServerLiveness::FindExpiredLeases(
    const SharedState& state,
    TimePoint now) {
  for (auto entry = this->last_announcements.begin();
       entry != this->last_announcements.end();) {
    entry = now - entry->second.received_at > this->leases.expire_after
                ? this->last_announcements.erase(entry)
                : std::next(entry);
  }
  std::vector<ExpiredLease> expired_leases;
  for (const ServerRecord& record : state.servers) {
    const auto last = this->last_announcements.find(record.server_id);
    const TimePoint lease_start = last == this->last_announcements.end()
                                      ? this->leases_start
                                      : last->second.received_at;
    if (now - lease_start > this->leases.expire_after) {
      expired_leases.push_back({record.server_id, record.incarnation, true});
    } else if (!record.silent &&
               now - lease_start > this->leases.silent_after) {
      expired_leases.push_back({record.server_id, record.incarnation, false});
    }
  }
  return expired_leases;
}

}  // namespace sycamorebend
