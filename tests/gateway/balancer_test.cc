#include "gateway/balancer.h"

#include <set>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

ServerRecord MakeServer(int number, const std::string& service = "engines") {
  ServerRecord record;
  record.server_id = "s" + std::to_string(number);
  record.incarnation = 1;
  record.service = service;
  record.address = "10.0.0." + std::to_string(number) + ":80";
  record.failure_domain = "a";
  record.slots = 8;
  return record;
}

struct Fixture {
  Fixture() { this->Fill(8); }

  void Fill(int count) {
    this->records.clear();
    for (int i = 1; i <= count; ++i) {
      this->records.push_back(MakeServer(i));
    }
    this->balancer.SetServers(this->records);
  }

  Demand Ask(std::uint64_t session, int tokens = 8000) {
    this->generation.input_tokens = tokens;
    this->generation.prompt = {{1, 2000}, {session, 4000}, {++this->own, 2000}};
    Demand demand;
    demand.service = "engines";
    demand.route = "long";
    demand.gap_target = seconds(2);
    demand.generation = &this->generation;
    return demand;
  }

  Choice Send(const Demand& demand) {
    const auto choice = this->balancer.Choose(demand, this->now);
    BOOST_REQUIRE(choice.has_value());
    this->balancer.OnSent(*choice, demand, this->now);
    return *choice;
  }

  void Fail(const Choice& choice, const Demand& demand, SendOutcome outcome) {
    this->balancer.OnDone(choice, demand, outcome, false, milliseconds(10),
                          this->now);
  }

  BalancerOptions options{"a", 1};
  Balancer balancer{options};
  std::vector<ServerRecord> records;
  GenerationRequest generation;
  std::uint64_t own = 1000000;
  TimePoint now{seconds(100)};
};

// Lets 72 gateways with the same view place a long prompt on 112 engines of
// which all but one are busy.
// @return gateways that chose the idle engine.
int CountAtTheIdleEngine(int outstanding,
                         int pending_tokens,
                         Duration latest_first_byte) {
  std::vector<ServerRecord> records;
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  for (int i = 1; i <= 112; ++i) {
    records.push_back(MakeServer(i));
    if (i > 1) {
      message.shares.push_back(
          {ServerCode(ServerKey(records.back())), outstanding, pending_tokens});
    }
  }
  const TimePoint now{seconds(100)};
  int idle = 0;
  for (std::uint64_t gateway = 1; gateway <= 72; ++gateway) {
    Balancer balancer({"a", gateway});
    balancer.SetServers(records);
    balancer.OnPeerLoad(message, now);
    GenerationRequest generation;
    generation.input_tokens = 8000;
    generation.prompt = {{1, 2000}, {gateway, 4000}, {1000 + gateway, 2000}};
    Demand demand;
    demand.service = "engines";
    demand.generation = &generation;
    demand.latest_first_byte = latest_first_byte;
    idle += balancer.Choose(demand, now)->server_id == "s1" ? 1 : 0;
  }
  return idle;
}

}  // namespace

// Pattern: one session asks again and again, through two gateways. Guards
// against prompts that every engine has to read anew.
BOOST_FIXTURE_TEST_CASE(SessionStaysAtItsHome, Fixture) {
  Balancer other({"b", 7});
  other.SetServers(this->records);
  for (std::uint64_t session = 2; session < 40; ++session) {
    const Demand demand = this->Ask(session);
    const auto first = this->balancer.Choose(demand, this->now);
    const auto second = other.Choose(demand, this->now);
    BOOST_TEST(first->server_key == second->server_key);
  }
}

// Pattern: a hot key, one session with a large part of the requests. Guards
// against a home that is buried while other engines are idle.
BOOST_FIXTURE_TEST_CASE(HotSessionSpreads, Fixture) {
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    used.insert(this->Send(this->Ask(5)).server_key);
  }
  BOOST_TEST(used.size() > 3U);
}

// Pattern: other gateways keep one engine busy. Guards against gateways that
// see only their own work.
BOOST_FIXTURE_TEST_CASE(LoadOfOtherGatewaysCounts, Fixture) {
  const Demand demand = this->Ask(5);
  const auto home = this->balancer.Choose(demand, this->now);
  LoadMessage message{"other", 1, {}, {}};
  message.shares.push_back({ServerCode(home->server_key), 30, 200000});
  this->balancer.OnPeerLoad(message, this->now);
  BOOST_TEST(this->balancer.Choose(demand, this->now)->server_key !=
             home->server_key);
}

