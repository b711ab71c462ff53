// Calls of the platform's API for duties.
#include <future>
#include <mutex>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "platform/duty_api.h"
#include "sycamorebend/http.h"

namespace sycamorebend::platform {

namespace {

// Responds to each call with the same status.
struct ApiFixture : HttpHandler {
  ApiFixture() {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    auto started = HttpServer::Start(options, *this);
    BOOST_REQUIRE(started);
    this->server = std::move(started.value());
    this->api = std::make_unique<HttpDutyApi>(
        DutyApiOptions{this->server->Address(), 1000, 1000}, this->clock);
  }
  ~ApiFixture() override {
    this->api.reset();
    this->server->Stop();
  }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    const HttpRequest& request = exchange->Request();
    {
      std::lock_guard lock(this->mutex);
      this->received.push_back(request.method + " " + request.path + " " +
                               request.body);
    }
    exchange->Respond(this->status, {}, {});
  }

  DutyCallResult Report(const DutyGrant& grant) {
    std::promise<DutyCallResult> result;
    this->api->ReportUsage(
        grant, {7, {{"x", 2}, {"y", 0}}},
        [&result](DutyCallResult value) { result.set_value(value); });
    return result.get_future().get();
  }

  DutyCallResult Order(const ServerOrder& order) {
    std::promise<DutyCallResult> result;
    this->api->OrderServers(
        {Duty::kServerOrders, "vm", 3}, order,
        [&result](DutyCallResult value) { result.set_value(value); });
    return result.get_future().get();
  }

  const SystemClock clock;
  int status = 200;
  std::mutex mutex;
  std::vector<std::string> received;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpDutyApi> api;
};

const DutyGrant kGrant{Duty::kUsage, "vm", 3};

}  // namespace

// Guards against calls in another form than the platform's.
BOOST_FIXTURE_TEST_CASE(CallsHaveThePlatformsForm, ApiFixture) {
  this->Report(kGrant);
  this->Order({"svc", "a", 4, false, "test"});
  this->Order({"svc", "a", 4, true, "test"});
  const std::vector<std::string> expected = {
      R"(POST /usage {"counts":{"x":2},"window_id":7})",
      R"(POST /replicas {"backend":"svc","desired":4,"zone":"a"})",
      R"(POST /replicas {"backend":"svc","desired":4,"spot":true,"zone":"a"})"};
  BOOST_TEST(this->received == expected, boost::test_tools::per_element());
}

// Guards against a refused call that counts as accepted.
BOOST_FIXTURE_TEST_CASE(OnlyOkIsAcceptance, ApiFixture) {
  const std::vector<std::pair<int, DutyCallResult>> results = {
      {200, DutyCallResult::kAccepted}, {204, DutyCallResult::kUnknown},
      {409, DutyCallResult::kRejected}, {429, DutyCallResult::kLimited},
      {500, DutyCallResult::kUnknown},  {503, DutyCallResult::kUnknown}};
  for (const auto& [response, result] : results) {
    this->status = response;
    BOOST_TEST((this->Report(kGrant) == result), response);
  }
}

// Guards against a call after the end of its grant, and a rate above the
// platform's limit.
BOOST_FIXTURE_TEST_CASE(NothingIsSentBeyondTheLimits, ApiFixture) {
  DutyGrant expired = kGrant;
  expired.valid_until = this->clock.Now();
  BOOST_TEST((this->Report(expired) == DutyCallResult::kNotSent));
  BOOST_TEST(this->received.empty());
  HttpDutyApi slow({this->server->Address(), 50, 0.1}, this->clock);
  slow.ReportUsage(kGrant, {}, [](DutyCallResult /*result*/) {});
  DutyCallResult second = DutyCallResult::kAccepted;
  slow.ReportUsage(kGrant, {},
                   [&second](DutyCallResult result) { second = result; });
  BOOST_TEST((second == DutyCallResult::kNotSent));
}

}  // namespace sycamorebend::platform
