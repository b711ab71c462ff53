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

// Prompt tokens that a model engine prefills per millisecond while it decodes
// other requests. Engines in the current deployments reach 41 to 52.
constexpr double kPrefillTokensPerMs = 40;
// Delay that each running request adds to the first byte of a new one.
constexpr double kRunningRequestDelayMs = 1.0;
// Time to the first byte at an idle server, without prefill.
constexpr double kIdleFirstByteMs = 20;
// Penalty for a server in another failure domain, and for each KB of the
// request that is sent there: links between failure domains are scarce.
constexpr double kDomainPenaltyMs = 2;
constexpr double kDomainPenaltyMsPerKb = 4;
// Penalty for an engine of the other partition: roughly the cost of a late
// stream to its caller.
constexpr double kOtherPartitionPenaltyMs = 300;
// Penalty for a request that would make requests of other routes late, which
// share the engine.
constexpr double kDelaysOthersPenaltyMs = 1200;
// Interval at which the usual pace of a service is determined anew.
constexpr Duration kUsualPaceInterval = seconds(1);
// Interval at which the routes are classified and the engines assigned anew.
constexpr Duration kPartitionInterval = milliseconds(50);
// Upper bound of the random value added to each score, so that gateways with
// the same information do not all select the same server.
constexpr double kScoreJitterMs = 4;
// A load report older than this is ignored.
constexpr Duration kLoadReportTtl = seconds(2);
constexpr Duration kMinBlockLifetime = seconds(2);
// Part of an engine's memory that holds cached blocks; running requests take
// the rest.
constexpr double kCacheFraction = 0.7;
// Rounds of the load exchange in which a placement is sent, in case datagrams
// are lost. It is sent again when the fraction of the block's lifetime has
// passed.
constexpr double kPlacementRounds = 2.4;
constexpr double kPlacementRefreshFraction = 0.5;
// Servers remembered for each block.
constexpr std::size_t kMaxHolders = 4;
// Prefix blocks tracked per server before old ones are removed.
constexpr std::size_t kMaxTrackedBlocks = 4096;
// Blocks with known holders per service, as a multiple of that.
constexpr std::size_t kHolderBlocksFactor = 4;
// Probability that the first, second and third preferred server have cached a
// prompt that no gateway is known to have sent to them.
constexpr std::array<double, 3> kPreferredHitRates = {0.3, 0.1, 0.05};
// Pools of up to this size are evaluated completely; in larger ones only the
// preferred servers and a random sample.
constexpr std::size_t kMaxFullScanServers = 32;
constexpr int kRandomCandidates = 3;
// The same for a request that has no preferred servers although its service has
// servers of uneven speed.
constexpr int kRandomCandidatesWithoutAffinity = 6;
// A shared part of a prompt with fewer tokens than this does not determine the
// choice of a server of uneven speed: it is read in less time than the requests
// that share it would wait for slots of the few servers that have it.
constexpr int kMinAffinityTokens = 1000;
// Part of the slots of a server of uneven speed that requests of other gateways
// may have taken since they last reported.
constexpr double kUnseenSlotsFraction = 0.125;
// Random servers of the whole pool that are evaluated besides, first and if no
// server was found that can begin the request in time.
constexpr int kOutsideCandidates = 1;
constexpr int kMoreOutsideCandidates = 4;
// Part of an average prompt that an engine still prefills, on average, when a
// request of higher priority arrives.
constexpr double kBegunPromptFraction = 0.5;
constexpr double kPromptEwmaWeight = 0.05;
// Uncached prompt tokens that are reported to the other gateways immediately:
// as many as an engine prefills in one round of the load exchange.
constexpr int kHeavyPromptTokens = 2000;
// Weight of prefill time in the score, in addition to its part of the expected
// delay: prefilling a prompt again also delays later requests of the engine.
constexpr double kPrefillWorkWeight = 6;

// Weight of a new sample in the moving averages of slowness and error rate.
constexpr double kEwmaWeight = 0.25;
constexpr double kServiceTimeEwmaWeight = 0.05;
// Half-life of a server's slowness, so that a slow server is tried again.
constexpr Duration kSlownessHalfLife = seconds(4);
constexpr double kMaxSlowness = 20;
// A server is avoided for this long after a failed connection; the time doubles
// with each consecutive failure.
constexpr Duration kInitialAvoidTime = milliseconds(500);
constexpr int kMaxDoublings = 4;
// A server that refused a request for lack of capacity is avoided for this
// long.
constexpr Duration kRefusalAvoidTime = milliseconds(150);
// Upper bound of the time for which a server may want no requests.
constexpr Duration kMaxQuietTime = std::chrono::hours(24);
// Notices kept of servers whose records were removed.
constexpr std::size_t kMaxRemovedNotices = 4096;
// Penalty per unit of error rate above kToleratedErrorRate.
constexpr double kErrorPenaltyMs = 400;
// Error rates up to this do not affect the score.
constexpr double kToleratedErrorRate = 0.2;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

