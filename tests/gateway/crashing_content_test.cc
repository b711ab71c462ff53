// Requests, and parts of prompts, that crash the servers that run them.
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "net/http_writer.h"

namespace sycamorebend::gateway {

namespace {

// Hash of the prompt part that crashes engines.
constexpr int kCrashingPart = 666;
// Requests with a crashing part that may reach servers after the fifth crash.
constexpr int kCrashesUntilLimit = 5;
constexpr int kRequestsAfterLimit = 3;
constexpr int kRounds = 12;
// Rounds of a request that crashes servers during its stream.
constexpr int kStreamRounds = 8;
// Time between two requests that crash servers.
constexpr Duration kPace = milliseconds(300);
// Crashes of a repeated request until the limit.
constexpr int kCrashesOfRequestUntilLimit = 3;
// Time between the events of a response and the crash that follows.
constexpr Duration kEventPause = milliseconds(30);

struct CrashOptions {
  // Events of the response before the crash.
  int events = 0;
  int crashes_until_limit = kCrashesUntilLimit;
};

// Servers that crash when they begin to respond to a marked request, or after
// some events of the response.
class CrashableServers {
 public:
  CrashableServers(GatewayFixture& gateway,
                   int count,
                   const std::string& marker,
                   const CrashOptions& options = {})
      : marker(marker), options(options) {
    for (int i = 0; i < count; ++i) {
      this->servers.push_back(std::make_unique<ScriptedServer>(
          [this, i](const ReceivedRequest& request, Socket& socket) {
            return this->Serve(static_cast<std::size_t>(i), request, socket);
          }));
      gateway.AddServer(*this->servers.back());
    }
  }

  int Crashes() const { return this->crashes; }
  // Number of marked requests that reached a server after the limit.
  int ArrivalsAfterLimit() const { return this->arrivals_after_limit; }

 private:
  bool Serve(std::size_t index,
             const ReceivedRequest& request,
             Socket& socket) {
    const bool marked = request.head.find(this->marker) != std::string::npos ||
                        request.body.find(this->marker) != std::string::npos;
    if (!marked) {
      socket.Send(StreamResponseHead(request) + EventChunk(1, "one") +
                  std::string(net::kLastChunk));
      return true;
    }
    if (this->crashes >= this->options.crashes_until_limit) {
      ++this->arrivals_after_limit;
    }
    socket.Send(StreamResponseHead(request));
    for (int event = 1; event <= this->options.events; ++event) {
      socket.Send(EventChunk(event, "one"));
      std::this_thread::sleep_for(kEventPause);
    }
    ++this->crashes;
    this->servers[index]->Crash();
    return false;
  }

  const std::string marker;
  const CrashOptions options;
  std::atomic<int> crashes{0};
  std::atomic<int> arrivals_after_limit{0};
  std::vector<std::unique_ptr<ScriptedServer>> servers;
};

// Sends a request and returns the status line of its response.
std::string Ask(const GatewayFixture& gateway,
                const std::string& id,
                const std::string& body,
                const std::string& prompt) {
  RawCaller caller(gateway.Address());
  caller.Send(Request(id, "/stream/x", body,
                      "Tokens: 30\r\nPrompt: " + prompt + "\r\n"));
  const std::string response = caller.ReadUntil("\r\n\r\n");
  return response.substr(0, response.find("\r\n"));
}

}  // namespace

// Guards against requests that share one part of their prompts and crash one
// server after the other, since no two of them are alike.
BOOST_FIXTURE_TEST_CASE(CrashingPromptPartIsKeptFromServers, GatewayFixture) {
  CrashableServers servers(*this, 2 * kRounds + 2,
                           fmt::format(" {} ", kCrashingPart));
  int sound = 0;
  for (int i = 0; i < kRounds; ++i) {
    // The first part is shared by all requests, the last belongs to one.
    const std::string prompt = fmt::format("1 {} {}", 100 + i % 3, 1000 + i);
    sound +=
        Contains(Ask(*this, fmt::format("sound{}", i), "a", prompt), "200");
    Ask(*this, fmt::format("bad{}", i), "b",
        fmt::format("1 {} {} {}", 100 + i % 3, kCrashingPart, 2000 + i));
    std::this_thread::sleep_for(kPace);
  }
  BOOST_TEST(servers.ArrivalsAfterLimit() <= kRequestsAfterLimit);
  BOOST_TEST(sound == kRounds);
}

// Guards against one request whose caller sends it again after each crash.
BOOST_FIXTURE_TEST_CASE(CrashingRequestIsKeptFromServers, GatewayFixture) {
  CrashableServers servers(*this, 2 * kRounds + 2, "crash me");
  for (int i = 0; i < kRounds; ++i) {
    BOOST_TEST(Contains(Ask(*this, fmt::format("sound{}", i),
                            fmt::format("ask {}", i), "1 100 1000"),
                        "200"));
    Ask(*this, fmt::format("bad{}", i), "crash me", "1 100 1000");
    std::this_thread::sleep_for(kPace);
  }
  BOOST_TEST(servers.ArrivalsAfterLimit() <= kRequestsAfterLimit);
}

// Guards against a repeated stream that crashes each server after it has begun
// to respond, which looks like a stream that was cut by another's crash.
BOOST_AUTO_TEST_CASE(RequestThatCrashesDuringItsStreamIsKeptFromServers) {
  for (const char* const path : {"/stream/x", "/live/x"}) {
    for (const int events : {1, 3}) {
      BOOST_TEST_CONTEXT(path << ", crashes after " << events << " events") {
        GatewayFixture gateway;
        CrashableServers servers(gateway, 2 * kStreamRounds + 2, "crash me",
                                 {events, kCrashesOfRequestUntilLimit});
        for (int i = 0; i < kStreamRounds; ++i) {
          RawCaller caller(gateway.Address());
          caller.Send(Request(fmt::format("bad{}", i), path, "crash me",
                              "Connection: close\r\n"));
          caller.ReadToEnd();
          std::this_thread::sleep_for(2 * kCrashReportWindow);
        }
        BOOST_TEST(servers.ArrivalsAfterLimit() <= kRequestsAfterLimit);
      }
    }
  }
}

// Guards against refusing a sound stream that was cut by the ends of two
// servers, alone on each of them.
BOOST_FIXTURE_TEST_CASE(StreamCutByTwoCrashesIsServedLater, GatewayFixture) {
  std::atomic<int> crashes_left{2};
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  for (std::size_t i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<ScriptedServer>(
        [&, i](const ReceivedRequest& request, Socket& socket) {
          socket.Send(StreamResponseHead(request) + EventChunk(1, "one"));
          if (--crashes_left >= 0) {
            std::this_thread::sleep_for(kEventPause);
            servers[i]->Crash();
            return false;
          }
          socket.Send(EventChunk(2, "two") + std::string(net::kLastChunk));
          return true;
        }));
    this->AddServer(*servers.back());
  }
  std::string response;
  for (int i = 0; i < 3; ++i) {
    RawCaller caller(this->Address());
    caller.Send(Request(fmt::format("sound{}", i), "/live/x", "ask",
                        "Connection: close\r\n"));
    response = caller.ReadToEnd();
    std::this_thread::sleep_for(kPace);
  }
  BOOST_TEST(Contains(response, "data: two"), response);
}

