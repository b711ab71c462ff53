#define BOOST_TEST_MODULE control_service
#include <boost/test/unit_test.hpp>

#include <json/writer.h>

#include <atomic>
#include <future>
#include <thread>

#include "../consensus/cluster.h"
#include "control_node.h"
#include "controld/control_settings.h"
#include "controld/replica_manager.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

const char kDocument[] =
    R"({"tiers":["urgent"],"classes":[{"name":"r","tier":"urgent"}]})";

struct Fixture {
  Result<Json::Value> Call(const std::string& method,
                           const std::string& params) {
    return this->rpc->Call(this->node.Address(), method,
                           ParseJson(params).value(), seconds(10));
  }

  Error CallError(const std::string& method, const std::string& params) {
    const Result<Json::Value> result = this->Call(method, params);
    return result ? Error{ResultCode::kOk, ""} : result.error();
  }

  Result<Json::Value> Apply(const std::string& id,
                            int expected,
                            const std::string& document) {
    return this->Call("control.apply",
                      R"({"change_id":")" + id +
                          R"(","operator":"alice","expected_version":)" +
                          std::to_string(expected) + R"(,"document":)" +
                          document + "}");
  }

  HttpResponse Get(const std::string& path) {
    HttpCall call;
    call.url = "http://" + this->node.Address() + path;
    return this->client->Fetch(call).value();
  }

  ManualClock clock;
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  ControlNode node{*rpc, clock};
};

Result<ControlSettings> Settings(const std::string& text) {
  return ReadControlSettings(SettingsObject::Parse(text, "c.json").value());
}

// @return the parameters of an announcement of the server "s".
std::string Announcement(int sequence, bool leaving) {
  return R"({"server_id":"s","incarnation":1,"service":"app",)"
         R"("address":"127.0.0.1:9000","failure_domain":"a","slots":1,)"
         R"("sequence":)" +
         std::to_string(sequence) + R"(,"leaving":)" +
         (leaving ? "true}" : "false}");
}

}  // namespace

// Guards against errors that don't name the malformed parameter to an operator
// or to a peer of another release.
BOOST_FIXTURE_TEST_CASE(MalformedParametersNameTheField, Fixture) {
  const struct {
    const char* method;
    const char* params;
    ResultCode code;
    const char* text;
  } cases[] = {
      {"control.apply", "[]", ResultCode::kMalformedRequest, "object"},
      {"control.apply", "{}", ResultCode::kMalformedRequest, "change_id"},
      {"control.apply", R"({"change_id":"a"})", ResultCode::kMalformedRequest,
       "operator"},
      {"control.apply", R"({"change_id":"a","operator":"b"})",
       ResultCode::kConfigurationInvalid, "object"},
      {"control.apply",
       R"({"change_id":"a","operator":"b","document":{"tier":[]}})",
       ResultCode::kConfigurationInvalid, "tiers"},
      {"control.apply",
       R"({"change_id":"a","operator":"b","document":{"tiers":["u"]}})",
       ResultCode::kMalformedRequest, "expected_version"},
      {"control.show", R"({"version":"1"})", ResultCode::kMalformedRequest,
       "version"},
      {"control.history", R"({"limit":-1})", ResultCode::kMalformedRequest,
       "limit"},
      {"control.drain", R"({"change_id":"a"})", ResultCode::kMalformedRequest,
       "server_id"},
      {"control.replica", R"({"action":"none","id":1})",
       ResultCode::kMalformedRequest, "action"},
      {"control.replica", R"({"action":"add","id":1,"address":"x"})",
       ResultCode::kMalformedRequest, "address"},
      {"control.replica", R"({"action":"remove","id":0})",
       ResultCode::kMalformedRequest, "id"},
      {"order.begin", R"({"customer":"c"})", ResultCode::kOrderKeyMissing,
       "Idempotency-Key"},
      {"order.begin", R"({"customer":"c","key":"k"})",
       ResultCode::kMalformedRequest, "body_digest"},
      {"order.finish", R"({"customer":"c","key":"k","attempt_id":"a"})",
       ResultCode::kMalformedRequest, "state"},
      {"order.get", R"({"customer":"c"})", ResultCode::kMalformedRequest,
       "key"},
      {"finding.report", "{}", ResultCode::kMalformedRequest, "fingerprint"},
      {"finding.record", "{}", ResultCode::kMalformedRequest, "content"},
      {"fence.take", "{}", ResultCode::kMalformedRequest, "holder"},
      {"feed.poll", R"({"entry_id":"e"})", ResultCode::kMalformedRequest,
       "address"},
      {"control.none", "{}", ResultCode::kUnknownCommand, "control.none"},
  };
  for (const auto& item : cases) {
    const Error error = this->CallError(item.method, item.params);
    BOOST_TEST((error.code == item.code),
               item.method << item.params << error.message);
    BOOST_TEST(error.message.find(item.text) != std::string::npos,
               item.method << item.params << error.message);
  }
}

