// What callers see of failures of backend servers.
#include <set>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

// Breaks the connection of the first request, then answers.
ScriptedServer::Script BreakFirst(std::atomic<int>& count) {
  return [&count](const ReceivedRequest& request, Socket& socket) {
    if (++count == 1) {
      socket.Reset();
      return false;
    }
    return Echo(request, socket);
  };
}

}  // namespace

// Guards against changed requests: method, path with query, headers and body
// reach the server as the caller sent them.
BOOST_FIXTURE_TEST_CASE(RequestArrivesUnchanged, GatewayFixture) {
  ScriptedServer server(Echo);
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/a%20b?c=d&e", "some body", "Other: x\r\n"));
  const std::string answer = caller.ReadUntil("body of r1");
  BOOST_TEST(Contains(answer, "HTTP/1.1 200"));
  BOOST_TEST(Contains(answer, "Signed: yes"));
  const auto requests = server.Requests();
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].head.rfind("POST /once/a%20b?c=d&e HTTP/1.1", 0) ==
             0U);
  BOOST_TEST(requests[0].body == "some body");
  BOOST_TEST(requests[0].Header("Other") == "x");
}

// Guards against a connection for each request.
BOOST_FIXTURE_TEST_CASE(ConnectionsAreUsedAgain, GatewayFixture) {
  ScriptedServer server(Echo);
  this->AddServer(server);
  RawCaller caller(this->Address());
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r" + std::to_string(i);
    caller.Send(Request(id, "/safe/x"));
    BOOST_TEST(Contains(caller.ReadUntil("body of " + id), "body of " + id));
  }
  BOOST_TEST(server.Connections() == 1);
}

// Guards against a repeat of a request that may have run.
BOOST_FIXTURE_TEST_CASE(LostAnswerOfAnOrderIsNotRepeated, GatewayFixture) {
  std::atomic<int> count{0};
  ScriptedServer first(BreakFirst(count));
  ScriptedServer second(BreakFirst(count));
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  // 502 promises nothing; 503 would promise that the order has not run.
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 502"));
  BOOST_TEST(count == 1);
}

// Guards against a caller that sees a failure which a repeat would hide.
BOOST_FIXTURE_TEST_CASE(LostAnswerOfALookUpIsRepeated, GatewayFixture) {
  std::atomic<int> count{0};
  ScriptedServer first(BreakFirst(count));
  ScriptedServer second(BreakFirst(count));
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r1"), "HTTP/1.1 200"));
  BOOST_TEST(count == 2);
}

// Guards against an order that is given up although the server said that it
// did not run it, and against a promise without that.
BOOST_FIXTURE_TEST_CASE(RefusedOrderGoesToAnotherServer, GatewayFixture) {
  std::atomic<int> refusals{0};
  const auto refuse_once = [&](const ReceivedRequest& request, Socket& socket) {
    if (++refusals == 1) {
      socket.Send(Answer(request, 503, "", "Not-Run: 1\r\n"));
      return true;
    }
    return Echo(request, socket);
  };
  ScriptedServer first(refuse_once);
  ScriptedServer second(refuse_once);
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r1"), "HTTP/1.1 200"));
}

// Guards against a refusal without the time to come back.
BOOST_FIXTURE_TEST_CASE(RefusalEverywhereIsToldWithATime, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(Answer(request, 503, "", "Not-Run: 1\r\n"));
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  const std::string answer = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 503"));
  BOOST_TEST(Contains(answer, "Retry-After: 0."));
}

// Guards against a request that waits for a server that is not there.
BOOST_FIXTURE_TEST_CASE(UnreachableServerCostsNoAttempt, GatewayFixture) {
  ScriptedServer server(Echo);
  this->SetServers({"127.0.0.1:1", server.Address()});
  RawCaller caller(this->Address());
  for (int i = 0; i < 4; ++i) {
    const std::string id = "r" + std::to_string(i);
    caller.Send(Request(id, "/once/x", "order"));
    BOOST_TEST(Contains(caller.ReadUntil("body of " + id), "HTTP/1.1 200"));
  }
}

