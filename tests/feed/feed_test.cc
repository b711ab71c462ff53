#define BOOST_TEST_MODULE feed
#include <boost/test/unit_test.hpp>

#include <json/writer.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <set>

#include "../case_count.h"
#include "../control/memory_log.h"
#include "feed/feed_buffer.h"
#include "feed/source_list.h"
#include "local_rpc.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

// Well above the time of any step, so that only a failed condition reaches it.
constexpr Duration kTestTimeout = seconds(20);

// Time from the acknowledgement of a change until it must be in force
// everywhere: config_apply_ms of the small deployments.
constexpr Duration kConfigurationApplyTime = seconds(2);

// Waits until `condition` holds.
bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

// Control replica with a log in memory: control state, log and feed source.
struct Replica {
  Replica(LocalRpc& rpc,
          const Clock& clock,
          const std::string& address,
          FeedSourceOptions options = {})
      : rpc(rpc),
        source(FeedSource::Create(options, rpc, clock)),
        state(ControlState::Create(
            [this](std::shared_ptr<const SharedState> shared) {
              this->source->Publish(std::move(shared));
            })),
        control_thread(clock),
        log(*state, control_thread, clock) {
    this->source->SetLog(this->log);
    rpc.Serve(address, [this](const Json::Value& params) {
      return this->source->ServePoll(params);
    });
  }
  // Waits for the polls that this object is serving.
  ~Replica() {
    this->source->Stop();
    this->rpc.Join();
  }

  void Init(const std::string& epoch = "x") {
    this->log.Commit(R"({"type":"cluster.init","epoch":")" + epoch + "\"}");
  }
  void Drain(const std::string& server) {
    this->log.Commit(R"({"type":"server.drain","change_id":"d-)" + server +
                     R"(","server_id":")" + server + "\"}");
  }
  // @return parameters of a poll that does not wait.
  static Json::Value PollParams(const std::string& entry_id,
                                std::uint64_t have_version) {
    Json::Value params;
    params["entry_id"] = entry_id;
    params["address"] = "127.0.0.1:8001";
    params["incarnation"] = "1";
    params["wait_ms"] = 0;
    params["have_epoch"] = have_version == 0 ? "" : "x";
    params["have_version"] = Json::UInt64(have_version);
    return params;
  }
  Json::Value Poll(const std::string& entry_id, std::uint64_t have_version) {
    return this->source->ServePoll(PollParams(entry_id, have_version)).value();
  }
  std::size_t Entries() const { return this->state->Shared()->entries.size(); }

  LocalRpc& rpc;
  std::unique_ptr<FeedSource> source;
  std::unique_ptr<ControlState> state;
  ControlThread control_thread;
  MemoryLog log;
};

const char kReplica1[] = "127.0.0.1:7001";
const char kReplica2[] = "127.0.0.1:7002";

struct Fixture {
  ~Fixture() { this->rpc.Join(); }

  std::shared_ptr<FeedFollower> Follow(const std::string& id,
                                       std::vector<std::string> replicas,
                                       std::vector<std::string> relays = {},
                                       bool serves_feed = true) {
    FeedFollowerOptions options;
    options.self.entry_id = id;
    options.self.address = "127.0.0.1:" + std::to_string(this->next_port++);
    options.self.failure_domain = "a";
    options.self.incarnation = "1";
    options.replicas = std::move(replicas);
    options.relays = std::move(relays);
    const std::string address = options.self.address;
    if (serves_feed) {
      options.self.feed_address = address;
    }
    std::shared_ptr<FeedFollower> follower = FeedFollower::Start(
        std::move(options), this->rpc, this->clock,
        [this](const std::shared_ptr<const SharedState>& state) {
          std::lock_guard lock(this->mutex);
          this->updates.push_back(state->version);
        });
    if (serves_feed) {
      this->rpc.Serve(address, [follower](const Json::Value& params) {
        return follower->ServePoll(params);
      });
    }
    return follower;
  }

  static std::uint64_t VersionOf(const FeedFollower& follower) {
    const auto state = follower.Current();
    return state == nullptr ? 0 : state->version;
  }

  ManualClock clock;
  LocalRpc rpc;
  std::mutex mutex;
  std::vector<std::uint64_t> updates;
  int next_port = 8001;
};

// @return a poll response with a snapshot of an otherwise empty state.
Json::Value FakeResponse(const std::string& epoch,
                         std::uint64_t version,
                         int age_ms) {
  SharedState state;
  state.epoch = epoch;
  state.version = version;
  Json::Value response;
  response["epoch"] = epoch;
  response["version"] = Json::UInt64(version);
  response["snapshot"] = SharedStateToJson(state);
  response["confirmed_age_ms"] = age_ms;
  response["path"] = Json::Value(Json::arrayValue);
  return response;
}

// A daemon that knows `count` sources, of which one stays reachable. All serve
// the state of `replica`; which one stays is its place in the order in which
// the daemon tries them.
struct SilentSources {
  SilentSources(LocalRpc& rpc,
                const Clock& clock,
                Replica& replica,
                int number,
                int count,
                int place)
      : rpc(rpc), clock(clock) {
    this->options.self = {
        "e" + std::to_string(number), "127.0.0.1:8001", "a", "1", false, ""};
    for (int i = 0; i < count; ++i) {
      this->options.replicas.push_back("127.1." + std::to_string(number) + "." +
                                       std::to_string(i + 1) + ":7000");
      rpc.Serve(this->options.replicas.back(),
                [&replica](const Json::Value& params) {
                  return replica.source->ServePoll(params);
                });
    }
    internal::SourceList order(this->options);
    for (int i = 0; i < count; ++i) {
      const std::string source = order.Next(nullptr);
      if (i != place) {
        this->silent.push_back(source);
      }
    }
  }

