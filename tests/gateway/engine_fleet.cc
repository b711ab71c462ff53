#include "engine_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gateway/prefill_budget.h"

namespace sycamorebend::gateway {

namespace {

constexpr int kSlots = 32;
constexpr int kChunk = 1024;
constexpr double kTokensPerMs = 36.1;
constexpr double kStepMs = 3.47;
constexpr double kRequestMs = 0.16;
constexpr double kContextMs = 0.005;  // For each 1,000 tokens.
constexpr double kFirstMs = 19;
constexpr int kEventTokens = 6;
constexpr int kCacheTokens = 200000;
constexpr double kNetworkS = 0.003;
constexpr double kHostSlowFactor = 2.5;
constexpr double kHostSlowS = 0.6;
constexpr double kExchangeS = 0.1;
constexpr double kExchangeDelayS = 0.1;

}  // namespace

EngineFleet::EngineFleet(const FleetOptions& options)
    : options(options),
      random(options.seed),
      arrivals(options.seed + 1),
      engines(options.engines) {
  std::map<std::string, ServiceLimits> services;
  services["engines"].engine = true;
  services["engines"].cache_tokens = 284376;
  services["engines"].event_tokens = kEventTokens;
  for (int i = 0; i < options.engines; ++i) {
    ServerRecord record;
    record.server_id = "s" + std::to_string(i);
    record.incarnation = 1;
    record.service = "engines";
    record.address = "10.0.1." + std::to_string(i) + ":80";
    record.failure_domain = "a";
    record.slots = kSlots;
    this->records.push_back(record);
    this->engines[i].key = ServerKey(record);
    this->engines[i].speed =
        i < options.slow_fraction * options.engines ? 0.55 : options.fast_speed;
    this->ScheduleHostChange(i);
  }
  for (int i = 0; i < options.gateways; ++i) {
    this->gateways.push_back(std::make_unique<Balancer>(
        BalancerOptions{"a", options.seed * 1000 + i}));
    this->gateways.back()->SetServers(this->records);
    this->gateways.back()->SetServices(services);
    this->gateways.back()->SetExchangeInterval(milliseconds(100));
    this->At(kExchangeS * i / options.gateways,
             [this, i] { this->Exchange(i); });
  }
  this->sequences.resize(options.gateways);
  this->ScheduleArrival(false);
  this->ScheduleArrival(true);
}

TimePoint EngineFleet::Now() const {
  return TimePoint(seconds(100)) +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(this->now_s));
}

double EngineFleet::Exponential(std::mt19937_64& source, double mean) {
  return std::exponential_distribution<double>(1 / mean)(source);
}

void EngineFleet::At(double at_s, std::function<void()> run) {
  this->events.emplace(at_s, std::move(run));
}

void EngineFleet::Run() {
  while (!this->events.empty()) {
    const auto first = this->events.begin();
    // Requests that arrived before the end are finished after it.
    if (first->first > this->options.end_s + 16) {
      break;
    }
    this->now_s = first->first;
    const std::function<void()> run = std::move(first->second);
    this->events.erase(first);
    run();
  }
}

void EngineFleet::ScheduleHostChange(std::size_t index) {
  const double share = this->options.host_slow_time;
  if (share <= 0) {
    return;
  }
  Engine& engine = this->engines[index];
  const double mean =
      engine.host_slow ? kHostSlowS : kHostSlowS * (1 - share) / share;
  this->At(this->now_s + this->Exponential(this->random, mean), [this, index] {
    this->engines[index].host_slow = !this->engines[index].host_slow;
    if (this->now_s < this->options.end_s + 16) {
      this->ScheduleHostChange(index);
    }
  });
}

void EngineFleet::Exchange(std::size_t gateway) {
  LoadMessage message;
  message.sender = "g" + std::to_string(gateway);
  message.sequence = ++this->sequences[gateway];
  this->gateways[gateway]->FillLoadMessage(message, this->Now());
  this->At(this->now_s + kExchangeDelayS, [this, gateway, message] {
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      if (i != gateway) {
        this->gateways[i]->OnPeerLoad(message, this->Now());
      }
    }
  });
  if (this->now_s < this->options.end_s + 5) {
    this->At(this->now_s + kExchangeS,
             [this, gateway] { this->Exchange(gateway); });
  }
}

