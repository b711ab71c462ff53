#include "entry/shared_view.h"

#include <atomic>
#include <future>
#include <limits>

#include <boost/test/unit_test.hpp>

#include "../feed/local_rpc.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

const char kReplica[] = "127.0.0.1:7001";

}  // namespace

// Guards against an entry daemon that accepts requests with the configuration
// from before a partition, because the confirmation of the next one, which is
// still being parsed, is counted for it.
BOOST_AUTO_TEST_CASE(ConfirmationOfTheNextStateIsNotCounted) {
  ManualClock clock;
  LocalRpc rpc;
  SharedView view(seconds(10), false);
  std::atomic<int> polls = 0;
  // The first poll that gets version 2.
  std::atomic<int> second_version_from = std::numeric_limits<int>::max();
  rpc.Serve(kReplica, [&](const Json::Value& params) -> Result<Json::Value> {
    const std::uint64_t version = ++polls < second_version_from ? 1 : 2;
    if (params["have_version"].asUInt64() == version) {
      std::this_thread::sleep_for(milliseconds(5));
      return MakeError(ResultCode::kConnectFailed);
    }
    SharedState state;
    state.epoch = "x";
    state.version = version;
    Json::Value response;
    response["epoch"] = state.epoch;
    response["version"] = Json::UInt64(state.version);
    response["snapshot"] = SharedStateToJson(state);
    response["confirmed_age_ms"] = 0;
    response["path"] = Json::Value(Json::arrayValue);
    return response;
  });
  std::promise<void> first_applied;
  std::promise<bool> confirmed_before_update;
  FeedFollowerOptions options;
  options.self.entry_id = "e1";
  options.self.address = "127.0.0.1:8001";
  options.replicas = {kReplica};
  const auto follower = FeedFollower::Start(
      options, rpc, clock,
      [&](const std::shared_ptr<const SharedState>& state) {
        if (state->version == 2) {
          confirmed_before_update.set_value(view.CheckConfirmed().has_value());
        }
        view.Update(state);
        if (state->version == 1) {
          first_applied.set_value();
        }
      });
  view.SetFollower(follower.get());
  first_applied.get_future().wait();
  BOOST_TEST(view.CheckConfirmed().has_value());
  clock.Advance(seconds(60));
  BOOST_TEST(!view.CheckConfirmed().has_value());
  // The next poll may have been sent before the clock was advanced.
  second_version_from = polls + 2;
  BOOST_TEST(!confirmed_before_update.get_future().get(),
             "version 1 is used with the confirmation of version 2");
  follower->Stop();
  rpc.Join();
}

}  // namespace sycamorebend::entry
