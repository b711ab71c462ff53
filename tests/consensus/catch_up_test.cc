#include <algorithm>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "direct_cluster.h"

namespace sycamorebend {

namespace {

constexpr std::size_t kLargeEntry = 441000;
constexpr std::size_t kSmallEntry = 500;

internal::CoreOptions DefaultOptions() {
  return {};
}

bool HasAll(DirectCluster& cluster, ReplicaId id) {
  return cluster.AppliedBy(id) == cluster.Leader().CommitIndex();
}

}  // namespace

// Guards against a new replica that is sent the whole log although a snapshot
// is much smaller, and has no vote for all that time.
BOOST_AUTO_TEST_CASE(ReplicaWithoutEntriesGetsTheSnapshotOfALargeLog) {
  DirectCluster cluster(DefaultOptions(), kLargeEntry);
  for (int i = 0; i < 290; ++i) {
    BOOST_REQUIRE(cluster.Propose(kLargeEntry));
    cluster.Steps(1);
  }
  cluster.Join(4);
  cluster.Steps(100);
  BOOST_TEST(HasAll(cluster, 4));
  BOOST_TEST(cluster.SentTo(4).snapshots >= 1U);
  const internal::CoreOptions options = DefaultOptions();
  BOOST_TEST(cluster.SentTo(4).entry_bytes <= options.catch_up_bytes);
  BOOST_TEST(cluster.SentTo(4).snapshot_bytes <= 2 * kLargeEntry);
}

// Guards against a learner that never reaches the end because entries come as
// fast as it can be sent any.
BOOST_AUTO_TEST_CASE(LearnerCatchesUpWhileLargeEntriesComeAtItsPace) {
  DirectCluster cluster(DefaultOptions(), kLargeEntry);
  for (int i = 0; i < 150; ++i) {
    BOOST_REQUIRE(cluster.Propose(kLargeEntry));
    cluster.Steps(1);
  }
  cluster.SetSlow(4);
  cluster.Join(4);
  bool promoted = false;
  for (int i = 0; i < 200 && !promoted; ++i) {
    BOOST_REQUIRE(cluster.Propose(kLargeEntry));
    cluster.Steps(1);
    const auto result = cluster.Leader().PromoteReplica(4, cluster.Now(), 0);
    promoted = result && result.value() > 0;
  }
  BOOST_TEST(promoted);
  const LogIndex lag = cluster.Leader().CommitIndex() - cluster.AppliedBy(4);
  BOOST_TEST(lag <= 10U);
}

// Guards against a whole state that is sent to a replica which was away for a
// second and lacks a few large entries, or many small ones.
BOOST_AUTO_TEST_CASE(ReplicaThatLacksAFewEntriesGetsNoSnapshot) {
  for (const std::size_t bytes : {kLargeEntry, kSmallEntry}) {
    DirectCluster cluster(DefaultOptions(), kLargeEntry);
    const ReplicaId leader = cluster.Leader().Id();
    const ReplicaId away = leader % 3 + 1;
    const int count = bytes == kLargeEntry ? 8 : 1500;
    for (int i = 0; i < 60; ++i) {
      BOOST_REQUIRE(cluster.Propose(bytes));
      cluster.Steps(1);
    }
    cluster.SetConnected(away, false);
    for (int i = 0; i < count; ++i) {
      BOOST_REQUIRE(cluster.Propose(bytes));
      if (i % (count / 8) == 0) {
        cluster.Steps(1);
      }
    }
    cluster.SetConnected(away, true);
    cluster.Steps(50);
    BOOST_TEST(HasAll(cluster, away));
    BOOST_TEST(cluster.SentTo(away).snapshots == 0U);
  }
}

// Guards against a voter that lacks many megabytes, because its lag was counted
// in entries: commits would wait for all of them.
BOOST_AUTO_TEST_CASE(LearnerThatLacksMegabytesIsNotPromoted) {
  DirectCluster cluster(DefaultOptions(), kLargeEntry);
  cluster.SetSlow(4);
  cluster.Join(4);
  cluster.Steps(20);
  BOOST_TEST(cluster.Leader().CaughtUp(cluster.Leader().Followers().at(4)));
  cluster.SetConnected(4, false);
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE(cluster.Propose(kLargeEntry));
    cluster.Steps(1);
  }
  const auto refused = cluster.Leader().PromoteReplica(4, cluster.Now(), 0);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().code == ResultCode::kReplicaNotCaughtUp));
  cluster.SetConnected(4, true);
  cluster.Steps(100);
  BOOST_TEST(cluster.Leader().PromoteReplica(4, cluster.Now(), 0).has_value());
}

