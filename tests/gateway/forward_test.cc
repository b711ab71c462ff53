// Tests of forwarding: retries, streams and failures of backend servers.
#include <set>
#include <thread>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

// Resets the connection of the first request, and echoes the later ones.
ScriptedServer::Script ResetFirstRequest(std::atomic<int>& count) {
  return [&count](const ReceivedRequest& request, Socket& socket) {
    if (++count == 1) {
      socket.Reset();
      return false;
    }
    return Echo(request, socket);
  };
}

}  // namespace

// Guards against modified requests: method, path with query, headers and body
// must reach the server as the caller sent them.
BOOST_FIXTURE_TEST_CASE(RequestArrivesUnchanged, GatewayFixture) {
  ScriptedServer server(Echo);
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/a%20b?c=d&e", "some body", "Other: x\r\n"));
  const std::string response = caller.ReadUntil("body of r1");
  BOOST_TEST(Contains(response, "HTTP/1.1 200"));
  BOOST_TEST(Contains(response, "Signed: yes"));
  const auto requests = server.Requests();
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].head.rfind("POST /once/a%20b?c=d&e HTTP/1.1", 0) ==
             0U);
  BOOST_TEST(requests[0].body == "some body");
  BOOST_TEST(requests[0].Header("Other") == "x");
}

// Guards against a server ID that cuts the head of the requests to that server,
// whoever has let it into the state: nothing is sent, and no run is suspected.
BOOST_FIXTURE_TEST_CASE(IdWithALineEndCutsNoRequest, GatewayFixture) {
  ScriptedServer server(Echo);
  for (const char* end : {"\r\n", "\n", "\r\nForged: 1"}) {
    this->SetServers({server.Address()}, end);
    RawCaller caller(this->Address());
    caller.Send(Request("r1", "/once/x", "order"));
    BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 503"));
  }
  BOOST_TEST(server.Connections() == 0);
  ++this->incarnation;
  this->SetServers({server.Address()}, "!#$%&'*+-.^_`|~ (a):\xc3\xa9");
  RawCaller caller(this->Address());
  caller.Send(Request("r2", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r2"), "HTTP/1.1 200"));
  const auto requests = server.Requests();
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(requests[0].body == "order");
  BOOST_TEST(requests[0].Header("Expect-Server") ==
             "at-" + server.Address() + "!#$%&'*+-.^_`|~ (a):\xc3\xa9");
}

// Guards against opening a new connection for each request.
BOOST_FIXTURE_TEST_CASE(ConnectionsAreReused, GatewayFixture) {
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

// Guards against retrying a non-idempotent request that may have run.
BOOST_FIXTURE_TEST_CASE(LostResponseOfOrderIsNotRetried, GatewayFixture) {
  std::atomic<int> count{0};
  ScriptedServer first(ResetFirstRequest(count));
  ScriptedServer second(ResetFirstRequest(count));
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  // 502 leaves open whether the order has run; 503 would guarantee that it has
  // not.
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 502"));
  BOOST_TEST(count == 1);
}

// Guards against reporting a failure to the caller that a retry would resolve.
BOOST_FIXTURE_TEST_CASE(LostResponseOfLookupIsRetried, GatewayFixture) {
  std::atomic<int> count{0};
  ScriptedServer first(ResetFirstRequest(count));
  ScriptedServer second(ResetFirstRequest(count));
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r1"), "HTTP/1.1 200"));
  BOOST_TEST(count == 2);
}

// Guards against a 502 for a lookup whose only server responded with an error:
// the second attempt is not used up by the search for another server.
BOOST_FIXTURE_TEST_CASE(ErrorOfTheOnlyServerIsRetriedThere, GatewayFixture) {
  std::atomic<int> count{0};
  ScriptedServer server([&](const ReceivedRequest& request, Socket& socket) {
    if (++count == 1) {
      socket.Send(MakeResponse(request, 500, "failed"));
      return true;
    }
    return Echo(request, socket);
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/safe/x"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r1"), "HTTP/1.1 200"));
  BOOST_TEST(count == 2);
}

// Guards against giving up a non-idempotent request although the server
// guaranteed that it has not run it.
BOOST_FIXTURE_TEST_CASE(RefusedOrderGoesToAnotherServer, GatewayFixture) {
  std::atomic<int> refusals{0};
  const auto refuse_first = [&](const ReceivedRequest& request,
                                Socket& socket) {
    if (++refusals == 1) {
      socket.Send(MakeResponse(request, 503, "", "Not-Run: 1\r\n"));
      return true;
    }
    return Echo(request, socket);
  };
  ScriptedServer first(refuse_first);
  ScriptedServer second(refuse_first);
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadUntil("body of r1"), "HTTP/1.1 200"));
}

