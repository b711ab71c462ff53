#include "gateway/balancer.h"

#include <limits>
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
  Fixture() { this->SetServerCount(8); }

  void SetServerCount(int count) {
    this->records.clear();
    for (int i = 1; i <= count; ++i) {
      this->records.push_back(MakeServer(i));
    }
    this->balancer.SetServers(this->records);
  }

  RequestProfile MakeRequest(std::uint64_t session, int tokens = 8000) {
    this->generation.input_tokens = tokens;
    this->generation.prompt = {
        {1, 2000}, {session, 4000}, {++this->last_unique_block, 2000}};
    RequestProfile profile;
    profile.service = "engines";
    profile.route = "long";
    profile.gap_target = seconds(2);
    profile.target = seconds(2);
    profile.generation = &this->generation;
    return profile;
  }

  Choice Send(const RequestProfile& profile) {
    const auto choice = this->balancer.Choose(profile, this->now);
    BOOST_REQUIRE(choice.has_value());
    this->balancer.OnSent(*choice, profile, this->now);
    return *choice;
  }

  void Fail(const Choice& choice,
            const RequestProfile& profile,
            AttemptOutcome outcome) {
    this->balancer.OnDone(choice, profile, outcome, false, milliseconds(10),
                          this->now);
  }

  BalancerOptions options{"a", 1};
  Balancer balancer{options};
  std::vector<ServerRecord> records;
  GenerationRequest generation;
  std::uint64_t last_unique_block = 1000000;
  TimePoint now{seconds(100)};
};

// Lets 72 gateways with the same load information each choose one of 112
// engines for a long prompt, where all engines but one are busy.
// @return the number of gateways that chose the idle engine.
int CountIdleEngineChoices(int outstanding,
                           int pending_tokens,
                           Duration max_first_byte_time) {
  std::vector<ServerRecord> records;
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  for (int i = 1; i <= 112; ++i) {
    records.push_back(MakeServer(i));
    if (i > 1) {
      message.server_loads.push_back({StableHash32(ServerKey(records.back())),
                                      outstanding,
                                      {0, pending_tokens}});
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
    RequestProfile profile;
    profile.service = "engines";
    profile.generation = &generation;
    profile.max_first_byte_time = max_first_byte_time;
    idle += balancer.Choose(profile, now)->server_id == "s1" ? 1 : 0;
  }
  return idle;
}

}  // namespace

// Guards against a prompt without blocks whose prefill is not expected: the
// requests behind it come late.
BOOST_FIXTURE_TEST_CASE(PromptWithoutBlocksIsPrefilled, Fixture) {
  RequestProfile profile = this->MakeRequest(1);
  this->generation.prompt.clear();
  const Choice first = this->Send(profile);
  BOOST_TEST(first.uncached_tokens == 8000);
  BOOST_TEST(this->Send(profile).server_id != first.server_id);
}

// Guards against token counts whose sum overflows: the server with the longest
// queue would look idle.
BOOST_FIXTURE_TEST_CASE(PendingTokensDoNotOverflow, Fixture) {
  constexpr int kRequests = 300;
  constexpr int kManyTokens = 1 << 24;
  this->SetServerCount(1);
  std::int64_t sent = 0;
  for (int i = 0; i < kRequests; ++i) {
    const RequestProfile profile = this->MakeRequest(1, kManyTokens);
    const Choice choice = this->Send(profile);
    BOOST_TEST(choice.pending_tokens == sent);
    sent += choice.uncached_tokens;
  }
  BOOST_TEST(sent > std::numeric_limits<int>::max());
}

// Two gateways choose a server for the same session. Guards against gateways
// that disagree, so that several engines prefill the same prompt.
BOOST_FIXTURE_TEST_CASE(GatewaysChooseTheSameServerForASession, Fixture) {
  Balancer other({"b", 7});
  other.SetServers(this->records);
  for (std::uint64_t session = 2; session < 40; ++session) {
    const RequestProfile profile = this->MakeRequest(session);
    const auto first = this->balancer.Choose(profile, this->now);
    const auto second = other.Choose(profile, this->now);
    BOOST_TEST(first->server_key == second->server_key);
  }
}

