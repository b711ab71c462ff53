#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>

#include <random>

#include "control/record_codec.h"
#include "control_fixture.h"

namespace sycamorebend {

// Guards against a lost update when two operators base changes on version 1.
BOOST_FIXTURE_TEST_CASE(RacingOperatorsWithEqualVersions, ControlFixture) {
  BOOST_TEST(this->Configure("a", 0, 1).value()["version"].asUInt64() == 1U);
  BOOST_TEST(this->Configure("b", 1, 2, "bob").has_value());
  const Result<Json::Value> lost = this->Configure("c", 1, 3, "carol");
  BOOST_TEST((CodeOf(lost) == ResultCode::kVersionConflict));
  BOOST_TEST(lost.error().message.find("change \"b\" of operator \"bob\"") !=
             std::string::npos);
  BOOST_TEST((*this->state->Shared()->configuration)["content"] == 2);
}

// Guards against a conflict message that names the newest change instead of the
// one directly after the expected version.
BOOST_FIXTURE_TEST_CASE(ConflictNamesTheAcceptedChange, ControlFixture) {
  this->Configure("a", 0, 1).value();
  this->Configure("b", 1, 2).value();
  this->Configure("c", 2, 3).value();
  const Result<Json::Value> lost = this->Configure("d", 1, 4);
  BOOST_TEST(lost.error().message.find("version 2 is change \"b\"") !=
             std::string::npos);
}

// Guards against accepting a different change with an ID that is already used.
BOOST_FIXTURE_TEST_CASE(EqualChangeIdsWithDifferentBodies, ControlFixture) {
  this->Configure("a", 0, 1).value();
  BOOST_TEST(
      (CodeOf(this->Configure("a", 0, 2)) == ResultCode::kChangeIdReused));
  BOOST_TEST((CodeOf(this->Configure("a", 0, 1, "bob")) ==
              ResultCode::kChangeIdReused));
  BOOST_TEST(
      (CodeOf(this->Run(
           R"({"type":"server.drain","change_id":"a","server_id":"s"})")) ==
       ResultCode::kChangeIdReused));
}

// Guards against a retry that is applied again or rejected as a conflict, also
// after the state was restored from a snapshot.
BOOST_FIXTURE_TEST_CASE(RetryReturnsTheFirstResult, ControlFixture) {
  const Json::Value first = this->Configure("a", 0, 1).value();
  this->Configure("b", 1, 2).value();
  BOOST_TEST(this->Configure("a", 0, 1).value() == first);
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(this->Configure("a", 0, 1).value() == first);
  BOOST_TEST(this->state->Shared()->configuration_version == 2U);
}

// Guards against a retried drain command that reverts a later undrain.
BOOST_FIXTURE_TEST_CASE(RetriedDrainDoesNotRevertUndrain, ControlFixture) {
  const std::string drain =
      R"({"type":"server.drain","change_id":"1","server_id":"s"})";
  BOOST_TEST(this->Run(drain).value()["drained"].asBool());
  BOOST_TEST(this->state->Shared()->drained_servers.count("s") == 1U);
  this->Run(R"({"type":"server.undrain","change_id":"2","server_id":"s"})")
      .value();
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(this->Run(drain).value()["drained"].asBool());
  BOOST_TEST(this->state->Shared()->drained_servers.empty());
}

// Guards against applying a change again when its result is no longer kept.
BOOST_FIXTURE_TEST_CASE(EvictedChangeIdIsExpired, ControlFixture) {
  ControlLimits small;
  small.change_ids = 2;
  this->Create(small);
  const auto drain = [this](const std::string& id) {
    return this->Run(R"({"type":"server.drain","change_id":")" + id +
                     R"(","server_id":"s"})");
  };
  drain("1764806400000-a").value();
  this->now_ms += 1000;
  drain("1764806401000-b").value();
  drain("1764806401001-c").value();
  BOOST_TEST(
      (CodeOf(drain("1764806400000-a")) == ResultCode::kChangeIdExpired));
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(
      (CodeOf(drain("1764806400000-a")) == ResultCode::kChangeIdExpired));
  BOOST_TEST(drain("1764806401000-b").has_value());
  this->now_ms += small.change_id_retention_ms + 1;
  BOOST_TEST(
      (CodeOf(drain("1764806401001-c")) == ResultCode::kChangeIdExpired));
}

// Guards against change IDs from an operator whose clock is far ahead. After
// such an ID is evicted, either it would be accepted as new again or all later
// IDs would be rejected as expired.
BOOST_FIXTURE_TEST_CASE(ChangeIdFromTheFutureIsRejected, ControlFixture) {
  BOOST_TEST((CodeOf(this->Configure("9764806400000-a", 0, 1)) ==
              ResultCode::kMalformedRequest));
}

