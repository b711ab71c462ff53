// Responses of faulty servers: repeated, in the middle of a stream, or cut off
// in their head.
#include <string>
#include <thread>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

std::string Refusal(const ReceivedRequest& request, bool with_id) {
  const std::string id =
      with_id ? fmt::format("Request-Id: {}\r\n", request.Header("Request-Id"))
              : std::string();
  return fmt::format(
      "HTTP/1.1 503 Busy\r\n{}Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", id);
}

// Refuses the first request on each connection. Before it responds to the
// second one, it sends that refusal once more.
struct RepeatsRefusal {
  bool operator()(const ReceivedRequest& request, Socket& socket) {
    if (request.preceding_requests == 0) {
      *this->refusal = Refusal(request, this->with_id);
      socket.Send(Refusal(request, true));
      return true;
    }
    ++*this->runs;
    socket.Send(*this->refusal);
    std::this_thread::sleep_for(milliseconds(20));
    return Echo(request, socket);
  }

  bool with_id;
  std::string* refusal;
  std::atomic<int>* runs;
};

// @return a response to the request "r1".
std::string Answer(const std::string& status,
                   const std::string& headers,
                   const std::string& body) {
  return fmt::format("HTTP/1.1 {}\r\nRequest-Id: r1\r\n{}\r\n{}", status,
                     headers, body);
}

}  // namespace

// Guards against taking an earlier refusal that is sent once more for the
// response to the next request, which the server is running.
BOOST_AUTO_TEST_CASE(RepeatedRefusalIsNotTheNextResponse) {
  for (const bool with_id : {true, false}) {
    BOOST_TEST_CONTEXT("with id " << with_id) {
      GatewayFixture gateway;
      std::string refusal;
      std::atomic<int> runs{0};
      ScriptedServer server(RepeatsRefusal{with_id, &refusal, &runs});
      gateway.AddServer(server);
      RawCaller caller(gateway.Address());
      caller.Send(Request("r1", "/once/x", "first"));
      BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 503"));
      std::this_thread::sleep_for(milliseconds(200));
      caller.Send(Request("r2", "/once/x", "second"));
      const std::string response = caller.ReadUntil("\r\n\r\n", 2000);
      BOOST_TEST(runs == 1);
      BOOST_TEST(!Contains(response, "HTTP/1.1 503"));
      BOOST_TEST(!Contains(response, "busy"));
    }
  }
}

// Guards against passing on the status of a refusal whose server does not state
// that the order has not run: callers would send it again.
BOOST_AUTO_TEST_CASE(RefusalWithoutAStatementIsNotPassedOn) {
  for (const int status : {408, 429, 503}) {
    GatewayFixture gateway;
    ScriptedServer server([&](const ReceivedRequest& request, Socket& socket) {
      socket.Send(MakeResponse(request, status, "busy"));
      return true;
    });
    gateway.AddServer(server);
    RawCaller caller(gateway.Address());
    caller.Send(Request("r1", "/once/x", "order"));
    BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 502"),
               "status " << status);
  }
}

// Guards against an error of the second server, or its head, that appears in
// the middle of a stream, and against a stream that then ends as complete.
BOOST_AUTO_TEST_CASE(ErrorInsteadOfTheRestOfAStreamCutsIt) {
  const std::string answers[] = {
      Answer("500 Error", "Signed: yes\r\nContent-Length: 5\r\n", "error"),
      Answer("503 Busy", "Not-Run: 1\r\nContent-Length: 5\r\n", "error"),
      Answer("200 OK", "Signed: yes\r\nContent-Length: 5\r\n", "error"),
      // Unsigned.
      Answer("200 OK",
             "Content-Type: text/event-stream\r\nContent-Length: 20\r\n",
             "id: 2\ndata: error\n\n\n"),
      Answer("400 Bad", "Connection: close\r\n", "error"),
      "no answer at all: error\r\n\r\n"};
  for (const std::string& answer : answers) {
    BOOST_TEST_CONTEXT(answer) {
      GatewayFixture gateway;
      std::atomic<int> count{0};
      const auto script = [&](const ReceivedRequest& request, Socket& socket) {
        if (++count == 1) {
          socket.Send(StreamResponseHead(request) + EventChunk(1, "one"));
          std::this_thread::sleep_for(milliseconds(20));
          socket.Reset();
          return false;
        }
        socket.Send(answer);
        return false;
      };
      ScriptedServer first(script);
      ScriptedServer second(script);
      gateway.AddServer(first);
      gateway.AddServer(second);
      RawCaller caller(gateway.Address());
      caller.Send(Request("r1", "/stream/x", "ask"));
      const std::string received = caller.ReadToEnd();
      BOOST_TEST(count == 2);
      BOOST_TEST(Contains(received, "data: one"));
      BOOST_TEST(!Contains(received, "error"));
      BOOST_TEST(received.find("HTTP/1.1", 1) == std::string::npos);
      BOOST_TEST(!Contains(received, "\r\n0\r\n"));
    }
  }
}

