// The programs of both roles as separate processes, with the settings that the
// templates in deploy/ give them. Each has its own loopback address, as ports
// are the same on all VMs.
#define BOOST_TEST_MODULE platform_fleet
#include <boost/test/unit_test.hpp>

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "platform/rendered_settings.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/http.h"
#include "sycamorebend/rpc.h"
#include "sycamorebend/settings.h"
#include "system/process.h"

namespace sycamorebend::platform {

namespace {

// Well above the time of any step, so that only a failed condition reaches it.
constexpr Duration kStepTimeout = seconds(30);
constexpr Duration kFetchTimeout = seconds(2);

constexpr const char* kSettingsVariable = "SYCAMOREBEND_SETTINGS";
constexpr const char* kVersionMetric =
    "sycamorebend_gateway_configuration_version";

std::string PortOf(const std::string& address) {
  return address.substr(address.find(':') + 1);
}

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

// @return the value of a metric without labels; -1 if the page lacks it.
double ReadMetric(const std::string& page, const std::string& name) {
  const auto found = page.find("\n" + name + " ");
  return found == std::string::npos
             ? -1
             : std::strtod(page.c_str() + found + name.size() + 2, nullptr);
}

class PlatformFleet {
 public:
  // @param max_followers limit of each control replica.
  PlatformFleet(std::size_t replicas,
                std::size_t gateways,
                std::size_t max_followers)
      : replica_count(replicas) {
    for (std::size_t i = 0; i < replicas + gateways; ++i) {
      this->machines.push_back(
          this->WriteMachine(i, i < replicas, max_followers));
      this->Start(i);
    }
  }

  std::size_t Gateways() const {
    return this->machines.size() - this->replica_count;
  }

  void Start(std::size_t index) {
    Machine& machine = this->machines[index];
    setenv(kSettingsVariable, machine.settings_path.c_str(), 1);
    machine.process = std::make_unique<ChildProcess>(
        machine.program, std::vector<std::string>(),
        machine.settings_path + ".log");
  }

  ChildProcess& Replica(std::size_t index) {
    return *this->machines.at(index).process;
  }

  // @return true if a replica acknowledged the configuration.
  bool Replace(std::uint64_t version) {
    Json::Value document =
        ParseJson(R"({"route_table": [{"name": "r", "hostname": "h.example",
            "path_prefix": "/a/", "route_type": "idempotent",
            "timeout_ms": 1500, "priority": 2, "backend": "app",
            "max_attempts": 1, "public": true}],
          "backends": [{"name": "app", "max_connections": 110}],
          "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                     "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
          "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 1}]})")
            .value();
    document["version"] = Json::UInt64(version);
    for (std::size_t i = 0; i < this->replica_count; ++i) {
      HttpCall call;
      call.method = "POST";
      call.url = "http://" + this->machines[i].ip + ":" + this->api_port +
                 "/api/config/replace";
      call.headers = {{"Content-Type", "application/json"}};
      call.body = WriteJson(document);
      call.total_timeout = kFetchTimeout;
      const Result<HttpResponse> response = this->client->Fetch(call);
      if (response && response.value().status == 200) {
        return true;
      }
    }
    return false;
  }

  // @return the body of a successful GET; empty if it failed.
  std::string Get(const std::string& url) {
    HttpCall call;
    call.method = "GET";
    call.url = url;
    call.total_timeout = kFetchTimeout;
    const Result<HttpResponse> response = this->client->Fetch(call);
    return response && response.value().status == 200 ? response.value().body
                                                      : std::string();
  }

  // @return true if callers get a response with an HTTP status at `address`.
  bool Serves(const std::string& address) {
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + address + "/a/";
    call.headers = {{"Host", "h.example"}};
    call.total_timeout = kFetchTimeout;
    return this->client->Fetch(call).has_value();
  }

  // @return the addresses of gateways that a replica gives to callers.
  Json::Value LookUp(std::size_t replica) {
    const Result<Json::Value> body =
        ParseJson(this->Get("http://" + this->machines.at(replica).ip + ":" +
                            this->directory_port + "/api/resolve"));
    return body ? body.value()["addresses"] : Json::Value();
  }

  // @return the shared state that the control replica at `address` serves.
  Json::Value SharedStateAt(const std::string& address) {
    Json::Value params;
    params["wait_ms"] = 0;
    const Result<Json::Value> response = this->rpc->Call(
        address, std::string(kFeedPollMethod), params, kFetchTimeout);
    return response ? response.value()["snapshot"] : Json::Value();
  }

  // @return number of voters in the replica set.
  std::size_t Voters() {
    const Result<Json::Value> status = this->rpc->Call(
        this->ReplicaAddress(this->replica_count - 1), "control.status",
        Json::Value(Json::objectValue), kFetchTimeout);
    std::size_t voters = 0;
    if (status) {
      for (const Json::Value& replica : status.value()["replicas"]) {
        voters += replica["voter"].asBool() ? 1 : 0;
      }
    }
    return voters;
  }

  std::string ReplicaAddress(std::size_t replica) const {
    return this->machines.at(replica).ip + ":" + this->internal_port;
  }

  // @return the metrics page of a gateway; empty if it does not respond.
  std::string Metrics(std::size_t gateway) {
    return this->Get("http://" +
                     this->machines.at(this->replica_count + gateway).ip + ":" +
                     this->admin_port + "/metrics");
  }