void EngineFleet::ScheduleArrival(bool chat) {
  const bool burst = this->now_s >= this->options.burst_begin_s &&
                     this->now_s < this->options.burst_end_s;
  const double rate =
      (chat ? this->options.chats_per_s : this->options.long_per_s) *
      (burst ? this->options.burst_factor : 1);
  this->At(this->now_s + this->Exponential(this->arrivals, 1 / rate), [this,
                                                                       chat] {
    if (this->now_s > this->options.end_s) {
      return;
    }
    this->ScheduleArrival(chat);
    const auto request = std::make_shared<Request>();
    request->chat = chat;
    request->arrived_s = this->now_s;
    GenerationRequest& generation = request->generation;
    const int own = static_cast<int>(std::min(
        39600.0, this->Exponential(this->arrivals, chat ? 628 : 2890)));
    if (chat) {
      generation.prompt = {{1, 198}, {++this->next_block, own}};
      generation.max_output_tokens = 290;
    } else {
      const std::uint64_t session = this->arrivals() % this->options.sessions;
      const int session_tokens =
          500 + static_cast<int>(session * 2654435761U % 6560);
      generation.prompt = {{10 + session % 4, 2520},
                           {1000 + session, session_tokens},
                           {++this->next_block, own}};
      generation.max_output_tokens = 49;
    }
    for (const PromptBlock& block : generation.prompt) {
      generation.input_tokens += block.tokens;
    }
    RequestProfile& profile = request->profile;
    profile.service = "engines";
    profile.route = chat ? "chat" : "long";
    profile.gap_target = milliseconds(chat ? 250 : 400);
    profile.target = milliseconds(chat ? 600 : 800);
    profile.priority_level = chat ? 0 : 1;
    profile.generation = &request->generation;
    profile.max_first_byte_time =
        Scale(profile.target, kMaxExpectedTargetFraction);
    ++(chat ? this->chats : this->long_prompts).arrived;
    this->Dispatch(request);
  });
}

void EngineFleet::Dispatch(const RequestPtr& request) {
  RouteResult& result = request->chat ? this->chats : this->long_prompts;
  request->gateway = static_cast<int>(this->random() % this->gateways.size());
  Balancer& balancer = *this->gateways[request->gateway];
  const auto choice = balancer.Choose(request->profile, this->Now());
  if (QueueMissesTarget(
          {choice->expected_first_byte, choice->prefill_time, choice->running},
          request->profile.target)) {
    balancer.OnRefused(*choice, request->profile, this->Now());
    const double deadline_s = request->arrived_s + (request->chat ? 15 : 5);
    const double wait = std::min(
        2.5, (deadline_s - this->now_s) *
                 (0.2 + 0.12 * this->Exponential(this->random, 1) / 3));
    if (deadline_s - this->now_s < 0.5) {
      ++result.refused;
      return;
    }
    this->At(this->now_s + wait, [this, request] { this->Dispatch(request); });
    return;
  }
  request->choice = *choice;
  request->sent_s = this->now_s;
  balancer.OnSent(*choice, request->profile, this->Now());
  for (Engine& engine : this->engines) {
    if (engine.key == choice->server_key) {
      this->At(this->now_s + kNetworkS,
               [this, &engine, request] { this->Arrive(engine, request); });
    }
  }
}

void EngineFleet::Arrive(Engine& engine, const RequestPtr& request) {
  engine.waiting.push_back(request);
  if (!engine.stepping) {
    this->Step(engine);
  }
}

void EngineFleet::Cache(Engine& engine, const PromptBlock& block) {
  const auto found = engine.cache.find(block.id);
  if (found != engine.cache.end()) {
    engine.cache_order.erase(found->second.second);
    engine.cached_tokens -= found->second.first;
  }
  engine.cache_order.push_back(block.id);
  engine.cache[block.id] = {block.tokens, std::prev(engine.cache_order.end())};
  engine.cached_tokens += block.tokens;
  while (engine.cached_tokens > kCacheTokens) {
    const auto oldest = engine.cache.find(engine.cache_order.front());
    engine.cached_tokens -= oldest->second.first;
    engine.cache.erase(oldest);
    engine.cache_order.pop_front();
  }
}

