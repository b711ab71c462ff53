#include "gateway/load_exchange.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

const std::uint32_t kServer = ServerCode("s@10.0.0.1:1#1");

LoadMessage Message(const std::string& sender,
                    std::uint64_t sequence,
                    int outstanding) {
  return {sender,
          sequence,
          LoadScope::kGateway,
          "a",
          {{kServer, outstanding, outstanding * 100}},
          {{kServer, {0.5, 1.5}}}};
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

// Guards against a codec that loses or invents load.
BOOST_AUTO_TEST_CASE(MessageSurvivesTheCodec) {
  const LoadMessage sent = Message("one", 7, 3);
  const auto read = DecodeLoadMessage(EncodeLoadMessage(sent));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().sender == "one");
  BOOST_TEST(read.value().sequence == 7U);
  BOOST_REQUIRE(read.value().shares.size() == 1U);
  BOOST_TEST(read.value().shares[0].server == kServer);
  BOOST_TEST(read.value().shares[0].outstanding == 3);
  BOOST_TEST(read.value().shares[0].pending_tokens == 300);
}

// Guards against datagrams of other programs that end the process.
BOOST_AUTO_TEST_CASE(ForeignBytesAreRefused) {
  std::mt19937 random(1);
  for (int i = 0; i < 2000; ++i) {
    std::string bytes(random() % 64, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    const auto read = DecodeLoadMessage(bytes);
    BOOST_TEST((!read || read.value().shares.size() < 64));
  }
  const std::string whole = EncodeLoadMessage(Message("one", 7, 3));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodeLoadMessage(whole.substr(0, size)));
  }
}

// Guards against load that is counted twice or taken from an older message.
BOOST_AUTO_TEST_CASE(NewestMessageOfEachGatewayCounts) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  peers.Take(Message("one", 5, 4), now);
  peers.Take(Message("one", 4, 9), now);
  peers.Take(Message("two", 1, 2), now);
  BOOST_TEST(peers.Total(kServer, now).outstanding == 6);
  BOOST_TEST(peers.Total(kServer, now).pending_tokens == 600);
  BOOST_TEST(peers.TotalNeed(kServer, now).long_prompts == 3);
  BOOST_TEST(peers.Total(kServer + 1, now).outstanding == 0);
}

// Guards against the load of a gateway that was killed.
BOOST_AUTO_TEST_CASE(SilentGatewayHasNothing) {
  PeerLoads peers;
  peers.Take(Message("one", 5, 4), TimePoint{seconds(10)});
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(13)}).outstanding == 0);
}

// Guards against load that stays for ever once all gateways were silent.
BOOST_AUTO_TEST_CASE(GatewayThatReturnedIsForgottenAgain) {
  PeerLoads peers;
  peers.Take(Message("one", 1, 4), TimePoint{seconds(10)});
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(13)}).outstanding == 0);
  peers.Take(Message("one", 2, 4), TimePoint{seconds(20)});
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(21)}).outstanding == 4);
  BOOST_TEST(peers.Total(kServer, TimePoint{seconds(23)}).outstanding == 0);
}

// Guards against a failure domain whose load is counted once for each relay.
BOOST_AUTO_TEST_CASE(TwoRelaysOfADomainCountOnce) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  peers.Take(Message("one", 1, 4), now);
  peers.Take(DomainMessage("relay 1", 20), now);
  peers.Take(DomainMessage("relay 2", 22), now);
  BOOST_TEST(peers.Total(kServer, now).outstanding == 26);
}

// Guards against the load of one domain that comes back to it through another.
BOOST_AUTO_TEST_CASE(SumOfADomainHasOnlyItsOwnGateways) {
  PeerLoads peers;
  const TimePoint now{seconds(10)};
  peers.Take(Message("one", 1, 4), now);
  peers.Take(DomainMessage("relay 1", 20), now);
  LoadMessage sum = Message("self", 1, 3);
  peers.AddGateways(sum, now);
  BOOST_REQUIRE(sum.shares.size() == 1U);
  BOOST_TEST(sum.shares[0].outstanding == 7);
  BOOST_REQUIRE(sum.needs.size() == 1U);
  BOOST_TEST(sum.needs[0].need.long_prompts == 3);
}

// Guards against bytes between failure domains that grow with the square of
// the gateways, and against a gateway that hears of a domain from nobody.
BOOST_AUTO_TEST_CASE(LargeFleetExchangesSumsBetweenDomains) {
  const std::vector<ExchangePeer> gateways = Gateways(3, 24);
  for (std::uint64_t round = 100; round < 124; ++round) {
    std::map<std::string, std::map<std::string, int>> heard;
    for (const ExchangePeer& gateway : gateways) {
      const ExchangePlan plan = PlanExchange(gateway, gateways);
      BOOST_TEST(plan.direct.size() == 23U);
      for (const std::string& relay : plan.Relays(round)) {
        ++heard[relay.substr(0, 1)][gateway.failure_domain];
      }
    }
    BOOST_TEST(heard.size() == 3U);
    for (const auto& [domain, sums] : heard) {
      BOOST_TEST(sums.size() == 2U, "domain " << domain);
      for (const auto& [from, count] : sums) {
        BOOST_TEST(count == 2, "sums from " << from);
      }
    }
  }
}

// Guards against one gateway of a domain whose link is full of the sums that
// it passes on to the others.
BOOST_AUTO_TEST_CASE(GatewaysTakeTurnsInPassingOn) {
  const std::vector<ExchangePeer> gateways = Gateways(3, 24);
  std::map<std::string, int> passed_on;
  constexpr std::uint64_t kRounds = 288;  // Whole turns of all gateways.
  for (const ExchangePeer& gateway : gateways) {
    const ExchangePlan plan = PlanExchange(gateway, gateways);
    for (std::uint64_t round = 0; round < kRounds; ++round) {
      for (const std::string& relay : plan.Relays(round)) {
        ++passed_on[relay];
      }
    }
  }
  // Two sums of two domains in each round, shared by 24 gateways.
  constexpr int kMean = 2 * 2 * static_cast<int>(kRounds) / 24;
  BOOST_TEST(passed_on.size() == gateways.size());
  for (const auto& [relay, count] : passed_on) {
    BOOST_TEST(count <= 2 * kMean, relay << " passed on " << count);
  }
}

// Guards against relays where each gateway can tell the others itself.
BOOST_AUTO_TEST_CASE(SmallFleetNeedsNoRelay) {
  const std::vector<ExchangePeer> gateways = Gateways(3, 3);
  const ExchangePlan plan = PlanExchange(gateways[0], gateways);
  BOOST_TEST(plan.direct.size() == 8U);
  BOOST_TEST(plan.Relays(0).empty());
}

}  // namespace sycamorebend::gateway
