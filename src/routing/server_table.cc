#include "routing/server_table.h"

#include <algorithm>

namespace sycamorebend::internal {

namespace {

// Allowance for network delay: a request that was sent less than this before a
// report arrived is assumed not to be included in the report.
constexpr milliseconds kReportDelay(10);

// Slots that lower tiers leave free for requests of higher tiers, because a
// preempted request has to be recomputed.
int Headroom(std::size_t tier, int slots) {
  constexpr std::array<int, 4> kSixteenths = {0, 2, 3, 4};
  return slots * kSixteenths[std::min<std::size_t>(tier, 3)] / 16;
}

// True if the request was dispatched by the aging rule.
bool IsAged(const Request& request) {
  return request.sent_priority == 0 && request.tier > 0;
}

std::int16_t ClampCount(int value) {
  return static_cast<std::int16_t>(std::clamp(value, 0, 30000));
}

}  // namespace

ServerTable::ServerTable(const SchedulerOptions& options)
    : failure_domain(options.failure_domain),
      entry_count(std::max(1, options.entry_count)),
      random(options.seed) {}

void ServerTable::SetEntryCount(int count) {
  this->entry_count = std::max(1, count);
}

std::vector<PoolIndex> ServerTable::SetPolicy(
    const std::vector<ClassPolicy>& classes) {
  this->pools.clear();
  std::vector<PoolIndex> by_class;
  for (const ClassPolicy& class_policy : classes) {
    const auto found = std::find_if(this->pools.begin(), this->pools.end(),
                                    [&class_policy](const Pool& pool) {
                                      return pool.selector.Text() ==
                                             class_policy.servers.Text();
                                    });
    by_class.push_back(static_cast<PoolIndex>(found - this->pools.begin()));
    if (found == this->pools.end()) {
      this->pools.push_back({class_policy.servers, {}});
    }
  }
  for (ServerIndex i = 0; i < this->servers.size(); ++i) {
    this->servers[i].pools.clear();
    if (this->servers[i].present) {
      this->AddToPools(i);
    }
  }
  return by_class;
}

ServerIndex ServerTable::Find(std::string_view server_id) const {
  const auto found = this->by_id.find(std::string(server_id));
  return found == this->by_id.end() ? kNoServer : found->second;
}

ServerIndex ServerTable::Update(const ServerState& state) {
  ServerIndex index = this->Find(state.server_id);
  const bool is_new = index == kNoServer;
  if (is_new) {
    if (this->free_indices.empty()) {
      index = static_cast<ServerIndex>(this->servers.size());
      this->servers.emplace_back();
      this->loads.emplace_back();
    } else {
      index = this->free_indices.back();
      this->free_indices.pop_back();
      this->servers[index] = {};
      this->loads[index] = {};
    }
    this->by_id.emplace(state.server_id, index);
  }
  Server& server = this->servers[index];
  const bool relabelled = is_new || server.state.labels != state.labels;
  const bool new_report =
      is_new || server.state.report_sequence != state.report_sequence ||
      server.state.incarnation != state.incarnation;
  server.state = state;
  server.present = true;
  if (relabelled) {
    this->RemoveFromPools(index);
    this->AddToPools(index);
  }
  if (new_report) {
    this->ApplyReport(server);
  }
  ServerLoad& load = this->loads[index];
  load.slots = std::max<std::int16_t>(1, ClampCount(state.slots));
  if (state.reported_at > server.down_since + kReportDelay) {
    server.down = false;
  }
  load.accepting = state.accepting && !server.down;
  load.inverse_slots = 1.0F / static_cast<float>(load.slots);
  load.same_domain = state.failure_domain == this->failure_domain;
  this->RecomputeLoad(index);
  return index;
}

void ServerTable::Remove(ServerIndex index) {
  this->RemoveFromPools(index);
  Server& server = this->servers[index];
  this->by_id.erase(server.state.server_id);
  server.present = false;
  this->loads[index].accepting = false;
  this->ReleaseIfUnused(index);
}

void ServerTable::ReleaseIfUnused(ServerIndex index) {
  const Server& server = this->servers[index];
  if (!server.present && server.own_requests.empty()) {
    this->free_indices.push_back(index);
  }
}

void ServerTable::MarkDown(ServerIndex index, TimePoint now) {
  this->servers[index].down = true;
  this->servers[index].down_since = now;
  this->loads[index].accepting = false;
}

void ServerTable::MarkSuspects(ServerIndex index) {
  Server& server = this->servers[index];
  for (Request* request : server.own_requests) {
    request->suspect = true;
  }
  server.own_suspects = static_cast<int>(server.own_requests.size());
}

void ServerTable::AddToPools(ServerIndex index) {
  Server& server = this->servers[index];
  for (PoolIndex p = 0; p < this->pools.size(); ++p) {
    if (this->pools[p].selector.Matches(server.state.labels)) {
      this->pools[p].members.push_back(index);
      server.pools.push_back(p);
    }
  }
}

void ServerTable::RemoveFromPools(ServerIndex index) {
  for (const PoolIndex p : this->servers[index].pools) {
    auto& members = this->pools[p].members;
    members.erase(std::remove(members.begin(), members.end(), index),
                  members.end());
  }
  this->servers[index].pools.clear();
}

void ServerTable::ApplyReport(Server& server) {
  const auto count = [](const std::vector<int>& counts, std::size_t tier) {
    return tier < counts.size() ? std::max(0, counts[tier]) : 0;
  };
  server.sent_since_report = {};
  server.finished_since_report = {};
  for (Request* request : server.own_requests) {
    request->in_report =
        request->sent_at + kReportDelay <= server.state.reported_at;
    if (!request->in_report) {
      ++server.sent_since_report[request->sent_priority];
    }
  }
  int total = 0;
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    server.reported[t] = ClampCount(count(server.state.running_by_tier, t) +
                                    count(server.state.queued_by_tier, t));
    total += server.reported[t];
  }
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    // All entry daemons receive the same report, so each takes only its share
    // of the free slots. Random rounding keeps the sum of the shares correct on
    // average.
    const int free = server.state.slots - Headroom(t, server.state.slots) -
                     (t == 0 ? server.reported[0] : total);
    const float share = static_cast<float>(std::max(0, free)) /
                        static_cast<float>(this->entry_count);
    server.quota[t] = static_cast<std::int16_t>(share + this->random.Unit());
  }
}

