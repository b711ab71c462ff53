#include "daemon_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr const char* kKey = "secret";

std::shared_ptr<const SharedState> MakeState() {
  auto state = std::make_shared<SharedState>();
  state->version = 7;
  state->configuration_version = 3;
  Json::Value document = ParseJsonWithComments(R"({
    "tiers": ["urgent", "standard"],
    "classes": [
      {"name": "chat", "tier": "urgent", "match": "model=chat",
       "servers": "model=chat", "deadline_ms": 20000,
       "first_byte_timeout_ms": 5000, "gap_timeout_ms": 400},
      {"name": "orders", "tier": "standard", "match": "kind=order",
       "servers": "model=parts", "deadline_ms": 4000, "idempotent": false},
      {"name": "lookup", "tier": "standard", "match": "kind=lookup",
       "servers": "model=parts"}],
    "customers": [
      {"name": "line-7", "key_sha256": "KEY", "max_in_flight": 1000},
      {"name": "line-8", "key_sha256": "KEY8", "tiers": ["standard"]}],
    "model_labels": {"chat-7b": {"model": "chat"}}
  })",
                                               "test")
                             .value();
  document["customers"][0]["key_sha256"] = Sha256Hex(kKey);
  document["customers"][1]["key_sha256"] = Sha256Hex("standard");
  state->configuration = std::move(document);
  return state;
}

EntrySettings MakeSettings(const std::string& replica) {
  EntrySettings settings;
  settings.entry_id = "entry-1";
  settings.address = "127.0.0.1:0";
  settings.failure_domain = "a";
  settings.replicas = {replica};
  settings.heartbeat = milliseconds(100);
  settings.address_valid = milliseconds(200);
  settings.limits.max_body_bytes = 1 << 20;
  settings.limits.max_header_bytes = 32 << 10;
  settings.limits.max_unread_bytes = 64 << 10;
  settings.limits.receive_timeout = seconds(2);
  return settings;
}

}  // namespace

FakeReplica::FakeReplica() : rpc_server(RpcServer::Create(*this, 4)) {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  this->server = std::move(HttpServer::Start(options, *this).value());
}

FakeReplica::~FakeReplica() {
  this->server->Stop();
}

void FakeReplica::Handle(std::shared_ptr<HttpExchange> exchange) {
  this->rpc_server->Handle(std::move(exchange));
}

Result<Json::Value> FakeReplica::Call(const std::string& method,
                                      const Json::Value& params) {
  if (this->no_quorum.load()) {
    return MakeError(ResultCode::kNoQuorum);
  }
  std::lock_guard lock(this->mutex);
  if (method == "finding.report") {
    this->finding = params;
    return Json::Value(Json::objectValue);
  }
  const std::string key = params["key"].asString();
  const bool known = this->records.count(key) > 0;
  Json::Value result;
  if (method == "order.begin") {
    Json::Value& record = this->records[key];
    if (!known) {
      record["state"] = "started";
      record["attempt_id"] = params["attempt_id"];
      record["body_digest"] = params["body_digest"];
    } else if (record["body_digest"] != params["body_digest"]) {
      return MakeError(ResultCode::kOrderKeyReused);
    }
    result["granted"] = record["state"] == "started" &&
                        record["attempt_id"] == params["attempt_id"];
    result["record"] = record;
    return result;
  }
  if (!known) {
    return MakeError(ResultCode::kNotFound);
  }
  Json::Value& record = this->records[key];
  if (method == "order.finish") {
    record["state"] = params["state"];
    record["status"] = params["status"];
    record["response"] = params["response"];
  }
  result["record"] = record;
  return result;
}

Json::Value FakeReplica::LastFindingReport() const {
  std::lock_guard lock(this->mutex);
  return this->finding;
}

std::string FakeReplica::RecordState(const std::string& key) const {
  std::lock_guard lock(this->mutex);
  const auto found = this->records.find(key);
  return found == this->records.end() ? "" : found->second["state"].asString();
}

DaemonFixture::DaemonFixture() {
  SetLogThreshold(Severity::kError);
  DaemonDependencies dependencies;
  dependencies.make_scheduler = &Scheduler::Create;
  dependencies.make_follower = [this](FeedFollowerOptions, RpcClient&,
                                      const Clock&,
                                      FeedFollower::UpdateCallback on_update) {
    auto fake = std::make_unique<FakeFollower>();
    this->follower = fake.get();
    const std::shared_ptr<const SharedState> state = MakeState();
    on_update(state);
    fake->update = [on_update, state] {
      auto next = std::make_shared<SharedState>(*state);
      ++next->version;
      ++next->configuration_version;
      on_update(std::move(next));
    };
    return fake;
  };
  this->daemon = std::move(
      EntryDaemon::Start(MakeSettings(this->replica.Address()), dependencies)
          .value());
  this->reporter = std::thread([this] { this->ReportLoop(); });
}