// Guards against a refusal without a Retry-After header.
BOOST_FIXTURE_TEST_CASE(RefusalByAllServersHasRetryAfter, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(MakeResponse(request, 503, "", "Not-Run: 1\r\n"));
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  const std::string response = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(Contains(response, "HTTP/1.1 503"));
  BOOST_TEST(Contains(response, "Retry-After: 0."));
}

// Guards against an attempt that is used up by a server which cannot be
// reached.
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

// Guards against delivering the response to another request: a late second
// response is skipped, and its connection is not reused.
BOOST_FIXTURE_TEST_CASE(LateSecondResponseIsSkipped, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    if (request.preceding_requests == 1) {
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
    const std::string response = caller.ReadUntil("body of " + id);
    BOOST_TEST(Contains(response, "body of " + id));
    BOOST_TEST(!Contains(response, "stale"));
  }
  BOOST_TEST(server.Connections() == 2);
}

// Guards against interpreting bytes after a response as the next response.
BOOST_FIXTURE_TEST_CASE(BytesAfterResponseCloseTheConnection, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(
        MakeResponse(request, 200, "body of " + request.Header("Request-Id")) +
        "garbage");
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  for (int i = 0; i < 2; ++i) {
    const std::string id = "r" + std::to_string(i);
    caller.Send(Request(id, "/safe/x"));
    const std::string response = caller.ReadUntil("body of " + id, 2000);
    BOOST_TEST(Contains(response, "body of " + id));
    BOOST_TEST(!Contains(response, "garbage"));
  }
  BOOST_TEST(server.Connections() == 2);
}

// Guards against forwarding a success that does not come from the server
// itself.
BOOST_FIXTURE_TEST_CASE(UnsignedSuccessIsNotForwarded, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(MakeResponse(request, 200, "forged", ""));
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  const std::string response = caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(Contains(response, "HTTP/1.1 502"));
  BOOST_TEST(!Contains(response, "forged"));
}

// Guards against forwarding a truncated response as a complete one.
BOOST_FIXTURE_TEST_CASE(TruncatedResponseIsNotForwarded, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    const std::string whole = MakeResponse(request, 200, "0123456789");
    socket.Send(whole.substr(0, whole.size() - 4));
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 502"));
}

