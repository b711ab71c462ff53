#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include "control/record_codec.h"
#include "control_fixture.h"

namespace sycamorebend {

namespace {

struct LostMemberFixture : ControlFixture {
  void RunEntry(const std::string& type,
                const std::string& id,
                const std::string& notice_address,
                bool draining = false) {
    Json::Value command;
    command["type"] = type;
    command["entry_id"] = id;
    command["address"] = "127.0.0.1:80";
    command["incarnation"] = "1";
    command["draining"] = draining;
    command["notice_address"] = notice_address;
    BOOST_REQUIRE(this->Run(WriteJson(command)).has_value());
  }

  void Lose(const std::string& id, const std::string& notice_address) {
    this->RunEntry("entry.join", id, notice_address);
    this->RunEntry("entry.expire", id, notice_address);
  }

  void SetReplicas(const std::vector<std::string>& addresses) {
    Json::Value command;
    command["type"] = "replicas.set";
    command["addresses"] = Json::Value(Json::arrayValue);
    for (const std::string& address : addresses) {
      command["addresses"].append(address);
    }
    BOOST_REQUIRE(this->Run(WriteJson(command)).has_value());
  }

  // @return the IDs of the lost entry daemons.
  std::string Entries() const {
    std::string ids;
    for (const LostEntry& lost : this->state->Lost().entries) {
      ids += lost.entry_id + " ";
    }
    return ids;
  }

  // @return the addresses of the former replicas.
  std::string Replicas() const {
    std::string addresses;
    for (const FormerReplica& former : this->state->Lost().replicas) {
      addresses += former.address + " ";
    }
    return addresses;
  }
};

}  // namespace

// Guards against a gateway that is forgotten when its lease expires, so that
// nobody can tell it that all control replicas were replaced (issue 51).
BOOST_FIXTURE_TEST_CASE(ExpiredEntryIsKeptUntilItReturns, LostMemberFixture) {
  this->Lose("a", "127.0.0.1:1");
  this->Lose("b", "127.0.0.1:2");
  BOOST_TEST(this->Entries() == "a b ");
  BOOST_TEST(this->state->Lost().entries.front().expired_ms == this->now_ms);
  BOOST_REQUIRE(this->Restart());
  BOOST_TEST(this->Entries() == "a b ");
  this->RunEntry("entry.join", "a", "127.0.0.1:3");
  BOOST_TEST(this->Entries() == "b ");
  this->RunEntry("entry.join", "c", "127.0.0.1:2");
  BOOST_TEST(this->Entries().empty());
}

// Guards against notices for an hour to gateways that stopped as planned, that
// receive none, or whose address is in use by a present one.
BOOST_FIXTURE_TEST_CASE(EntryThatIsNotLostIsNotKept, LostMemberFixture) {
  this->RunEntry("entry.join", "draining", "127.0.0.1:1", true);
  this->RunEntry("entry.expire", "draining", "127.0.0.1:1");
  this->Lose("earlier-release", "");
  this->RunEntry("entry.join", "replaced", "127.0.0.1:2");
  this->RunEntry("entry.join", "successor", "127.0.0.1:2");
  this->RunEntry("entry.expire", "replaced", "127.0.0.1:2");
  BOOST_TEST(this->Entries().empty());
}

// Guards against tables that grow with the gateways and replicas that a
// deployment ever had.
BOOST_FIXTURE_TEST_CASE(LostMembersAreBounded, LostMemberFixture) {
  std::vector<std::string> replicas;
  replicas.reserve(20);
  for (int i = 0; i < 20; ++i) {
    replicas.push_back(fmt::format("127.0.0.1:{}", 100 + i));
  }
  this->SetReplicas(replicas);
  this->SetReplicas({"127.0.0.1:99"});
  BOOST_TEST(this->state->Lost().replicas.size() == 16U);
  for (int i = 0; i < 1030; ++i) {
    this->Lose(std::to_string(i), fmt::format("127.0.0.1:{}", 1000 + i));
  }
  BOOST_TEST(this->state->Lost().entries.size() == 1024U);
  BOOST_TEST(this->state->Lost().entries.front().entry_id == "6");

  const std::int64_t hour_ms = 3600LL * 1000;
  BOOST_TEST(!this->state->NeedsTick(this->now_ms + hour_ms - 1));
  BOOST_TEST(this->state->NeedsTick(this->now_ms + hour_ms));
  this->now_ms += hour_ms;
  BOOST_REQUIRE(this->Run(R"({"type":"clock.tick"})").has_value());
  BOOST_TEST(this->Entries().empty());
  BOOST_TEST(this->Replicas().empty());
}

// Guards against a control replica that was frozen while it was removed and
// that nobody tells so.
BOOST_FIXTURE_TEST_CASE(RemovedReplicaIsKeptUntilItReturns, LostMemberFixture) {
  this->SetReplicas({"127.0.0.1:1", "127.0.0.1:2"});
  this->SetReplicas({"127.0.0.1:3", "127.0.0.1:2"});
  this->SetReplicas({"127.0.0.1:3"});
  BOOST_REQUIRE(this->Restart());
  BOOST_TEST(this->Replicas() == "127.0.0.1:1 127.0.0.1:2 ");
  this->SetReplicas({"127.0.0.1:3", "127.0.0.1:1"});
  BOOST_TEST(this->Replicas() == "127.0.0.1:2 ");
}

// Guards against a replica that cannot load the snapshot of an earlier release,
// whose header has no lost members.
BOOST_FIXTURE_TEST_CASE(SnapshotWithoutLostMembersIsLoaded, LostMemberFixture) {
  this->Lose("a", "127.0.0.1:1");
  const std::string snapshot = this->state->Snapshot();
  internal::RecordReader reader(std::string_view(snapshot).substr(1));
  const std::string_view text = reader.Text();
  const std::size_t end = 1 + sizeof(std::uint64_t) + text.size();
  Json::Value header = ParseJson(text).value();
  BOOST_REQUIRE(header.isMember("lost"));
  header.removeMember("lost");
  std::string earlier = snapshot.substr(0, 1);
  internal::RecordWriter(earlier).Text(WriteJson(header));
  this->Create({});
  BOOST_REQUIRE(this->state->Restore(earlier + snapshot.substr(end)));
  BOOST_TEST(this->Entries().empty());
}

// Guards against a configuration feed that grows with each lost gateway.
BOOST_FIXTURE_TEST_CASE(LostMembersAreNotInTheSharedState, LostMemberFixture) {
  this->Lose("a", "127.0.0.1:1");
  const std::string shared =
      WriteJson(SharedStateToJson(*this->state->Shared()));
  BOOST_TEST(shared.find("127.0.0.1:1") == std::string::npos);
}

}  // namespace sycamorebend
