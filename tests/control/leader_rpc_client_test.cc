#include "control/leader_rpc_client.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend {

namespace {

// Completes calls immediately with the result of `respond` for the address.
class FakeRpc : public RpcClient {
 public:
  void CallAsync(const std::string& address,
                 const std::string& /*method*/,
                 const Json::Value& /*params*/,
                 Duration /*timeout*/,
                 RpcCallback callback) override {
    this->called.push_back(address);
    callback(this->respond(address));
  }

  std::vector<std::string> called;
  std::function<Result<Json::Value>(const std::string&)> respond;
};

struct Fixture {
  // Runs a call with a deadline of one second.
  Result<Json::Value> Run() {
    std::optional<Result<Json::Value>> result;
    this->calls->Call("order.begin", Json::Value(),
                      this->clock.Now() + seconds(1),
                      [&](Result<Json::Value> done) { result = done; });
    for (int i = 0; i < 200 && !result; ++i) {
      this->clock.Advance(milliseconds(10));
      this->timers.RunDue();
    }
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  ManualClock clock;
  TimerQueue timers{clock};
  FakeRpc rpc;
  std::vector<std::string> replicas = {"10.0.0.1:1", "10.0.0.2:1",
                                       "10.0.0.3:1"};
  std::shared_ptr<LeaderRpcClient> calls =
      std::make_shared<LeaderRpcClient>([this] { return this->replicas; },
                                        rpc,
                                        timers,
                                        clock);
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(LeaderHintIsFollowedAndCached, Fixture) {
  rpc.respond = [](const std::string& address) -> Result<Json::Value> {
    if (address == "10.0.0.3:1") {
      return Json::Value(5);
    }
    return MakeError(ResultCode::kNotLeader, "the leader is 10.0.0.3:1.");
  };
  BOOST_TEST(Run().value().asInt() == 5);
  BOOST_TEST(Run().value().asInt() == 5);
  BOOST_TEST(rpc.called == (std::vector<std::string>{"10.0.0.1:1", "10.0.0.3:1",
                                                     "10.0.0.3:1"}),
             boost::test_tools::per_element());
}

// Guards against retrying only the address in a kNotLeader error when that
// replica is no longer running.
BOOST_FIXTURE_TEST_CASE(DeadReplicasAreSkipped, Fixture) {
  rpc.respond = [](const std::string& address) -> Result<Json::Value> {
    if (address == "10.0.0.2:1") {
      return Json::Value(5);
    }
    return MakeError(address == "10.0.0.1:1" ? ResultCode::kNotLeader
                                             : ResultCode::kConnectFailed,
                     "10.0.0.9:1");
  };
  BOOST_TEST(Run().value().asInt() == 5);
}

BOOST_FIXTURE_TEST_CASE(LeaderErrorIsNotRetried, Fixture) {
  rpc.respond = [](const std::string&) -> Result<Json::Value> {
    return MakeError(ResultCode::kOrderKeyReused);
  };
  BOOST_TEST((Run().error().code == ResultCode::kOrderKeyReused));
  BOOST_TEST(rpc.called.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(DeadlineEndsTheAttempts, Fixture) {
  rpc.respond = [](const std::string&) -> Result<Json::Value> {
    return MakeError(ResultCode::kNoQuorum);
  };
  const Result<Json::Value> result = Run();
  BOOST_TEST(MayHaveExecuted(result.error().code));
  BOOST_TEST(rpc.called.size() > 3U);
  replicas.clear();
  BOOST_TEST(!Run());
}

BOOST_AUTO_TEST_CASE(AddressesAreFoundInMessages) {
  BOOST_TEST(FindAddress("10.0.0.1:7000") == "10.0.0.1:7000");
  BOOST_TEST(FindAddress("replica 2 leads: 10.0.0.1:7000.") == "10.0.0.1:7000");
  BOOST_TEST(FindAddress("no leader 10.0.0.1") == "");
  BOOST_TEST(FindAddress("") == "");
}

// Guards against a refused call while the leader, whose disk is full, hands its
// leadership over.
BOOST_FIXTURE_TEST_CASE(LeaderWithAFullDiskIsNotFinal, Fixture) {
  int refused = 0;
  rpc.respond = [&](const std::string& address) -> Result<Json::Value> {
    if (address == "10.0.0.1:1") {
      ++refused;
      return MakeError(ResultCode::kStorageFull);
    }
    return refused < 2 ? Result<Json::Value>(
                             MakeError(ResultCode::kNotLeader, "10.0.0.1:1"))
                       : Result<Json::Value>(Json::Value(5));
  };
  BOOST_TEST((Run().value() == Json::Value(5)));
  BOOST_TEST(!MayHaveExecuted(ResultCode::kStorageFull));
}

}  // namespace sycamorebend
