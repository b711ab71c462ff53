// Separates short-prompt streams from long prompts. An engine prefills a prompt
// in chunks, interleaved with decode steps of its other requests; while it
// prefills a long prompt, each event of another stream is delayed by one chunk
// per token of the event. No threads, no I/O; the current time is passed in.
#ifndef SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_
#define SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_

#include <cstddef>
#include <map>
#include <string>

#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

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

// Number of engines that each prompt class needs, for the traffic of one
// gateway or of all gateways.
struct EngineDemand {
  double short_prompts = 0;
  double long_prompts = 0;
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
  void OnDone(const std::string& route, TimePoint now);

  PromptClass PromptClassOf(const std::string& route) const;

  // @return true if prefill of long prompts makes the gaps of other streams
  // exceed their target.
  bool NeedsPartition() const;

  // @param slots number of requests that one engine runs concurrently.
  // @return the engines needed for the requests of this gateway.
  EngineDemand LocalDemand(int slots, TimePoint now);

  // @param engines number of engines of the service.
  // @param demand engines needed by all gateways. The gateways exchange their
  // demand, so that they compute nearly the same result.
  // @return the number of engines for short prompts, counted from the start of
  // the fixed engine order; 0 if every engine serves both classes.
  std::size_t ShortPromptEngines(std::size_t engines,
                                 const EngineDemand& demand);

 private:
  struct RouteLoad {
    Duration gap_target{0};
    int priority = 0;
    double uncached_tokens = 0;  // Moving average per request.
    int outstanding = 0;
    // Time integral of `outstanding`; its rate is the average number of
    // requests at the engines.
    DecayingSum request_seconds;
    DecayingSum tokens;
    TimePoint updated_at;
  };

  void Advance(RouteLoad& load, TimePoint now);
  bool HasLongPrompts(const RouteLoad& load) const;
  // @return the share of the engines to assign to short prompts.
  double IdealShortPromptShare(double engines,
                               const EngineDemand& demand) const;

  const PrefillModel model{};
  int event_tokens = 1;
  std::map<std::string, RouteLoad> routes;
  // Share of the engines assigned to short prompts; 0 before the first result.
  double short_prompt_share = 0;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_ENGINE_PARTITION_H_