  // @return number of gateways that have a version of the configuration, or a
  // newer one, in force.
  std::size_t InForce(std::uint64_t version) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->Gateways(); ++i) {
      count += ReadMetric(this->Metrics(i), kVersionMetric) >=
                       static_cast<double>(version)
                   ? 1
                   : 0;
    }
    return count;
  }

  // @return the logs of all gateways.
  std::string GatewayLogs() const {
    std::string logs;
    for (std::size_t i = this->replica_count; i < this->machines.size(); ++i) {
      logs += ReadFile(this->machines[i].settings_path + ".log");
    }
    return logs;
  }

 private:
  struct Machine {
    std::string ip;
    std::string program;
    std::string settings_path;
    std::unique_ptr<ChildProcess> process;
  };

  std::string IpOf(std::size_t index) const {
    return "127." + std::to_string(64 + getpid() % 128) + "." +
           std::to_string(getpid() / 128 % 250) + "." +
           std::to_string(index + 1);
  }

  Machine WriteMachine(std::size_t index,
                       bool is_replica,
                       std::size_t max_followers) {
    Machine machine;
    machine.ip = this->IpOf(index);
    machine.program = is_replica ? "sycamorebend-platform-control"
                                 : "sycamorebend-platform-gateway";
    const std::string name =
        (is_replica ? "control-" : "gateway-") + std::to_string(index);
    machine.settings_path = this->directory.Path() + "/" + name;
    const auto at = [&machine](const std::string& port) {
      return Quoted(machine.ip + ":" + port);
    };
    // Three of the replicas are named at the start, however many there are.
    const auto seed = [this](std::size_t i) {
      return Quoted(this->IpOf(i) + ":" + this->api_port);
    };
    const TemplateFields fields = {
        {"ip", machine.ip},
        {"node_name|json", Quoted(name)},
        {"listen.frontend|json", at(this->caller_port)},
        {"listen.readiness|json", at(this->admin_port)},
        {"listen.control_plane|json", at(this->api_port)},
        {"listen.registry|json", at(this->directory_port)},
        {"internal_ports.0", this->internal_port},
        {"seed_nodes|json",
         "[" + seed(0) + "," + seed(1) + "," + seed(2) + "]"},
        {"data_dir|json", Quoted(machine.settings_path + ".data")},
        {"fault_tolerance.nodes", "2"}};
    std::string text =
        RenderTemplate(is_replica ? "control.json" : "gateway.json", fields);
    const std::string limit = "\"max_followers\": ";
    const auto found = text.find(limit);
    if (is_replica) {
      BOOST_REQUIRE(found != std::string::npos);
      text.replace(found + limit.size(),
                   text.find(',', found) - found - limit.size(),
                   std::to_string(max_followers));
    }
    WriteFile(machine.settings_path, text);
    return machine;
  }

  const std::size_t replica_count;
  const TemporaryDirectory directory;
  const std::string caller_port = PortOf(FreeAddress());
  const std::string admin_port = PortOf(FreeAddress());
  const std::string api_port = PortOf(FreeAddress());
  const std::string directory_port = PortOf(FreeAddress());
  const std::string internal_port = PortOf(FreeAddress());
  const std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  const std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  std::vector<Machine> machines;
};

}  // namespace

// Guards against gateways that get no change of the configuration because the
// replicas that are left are full, and refer them to daemons that do not serve
// the feed.
BOOST_AUTO_TEST_CASE(ChangeReachesGatewaysBeyondTheLimitOfTheReplicas) {
  constexpr std::size_t kReplicas = 5;
  constexpr std::size_t kGateways = 12;
  constexpr std::size_t kMaxFollowers = 2;
  PlatformFleet fleet(kReplicas, kGateways, kMaxFollowers);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(1); }, kStepTimeout));
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(1) == kGateways; }, kStepTimeout));
  // The loss of two replicas is borne once all are voters.
  BOOST_REQUIRE(
      WaitFor([&] { return fleet.Voters() == kReplicas; }, kStepTimeout));
  // One of the two lost replicas refuses connections, the other is silent.
  fleet.Replica(0).Kill();
  fleet.Replica(1).Signal(SIGSTOP);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(2); }, kStepTimeout));
  BOOST_TEST(
      WaitFor([&] { return fleet.InForce(2) == kGateways; }, kStepTimeout));
  // No gateway was asked for the feed.
  BOOST_TEST(fleet.GatewayLogs().find("\"target\":\"/rpc\"") ==
             std::string::npos);
}

// Guards against an address in the shared state or in a look-up at which the
// named program does not serve what the address is given out for.
BOOST_AUTO_TEST_CASE(AddressesGivenOutAreServed) {
  constexpr std::size_t kReplicas = 3;
  constexpr std::size_t kGateways = 2;
  PlatformFleet fleet(kReplicas, kGateways, /*max_followers=*/8);
  BOOST_REQUIRE(WaitFor([&] { return fleet.Replace(1); }, kStepTimeout));
  const auto complete = [&] {
    const Json::Value state = fleet.SharedStateAt(fleet.ReplicaAddress(0));
    return state["entries"].size() == kGateways &&
           state["replicas"].size() == kReplicas;
  };
  BOOST_REQUIRE(WaitFor(complete, kStepTimeout));
  const Json::Value state = fleet.SharedStateAt(fleet.ReplicaAddress(0));
  for (const Json::Value& replica : state["replicas"]) {
    BOOST_TEST(fleet.SharedStateAt(replica.asString()).isObject());
  }
  // A gateway does not serve the feed, so it must not be given out as a relay.
  for (const Json::Value& entry : state["entries"]) {
    BOOST_TEST(!entry.isMember("feed_address"));
  }
  const Json::Value addresses = fleet.LookUp(0);
  BOOST_TEST(addresses.size() == kGateways);
  for (const Json::Value& address : addresses) {
    BOOST_TEST(fleet.Serves(address.asString()));
  }
}

}  // namespace sycamorebend::platform