void ServerTable::RecomputeLoad(ServerIndex index) {
  const Server& server = this->servers[index];
  ServerLoad& load = this->loads[index];
  int requests_ahead = 0;
  int sent = 0;
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    const int unreported =
        server.sent_since_report[t] - server.finished_since_report[t];
    requests_ahead += std::max(0, server.reported[t] + unreported);
    sent += unreported;
    load.requests_ahead[t] = static_cast<std::int16_t>(requests_ahead);
  }
  // Only tier 0 counts slots used by lower tiers as available, because only
  // urgent requests preempt. Other tiers wait in the queues; slots become free
  // often enough.
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    const int used =
        t == 0 ? server.sent_since_report[0] - server.finished_since_report[0]
               : sent;
    load.available_slots[t] = static_cast<std::int16_t>(
        std::min(server.quota[t] - used,
                 load.slots - Headroom(t, load.slots) -
                     (t == 0 ? load.requests_ahead[0] : requests_ahead)));
  }
}

void ServerTable::AddRequest(Request& request) {
  Server& server = this->servers[request.server];
  server.own_requests.push_back(&request);
  request.in_report = false;
  ++server.sent_since_report[request.sent_priority];
  server.own_aged += IsAged(request) ? 1 : 0;
  server.own_suspects += request.suspect ? 1 : 0;
  this->RecomputeLoad(request.server);
}

void ServerTable::RemoveRequest(Request& request) {
  Server& server = this->servers[request.server];
  const auto found = std::find(server.own_requests.begin(),
                               server.own_requests.end(), &request);
  if (found == server.own_requests.end()) {
    return;
  }
  server.own_requests.erase(found);
  server.own_aged -= IsAged(request) ? 1 : 0;
  server.own_suspects -= request.suspect ? 1 : 0;
  if (request.in_report) {
    ++server.finished_since_report[request.sent_priority];
  } else {
    --server.sent_since_report[request.sent_priority];
  }
  this->RecomputeLoad(request.server);
  this->ReleaseIfUnused(request.server);
}

}  // namespace sycamorebend::internal
