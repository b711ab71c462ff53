// Separates short-prompt streams from long prompts. An engine prefills a prompt
// in chunks, interleaved with decode steps of its other requests; while it
// prefills a long prompt, each event of another stream is delayed by one chunk
// per token of the event. No threads, no I/O; the current time is passed in.
#ifndef SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_
#define SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_

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

// Properties of a request that determine the load on its prompt class.
struct RequestLoad {
  // Maximum time between two events of its stream that meets the target.
  Duration gap_target{0};
  int priority = 0;  // Of its route; 0 is the highest.
  int uncached_tokens = 0;
};

// Partitions the engines of one service between short-prompt and long-prompt
// routes.
class EnginePartition {
 public:
  // kLongPrompt: routes whose typical prompt fills most of a prefill chunk.
  enum class PromptClass { kShortPrompt, kLongPrompt };

  // @param event_tokens number of tokens in one event of a stream.
  void SetEventTokens(int tokens) { this->event_tokens = tokens; }

  void OnSent(const std::string& route,
              const RequestLoad& request,
              TimePoint now);
  // Counts a request that no engine could begin in time, so that its prompt
  // class is assigned the engines that it lacks.
  void OnRefused(const std::string& route,
                 const RequestLoad& request,
                 TimePoint now);
  // @param elapsed time since the request was sent.
  void OnDone(const std::string& route, Duration elapsed, TimePoint now);

  PromptClass PromptClassOf(const std::string& route) const;

  // @return the load of this gateway by route.
  std::vector<RouteDemand> LocalDemand(TimePoint now);

  // Classifies the routes and assigns the engines anew.
  // @param engines number of engines of the service.
  // @param slots number of requests that one engine runs concurrently.
  // @param demand load of all gateways. The gateways exchange their load, so
  // that they compute nearly the same result.
  void Update(std::size_t engines,
              int slots,
              const std::vector<RouteDemand>& demand);

  // @return the number of engines for short prompts, counted from the start of
  // the fixed engine order; 0 if every engine serves both classes.
  std::size_t ShortPromptEngines() const { return this->short_engines; }

 private:
  struct RouteLoad {
    Duration gap_target{0};
    int priority = 0;
    double seconds = 0;  // Moving average per request.
    int outstanding = 0;
    // Requests in the decaying sum `requests`, including those refused.
    DecayingSum requests;
    // Uncached prompt tokens of an average request of all gateways.
    double prompt_tokens = 0;
    RouteDemand demand;  // Of all gateways.
    // Time integral of `outstanding`; its rate is the average number of
    // requests at the engines.
    DecayingSum request_seconds;
    DecayingSum tokens;
    TimePoint updated_at;
  };

  // @return the load of the route with the properties of `request` recorded.
  RouteLoad& Record(const std::string& route,
                    const RequestLoad& request,
                    TimePoint now);
  void Advance(RouteLoad& load, TimePoint now);
  bool HasLongPrompts(const RouteLoad& load) const;
  // @return true if prefill of long prompts makes the gaps of other streams
  // exceed their target.
  bool NeedsPartition() const;
  // Number of engines that each prompt class needs.
  struct ClassNeeds {
    double short_prompts = 0;
    double long_prompts = 0;
  };
  ClassNeeds Needs(int slots) const;
  // @return the share of the engines to assign to short prompts.
  double IdealShortPromptShare(double engines, const ClassNeeds& needs) const;

  const PrefillModel model{};
  int event_tokens = 1;
  std::map<std::string, RouteLoad> routes;
  // Share of the engines assigned to short prompts; 0 before the first result.
  double short_prompt_share = 0;
  std::size_t short_engines = 0;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_
