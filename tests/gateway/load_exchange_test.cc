#include "gateway/load_exchange.h"

#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include "../case_count.h"
#include "gateway/balancer.h"

namespace sycamorebend::gateway {

namespace {

constexpr std::uint32_t kRoute = 7;
const std::uint32_t kServer = StableHash32("s@10.0.0.1:1#1");

LoadMessage Message(const std::string& sender,
                    std::uint64_t sequence,
                    int outstanding) {
  return {
      sender,
      sequence,
      LoadScope::kGateway,
      "a",
      {{kServer, outstanding, {2, PendingTokens::Count{outstanding} * 100}}},
      {{kServer, {{kRoute, 0.5, 1.5, 2}}}},
      {{17, kServer}},
      {},
      {}};
}

LoadMessage DomainMessage(const std::string& sender, int outstanding) {
  LoadMessage message = Message(sender, 1, outstanding);
  message.scope = LoadScope::kDomain;
  message.failure_domain = "b";
  return message;
}

// @return gateways "a0", "a1" ... in failure domain "a", and so on.
std::vector<ExchangePeer> Gateways(int domains, int in_each) {
  std::vector<ExchangePeer> gateways;
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < in_each; ++i) {
      const std::string name(1, static_cast<char>('a' + domain));
      gateways.push_back({name + std::to_string(i), name});
    }
  }
  return gateways;
}

}  // namespace

// Guards against fields that the codec loses or changes.
BOOST_AUTO_TEST_CASE(MessageRoundTripsThroughCodec) {
  const LoadMessage sent = Message("one", 7, 3);
  const auto read = DecodeLoadMessage(EncodeLoadMessage(sent));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().sender == "one");
  BOOST_TEST(read.value().sequence == 7U);
  BOOST_REQUIRE(read.value().server_loads.size() == 1U);
  BOOST_TEST(read.value().server_loads[0].server_hash == kServer);
  BOOST_TEST(read.value().server_loads[0].outstanding == 3);
  BOOST_TEST(read.value().server_loads[0].pending.At(2) == 300);
  BOOST_REQUIRE(read.value().service_demands.size() == 1U);
  BOOST_REQUIRE(read.value().service_demands[0].routes.size() == 1U);
  BOOST_TEST(read.value().service_demands[0].routes[0].requests_per_s == 0.5);
  BOOST_TEST(read.value().service_demands[0].routes[0].outstanding == 2);
  BOOST_REQUIRE(read.value().placements.size() == 1U);
  BOOST_TEST(read.value().placements[0].block == 17U);
  BOOST_TEST(read.value().placements[0].server_hash == kServer);
  BOOST_TEST(read.value().server_loads[0].pending.Total() == 300);
}

// Guards against findings about crashes that are lost on their way, and against
// quarantines without an end.
BOOST_AUTO_TEST_CASE(CrashNewsRoundTripThroughCodec) {
  LoadMessage sent = Message("one", 7, 3);
  sent.crash_news.candidates = {{kServer, {11, {12, 13}}},
                                {kServer, {17, {}}, true}};
  sent.crash_news.cleared = {14};
  sent.crash_news.causes.resize(1);
  sent.crash_news.causes[0].cause.parts = {15, 16};
  sent.crash_news.causes[0].cause.findings = 2;
  sent.crash_news.causes[0].time_left = std::chrono::hours(100);
  const auto read = DecodeLoadMessage(EncodeLoadMessage(sent));
  BOOST_REQUIRE(read);
  const CrashNews& news = read.value().crash_news;
  BOOST_REQUIRE(news.candidates.size() == 2U);
  BOOST_TEST(news.candidates[0].server == kServer);
  BOOST_TEST(news.candidates[0].content.request == 11U);
  BOOST_TEST(
      news.candidates[0].content.parts == std::vector<std::uint64_t>({12, 13}),
      boost::test_tools::per_element());
  BOOST_TEST(!news.candidates[0].begun);
  BOOST_TEST(news.candidates[1].begun);
  BOOST_TEST(news.cleared == std::vector<std::uint64_t>{14},
             boost::test_tools::per_element());
  BOOST_REQUIRE(news.causes.size() == 1U);
  BOOST_TEST(news.causes[0].cause.parts == std::vector<std::uint64_t>({15, 16}),
             boost::test_tools::per_element());
  BOOST_TEST(news.causes[0].cause.findings == 2);
  BOOST_TEST((news.causes[0].time_left <= std::chrono::hours(6)));
}

