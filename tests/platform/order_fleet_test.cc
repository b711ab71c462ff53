#define BOOST_TEST_MODULE platform_order
// Engine orders of control replicas, with a platform that records them.
#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "platform/duty_stand_in.h"
#include "platform/platform_fleet.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::platform {

namespace {

constexpr std::size_t kReplicas = 3;
constexpr Duration kOrderTimeout = seconds(60);

// Accepts and records the orders.
struct OrderRecorder : HttpHandler {
  struct Order {
    std::string owner;
    std::uint64_t token = 0;
    Json::Value body;
  };

  OrderRecorder() {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    auto started = HttpServer::Start(options, *this);
    BOOST_REQUIRE(started);
    this->server = std::move(started.value());
  }
  ~OrderRecorder() override { this->server->Stop(); }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    const HttpRequest& request = exchange->Request();
    const Result<Json::Value> body = ParseJson(request.body);
    if (request.method == "POST" && request.path == "/replicas" && body) {
      std::lock_guard lock(this->mutex);
      this->orders.push_back(
          {HeaderOf(request, "X-Sycamorebend-Duty-Owner"),
           std::stoull(HeaderOf(request, "X-Sycamorebend-Fencing-Token")),
           body.value()});
    }
    exchange->Respond(200, {}, "{}");
  }

  std::vector<Order> Orders() {
    std::lock_guard lock(this->mutex);
    return this->orders;
  }

  std::mutex mutex;
  std::vector<Order> orders;
  std::unique_ptr<HttpServer> server;
};

}  // namespace

// Guards against rules, announcements or grants that do not reach the decision,
// against orders in another format, and against a new holder that orders with
// an old token.
BOOST_AUTO_TEST_CASE(MissingEnginesAreOrderedAcrossAKill) {
  OrderRecorder platform;
  PlatformFleet fleet(
      kReplicas, /*gateways=*/0, /*max_followers=*/8,
      /*silent_seeds=*/0,
      {{"cloud_api", "1"},
       {"cloud_api.address|json", '"' + platform.server->Address() + '"'},
       {"cloud_api.duties|json", R"(["autoscaler"])"}});
  fleet.SetScaling(
      ParseJson(R"({"min_replicas": 3, "max_replicas": 9, "startup_s": 4.0,
                    "spot_price": 0.18, "zone_prices": {"a": 0.85}})")
          .value());
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(1); }, kStepTimeout));
  const auto ordered = [&] {
    fleet.Announce("engine", "127.0.0.1:9");
    return !platform.Orders().empty();
  };
  BOOST_REQUIRE(WaitFor(ordered, kOrderTimeout));
  const OrderRecorder::Order first = platform.Orders().front();
  BOOST_TEST(first.body == ParseJson(R"({"backend": "app", "zone": "a",
                                         "desired": 3})")
                               .value());
  for (std::size_t i = 0; i < kReplicas; ++i) {
    if (first.owner == fmt::format("control-{}", i)) {
      fleet.Replica(i).Kill();
    }
  }
  BOOST_TEST(WaitFor(
      [&] {
        fleet.Announce("engine", "127.0.0.1:9");
        const OrderRecorder::Order last = platform.Orders().back();
        return last.owner != first.owner && last.token > first.token;
      },
      kOrderTimeout));
}

}  // namespace sycamorebend::platform