// @return the output that a request asks for; 0 if unknown.
int OutputTokens(const RequestProfile& profile) {
  return profile.generation == nullptr
             ? 0
             : profile.generation->expected_output_tokens.value_or(
                   profile.generation->max_output_tokens);
}

// @return the prompt tokens that an engine prefills before those of a new
// request at `level`. It serves higher priorities first, but finishes a prompt
// that it has begun.
double TokensAhead(const PendingTokens& pending,
                   int level,
                   double prompt_tokens) {
  const auto ahead = static_cast<double>(pending.AheadOf(level));
  return ahead + std::min(static_cast<double>(pending.Total()) - ahead,
                          kBegunPromptFraction * prompt_tokens);
}

// @return the rendezvous hashing weight of a server for a prefix block, which
// is the same at every gateway: the finalizer of SplitMix64 over both.
std::uint64_t RendezvousWeight(std::uint64_t block, std::uint64_t server_hash) {
  std::uint64_t weight = block * 0x9E3779B97F4A7C15U ^ server_hash;
  weight = (weight ^ (weight >> 30)) * 0xBF58476D1CE4E5B9U;
  weight = (weight ^ (weight >> 27)) * 0x94D049BB133111EBU;
  return weight ^ (weight >> 31);
}

// @return the last prefix block that is likely to be shared with other
// requests. It distinguishes sessions; the final block is unique to the
// request. `generation` must have a block.
std::uint64_t AffinityBlock(const GenerationRequest& generation) {
  const std::size_t count = generation.prompt.size();
  return generation.prompt[count > 1 ? count - 2 : 0].id;
}

}  // namespace

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  constexpr std::array<std::string_view, 8> kNames = {
      "answered",        "refused", "server_error", "connect_failed",
      "connection_lost", "stalled", "cancelled",    "truncated"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::string_view ServerUseName(ServerUse use) {
  constexpr std::array<std::string_view, kServerUses> kNames = {
      "usable", "avoided", "silent", "leaving", "quiet"};
  return kNames[static_cast<std::size_t>(use)];
}

std::string PoolState::Describe() const {
  std::string text;
  for (std::size_t i = 0; i < kServerUses; ++i) {
    if (this->servers[i] > 0) {
      text += fmt::format("{}{} {}", text.empty() ? "" : ", ", this->servers[i],
                          ServerUseName(static_cast<ServerUse>(i)));
    }
  }
  return text.empty() ? "no server is known" : text;
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
    // The assignment refers to servers by their index.
    pool.next_partition_update = TimePoint();
  }
  for (const ServerRecord& record : records) {
    const std::string key = ServerKey(record);
    present.insert(key);
    std::unique_ptr<Server>& server = this->servers[key];
    if (server == nullptr) {
      server = std::make_unique<Server>();
      server->key = key;
      server->key_hash = StableHash64(key);
      server->key_hash32 = StableHash32(key);
      server->id_hash = StableHash64(record.server_id);
      const auto notice = this->removed_notices.find(key);
      if (notice != this->removed_notices.end()) {
        server->notice = notice->second;
        this->removed_notices.erase(notice);
      }
      this->servers_by_hash[server->key_hash32] = server.get();
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
  std::vector<std::string> removed;
  for (auto it = this->servers.begin(); it != this->servers.end();) {
    if (present.count(it->first) > 0) {
      ++it;
      continue;
    }
    if (it->second->notice.at != TimePoint()) {
      this->removed_notices[it->first] = it->second->notice;
    }
    removed.push_back(it->first);
    this->Forget(*it->second);
    it = this->servers.erase(it);
  }
  return removed;
}

void Balancer::SetServices(
    const std::map<std::string, ServiceLimits>& services) {
  for (const auto& [name, limits] : services) {
    Pool& pool = this->pools[name];
    pool.partition.SetEventTokens(limits.event_tokens);
    pool.cache_tokens = limits.cache_tokens;
  }
}

Balancer::Server* Balancer::FindServer(const std::string& key) {
  const auto found = this->servers.find(key);
  return found == this->servers.end() ? nullptr : found->second.get();
}

int Balancer::UncachedTokens(const Pool& pool,
                             const Server& server,
                             const GenerationRequest& generation,
                             double hit_rate,
                             TimePoint now) {
  const std::vector<PromptBlock>& prompt = generation.prompt;
  // The blocks before a cached one are cached as well, since they are used
  // whenever it is.
  std::size_t known = prompt.size();
  for (; known > 0; --known) {
    const auto sent = server.sent_blocks.find(prompt[known - 1].id);
    if (sent != server.sent_blocks.end() &&
        now - sent->second.at < pool.block_lifetime) {
      break;
    }
  }
  double cached = 0;
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    const bool shared = i + 1 < prompt.size();
    cached += prompt[i].tokens * (i < known ? 1 : shared ? hit_rate : 0);
  }
  return static_cast<int>(
      std::max(0.0, generation.input_tokens - std::floor(cached)));
}

double Balancer::Slowness(const Server& server, TimePoint now) const {
  const double age = ToMs(now - server.slowness_at) / ToMs(kSlownessHalfLife);
  return 1 + (server.slowness - 1) * std::exp2(-std::max(0.0, age));
}

void Balancer::SetUneven(Pool& pool) {
  pool.uneven_speed = true;
  pool.partition.PlanForArrivals();
}

double Balancer::PaceOf(const Pool& pool, const Server& server, TimePoint now) {
  return pool.uneven_speed
             ? this->speed.Pace(server.key_hash32, pool.usual_pace, now) *
                   this->speed.HostFactor(server.key_hash32, now)
             : this->Slowness(server, now);
}

void Balancer::RecordSpeed(const Server& server,
                           const Choice& choice,
                           Duration elapsed,
                           TimePoint now) {
  const auto pool = this->pools.find(server.record.service);
  if (pool != this->pools.end() && pool->second.uneven_speed) {
    this->speed.Record(server.key_hash32, choice.nominal_ms,
                       ToMs(elapsed) - kIdleFirstByteMs, now);
  }
}

void Balancer::UpdateUsualPace(Pool& pool, TimePoint now) {
  if (!pool.uneven_speed || now < pool.next_usual_pace) {
    return;
  }
  pool.next_usual_pace = now + kUsualPaceInterval;
  std::vector<std::uint32_t> hashes;
  hashes.reserve(pool.servers.size());
  for (const Server* server : pool.servers) {
    hashes.push_back(server->key_hash32);
  }
  pool.usual_pace = this->speed.MedianPace(hashes, now);
}

double Balancer::NominalMs(const Pool& pool,
                           const Server& server,
                           const GatewayLoad& peer_load,
                           double tokens,
                           TimePoint now) const {
  double running = server.outstanding + peer_load.outstanding;
  if (server.load_report && now - server.load_report_at < kLoadReportTtl) {
    // Add the requests that this gateway has sent since the report.
    const int since = server.outstanding - server.outstanding_at_report;
    running =
        std::max<double>(running, server.load_report->running +
                                      server.load_report->waiting + since);
  }
  const int slots = std::max(1, server.record.slots);
  const double margin = pool.uneven_speed ? kUnseenSlotsFraction * slots : 0;
  const double waiting = std::max(0.0, running + 1 + margin - slots);
  return tokens / kPrefillTokensPerMs + kRunningRequestDelayMs * running +
         pool.service_time_ms / slots * waiting;
}

void Balancer::FillLoadMessage(LoadMessage& message, TimePoint now) {
  for (const auto& [key, server] : this->servers) {
    if (server->outstanding > 0) {
      message.server_loads.push_back(
          {server->key_hash32, server->outstanding, server->pending});
    }
  }
  for (auto& [service, pool] : this->pools) {
    std::vector<RouteDemand> demand = pool.partition.LocalDemand(now);
    if (!demand.empty()) {
      message.service_demands.push_back(
          {StableHash32(service), std::move(demand)});
    }
  }
  if (message.scope != LoadScope::kGateway) {
    this->peer_loads.AddGatewayLoads(message, now);
  }
  this->FillPlacements(message, now);
  message.speed_news =
      this->speed.NewsDue(message.scope != LoadScope::kGateway, now);
}

int Balancer::SlotsPerServer(const Pool& pool) const {
  return pool.servers.empty() ? 1
                              : std::max(1, pool.servers.front()->record.slots);
}

Balancer::Placement Balancer::PlaceRequest(Pool& pool,
                                           const RequestProfile& profile,
                                           TimePoint now) {
  Placement placement;
  placement.engines.own = {0, pool.servers.size()};
  placement.priority_level = profile.priority_level;
  placement.request_kb = static_cast<double>(profile.request_bytes) / 1024;
  placement.max_first_byte_time = profile.max_first_byte_time;
  if (profile.generation == nullptr) {
    return placement;
  }
  const std::vector<PromptBlock>& prompt = profile.generation->prompt;
  placement.generation = profile.generation;
  placement.unique_tokens =
      prompt.empty() ? profile.generation->input_tokens : prompt.back().tokens;
  this->UpdatePartition(pool, profile.service, now);
  this->UpdateUsualPace(pool, now);
  placement.engines = pool.partition.EnginesOf(profile.route);
  if (prompt.empty() ||
      (pool.uneven_speed &&
       placement.generation->input_tokens - placement.unique_tokens <
           kMinAffinityTokens)) {
    return placement;
  }
  FindPreferredServers(pool, placement, now);
  this->FindHolders(pool, placement);
  return placement;
}

void Balancer::UpdatePartition(Pool& pool,
                               const std::string& service,
                               TimePoint now) {
  if (now < pool.next_partition_update) {
    return;
  }
  pool.next_partition_update = now + kPartitionInterval;
  std::vector<RouteDemand> demand =
      this->peer_loads.TotalDemand(StableHash32(service), now);
  for (const RouteDemand& route : pool.partition.LocalDemand(now)) {
    demand.push_back(route);
  }
  pool.partition.Update(pool.servers.size(), this->SlotsPerServer(pool),
                        demand);
  double tokens_per_s = 0;
  for (const RouteDemand& route : demand) {
    tokens_per_s += route.tokens_per_s;
  }
  UpdateBlockLifetime(pool, tokens_per_s);
}

void Balancer::UpdateBlockLifetime(Pool& pool, double tokens_per_s) {
  if (pool.cache_tokens == 0 || tokens_per_s <= 0) {
    return;
  }
  const double lifetime_s =
      kCacheFraction * static_cast<double>(pool.cache_tokens) *
      static_cast<double>(pool.servers.size()) / tokens_per_s;
  pool.block_lifetime = std::clamp(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::min(lifetime_s, ToMs(kMaxBlockLifetime) / 1000))),
      Duration(kMinBlockLifetime), kMaxBlockLifetime);
}

