// Servers that state in their responses that they are leaving, or for how long
// they want no requests.
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <random>
#include <thread>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace sycamorebend::gateway {

namespace {

using Clock = std::chrono::steady_clock;

// Requests that may still arrive while a server wants none, and the time that
// passes before they count.
constexpr int kMaxQuietArrivals = 2;
constexpr auto kQuietTolerance = milliseconds(500);

std::string QuietRefusal(const ReceivedRequest& request,
                         const std::string& retry_after) {
  return MakeResponse(
      request, 503, "busy",
      fmt::format("Not-Run: 1\r\nRetry-After: {}\r\n", retry_after));
}

std::string Ask(const GatewayFixture& gateway,
                const std::string& id,
                const std::string& path = "/safe/x") {
  RawCaller caller(gateway.Address());
  caller.Send(Request(id, path));
  return caller.ReadUntil("\r\n\r\n");
}

}  // namespace

// Guards against new requests for a server that has said that it is leaving,
// whatever its reports to the control replicas say.
BOOST_FIXTURE_TEST_CASE(LeavingServerGetsNoMoreRequests, GatewayFixture) {
  ScriptedServer leaving([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(
        MakeResponse(request, 200, "ok", "Signed: yes\r\nLeaving: 1\r\n"));
    return true;
  });
  this->AddServer(leaving);
  BOOST_TEST(Contains(Ask(*this, "r0"), "HTTP/1.1 200"));
  ScriptedServer staying(Echo);
  this->AddServer(staying);  // Its record says that both are ready.
  for (int i = 1; i <= 10; ++i) {
    BOOST_TEST(Contains(Ask(*this, fmt::format("r{}", i)), "HTTP/1.1 200"));
  }
  // Its record is lost for a moment, and reported again.
  this->SetServers({staying.Address()});
  this->SetServers({leaving.Address(), staying.Address()});
  for (int i = 11; i <= 20; ++i) {
    BOOST_TEST(Contains(Ask(*this, fmt::format("r{}", i)), "HTTP/1.1 200"));
  }
  BOOST_TEST(leaving.Requests().size() == 1U);
  BOOST_TEST(staying.Requests().size() == 20U);
}

// Guards against a server that starts again at the address of one that has
// left and gets no requests.
BOOST_FIXTURE_TEST_CASE(NextIncarnationOfALeavingServerIsUsed, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(
        MakeResponse(request, 200, "ok", "Signed: yes\r\nLeaving: 1\r\n"));
    return true;
  });
  this->AddServer(server);
  BOOST_TEST(Contains(Ask(*this, "r0"), "HTTP/1.1 200"));
  BOOST_TEST(Contains(Ask(*this, "r1"), "HTTP/1.1 503"));
  ++this->incarnation;
  this->SetServers(this->addresses);
  BOOST_TEST(Contains(Ask(*this, "r2"), "HTTP/1.1 200"));
}

// Guards against a notice in a response that is not the server's own.
BOOST_FIXTURE_TEST_CASE(NoticeOfAnUnsignedResponseIsIgnored, GatewayFixture) {
  ScriptedServer server([](const ReceivedRequest& request, Socket& socket) {
    socket.Send(
        MakeResponse(request, 404, "no", "Leaving: 1\r\nRetry-After: 100\r\n"));
    return true;
  });
  this->AddServer(server);
  for (int i = 0; i < 3; ++i) {
    Ask(*this, fmt::format("r{}", i));
  }
  BOOST_TEST(server.Requests().size() == 3U);
}

// Guards against requests for a server during the time for which it wants none,
// and against a caller that is not told when to come back.
BOOST_FIXTURE_TEST_CASE(QuietServerGetsNoRequests, GatewayFixture) {
  std::atomic<int> refusals{0};
  ScriptedServer quiet([&](const ReceivedRequest& request, Socket& socket) {
    if (++refusals > 1) {
      return Echo(request, socket);
    }
    socket.Send(QuietRefusal(request, "1.2"));
    return true;
  });
  this->AddServer(quiet);
  const auto refused_at = Clock::now();
  BOOST_TEST(Contains(Ask(*this, "r0"), "HTTP/1.1 503"));
  while (Clock::now() - refused_at < milliseconds(1100)) {
    const std::string response = Ask(*this, "r1");
    BOOST_TEST(Contains(response, "HTTP/1.1 503"));
    BOOST_TEST(Contains(response, "Retry-After: "));
    std::this_thread::sleep_for(milliseconds(50));
  }
  BOOST_TEST(quiet.Requests().size() == 1U);
  std::this_thread::sleep_for(milliseconds(400));
  BOOST_TEST(Contains(Ask(*this, "r2"), "HTTP/1.1 200"));
}