  void Start() {
    this->follower =
        FeedFollower::Start(this->options, this->rpc, this->clock, nullptr);
  }
  void Silence() {
    for (const std::string& source : this->silent) {
      this->rpc.DropCalls(source);
    }
  }

  // @return the numbers of calls to the sources, in ascending order.
  std::vector<int> SortedCalls() {
    std::vector<int> sorted;
    for (const std::string& source : this->options.replicas) {
      sorted.push_back(this->rpc.Calls(source));
    }
    std::sort(sorted.begin(), sorted.end());
    return sorted;
  }

  LocalRpc& rpc;
  const Clock& clock;
  FeedFollowerOptions options;
  std::vector<std::string> silent;
  std::unique_ptr<FeedFollower> follower;
};

// @return one daemon for each place of the source that stays reachable.
std::vector<std::unique_ptr<SilentSources>>
DaemonsOfAllOrders(LocalRpc& rpc, const Clock& clock, Replica& replica) {
  std::vector<std::unique_ptr<SilentSources>> daemons;
  for (const int count : {3, 5, 10}) {
    for (int place = 0; place < count; ++place) {
      daemons.push_back(std::make_unique<SilentSources>(
          rpc, clock, replica, static_cast<int>(daemons.size()) + 1, count,
          place));
    }
  }
  return daemons;
}

// @return the time until all daemons have `version`.
std::chrono::steady_clock::duration TimeUntilAllHave(
    const std::vector<std::unique_ptr<SilentSources>>& daemons,
    std::uint64_t version) {
  const auto start = std::chrono::steady_clock::now();
  for (const auto& daemon : daemons) {
    BOOST_TEST(Eventually(
        [&] { return Fixture::VersionOf(*daemon->follower) >= version; }));
  }
  return std::chrono::steady_clock::now() - start;
}

}  // namespace

// Guards against a follower whose state differs from that of the replica after
// a snapshot and deltas.
BOOST_FIXTURE_TEST_CASE(FollowerGetsSnapshotThenDeltas, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  replica.Drain("s1");
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 2; }));
  for (int i = 2; i < 30; ++i) {
    replica.Drain("s" + std::to_string(i));
  }
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 30; }));
  BOOST_TEST(SharedStateToJson(*follower->Current()) ==
             SharedStateToJson(*replica.state->Shared()));
  follower->Stop();
  std::lock_guard lock(mutex);
  BOOST_TEST(std::is_sorted(updates.begin(), updates.end()));
}

// Guards against sending the whole configuration with each change.
BOOST_FIXTURE_TEST_CASE(SourceSendsDeltasWhileTheyAreKept, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  Json::Value params;
  params["wait_ms"] = 0;
  BOOST_TEST(replica.source->ServePoll(params).value().isMember("snapshot"));
  replica.Drain("s1");
  params["have_epoch"] = "x";
  params["have_version"] = 1;
  const Json::Value response = replica.source->ServePoll(params).value();
  BOOST_TEST(response["deltas"].size() == 1U);
  BOOST_TEST(!response.isMember("snapshot"));
  for (int i = 0; i < 300; ++i) {
    replica.Drain("t" + std::to_string(i));
    params["have_version"] = Json::UInt64(replica.state->Shared()->version - 1);
    BOOST_TEST(replica.source->ServePoll(params).value().isMember("deltas"));
  }
  params["have_version"] = 1;
  BOOST_TEST(replica.source->ServePoll(params).value().isMember("snapshot"));
}

// Guards against a follower that keeps polling a replica that refuses calls,
// does not respond, or is cut off from the quorum.
BOOST_FIXTURE_TEST_CASE(FollowerReplacesAFailedSource, Fixture) {
  for (int fault = 0; fault < 3; ++fault) {
    LocalRpc faulty;
    Replica first(faulty, clock, kReplica1);
    Replica second(faulty, clock, kReplica2);
    for (Replica* replica : {&first, &second}) {
      replica->Init();
    }
    FeedFollowerOptions options;
    options.self = {"e1", "127.0.0.1:8001", "a", "1", false, ""};
    options.replicas = {kReplica1, kReplica2};
    options.poll_wait = milliseconds(20);
    const auto follower = FeedFollower::Start(options, faulty, clock, nullptr);
    BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
    const bool uses_first = faulty.Calls(kReplica1) > faulty.Calls(kReplica2);
    const std::string used = uses_first ? kReplica1 : kReplica2;
    Replica& other = uses_first ? second : first;
    if (fault == 0) {
      faulty.Refuse(used);
    } else if (fault == 1) {
      faulty.DropCalls(used);
    } else {
      (uses_first ? first : second).log.age = seconds(60);
    }
    other.Drain("s1");
    BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 2; }));
    follower->Stop();
    faulty.Join();
  }
}

// Guards against returning to an older configuration (invariant I8) when the
// follower changes to a replica that restarted or lags behind.
BOOST_FIXTURE_TEST_CASE(VersionIsNeverLowered, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  replica.Drain("s1");
  std::atomic<bool> reached{false};
  std::atomic<int> polls{0};
  rpc.Serve(kReplica2, [&](const Json::Value&) -> Result<Json::Value> {
    if (!reached) {
      return MakeError(ResultCode::kConnectFailed);
    }
    ++polls;
    return FakeResponse("x", 1, 0);
  });
  const auto follower = this->Follow("e1", {kReplica1, kReplica2});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 2; }));
  reached = true;
  rpc.Refuse(kReplica1);
  const int before = polls;
  BOOST_TEST(Eventually([&] { return polls > before + 1; }));
  clock.Advance(seconds(5));
  BOOST_TEST(Eventually([&] { return polls > before + 4; }));
  BOOST_TEST(VersionOf(*follower) == 2U);
  // The old version does not count as a confirmation either.
  BOOST_TEST((follower->ConfirmationAge() >= seconds(5)));
  follower->Stop();
  rpc.Join();
}

