#include "platform/control_api.h"

#include <random>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "case_count.h"
#include "sycamorebend/settings.h"
#include "whole_response_exchange.h"

namespace sycamorebend::platform {

namespace {

// Records the response.
class FakeExchange : public WholeResponseExchange {
 public:
  using WholeResponseExchange::WholeResponseExchange;

  void Respond(int new_status,
               HttpHeaders /*headers*/,
               std::string new_body) override {
    this->status = new_status;
    this->body = std::move(new_body);
  }

  int status = 0;
  std::string body;
};

// Records RPCs to the leader and returns `result`.
class FakeLeader : public ControlRpcClient {
 public:
  void Call(const std::string& method,
            const Json::Value& params,
            TimePoint /*deadline*/,
            RpcCallback callback) override {
    this->calls.emplace_back(method, params);
    callback(this->result);
  }

  std::vector<std::pair<std::string, Json::Value>> calls;
  Result<Json::Value> result = Json::Value(Json::objectValue);
};

struct Fixture {
  std::shared_ptr<FakeExchange> Send(const std::string& method,
                                     const std::string& path,
                                     const std::string& body = {}) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    auto exchange = std::make_shared<FakeExchange>(std::move(request));
    this->api.Handle(exchange);
    return exchange;
  }

  FakeLeader leader;
  ManualClock clock;
  std::shared_ptr<SharedState> state = std::make_shared<SharedState>();
  ControlApi api{leader, clock, [this] { return this->state; }, seconds(2)};
};

constexpr const char* kHeartbeatBody =
    R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","version":"v1",
        "slots":8,"state":"draining","warmup_left_ms":0,"sequence":4,
        "born":1700000000000})";

}  // namespace

// Guards against an acknowledged heartbeat whose fields reach the leader wrong.
BOOST_FIXTURE_TEST_CASE(HeartbeatIsForwardedToLeader, Fixture) {
  BOOST_TEST(this->Send("POST", "/api/instances/i-7/heartbeat", kHeartbeatBody)
                 ->status == 200);
  BOOST_REQUIRE(this->leader.calls.size() == 1U);
  const auto record = ServerRecordFromJson(this->leader.calls[0].second);
  BOOST_REQUIRE(record);
  BOOST_TEST(this->leader.calls[0].first == "server.heartbeat");
  BOOST_TEST(record.value().server_id == "i-7");
  BOOST_TEST(record.value().incarnation == 1700000000000U);
  BOOST_TEST(record.value().sequence == 4U);
  BOOST_TEST(record.value().leaving);
}

// Guards against orders and routing that do not know which servers will leave,
// and against servers that become unknown by odd values of these fields.
BOOST_FIXTURE_TEST_CASE(HeartbeatStatesWhenTheServerLeaves, Fixture) {
  Json::Value beat = ParseJson(kHeartbeatBody).value();
  const auto send = [&] {
    this->Send("POST", "/api/instances/i-7/heartbeat", WriteJson(beat));
    return ServerRecordFromJson(this->leader.calls.back().second).value();
  };
  BOOST_TEST(!send().reclaimable);
  BOOST_TEST(send().leaves_at_ms == 0);
  beat["spot"] = true;
  beat["leaves_ms"] = 2400.5;
  BOOST_TEST(send().reclaimable);
  BOOST_TEST(send().leaves_at_ms == this->clock.WallTimeMs() + 2400);
  beat["leaves_ms"] = "soon";
  beat["spot"] = 1;
  BOOST_TEST(!send().reclaimable);
  BOOST_TEST(send().leaves_at_ms == 0);
}

