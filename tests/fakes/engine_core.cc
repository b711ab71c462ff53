#include "fakes/engine_core.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace sycamorebend {

namespace {

constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kMaxCacheEvents = 16384;
constexpr std::size_t kMaxCacheEventsPerReport = 512;
constexpr std::size_t kMaxCountedRequests = 100000;
constexpr int kDefaultTiers = 4;
constexpr int kStatusOk = 200;

std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t end = kPrefixBlockBytes; end <= prompt.size();
       end += kPrefixBlockBytes) {
    hashes.push_back(StableHash64(prompt.substr(0, end)));
  }
  return hashes;
}

}  // namespace

bool EngineCore::HigherPriorityFirst::operator()(const StreamPtr& left,
                                                 const StreamPtr& right) const {
  return std::tie(left->priority, left->arrival) <
         std::tie(right->priority, right->arrival);
}

EngineCore::EngineCore(const EngineOptions& options,
                       std::function<void()> crash)
    : options(options), crash(std::move(crash)) {}

void EngineCore::Submit(const std::string& request_id,
                        int priority,
                        const CompletionRequest& request,
                        std::shared_ptr<HttpExchange> exchange,
                        TimePoint now) {
  const auto known = this->streams.find(request_id);
  if (known != this->streams.end()) {
    this->Remove(known->second);
  }
  auto stream = std::make_shared<Stream>();
  stream->id = request_id;
  stream->priority = priority;
  stream->arrival = this->next_arrival++;
  stream->answer = std::make_unique<ExpectedCompletion>(request);
  stream->prefixes = PrefixHashes(request.prompt);
  stream->prompt_bytes = request.prompt.size();
  stream->streamed = request.stream;
  stream->crashes =
      !this->behaviour.crash_on_marker.empty() &&
      request.prompt.find(this->behaviour.crash_on_marker) != std::string::npos;
  stream->exchange = std::move(exchange);
  stream->may_go_silent = true;
  this->streams[request_id] = stream;
  this->queue.insert(stream);
  if (this->runs.size() < kMaxCountedRequests) {
    ++this->runs[request_id];
  }
  ++this->started;
  this->Admit(now);
}

bool EngineCore::Resume(const std::string& request_id,
                        int offset,
                        std::shared_ptr<HttpExchange> exchange) {
  const auto known = this->streams.find(request_id);
  if (known == this->streams.end() || !known->second->streamed || offset < 0 ||
      offset > known->second->tokens) {
    return false;
  }
  Stream& stream = *known->second;
  ++this->resumed;
  if (stream.silent) {
    this->silent_exchanges.push_back(std::move(stream.exchange));
  }
  stream.exchange = std::move(exchange);
  stream.silent = false;
  stream.may_go_silent = false;
  stream.headers_sent = false;
  for (int number = offset + 1; number <= stream.tokens; ++number) {
    this->SendEvent(stream, stream.answer->Event(number));
  }
  if (stream.phase == Phase::kFinished) {
    this->FinishResponse(stream);
  }
  return true;
}

bool EngineCore::Cancel(const std::string& request_id) {
  const auto known = this->streams.find(request_id);
  if (known == this->streams.end()) {
    return false;
  }
  if (known->second->phase != Phase::kFinished) {
    ++this->cancelled;
  }
  this->Remove(known->second);
  return true;
}

void EngineCore::Remove(const StreamPtr& stream) {
  this->queue.erase(stream);
  this->running.erase(stream);
  if (stream->exchange != nullptr) {
    stream->exchange->AbortStream();
    stream->exchange = nullptr;
  }
  stream->phase = Phase::kFinished;
  this->streams.erase(stream->id);
}

TimePoint EngineCore::Advance(TimePoint now) {
  this->Admit(now);
  while (!this->due.empty() && this->due.begin()->first <= now) {
    const StreamPtr stream = this->due.begin()->second;
    const bool current = stream->due == this->due.begin()->first;
    this->due.erase(this->due.begin());
    if (current && stream->phase == Phase::kRunning) {
      this->GenerateToken(stream, now);
    }
  }
  this->RemoveExpiredStreams(now);
  return this->due.empty() ? TimePoint::max() : this->due.begin()->first;
}

void EngineCore::Admit(TimePoint now) {
  while (!this->queue.empty()) {
    const StreamPtr next = *this->queue.begin();
    const bool free =
        this->running.size() < static_cast<std::size_t>(this->options.slots);
    if (!free && !this->PreemptFor(*next)) {
      break;
    }
    this->queue.erase(next);
    this->StartRunning(next, now);
  }
  this->RecordLoad(now);
}

bool EngineCore::PreemptFor(const Stream& stream) {
  const StreamPtr victim = *this->running.rbegin();
  if (victim->priority <= stream.priority) {
    return false;
  }
  this->running.erase(victim);
  victim->phase = Phase::kQueued;
  this->queue.insert(victim);
  ++this->preempted;
  return true;
}