// Guards against mixing the states of two deployments.
BOOST_FIXTURE_TEST_CASE(OtherDeploymentIsRefused, Fixture) {
  std::atomic<bool> other{false};
  std::atomic<int> polls{0};
  rpc.Serve(kReplica1, [&](const Json::Value&) -> Result<Json::Value> {
    ++polls;
    return other ? FakeResponse("y", 99, 0) : FakeResponse("x", 5, 0);
  });
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 5; }));
  other = true;
  const int before = polls;
  BOOST_TEST(Eventually([&] { return polls > before + 3; }));
  BOOST_TEST(follower->Current()->epoch == "x");
  follower->Stop();
  rpc.Join();
}

// Guards against a confirmation age that leaves out the duration of the poll: a
// daemon would serve longer than the configuration lease allows.
BOOST_FIXTURE_TEST_CASE(AgeIncludesTheTimeOfTheCall, Fixture) {
  std::atomic<int> polls{0};
  rpc.Serve(kReplica1, [&](const Json::Value&) -> Result<Json::Value> {
    // The first poll takes three seconds.
    if (++polls == 1) {
      clock.Advance(seconds(3));
      return FakeResponse("x", 1, 700);
    }
    return MakeError(ResultCode::kConnectFailed);
  });
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST((follower->ConfirmationAge() >= milliseconds(3700)));
  BOOST_TEST(Eventually(
      [&] { return follower->ConfirmationAge() == milliseconds(3700); }));
  clock.Advance(seconds(1));
  BOOST_TEST((follower->ConfirmationAge() == milliseconds(4700)));
  follower->Stop();
  rpc.Join();
}

// Guards against treating an unconfirmed state as confirmed.
BOOST_FIXTURE_TEST_CASE(UnconfirmedStateHasNoAge, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  replica.log.age = Duration::max();
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  BOOST_TEST((follower->ConfirmationAge() == Duration::max()));
  follower->Stop();
}

// Guards against a relay that reports a lower confirmation age than its own,
// and against changes that are lost in a chain of relays.
BOOST_FIXTURE_TEST_CASE(RelayChainAddsUpTheAge, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto first = this->Follow("e1", {kReplica1});
  const auto second = this->Follow("e2", {}, {"127.0.0.1:8001"});
  const auto third = this->Follow("e3", {}, {"127.0.0.1:8002"});
  const std::vector<FeedFollower*> chain = {first.get(), second.get(),
                                            third.get()};
  for (FeedFollower* follower : chain) {
    BOOST_TEST(Eventually([&] { return VersionOf(*follower) >= 1; }));
  }
  replica.Drain("s1");
  for (FeedFollower* follower : chain) {
    BOOST_TEST(Eventually(
        [&] { return follower->Current()->drained_servers.count("s1") == 1; }));
  }
  // Without the control replica no state is confirmed again, so every age must
  // grow.
  replica.source->Stop();
  rpc.Refuse(kReplica1);
  clock.Advance(seconds(4));
  for (int i = 0; i < 50; ++i) {
    std::this_thread::sleep_for(milliseconds(4));
    for (FeedFollower* follower : chain) {
      BOOST_TEST((follower->ConfirmationAge() >= seconds(4)));
    }
  }
  third->Stop();
  second->Stop();
  first->Stop();
}

// Guards against entry daemons that poll and confirm each other in a cycle.
BOOST_FIXTURE_TEST_CASE(RelayCycleDoesNotConfirm, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto first = this->Follow("e1", {kReplica1}, {"127.0.0.1:8002"});
  BOOST_TEST(Eventually([&] { return VersionOf(*first) >= 1; }));
  const auto second = this->Follow("e2", {}, {"127.0.0.1:8001"});
  BOOST_TEST(Eventually([&] { return VersionOf(*second) >= 1; }));
  replica.source->Stop();
  rpc.Refuse(kReplica1);
  clock.Advance(seconds(9));
  const int before = rpc.Calls("127.0.0.1:8002");
  BOOST_TEST(
      Eventually([&] { return rpc.Calls("127.0.0.1:8002") > before + 3; }));
  BOOST_TEST((first->ConfirmationAge() >= seconds(9)));
  BOOST_TEST((second->ConfirmationAge() >= seconds(9)));
  second->Stop();
  first->Stop();
}

// Guards against a source that serves more followers than its limit.
BOOST_FIXTURE_TEST_CASE(BusySourceRedirectsToItsFollowers, Fixture) {
  FeedSourceOptions options;
  options.max_followers = 1;
  Replica replica(rpc, clock, kReplica1, options);
  replica.Init();
  const auto first = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*first) >= 1; }));
  const auto second = this->Follow("e2", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*second) >= 1; }));
  // Both are known to the leader, the second one through its relay.
  BOOST_TEST(Eventually([&] {
    replica.source->Tick();
    return replica.Entries() == 2;
  }));
  second->Stop();
  first->Stop();
}

