#include <algorithm>
#include <utility>

#include "sycamorebend/membership.h"

namespace sycamorebend {

namespace {

// Delayed announcements arrive within seconds, and few servers restart in that
// time, so it suffices to remember this many replaced incarnations.
constexpr std::size_t kMaxRetiredIncarnations = 4096;

ServerState BuildState(const ServerAnnouncement& announcement) {
  ServerState state;
  state.server_id = announcement.server_id;
  state.incarnation = announcement.incarnation;
  state.address = announcement.address;
  state.kind = announcement.kind;
  state.failure_domain = announcement.failure_domain;
  state.slots = announcement.slots;
  state.models = announcement.models;
  return state;
}

}  // namespace

ServerRegistry::ServerRegistry(Duration lease) : lease(lease) {}

Status ServerRegistry::Announce(const ServerAnnouncement& announcement,
                                TimePoint now) {
  const std::string& id = announcement.server_id;
  if (this->IsRetired(id, announcement.incarnation)) {
    return MakeError(ResultCode::kServerUnknown,
                     "incarnation " + announcement.incarnation + " of " + id +
                         " was replaced by a newer one");
  }
  const auto known = this->records.find(id);
  const bool same =
      known != this->records.end() &&
      known->second.server.state.incarnation == announcement.incarnation;
  if (known != this->records.end() && !same) {
    this->Retire(id, known->second.server.state.incarnation);
    this->records.erase(known);
    this->changes.emplace_back(ServerRemoved{id, RemovalReason::kRestarted});
  }
  Record& record = this->records[id];
  ServerState state = BuildState(announcement);
  if (same) {
    const ServerState& old = record.server.state;
    state.report_sequence = old.report_sequence;
    state.running_by_tier = old.running_by_tier;
    state.queued_by_tier = old.queued_by_tier;
  }
  state.reported_at = now;
  record.server.announcement = announcement;
  record.server.state = std::move(state);
  record.server.lease_end = now + this->lease;
  this->Publish(record);
  return Success();
}

Status ServerRegistry::Report(const ServerReport& report, TimePoint now) {
  Record* const record =
      this->FindIncarnation(report.server_id, report.incarnation);
  if (record == nullptr) {
    return MakeError(ResultCode::kServerUnknown);
  }
  ServerState& state = record->server.state;
  if (report.sequence <= state.report_sequence) {
    return Success();
  }
  state.report_sequence = report.sequence;
  state.reported_at = now;
  state.running_by_tier = report.running_by_tier;
  state.queued_by_tier = report.queued_by_tier;
  record->server.free_kv_tokens = report.free_kv_tokens;
  // A leaving server stays leaving until it restarts. A report that it sent
  // before it started to leave may arrive later.
  record->server.leaving = record->server.leaving || report.leaving;
  record->server.lease_end = now + this->lease;
  this->Publish(*record);
  if (report.cache_events) {
    this->ApplyCacheEvents(*record, *report.cache_events);
  }
  return Success();
}

Status ServerRegistry::Leave(const std::string& server_id,
                             const std::string& incarnation) {
  Record* const record = this->FindIncarnation(server_id, incarnation);
  if (record == nullptr) {
    return MakeError(ResultCode::kServerUnknown);
  }
  if (!record->server.leaving) {
    record->server.leaving = true;
    this->Publish(*record);
  }
  return Success();
}

void ServerRegistry::SetDrained(std::set<std::string> server_ids) {
  std::swap(this->drained, server_ids);
  for (auto& [id, record] : this->records) {
    if (this->drained.count(id) != server_ids.count(id)) {
      this->Publish(record);
    }
  }
}

void ServerRegistry::SetLabelOverrides(
    std::map<std::string, Labels> overrides) {
  std::swap(this->label_overrides, overrides);
  const auto labels_of = [](const std::map<std::string, Labels>& all,
                            const std::string& id) {
    const auto found = all.find(id);
    return found != all.end() ? found->second : Labels();
  };
  for (auto& [id, record] : this->records) {
    if (labels_of(this->label_overrides, id) != labels_of(overrides, id)) {
      this->Publish(record);
    }
  }
}

void ServerRegistry::Expire(TimePoint now) {
  for (auto it = this->records.begin(); it != this->records.end();) {
    const RegisteredServer& server = it->second.server;
    if (server.lease_end > now) {
      ++it;
      continue;
    }
    this->changes.emplace_back(ServerRemoved{
        it->first,
        server.leaving ? RemovalReason::kLeft : RemovalReason::kLeaseExpired});
    it = this->records.erase(it);
  }
}

TimePoint ServerRegistry::NextExpiry() const {
  TimePoint earliest = TimePoint::max();
  for (const auto& [id, record] : this->records) {
    earliest = std::min(earliest, record.server.lease_end);
  }
  return earliest;
}

std::vector<ServerChange> ServerRegistry::TakeChanges() {
  return std::exchange(this->changes, {});
}

const RegisteredServer* ServerRegistry::Find(
    const std::string& server_id) const {
  const auto found = this->records.find(server_id);
  return found != this->records.end() ? &found->second.server : nullptr;
}

std::vector<RegisteredServer> ServerRegistry::Servers() const {
  std::vector<RegisteredServer> servers;
  servers.reserve(this->records.size());
  for (const auto& [id, record] : this->records) {
    servers.push_back(record.server);
  }
  return servers;
}

ServerRegistry::Record* ServerRegistry::FindIncarnation(
    const std::string& server_id,
    const std::string& incarnation) {
  const auto found = this->records.find(server_id);
  if (found == this->records.end() ||
      found->second.server.state.incarnation != incarnation) {
    return nullptr;
  }
  return &found->second;
}

void ServerRegistry::ApplyCacheEvents(Record& record,
                                      const CacheEventBatch& batch) {
  CacheEvents events;
  std::size_t skipped = 0;
  const std::uint64_t expected = record.next_cache_event.value_or(1);
  if (batch.first_sequence > expected) {
    events.reset = true;
    LogEvent(Severity::kInfo, Event::kCacheEventGap,
             {{"server_id", record.server.state.server_id},
              {"expected", expected},
              {"first_seq", batch.first_sequence}});
  } else {
    // Skip events that were already applied from an earlier report.
    skipped = std::min<std::uint64_t>(expected - batch.first_sequence,
                                      batch.events.size());
  }
  for (std::size_t i = skipped; i < batch.events.size(); ++i) {
    const CacheEvent& event = batch.events[i];
    (event.added ? events.added : events.removed).push_back(event.hash);
    // If a batch adds and removes the same hash, only the later event applies.
    std::vector<std::uint64_t>& other =
        event.added ? events.removed : events.added;
    other.erase(std::remove(other.begin(), other.end(), event.hash),
                other.end());
  }
  record.next_cache_event = std::max<std::uint64_t>(
      expected, batch.first_sequence + batch.events.size());
  if (events.reset || !events.added.empty() || !events.removed.empty()) {
    this->changes.emplace_back(
        ServerCacheChanged{record.server.state.server_id, std::move(events)});
  }
}

void ServerRegistry::Publish(Record& record) {
  RegisteredServer& server = record.server;
  server.drained = this->drained.count(server.state.server_id) > 0;
  server.state.accepting = !server.leaving && !server.drained;
  server.state.labels = server.announcement.labels;
  const auto found = this->label_overrides.find(server.state.server_id);
  if (found != this->label_overrides.end()) {
    for (const auto& [name, value] : found->second) {
      server.state.labels[name] = value;
    }
  }
  this->changes.emplace_back(ServerUpdated{server.state});
}

void ServerRegistry::Retire(const std::string& server_id,
                            const std::string& incarnation) {
  this->retired.emplace_back(server_id, incarnation);
  if (this->retired.size() > kMaxRetiredIncarnations) {
    this->retired.pop_front();
  }
}

bool ServerRegistry::IsRetired(const std::string& server_id,
                               const std::string& incarnation) const {
  return std::find(this->retired.begin(), this->retired.end(),
                   std::make_pair(server_id, incarnation)) !=
         this->retired.end();
}

}  // namespace sycamorebend
