// Backend servers, the pools selected by the classes, and an estimate of each
// server's load.
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

// The data that server selection reads, kept apart from Server so that a scan
// over a pool touches only one or two cache lines per server.
struct ServerLoad {
  // By tier t: estimated number of running and queued requests of tiers 0 to t.
  TierCounts requests_ahead{};
  // By tier: requests that this entry daemon may still send before the next
  // report.
  TierCounts available_slots{};
  std::int16_t slots = 1;
  bool accepting = false;
  bool same_domain = false;
  float inverse_slots = 1;  // 1 / slots.
  // Time per token relative to peers; 1 unless the server is a straggler.
  float slowness = 1;
};

struct Server {
  ServerState state;
  bool present = false;
  std::vector<PoolIndex> pools;
  // Requests that this entry daemon sent to the server, in order of dispatch.
  std::vector<Request*> own_requests;
  // By priority: own running requests that are not in the latest report, and
  // own requests that are in it but have ended since.
  TierCounts sent_since_report{};
  TierCounts finished_since_report{};
  // By priority: running and queued requests in the latest report.
  TierCounts reported{};
  // By tier: this entry daemon's share of the free slots in the latest report.
  TierCounts quota{};
  // Own requests that were sent by the aging rule, and crash suspects.
  int own_aged = 0;
  int own_suspects = 0;
  // Set by a crash or a refused connection; a newer report clears it.
  bool down = false;
  TimePoint down_since;
};

// The servers that match a selector.
struct Pool {
  Selector selector;
  std::vector<ServerIndex> members;
};

class ServerTable {
 public:
  explicit ServerTable(const SchedulerOptions& options);

  void SetEntryCount(int count);
  // Replaces the pools by one per distinct selector of the classes.
  // @return the pool of each class.
  std::vector<PoolIndex> SetPolicy(const std::vector<ClassPolicy>& classes);

  ServerIndex Update(const ServerState& state);
  void Remove(ServerIndex index);
  // @return the index, or kNoServer.
  ServerIndex Find(std::string_view server_id) const;

  // Stops dispatching to a server until its next report.
  void MarkDown(ServerIndex index, TimePoint now);

  // Marks the own requests on a crashed server as crash suspects.
  void MarkSuspects(ServerIndex index);

  // Records that `request` was sent to its server, or that it ended there.
  void AddRequest(Request& request);
  void RemoveRequest(Request& request);

  Server& At(ServerIndex index) { return this->servers[index]; }
  const Server& At(ServerIndex index) const { return this->servers[index]; }
  ServerLoad& LoadAt(ServerIndex index) { return this->loads[index]; }
  const ServerLoad& LoadAt(ServerIndex index) const {
    return this->loads[index];
  }
  const Pool& PoolAt(PoolIndex index) const { return this->pools[index]; }

 private:
  void AddToPools(ServerIndex index);
  void RemoveFromPools(ServerIndex index);
  // Frees the index of a removed server once its last own request has ended.
  void ReleaseIfUnused(ServerIndex index);
  // Resets the counts since the last report and recomputes the quotas.
  void ApplyReport(Server& server);
  void RecomputeLoad(ServerIndex index);

  std::string failure_domain;
  int entry_count;
  Random random;
  std::vector<Server> servers;
  std::vector<ServerLoad> loads;
  std::unordered_map<std::string, ServerIndex> by_id;
  std::vector<ServerIndex> free_indices;
  std::vector<Pool> pools;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_SERVER_TABLE_H_