// Guards against referring followers to daemons that do not serve the feed:
// each of these costs a failed poll, during which no change arrives.
BOOST_FIXTURE_TEST_CASE(RedirectNamesOnlyDaemonsThatServeTheFeed, Fixture) {
  FeedSourceOptions options;
  options.max_followers = 1;
  Replica replica(rpc, clock, kReplica1, options);
  replica.Init();
  BOOST_TEST(replica.Poll("e1", 0).isMember("snapshot"));
  const Json::Value redirect = replica.Poll("e2", 0);
  BOOST_TEST(redirect["busy"] == Json::Value(true));
  BOOST_TEST(redirect["relays"].empty());
}

// Guards against changes that do not reach a follower while every source that
// it knows is full.
BOOST_FIXTURE_TEST_CASE(FullSourceSendsChanges, Fixture) {
  FeedSourceOptions options;
  options.max_followers = 1;
  Replica replica(rpc, clock, kReplica1, options);
  replica.Init();
  replica.Poll("e1", 0);
  const Json::Value first = replica.Poll("e2", 0);
  BOOST_TEST(first["version"].asUInt64() == 1U);
  BOOST_TEST(first.isMember("snapshot"));
  replica.Drain("s1");
  // Changes in quick succession become one update.
  Json::Value second;
  BOOST_TEST(Eventually([&] {
    second = replica.Poll("e2", 1);
    return second["version"].asUInt64() == 2;
  }));
  BOOST_TEST(second["busy"] == Json::Value(true));
  BOOST_TEST(second["deltas"].size() == 1U);
  BOOST_TEST(second["confirmed_age_ms"].isInt64());
}

// Guards against a replica that is full of followers which left it at once,
// because it had no state for them.
BOOST_FIXTURE_TEST_CASE(FollowersWithoutAnAnswerAreNotCounted, Fixture) {
  FeedSourceOptions options;
  options.max_followers = 1;
  Replica replica(rpc, clock, kReplica1, options);
  for (const char* id : {"e1", "e2", "e3"}) {
    Json::Value params = Replica::PollParams(id, 0);
    BOOST_TEST((replica.source->ServePoll(params).error().code ==
                ResultCode::kConfigurationUnconfirmed));
  }
  replica.Init();
  BOOST_TEST(!replica.Poll("e4", 0).isMember("busy"));
}

// Guards against followers that miss changes, or ask each other, when the
// replicas that are left have fewer places than there are followers.
BOOST_FIXTURE_TEST_CASE(FollowersBeyondAllPlacesGetEveryChange, Fixture) {
  FeedSourceOptions options;
  options.max_followers = 2;
  Replica first(rpc, clock, kReplica1, options);
  Replica second(rpc, clock, kReplica2, options);
  first.Init();
  second.Init();
  constexpr int kFollowers = 6;
  std::vector<std::shared_ptr<FeedFollower>> followers;
  followers.reserve(kFollowers);
  for (int i = 0; i < kFollowers; ++i) {
    followers.push_back(this->Follow("e" + std::to_string(i),
                                     {kReplica1, kReplica2}, {},
                                     /*serves_feed=*/false));
  }
  rpc.DropCalls(kReplica2);
  for (int change = 0; change < 3; ++change) {
    first.Drain("s" + std::to_string(change));
    for (const auto& follower : followers) {
      BOOST_TEST(Eventually([&] {
        return VersionOf(*follower) == first.state->Shared()->version;
      }));
    }
  }
  for (int i = 0; i < kFollowers; ++i) {
    BOOST_TEST(rpc.Calls("127.0.0.1:" + std::to_string(8001 + i)) == 0);
  }
  for (const auto& follower : followers) {
    follower->Stop();
  }
}

// Guards against daemons that all go to the few configured replicas, although
// the state names more: those that are left of the few are full then.
BOOST_AUTO_TEST_CASE(AllReplicasAreFirstChoiceOfSomeDaemons) {
  const auto state = std::make_shared<SharedState>();
  for (int i = 1; i <= 5; ++i) {
    state->replicas.push_back("127.0.0.1:700" + std::to_string(i));
  }
  constexpr int kDaemons = 200;
  std::map<std::string, int> first_choices;
  for (int i = 0; i < kDaemons; ++i) {
    FeedFollowerOptions options;
    options.self.entry_id = "e" + std::to_string(i);
    options.replicas.assign(state->replicas.begin(),
                            state->replicas.begin() + 3);
    internal::SourceList sources(options);
    ++first_choices[sources.Next(state)];
  }
  for (const std::string& replica : state->replicas) {
    BOOST_TEST(first_choices[replica] > kDaemons / 5 / 2, replica);
  }
}

// Guards against a daemon that knows more relays than it asks in one round, and
// asks the same ones in each: all of those may be gone.
BOOST_AUTO_TEST_CASE(AllRelaysAreTriedInTurn) {
  constexpr int kRelays = 40;
  const auto state = std::make_shared<SharedState>();
  state->replicas = {kReplica1};
  for (int i = 0; i < kRelays; ++i) {
    EntryInfo entry;
    entry.entry_id = "e" + std::to_string(i);
    entry.feed_address = "127.0.0.1:" + std::to_string(8000 + i);
    state->entries.push_back(entry);
  }
  FeedFollowerOptions options;
  options.self.entry_id = "follower";
  internal::SourceList sources(options);
  std::set<std::string> tried;
  for (int i = 0; i < 3 * kRelays; ++i) {
    tried.insert(sources.Next(state));
  }
  BOOST_TEST(tried.size() == kRelays + 1);
}

