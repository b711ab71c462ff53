#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

#include "control_fixture.h"

namespace sycamorebend {

namespace {

struct OrderFixture : ControlFixture {
  Result<Json::Value> Begin(const std::string& key,
                            const std::string& attempt,
                            const std::string& digest = "d",
                            std::int64_t created_ms = 0) {
    Json::Value command;
    command["type"] = "order.begin";
    command["customer"] = "c";
    command["key"] = key;
    command["attempt_id"] = attempt;
    command["entry_id"] = "e-" + attempt;
    command["body_digest"] = digest;
    if (created_ms != 0) {
      command["created_ms"] = Json::Int64(created_ms);
    }
    return this->Run(WriteJson(command));
  }

  Result<Json::Value> Finish(const std::string& key,
                             const std::string& attempt,
                             const std::string& outcome,
                             const std::string& response = "") {
    Json::Value command;
    command["type"] = "order.finish";
    command["customer"] = "c";
    command["key"] = key;
    command["attempt_id"] = attempt;
    command["state"] = outcome;
    if (outcome == "ran") {
      command["status"] = 200;
      command["response"] = response;
    }
    return this->Run(WriteJson(command));
  }
};

}  // namespace

// Guards against a second run when the caller sends the order again.
BOOST_FIXTURE_TEST_CASE(ResendGetsTheRecord, OrderFixture) {
  BOOST_TEST(this->Begin("k", "1").value()["granted"].asBool());
  const Json::Value waiting = this->Begin("k", "2").value();
  BOOST_TEST(!waiting["granted"].asBool());
  BOOST_TEST(waiting["record"]["state"] == "started");
  this->Finish("k", "1", "ran", "done").value();
  BOOST_TEST(this->Restart().has_value());
  const Json::Value replay = this->Begin("k", "3").value();
  BOOST_TEST(!replay["granted"].asBool());
  BOOST_TEST(replay["record"]["state"] == "ran");
  BOOST_TEST(replay["record"]["status"] == 200);
  BOOST_TEST(replay["record"]["response"] == "done");
}

// Guards against an order that nobody runs because the grant's answer was
// lost, and against a grant after the outcome was recorded.
BOOST_FIXTURE_TEST_CASE(SameAttemptIsGrantedAgainUntilItFinishes,
                        OrderFixture) {
  this->Begin("k", "1").value();
  BOOST_TEST(this->Begin("k", "1").value()["granted"].asBool());
  this->Finish("k", "1", "not_run").value();
  BOOST_TEST(!this->Begin("k", "1").value()["granted"].asBool());
}

// Guards against another process that declares a frozen holder's order not run.
BOOST_FIXTURE_TEST_CASE(OnlyTheHolderFinishes, OrderFixture) {
  this->Begin("k", "1").value();
  BOOST_TEST((CodeOf(this->Finish("k", "2", "not_run")) ==
              ResultCode::kOrderNotHolder));
  BOOST_TEST(
      (CodeOf(this->Finish("none", "1", "not_run")) == ResultCode::kNotFound));
  this->now_ms += 3600LL * 1000;
  BOOST_TEST(this->Begin("k", "2").value()["record"]["state"] == "started");
}

// Guards against an outcome that changes after it was told to a caller.
BOOST_FIXTURE_TEST_CASE(OutcomeIsFinal, OrderFixture) {
  this->Begin("k", "1").value();
  this->Finish("k", "1", "not_run").value();
  BOOST_TEST(this->Finish("k", "1", "not_run").has_value());
  BOOST_TEST(
      (CodeOf(this->Finish("k", "1", "ran")) == ResultCode::kOrderNotHolder));
  const Json::Value again = this->Begin("k", "2").value();
  BOOST_TEST(!again["granted"].asBool());
  BOOST_TEST(again["record"]["state"] == "not_run");
}

// Guards against running an order without a usable key.
BOOST_FIXTURE_TEST_CASE(KeysAreChecked, OrderFixture) {
  BOOST_TEST((CodeOf(this->Begin("", "1")) == ResultCode::kOrderKeyMissing));
  BOOST_TEST((CodeOf(this->Begin(std::string(256, 'k'), "1")) ==
              ResultCode::kOrderKeyInvalid));
  this->Begin("k", "1").value();
  BOOST_TEST(
      (CodeOf(this->Begin("k", "1", "other")) == ResultCode::kOrderKeyReused));
  const std::int64_t old_ms = this->now_ms - this->limits.order_retention_ms;
  BOOST_TEST((CodeOf(this->Begin("o", "1", "d", old_ms - 1)) ==
              ResultCode::kOrderKeyExpired));
  BOOST_TEST(this->Begin("p", "1", "d", old_ms).has_value());
  BOOST_TEST((CodeOf(this->Begin("q", "1", "d", this->now_ms + 3600000)) ==
              ResultCode::kOrderKeyInvalid));
}

// Guards against an old key that runs again once its record is dropped.
BOOST_FIXTURE_TEST_CASE(OldKeysStayRefused, OrderFixture) {
  this->Begin("k", "1").value();
  this->Finish("k", "1", "ran", "done").value();
  const std::int64_t created_ms = this->now_ms;
  this->now_ms += this->limits.order_retention_ms + 1;
  BOOST_TEST((CodeOf(this->Begin("k", "2")) == ResultCode::kOrderKeyExpired));
  BOOST_TEST(this->state->Counts()["order_response_bytes"].asInt() == 0);
  this->now_ms += this->limits.order_key_retention_ms;
  BOOST_TEST((CodeOf(this->Begin("k", "2", "d", created_ms)) ==
              ResultCode::kOrderKeyExpired));
  BOOST_TEST(this->state->Counts()["orders"].asInt() == 0);
}

// Guards against memory that grows with the answers, and against dropping the
// fact that the order ran.
BOOST_FIXTURE_TEST_CASE(StoredAnswersAreBounded, OrderFixture) {
  ControlLimits small;
  small.max_order_response_bytes = 100;
  small.max_total_order_response_bytes = 250;
  this->Create(small);
  for (int i = 0; i < 10; ++i) {
    const std::string key = std::to_string(i);
    this->Begin(key, "1").value();
    this->Finish(key, "1", "ran", std::string(90, 'x')).value();
  }
  this->Begin("large", "1").value();
  this->Finish("large", "1", "ran", std::string(200, 'x')).value();
  BOOST_TEST(this->state->Counts()["order_response_bytes"].asUInt64() <= 250U);
  for (const char* key : {"0", "large"}) {
    const Json::Value record = this->Begin(key, "2").value()["record"];
    BOOST_TEST(record["state"] == "ran");
    BOOST_TEST(record["response_dropped"].asBool());
  }
  BOOST_TEST(
      !this->Begin("9", "2").value()["record"]["response_dropped"].asBool());
}

// Guards against making room by forgetting an order that a caller may resend.
BOOST_FIXTURE_TEST_CASE(FullTableRefusesNewOrders, OrderFixture) {
  ControlLimits small;
  small.orders = 2;
  this->Create(small);
  this->Begin("a", "1").value();
  this->Begin("b", "1").value();
  BOOST_TEST((CodeOf(this->Begin("c", "1")) == ResultCode::kStorageFull));
  BOOST_TEST(!this->Begin("a", "2").value()["granted"].asBool());
  this->now_ms += small.order_retention_ms + 1;
  BOOST_TEST(this->Begin("c", "1").value()["granted"].asBool());
}

// Guards against double runs and wrong not_run answers in any interleaving:
// attempts ask, lose answers, send, freeze and finish in a random sequence.
BOOST_FIXTURE_TEST_CASE(RandomHistoryKeepsTheRules, OrderFixture) {
  struct Attempt {
    bool granted = false;
    bool sent = false;
    bool gave_up = false;
  };
  std::map<std::pair<std::string, std::string>, Attempt> attempts;
  std::map<std::string, int> runs;
  std::map<std::string, std::string> told;
  std::mt19937 random(20261204);
  for (int step = 0; step < 50000; ++step) {
    this->now_ms += static_cast<std::int64_t>(random() % 20);
    if (step % 5000 == 4999) {
      BOOST_REQUIRE(this->Restart().has_value());
    }
    const std::string key = "k" + std::to_string(random() % 300);
    const std::string id = std::to_string(random() % 4);
    Attempt& attempt = attempts[{key, id}];
    switch (random() % 4) {
      case 0: {
        const Json::Value answer = this->Begin(key, id).value();
        const std::string outcome = answer["record"]["state"].asString();
        if (told.count(key) > 0) {
          BOOST_REQUIRE(outcome == told[key]);
        }
        if (outcome != "started") {
          told[key] = outcome;
          BOOST_REQUIRE(runs[key] == (outcome == "ran" ? 1 : 0));
        }
        // One answer in three is lost.
        if (random() % 3 != 0) {
          attempt.granted = answer["granted"].asBool() || attempt.granted;
        }
        break;
      }
      case 1:
        // A holder sends at most once, and not after it gave up.
        if (attempt.granted && !attempt.sent && !attempt.gave_up) {
          attempt.sent = true;
          ++runs[key];
          BOOST_REQUIRE(runs[key] == 1);
        }
        break;
      case 2:
        if (attempt.sent) {
          BOOST_REQUIRE(this->Finish(key, id, "ran").has_value());
        }
        break;
      default:
        // A process that did not send may say so; only a holder is believed.
        if (!attempt.sent) {
          attempt.gave_up = true;
          (void)this->Finish(key, id, "not_run");
        }
        break;
    }
  }
  BOOST_TEST(!told.empty());
}

}  // namespace sycamorebend
