#include "system/fleet.h"

#include <algorithm>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>

#include "load/expected_completion.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

// The timeouts are long, because the tests check results, not speed.
constexpr Duration kReadyTimeout = seconds(60);
constexpr Duration kRetryPause = milliseconds(50);
constexpr std::size_t kPrintedLogBytes = 6000;
constexpr int kStatusOk = 200;

void Require(bool condition, const std::string& message) {
  if (!condition) {
    throw std::runtime_error(message);
  }
}

Json::Value StringList(const std::vector<std::string>& items) {
  Json::Value list(Json::arrayValue);
  for (const std::string& item : items) {
    list.append(item);
  }
  return list;
}

void MergeMembers(Json::Value& object, const Json::Value& more) {
  for (const std::string& name : more.getMemberNames()) {
    object[name] = more[name];
  }
}

// The replica set of the settings: [{"id": 1, "address": "IP:port"}].
Json::Value ReplicaList(const std::vector<std::string>& addresses) {
  Json::Value list(Json::arrayValue);
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    Json::Value replica(Json::objectValue);
    replica["id"] = static_cast<Json::UInt64>(i + 1);
    replica["address"] = addresses[i];
    list.append(std::move(replica));
  }
  return list;
}

Json::Value MakeClass(const std::string& name,
                      const std::string& tier,
                      const std::string& match,
                      const std::string& servers,
                      bool idempotent) {
  Json::Value value(Json::objectValue);
  value["name"] = name;
  value["tier"] = tier;
  value["match"] = match;
  value["servers"] = servers;
  value["deadline_ms"] = 60000;
  value["first_byte_timeout_ms"] = 10000;
  value["gap_timeout_ms"] = 2000;
  value["idempotent"] = idempotent;
  return value;
}

}  // namespace

const std::string& Fleet::ApiKey() {
  static const std::string kKey = "test-key";
  return kKey;
}

Json::Value Fleet::DefaultDocument() {
  Json::Value document(Json::objectValue);
  for (const char* const tier : {"urgent", "interactive", "batch"}) {
    document["tiers"].append(tier);
  }
  Json::Value& classes = document["classes"];
  classes.append(
      MakeClass("urgent", "urgent", "urgent=yes", "model=chat", true));
  classes.append(MakeClass("batch", "batch", "batch=yes", "model=chat", true));
  classes.append(
      MakeClass("chat", "interactive", "model=chat", "model=chat", true));
  classes.append(
      MakeClass("order", "interactive", "kind=order", "app=orders", false));
  Json::Value customer(Json::objectValue);
  customer["name"] = "customer-1";
  customer["key_sha256"] = Sha256Hex(ApiKey());
  customer["tiers"] = document["tiers"];
  customer["max_in_flight"] = 100000;
  document["customers"].append(std::move(customer));
  document["model_labels"]["chat-1"]["model"] = "chat";
  return document;
}

Fleet::Fleet(const FleetOptions& options) : options(options) {
  this->AddReplicas();
  for (const auto& daemon : this->replicas) {
    this->Start(*daemon);
  }
  this->AddEntries();
  this->AddServers();
  for (const auto* const group :
       {&this->entries, &this->engines, &this->services}) {
    for (const auto& daemon : *group) {
      this->Start(*daemon);
    }
  }
  this->WaitForLeader();
  const std::uint64_t version = this->ApplyDocument(DefaultDocument());
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    this->WaitReady(*this->entries[i]);
    Require(
        WaitFor([&] { return this->EntryVersion(i).value_or(0) >= version; }),
        "the configuration did not reach " + this->entries[i]->name);
  }
  this->WaitForServers();
}

void Fleet::PrintLogs() const {
  for (const auto* const group :
       {&this->replicas, &this->entries, &this->engines, &this->services}) {
    for (const auto& daemon : *group) {
      const std::string log = ReadFile(daemon->log_path);
      std::cerr << "---- " << daemon->name << " (" << daemon->address << ")\n"
                << log.substr(log.size() -
                              std::min(log.size(), kPrintedLogBytes))
                << '\n';
    }
  }
}

