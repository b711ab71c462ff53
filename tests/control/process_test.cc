#define BOOST_TEST_MODULE control_process
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/writer.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include "sycamorebend/feed.h"
#include "sycamorebend/rpc.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr Duration kEventuallyTimeout = seconds(60);

bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kEventuallyTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

// @return a loopback address with a port that is currently free.
std::string FreeAddress() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  BOOST_REQUIRE(bind(descriptor, generic, size) == 0);
  BOOST_REQUIRE(getsockname(descriptor, generic, &size) == 0);
  close(descriptor);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// A directory that is removed by the destructor.
struct TemporaryDirectory {
  TemporaryDirectory() {
    char name[] = "/tmp/sycamorebend_process_test_XXXXXX";
    BOOST_REQUIRE(mkdtemp(name) != nullptr);
    this->path = name;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(this->path); }
  std::string path;
};

// A child process. The destructor kills it.
class Process {
 public:
  // @param output file that receives stdout and stderr.
  Process(const std::vector<std::string>& command, const std::string& output) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command) {
      arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    this->pid = fork();
    if (this->pid == 0) {
      const int file =
          open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(file, STDOUT_FILENO);
      dup2(file, STDERR_FILENO);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
  }
  ~Process() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      this->Wait();
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const { kill(this->pid, number); }

  // @return the exit status; -1 if a signal ended the process.
  int Wait() {
    int status = 0;
    waitpid(this->pid, &status, 0);
    this->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid = 0;
};

std::string Binary(const std::string& name) {
  const char* directory = std::getenv("SB_BIN_DIR");
  return std::string(directory == nullptr ? "build/bin" : directory) + "/" +
         name;
}

// Three control replicas in separate processes.
struct Cluster {
  static constexpr std::size_t kReplicas = 3;

  Cluster() {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      this->addresses.push_back(FreeAddress());
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      this->WriteSettings(i);
      this->Start(i);
    }
  }

  std::string File(const std::string& name) const {
    return this->directory.path + "/" + name;
  }

  void WriteSettings(std::size_t i) const {
    Json::Value settings;
    settings["id"] = Json::UInt64(i + 1);
    settings["address"] = this->addresses[i];
    settings["failure_domain"] = std::string(1, static_cast<char>('a' + i));
    settings["data_directory"] = this->File("data" + std::to_string(i));
    for (std::size_t k = 0; k < kReplicas; ++k) {
      Json::Value replica;
      replica["id"] = Json::UInt64(k + 1);
      replica["address"] = this->addresses[k];
      settings["replicas"].append(replica);
    }
    std::ofstream(this->File("settings" + std::to_string(i)))
        << WriteJson(settings);
  }

  void Start(std::size_t i) {
    this->processes[i] = std::make_unique<Process>(
        std::vector<std::string>{
            Binary("sycamorebend-control"),
            "--settings=" + this->File("settings" + std::to_string(i))},
        this->File("log" + std::to_string(i)));
  }

  Result<Json::Value> Call(std::size_t i,
                           const std::string& method,
                           const std::string& params) const {
    return this->rpc->Call(this->addresses[i], method,
                           ParseJson(params).value(), seconds(5));
  }

  // @return the index of the leader, or kReplicas.
  std::size_t Leader() const {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const auto status = this->Call(i, "control.status", "{}");
      if (status && status.value()["is_leader"].asBool()) {
        return i;
      }
    }
    return kReplicas;
  }

  std::size_t AwaitLeader() const {
    std::size_t leader = kReplicas;
    BOOST_REQUIRE(Eventually([&] {
      leader = this->Leader();
      return leader < kReplicas;
    }));
    return leader;
  }

  // Sends a call to the current leader until it succeeds or fails with an error
  // that a retry would not change.
  Result<Json::Value> CallLeader(const std::string& method,
                                 const std::string& params) const {
    Result<Json::Value> result = MakeError(ResultCode::kNotLeader);
    Eventually([&] {
      const std::size_t leader = this->Leader();
      if (leader < kReplicas) {
        result = this->Call(leader, method, params);
      }
      return result || result.error().code == ResultCode::kVersionConflict ||
             result.error().code == ResultCode::kChangeIdReused;
    });
    return result;
  }

  int Ctl(std::vector<std::string> arguments) const {
    std::string control = "--control=";
    for (const std::string& address : this->addresses) {
      control += address;
      control += ",";
    }
    arguments.insert(arguments.begin(), Binary("sycamorebend-ctl"));
    arguments.push_back(control);
    return Process(arguments, this->File("ctl")).Wait();
  }

  TemporaryDirectory directory;
  std::vector<std::string> addresses;
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  std::unique_ptr<Process> processes[kReplicas];
};

bool Lists(const SharedState& state, const std::string& entry_id) {
  return std::any_of(
      state.entries.begin(), state.entries.end(),
      [&](const EntryInfo& entry) { return entry.entry_id == entry_id; });
}

std::string Change(const std::string& id, int expected) {
  return R"({"change_id":")" + id + R"(","operator":"alice",)" +
         R"("document":{"tiers":["urgent"]},"expected_version":)" +
         std::to_string(expected) + "}";
}

}  // namespace