// Guards against gateways of different releases that reject each other's
// messages during an upgrade.
BOOST_AUTO_TEST_CASE(MessageWithoutCrashNewsIsRead) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer,
                std::make_tuple(std::string("old"), 3, std::vector<int>(),
                                std::vector<int>(), 0, std::string("a"),
                                std::vector<int>()));
  const auto read = DecodeLoadMessage({buffer.data(), buffer.size()});
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().sender == "old");
  BOOST_TEST(read.value().crash_news.Empty());
}

// Guards against gateways of different releases that reject each other's
// findings, and against one of an earlier release that takes requests whose
// responses had begun for others.
BOOST_AUTO_TEST_CASE(CrashNewsOfOtherReleasesAreRead) {
  const std::vector<std::uint64_t> none;
  const std::vector<
      std::tuple<std::uint32_t, std::uint64_t, std::vector<std::uint64_t>>>
      candidates = {{kServer, 11, {12}}};
  const auto read_with = [](const auto& news) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer,
                  std::make_tuple(std::string("other"), 3, std::vector<int>(),
                                  std::vector<int>(), 0, std::string("a"),
                                  std::vector<int>(), news));
    const auto read = DecodeLoadMessage({buffer.data(), buffer.size()});
    BOOST_REQUIRE(read);
    return read.value().crash_news.candidates;
  };
  const auto earlier = read_with(std::make_tuple(candidates, none));
  BOOST_REQUIRE(earlier.size() == 1U);
  BOOST_TEST(!earlier[0].begun);
  const std::vector<std::tuple<std::uint32_t, std::uint64_t>> begun = {
      {kServer, 13}};
  const auto later = read_with(std::make_tuple(
      candidates, none, std::vector<int>(), begun, std::string("more")));
  BOOST_REQUIRE(later.size() == 2U);
  BOOST_TEST(later[1].begun);
  BOOST_TEST(later[1].content.request == 13U);

  LoadMessage sent = Message("one", 7, 3);
  sent.crash_news.candidates = {{kServer, {17, {}}, true}};
  const std::string encoded = EncodeLoadMessage(sent);
  const auto object = msgpack::unpack(encoded.data(), encoded.size());
  const msgpack::object& news = object.get().via.array.ptr[7];
  BOOST_TEST(news.via.array.ptr[0].via.array.size == 0U);
}

// Guards against a crash of the process by datagrams of other programs.
BOOST_AUTO_TEST_CASE(InvalidDatagramsAreRejected) {
  std::mt19937 random(1);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes(random() % 64, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    const auto read = DecodeLoadMessage(bytes);
    BOOST_TEST((!read || read.value().server_loads.size() < 64));
  }
  const std::string encoded = EncodeLoadMessage(Message("one", 7, 3));
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    BOOST_TEST(!DecodeLoadMessage(encoded.substr(0, size)));
  }
}

// Guards against datagrams that exhaust the stack or the memory: deep nesting,
// and sizes far beyond the data.
BOOST_AUTO_TEST_CASE(NestedAndOversizedDatagramsAreRejected) {
  const std::string prefix("\x98\xa3one\x07", 6);
  for (const std::string& odd :
       {std::string(60000, '\x91'), std::string("\xdd\xff\xff\xff\xff", 5),
        std::string("\xdf\xff\xff\xff\xff", 5),
        std::string("\xdb\xff\xff\xff\xff", 5),
        std::string("\xc9\xff\xff\xff\xff\x01", 6)}) {
    BOOST_TEST(!DecodeLoadMessage(odd));
    BOOST_TEST(!DecodeLoadMessage(prefix + odd));
  }
}

