// Selects the backend server for a request, based on the requests and responses
// of this gateway and on the load reported by servers and by other gateways. No
// threads, no I/O; the current time is passed in.
#ifndef SYCAMOREBEND_SRC_GATEWAY_BALANCER_H_
#define SYCAMOREBEND_SRC_GATEWAY_BALANCER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/engine_partition.h"
#include "gateway/load_exchange.h"
#include "gateway/server_speed.h"
#include "gateway/wire_format.h"
#include "routing/random.h"
#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend::gateway {

// @return a key that identifies one incarnation of a server.
std::string ServerKey(const ServerRecord& record);

// Properties of a request that determine the choice of a server.
struct RequestProfile {
  std::string service;
  std::string route;
  // Maximum time between two events of its stream that meets the target.
  Duration gap_target{0};
  Duration target{0};  // Maximum time to its first byte that meets the target.
  int priority = 0;    // Of its route; 0 is the highest.
  // Level at which servers admit the request, see RouteTable::PriorityLevel.
  int priority_level = 0;
  const GenerationRequest* generation = nullptr;
  std::size_t request_bytes = 0;  // Of its body.
  // Keys of servers that have already failed this request.
  std::vector<std::string> excluded;
  // Latest useful time to the first byte. Servers that are expected to exceed
  // it are selected only if no other server was found.
  Duration max_first_byte_time = Duration::max();
};

// The selected server and the estimates behind the selection.
struct Choice {
  std::string server_key;
  std::string server_id;
  std::string address;
  std::string reason;
  // Expected time to the first byte, and the part of it that is prefill of this
  // request's prompt.
  Duration expected_first_byte{0};
  Duration prefill_time{0};
  // Prompt tokens that are not in the server's cache.
  int uncached_tokens = 0;
  // Number of servers known to have the shared part of the prompt.
  int holders = 0;
  int priority_level = 0;  // Of the request.
  // Running requests and pending prompt tokens of all gateways at the server,
  // as far as known.
  int running = 0;
  PendingTokens::Count pending_tokens = 0;
  double slowness = 1;
  // The part of `expected_first_byte` that depends on the speed of the server,
  // at pace 1.
  double nominal_ms = 0;
};

// Result of one attempt at a server.
enum class AttemptOutcome {
  kAnswered = 0,
  kRefused = 1,      // The server stated that it did not run the request.
  kServerError = 2,  // A response with a 5xx status.
  kConnectFailed = 3,
  kConnectionLost = 4,
  kStalled = 5,    // No data within the attempt timeout.
  kCancelled = 6,  // The caller disconnected or the deadline passed.
  kTruncated = 7,  // The response ended before its content did.
};

// @return the name of `outcome` in logs.
std::string_view AttemptOutcomeName(AttemptOutcome outcome);

// Whether this gateway sends requests to a server.
enum class ServerUse {
  kUsable = 0,
  kAvoided = 1,  // Only if no other is usable: after failures or refusals.
  kSilent =
      2,  // Only if no other is usable: no longer reports to the replicas.
  kLeaving = 3,  // Never.
  kQuiet = 4,    // Not before the time that it has stated has passed.
};
inline constexpr std::size_t kServerUses = 5;

// @return the name of `use` in logs and metrics.
std::string_view ServerUseName(ServerUse use);

// Servers of one service, as seen by this gateway.
struct PoolState {
  std::array<int, kServerUses> servers{};  // By ServerUse.
  int outstanding = 0;  // Requests of this gateway at all of them.
  // Time until the first of the quiet servers may be used.
  std::optional<Duration> quiet_time;

  int Count(ServerUse use) const {
    return this->servers[static_cast<std::size_t>(use)];
  }
  // @return the counts, for messages.
  std::string Describe() const;
};

struct BalancerOptions {
  std::string failure_domain;
  std::uint64_t seed = 1;
};

// A prefix block that was not used for this long is assumed to be evicted.
inline constexpr Duration kMaxBlockLifetime = seconds(30);

class Balancer {
 public:
  explicit Balancer(BalancerOptions options);

  // Replaces the set of servers; statistics of servers that remain are kept.
  // @return keys of the servers that were removed.
  std::vector<std::string> SetServers(const std::vector<ServerRecord>& records);
  void SetServices(const std::map<std::string, ServiceLimits>& services);

  // @return the selected server, or nothing if no server of the service may be
  // used.
  std::optional<Choice> Choose(const RequestProfile& profile, TimePoint now);

