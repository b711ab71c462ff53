#include "gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <msgpack.hpp>

namespace sycamorebend::gateway {

namespace {

// A gateway that said nothing for this long is taken to have nothing.
constexpr Duration kMaxAge = milliseconds(1500);
// Pause between two rounds of messages to a few gateways; it grows with their
// number, so that the messages that each receives in a second do not.
constexpr Duration kRound = milliseconds(50);
constexpr std::size_t kFewPeers = 36;
// Pause between two messages to the same gateways outside the rounds.
constexpr Duration kShortestPause = milliseconds(10);
// More gateways than these exchange sums of their failure domains.
constexpr std::size_t kMaxDirectGateways = 24;
// Sums that a failure domain sends in each round: one may be lost unnoticed.
constexpr std::size_t kSumsPerRound = 2;

using EncodedShare = std::tuple<std::uint32_t, int, int>;
using EncodedNeed = std::tuple<std::uint32_t, double, double>;
using EncodedMessage = std::tuple<std::string,
                                  std::uint64_t,
                                  std::vector<EncodedShare>,
                                  std::vector<EncodedNeed>,
                                  int,
                                  std::string>;

}  // namespace

std::uint32_t ServerCode(const std::string& server_key) {
  return static_cast<std::uint32_t>(StableHash64(server_key));
}

std::string EncodeLoadMessage(const LoadMessage& message) {
  EncodedMessage encoded(message.sender, message.sequence, {}, {},
                         static_cast<int>(message.scope),
                         message.failure_domain);
  for (const LoadShare& share : message.shares) {
    std::get<2>(encoded).emplace_back(share.server, share.outstanding,
                                      share.pending_tokens);
  }
  for (const NeedShare& share : message.needs) {
    std::get<3>(encoded).emplace_back(share.service, share.need.short_prompts,
                                      share.need.long_prompts);
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
    for (const auto& [server, outstanding, tokens] : std::get<2>(encoded)) {
      message.shares.push_back(
          {server, std::max(0, outstanding), std::max(0, tokens)});
    }
    for (const auto& [service, short_need, long_need] : std::get<3>(encoded)) {
      message.needs.push_back(
          {service, {std::max(0.0, short_need), std::max(0.0, long_need)}});
    }
  } catch (const std::exception& error) {
    return MakeError(ResultCode::kProtocolError, error.what());
  }
  return message;
}

void PeerLoads::Count(const Peer& peer, int sign) {
  for (const LoadShare& share : peer.shares) {
    const auto total = this->totals.try_emplace(share.server).first;
    total->second.outstanding += sign * share.outstanding;
    total->second.pending_tokens += sign * share.pending_tokens;
    if (total->second.outstanding == 0 && total->second.pending_tokens == 0) {
      this->totals.erase(total);
    }
  }
  for (const NeedShare& share : peer.needs) {
    LaneNeed& total = this->total_needs[share.service];
    total.short_prompts += sign * share.need.short_prompts;
    total.long_prompts += sign * share.need.long_prompts;
  }
}

void PeerLoads::Take(const LoadMessage& message, TimePoint now) {
  const bool domain = message.scope != LoadScope::kGateway;
  Peer& peer =
      this->peers[{domain, domain ? message.failure_domain : message.sender}];
  if (peer.sender == message.sender && message.sequence <= peer.sequence) {
    return;
  }
  this->Count(peer, -1);
  peer = {message.sender, message.sequence, now, message.shares, message.needs};
  this->Count(peer, 1);
  this->next_expiry = std::min(this->next_expiry, now + kMaxAge);
  this->Expire(now);
}

void PeerLoads::Expire(TimePoint now) {
  if (now < this->next_expiry) {
    return;
  }
  this->next_expiry = TimePoint::max();
  for (auto one = this->peers.begin(); one != this->peers.end();) {
    const TimePoint expiry = one->second.at + kMaxAge;
    if (now > expiry) {
      this->Count(one->second, -1);
      one = this->peers.erase(one);
      continue;
    }
    this->next_expiry = std::min(this->next_expiry, expiry);
    ++one;
  }
}

LoadShare PeerLoads::Total(std::uint32_t server, TimePoint now) {
  this->Expire(now);
  const auto total = this->totals.find(server);
  return total == this->totals.end() ? LoadShare{server, 0, 0} : total->second;
}

LaneNeed PeerLoads::TotalNeed(std::uint32_t service, TimePoint now) {
  this->Expire(now);
  const auto total = this->total_needs.find(service);
  if (total == this->total_needs.end()) {
    return {};
  }
  return {std::max(0.0, total->second.short_prompts),
          std::max(0.0, total->second.long_prompts)};
}

void PeerLoads::AddGateways(LoadMessage& message, TimePoint now) {
  this->Expire(now);
  PeerLoads sum;
  Peer own;
  own.shares.swap(message.shares);
  own.needs.swap(message.needs);
  sum.Count(own, 1);
  for (const auto& [key, peer] : this->peers) {
    if (!key.first) {
      sum.Count(peer, 1);
    }
  }
  for (const auto& [server, total] : sum.totals) {
    message.shares.push_back({server, total.outstanding, total.pending_tokens});
  }
  for (const auto& [service, need] : sum.total_needs) {
    message.needs.push_back({service, need});
  }
}

std::vector<std::string> ExchangePlan::Relays(std::uint64_t round) const {
  std::vector<std::string> relays;
  if (round % this->period != this->turn % this->period) {
    return relays;
  }
  // Each turn meets another gateway, so that none passes on more than others.
  const std::uint64_t start = round / this->period + this->turn;
  for (const std::vector<std::string>& ips : this->domains) {
    relays.push_back(ips[start % ips.size()]);
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
  std::sort(plan.direct.begin(), plan.direct.end());
  plan.turn = static_cast<std::uint64_t>(
      std::lower_bound(plan.direct.begin(), plan.direct.end(), self.ip) -
      plan.direct.begin());
  plan.period =
      std::max<std::uint64_t>(1, (plan.direct.size() + 1) / kSumsPerRound);
  return plan;
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
  BOOST_OUTCOME_TRY(socket, net::DatagramSocket::Bind(
                                loop, address, [raw](std::string_view data) {
                                  raw->Receive(data);
                                }));
  exchange->socket = std::move(socket);
  exchange->timer = loop.SubscribePeriodic(kRound, [raw] { raw->SendRound(); });
  return exchange;
}

LoadExchange::~LoadExchange() {
  this->loop.Cancel(this->timer);
}

void LoadExchange::SetGateways(const std::vector<ExchangePeer>& gateways) {
  this->plan = PlanExchange(this->self, gateways);
}

void LoadExchange::Receive(std::string_view data) {
  Result<LoadMessage> message = DecodeLoadMessage(data);
  if (!message) {
    LogEvent(Severity::kWarning, Event::kReportRejected,
             {{"source", "load of another gateway"},
              {"reason", message.error().message}});
    return;
  }
  this->sink(message.value());
  if (message.value().scope == LoadScope::kDomainToRelay) {
    this->PassOn(std::move(message.value()));
  }
}

void LoadExchange::PassOn(LoadMessage message) {
  message.scope = LoadScope::kDomain;
  this->SendTo(this->plan.direct, message);
}

void LoadExchange::SendTo(const std::vector<std::string>& ips,
                          const LoadMessage& message) {
  const std::string data = EncodeLoadMessage(message);
  for (const std::string& ip : ips) {
    this->socket->Send(ip + this->port, data);
  }
}

void LoadExchange::SendSoon() {
  const TimePoint now = this->loop.Now();
  if (now >= this->next_own) {
    this->SendOwn(now);
  }
}

void LoadExchange::SendRound() {
  const TimePoint now = this->loop.Now();
  if (now < this->next_round) {
    return;
  }
  this->next_round = now + kRound * (this->plan.direct.size() / kFewPeers);
  this->SendOwn(now);
  this->SendLoad(LoadScope::kDomainToRelay, this->plan.Relays(++this->rounds));
}

void LoadExchange::SendOwn(TimePoint now) {
  this->next_own = now + kShortestPause;
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
  // One message says that nothing is left; silence says the same afterwards.
  bool& idle = this->said_idle[scope];
  if (message.shares.empty() && idle) {
    return;
  }
  idle = message.shares.empty();
  this->SendTo(ips, message);
}

}  // namespace sycamorebend::gateway