// Guards against registering a server from a malformed heartbeat.
BOOST_FIXTURE_TEST_CASE(MalformedHeartbeatIsRejected, Fixture) {
  Json::Value beat = ParseJson(kHeartbeatBody).value();
  for (const std::string& key : beat.getMemberNames()) {
    if (key == "version" || key == "warmup_left_ms") {
      continue;
    }
    Json::Value broken = beat;
    broken[key] = Json::Value(Json::arrayValue);
    BOOST_TEST(
        this->Send("POST", "/api/instances/i-7/heartbeat", WriteJson(broken))
            ->status == 400);
    broken.removeMember(key);
    BOOST_TEST(
        this->Send("POST", "/api/instances/i-7/heartbeat", WriteJson(broken))
            ->status == 400);
  }
  beat["state"] = "resting";
  BOOST_TEST(this->Send("POST", "/api/instances/i-7/heartbeat", WriteJson(beat))
                 ->status == 400);
  BOOST_TEST(
      this->Send("POST", "/api/instances/i-7/heartbeat", "\xff{")->status ==
      400);
  BOOST_TEST(this->leader.calls.empty());
}

// Guards against an entry of another writer that ends the process, or is
// recorded as a server: nested too deeply, with numbers out of range, or longer
// than any name.
BOOST_FIXTURE_TEST_CASE(OddHeartbeatsNameNoServer, Fixture) {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const std::string long_text = "\"" + std::string(1000, 'z') + "\"";
  const std::vector<std::pair<const char*, std::string>> odd_values = {
      {"slots", "0"},
      {"slots", "-1"},
      {"slots", "1.5"},
      {"slots", "1e30"},
      {"slots", "1e999"},
      {"slots", "18446744073709551616"},
      {"sequence", "-1"},
      {"sequence", "9007199254740992"},
      {"born", "18446744073709551615"},
      {"born", "123456789012345678901234567890"},
      {"born", "0.5"},
      {"address", R"("10.0.0.9:0")"},
      {"address", R"("10.0.0.9:-1")"},
      {"address", R"("10.0.0.9:65536")"},
      {"address", R"("10.0.0.9:99999999999999999999")"},
      {"address", R"("10.0.0.9:80.5")"},
      {"address", R"("10.0.0.9")"},
      {"address", R"("10.0.0.256:80")"},
      {"address", R"("10.0.0.9\u0000:80")"},
      {"address", R"("")"},
      {"backend", long_text},
      {"zone", long_text},
      {"zone", deep},
      {"other", deep},
  };
  for (const auto& [key, value] : odd_values) {
    std::string body(kHeartbeatBody);
    Json::Value beat = ParseJson(body).value();
    beat.removeMember(key);
    body = WriteJson(beat);
    body.insert(1, std::string("\"") + key + "\":" + value + ",");
    BOOST_TEST(
        this->Send("POST", "/api/instances/i-7/heartbeat", body)->status == 400,
        key << " " << value.substr(0, 40));
  }
  for (const std::string& id : {std::string(), std::string(1000, 'i')}) {
    BOOST_TEST(this->Send("POST", "/api/instances/" + id + "/heartbeat",
                          kHeartbeatBody)
                   ->status == 400);
  }
  this->Send("POST", "/api/instances/i-7/deregister", deep);
  for (const auto& [method, params] : this->leader.calls) {
    BOOST_TEST(method == "server.leave");
  }
}

// Guards against an ID that no header can carry: requests with it would be cut,
// and the entry would take the place of the server at its address.
BOOST_FIXTURE_TEST_CASE(IdsThatNoHeaderCanCarryNameNoServer, Fixture) {
  for (const std::string& id :
       {std::string("i-7\r\n"), std::string("i-7\n"), std::string("\ri-7"),
        std::string("i-7\0", 4), std::string("i-7\x7f"), std::string("i-\t7"),
        std::string(" i-7"), std::string("i-7 "), std::string("i-\xff"),
        std::string("i-\xc3"), std::string("i-\xed\xa0\x80"),
        std::string(257, 'i')}) {
    for (const char* call : {"/heartbeat", "/deregister"}) {
      const auto exchange =
          this->Send("POST", "/api/instances/" + id + call, kHeartbeatBody);
      BOOST_TEST(exchange->status == 400, call << " of " << id);
    }
  }
  Json::Value beat = ParseJson(kHeartbeatBody).value();
  for (const char* key : {"backend", "zone"}) {
    Json::Value broken = beat;
    broken[key] = "a\r\n";
    BOOST_TEST(
        this->Send("POST", "/api/instances/i-7/heartbeat", WriteJson(broken))
            ->status == 400);
  }
  BOOST_TEST(this->leader.calls.empty());
}