DaemonFixture::~DaemonFixture() {
  this->stopping.store(true);
  this->reporter.join();
  this->daemon->Stop();
}

void DaemonFixture::Post(const std::string& path, const Json::Value& body) {
  HttpCall call = this->Call("POST", path);
  call.body = WriteJson(body);
  (void)this->client->Fetch(std::move(call));
}

void DaemonFixture::AddEngine(const std::string& server_id,
                              FakeEngine& engine) {
  this->AddServer(server_id, engine.Address());
}

void DaemonFixture::AddServer(const std::string& server_id,
                              const std::string& address) {
  Json::Value body;
  body["server_id"] = server_id;
  body["incarnation"] = "1";
  body["address"] = address;
  const bool is_service = server_id.rfind("parts", 0) == 0;
  body["kind"] = is_service ? "service" : "engine";
  body["labels"]["model"] = is_service ? "parts" : "chat";
  body["failure_domain"] = "a";
  body["slots"] = 8;
  body["models"].append("chat-7b");
  this->Post("/backend/v1/announce", body);
  Json::Value report;
  report["server_id"] = server_id;
  report["incarnation"] = "1";
  report["running_by_tier"].append(0);
  report["queued_by_tier"].append(0);
  report["state"] = "serving";
  std::lock_guard lock(this->mutex);
  this->reports[server_id] = report;
}

void DaemonFixture::StopReports(const std::string& server_id) {
  std::lock_guard lock(this->mutex);
  this->reports.erase(server_id);
}

void DaemonFixture::ReportLoop() {
  for (int sequence = 1; !this->stopping.load(); ++sequence) {
    std::map<std::string, Json::Value> current;
    {
      std::lock_guard lock(this->mutex);
      current = this->reports;
    }
    for (auto& [id, report] : current) {
      report["seq"] = sequence;
      this->Post("/backend/v1/report", report);
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
}

HttpCall DaemonFixture::Call(const std::string& method,
                             const std::string& path) const {
  HttpCall call;
  call.method = method;
  call.url = "http://" + this->daemon->Address() + path;
  call.headers = {{"Authorization", std::string("Bearer ") + kKey}};
  return call;
}

HttpCall DaemonFixture::ChatCall(const std::string& prompt, bool stream) const {
  HttpCall call = this->Call("POST", "/v1/chat/completions");
  Json::Value body;
  body["model"] = "chat-7b";
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = prompt;
  body["stream"] = stream;
  call.body = WriteJson(body);
  return call;
}

HttpCall DaemonFixture::OrderCall(const std::string& key) const {
  HttpCall call = this->Call("POST", "/orders?line=7");
  call.headers.push_back({"X-Sycamorebend-Labels", "kind=order"});
  call.headers.push_back({"Idempotency-Key", key});
  call.body = "part=42";
  return call;
}

HttpResponse DaemonFixture::Fetch(HttpCall call) {
  Result<HttpResponse> response = this->client->Fetch(std::move(call));
  BOOST_REQUIRE_MESSAGE(response, "no answer: " << response.error().message);
  return std::move(response.value());
}

int DaemonFixture::Connect(const std::string& text) const {
  const std::string address = this->daemon->Address();
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  target.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1))));
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  BOOST_REQUIRE(
      connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0);
  send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  return fd;
}

double DaemonFixture::MetricValue(const std::string& line_start) {
  const std::string page = this->Fetch(this->Call("GET", "/metrics")).body;
  const std::size_t begin = page.find("\n" + line_start);
  if (begin == std::string::npos) {
    return -1;
  }
  const std::size_t end = page.find('\n', begin + 1);
  const std::string line = page.substr(begin + 1, end - begin - 1);
  return std::stod(line.substr(line.rfind(' ') + 1));
}

void DaemonFixture::WaitUntilIdle() {
  const auto deadline = std::chrono::steady_clock::now() + seconds(10);
  while (this->MetricValue("sycamorebend_open_requests") != 0) {
    BOOST_REQUIRE(std::chrono::steady_clock::now() < deadline);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

}  // namespace sycamorebend::entry
