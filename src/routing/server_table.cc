#include "routing/server_table.h"

#include <algorithm>

namespace sycamorebend::internal {

namespace {

// A report cannot include a request that was sent this shortly before it
// arrived: both need time on the way.
constexpr milliseconds kReportDelay(10);

// Slots that lower tiers leave free, so that work of higher tiers which arrives
// next need not preempt them: what was preempted is computed again.
int Headroom(std::size_t tier, int slots) {
  constexpr std::array<int, 4> kSixteenths = {0, 2, 3, 4};
  return slots * kSixteenths[std::min<std::size_t>(tier, 3)] / 16;
}

// True for work that the aging rule put among the urgent requests.
bool IsAged(const Request& request) {
  return request.sent_tier == 0 && request.tier > 0;
}

std::int16_t ToCount(int value) {
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
  for (const ClassPolicy& one : classes) {
    const auto found = std::find_if(
        this->pools.begin(), this->pools.end(), [&one](const Pool& pool) {
          return pool.selector.Text() == one.servers.Text();
        });
    by_class.push_back(static_cast<PoolIndex>(found - this->pools.begin()));
    if (found == this->pools.end()) {
      this->pools.push_back({one.servers, {}});
    }
  }
  for (ServerIndex i = 0; i < this->servers.size(); ++i) {
    this->servers[i].pools.clear();
    if (this->servers[i].present) {
      this->JoinPools(i);
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
    if (this->unused.empty()) {
      index = static_cast<ServerIndex>(this->servers.size());
      this->servers.emplace_back();
      this->loads.emplace_back();
    } else {
      index = this->unused.back();
      this->unused.pop_back();
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
    this->LeavePools(index);
    this->JoinPools(index);
  }
  if (new_report) {
    this->ApplyReport(server);
  }
  ServerLoad& load = this->loads[index];
  load.slots = std::max<std::int16_t>(1, ToCount(state.slots));
  if (state.reported_at > server.down_since + kReportDelay) {
    server.down = false;
  }
  load.accepting = state.accepting && !server.down;
  load.per_slot = 1.0F / static_cast<float>(load.slots);
  load.same_domain = state.failure_domain == this->failure_domain;
  this->Refresh(index);
  return index;
}

void ServerTable::Remove(ServerIndex index) {
  this->LeavePools(index);
  Server& server = this->servers[index];
  this->by_id.erase(server.state.server_id);
  server.present = false;
  this->loads[index].accepting = false;
  this->ReleaseIfUnused(index);
}

void ServerTable::ReleaseIfUnused(ServerIndex index) {
  const Server& server = this->servers[index];
  if (!server.present && server.own.empty()) {
    this->unused.push_back(index);
  }
}

void ServerTable::MarkDown(ServerIndex index, TimePoint now) {
  this->servers[index].down = true;
  this->servers[index].down_since = now;
  this->loads[index].accepting = false;
}

void ServerTable::MarkSuspects(ServerIndex index) {
  Server& server = this->servers[index];
  for (Request* request : server.own) {
    request->suspect = true;
  }
  server.own_suspects = static_cast<int>(server.own.size());
}

void ServerTable::JoinPools(ServerIndex index) {
  Server& server = this->servers[index];
  for (PoolIndex p = 0; p < this->pools.size(); ++p) {
    if (this->pools[p].selector.Matches(server.state.labels)) {
      this->pools[p].members.push_back(index);
      server.pools.push_back(p);
    }
  }
}

void ServerTable::LeavePools(ServerIndex index) {
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
  server.sent_since = {};
  server.finished_since = {};
  for (Request* request : server.own) {
    request->reflected =
        request->sent_at + kReportDelay <= server.state.reported_at;
    if (!request->reflected) {
      ++server.sent_since[request->sent_tier];
    }
  }
  int total = 0;
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    server.reported[t] = ToCount(count(server.state.running_by_tier, t) +
                                 count(server.state.queued_by_tier, t));
    total += server.reported[t];
  }
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    // Every entry daemon reads the same report, so each takes its share of the
    // free slots only. The random rounding keeps the sum right on average.
    const int free = server.state.slots - Headroom(t, server.state.slots) -
                     (t == 0 ? server.reported[0] : total);
    const float share = static_cast<float>(std::max(0, free)) /
                        static_cast<float>(this->entry_count);
    server.grant[t] = static_cast<std::int16_t>(share + this->random.Unit());
  }
}

void ServerTable::Refresh(ServerIndex index) {
  const Server& server = this->servers[index];
  ServerLoad& load = this->loads[index];
  int ahead = 0;
  int sent = 0;
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    const int own = server.sent_since[t] - server.finished_since[t];
    ahead += std::max(0, server.reported[t] + own);
    sent += own;
    load.ahead[t] = static_cast<std::int16_t>(ahead);
  }
  // Only urgent work preempts. Slots become free often enough for the tiers
  // between, which wait for them in order.
  for (std::size_t t = 0; t < kMaxTiers; ++t) {
    const int used =
        t == 0 ? server.sent_since[0] - server.finished_since[0] : sent;
    load.room[t] = static_cast<std::int16_t>(
        std::min(server.grant[t] - used, load.slots - Headroom(t, load.slots) -
                                             (t == 0 ? load.ahead[0] : ahead)));
  }
}

void ServerTable::AddOwn(Request& request) {
  Server& server = this->servers[request.server];
  server.own.push_back(&request);
  request.reflected = false;
  ++server.sent_since[request.sent_tier];
  server.own_aged += IsAged(request) ? 1 : 0;
  server.own_suspects += request.suspect ? 1 : 0;
  this->Refresh(request.server);
}

void ServerTable::RemoveOwn(Request& request) {
  Server& server = this->servers[request.server];
  const auto found = std::find(server.own.begin(), server.own.end(), &request);
  if (found == server.own.end()) {
    return;
  }
  server.own.erase(found);
  server.own_aged -= IsAged(request) ? 1 : 0;
  server.own_suspects -= request.suspect ? 1 : 0;
  if (request.reflected) {
    ++server.finished_since[request.sent_tier];
  } else {
    --server.sent_since[request.sent_tier];
  }
  this->Refresh(request.server);
  this->ReleaseIfUnused(request.server);
}

}  // namespace sycamorebend::internal
