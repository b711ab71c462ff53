// Simulates an inference engine: continuous batching with a limited number of
// slots, priorities with preemption, a bounded prefix cache and delayed load
// reports. It has no thread and reads no clock: the time is passed with each
// call.
#ifndef SYCAMOREBEND_TESTS_FAKES_ENGINE_CORE_H_
#define SYCAMOREBEND_TESTS_FAKES_ENGINE_CORE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <json/value.h>

#include "load/expected_completion.h"
#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

struct EngineOptions {
  int slots = 8;
  // Time between two tokens of one stream.
  Duration token_delay = milliseconds(10);
  // Prefill time for 256 bytes of a prompt that are not in the cache.
  Duration prefill_delay_per_block = milliseconds(1);
  // Prefix blocks that the cache holds.
  int cache_blocks = 1024;
  // Age at which a cache event is reported.
  Duration cache_event_delay = milliseconds(200);
  // Every n-th cache event is not reported; 0 reports all.
  int cache_event_drop_every = 0;
  // Age of the state that a load report describes.
  Duration report_lag = milliseconds(0);
  std::int64_t kv_tokens = 100000;
  // How long a finished stream can still be resumed.
  Duration stream_retention = seconds(10);
};

// Simulated faults and speed, which can be changed while the engine runs.
struct EngineBehaviour {
  double slow_factor = 1;
  // A request whose prompt contains this text crashes the process when it has
  // generated `crash_after_tokens` tokens. Empty: no request does.
  std::string crash_on_marker;
  int crash_after_tokens = 0;
  // A connection stays open but receives nothing after this many tokens. A
  // resumed stream is not affected. 0 disables the fault.
  int silent_after_tokens = 0;
  // Number of further connections that become silent; -1 means all.
  int silent_streams = -1;
};

class EngineCore {
 public:
  // @param crash called when a request crashes the process.
  EngineCore(const EngineOptions& options, std::function<void()> crash);

  // Adds a request. It replaces an earlier request with the same ID.
  void Submit(const std::string& request_id,
              int priority,
              const CompletionRequest& request,
              std::shared_ptr<HttpExchange> exchange,
              TimePoint now);

  // Sends the events after token `offset` on a new connection.
  // @return false if the stream is unknown.
  bool Resume(const std::string& request_id,
              int offset,
              std::shared_ptr<HttpExchange> exchange);

  // @return false if the stream is unknown.
  bool Cancel(const std::string& request_id);

  // Generates the tokens that are due.
  // @return when to call again; TimePoint::max() when there is no work.
  TimePoint Advance(TimePoint now);

  void SetBehaviour(const EngineBehaviour& changed);
  EngineBehaviour Behaviour() const { return this->behaviour; }

  // @return the load fields of a load report, as they were `report_lag` ago.
  Json::Value LoadReport(TimePoint now);
  // @return the cache events from `first_seq` on that are old enough to be
  // reported.
  // @param next_seq set to the number after the last returned event.
  Json::Value CacheEvents(std::uint64_t first_seq,
                          TimePoint now,
                          std::uint64_t* next_seq);

  // @return the hashes of the prefixes in the cache, as decimal strings.
  Json::Value ExportCache() const;
  void ImportCache(const Json::Value& hashes, TimePoint now);

  Json::Value Stats() const;
  // @return true if no request is queued or running.
  bool Idle() const { return this->running.empty() && this->queue.empty(); }

 private:
  enum class Phase : int { kQueued = 0, kRunning = 1, kFinished = 2 };

  struct Stream {
    std::string id;
    int priority = 0;
    std::uint64_t arrival = 0;
    std::unique_ptr<ExpectedCompletion> answer;
    std::vector<std::uint64_t> prefixes;
    std::size_t prompt_bytes = 0;
    bool streamed = false;
    bool crashes = false;
    Phase phase = Phase::kQueued;
    int tokens = 0;
    TimePoint due;
    std::shared_ptr<HttpExchange> exchange;
    bool headers_sent = false;
    bool may_go_silent = false;
    bool silent = false;
  };
  using StreamPtr = std::shared_ptr<Stream>;
  struct HigherPriorityFirst {
    bool operator()(const StreamPtr& left, const StreamPtr& right) const;
  };
  struct CacheEvent {
    bool add = false;
    std::uint64_t hash = 0;
    bool dropped = false;
    TimePoint time;
  };

  void Admit(TimePoint now);
  void StartRunning(const StreamPtr& stream, TimePoint now);
  bool PreemptFor(const Stream& stream);
  void GenerateToken(const StreamPtr& stream, TimePoint now);
  void SendEvent(Stream& stream, const std::string& event);
  void FinishResponse(Stream& stream);
  void Remove(const StreamPtr& stream);
  void RemoveExpiredStreams(TimePoint now);
  void RecordLoad(TimePoint now);
  int UsePrefixCache(const Stream& stream, TimePoint now);
  void AddToCache(std::uint64_t hash, TimePoint now);
  void AddCacheEvent(bool add, std::uint64_t hash, TimePoint now);

  const EngineOptions options;
  const std::function<void()> crash;
  EngineBehaviour behaviour;
  std::map<std::string, StreamPtr> streams;
  std::set<StreamPtr, HigherPriorityFirst> queue;
  std::set<StreamPtr, HigherPriorityFirst> running;
  std::multimap<TimePoint, StreamPtr> due;
  std::deque<std::pair<TimePoint, StreamPtr>> finished;
  // Exchanges of silent connections, kept so that they stay open.
  std::vector<std::shared_ptr<HttpExchange>> silent_exchanges;
  std::uint64_t next_arrival = 1;

  // The cache in LRU order, the most recently used hash first.
  std::list<std::uint64_t> cache_order;
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
  std::deque<CacheEvent> cache_events;
  std::uint64_t first_cache_event = 1;

  std::deque<std::pair<TimePoint, Json::Value>> load_history;

  std::map<std::string, int> runs;
  std::uint64_t tokens_generated = 0;
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t preempted = 0;
  std::uint64_t resumed = 0;
  std::uint64_t cache_hit_blocks = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FAKES_ENGINE_CORE_H_
