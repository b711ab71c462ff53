#include "gateway/load_exchange.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <msgpack.hpp>

#include "feed/replica_notice.h"

namespace sycamorebend::gateway {

namespace {

// The load of a gateway is dropped if no message arrives for this long.
constexpr Duration kPeerLoadTtl = milliseconds(1500);
// Interval between two rounds for up to kPeersPerInterval direct peers. It
// grows with the number of direct peers, which bounds the messages that each
// gateway receives per second: a small VM spends more on a message than on what
// it says.
constexpr Duration kRoundInterval = milliseconds(50);
constexpr std::size_t kPeersPerInterval = 12;
// The same for more than kMaxDirectGateways peers. The upper bound leaves two
// rounds until the load of a gateway is dropped.
constexpr Duration kRoundTimePerPeer = milliseconds(10);
constexpr Duration kMaxRoundInterval = milliseconds(700);
// Peers that are told of a long prompt at once, by turns, if there are more
// than kMaxDirectGateways. With so many, each of them sends few prompts to an
// engine.
constexpr std::size_t kEarlyPeers = 12;
// Minimum interval between messages sent outside of the rounds.
constexpr Duration kMinSendInterval = milliseconds(10);
// With more gateways than this, failure domains exchange sums.
constexpr std::size_t kMaxDirectGateways = 24;
// Number of sums that a failure domain sends to each other domain per round.
// With two of them, the loss of one datagram has no effect.
constexpr std::size_t kDomainSumsPerRound = 2;

// Upper bound of the gateways to which a message asks to be forwarded; keeps
// corrupt messages from causing many datagrams.
constexpr std::size_t kMaxForwards = 64;

// Server, outstanding requests, and pairs of priority level and pending tokens.
using EncodedLoad = std::tuple<std::uint32_t, int, std::vector<int>>;
// Upper bounds of what one message reports: of the tokens at one level, of the
// requests at one server, and of the requests, tokens and outstanding requests
// of a route. Keep sums of corrupt messages from overflowing, and smaller
// values from being lost in them.
constexpr int kMaxPendingTokens = 1 << 24;
constexpr int kMaxOutstanding = 1 << 20;
constexpr double kMaxDemand = 1e9;

// Route, requests per 1000 s, tokens per second, and thousandths of outstanding
// requests: integers are shorter than floating-point numbers.
using EncodedRoute =
    std::tuple<std::uint32_t, std::uint64_t, std::uint64_t, std::uint64_t>;
using EncodedDemand = std::tuple<std::uint32_t, std::vector<EncodedRoute>>;
using EncodedPlacement = std::tuple<std::uint64_t, std::uint32_t>;
using EncodedHashes = std::vector<std::uint64_t>;
// Server, request and parts.
using EncodedCandidate =
    std::tuple<std::uint32_t, std::uint64_t, EncodedHashes>;
// Server and request, whose response had begun.
using EncodedBegunCandidate = std::tuple<std::uint32_t, std::uint64_t>;
// Request, parts, crashes, findings, milliseconds of quarantine left, and
// whether it is only suspected.
using EncodedCause =
    std::tuple<std::uint64_t, EncodedHashes, int, int, std::uint32_t, bool>;
using EncodedNews = std::tuple<std::vector<EncodedCandidate>,
                               EncodedHashes,
                               std::vector<EncodedCause>,
                               std::vector<EncodedBegunCandidate>>;
// Members that are missing at the end are left empty, so that gateways of
// different releases understand each other.
using EncodedMessage = std::tuple<std::string,
                                  std::uint64_t,
                                  std::vector<EncodedLoad>,
                                  std::vector<EncodedDemand>,
                                  int,
                                  std::string,
                                  std::vector<EncodedPlacement>,
                                  EncodedNews,
                                  std::vector<std::string>>;
// Upper bound of the findings that a message reports for a cause; keeps corrupt
// messages from prolonging a quarantine without limit.
constexpr int kMaxFindings = 100;
constexpr Duration kMaxQuarantine = std::chrono::hours(6);

}  // namespace

namespace {

constexpr double kThousand = 1000;

std::uint64_t ToThousandths(double value) {
  return static_cast<std::uint64_t>(std::clamp(value, 0.0, kMaxDemand) *
                                    kThousand);
}

std::vector<int> EncodePending(const PendingTokens& pending) {
  std::vector<int> encoded;
  for (int level = 0; level < kPriorityLevels; ++level) {
    if (pending.At(level) > 0) {
      encoded.push_back(level);
      encoded.push_back(static_cast<int>(std::min<PendingTokens::Count>(
          pending.At(level), kMaxPendingTokens)));
    }
  }
  return encoded;
}

std::vector<EncodedRoute> EncodeRoutes(const std::vector<RouteDemand>& routes) {
  std::vector<EncodedRoute> encoded;
  encoded.reserve(routes.size());
  for (const RouteDemand& route : routes) {
    encoded.emplace_back(route.route_hash, ToThousandths(route.requests_per_s),
                         static_cast<std::uint64_t>(
                             std::clamp(route.tokens_per_s, 0.0, kMaxDemand)),
                         ToThousandths(route.outstanding));
  }
  return encoded;
}

std::vector<RouteDemand> DecodeRoutes(
    const std::vector<EncodedRoute>& encoded) {
  std::vector<RouteDemand> routes;
  routes.reserve(encoded.size());
  for (const auto& [hash, requests, tokens, outstanding] : encoded) {
    routes.push_back(
        {hash, std::min(static_cast<double>(requests) / kThousand, kMaxDemand),
         std::min(static_cast<double>(tokens), kMaxDemand),
         std::min(static_cast<double>(outstanding) / kThousand, kMaxDemand)});
  }
  return routes;
}

EncodedNews EncodeNews(const CrashNews& news) {
  EncodedNews encoded;
  for (const internal::CrashCandidate& candidate : news.candidates) {
    const std::uint64_t request = candidate.content.request;
    if (candidate.begun) {
      // Apart from the others, among which an earlier release would count them.
      std::get<3>(encoded).emplace_back(candidate.server, request);
    } else {
      std::get<0>(encoded).emplace_back(candidate.server, request,
                                        candidate.content.parts);
    }
  }
  std::get<1>(encoded) = news.cleared;
  for (const SharedCrashCause& shared : news.causes) {
    std::get<2>(encoded).emplace_back(
        shared.cause.request, shared.cause.parts, shared.cause.crashes,
        shared.cause.findings,
        static_cast<std::uint32_t>(ToMilliseconds(shared.time_left)),
        shared.cause.suspected);
  }
  return encoded;
}

CrashNews DecodeNews(const EncodedNews& encoded) {
  CrashNews news;
  const auto sorted = [](EncodedHashes hashes) {
    std::sort(hashes.begin(), hashes.end());
    return hashes;
  };
  for (const auto& [server, request, parts] : std::get<0>(encoded)) {
    news.candidates.push_back({server, {request, sorted(parts)}, false});
  }
  for (const auto& [server, request] : std::get<3>(encoded)) {
    news.candidates.push_back({server, {request, {}}, true});
  }
  news.cleared = std::get<1>(encoded);
  for (const auto& [request, parts, crashes, findings, left, suspected] :
       std::get<2>(encoded)) {
    SharedCrashCause shared;
    shared.cause.request = request;
    shared.cause.parts = sorted(parts);
    shared.cause.crashes = crashes;
    shared.cause.suspected = suspected;
    shared.cause.findings = std::clamp(findings, 1, kMaxFindings);
    shared.time_left = std::min<Duration>(milliseconds(left), kMaxQuarantine);
    news.causes.push_back(std::move(shared));
  }
  return news;
}

PendingTokens DecodePending(const std::vector<int>& encoded) {
  PendingTokens pending;
  for (std::size_t i = 0; i + 1 < encoded.size(); i += 2) {
    pending.Add(encoded[i], std::clamp(encoded[i + 1], 0, kMaxPendingTokens));
  }
  return pending;
}

}  // namespace

std::string EncodeLoadMessage(const LoadMessage& message) {
  EncodedMessage encoded(message.sender, message.sequence, {}, {},
                         static_cast<int>(message.scope),
                         message.failure_domain, {},
                         EncodeNews(message.crash_news), message.forward_to);
  for (const GatewayLoad& load : message.server_loads) {
    std::get<2>(encoded).emplace_back(load.server_hash, load.outstanding,
                                      EncodePending(load.pending));
  }
  for (const ServiceDemand& demand : message.service_demands) {
    std::get<3>(encoded).emplace_back(demand.service_hash,
                                      EncodeRoutes(demand.routes));
  }
  for (const PromptPlacement& placement : message.placements) {
    std::get<6>(encoded).emplace_back(placement.block, placement.server_hash);
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, encoded);
  return {buffer.data(), buffer.size()};
}

Result<LoadMessage> DecodeLoadMessage(std::string_view data) {
  LoadMessage message;
  try {
    const auto handle = msgpack::unpack(data.data(), data.size());
    const auto encoded = handle.get().as<EncodedMessage>();
    message.sender = std::get<0>(encoded);
    message.sequence = std::get<1>(encoded);
    const int scope = std::get<4>(encoded);
    if (scope < static_cast<int>(LoadScope::kGateway) ||
        scope > static_cast<int>(LoadScope::kDomain)) {
      return MakeError(ResultCode::kProtocolError,
                       fmt::format("load message of unknown scope {}", scope));
    }
    message.scope = static_cast<LoadScope>(scope);
    message.failure_domain = std::get<5>(encoded);
    for (const auto& [server, outstanding, pending] : std::get<2>(encoded)) {
      message.server_loads.push_back(
          {server, std::clamp(outstanding, 0, kMaxOutstanding),
           DecodePending(pending)});
    }
    for (const auto& [service, routes] : std::get<3>(encoded)) {
      message.service_demands.push_back({service, DecodeRoutes(routes)});
    }
    for (const auto& [block, server] : std::get<6>(encoded)) {
      message.placements.push_back({block, server});
    }
    message.crash_news = DecodeNews(std::get<7>(encoded));
    message.forward_to = std::get<8>(encoded);
    message.forward_to.resize(
        std::min(message.forward_to.size(), kMaxForwards));
  } catch (const std::exception& error) {
    return MakeError(ResultCode::kProtocolError, error.what());
  }
  return message;
}

void PeerLoads::AddToTotals(const Peer& peer, int sign) {
  for (const GatewayLoad& load : peer.server_loads) {
    const auto total = this->totals.try_emplace(load.server_hash).first;
    total->second.outstanding += sign * load.outstanding;
    total->second.pending.Add(load.pending, sign);
    if (total->second.outstanding == 0 && total->second.pending.Empty()) {
      this->totals.erase(total);
    }
  }
  for (const ServiceDemand& demand : peer.service_demands) {
    for (const RouteDemand& route : demand.routes) {
      RouteDemand& total =
          this->total_demands[demand.service_hash][route.route_hash];
      total.route_hash = route.route_hash;
      total.Add(route, sign);
    }
  }
}

void PeerLoads::Update(const LoadMessage& message, TimePoint now) {
  const bool domain = message.scope != LoadScope::kGateway;
  Peer& peer =
      this->peers[{domain, domain ? message.failure_domain : message.sender}];
  if (peer.sender == message.sender && message.sequence <= peer.sequence) {
    return;
  }
  this->AddToTotals(peer, -1);
  peer = {message.sender, message.sequence, now, message.server_loads,
          message.service_demands};
  this->AddToTotals(peer, 1);
  this->next_expiry = std::min(this->next_expiry, now + kPeerLoadTtl);
  this->Expire(now);
}

void PeerLoads::Expire(TimePoint now) {
  if (now < this->next_expiry) {
    return;
  }
  this->next_expiry = TimePoint::max();
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const TimePoint expiry = it->second.received_at + kPeerLoadTtl;
    if (now > expiry) {
      this->AddToTotals(it->second, -1);
      it = this->peers.erase(it);
      continue;
    }
    this->next_expiry = std::min(this->next_expiry, expiry);
    ++it;
  }
}

