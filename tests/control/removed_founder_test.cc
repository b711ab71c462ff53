#define BOOST_TEST_MODULE control_removed_founder
#include <boost/test/unit_test.hpp>

#include <sys/inotify.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "controld/replica_identity.h"
#include "sycamorebend/rpc.h"
#include "sycamorebend/settings.h"
#include "system/process.h"

namespace sycamorebend {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kFounders = 3;
constexpr std::size_t kSpare = 3;
// Further replicas are started by single cases.
constexpr std::size_t kReplicas = 7;
// Well above the time of any step, so that only a failed condition reaches it.
constexpr Duration kStepTimeout = seconds(45);
constexpr Duration kCallTimeout = seconds(1);
constexpr std::string_view kExpelled = R"("expelled":true)";

// A change to the names in a directory; `to` is empty for a removal.
struct NameChange {
  std::string from;
  std::string to;
};

// Records the renames and removals in a directory in the order in which they
// are made.
class NameChangeRecorder {
 public:
  explicit NameChangeRecorder(const std::string& directory)
      : descriptor(inotify_init1(IN_CLOEXEC | IN_NONBLOCK)) {
    BOOST_REQUIRE(this->descriptor >= 0);
    BOOST_REQUIRE(inotify_add_watch(this->descriptor, directory.c_str(),
                                    IN_MOVE | IN_DELETE | IN_CREATE) >= 0);
  }
  ~NameChangeRecorder() { close(this->descriptor); }
  NameChangeRecorder(const NameChangeRecorder&) = delete;
  NameChangeRecorder& operator=(const NameChangeRecorder&) = delete;

  std::vector<NameChange> Take() const {
    std::vector<NameChange> changes;
    alignas(inotify_event) std::array<char, 1 << 16> buffer{};
    const ssize_t size = read(this->descriptor, buffer.data(), buffer.size());
    for (ssize_t offset = 0; offset < size;) {
      const auto* event =
          reinterpret_cast<const inotify_event*>(buffer.data() + offset);
      // A file that is created would have to be restored with its content.
      BOOST_REQUIRE((event->mask & IN_CREATE) == 0U);
      if ((event->mask & IN_MOVED_TO) != 0U) {
        changes.back().to = event->name;
      } else {
        changes.push_back({event->name, ""});
      }
      offset += static_cast<ssize_t>(sizeof(inotify_event) + event->len);
    }
    return changes;
  }