void EngineCore::StartRunning(const StreamPtr& stream, TimePoint now) {
  stream->phase = Phase::kRunning;
  this->running.insert(stream);
  const int uncached = this->UsePrefixCache(*stream, now);
  const double prefill =
      static_cast<double>(
          (this->options.prefill_delay_per_block * (uncached + 1)).count()) *
      this->behaviour.slow_factor;
  stream->due = now + Duration(static_cast<std::int64_t>(prefill));
  this->due.emplace(stream->due, stream);
}

void EngineCore::GenerateToken(const StreamPtr& stream, TimePoint now) {
  if (stream->crashes && stream->tokens >= this->behaviour.crash_after_tokens) {
    this->crash();
    return;
  }
  ++stream->tokens;
  ++this->tokens_generated;
  if (stream->streamed) {
    this->SendEvent(*stream, stream->answer->Event(stream->tokens));
  }
  if (stream->tokens >= stream->answer->TokenCount()) {
    stream->phase = Phase::kFinished;
    this->running.erase(stream);
    ++this->completed;
    this->finished.emplace_back(now, stream);
    this->FinishResponse(*stream);
    this->Admit(now);
    return;
  }
  const double delay = static_cast<double>(this->options.token_delay.count()) *
                       this->behaviour.slow_factor;
  // Keeps the token rate when the thread wakes up late.
  const TimePoint earliest = now - this->options.token_delay;
  stream->due = std::max(stream->due, earliest) +
                Duration(static_cast<std::int64_t>(delay));
  this->due.emplace(stream->due, stream);
}

void EngineCore::SendEvent(Stream& stream, const std::string& event) {
  if (stream.exchange == nullptr || stream.silent) {
    return;
  }
  if (!stream.headers_sent) {
    stream.headers_sent = true;
    stream.exchange->StartStream(kStatusOk,
                                 {{"Content-Type", "text/event-stream"}});
  }
  stream.exchange->Write(event);
  if (stream.may_go_silent && this->behaviour.silent_after_tokens > 0 &&
      stream.tokens >= this->behaviour.silent_after_tokens &&
      this->behaviour.silent_streams != 0) {
    stream.silent = true;
    if (this->behaviour.silent_streams > 0) {
      --this->behaviour.silent_streams;
    }
  }
}

void EngineCore::FinishResponse(Stream& stream) {
  if (stream.exchange == nullptr || stream.silent) {
    return;
  }
  if (!stream.streamed) {
    stream.exchange->Respond(kStatusOk, {{"Content-Type", "application/json"}},
                             stream.answer->WholeBody());
  } else {
    if (!stream.headers_sent) {
      stream.exchange->StartStream(kStatusOk,
                                   {{"Content-Type", "text/event-stream"}});
    }
    stream.exchange->Write(kDoneEvent);
    stream.exchange->FinishStream();
  }
  stream.exchange = nullptr;
}

void EngineCore::RemoveExpiredStreams(TimePoint now) {
  while (!this->finished.empty() &&
         this->finished.front().first + this->options.stream_retention < now) {
    const StreamPtr stream = this->finished.front().second;
    this->finished.pop_front();
    const auto known = this->streams.find(stream->id);
    if (known != this->streams.end() && known->second == stream) {
      if (stream->exchange != nullptr) {
        this->silent_exchanges.push_back(std::move(stream->exchange));
      }
      this->streams.erase(known);
    }
  }
}

void EngineCore::SetBehaviour(const EngineBehaviour& changed) {
  this->behaviour = changed;
}

void EngineCore::RecordLoad(TimePoint now) {
  std::vector<int> counts[2] = {std::vector<int>(kDefaultTiers),
                                std::vector<int>(kDefaultTiers)};
  std::int64_t kv_used = 0;
  const auto count = [&kv_used](const auto& set, std::vector<int>& by_tier) {
    for (const StreamPtr& stream : set) {
      const auto tier = static_cast<std::size_t>(std::max(0, stream->priority));
      if (tier >= by_tier.size()) {
        by_tier.resize(tier + 1);
      }
      ++by_tier[tier];
      kv_used +=
          stream->tokens + static_cast<std::int64_t>(stream->prompt_bytes / 4);
    }
  };
  count(this->running, counts[0]);
  count(this->queue, counts[1]);
  Json::Value load(Json::objectValue);
  const char* const names[2] = {"running_by_tier", "queued_by_tier"};
  for (int i = 0; i < 2; ++i) {
    load[names[i]] = Json::Value(Json::arrayValue);
    for (const int value : counts[i]) {
      load[names[i]].append(value);
    }
  }
  load["free_kv_tokens"] = static_cast<Json::Int64>(
      std::max<std::int64_t>(0, this->options.kv_tokens - kv_used));
  if (this->options.report_lag == Duration(0)) {
    this->load_history.clear();
  }
  this->load_history.emplace_back(now, std::move(load));
  // Keeps the newest load that is old enough to be reported, and later ones.
  while (this->load_history.size() > 1 &&
         this->load_history[1].first + this->options.report_lag <= now) {
    this->load_history.pop_front();
  }
}

