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

// One message of a gateway.
struct LoadMessage {
  std::string sender;  // Differs after a restart.
  std::uint64_t sequence = 0;
  std::vector<LoadShare> shares;
  std::vector<NeedShare> needs;
};

std::string EncodeLoadMessage(const LoadMessage& message);
// @return kProtocolError for anything else than an encoded message.
Result<LoadMessage> DecodeLoadMessage(std::string_view data);

// The newest message of each other gateway. No threads, no I/O.
class PeerLoads {
 public:
  // A repeated or overtaken message changes nothing.
  void Take(const LoadMessage& message, TimePoint now);
  // @return the sum of what the other gateways have at the server.
  LoadShare Total(std::uint32_t server, TimePoint now) const;
  // @return what the other gateways need of the service.
  LaneNeed TotalNeed(std::uint32_t service, TimePoint now) const;

 private:
  struct Peer {
    std::uint64_t sequence = 0;
    TimePoint at;
    std::unordered_map<std::uint32_t, LoadShare> shares;
    std::unordered_map<std::uint32_t, LaneNeed> needs;
  };

  std::map<std::string, Peer> peers;
};

// Sends this gateway's load to the others and receives theirs.
class LoadExchange {
 public:
  // Fills in all but the sender and the sequence.
  using LoadSource = std::function<void(LoadMessage&)>;
  using MessageSink = std::function<void(const LoadMessage&)>;

  // @param address "IP:port" for the datagrams; the others use the same port.
  // @return the exchange, or kListenFailed.
  static Result<std::unique_ptr<LoadExchange>> Start(net::EventLoop& loop,
                                                     const std::string& address,
                                                     LoadSource source,
                                                     MessageSink sink);
  ~LoadExchange();

  // @param ips the other gateways.
  void SetPeers(std::vector<std::string> ips);

 private:
  LoadExchange(net::EventLoop& loop,
               std::string address,
               LoadSource source,
               MessageSink sink);

  void Receive(std::string_view data);
  void SendRound();

  net::EventLoop& loop;
  const std::string address;
  const std::string sender;
  const LoadSource source;
  const MessageSink sink;
  std::unique_ptr<net::DatagramSocket> socket;
  std::vector<std::string> peers;
  TimerId timer = 0;
  TimePoint next_round;
  std::uint64_t sequence = 0;
  bool said_idle = false;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_LOAD_EXCHANGE_H_
