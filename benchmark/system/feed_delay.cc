#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>

#include <fmt/format.h>

#include "feed/feed_buffer.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"
#include "system/fleet.h"
#include "system/measurements.h"

namespace sycamorebend {

namespace {

// A change is to be in force everywhere within this time, on entry VMs with
// this share of a core and control VMs with that one.
constexpr double kInForceBoundSeconds = 3;
constexpr double kEntryShare = 0.12;
constexpr double kControlShare = 0.6;

constexpr int kFollowerCounts[] = {30, 100, 300};
constexpr int kPlacesOfReplica = 200;
// Records besides those of the followers.
constexpr int kServers = 266;
// Daemons that restart at the same time, each once a second.
constexpr int kRestarting = 160;
constexpr Duration kRestartInterval = milliseconds(100);
constexpr int kChanges = 5;
constexpr Duration kChangeInterval = milliseconds(700);
constexpr Duration kPollWait = milliseconds(500);
constexpr Duration kPollTimeout = seconds(5);
constexpr Duration kFullSourceDelay = milliseconds(250);
constexpr int kVersionsInResponse = 160;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Json::Value RenewalOf(const std::string& id, const std::string& incarnation) {
  Json::Value renewal;
  renewal["entry_id"] = id;
  renewal["address"] = "127.0.0.1:1";
  renewal["failure_domain"] = "fd-1";
  renewal["incarnation"] = incarnation;
  return renewal;
}

// Polls a replica as a FeedFollower does, without decoding the state, so that
// hundreds fit into one process.
class LightFollower {
 public:
  LightFollower(RpcClient& rpc, std::string replica, const std::string& id)
      : rpc(rpc), replica(std::move(replica)), params(RenewalOf(id, "1")) {
    this->thread = std::thread([this] { this->Run(); });
  }
  ~LightFollower() {
    this->stopping = true;
    this->thread.join();
  }

  std::uint64_t ConfigurationVersion() const { return this->version; }

 private:
  void Run() {
    this->params["wait_ms"] = Json::Int64(ToMilliseconds(kPollWait));
    while (!this->stopping) {
      const Result<Json::Value> response =
          this->rpc.Call(this->replica, std::string(kFeedPollMethod),
                         this->params, kPollTimeout);
      if (!response) {
        std::this_thread::sleep_for(kFullSourceDelay);
        continue;
      }
      this->params["have_epoch"] = response.value()["epoch"];
      this->params["have_version"] = response.value()["version"];
      this->ReadVersion(response.value());
      if (response.value().isMember("busy")) {
        std::this_thread::sleep_for(kFullSourceDelay);
      }
    }
  }

  void ReadVersion(const Json::Value& response) {
    if (response.isMember("snapshot")) {
      this->version = response["snapshot"]["configuration_version"].asUInt64();
    }
    for (const Json::Value& delta : response["deltas"]) {
      Json::Value known;
      known["configuration_version"] = Json::UInt64(this->version.load());
      const Json::Value& members = delta["patch"]["members"];
      if (members.isMember("configuration_version")) {
        Json::Value patch;
        patch["members"]["configuration_version"] =
            members["configuration_version"];
        this->version =
            PatchJson(known, patch).value()["configuration_version"].asUInt64();
      }
    }
  }

  RpcClient& rpc;
  const std::string replica;
  Json::Value params;
  std::atomic<std::uint64_t> version{0};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

// Lets `kRestarting` daemons restart again and again.
class RestartingDaemons {
 public:
  RestartingDaemons(RpcClient& rpc, const std::string& replica)
      : thread([this, &rpc, replica] { this->Run(rpc, replica); }) {}
  ~RestartingDaemons() {
    this->stopping = true;
    this->thread.join();
  }

 private:
  void Run(RpcClient& rpc, const std::string& replica) {
    const int groups = static_cast<int>(seconds(1) / kRestartInterval);
    for (int round = 0; !this->stopping; ++round) {
      Json::Value params;
      for (int i = round % groups; i < kRestarting; i += groups) {
        params["relayed_renewals"].append(
            RenewalOf(fmt::format("restarting-{}", i), std::to_string(round)));
      }
      params["renewals_only"] = true;
      params["wait_ms"] = 0;
      static_cast<void>(rpc.Call(replica, std::string(kFeedPollMethod), params,
                                 kPollTimeout));
      std::this_thread::sleep_for(kRestartInterval);
    }
  }