// Guards against an RPC change that does not reach the control state.
BOOST_FIXTURE_TEST_CASE(AppliedChangeIsShown, Fixture) {
  BOOST_TEST(this->Apply("a", 0, kDocument).value()["version"].asInt() == 1);
  const Json::Value shown = this->Call("control.show", "{}").value();
  BOOST_TEST(shown["document"] == ParseJson(kDocument).value());
  BOOST_TEST(shown["change_id"] == "a");
  const Json::Value history = this->Call("control.history", "{}").value();
  BOOST_TEST(history["changes"].size() == 1U);
  BOOST_TEST((this->Apply("b", 0, kDocument).error().code ==
              ResultCode::kVersionConflict));
}

// Guards against a dry run that changes the state.
BOOST_FIXTURE_TEST_CASE(DryRunChangesNothing, Fixture) {
  const std::string params =
      std::string(R"({"dry_run":true,"document":)") + kDocument + "}";
  const Json::Value response = this->Call("control.apply", params).value();
  BOOST_TEST(response["changed"].asBool());
  BOOST_TEST(this->node.state->Shared()->configuration_version == 0U);
  BOOST_TEST(
      (this->CallError("control.apply", R"({"dry_run":true,"document":{}})")
           .code == ResultCode::kConfigurationInvalid));
}

// Guards against a change that is applied twice when its response is lost.
BOOST_FIXTURE_TEST_CASE(LostResponseIsRetried, Fixture) {
  this->node.log.lose_next_response = true;
  BOOST_TEST((this->Apply("a", 0, kDocument).error().code ==
              ResultCode::kTransportTimeout));
  BOOST_TEST(this->Apply("a", 0, kDocument).value()["version"].asInt() == 1);
  BOOST_TEST(this->node.state->Shared()->configuration_version == 1U);
}

// Guards against accepting the different changes of two operators who use the
// same change ID, and against rejecting a retry that runs concurrently with the
// first attempt.
BOOST_FIXTURE_TEST_CASE(RacingChangesWithOneId, Fixture) {
  constexpr int kOperators = 8;
  std::vector<Result<Json::Value>> results(
      kOperators, MakeError(ResultCode::kConnectFailed));
  std::vector<std::thread> threads;
  threads.reserve(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      const std::string document =
          i % 2 == 0 ? R"({"tiers":["even"]})" : R"({"tiers":["odd"]})";
      results[i] = this->Apply("same", 0, document);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const Json::Value shown = this->Call("control.show", "{}").value();
  const int accepted_parity = shown["document"]["tiers"][0] == "even" ? 0 : 1;
  for (int i = 0; i < kOperators; ++i) {
    BOOST_TEST(results[i].has_value() == (i % 2 == accepted_parity));
    BOOST_TEST(
        (results[i] || results[i].error().code == ResultCode::kChangeIdReused));
  }
  BOOST_TEST(shown["version"].asInt() == 1);
}

// Guards against a follower that executes calls meant for the leader.
BOOST_FIXTURE_TEST_CASE(FollowerNamesTheLeader, Fixture) {
  this->node.log.Follow("127.0.0.1:9999");
  for (const char* method : {"control.show", "control.history", "fence.take"}) {
    const Error error = this->CallError(method, R"({"holder":"h"})");
    BOOST_TEST((error.code == ResultCode::kNotLeader));
    BOOST_TEST(error.message == "127.0.0.1:9999");
  }
  BOOST_TEST(!this->Call("control.status", "{}").value()["is_leader"].asBool());
}

// Guards against granting an order twice over RPC, which entry daemons use.
BOOST_FIXTURE_TEST_CASE(OrderThroughRpc, Fixture) {
  const auto begin = [this](const std::string& attempt) {
    return this
        ->Call("order.begin", R"({"customer":"c","key":"k","body_digest":"d",)"
                              R"("entry_id":"e","attempt_id":")" +
                                  attempt + "\"}")
        .value();
  };
  BOOST_TEST(begin("1")["granted"].asBool());
  BOOST_TEST(!begin("2")["granted"].asBool());
  this->Call("order.finish",
             R"({"customer":"c","key":"k","attempt_id":"1","state":"ran",)"
             R"("status":201,"response":{"body":"x"}})")
      .value();
  const Json::Value record =
      this->Call("order.get", R"({"customer":"c","key":"k"})")
          .value()["record"];
  BOOST_TEST(record["state"] == "ran");
  BOOST_TEST(record["status"].asInt() == 201);
  BOOST_TEST(record["response"]["body"] == "x");
}

