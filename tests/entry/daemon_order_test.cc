#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "daemon_fixture.h"

namespace sycamorebend::entry {

namespace {

bool BodyContains(const HttpResponse& response, const std::string& part) {
  return response.body.find(part) != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Orders, DaemonFixture)

// Guards against a second run of an order that the caller repeats, and against
// a repeated response that differs from the first.
BOOST_AUTO_TEST_CASE(RepeatedOrderGetsTheStoredResponse) {
  FakeEngine service;
  service.SetHandler([](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(201, {{"X-Order", "9"}}, std::string("ok\0\xff", 4));
  });
  AddEngine("parts-1", service);
  for (int i = 0; i < 3; ++i) {
    const HttpResponse response = Fetch(OrderCall("key-1"));
    BOOST_TEST(response.status == 201);
    BOOST_TEST((response.body == std::string("ok\0\xff", 4)));
    BOOST_TEST(FindHeader(response.headers, "X-Order").value_or("") == "9");
  }
  BOOST_TEST(service.CountRequests("POST /orders") == 1);
  BOOST_TEST(replica.RecordState("key-1") == "ran");
  const HttpRequest request = service.WaitForRequest("POST /orders");
  BOOST_TEST(FindHeader(request.headers, "Idempotency-Key").value_or("") ==
             "key-1");
  HttpCall other = OrderCall("key-1");
  other.body = "part=43";
  const HttpResponse refused = Fetch(other);
  BOOST_TEST(BodyContains(refused, "\"code\":402"));
  BOOST_TEST(service.CountRequests("POST /orders") == 1);
}

BOOST_AUTO_TEST_CASE(OrderWithoutKeyIsRejected) {
  HttpCall call = OrderCall("");
  call.headers.pop_back();
  BOOST_TEST(BodyContains(Fetch(call), "\"code\":401"));
}

// Guards against "not_run" for an order that may have run before its server
// crashed.
BOOST_AUTO_TEST_CASE(CrashAfterSendingIsUnknown) {
  FakeEngine service;
  service.SetHandler(
      [](std::shared_ptr<HttpExchange> exchange) { exchange->AbortStream(); });
  AddEngine("parts-1", service);
  const HttpResponse response = Fetch(OrderCall("key-1"));
  BOOST_TEST(BodyContains(response, "\"code\":404"));
  BOOST_TEST(BodyContains(response, "\"ran\":\"unknown\""));
  BOOST_TEST(replica.RecordState("key-1") == "started");
  BOOST_TEST(service.CountRequests("POST /orders") == 1);
  // The outcome stays unknown, and the order does not run again.
  BOOST_TEST(BodyContains(Fetch(OrderCall("key-1")), "\"code\":404"));
  BOOST_TEST(service.CountRequests("POST /orders") == 1);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotRun) {
  FakeEngine service;
  AddEngine("parts-1", service);
  service.Stop();
  const HttpResponse response = Fetch(OrderCall("key-1"));
  BOOST_TEST(BodyContains(response, "\"ran\":\"not_run\""), response.body);
  BOOST_TEST(replica.RecordState("key-1") == "not_run");
  const HttpResponse again = Fetch(OrderCall("key-1"));
  BOOST_TEST(BodyContains(again, "\"ran\":\"not_run\""));
  BOOST_TEST(BodyContains(again, "\"code\":405"));
}

// Guards against an order that runs after its caller was told not_run.
BOOST_AUTO_TEST_CASE(OrderWithoutServerIsRecordedNotRun) {
  const HttpResponse response = Fetch(OrderCall("key-1"));
  BOOST_TEST(BodyContains(response, "\"code\":301"));
  BOOST_TEST(BodyContains(response, "\"ran\":\"not_run\""));
  BOOST_TEST(replica.RecordState("key-1") == "not_run");
}

// Guards against an order that is sent before order.begin is committed.
BOOST_AUTO_TEST_CASE(NoQuorumMeansNoOrder) {
  FakeEngine service;
  service.SetHandler([](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(200, {}, "ok");
  });
  AddEngine("parts-1", service);
  replica.no_quorum.store(true);
  const HttpResponse response = Fetch(OrderCall("key-1"));
  BOOST_TEST(BodyContains(response, "\"code\":702"), response.body);
  BOOST_TEST(BodyContains(response, "\"ran\":\"unknown\""));
  BOOST_TEST(service.CountRequests("POST /orders") == 0);
}

// Guards against a response that is not recorded because the caller
// disconnected before it arrived.
BOOST_AUTO_TEST_CASE(ResponseIsRecordedAfterTheCallerDisconnected) {
  FakeEngine service;
  std::promise<std::shared_ptr<HttpExchange>> arrived;
  service.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    arrived.set_value(std::move(exchange));
  });
  AddEngine("parts-1", service);
  const int fd = Connect(
      "POST /orders?line=7 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
      "secret\r\nX-Sycamorebend-Labels: kind=order\r\nIdempotency-Key: "
      "key-1\r\nContent-Length: 7\r\n\r\npart=42");
  const auto exchange = arrived.get_future().get();
  close(fd);
  std::this_thread::sleep_for(milliseconds(200));
  exchange->Respond(200, {}, "done");
  WaitUntilIdle();
  BOOST_TEST(replica.RecordState("key-1") == "ran");
  BOOST_TEST(Fetch(OrderCall("key-1")).body == "done");
  BOOST_TEST(service.CountRequests("POST /orders") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::entry