// Guards against refusing a server for a character that its ID may have.
BOOST_FIXTURE_TEST_CASE(IdsThatAHeaderCanCarryAreForwarded, Fixture) {
  std::string printable;
  for (char symbol = '!'; symbol <= '~'; ++symbol) {
    printable.push_back(symbol);
  }
  for (const std::string& id :
       {printable, std::string("a b"), std::string("\xc3\xa9"),
        std::string(256, 'i')}) {
    BOOST_TEST(this->Send("POST", "/api/instances/" + id + "/heartbeat",
                          kHeartbeatBody)
                   ->status == 200);
    const auto record = ServerRecordFromJson(this->leader.calls.back().second);
    BOOST_REQUIRE(record);
    BOOST_TEST(record.value().server_id == id);
  }
}

// Bodies of which members are missing, repeated or replaced, or of which bytes
// are changed, sent to each call. Guards against one that ends the process, or
// that reaches the leader as a record that cannot be read.
BOOST_FIXTURE_TEST_CASE(ChangedBodiesAreAnswered, Fixture) {
  const int cases = MalformedCaseCount();
  const std::vector<std::string> values = {"null",
                                           "-1",
                                           "0",
                                           "1.5",
                                           "1e300",
                                           "true",
                                           "\"\"",
                                           "\"x\"",
                                           "[]",
                                           "{}",
                                           "[[1]]",
                                           "{\"a\":{}}",
                                           "\"\\u0000\"",
                                           "\"\xff\"",
                                           "9007199254740993",
                                           "9223372036854775808",
                                           "18446744073709551616",
                                           "\"" + std::string(300, 'z') + "\""};
  const std::string configuration =
      R"({"version":3,"route_table":[{"name":"r","hostname":"h.example",
          "path_prefix":"/a/","route_type":"idempotent","timeout_ms":1500,
          "backend":"llm"}],"backends":[{"name":"llm"}],"tenants":[]})";
  std::mt19937 random(1);
  int accepted = 0;
  for (int i = 0; i < cases; ++i) {
    const bool heartbeat = random() % 2 == 0;
    Json::Value body =
        ParseJson(heartbeat ? kHeartbeatBody : configuration).value();
    std::string odd;
    for (std::size_t changes = random() % 3; changes > 0; --changes) {
      const auto names = body.getMemberNames();
      const std::string& name = names[random() % names.size()];
      if (random() % 4 != 0) {
        odd +=
            fmt::format("\"{}\":{},", name, values[random() % values.size()]);
      }
      if (random() % 4 != 0) {
        body.removeMember(name);
      }
    }
    std::string bytes = WriteJson(body);
    bytes.insert(1, odd);
    if (random() % 4 == 0) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 8 == 0) {
      bytes.resize(random() % bytes.size());
    }
    const std::vector<std::string> paths = {
        heartbeat ? "/api/instances/i-7/heartbeat" : "/api/config/replace",
        "/api/instances/i-7/deregister"};
    const std::string& path = paths[random() % 8 == 0 ? 1 : 0];
    const int status = this->Send("POST", path, bytes)->status;
    BOOST_TEST((status == 200 || status == 400), status << " for " << bytes);
    accepted += status == 200 ? 1 : 0;
  }
  BOOST_TEST(accepted > cases / 20);
  BOOST_TEST(this->leader.calls.size() == static_cast<std::size_t>(accepted));
  for (const auto& [method, params] : this->leader.calls) {
    BOOST_TEST((method != "server.heartbeat" ||
                ServerRecordFromJson(params).has_value()),
               WriteJson(params));
    BOOST_TEST(ParseJson(WriteJson(params)).has_value());
  }
}

