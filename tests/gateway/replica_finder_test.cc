#include "gateway/replica_finder.h"

#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

constexpr Duration kUnconfirmed = seconds(2);
// Just before the response to the second of two polls that wait for 500 ms.
constexpr Duration kConfirmed = milliseconds(1100);

SharedState MakeState(std::uint64_t version) {
  SharedState state;
  state.epoch = "x";
  state.version = version;
  state.replicas = {"10.0.0.4:7200", "10.0.0.5:7200"};
  return state;
}

std::vector<std::string> Gateways(std::size_t count) {
  std::vector<std::string> ips;
  ips.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    ips.push_back("10.1.0." + std::to_string(i));
  }
  return ips;
}

}  // namespace

// Guards against queries of gateways that are confirmed, and against a gateway
// that asks the same few others, which may be gone as well: 80 gateways, of
// which one has contact.
BOOST_AUTO_TEST_CASE(UnconfirmedGatewayAsksAllOthersInTurn) {
  constexpr std::size_t kGateways = 79;
  ReplicaFinder finder(/*seed=*/7);
  finder.SetGateways(Gateways(kGateways));
  TimePoint now{};
  BOOST_TEST(finder.GatewaysToAsk(kConfirmed, now).empty());
  std::set<std::string> asked;
  std::size_t queries = 0;
  while (asked.size() < kGateways && queries < 2 * kGateways) {
    now += ReplicaFinder::kAskInterval;
    for (const std::string& ip : finder.GatewaysToAsk(kUnconfirmed, now)) {
      asked.insert(ip);
      ++queries;
    }
  }
  BOOST_TEST(asked.size() == kGateways);
  BOOST_TEST(queries < kGateways + 3);
  // A change of the state without others, as after the loss of all entries,
  // does not take those away that were known.
  finder.SetGateways({});
  BOOST_TEST(!finder.GatewaysToAsk(kUnconfirmed, now + seconds(10)).empty());
}

// Guards against queries that go on at the same rate while there is no leader,
// when all gateways of a fleet ask.
BOOST_AUTO_TEST_CASE(QueriesWithoutAnAnswerBecomeRare) {
  ReplicaFinder finder(/*seed=*/0);
  finder.SetGateways(Gateways(300));
  TimePoint now{};
  const auto queries_in = [&](Duration time) {
    std::size_t queries = 0;
    for (const TimePoint end = now + time; now < end;
         now += ReplicaFinder::kAskInterval) {
      queries += finder.GatewaysToAsk(kUnconfirmed, now).size();
    }
    return queries;
  };
  BOOST_TEST(queries_in(seconds(4)) == 4 * 4 * 3);
  queries_in(seconds(2));
  BOOST_TEST(queries_in(seconds(10)) <= 10 * 3);
}

// Guards against answers that send a gateway to replicas of another deployment
// or of an older state.
BOOST_AUTO_TEST_CASE(OnlyABetterInformedGatewayAnswers) {
  ReplicaFinder finder(/*seed=*/0);
  const SharedState state = MakeState(8);
  const TimePoint now{};
  const auto answer = finder.Answer({"x", 3}, &state, kConfirmed, now);
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->version == 8);
  BOOST_TEST(answer->replicas == state.replicas);
  BOOST_TEST(!finder.Answer({"y", 3}, &state, kConfirmed, now));
  BOOST_TEST(!finder.Answer({"x", 8}, &state, kConfirmed, now));
  BOOST_TEST(!finder.Answer({"x", 9}, &state, kConfirmed, now));
  BOOST_TEST(!finder.Answer({"x", 3}, &state, kUnconfirmed, now));
  BOOST_TEST(!finder.Answer({"x", 3}, &state, Duration::max(), now));
  BOOST_TEST(!finder.Answer({"x", 3}, nullptr, kConfirmed, now));
}

// Guards against a gateway that datagrams with a forged sender make flood
// another machine.
BOOST_AUTO_TEST_CASE(AnswersAreBounded) {
  ReplicaFinder finder(/*seed=*/0);
  const SharedState state = MakeState(8);
  int answers = 0;
  for (int i = 0; i < 2000; ++i) {
    const TimePoint now = TimePoint{} + milliseconds(i);
    answers += finder.Answer({"x", 3}, &state, kConfirmed, now) ? 1 : 0;
  }
  BOOST_TEST(answers == 100);
}

// Guards against datagrams that are cut, altered or of another kind and name
// something to poll, or end the process.
BOOST_AUTO_TEST_CASE(MalformedReplicaDatagramsAreRefused) {
  const ReplicaNotice notice{"x", 8, {"10.0.0.4:7200"}, "e1"};
  const std::string data = internal::EncodeReplicaDatagram(notice);
  const auto decoded = internal::DecodeReplicaDatagram(data);
  BOOST_REQUIRE(decoded);
  const auto& read = std::get<ReplicaNotice>(decoded.value());
  BOOST_TEST(read.epoch == "x");
  BOOST_TEST(read.version == 8);
  BOOST_TEST(read.replicas == notice.replicas);
  BOOST_TEST(read.entry_id == "e1");
  for (std::size_t size = 0; size < data.size(); ++size) {
    BOOST_TEST(!internal::DecodeReplicaDatagram(data.substr(0, size)));
  }
  BOOST_TEST(!internal::DecodeReplicaDatagram("x" + data));
  for (const std::vector<std::string>& replicas :
       {std::vector<std::string>{}, std::vector<std::string>{"name:7200"},
        std::vector<std::string>(17, "10.0.0.4:7200")}) {
    BOOST_TEST(!internal::DecodeReplicaDatagram(
        internal::EncodeReplicaDatagram(ReplicaNotice{"x", 8, replicas, {}})));
  }
}

}  // namespace sycamorebend::gateway