// Guards against answers of other requests: a late second answer is skipped,
// and its connection is not used again.
BOOST_FIXTURE_TEST_CASE(LateSecondAnswerIsSkipped, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    if (request.earlier == 1) {
      socket.Send(
          "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nSigned: yes\r\n"
          "Content-Length: 5\r\n\r\nstale");
    }
    return Echo(request, socket);
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  for (int i = 0; i < 3; ++i) {
    const std::string id = "r" + std::to_string(i);
    caller.Send(Request(id, "/safe/x"));
    const std::string answer = caller.ReadUntil("body of " + id);
    BOOST_TEST(Contains(answer, "body of " + id));
    BOOST_TEST(!Contains(answer, "stale"));
  }
  BOOST_TEST(server.Connections() == 2);
}

// Guards against bytes after an answer that become the next one.
BOOST_FIXTURE_TEST_CASE(BytesAfterAnAnswerEndTheConnection, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(
        Answer(request, 200, "body of " + request.Header("Request-Id")) +
        "garbage");
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  for (int i = 0; i < 2; ++i) {
    const std::string id = "r" + std::to_string(i);
    caller.Send(Request(id, "/safe/x"));
    const std::string answer = caller.ReadUntil("body of " + id, 2000);
    BOOST_TEST(Contains(answer, "body of " + id));
    BOOST_TEST(!Contains(answer, "garbage"));
  }
  BOOST_TEST(server.Connections() == 2);
}

// Guards against a success that the server did not sign.
BOOST_FIXTURE_TEST_CASE(UnsignedSuccessIsNotPassedOn, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(Answer(request, 200, "forged", ""));
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  const std::string answer = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(Contains(answer, "HTTP/1.1 502"));
  BOOST_TEST(!Contains(answer, "forged"));
}

// Guards against a whole-looking answer that was cut off.
BOOST_FIXTURE_TEST_CASE(TruncatedAnswerIsNotPassedOn, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    const std::string whole = Answer(request, 200, "0123456789");
    socket.Send(whole.substr(0, whole.size() - 4));
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 502"));
}

// Guards against an answer without a length that is lost or not ended.
BOOST_FIXTURE_TEST_CASE(AnswerThatEndsWithItsConnectionIsWhole,
                        GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send("HTTP/1.1 200 OK\r\nSigned: yes\r\nRequest-Id: " +
                request.Header("Request-Id") + "\r\n\r\nunframed");
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x"));
  BOOST_TEST(Contains(caller.ReadUntil("unframed"), "unframed"));
}

// Guards against events that wait for the end of their stream.
BOOST_FIXTURE_TEST_CASE(EventsArriveOneByOne, GatewayFixture) {
  std::atomic<bool> seen{false};
  ScriptedServer server([&](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamHead(request) + EventChunk(1, "first"));
    while (!seen) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    socket.Send(EventChunk(2, "second") + "0\r\n\r\n");
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/live/x", "prompt"));
  BOOST_TEST(Contains(caller.ReadUntil("first"), "first"));
  seen = true;
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "second"));
}

// Guards against missing, doubled and joined events when an engine breaks off
// in the middle of one.
BOOST_FIXTURE_TEST_CASE(BrokenStreamGoesOnAtAnotherServer, GatewayFixture) {
  const auto script = [](const ReceivedRequest& request, Socket& socket) {
    if (request.Header("Resume-After").empty()) {
      socket.Send(StreamHead(request) + EventChunk(1, "one") +
                  EventChunk(2, "two") + Chunk("id: 3\ndata: thr"));
      socket.Reset();
      return false;
    }
    socket.Send(StreamHead(request) + EventChunk(3, "three") + "0\r\n\r\n");
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/stream/x", "prompt"));
  const std::string answer = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(Contains(answer, "id: 1\ndata: one\n\n"));
  BOOST_TEST(Contains(answer, "id: 2\ndata: two\n\n"));
  BOOST_TEST(Contains(answer, "id: 3\ndata: three\n\n"));
  BOOST_TEST(!Contains(answer, "thr\r"));
  const std::string resumed = first.Requests()[0].Header("Resume-After") +
                              second.Requests()[0].Header("Resume-After");
  BOOST_TEST(resumed == "2");
}

// Guards against a cut stream that looks whole.
BOOST_FIXTURE_TEST_CASE(CutStreamHasNoEnd, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamHead(request) + EventChunk(1, "one"));
    std::this_thread::sleep_for(milliseconds(50));
    socket.Reset();
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/live/x", "prompt"));
  const std::string answer = caller.ReadToEnd();
  BOOST_TEST(Contains(answer, "data: one"));
  BOOST_TEST(!Contains(answer, "0\r\n\r\n"));
}