 private:
  const int descriptor;
};

void CopyDirectory(const std::string& from, const std::string& to) {
  fs::remove_all(to);
  fs::copy(from, to, fs::copy_options::recursive);
}

void Repeat(const NameChange& change, const std::string& directory) {
  const fs::path from = fs::path(directory) / change.from;
  if (change.to.empty()) {
    fs::remove(from);
  } else {
    fs::rename(from, fs::path(directory) / change.to);
  }
}

std::size_t Count(const std::string& text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Control replicas that find each other by `seeds`, in separate processes:
// three founders, a spare, and their successors. Each has its own loopback
// address, as all use one port.
class SeededSet {
 public:
  SeededSet() {
    const std::string free = FreeAddress();
    this->port = free.substr(free.find(':') + 1);
    for (std::size_t i = 0; i <= kSpare; ++i) {
      this->Start(i, i < kFounders);
    }
    this->Apply(1);
    this->AwaitMember(kSpare, kFounders);
  }

  std::string Address(std::size_t i) const {
    return fmt::format("127.{}.{}.{}:{}", 64 + getpid() % 128,
                       getpid() / 128 % 250, i + 1, this->port);
  }
  std::string DataDirectory(std::size_t i) const {
    return this->Path("data", i);
  }
  ChildProcess& Process(std::size_t i) { return *this->processes.at(i); }
  // @return what the replica has logged in all its runs.
  std::string Log(std::size_t i) const {
    return ReadFile(this->Path("log", i));
  }

  void WriteSettings(std::size_t i,
                     bool bootstrap,
                     const std::vector<std::size_t>& seeds) const {
    Json::Value settings;
    settings["address"] = this->Address(i);
    settings["failure_domain"] = "a";
    settings["data_directory"] = this->DataDirectory(i);
    for (const std::size_t seed : seeds) {
      settings["seeds"].append(this->Address(seed));
    }
    settings["bootstrap"] = bootstrap;
    WriteFile(this->Path("settings", i), WriteJson(settings));
  }

  void Start(std::size_t i,
             bool bootstrap,
             const std::vector<std::size_t>& seeds = {0, 1, 2}) {
    this->WriteSettings(i, bootstrap, seeds);
    this->processes.at(i) = std::make_unique<ChildProcess>(
        "sycamorebend-control",
        std::vector<std::string>{"--settings=" + this->Path("settings", i)},
        this->Path("log", i));
  }

  Result<Json::Value> Call(std::size_t i,
                           const std::string& method,
                           const std::string& params) const {
    return this->rpc->Call(this->Address(i), method, ParseJson(params).value(),
                           kCallTimeout);
  }

  // @return the ID with which a replica runs; 0 if it has none or is down.
  ReplicaId IdOf(std::size_t i) const {
    const auto status = this->Call(i, "control.status", "{}");
    return status ? status.value()["id"].asUInt64() : 0;
  }

  // @return the members by the status of the leader; nothing without a leader.
  std::optional<std::vector<ReplicatedLog::ReplicaStatus>> Members() const {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const auto status = this->Call(i, "control.status", "{}");
      if (!status || !status.value()["is_leader"].asBool()) {
        continue;
      }
      std::vector<ReplicatedLog::ReplicaStatus> members;
      for (const Json::Value& item : status.value()["replicas"]) {
        members.push_back({item["id"].asUInt64(), item["address"].asString(),
                           item["voter"].asBool(), item["reachable"].asBool(),
                           item["match_index"].asUInt64()});
      }
      return members;
    }
    return std::nullopt;
  }

  // Waits until a replica is a member under an ID above `id`.
  // @return its ID.
  ReplicaId AwaitMember(std::size_t i, ReplicaId id) const {
    ReplicaId own_id = 0;
    const bool joined = WaitFor(
        [&] {
          own_id = this->IdOf(i);
          const auto members = this->Members();
          return own_id > id && members &&
                 std::any_of(members->begin(), members->end(),
                             [&](const auto& member) {
                               return member.id == own_id &&
                                      member.address == this->Address(i);
                             });
        },
        kStepTimeout);
    BOOST_REQUIRE_MESSAGE(
        joined, fmt::format("replica {} is no member under a new ID; it was "
                            "told {} times that it was removed",
                            i, Count(this->Log(i), kExpelled)));
    return own_id;
  }

  // Waits until exactly these replicas are voters and can be reached.
  void AwaitVoters(const std::set<std::size_t>& expected) const {
    std::set<std::string> addresses;
    for (const std::size_t i : expected) {
      addresses.insert(this->Address(i));
    }
    BOOST_REQUIRE(WaitFor(
        [&] {
          std::set<std::string> voters;
          const auto members = this->Members();
          for (const auto& member :
               members.value_or(std::vector<ReplicatedLog::ReplicaStatus>())) {
            if (member.voter) {
              voters.insert(member.reachable ? member.address : "unreachable");
            }
          }
          return voters == addresses;
        },
        kStepTimeout));
  }

  // Replaces the configuration at any replica that accepts it.
  void Apply(std::uint64_t version) const {
    BOOST_REQUIRE(WaitFor(
        [&] {
          for (std::size_t i = 0; i < kReplicas; ++i) {
            if (this->Call(i, "config.replace",
                           fmt::format(R"({{"version":{},"operator":"alice",)"
                                       R"("document":{{}}}})",
                                       version))) {
              return true;
            }
          }
          return false;
        },
        kStepTimeout));
  }

  // Waits until a replica answers a read of the configuration.
  // @return the version; 0 if none answered.
  std::uint64_t ReadVersion() const {
    std::uint64_t version = 0;
    WaitFor(
        [&] {
          for (std::size_t i = 0; i < kReplicas && version == 0; ++i) {
            const auto shown = this->Call(i, "control.show", "{}");
            version = shown ? shown.value()["version"].asUInt64() : 0;
          }
          return version != 0;
        },
        kStepTimeout);
    return version;
  }

  // Stops a founder until the spare has taken its place. It is left stopped.
  void RemoveStopped(std::size_t founder) {
    this->Process(founder).Signal(SIGSTOP);
    std::set<std::size_t> others;
    for (std::size_t i = 0; i <= kSpare; ++i) {
      if (i != founder) {
        others.insert(i);
      }
    }
    this->AwaitVoters(others);
  }

 private:
  std::string Path(const std::string& kind, std::size_t i) const {
    return fmt::format("{}/{}{}", this->directory.Path(), kind, i);
  }

  const TemporaryDirectory directory;
  std::string port;
  const std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  const std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  std::array<std::unique_ptr<ChildProcess>, kReplicas> processes;
};

}  // namespace

