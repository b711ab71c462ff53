// Responses that end early at the HTTP client, with each framing.
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/scripted_server.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

namespace {

struct Ending {
  const char* name;
  std::string bytes;
  bool reset;  // Otherwise the connection is closed.
};

Result<HttpResponse> FetchFrom(const Ending& ending) {
  gateway::ScriptedServer server(
      [&](const gateway::ReceivedRequest&, gateway::Socket& socket) {
        socket.Send(ending.bytes);
        if (ending.reset) {
          // The client reads what arrived before the reset.
          std::this_thread::sleep_for(milliseconds(50));
          socket.Reset();
        }
        return false;
      });
  const auto client = HttpClient::Create(1);
  HttpCall call;
  call.url = "http://" + server.Address() + "/";
  return client->Fetch(call);
}

const std::string kHead = "HTTP/1.1 200 OK\r\n";

}  // namespace

// Guards against a response that was broken off and counts as complete.
BOOST_AUTO_TEST_CASE(TruncatedResponsesAreErrors) {
  const std::vector<Ending> endings = {
      {"no response", "", false},
      {"in the status line", "HTTP/1.1 2", false},
      {"after the status line", kHead, false},
      {"in a header", kHead + "Content-Le", false},
      {"after a header", kHead + "Content-Length: 2\r\n", false},
      {"after an informational response", "HTTP/1.1 100 Continue\r\n\r\n",
       false},
      {"in a body with a length", kHead + "Content-Length: 9\r\n\r\nhalf",
       false},
      {"in a chunk", kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhal",
       false},
      {"before the last chunk",
       kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
      {"in the last chunk",
       kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", false},
      {"reset in a body without framing", kHead + "\r\nhalf", true},
  };
  for (const Ending& ending : endings) {
    const Result<HttpResponse> response = FetchFrom(ending);
    BOOST_TEST(!response, ending.name);
  }
}

// Guards against a response whose status is no status code.
BOOST_AUTO_TEST_CASE(InvalidStatusIsAnError) {
  for (const char* const status :
       {"000", "001", "099", "600", "999", "20", "2", "0200", "2000", "+200",
        "-200", " 200", "20x", "2 0", "", "OK"}) {
    const Result<HttpResponse> response =
        FetchFrom({status,
                   "HTTP/1.1 " + std::string(status) +
                       " Status\r\nContent-Length: 4\r\n\r\nbody",
                   false});
    BOOST_TEST(!response, "\"" << status << "\" gave "
                               << (response ? response.value().status : 0));
  }
}

// Guards against a response without a length that is reset while the request is
// still being sent, and counts as complete.
BOOST_AUTO_TEST_CASE(EarlyResponseThatIsResetIsAnError) {
  for (const int pause_ms : {0, 1, 5, 30}) {
    for (int i = 0; i < 4; ++i) {
      gateway::ScriptedServer server(
          [&](const gateway::ReceivedRequest&, gateway::Socket& socket) {
            socket.Send(kHead + "\r\npart");
            std::this_thread::sleep_for(milliseconds(pause_ms));
            socket.Reset();
            return false;
          },
          gateway::ScriptedServer::Bodies::kIgnored);
      const auto client = HttpClient::Create(1);
      HttpCall call;
      call.method = "POST";
      call.url = "http://" + server.Address() + "/";
      call.body.assign(8 << 20, 'a');
      const Result<HttpResponse> response = client->Fetch(call);
      BOOST_TEST(!response, "reset after " << pause_ms << " ms");
    }
  }
}

// Guards against a sound response that counts as broken off.
BOOST_AUTO_TEST_CASE(ResponsesEndByEachFraming) {
  const std::vector<Ending> endings = {
      {"length", kHead + "Content-Length: 5\r\n\r\nwhole", false},
      {"chunks",
       kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
       false},
      {"connection", kHead + "\r\nwhole", false},
  };
  for (const Ending& ending : endings) {
    const Result<HttpResponse> response = FetchFrom(ending);
    BOOST_TEST((response && response.value().status == 200), ending.name);
    BOOST_TEST((response && response.value().body == "whole"), ending.name);
  }
}

}  // namespace sycamorebend
