#include "controld/replica_manager.h"

#include <sys/stat.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <boost/test/unit_test.hpp>

#include "controld/replica_identity.h"
#include "controld/server_liveness.h"

namespace sycamorebend {

namespace {

using Kind = ReplicaChange::Kind;

// Log status of a leader in a set of three voters, with its planner.
struct Cluster {
  ReplicatedLog::ReplicaStatus& Add(ReplicaId id, bool voter) {
    ReplicatedLog::ReplicaStatus replica;
    replica.id = id;
    replica.voter = voter;
    replica.reachable = true;
    replica.caught_up = true;
    this->status.replicas.push_back(replica);
    return this->status.replicas.back();
  }

  Cluster() {
    this->status.id = 1;
    this->status.is_leader = true;
    for (ReplicaId id = 1; id <= 3; ++id) {
      this->Add(id, true);
    }
    this->planner.Plan(this->status, this->now);
  }

  std::optional<ReplicaChange> PlanAfter(Duration time) {
    this->now += time;
    return this->planner.Plan(this->status, this->now);
  }

  ReplicatedLog::LogStatus status;
  TimePoint now{seconds(100)};
  ReplicaSetPlanner planner{ReplicaSetTarget{3, seconds(2), seconds(60)}};
};

// The leader's record of one backend server's announcements.
struct AnnouncedServer {
  AnnouncedServer() {
    this->record.server_id = "s";
    this->record.incarnation = 5;
    this->record.sequence = 1;
  }