// One session sends a large share of the requests. Guards against overload of
// its preferred server while other engines are idle: no request may be expected
// to miss its target.
BOOST_FIXTURE_TEST_CASE(HotSessionSpreads, Fixture) {
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    RequestProfile profile = this->MakeRequest(5);
    profile.max_first_byte_time = milliseconds(480);
    const Choice choice = this->Send(profile);
    used.insert(choice.server_key);
    BOOST_TEST((choice.expected_first_byte <= profile.max_first_byte_time));
  }
  BOOST_TEST(used.size() > 3U);
}

// All engines are as busy as the one that has the session. Guards against
// reading a shared prefix again at another engine, which takes time from all
// requests behind it and makes the overload worse.
BOOST_FIXTURE_TEST_CASE(SaturatedEnginesDoNotReadSharedPartsAgain, Fixture) {
  RequestProfile profile = this->MakeRequest(5);
  const Choice holder = this->Send(profile);
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  for (const ServerRecord& record : this->records) {
    const std::string key = ServerKey(record);
    // 300 ms less in front at the other engines than at the holder.
    const int tokens = key == holder.server_key ? 60000 : 48000;
    message.server_loads.push_back({StableHash32(key), 4, {0, tokens}});
  }
  this->balancer.OnPeerLoad(message, this->now);
  profile = this->MakeRequest(5);
  profile.max_first_byte_time = milliseconds(1450);
  BOOST_TEST(this->balancer.Choose(profile, this->now)->server_key ==
             holder.server_key);
}

// Other gateways keep one engine busy. Guards against a choice that considers
// only the load of this gateway.
BOOST_FIXTURE_TEST_CASE(LoadOfOtherGatewaysCounts, Fixture) {
  const RequestProfile profile = this->MakeRequest(5);
  const auto preferred = this->balancer.Choose(profile, this->now);
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  message.server_loads.push_back(
      {StableHash32(preferred->server_key), 30, {0, 200000}});
  this->balancer.OnPeerLoad(message, this->now);
  BOOST_TEST(this->balancer.Choose(profile, this->now)->server_key !=
             preferred->server_key);
}

// Lower-priority prompts of other gateways fill the engine that holds the
// session. Guards against an urgent prompt that goes elsewhere or is refused,
// although the engine would serve it next.
BOOST_FIXTURE_TEST_CASE(LowerPriorityPromptsBarelyDelayUrgentOnes, Fixture) {
  this->SetServerCount(1);
  RequestProfile profile = this->MakeRequest(5, 400);
  profile.priority_level = 1;
  const Duration idle =
      this->balancer.Choose(profile, this->now)->expected_first_byte;
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  const std::uint32_t server = StableHash32(ServerKey(this->records[0]));
  message.server_loads.push_back({server, 0, {5, 40000}});
  this->balancer.OnPeerLoad(message, this->now);
  const Duration behind_lower =
      this->balancer.Choose(profile, this->now)->expected_first_byte;
  BOOST_TEST((behind_lower < idle + milliseconds(200)));
  message.sequence = 2;
  message.server_loads = {{server, 0, {1, 40000}}};
  this->balancer.OnPeerLoad(message, this->now);
  const Duration behind_equal =
      this->balancer.Choose(profile, this->now)->expected_first_byte;
  BOOST_TEST((behind_equal > idle + milliseconds(800)));
}

// Another gateway has sent the session to an engine that is not the preferred
// one. Guards against reading its shared part again at another engine.
BOOST_FIXTURE_TEST_CASE(SessionStaysAtTheEngineOfOtherGateways, Fixture) {
  for (std::uint64_t session = 2; session < 20; ++session) {
    const RequestProfile profile = this->MakeRequest(session);
    const auto preferred = this->balancer.Choose(profile, this->now);
    const ServerRecord& other =
        this->records[preferred->server_id == "s1" ? 1 : 0];
    LoadMessage message;
    message.sender = "other" + std::to_string(session);
    message.sequence = 1;
    message.placements = {{session, StableHash32(ServerKey(other))}};
    this->balancer.OnPeerLoad(message, this->now);
    BOOST_TEST(this->balancer.Choose(profile, this->now)->server_id ==
               other.server_id);
  }
}

