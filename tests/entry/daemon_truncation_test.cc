// Responses of backend servers that end early, as the entry daemon's callers
// see them.
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "daemon_fixture.h"
#include "gateway/scripted_server.h"

namespace sycamorebend::entry {

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStreamHead =
    kHead + "Content-Type: text/event-stream\r\nConnection: close\r\n";

gateway::ScriptedServer::Script SendAndClose(const std::string& bytes) {
  return [bytes](const gateway::ReceivedRequest&, gateway::Socket& socket) {
    socket.Send(bytes);
    return false;
  };
}

bool BodyContains(const HttpResponse& response, const std::string& part) {
  return response.body.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Truncation)

// Guards against an order that is recorded as run with a response that was
// broken off.
BOOST_AUTO_TEST_CASE(OrderWithTruncatedResponseIsUnknown) {
  const std::vector<std::string> responses = {
      kHead + "Content-Le", kHead + "Content-Length: 9\r\n\r\nhalf",
      kChunked + "5\r\nhello\r\n", kStreamHead + "\r\nid: 1\ndata: on"};
  for (const std::string& bytes : responses) {
    // A daemon for each response, since it avoids servers that fail.
    DaemonFixture daemon;
    const gateway::ScriptedServer service(SendAndClose(bytes));
    daemon.AddServer("parts-1", service.Address());
    const HttpResponse response = daemon.Fetch(daemon.OrderCall("key-1"));
    BOOST_TEST(BodyContains(response, "\"code\":404"), bytes);
    BOOST_TEST(BodyContains(response, "\"ran\":\"unknown\""), bytes);
    BOOST_TEST(daemon.replica.RecordState("key-1") == "started", bytes);
  }
}

// Guards against a stream that was broken off and reaches its caller without an
// error event, or with the event that marks the end.
BOOST_AUTO_TEST_CASE(TruncatedStreamEndsWithAnErrorEvent) {
  const std::string events = "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {\"a\"";
  const std::string chunk =
      fmt::format("{:x}\r\n{}\r\n", events.size(), events);
  const std::vector<std::string> responses = {
      kStreamHead + "\r\n" + events,
      fmt::format("{}Content-Length: {}\r\n\r\n{}", kStreamHead, events.size(),
                  events),
      fmt::format("{}Content-Length: {}\r\n\r\n{}", kStreamHead,
                  events.size() + 1, events),
      kStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
      kStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"};
  for (const std::string& bytes : responses) {
    DaemonFixture daemon;
    const gateway::ScriptedServer engine(SendAndClose(bytes));
    daemon.AddServer("engine-1", engine.Address());
    const HttpResponse response = daemon.Fetch(daemon.ChatCall("hello", true));
    BOOST_TEST(BodyContains(response, "id: 1"), bytes);
    BOOST_TEST(!BodyContains(response, "id: 2"), bytes);
    BOOST_TEST(BodyContains(response, "event: error"), bytes);
    BOOST_TEST(!BodyContains(response, "[DONE]"), bytes);
  }
}

// Guards against an event stream of a plain service that was broken off and
// reaches its caller as complete.
BOOST_AUTO_TEST_CASE(TruncatedEventsOfAServiceAreAnError) {
  DaemonFixture daemon;
  const gateway::ScriptedServer service(
      SendAndClose(kStreamHead + "\r\nid: 1\ndata: on"));
  daemon.AddServer("parts-1", service.Address());
  HttpCall call = daemon.Call("GET", "/stock");
  call.headers.push_back({"X-Sycamorebend-Labels", "kind=lookup"});
  const HttpResponse response = daemon.Fetch(std::move(call));
  BOOST_TEST(response.status >= 500);
  BOOST_TEST(BodyContains(response, "\"ran\":\"unknown\""), response.body);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::entry
