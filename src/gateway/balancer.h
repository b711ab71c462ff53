// Chooses the backend server for a request, from what this gateway sent and
// saw. No threads, no I/O; times go in.
#ifndef SYCAMOREBEND_SRC_GATEWAY_BALANCER_H_
#define SYCAMOREBEND_SRC_GATEWAY_BALANCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/lanes.h"
#include "gateway/load_exchange.h"
#include "gateway/wire_format.h"
#include "routing/random.h"
#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend::gateway {

// Identifies one incarnation of a server.
std::string ServerKey(const ServerRecord& record);

// What a request needs.
struct Demand {
  std::string service;
  std::string route;
  // Longest pause between the events of its stream that is in time.
  Duration gap_target{0};
  int priority = 0;  // Of its route; 0 is the most urgent.
  const GenerationRequest* generation = nullptr;
  // Servers that failed this request.
  std::vector<std::string> excluded;
  // A server whose first byte is expected later is of no use to the caller;
  // others are looked at before it is chosen.
  Duration latest_first_byte = Duration::max();
};

struct Choice {
  std::string server_key;
  std::string server_id;
  std::string address;
  std::string reason;
  // Expected time until the first byte, and the part of it that the server
  // needs to read the prompt.
  Duration expected{0};
  Duration reading{0};
  // Prompt tokens that the server has to read.
  int uncached_tokens = 0;
  // What all gateways together have at the server, as far as known.
  int running = 0;
  int pending_tokens = 0;
  double slowness = 1;
};

// What became of one sending.
enum class SendOutcome {
  kAnswered = 0,
  kRefused = 1,      // The server said that it did not run the request.
  kServerError = 2,  // An answer with a 5xx status.
  kConnectFailed = 3,
  kConnectionLost = 4,
  kStalled = 5,    // No byte for too long.
  kCancelled = 6,  // The caller left, or its time was up.
};

// @return the name of `outcome` in logs.
std::string_view SendOutcomeName(SendOutcome outcome);

// The servers of one service as a gateway sees them.
struct PoolState {
  int usable = 0;
  int avoided = 0;  // Left for a while after failures.
  int silent = 0;   // They stopped reporting.
  int leaving = 0;
  int outstanding = 0;  // Own requests at all of them.
};

struct BalancerOptions {
  std::string failure_domain;
  std::uint64_t seed = 1;
};

class Balancer {
 public:
  explicit Balancer(BalancerOptions options);

  // Replaces the servers; what was learnt of those that stay is kept.
  // @return keys of servers that are gone.
  std::vector<std::string> SetServers(const std::vector<ServerRecord>& records);
  void SetServices(const std::map<std::string, ServiceLimits>& services);

  // @return nothing if no server of the service may be used.
  std::optional<Choice> Choose(const Demand& demand, TimePoint now);

  // Records a sending; must be followed by OnDone with the same choice.
  void OnSent(const Choice& choice, const Demand& demand, TimePoint now);
  void OnFirstByte(const Choice& choice, Duration elapsed, TimePoint now);
  void OnDone(const Choice& choice,
              const Demand& demand,
              SendOutcome outcome,
              bool first_byte_seen,
              Duration elapsed,
              TimePoint now);
  void OnLoad(const std::string& server_key,
              const LoadReport& report,
              TimePoint now);

  // @return names of the services that have or had servers.
  std::vector<std::string> Services() const;
  PoolState StateOf(const std::string& service, TimePoint now) const;

  // @param tell called when the other gateways should hear at once of what was
  // sent: until then the engine looks idle to them.
  void OnHeavyLoad(std::function<void()> tell) { this->tell = std::move(tell); }

  // Fills in what this gateway has at the servers or, if the message is for a
  // failure domain, what all gateways of its own domain have.
  void ReportLoad(LoadMessage& message, TimePoint now);
  void OnPeerLoad(const LoadMessage& message, TimePoint now) {
    this->peers.Take(message, now);
  }

 private:
  struct Server {
    ServerRecord record;
    std::string key;
    std::uint64_t key_hash = 0;
    std::uint64_t id_hash = 0;
    std::uint32_t code = 0;
    // Own requests at the server, and prompt tokens of those that have no
    // first byte yet.
    int outstanding = 0;
    double pending_tokens = 0;
    std::optional<LoadReport> load;
    TimePoint load_at;
    int outstanding_at_load = 0;
    // Time to the first byte relative to what was expected; 1 is usual.
    double slowness = 1;
    TimePoint slowness_at;
    int failures_in_a_row = 0;
    double error_rate = 0;
    TimePoint avoid_until;
    // When each part of a prompt was last sent here.
    std::unordered_map<std::uint64_t, TimePoint> parts;
  };

  // The servers of one service.
  struct Pool {
    // Usual time that a request occupies a server, in ms.
    double service_ms = 50;
    // In an order that is the same at every gateway.
    std::vector<Server*> servers;
    Lanes lanes;
  };
  // What Choose knows of a request's place among the servers.
  struct Placement {
    const GenerationRequest* generation = nullptr;
    bool is_long = false;
    // Servers [lane_begin, lane_end) of the pool are meant for the request.
    std::size_t lane_begin = 0;
    std::size_t lane_end = 0;
    // The servers on which every gateway places the request's prompt if it can,
    // the best first.
    std::vector<std::size_t> homes;
  };

  Server* Find(const std::string& key);
  // @return requests that one server of the pool runs.
  int SlotsOf(const Pool& pool) const;
  Placement Place(Pool& pool, const Demand& demand, TimePoint now);
  // Lower is better.
  double Score(const Server& server,
               double expected_ms,
               int uncached,
               bool in_lane,
               bool is_long);
  // @param hit_rate probability that the server has a part of which this
  // gateway does not know.
  int UncachedTokens(const Server& server,
                     const GenerationRequest& generation,
                     double hit_rate,
                     TimePoint now) const;
  // One server as the request sees it.
  struct Candidate {
    std::size_t index = 0;
    bool avoided = false;
    double score = 0;  // Lower is better.
    Choice choice;
  };
  // @return the servers to compare: all of a small pool, otherwise the homes
  // and a few at random. Gateways that know the same must not all choose the
  // one that was idle when they last heard of it.
  std::vector<std::size_t> Sample(const Pool& pool, const Placement& placement);
  // @return the best of `indices`, or nothing if none may be used.
  std::optional<Candidate> Best(const Pool& pool,
                                const Placement& placement,
                                const std::vector<std::size_t>& indices,
                                const Demand& demand,
                                TimePoint now);
  Candidate Evaluate(const Pool& pool,
                     const Placement& placement,
                     std::size_t index,
                     TimePoint now);
  // Finds the homes of the request's prompt among the servers of its lane.
  void FindHomes(const Pool& pool, Placement& placement) const;
  double Slowness(const Server& server, TimePoint now) const;
  // Expected time to the first byte, in ms, from the load of all gateways.
  double ExpectedMs(const Pool& pool,
                    const Server& server,
                    const LoadShare& others,
                    int uncached,
                    TimePoint now) const;
  void NoteParts(Server& server,
                 const GenerationRequest& generation,
                 TimePoint now);
  void Avoid(Server& server, Duration duration, TimePoint now);

  const BalancerOptions options;
  std::function<void()> tell = [] {};
  internal::Random random;
  std::map<std::string, Pool> pools;
  PeerLoads peers;
  std::unordered_map<std::string, std::unique_ptr<Server>> servers;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_BALANCER_H_