// Guards against an order whose outcome cannot be recorded because the response
// is larger than a log entry.
BOOST_FIXTURE_TEST_CASE(LargeResponseIsDroppedBeforeTheLog, Fixture) {
  const std::string order = R"("customer":"c","key":"k","attempt_id":"1")";
  this->Call("order.begin",
             "{" + order + R"(,"body_digest":"d","entry_id":"e"})")
      .value();
  const std::string large(2 << 20, 'x');
  const Json::Value record =
      this->Call("order.finish",
                 "{" + order + R"(,"state":"ran","response":")" + large + "\"}")
          .value()["record"];
  BOOST_TEST(record["state"] == "ran");
  BOOST_TEST(record["response_dropped"].asBool());
  BOOST_TEST(this->node.log.largest_command.load() < 1000U);
}

// Guards against state that changes only when a client sends a call: the
// leader's tick must set the epoch, publish the replicas and evaluate crashes.
BOOST_FIXTURE_TEST_CASE(LeaderMaintainsTheState, Fixture) {
  this->node.Tick();
  const std::string epoch = this->node.state->Shared()->epoch;
  BOOST_TEST(!epoch.empty());
  this->node.Tick();
  BOOST_TEST(this->node.state->Shared()->epoch == epoch);
  BOOST_TEST((this->node.state->Shared()->replicas ==
              std::vector<std::string>{this->node.Address()}));
  for (const char* server : {"s1", "s2"}) {
    this->Call("finding.report",
               std::string(R"({"fingerprint":"f","incarnation":"1",)") +
                   R"("candidates":["f"],"server_id":")" + server + "\"}")
        .value();
  }
  clock.Advance(seconds(2));
  this->node.Tick();
  BOOST_TEST(this->node.state->Shared()->quarantined.count("f") == 1U);
}

// Guards against a replica that reports itself ready without a recent
// confirmation by a quorum, and checks the HTTP endpoints and metrics.
BOOST_FIXTURE_TEST_CASE(HealthAndMetrics, Fixture) {
  BOOST_TEST(this->Get("/healthz").status == 200);
  BOOST_TEST(this->Get("/readyz").status == 200);
  (void)this->CallError("control.history", R"({"limit":-1})");
  (void)this->CallError("x", "{}");
  this->node.log.age = seconds(4);
  BOOST_TEST(this->Get("/readyz").status == 503);
  BOOST_TEST(this->Get("/healthz").status == 200);
  BOOST_TEST(this->Get("/none").status == 404);
  BOOST_TEST(this->Get("/rpc").status == 405);
  const std::string metrics = this->Get("/metrics").body;
  BOOST_TEST(metrics.find("sycamorebend_control_leader 1") !=
             std::string::npos);
  BOOST_TEST(metrics.find("calls_total{code=\"malformed_request\",method="
                          "\"control.history\"} 1") != std::string::npos);
  BOOST_TEST(metrics.find("method=\"other\"} 1") != std::string::npos);
  BOOST_TEST(metrics.find("sycamorebend_control_confirmation_age_seconds 4") !=
             std::string::npos);
}