// Guards against a response that is cut off in its head and reaches the caller
// as a complete one with an empty body.
BOOST_AUTO_TEST_CASE(ResponseCutInItsHeadIsAFailure) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSigned: yes\r\n"
      "Content-Length: 4\r\n\r\n";
  GatewayFixture gateway;
  std::atomic<std::size_t> cut{0};
  ScriptedServer server(
      [&](const ReceivedRequest& /*request*/, Socket& socket) {
        socket.Send(head.substr(0, cut));
        return false;
      });
  gateway.AddServer(server);
  for (; cut < head.size(); ++cut) {
    RawCaller caller(gateway.Address());
    caller.Send(Request("r1", cut % 2 == 0 ? "/once/x" : "/live/x", "order"));
    const std::string response = caller.ReadUntil("\r\n\r\n");
    BOOST_TEST(Contains(response, "HTTP/1.1 502"), "cut after " << cut);
  }
}

// Guards against a response without a valid status code that reaches the
// caller, or for which the request waits until its deadline.
BOOST_AUTO_TEST_CASE(AnswerWithoutAStatusIsAFailure) {
  for (const char* const status : {"000", "099", "600", "999", "20", "0200"}) {
    for (const char* const path : {"/once/x", "/live/x"}) {
      BOOST_TEST_CONTEXT(path << " " << status) {
        GatewayFixture gateway;
        ScriptedServer server(
            [&](const ReceivedRequest& /*request*/, Socket& socket) {
              socket.Send(Answer(std::string(status) + " Status",
                                 "Signed: yes\r\nContent-Length: 0\r\n", ""));
              // It is no informational response either, which another follows.
              socket.WaitForPeerClose(4000);
              return false;
            });
        gateway.AddServer(server);
        RawCaller caller(gateway.Address());
        caller.Send(Request("r1", path, "order"));
        const std::string response = caller.ReadUntil("\r\n\r\n", 2000);
        BOOST_TEST(Contains(response, "HTTP/1.1 502"), response);
      }
    }
  }
}

// Guards against a stream that goes on with the answer of a server without a
// valid status code.
BOOST_AUTO_TEST_CASE(RestOfAStreamWithoutAStatusCutsIt) {
  GatewayFixture gateway;
  std::atomic<int> count{0};
  const auto script = [&](const ReceivedRequest& request, Socket& socket) {
    if (++count == 1) {
      socket.Send(StreamResponseHead(request) + EventChunk(1, "one"));
      std::this_thread::sleep_for(milliseconds(20));
      socket.Reset();
      return false;
    }
    socket.Send(Answer("000 Trouble",
                       "Signed: yes\r\nContent-Type: text/event-stream\r\n"
                       "Content-Length: 20\r\n",
                       "id: 2\ndata: error\n\n\n"));
    return false;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  gateway.AddServer(first);
  gateway.AddServer(second);
  RawCaller caller(gateway.Address());
  caller.Send(Request("r1", "/stream/x", "ask"));
  const std::string received = caller.ReadToEnd();
  BOOST_TEST(count == 2);
  BOOST_TEST(Contains(received, "data: one"));
  BOOST_TEST(!Contains(received, "error"));
  BOOST_TEST(!Contains(received, "\r\n0\r\n"));
}

}  // namespace sycamorebend::gateway