  std::atomic<bool> stopping{false};
  std::thread thread;
};

void AnnounceServers(Fleet& fleet) {
  for (int i = 0; i < kServers; ++i) {
    ServerRecord record;
    record.server_id = fmt::format("server-{}", i);
    record.incarnation = 1;
    record.service = "chat";
    record.address = fmt::format("10.0.{}.{}:80", i / 250, i % 250);
    record.failure_domain = "fd-1";
    const auto announced =
        fleet.CallControl("server.heartbeat", ServerRecordToJson(record));
    if (!announced) {
      throw std::runtime_error(announced.error().message);
    }
  }
}

void MeasureFollowers(int count, BoundChecker& checker) {
  FleetOptions options;
  options.replicas = 1;
  options.entries = options.engines = options.services = 0;
  options.replica_settings["max_followers"] = kPlacesOfReplica;
  Fleet fleet(options);
  AnnounceServers(fleet);
  const Daemon& replica = fleet.Replica(0);
  std::vector<std::unique_ptr<LightFollower>> followers;
  followers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    followers.push_back(std::make_unique<LightFollower>(
        fleet.Rpc(), replica.address, fmt::format("follower-{}", i)));
  }
  const auto in_force = [&](std::uint64_t version) {
    return std::all_of(followers.begin(), followers.end(),
                       [&](const auto& follower) {
                         return follower->ConfigurationVersion() >= version;
                       });
  };
  if (!WaitFor([&] { return in_force(1); }, seconds(60))) {
    throw std::runtime_error("the first configuration did not arrive");
  }
  const RestartingDaemons restarting(fleet.Rpc(), replica.address);
  const SystemClock clock;
  const TimePoint begin = clock.Now();
  const ProcessUsage before = ReadUsage(replica.process->Pid());
  double slowest = 0;
  Json::Value document = Fleet::DefaultDocument();
  for (int change = 0; change < kChanges; ++change) {
    std::this_thread::sleep_for(kChangeInterval);
    document["classes"][0]["max_queue"] = 100 + change;
    const std::uint64_t version = fleet.ApplyDocument(document);
    const TimePoint accepted = clock.Now();
    WaitFor([&] { return in_force(version); }, seconds(60));
    slowest = std::max(slowest, Seconds(clock.Now() - accepted));
  }
  const ProcessUsage after = ReadUsage(replica.process->Pid());
  const double share =
      Seconds(after.cpu - before.cpu) / Seconds(clock.Now() - begin);
  checker.AtMost(fmt::format("change_at_last_of_{}_followers", count), slowest,
                 "s", kInForceBoundSeconds);
  checker.AtMost(fmt::format("replica_cpu_with_{}_followers", count), share,
                 "cores", kControlShare);
}

// Time to read one response with many versions of a large state.
void MeasureReading(BoundChecker& checker) {
  SharedState state;
  state.epoch = "e";
  for (int i = 0; i < kServers; ++i) {
    EntryInfo entry;
    entry.entry_id = fmt::format("entry-{}", i);
    entry.address = "127.0.0.1:1";
    entry.incarnation = "1";
    state.entries.push_back(entry);
    ServerRecord server;
    server.server_id = fmt::format("server-{}", i);
    server.address = "127.0.0.1:1";
    state.servers.push_back(server);
  }
  const auto base = std::make_shared<const SharedState>(state);
  Json::Value before = SharedStateToJson(state);
  Json::Value response;
  response["epoch"] = state.epoch;
  for (int i = 0; i < kVersionsInResponse; ++i) {
    Json::Value item;
    item["from"] = Json::UInt64(state.version);
    ++state.version;
    state.entries[static_cast<std::size_t>(i)].incarnation = "2";
    Json::Value after = SharedStateToJson(state);
    item["patch"] = DiffJson(before, after);
    before = std::move(after);
    response["deltas"].append(std::move(item));
  }
  response["version"] = Json::UInt64(state.version);
  const SystemClock clock;
  const TimePoint begin = clock.Now();
  const auto read = internal::ReadFeedResponse(response, base);
  const double elapsed = Seconds(clock.Now() - begin);
  if (!read || read.value()->version != state.version) {
    throw std::runtime_error("the response was not read");
  }
  checker.AtMost(fmt::format("read_{}_versions", kVersionsInResponse),
                 elapsed * 1000, "ms",
                 kInForceBoundSeconds * kEntryShare * 1000);
}

}  // namespace

void MeasureFeed(BoundChecker& checker) {
  MeasureReading(checker);
  for (const int count : kFollowerCounts) {
    MeasureFollowers(count, checker);
  }
}

}  // namespace sycamorebend
