// Engines that leave or want no requests for a time, with gateways that are
// paused, restarted and without control replicas.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway/scripted_server.h"
#include "platform/platform_fleet.h"

namespace sycamorebend::platform {

namespace {

using gateway::ReceivedRequest;
using gateway::ScriptedServer;
using gateway::Socket;
using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

constexpr const char* kSeedsVariable = "SB_NOTICE_SEEDS";
constexpr int kDefaultSeeds = 1;
constexpr std::size_t kReplicas = 3;
constexpr std::size_t kGateways = 2;
constexpr int kEngines = 4;
constexpr int kCallersOfAGateway = 2;
constexpr auto kTrafficTime = milliseconds(6000);
constexpr auto kAnnounceInterval = milliseconds(400);
// A request that a caller sends this long after its gateway has heard that an
// engine leaves must not reach the engine.
constexpr auto kDrainTime = milliseconds(2000);
// Requests that may still arrive while an engine wants none, and the time that
// passes before they count.
constexpr int kMaxQuietArrivals = 2;
constexpr auto kQuietTolerance = milliseconds(500);

// What happened between one gateway and one engine.
struct Contact {
  SteadyTime at;
  SteadyTime sent;  // By the caller.
  bool told_leaving = false;
  milliseconds told_quiet{0};
};

// Records each request by the gateway that its ID names: "GATEWAY.SENT_NS.N".
class NoticeEngine {
 public:
  NoticeEngine(unsigned seed, bool may_leave)
      : random(seed), may_leave(may_leave) {}

  bool operator()(const ReceivedRequest& request, Socket& socket) {
    std::lock_guard lock(this->mutex);
    const std::string id = request.Header("X-Sycamorebend-Request-Id");
    const auto gateway = std::strtoul(id.c_str(), nullptr, 10);
    Contact contact;
    contact.at = SteadyClock::now();
    contact.sent = SteadyTime(std::chrono::nanoseconds(
        std::strtoll(id.c_str() + id.find('.') + 1, nullptr, 10)));
    const unsigned draw = this->random() % 100;
    this->leaving = this->leaving || (this->may_leave && draw == 0);
    std::string headers;
    int status = 200;
    if (draw > 95) {
      status = 503;
      contact.told_quiet = milliseconds(700 + this->random() % 900);
      headers = fmt::format(
          "Retry-After: {:.3f}\r\nX-Sycamorebend-Not-Executed: 1\r\n",
          std::chrono::duration<double>(contact.told_quiet).count());
    }
    if (this->leaving) {
      contact.told_leaving = true;
      headers += "Server-Leaving: 1\r\n";
    }
    socket.Send(fmt::format(
        "HTTP/1.1 {} x\r\nContent-Length: 2\r\nX-Sycamorebend-Request-Id: {}"
        "\r\nX-Sycamorebend-Response-Signature: s\r\n{}\r\nok",
        status, id, headers));
    this->contacts[gateway].push_back(contact);
    return true;
  }

  std::vector<Contact> ContactsOf(std::size_t gateway) {
    std::lock_guard lock(this->mutex);
    return this->contacts[gateway];
  }

