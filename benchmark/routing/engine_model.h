// One engine or plain service as a queue model: continuous batching, priorities
// with preemption, chunked prefill and a bounded prefix cache.
#ifndef BENCHMARK_ROUTING_ENGINE_MODEL_H_
#define BENCHMARK_ROUTING_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "deployment.h"

namespace sycamorebend::benchmark {

// One attempt of a request at a server.
struct Attempt {
  std::size_t request = 0;
  int number = 1;
  int entry = 0;
  std::size_t server = 0;
  int priority = 0;
  int tier = 0;  // Of the class; higher than `priority` after aging.
  int input_tokens = 0;
  int output_tokens = 0;
  const std::vector<std::uint64_t>* hashes = nullptr;

  int prefill_left = 0;
  int generated = 0;
  int recomputed = 0;  // Tokens whose work was lost by preemption.
  std::uint64_t admitted_order = 0;
  bool started = false;
  bool at_server = false;
  // The entry daemon still expects events.
  bool open = true;
  bool silent = false;
  int silent_at = -1;  // Falls silent after this many tokens; -1: never.
  int delivered = 0;
  std::int64_t sent_ns = 0;
};

// What happened during a step, for the simulation to deliver.
struct StepResult {
  Duration duration{0};
  std::vector<Attempt*> started;
  std::vector<Attempt*> progressed;  // One more token each.
  std::vector<Attempt*> finished;
  // Urgent work that was preempted for a lower tier; must not happen.
  int wrong_preemptions = 0;
};

class EngineModel {
 public:
  // A step takes `step_base + decoding * kPerSequence + prefill *
  // kPerPrefillToken`.
  static constexpr microseconds kPerSequence{900};
  static constexpr microseconds kPerPrefillToken{30};
  static constexpr int kPrefillChunk = 512;
  // A full batch of 16 thus needs 20 to 36 ms for a step.
  static constexpr std::size_t kCacheBlocks = 600;

  explicit EngineModel(const ServerSpec& spec) : spec(spec) {}

  void Add(Attempt& attempt);
  void Remove(Attempt& attempt);
  // Forgets all work and the cache. @return the attempts that were lost.
  std::vector<Attempt*> Crash();
  bool Idle() const { return this->waiting.empty() && this->running.empty(); }
  // Runs one step.
  StepResult Step();
  // Running and queued requests by priority.
  std::vector<int> Running() const;
  std::vector<int> Queued() const;
  // True if work of a lower tier runs that was not sent by the aging rule.
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
  // Least recently used last.
  std::list<std::uint64_t> cache;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached;
  CacheEvents events;
};

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_ENGINE_MODEL_H_
