#include "controld/replica_manager.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>

#include "controld/replica_identity.h"
#include "controld/server_liveness.h"

namespace sycamorebend {

namespace {

using Kind = ReplicaChange::Kind;

struct Cluster {
  ReplicatedLog::ReplicaStatus& Add(ReplicaId id, bool voter) {
    ReplicatedLog::ReplicaStatus replica;
    replica.id = id;
    replica.voter = voter;
    replica.reachable = true;
    replica.match_index = 100;
    this->status.replicas.push_back(replica);
    return this->status.replicas.back();
  }

  Cluster() {
    this->status.id = 1;
    this->status.is_leader = true;
    this->status.commit_index = 100;
    for (ReplicaId id = 1; id <= 3; ++id) {
      this->Add(id, true);
    }
    this->planner.Plan(this->status, this->now);
  }

  std::optional<ReplicaChange> After(Duration time) {
    this->now += time;
    return this->planner.Plan(this->status, this->now);
  }

  ReplicatedLog::LogStatus status;
  TimePoint now{seconds(100)};
  ReplicaPlanner planner{ReplicaSetGoal{3, seconds(2), seconds(60)}};
};

std::string TemporaryDirectory() {
  char name[] = "/tmp/sycamorebend_identity_XXXXXX";
  BOOST_REQUIRE(mkdtemp(name) != nullptr);
  return name;
}

}  // namespace

// Guards against a smaller set after the loss of a replica that nothing can
// replace, which would need fewer losses to stop.
BOOST_FIXTURE_TEST_CASE(LostVoterStaysWithoutASuccessor, Cluster) {
  this->status.replicas[2].reachable = false;
  BOOST_TEST(!this->After(seconds(30)).has_value());
}

// Guards against a second loss before the first is made good.
BOOST_FIXTURE_TEST_CASE(LostVoterIsReplacedByALearner, Cluster) {
  this->status.replicas[2].reachable = false;
  this->Add(4, false);
  BOOST_TEST(!this->After(milliseconds(500)).has_value());
  auto change = this->After(seconds(2));
  BOOST_REQUIRE(change);
  BOOST_TEST((change->kind == Kind::kPromote));
  BOOST_TEST(change->id == 4U);
  this->status.replicas[3].voter = true;
  change = this->After(milliseconds(200));
  BOOST_REQUIRE(change);
  BOOST_TEST((change->kind == Kind::kRemove));
  BOOST_TEST(change->id == 3U);
}

// Guards against a vote for a replica that lacks the log.
BOOST_FIXTURE_TEST_CASE(LearnerWithoutTheLogIsNotPromoted, Cluster) {
  this->status.replicas.pop_back();
  ReplicatedLog::ReplicaStatus& learner = this->Add(4, false);
  learner.match_index = 0;
  BOOST_TEST(!this->After(seconds(3)).has_value());
  learner.match_index = 99;
  BOOST_REQUIRE(this->After(seconds(1)).has_value());
}

// Guards against changes of a healthy set when machines are added.
BOOST_FIXTURE_TEST_CASE(SpareReplicasWait, Cluster) {
  this->Add(4, false);
  this->Add(5, false);
  BOOST_TEST(!this->After(seconds(10)).has_value());
}

// Guards against a leader that removes itself, and against learners that are
// kept for ever.
BOOST_FIXTURE_TEST_CASE(SurplusAndForgottenReplicasAreRemoved, Cluster) {
  this->Add(4, true);
  auto change = this->After(seconds(1));
  BOOST_REQUIRE(change);
  BOOST_TEST((change->kind == Kind::kRemove));
  BOOST_TEST(change->id != 1U);
  this->status.replicas.pop_back();
  this->Add(5, false).reachable = false;
  this->After(seconds(1));
  change = this->After(seconds(61));
  BOOST_REQUIRE(change);
  BOOST_TEST(change->id == 5U);
}

// Guards against founders that disagree about their IDs, and against a second
// set founded by another machine.
BOOST_AUTO_TEST_CASE(FoundersFollowFromTheSeeds) {
  const auto first =
      FounderIdentity({"10.2.0.1:7", "10.1.0.1:7"}, "10.1.0.1:7");
  const auto second =
      FounderIdentity({"10.1.0.1:7", "10.2.0.1:7"}, "10.2.0.1:7");
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(first->id == 1U);
  BOOST_TEST(second->id == 2U);
  BOOST_TEST(first->founders.size() == 2U);
  BOOST_TEST(!FounderIdentity({"10.1.0.1:7"}, "10.9.0.1:7").has_value());
}

// Guards against an identity that is lost, invented or kept after it was given
// up.
BOOST_AUTO_TEST_CASE(IdentityIsStoredUntilErased) {
  const std::string directory = TemporaryDirectory();
  BOOST_TEST(!LoadIdentity(directory).value().has_value());
  BOOST_REQUIRE(StoreIdentity(directory, {9, {{1, "10.0.0.1:7"}}}));
  const auto loaded = LoadIdentity(directory).value();
  BOOST_TEST(loaded->id == 9U);
  BOOST_TEST(loaded->founders[0].address == "10.0.0.1:7");
  std::ofstream(directory + "/log-1") << "x";
  BOOST_REQUIRE(EraseReplica(directory));
  BOOST_TEST(std::filesystem::is_empty(directory));
  std::ofstream(directory + "/identity") << "{}";
  BOOST_TEST(!LoadIdentity(directory));
  std::filesystem::remove_all(directory);
}

// Guards against servers that a new leader takes for lost, and against lost
// ones that are offered for ever.
BOOST_AUTO_TEST_CASE(ServersGetAFullLeaseAtANewLeader) {
  ServerLiveness liveness{ServerLeases()};
  SharedState state;
  ServerRecord record;
  record.server_id = "s";
  record.incarnation = 5;
  record.sequence = 1;
  state.servers.push_back(record);
  TimePoint now{seconds(100)};
  liveness.Reset(now);
  BOOST_TEST(liveness.FindLapses(state, now + seconds(5)).empty());
  record.sequence = 2;
  BOOST_TEST(!liveness.Note(record, state, now + seconds(5)));
  BOOST_TEST(liveness.FindLapses(state, now + seconds(10)).empty());
  const auto silent = liveness.FindLapses(state, now + seconds(12));
  BOOST_REQUIRE(silent.size() == 1U);
  BOOST_TEST(!silent[0].expired);
  BOOST_TEST(liveness.FindLapses(state, now + seconds(70))[0].expired);
}

// Guards against a change that an announcement brings and that is not
// proposed.
BOOST_AUTO_TEST_CASE(NewsOfAServerAreProposed) {
  ServerLiveness liveness{ServerLeases()};
  SharedState state;
  ServerRecord record;
  record.server_id = "s";
  record.incarnation = 5;
  record.sequence = 1;
  const TimePoint now{seconds(100)};
  BOOST_TEST(liveness.Note(record, state, now));
  state.servers.push_back(record);
  record.sequence = 2;
  record.leaving = true;
  BOOST_TEST(liveness.Note(record, state, now));
  // The same announcement again, or an older one, is no news.
  BOOST_TEST(!liveness.Note(record, state, now));
  record.sequence = 1;
  BOOST_TEST(!liveness.Note(record, state, now));
}

}  // namespace sycamorebend