// Guards against a founder that was removed while it stood still and founds the
// replica set again instead of joining it, so that the loss of one disk later
// loses the configuration.
BOOST_FIXTURE_TEST_CASE(FrozenFounderJoinsUnderANewId, SeededSet) {
  this->RemoveStopped(0);
  this->Process(0).Signal(SIGCONT);
  const ReplicaId joined = this->AwaitMember(0, kSpare + 1);
  BOOST_TEST(Count(this->Log(0), kExpelled) == 1U);

  this->Process(1).Signal(SIGTERM);
  this->AwaitVoters({0, 2, kSpare});
  this->Apply(2);
  this->Process(2).Kill();
  fs::remove_all(this->DataDirectory(2));
  this->Start(2, false);
  BOOST_TEST(this->ReadVersion() == 2U);
  this->AwaitVoters({0, 2, kSpare});
  BOOST_TEST(this->ReadVersion() == 2U);
  BOOST_TEST(this->IdOf(0) == joined);
  BOOST_TEST(Count(this->Log(0), kExpelled) == 1U);
}

// Guards against a removed founder that founds the replica set again after it
// was killed, or lost power, while it erased its state: with an empty log and
// an ID of the first replica set it could elect another one like it.
BOOST_FIXTURE_TEST_CASE(InterruptedErasureLeavesNoFounder, SeededSet) {
  this->RemoveStopped(0);
  this->Process(0).Kill();
  const std::string removed = this->DataDirectory(0) + ".removed";
  CopyDirectory(this->DataDirectory(0), removed);
  const std::string erased = this->DataDirectory(0) + ".erased";
  CopyDirectory(removed, erased);
  const NameChangeRecorder recorder(erased);
  BOOST_REQUIRE(EraseReplica(erased));
  const std::vector<NameChange> changes = recorder.Take();
  BOOST_REQUIRE(changes.size() > 1U);

  // The steps that are left on the disk: after a kill each number of first
  // ones, after a loss of power the first one with any one of the others.
  std::vector<std::vector<NameChange>> interrupted;
  for (std::size_t steps = 0; steps <= changes.size(); ++steps) {
    interrupted.emplace_back(
        changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(steps));
  }
  for (std::size_t step = 2; step < changes.size(); ++step) {
    interrupted.push_back({changes.front(), changes[step]});
  }
  ReplicaId last_id = kSpare + 1;
  for (const std::vector<NameChange>& done : interrupted) {
    std::string names;
    for (const NameChange& change : done) {
      names += fmt::format(" {}>{}", change.from, change.to);
    }
    BOOST_TEST_CONTEXT("steps left on the disk:" << names) {
      CopyDirectory(removed, this->DataDirectory(0));
      for (const NameChange& change : done) {
        Repeat(change, this->DataDirectory(0));
      }
      const std::string log = this->Log(0);
      this->Start(0, true);
      last_id = this->AwaitMember(0, last_id);
      BOOST_TEST(Count(this->Log(0).substr(log.size()), kExpelled) <=
                 (done.empty() ? 1U : 0U));
      this->Process(0).Kill();
    }
  }
  // A member that is started again keeps its ID.
  this->Start(0, true);
  BOOST_TEST(this->AwaitMember(0, last_id - 1) == last_id);
  BOOST_TEST(this->ReadVersion() == 1U);
}

// Guards against a replica that was removed while it was frozen, knows only
// replicas that are gone when it runs again, and stays away for good, as nobody
// tells it of the present ones.
BOOST_FIXTURE_TEST_CASE(FrozenReplicaIsToldOfItsSuccessors, SeededSet) {
  this->RemoveStopped(0);
  const struct {
    std::size_t lost;
    std::size_t successor;
    std::vector<std::size_t> seeds;
    std::set<std::size_t> voters;
  } replacements[] = {{1, 4, {2, 3}, {2, 3, 4}},
                      {2, 5, {3, 4}, {3, 4, 5}},
                      {3, 6, {4, 5}, {4, 5, 6}}};
  ReplicaId last_id = kSpare + 1;
  for (const auto& replacement : replacements) {
    this->Start(replacement.successor, false, replacement.seeds);
    last_id = this->AwaitMember(replacement.successor, last_id);
    this->Process(replacement.lost).Kill();
    this->AwaitVoters(replacement.voters);
  }
  this->Process(0).Signal(SIGCONT);
  this->AwaitMember(0, last_id);
  this->Process(4).Kill();
  this->AwaitVoters({0, 5, 6});
  BOOST_TEST(this->ReadVersion() == 1U);
}

// Guards against a replica whose seeds are all gone and that reads new ones
// only after a signal, which the platform does not send.
BOOST_FIXTURE_TEST_CASE(SeedsAreReadAgainWithoutContact, SeededSet) {
  this->Start(4, false, {5});
  BOOST_REQUIRE(WaitFor(
      [this] { return Count(this->Log(4), R"("method":"replica.join")") > 0; },
      kStepTimeout));
  this->WriteSettings(4, false, {0});
  this->AwaitMember(4, kSpare + 1);
}

}  // namespace sycamorebend
