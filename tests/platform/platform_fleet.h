// The programs of both roles as separate processes, with the settings that the
// templates in deploy/ give them. Each has its own loopback address, as ports
// are the same on all VMs.
#ifndef SYCAMOREBEND_TESTS_PLATFORM_PLATFORM_FLEET_H_
#define SYCAMOREBEND_TESTS_PLATFORM_PLATFORM_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

#include "platform/rendered_settings.h"
#include "sycamorebend/http.h"
#include "sycamorebend/rpc.h"
#include "system/process.h"

namespace sycamorebend::platform {

// Well above the time of any step, so that only a failed condition reaches it.
constexpr Duration kStepTimeout = seconds(30);

class PlatformFleet {
 public:
  // Starts all processes.
  // @param max_followers limit of each control replica.
  // @param silent_seeds number of addresses that the gateways know beside
  // those of replicas, as of machines that are gone: connections to these are
  // not refused, and nothing responds.
  // @param changes template fields that replace the default ones.
  PlatformFleet(std::size_t replicas,
                std::size_t gateways,
                std::size_t max_followers,
                std::size_t silent_seeds = 0,
                TemplateFields changes = {});
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  std::size_t Gateways() const {
    return this->machines.size() - this->replica_count;
  }
  ChildProcess& Replica(std::size_t index) {
    return *this->machines.at(index).process;
  }
  ChildProcess& Gateway(std::size_t index) {
    return *this->machines.at(this->replica_count + index).process;
  }
  void StartReplica(std::size_t index) { this->Start(index); }
  void StartGateway(std::size_t index) {
    this->Start(this->replica_count + index);
  }
  // Kills a replica and deletes its data directory.
  void LoseDisk(std::size_t replica);
  // Kills a replica for good, and starts another one with an empty disk at a
  // new address. Its seeds are the other replicas; those of the gateways stay.
  void ReplaceReplica(std::size_t replica);
  // Kills all processes at once and starts them again.
  void RestartAll();

  // @return the result of an RPC to a replica; null if it fails.
  Json::Value CallReplica(std::size_t replica, const std::string& method);

  // Sends a configuration with `routes` to the service "app", by default one
  // open route "/a/" of host "h.example".
  // @param first replica to which it is sent first.
  // @return true if a replica acknowledged it.
  bool Replace(std::uint64_t version,
               std::size_t first = 0,
               const Json::Value& routes = {});
  // Sets the rules by which the number of servers of "app" is decided, for the
  // configurations sent from now on.
  void SetScaling(const Json::Value& rules) { this->scaling = rules; }
  // Reports an engine of a service, "app" or "faulty", as ready.
  // @return true if a replica acknowledged it.
  bool Announce(const std::string& engine,
                const std::string& address,
                const std::string& service = "app");

  // @return true if callers get a response with an HTTP status at `address`.
  bool Serves(const std::string& address);
  // @return the addresses of gateways that a replica gives to callers.
  Json::Value LookUp(std::size_t replica);
  // @return the shared state that the control replica at `address` serves.
  Json::Value SharedStateAt(const std::string& address);
  // @return the index of the leader; the number of replicas if there is none.
  std::size_t Leader();
  // @return number of voters in the replica set.
  std::size_t Voters();
  // @return the addresses of the voters; none without a leader.
  std::set<std::string> VoterAddresses();
  // @return true if the voters of the replica set are the present replicas, and
  // no other.
  bool PresentReplicasVote();
  std::string ReplicaAddress(std::size_t replica) const;
  std::string CallerAddress(std::size_t gateway) const;
  // @return the metrics page of a gateway; empty if it does not respond.
  std::string Metrics(std::size_t gateway);
  // @return number of gateways that have a version of the configuration, or a
  // newer one, in force.
  std::size_t InForce(std::uint64_t version);
  // @return number of requests that a gateway has in work; -1 if it does not
  // respond.
  int OpenRequests(std::size_t gateway);
  // @return the logs of all gateways.
  std::string GatewayLogs() const;
  // @return the versions of the configuration that gateways have put in force,
  // those of the current process of each.
  std::vector<std::uint64_t> VersionsInForceSinceStart() const;

 private:
  struct Machine {
    std::string ip;
    std::string program;
    std::string settings_path;
    std::unique_ptr<ChildProcess> process;
    // Size of the log when the process was started.
    std::size_t log_start = 0;
  };

  // What the settings of a machine say of the replicas.
  struct Bootstrap {
    bool first_start = true;
    // IPs of the seeds.
    std::vector<std::string> seeds;
  };

  void Start(std::size_t index);
  static std::string DataPath(const Machine& machine) {
    return machine.settings_path + ".data";
  }
  static std::string LogPath(const Machine& machine) {
    return machine.settings_path + ".log";
  }
  std::string IpOf(std::size_t index) const;
  void ListenSilently(const std::string& ip);
  // @return the result of `control.status` at a replica; null if it fails.
  Json::Value StatusAt(std::size_t replica);
  Machine WriteMachine(std::size_t index,
                       bool is_replica,
                       const Bootstrap& bootstrap);
  // @param first replica to which it is sent first.
  // @return true if a replica responded with success.
  bool PostToReplicas(const std::string& path,
                      const Json::Value& body,
                      std::size_t first = 0);
  // @return the body of a successful GET; empty if it failed.
  std::string Get(const std::string& url);

  const std::size_t replica_count;
  const std::size_t max_followers;
  const TemplateFields changes;
  const TemporaryDirectory directory;
  const std::string caller_port;
  const std::string admin_port;
  const std::string api_port;
  const std::string directory_port;
  const std::string internal_port;
  const std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  const std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  // Addresses and sockets of the silent seeds.
  std::vector<std::string> silent_ips;
  Json::Value scaling;
  std::vector<int> silent_sockets;
  std::vector<Machine> machines;
  // Index of the next machine, which gives it its address.
  std::size_t next_index = 0;
};

}  // namespace sycamorebend::platform

#endif  // SYCAMOREBEND_TESTS_PLATFORM_PLATFORM_FLEET_H_
