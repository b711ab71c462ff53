// Work of a source of the feed for one version of the state, counted in
// allocated bytes: building, copying or encoding a JSON document allocates at
// least as many bytes as it handles. The counts do not depend on the speed of
// the machine.
#define BOOST_TEST_MODULE feed_load
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdlib>
#include <map>
#include <new>

#include <fmt/format.h>

#include "../control/memory_log.h"
#include "../whole_response_exchange.h"
#include "local_rpc.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace {

std::atomic<std::uint64_t> allocated_bytes{0};

}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
  allocated_bytes += size;
  if (void* const memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace sycamorebend {

namespace {

constexpr Duration kTestTimeout = seconds(60);
// What a response may cost beside the shared bytes: decoding the poll, the
// message around the result, and bookkeeping.
constexpr std::uint64_t kMaxBytesPerResponse = 32 << 10;

// Takes a response as a connection does that sends it from where it is.
class ResponseSink : public WholeResponseExchange {
 public:
  ResponseSink(HttpRequest request, std::atomic<int>& responses)
      : WholeResponseExchange(std::move(request)), responses(responses) {}

  void Respond(int status, HttpHeaders /*headers*/, std::string body) override {
    this->ok = status == 200 && body.find("\"error\"") == std::string::npos;
    ++this->responses;
  }
  void RespondShared(int status,
                     HttpHeaders /*headers*/,
                     HttpBody /*body*/) override {
    this->ok = status == 200;
    ++this->responses;
  }

  std::atomic<bool> ok{false};

 private:
  std::atomic<int>& responses;
};

// A control replica without a network.
class Replica : public RpcService {
 public:
  Replica()
      : source(FeedSource::Create({}, this->rpc, this->clock)),
        state(ControlState::Create(
            [this](std::shared_ptr<const SharedState> shared) {
              this->source->Publish(std::move(shared));
            })),
        control_thread(this->clock),
        log(*this->state, this->control_thread, this->clock) {
    this->source->SetLog(this->log);
    this->log.Commit(R"({"type":"cluster.init","epoch":"x"})");
  }
  ~Replica() override { this->source->Stop(); }

  Result<Json::Value> Call(const std::string& /*method*/,
                           const Json::Value& params) override {
    return this->source->ServePoll(params);
  }
  std::optional<Result<HttpBody>> CallEncoded(
      const std::string& /*method*/,
      const Json::Value& params) override {
    return this->source->ServeEncodedPoll(params);
  }

  // Commits a configuration of `routes` routes.
  // @return the size of the document.
  std::size_t Configure(std::uint64_t version, int routes) {
    Json::Value command;
    command["type"] = "config.replace";
    command["version"] = Json::UInt64(version);
    command["operator"] = "test";
    Json::Value& list = command["document"]["routes"];
    for (int i = 0; i < routes; ++i) {
      Json::Value route;
      route["path"] = fmt::format("/customers/{}/v{}", i, version);
      route["service"] = fmt::format("service-{}", i % 7);
      route["deadline_ms"] = 4000 + i % 11;
      route["idempotent"] = i % 2 == 0;
      list.append(std::move(route));
    }
    this->log.Commit(WriteJson(command));
    return WriteJson(command["document"]).size();
  }

  void Announce(const std::string& server) {
    ServerRecord record;
    record.server_id = server;
    record.incarnation = 1;
    record.sequence = 1;
    record.service = "app";
    record.address = "127.0.0.1:9000";
    Json::Value command = ServerRecordToJson(record);
    command["type"] = "server.announce";
    this->log.Commit(WriteJson(command));
  }

  // Serves polls that do not wait of `followers` daemons that have `version`.
  // @return allocated bytes.
  std::uint64_t Serve(int followers, std::uint64_t version) {
    const std::uint64_t before = allocated_bytes;
    std::atomic<int> responses{0};
    std::vector<std::shared_ptr<ResponseSink>> exchanges;
    for (int i = 0; i < followers; ++i) {
      Json::Value call;
      call["id"] = 1;
      call["jsonrpc"] = "2.0";
      call["method"] = std::string(kFeedPollMethod);
      Json::Value& params = call["params"]["params"];
      params["entry_id"] = fmt::format("gateway-{}", i);
      params["address"] = "127.0.0.1:8001";
      params["incarnation"] = "1";
      params["wait_ms"] = 0;
      params["have_epoch"] = version == 0 ? "" : "x";
      params["have_version"] = Json::UInt64(version);
      HttpRequest request;
      request.method = "POST";
      request.path = kRpcPath;
      request.body = WriteJson(call);
      exchanges.push_back(
          std::make_shared<ResponseSink>(std::move(request), responses));
      this->server->Handle(exchanges.back());
    }
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (responses < followers &&
           std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    BOOST_TEST(responses == followers);
    for (const auto& exchange : exchanges) {
      BOOST_TEST(exchange->ok.load());
    }
    return allocated_bytes - before;
  }

  std::uint64_t Version() const { return this->state->Shared()->version; }

  SystemClock clock;
  LocalRpc rpc;
  std::unique_ptr<FeedSource> source;
  std::unique_ptr<ControlState> state;
  ControlThread control_thread;
  MemoryLog log;
  std::unique_ptr<RpcServer> server = RpcServer::Create(*this, 2);
};

}  // namespace

// With 70 gateways, each new version of 1,632 routes kept a replica from
// taking part in consensus until it lost its leadership, because each response
// was copied and encoded separately.
BOOST_AUTO_TEST_CASE(WorkForASnapshotDoesNotGrowWithFollowers) {
  for (const int routes : {1600, 5000}) {
    Replica replica;
    replica.Configure(1, routes);
    // Encodes the version.
    replica.Serve(1, 0);
    for (const int followers : {70, 300}) {
      const std::uint64_t bytes = replica.Serve(followers, 0);
      BOOST_TEST_MESSAGE(fmt::format("{} routes, {} followers: {} bytes",
                                     routes, followers, bytes));
      BOOST_TEST(bytes < followers * kMaxBytesPerResponse);
    }
  }
}

// The same for followers that have the version before.
BOOST_AUTO_TEST_CASE(WorkForADeltaDoesNotGrowWithFollowers) {
  for (const int routes : {1600, 5000}) {
    Replica replica;
    replica.Configure(1, 50);
    replica.Serve(1, 0);
    const std::uint64_t before = replica.Version();
    std::this_thread::sleep_for(milliseconds(600));
    replica.Configure(2, routes);
    replica.Serve(1, before);
    for (const int followers : {70, 300}) {
      const std::uint64_t bytes = replica.Serve(followers, before);
      BOOST_TEST_MESSAGE(fmt::format("{} routes, {} followers: {} bytes",
                                     routes, followers, bytes));
      BOOST_TEST(bytes < followers * kMaxBytesPerResponse);
    }
  }
}

// Each announcement of a server copied the configuration several times.
BOOST_AUTO_TEST_CASE(WorkForASmallChangeDoesNotGrowWithTheConfiguration) {
  std::map<int, std::uint64_t> bytes;
  for (const int routes : {1600, 5000}) {
    Replica replica;
    replica.Configure(1, routes);
    replica.Serve(1, 0);
    const std::uint64_t version = replica.Version();
    // Longer than the interval of updates.
    std::this_thread::sleep_for(milliseconds(600));
    const std::uint64_t before = allocated_bytes;
    replica.Announce("s1");
    replica.Serve(1, version);
    bytes[routes] = allocated_bytes - before;
    BOOST_TEST_MESSAGE(
        fmt::format("{} routes: {} bytes", routes, bytes[routes]));
    BOOST_TEST(bytes[routes] < 2 * kMaxBytesPerResponse);
  }
}

}  // namespace sycamorebend
