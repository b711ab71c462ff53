#include "platform/platform_fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <sstream>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "platform/rendered_settings.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::platform {

namespace {

constexpr int kOk = 200;
constexpr Duration kFetchTimeout = seconds(2);
constexpr const char* kSettingsVariable = "SYCAMOREBEND_SETTINGS";
constexpr const char* kVersionMetric =
    "sycamorebend_gateway_configuration_version";

std::string UnusedPort() {
  const std::string address = FreeAddress();
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

}  // namespace

PlatformFleet::PlatformFleet(std::size_t replicas,
                             std::size_t gateways,
                             std::size_t max_followers,
                             std::size_t silent_seeds,
                             TemplateFields changes)
    : replica_count(replicas),
      max_followers(max_followers),
      changes(std::move(changes)),
      caller_port(UnusedPort()),
      admin_port(UnusedPort()),
      api_port(UnusedPort()),
      directory_port(UnusedPort()),
      internal_port(UnusedPort()) {
  for (std::size_t i = 0; i < silent_seeds; ++i) {
    this->silent_ips.push_back(this->IpOf(replicas + gateways + i));
    this->ListenSilently(this->silent_ips.back());
  }
  // Three of the replicas are named at the start, however many there are.
  Bootstrap bootstrap{true, {this->IpOf(0), this->IpOf(1), this->IpOf(2)}};
  for (std::size_t i = 0; i < replicas + gateways; ++i) {
    if (i == replicas) {
      bootstrap.seeds.insert(bootstrap.seeds.end(), this->silent_ips.begin(),
                             this->silent_ips.end());
    }
    this->machines.push_back(this->WriteMachine(i, i < replicas, bootstrap));
    this->Start(i);
  }
  this->next_index = replicas + gateways + silent_seeds;
}

PlatformFleet::~PlatformFleet() {
  for (const int socket_fd : this->silent_sockets) {
    close(socket_fd);
  }
}

void PlatformFleet::ListenSilently(const std::string& ip) {
  constexpr int kBacklog = 128;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(this->internal_port)));
  BOOST_REQUIRE(inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1);
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BOOST_REQUIRE(socket_fd >= 0);
  this->silent_sockets.push_back(socket_fd);
  // Connections are accepted by the system and never read.
  BOOST_REQUIRE(bind(socket_fd, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address)) == 0);
  BOOST_REQUIRE(listen(socket_fd, kBacklog) == 0);
}

void PlatformFleet::Start(std::size_t index) {
  Machine& machine = this->machines[index];
  setenv(kSettingsVariable, machine.settings_path.c_str(), 1);
  machine.log_start = ReadFile(LogPath(machine)).size();
  machine.process = std::make_unique<ChildProcess>(
      machine.program, std::vector<std::string>(), LogPath(machine));
}

void PlatformFleet::LoseDisk(std::size_t replica) {
  Machine& machine = this->machines.at(replica);
  machine.process->Kill();
  std::filesystem::remove_all(DataPath(machine));
}

void PlatformFleet::ReplaceReplica(std::size_t replica) {
  this->machines.at(replica).process->Kill();
  Bootstrap bootstrap{false, {}};
  for (std::size_t i = 0; i < this->replica_count; ++i) {
    if (i != replica) {
      bootstrap.seeds.push_back(this->machines[i].ip);
    }
  }
  this->machines[replica] =
      this->WriteMachine(this->next_index++, /*is_replica=*/true, bootstrap);
  this->Start(replica);
}

void PlatformFleet::RestartAll() {
  for (const Machine& machine : this->machines) {
    machine.process->Signal(SIGKILL);
  }
  for (std::size_t i = 0; i < this->machines.size(); ++i) {
    this->machines[i].process->Kill();
  }
  for (std::size_t i = 0; i < this->machines.size(); ++i) {
    this->Start(i);
  }
}

bool PlatformFleet::PostToReplicas(const std::string& path,
                                   const Json::Value& body,
                                   std::size_t first) {
  for (std::size_t i = 0; i < this->replica_count; ++i) {
    const Machine& replica = this->machines[(first + i) % this->replica_count];
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + replica.ip + ":" + this->api_port + path;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = WriteJson(body);
    call.total_timeout = kFetchTimeout;
    const Result<HttpResponse> response = this->client->Fetch(call);
    if (response && response.value().status == kOk) {
      return true;
    }
  }
  return false;
}