// Guards against an accepted change that is lost or applied again when the
// leader dies before the operator receives the response, or when all replicas
// restart.
BOOST_FIXTURE_TEST_CASE(AcceptedChangeSurvivesTheLeader, Cluster) {
  const Json::Value first =
      this->CallLeader("control.apply", Change("a", 0)).value();
  const std::size_t leader = this->AwaitLeader();
  this->processes[leader]->Signal(SIGKILL);
  this->processes[leader]->Wait();
  const auto resent = this->CallLeader("control.apply", Change("a", 0));
  BOOST_REQUIRE(resent.has_value());
  BOOST_TEST(resent.value()["version"] == first["version"]);
  BOOST_TEST(this->CallLeader("control.apply", Change("b", 1)).has_value());
  for (std::size_t i = 0; i < kReplicas; ++i) {
    if (i != leader) {
      this->processes[i]->Signal(SIGKILL);
      this->processes[i]->Wait();
    }
  }
  for (std::size_t i = 0; i < kReplicas; ++i) {
    this->Start(i);
  }
  BOOST_TEST(
      this->CallLeader("control.apply", Change("a", 0)).value()["version"] ==
      first["version"]);
  BOOST_TEST(
      this->CallLeader("control.show", "{}").value()["version"].asInt() == 2);
}

// Guards against accepting the changes of two operators for the same version.
BOOST_FIXTURE_TEST_CASE(RacingOperatorsHaveOneWinner, Cluster) {
  this->AwaitLeader();
  constexpr int kOperators = 8;
  std::vector<Result<Json::Value>> results(
      kOperators, MakeError(ResultCode::kConnectFailed));
  std::vector<std::thread> threads;
  threads.reserve(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      results[i] =
          this->CallLeader("control.apply", Change(std::to_string(i), 0));
    });
  }
  int winners = 0;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const Result<Json::Value>& result : results) {
    winners += result ? 1 : 0;
    BOOST_TEST((result || result.error().code == ResultCode::kVersionConflict));
  }
  BOOST_TEST(winners == 1);
}

// Guards against a graceful stop that leaves the other replicas without a
// leader, and checks sycamorebend-ctl against real replicas.
BOOST_FIXTURE_TEST_CASE(GracefulStopTransfersLeadership, Cluster) {
  this->AwaitLeader();
  std::ofstream(this->File("fleet.json")) << R"({"tiers":["urgent"]})";
  BOOST_TEST(this->Ctl({"apply", this->File("fleet.json"),
                        "--expected-version=0", "--wait"}) == 0);
  const std::size_t leader = this->AwaitLeader();
  this->processes[leader]->Signal(SIGTERM);
  BOOST_TEST(this->processes[leader]->Wait() == 0);
  BOOST_TEST(this->Ctl({"drain", "engine-1"}) == 0);
  BOOST_TEST(this->Ctl({"apply", this->File("fleet.json"),
                        "--expected-version=0"}) == 4);
  BOOST_TEST(this->Ctl({"status"}) == 0);
}

// Guards against an entry daemon that is removed from the shared state or
// misses a change when the leader dies, and against one that is not removed
// after it has stopped.
BOOST_FIXTURE_TEST_CASE(FeedSurvivesTheLeader, Cluster) {
  const SystemClock clock;
  std::atomic<bool> listed{false};
  std::atomic<bool> lost{false};
  const auto start = [&](const std::string& id) {
    FeedFollowerOptions options;
    options.self = {id, FreeAddress(), "a", "1", false, ""};
    options.replicas = this->addresses;
    return FeedFollower::Start(
        options, *this->rpc, clock,
        [&](const std::shared_ptr<const SharedState>& state) {
          const bool found = Lists(*state, "e1");
          listed = listed || found;
          lost = lost || (listed && !found);
        });
  };
  const auto follower = start("e1");
  const auto short_lived = start("e2");
  BOOST_TEST(Eventually([&] {
    const auto state = follower->Current();
    return state != nullptr && Lists(*state, "e1") && Lists(*state, "e2");
  }));
  const std::size_t leader = this->AwaitLeader();
  this->processes[leader]->Signal(SIGKILL);
  this->processes[leader]->Wait();
  BOOST_TEST(this->CallLeader("control.apply", Change("a", 0)).has_value());
  BOOST_TEST(Eventually(
      [&] { return follower->Current()->configuration_version == 1; }));
  short_lived->Stop();
  // The new leader grants a full lease before it expires an entry daemon.
  BOOST_TEST(Eventually([&] { return !Lists(*follower->Current(), "e2"); }));
  BOOST_TEST(!lost);
  BOOST_TEST((follower->ConfirmationAge() < seconds(8)));
  follower->Stop();
}

// Guards against granting an order twice when the leader changes between the
// order and its retry.
BOOST_FIXTURE_TEST_CASE(OrderIsGrantedOnceAcrossLeaders, Cluster) {
  const std::string order =
      R"("customer":"c","key":"k","body_digest":"d","entry_id":"e")";
  const auto begin = [&](const std::string& attempt) {
    return this
        ->CallLeader("order.begin",
                     "{" + order + R"(,"attempt_id":")" + attempt + "\"}")
        .value();
  };
  BOOST_TEST(begin("1")["granted"].asBool());
  const std::size_t leader = this->AwaitLeader();
  this->processes[leader]->Signal(SIGKILL);
  this->processes[leader]->Wait();
  const Json::Value again = begin("2");
  BOOST_TEST(!again["granted"].asBool());
  BOOST_TEST(again["record"]["state"] == "started");
}

}  // namespace sycamorebend
