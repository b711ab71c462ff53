// Separates requests with short targets from long prompts. An engine prefills a
// prompt in chunks, interleaved with decode steps of its other requests; while
// it prefills a long prompt, each event of another stream is delayed by one
// chunk per token of the event, and other prompts wait. No threads, no I/O; the
// current time is passed in.
#ifndef SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_
#define SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

std::uint32_t StableHash32(const std::string& text);

// Exponentially decaying sum; yields the rate over the last few seconds.
class DecayingSum {
 public:
  void Add(double amount, TimePoint now);
  // @return the amount per second.
  double PerSecond(TimePoint now) const;

 private:
  double value = 0;
  TimePoint updated_at;
};

// Prefill throughput and chunk size of an engine.
struct PrefillModel {
  double tokens_per_ms = 40;
  int chunk_tokens = 2048;
};

// Load of one route on the engines of a service, by one gateway or by all.
struct RouteDemand {
  std::uint32_t route_hash = 0;  // StableHash32 of the route name.
  double requests_per_s = 0;
  double tokens_per_s = 0;  // Uncached prompt tokens.
  double outstanding = 0;   // Average number of requests at the engines.

  void Add(const RouteDemand& other, int sign = 1);
};

// Properties of a request that determine its load and what it tolerates.
struct RequestLoad {
  // Maximum time between two events of its stream that meets the target.
  Duration gap_target{0};
  int priority = 0;  // Of its route; 0 is the highest.
  int uncached_tokens = 0;
  // Maximum time to its first event that meets the target.
  Duration target{0};
  // Output that the request asks for; 0 if unknown.
  int output_tokens = 0;
};

// Engines [begin, end) of the fixed engine order.
struct EngineRange {
  std::size_t begin = 0;
  std::size_t end = 0;

  std::size_t Size() const { return this->end - this->begin; }
  bool Contains(std::size_t index) const {
    return index >= this->begin && index < this->end;
  }
};

// Engines for the requests of one route.
struct RouteEngines {
  EngineRange own;
  // Engines of other routes whose requests would miss their targets if they had
  // to share engines with this route.
  std::vector<EngineRange> delayed;

  bool Delays(std::size_t index) const;
};

// Assigns the engines of one service to groups of routes that can share engines
// without missing their targets.
class EnginePartition {
 public:
  // @param event_tokens number of tokens in one event of a stream.
  void SetEventTokens(int tokens) { this->event_tokens = tokens; }
  // Plans for the requests that the arrivals of a route will keep at the
  // engines, not only for those there now: streams accumulate for seconds after
  // arrivals have risen, and their engines are full by the time that shows.
  void PlanForArrivals() { this->plans_for_arrivals = true; }

  void OnSent(const std::string& route,
              const RequestLoad& request,
              TimePoint now);
  // Counts a request that no engine could begin in time, so that its group is
  // assigned the engines that it lacks.
  void OnRefused(const std::string& route,
                 const RequestLoad& request,
                 TimePoint now);
  // @param elapsed time since the request was sent.
  void OnDone(const std::string& route, Duration elapsed, TimePoint now);

  // @return the load of this gateway by route.
  std::vector<RouteDemand> LocalDemand(TimePoint now);

  // Groups the routes and assigns the engines anew.
  // @param engines number of engines of the service.
  // @param slots number of requests that one engine runs concurrently.
  // @param demand load of all gateways. The gateways exchange their load, so
  // that they compute nearly the same result.
  void Update(std::size_t engines,
              int slots,
              const std::vector<RouteDemand>& demand);

  // @return the engines for the route by the last update; all of them if the
  // route has no load yet.
  RouteEngines EnginesOf(const std::string& route) const;

  // @return the number of groups; 1 if every engine serves all routes.
  std::size_t Groups() const {
    return std::max<std::size_t>(1, this->ends.size());
  }

 private:
  struct RouteLoad {
    RequestLoad limits;
    double seconds = 0;  // Moving average per request.
    double done = 0;     // Requests in the average.
    // Moving average of the time that requests take at a healthy engine, from
    // the output that they ask for.
    double asked_seconds = 0;
    TimePoint begun_at;  // First request.
    int outstanding = 0;
    // Time integral of `outstanding`; its rate is the average number of
    // requests at the engines.
    DecayingSum request_seconds;
    DecayingSum requests;  // Including those refused.
    DecayingSum tokens;
    TimePoint updated_at;
    // Uncached prompt tokens of an average request of all gateways.
    double prompt_tokens = 0;
    RouteDemand demand;  // Of all gateways.
    std::size_t group = 0;
  };
  // Routes that share engines.
  struct Group {
    std::vector<RouteLoad*> routes;
    double need = 0;   // Number of engines.
    int priority = 0;  // The highest of its routes.
  };

  // @return the load of the route with the properties of `request` recorded.
  RouteLoad& Record(const std::string& route,
                    const RequestLoad& request,
                    TimePoint now);
  void Advance(RouteLoad& load, TimePoint now);
  // @return the load of the route by this gateway.
  RouteDemand DemandOf(const RouteLoad& load, TimePoint now) const;
  bool HasLongPrompts(const RouteLoad& load) const;
  // @return true if prefill of the prompts of `heavy` makes requests of `load`
  // miss their targets.
  bool Delays(const RouteLoad& heavy, const RouteLoad& load) const;
  bool CanShare(const Group& group, const RouteLoad& load) const;
  // @return the groups of all routes that have load, those with the shortest
  // targets first.
  std::vector<Group> MakeGroups(int slots);
  double Need(const Group& group, int slots) const;
  // @return the engines for each group. If there are too few, groups of higher
  // priority get what they need first.
  static std::vector<double> ShareEngines(const std::vector<Group>& groups,
                                          double engines);
  // Sets `ends` from the needs of the groups.
  void AssignEngines(std::size_t engines, const std::vector<Group>& groups);

  const PrefillModel model{};
  int event_tokens = 1;
  bool plans_for_arrivals = false;
  // The groups need more engines than there are.
  bool overloaded = false;
  std::size_t engine_count = 0;
  std::map<std::string, RouteLoad> routes;
  // End of the engine range of each group; empty if there is only one group.
  std::vector<std::size_t> ends;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_
