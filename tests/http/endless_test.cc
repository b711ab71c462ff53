// Servers that send bytes without end to the HTTP client.
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/scripted_server.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

// A server sends `part` again and again, in place of the rest of its response.
// Guards against memory that a faulty server can take until a call's timeout.
BOOST_AUTO_TEST_CASE(EndlessBytesEndTheCall) {
  struct Case {
    const char* name;
    std::string begin;
    std::string part;
  };
  const std::string filler(4000, 'x');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  std::string informational;
  while (informational.size() < filler.size()) {
    informational += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  const std::vector<Case> cases = {
      {"status line", "HTTP/1.1 200 ", filler},
      {"header", head + "Other: ", filler},
      {"headers", head, "Other: " + filler + "\r\n"},
      {"informational responses", "", informational},
      {"body", head + "\r\n", filler},
      {"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "Other: " + filler + "\r\n"}};
  for (const Case& test : cases) {
    gateway::ScriptedServer server(
        [&](const gateway::ReceivedRequest&, gateway::Socket& socket) {
          socket.Send(test.begin);
          while (!socket.WaitForPeerClose(0)) {
            socket.Send(test.part);
          }
          return false;
        });
    const auto client = HttpClient::Create(1);
    HttpCall call;
    call.url = "http://" + server.Address() + "/";
    call.total_timeout = seconds(5);
    const Result<HttpResponse> response = client->Fetch(call);
    BOOST_REQUIRE_MESSAGE(!response, test.name);
    BOOST_TEST((response.error().code != ResultCode::kTransportTimeout),
               test.name);
  }
}

}  // namespace sycamorebend