// Guards against a daemon that was away while all replicas that it knows were
// replaced, and never hears of the present ones.
BOOST_FIXTURE_TEST_CASE(FollowerUsesReplicasOfANotice, Fixture) {
  Replica gone(rpc, clock, kReplica1);
  gone.Init();
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  rpc.DropCalls(kReplica1);
  Replica present(rpc, clock, kReplica2);
  present.Init();
  present.Drain("s1");
  const std::vector<std::string> replicas = {kReplica2};
  // Of another deployment, and of the state that the follower has.
  BOOST_TEST(!follower->OnReplicaNotice({"y", 2, replicas, "e1"}));
  BOOST_TEST(!follower->OnReplicaNotice({"x", 1, replicas, "e1"}));
  BOOST_TEST(follower->OnReplicaNotice({"x", 2, replicas, {}}));
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 2; }));
  follower->Stop();
}

// Guards against a state of another deployment that is used because a notice
// named its replicas.
BOOST_FIXTURE_TEST_CASE(NoticeDoesNotChangeTheDeployment, Fixture) {
  Replica gone(rpc, clock, kReplica1);
  gone.Init("x");
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  rpc.DropCalls(kReplica1);
  Replica other(rpc, clock, kReplica2);
  other.Init("y");
  other.Drain("s1");
  BOOST_TEST(follower->OnReplicaNotice({"x", 2, {kReplica2}, {}}));
  BOOST_TEST(Eventually([&] { return rpc.Calls(kReplica2) > 2; }));
  BOOST_TEST(VersionOf(*follower) == 1);
  BOOST_TEST(follower->Current()->epoch == "x");
  follower->Stop();
}

// Guards against a daemon without a state, whose seeds are gone, that takes a
// notice for another daemon, or none.
BOOST_FIXTURE_TEST_CASE(FollowerWithoutAStateUsesItsOwnNotice, Fixture) {
  Replica present(rpc, clock, kReplica2);
  present.Init();
  rpc.DropCalls(kReplica1);
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(!follower->OnReplicaNotice({"x", 1, {kReplica2}, {}}));
  BOOST_TEST(!follower->OnReplicaNotice({"x", 1, {kReplica2}, "e2"}));
  BOOST_TEST(follower->OnReplicaNotice({"x", 1, {kReplica2}, "e1"}));
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  follower->Stop();
}

// Guards against seeds of the settings that are read again and not used.
BOOST_FIXTURE_TEST_CASE(FollowerUsesReplicasOfNewSettings, Fixture) {
  Replica present(rpc, clock, kReplica2);
  present.Init();
  rpc.DropCalls(kReplica1);
  const auto follower = this->Follow("e1", {kReplica1});
  follower->SetReplicas({kReplica2});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  follower->Stop();
}

// Guards against waiting for a silent source as long as for one that holds a
// poll until there is a change: several silent ones in a row would delay
// changes for seconds.
BOOST_FIXTURE_TEST_CASE(UntriedSourceIsPolledWithoutAWait, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  rpc.DropCalls(kReplica2);
  const auto follower = this->Follow("e1", {kReplica1, kReplica2});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  rpc.Refuse(kReplica1);
  const int before = rpc.Calls(kReplica2);
  BOOST_TEST(Eventually([&] { return rpc.Calls(kReplica2) > before; }));
  BOOST_TEST((rpc.LastTimeout(kReplica2) ==
              FeedFollowerOptions().poll_timeout_margin));
  follower->Stop();
}

// Guards against a follower that asks silent sources one after the other when
// the one in use freezes during a poll: a change came later than allowed.
BOOST_FIXTURE_TEST_CASE(SilentSourcesDoNotDelayAChange, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto daemons = DaemonsOfAllOrders(rpc, clock, replica);
  for (const auto& daemon : daemons) {
    daemon->Start();
  }
  TimeUntilAllHave(daemons, 1);
  for (const auto& daemon : daemons) {
    daemon->Silence();
  }
  replica.Drain("s1");
  BOOST_TEST((TimeUntilAllHave(daemons, 2) < kConfigurationApplyTime));
  for (const auto& daemon : daemons) {
    daemon->follower->Stop();
  }
}

// Guards against a daemon that starts with silent sources and asks one after
// the other for its first state.
BOOST_FIXTURE_TEST_CASE(SilentSourcesDoNotDelayTheFirstState, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto daemons = DaemonsOfAllOrders(rpc, clock, replica);
  for (const auto& daemon : daemons) {
    daemon->Silence();
  }
  for (const auto& daemon : daemons) {
    daemon->Start();
  }
  BOOST_TEST((TimeUntilAllHave(daemons, 1) < kConfigurationApplyTime));
  for (const auto& daemon : daemons) {
    daemon->follower->Stop();
  }
}

// Guards against a follower that keeps a replica which is cut off from the
// quorum, and misses changes, until its state is too old to be used.
BOOST_FIXTURE_TEST_CASE(CutOffSourceIsReplacedInTime, Fixture) {
  Replica first(rpc, clock, kReplica1);
  Replica second(rpc, clock, kReplica2);
  first.Init();
  second.Init();
  const auto follower = this->Follow("e1", {kReplica1, kReplica2});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  const bool uses_first = rpc.Calls(kReplica1) > rpc.Calls(kReplica2);
  Replica& cut_off = uses_first ? first : second;
  Replica& other = uses_first ? second : first;
  // The age that it has half of the allowed time after it was cut off.
  cut_off.log.age = kConfigurationApplyTime / 2;
  other.Drain("s1");
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 2; }));
  BOOST_TEST(
      (std::chrono::steady_clock::now() - start < kConfigurationApplyTime / 2));
  follower->Stop();
}

