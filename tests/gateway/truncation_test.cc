// Responses that end early, at each hop and with each framing of their body.
#include <atomic>
#include <thread>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "net/http_writer.h"

namespace sycamorebend::gateway {

namespace {

constexpr net::BodyFraming kFramings[] = {net::BodyFraming::kLength,
                                          net::BodyFraming::kChunked,
                                          net::BodyFraming::kUntilClose};
const std::string kFirstEvent = "id: 1\ndata: one\n\n";
const std::string kSecondEvent = "id: 2\ndata: two\n\n";

// @return a stream response whose HTTP message is complete.
std::string StreamResponse(const ReceivedRequest& request,
                           net::BodyFraming framing,
                           const std::string& body,
                           const std::string& type = "text/event-stream") {
  const std::string head =
      net::FormatResponseHead(200,
                              {{"Request-Id", request.Header("Request-Id")},
                               {"Signed", "yes"},
                               {"Content-Type", type}},
                              framing, body.size(), false);
  if (framing != net::BodyFraming::kChunked) {
    return head + body;
  }
  return head + (body.empty() ? "" : Chunk(body)) +
         std::string(net::kLastChunk);
}

int Count(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Responds to the first request with `first` and to the later ones with the
// events that the caller lacks.
struct BreaksOffFirst {
  bool operator()(const ReceivedRequest& request, Socket& socket) {
    if (++*this->requests == 1) {
      socket.Send(
          StreamResponse(request, this->framing, this->first, this->type));
      return false;
    }
    const bool has_first = request.Header("Resume-After") == "1";
    socket.Send(StreamResponse(request, net::BodyFraming::kChunked,
                               (has_first ? "" : kFirstEvent) + kSecondEvent));
    return true;
  }

  std::atomic<int>* requests;
  net::BodyFraming framing;
  std::string first;
  std::string type;
};

struct TwoServers : GatewayFixture {
  // Sends one request to servers of which the first one responds with `body`.
  // @return the bytes that the caller receives.
  std::string CallBrokenOff(const std::string& path,
                            net::BodyFraming framing,
                            const std::string& body) {
    std::atomic<int> requests{0};
    ScriptedServer first(
        BreaksOffFirst{&requests, framing, body, this->content_type});
    ScriptedServer second(
        BreaksOffFirst{&requests, framing, body, this->content_type});
    this->SetServers({first.Address(), second.Address()});
    RawCaller caller(this->Address());
    caller.Send(Request("r1", path, "prompt", "Connection: close\r\n"));
    return caller.ReadToEnd();
  }

  std::string content_type = "text/event-stream";
};

}  // namespace

// A server ends its response inside an event. Guards against a stream that was
// broken off and that reaches its caller as complete.
BOOST_FIXTURE_TEST_CASE(StreamEndingInsideAnEventIsNotComplete, TwoServers) {
  for (const net::BodyFraming framing : kFramings) {
    for (const std::string unfinished :
         {"i", "id: 2", "id: 2\ndata: t", "id: 2\ndata: two\n"}) {
      const std::string name =
          fmt::format("{}: {}", net::BodyFramingName(framing), unfinished);
      const std::string cut =
          this->CallBrokenOff("/live/x", framing, kFirstEvent + unfinished);
      BOOST_TEST(Contains(cut, kFirstEvent), name);
      BOOST_TEST(!Contains(cut, "id: 2"), name);
      BOOST_TEST(!Contains(cut, std::string(net::kLastChunk)), name);

      const std::string unbegun =
          this->CallBrokenOff("/live/x", framing, unfinished);
      BOOST_TEST(Contains(unbegun, "HTTP/1.1 502"), name);

      for (const std::string& events : {std::string(), kFirstEvent}) {
        const std::string resumed =
            this->CallBrokenOff("/stream/x", framing, events + unfinished);
        BOOST_TEST(Count(resumed, kFirstEvent) == 1, name);
        BOOST_TEST(Count(resumed, kSecondEvent) == 1, name);
        BOOST_TEST(Contains(resumed, std::string(net::kLastChunk)), name);
      }
    }
  }
}

// A server closes the connection after the head of a response without length
// and chunks, or after comments. Guards against an empty stream that reaches
// its caller as complete.
BOOST_FIXTURE_TEST_CASE(UnframedStreamWithoutEventsIsNotComplete, TwoServers) {
  for (const std::string body : {"", ": alive\n\n"}) {
    const std::string once =
        this->CallBrokenOff("/live/x", net::BodyFraming::kUntilClose, body);
    BOOST_TEST(Contains(once, "HTTP/1.1 502"));
    const std::string repeated =
        this->CallBrokenOff("/stream/x", net::BodyFraming::kUntilClose, body);
    BOOST_TEST(Count(repeated, kFirstEvent) == 1);
    BOOST_TEST(Count(repeated, kSecondEvent) == 1);
  }
  // Nothing is missing if the server itself marks the end.
  for (const auto framing :
       {net::BodyFraming::kLength, net::BodyFraming::kChunked}) {
    const std::string empty = this->CallBrokenOff("/live/x", framing, "");
    BOOST_TEST(Contains(empty, "HTTP/1.1 200"));
    BOOST_TEST(Contains(empty, std::string(net::kLastChunk)));
  }
}

// A route that does not stream, and a media type in capital letters. Guards
// against an event stream that was broken off and that is passed on as a body
// of any other type.
BOOST_FIXTURE_TEST_CASE(BufferedEventStreamIsChecked, TwoServers) {
  for (const net::BodyFraming framing : kFramings) {
    for (const std::string type :
         {"text/event-stream", "Text/Event-Stream; charset=utf-8"}) {
      this->content_type = type;
      const std::string name =
          fmt::format("{} {}", type, net::BodyFramingName(framing));
      const std::string body = kFirstEvent + "id: 2\ndata: t";
      BOOST_TEST(Contains(this->CallBrokenOff("/once/x", framing, body),
                          "HTTP/1.1 502"),
                 name);
      BOOST_TEST(Contains(this->CallBrokenOff("/safe/x", framing, body),
                          kFirstEvent + kSecondEvent),
                 name);
      const std::string cut = this->CallBrokenOff("/live/x", framing, body);
      BOOST_TEST(Contains(cut, kFirstEvent), name);
      BOOST_TEST(!Contains(cut, "id: 2"), name);
      BOOST_TEST(!Contains(cut, std::string(net::kLastChunk)), name);
    }
  }
}

// A stream whose events have no numbers breaks off. Guards against the outputs
// of two runs that are joined, since the second one begins anew.
BOOST_FIXTURE_TEST_CASE(StreamWithoutNumbersIsNotResumed, GatewayFixture) {
  const auto script = [](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponse(request, net::BodyFraming::kUntilClose,
                               "data: one\n\ndata: t"));
    return false;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  this->SetServers({first.Address(), second.Address()});
  RawCaller caller(this->Address());
  caller.Send(Request("r1", "/stream/x", "prompt"));
  const std::string response = caller.ReadToEnd();
  BOOST_TEST(Count(response, "data: one\n\n") == 1);
  BOOST_TEST(!Contains(response, std::string(net::kLastChunk)));
}

// Guards against sound streams that are taken for broken off because of their
// framing.
BOOST_FIXTURE_TEST_CASE(StreamEndingAfterAnEventIsComplete, TwoServers) {
  for (const net::BodyFraming framing : kFramings) {
    const std::string whole =
        this->CallBrokenOff("/live/x", framing, kFirstEvent + kSecondEvent);
    BOOST_TEST(Contains(whole, "HTTP/1.1 200"));
    BOOST_TEST(Count(whole, kSecondEvent) == 1);
    BOOST_TEST(Contains(whole, std::string(net::kLastChunk)));
  }
}

// HTTP/1.0 has no chunks, so a stream to such a caller ends with its
// connection. Guards against a stream that was broken off and that ends like a
// complete one.
BOOST_FIXTURE_TEST_CASE(TruncatedStreamToHttp10CallerIsReset, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponseHead(request) + EventChunk(1, "one"));
    socket.WaitForPeerClose(200);
    return false;
  });
  this->AddServer(server);
  const std::string request =
      "GET /live/x HTTP/1.0\r\nHost: shop.example\r\nRequest-Id: r1\r\n";
  RawCaller cut(this->Address());
  cut.Send(request + "\r\n");
  BOOST_TEST(Contains(cut.ReadToEnd(), "data: one"));
  BOOST_TEST(cut.WasReset());

  RawCaller late(this->Address());
  late.Send(request + "Deadline: 100\r\n\r\n");
  BOOST_TEST(Contains(late.ReadToEnd(), "data: one"));
  BOOST_TEST(late.WasReset());

  RawCaller stopped(this->Address());
  stopped.Send(request + "\r\n");
  BOOST_TEST(Contains(stopped.ReadUntil("data: one"), "data: one"));
  this->OnLoop([&] { this->callers.reset(); });
  stopped.ReadToEnd();
  BOOST_TEST(stopped.WasReset());
}

