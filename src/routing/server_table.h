// Backend servers, the pools that classes select from them, and the estimate
// of each server's load.
#ifndef ROUTING_SERVER_TABLE_H_
#define ROUTING_SERVER_TABLE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/random.h"
#include "routing/request.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::internal {

constexpr std::size_t kMaxTiers = 16;
using TierCounts = std::array<std::int16_t, kMaxTiers>;
using PoolIndex = std::uint32_t;

// What a scan over a pool reads; one or two cache lines for each server.
struct ServerLoad {
  // Estimated requests (running and queued) of tiers 0..t.
  TierCounts ahead{};
  // Requests of tier t that this entry daemon may still send before the next
  // report.
  TierCounts room{};
  std::int16_t slots = 1;
  bool accepting = false;
  bool same_domain = false;
  float per_slot = 1;  // 1 / slots.
  // Time per token relative to peers; 1 for a server like the others.
  float slowness = 1;
};

struct Server {
  ServerState state;
  bool present = false;
  std::vector<PoolIndex> pools;
  // Requests of this entry daemon that run here, by arrival.
  std::vector<Request*> own;
  // Own work since the newest report, by tier.
  TierCounts sent_since{};
  TierCounts finished_since{};
  TierCounts reported{};
  TierCounts grant{};
  // Own requests here that were sent by the aging rule, and suspects.
  int own_aged = 0;
  int own_suspects = 0;
  // Set by a crash or a refused connection; a newer report clears it.
  bool down = false;
  TimePoint down_since;
};

// Servers that one selector matches.
struct Pool {
  Selector selector;
  std::vector<ServerIndex> members;
};

class ServerTable {
 public:
  explicit ServerTable(const SchedulerOptions& options);

  void SetEntryCount(int count);
  // Replaces the pools by one for each different selector of the classes.
  // @return the pool of each class.
  std::vector<PoolIndex> SetPolicy(const std::vector<ClassPolicy>& classes);

  ServerIndex Update(const ServerState& state);
  void Remove(ServerIndex index);
  // @return the index, or kNoServer.
  ServerIndex Find(std::string_view server_id) const;

  // Keeps work away from a server until its next report.
  void MarkDown(ServerIndex index, TimePoint now);

  // Marks the own requests of a crashed server as suspects.
  void MarkSuspects(ServerIndex index);

  // Records that `request` is sent to or has ended at its server.
  void AddOwn(Request& request);
  void RemoveOwn(Request& request);

  Server& At(ServerIndex index) { return this->servers[index]; }
  const Server& At(ServerIndex index) const { return this->servers[index]; }
  ServerLoad& LoadAt(ServerIndex index) { return this->loads[index]; }
  const ServerLoad& LoadAt(ServerIndex index) const {
    return this->loads[index];
  }
  const Pool& PoolAt(PoolIndex index) const { return this->pools[index]; }

 private:
  void JoinPools(ServerIndex index);
  void LeavePools(ServerIndex index);
  // Frees the index of a removed server once its last request has ended.
  void ReleaseIfUnused(ServerIndex index);
  void ApplyReport(Server& server);
  void Refresh(ServerIndex index);

  std::string failure_domain;
  int entry_count;
  Random random;
  std::vector<Server> servers;
  std::vector<ServerLoad> loads;
  std::unordered_map<std::string, ServerIndex> by_id;
  std::vector<ServerIndex> unused;
  std::vector<Pool> pools;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_SERVER_TABLE_H_