bool PlatformFleet::Replace(std::uint64_t version,
                            std::size_t first,
                            const Json::Value& routes) {
  Json::Value document =
      ParseJson(R"({"route_table": [{"name": "r", "hostname": "h.example",
          "path_prefix": "/a/", "route_type": "idempotent",
          "timeout_ms": 1500, "priority": 2, "backend": "app",
          "max_attempts": 2, "public": true}],
        "backends": [{"name": "app", "max_connections": 110},
                     {"name": "faulty", "max_connections": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 1}]})")
          .value();
  document["version"] = Json::UInt64(version);
  if (!routes.isNull()) {
    document["route_table"] = routes;
  }
  if (!this->scaling.isNull()) {
    document["backends"][0]["autoscaling"] = this->scaling;
  }
  return this->PostToReplicas("/api/config/replace", document, first);
}

bool PlatformFleet::Announce(const std::string& engine,
                             const std::string& address,
                             const std::string& service) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  Json::Value body;
  body["backend"] = service;
  body["address"] = address;
  body["zone"] = "a";
  body["state"] = "ready";
  body["slots"] = 8;
  body["sequence"] = Json::UInt64(now / milliseconds(1));
  body["born"] = 1;
  return this->PostToReplicas("/api/instances/" + engine + "/heartbeat", body);
}

std::string PlatformFleet::Get(const std::string& url) {
  HttpCall call;
  call.method = "GET";
  call.url = url;
  call.total_timeout = kFetchTimeout;
  const Result<HttpResponse> response = this->client->Fetch(call);
  return response && response.value().status == kOk ? response.value().body
                                                    : std::string();
}

bool PlatformFleet::Serves(const std::string& address) {
  HttpCall call;
  call.method = "GET";
  call.url = "http://" + address + "/a/";
  call.headers = {{"Host", "h.example"}};
  call.total_timeout = kFetchTimeout;
  return this->client->Fetch(call).has_value();
}

Json::Value PlatformFleet::LookUp(std::size_t replica) {
  const Result<Json::Value> body =
      ParseJson(this->Get("http://" + this->machines.at(replica).ip + ":" +
                          this->directory_port + "/api/resolve"));
  return body ? body.value()["addresses"] : Json::Value();
}

Json::Value PlatformFleet::SharedStateAt(const std::string& address) {
  Json::Value params;
  params["wait_ms"] = 0;
  const Result<Json::Value> response = this->rpc->Call(
      address, std::string(kFeedPollMethod), params, kFetchTimeout);
  return response ? response.value()["snapshot"] : Json::Value();
}

Json::Value PlatformFleet::CallReplica(std::size_t replica,
                                       const std::string& method) {
  const Result<Json::Value> response =
      this->rpc->Call(this->ReplicaAddress(replica), method,
                      Json::Value(Json::objectValue), kFetchTimeout);
  return response ? response.value() : Json::Value();
}

Json::Value PlatformFleet::StatusAt(std::size_t replica) {
  return this->CallReplica(replica, "control.status");
}

std::size_t PlatformFleet::Leader() {
  for (std::size_t i = 0; i < this->replica_count; ++i) {
    if (this->StatusAt(i)["is_leader"] == Json::Value(true)) {
      return i;
    }
  }
  return this->replica_count;
}

std::size_t PlatformFleet::Voters() {
  const Json::Value status = this->StatusAt(this->replica_count - 1);
  std::size_t voters = 0;
  for (const Json::Value& replica : status["replicas"]) {
    voters += replica["voter"].asBool() ? 1 : 0;
  }
  return voters;
}

std::set<std::string> PlatformFleet::VoterAddresses() {
  std::set<std::string> voters;
  const std::size_t leader = this->Leader();
  if (leader == this->replica_count) {
    return voters;
  }
  const Json::Value status = this->StatusAt(leader);
  for (const Json::Value& replica : status["replicas"]) {
    if (replica["voter"].asBool()) {
      voters.insert(replica["address"].asString());
    }
  }
  return voters;
}

