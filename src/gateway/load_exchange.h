// Gateways exchange the load that each of them places on the backend servers,
// so that each gateway knows the total load and not only its own.
#ifndef SYCAMOREBEND_SRC_GATEWAY_LOAD_EXCHANGE_H_
#define SYCAMOREBEND_SRC_GATEWAY_LOAD_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/engine_partition.h"
#include "gateway/pending_tokens.h"
#include "net/datagram_socket.h"
#include "net/event_loop.h"
#include "routing/crash_tracker.h"
#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

// Load of one gateway on one backend server.
struct GatewayLoad {
  std::uint32_t server_hash = 0;  // StableHash32 of the server key.
  int outstanding = 0;
  // Prompt tokens of requests that have not received their first byte.
  PendingTokens pending;
};

// A prompt block that was sent to a server, which has it in its cache from then
// on.
struct PromptPlacement {
  std::uint64_t block = 0;
  std::uint32_t server_hash = 0;  // StableHash32 of the server key.
};

// Load of one gateway on the engines of one service.
struct ServiceDemand {
  std::uint32_t service_hash = 0;  // StableHash32 of the service name.
  std::vector<RouteDemand> routes;
};

// Whose load a message carries, and whether the receiver relays it.
enum class LoadScope {
  kGateway = 0,        // Load of the sending gateway.
  kDomainToRelay = 1,  // Load of a failure domain; the receiver relays it.
  kDomain = 2,         // Load of a failure domain, already relayed.
};

struct SharedCrashCause {
  internal::CrashCause cause;  // Without the end of its quarantine.
  Duration time_left{0};       // Of the quarantine.
};

// What a gateway knows of crashes, for the others.
struct CrashNews {
  // Requests that were running on a server that crashed.
  std::vector<internal::CrashCandidate> candidates;
  // Hashes of candidates that servers have run without a crash.
  std::vector<std::uint64_t> cleared;
  std::vector<SharedCrashCause> causes;

  bool Empty() const {
    return this->candidates.empty() && this->cleared.empty() &&
           this->causes.empty();
  }
};

// Datagram that gateways send to each other.
struct LoadMessage {
  std::string sender;  // Random; changes with each restart of the process.
  std::uint64_t sequence = 0;
  LoadScope scope = LoadScope::kGateway;
  std::string failure_domain;  // Of the sender.
  std::vector<GatewayLoad> server_loads;
  std::vector<ServiceDemand> service_demands;
  std::vector<PromptPlacement> placements;  // Recent ones only.
  CrashNews crash_news;
  // IPs of the gateways to which the receiver forwards the message.
  std::vector<std::string> forward_to;
};

std::string EncodeLoadMessage(const LoadMessage& message);
// @return the message, or kProtocolError if `data` is not an encoded message.
Result<LoadMessage> DecodeLoadMessage(std::string_view data);

// Latest message of each other gateway and failure domain, and their totals. No
// threads, no I/O; the current time is passed in.
class PeerLoads {
 public:
  // Ignores duplicate and out-of-order messages of the same sender.
  void Update(const LoadMessage& message, TimePoint now);
  // @return the load of all other gateways on the server.
  GatewayLoad Total(std::uint32_t server, TimePoint now);
  // @return the load of all other gateways on the service, by route.
  std::vector<RouteDemand> TotalDemand(std::uint32_t service, TimePoint now);
  // Adds the load of each gateway known by its own kGateway message to
  // `message`; relayed loads of failure domains are left out.
  void AddGatewayLoads(LoadMessage& message, TimePoint now);

 private:
  struct Peer {
    std::string sender;
    std::uint64_t sequence = 0;
    TimePoint received_at;
    std::vector<GatewayLoad> server_loads;
    std::vector<ServiceDemand> service_demands;
  };
  // Whether the peer is a failure domain, and the name of the domain or sender.
  using PeerKey = std::pair<bool, std::string>;

  // Adds `sign` times the peer's load to the totals.
  void AddToTotals(const Peer& peer, int sign);
  void Expire(TimePoint now);

  std::map<PeerKey, Peer> peers;
  std::unordered_map<std::uint32_t, GatewayLoad> totals;
  // By service, then by route.
  std::unordered_map<std::uint32_t, std::map<std::uint32_t, RouteDemand>>
      total_demands;
  TimePoint next_expiry;
};

// Address and failure domain of a gateway in the exchange.
struct ExchangePeer {
  std::string ip;
  std::string failure_domain;
};

