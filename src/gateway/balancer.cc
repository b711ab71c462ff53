#include "gateway/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace sycamorebend::gateway {

namespace {

// Prompt tokens that a model engine reads in a millisecond, between the tokens
// of other requests. Engines of the deployments served so far read 41 to 52.
constexpr double kPrefillTokensPerMs = 40;
// Delay that each running request adds to a new one's first byte.
constexpr double kRunningMs = 1.0;
// Time to the first byte of an idle server.
constexpr double kBaseMs = 20;
// A server in another failure domain must be this much faster.
constexpr double kDomainPenaltyMs = 2;
// An engine that is meant for the other kind of prompts must be this much
// faster: about what a late stream costs its caller.
constexpr double kOtherLaneMs = 300;
// The same for a long prompt: it makes many short streams late.
constexpr double kLongPromptMs = 1200;
// A need of fewer engines than this is not worth a message.
constexpr double kLeastNeed = 0.001;
// Scores that differ by less are equal: gateways that know the same must not
// all choose the same server.
constexpr double kNoiseMs = 4;
// A load report says nothing about the load this long after it was made.
constexpr Duration kLoadAge = seconds(2);
// A part that was sent longer ago has probably been evicted.
constexpr Duration kPartAge = seconds(30);
// Parts remembered for one server.
constexpr std::size_t kMaxParts = 4096;
// Probability that each home of a prompt has it, if this gateway did not send
// it there itself.
constexpr std::array<double, 3> kHomeHitRates = {0.8, 0.3, 0.1};
// A pool of at most this many servers is compared as a whole; of a larger one
// the homes of the prompt and some at random.
constexpr std::size_t kSmallPool = 32;
constexpr int kRandomCandidates = 3;
// Prompt tokens to read that the other gateways should know at once: more than
// an engine reads between two rounds of the exchange.
constexpr int kHeavyTokens = 2000;
// Reading a prompt again delays all later requests of the engine, besides the
// request itself; one millisecond of it weighs this much more than one of
// waiting.
constexpr double kWorkWeight = 2;

// Weight of one sample in the averages of slowness and errors.
constexpr double kSampleWeight = 0.25;
constexpr double kServiceWeight = 0.05;
// Time in which a server's slowness is half forgotten, so that it is tried
// again.
constexpr Duration kSlownessHalfLife = seconds(4);
constexpr double kMaxSlowness = 20;
// A server is left for this long after a failed connection; doubled with each
// further failure in a row.
constexpr Duration kAvoidFirst = milliseconds(500);
constexpr int kMaxDoublings = 4;
// A server that refused a request as full is left for this long.
constexpr Duration kFullPause = milliseconds(150);
// Share of errors that costs a server as much as kErrorMs.
constexpr double kErrorMs = 400;
// The usual share of errors is no reason to leave a server.
constexpr double kUsualErrors = 0.2;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

// @return a number that orders the servers for a prompt part, equal at every
// gateway: the finalizer of SplitMix64 over both.
std::uint64_t HomeRank(std::uint64_t part, std::uint64_t server_hash) {
  std::uint64_t rank = part * 0x9E3779B97F4A7C15U ^ server_hash;
  rank = (rank ^ (rank >> 30)) * 0xBF58476D1CE4E5B9U;
  rank = (rank ^ (rank >> 27)) * 0x94D049BB133111EBU;
  return rank ^ (rank >> 31);
}

// The part that tells sessions or subjects apart: the last one that other
// requests share.
std::uint64_t HomePart(const GenerationRequest& generation) {
  const std::size_t count = generation.prompt.size();
  return generation.prompt[count > 1 ? count - 2 : 0].id;
}

}  // namespace