Daemon& Fleet::AddDaemon(std::vector<std::unique_ptr<Daemon>>& group,
                         const std::string& name,
                         const std::string& program,
                         Json::Value settings) {
  auto daemon = std::make_unique<Daemon>();
  daemon->name = name;
  daemon->program = program;
  daemon->address = settings["address"].asString();
  daemon->settings_path = this->Directory() + "/" + name + ".json";
  daemon->log_path = this->Directory() + "/" + name + ".log";
  WriteFile(daemon->settings_path, WriteJson(settings));
  group.push_back(std::move(daemon));
  return *group.back();
}

void Fleet::AddReplicas() {
  std::vector<std::string> listen;
  for (int i = 0; i < this->options.replicas; ++i) {
    listen.push_back(FreeAddress());
    if (this->options.relay_control) {
      this->control_relays.push_back(
          std::make_unique<Relay>(FreeAddress(), listen.back()));
      this->control_addresses.push_back(this->control_relays.back()->Address());
    } else {
      this->control_addresses.push_back(listen.back());
    }
  }
  for (std::size_t i = 0; i < listen.size(); ++i) {
    Json::Value settings(Json::objectValue);
    settings["id"] = static_cast<Json::UInt64>(i + 1);
    settings["address"] = listen[i];
    settings["failure_domain"] = "fd-1";
    settings["data_directory"] =
        this->Directory() + "/data-" + std::to_string(i + 1);
    settings["replicas"] = ReplicaList(this->control_addresses);
    MergeMembers(settings, this->options.replica_settings);
    this->AddDaemon(this->replicas, "replica-" + std::to_string(i + 1),
                    "sycamorebend-control", settings);
  }
}

Daemon& Fleet::AddJoiningReplica(std::uint64_t id) {
  Json::Value settings(Json::objectValue);
  settings["id"] = static_cast<Json::UInt64>(id);
  settings["address"] = FreeAddress();
  settings["data_directory"] =
      this->Directory() + "/data-" + std::to_string(id);
  settings["failure_domain"] = "fd-1";
  settings["join"] = true;
  settings["replicas"] = ReplicaList(this->control_addresses);
  return this->AddDaemon(this->replicas, "replica-" + std::to_string(id),
                         "sycamorebend-control", settings);
}

void Fleet::AddEntries() {
  for (int i = 1; i <= this->options.entries; ++i) {
    Json::Value settings(Json::objectValue);
    settings["entry_id"] = "entry-" + std::to_string(i);
    settings["address"] = FreeAddress();
    settings["failure_domain"] = "fd-" + std::to_string(i % 3 + 1);
    settings["replicas"] = StringList(this->control_addresses);
    MergeMembers(settings, this->options.entry_settings);
    this->AddDaemon(this->entries, "entry-" + std::to_string(i),
                    "sycamorebend-entry", settings);
  }
}

void Fleet::AddServers() {
  std::vector<std::string> entry_addresses;
  for (const auto& entry : this->entries) {
    entry_addresses.push_back(entry->address);
  }
  const auto make = [&](const std::string& name, const std::string& labels) {
    Json::Value settings(Json::objectValue);
    settings["server_id"] = name;
    settings["address"] = FreeAddress();
    settings["entry_addresses"] = StringList(entry_addresses);
    settings["labels"] = labels;
    return settings;
  };
  for (int i = 1; i <= this->options.engines; ++i) {
    const std::string name = "engine-" + std::to_string(i);
    Json::Value settings = make(name, "model=chat");
    settings["models"].append("chat-1");
    settings["slots"] = 64;
    settings["token_delay_us"] = 1000;
    MergeMembers(settings, this->options.engine_settings);
    this->AddDaemon(this->engines, name, "sycamorebend-fake-engine", settings);
  }
  for (int i = 1; i <= this->options.services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    Json::Value settings = make(name, "app=orders");
    MergeMembers(settings, this->options.service_settings);
    this->AddDaemon(this->services, name, "sycamorebend-fake-service",
                    settings);
  }
}

void Fleet::Start(Daemon& daemon) {
  daemon.process = std::make_unique<ChildProcess>(
      daemon.program,
      std::vector<std::string>{"--settings=" + daemon.settings_path},
      daemon.log_path);
}

void Fleet::WaitReady(const Daemon& daemon) {
  HttpCall call;
  call.url = "http://" + daemon.address + "/readyz";
  call.total_timeout = seconds(5);
  const bool ready = WaitFor(
      [&] {
        const auto response = this->client->Fetch(call);
        return response && response.value().status == kStatusOk;
      },
      kReadyTimeout);
  Require(ready,
          daemon.name + " did not become ready: " + ReadFile(daemon.log_path));
}

