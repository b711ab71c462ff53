// Queueing model of an engine or plain service with continuous batching,
// preemption by priority, chunked prefill and a bounded prefix cache.
#ifndef BENCHMARK_ROUTING_ENGINE_MODEL_H_
#define BENCHMARK_ROUTING_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "deployment.h"

namespace sycamorebend::benchmark {

// An attempt of a request at a server.
struct Attempt {
  std::size_t request = 0;
  int number = 1;
  int entry = 0;
  std::size_t server = 0;
  int priority = 0;
  // Tier of the class. The aging rule sends lower tiers with priority 0.
  int tier = 0;
  int input_tokens = 0;
  int output_tokens = 0;
  const std::vector<std::uint64_t>* hashes = nullptr;

  int prefill_left = 0;
  int generated = 0;
  int recomputed = 0;  // Tokens discarded by preemption and recomputed.
  std::uint64_t admitted_order = 0;
  bool started = false;
  bool at_server = false;
  // True while the entry daemon expects events of the attempt.
  bool open = true;
  bool silent = false;
  // The connection stalls after this many tokens; -1: never.
  int silent_after_tokens = -1;
  int delivered = 0;
  std::int64_t sent_ns = 0;
};

// Events of a step, delivered by the simulation.
struct StepResult {
  Duration duration{0};
  std::vector<Attempt*> started;
  std::vector<Attempt*> progressed;  // Attempts that generated a token.
  std::vector<Attempt*> finished;
  // Urgent requests preempted for a lower tier; must stay 0.
  int priority_inversions = 0;
};

class EngineModel {
 public:
  // A step takes `step_base + decoding * kTimePerSequence + prefill *
  // kTimePerPrefillToken`. With a `step_base` of 6 ms, a step of a full batch
  // of 16 takes 20 to 36 ms.
  static constexpr microseconds kTimePerSequence{900};
  static constexpr microseconds kTimePerPrefillToken{30};
  static constexpr int kPrefillChunkTokens = 512;
  static constexpr std::size_t kCacheBlocks = 600;

  explicit EngineModel(const ServerSpec& spec) : spec(spec) {}

  void Add(Attempt& attempt);
  void Remove(Attempt& attempt);
  // Discards all requests and the cache.
  // @return the attempts that were lost.
  std::vector<Attempt*> Crash();
  bool Idle() const { return this->waiting.empty() && this->running.empty(); }
  // Runs one step.
  StepResult Step();
  // @return the number of running or queued requests by priority.
  std::vector<int> Running() const;
  std::vector<int> Queued() const;
  // @return true if a request of a lower tier is running that was not sent by
  // the aging rule.
  bool RunsLowerTier(int tier) const;
  bool RunsAged() const;
  CacheEvents TakeCacheEvents();

  ServerSpec spec;
  double slowness = 1;
  bool up = true;
  bool leaving = false;
  int incarnation = 1;

 private:
  void Admit(StepResult& result);
  void Preempt(StepResult& result, std::size_t victim, const Attempt& by);
  int CachedTokens(const Attempt& attempt);
  void CachePrompt(const Attempt& attempt);

  std::list<Attempt*> waiting;  // By priority, then arrival.
  std::vector<Attempt*> running;
  std::uint64_t admissions = 0;
  // Prefix hashes, least recently used last.
  std::list<std::uint64_t> cache;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached;
  CacheEvents events;
};

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_ENGINE_MODEL_H_