// Half of the servers are in another failure domain. Guards against sending
// large requests over the scarce links between failure domains for nothing, and
// against reading a shared part again only to avoid them.
BOOST_FIXTURE_TEST_CASE(LargeRequestsStayInTheFailureDomain, Fixture) {
  for (std::size_t i = 0; i < this->records.size(); ++i) {
    this->records[i].failure_domain = i % 2 == 0 ? "a" : "b";
  }
  this->balancer.SetServers(this->records);
  RequestProfile profile;
  profile.service = "engines";
  profile.request_bytes = 10000;
  for (int i = 0; i < 40; ++i) {
    const auto choice = this->balancer.Choose(profile, this->now);
    const auto chosen =
        std::find_if(this->records.begin(), this->records.end(),
                     [&](const ServerRecord& record) {
                       return ServerKey(record) == choice->server_key;
                     });
    BOOST_TEST(chosen->failure_domain == "a");
  }
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  message.placements = {{5, StableHash32(ServerKey(this->records[1]))}};
  this->balancer.OnPeerLoad(message, this->now);
  RequestProfile session = this->MakeRequest(5);
  session.request_bytes = 10000;
  BOOST_TEST(this->balancer.Choose(session, this->now)->server_id ==
             this->records[1].server_id);
}

// Guards against placements that are never announced, announced with each
// request of a session, or relayed without end.
BOOST_FIXTURE_TEST_CASE(PlacementsAreAnnouncedOnce, Fixture) {
  this->Send(this->MakeRequest(5));
  LoadMessage first;
  this->balancer.FillLoadMessage(first, this->now);
  BOOST_TEST(first.placements.size() == 2U);  // Not the request's own block.
  this->now += seconds(1);
  this->Send(this->MakeRequest(5));
  LoadMessage second;
  this->balancer.FillLoadMessage(second, this->now);
  BOOST_TEST(second.placements.empty());
  LoadMessage peer;
  peer.sender = "other";
  peer.sequence = 1;
  peer.placements = {{7, StableHash32(ServerKey(this->records[0]))}};
  this->balancer.OnPeerLoad(peer, this->now);
  LoadMessage own;
  this->balancer.FillLoadMessage(own, this->now);
  BOOST_TEST(own.placements.empty());
  LoadMessage sum;
  sum.scope = LoadScope::kDomainToRelay;
  this->balancer.FillLoadMessage(sum, this->now);
  BOOST_TEST(sum.placements.size() == 1U);
}

// Rounds of a large fleet are far apart. Guards against placements that are
// forgotten before the next message is sent.
BOOST_FIXTURE_TEST_CASE(PlacementsLastUntilTheNextRounds, Fixture) {
  this->balancer.SetExchangeInterval(milliseconds(600));
  this->Send(this->MakeRequest(5));
  for (int round = 1; round <= 2; ++round) {
    this->now += milliseconds(600);
    LoadMessage message;
    this->balancer.FillLoadMessage(message, this->now);
    BOOST_TEST(message.placements.size() == 2U);
  }
}

// Heavy traffic replaces the cached blocks of an engine within seconds. Guards
// against sending a session to an engine that has evicted its blocks.
BOOST_FIXTURE_TEST_CASE(BlocksAreEvictedByTraffic, Fixture) {
  ServiceLimits limits;
  limits.cache_tokens = 100000;
  this->balancer.SetServices({{"engines", limits}});
  const RequestProfile profile = this->MakeRequest(5);
  const Choice first = this->Send(profile);
  this->balancer.OnDone(first, profile, AttemptOutcome::kAnswered, false,
                        milliseconds(500), this->now);
  BOOST_TEST(this->balancer.Choose(profile, this->now)->uncached_tokens < 2500);
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  message.service_demands = {{StableHash32("engines"), {{1, 20, 200000, 10}}}};
  this->now += seconds(10);
  this->balancer.OnPeerLoad(message, this->now);
  BOOST_TEST(this->balancer.Choose(profile, this->now)->uncached_tokens > 4000);
}