void Balancer::FindHolders(const Pool& pool, Placement& placement) const {
  const auto found = pool.holders.find(AffinityBlock(*placement.generation));
  if (found == pool.holders.end()) {
    return;
  }
  for (const Server* holder : found->second) {
    const auto server = std::lower_bound(
        pool.servers.begin(), pool.servers.end(), holder->key_hash,
        [](const Server* a, std::uint64_t hash) { return a->key_hash < hash; });
    if (server != pool.servers.end() && *server == holder) {
      placement.holders.push_back(
          static_cast<std::size_t>(server - pool.servers.begin()));
    }
  }
}

bool Balancer::IsLocal(const Server& server) const {
  return server.record.failure_domain == this->options.failure_domain;
}

Balancer::Notice& Balancer::NoticeOf(const std::string& server_key,
                                     TimePoint now) {
  Server* const server = this->FindServer(server_key);
  if (server != nullptr) {
    server->notice.at = now;
    return server->notice;
  }
  if (this->removed_notices.size() >= kMaxRemovedNotices) {
    this->removed_notices.erase(std::min_element(
        this->removed_notices.begin(), this->removed_notices.end(),
        [](const auto& a, const auto& b) {
          return a.second.at < b.second.at;
        }));
  }
  Notice& notice = this->removed_notices[server_key];
  notice.at = now;
  return notice;
}

