// Engines and gateways for tests of the balancer under load: engines follow a
// step model with chunked prefill and a prefix cache, and gateways see each
// other's load with a delay. Deterministic; no threads, no I/O.
#ifndef SYCAMOREBEND_TESTS_GATEWAY_ENGINE_FLEET_H_
#define SYCAMOREBEND_TESTS_GATEWAY_ENGINE_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/balancer.h"

namespace sycamorebend::gateway {

struct FleetOptions {
  int engines = 45;
  int gateways = 35;
  double long_per_s = 84;
  double chats_per_s = 76;
  int sessions = 526;
  double slow_fraction = 0.25;  // Engines at 0.55 of the usual speed.
  double fast_speed = 1.2;
  double host_slow_time = 0.15;  // Fraction of the time.
  bool state_host_time = true;   // In their load reports.
  double burst_factor = 2.7;
  double burst_begin_s = 0.5;
  double burst_end_s = 0.5;
  double end_s = 12;
  std::uint64_t seed = 1;
};

// Requests of one route.
struct RouteResult {
  int arrived = 0;
  int in_time = 0;  // First event within the target, of all arrivals.
  int late = 0;
  int refused = 0;  // By the gateway, for good.
  int smooth = 0;   // In time, and without a longer pause than its target.
};

class EngineFleet {
 public:
  explicit EngineFleet(const FleetOptions& options);
  void Run();

  RouteResult long_prompts;
  RouteResult chats;
  std::vector<std::unique_ptr<Balancer>> gateways;
  std::vector<ServerRecord> records;
  double now_s = 0;
  TimePoint Now() const;

 private:
  struct Request {
    bool chat = false;
    int gateway = 0;
    GenerationRequest generation;
    RequestProfile profile;
    Choice choice;
    double arrived_s = 0;
    double sent_s = 0;
    int to_read = -1;  // Prompt tokens left; -1 before its prefill.
    int tokens = 0;    // Of the output, so far.
    double first_s = 0;
    double last_event_s = 0;
    double longest_gap_s = 0;
    bool done = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Engine {
    std::string key;
    double speed = 1;
    bool stepping = false;
    bool host_slow = false;
    std::deque<RequestPtr> waiting;
    std::list<RequestPtr> running;
    std::list<std::uint64_t> cache_order;
    std::unordered_map<std::uint64_t,
                       std::pair<int, std::list<std::uint64_t>::iterator>>
        cache;
    int cached_tokens = 0;
  };

  void At(double at_s, std::function<void()> run);
  void ScheduleArrival(bool chat);
  void ScheduleHostChange(std::size_t index);
  void Exchange(std::size_t gateway);
  void Dispatch(const RequestPtr& request);
  void Arrive(Engine& engine, const RequestPtr& request);
  void Step(Engine& engine);
  void AfterStep(Engine& engine,
                 const std::vector<std::pair<RequestPtr, int>>& read);
  void Emit(Engine& engine, const RequestPtr& request, bool first);
  void Finish(const RequestPtr& request, bool answered);
  void Cache(Engine& engine, const PromptBlock& block);
  double Exponential(std::mt19937_64& source, double mean);

  const FleetOptions options;
  std::mt19937_64 random;
  std::mt19937_64 arrivals;
  std::multimap<double, std::function<void()>> events;
  std::vector<Engine> engines;
  std::vector<std::uint64_t> sequences;
  std::uint64_t next_block = 1U << 20;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_TESTS_GATEWAY_ENGINE_FLEET_H_