// Guards against resetting the connection of a caller whose stream is complete.
BOOST_FIXTURE_TEST_CASE(CompleteStreamToHttp10CallerIsClosed, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(StreamResponse(request, net::BodyFraming::kChunked,
                               kFirstEvent + kSecondEvent));
    return true;
  });
  this->AddServer(server);
  RawCaller caller(this->Address());
  caller.Send(
      "GET /live/x HTTP/1.0\r\nHost: shop.example\r\nRequest-Id: r1\r\n\r\n");
  BOOST_TEST(Contains(caller.ReadToEnd(), kSecondEvent));
  BOOST_TEST(!caller.WasReset());
}

// A server breaks off a response that is not a stream. Guards against a
// truncated body that reaches its caller as complete.
BOOST_FIXTURE_TEST_CASE(TruncatedBodyIsNotDelivered, GatewayFixture) {
  struct Ending {
    std::string bytes;
    bool reset;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nSigned: yes\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const Ending& ending :
       {Ending{"", false}, Ending{"HTTP/1.1 2", false},
        Ending{head + "Content-Le", false},
        Ending{head + "Content-Length: 9\r\n\r\nhalf", false},
        Ending{chunked + "9\r\nhalf", false},
        Ending{chunked + "4\r\nhalf\r\n", false},
        Ending{chunked + "4\r\nhalf\r\n0\r\n", false},
        Ending{head + "\r\nhalf", true}}) {
    std::atomic<int> requests{0};
    const auto script = [&](const ReceivedRequest& request, Socket& socket) {
      if (++requests > 1) {
        return Echo(request, socket);
      }
      socket.Send(ending.bytes);
      if (ending.reset) {
        // The gateway reads what arrived before the reset.
        std::this_thread::sleep_for(milliseconds(50));
        socket.Reset();
      }
      return false;
    };
    ScriptedServer first(script);
    ScriptedServer second(script);
    this->SetServers({first.Address(), second.Address()});
    RawCaller once(this->Address());
    once.Send(Request("r1", "/once/x", "order"));
    BOOST_TEST(Contains(once.ReadUntil("\r\n\r\n"), "HTTP/1.1 502"),
               ending.bytes);
    requests = 0;
    RawCaller safe(this->Address());
    safe.Send(Request("r2", "/safe/x"));
    BOOST_TEST(Contains(safe.ReadUntil("body of r2"), "body of r2"),
               ending.bytes);
  }
}

// A caller ends its connection inside its request. Guards against a truncated
// request that a server runs.
BOOST_FIXTURE_TEST_CASE(TruncatedRequestIsNotForwarded, GatewayFixture) {
  ScriptedServer server(Echo);
  this->AddServer(server);
  const std::string head =
      "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& request :
       {head + "Content-Le", head + "Content-Length: 9\r\n\r\nhalf",
        chunked + "9\r\nhalf", chunked + "4\r\nhalf\r\n",
        chunked + "4\r\nhalf\r\n0\r\n"}) {
    RawCaller caller(this->Address());
    caller.Send(request);
    caller.Close();
  }
  // Handled after the connections above.
  RawCaller last(this->Address());
  last.Send(Request("r2", "/safe/x"));
  BOOST_TEST(Contains(last.ReadUntil("body of r2"), "body of r2"));
  BOOST_TEST(server.Requests().size() == 1U);
}

}  // namespace sycamorebend::gateway