// Guards against a deadlock in which proposals occupy every thread while they
// wait for messages between replicas, which need a thread too.
BOOST_FIXTURE_TEST_CASE(BlockedProposalsDoNotHoldUpMessages, Fixture) {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  this->node.control_thread.Post([released] { released.wait(); });
  constexpr int kProposals = 10;
  std::atomic<int> completed{0};
  for (int i = 0; i < kProposals; ++i) {
    this->rpc->CallAsync(this->node.Address(), "fence.take",
                         ParseJson(R"({"holder":"h"})").value(), seconds(60),
                         [&](Result<Json::Value>) { ++completed; });
  }
  BOOST_TEST(this->Call("raft.message", "{}").has_value());
  const Error poll = this->CallError("feed.poll", "[]");
  BOOST_TEST((poll.code == ResultCode::kMalformedRequest));
  BOOST_TEST(completed == 0);
  release.set_value();
  while (completed < kProposals) {
    std::this_thread::yield();
  }
}

// Guards against a stopping replica that accepts changes.
BOOST_FIXTURE_TEST_CASE(StoppingReplicaRefusesChanges, Fixture) {
  this->node.service.StopChanges();
  BOOST_TEST((this->Apply("a", 0, kDocument).error().code ==
              ResultCode::kShuttingDown));
  BOOST_TEST(this->Call("raft.message", "{}").has_value());
}

// Guards against an order that fails because its call was accepted before a
// planned stop of the replica: entry daemons do not repeat a cancelled call.
BOOST_FIXTURE_TEST_CASE(CallsCancelledByAStopCanBeRepeated, Fixture) {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  this->node.control_thread.Post([released] { released.wait(); });
  std::promise<Result<Json::Value>> begun;
  this->rpc->CallAsync(
      this->node.Address(), "order.begin",
      ParseJson(R"({"customer":"c","key":"k","attempt_id":"a",)"
                R"("entry_id":"e","body_digest":"d"})")
          .value(),
      seconds(60),
      [&](Result<Json::Value> result) { begun.set_value(result); });
  while (this->node.log.largest_command == 0) {
    std::this_thread::yield();
  }
  this->node.log.Stop();
  release.set_value();
  const Result<Json::Value> result = begun.get_future().get();
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().code == ResultCode::kShuttingDown));
  BOOST_TEST(
      (this->CallError("order.get", R"({"customer":"c","key":"k"})").code ==
       ResultCode::kShuttingDown));
}

// Guards against invalid settings that are accepted at startup.
BOOST_AUTO_TEST_CASE(SettingsAreChecked) {
  const std::string good =
      R"("id":1,"address":"127.0.0.1:7000","failure_domain":"a",)"
      R"("data_directory":"/tmp/x")";
  const std::string replicas =
      R"(,"replicas":[{"id":1,"address":"127.0.0.1:7000"}])";
  const auto accepted = Settings("{" + good + replicas + "}");
  BOOST_REQUIRE(accepted.has_value());
  BOOST_TEST(accepted.value().log.initial_replicas.size() == 1U);
  BOOST_TEST(Settings("{" + good + R"(,"join":true})").has_value());
  const struct {
    std::string text;
    const char* key;
  } cases[] = {
      {"{" + good + "}", "replicas"},
      {"{" + good + replicas + R"(,"x":1})", "x"},
      {"{" + good + replicas + R"(,"timings":{"lease_ms":700}})", "lease_ms"},
      {"{" + good + replicas + R"(,"timings":{"heartbeat_ms":500}})",
       "heartbeat_ms"},
      {"{" + good +
           R"(,"replicas":[{"id":1,"address":"127.0.0.1:7000"},)"
           R"({"id":1,"address":"127.0.0.1:7001"}]})",
       "id"},
      {"{" + good + replicas + R"(,"log_severity":"loud"})", "log_severity"},
  };
  for (const auto& item : cases) {
    const auto refused = Settings(item.text);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(refused.error().message.find(item.key) != std::string::npos,
               refused.error().message);
    BOOST_TEST(refused.error().message.find("c.json") != std::string::npos);
  }
}