// Guards against sums that overflow because of one message.
BOOST_AUTO_TEST_CASE(HugeLoadsOfAMessageAreBounded) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  for (const char* sender : {"one", "two", "three"}) {
    LoadMessage sent = Message(sender, 1, std::numeric_limits<int>::max());
    sent.server_loads[0].pending =
        PendingTokens(2, std::numeric_limits<int>::max());
    const auto read = DecodeLoadMessage(EncodeLoadMessage(sent));
    BOOST_REQUIRE(read);
    peers.Update(read.value(), now);
  }
  BOOST_TEST(peers.Total(kServer, now).outstanding > 0);
  BOOST_TEST(peers.Total(kServer, now).pending.Total() > 0);
}

// Guards against requests and demand of one message that wrap around in a sum
// or hide those of all other gateways, also after the message has expired.
BOOST_AUTO_TEST_CASE(HugeLoadDoesNotHideOthers) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  peers.Update(Message("sound", 1, 3), now);
  for (const char* sender : {"one", "two"}) {
    LoadMessage sent = Message(sender, 1, std::numeric_limits<int>::max());
    sent.service_demands[0].routes[0].tokens_per_s = 1.8e19;
    const auto read = DecodeLoadMessage(EncodeLoadMessage(sent));
    BOOST_REQUIRE(read);
    peers.Update(read.value(), now);
  }
  BOOST_TEST(peers.Total(kServer, now).outstanding > 0);
  for (const char* sender : {"one", "two"}) {
    LoadMessage sent = Message(sender, 2, 0);
    sent.service_demands.clear();
    peers.Update(sent, now);
  }
  BOOST_TEST(peers.Total(kServer, now).outstanding == 3);
  const auto demand = peers.TotalDemand(kServer, now);
  BOOST_REQUIRE(demand.size() == 1U);
  BOOST_TEST(std::abs(demand[0].tokens_per_s - 1.5) < 1e-3);
}

// Messages of which bytes are changed, inserted or missing, many of which are
// still read, at a balancer. Guards against values that end the process or are
// taken without a bound.
BOOST_AUTO_TEST_CASE(ChangedMessagesAreReadOrRejected) {
  const int cases = MalformedCaseCount();
  ServerRecord server;
  server.server_id = "s";
  server.address = "10.0.0.1:1";
  server.incarnation = 1;
  server.service = "app";
  Balancer balancer({"a", 1});
  balancer.SetServers({server});
  GenerationRequest generation;
  generation.input_tokens = 1000;
  generation.prompt = {{17, 500}, {18, 500}};
  RequestProfile profile;
  profile.service = "app";
  profile.generation = &generation;
  std::mt19937 random(1);
  const std::vector<std::string> values = {
      std::string("\xce\xff\xff\xff\xff", 5),
      std::string("\xcf\xff\xff\xff\xff\xff\xff\xff\xff", 9),
      std::string("\xd3\x80\x00\x00\x00\x00\x00\x00\x00", 9),
      std::string("\xd2\x7f\xff\xff\xff", 5),
      std::string("\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00", 9),
      std::string("\xff"),
      std::string("\xc0"),
      std::string("\x90"),
      std::string("\xa0"),
      std::string("\xdd\xff\xff\xff\xff", 5)};
  int read_count = 0;
  TimePoint now{seconds(10)};
  for (int i = 0; i < cases; ++i) {
    LoadMessage message = Message("one", static_cast<std::uint64_t>(i) + 1, 3);
    message.scope = static_cast<LoadScope>(random() % 3);
    SharedCrashCause cause;
    cause.cause.parts = {6, 7};
    cause.time_left = seconds(60);
    message.crash_news.causes.push_back(cause);
    message.forward_to = {"10.0.0.1", "x"};
    std::string bytes = EncodeLoadMessage(message);
    for (std::size_t changes = 1 + random() % 2; changes > 0; --changes) {
      const std::size_t at = random() % bytes.size();
      const std::string& value = values[random() % values.size()];
      switch (random() % 4) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes.erase(at, 1 + random() % 3);
          break;
        case 2:
          bytes.replace(at, 1, value);
          break;
        default:
          bytes.insert(at, value);
      }
    }
    const auto read = DecodeLoadMessage(bytes);
    now += milliseconds(20);
    if (!read) {
      continue;
    }
    ++read_count;
    balancer.OnPeerLoad(read.value(), now);
    const auto choice = balancer.Choose(profile, now);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->running >= 0, "case " << i);
    BOOST_TEST(choice->pending_tokens >= 0, "case " << i);
    BOOST_TEST(choice->uncached_tokens <= 1000, "case " << i);
    BOOST_TEST((choice->expected_first_byte >= Duration{0}), "case " << i);
    LoadMessage sum;
    sum.scope = LoadScope::kDomainToRelay;
    balancer.FillLoadMessage(sum, now);
    BOOST_TEST(DecodeLoadMessage(EncodeLoadMessage(sum)).has_value());
  }
  BOOST_TEST(read_count > cases / 10);
}