// The engines for short prompts are busy while the others are idle. Guards
// against a request that is refused although an engine could begin it in time.
BOOST_FIXTURE_TEST_CASE(OtherPartitionIsUsedBeforeARefusal, Fixture) {
  ServiceLimits limits;
  limits.event_tokens = 5;
  this->balancer.SetServices({{"engines", limits}});
  LoadMessage message;
  message.sender = "other";
  message.sequence = 1;
  for (int i = 0; i < 400; ++i) {
    RequestProfile request = this->MakeRequest(5, 600);
    request.route = "short";
    request.gap_target = milliseconds(150);
    const bool is_long = i % 2 == 0;
    if (is_long) {
      request = this->MakeRequest(static_cast<std::uint64_t>(i) + 10);
    }
    const Choice choice = this->Send(request);
    this->balancer.OnDone(choice, request, AttemptOutcome::kAnswered, false,
                          milliseconds(100), this->now);
    this->now += milliseconds(10);
  }
  RequestProfile profile = this->MakeRequest(5, 600);
  profile.route = "short";
  profile.gap_target = milliseconds(150);
  profile.max_first_byte_time = milliseconds(240);
  // The delay at the engines of the partition misses the target, but by less
  // than the penalty for another partition.
  for (const ServerRecord& record : this->records) {
    message.server_loads.push_back(
        {StableHash32(ServerKey(record)), 2, {0, 9000}});
  }
  const std::string idle =
      this->balancer.Choose(this->MakeRequest(99), this->now)->server_key;
  for (GatewayLoad& load : message.server_loads) {
    if (load.server_hash == StableHash32(idle)) {
      load.outstanding = 0;
      load.pending = {};
    }
  }
  this->balancer.OnPeerLoad(message, this->now);
  const Choice choice = *this->balancer.Choose(profile, this->now);
  BOOST_TEST(choice.server_key == idle);
  BOOST_TEST((choice.expected_first_byte <= profile.max_first_byte_time));
}

// Many gateways have the same load information, with one idle engine. Guards
// against all of them choosing it before the next load exchange.
BOOST_AUTO_TEST_CASE(GatewaysDoNotAllChooseTheIdleEngine) {
  BOOST_TEST(CountIdleEngineChoices(4, 4000, Duration::max()) < 12);
}

// The same while the other engines are so busy that requests would be refused.
// Guards against a search of all engines, which would lead every gateway to the
// same one.
BOOST_AUTO_TEST_CASE(BusyGatewaysDoNotAllChooseTheIdleEngine) {
  BOOST_TEST(CountIdleEngineChoices(8, 100000, milliseconds(600)) < 20);
}

// Guards against a long prompt that is reported to the other gateways only in
// the next round of the load exchange.
BOOST_FIXTURE_TEST_CASE(LongPromptIsReportedImmediately, Fixture) {
  int notifications = 0;
  this->balancer.SetHeavyLoadCallback([&] { ++notifications; });
  this->Send(this->MakeRequest(5, 200));
  BOOST_TEST(notifications == 0);
  this->Send(this->MakeRequest(6, 12000));
  BOOST_TEST(notifications == 1);
}

// An engine crashes and restarts. Guards against repeated connection attempts
// to it, and against avoiding it permanently.
BOOST_FIXTURE_TEST_CASE(UnreachableServerIsAvoidedTemporarily, Fixture) {
  const RequestProfile profile = this->MakeRequest(5);
  const Choice preferred = this->Send(profile);
  this->Fail(preferred, profile, AttemptOutcome::kConnectFailed);
  BOOST_TEST(this->balancer.Choose(profile, this->now)->server_key !=
             preferred.server_key);
  this->now += seconds(20);
  BOOST_TEST(this->balancer.Choose(profile, this->now)->server_key ==
             preferred.server_key);
}