bool PlatformFleet::PresentReplicasVote() {
  std::set<std::string> present;
  for (std::size_t i = 0; i < this->replica_count; ++i) {
    present.insert(this->ReplicaAddress(i));
  }
  return this->VoterAddresses() == present;
}

std::string PlatformFleet::ReplicaAddress(std::size_t replica) const {
  return this->machines.at(replica).ip + ":" + this->internal_port;
}

std::string PlatformFleet::CallerAddress(std::size_t gateway) const {
  return this->machines.at(this->replica_count + gateway).ip + ":" +
         this->caller_port;
}

std::string PlatformFleet::Metrics(std::size_t gateway) {
  return this->Get("http://" +
                   this->machines.at(this->replica_count + gateway).ip + ":" +
                   this->admin_port + "/metrics");
}

std::size_t PlatformFleet::InForce(std::uint64_t version) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < this->Gateways(); ++i) {
    count += ReadMetric(this->Metrics(i), kVersionMetric) >=
                     static_cast<double>(version)
                 ? 1
                 : 0;
  }
  return count;
}

int PlatformFleet::OpenRequests(std::size_t gateway) {
  return static_cast<int>(
      ReadMetric(this->Metrics(gateway), "sycamorebend_gateway_open_requests"));
}

std::string PlatformFleet::GatewayLogs() const {
  std::string logs;
  for (std::size_t i = this->replica_count; i < this->machines.size(); ++i) {
    logs += ReadFile(LogPath(this->machines[i]));
  }
  return logs;
}

std::vector<std::uint64_t> PlatformFleet::VersionsInForceSinceStart() const {
  std::vector<std::uint64_t> versions;
  for (std::size_t i = this->replica_count; i < this->machines.size(); ++i) {
    const Machine& machine = this->machines[i];
    std::istringstream lines(
        ReadFile(LogPath(machine)).substr(machine.log_start));
    for (std::string line; std::getline(lines, line);) {
      const Result<Json::Value> event = ParseJson(line);
      if (event && event.value()["name"] == "configuration_in_force") {
        versions.push_back(event.value()["version"].asUInt64());
      }
    }
  }
  return versions;
}

std::string PlatformFleet::IpOf(std::size_t index) const {
  return "127." + std::to_string(64 + getpid() % 128) + "." +
         std::to_string(getpid() / 128 % 250) + "." + std::to_string(index + 1);
}

PlatformFleet::Machine PlatformFleet::WriteMachine(std::size_t index,
                                                   bool is_replica,
                                                   const Bootstrap& bootstrap) {
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
  Json::Value seeds(Json::arrayValue);
  for (const std::string& ip : bootstrap.seeds) {
    seeds.append(ip + ":" + this->api_port);
  }
  TemplateFields fields = {
      {"ip", machine.ip},
      {"node_name|json", Quoted(name)},
      {"listen.frontend|json", at(this->caller_port)},
      {"listen.readiness|json", at(this->admin_port)},
      {"listen.control_plane|json", at(this->api_port)},
      {"listen.registry|json", at(this->directory_port)},
      {"internal_ports.0", this->internal_port},
      {"seed_nodes|json", WriteJson(seeds)},
      {"bootstrap", bootstrap.first_start ? "true" : "false"},
      {"data_dir|json", Quoted(DataPath(machine))},
      {"fault_tolerance.nodes", "2"}};
  for (const auto& [field, value] : this->changes) {
    fields[field] = value;
  }
  std::string text =
      RenderTemplate(is_replica ? "control.json" : "gateway.json", fields);
  const std::string limit = "\"max_followers\": ";
  const auto found = text.find(limit);
  if (is_replica) {
    BOOST_REQUIRE(found != std::string::npos);
    text.replace(found + limit.size(),
                 text.find(',', found) - found - limit.size(),
                 std::to_string(this->max_followers));
  }
  WriteFile(machine.settings_path, text);
  return machine;
}

}  // namespace sycamorebend::platform