// Guards against load that is counted twice or overwritten by an older message.
BOOST_AUTO_TEST_CASE(NewestMessageOfEachGatewayCounts) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  peers.Update(Message("one", 5, 4), now);
  peers.Update(Message("one", 4, 9), now);
  peers.Update(Message("two", 1, 2), now);
  BOOST_TEST(peers.Total(kServer, now).outstanding == 6);
  BOOST_TEST(peers.Total(kServer, now).pending.Total() == 600);
  const auto demand = peers.TotalDemand(kServer, now);
  BOOST_REQUIRE(demand.size() == 1U);
  BOOST_TEST(demand[0].tokens_per_s == 3);
  BOOST_TEST(peers.Total(kServer + 1, now).outstanding == 0);
}

// Guards against load that is kept for a gateway that was killed.
BOOST_AUTO_TEST_CASE(SilentGatewayLoadExpires) {
  PeerLoads peers;
  peers.Update(Message("one", 5, 4), TimePoint{seconds(10)});
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(13)}).outstanding == 0);
}

// Guards against load that never expires after all gateways have been silent
// once.
BOOST_AUTO_TEST_CASE(ReturnedGatewayLoadExpiresAgain) {
  PeerLoads peers;
  peers.Update(Message("one", 1, 4), TimePoint{seconds(10)});
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(13)}).outstanding == 0);
  peers.Update(Message("one", 2, 4), TimePoint{seconds(20)});
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(21)}).outstanding == 4);
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(23)}).outstanding == 0);
}

// Guards against counting the load of a failure domain once per relay.
BOOST_AUTO_TEST_CASE(TwoRelaysOfADomainCountOnce) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  peers.Update(Message("one", 1, 4), now);
  peers.Update(DomainMessage("relay 1", 20), now);
  peers.Update(DomainMessage("relay 2", 22), now);
  BOOST_TEST(peers.Total(kServer, now).outstanding == 26);
}

// Guards against a domain sum that includes loads of other domains, which would
// return to them.
BOOST_AUTO_TEST_CASE(DomainSumContainsOnlyOwnGateways) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  peers.Update(Message("one", 1, 4), now);
  peers.Update(DomainMessage("relay 1", 20), now);
  LoadMessage sum = Message("self", 1, 3);
  peers.AddGatewayLoads(sum, now);
  BOOST_REQUIRE(sum.server_loads.size() == 1U);
  BOOST_TEST(sum.server_loads[0].outstanding == 7);
  BOOST_REQUIRE(sum.service_demands.size() == 1U);
  BOOST_REQUIRE(sum.service_demands[0].routes.size() == 1U);
  BOOST_TEST(sum.service_demands[0].routes[0].tokens_per_s == 3);
}