// Guards against a log in memory whose size is bounded by a number of entries:
// with large entries, each change adds its size until the process is killed.
BOOST_AUTO_TEST_CASE(LogInMemoryIsBoundedInBytes) {
  const internal::CoreOptions options = DefaultOptions();
  for (const std::size_t bytes : {kLargeEntry, kSmallEntry}) {
    DirectCluster cluster(options, bytes);
    std::uint64_t most = 0;
    const int count = bytes == kLargeEntry ? 600 : 45000;
    for (int i = 0; i < count; ++i) {
      BOOST_REQUIRE(cluster.Propose(bytes));
      if (bytes == kLargeEntry || i % 50 == 0) {
        cluster.Steps(1);
      }
      for (ReplicaId id = 1; id <= 3; ++id) {
        most = std::max(most, cluster.Of(id).LogBytes());
      }
    }
    // Entries before the snapshot, those after it, and those in progress.
    BOOST_TEST(most <= options.catch_up_bytes + options.snapshot_bytes + bytes +
                           (1 << 20));
  }
}

// Guards against a log that grows without bound while a majority answers the
// leader but stores nothing. Entries that were accepted are still committed.
BOOST_AUTO_TEST_CASE(ProposalsAreRefusedBeforePendingEntriesFillTheMemory) {
  const internal::CoreOptions options = DefaultOptions();
  DirectCluster cluster(options, kLargeEntry);
  const ReplicaId leader = cluster.Leader().Id();
  const std::vector<ReplicaId> others = {leader % 3 + 1, (leader + 1) % 3 + 1};
  for (const ReplicaId id : others) {
    cluster.SetDiskHeld(id, true);
  }
  int accepted = 0;
  std::optional<ResultCode> refusal;
  for (int i = 0; i < 100; ++i) {
    const Status status = cluster.Propose(kLargeEntry);
    accepted += status ? 1 : 0;
    if (!status) {
      refusal = status.error().code;
    }
    cluster.Steps(1);
    BOOST_REQUIRE(cluster.Of(leader).LogBytes() <=
                  options.max_pending_bytes + options.catch_up_bytes);
  }
  BOOST_TEST(accepted > 20);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((*refusal == ResultCode::kLogBusy));
  for (const ReplicaId id : others) {
    cluster.SetDiskHeld(id, false);
  }
  cluster.Steps(100);
  BOOST_TEST(cluster.Of(leader).AppliedIndex() ==
             cluster.Of(leader).LastIndex());
  BOOST_TEST(cluster.Propose(kLargeEntry).has_value());
}

// Guards against an error that does not say how large an entry may be.
BOOST_AUTO_TEST_CASE(TooLargeEntryNamesTheLimit) {
  const internal::CoreOptions options = DefaultOptions();
  DirectCluster cluster(options, kSmallEntry);
  const Status status = cluster.Propose(options.max_command_bytes + 1);
  BOOST_REQUIRE(!status);
  BOOST_TEST((status.error().code == ResultCode::kEntryTooLarge));
  BOOST_TEST(status.error().message.find("1048576") != std::string::npos);
  BOOST_TEST(cluster.Propose(options.max_command_bytes).has_value());
}

// Guards against two learners that each make the leader encode and keep a copy
// of the snapshot, and against one that waits for the other.
BOOST_AUTO_TEST_CASE(TwoLearnersCatchUpAtOnce) {
  DirectCluster cluster(DefaultOptions(), kLargeEntry);
  for (int i = 0; i < 100; ++i) {
    BOOST_REQUIRE(cluster.Propose(kLargeEntry));
    cluster.Steps(1);
  }
  cluster.Join(4);
  cluster.Steps(2);
  cluster.Join(5);
  cluster.Steps(100);
  for (const ReplicaId id : {4, 5}) {
    BOOST_TEST(HasAll(cluster, id));
    BOOST_TEST(cluster.SentTo(id).snapshots >= 1U);
  }
}

}  // namespace sycamorebend
