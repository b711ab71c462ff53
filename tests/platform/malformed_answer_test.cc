// Servers with malformed responses, at a gateway with other requests in work.
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "case_count.h"
#include "platform/busy_gateway.h"

namespace sycamorebend::platform {

namespace {

using gateway::Contains;
using gateway::ReceivedRequest;
using gateway::ScriptedServer;
using gateway::Socket;

constexpr const char* kMalformed = "malformed";
// The servers report again after as many cases, before their leases expire.
constexpr int kCasesPerReport = 100;

// Draws malformed responses. Whether a server leaves or wants no requests is
// not stated soundly by any of them, since the others would not be asked for.
class ResponseGenerator {
 public:
  explicit ResponseGenerator(unsigned seed) : random(seed) {}

  std::string Draw(const std::string& request_id) {
    const bool stream = this->Chance(2);
    std::string text =
        this->Pick({"HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 500 Error\r\n",
                    "HTTP/1.1 503 Busy\r\n",
                    "HTTP/1.1 429 Busy\r\n",
                    "HTTP/1.1 408 Late\r\n",
                    "HTTP/1.1 421 Other\r\n",
                    "HTTP/1.1 204 None\r\n",
                    "HTTP/1.1 304 Same\r\n",
                    "HTTP/1.1 101 Switching\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 0 Zero\r\n",
                    "HTTP/1.1 99999 Many\r\n",
                    "HTTP/1.1 -200 OK\r\n",
                    "HTTP/1.1\r\n",
                    "HTTP/9.9 200 OK\r\n",
                    "HTTP/1.0 200 OK\r\n",
                    "http/1.1 200 ok\r\n",
                    "\r\n\r\n",
                    "GET / HTTP/1.1\r\n",
                    "HTTP/1.1 200 \xff\xfe\r\n"});
    text += this->Header(kRequestId, {request_id, request_id, request_id, "",
                                      "other", ",", std::string(70000, 'x')});
    text += this->Header("X-Sycamorebend-Response-Signature",
                         {"s", "s", "s", "", "\xff", std::string(9000, 's')});
    text += this->Header("X-Sycamorebend-Not-Executed", {"1", "", "0"}, 4);
    text += this->Header("X-Sycamorebend-Instance-Load", Loads(), 2);
    text += this->Header("Keep-Alive",
                         {"timeout=5", "timeout=", "timeout=-1", "timeout=0",
                          "timeout=2147483647", "timeout=99999999999",
                          "timeout", "timeout=5,timeout=x", ",,,"},
                         2);
    text += this->Header("Server-Leaving", {"", "0", "11", "yes"}, 4);
    text += this->Header("Retry-After",
                         {"", "-1", "nan", "inf", "1e300", "soon", "0.01"}, 4);
    text +=
        this->Header("Connection", {"close", "keep-alive", "x, close", ""}, 3);
    if (stream) {
      text += "Content-Type: text/event-stream\r\n";
    }
    std::string body = stream ? this->Events() : "body of " + request_id;
    text += this->Framing(body);
    text += this->Pick({"\r\n", "\r\n", "\r\n", "\r\n", "\n", "", "\r\r\n"});
    text += body;
    if (this->Chance(4)) {
      text.resize(this->random() % (text.size() + 1));
    }
    for (int i = this->Chance(4) ? 3 : 0; i > 0 && !text.empty(); --i) {
      this->ChangeByte(text);
    }
    if (this->Chance(6)) {
      text += this->Pick({"x", "\r\n", "HTTP/1.1 200 OK\r\n\r\n", text});
    }
    return text;
  }
  // @return true with a probability of 1 / `of`.
  bool Chance(unsigned of) { return this->random() % of == 0; }

 private:
  static std::vector<std::string> Loads() {
    return {"1,1,8",
            "",
            ",",
            "1,1",
            "-1,-1,-1",
            "2147483647,2147483647,2147483647",
            "1,1,0",
            "1048576,0,8",
            "99999999999999999999,1,1",
            "a,b,c",
            "1,1,8,1",
            "0,0,0"};
  }

  // Spares the lines by which a server may state that it wants no requests.
  void ChangeByte(std::string& text) {
    const std::size_t at = this->random() % text.size();
    const std::size_t end = text.rfind('\n', at);
    const std::size_t begin = end == std::string::npos ? 0 : end + 1;
    if (text.compare(begin, 1, "S") != 0 && text.compare(begin, 2, "Re") != 0) {
      text[at] = static_cast<char>(this->random() % 256);
    }
  }

  std::string Pick(const std::vector<std::string>& values) {
    return values[this->random() % values.size()];
  }

  // @return the header, mostly once, with a probability of 1 / `of`.
  std::string Header(const std::string& name,
                     const std::vector<std::string>& values,
                     unsigned of = 1) {
    std::string text;
    for (int i = this->Chance(8) ? 2 : this->Chance(of) ? 1 : 0; i > 0; --i) {
      text += fmt::format("{}: {}\r\n", name, this->Pick(values));
    }
    return text;
  }

