// Responses that begin before the server has read the request.
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "net/http_writer.h"

namespace sycamorebend::gateway {

namespace {

constexpr std::size_t kLongBody = 3 << 20;
constexpr int kRepeats = 4;

std::string Head(const ReceivedRequest& request, const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.Header("Request-Id") +
         "\r\nSigned: yes\r\n" + headers + "\r\n";
}

}  // namespace

// Guards against a response without a length that is reset while the request is
// still being sent, and reaches the caller as a complete one: the failed write
// takes the error from the socket, and the next read finds an ordinary end.
BOOST_AUTO_TEST_CASE(EarlyResponseThatIsResetIsIncomplete) {
  for (const char* const path :
       {"/once/x", "/safe/x", "/live/x", "/stream/x"}) {
    for (const int pause_ms : {0, 1, 5, 30}) {
      for (int i = 0; i < kRepeats; ++i) {
        const auto script = [&](const ReceivedRequest& request,
                                Socket& socket) {
          socket.Send(Head(request,
                           "Content-Type: text/event-stream\r\n"
                           "Connection: close\r\n") +
                      "id: 1\ndata: part\n\n");
          std::this_thread::sleep_for(milliseconds(pause_ms));
          socket.Reset();
          return false;
        };
        GatewayFixture gateway;
        ScriptedServer first(script, ScriptedServer::Bodies::kIgnored);
        ScriptedServer second(script, ScriptedServer::Bodies::kIgnored);
        gateway.AddServer(first);
        gateway.AddServer(second);
        RawCaller caller(gateway.Address());
        caller.Send(Request("r1", path, std::string(kLongBody, 'a'),
                            "Connection: close\r\n"));
        const std::string response = caller.ReadToEnd();
        const bool complete =
            Contains(response, "HTTP/1.1 200") &&
            (Contains(response, "Content-Length: ") ||
             Contains(response, std::string(net::kLastChunk)));
        BOOST_TEST(!complete,
                   path << ", reset after " << pause_ms << " ms: " << response);
      }
    }
  }
}

// Guards against dropping a complete response because the rest of its request
// could not be sent.
BOOST_AUTO_TEST_CASE(EarlyCompleteResponseIsPassedOn) {
  for (const bool reset : {false, true}) {
    for (int i = 0; i < kRepeats; ++i) {
      GatewayFixture gateway;
      ScriptedServer server(
          [&](const ReceivedRequest& request, Socket& socket) {
            socket.Send(Head(request, "Content-Length: 5\r\n") + "whole");
            if (reset) {
              socket.Reset();
            } else {
              socket.WaitForPeerClose(1000);
            }
            return false;
          },
          ScriptedServer::Bodies::kIgnored);
      gateway.AddServer(server);
      RawCaller caller(gateway.Address());
      caller.Send(Request("r1", "/once/x", std::string(kLongBody, 'a'),
                          "Connection: close\r\n"));
      const std::string response = caller.ReadToEnd();
      BOOST_TEST(Contains(response, "HTTP/1.1 200"), response);
      BOOST_TEST(Contains(response, "\r\n\r\nwhole"), response);
    }
  }
}

}  // namespace sycamorebend::gateway