GatewayLoad PeerLoads::Total(std::uint32_t server, TimePoint now) {
  this->Expire(now);
  const auto total = this->totals.find(server);
  return total == this->totals.end() ? GatewayLoad{server, 0, {}}
                                     : total->second;
}

std::vector<RouteDemand> PeerLoads::TotalDemand(std::uint32_t service,
                                                TimePoint now) {
  this->Expire(now);
  std::vector<RouteDemand> demand;
  const auto totals = this->total_demands.find(service);
  if (totals != this->total_demands.end()) {
    for (const auto& [hash, total] : totals->second) {
      demand.push_back(total);
    }
  }
  return demand;
}

void PeerLoads::AddGatewayLoads(LoadMessage& message, TimePoint now) {
  this->Expire(now);
  PeerLoads sum;
  Peer own;
  own.server_loads.swap(message.server_loads);
  own.service_demands.swap(message.service_demands);
  sum.AddToTotals(own, 1);
  for (const auto& [key, peer] : this->peers) {
    if (!key.first) {
      sum.AddToTotals(peer, 1);
    }
  }
  for (const auto& [server, total] : sum.totals) {
    message.server_loads.push_back({server, total.outstanding, total.pending});
  }
  for (const auto& [service, routes] : sum.total_demands) {
    ServiceDemand demand;
    demand.service_hash = service;
    for (const auto& [hash, route] : routes) {
      demand.routes.push_back(route);
    }
    message.service_demands.push_back(std::move(demand));
  }
}

