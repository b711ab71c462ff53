#include <vector>

#include <boost/test/unit_test.hpp>

#include "consensus/transport.h"

namespace sycamorebend::internal {

namespace {

// Keeps the calls until the test ends them.
class HeldRpcClient : public RpcClient {
 public:
  void CallAsync(const std::string& /*address*/,
                 const std::string& /*method*/,
                 const Json::Value& params,
                 Duration /*timeout*/,
                 RpcCallback callback) override {
    for (const Json::Value& message : params["messages"]) {
      this->bytes += message.asString().size();
      ++this->messages;
    }
    this->callbacks.push_back(std::move(callback));
  }

  // Ends all calls, and those that begin meanwhile.
  void EndCalls() {
    while (!this->callbacks.empty()) {
      const RpcCallback callback = std::move(this->callbacks.back());
      this->callbacks.pop_back();
      callback(MakeError(ResultCode::kTransportTimeout));
    }
  }

  std::vector<RpcCallback> callbacks;
  std::size_t bytes = 0;
  std::size_t messages = 0;
};

Message Append(std::size_t bytes) {
  auto entry = std::make_shared<Entry>();
  entry->index = 1;
  entry->kind = EntryKind::kCommand;
  entry->payload.assign(bytes, 'x');
  Message message;
  message.entries.push_back(std::move(entry));
  return message;
}

}  // namespace

// Guards against a queue that is bounded by a number of messages: with large
// ones, a replica that does not respond costs its peers hundreds of megabytes.
BOOST_AUTO_TEST_CASE(MessagesToASilentReplicaAreBoundedInBytes) {
  constexpr std::size_t kLargeMessage = 1 << 20;
  constexpr int kCount = 250;
  HeldRpcClient client;
  const auto transport = CreateRpcTransport(client, "10.0.0.1:1", seconds(1));
  for (int i = 0; i < kCount; ++i) {
    transport->Send("10.0.0.2:1", Append(kLargeMessage));
  }
  client.EndCalls();
  BOOST_TEST(client.messages >= 4U);
  BOOST_TEST(client.bytes <= 16U << 20U);
}

// Guards against dropping the small messages of a busy second.
BOOST_AUTO_TEST_CASE(SmallMessagesAreQueued) {
  constexpr int kCount = 200;
  HeldRpcClient client;
  const auto transport = CreateRpcTransport(client, "10.0.0.1:1", seconds(1));
  for (int i = 0; i < kCount; ++i) {
    transport->Send("10.0.0.2:1", Append(500));
  }
  client.EndCalls();
  BOOST_TEST(client.messages == std::size_t{kCount});
}

}  // namespace sycamorebend::internal