std::string_view SendOutcomeName(SendOutcome outcome) {
  constexpr std::array<std::string_view, 7> kNames = {
      "answered",        "refused", "server_error", "connect_failed",
      "connection_lost", "stalled", "cancelled"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::string ServerKey(const ServerRecord& record) {
  return fmt::format("{}@{}#{}", record.server_id, record.address,
                     record.incarnation);
}

Balancer::Balancer(BalancerOptions options)
    : options(std::move(options)), random(this->options.seed) {}

std::vector<std::string> Balancer::SetServers(
    const std::vector<ServerRecord>& records) {
  std::set<std::string> present;
  for (auto& [service, pool] : this->pools) {
    pool.servers.clear();
  }
  for (const ServerRecord& record : records) {
    const std::string key = ServerKey(record);
    present.insert(key);
    std::unique_ptr<Server>& server = this->servers[key];
    if (server == nullptr) {
      server = std::make_unique<Server>();
      server->key = key;
      server->key_hash = StableHash64(key);
      server->code = ServerCode(key);
      server->id_hash = StableHash64(record.server_id);
    }
    server->record = record;
    this->pools[record.service].servers.push_back(server.get());
  }
  for (auto& [service, pool] : this->pools) {
    std::sort(pool.servers.begin(), pool.servers.end(),
              [](const Server* a, const Server* b) {
                return a->key_hash < b->key_hash;
              });
  }
  std::vector<std::string> gone;
  for (auto one = this->servers.begin(); one != this->servers.end();) {
    if (present.count(one->first) > 0) {
      ++one;
      continue;
    }
    gone.push_back(one->first);
    one = this->servers.erase(one);
  }
  return gone;
}

void Balancer::SetServices(
    const std::map<std::string, ServiceLimits>& services) {
  for (const auto& [name, limits] : services) {
    this->pools[name].lanes.SetEventTokens(limits.event_tokens);
  }
}

Balancer::Server* Balancer::Find(const std::string& key) {
  const auto found = this->servers.find(key);
  return found == this->servers.end() ? nullptr : found->second.get();
}

int Balancer::UncachedTokens(const Server& server,
                             const GenerationRequest& generation,
                             double hit_rate,
                             TimePoint now) const {
  double cached = 0;
  bool known = true;
  for (std::size_t i = 0; i < generation.prompt.size(); ++i) {
    const PromptBlock& part = generation.prompt[i];
    const auto sent = server.parts.find(part.id);
    known =
        known && sent != server.parts.end() && now - sent->second < kPartAge;
    if (known) {
      cached += part.tokens;
    } else if (hit_rate > 0 && i + 1 < generation.prompt.size()) {
      cached += hit_rate * part.tokens;
    } else {
      break;
    }
  }
  return std::max(0, generation.input_tokens - static_cast<int>(cached));
}

double Balancer::Slowness(const Server& server, TimePoint now) const {
  const double age = ToMs(now - server.slowness_at) / ToMs(kSlownessHalfLife);
  return 1 + (server.slowness - 1) * std::exp2(-std::max(0.0, age));
}

double Balancer::ExpectedMs(const Pool& pool,
                            const Server& server,
                            const LoadShare& others,
                            int uncached,
                            TimePoint now) const {
  double running = server.outstanding + others.outstanding;
  if (server.load && now - server.load_at < kLoadAge) {
    // Own work since the report counts besides what it says.
    const int since = server.outstanding - server.outstanding_at_load;
    running = std::max<double>(
        running, server.load->running + server.load->waiting + since);
  }
  const int slots = std::max(1, server.record.slots);
  const double waiting = std::max(0.0, running + 1 - slots);
  const double tokens =
      server.pending_tokens + others.pending_tokens + uncached;
  return (kBaseMs + tokens / kPrefillTokensPerMs + kRunningMs * running +
          pool.service_ms / slots * waiting) *
         this->Slowness(server, now);
}

void Balancer::ReportLoad(LoadMessage& message, TimePoint now) {
  for (const auto& [key, server] : this->servers) {
    if (server->outstanding > 0) {
      message.shares.push_back({server->code, server->outstanding,
                                static_cast<int>(server->pending_tokens)});
    }
  }
  for (auto& [service, pool] : this->pools) {
    const LaneNeed need = pool.lanes.OwnNeed(this->SlotsOf(pool), now);
    if (need.short_prompts + need.long_prompts > kLeastNeed) {
      message.needs.push_back({ServerCode(service), need});
    }
  }
  if (message.scope != LoadScope::kGateway) {
    this->peers.AddGateways(message, now);
  }
}

int Balancer::SlotsOf(const Pool& pool) const {
  return pool.servers.empty() ? 1
                              : std::max(1, pool.servers.front()->record.slots);
}

Balancer::Placement Balancer::Place(Pool& pool,
                                    const Demand& demand,
                                    TimePoint now) {
  Placement placement;
  placement.lane_end = pool.servers.size();
  if (demand.generation == nullptr || demand.generation->prompt.empty()) {
    return placement;
  }
  placement.generation = demand.generation;
  LaneNeed need = this->peers.TotalNeed(ServerCode(demand.service), now);
  const LaneNeed own = pool.lanes.OwnNeed(this->SlotsOf(pool), now);
  need.short_prompts += own.short_prompts;
  need.long_prompts += own.long_prompts;
  const std::size_t boundary =
      pool.lanes.ShortPromptEngines(pool.servers.size(), need);
  const bool is_long =
      pool.lanes.KindOf(demand.route) == Lanes::Kind::kLongPrompt;
  placement.is_long = is_long;
  if (boundary > 0) {
    (is_long ? placement.lane_begin : placement.lane_end) = boundary;
  }
  this->FindHomes(pool, placement);
  return placement;
}

void Balancer::FindHomes(const Pool& pool, Placement& placement) const {
  const std::uint64_t part = HomePart(*placement.generation);
  std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
  for (std::size_t i = placement.lane_begin; i < placement.lane_end; ++i) {
    const Server& server = *pool.servers[i];
    if (!server.record.leaving && !server.record.silent) {
      ranks.emplace_back(HomeRank(part, server.id_hash), i);
    }
  }
  const std::size_t count = std::min(kHomeHitRates.size(), ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(count),
                    ranks.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) {
    placement.homes.push_back(ranks[i].second);
  }
}

std::vector<std::size_t> Balancer::Sample(const Pool& pool,
                                          const Placement& placement) {
  const std::size_t size = pool.servers.size();
  std::vector<std::size_t> sample;
  if (size <= kSmallPool) {
    sample.resize(size);
    std::iota(sample.begin(), sample.end(), std::size_t{0});
    return sample;
  }
  sample = placement.homes;
  const std::size_t lane = placement.lane_end - placement.lane_begin;
  for (int i = 0; i < kRandomCandidates && lane > 0; ++i) {
    sample.push_back(placement.lane_begin + this->random.Next() % lane);
  }
  // One of the other kind, in case that all engines of this one are busy.
  sample.push_back(this->random.Next() % size);
  return sample;
}

double Balancer::Score(const Server& server,
                       double expected_ms,
                       int uncached,
                       bool in_lane,
                       bool is_long) {
  const bool other_domain =
      server.record.failure_domain != this->options.failure_domain;
  return expected_ms + kWorkWeight * uncached / kPrefillTokensPerMs +
         kNoiseMs * this->random.Unit() +
         kErrorMs * std::max(0.0, server.error_rate - kUsualErrors) +
         (other_domain ? kDomainPenaltyMs : 0) +
         (in_lane   ? 0
          : is_long ? kLongPromptMs
                    : kOtherLaneMs);
}

Balancer::Candidate Balancer::Evaluate(const Pool& pool,
                                       const Placement& placement,
                                       std::size_t index,
                                       TimePoint now) {
  const Server& server = *pool.servers[index];
  const bool in_lane =
      index >= placement.lane_begin && index < placement.lane_end;
  const auto home =
      std::find(placement.homes.begin(), placement.homes.end(), index);
  const double hit_rate = home == placement.homes.end()
                              ? 0
                              : kHomeHitRates[static_cast<std::size_t>(
                                    home - placement.homes.begin())];
  const int uncached =
      placement.generation == nullptr
          ? 0
          : this->UncachedTokens(server, *placement.generation, hit_rate, now);
  const LoadShare others = this->peers.Total(server.code, now);
  const double expected = this->ExpectedMs(pool, server, others, uncached, now);
  Candidate candidate;
  candidate.index = index;
  // A server that fell silent is used only if no other is left.
  candidate.avoided = now < server.avoid_until || server.record.silent;
  candidate.score =
      this->Score(server, expected, uncached, in_lane, placement.is_long);
  Choice& choice = candidate.choice;
  choice.server_key = server.key;
  choice.server_id = server.record.server_id;
  choice.address = server.record.address;
  choice.uncached_tokens = uncached;
  choice.expected = FromMs(expected);
  choice.reading = FromMs(uncached / kPrefillTokensPerMs);
  choice.running = server.outstanding + others.outstanding;
  choice.pending_tokens =
      static_cast<int>(server.pending_tokens) + others.pending_tokens;
  choice.slowness = this->Slowness(server, now);
  choice.reason = candidate.avoided               ? "no other server is usable"
                  : !in_lane                      ? "other engines are busy"
                  : home != placement.homes.end() ? "home of the prompt"
                                                  : "lowest expected delay";
  return candidate;
}

std::optional<Balancer::Candidate> Balancer::Best(
    const Pool& pool,
    const Placement& placement,
    const std::vector<std::size_t>& indices,
    const Demand& demand,
    TimePoint now) {
  std::optional<Candidate> best;
  for (const std::size_t index : indices) {
    const Server& server = *pool.servers[index];
    if (server.record.leaving ||
        std::find(demand.excluded.begin(), demand.excluded.end(), server.key) !=
            demand.excluded.end()) {
      continue;
    }
    Candidate candidate = this->Evaluate(pool, placement, index, now);
    const bool better =
        !best || (best->avoided && !candidate.avoided) ||
        (best->avoided == candidate.avoided && candidate.score < best->score);
    if (better) {
      best = std::move(candidate);
    }
  }
  return best;
}

PoolState Balancer::StateOf(const std::string& service, TimePoint now) const {
  PoolState state;
  const auto found = this->pools.find(service);
  if (found == this->pools.end()) {
    return state;
  }
  for (const Server* server : found->second.servers) {
    const bool avoided = now < server->avoid_until;
    ++(server->record.leaving  ? state.leaving
       : server->record.silent ? state.silent
       : avoided               ? state.avoided
                               : state.usable);
    state.outstanding += server->outstanding;
  }
  return state;
}

std::vector<std::string> Balancer::Services() const {
  std::vector<std::string> names;
  for (const auto& [name, pool] : this->pools) {
    names.push_back(name);
  }
  return names;
}

std::optional<Choice> Balancer::Choose(const Demand& demand, TimePoint now) {
  const auto found = this->pools.find(demand.service);
  if (found == this->pools.end()) {
    return std::nullopt;
  }
  Pool& pool = found->second;
  const Placement placement = this->Place(pool, demand, now);
  std::optional<Candidate> best =
      this->Best(pool, placement, this->Sample(pool, placement), demand, now);
  if (best && !best->avoided &&
      best->choice.expected > demand.latest_first_byte) {
    std::optional<Candidate> other =
        this->Best(pool, placement, this->Sample(pool, placement), demand, now);
    if (other && !other->avoided && other->score < best->score) {
      best = std::move(other);
    }
  }
  if (!best || best->avoided) {
    std::vector<std::size_t> all(pool.servers.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    best = this->Best(pool, placement, all, demand, now);
  }
  return best ? std::optional<Choice>(std::move(best->choice)) : std::nullopt;
}

void Balancer::NoteParts(Server& server,
                         const GenerationRequest& generation,
                         TimePoint now) {
  for (const PromptBlock& part : generation.prompt) {
    server.parts[part.id] = now;
  }
  if (server.parts.size() <= kMaxParts) {
    return;
  }
  for (auto one = server.parts.begin(); one != server.parts.end();) {
    one = now - one->second > kPartAge / 2 ? server.parts.erase(one)
                                           : std::next(one);
  }
}

void Balancer::OnSent(const Choice& choice,
                      const Demand& demand,
                      TimePoint now) {
  if (demand.generation != nullptr) {
    this->pools[demand.service].lanes.OnSent(
        demand.route,
        {demand.gap_target, demand.priority, choice.uncached_tokens}, now);
  }
  Server* const server = this->Find(choice.server_key);
  if (server == nullptr) {
    return;
  }
  ++server->outstanding;
  server->pending_tokens += choice.uncached_tokens;
  if (choice.uncached_tokens >= kHeavyTokens) {
    this->tell();
  }
  if (demand.generation != nullptr) {
    this->NoteParts(*server, *demand.generation, now);
  }
}

void Balancer::OnFirstByte(const Choice& choice,
                           Duration elapsed,
                           TimePoint now) {
  Server* const server = this->Find(choice.server_key);
  if (server == nullptr) {
    return;
  }
  server->pending_tokens =
      std::max(0.0, server->pending_tokens - choice.uncached_tokens);
  const double ratio =
      std::clamp(ToMs(elapsed) / std::max(kBaseMs, ToMs(choice.expected)), 0.5,
                 kMaxSlowness);
  const double before = this->Slowness(*server, now);
  server->slowness = std::max(1.0, before + kSampleWeight * (ratio - before));
  server->slowness_at = now;
}

void Balancer::Avoid(Server& server, Duration duration, TimePoint now) {
  server.avoid_until = std::max(server.avoid_until, now + duration);
}

void Balancer::OnDone(const Choice& choice,
                      const Demand& demand,
                      SendOutcome outcome,
                      bool first_byte_seen,
                      Duration elapsed,
                      TimePoint now) {
  Pool& pool = this->pools[demand.service];
  if (demand.generation != nullptr) {
    pool.lanes.OnDone(demand.route, now);
  }
  if (outcome == SendOutcome::kAnswered) {
    pool.service_ms += kServiceWeight * (ToMs(elapsed) - pool.service_ms);
  }
  Server* const server = this->Find(choice.server_key);
  if (server == nullptr) {
    return;
  }
  server->outstanding = std::max(0, server->outstanding - 1);
  if (!first_byte_seen) {
    server->pending_tokens =
        std::max(0.0, server->pending_tokens - choice.uncached_tokens);
  }
  const bool unreachable = outcome == SendOutcome::kConnectFailed ||
                           outcome == SendOutcome::kConnectionLost;
  const bool error = unreachable || outcome == SendOutcome::kServerError;
  if (outcome != SendOutcome::kCancelled && outcome != SendOutcome::kRefused) {
    server->error_rate +=
        kSampleWeight * ((error ? 1.0 : 0.0) - server->error_rate);
  }
  if (outcome == SendOutcome::kAnswered) {
    server->failures_in_a_row = 0;
  } else if (outcome == SendOutcome::kConnectFailed) {
    server->failures_in_a_row =
        std::min(server->failures_in_a_row + 1, kMaxDoublings + 1);
    this->Avoid(*server, kAvoidFirst * (1 << (server->failures_in_a_row - 1)),
                now);
  } else if (outcome == SendOutcome::kRefused) {
    this->Avoid(*server, kFullPause, now);
  } else if (outcome == SendOutcome::kStalled) {
    server->slowness = std::min(kMaxSlowness, this->Slowness(*server, now) * 2);
    server->slowness_at = now;
  }
}

void Balancer::OnLoad(const std::string& server_key,
                      const LoadReport& report,
                      TimePoint now) {
  Server* const server = this->Find(server_key);
  if (server != nullptr) {
    server->load = report;
    server->load_at = now;
    server->outstanding_at_load = server->outstanding;
  }
}

}  // namespace sycamorebend::gateway
