#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "daemon_fixture.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr const char* kChat = "POST /v1/chat/completions";

// @return the stream without heartbeat comments.
std::string WithoutHeartbeats(std::string text) {
  constexpr std::string_view kHeartbeat = ": heartbeat\n\n";
  for (std::size_t at = text.find(kHeartbeat); at != std::string::npos;
       at = text.find(kHeartbeat, at)) {
    text.erase(at, kHeartbeat.size());
  }
  return text;
}

std::string RawChatRequest(const std::string& body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: "
         "Bearer secret\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Streams, DaemonFixture)

// Guards against a response that differs from what the engine sent.
BOOST_AUTO_TEST_CASE(StreamEqualsTheBytesOfTheEngine) {
  FakeEngine engine;
  const std::string sent = ": started\n\n" + TokenEvents(1, 300);
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    for (std::size_t i = 0; i < sent.size(); i += 37) {
      exchange->Write(std::string_view(sent).substr(i, 37));
    }
    exchange->FinishStream();
  });
  AddEngine("engine-1", engine);
  const HttpResponse response = Fetch(ChatCall("hello", true));
  BOOST_TEST(response.status == 200);
  BOOST_TEST((WithoutHeartbeats(response.body) == sent));
  const HttpRequest request = engine.WaitForRequest(kChat);
  BOOST_TEST(FindHeader(request.headers, "X-Request-Id").value_or("") ==
             FindHeader(response.headers, "X-Sycamorebend-Request-Id")
                 .value_or("none"));
  BOOST_TEST(FindHeader(request.headers, "X-Attempt").value_or("") == "1");
  BOOST_TEST(FindHeader(request.headers, "X-Priority").value_or("") == "0");
  BOOST_TEST(!FindHeader(request.headers, "Authorization"));
  WaitUntilIdle();
  BOOST_TEST(MetricValue("sycamorebend_finished_total{class=\"chat\"}") == 1);
}

BOOST_AUTO_TEST_CASE(NonStreamedCompletionIsForwarded) {
  FakeEngine engine;
  const std::string body = R"({"usage":{"completion_tokens":12},"x":"é"})";
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(200, {{"Content-Type", "application/json"}}, body);
  });
  AddEngine("engine-1", engine);
  const HttpResponse response = Fetch(ChatCall("hello", false));
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body == body);
}

// Guards against a client error of an engine that is hidden from the caller.
BOOST_AUTO_TEST_CASE(ClientErrorOfTheEngineIsForwarded) {
  FakeEngine engine;
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(400, {}, "prompt too long");
  });
  AddEngine("engine-1", engine);
  const HttpResponse response = Fetch(ChatCall("hello", true));
  BOOST_TEST(response.status == 400);
  BOOST_TEST(response.body == "prompt too long");
}

// Guards against reporting the crash of an engine before its first token to the
// caller although another engine could run the request.
BOOST_AUTO_TEST_CASE(CrashBeforeTheFirstTokenIsRetried) {
  FakeEngine bad;
  FakeEngine good;
  bad.SetHandler(
      [](std::shared_ptr<HttpExchange> exchange) { exchange->AbortStream(); });
  good.SetHandler([](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    exchange->Write(TokenEvents(1, 3));
    exchange->FinishStream();
  });
  AddEngine("engine-bad", bad);
  AddEngine("engine-good", good);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST((Fetch(ChatCall("hello", true)).body == TokenEvents(1, 3)));
  }
}

// Guards against a truncated response that looks complete, and against a
// response that joins the outputs of two engines.
BOOST_AUTO_TEST_CASE(CrashAfterTheFirstTokenEndsWithAnErrorEvent) {
  FakeEngine first;
  FakeEngine second;
  const auto crash = [](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    exchange->Write(TokenEvent(1) + TokenEvent(2) + "id: 3\ndata: {\"ch");
    exchange->AbortStream();
  };
  first.SetHandler(crash);
  second.SetHandler(crash);
  AddEngine("engine-1", first);
  AddEngine("engine-2", second);
  const HttpResponse response = Fetch(ChatCall("hello", true));
  const std::string events = TokenEvent(1) + TokenEvent(2) + "event: error\n";
  const std::string body = WithoutHeartbeats(response.body);
  BOOST_TEST((body.substr(0, events.size()) == events), body);
  BOOST_TEST(body.find("[DONE]") == std::string::npos);
  BOOST_TEST(body.find("\"stream_truncated\"") != std::string::npos);
  BOOST_TEST(first.CountRequests(kChat) + second.CountRequests(kChat) == 1);
}