void EngineFleet::Step(Engine& engine) {
  engine.running.remove_if(
      [](const RequestPtr& request) { return request->done; });
  while (!engine.waiting.empty() && engine.running.size() < kSlots) {
    engine.running.push_back(engine.waiting.front());
    engine.waiting.pop_front();
  }
  engine.stepping = !engine.running.empty();
  if (!engine.stepping) {
    return;
  }
  int budget = kChunk;
  double context = 0;
  int decoding = 0;
  std::vector<std::pair<RequestPtr, int>> read;
  for (int level = 0; level < 2; ++level) {
    for (const RequestPtr& request : engine.running) {
      if (request->profile.priority_level != level || request->to_read == 0) {
        continue;
      }
      if (request->to_read < 0 && budget > 0) {
        request->to_read = 0;
        bool prefix = true;
        for (const PromptBlock& block : request->generation.prompt) {
          prefix = prefix && engine.cache.count(block.id) > 0;
          request->to_read += prefix ? 0 : block.tokens;
        }
        request->to_read = std::max(1, request->to_read);
      }
      const int part = std::min(budget, std::max(0, request->to_read));
      budget -= part;
      if (part > 0) {
        read.emplace_back(request, part);
      }
    }
  }
  for (const RequestPtr& request : engine.running) {
    if (request->to_read == 0) {
      ++decoding;
      context += request->generation.input_tokens + request->tokens;
    }
  }
  const double ms =
      (kStepMs + kRequestMs * decoding + kContextMs * context / 1000 +
       (kChunk - budget) / kTokensPerMs) /
      engine.speed * (engine.host_slow ? kHostSlowFactor : 1);
  this->At(this->now_s + ms / 1000,
           [this, &engine, read] { this->AfterStep(engine, read); });
}

void EngineFleet::AfterStep(
    Engine& engine,
    const std::vector<std::pair<RequestPtr, int>>& read) {
  for (const RequestPtr& request : engine.running) {
    if (request->to_read == 0 && !request->done) {
      ++request->tokens;
      if (request->tokens % kEventTokens == 0 ||
          request->tokens >= request->generation.max_output_tokens) {
        this->Emit(engine, request, false);
      }
    }
  }
  for (const auto& [request, part] : read) {
    request->to_read -= part;
    if (request->to_read == 0) {
      for (const PromptBlock& block : request->generation.prompt) {
        this->Cache(engine, block);
      }
      request->tokens = 1;
      Engine* const at = &engine;
      this->At(this->now_s + kFirstMs / 1000, [this, at, request = request] {
        this->Emit(*at, request, true);
      });
    }
  }
  this->Step(engine);
}

void EngineFleet::Emit(Engine& engine, const RequestPtr& request, bool first) {
  if (request->done) {
    return;
  }
  const double seen_s = this->now_s + kNetworkS;
  Balancer& balancer = *this->gateways[request->gateway];
  if (first) {
    request->first_s = seen_s;
    LoadReport report{static_cast<int>(engine.running.size()),
                      static_cast<int>(engine.waiting.size()),
                      kSlots,
                      {}};
    if (this->options.state_host_time) {
      report.host_percent = engine.host_slow ? 250 : 100;
    }
    balancer.OnLoadReport(engine.key, report, this->Now());
    balancer.OnFirstByte(
        request->choice,
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(seen_s - request->sent_s)),
        this->Now());
  } else if (request->first_s > 0) {
    request->longest_gap_s =
        std::max(request->longest_gap_s, seen_s - request->last_event_s);
  }
  request->last_event_s = seen_s;
  if (request->tokens >= request->generation.max_output_tokens) {
    this->Finish(request, true);
  }
}

void EngineFleet::Finish(const RequestPtr& request, bool answered) {
  request->done = true;
  RouteResult& result = request->chat ? this->chats : this->long_prompts;
  this->gateways[request->gateway]->OnDone(
      request->choice, request->profile,
      answered ? AttemptOutcome::kAnswered : AttemptOutcome::kCancelled,
      request->first_s > 0,
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(this->now_s - request->sent_s)),
      this->Now());
  const bool in_time =
      request->first_s - request->arrived_s <= (request->chat ? 0.6 : 0.8);
  ++(in_time ? result.in_time : result.late);
  result.smooth +=
      in_time && request->longest_gap_s <= (request->chat ? 0.25 : 0.4) ? 1 : 0;
}

}  // namespace sycamorebend::gateway