void Fleet::WaitForServers() {
  const std::size_t wanted = this->engines.size() + this->services.size();
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    Require(WaitFor([&] { return this->AcceptingServers(i).size() == wanted; },
                    kReadyTimeout),
            this->entries[i]->name + " does not know all backend servers");
  }
}

Result<Json::Value> Fleet::CallControl(const std::string& method,
                                       const Json::Value& params,
                                       Duration timeout) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + timeout;
  Error last = MakeError(ResultCode::kTransportTimeout);
  std::size_t next = 0;
  while (clock.Now() < end) {
    const Daemon& replica = *this->replicas[next++ % this->replicas.size()];
    auto result = this->rpc->Call(replica.address, method, params, seconds(3));
    if (result) {
      return result;
    }
    last = result.error();
    const bool other_replica = last.code == ResultCode::kNotLeader ||
                               last.code == ResultCode::kConnectFailed ||
                               last.code == ResultCode::kNoQuorum ||
                               last.code == ResultCode::kCancelled ||
                               last.code == ResultCode::kTransportTimeout;
    if (!other_replica) {
      return last;
    }
    SleepBriefly();
  }
  return last;
}

std::size_t Fleet::WaitForLeader(std::optional<std::size_t> except) {
  std::size_t leader = 0;
  const bool found = WaitFor(
      [&] {
        for (std::size_t i = 0; i < this->replicas.size(); ++i) {
          if (except == i || this->replicas[i]->process == nullptr ||
              !this->replicas[i]->process->Running()) {
            continue;
          }
          const auto status =
              this->rpc->Call(this->replicas[i]->address, "control.status",
                              Json::Value(Json::objectValue), seconds(2));
          if (status && status.value()["is_leader"].asBool()) {
            leader = i;
            return true;
          }
        }
        return false;
      },
      kReadyTimeout);
  Require(found, "no control replica leads");
  return leader;
}

std::uint64_t Fleet::ConfigurationVersion() {
  const auto shown =
      this->CallControl("control.show", Json::Value(Json::objectValue));
  Require(bool(shown), "control.show failed");
  return shown.value()["version"].asUInt64();
}

std::uint64_t Fleet::ApplyDocument(const Json::Value& document) {
  Json::Value params(Json::objectValue);
  params["change_id"] = RandomId();
  params["operator"] = "test";
  params["expected_version"] =
      static_cast<Json::UInt64>(this->ConfigurationVersion());
  params["document"] = document;
  const auto applied = this->CallControl("control.apply", params);
  Require(bool(applied), applied ? "" : applied.error().message);
  return applied.value()["version"].asUInt64();
}

std::optional<std::uint64_t> Fleet::EntryVersion(std::size_t index) {
  const auto status =
      this->rpc->Call(this->entries[index]->address, "entry.status",
                      Json::Value(Json::objectValue), seconds(5));
  if (!status || !status.value()["configuration_version"].isUInt64()) {
    return std::nullopt;
  }
  return status.value()["configuration_version"].asUInt64();
}

std::vector<std::string> Fleet::AcceptingServers(std::size_t index) {
  std::vector<std::string> accepting;
  const auto servers =
      this->rpc->Call(this->entries[index]->address, "entry.servers",
                      Json::Value(Json::objectValue), seconds(5));
  if (servers) {
    for (const Json::Value& server : servers.value()["servers"]) {
      if (server["accepting"].asBool()) {
        accepting.push_back(server["server_id"].asString());
      }
    }
  }
  return accepting;
}

HttpCall Fleet::ChatCall(const std::string& address,
                         const std::string& prompt,
                         int max_tokens,
                         const std::string& labels) const {
  Json::Value body(Json::objectValue);
  body["model"] = "chat-1";
  body["stream"] = true;
  body["max_tokens"] = max_tokens;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = prompt;
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + "/v1/chat/completions";
  call.headers = {{"Content-Type", "application/json"},
                  {"Authorization", "Bearer " + ApiKey()}};
  if (!labels.empty()) {
    call.headers.push_back({"X-Sycamorebend-Labels", labels});
  }
  call.body = WriteJson(body);
  call.first_byte_timeout = seconds(60);
  call.gap_timeout = seconds(60);
  call.total_timeout = seconds(90);
  return call;
}