std::vector<std::string> ExchangePlan::RelaysForRound(
    std::uint64_t round) const {
  std::vector<std::string> relays;
  if (round % this->period != this->domain_index % this->period) {
    return relays;
  }
  // Selects another relay in each turn, so that all gateways relay equally
  // often.
  const std::uint64_t start = round / this->period + this->domain_index;
  for (const std::vector<std::string>& ips : this->domains) {
    // The senders of a domain in one round are about ips.size() /
    // kDomainSumsPerRound apart. The domains share that range, so that each
    // relay gets one sum.
    const std::uint64_t offset = this->domain_rank * ips.size() /
                                 (this->domain_count * kDomainSumsPerRound);
    relays.push_back(ips[(start + offset) % ips.size()]);
  }
  return relays;
}

ExchangePlan PlanExchange(const ExchangePeer& self,
                          const std::vector<ExchangePeer>& gateways) {
  ExchangePlan plan;
  const bool relayed = gateways.size() > kMaxDirectGateways;
  std::map<std::string, std::vector<std::string>> domains;
  for (const ExchangePeer& gateway : gateways) {
    const bool own = gateway.failure_domain == self.failure_domain;
    if (relayed && !own) {
      domains[gateway.failure_domain].push_back(gateway.ip);
    } else if (gateway.ip != self.ip) {
      plan.direct.push_back(gateway.ip);
    }
  }
  for (auto& [domain, ips] : domains) {
    std::sort(ips.begin(), ips.end());
    plan.domains.push_back(std::move(ips));
  }
  std::set<std::string> names{self.failure_domain};
  for (const ExchangePeer& gateway : gateways) {
    names.insert(gateway.failure_domain);
  }
  plan.domain_count = names.size();
  plan.domain_rank = static_cast<std::uint64_t>(
      std::distance(names.begin(), names.find(self.failure_domain)));
  std::sort(plan.direct.begin(), plan.direct.end());
  plan.domain_index = static_cast<std::uint64_t>(
      std::lower_bound(plan.direct.begin(), plan.direct.end(), self.ip) -
      plan.direct.begin());
  plan.period = std::max<std::uint64_t>(
      1, (plan.direct.size() + 1) / kDomainSumsPerRound);
  return plan;
}