// Guards against traffic between failure domains that grows quadratically with
// the number of gateways, and against a domain that receives no sum of another
// one.
BOOST_AUTO_TEST_CASE(LargeFleetExchangesSumsBetweenDomains) {
  const std::vector<ExchangePeer> gateways = Gateways(3, 24);
  for (std::uint64_t round = 100; round < 124; ++round) {
    std::map<std::string, std::map<std::string, int>> sums_received;
    for (const ExchangePeer& gateway : gateways) {
      const ExchangePlan plan = PlanExchange(gateway, gateways);
      BOOST_TEST(plan.direct.size() == 23U);
      for (const std::string& relay : plan.RelaysForRound(round)) {
        ++sums_received[relay.substr(0, 1)][gateway.failure_domain];
      }
    }
    BOOST_TEST(sums_received.size() == 3U);
    for (const auto& [domain, sums] : sums_received) {
      BOOST_TEST(sums.size() == 2U, "domain " << domain);
      for (const auto& [from, count] : sums) {
        BOOST_TEST(count == 2, "sums from " << from);
      }
    }
  }
}

// Guards against relaying all sums through one gateway of a domain, which would
// saturate its link.
BOOST_AUTO_TEST_CASE(GatewaysTakeTurnsAsRelays) {
  const std::vector<ExchangePeer> gateways = Gateways(3, 24);
  std::map<std::string, int> relayed;
  constexpr std::uint64_t kRounds = 288;  // A multiple of all relay periods.
  for (const ExchangePeer& gateway : gateways) {
    const ExchangePlan plan = PlanExchange(gateway, gateways);
    for (std::uint64_t round = 0; round < kRounds; ++round) {
      for (const std::string& relay : plan.RelaysForRound(round)) {
        ++relayed[relay];
      }
    }
  }
  // Each round relays two sums of each of two other domains, distributed over
  // 24 gateways.
  constexpr int kMean = 2 * 2 * static_cast<int>(kRounds) / 24;
  BOOST_TEST(relayed.size() == gateways.size());
  for (const auto& [relay, count] : relayed) {
    BOOST_TEST(count <= 2 * kMean, relay << " relayed " << count);
  }
}

// Guards against a gateway that relays the sums of all other domains in one
// round. Gateways that were started together count the same rounds, so that the
// same turn comes to all domains at once.
BOOST_AUTO_TEST_CASE(SumsOfOneRoundGoToDifferentRelays) {
  const std::vector<ExchangePeer> gateways = Gateways(5, 59);
  std::vector<ExchangePlan> plans;
  plans.reserve(gateways.size());
  for (const ExchangePeer& gateway : gateways) {
    plans.push_back(PlanExchange(gateway, gateways));
  }
  for (std::uint64_t round = 0; round < 59; ++round) {
    std::map<std::string, int> relayed;
    for (const ExchangePlan& plan : plans) {
      for (const std::string& relay : plan.RelaysForRound(round)) {
        ++relayed[relay];
      }
    }
    for (const auto& [relay, count] : relayed) {
      BOOST_TEST(count == 1, relay << " in round " << round);
    }
  }
}

// Guards against relaying a sum to all gateways of a domain from one: on the
// link of a small VM, 60 datagrams of some kilobytes hold up requests for a
// fifth of a second and more.
BOOST_AUTO_TEST_CASE(RelayedSumsTakeFewDatagramsOfAGateway) {
  for (const int count : {1, 2, 24, 59, 94}) {
    std::vector<std::string> ips;
    ips.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      ips.push_back(std::to_string(i));
    }
    const double most = std::ceil(std::sqrt(count));
    std::set<std::string> forwarding;
    for (std::uint64_t turn = 0; turn < static_cast<std::uint64_t>(count);
         ++turn) {
      std::set<std::string> reached;
      const std::vector<RelayBranch> branches = SplitRecipients(ips, turn);
      BOOST_TEST(static_cast<double>(branches.size()) <= most);
      for (const RelayBranch& branch : branches) {
        BOOST_TEST(reached.insert(branch.ip).second);
        forwarding.insert(branch.ip);
        BOOST_TEST(static_cast<double>(branch.forward_to.size()) <= most);
        for (const std::string& ip : branch.forward_to) {
          BOOST_TEST(reached.insert(ip).second);
        }
      }
      BOOST_TEST(reached.size() == ips.size());
    }
    // All gateways take turns in forwarding.
    BOOST_TEST(forwarding.size() == ips.size());
  }
  BOOST_TEST(SplitRecipients({}, 3).empty());
}