HttpCall Fleet::OrderCall(const std::string& address,
                          const std::string& key,
                          const std::string& body) const {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + "/orders";
  call.headers = {{"Content-Type", "text/plain"},
                  {"Authorization", "Bearer " + ApiKey()},
                  {"X-Sycamorebend-Labels", "kind=order"},
                  {"Idempotency-Key", key}};
  call.body = body;
  call.fresh_connection = true;
  call.first_byte_timeout = seconds(60);
  call.total_timeout = seconds(60);
  return call;
}

HttpResponse Fleet::Post(const std::string& address,
                         const std::string& path,
                         const std::string& body) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + path;
  call.body = body;
  call.total_timeout = seconds(30);
  auto response = this->client->Fetch(std::move(call));
  Require(bool(response), response ? "" : response.error().message);
  return response.value();
}

Json::Value Fleet::Stats(const Daemon& daemon) {
  HttpCall call;
  call.url = "http://" + daemon.address + "/fake/stats";
  call.total_timeout = seconds(30);
  const auto response = this->client->Fetch(std::move(call));
  Require(bool(response), response ? "" : response.error().message);
  return ParseJson(response.value().body).value();
}

void Fleet::SetBehaviour(const Daemon& daemon, const std::string& body) {
  Require(
      this->Post(daemon.address, "/fake/behaviour", body).status == kStatusOk,
      "the fake server rejected the behaviour: " + body);
}

std::uint64_t Fleet::SumEngineStats(const std::string& name) {
  std::uint64_t sum = 0;
  for (const auto& engine : this->engines) {
    if (engine->process->Running()) {
      sum += this->Stats(*engine)[name].asUInt64();
    }
  }
  return sum;
}

std::string ExpectedChat(const std::string& prompt, int max_tokens) {
  CompletionRequest request;
  request.model = "chat-1";
  request.prompt = prompt;
  request.max_tokens = max_tokens;
  return ExpectedCompletion(request).AllEvents();
}

std::string DataLines(const std::string& stream) {
  std::istringstream lines(stream);
  std::string data;
  std::string line;
  while (std::getline(lines, line)) {
    if (line.compare(0, 5, "data:") == 0) {
      data += line + "\n";
    }
  }
  return data;
}

// Shared with the observer, which can outlive the OpenCall.
struct OpenCall::State : HttpObserver {
  void OnHeaders(int status, const HttpHeaders& /*headers*/) override {
    std::lock_guard lock(this->mutex);
    this->status = status;
  }
  void OnData(std::string_view data) override {
    std::lock_guard lock(this->mutex);
    this->body.append(data);
    this->changed.notify_all();
  }
  void OnDone(const HttpOutcome& outcome) override {
    std::lock_guard lock(this->mutex);
    this->outcome = outcome;
    this->ended = true;
    this->changed.notify_all();
  }

  std::mutex mutex;
  std::condition_variable changed;
  int status = 0;
  std::string body;
  HttpOutcome outcome;
  bool ended = false;
};

OpenCall::OpenCall(HttpClient& client, HttpCall call)
    : state(std::make_shared<State>()),
      client(client),
      id(client.Start(std::move(call), this->state)) {}

bool OpenCall::WaitForBytes(std::size_t bytes, Duration limit) {
  std::unique_lock lock(this->state->mutex);
  this->state->changed.wait_for(lock, limit, [&] {
    return this->state->ended || this->state->body.size() >= bytes;
  });
  return this->state->body.size() >= bytes;
}

bool OpenCall::WaitForEnd(Duration limit) {
  std::unique_lock lock(this->state->mutex);
  return this->state->changed.wait_for(lock, limit,
                                       [&] { return this->state->ended; });
}

bool OpenCall::Ended() {
  std::lock_guard lock(this->state->mutex);
  return this->state->ended;
}

HttpOutcome OpenCall::Outcome() {
  std::lock_guard lock(this->state->mutex);
  return this->state->outcome;
}

int OpenCall::Status() {
  std::lock_guard lock(this->state->mutex);
  return this->state->status;
}

std::string OpenCall::Body() {
  std::lock_guard lock(this->state->mutex);
  return this->state->body;
}

void OpenCall::Cancel() {
  this->client.Cancel(this->id);
}

}  // namespace sycamorebend
