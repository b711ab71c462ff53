#define BOOST_TEST_MODULE consensus_service
#include <boost/test/unit_test.hpp>

#include "cluster.h"

namespace sycamorebend {

namespace {

// Waits until every running node has applied `count` commands.
void WaitApplied(const Cluster& cluster, std::size_t count) {
  for (const auto& node : cluster.nodes) {
    while (node->Log() != nullptr && node->machine->Commands().size() < count) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
}

}  // namespace

// Guards against replicas that disagree on the order, lose an accepted command
// with their leader, or do not catch up after a restart.
BOOST_AUTO_TEST_CASE(ThreeReplicasAgreeAcrossLeaderStopAndRestart) {
  Cluster cluster(3);
  Node& first = cluster.Leader();
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(first.Propose("a" + std::to_string(i)).value() ==
               std::to_string(i + 1));
  }
  const ReplicaId stopped = first.Log()->GetStatus().id;
  first.Stop();
  Node& second = cluster.Leader();
  BOOST_TEST(second.Propose("b").value() == "21");
  cluster.Start(stopped - 1).value();
  WaitApplied(cluster, 21);
  for (const auto& node : cluster.nodes) {
    BOOST_TEST(node->machine->Commands() == second.machine->Commands());
    BOOST_TEST(!node->machine->TimeWentBack());
  }
}

// Guards against followers that answer reads or hide the leader.
BOOST_AUTO_TEST_CASE(FollowerNamesTheLeader) {
  Cluster cluster(3);
  Node& leader = cluster.Leader();
  leader.Propose("x").value();
  WaitApplied(cluster, 1);
  for (const auto& node : cluster.nodes) {
    if (node.get() == &leader) {
      continue;
    }
    const Result<std::string> proposed = node->Propose("y");
    BOOST_TEST((proposed.error().code == ResultCode::kNotLeader));
    BOOST_TEST(proposed.error().message == leader.Address());
    const Status read =
        Node::Wait([&](auto callback) { node->Log()->ReadBarrier(callback); });
    BOOST_TEST((read.error().code == ResultCode::kNotLeader));
  }
}

}  // namespace sycamorebend