// Guards against a third server that crashes while the gateways still tell each
// other what was running on the second one.
BOOST_FIXTURE_TEST_CASE(RepeatedRequestWaitsForTheFinding, GatewayFixture) {
  CrashableServers servers(*this, 8, "crash me");
  Ask(*this, "first", "crash me", "1 100 1000");
  BOOST_TEST(servers.Crashes() == 2);
  std::this_thread::sleep_for(milliseconds(20));
  BOOST_TEST(Contains(Ask(*this, "again", "crash me", "1 100 1000"), " 503 "));
  BOOST_TEST(servers.Crashes() == 2);
}

// Guards against servers that crash by requests that they had received before
// the cause was found.
BOOST_FIXTURE_TEST_CASE(QueuedRequestsAreWithdrawnWhenTheCauseIsFound,
                        GatewayFixture) {
  std::atomic<bool> withdrawn{false};
  ScriptedServer queueing(
      [&](const ReceivedRequest& /*request*/, Socket& socket) {
        withdrawn = socket.WaitForPeerClose(5000);
        return false;
      });
  this->AddServer(queueing);
  std::string queued_answer;
  std::thread queued([&] {
    RawCaller caller(this->Address());
    caller.Send(Request("queued", "/live/x", "crash me"));
    queued_answer = caller.ReadUntil("\r\n\r\n");
  });
  while (queueing.Requests().empty()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  this->addresses.clear();
  CrashableServers servers(*this, 4, "crash me");
  for (int i = 0; i < 3; ++i) {
    RawCaller caller(this->Address());
    caller.Send(Request(fmt::format("bad{}", i), "/live/x", "crash me"));
    caller.ReadUntil("\r\n\r\n");
    std::this_thread::sleep_for(2 * kCrashReportWindow);
  }
  queued.join();
  BOOST_TEST(withdrawn);
  BOOST_TEST(Contains(queued_answer, " 502 "), queued_answer);
  BOOST_TEST(servers.Crashes() == 2);
}

// Guards against a caller that sends a request that crashes servers with
// another of its keys.
BOOST_FIXTURE_TEST_CASE(OtherKeyOfTheSameTenantIsTheSameRequest,
                        GatewayFixture) {
  CrashableServers servers(*this, 2 * kRounds + 2, "crash me");
  this->SetTable([](RouteTable& table) {
    table.tenants.resize(1);
    table.tenants[0].name = "one";
    for (int i = 0; i < kRounds; ++i) {
      table.keys[fmt::format("key{}", i)] = 0;
    }
  });
  for (int i = 0; i < kRounds; ++i) {
    RawCaller caller(this->Address());
    caller.Send(Request(fmt::format("bad{}", i), "/stream/x", "crash me",
                        fmt::format("Key: key{}\r\n", i)));
    caller.ReadUntil("\r\n\r\n");
    std::this_thread::sleep_for(kPace);
  }
  BOOST_TEST(servers.Crashes() <= kCrashesUntilLimit);
}

// Guards against blaming a prompt part for servers that end as announced while
// they still have requests.
BOOST_FIXTURE_TEST_CASE(EndOfALeavingServerIsNoCrash, GatewayFixture) {
  constexpr int kServers = 6;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::atomic<bool> end_all{true};
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<ScriptedServer>(
        [&, i](const ReceivedRequest& request, Socket& socket) {
          if (end_all) {
            socket.Send("HTTP/1.1 200 OK\r\nRequest-Id: " +
                        request.Header("Request-Id") +
                        "\r\nSigned: yes\r\nLeaving: 1\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n");
            servers[i]->Crash();
            return false;
          }
          socket.Send(StreamResponseHead(request) + EventChunk(1, "one") +
                      std::string(net::kLastChunk));
          return true;
        }));
    this->AddServer(*servers.back());
  }
  for (int i = 0; i < 2; ++i) {
    Ask(*this, fmt::format("lost{}", i), "a", fmt::format("1 2 {}", 10 + i));
    std::this_thread::sleep_for(kPace);
  }
  end_all = false;
  BOOST_TEST(Contains(Ask(*this, "next", "a", "1 2 20"), "200"));
}

}  // namespace sycamorebend::gateway