// Guards against an acknowledgement of a change that may not be committed.
BOOST_FIXTURE_TEST_CASE(UncertainOutcomeIsNotAcknowledged, Fixture) {
  this->leader.result = MakeError(ResultCode::kNoQuorum);
  BOOST_TEST(this->Send("POST", "/api/instances/i-7/deregister")->status ==
             503);
  BOOST_TEST(this->Send("GET", "/api/config/fetch")->status == 503);
}

// Guards against forwarding an invalid configuration to the leader.
BOOST_FIXTURE_TEST_CASE(InvalidConfigurationIsRejected, Fixture) {
  BOOST_TEST(
      this->Send("POST", "/api/config/replace", "{\"version\": 3")->status ==
      400);
  BOOST_TEST(
      this->Send("POST", "/api/config/replace", "{\"version\": 3}")->status ==
      400);
  BOOST_TEST(this->leader.calls.empty());
}

// Guards against an operator that repeats for ever what the log cannot hold.
BOOST_FIXTURE_TEST_CASE(ConfigurationLargerThanAnEntryIsFinal, Fixture) {
  const std::string body = R"({"version":3,"route_table":[],"backends":[]})";
  this->leader.result = MakeError(ResultCode::kEntryTooLarge,
                                  "the entry has 2 bytes; the log accepts 1");
  const auto refused = this->Send("POST", "/api/config/replace", body);
  BOOST_TEST(refused->status == 413);
  BOOST_TEST(refused->body.find("accepts 1") != std::string::npos);
  this->leader.result = MakeError(ResultCode::kLogBusy);
  BOOST_TEST(this->Send("POST", "/api/config/replace", body)->status == 503);
}

// Guards against a fetched configuration that differs from the stored one.
BOOST_FIXTURE_TEST_CASE(FetchedConfigurationEqualsReplacement, Fixture) {
  const std::string sent =
      R"({"version":3,"route_table":[],"backends":[],"extra":{"x":[1.5,null]}})";
  BOOST_TEST(this->Send("POST", "/api/config/replace", sent)->status == 200);
  Json::Value shown;
  shown["document"] = this->leader.calls[0].second["document"];
  this->leader.result = shown;
  const auto exchange = this->Send("GET", "/api/config/fetch");
  BOOST_TEST(exchange->status == 200);
  BOOST_TEST((ParseJson(exchange->body).value() == ParseJson(sent).value()));
}

// Guards against sending the whole configuration through the leader's RPC, and
// writing it, for each fetch.
BOOST_FIXTURE_TEST_CASE(KnownConfigurationIsFetchedWithoutTheDocument,
                        Fixture) {
  this->state->configuration_version = 3;
  this->state->configuration = ParseJson(R"({"version":3})").value();
  this->leader.result = ParseJson(R"({"version":3,"unchanged":true})").value();
  BOOST_TEST(this->Send("GET", "/api/config/fetch")->body ==
             R"({"version":3})");
  BOOST_TEST(this->leader.calls[0].second["known_version"].asUInt64() == 3U);
  // The leader has another version, or belongs to an earlier release.
  this->leader.result =
      ParseJson(R"({"version":4,"document":{"version":4}})").value();
  BOOST_TEST(this->Send("GET", "/api/config/fetch")->body ==
             R"({"version":4})");
}

// Guards against returning addresses of draining gateways.
BOOST_FIXTURE_TEST_CASE(ResolveOmitsDrainingGateways, Fixture) {
  BOOST_TEST(this->Send("GET", "/api/resolve")->status == 503);
  this->state->entries = {{"e1", "10.0.0.1:80", "a", "x", false, "", ""},
                          {"e2", "10.0.0.2:80", "a", "x", true, "", ""}};
  const auto exchange = this->Send("GET", "/api/resolve");
  BOOST_TEST(exchange->body == R"({"addresses":["10.0.0.1:80"],"ttl_s":2.0})");
}

}  // namespace sycamorebend::platform