// Guards against a status that calls its state confirmed although the state
// lacks an entry that was applied before the confirmation was read.
BOOST_FIXTURE_TEST_CASE(StatusHasWhatItsConfirmationCovers, Fixture) {
  BOOST_REQUIRE(this->Apply("a", 0, kDocument).has_value());
  this->node.log.before_age = [this] {
    Json::Value command =
        ParseJson(R"({"type":"config.apply","operator":"bob",)"
                  R"("change_id":"b","expected_version":1})")
            .value();
    command["document"] = ParseJson(R"({"tiers":["x"]})").value();
    this->node.log.Commit(WriteJson(command));
  };
  const Json::Value status = this->node.service.StatusReport().value();
  BOOST_TEST(status["confirmation_age_ms"].asInt() == 1);
  BOOST_TEST(status["configuration_version"].asInt() == 2);
  BOOST_TEST(status["applied_index"].asUInt64() ==
             this->node.log.GetStatus().applied_index);
}

// Guards against acknowledging a repeated announcement while the first one is
// not committed: a server that was told that its draining is known would get
// requests again after the loss of the leader.
BOOST_FIXTURE_TEST_CASE(RepeatedAnnouncementWaitsForItsCommit, Fixture) {
  const std::string params =
      R"({"server_id":"s","incarnation":1,"sequence":5,"service":"app",)"
      R"("address":"127.0.0.1:9000","failure_domain":"a","slots":1,)"
      R"("leaving":true})";
  this->clock.Advance(seconds(1));
  std::promise<void> commit;
  this->node.control_thread.Post(
      [allowed = commit.get_future().share()] { allowed.wait(); });
  auto first = std::async(std::launch::async, [&] {
    return this->Call("server.heartbeat", params);
  });
  while (this->node.log.largest_command == 0) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  const Result<Json::Value> repeated =
      this->rpc->Call(this->node.Address(), "server.heartbeat",
                      ParseJson(params).value(), milliseconds(300));
  BOOST_TEST(this->node.state->Shared()->servers.empty());
  BOOST_TEST(!repeated.has_value(), "acknowledged before the commit");
  commit.set_value();
  BOOST_TEST(first.get().has_value());
}

// Guards against writing a large document into the log again for each repeat of
// a call that takes long, and for versions that change nothing.
BOOST_FIXTURE_TEST_CASE(RepeatedReplacementIsProposedOnce, Fixture) {
  const auto replace = [this](int version) {
    return this->Call("config.replace",
                      R"({"version":)" + std::to_string(version) +
                          R"(,"operator":"o","document":{"a":1}})");
  };
  BOOST_REQUIRE(replace(4).has_value());
  const LogIndex before = this->node.log.GetStatus().last_index;
  this->node.log.largest_command = 0;
  std::promise<void> commit;
  this->node.control_thread.Post(
      [allowed = commit.get_future().share()] { allowed.wait(); });
  std::vector<std::future<Result<Json::Value>>> calls;
  for (int i = 0; i < 3; ++i) {
    calls.push_back(
        std::async(std::launch::async, [&replace] { return replace(5); }));
    while (this->node.log.largest_command == 0) {
      std::this_thread::sleep_for(milliseconds(2));
    }
  }
  for (auto& call : calls) {
    BOOST_TEST(
        (call.wait_for(milliseconds(100)) == std::future_status::timeout),
        "acknowledged before the commit");
  }
  commit.set_value();
  for (auto& call : calls) {
    BOOST_TEST(call.get().has_value());
  }
  BOOST_TEST(this->node.log.GetStatus().last_index == before + 1);
  for (const int version : {5, 2}) {
    const Result<Json::Value> unchanged = replace(version);
    BOOST_REQUIRE(unchanged.has_value());
    BOOST_TEST(!unchanged.value()["changed"].asBool());
    BOOST_TEST(unchanged.value()["version"].asInt() == 5);
  }
  BOOST_TEST(this->node.log.GetStatus().last_index == before + 1);
  this->node.log.Follow("10.0.0.1:7000");
  BOOST_TEST((this->CallError("config.replace",
                              R"({"version":5,"operator":"o","document":{}})")
                  .code == ResultCode::kNotLeader));
}

