#include "platform/busy_gateway.h"

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"

namespace sycamorebend::platform {

namespace {

using gateway::Contains;
using gateway::RawCaller;
using gateway::ReceivedRequest;
using gateway::Socket;

constexpr int kHeldOfAKind = 4;
constexpr const char* kHeld = "held";
// Well above the time limits of the routes other than that of held requests.
constexpr int kAnswerTimeoutMs = 30000;

std::string HeldId(int i) {
  return fmt::format("{}-{}", kHeld, i);
}

Json::Value Routes() {
  return ParseJson(R"([
      {"name": "idempotent", "hostname": "h.example", "path_prefix": "/a/",
       "route_type": "idempotent", "timeout_ms": 10000, "backend": "app",
       "target_latency_ms": 5000, "max_attempts": 2, "public": true},
      {"name": "once", "hostname": "h.example", "path_prefix": "/n/",
       "route_type": "non_idempotent", "timeout_ms": 3600000,
       "backend": "app", "max_attempts": 2, "public": true},
      {"name": "stream", "hostname": "h.example", "path_prefix": "/s/",
       "route_type": "streaming", "timeout_ms": 3600000, "backend": "app",
       "target_latency_ms": 5000, "target_itl_ms": 5000, "public": true},
      {"name": "key", "hostname": "h.example", "path_prefix": "/k/",
       "route_type": "streaming", "timeout_ms": 10000, "backend": "app",
       "target_latency_ms": 5000, "target_itl_ms": 5000, "max_attempts": 2,
       "stream_resume": true},
      {"name": "faulty idempotent", "hostname": "h.example",
       "path_prefix": "/fa/", "route_type": "idempotent", "timeout_ms": 5000,
       "target_latency_ms": 5000, "backend": "faulty", "max_attempts": 2,
       "public": true},
      {"name": "faulty once", "hostname": "h.example", "path_prefix": "/fn/",
       "route_type": "non_idempotent", "timeout_ms": 5000,
       "backend": "faulty", "max_attempts": 2, "public": true},
      {"name": "faulty stream", "hostname": "h.example",
       "path_prefix": "/fs/", "route_type": "streaming", "timeout_ms": 5000,
       "target_latency_ms": 5000, "target_itl_ms": 5000, "backend": "faulty",
       "max_attempts": 2, "stream_resume": true, "public": true}])")
      .value();
}

}  // namespace

bool HoldingEngine::operator()(const ReceivedRequest& request, Socket& socket) {
  const std::string id = request.Header(kRequestId);
  const std::string echo =
      id.empty() ? std::string() : fmt::format("{}: {}\r\n", kRequestId, id);
  const bool stream = Contains(request.head, "POST /s/");
  const std::string head =
      fmt::format("HTTP/1.1 200 OK\r\n{}{}", echo, kSignature);
  const std::string body = "body of " + id;
  if (stream) {
    socket.Send(head +
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                gateway::EventChunk(2, "begin"));
  }
  if (Contains(id, kHeld)) {
    ++this->held;
    while (!this->released) {
      SleepBriefly();
    }
  }
  socket.Send(stream ? gateway::EventChunk(3, body) + "0\r\n\r\n"
                     : head + fmt::format("Content-Length: {}\r\n\r\n{}",
                                          body.size(), body));
  return true;
}

HeldRequests::HeldRequests(const std::string& address) {
  for (int i = 0; i < kHeldOfAKind * 2; ++i) {
    this->callers.push_back(std::make_unique<RawCaller>(address));
    this->callers.back()->Send(fmt::format(
        "POST /{}/x HTTP/1.1\r\nHost: h.example\r\n{}: {}\r\n"
        "X-Sycamorebend-Deadline-Ms: 3600000\r\nContent-Length: 0\r\n\r\n",
        i % 2 == 0 ? "n" : "s", kRequestId, HeldId(i)));
  }
}

void HeldRequests::CheckAnswers() {
  for (int i = 0; i < this->Count(); ++i) {
    const std::string wanted = "body of " + HeldId(i);
    const std::string answer =
        this->callers[static_cast<std::size_t>(i)]->ReadUntil(
            i % 2 == 0 ? wanted : "\r\n0\r\n\r\n");
    BOOST_TEST(Contains(answer, "HTTP/1.1 200"), HeldId(i));
    BOOST_TEST(Contains(answer, wanted), HeldId(i));
  }
}

BusyGateway::BusyGateway(const TemplateFields& changes)
    : fleet(/*replicas=*/3,
            /*gateways=*/1,
            /*max_followers=*/8,
            /*silent_seeds=*/0,
            changes),
      server([this](const ReceivedRequest& request, Socket& socket) {
        return this->engine(request, socket);
      }) {
  const Json::Value routes = Routes();
  BOOST_REQUIRE(
      WaitFor([&] { return this->fleet.Replace(1, 0, routes); }, kStepTimeout));
  BOOST_REQUIRE(WaitFor(
      [&] { return this->fleet.Announce("engine", this->server.Address()); },
      kStepTimeout));
  BOOST_REQUIRE(
      WaitFor([&] { return this->fleet.InForce(1) == 1; }, kStepTimeout));
  BOOST_REQUIRE(WaitFor([&] { return this->Serves(); }, kStepTimeout));
}

void BusyGateway::AddFaultyServer(const gateway::ScriptedServer& faulty) {
  this->faulty_servers.push_back(faulty.Address());
  this->ReportFaultyServers();
  const auto known = [&] {
    return Contains(
        this->fleet.Metrics(0),
        fmt::format("gateway_servers{{service=\"faulty\",state=\"usable\"}} {}",
                    this->faulty_servers.size()));
  };
  BOOST_REQUIRE(WaitFor(known, kStepTimeout));
}

void BusyGateway::ReportFaultyServers() {
  for (const std::string& address : this->faulty_servers) {
    BOOST_REQUIRE(WaitFor(
        [&] {
          return this->fleet.Announce("at-" + address, address, "faulty");
        },
        kStepTimeout));
  }
}

void BusyGateway::HoldRequests() {
  this->held = std::make_unique<HeldRequests>(this->Address());
  BOOST_REQUIRE(WaitFor([&] { return this->engine.Held() == this->Held(); },
                        kStepTimeout));
}

void BusyGateway::CheckHeldRequests() {
  BOOST_TEST(this->Process().Running());
  this->engine.Release();
  this->held->CheckAnswers();
}

std::string BusyGateway::Send(const std::string& request) const {
  RawCaller caller(this->Address());
  caller.Send(request);
  return caller.ReadUntil("\r\n\r\n", kAnswerTimeoutMs);
}

bool BusyGateway::Serves() const {
  return Contains(this->Send("GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n"),
                  "HTTP/1.1 200");
}

}  // namespace sycamorebend::platform