  // Records the start of an attempt; must be followed by OnDone with the same
  // choice.
  void OnSent(const Choice& choice,
              const RequestProfile& profile,
              TimePoint now);
  // Records that a request was refused, since it would have missed its target
  // at the selected server.
  void OnRefused(const Choice& choice,
                 const RequestProfile& profile,
                 TimePoint now);
  void OnFirstByte(const Choice& choice, Duration elapsed, TimePoint now);
  void OnDone(const Choice& choice,
              const RequestProfile& profile,
              AttemptOutcome outcome,
              bool first_byte_seen,
              Duration elapsed,
              TimePoint now);
  void OnLoadReport(const std::string& server_key,
                    const LoadReport& report,
                    TimePoint now);

  // Records that the server has stated that it is leaving. Holds for its
  // incarnation, whatever its reports to the replicas say.
  // @return false if that is known.
  bool OnServerLeaving(const std::string& server_key, TimePoint now);
  // Records that the server has stated that it wants no requests from this
  // gateway for a time. A longer time that it stated before holds on.
  void OnServerQuiet(const std::string& server_key,
                     Duration quiet_time,
                     TimePoint now);

  // @return false if the end of the server was announced: it is leaving, or was
  // removed.
  bool IsExpectedToRun(const std::string& server_key, TimePoint now) const;

  // @return the names of all services that have had servers or are configured.
  std::vector<std::string> Services() const;
  PoolState StateOf(const std::string& service, TimePoint now) const;

  // @param on_heavy_load called when a large prompt was sent. The other
  // gateways should be told immediately, since the engine looks idle to them
  // until then.
  void SetHeavyLoadCallback(std::function<void()> on_heavy_load) {
    this->on_heavy_load = std::move(on_heavy_load);
  }

  // @param interval time between two messages to the same gateway.
  void SetExchangeInterval(Duration interval);
  // Sets the load and demand of this gateway or, if the scope of the message is
  // a failure domain, of all gateways of its domain.
  void FillLoadMessage(LoadMessage& message, TimePoint now);
  void OnPeerLoad(const LoadMessage& message, TimePoint now);

 private:
  struct SentBlock {
    TimePoint at;
    TimePoint announced_at;  // To the other gateways.
  };
  // What a server has stated about itself.
  struct Notice {
    bool leaving = false;
    TimePoint quiet_until;
    TimePoint at;
  };
  struct Server {
    ServerRecord record;
    std::string key;
    std::uint64_t key_hash = 0;
    std::uint64_t id_hash = 0;
    std::uint32_t key_hash32 = 0;
    // Requests of this gateway at the server, and prompt tokens of those that
    // have not received their first byte.
    int outstanding = 0;
    PendingTokens pending;
    std::optional<LoadReport> load_report;
    TimePoint load_report_at;
    int outstanding_at_report = 0;
    // Moving average of the actual over the expected time to the first byte; at
    // least 1.
    double slowness = 1;
    TimePoint slowness_at;
    int consecutive_connect_failures = 0;
    double error_rate = 0;
    TimePoint avoid_until;
    Notice notice;
    // Prefix blocks that this or another gateway sent to the server.
    std::unordered_map<std::uint64_t, SentBlock> sent_blocks;
  };

  // The servers of one service.
  struct Pool {
    // Moving average of the time that a request occupies a slot.
    double service_time_ms = 50;
    double answered = 0;  // Requests in the average.
    // Moving average of the uncached tokens of a prompt.
    double prompt_tokens = 0;
    // The servers state how long work takes on their hosts, which other work
    // shares, or another gateway has measured their speed.
    bool uneven_speed = false;
    double usual_pace = 1;
    TimePoint next_usual_pace;
    // Sorted by key hash, which gives the same order at every gateway.
    std::vector<Server*> servers;
    EnginePartition partition;
    TimePoint next_partition_update;
    // Capacity of a server's prefix cache in tokens; 0 if unknown.
    std::int64_t cache_tokens = 0;
    // Time for which a server is assumed to keep a block after its last use.
    Duration block_lifetime = kMaxBlockLifetime;
    // Servers that were last sent each prefix block, the latest at the end.
    std::unordered_map<std::uint64_t, std::vector<const Server*>> holders;
  };
  // Servers of the pool that suit a request.
  struct Placement {
    const GenerationRequest* generation = nullptr;
    int priority_level = 0;
    double request_kb = 0;
    Duration max_first_byte_time = Duration::max();
    RouteEngines engines;  // By index in the pool.
    // Servers that every gateway prefers for the prompt by rendezvous hashing,
    // the most preferred first.
    std::vector<std::size_t> preferred_servers;
    // Tokens of the block that belongs to the request alone.
    int unique_tokens = 0;
    // Servers that were last sent the shared part of the prompt.
    std::vector<std::size_t> holders;
  };