// Guards against comparing an announcement with a record that an announcement
// in flight is about to change: the record would keep the older one.
BOOST_FIXTURE_TEST_CASE(AnnouncementFollowsAnUncommittedOne, Fixture) {
  this->clock.Advance(seconds(1));
  BOOST_REQUIRE(
      this->Call("server.heartbeat", Announcement(1, false)).has_value());
  this->node.log.largest_command = 0;
  std::promise<void> commit;
  this->node.control_thread.Post(
      [allowed = commit.get_future().share()] { allowed.wait(); });
  auto first = std::async(std::launch::async, [&] {
    return this->Call("server.heartbeat", Announcement(2, true));
  });
  while (this->node.log.largest_command == 0) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  auto second = std::async(std::launch::async, [&] {
    return this->Call("server.heartbeat", Announcement(3, false));
  });
  BOOST_TEST(
      (second.wait_for(milliseconds(300)) == std::future_status::timeout),
      "acknowledged before the commit");
  commit.set_value();
  BOOST_TEST(first.get().has_value());
  BOOST_TEST(second.get().has_value());
  const std::vector<ServerRecord> servers = this->node.state->Shared()->servers;
  BOOST_REQUIRE(servers.size() == 1U);
  BOOST_TEST(servers[0].sequence == 3U);
  BOOST_TEST(!servers[0].leaving);
}

// Guards against trusting a record that a proposal without a definite outcome
// may still change.
BOOST_FIXTURE_TEST_CASE(AnnouncementAfterAFailedOneIsProposed, Fixture) {
  this->clock.Advance(seconds(1));
  this->node.log.lose_next_response = true;
  BOOST_TEST((this->CallError("server.heartbeat", Announcement(1, true)).code ==
              ResultCode::kTransportTimeout));
  const LogIndex failed = this->node.log.GetStatus().last_index;
  for (const int sequence : {1, 2}) {
    BOOST_TEST(this->Call("server.heartbeat", Announcement(sequence, true))
                   .has_value());
    // The second one agrees with a record that is known to be committed.
    BOOST_TEST(this->node.log.GetStatus().last_index == failed + 1);
  }
}

// Guards against reporting a replica as removed while its removal is not
// committed: it would erase its log, and stay a member if another leader
// replaces the entry.
BOOST_AUTO_TEST_CASE(UncommittedRemovalIsNotReported) {
  TemporaryDirectory directory;
  Node node;
  ReplicatedLogOptions options;
  options.id = 1;
  options.initial_replicas = {{1, node.Address()}};
  options.data_directory = directory.path.string();
  options.timings.request_timeout = milliseconds(400);
  BOOST_REQUIRE(node.Start(options).has_value());
  while (!node.Propose("a")) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  const auto log = node.Log();
  BOOST_REQUIRE(Node::Wait([&](auto callback) {
                  log->AddReplica(2, "127.0.0.1:1", callback);
                }).has_value());
  ReplicaManager manager({}, *log, node.clock);
  Json::Value params;
  params["id"] = 2;
  BOOST_TEST(manager.CheckMember(params).value()["member"].asBool());
  node.disk.full = true;
  auto removed = std::async(std::launch::async, [&] {
    return Node::Wait([&](auto callback) { log->RemoveReplica(2, callback); });
  });
  int reported = 0;
  while (removed.wait_for(milliseconds(5)) != std::future_status::ready) {
    const Result<Json::Value> checked = manager.CheckMember(params);
    reported += checked && !checked.value()["member"].asBool() ? 1 : 0;
  }
  const ReplicatedLog::LogStatus status = log->GetStatus();
  BOOST_TEST(!removed.get().has_value());
  BOOST_TEST(status.commit_index < status.last_index);
  BOOST_TEST(reported == 0, "reported as removed " << reported << " times");
  node.disk.full = false;
  node.Stop();
}

}  // namespace sycamorebend