bool Balancer::OnServerLeaving(const std::string& server_key, TimePoint now) {
  return !std::exchange(this->NoticeOf(server_key, now).leaving, true);
}

void Balancer::OnServerQuiet(const std::string& server_key,
                             Duration quiet_time,
                             TimePoint now) {
  Notice& notice = this->NoticeOf(server_key, now);
  notice.quiet_until =
      std::max(notice.quiet_until, now + std::min(quiet_time, kMaxQuietTime));
}

bool Balancer::IsExpectedToRun(const std::string& server_key,
                               TimePoint now) const {
  const auto server = this->servers.find(server_key);
  return server != this->servers.end() &&
         UseOf(*server->second, now) != ServerUse::kLeaving;
}

ServerUse Balancer::UseOf(const Server& server, TimePoint now) {
  return server.record.leaving || server.notice.leaving ? ServerUse::kLeaving
         : now < server.notice.quiet_until              ? ServerUse::kQuiet
         : server.record.silent                         ? ServerUse::kSilent
         : now < server.avoid_until                     ? ServerUse::kAvoided
                                                        : ServerUse::kUsable;
}

bool Balancer::MayUse(const Server& server, TimePoint now) {
  const ServerUse use = UseOf(server, now);
  return use != ServerUse::kLeaving && use != ServerUse::kQuiet;
}