// Guards against a request that crashes one engine after another because the
// crash is not reported to the control replicas.
BOOST_AUTO_TEST_CASE(CrashIsReported) {
  FakeEngine engine;
  engine.SetHandler([](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    exchange->Write(TokenEvent(1));
    exchange->AbortStream();
  });
  AddEngine("engine-1", engine);
  Fetch(ChatCall("hello", true));
  const auto deadline = std::chrono::steady_clock::now() + seconds(10);
  while (replica.LastFindingReport().isNull()) {
    BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
    std::this_thread::sleep_for(milliseconds(10));
  }
  const Json::Value finding = replica.LastFindingReport();
  BOOST_TEST(finding["server_id"].asString() == "engine-1");
  BOOST_TEST(finding["incarnation"].asString() == "1");
  BOOST_TEST(finding["candidates"].size() == 1U);
  BOOST_TEST(finding["candidates"][0] == finding["fingerprint"]);
}

// Guards against a stream that ends early without a transport error and looks
// complete.
BOOST_AUTO_TEST_CASE(EndWithoutDoneIsAnError) {
  FakeEngine engine;
  engine.SetHandler([](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    exchange->Write(TokenEvent(1));
    exchange->FinishStream();
  });
  AddEngine("engine-1", engine);
  const std::string body = Fetch(ChatCall("hello", true)).body;
  BOOST_TEST(body.find("event: error") != std::string::npos);
  BOOST_TEST(body.find("[DONE]") == std::string::npos);
}

// Guards against missing or repeated events after a connection that went silent
// in the middle of an event was replaced.
BOOST_AUTO_TEST_CASE(SilentStreamIsResumedAtTheOffset) {
  FakeEngine engine;
  std::shared_ptr<HttpExchange> silent;
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    if (exchange->Request().method == "POST") {
      exchange->Write(TokenEvent(1) + TokenEvent(2) + "id: 3\nda");
      silent = exchange;
      return;
    }
    // An event that the engine repeats must not reach the caller twice.
    exchange->Write(TokenEvent(2) + TokenEvents(3, 9));
    exchange->FinishStream();
  });
  AddEngine("engine-1", engine);
  const HttpResponse response = Fetch(ChatCall("hello", true));
  BOOST_TEST((WithoutHeartbeats(response.body) == TokenEvents(1, 9)),
             response.body);
  const HttpRequest resume = engine.WaitForRequest("GET /v1/streams/");
  BOOST_TEST(FindHeader(resume.query, "offset").value_or("") == "2");
  BOOST_TEST(engine.CountRequests(kChat) == 1);
}

// Guards against a resumed stream with missing events that looks complete.
BOOST_AUTO_TEST_CASE(ResumeWithAGapEndsWithAnErrorEvent) {
  FakeEngine engine;
  std::shared_ptr<HttpExchange> silent;
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    if (exchange->Request().method == "POST") {
      exchange->Write(TokenEvent(1));
      silent = exchange;
      return;
    }
    exchange->Write(TokenEvents(3, 4));
    exchange->FinishStream();
  });
  AddEngine("engine-1", engine);
  const std::string body =
      WithoutHeartbeats(Fetch(ChatCall("hello", true)).body);
  BOOST_TEST(body.rfind(TokenEvent(1) + "event: error", 0) == 0U, body);
  BOOST_TEST(body.find("[DONE]") == std::string::npos);
}

// Guards against an idle stream that a proxy near the caller closes.
BOOST_AUTO_TEST_CASE(IdleStreamHasHeartbeatsBetweenEvents) {
  FakeEngine engine;
  std::thread writer;
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    exchange->Write(TokenEvent(1) + "id: 2\n");
    writer = std::thread([exchange] {
      std::this_thread::sleep_for(milliseconds(300));
      exchange->Write("data: {}\n\ndata: [DONE]\n\n");
      exchange->FinishStream();
    });
  });
  AddEngine("engine-1", engine);
  const std::string body = Fetch(ChatCall("hello", true)).body;
  writer.join();
  BOOST_TEST(body.find("\n\n: heartbeat\n\n") != std::string::npos);
  BOOST_TEST((WithoutHeartbeats(body) ==
              TokenEvent(1) + "id: 2\ndata: {}\n\ndata: [DONE]\n\n"));
}