// Guards against a late response of a poll that the follower gave up, which
// lowers the version or counts as a confirmation.
BOOST_FIXTURE_TEST_CASE(LateResponseOfAnAbandonedPollHasNoEffect, Fixture) {
  std::atomic<bool> released{false};
  std::atomic<bool> responded{false};
  std::atomic<int> polls{0};
  FeedFollowerOptions options;
  options.self = {"e1", "127.0.0.1:8001", "a", "1", false, ""};
  options.replicas = {kReplica1, kReplica2};
  internal::SourceList order(options);
  rpc.Serve(order.Next(nullptr), [&](const Json::Value&) {
    BOOST_TEST(Eventually([&] { return released.load(); }));
    responded = true;
    return FakeResponse("x", 5, 0);
  });
  rpc.Serve(order.Next(nullptr),
            [&](const Json::Value&) -> Result<Json::Value> {
              if (++polls == 1) {
                return FakeResponse("x", 7, 500);
              }
              return MakeError(ResultCode::kConnectFailed);
            });
  const auto follower = FeedFollower::Start(options, rpc, clock, nullptr);
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 7; }));
  clock.Advance(seconds(3));
  released = true;
  BOOST_TEST(Eventually([&] { return responded.load(); }));
  const int before = polls;
  BOOST_TEST(Eventually([&] { return polls > before + 4; }));
  BOOST_TEST(VersionOf(*follower) == 7U);
  BOOST_TEST((follower->ConfirmationAge() >= milliseconds(3500)));
  const FeedFollowerStatus status = follower->GetStatus();
  BOOST_TEST(
      status.polls[static_cast<std::size_t>(FeedPollOutcome::kAbandoned)] >=
      1U);
  follower->Stop();
}

// Guards against a search that goes on while the source in use responds: each
// of hundreds of daemons would poll all sources all the time.
BOOST_FIXTURE_TEST_CASE(OneSourceIsPolledWhileItResponds, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  SilentSources daemon(rpc, clock, replica, 1, 3, 0);
  daemon.options.poll_wait = milliseconds(20);
  // A pause of the test is not a late response.
  daemon.options.late_response_margin = seconds(3600);
  daemon.Start();
  BOOST_TEST(Eventually([&] { return VersionOf(*daemon.follower) == 1; }));
  BOOST_TEST(Eventually([&] { return daemon.SortedCalls()[2] > 5; }));
  const std::vector<int> before = daemon.SortedCalls();
  BOOST_TEST(
      Eventually([&] { return daemon.SortedCalls()[2] > before[2] + 20; }));
  BOOST_TEST(daemon.SortedCalls()[0] == before[0]);
  BOOST_TEST(daemon.SortedCalls()[1] == before[1]);
  daemon.follower->Stop();
}

// Guards against searches by all daemons, which add to the load of the sources,
// while these respond but are slow.
BOOST_FIXTURE_TEST_CASE(SlowSourceIsNotTakenForASilentOne, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  SilentSources daemon(rpc, clock, replica, 1, 3, 0);
  daemon.options.poll_wait = milliseconds(20);
  for (const std::string& source : daemon.options.replicas) {
    rpc.Serve(source, [&](const Json::Value& params) {
      std::this_thread::sleep_for(milliseconds(200));
      return replica.source->ServePoll(params);
    });
  }
  daemon.Start();
  BOOST_TEST(Eventually([&] {
    const std::vector<int> before = daemon.SortedCalls();
    return Eventually(
               [&] { return daemon.SortedCalls()[2] >= before[2] + 5; }) &&
           daemon.SortedCalls()[0] == before[0] &&
           daemon.SortedCalls()[1] == before[1];
  }));
  daemon.follower->Stop();
}

// Guards against a follower without a source, or one that changes it with each
// poll, while no replica reaches the quorum.
BOOST_FIXTURE_TEST_CASE(SourceIsKeptWhileNoneIsConfirmed, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  replica.log.age = kConfigurationApplyTime / 2;
  std::array<std::atomic<int>, 2> held_polls{};
  for (std::size_t i = 0; i < held_polls.size(); ++i) {
    rpc.Serve(i == 0 ? kReplica1 : kReplica2,
              [&, i](const Json::Value& params) {
                held_polls[i] += params["wait_ms"].asInt() > 0 ? 1 : 0;
                return replica.source->ServePoll(params);
              });
  }
  FeedFollowerOptions options;
  options.self = {"e1", "127.0.0.1:8001", "a", "1", false, ""};
  options.replicas = {kReplica1, kReplica2};
  options.poll_wait = milliseconds(20);
  options.late_response_margin = seconds(3600);
  const auto follower = FeedFollower::Start(options, rpc, clock, nullptr);
  BOOST_TEST(Eventually([&] { return held_polls[0] + held_polls[1] > 20; }));
  BOOST_TEST((held_polls[0] == 0 || held_polls[1] == 0));
  replica.Drain("s1");
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 2; }));
  follower->Stop();
}

// Guards against a Stop that waits for the responses to the polls of a search.
BOOST_FIXTURE_TEST_CASE(StopEndsASearch, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  SilentSources daemon(rpc, clock, replica, 1, 5, 0);
  // Longer than the test may take.
  daemon.options.poll_timeout_margin = seconds(3600);
  for (const std::string& source : daemon.options.replicas) {
    rpc.DropCalls(source);
  }
  daemon.Start();
  for (const std::string& source : daemon.options.replicas) {
    BOOST_TEST(Eventually([&] { return rpc.Calls(source) == 1; }));
  }
  daemon.follower->Stop();
}

