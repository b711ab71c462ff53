// Streams that break off at random bytes, with random framing, against what
// their callers may be told.
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "net/http_writer.h"

namespace sycamorebend::gateway {

namespace {

constexpr int kDefaultSeeds = 60;
constexpr const char* kSeedsVariable = "SB_TRUNCATION_SEEDS";

using Random = std::mt19937;

int Draw(Random& random, int below) {
  return static_cast<int>(random() % static_cast<unsigned>(below));
}

std::vector<std::string> DrawEvents(Random& random) {
  const std::string line_end = Draw(random, 2) == 0 ? "\n" : "\r\n";
  std::vector<std::string> events;
  const int count = 1 + Draw(random, 6);
  for (int id = 1; id <= count; ++id) {
    events.push_back(fmt::format(
        "id: {}{}data: {}{}{}", id, line_end,
        std::string(static_cast<std::size_t>(Draw(random, 40)), 'x'), line_end,
        line_end));
  }
  return events;
}

// How one server sends the events that the caller lacks.
struct Plan {
  net::BodyFraming framing = net::BodyFraming::kChunked;
  bool whole = true;  // Otherwise the body is cut at a random byte.
  // The server's HTTP message is complete although its stream is not.
  bool complete_message = false;
  bool reset = false;
  unsigned seed = 0;
};

Plan DrawPlan(Random& random, bool whole) {
  Plan plan;
  plan.framing = static_cast<net::BodyFraming>(Draw(random, 3));
  plan.whole = whole;
  plan.complete_message = Draw(random, 2) == 0;
  plan.reset = !whole && Draw(random, 4) == 0;
  plan.seed = random();
  return plan;
}

// The attempt that began last.
struct LastAttempt {
  int number = 0;
  std::string sent;  // Bytes of the stream.
};

struct Server {
  bool operator()(const ReceivedRequest& request, Socket& socket) const {
    const Plan& plan =
        (*this->plans)[static_cast<std::size_t>(this->last->number++)];
    Random random(plan.seed);
    const std::string after = request.Header("Resume-After");
    std::string body;
    for (std::size_t i = after.empty() ? 0 : std::stoul(after);
         i < this->events->size(); ++i) {
      body += Draw(random, 3) == 0 ? ": comment\n\n" : "";
      body += (*this->events)[i];
    }
    const std::size_t size = plan.whole
                                 ? body.size()
                                 : static_cast<std::size_t>(Draw(
                                       random, static_cast<int>(body.size())));
    this->last->sent = body.substr(0, size);
    const bool complete = plan.whole || plan.complete_message;
    socket.Send(net::FormatResponseHead(
        200,
        {{"Request-Id", request.Header("Request-Id")},
         {"Signed", "yes"},
         {"Content-Type", "text/event-stream"}},
        plan.framing, complete ? size : body.size(), true));
    for (std::size_t at = 0; at < size;) {
      const std::size_t part = std::min<std::size_t>(
          static_cast<std::size_t>(1 + Draw(random, 30)), size - at);
      const std::string piece = body.substr(at, part);
      socket.Send(plan.framing == net::BodyFraming::kChunked ? Chunk(piece)
                                                             : piece);
      at += part;
    }
    if (complete && plan.framing == net::BodyFraming::kChunked) {
      socket.Send(std::string(net::kLastChunk));
    }
    if (plan.reset) {
      socket.Reset();
    }
    return false;
  }

  const std::vector<std::string>* events;
  const std::vector<Plan>* plans;
  LastAttempt* last;
};

// What a caller received.
struct Received {
  int status = 0;
  bool complete = false;
  std::string events;  // Without comments.
};

std::string WithoutComments(const std::string& body) {
  net::SseSplitter splitter;
  splitter.Append(body);
  std::string events;
  while (const auto event = splitter.Next()) {
    events += event->IsComment() ? "" : event->bytes;
  }
  BOOST_TEST(splitter.PendingBytes() == 0U);
  return events;
}

class BodyCollector : public net::MessageSink {
 public:
  bool OnHead(net::MessageHead head) override {
    this->status = head.status;
    return true;
  }
  void OnBody(std::string_view data) override { this->body.append(data); }
  void OnMessageEnd() override { this->ended = true; }

  int status = 0;
  bool ended = false;
  std::string body;
};

Received Call(const std::string& address,
              const std::string& path,
              bool http_1_0) {
  RawCaller caller(address);
  caller.Send(
      fmt::format("GET {} HTTP/1.{}\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                  "Connection: close\r\n\r\n",
                  path, http_1_0 ? 0 : 1));
  const std::string bytes = caller.ReadToEnd();
  constexpr std::size_t kMaxHeadBytes = 4096;
  BodyCollector sink;
  net::HttpReader reader(net::HttpReader::Kind::kResponse, sink, kMaxHeadBytes);
  reader.Read(bytes);
  if (!sink.ended && !caller.WasReset()) {
    reader.End();
  }
  return {sink.status, sink.ended, WithoutComments(sink.body)};
}

// @return true if nothing tells the end of a stream that was cut from that of a
// complete one: it lies between two events, and the message ends properly.
bool EndsLikeACompleteStream(const Plan& plan, const std::string& sent) {
  net::SseSplitter splitter;
  splitter.Append(sent);
  bool has_events = false;
  while (const auto event = splitter.Next()) {
    has_events = has_events || !event->IsComment();
  }
  const bool unframed = plan.framing == net::BodyFraming::kUntilClose;
  return !plan.whole && splitter.PendingBytes() == 0 &&
         (unframed ? has_events && !plan.reset : plan.complete_message);
}

int SeedCount() {
  const char* const text = std::getenv(kSeedsVariable);
  return text == nullptr ? kDefaultSeeds : std::atoi(text);
}

}  // namespace

// Servers break off streams at random bytes. Guards against a stream that
// reaches its caller as complete although an event is missing, and against
// events that are repeated, out of order or cut.
BOOST_FIXTURE_TEST_CASE(RandomBreaksNeverLookComplete, GatewayFixture) {
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    Random random(static_cast<unsigned>(seed));
    const std::vector<std::string> events = DrawEvents(random);
    const bool resumable = Draw(random, 2) == 0;
    const bool http_1_0 = Draw(random, 4) == 0;
    const std::vector<Plan> plans = {DrawPlan(random, Draw(random, 5) == 0),
                                     DrawPlan(random, Draw(random, 2) == 0)};
    LastAttempt last;
    ScriptedServer first(Server{&events, &plans, &last});
    ScriptedServer second(Server{&events, &plans, &last});
    this->SetServers({first.Address(), second.Address()});
    const Received received =
        Call(this->Address(), resumable ? "/stream/x" : "/live/x", http_1_0);

    std::string whole;
    bool at_boundary = received.events.empty();
    for (const std::string& event : events) {
      whole += event;
      at_boundary = at_boundary || whole == received.events;
    }
    BOOST_TEST(at_boundary, "seed " << seed);
    const Plan& plan = plans[static_cast<std::size_t>(last.number) - 1];
    if (plan.whole) {
      BOOST_TEST(received.status == 200, "seed " << seed);
      BOOST_TEST(received.complete, "seed " << seed);
    }
    const bool complete = received.status == 200 && received.complete;
    if (complete && !EndsLikeACompleteStream(plan, last.sent)) {
      BOOST_TEST(received.events == whole, "seed " << seed);
    }
    BOOST_TEST((resumable || last.number == 1), "seed " << seed);
  }
}

}  // namespace sycamorebend::gateway