// Pattern: 72 gateways with the same view of 112 engines, one of which looks
// idle. Guards against all of them choosing it until they hear of each other.
BOOST_AUTO_TEST_CASE(GatewaysDoNotAllChooseTheIdleEngine) {
  BOOST_TEST(CountAtTheIdleEngine(4, 4000, Duration::max()) < 12);
}

// Pattern: the same while the other engines are so busy that callers would be
// turned away. Guards against a search of all engines that ends at the same
// one.
BOOST_AUTO_TEST_CASE(BusyGatewaysDoNotAllChooseTheIdleEngine) {
  BOOST_TEST(CountAtTheIdleEngine(8, 100000, milliseconds(600)) < 20);
}

// Guards against a long prompt of which the others hear a round later.
BOOST_FIXTURE_TEST_CASE(LongPromptIsToldAtOnce, Fixture) {
  int told = 0;
  this->balancer.OnHeavyLoad([&] { ++told; });
  this->Send(this->Ask(5, 200));
  BOOST_TEST(told == 0);
  this->Send(this->Ask(6, 12000));
  BOOST_TEST(told == 1);
}

// Pattern: an engine crashes. Guards against gateways that keep connecting to
// it, and against one that never comes back.
BOOST_FIXTURE_TEST_CASE(UnreachableServerIsLeftForAWhile, Fixture) {
  const Demand demand = this->Ask(5);
  const Choice home = this->Send(demand);
  this->Fail(home, demand, SendOutcome::kConnectFailed);
  BOOST_TEST(this->balancer.Choose(demand, this->now)->server_key !=
             home.server_key);
  this->now += seconds(20);
  BOOST_TEST(this->balancer.Choose(demand, this->now)->server_key ==
             home.server_key);
}

// Pattern: every engine is unreachable. Guards against refusals while a server
// might answer again.
BOOST_FIXTURE_TEST_CASE(AvoidedServersAreUsedWhenNoneIsLeft, Fixture) {
  this->Fill(2);
  const Demand demand = this->Ask(5);
  for (int i = 0; i < 2; ++i) {
    this->Fail(this->Send(demand), demand, SendOutcome::kConnectFailed);
  }
  BOOST_TEST(this->balancer.Choose(demand, this->now).has_value());
}

// Pattern: a slow engine among fast ones. Guards against work that waits at a
// straggler.
BOOST_FIXTURE_TEST_CASE(SlowServerGetsLess, Fixture) {
  Demand demand;
  demand.service = "engines";
  int slow = 0;
  for (int i = 0; i < 400; ++i) {
    const Choice choice = this->Send(demand);
    const bool is_slow = choice.server_id == "s3";
    slow += is_slow ? 1 : 0;
    this->balancer.OnFirstByte(choice, milliseconds(is_slow ? 400 : 20),
                               this->now);
    this->balancer.OnDone(choice, demand, SendOutcome::kAnswered, true,
                          milliseconds(40), this->now);
    this->now += milliseconds(10);
  }
  BOOST_TEST(slow < 25);
}

// Guards against new work at a server that said that it leaves.
BOOST_FIXTURE_TEST_CASE(LeavingServerGetsNothing, Fixture) {
  this->Fill(2);
  this->records[0].leaving = true;
  this->balancer.SetServers(this->records);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(this->Send(this->Ask(5)).server_id == "s2");
  }
  this->records[1].leaving = true;
  this->balancer.SetServers(this->records);
  BOOST_TEST(!this->balancer.Choose(this->Ask(5), this->now).has_value());
}

// Guards against a request that returns to the server that failed it.
BOOST_FIXTURE_TEST_CASE(ExcludedServersAreNotChosen, Fixture) {
  this->Fill(2);
  Demand demand = this->Ask(5);
  const Choice first = this->Send(demand);
  demand.excluded.push_back(first.server_key);
  BOOST_TEST(this->Send(demand).server_key != first.server_key);
}

// Guards against connections that are kept to servers that are gone, and
// against learnt state that is lost with each change of the list.
BOOST_FIXTURE_TEST_CASE(ServersThatAreGoneAreNamed, Fixture) {
  const Choice choice = this->Send(this->Ask(5));
  this->records.erase(std::remove_if(this->records.begin(), this->records.end(),
                                     [&](const ServerRecord& record) {
                                       return ServerKey(record) ==
                                              choice.server_key;
                                     }),
                      this->records.end());
  const auto gone = this->balancer.SetServers(this->records);
  BOOST_REQUIRE(gone.size() == 1U);
  BOOST_TEST(gone.front() == choice.server_key);
  LoadMessage message;
  this->balancer.ReportLoad(message, this->now);
  BOOST_TEST(message.shares.empty());
}

}  // namespace sycamorebend::gateway