// Guards against a history that grows without bound or returns wrong documents.
BOOST_FIXTURE_TEST_CASE(HistoryIsBoundedAndExact, ControlFixture) {
  ControlLimits small;
  small.history_changes = 10;
  this->Create(small);
  for (int i = 0; i < 50; ++i) {
    this->Configure(std::to_string(i), i, i).value();
  }
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(this->state->History(100).size() == 10U);
  BOOST_TEST(
      this->state->ShowConfiguration(41).value()["document"]["content"] == 40);
  BOOST_TEST(this->state->ShowConfiguration(std::nullopt)
                 .value()["document"]["content"] == 49);
  BOOST_TEST(
      (CodeOf(this->state->ShowConfiguration(40)) == ResultCode::kNotFound));
}

// Guards against a snapshot whose size depends on the number of changes applied
// instead of the size of the state.
BOOST_FIXTURE_TEST_CASE(SnapshotDoesNotGrowWithHistory, ControlFixture) {
  ControlLimits small;
  small.history_changes = 10;
  small.change_ids = 10;
  this->Create(small);
  const auto change = [this](int from, int to) {
    for (int i = from; i < to; ++i) {
      this->Configure(std::to_string(100000 + i), i, 100000 + i).value();
    }
    return this->state->Snapshot().size();
  };
  const std::size_t early = change(0, 100);
  BOOST_TEST(change(100, 2000) < early + 200);
}

// Guards against replicas that diverge: the same commands must return the same
// bytes on every replica, including those restored from a snapshot.
BOOST_FIXTURE_TEST_CASE(RestoredReplicaContinuesEqually, ControlFixture) {
  ControlLimits small;
  small.orders = 20;
  small.max_total_order_response_bytes = 100;
  small.order_retention_ms = 2000;
  small.order_key_retention_ms = 3000;
  this->Create(small);
  ControlFixture other;
  other.Create(small);
  std::mt19937 random(7);
  for (int i = 0; i < 2000; ++i) {
    if (i % 97 == 0) {
      BOOST_REQUIRE(other.Restart().has_value());
    }
    Json::Value fields;
    fields["customer"] = "c";
    fields["key"] = std::to_string(random() % 60);
    fields["attempt_id"] = std::to_string(random() % 3);
    fields["entry_id"] = "e";
    fields["body_digest"] = "d";
    fields["type"] = random() % 2 == 0 ? "order.begin" : "order.finish";
    fields["state"] = "ran";
    fields["response"] = "0123456789";
    const std::string command = WriteJson(fields);
    this->now_ms += static_cast<std::int64_t>(random() % 50);
    other.now_ms = this->now_ms;
    ++this->index;
    BOOST_REQUIRE(this->state->Apply(this->index, this->now_ms, command) ==
                  other.state->Apply(this->index, this->now_ms, command));
  }
  BOOST_TEST(this->state->Snapshot() == other.state->Snapshot());
}

// Guards against a crash or a partly loaded state after a damaged snapshot.
BOOST_FIXTURE_TEST_CASE(DamagedSnapshotIsRejected, ControlFixture) {
  this->Configure("a", 0, 1).value();
  const std::string snapshot = this->state->Snapshot();
  for (std::size_t size = 0; size < snapshot.size(); ++size) {
    BOOST_TEST(!this->state->Restore(snapshot.substr(0, size)).has_value());
  }
  for (const char* header :
       {"[]", "{}", R"({"format":2})", R"({"format":1,"history":3})"}) {
    std::string damaged = "S";
    internal::RecordWriter(damaged).Text(header);
    const Status restored = this->state->Restore(damaged);
    BOOST_TEST(!restored.has_value());
    BOOST_TEST(restored.error().message.find("incomplete") ==
               std::string::npos);
  }
  BOOST_TEST(this->state->Snapshot() == snapshot);
  // A snapshot with a changed byte is rejected or gives a usable state.
  for (std::size_t place = 0; place < snapshot.size(); ++place) {
    std::string damaged = snapshot;
    damaged[place] = static_cast<char>(damaged[place] ^ 0x11);
    ControlFixture other;
    if (other.state->Restore(damaged)) {
      (void)other.Configure("b", 1, 2);
      (void)other.state->Snapshot();
    }
  }
}

