#include "controld/control_settings.h"

#include <limits>
#include <set>

namespace sycamorebend {

namespace {

constexpr milliseconds kMinDuration{10};
constexpr milliseconds kMaxDuration{60000};
constexpr std::int64_t kMaxId = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxFollowers = 500;
constexpr std::int64_t kMaxToleratedLosses = 4;
constexpr std::int64_t kDefaultToleratedLosses = 1;

milliseconds Milliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

void ReadTimings(SettingsObject& root, ConsensusTimings& timings) {
  SettingsObject object = root.GetObject("timings");
  const auto time = [&object](const std::string& key, Duration& value) {
    value = object.GetMilliseconds(key, kMinDuration, kMaxDuration,
                                   Milliseconds(value));
  };
  time("heartbeat_ms", timings.heartbeat);
  time("election_timeout_min_ms", timings.election_timeout_min);
  time("election_timeout_max_ms", timings.election_timeout_max);
  time("lease_ms", timings.lease);
  time("request_timeout_ms", timings.request_timeout);
  if (timings.election_timeout_max < timings.election_timeout_min) {
    object.Reject("election_timeout_max_ms",
                  "at least election_timeout_min_ms");
  }
  if (timings.lease >= timings.election_timeout_min) {
    object.Reject("lease_ms", "less than election_timeout_min_ms");
  }
  if (timings.heartbeat >= timings.lease) {
    object.Reject("heartbeat_ms", "less than lease_ms");
  }
}

void ReadReplicas(SettingsObject& root, ReplicatedLogOptions& options) {
  std::set<ReplicaId> ids;
  for (SettingsObject& object : root.GetObjectList("replicas")) {
    ReplicaAddress replica;
    replica.id = object.GetInteger("id", 1, kMaxId);
    replica.address = object.GetAddress("address");
    if (!ids.insert(replica.id).second) {
      object.Reject("id", "an ID that no other replica has");
    }
    options.initial_replicas.push_back(std::move(replica));
  }
  if (!options.join && ids.count(options.id) == 0) {
    root.Reject("replicas",
                "a list that contains this replica's \"id\", unless \"join\" "
                "is true");
  }
}

// @return `address` with the port of `other`.
std::string WithPortOf(const std::string& address, const std::string& other) {
  return address.substr(0, address.find(':')) + other.substr(other.find(':'));
}

void ReadSeeds(SettingsObject& root, ControlSettings& settings) {
  for (const std::string& seed : root.GetAddressList("seeds")) {
    settings.seeds.push_back(WithPortOf(seed, settings.log.address));
  }
  settings.bootstrap = root.GetBool("bootstrap", false);
  // A majority of the voters must remain after the tolerated losses.
  settings.voters = 2 * static_cast<int>(root.GetInteger(
                            "tolerated_losses", 0, kMaxToleratedLosses,
                            kDefaultToleratedLosses)) +
                    1;
  if (settings.seeds.empty()) {
    root.Reject("seeds", "at least one address");
  }
}

}  // namespace

Result<ControlSettings> ReadControlSettings(SettingsObject root) {
  ControlSettings settings;
  settings.log.address = root.GetAddress("address");
  settings.failure_domain = root.GetString("failure_domain");
  settings.log.data_directory = root.GetString("data_directory");
  if (root.Has("seeds")) {
    ReadSeeds(root, settings);
  } else {
    settings.log.id = root.GetInteger("id", 1, kMaxId);
    settings.log.join = root.GetBool("join", false);
    ReadReplicas(root, settings.log);
  }
  ReadTimings(root, settings.log.timings);
  settings.feed.entry_lease =
      root.GetMilliseconds("entry_lease_ms", milliseconds(1000), kMaxDuration,
                           Milliseconds(settings.feed.entry_lease));
  settings.feed.max_followers = static_cast<std::size_t>(
      root.GetInteger("max_followers", 1, kMaxFollowers,
                      static_cast<int>(settings.feed.max_followers)));
  settings.log_threshold = ReadLogSeverity(root);
  BOOST_OUTCOME_TRY(root.Finish());
  return settings;
}

}  // namespace sycamorebend
