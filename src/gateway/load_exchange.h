// Gateways tell each other what they have at the backend servers, so that each
// knows the whole load and not its own part alone.
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

#include "gateway/lanes.h"
#include "net/datagram_socket.h"
#include "net/event_loop.h"
#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

// What one gateway has at one server.
struct LoadShare {
  std::uint32_t server = 0;  // ServerCode of the server's key.
  int outstanding = 0;
  // Prompt tokens of requests without a first byte.
  int pending_tokens = 0;
};

std::uint32_t ServerCode(const std::string& server_key);

// Engines of one service that one gateway needs for each kind of prompt.
struct NeedShare {
  std::uint32_t service = 0;  // ServerCode of the service's name.
  LaneNeed need;
};

// Whose load a message carries, and who passes it on.
enum class LoadScope {
  kGateway = 0,        // That of the sender.
  kDomainToRelay = 1,  // That of a failure domain; the receiver passes it on.
  kDomain = 2,         // That of a failure domain, passed on.
};

// One message of a gateway.
struct LoadMessage {
  std::string sender;  // Differs after a restart.
  std::uint64_t sequence = 0;
  LoadScope scope = LoadScope::kGateway;
  std::string failure_domain;  // Of the sender.
  std::vector<LoadShare> shares;
  std::vector<NeedShare> needs;
};

std::string EncodeLoadMessage(const LoadMessage& message);
// @return kProtocolError for anything else than an encoded message.
Result<LoadMessage> DecodeLoadMessage(std::string_view data);

// The newest message of each other gateway and failure domain, and their sums.
// No threads, no I/O.
class PeerLoads {
 public:
  // A repeated or overtaken message changes nothing.
  void Take(const LoadMessage& message, TimePoint now);
  // @return the sum of what the other gateways have at the server.
  LoadShare Total(std::uint32_t server, TimePoint now);
  // @return what the other gateways need of the service.
  LaneNeed TotalNeed(std::uint32_t service, TimePoint now);
  // Adds what each gateway said of itself to `message`.
  void AddGateways(LoadMessage& message, TimePoint now);

 private:
  struct Peer {
    std::string sender;
    std::uint64_t sequence = 0;
    TimePoint at;
    std::vector<LoadShare> shares;
    std::vector<NeedShare> needs;
  };
  using PeerKey = std::pair<bool, std::string>;  // Whether it is a domain.

  // Adds `sign` times the peer's load to the sums.
  void Count(const Peer& peer, int sign);
  void Expire(TimePoint now);

  std::map<PeerKey, Peer> peers;
  std::unordered_map<std::uint32_t, LoadShare> totals;
  std::unordered_map<std::uint32_t, LaneNeed> total_needs;
  TimePoint next_expiry;
};

// Another gateway as the exchange sees it.
struct ExchangePeer {
  std::string ip;
  std::string failure_domain;
};

// Who gets which message of one gateway. A few gateways tell each other
// directly. More of them do so within their failure domain, and take turns in
// sending the domain's sum to one gateway of each other domain, which passes it
// on: neither the bytes between domains nor those of one gateway grow with the
// square of the gateways.
struct ExchangePlan {
  std::vector<std::string> direct;  // IPs that get this gateway's load.
  // IPs of each other failure domain; empty if all gateways are in `direct`.
  std::vector<std::vector<std::string>> domains;
  std::uint64_t turn = 0;    // Of this gateway among those of its domain.
  std::uint64_t period = 1;  // Rounds between two of its turns.

  // @return IPs that get the domain's sum in a round.
  std::vector<std::string> Relays(std::uint64_t round) const;
};

// @param gateways all gateways, `self` included.
ExchangePlan PlanExchange(const ExchangePeer& self,
                          const std::vector<ExchangePeer>& gateways);

// Sends this gateway's load to the others and receives theirs.
class LoadExchange {
 public:
  // Fills in the shares and needs for the message's scope.
  using LoadSource = std::function<void(LoadMessage&)>;
  using MessageSink = std::function<void(const LoadMessage&)>;

  // @param address "IP:port" for the datagrams; the others use the same port.
  // @return the exchange, or kListenFailed.
  static Result<std::unique_ptr<LoadExchange>> Start(
      net::EventLoop& loop,
      const std::string& address,
      const std::string& failure_domain,
      LoadSource source,
      MessageSink sink);
  ~LoadExchange();

  // @param gateways all gateways, this one included.
  void SetGateways(const std::vector<ExchangePeer>& gateways);
  // Sends this gateway's load before the next round.
  void SendSoon();

 private:
  LoadExchange(net::EventLoop& loop,
               const std::string& address,
               std::string failure_domain,
               LoadSource source,
               MessageSink sink);

  void Receive(std::string_view data);
  // Passes the sum of another failure domain on within this one.
  void PassOn(LoadMessage message);
  void SendRound();
  void SendOwn(TimePoint now);
  void SendLoad(LoadScope scope, const std::vector<std::string>& ips);
  void SendTo(const std::vector<std::string>& ips, const LoadMessage& message);

  net::EventLoop& loop;
  const ExchangePeer self;
  const std::string port;  // With its colon.
  const std::string sender;
  const LoadSource source;
  const MessageSink sink;
  std::unique_ptr<net::DatagramSocket> socket;
  ExchangePlan plan;
  TimerId timer = 0;
  TimePoint next_round;
  TimePoint next_own;  // Not before this, unless it is due.
  std::uint64_t sequence = 0;
  std::uint64_t rounds = 0;
  std::map<LoadScope, bool> said_idle;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_LOAD_EXCHANGE_H_
