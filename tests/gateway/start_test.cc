#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <boost/test/unit_test.hpp>

#include "gateway/gateway.h"
#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

GatewaySettings MakeSettings() {
  GatewaySettings settings;
  settings.entry_id = "e1";
  settings.failure_domain = "a";
  settings.caller_address = "127.0.0.1:0";
  settings.admin_address = "127.0.0.1:0";
  settings.exchange_address = "127.0.0.1:0";
  // No server listens on this port.
  settings.replicas = {"127.0.0.1:1"};
  return settings;
}

// A control replica whose state never changes.
class FakeReplica : public RpcService, public HttpHandler {
 public:
  explicit FakeReplica(const std::string& server_address) {
    ServerRecord record;
    record.server_id = "s1";
    record.incarnation = 1;
    record.service = "app";
    record.address = server_address;
    record.slots = 8;
    this->state.epoch = "x";
    this->state.version = 1;
    this->state.configuration_version = 1;
    this->state.configuration = Json::Value(Json::objectValue);
    this->state.servers = {record};
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    this->server = std::move(HttpServer::Start(options, *this).value());
  }
  ~FakeReplica() override { this->server->Stop(); }

  std::string Address() const { return this->server->Address(); }

  Result<Json::Value> Call(const std::string& /*method*/,
                           const Json::Value& params) override {
    Json::Value response;
    response["epoch"] = this->state.epoch;
    response["version"] = Json::UInt64(this->state.version);
    response["confirmed_age_ms"] = 0;
    response["path"] = Json::Value(Json::arrayValue);
    if (params["have_version"].asUInt64() != this->state.version) {
      response["snapshot"] = SharedStateToJson(this->state);
    } else {
      std::this_thread::sleep_for(milliseconds(20));
    }
    return response;
  }
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    this->calls->Handle(std::move(exchange));
  }

 private:
  SharedState state;
  std::unique_ptr<RpcServer> calls = RpcServer::Create(*this, 2);
  std::unique_ptr<HttpServer> server;
};

// Records the number in each configuration that is put into force.
class RecordingFormat : public TestFormat {
 public:
  Result<RouteTable> ReadConfiguration(
      const Json::Value& document) const override {
    std::lock_guard lock(this->mutex);
    this->numbers.push_back(document["number"].asInt());
    return TestFormat::ReadConfiguration(document);
  }
  std::vector<int> Numbers() const {
    std::lock_guard lock(this->mutex);
    return this->numbers;
  }

 private:
  mutable std::mutex mutex;
  mutable std::vector<int> numbers;
};

// A control replica that responds to each poll with the next of some versions.
class VersionedReplica : public RpcService, public HttpHandler {
 public:
  // @param first_response nothing is responded before this time.
  // @param ages confirmed_age_ms of the versions, which start at 1.
  VersionedReplica(std::chrono::steady_clock::time_point first_response,
                   std::vector<int> ages)
      : first_response(first_response), ages(std::move(ages)) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    this->server = std::move(HttpServer::Start(options, *this).value());
  }
  ~VersionedReplica() override { this->server->Stop(); }

  std::string Address() const { return this->server->Address(); }
  // @return true if a follower has polled with the newest version.
  bool NewestIsKnown() const { return this->newest_known; }

  Result<Json::Value> Call(const std::string& /*method*/,
                           const Json::Value& params) override {
    if (std::chrono::steady_clock::now() < this->first_response) {
      return MakeError(ResultCode::kConfigurationUnconfirmed, "starting");
    }
    const std::uint64_t newest = this->ages.size();
    const std::uint64_t known = params["have_version"].asUInt64();
    std::this_thread::sleep_for(milliseconds(known == newest ? 20 : 50));
    this->newest_known = this->newest_known || known == newest;
    SharedState state;
    state.epoch = "x";
    state.version = std::min(known + 1, newest);
    state.configuration_version = state.version;
    Json::Value document;
    document["number"] = Json::UInt64(state.version);
    state.configuration = std::move(document);
    Json::Value response;
    response["epoch"] = state.epoch;
    response["version"] = Json::UInt64(state.version);
    response["confirmed_age_ms"] = this->ages[state.version - 1];
    response["path"] = Json::Value(Json::arrayValue);
    response["snapshot"] = SharedStateToJson(state);
    return response;
  }
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    this->calls->Handle(std::move(exchange));
  }

 private:
  const std::chrono::steady_clock::time_point first_response;
  const std::vector<int> ages;
  std::atomic<bool> newest_known = false;
  std::unique_ptr<RpcServer> calls = RpcServer::Create(*this, 2);
  std::unique_ptr<HttpServer> server;
};