// Guards against expiring live entry daemons when the leader changes, and
// against keeping a dead one in the shared state, from which callers get their
// addresses.
BOOST_FIXTURE_TEST_CASE(LeaseOfEntryDaemons, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto first = this->Follow("e1", {kReplica1});
  const auto second = this->Follow("e2", {kReplica1});
  BOOST_TEST(Eventually([&] {
    replica.source->Tick();
    return replica.Entries() == 2;
  }));
  first->Stop();
  // Another replica was the leader for a while: renewals went there.
  replica.log.Follow("");
  replica.source->Tick();
  clock.Advance(seconds(4));
  replica.log.Lead(kReplica1);
  replica.source->Tick();
  clock.Advance(milliseconds(900));
  replica.source->Tick();
  replica.control_thread.PostAndWait([] {});
  BOOST_TEST(replica.Entries() == 2U);
  BOOST_TEST(Eventually([&] {
    clock.Advance(milliseconds(5));
    replica.source->Tick();
    return replica.Entries() == 1;
  }));
  BOOST_TEST(replica.state->Shared()->entries[0].entry_id == "e2");
  second->Stop();
}

// Guards against expiring all entry daemons after a pause of the leader.
BOOST_FIXTURE_TEST_CASE(PausedLeaderGrantsAFullLease, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  replica.log.Commit(
      R"({"type":"entry.join","entry_id":"e1","address":"127.0.0.1:8001",)"
      R"("failure_domain":"a","incarnation":"1"})");
  replica.source->Tick();
  clock.Advance(seconds(60));
  replica.source->Tick();
  clock.Advance(milliseconds(900));
  replica.source->Tick();
  replica.control_thread.PostAndWait([] {});
  BOOST_TEST(replica.Entries() == 1U);
}

// Guards against a draining entry daemon that stays listed as not draining
// until its lease expires.
BOOST_FIXTURE_TEST_CASE(DrainingIsAnnounced, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] {
    replica.source->Tick();
    return replica.Entries() == 1;
  }));
  follower->SetDraining();
  BOOST_TEST(Eventually([&] {
    replica.source->Tick();
    const auto state = follower->Current();
    return state != nullptr && state->entries.size() == 1 &&
           state->entries[0].draining;
  }));
  follower->Stop();
}

// Guards against renewals that a follower replica does not forward.
BOOST_FIXTURE_TEST_CASE(FollowerReplicaForwardsRenewals, Fixture) {
  Replica leader(rpc, clock, kReplica1);
  Replica replica(rpc, clock, kReplica2);
  leader.Init();
  replica.Init();
  replica.log.Follow(kReplica1);
  const auto follower = this->Follow("e1", {kReplica2});
  BOOST_TEST(Eventually([&] {
    replica.source->Tick();
    leader.source->Tick();
    return leader.Entries() == 1;
  }));
  follower->Stop();
}

// Guards against a delayed renewal of an earlier incarnation that replaces the
// current one.
BOOST_FIXTURE_TEST_CASE(LateRenewalDoesNotReplaceANewerOne, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto poll = [&](const std::string& incarnation, int age_ms) {
    Json::Value params;
    params["entry_id"] = "e1";
    params["address"] = "127.0.0.1:8001";
    params["incarnation"] = incarnation;
    params["age_ms"] = age_ms;
    params["wait_ms"] = 0;
    replica.source->ServePoll(params).value();
    replica.source->Tick();
    replica.control_thread.PostAndWait([] {});
  };
  poll("2", 0);
  poll("1", 500);
  BOOST_REQUIRE(replica.Entries() == 1U);
  BOOST_TEST(replica.state->Shared()->entries[0].incarnation == "2");
}

// Guards against a malformed poll, for instance from another release, that
// crashes the replica, and against an error that does not name the field.
BOOST_FIXTURE_TEST_CASE(MalformedPollsNameTheField, Fixture) {
  Replica replica(rpc, clock, kReplica1);
  replica.Init();
  const auto message = [&](const std::string& text) {
    const Result<Json::Value> response =
        replica.source->ServePoll(ParseJson(text).value());
    BOOST_TEST((!response.has_value() &&
                response.error().code == ResultCode::kMalformedRequest));
    return response.has_value() ? std::string() : response.error().message;
  };
  BOOST_TEST(message("[]").find("object") != std::string::npos);
  BOOST_TEST(message(R"({"have_version":"1"})").find("have_version") !=
             std::string::npos);
  BOOST_TEST(message(R"({"entry_id":"e"})").find("address") !=
             std::string::npos);
  BOOST_TEST(message(R"({"entry_id":"e","address":"x","incarnation":"1"})")
                 .find("IPv4") != std::string::npos);
  BOOST_TEST(message(R"({"relayed_renewals":3})").find("relayed_renewals") !=
             std::string::npos);
  BOOST_TEST(message(R"({"relayed_renewals":[3]})").find("object") !=
             std::string::npos);
}

// Guards against a malformed response that stops the follower.
BOOST_FIXTURE_TEST_CASE(MalformedResponsesAreIgnored, Fixture) {
  std::atomic<int> polls{0};
  const std::string head =
      R"({"epoch":"x","version":1,"confirmed_age_ms":0,"path":[])";
  const std::vector<std::string> responses = {
      "3",
      "null",
      "{}",
      R"({"busy":true,"relays":[3]})",
      R"({"busy":true,"relays":"x"})",
      head + "}",
      head + R"(,"deltas":[{"from":0,"patch":{}}]})",
      head + R"(,"snapshot":{"version":2}})",
      head + R"(,"snapshot":3})",
      R"({"epoch":"x","version":1,"confirmed_age_ms":"0","path":[]})",
  };
  rpc.Serve(kReplica1, [&](const Json::Value&) -> Result<Json::Value> {
    const auto poll = static_cast<std::size_t>(polls++);
    return poll < responses.size()
               ? ParseJson(responses[poll])
               : Result<Json::Value>(FakeResponse("x", 7, 0));
  });
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 7; }));
  follower->Stop();
  rpc.Join();
}