// Guards against losing a response without a length, which ends with its
// connection.
BOOST_FIXTURE_TEST_CASE(ResponseEndedByConnectionCloseIsComplete,
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

// Guards against buffering events until the end of their stream.
BOOST_FIXTURE_TEST_CASE(EventsArriveOneByOne, GatewayFixture) {
  std::atomic<bool> seen{false};
  ScriptedServer server([&](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponseHead(request) + EventChunk(1, "first"));
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

// Guards against missing, duplicated and merged events if an engine resets the
// connection in the middle of an event.
BOOST_FIXTURE_TEST_CASE(BrokenStreamResumesAtAnotherServer, GatewayFixture) {
  const auto script = [](const ReceivedRequest& request, Socket& socket) {
    if (request.Header("Resume-After").empty()) {
      socket.Send(StreamResponseHead(request) + EventChunk(1, "one") +
                  EventChunk(2, "two") + Chunk("id: 3\ndata: thr"));
      socket.Reset();
      return false;
    }
    socket.Send(StreamResponseHead(request) + EventChunk(3, "three") +
                "0\r\n\r\n");
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  this->AddServer(first);
  this->AddServer(second);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/stream/x", "prompt"));
  const std::string response = caller.ReadUntil("0\r\n\r\n");
  BOOST_TEST(Contains(response, "id: 1\ndata: one\n\n"));
  BOOST_TEST(Contains(response, "id: 2\ndata: two\n\n"));
  BOOST_TEST(Contains(response, "id: 3\ndata: three\n\n"));
  BOOST_TEST(!Contains(response, "thr\r"));
  const std::string resumed = first.Requests()[0].Header("Resume-After") +
                              second.Requests()[0].Header("Resume-After");
  BOOST_TEST(resumed == "2");
}

// Guards against a truncated stream that looks complete to the caller.
BOOST_FIXTURE_TEST_CASE(TruncatedStreamIsNotTerminated, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponseHead(request) + EventChunk(1, "one"));
    std::this_thread::sleep_for(milliseconds(50));
    socket.Reset();
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/live/x", "prompt"));
  const std::string response = caller.ReadToEnd();
  BOOST_TEST(Contains(response, "data: one"));
  BOOST_TEST(!Contains(response, "0\r\n\r\n"));
}

// Guards against an engine that continues to work for a caller that has
// disconnected.
BOOST_FIXTURE_TEST_CASE(DisconnectedCallerFreesTheServer, GatewayFixture) {
  std::atomic<int> closed{-1};
  ScriptedServer server([&](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponseHead(request) + EventChunk(1, "one"));
    closed = socket.WaitForPeerClose(5000) ? 1 : 0;
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

// Guards against a request that exceeds the timeout of its route, and against a
// status which guarantees that it has not run although it was sent.
BOOST_FIXTURE_TEST_CASE(RouteTimeoutEndsRequest, GatewayFixture) {
  this->SetTable([](RouteTable& table) {
    for (Route& route : table.routes) {
      route.timeout = milliseconds(300);
    }
  });
  ScriptedServer server([](const ReceivedRequest&, Socket& socket) {
    socket.WaitForPeerClose(5000);
    return false;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/once/x", "order"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 504"));
  BOOST_TEST(std::stoi(server.Requests()[0].Header("Left")) <= 300);
}

// Engines receive more long prompts than they can prefill in time. Guards
// against a queue in which every request becomes late, and against refused
// callers that retry simultaneously.
BOOST_FIXTURE_TEST_CASE(PromptThatWouldMissItsTargetIsRefused, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponseHead(request) + EventChunk(1, "one") +
                "0\r\n\r\n");
    return true;
  });
  this->AddServer(server);
  const std::string key =
      "at-" + server.Address() + "@" + server.Address() + "#1";
  const auto set_pending = [&](int tokens) {
    LoadMessage message;
    message.sender = "other";
    message.sequence = ++this->sequence;
    message.server_loads.push_back(
        {StableHash32(key), tokens > 0 ? 4 : 0, {0, tokens}});
    this->OnLoop(
        [&] { this->balancer.OnPeerLoad(message, this->clock.Now()); });
  };
  RawCaller caller(this->Address());
  std::set<std::string> times;
  set_pending(200000);
  for (int i = 0; i < 5; ++i) {
    caller.Send(Request("r" + std::to_string(i), "/stream/x", "prompt",
                        "Tokens: 4000\r\nDeadline: 5000\r\n"));
    const std::string response = caller.ReadUntil("\r\n\r\n");
    BOOST_TEST(Contains(response, "HTTP/1.1 503"));
    const std::size_t at = response.find("Retry-After: ");
    BOOST_REQUIRE(at != std::string::npos);
    const double after = std::stod(response.substr(at + 13));
    BOOST_TEST(after >= 0.9);
    BOOST_TEST(after <= 5.0 / 3);
    times.insert(response.substr(at, 20));
  }
  BOOST_TEST(times.size() > 2U);
  // Expected just before the target, which leaves no margin for errors of the
  // estimate.
  constexpr double kTokensPerMs = 40;
  set_pending(static_cast<int>(
      kTokensPerMs * 0.9 * static_cast<double>(Route().target.count()) / 1e6 -
      4000));
  caller.Send(Request("r8", "/stream/x", "prompt", "Tokens: 4000\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 503"));
  BOOST_TEST(server.Requests().empty());
  // A large prompt is late because of its own size, with hardly any queue.
  set_pending(1000);
  caller.Send(Request("r7", "/stream/x", "prompt", "Tokens: 22000\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "data: one"));
  // Without load, the prompt is accepted.
  set_pending(0);
  caller.Send(Request("r9", "/stream/x", "prompt", "Tokens: 4000\r\n"));
  BOOST_TEST(Contains(caller.ReadUntil("0\r\n\r\n"), "data: one"));
}

// A server sends `part` again and again, in place of the rest of its response.
// Guards against memory and time that a faulty server can take without end, and
// against a request that is not offered to the sound server.
BOOST_FIXTURE_TEST_CASE(EndlessBytesEndTheAttempt, GatewayFixture) {
  const std::string head = "HTTP/1.1 200 OK\r\nSigned: yes\r\n";
  const std::string stream = head +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  struct Case {
    const char* name;
    std::string begin;
    std::string part;
  };
  const std::string filler(4000, 'x');
  std::string informational;
  while (informational.size() < filler.size()) {
    informational += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  const std::vector<Case> cases = {
      {"status line", "HTTP/1.1 200 ", filler},
      {"header name", head, filler},
      {"header value", head + "Other: ", filler},
      {"headers", head, "Other: " + filler + "\r\n"},
      {"informational responses", "", informational},
      {"body", head + "Content-Length: 1000000000\r\n\r\n", filler},
      {"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;",
       filler},
      {"chunk extensions", head + "Transfer-Encoding: chunked\r\n\r\n",
       "1;" + filler + "\r\nx\r\n"},
      {"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "Other: " + filler + "\r\n"},
      {"event", stream, Chunk(filler)},
      {"comments", stream, Chunk(": " + filler + "\n")},
      {"response to another request",
       "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSigned: yes\r\n"
       "Content-Length: 1000000000\r\n\r\n",
       filler}};
  for (const Case& test : cases) {
    std::atomic<int> count{0};
    const auto endless_first = [&](const ReceivedRequest& request,
                                   Socket& socket) {
      if (++count > 1) {
        return Echo(request, socket);
      }
      socket.Send(test.begin);
      // Bounds the memory that a gateway without limits takes in this test.
      constexpr int kPartsPerPause = 16;
      for (int i = 1; !socket.WaitForPeerClose(0); ++i) {
        socket.Send(test.part);
        if (i % kPartsPerPause == 0) {
          std::this_thread::sleep_for(milliseconds(1));
        }
      }
      return false;
    };
    ScriptedServer first(endless_first);
    ScriptedServer second(endless_first);
    this->SetServers({first.Address(), second.Address()});
    const bool is_stream = test.begin.rfind(stream, 0) == 0;
    // Well below the time limits of the routes.
    constexpr int kLimitMs = 1000;
    RawCaller repeatable(this->Address());
    repeatable.Send(Request("r1", is_stream ? "/stream/x" : "/safe/x"));
    BOOST_TEST(
        Contains(repeatable.ReadUntil("body of r1", kLimitMs), "HTTP/1.1 200"),
        test.name);
    BOOST_TEST(count == 2, test.name);
    count = 0;
    RawCaller once(this->Address());
    once.Send(Request("r2", is_stream ? "/live/x" : "/once/x"));
    BOOST_TEST(Contains(once.ReadUntil("\r\n\r\n", kLimitMs), "HTTP/1.1 502"),
               test.name);
    BOOST_TEST(count == 1, test.name);
  }
}

// A server keeps a stream open with comments or single bytes, but sends no
// event. Guards against a stalled stream that counts as alive.
BOOST_FIXTURE_TEST_CASE(StalledStreamWithCommentsIsLeft, GatewayFixture) {
  this->SetTable([](RouteTable& table) {
    for (Route& route : table.routes) {
      route.target = milliseconds(100);
    }
  });
  for (const std::string part : {": alive\n\n", ":"}) {
    std::atomic<int> count{0};
    const auto stall_first = [&](const ReceivedRequest& request,
                                 Socket& socket) {
      socket.Send(StreamResponseHead(request));
      if (++count > 1) {
        socket.Send(EventChunk(1, "one") + "0\r\n\r\n");
        return true;
      }
      while (!socket.WaitForPeerClose(50)) {
        socket.Send(Chunk(part));
      }
      return false;
    };
    ScriptedServer first(stall_first);
    ScriptedServer second(stall_first);
    this->SetServers({first.Address(), second.Address()});
    RawCaller caller(this->Address());
    caller.Send(Request("r1", "/stream/x"));
    const std::string response = caller.ReadUntil("0\r\n\r\n", 3000);
    BOOST_TEST(Contains(response, "data: one"));
    BOOST_TEST(!Contains(response, "alive"));
    BOOST_TEST(count == 2);
  }
}

// Events follow each other just within their target, for much longer than the
// time limit of a first event. Guards against sound streams that are cut.
BOOST_FIXTURE_TEST_CASE(SlowSoundStreamIsNotCut, GatewayFixture) {
  this->SetTable([](RouteTable& table) {
    for (Route& route : table.routes) {
      route.target = milliseconds(100);
      route.gap_target = milliseconds(250);
    }
  });
  constexpr int kEvents = 8;
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponseHead(request));
    for (int id = 1; id <= kEvents; ++id) {
      std::this_thread::sleep_for(milliseconds(240));
      socket.Send(EventChunk(id, "event"));
    }
    socket.Send("0\r\n\r\n");
    return true;
  });
  this->AddServer(server);
  for (const char* path : {"/stream/x", "/live/x"}) {
    RawCaller caller(this->Address());
    caller.Send(Request(path, path));
    const std::string response = caller.ReadUntil("0\r\n\r\n");
    BOOST_TEST(Contains(response, fmt::format("id: {}\n", kEvents)));
    BOOST_TEST(Contains(response, "0\r\n\r\n"));
  }
  BOOST_TEST(server.Requests().size() == 2U);
}

// A server sends a second copy of a response late: after the next request was
// sent on the same connection, before its response, whole or in two pieces.
// Guards against a caller that gets the response to another request.
BOOST_FIXTURE_TEST_CASE(LateCopyNeverReachesTheNextCaller, GatewayFixture) {
  for (const bool in_pieces : {false, true}) {
    for (const int delay_ms : {0, 1, 40}) {
      std::string copy;
      ScriptedServer server(
          [&](const ReceivedRequest& request, Socket& socket) {
            if (request.preceding_requests > 0) {
              std::this_thread::sleep_for(milliseconds(delay_ms));
              if (in_pieces) {
                socket.Send(copy.substr(0, copy.size() / 2));
                std::this_thread::sleep_for(milliseconds(delay_ms));
                socket.Send(copy.substr(copy.size() / 2));
              } else {
                socket.Send(copy);
              }
            }
            copy = MakeResponse(request, 200,
                                "body of " + request.Header("Request-Id"));
            socket.Send(copy);
            return true;
          });
      this->SetServers({server.Address()});
      RawCaller caller(this->Address());
      for (int i = 1; i <= 3; ++i) {
        const std::string body = "body of r" + std::to_string(i);
        caller.Send(Request("r" + std::to_string(i), "/once/x", "order"));
        const std::string response = caller.ReadUntil(body);
        BOOST_TEST(Contains(response, body));
        BOOST_TEST(!Contains(response, "body of r" + std::to_string(i - 1)));
      }
    }
  }
}

// Guards against waiting for a stalled server until the caller gives up.
BOOST_FIXTURE_TEST_CASE(RepeatableRequestLeavesStalledServer, GatewayFixture) {
  std::atomic<int> count{0};
  const auto stall_first = [&](const ReceivedRequest& request, Socket& socket) {
    if (++count == 1) {
      socket.WaitForPeerClose(5000);
      return false;
    }
    return Echo(request, socket);
  };
  ScriptedServer first(stall_first);
  ScriptedServer second(stall_first);
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

// Guards against a configuration whose last tenant was removed and that then
// lets requests with any key pass.
BOOST_FIXTURE_TEST_CASE(NoKeyPassesWithoutTenants, GatewayFixture) {
  ScriptedServer server(Echo);
  this->AddServer(server);
  const auto status = [&](bool keys_required, const std::string& path) {
    this->SetTable([&](RouteTable& table) {
      table.keys_required = keys_required;
      for (Route& route : table.routes) {
        route.open = route.name == "safe";
      }
    });
    RawCaller caller(this->Address());
    caller.Send(Request("r1", path, "order", "Key: dropped\r\n"));
    return caller.ReadUntil("\r\n\r\n").substr(0, 12);
  };
  BOOST_TEST(status(true, "/once/x") == "HTTP/1.1 401");
  BOOST_TEST(status(true, "/safe/x") == "HTTP/1.1 200");
  BOOST_TEST(server.Requests().size() == 1U);
  BOOST_TEST(status(false, "/once/x") == "HTTP/1.1 200");
}

}  // namespace sycamorebend::gateway