std::vector<RelayBranch> SplitRecipients(std::vector<std::string> ips,
                                         std::uint64_t turn) {
  std::vector<RelayBranch> branches;
  if (ips.empty()) {
    return branches;
  }
  std::rotate(ips.begin(),
              ips.begin() + static_cast<std::ptrdiff_t>(turn % ips.size()),
              ips.end());
  const auto count = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(ips.size()))));
  for (std::size_t i = 0; i < ips.size(); ++i) {
    if (i < count) {
      branches.push_back({std::move(ips[i]), {}});
    } else {
      branches[i % count].forward_to.push_back(std::move(ips[i]));
    }
  }
  return branches;
}

Duration RoundInterval(std::size_t direct_peers) {
  if (direct_peers <= kMaxDirectGateways) {
    const std::size_t intervals =
        (direct_peers + kPeersPerInterval - 1) / kPeersPerInterval;
    return kRoundInterval * std::max<std::size_t>(1, intervals);
  }
  return std::min(kMaxRoundInterval,
                  kRoundTimePerPeer * static_cast<int>(direct_peers));
}

std::vector<std::string> EarlyPeers(const std::vector<std::string>& peers,
                                    std::uint64_t turn) {
  if (peers.size() <= kMaxDirectGateways) {
    return peers;
  }
  std::vector<std::string> selected;
  selected.reserve(kEarlyPeers);
  for (std::size_t i = 0; i < kEarlyPeers; ++i) {
    selected.push_back(peers[(turn * kEarlyPeers + i) % peers.size()]);
  }
  return selected;
}

LoadExchange::LoadExchange(net::EventLoop& loop,
                           const std::string& address,
                           std::string failure_domain,
                           LoadSource source,
                           MessageSink sink)
    : loop(loop),
      self{address.substr(0, address.find(':')), std::move(failure_domain)},
      port(address.substr(address.find(':'))),
      sender(RandomId().substr(0, 8)),
      source(std::move(source)),
      sink(std::move(sink)) {}