// Recipients of one gateway's messages. Up to kMaxDirectGateways gateways send
// to each other directly. More of them do so only within their failure domain,
// and take turns in sending the sum of their domain to one gateway of each
// other domain, which relays it within its own domain. This keeps both the
// traffic between domains and the traffic of each gateway from growing
// quadratically with the number of gateways.
struct ExchangePlan {
  std::vector<std::string> direct;  // IPs that receive this gateway's load.
  // IPs of the gateways of each other failure domain; empty if all gateways are
  // in `direct`.
  std::vector<std::vector<std::string>> domains;
  // Index of this gateway among those of its domain. It sends the sum of the
  // domain in the rounds that equal it modulo `period`.
  std::uint64_t domain_index = 0;
  std::uint64_t period = 1;  // Number of rounds between two turns.
  // Index of the own failure domain among all, and their number.
  std::uint64_t domain_rank = 0;
  std::uint64_t domain_count = 1;

  // @return IPs of the relays that receive the sum of the domain in `round`.
  std::vector<std::string> RelaysForRound(std::uint64_t round) const;
};

// @param gateways all gateways, including `self`.
ExchangePlan PlanExchange(const ExchangePeer& self,
                          const std::vector<ExchangePeer>& gateways);

// @return the time between two messages of a gateway to each of its direct
// peers, not counting those sent early.
Duration RoundInterval(std::size_t direct_peers);

// @return the peers that receive the load of a long prompt without waiting for
// the next round: all of a few peers, otherwise some of them by turns.
std::vector<std::string> EarlyPeers(const std::vector<std::string>& peers,
                                    std::uint64_t turn);

// One datagram of a relay: the gateway that gets it, and those to which that
// one forwards it.
struct RelayBranch {
  std::string ip;
  std::vector<std::string> forward_to;
};

// Splits the recipients of a relayed message into about as many branches as
// each has members, so that no gateway sends more than a few datagrams: sums of
// a large pool fill the link of a small VM for a fifth of a second otherwise,
// and requests wait behind them.
// @param turn selects the gateways that forward.
std::vector<RelayBranch> SplitRecipients(std::vector<std::string> ips,
                                         std::uint64_t turn);

// Sends this gateway's load to the other gateways and receives theirs.
class LoadExchange {
 public:
  // Sets `server_loads` and `service_demands` according to the scope of the
  // message.
  using LoadSource = std::function<void(LoadMessage&)>;
  using MessageSink = std::function<void(const LoadMessage&)>;

  // @param address "IP:port" of the UDP socket; all gateways use the same port.
  // @return the exchange, or kListenFailed.
  static Result<std::unique_ptr<LoadExchange>> Start(
      net::EventLoop& loop,
      const std::string& address,
      const std::string& failure_domain,
      LoadSource source,
      MessageSink sink);
  ~LoadExchange();

  // Receives the datagrams of other kinds that arrive at the address.
  using DatagramHandler =
      std::function<void(std::string_view data, const sockaddr_in& from)>;
  void SetDatagramHandler(DatagramHandler handler) {
    this->handle_datagram = std::move(handler);
  }
  // Sends a datagram of another kind to a gateway.
  void SendDatagram(const std::string& ip, std::string_view data) {
    this->socket->Send(ip + this->port, data);
  }
  void SendDatagram(const sockaddr_in& address, std::string_view data) {
    this->socket->Send(address, data);
  }

  // @param gateways all gateways, including this one.
  void SetGateways(const std::vector<ExchangePeer>& gateways);
  // @return the time between two messages to the same gateway.
  Duration Interval() const { return RoundInterval(this->plan.direct.size()); }
  // Sends this gateway's load to EarlyPeers without waiting for the next round,
  // unless it has just been sent.
  void SendEarly();

 private:
  LoadExchange(net::EventLoop& loop,
               const std::string& address,
               std::string failure_domain,
               LoadSource source,
               MessageSink sink);

  void Receive(std::string_view data, const sockaddr_in& from);
  // Relays the sum of another failure domain to the gateways of this domain.
  void RelayInDomain(LoadMessage message);
  // Forwards a sum to the gateways that it names.
  void Forward(LoadMessage message);
  void SendRound();
  void SendGatewayLoad(TimePoint now);
  void SendLoad(LoadScope scope, const std::vector<std::string>& ips);
  void SendTo(const std::vector<std::string>& ips, const LoadMessage& message);

  net::EventLoop& loop;
  const ExchangePeer self;
  const std::string port;  // With a leading colon.
  const std::string sender;
  const LoadSource source;
  const MessageSink sink;
  DatagramHandler handle_datagram;
  std::unique_ptr<net::DatagramSocket> socket;
  ExchangePlan plan;
  TimerId timer = 0;
  TimePoint next_round;
  // Earliest time of the next SendEarly; rounds are sent regardless.
  TimePoint next_gateway_load_at;
  std::uint64_t sequence = 0;
  std::uint64_t rounds = 0;
  std::uint64_t early_turns = 0;
  std::uint64_t relay_turns = 0;
  // Whether the last message of each scope reported no load.
  std::map<LoadScope, bool> idle_announced;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_LOAD_EXCHANGE_H_