// Guards against malformed commands that crash the replica or change the state.
BOOST_FIXTURE_TEST_CASE(MalformedCommandsAreRejected, ControlFixture) {
  const std::string before = this->state->Snapshot();
  const std::vector<std::string> commands = {
      "",
      "[]",
      "3",
      "{}",
      R"({"type":3})",
      R"({"type":"none"})",
      R"({"type":"config.apply"})",
      R"({"type":"config.apply","change_id":3})",
      R"({"type":"config.apply","change_id":"a","operator":"b","document":{}})",
      R"({"type":"config.apply","change_id":"a","operator":"b",)" +
          std::string(R"("expected_version":-1,"document":{}})"),
      R"({"type":"config.apply","change_id":"a","operator":"b",)" +
          std::string(R"("expected_version":0,"document":[]})"),
      R"({"type":"order.begin","key":"k"})",
      R"({"type":"order.finish"})",
      R"({"type":"order.begin","key":["k"]})",
      R"({"type":"entry.join"})",
      R"({"type":"finding.report","candidates":3})",
      R"({"type":"fence.take"})",
  };
  for (const std::string& command : commands) {
    const Result<Json::Value> result = this->Run(command);
    BOOST_TEST(!result.has_value(), command);
    BOOST_TEST(!result.error().message.empty(), command);
  }
  BOOST_TEST(this->state->Snapshot() == before);
}

// Guards against a change of the shared state that doesn't get a new version,
// because the feed would not deliver it.
BOOST_FIXTURE_TEST_CASE(SharedVersionGrowsWithVisibleChanges, ControlFixture) {
  this->Run(R"({"type":"cluster.init","epoch":"x"})").value();
  this->Run(R"({"type":"cluster.init","epoch":"y"})").value();
  BOOST_TEST(this->state->Shared()->epoch == "x");
  BOOST_TEST(this->state->Shared()->version == 1U);
  this->Configure("a", 0, 1).value();
  this->Run(R"({"type":"entry.join","entry_id":"e","address":"127.0.0.1:1",)"
            R"("failure_domain":"a","incarnation":"1"})")
      .value();
  this->Run(R"({"type":"fence.take","holder":"h"})").value();
  BOOST_TEST(this->state->Shared()->version == 3U);
  BOOST_TEST(this->published.size() == 3U);
  for (std::size_t i = 0; i < this->published.size(); ++i) {
    BOOST_TEST(this->published[i]->version == i + 1);
  }
}

// Guards against draining or expiring an entry daemon that has restarted since
// the command was issued.
BOOST_FIXTURE_TEST_CASE(ExpiryNamesAnIncarnation, ControlFixture) {
  const auto entry = [this](const std::string& type,
                            const std::string& incarnation) {
    this->Run(R"({"type":")" + type +
              R"(","entry_id":"e","address":"127.0.0.1:1","incarnation":")" +
              incarnation + "\"}")
        .value();
  };
  entry("entry.join", "1");
  entry("entry.join", "2");
  entry("entry.expire", "1");
  entry("entry.drain", "1");
  BOOST_REQUIRE(this->state->Shared()->entries.size() == 1U);
  BOOST_TEST(!this->state->Shared()->entries[0].draining);
  entry("entry.drain", "2");
  BOOST_TEST(this->state->Shared()->entries[0].draining);
  entry("entry.expire", "2");
  BOOST_TEST(this->state->Shared()->entries.empty());
}

// Guards against a fencing token that is issued twice.
BOOST_FIXTURE_TEST_CASE(FencingTokensIncrease, ControlFixture) {
  const std::string take = R"({"type":"fence.take","holder":"h"})";
  BOOST_TEST(this->Run(take).value()["fence"].asInt() == 1);
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(this->Run(take).value()["fence"].asInt() == 2);
}

namespace {

Json::Value RandomJson(std::mt19937& random, int depth) {
  switch (depth == 0 ? random() % 3 : random() % 5) {
    case 0:
      return Json::Value();
    case 1:
      return Json::Value(static_cast<int>(random() % 3));
    case 2:
      return Json::Value("text");
    case 3: {
      Json::Value list(Json::arrayValue);
      for (unsigned i = random() % 5; i > 0; --i) {
        list.append(RandomJson(random, depth - 1));
      }
      return list;
    }
    default: {
      Json::Value object(Json::objectValue);
      for (unsigned i = random() % 5; i > 0; --i) {
        object[std::string(1, static_cast<char>('a' + random() % 4))] =
            RandomJson(random, depth - 1);
      }
      return object;
    }
  }
}

}  // namespace

// Guards against a patch whose result differs from the original value.
BOOST_AUTO_TEST_CASE(PatchLeadsToTheSameValue) {
  std::mt19937 random(11);
  for (int i = 0; i < 20000; ++i) {
    const Json::Value before = RandomJson(random, 4);
    const Json::Value after = RandomJson(random, 4);
    const Json::Value patch = DiffJson(before, after);
    BOOST_REQUIRE(PatchJson(before, patch).value() == after);
    // Applying a patch to another value may fail but must not crash.
    (void)PatchJson(RandomJson(random, 4), patch);
    (void)PatchJson(before, RandomJson(random, 4));
  }
}

}  // namespace sycamorebend
