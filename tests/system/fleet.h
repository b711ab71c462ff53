// Deployment of separate processes on loopback: control replicas, entry daemons
// and fake backend servers.
#ifndef SYCAMOREBEND_TESTS_SYSTEM_FLEET_H_
#define SYCAMOREBEND_TESTS_SYSTEM_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/http.h"
#include "sycamorebend/rpc.h"
#include "system/process.h"
#include "system/relay.h"

namespace sycamorebend {

struct FleetOptions {
  int replicas = 3;
  int entries = 3;
  int engines = 2;
  int services = 1;
  // Settings merged into those of each replica, engine, service or entry
  // daemon.
  Json::Value replica_settings{Json::objectValue};
  Json::Value engine_settings{Json::objectValue};
  Json::Value service_settings{Json::objectValue};
  Json::Value entry_settings{Json::objectValue};
  // Puts a relay in front of each control replica; replicas and entry daemons
  // know only the relays.
  bool relay_control = false;
  // Puts a relay in front of each service, which announces the relay.
  bool relay_services = false;
};

// Daemon with its settings file; can be started repeatedly.
struct Daemon {
  std::string name;
  std::string program;
  std::string address;
  std::string settings_path;
  std::string log_path;
  std::unique_ptr<ChildProcess> process;
};

// Methods throw std::runtime_error when a process fails or does not respond.
class Fleet {
 public:
  // Starts all processes, waits until they are ready, applies
  // DefaultDocument() and waits until every entry daemon can reach every
  // backend server.
  explicit Fleet(const FleetOptions& options);
  // Kills the processes that still run.
  ~Fleet() = default;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Daemon& Replica(std::size_t index) { return *this->replicas.at(index); }
  Daemon& Entry(std::size_t index) { return *this->entries.at(index); }
  Daemon& Engine(std::size_t index) { return *this->engines.at(index); }
  Daemon& Service(std::size_t index) { return *this->services.at(index); }
  std::size_t ReplicaCount() const { return this->replicas.size(); }
  std::size_t EntryCount() const { return this->entries.size(); }
  Relay& ControlRelay(std::size_t index) {
    return *this->control_relays.at(index);
  }
  HttpClient& Client() { return *this->client; }
  RpcClient& Rpc() { return *this->rpc; }
  const std::string& Directory() const { return this->directory.Path(); }

  // Writes the last part of each process's log to standard error.
  void PrintLogs() const;

  void Start(Daemon& daemon);
  void WaitReady(const Daemon& daemon);
  // Adds a control replica with a new ID and an empty data directory that can
  // join the existing set. Does not start it.
  Daemon& AddJoiningReplica(std::uint64_t id);

  // Calls a control method at the leader: tries the replicas in turn until one
  // executes it or `timeout` has passed.
  Result<Json::Value> CallControl(const std::string& method,
                                  const Json::Value& params,
                                  Duration timeout = seconds(10));
  // Waits until a replica other than `except` reports that it is the leader.
  // @return its index.
  std::size_t WaitForLeader(std::optional<std::size_t> except = std::nullopt);

  // @return the configuration version after the change.
  std::uint64_t ApplyDocument(const Json::Value& document);
  std::uint64_t ConfigurationVersion();
  // @return the configuration version in force at an entry daemon, or nothing.
  std::optional<std::uint64_t> EntryVersion(std::size_t index);
  // @return IDs of the servers to which an entry daemon sends new requests.
  std::vector<std::string> AcceptingServers(std::size_t index);

  // @return a streaming chat request as a caller sends it.
  HttpCall ChatCall(const std::string& address,
                    const std::string& prompt,
                    int max_tokens,
                    const std::string& labels = {}) const;
  // @return an order as a caller sends it.
  HttpCall OrderCall(const std::string& address,
                     const std::string& key,
                     const std::string& body) const;

  HttpResponse Post(const std::string& address,
                    const std::string& path,
                    const std::string& body);
  // Statistics of a fake backend server.
  Json::Value Stats(const Daemon& daemon);
  void SetBehaviour(const Daemon& daemon, const std::string& body);
  // @return the sum of a statistic over the running engines.
  std::uint64_t SumEngineStats(const std::string& name);

  // @return the configuration that the fleet starts with: classes `urgent`
  // (tier 0), `chat`, `batch` and `order`, one customer.
  static Json::Value DefaultDocument();
  static const std::string& ApiKey();

 private:
  Daemon& AddDaemon(std::vector<std::unique_ptr<Daemon>>& group,
                    const std::string& name,
                    const std::string& program,
                    Json::Value settings);
  void AddReplicas();
  void AddEntries();
  void AddServers();
  void WaitForServers();
  const FleetOptions options;
  TemporaryDirectory directory;
  std::unique_ptr<HttpClient> client = HttpClient::Create(4);
  std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  std::vector<std::unique_ptr<Relay>> control_relays;
  std::vector<std::string> control_addresses;
  std::vector<std::unique_ptr<Daemon>> replicas;
  std::vector<std::unique_ptr<Daemon>> entries;
  std::vector<std::unique_ptr<Daemon>> engines;
  std::vector<std::unique_ptr<Daemon>> services;
};

// @return the complete response of the fake engine to Fleet::ChatCall.
std::string ExpectedChat(const std::string& prompt, int max_tokens);

// @return the `data:` lines of a stream, without IDs and heartbeats.
std::string DataLines(const std::string& stream);

// Call whose response can be inspected while it arrives.
class OpenCall {
 public:
  OpenCall(HttpClient& client, HttpCall call);

  // Waits until the response body has at least `bytes` bytes.
  // @return false if the call ended or `limit` passed before that.
  bool WaitForBytes(std::size_t bytes, Duration limit = seconds(30));
  // Waits for the end of the call.
  // @return false if it has not ended within `limit`.
  bool WaitForEnd(Duration limit = seconds(90));
  bool Ended();
  HttpOutcome Outcome();
  int Status();
  std::string Body();
  void Cancel();

 private:
  struct State;
  std::shared_ptr<State> state;
  HttpClient& client;
  HttpCallId id;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_SYSTEM_FLEET_H_
