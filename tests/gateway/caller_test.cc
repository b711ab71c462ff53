// Tests of the caller side: parsing, limits, admission and connection handling.
#include <memory>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

struct OneServer : GatewayFixture {
  OneServer() { this->AddServer(this->server); }
  ScriptedServer server{Echo};
};

}  // namespace

// Guards against pipelined requests that are lost or whose responses are
// reordered.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreAnsweredInOrder, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x") + Request("r2", "/once/x", "order") +
              Request("r3", "/safe/x"));
  const std::string responses = caller.ReadUntil("body of r3");
  const std::size_t second = responses.find("body of r2");
  BOOST_TEST(responses.find("body of r1") < second);
  BOOST_TEST(second < responses.find("body of r3"));
}

// Guards against request smuggling: a request inside the body of another one
// must not be executed.
BOOST_FIXTURE_TEST_CASE(RequestInBodyIsNotExecuted, OneServer) {
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

// Guards against the loss of parts of a chunked body that arrives in several
// segments.
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

// Guards against a connection that stays open although the caller sent
// Connection: close.
BOOST_FIXTURE_TEST_CASE(ConnectionCloseIsRespected, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x", "", "Connection: close\r\n"));
  const std::string response = caller.ReadToEnd();
  BOOST_TEST(Contains(response, "Connection: close"));
  BOOST_TEST(Contains(response, "body of r1"));
}

// Guards against forwarding hop-by-hop headers to the server.
BOOST_FIXTURE_TEST_CASE(ConnectionHeadersAreNotForwarded, OneServer) {
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x", "",
                      "Connection: Private\r\nPrivate: 1\r\nTE: trailers\r\n"));
  caller.ReadUntil("body of r1");
  const auto requests = this->server.Requests();
  BOOST_TEST(requests[0].Header("Private").empty());
  BOOST_TEST(requests[0].Header("TE").empty());
}

// Guards against a single caller that exhausts the memory of the gateway.
BOOST_FIXTURE_TEST_CASE(LargeRequestsAreRejected, OneServer) {
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

// Guards against a body over the limit that is read to its end, and against a
// caller that sees a reset instead of the status.
BOOST_FIXTURE_TEST_CASE(ChunksPastTheLimitAreRejectedAtOnce, OneServer) {
  this->OnLoop([this] {
    CallerLimits limits;
    limits.body_bytes = 1000;
    this->callers->SetLimits(limits);
  });
  RawCaller caller(this->Address());
  caller.Send(
      "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 10; ++i) {
    caller.Send(Chunk(std::string(64 << 10, 'x')));
  }
  BOOST_TEST(Contains(caller.ReadToEnd(), "HTTP/1.1 413"));
  BOOST_TEST(!caller.WasReset());
  BOOST_TEST(this->server.Requests().empty());
}

// Guards against forwarding requests without a matching route, a valid API key
// or a configuration.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutPermissionAreRejected, OneServer) {
  this->SetTable([](RouteTable& table) {
    table.routes.front().open = false;
    table.keys_required = true;
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

// Guards against final statuses (404, 401) for requests that only the newer
// configuration allows, from a gateway that has had no contact to the control
// replicas for a while. What its configuration allows is still served.
BOOST_FIXTURE_TEST_CASE(UnconfirmedConfigurationRejectsForNowOnly, OneServer) {
  this->SetTable([](RouteTable& table) {
    table.routes.front().open = false;
    table.keys_required = true;
    table.tenants = {{"t", 0}};
    table.keys = {{"secret", 0}};
  });
  this->OnLoop([this] {
    this->handler.SetConfirmationAge([] { return seconds(3); }, seconds(2));
  });
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/nowhere/x"));
  const std::string unknown = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(Contains(unknown, "HTTP/1.1 503"));
  BOOST_TEST(Contains(unknown, "Retry-After: "));
  caller.Send(Request("r2", "/safe/x", "", "Key: wrong\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 503"));
  caller.Send(Request("r3", "/safe/x", "", "Key: secret\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r3"), "HTTP/1.1 200"));
  this->OnLoop([this] {
    this->handler.SetConfirmationAge([] { return seconds(1); }, seconds(2));
  });
  caller.Send(Request("r4", "/nowhere/x"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 404"));
}

// Guards against a stopping gateway that aborts requests in progress or keeps
// idle connections open.
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
    this->handler.RejectNewRequests();
    this->callers->StopAccepting();
    this->callers->CloseIdle();
  });
  BOOST_TEST(idle.ReadToEnd(2000).empty());
  go = true;
  const std::string response = busy.ReadToEnd();
  BOOST_TEST(Contains(response, "body of r1"));
  BOOST_TEST(Contains(response, "Connection: close"));
}

// Callers connect and send requests just before the listening socket is closed.
// Guards against requests in the accept queue or in a socket's buffer that are
// cut off without a response.
BOOST_FIXTURE_TEST_CASE(RequestsSentBeforeTheStopAreAnswered, OneServer) {
  RawCaller kept(this->Address());
  kept.Send(Request("r0", "/safe/x"));
  BOOST_TEST(Contains(kept.ReadUntil("body of r0"), "HTTP/1.1 200"));
  constexpr int kCallers = 150;
  std::vector<std::unique_ptr<RawCaller>> callers;
  this->OnLoop([&] {
    kept.Send(Request("r1", "/once/x", "order"));
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<RawCaller>(this->Address()));
      callers.back()->Send(Request("c" + std::to_string(i), "/safe/x"));
    }
    this->handler.RejectNewRequests();
    this->callers->StopAccepting();
    this->callers->CloseIdle();
  });
  BOOST_TEST(Contains(kept.ReadToEnd(2000), "HTTP/1.1 503"));
  int answered = 0;
  for (const auto& caller : callers) {
    answered += Contains(caller->ReadToEnd(2000), "HTTP/1.1 ") ? 1 : 0;
  }
  BOOST_TEST(answered == kCallers);
}

// A request has begun to arrive and a large response is being sent when the
// process stops. Guards against ending the process before both are finished.
BOOST_FIXTURE_TEST_CASE(StopWaitsForHalfReadRequestsAndResponses,
                        GatewayFixture) {
  constexpr std::size_t kBodyBytes = 1000 << 10;
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(MakeResponse(request, 200, std::string(kBodyBytes, 'b')));
    return true;
  });
  this->AddServer(server);
  const auto quiet = [this] {
    bool result = false;
    this->OnLoop([&] {
      this->callers->CloseIdle();
      result = this->callers->Quiet();
    });
    return result;
  };
  RawCaller half(this->Address());
  half.Send("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n");
  // Together larger than the buffers of the sockets.
  constexpr std::size_t kResponses = 24;
  RawCaller slow(this->Address());
  for (std::size_t i = 0; i < kResponses; ++i) {
    slow.Send(Request("s" + std::to_string(i), "/safe/x"));
  }
  while (server.Requests().size() < kResponses || this->OpenRequests() > 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  this->OnLoop([this] {
    this->handler.RejectNewRequests();
    this->callers->StopAccepting();
  });
  BOOST_TEST(!quiet());
  half.Send("Request-Id: r1\r\n\r\n");
  BOOST_TEST(Contains(half.ReadToEnd(2000), "HTTP/1.1 503"));
  BOOST_TEST(!quiet());
  BOOST_TEST(slow.ReadToEnd().size() > kResponses * kBodyBytes);
  BOOST_TEST(quiet());
}

}  // namespace sycamorebend::gateway
