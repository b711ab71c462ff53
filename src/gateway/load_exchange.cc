#include "gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include <msgpack.hpp>

namespace sycamorebend::gateway {

namespace {

// A gateway that said nothing for this long is taken to have nothing.
constexpr Duration kMaxAge = milliseconds(1500);
// Pause between two rounds of messages to a few gateways; it grows with their
// number, so that the messages that each receives in a second do not.
constexpr Duration kRound = milliseconds(50);
constexpr std::size_t kFewPeers = 36;

using EncodedShare = std::tuple<std::uint32_t, int, int>;
using EncodedNeed = std::tuple<std::uint32_t, double, double>;
using EncodedMessage = std::tuple<std::string,
                                  std::uint64_t,
                                  std::vector<EncodedShare>,
                                  std::vector<EncodedNeed>>;

}  // namespace

std::uint32_t ServerCode(const std::string& server_key) {
  return static_cast<std::uint32_t>(StableHash64(server_key));
}

std::string EncodeLoadMessage(const LoadMessage& message) {
  EncodedMessage encoded(message.sender, message.sequence, {}, {});
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

void PeerLoads::Take(const LoadMessage& message, TimePoint now) {
  Peer& peer = this->peers[message.sender];
  if (message.sequence <= peer.sequence) {
    return;
  }
  peer.sequence = message.sequence;
  peer.at = now;
  peer.shares.clear();
  for (const LoadShare& share : message.shares) {
    peer.shares[share.server] = share;
  }
  peer.needs.clear();
  for (const NeedShare& share : message.needs) {
    peer.needs[share.service] = share.need;
  }
  for (auto one = this->peers.begin(); one != this->peers.end();) {
    one = now - one->second.at > kMaxAge ? this->peers.erase(one)
                                         : std::next(one);
  }
}

LoadShare PeerLoads::Total(std::uint32_t server, TimePoint now) const {
  LoadShare total;
  total.server = server;
  for (const auto& [sender, peer] : this->peers) {
    const auto share = peer.shares.find(server);
    if (share != peer.shares.end() && now - peer.at <= kMaxAge) {
      total.outstanding += share->second.outstanding;
      total.pending_tokens += share->second.pending_tokens;
    }
  }
  return total;
}

LaneNeed PeerLoads::TotalNeed(std::uint32_t service, TimePoint now) const {
  LaneNeed total;
  for (const auto& [sender, peer] : this->peers) {
    const auto need = peer.needs.find(service);
    if (need != peer.needs.end() && now - peer.at <= kMaxAge) {
      total.short_prompts += need->second.short_prompts;
      total.long_prompts += need->second.long_prompts;
    }
  }
  return total;
}

LoadExchange::LoadExchange(net::EventLoop& loop,
                           std::string address,
                           LoadSource source,
                           MessageSink sink)
    : loop(loop),
      address(std::move(address)),
      sender(RandomId().substr(0, 8)),
      source(std::move(source)),
      sink(std::move(sink)) {}

Result<std::unique_ptr<LoadExchange>> LoadExchange::Start(
    net::EventLoop& loop,
    const std::string& address,
    LoadSource source,
    MessageSink sink) {
  std::unique_ptr<LoadExchange> exchange(
      new LoadExchange(loop, address, std::move(source), std::move(sink)));
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

void LoadExchange::SetPeers(std::vector<std::string> ips) {
  const std::string port = this->address.substr(this->address.find(':'));
  this->peers.clear();
  for (const std::string& ip : ips) {
    if (ip + port != this->address) {
      this->peers.push_back(ip + port);
    }
  }
}

void LoadExchange::Receive(std::string_view data) {
  const Result<LoadMessage> message = DecodeLoadMessage(data);
  if (!message) {
    LogEvent(Severity::kWarning, Event::kReportRejected,
             {{"source", "load of another gateway"},
              {"reason", message.error().message}});
    return;
  }
  this->sink(message.value());
}

void LoadExchange::SendRound() {
  const TimePoint now = this->loop.Now();
  if (now < this->next_round) {
    return;
  }
  this->next_round = now + kRound * (this->peers.size() / kFewPeers);
  LoadMessage message;
  message.sender = this->sender;
  message.sequence = ++this->sequence;
  this->source(message);
  // One message says that nothing is left; silence says the same afterwards.
  if (message.shares.empty() && std::exchange(this->said_idle, true)) {
    return;
  }
  this->said_idle = message.shares.empty();
  const std::string data = EncodeLoadMessage(message);
  for (const std::string& peer : this->peers) {
    this->socket->Send(peer, data);
  }
}

}  // namespace sycamorebend::gateway