// Guards against an engine that works on for a caller that has left.
BOOST_FIXTURE_TEST_CASE(CallerThatLeavesFreesTheServer, GatewayFixture) {
  std::atomic<int> closed{-1};
  ScriptedServer server([&](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamHead(request) + EventChunk(1, "one"));
    closed = socket.PeerCloses(5000) ? 1 : 0;
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/live/x", "prompt"));
  caller.ReadUntil("data: one");
  caller.Close();
  while (closed < 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  BOOST_TEST(closed == 1);
  BOOST_TEST(this->OpenRequests() == 0);
}

// Guards against a caller that is kept waiting beyond its route's time, and
// against the promise that a request which was sent has not run.
BOOST_FIXTURE_TEST_CASE(TimeOfTheRouteEndsARequest, GatewayFixture) {
  this->SetTable([](RouteTable& table) {
    for (Route& route : table.routes) {
      route.timeout = milliseconds(300);
    }
  });
  ScriptedServer server([](const ReceivedRequest&, Socket& socket) {
    socket.PeerCloses(5000);
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 504"));
  BOOST_TEST(std::stoi(server.Requests()[0].Header("Left")) <= 300);
}

// Pattern: more long prompts than the engines read in time. Guards against a
// queue in which every request becomes late, and against callers that come back
// all at once.
BOOST_FIXTURE_TEST_CASE(PromptThatCannotBeginInTimeIsTurnedAway,
                        GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamHead(request) + EventChunk(1, "one") + "0\r\n\r\n");
    return true;
  });
  this->AddServer(server);
  const std::string key =
      "at-" + server.Address() + "@" + server.Address() + "#1";
  const auto set_pending = [&](int tokens) {
    LoadMessage message{"other", ++this->sequence, {}, {}};
    message.shares.push_back({ServerCode(key), tokens > 0 ? 4 : 0, tokens});
    this->OnLoop(
        [&] { this->balancer.OnPeerLoad(message, this->clock.Now()); });
  };
  RawCaller caller(this->Address());
  std::set<std::string> times;
  set_pending(200000);
  for (int i = 0; i < 5; ++i) {
    caller.Send(Request("r" + std::to_string(i), "/stream/x", "prompt",
                        "Tokens: 4000\r\nDeadline: 5000\r\n"));
    const std::string answer = caller.ReadUntil("\r\n\r\n");
    BOOST_TEST(Contains(answer, "HTTP/1.1 503"));
    const std::size_t at = answer.find("Retry-After: ");
    BOOST_REQUIRE(at != std::string::npos);
    const double after = std::stod(answer.substr(at + 13));
    BOOST_TEST(after >= 0.9);
    BOOST_TEST(after <= 5.0 / 3);
    times.insert(answer.substr(at, 20));
  }
  BOOST_TEST(times.size() > 2U);
  // Nearly as late as the target: no room is left for an error.
  constexpr double kTokensPerMs = 40;
  set_pending(static_cast<int>(
      kTokensPerMs * 0.9 * static_cast<double>(Route().target.count()) / 1e6 -
      4000));
  caller.Send(Request("r8", "/stream/x", "prompt", "Tokens: 4000\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 503"));
  BOOST_TEST(server.Requests().empty());
  // A large prompt is late by its own size, with hardly a queue before it.
  set_pending(1000);
  caller.Send(Request("r7", "/stream/x", "prompt", "Tokens: 22000\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "data: one"));
  // A request that is no generation waits for no prompt.
  set_pending(0);
  caller.Send(Request("r9", "/stream/x", "prompt", "Tokens: 4000\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "data: one"));
}

// Guards against a stream at a silent engine that its caller gives up first.
BOOST_FIXTURE_TEST_CASE(SilentServerIsLeftForARepeatableRequest,
                        GatewayFixture) {
  std::atomic<int> count{0};
  const auto silent_first = [&](const ReceivedRequest& request,
                                Socket& socket) {
    if (++count == 1) {
      socket.PeerCloses(5000);
      return false;
    }
    return Echo(request, socket);
  };
  ScriptedServer first(silent_first);
  ScriptedServer second(silent_first);
  this->SetTable([](RouteTable& table) {
    for (Route& route : table.routes) {
      route.target = milliseconds(100);
    }
  });
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r1"), "HTTP/1.1 200"));
}

}  // namespace sycamorebend::gateway