// Guards against a corrupt or foreign message that makes a gateway send very
// many datagrams, and against losing the gateways to forward to.
BOOST_AUTO_TEST_CASE(ForwardsOfAMessageAreBounded) {
  LoadMessage message;
  message.scope = LoadScope::kDomain;
  message.forward_to = {"127.0.0.2", "127.0.0.3"};
  BOOST_TEST(DecodeLoadMessage(EncodeLoadMessage(message)).value().forward_to ==
                 message.forward_to,
             boost::test_tools::per_element());
  message.forward_to.assign(1000, "127.0.0.2");
  BOOST_TEST(
      DecodeLoadMessage(EncodeLoadMessage(message)).value().forward_to.size() <=
      64U);
}

// Guards against relays in a fleet that is small enough for direct messages.
BOOST_AUTO_TEST_CASE(SmallFleetNeedsNoRelay) {
  const std::vector<ExchangePeer> gateways = Gateways(3, 3);
  const ExchangePlan plan = PlanExchange(gateways[0], gateways);
  BOOST_TEST(plan.direct.size() == 8U);
  BOOST_TEST(plan.RelaysForRound(0).empty());
}

// 300 gateways in five failure domains. Guards against an exchange whose
// messages take a small VM's processor: rounds and sums of the other domains
// may bring at most 300 datagrams a second to each gateway.
BOOST_AUTO_TEST_CASE(LargeFleetReceivesBoundedMessages) {
  constexpr double kMaxMessagesPerSecond = 300;
  for (const auto& [domains, in_each] :
       {std::pair(5, 60), std::pair(4, 95), std::pair(3, 24)}) {
    const std::vector<ExchangePeer> gateways = Gateways(domains, in_each);
    const ExchangePlan plan = PlanExchange(gateways.front(), gateways);
    const double rounds_per_s =
        1 / std::chrono::duration<double>(RoundInterval(plan.direct.size()))
                .count();
    double sums_per_round = 0;
    for (const ExchangePeer& gateway : gateways) {
      if (gateway.failure_domain == gateways.front().failure_domain) {
        continue;
      }
      const ExchangePlan other = PlanExchange(gateway, gateways);
      // Each sum that reaches this domain is relayed to all its gateways.
      sums_per_round += 1.0 / static_cast<double>(other.period);
    }
    BOOST_TEST((static_cast<double>(plan.direct.size()) + sums_per_round) *
                   rounds_per_s <=
               kMaxMessagesPerSecond);
  }
}

// Guards against peers that are never told of long prompts at once, and against
// a message to each of 59 peers for each of them.
BOOST_AUTO_TEST_CASE(EarlyPeersTakeTurns) {
  std::vector<std::string> peers;
  peers.reserve(59);
  for (int i = 0; i < 59; ++i) {
    peers.push_back(std::to_string(i));
  }
  std::set<std::string> told;
  for (std::uint64_t turn = 0; turn < 10; ++turn) {
    const std::vector<std::string> selected = EarlyPeers(peers, turn);
    BOOST_TEST(selected.size() <= 16U);
    told.insert(selected.begin(), selected.end());
  }
  BOOST_TEST(told.size() == peers.size());
  peers.resize(20);
  BOOST_TEST(EarlyPeers(peers, 3).size() == 20U);
}

}  // namespace sycamorebend::gateway