// Guards against an age that overflows, so that an old state counts as
// confirmed now.
BOOST_FIXTURE_TEST_CASE(AgeOutOfRangeDoesNotConfirm, Fixture) {
  std::atomic<int> polls{0};
  const std::vector<Json::Int64> ages = {
      std::numeric_limits<Json::Int64>::max(), 9223372036855, 18446744073710};
  rpc.Serve(kReplica1, [&](const Json::Value&) -> Result<Json::Value> {
    Json::Value response = FakeResponse("x", 7, 0);
    const auto poll = static_cast<std::size_t>(polls++);
    response["confirmed_age_ms"] = ages[poll % ages.size()];
    return response;
  });
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return polls > 3; }));
  BOOST_TEST((follower->ConfirmationAge() == Duration::max()));
  follower->Stop();
  rpc.Join();
}

// Responses of which members are missing or replaced. Guards against one that
// ends the process or stops the follower.
BOOST_FIXTURE_TEST_CASE(ChangedResponsesAreReadOrRejected, Fixture) {
  const int cases = MalformedCaseCount();
  const std::vector<std::string> values = {"null",
                                           "-1",
                                           "1.5",
                                           "1e300",
                                           "9223372036854775807",
                                           "18446744073709551615",
                                           "\"x\"",
                                           "\"\"",
                                           "[]",
                                           "[[[]]]",
                                           "{}",
                                           "{\"a\":{\"version\":1}}",
                                           "true"};
  SharedState state;
  state.epoch = "x";
  state.version = 7;
  state.entries = {{"entry1", "10.0.1.1:80", "a", "1", false, ""}};
  ServerRecord server;
  server.server_id = "s";
  server.address = "10.0.0.1:80";
  server.service = "app";
  server.incarnation = 1;
  server.slots = 4;
  state.servers = {server};
  Json::Value sound = FakeResponse("x", 7, 0);
  sound["snapshot"] = SharedStateToJson(state);
  sound["deltas"] = Json::Value(Json::arrayValue);
  sound["deltas"].append(ParseJson(R"({"from":7,"patch":{}})").value());
  std::mt19937 random(1);
  for (int i = 0; i < cases; ++i) {
    Json::Value response = sound;
    for (std::size_t changes = 1 + random() % 3; changes > 0; --changes) {
      // Descends to a member at a random depth.
      Json::Value* parent = &response;
      for (;;) {
        const auto names = parent->getMemberNames();
        Json::Value& child = (*parent)[names[random() % names.size()]];
        if (child.isObject() && !child.empty() && random() % 4 != 0) {
          parent = &child;
          continue;
        }
        child =
            ParseJson("[" + values[random() % values.size()] + "]").value()[0];
        break;
      }
      if (response.empty()) {
        break;
      }
    }
    if (random() % 4 == 0) {
      response.removeMember("snapshot");
    }
    const auto base = random() % 2 == 0
                          ? nullptr
                          : std::make_shared<const SharedState>(state);
    const auto read = internal::ReadFeedResponse(response, base);
    if (read) {
      BOOST_TEST(
          ParseJson(WriteJson(SharedStateToJson(*read.value()))).has_value());
    }
  }
}

// Guards against a Stop that waits for a source that does not respond, and
// against polls that are accepted after Stop.
BOOST_FIXTURE_TEST_CASE(StopEndsCallsAndPolls, Fixture) {
  rpc.DropCalls(kReplica1);
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return rpc.Calls(kReplica1) > 0; }));
  follower->Stop();
  const Result<Json::Value> response =
      follower->ServePoll(Json::Value(Json::objectValue));
  BOOST_TEST((response.error().code == ResultCode::kShuttingDown));
}

// Guards against a follower that never gets another version after one record
// that it cannot read has changed.
BOOST_FIXTURE_TEST_CASE(ChangeOfAnOddRecordIsFollowed, Fixture) {
  std::atomic<bool> changed{false};
  rpc.Serve(kReplica1, [&](const Json::Value& params) -> Result<Json::Value> {
    const auto state_of = [](int version) {
      SharedState state;
      state.epoch = "x";
      state.version = static_cast<std::uint64_t>(version);
      Json::Value json = SharedStateToJson(state);
      json["servers"]["odd"]["slots"] = -version;
      return json;
    };
    const int version = changed ? 2 : 1;
    Json::Value response = FakeResponse("x", version, 0);
    response["snapshot"] = state_of(version);
    if (params["have_version"].asUInt64() == 1) {
      response.removeMember("snapshot");
      if (changed) {
        response["deltas"][0]["from"] = 1;
        response["deltas"][0]["patch"] = DiffJson(state_of(1), state_of(2));
      } else {
        std::this_thread::sleep_for(milliseconds(5));
      }
    }
    return response;
  });
  const auto follower = this->Follow("e1", {kReplica1});
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 1; }));
  changed = true;
  BOOST_TEST(Eventually([&] { return VersionOf(*follower) == 2; }));
  BOOST_TEST(follower->Current()->unreadable.size() == 1U);
  follower->Stop();
}

}  // namespace sycamorebend