void Balancer::FindPreferredServers(const Pool& pool,
                                    Placement& placement,
                                    TimePoint now) {
  const std::uint64_t block = AffinityBlock(*placement.generation);
  std::vector<std::pair<std::uint64_t, std::size_t>> weights;
  const EngineRange& range = placement.engines.own;
  for (std::size_t i = range.begin; i < range.end; ++i) {
    const Server& server = *pool.servers[i];
    if (MayUse(server, now) && !server.record.silent) {
      weights.emplace_back(RendezvousWeight(block, server.id_hash), i);
    }
  }
  const std::size_t count = std::min(kPreferredHitRates.size(), weights.size());
  std::partial_sort(weights.begin(),
                    weights.begin() + static_cast<std::ptrdiff_t>(count),
                    weights.end(), std::greater<>());
  for (std::size_t i = 0; i < count; ++i) {
    placement.preferred_servers.push_back(weights[i].second);
  }
}

std::vector<std::size_t> Balancer::Sample(const Pool& pool,
                                          const Placement& placement,
                                          int outside) {
  const std::size_t size = pool.servers.size();
  std::vector<std::size_t> sample;
  if (size <= kMaxFullScanServers) {
    sample.resize(size);
    std::iota(sample.begin(), sample.end(), std::size_t{0});
    return sample;
  }
  sample = placement.preferred_servers;
  sample.insert(sample.end(), placement.holders.begin(),
                placement.holders.end());
  const EngineRange& range = placement.engines.own;
  const int random_candidates =
      pool.uneven_speed && placement.preferred_servers.empty()
          ? kRandomCandidatesWithoutAffinity
          : kRandomCandidates;
  for (int i = 0; i < random_candidates && range.Size() > 0; ++i) {
    sample.push_back(range.begin + this->random.Next() % range.Size());
  }
  for (int i = 0; i < outside; ++i) {
    sample.push_back(this->random.Next() % size);
  }
  return sample;
}

double Balancer::Score(const Server& server,
                       double expected_ms,
                       double read_ms,
                       double transfer_penalty_ms,
                       double partition_penalty_ms) {
  return expected_ms + kPrefillWorkWeight * read_ms +
         kScoreJitterMs * this->random.Unit() +
         kErrorPenaltyMs *
             std::max(0.0, server.error_rate - kToleratedErrorRate) +
         (this->IsLocal(server) ? 0 : transfer_penalty_ms) +
         partition_penalty_ms;
}

