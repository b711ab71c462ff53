#include "gateway/server_speed.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

constexpr std::uint32_t kFast = 1;
constexpr std::uint32_t kSlow = 2;
constexpr std::uint32_t kOther = 3;
const TimePoint kNow{seconds(100)};

}  // namespace

// Load: a few requests at each of many gateways, to servers of uneven speed.
// Guards against a gateway that knows only what it measured itself, and against
// a learned pace that cannot be below the usual one.
BOOST_AUTO_TEST_CASE(GatewaysLearnFromEachOther) {
  ServerSpeed receiver;
  for (int i = 0; i < 20; ++i) {
    ServerSpeed sender;
    sender.Record(kFast, 200, 100, kNow);
    sender.Record(kSlow, 200, 500, kNow);
    receiver.OnPeerNews(false, "g" + std::to_string(i),
                        sender.NewsDue(false, kNow), kNow);
  }
  BOOST_TEST(receiver.Pace(kFast, 1, kNow) < 0.6);
  BOOST_TEST(receiver.Pace(kSlow, 1, kNow) > 2.2);
  BOOST_TEST(receiver.Pace(kOther, 1, kNow) == 1);
  // Guards against measurements of gateways that have ended.
  BOOST_TEST(receiver.Pace(kSlow, 1, kNow + seconds(20)) == 1);
}

// Load: a server joins others. Guards against a new server that is taken to be
// faster than the rest and gets more work than it can do.
BOOST_AUTO_TEST_CASE(NewServerStartsFromTheMedian) {
  ServerSpeed speed;
  for (std::uint32_t server = 1; server <= 3; ++server) {
    speed.Record(server, 1000, 1000 * server, kNow);
  }
  const double usual = speed.MedianPace({1, 2, 3, 4}, kNow);
  BOOST_TEST(usual == 2);
  BOOST_TEST(speed.Pace(4, usual, kNow) == 2);
}

// Load: hosts that change within a second. Guards against a stated host time
// that counts after it has lost its meaning.
BOOST_AUTO_TEST_CASE(StatedHostTimeFades) {
  ServerSpeed speed;
  speed.RecordHostTime(kSlow, 250, kNow);
  ServerSpeed peer;
  peer.OnPeerNews(false, "g", speed.NewsDue(false, kNow + milliseconds(100)),
                  kNow + milliseconds(200));
  BOOST_TEST(speed.HostFactor(kSlow, kNow) > 2);
  BOOST_TEST(peer.HostFactor(kSlow, kNow + milliseconds(200)) > 1.5);
  BOOST_TEST(peer.HostFactor(kSlow, kNow + seconds(5)) < 1.01);
  BOOST_TEST(peer.HostFactor(kFast, kNow) == 1);
  // What others stated is not repeated as the gateway's own.
  BOOST_TEST(peer.NewsDue(false, kNow + milliseconds(200)).Empty());
}

// Load: gateways of one failure domain, whose sum another domain gets. Guards
// against measurements that the sum loses, and sums that are sent each round.
BOOST_AUTO_TEST_CASE(DomainSumHasAllMeasurements) {
  ServerSpeed speed;
  ServerSpeed peer;
  speed.Record(kSlow, 400, 800, kNow);
  peer.Record(kSlow, 400, 800, kNow);
  speed.OnPeerNews(false, "g", peer.NewsDue(false, kNow), kNow);
  const SpeedNews sum = speed.NewsDue(true, kNow);
  BOOST_REQUIRE(sum.sums.size() == 1U);
  BOOST_TEST(sum.sums[0].nominal_ms == 800);
  BOOST_TEST(sum.sums[0].measured_ms == 1600);
  BOOST_TEST(speed.NewsDue(true, kNow + milliseconds(100)).Empty());
}

}  // namespace sycamorebend::gateway
