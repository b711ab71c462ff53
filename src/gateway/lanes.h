// Keeps streams whose pauses must be short apart from long prompts. An engine
// reads a prompt in chunks between the tokens of its other requests; while it
// reads a long one, each of their events takes as many chunks as it has tokens.
// No threads, no I/O; times go in.
#ifndef SYCAMOREBEND_SRC_GATEWAY_LANES_H_
#define SYCAMOREBEND_SRC_GATEWAY_LANES_H_

#include <cstddef>
#include <map>
#include <string>

#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

// A sum that forgets: a rate over the last seconds.
class DecayingSum {
 public:
  void Add(double amount, TimePoint now);
  // @return the amount per second.
  double PerSecond(TimePoint now) const;

 private:
  double value = 0;
  TimePoint at;
};

// What an engine reads in a millisecond and in one chunk.
struct PrefillModel {
  double tokens_per_ms = 40;
  int chunk_tokens = 2048;
};

// The routes of one service and the part of its engines that each kind gets.
class Lanes {
 public:
  // Two kinds of routes: those whose prompts fill chunks, and the others.
  enum class Kind { kShortPrompt, kLongPrompt };

  // @param event_tokens tokens in one event of a stream.
  void SetEventTokens(int tokens) { this->event_tokens = tokens; }

  void OnSent(const std::string& route,
              Duration gap_target,
              int uncached_tokens,
              TimePoint now);
  void OnDone(const std::string& route, TimePoint now);

  Kind KindOf(const std::string& route) const;

  // @return true if long prompts make pauses of other streams late.
  bool Apart() const;

  // @param engines engines of the service; @param slots requests that one runs.
  // @param gateways gateways that share them and see the same traffic.
  // @return the number of engines for short prompts, of those in a fixed order
  // the first; 0 if all engines serve all.
  std::size_t ShortPromptEngines(std::size_t engines,
                                 int slots,
                                 int gateways,
                                 TimePoint now);

 private:
  struct RouteLoad {
    Duration gap_target{0};
    double uncached_tokens = 0;  // Of a usual request.
    int outstanding = 0;
    // Time integral of `outstanding`: requests at the engines, on average.
    DecayingSum busy;
    DecayingSum tokens;
    TimePoint at;
  };

  void Advance(RouteLoad& load, TimePoint now);
  bool Long(const RouteLoad& load) const;

  const PrefillModel model;
  int event_tokens = 1;
  std::map<std::string, RouteLoad> routes;
  double share = 0;  // Of the engines, for short prompts; 0 before the first.
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_LANES_H_
