#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

#include "consensus/encoding.h"
#include "consensus/transport.h"

namespace sycamorebend::internal {

namespace {

// Concurrent calls to one peer. More than one, so that a stalled connection
// does not block later messages.
constexpr int kMaxCallsInFlight = 4;
// Encoded message bytes per call, before base64. With base64 a call stays well
// below the 4 MiB body limit that the HTTP server has by default.
constexpr std::size_t kMaxCallBytes = 2 << 20;
// Messages queued per peer, and their bytes. Further ones are dropped; the core
// sends them again.
constexpr std::size_t kMaxQueuedMessages = 256;
constexpr std::size_t kMaxQueuedBytes = 4 << 20;

struct Peer {
  std::vector<std::string> queue;
  std::size_t queued_bytes = 0;
  int calls_in_flight = 0;
  bool reachable = true;
};

class RpcTransport : public Transport {
 public:
  RpcTransport(RpcClient& client,
               std::string own_address,
               Duration call_timeout)
      : client(client),
        own_address(std::move(own_address)),
        call_timeout(call_timeout) {}

  ~RpcTransport() override { this->Stop(); }

  void Send(const std::string& address, const Message& message) override {
    {
      std::lock_guard lock(this->mutex);
      Peer& peer = this->peers[address];
      if (this->stopping || peer.queue.size() >= kMaxQueuedMessages ||
          peer.queued_bytes >= kMaxQueuedBytes) {
        return;
      }
      peer.queue.push_back(EncodeMessage(message));
      peer.queued_bytes += peer.queue.back().size();
    }
    this->StartCall(address);
  }

  bool Reachable(const std::string& address) const override {
    std::lock_guard lock(this->mutex);
    const auto found = this->peers.find(address);
    return found == this->peers.end() || found->second.reachable;
  }

  void Stop() override {
    std::unique_lock lock(this->mutex);
    this->stopping = true;
    this->idle.wait(lock, [this] { return this->calls_in_flight == 0; });
  }

 private:
  void StartCall(const std::string& address) {
    Json::Value params(Json::objectValue);
    {
      std::lock_guard lock(this->mutex);
      Peer& peer = this->peers[address];
      if (this->stopping || peer.queue.empty() ||
          peer.calls_in_flight >= kMaxCallsInFlight) {
        return;
      }
      params["address"] = this->own_address;
      params["messages"] = TakeBatch(peer);
      ++peer.calls_in_flight;
      ++this->calls_in_flight;
    }
    this->client.CallAsync(address, std::string(kRaftMessageMethod), params,
                           this->call_timeout,
                           [this, address](Result<Json::Value> result) {
                             this->EndCall(address, result.has_value());
                           });
  }

  static Json::Value TakeBatch(Peer& peer) {
    Json::Value batch(Json::arrayValue);
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < peer.queue.size() &&
           (count == 0 || bytes + peer.queue[count].size() <= kMaxCallBytes)) {
      bytes += peer.queue[count].size();
      batch.append(Base64Encode(peer.queue[count]));
      ++count;
    }
    peer.queued_bytes -= bytes;
    peer.queue.erase(peer.queue.begin(),
                     peer.queue.begin() + static_cast<std::ptrdiff_t>(count));
    return batch;
  }

  void EndCall(const std::string& address, bool success) {
    {
      std::lock_guard lock(this->mutex);
      Peer& peer = this->peers[address];
      --peer.calls_in_flight;
      if (peer.reachable != success) {
        peer.reachable = success;
        if (!success && !this->stopping) {
          LogEvent(Severity::kWarning, Event::kPeerUnreachable,
                   {{"address", address}});
        }
      }
    }
    this->StartCall(address);
    std::lock_guard lock(this->mutex);
    --this->calls_in_flight;
    this->idle.notify_all();
  }

  RpcClient& client;
  const std::string own_address;
  const Duration call_timeout;
  mutable std::mutex mutex;
  std::condition_variable idle;
  std::map<std::string, Peer> peers;
  int calls_in_flight = 0;
  bool stopping = false;
};

}  // namespace

std::unique_ptr<Transport> CreateRpcTransport(RpcClient& client,
                                              std::string own_address,
                                              Duration call_timeout) {
  return std::make_unique<RpcTransport>(client, std::move(own_address),
                                        call_timeout);
}

Result<ReceivedMessages> DecodeTransportParams(const Json::Value& params) {
  if (!params.isObject() || !params["messages"].isArray() ||
      !params["address"].isString()) {
    return MakeError(
        ResultCode::kProtocolError,
        "raft.message requires a string \"address\" and an array \"messages\"");
  }
  ReceivedMessages received;
  received.sender_address = params["address"].asString();
  for (const Json::Value& item : params["messages"]) {
    std::optional<std::string> bytes;
    if (item.isString()) {
      bytes = Base64Decode(item.asString());
    }
    std::optional<Message> message;
    if (bytes) {
      message = DecodeMessage(*bytes);
    }
    if (!message) {
      return MakeError(ResultCode::kProtocolError,
                       "raft.message has a message that cannot be decoded");
    }
    received.messages.push_back(std::move(*message));
  }
  return received;
}

}  // namespace sycamorebend::internal