// Every engine has been unreachable. Guards against refusing requests while a
// server might be available again.
BOOST_FIXTURE_TEST_CASE(AvoidedServersAreUsedWhenNoneIsLeft, Fixture) {
  this->SetServerCount(2);
  const RequestProfile profile = this->MakeRequest(5);
  for (int i = 0; i < 2; ++i) {
    this->Fail(this->Send(profile), profile, AttemptOutcome::kConnectFailed);
  }
  BOOST_TEST(this->balancer.Choose(profile, this->now).has_value());
}

// One engine is slower than the others. Guards against requests that queue at a
// straggler.
BOOST_FIXTURE_TEST_CASE(SlowServerGetsFewerRequests, Fixture) {
  RequestProfile profile;
  profile.service = "engines";
  int slow = 0;
  for (int i = 0; i < 400; ++i) {
    const Choice choice = this->Send(profile);
    const bool is_slow = choice.server_id == "s3";
    slow += is_slow ? 1 : 0;
    this->balancer.OnFirstByte(choice, milliseconds(is_slow ? 400 : 20),
                               this->now);
    this->balancer.OnDone(choice, profile, AttemptOutcome::kAnswered, true,
                          milliseconds(40), this->now);
    this->now += milliseconds(10);
  }
  BOOST_TEST(slow < 25);
}

// Guards against new requests at a server that is leaving.
BOOST_FIXTURE_TEST_CASE(LeavingServerGetsNoRequests, Fixture) {
  this->SetServerCount(2);
  this->records[0].leaving = true;
  this->balancer.SetServers(this->records);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(this->Send(this->MakeRequest(5)).server_id == "s2");
  }
  this->records[1].leaving = true;
  this->balancer.SetServers(this->records);
  BOOST_TEST(
      !this->balancer.Choose(this->MakeRequest(5), this->now).has_value());
}

// Servers are removed right after the engines were assigned. Guards against
// ranges of engines that no longer exist.
BOOST_FIXTURE_TEST_CASE(AssignmentFollowsRemovedServers, Fixture) {
  this->SetServerCount(90);
  for (std::uint64_t session = 2; session < 40; ++session) {
    this->Send(this->MakeRequest(session));
  }
  this->SetServerCount(36);
  for (std::uint64_t session = 2; session < 80; ++session) {
    const auto choice =
        this->balancer.Choose(this->MakeRequest(session), this->now);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(std::any_of(this->records.begin(), this->records.end(),
                           [&](const ServerRecord& record) {
                             return ServerKey(record) == choice->server_key;
                           }));
  }
}

// Guards against retrying a request at the server that failed it.
BOOST_FIXTURE_TEST_CASE(ExcludedServersAreNotChosen, Fixture) {
  this->SetServerCount(2);
  RequestProfile profile = this->MakeRequest(5);
  const Choice first = this->Send(profile);
  profile.excluded.push_back(first.server_key);
  BOOST_TEST(this->Send(profile).server_key != first.server_key);
}

// Guards against idle connections that are kept to removed servers, and against
// reporting load for them.
BOOST_FIXTURE_TEST_CASE(RemovedServersAreReturned, Fixture) {
  const Choice choice = this->Send(this->MakeRequest(5));
  this->records.erase(std::remove_if(this->records.begin(), this->records.end(),
                                     [&](const ServerRecord& record) {
                                       return ServerKey(record) ==
                                              choice.server_key;
                                     }),
                      this->records.end());
  const auto removed = this->balancer.SetServers(this->records);
  BOOST_REQUIRE(removed.size() == 1U);
  BOOST_TEST(removed.front() == choice.server_key);
  LoadMessage message;
  this->balancer.FillLoadMessage(message, this->now);
  BOOST_TEST(message.server_loads.empty());
}

}  // namespace sycamorebend::gateway