Balancer::Candidate Balancer::Evaluate(const Pool& pool,
                                       const Placement& placement,
                                       std::size_t index,
                                       TimePoint now) {
  const Server& server = *pool.servers[index];
  const bool in_partition = placement.engines.own.Contains(index);
  const bool delays_others = placement.engines.Delays(index);
  const auto preferred = std::find(placement.preferred_servers.begin(),
                                   placement.preferred_servers.end(), index);
  const double hit_rate =
      preferred == placement.preferred_servers.end()
          ? 0
          : kPreferredHitRates[static_cast<std::size_t>(
                preferred - placement.preferred_servers.begin())];
  const int uncached =
      placement.generation == nullptr
          ? 0
          : UncachedTokens(pool, server, *placement.generation, hit_rate, now);
  const GatewayLoad peer_load = this->peer_loads.Total(server.key_hash32, now);
  PendingTokens pending = server.pending;
  pending.Add(peer_load.pending);
  const double nominal_ms = this->NominalMs(
      pool, server, peer_load,
      TokensAhead(pending, placement.priority_level, pool.prompt_tokens) +
          uncached,
      now);
  const double pace = this->PaceOf(pool, server, now);
  // Paces that are learned leave out the constant part.
  const double expected_ms = pool.uneven_speed
                                 ? kIdleFirstByteMs + nominal_ms * pace
                                 : (kIdleFirstByteMs + nominal_ms) * pace;
  // Without learned paces, all servers are taken to read equally fast.
  const double read_ms_per_token =
      (pool.uneven_speed ? pace : 1) / kPrefillTokensPerMs;
  // Reading a cached prefix again takes the time from other requests.
  const double reread_ms =
      placement.holders.empty()
          ? 0
          : std::max(0, uncached - placement.unique_tokens) * read_ms_per_token;
  Candidate candidate;
  candidate.index = index;
  // A silent server is used only if no other one is usable.
  candidate.avoided = UseOf(server, now) != ServerUse::kUsable;
  candidate.score = this->Score(
      server, expected_ms, uncached * read_ms_per_token,
      kDomainPenaltyMs + kDomainPenaltyMsPerKb * placement.request_kb,
      delays_others   ? kDelaysOthersPenaltyMs
      : !in_partition ? kOtherPartitionPenaltyMs
                      : 0);
  candidate.in_time = !delays_others && FromMs(expected_ms + reread_ms) <=
                                            placement.max_first_byte_time;
  Choice& choice = candidate.choice;
  choice.priority_level = placement.priority_level;
  choice.server_key = server.key;
  choice.server_id = server.record.server_id;
  choice.address = server.record.address;
  choice.uncached_tokens = uncached;
  choice.expected_first_byte = FromMs(expected_ms);
  choice.prefill_time = FromMs(uncached * read_ms_per_token);
  choice.nominal_ms = nominal_ms;
  choice.running = server.outstanding + peer_load.outstanding;
  choice.pending_tokens = pending.Total();
  choice.slowness = pace;
  const bool holder =
      std::find(placement.holders.begin(), placement.holders.end(), index) !=
      placement.holders.end();
  choice.holders = static_cast<int>(placement.holders.size());
  choice.reason = candidate.avoided ? "no other server is usable"
                  : holder          ? "has the prompt prefix in its cache"
                  : !in_partition   ? "engines of the other partition are busy"
                  : preferred != placement.preferred_servers.end()
                      ? "preferred for the prompt prefix"
                      : "lowest expected delay";
  return candidate;
}

bool Balancer::Candidate::BetterThan(const Candidate& other) const {
  if (this->avoided != other.avoided) {
    return other.avoided;
  }
  if (this->in_time != other.in_time) {
    return this->in_time;
  }
  return this->score < other.score;
}

