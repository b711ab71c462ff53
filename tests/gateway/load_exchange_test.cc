#include "gateway/load_exchange.h"

#include <random>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

const std::uint32_t kServer = ServerCode("s@10.0.0.1:1#1");

LoadMessage Message(const std::string& sender,
                    std::uint64_t sequence,
                    int outstanding) {
  return {sender,
          sequence,
          {{kServer, outstanding, outstanding * 100}},
          {{kServer, {0.5, 1.5}}}};
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

}  // namespace sycamorebend::gateway
