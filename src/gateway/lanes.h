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

// Engines that each kind of route needs, as seen by one gateway or by all.
struct LaneNeed {
  double short_prompts = 0;
  double long_prompts = 0;
};

// What a request brings to its lane.
struct LaneRequest {
  // Longest pause between the events of its stream that is in time.
  Duration gap_target{0};
  int priority = 0;  // Of its route; 0 is the most urgent.
  int uncached_tokens = 0;
};

// The routes of one service and the part of its engines that each kind gets.
class Lanes {
 public:
  // Two kinds of routes: those whose prompts fill chunks, and the others.
  enum class Kind { kShortPrompt, kLongPrompt };

  // @param event_tokens tokens in one event of a stream.
  void SetEventTokens(int tokens) { this->event_tokens = tokens; }

  void OnSent(const std::string& route,
              const LaneRequest& request,
              TimePoint now);
  void OnDone(const std::string& route, TimePoint now);

  Kind KindOf(const std::string& route) const;

  // @return true if long prompts make pauses of other streams late.
  bool Apart() const;

  // @param slots requests that one engine runs.
  // @return what the requests of this gateway need.
  LaneNeed OwnNeed(int slots, TimePoint now);

  // @param engines engines of the service.
  // @param need what all gateways need. They hear of each other, so that their
  // answers hardly differ.
  // @return the number of engines for short prompts, of those in a fixed order
  // the first; 0 if all engines serve all.
  std::size_t ShortPromptEngines(std::size_t engines, const LaneNeed& need);

 private:
  struct RouteLoad {
    Duration gap_target{0};
    int priority = 0;
    double uncached_tokens = 0;  // Of a usual request.
    int outstanding = 0;
    // Time integral of `outstanding`: requests at the engines, on average.
    DecayingSum busy;
    DecayingSum tokens;
    TimePoint at;
  };

  void Advance(RouteLoad& load, TimePoint now);
  bool Long(const RouteLoad& load) const;
  // @return the part of the engines that short prompts shall have.
  double IdealShare(double engines, const LaneNeed& need) const;

  const PrefillModel model{};
  int event_tokens = 1;
  std::map<std::string, RouteLoad> routes;
  double share = 0;  // Of the engines, for short prompts; 0 before the first.
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_LANES_H_