std::optional<Balancer::Candidate> Balancer::BestCandidate(
    const Pool& pool,
    const Placement& placement,
    const std::vector<std::size_t>& indices,
    const RequestProfile& profile,
    TimePoint now) {
  std::optional<Candidate> best;
  for (const std::size_t index : indices) {
    const Server& server = *pool.servers[index];
    if (!MayUse(server, now) ||
        std::find(profile.excluded.begin(), profile.excluded.end(),
                  server.key) != profile.excluded.end()) {
      continue;
    }
    Candidate candidate = this->Evaluate(pool, placement, index, now);
    if (!best || candidate.BetterThan(*best)) {
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
    const ServerUse use = UseOf(*server, now);
    ++state.servers[static_cast<std::size_t>(use)];
    if (use == ServerUse::kQuiet) {
      const Duration left = server->notice.quiet_until - now;
      state.quiet_time = std::min(state.quiet_time.value_or(left), left);
    }
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

std::optional<Choice> Balancer::Choose(const RequestProfile& profile,
                                       TimePoint now) {
  const auto found = this->pools.find(profile.service);
  if (found == this->pools.end()) {
    return std::nullopt;
  }
  Pool& pool = found->second;
  const Placement placement = this->PlaceRequest(pool, profile, now);
  std::optional<Candidate> best = this->BestCandidate(
      pool, placement, this->Sample(pool, placement, kOutsideCandidates),
      profile, now);
  if (best && !best->avoided && !best->in_time) {
    std::optional<Candidate> other = this->BestCandidate(
        pool, placement, this->Sample(pool, placement, kMoreOutsideCandidates),
        profile, now);
    if (other && other->BetterThan(*best)) {
      best = std::move(other);
    }
  }
  if (!best || best->avoided) {
    std::vector<std::size_t> all(pool.servers.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    best = this->BestCandidate(pool, placement, all, profile, now);
  }
  return best ? std::optional<Choice>(std::move(best->choice)) : std::nullopt;
}

void Balancer::RecordHolder(Pool& pool,
                            std::uint64_t block,
                            const Server& server) {
  std::vector<const Server*>& holders = pool.holders[block];
  holders.erase(std::remove(holders.begin(), holders.end(), &server),
                holders.end());
  holders.push_back(&server);
  if (holders.size() > kMaxHolders) {
    holders.erase(holders.begin());
  }
}

void Balancer::RecordPromptBlocks(Pool& pool,
                                  Server& server,
                                  const GenerationRequest& generation,
                                  TimePoint now) {
  if (generation.prompt.empty()) {
    return;
  }
  const Duration refresh =
      Scale(pool.block_lifetime, kPlacementRefreshFraction);
  for (std::size_t i = 0; i < generation.prompt.size(); ++i) {
    const std::uint64_t id = generation.prompt[i].id;
    SentBlock& sent = server.sent_blocks[id];
    sent.at = now;
    // The last block belongs to this request alone.
    if (i + 1 < generation.prompt.size() && now - sent.announced_at > refresh) {
      sent.announced_at = now;
      this->recent_placements.push_back({{id, server.key_hash32}, true, now});
    }
  }
  RecordHolder(pool, AffinityBlock(generation), server);
  DropOldBlocks(pool, server, now);
}

void Balancer::DropOldBlocks(Pool& pool, Server& server, TimePoint now) {
  if (server.sent_blocks.size() > kMaxTrackedBlocks) {
    for (auto it = server.sent_blocks.begin();
         it != server.sent_blocks.end();) {
      it = now - it->second.at > pool.block_lifetime / 2
               ? server.sent_blocks.erase(it)
               : std::next(it);
    }
  }
  if (pool.holders.size() > kMaxTrackedBlocks * kHolderBlocksFactor) {
    pool.holders.clear();
  }
}

void Balancer::SetExchangeInterval(Duration interval) {
  this->placement_repeat_time = Scale(interval, kPlacementRounds);
}

void Balancer::FillPlacements(LoadMessage& message, TimePoint now) {
  while (!this->recent_placements.empty() &&
         now - this->recent_placements.front().at >
             this->placement_repeat_time) {
    this->recent_placements.pop_front();
  }
  for (const RecentPlacement& recent : this->recent_placements) {
    if (recent.own || message.scope != LoadScope::kGateway) {
      message.placements.push_back(recent.placement);
    }
  }
}

void Balancer::OnPeerLoad(const LoadMessage& message, TimePoint now) {
  this->peer_loads.Update(message, now);
  this->speed.OnPeerNews(message.scope != LoadScope::kGateway,
                         message.scope != LoadScope::kGateway
                             ? message.failure_domain
                             : message.sender,
                         message.speed_news, now);
  for (const SpeedSum& sum : message.speed_news.sums) {
    const auto server = this->servers_by_hash.find(sum.server_hash);
    if (server != this->servers_by_hash.end()) {
      SetUneven(this->pools[server->second->record.service]);
    }
  }
  for (const PromptPlacement& placement : message.placements) {
    const auto found = this->servers_by_hash.find(placement.server_hash);
    if (found == this->servers_by_hash.end()) {
      continue;
    }
    Server& server = *found->second;
    Pool& pool = this->pools[server.record.service];
    SentBlock& sent = server.sent_blocks[placement.block];
    if (now - sent.announced_at <= this->placement_repeat_time * 2) {
      continue;  // A repetition.
    }
    sent = {now, now};
    RecordHolder(pool, placement.block, server);
    DropOldBlocks(pool, server, now);
    if (message.scope == LoadScope::kGateway) {
      this->recent_placements.push_back({placement, false, now});
    }
  }
}

void Balancer::Forget(const Server& server) {
  this->servers_by_hash.erase(server.key_hash32);
  this->speed.Forget(server.key_hash32);
  for (auto& [service, pool] : this->pools) {
    for (auto& [block, holders] : pool.holders) {
      holders.erase(std::remove(holders.begin(), holders.end(), &server),
                    holders.end());
    }
  }
}

void Balancer::OnSent(const Choice& choice,
                      const RequestProfile& profile,
                      TimePoint now) {
  if (profile.generation != nullptr) {
    Pool& pool = this->pools[profile.service];
    pool.partition.OnSent(
        profile.route,
        {profile.gap_target, profile.priority, choice.uncached_tokens,
         profile.target, OutputTokens(profile)},
        now);
    pool.prompt_tokens +=
        kPromptEwmaWeight * (choice.uncached_tokens - pool.prompt_tokens);
  }
  Server* const server = this->FindServer(choice.server_key);
  if (server == nullptr) {
    return;
  }
  ++server->outstanding;
  server->pending.Add(choice.priority_level, choice.uncached_tokens);
  if (choice.uncached_tokens >= kHeavyPromptTokens) {
    this->on_heavy_load();
  }
  if (profile.generation != nullptr) {
    this->RecordPromptBlocks(this->pools[profile.service], *server,
                             *profile.generation, now);
  }
}

void Balancer::OnRefused(const Choice& choice,
                         const RequestProfile& profile,
                         TimePoint now) {
  this->pools[profile.service].partition.OnRefused(
      profile.route,
      {profile.gap_target, profile.priority, choice.uncached_tokens,
       profile.target, OutputTokens(profile)},
      now);
}

void Balancer::OnFirstByte(const Choice& choice,
                           Duration elapsed,
                           TimePoint now) {
  Server* const server = this->FindServer(choice.server_key);
  if (server == nullptr) {
    return;
  }
  server->pending.Remove(choice.priority_level, choice.uncached_tokens);
  this->RecordSpeed(*server, choice, elapsed, now);
  const double ratio =
      std::clamp(ToMs(elapsed) / std::max(kIdleFirstByteMs,
                                          ToMs(choice.expected_first_byte)),
                 0.5, kMaxSlowness);
  const double before = this->Slowness(*server, now);
  server->slowness = std::max(1.0, before + kEwmaWeight * (ratio - before));
  server->slowness_at = now;
}

void Balancer::Avoid(Server& server, Duration duration, TimePoint now) {
  server.avoid_until = std::max(server.avoid_until, now + duration);
}

void Balancer::OnDone(const Choice& choice,
                      const RequestProfile& profile,
                      AttemptOutcome outcome,
                      bool first_byte_seen,
                      Duration elapsed,
                      TimePoint now) {
  Pool& pool = this->pools[profile.service];
  if (profile.generation != nullptr) {
    pool.partition.OnDone(profile.route, elapsed, now);
  }
  if (outcome == AttemptOutcome::kAnswered) {
    ++pool.answered;
    const double weight = pool.uneven_speed ? std::max(kServiceTimeEwmaWeight,
                                                       1.0 / pool.answered)
                                            : kServiceTimeEwmaWeight;
    pool.service_time_ms += weight * (ToMs(elapsed) - pool.service_time_ms);
  }
  Server* const server = this->FindServer(choice.server_key);
  if (server == nullptr) {
    return;
  }
  server->outstanding = std::max(0, server->outstanding - 1);
  if (!first_byte_seen) {
    server->pending.Remove(choice.priority_level, choice.uncached_tokens);
  }
  const bool unreachable = outcome == AttemptOutcome::kConnectFailed ||
                           outcome == AttemptOutcome::kConnectionLost;
  const bool error = unreachable || outcome == AttemptOutcome::kServerError ||
                     outcome == AttemptOutcome::kTruncated;
  if (outcome != AttemptOutcome::kCancelled &&
      outcome != AttemptOutcome::kRefused) {
    server->error_rate +=
        kEwmaWeight * ((error ? 1.0 : 0.0) - server->error_rate);
  }
  if (outcome == AttemptOutcome::kAnswered) {
    server->consecutive_connect_failures = 0;
  } else if (outcome == AttemptOutcome::kConnectFailed) {
    server->consecutive_connect_failures =
        std::min(server->consecutive_connect_failures + 1, kMaxDoublings + 1);
    this->Avoid(
        *server,
        kInitialAvoidTime * (1 << (server->consecutive_connect_failures - 1)),
        now);
  } else if (outcome == AttemptOutcome::kRefused) {
    this->Avoid(*server, kRefusalAvoidTime, now);
  } else if (outcome == AttemptOutcome::kStalled) {
    if (!first_byte_seen) {
      this->RecordSpeed(*server, choice, elapsed, now);
    }
    server->slowness = std::min(kMaxSlowness, this->Slowness(*server, now) * 2);
    server->slowness_at = now;
  }
}

void Balancer::OnLoadReport(const std::string& server_key,
                            const LoadReport& report,
                            TimePoint now) {
  Server* const server = this->FindServer(server_key);
  if (server != nullptr) {
    server->load_report = report;
    server->load_report_at = now;
    server->outstanding_at_report = server->outstanding;
    if (report.host_percent) {
      SetUneven(this->pools[server->record.service]);
      this->speed.RecordHostTime(server->key_hash32, *report.host_percent, now);
    }
  }
}

}  // namespace sycamorebend::gateway
