// What callers may send and what they get for it.
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

struct OneServer : GatewayFixture {
  OneServer() { this->AddServer(this->server); }
  ScriptedServer server{Echo};
};

}  // namespace

// Guards against requests that are lost or answered out of order on one
// connection.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreAnsweredInOrder, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x") + Request("r2", "/once/x", "order") +
              Request("r3", "/safe/x"));
  const std::string answers = caller.ReadUntil("body of r3");
  const std::size_t second = answers.find("body of r2");
  BOOST_TEST(answers.find("body of r1") < second);
  BOOST_TEST(second < answers.find("body of r3"));
}

// Guards against a request inside the body of another.
BOOST_FIXTURE_TEST_CASE(RequestInABodyIsNoRequest, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", Request("hidden", "/once/x", "order")));
  caller.ReadUntil("body of r1");
  caller.Send(
      "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r2\r\n"
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
      Request("hidden", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadToEnd(2000), "HTTP/1.1 400"));
  BOOST_TEST(this->server.Requests().size() == 1U);
}

// Guards against bodies in chunks that arrive in pieces.
BOOST_FIXTURE_TEST_CASE(ChunkedBodyArrivesWhole, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(
      "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n");
  std::this_thread::sleep_for(milliseconds(20));
  caller.Send("3\r\nefg\r\n0\r\n\r\n");
  caller.ReadUntil("body of r1");
  BOOST_REQUIRE(this->server.Requests().size() == 1U);
  BOOST_TEST(this->server.Requests()[0].body == "abcdefg");
}

// Guards against answers that keep a connection open which the caller wants
// closed.
BOOST_FIXTURE_TEST_CASE(ConnectionCloseIsRespected, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x", "", "Connection: close\r\n"));
  const std::string answer = caller.ReadToEnd();
  BOOST_TEST(Contains(answer, "Connection: close"));
  BOOST_TEST(Contains(answer, "body of r1"));
}

// Guards against hop headers that reach the server.
BOOST_FIXTURE_TEST_CASE(ConnectionHeadersStayHere, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x", "",
                      "Connection: Private\r\nPrivate: 1\r\nTE: trailers\r\n"));
  caller.ReadUntil("body of r1");
  const auto requests = this->server.Requests();
  BOOST_TEST(requests[0].Header("Private").empty());
  BOOST_TEST(requests[0].Header("TE").empty());
}

// Guards against memory that one caller can take.
BOOST_FIXTURE_TEST_CASE(LargeRequestsAreRefused, OneServer) {
  this->OnLoop([this] {
    CallerLimits limits;
    limits.header_bytes = 1000;
    limits.body_bytes = 1000;
    this->callers->SetLimits(limits);
  });
  RawCaller body(this->Address());
  body.Send(
      "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
      "Content-Length: 2000\r\n\r\n");
  BOOST_TEST(Contains(body.ReadToEnd(), "HTTP/1.1 413"));
  RawCaller head(this->Address());
  head.Send(
      Request("r1", "/safe/x", "", "Long: " + std::string(2000, 'x') + "\r\n"));
  BOOST_TEST(Contains(head.ReadToEnd(), "HTTP/1.1 431"));
}

// Guards against requests without a route, a key or a configuration that are
// sent on.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutPermissionAreRefused, OneServer) {
  this->SetTable([](RouteTable& table) {
    table.routes.front().open = false;
    table.tenants = {{"t", 0}};
    table.keys = {{"secret", 0}};
  });
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/nowhere/x"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 404"));
  caller.Send(Request("r2", "/safe/x", "", "Key: wrong\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 401"));
  caller.Send(Request("r3", "/safe/x", "", "Key: secret\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r3"), "HTTP/1.1 200"));
  this->OnLoop([this] { this->handler.SetTable(nullptr); });
  caller.Send(Request("r4", "/safe/x"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 503"));
}

// Guards against requests that a stopping gateway cuts, and against new ones
// that it takes.
BOOST_FIXTURE_TEST_CASE(StoppingServerFinishesAndCloses, GatewayFixture) {
  std::atomic<bool> go{false};
  ScriptedServer server([&](const ReceivedRequest& request, Socket& socket) {
    while (!go) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    return Echo(request, socket);
  });
  this->AddServer(server);
  RawCaller idle(this->Address());
  RawCaller busy(this->Address());
  busy.Send(Request("r1", "/safe/x"));
  while (server.Requests().empty()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  this->OnLoop([this] {
    this->handler.RefuseNew();
    this->callers->StopAccepting();
    this->callers->CloseIdle();
  });
  BOOST_TEST(idle.ReadToEnd(2000).empty());
  go = true;
  const std::string answer = busy.ReadToEnd();
  BOOST_TEST(Contains(answer, "body of r1"));
  BOOST_TEST(Contains(answer, "Connection: close"));
}

}  // namespace sycamorebend::gateway