Json::Value EngineCore::LoadReport(TimePoint now) {
  this->RecordLoad(now);
  return this->load_history.front().second;
}

int EngineCore::UsePrefixCache(const Stream& stream, TimePoint now) {
  int uncached = 0;
  bool prefix_cached = true;
  for (const std::uint64_t hash : stream.prefixes) {
    const auto known = this->cache.find(hash);
    prefix_cached = prefix_cached && known != this->cache.end();
    if (prefix_cached) {
      ++this->cache_hit_blocks;
      this->cache_order.splice(this->cache_order.begin(), this->cache_order,
                               known->second);
      continue;
    }
    ++uncached;
    this->AddToCache(hash, now);
  }
  return uncached;
}

void EngineCore::AddToCache(std::uint64_t hash, TimePoint now) {
  if (this->cache.count(hash) > 0) {
    return;
  }
  this->cache_order.push_front(hash);
  this->cache[hash] = this->cache_order.begin();
  this->AddCacheEvent(true, hash, now);
  while (this->cache.size() >
         static_cast<std::size_t>(this->options.cache_blocks)) {
    const std::uint64_t evicted = this->cache_order.back();
    this->cache_order.pop_back();
    this->cache.erase(evicted);
    this->AddCacheEvent(false, evicted, now);
  }
}

void EngineCore::AddCacheEvent(bool add, std::uint64_t hash, TimePoint now) {
  const std::uint64_t sequence =
      this->first_cache_event + this->cache_events.size();
  const int every = this->options.cache_event_drop_every;
  const bool dropped =
      every > 0 && sequence % static_cast<std::uint64_t>(every) == 0;
  this->cache_events.push_back({add, hash, dropped, now});
  if (this->cache_events.size() > kMaxCacheEvents) {
    this->cache_events.pop_front();
    ++this->first_cache_event;
  }
}

Json::Value EngineCore::CacheEvents(std::uint64_t first_seq,
                                    TimePoint now,
                                    std::uint64_t* next_seq) {
  std::uint64_t sequence = std::max(first_seq, this->first_cache_event);
  const auto at = [this](std::uint64_t number) -> const CacheEvent& {
    return this->cache_events[number - this->first_cache_event];
  };
  const std::uint64_t end = this->first_cache_event + this->cache_events.size();
  // The events of a batch have consecutive numbers, so it starts after a
  // dropped event and ends before the next one.
  while (sequence < end && at(sequence).dropped) {
    ++sequence;
  }
  Json::Value batch(Json::objectValue);
  batch["first_seq"] = static_cast<Json::UInt64>(sequence);
  batch["events"] = Json::Value(Json::arrayValue);
  while (sequence < end && !at(sequence).dropped &&
         at(sequence).time + this->options.cache_event_delay <= now &&
         batch["events"].size() < kMaxCacheEventsPerReport) {
    Json::Value event(Json::objectValue);
    event["op"] = at(sequence).add ? "add" : "remove";
    event["hash"] = std::to_string(at(sequence).hash);
    batch["events"].append(std::move(event));
    ++sequence;
  }
  *next_seq = sequence;
  return batch;
}

Json::Value EngineCore::ExportCache() const {
  Json::Value hashes(Json::arrayValue);
  for (const std::uint64_t hash : this->cache_order) {
    hashes.append(std::to_string(hash));
  }
  return hashes;
}

void EngineCore::ImportCache(const Json::Value& hashes, TimePoint now) {
  for (const Json::Value& hash : hashes) {
    this->AddToCache(std::stoull(hash.asString()), now);
  }
}

Json::Value EngineCore::Stats() const {
  Json::Value stats(Json::objectValue);
  stats["runs"] = Json::Value(Json::objectValue);
  for (const auto& [id, count] : this->runs) {
    stats["runs"][id] = count;
  }
  stats["tokens_generated"] = static_cast<Json::UInt64>(this->tokens_generated);
  stats["started"] = static_cast<Json::UInt64>(this->started);
  stats["completed"] = static_cast<Json::UInt64>(this->completed);
  stats["cancelled"] = static_cast<Json::UInt64>(this->cancelled);
  stats["preempted"] = static_cast<Json::UInt64>(this->preempted);
  stats["resumed"] = static_cast<Json::UInt64>(this->resumed);
  stats["cache_hit_blocks"] = static_cast<Json::UInt64>(this->cache_hit_blocks);
  stats["running"] = static_cast<Json::UInt64>(this->running.size());
  stats["queued"] = static_cast<Json::UInt64>(this->queue.size());
  return stats;
}

}  // namespace sycamorebend