  std::string Events() {
    std::string text;
    for (int i = static_cast<int>(this->random() % 4); i > 0; --i) {
      text += this->Pick({"id: 1\ndata: x\n\n", "id: 2\r\ndata: x\r\n\r\n",
                          "id: -9223372036854775808\ndata: x\n\n",
                          "id: 9223372036854775807\ndata: x\n\n",
                          "id: 9223372036854775808\ndata: x\n\n",
                          "id: x\ndata: x\n\n", "id\n\n", "data\n\n", ": c\n\n",
                          "\n\n", "\r\r", "id: 1\n",
                          std::string("data: \0\n\n", 9), "data: [DONE]\n\n"});
    }
    return text;
  }

  // @return the headers that state the framing of `body`, which it may change.
  std::string Framing(std::string& body) {
    if (this->Chance(3)) {
      body =
          this->Pick({fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body),
                      fmt::format("{:x};a=b\r\n{}\r\n0\r\nT: t\r\n\r\n",
                                  body.size(), body),
                      "ffffffffffffffff\r\n" + body, "-1\r\n" + body, "\r\n",
                      "1\r\n" + body, "0\r\n", "zz\r\n" + body});
      return this->Pick({"Transfer-Encoding: chunked\r\n",
                         "Transfer-Encoding: gzip, chunked\r\n",
                         "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                         "Transfer-Encoding: x\r\n"});
    }
    return this->Pick({fmt::format("Content-Length: {}\r\n", body.size()),
                       fmt::format("Content-Length: {}\r\n", body.size()),
                       fmt::format("Content-Length: {}\r\n", body.size() + 1),
                       fmt::format("Content-Length: {}\r\n", body.size() / 2),
                       "Content-Length: 18446744073709551615\r\n",
                       "Content-Length: 18446744073709551616\r\n",
                       "Content-Length: -1\r\n", "Content-Length: \r\n",
                       "Content-Length: 1\r\nContent-Length: 2\r\n", ""});
  }

  std::mt19937 random;
};

// Responds to some requests soundly, to those with a certain ID not.
class MalformedServer {
 public:
  explicit MalformedServer(unsigned seed) : responses(seed) {}

  bool operator()(const ReceivedRequest& request, Socket& socket) {
    const std::string id = request.Header(kRequestId);
    if (!Contains(id, kMalformed)) {
      const std::string body = "body of " + id;
      socket.Send(fmt::format(
          "HTTP/1.1 200 OK\r\n{}: {}\r\n{}Content-Length: {}\r\n\r\n{}",
          kRequestId, id, kSignature, body.size(), body));
      return true;
    }
    std::string response;
    bool keeps_open = false;
    {
      const std::lock_guard lock(this->mutex);
      response = this->responses.Draw(id);
      keeps_open = this->responses.Chance(4);
    }
    socket.Send(response);
    return keeps_open;
  }

 private:
  std::mutex mutex;
  ResponseGenerator responses;
};

}  // namespace

// Guards against responses that end the process, leave a caller without an
// answer, or are taken for the response to the next request.
BOOST_AUTO_TEST_CASE(MalformedAnswersHarmNoOtherRequest) {
  const int cases = MalformedCaseCount();
  const unsigned seed = MalformedSeed();
  MalformedServer script(seed);
  const auto serve = [&](const ReceivedRequest& request, Socket& socket) {
    return script(request, socket);
  };
  ScriptedServer first(serve);
  ScriptedServer second(serve);
  BusyGateway gateway;
  gateway.AddFaultyServer(first);
  gateway.AddFaultyServer(second);
  gateway.HoldRequests();
  const std::vector<std::string> routes = {"fa", "fn", "fs"};
  std::mt19937 random(seed);
  int served = 0;
  for (int i = 0; i < cases; ++i) {
    if (i % kCasesPerReport == 0) {
      gateway.ReportFaultyServers();
    }
    const std::string& route = routes[random() % routes.size()];
    const std::string where = fmt::format("seed {}, case {}", seed, i);
    const std::string answer = gateway.Send(fmt::format(
        "POST /{}/x HTTP/1.1\r\nHost: h.example\r\n{}: {}-{}\r\n"
        "X-Sycamorebend-Token-Usage: 100,10\r\n"
        "X-Sycamorebend-Prefix-Hash: a:50,{:x}:50\r\n"
        "X-Sycamorebend-Deadline-Ms: 200\r\nContent-Length: 0\r\n\r\n",
        route, kRequestId, kMalformed, i, i));
    BOOST_TEST(Contains(answer, "HTTP/1.1 "), where);
    if (!gateway.Process().Running()) {
      break;
    }
    gateway::RawCaller caller(gateway.Address());
    caller.Send(
        fmt::format("GET /fa/x HTTP/1.1\r\nHost: h.example\r\n"
                    "Connection: close\r\n{}: sound-{}\r\n\r\n",
                    kRequestId, i));
    const std::string sound = caller.ReadToEnd();
    const std::string body = fmt::format("\r\n\r\nbody of sound-{}", i);
    const bool whole = Contains(sound, "HTTP/1.1 200") &&
                       sound.size() > body.size() &&
                       sound.substr(sound.size() - body.size()) == body;
    BOOST_TEST((whole || Contains(sound, "HTTP/1.1 502")),
               where << ": " << sound);
    served += whole ? 1 : 0;
  }
  // A response with extra bytes may spoil the connection of the next request.
  BOOST_TEST(served >= cases * 9 / 10);
  gateway.CheckHeldRequests();
}

}  // namespace sycamorebend::platform