 private:
  std::mutex mutex;
  std::mt19937 random;
  const bool may_leave;
  bool leaving = false;
  std::map<std::size_t, std::vector<Contact>> contacts;
};

// Times at which a gateway was paused or restarted, which excuses it.
using Disturbances = std::vector<SteadyTime>;

bool DisturbedBetween(const Disturbances& disturbances,
                      SteadyTime begin,
                      SteadyTime end) {
  return std::any_of(
      disturbances.begin(), disturbances.end(),
      [&](SteadyTime time) { return time >= begin && time <= end; });
}

void CheckContacts(const std::vector<Contact>& contacts,
                   const Disturbances& disturbances,
                   const std::string& where) {
  for (std::size_t i = 0; i < contacts.size(); ++i) {
    const Contact& notice = contacts[i];
    int after_leaving = 0;
    int while_quiet = 0;
    for (std::size_t k = i + 1; k < contacts.size(); ++k) {
      const Contact& later = contacts[k];
      if (DisturbedBetween(disturbances, notice.at, later.at)) {
        break;
      }
      after_leaving += later.sent > notice.at + kDrainTime ? 1 : 0;
      while_quiet += later.at > notice.at + kQuietTolerance &&
                             later.at < notice.at + notice.told_quiet
                         ? 1
                         : 0;
    }
    BOOST_TEST((!notice.told_leaving || after_leaving == 0), where);
    BOOST_TEST(while_quiet <= kMaxQuietArrivals, where);
  }
}

// Sends requests to one gateway until `end`.
// @return number of responses with status 200.
int SendRequests(const std::string& address,
                 std::size_t gateway,
                 SteadyTime end) {
  const auto client = HttpClient::Create(1);
  int served = 0;
  for (int n = 0; SteadyClock::now() < end; ++n) {
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + address + "/a/x";
    call.headers = {
        {"Host", "h.example"},
        {"X-Sycamorebend-Request-Id",
         fmt::format("{}.{}.{}", gateway,
                     SteadyClock::now().time_since_epoch().count(), n)}};
    call.total_timeout = seconds(1);
    const Result<HttpResponse> response = client->Fetch(call);
    served += response && response.value().status == 200 ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return served;
}

void RunSeed(unsigned seed) {
  PlatformFleet fleet(kReplicas, kGateways, /*max_followers=*/8);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(1); }, kStepTimeout));
  std::vector<std::unique_ptr<NoticeEngine>> engines;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<NoticeEngine>(
        seed * kEngines + static_cast<unsigned>(i), /*may_leave=*/i > 0));
    servers.push_back(std::make_unique<ScriptedServer>(
        [&engine = *engines.back()](const ReceivedRequest& request,
                                    Socket& socket) {
          return engine(request, socket);
        }));
  }
  const auto announce = [&] {
    bool announced = true;
    for (int i = 0; i < kEngines; ++i) {
      announced =
          fleet.Announce(fmt::format("engine-{}", i), servers[i]->Address()) &&
          announced;
    }
    return announced;
  };
  BOOST_REQUIRE(WaitFor(announce, kStepTimeout));
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.InForce(1) == kGateways; }, kStepTimeout));
  const SteadyTime begin = SteadyClock::now();
  std::atomic<int> served{0};
  std::vector<std::thread> threads;
  for (std::size_t g = 0; g < kGateways; ++g) {
    for (int i = 0; i < kCallersOfAGateway; ++i) {
      threads.emplace_back([&, g] {
        served += SendRequests(fleet.CallerAddress(g), g, begin + kTrafficTime);
      });
    }
  }
  // The reports of the engines contradict what they say in their responses.
  threads.emplace_back([&] {
    while (SteadyClock::now() < begin + kTrafficTime) {
      announce();
      std::this_thread::sleep_for(kAnnounceInterval);
    }
  });
  std::mt19937 random(seed);
  const auto random_pause = [&random] {
    std::this_thread::sleep_for(milliseconds(300 + random() % 700));
  };
  std::vector<Disturbances> disturbances(kGateways);
  random_pause();
  fleet.Gateway(0).Signal(SIGSTOP);
  disturbances[0].push_back(SteadyClock::now());
  random_pause();
  fleet.Gateway(0).Signal(SIGCONT);
  disturbances[0].push_back(SteadyClock::now());
  random_pause();
  fleet.Gateway(1).Kill();
  disturbances[1].push_back(SteadyClock::now());
  fleet.StartGateway(1);
  random_pause();
  for (std::size_t i = 0; i < kReplicas; ++i) {
    fleet.Replica(i).Kill();
  }
  random_pause();
  for (std::size_t i = 0; i < kReplicas; ++i) {
    fleet.StartReplica(i);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(served > 0);
  for (int i = 0; i < kEngines; ++i) {
    for (std::size_t g = 0; g < kGateways; ++g) {
      CheckContacts(engines[i]->ContactsOf(g), disturbances[g],
                    fmt::format("seed {}, engine {}, gateway {}", seed, i, g));
    }
  }
}

}  // namespace

// Guards against requests for engines that leave or want none, from gateways
// that were paused or restarted before, that have no control replicas, and that
// get reports which contradict the engines.
BOOST_AUTO_TEST_CASE(NoticesAreKeptByProcesses) {
  const char* const text = std::getenv(kSeedsVariable);
  const int seeds = text == nullptr ? kDefaultSeeds : std::atoi(text);
  for (int seed = 1; seed <= seeds; ++seed) {
    RunSeed(static_cast<unsigned>(seed));
  }
}

}  // namespace sycamorebend::platform