  ServerLiveness liveness{ServerLeases()};
  SharedState state;
  ServerRecord record;
  TimePoint now{seconds(100)};
};

std::string TemporaryDirectory() {
  char name[] = "/tmp/sycamorebend_identity_XXXXXX";
  BOOST_REQUIRE(mkdtemp(name) != nullptr);
  return name;
}

}  // namespace

// Guards against removing a lost voter that no learner can replace: the smaller
// set would tolerate fewer losses.
BOOST_FIXTURE_TEST_CASE(LostVoterIsKeptWithoutAReplacement, Cluster) {
  this->status.replicas[2].reachable = false;
  BOOST_TEST(!this->PlanAfter(seconds(30)).has_value());
}

// Guards against a lost voter that is not replaced, so that a second loss stops
// the set.
BOOST_FIXTURE_TEST_CASE(LostVoterIsReplacedByALearner, Cluster) {
  this->status.replicas[2].reachable = false;
  this->Add(4, false);
  BOOST_TEST(!this->PlanAfter(milliseconds(500)).has_value());
  auto change = this->PlanAfter(seconds(2));
  BOOST_REQUIRE(change);
  BOOST_TEST((change->kind == Kind::kPromote));
  BOOST_TEST(change->id == 4U);
  this->status.replicas[3].voter = true;
  change = this->PlanAfter(milliseconds(200));
  BOOST_REQUIRE(change);
  BOOST_TEST((change->kind == Kind::kRemove));
  BOOST_TEST(change->id == 3U);
}

// Guards against promoting a replica that does not have the log.
BOOST_FIXTURE_TEST_CASE(LearnerWithoutTheLogIsNotPromoted, Cluster) {
  this->status.replicas.pop_back();
  ReplicatedLog::ReplicaStatus& learner = this->Add(4, false);
  learner.caught_up = false;
  BOOST_TEST(!this->PlanAfter(seconds(3)).has_value());
  learner.caught_up = true;
  BOOST_REQUIRE(this->PlanAfter(seconds(1)).has_value());
}

// Guards against changing a healthy set when learners are added.
BOOST_FIXTURE_TEST_CASE(SpareLearnersAreNotPromoted, Cluster) {
  this->Add(4, false);
  this->Add(5, false);
  BOOST_TEST(!this->PlanAfter(seconds(10)).has_value());
}

// Guards against a leader that removes itself, and against unreachable learners
// that are never removed.
BOOST_FIXTURE_TEST_CASE(SurplusVotersAndUnreachableLearnersAreRemoved,
                        Cluster) {
  this->Add(4, true);
  auto change = this->PlanAfter(seconds(1));
  BOOST_REQUIRE(change);
  BOOST_TEST((change->kind == Kind::kRemove));
  BOOST_TEST(change->id != 1U);
  this->status.replicas.pop_back();
  this->Add(5, false).reachable = false;
  this->PlanAfter(seconds(1));
  change = this->PlanAfter(seconds(61));
  BOOST_REQUIRE(change);
  BOOST_TEST(change->id == 5U);
}

// Guards against initial replicas that derive different IDs from the seeds, and
// against a replica that is not a seed and starts a second replica set.
BOOST_AUTO_TEST_CASE(InitialReplicasFollowFromTheSeeds) {
  const auto first =
      InitialReplicaIdentity({"10.2.0.1:7", "10.1.0.1:7"}, "10.1.0.1:7");
  const auto second =
      InitialReplicaIdentity({"10.1.0.1:7", "10.2.0.1:7"}, "10.2.0.1:7");
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(first->id == 1U);
  BOOST_TEST(second->id == 2U);
  BOOST_TEST(first->initial_replicas.size() == 2U);
  BOOST_TEST(!InitialReplicaIdentity({"10.1.0.1:7"}, "10.9.0.1:7").has_value());
}

// Guards against an identity that is lost, made up from a malformed file, or
// kept after the data directory was erased, and against an erased directory
// that looks like a new one.
BOOST_AUTO_TEST_CASE(IdentityIsStoredUntilErased) {
  const std::string directory = TemporaryDirectory();
  BOOST_TEST(!LoadIdentity(directory).value().has_value());
  BOOST_REQUIRE(StoreIdentity(directory, {9, {{1, "10.0.0.1:7"}}, "epoch"}));
  const auto loaded = LoadIdentity(directory).value();
  BOOST_TEST(loaded->id == 9U);
  BOOST_TEST(loaded->epoch == "epoch");
  BOOST_TEST(loaded->initial_replicas[0].address == "10.0.0.1:7");
  std::ofstream(directory + "/log-1") << "x";
  BOOST_TEST(!WasErased(directory).value());
  BOOST_REQUIRE(EraseReplica(directory));
  const auto requires_erased = [&] {
    BOOST_TEST(!LoadIdentity(directory).value().has_value());
    BOOST_TEST(WasErased(directory).value());
    BOOST_TEST(
        std::distance(std::filesystem::directory_iterator(directory), {}) == 1);
  };
  requires_erased();
  BOOST_REQUIRE(EraseReplica(directory));
  requires_erased();
  BOOST_REQUIRE(StoreIdentity(directory, {12, {}, ""}));
  BOOST_TEST(LoadIdentity(directory).value()->id == 12U);
  BOOST_TEST(!WasErased(directory).value());
  BOOST_REQUIRE(EraseReplica(directory));
  requires_erased();
  // The disk was replaced while the process ran.
  std::filesystem::remove_all(directory);
  BOOST_REQUIRE(EraseReplica(directory));
  requires_erased();
  std::ofstream(directory + "/identity") << "{}";
  BOOST_TEST(!LoadIdentity(directory));
  std::filesystem::remove_all(directory);
}

// Guards against an identity that a killed process had renamed into place
// without a sync of the directory: it was used, and a later loss of power left
// the log of a replica that no longer knew its ID.
BOOST_AUTO_TEST_CASE(IdentityIsDurableBeforeItIsUsed) {
  const std::string directory = TemporaryDirectory();
  BOOST_REQUIRE(StoreIdentity(directory, {9, {}, ""}));
  int directory_syncs = 0;
  const auto sync = [&](int file) {
    struct stat status = {};
    directory_syncs +=
        ::fstat(file, &status) == 0 && S_ISDIR(status.st_mode) ? 1 : 0;
    return 0;
  };
  BOOST_TEST(LoadIdentity(directory, sync).value()->id == 9U);
  BOOST_TEST(directory_syncs == 1);
  const auto failing_sync = [](int /*file*/) {
    errno = EIO;
    return -1;
  };
  const auto loaded = LoadIdentity(directory, failing_sync);
  BOOST_REQUIRE(!loaded);
  BOOST_TEST((loaded.error().code == ResultCode::kStorageFailed));
  std::filesystem::remove_all(directory);
}

// Guards against an identity that cannot be opened and counts as missing, so
// that its replica founds the set again or erases its state.
BOOST_AUTO_TEST_CASE(UnreadableIdentityIsAnError) {
  const std::string directory = TemporaryDirectory();
  BOOST_REQUIRE(EraseReplica(directory));
  // A loop of links, which no user can open.
  std::filesystem::create_symlink("identity", directory + "/identity");
  const auto identity = LoadIdentity(directory);
  BOOST_REQUIRE(!identity);
  BOOST_TEST((identity.error().code == ResultCode::kStorageFailed));
  BOOST_TEST(!WasErased(directory));
  std::filesystem::remove_all(directory);
}

// Guards against a new leader that marks live servers silent, and against lost
// servers that are never removed.
BOOST_FIXTURE_TEST_CASE(ServersGetAFullLeaseAtANewLeader, AnnouncedServer) {
  this->state.servers.push_back(this->record);
  this->liveness.Reset(this->now);
  BOOST_TEST(
      this->liveness.FindExpiredLeases(this->state, this->now + seconds(5))
          .empty());
  this->record.sequence = 2;
  BOOST_TEST(!this->liveness.RecordAnnouncement(this->record, this->state,
                                                this->now + seconds(5)));
  BOOST_TEST(
      this->liveness.FindExpiredLeases(this->state, this->now + seconds(10))
          .empty());
  const auto silent =
      this->liveness.FindExpiredLeases(this->state, this->now + seconds(12));
  BOOST_REQUIRE(silent.size() == 1U);
  BOOST_TEST(!silent[0].remove_server);
  BOOST_TEST(
      this->liveness.FindExpiredLeases(this->state, this->now + seconds(70))[0]
          .remove_server);
}

// Guards against a server that is removed right after it announced itself,
// because the announcement could not be stored and its receipt was forgotten.
BOOST_FIXTURE_TEST_CASE(FailedProposalKeepsTheLease, AnnouncedServer) {
  this->state.servers.push_back(this->record);
  this->liveness.Reset(this->now);
  this->now += seconds(300);
  this->record.leaving = true;
  this->record.sequence = 2;
  BOOST_TEST(
      this->liveness.RecordAnnouncement(this->record, this->state, this->now));
  this->liveness.Discard("s");
  BOOST_TEST(
      this->liveness.FindExpiredLeases(this->state, this->now + seconds(1))
          .empty());
  BOOST_TEST(this->liveness.RecordAnnouncement(this->record, this->state,
                                               this->now + seconds(1)));
  BOOST_TEST(!this->liveness.RecordAnnouncement(this->record, this->state,
                                                this->now + seconds(2)));
}

// Guards against a changed announcement that is not proposed.
BOOST_FIXTURE_TEST_CASE(ChangedAnnouncementsAreProposed, AnnouncedServer) {
  BOOST_TEST(
      this->liveness.RecordAnnouncement(this->record, this->state, this->now));
  this->state.servers.push_back(this->record);
  this->record.sequence = 2;
  this->record.leaving = true;
  BOOST_TEST(
      this->liveness.RecordAnnouncement(this->record, this->state, this->now));
  // The same announcement again, or an older one, is not proposed.
  BOOST_TEST(
      !this->liveness.RecordAnnouncement(this->record, this->state, this->now));
  this->record.sequence = 1;
  BOOST_TEST(
      !this->liveness.RecordAnnouncement(this->record, this->state, this->now));
}

// Guards against a leader that counts the time since its earlier term as time
// in which a replica was unreachable, and replaces a voter at its first failed
// call.
BOOST_FIXTURE_TEST_CASE(UnreachableTimeStartsWithTheTerm, Cluster) {
  this->Add(4, false);
  this->status.term = 1;
  BOOST_TEST(!this->PlanAfter(seconds(1)).has_value());
  // Another replica leads in term 2, so that this one plans nothing.
  this->status.term = 3;
  this->status.replicas[2].reachable = false;
  BOOST_TEST(!this->PlanAfter(seconds(600)).has_value());
  BOOST_TEST(this->PlanAfter(seconds(3)).has_value());
}

// Guards against a replica that erases its state on the word of another
// deployment, or of a leader that does not say which one it leads.
BOOST_AUTO_TEST_CASE(OnlyTheOwnDeploymentRemovesAReplica) {
  Json::Value response;
  response["member"] = false;
  BOOST_TEST(!ConfirmsRemoval(response, "a", true));
  BOOST_TEST(!ConfirmsRemoval(response, "", true));
  BOOST_TEST(ConfirmsRemoval(response, "", false));
  response["epoch"] = "b";
  BOOST_TEST(!ConfirmsRemoval(response, "a", true));
  BOOST_TEST(!ConfirmsRemoval(response, "a", false));
  BOOST_TEST(!ConfirmsRemoval(response, "", true));
  response["known_address"] = true;
  BOOST_TEST(!ConfirmsRemoval(response, "a", true));
  BOOST_TEST(ConfirmsRemoval(response, "", true));
  response["epoch"] = "a";
  BOOST_TEST(ConfirmsRemoval(response, "a", true));
  response["member"] = true;
  BOOST_TEST(!ConfirmsRemoval(response, "a", true));
}

}  // namespace sycamorebend