namespace {

constexpr const char* kSeedsVariable = "SB_NOTICE_SEEDS";
constexpr int kDefaultSeeds = 3;

// A server that leaves or wants no requests at random moments, and counts what
// reaches it nevertheless.
struct MoodyServer {
  bool operator()(const ReceivedRequest& request, Socket& socket) {
    std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    if (this->leaving) {
      ++this->arrivals_while_leaving;
    }
    if (now < this->quiet_until && now > this->quiet_from) {
      ++this->arrivals_while_quiet;
    }
    const unsigned draw = this->random() % 20;
    if (draw == 0 && this->may_leave) {
      this->leaving = true;
    } else if (draw < 3) {
      const auto quiet = milliseconds(600 + this->random() % 900);
      if (now + quiet > this->quiet_until) {
        this->quiet_until = now + quiet;
        this->quiet_from = now + kQuietTolerance;
        this->arrivals_while_quiet = 0;
      }
      socket.Send(QuietRefusal(
          request,
          fmt::format("{:.3f}", std::chrono::duration<double>(quiet).count())));
      return true;
    }
    socket.Send(MakeResponse(
        request, 200, "ok",
        this->leaving ? "Signed: yes\r\nLeaving: 1\r\n" : "Signed: yes\r\n"));
    this->most_while_quiet =
        std::max(this->most_while_quiet, this->arrivals_while_quiet);
    return true;
  }

  std::mutex mutex;
  std::mt19937 random;
  bool may_leave = true;
  bool leaving = false;
  Clock::time_point quiet_until;
  Clock::time_point quiet_from;
  int arrivals_while_leaving = 0;
  int arrivals_while_quiet = 0;
  int most_while_quiet = 0;
};

}  // namespace

// Guards against requests for servers that leave or want none, with several
// callers at once, retries, and records that contradict the servers.
BOOST_AUTO_TEST_CASE(NoticesAreKeptUnderRandomTraffic) {
  constexpr int kServers = 5;
  constexpr int kCallers = 4;
  const char* const text = std::getenv(kSeedsVariable);
  const int seeds = text == nullptr ? kDefaultSeeds : std::atoi(text);
  for (int seed = 1; seed <= seeds; ++seed) {
    GatewayFixture gateway;
    std::vector<std::unique_ptr<MoodyServer>> moods;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    for (int i = 0; i < kServers; ++i) {
      moods.push_back(std::make_unique<MoodyServer>());
      moods.back()->random.seed(static_cast<unsigned>(seed * kServers + i));
      moods.back()->may_leave = i > 0;
      servers.push_back(std::make_unique<ScriptedServer>(
          [&mood = *moods.back()](const ReceivedRequest& request,
                                  Socket& socket) {
            return mood(request, socket);
          }));
      gateway.AddServer(*servers.back());
    }
    const auto end = Clock::now() + milliseconds(1500);
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        for (int n = 0; Clock::now() < end; ++n) {
          Ask(gateway, fmt::format("r{}.{}", i, n),
              n % 2 == 0 ? "/safe/x" : "/once/x");
          std::this_thread::sleep_for(milliseconds(5));
        }
      });
    }
    while (Clock::now() < end) {
      gateway.SetServers(gateway.addresses);
      std::this_thread::sleep_for(milliseconds(20));
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (const auto& mood : moods) {
      // Requests of other callers that were already on their way.
      BOOST_TEST(mood->arrivals_while_leaving <= kCallers - 1, "seed " << seed);
      BOOST_TEST(mood->most_while_quiet <= kMaxQuietArrivals, "seed " << seed);
    }
  }
}

}  // namespace sycamorebend::gateway