// Guards against an engine that keeps generating after the caller disconnected.
BOOST_AUTO_TEST_CASE(CallerDisconnectMidStreamCancelsUpstream) {
  FakeEngine engine;
  std::shared_ptr<HttpExchange> open;
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    exchange->Write(TokenEvent(1));
    open = exchange;
  });
  AddEngine("engine-1", engine);
  const int fd = Connect(RawChatRequest(ChatCall("hello", true).body));
  char byte = 0;
  BOOST_TEST(recv(fd, &byte, 1, 0) == 1);
  close(fd);
  engine.WaitForRequest("DELETE /v1/streams/");
  WaitUntilIdle();
  BOOST_TEST(
      MetricValue("sycamorebend_wasted_tokens_total{cause=\"caller_gone\"") ==
      1);
}

// Guards against dispatching a queued request whose caller has disconnected.
BOOST_AUTO_TEST_CASE(CallerDisconnectWhileQueuedRemovesRequest) {
  FakeEngine engine;
  std::mutex held_mutex;
  std::vector<std::shared_ptr<HttpExchange>> held;
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    std::lock_guard lock(held_mutex);
    held.push_back(std::move(exchange));
  });
  AddEngine("parts-1", engine);
  const std::string lookup =
      "GET /stock HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n"
      "X-Sycamorebend-Labels: kind=lookup\r\n\r\n";
  const auto wait_until = [&](int arrived, int queued) {
    const auto deadline = std::chrono::steady_clock::now() + seconds(10);
    while (engine.CountRequests("GET /stock") != arrived ||
           MetricValue("sycamorebend_queued{class=\"lookup\"}") != queued) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
    }
  };
  // Callers are added until one is queued. The scheduler keeps some of the
  // eight slots for higher tiers, so the class may not fill them all.
  constexpr int kSlots = 8;
  std::vector<int> callers;
  callers.reserve(kSlots + 1);
  int occupied = 0;
  for (; occupied <= kSlots; ++occupied) {
    callers.push_back(Connect(lookup));
    const auto deadline = std::chrono::steady_clock::now() + seconds(10);
    int queued = 0;
    while (engine.CountRequests("GET /stock") + queued != occupied + 1) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
      queued =
          static_cast<int>(MetricValue("sycamorebend_queued{class=\"lookup\""));
    }
    if (queued == 1) {
      break;
    }
  }
  BOOST_REQUIRE(occupied >= 1);
  BOOST_REQUIRE(occupied <= kSlots);
  wait_until(occupied, 1);
  close(callers.back());
  callers.pop_back();
  // The slots are freed only after the daemon has noticed that the queued
  // caller disconnected.
  wait_until(occupied, 0);
  for (const int fd : callers) {
    close(fd);
  }
  WaitUntilIdle();
  BOOST_TEST(engine.CountRequests("GET /stock") == occupied);
  std::lock_guard lock(held_mutex);
  held.clear();
}

// Guards against unbounded memory use for a caller that does not read its
// stream.
BOOST_AUTO_TEST_CASE(SlowCallerIsDisconnected) {
  FakeEngine engine;
  std::thread writer;
  std::atomic<bool> stop{false};
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    writer = std::thread([exchange, &stop] {
      const std::string data = "data: " + std::string(16 << 10, 'x') + "\n\n";
      // More than the socket buffers of loopback connections hold.
      for (int i = 0; i < 4000 && !stop.load(); ++i) {
        exchange->Write(data);
        while (exchange->PendingBytes() > (1 << 20) && !stop.load()) {
          std::this_thread::sleep_for(milliseconds(1));
        }
      }
    });
  });
  AddEngine("engine-1", engine);
  const int fd = Connect(RawChatRequest(ChatCall("hello", true).body));
  engine.WaitForRequest("DELETE /v1/streams/");
  stop.store(true);
  writer.join();
  WaitUntilIdle();
  BOOST_TEST(MetricValue(
                 "sycamorebend_wasted_tokens_total{cause=\"slow_caller\"") > 0);
  close(fd);
}

// Guards against dispatching to a server that has stopped reporting.
BOOST_AUTO_TEST_CASE(SilentServerGetsNoWorkAfterItsLease) {
  FakeEngine engine;
  engine.SetHandler([](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(200, {}, "{}");
  });
  AddEngine("engine-1", engine);
  BOOST_TEST(Fetch(ChatCall("hello", false)).status == 200);
  StopReports("engine-1");
  std::this_thread::sleep_for(kServerLease + milliseconds(300));
  const HttpResponse response = Fetch(ChatCall("hello", false));
  BOOST_TEST(response.status == 503);
  BOOST_TEST(response.body.find("\"code\":301") != std::string::npos);
  BOOST_TEST(response.body.find("\"ran\":\"not_run\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::entry