  Server* FindServer(const std::string& key);
  // @return the notice of the server, which need not be known at present.
  Notice& NoticeOf(const std::string& server_key, TimePoint now);
  static ServerUse UseOf(const Server& server, TimePoint now);
  static bool MayUse(const Server& server, TimePoint now);
  // @return the number of requests that one server of the pool runs
  // concurrently.
  int SlotsPerServer(const Pool& pool) const;
  Placement PlaceRequest(Pool& pool,
                         const RequestProfile& profile,
                         TimePoint now);
  // @param read_ms time that the server reads the uncached part of the prompt.
  // @return the score of a server; lower is better.
  double Score(const Server& server,
               double expected_ms,
               double read_ms,
               double transfer_penalty_ms,
               double partition_penalty_ms);
  // @param hit_rate probability that the server has cached a block that no
  // gateway is known to have sent to it.
  // @return the expected number of prompt tokens that are not in the cache.
  static int UncachedTokens(const Pool& pool,
                            const Server& server,
                            const GenerationRequest& generation,
                            double hit_rate,
                            TimePoint now);
  // A placement to announce to other gateways.
  struct RecentPlacement {
    PromptPlacement placement;
    bool own = false;
    TimePoint at;
  };
  // A server evaluated for a request.
  struct Candidate {
    std::size_t index = 0;
    bool avoided = false;
    // Expected to send its first byte in time, without delaying the requests of
    // other routes.
    bool in_time = false;
    double score = 0;  // Lower is better.
    Choice choice;

    bool BetterThan(const Candidate& other) const;
  };
  // @param outside number of random servers of the whole pool, in case all
  // engines of the partition are busy.
  // @return indices of the servers to evaluate: all of a small pool, otherwise
  // the preferred servers and a few random ones. The random choice keeps
  // gateways with the same information from all selecting the server that was
  // idle in the last load exchange.
  std::vector<std::size_t> Sample(const Pool& pool,
                                  const Placement& placement,
                                  int outside);
  // @return the best server of `indices`, or nothing if none may be used.
  std::optional<Candidate> BestCandidate(
      const Pool& pool,
      const Placement& placement,
      const std::vector<std::size_t>& indices,
      const RequestProfile& profile,
      TimePoint now);
  Candidate Evaluate(const Pool& pool,
                     const Placement& placement,
                     std::size_t index,
                     TimePoint now);
  bool IsLocal(const Server& server) const;
  // Sets `preferred_servers` from the servers of the request's partition.
  static void FindPreferredServers(const Pool& pool,
                                   Placement& placement,
                                   TimePoint now);
  void FindHolders(const Pool& pool, Placement& placement) const;
  // Updates how long blocks stay cached, from the tokens that all gateways send
  // to the servers of the pool.
  static void UpdateBlockLifetime(Pool& pool, double tokens_per_s);
  // Updates what depends on the load of all gateways, if it is due.
  void UpdatePartition(Pool& pool, const std::string& service, TimePoint now);
  double Slowness(const Server& server, TimePoint now) const;
  // @return the time that work takes at the server, relative to the constants
  // of the estimates.
  double PaceOf(const Pool& pool, const Server& server, TimePoint now);
  // @return the part of the expected time to the first byte in ms that depends
  // on the speed of the server, at pace 1, from the load of all gateways.
  // @param tokens prompt tokens to prefill until then.
  double NominalMs(const Pool& pool,
                   const Server& server,
                   const GatewayLoad& peer_load,
                   double tokens,
                   TimePoint now) const;
  // Records how long a server took for the work before the first byte.
  void RecordSpeed(const Server& server,
                   const Choice& choice,
                   Duration elapsed,
                   TimePoint now);
  static void SetUneven(Pool& pool);
  void UpdateUsualPace(Pool& pool, TimePoint now);
  void RecordPromptBlocks(Pool& pool,
                          Server& server,
                          const GenerationRequest& generation,
                          TimePoint now);
  static void DropOldBlocks(Pool& pool, Server& server, TimePoint now);
  // Removes all references to a server that is about to be removed.
  void Forget(const Server& server);
  static void RecordHolder(Pool& pool,
                           std::uint64_t block,
                           const Server& server);
  // Adds recent placements of this gateway or, if the message is a sum, of all
  // gateways of its failure domain.
  void FillPlacements(LoadMessage& message, TimePoint now);
  void Avoid(Server& server, Duration duration, TimePoint now);

  const BalancerOptions options;
  std::function<void()> on_heavy_load = [] {};
  internal::Random random;
  std::map<std::string, Pool> pools;
  PeerLoads peer_loads;
  ServerSpeed speed;
  std::unordered_map<std::string, std::unique_ptr<Server>> servers;
  std::unordered_map<std::uint32_t, Server*> servers_by_hash;
  // Notices of servers whose records were removed: a record may return.
  std::unordered_map<std::string, Notice> removed_notices;
  // Placements made or heard of in the last moments, the oldest first.
  std::deque<RecentPlacement> recent_placements;
  Duration placement_repeat_time = milliseconds(120);
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_BALANCER_H_