Result<std::unique_ptr<LoadExchange>> LoadExchange::Start(
    net::EventLoop& loop,
    const std::string& address,
    const std::string& failure_domain,
    LoadSource source,
    MessageSink sink) {
  std::unique_ptr<LoadExchange> exchange(new LoadExchange(
      loop, address, failure_domain, std::move(source), std::move(sink)));
  LoadExchange* const raw = exchange.get();
  BOOST_OUTCOME_TRY(
      socket,
      net::DatagramSocket::Bind(
          loop, address, [raw](std::string_view data, const sockaddr_in& from) {
            raw->Receive(data, from);
          }));
  exchange->socket = std::move(socket);
  exchange->timer =
      loop.SubscribePeriodic(kRoundInterval, [raw] { raw->SendRound(); });
  return exchange;
}

LoadExchange::~LoadExchange() {
  this->loop.Cancel(this->timer);
}

void LoadExchange::SetGateways(const std::vector<ExchangePeer>& gateways) {
  this->plan = PlanExchange(this->self, gateways);
}

void LoadExchange::Receive(std::string_view data, const sockaddr_in& from) {
  if (internal::IsReplicaDatagram(data)) {
    if (this->handle_datagram) {
      this->handle_datagram(data, from);
    }
    return;
  }
  Result<LoadMessage> message = DecodeLoadMessage(data);
  if (!message) {
    LogEvent(Severity::kWarning, Event::kReportRejected,
             {{"source", "gateway load message"},
              {"reason", message.error().message}});
    return;
  }
  this->sink(message.value());
  if (message.value().scope == LoadScope::kDomainToRelay) {
    this->RelayInDomain(std::move(message.value()));
  } else if (!message.value().forward_to.empty()) {
    this->Forward(std::move(message.value()));
  }
}

void LoadExchange::RelayInDomain(LoadMessage message) {
  message.scope = LoadScope::kDomain;
  for (RelayBranch& branch :
       SplitRecipients(this->plan.direct, ++this->relay_turns)) {
    message.forward_to = std::move(branch.forward_to);
    this->socket->Send(branch.ip + this->port, EncodeLoadMessage(message));
  }
}

void LoadExchange::Forward(LoadMessage message) {
  std::vector<std::string> ips;
  for (std::string& ip : message.forward_to) {
    // Only to known gateways, whatever a datagram asks for.
    if (std::binary_search(this->plan.direct.begin(), this->plan.direct.end(),
                           ip)) {
      ips.push_back(std::move(ip));
    }
  }
  message.forward_to.clear();
  this->SendTo(ips, message);
}

void LoadExchange::SendTo(const std::vector<std::string>& ips,
                          const LoadMessage& message) {
  const std::string data = EncodeLoadMessage(message);
  for (const std::string& ip : ips) {
    this->socket->Send(ip + this->port, data);
  }
}

void LoadExchange::SendEarly() {
  const TimePoint now = this->loop.Now();
  if (now < this->next_gateway_load_at) {
    return;
  }
  this->next_gateway_load_at = now + kMinSendInterval;
  this->SendLoad(LoadScope::kGateway,
                 EarlyPeers(this->plan.direct, ++this->early_turns));
}

void LoadExchange::SendRound() {
  const TimePoint now = this->loop.Now();
  if (now < this->next_round) {
    return;
  }
  this->next_round =
      now + RoundInterval(this->plan.direct.size()) - kRoundInterval / 2;
  this->SendGatewayLoad(now);
  this->SendLoad(LoadScope::kDomainToRelay,
                 this->plan.RelaysForRound(++this->rounds));
}

void LoadExchange::SendGatewayLoad(TimePoint now) {
  this->next_gateway_load_at = now + kMinSendInterval;
  this->SendLoad(LoadScope::kGateway, this->plan.direct);
}

void LoadExchange::SendLoad(LoadScope scope,
                            const std::vector<std::string>& ips) {
  if (ips.empty()) {
    return;
  }
  LoadMessage message;
  message.sender = this->sender;
  message.sequence = ++this->sequence;
  message.scope = scope;
  message.failure_domain = this->self.failure_domain;
  this->source(message);
  // Only the first message without load is sent: it clears this gateway's load
  // at the peers, where the entry expires later.
  bool& idle = this->idle_announced[scope];
  if (message.server_loads.empty() && message.crash_news.Empty() && idle) {
    return;
  }
  idle = message.server_loads.empty();
  this->SendTo(ips, message);
}

}  // namespace sycamorebend::gateway