// @return the configurations that a gateway puts into force, in order.
// @param run_late the gateway's loop runs only when its follower has the newest
// version.
std::vector<int> ConfigurationsInForce(VersionedReplica& replica,
                                       bool run_late) {
  const SystemClock clock;
  const RecordingFormat format;
  const auto loop = net::EventLoop::Create(clock);
  GatewaySettings settings = MakeSettings();
  settings.replicas = {replica.Address()};
  const auto gateway = Gateway::Start(settings, format, *loop, clock);
  BOOST_REQUIRE(gateway);
  const auto wait = [&] {
    while (!replica.NewestIsKnown()) {
      std::this_thread::sleep_for(milliseconds(2));
    }
  };
  if (run_late) {
    wait();
  }
  std::thread thread([&] { loop->Run(); });
  wait();
  std::this_thread::sleep_for(milliseconds(200));
  loop->Stop();
  thread.join();
  return format.Numbers();
}

}  // namespace

// Guards against a gateway that puts an older configuration into force after a
// newer one, because it applies updates that it had not handled yet when it
// took the newest state.
BOOST_AUTO_TEST_CASE(QueuedUpdatesDoNotReplaceANewerConfiguration) {
  VersionedReplica replica(std::chrono::steady_clock::now(), {0, 0, 0});
  const std::vector<int> numbers = ConfigurationsInForce(replica, true);
  BOOST_TEST(!numbers.empty());
  BOOST_TEST(std::is_sorted(numbers.begin(), numbers.end()),
             "in force: " << fmt::format("{}", fmt::join(numbers, ", ")));
}

// Guards against a gateway that finds no source for some seconds and then uses
// the first state that it gets, which a replica that has just started has not
// confirmed yet.
BOOST_AUTO_TEST_CASE(UnconfirmedStateOfALateSourceIsNotUsed) {
  VersionedReplica replica(
      std::chrono::steady_clock::now() + milliseconds(3500), {-1, 0});
  const std::vector<int> numbers = ConfigurationsInForce(replica, false);
  const std::vector<int> expected = {2};
  BOOST_TEST(numbers == expected, boost::test_tools::per_element());
}

// Guards against requests that are taken too late in a planned stop to finish,
// and against requests that get no answer at the end of its time. Some may not
// be sent again, so their callers have to know whether they may have run.
BOOST_AUTO_TEST_CASE(PlannedStopAnswersEveryRequest) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    if (request.head.find("/live/") != std::string::npos) {
      socket.Send(StreamResponseHead(request) + EventChunk(1, "one"));
    }
    return true;  // The rest never comes.
  });
  FakeReplica replica(server.Address());
  const SystemClock clock;
  const TestFormat format;
  const auto loop = net::EventLoop::Create(clock);
  GatewaySettings settings = MakeSettings();
  settings.replicas = {replica.Address()};
  settings.stop_grace = seconds(2);
  const auto gateway = Gateway::Start(settings, format, *loop, clock);
  BOOST_REQUIRE(gateway);
  const std::string address = gateway.value()->CallerAddress();
  std::thread thread([&] { loop->Run(); });
  const auto ask = [&](const std::string& id, const std::string& path) {
    auto caller = std::make_unique<RawCaller>(address);
    caller->Send(Request(id, path));
    return caller;
  };
  while (!Contains(ask("first", "/live/x")->ReadUntil("one", 100), "one")) {
  }
  const auto once = ask("once", "/once/x");
  const auto safe = ask("safe", "/safe/x");
  const auto live = ask("live", "/live/x");
  BOOST_TEST(Contains(live->ReadUntil("one"), "one"));
  loop->Post([&] { gateway.value()->BeginStop(); });
  const auto early = ask("early", "/once/x");
  // A caller that sends on an open connection.
  RawCaller kept(address);
  std::this_thread::sleep_for(milliseconds(1100));
  kept.Send(Request("late", "/once/x"));
  const std::string late_answer = kept.ReadToEnd();
  BOOST_TEST((late_answer.empty() || Contains(late_answer, "HTTP/1.1 503")),
             late_answer);
  BOOST_TEST(Contains(once->ReadToEnd(), "HTTP/1.1 502"));
  BOOST_TEST(Contains(safe->ReadToEnd(), "HTTP/1.1 502"));
  BOOST_TEST(Contains(early->ReadToEnd(), "HTTP/1.1 502"));
  BOOST_TEST(!Contains(live->ReadToEnd(), "\r\n0\r\n"));
  thread.join();
  for (const ReceivedRequest& request : server.Requests()) {
    BOOST_TEST(request.Header("Request-Id") != "late");
  }
}

// Guards against a gateway that does not start because its metrics port is in
// use, and against one that ignores that its caller address is in use.
BOOST_AUTO_TEST_CASE(MetricsPortInUseDoesNotStopTheGateway) {
  const SystemClock clock;
  const TestFormat format;
  const auto loop = net::EventLoop::Create(clock);
  const auto first = Gateway::Start(MakeSettings(), format, *loop, clock);
  BOOST_REQUIRE(first);
  GatewaySettings settings = MakeSettings();
  settings.metrics_address = first.value()->AdminAddress();
  BOOST_TEST(Gateway::Start(settings, format, *loop, clock).has_value());
  settings.caller_address = first.value()->CallerAddress();
  BOOST_TEST(!Gateway::Start(settings, format, *loop, clock).has_value());
}

}  // namespace sycamorebend::gateway
