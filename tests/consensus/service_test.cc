#define BOOST_TEST_MODULE consensus_service
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <set>

#include "cluster.h"

namespace sycamorebend {

namespace {

// Well above the time of any step, so that only a failed condition reaches it.
constexpr Duration kTestTimeout = seconds(20);

// Waits until every running node has applied `count` commands.
void WaitApplied(const Cluster& cluster, std::size_t count) {
  for (const auto& node : cluster.nodes) {
    while (node->Log() != nullptr &&
           node->state_machine->Commands().size() < count) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
}

}  // namespace

// Guards against replicas that apply commands in different orders, lose an
// accepted command when the leader stops, or don't catch up after a restart.
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
    BOOST_TEST(node->state_machine->Commands() ==
               second.state_machine->Commands());
    BOOST_TEST(!node->state_machine->TimeDecreased());
  }
}

// Guards against followers that serve reads, or reject calls without returning
// the leader's address.
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

// Guards against a replica that cannot be replaced after it lost its disk, a
// learner that is promoted before it has the log, and a reused replica ID. The
// new replica receives a snapshot in several chunks.
BOOST_AUTO_TEST_CASE(LostReplicaIsReplaced) {
  ReplicatedLogOptions options;
  options.snapshot_entries = 50;
  options.trailing_entries = 5;
  Cluster cluster(3, options);
  for (int i = 0; i < 60; ++i) {
    cluster.Leader().Propose(std::string(20000, 'x')).value();
  }
  const ReplicaId leader_id = cluster.Leader().Log()->GetStatus().id;
  const ReplicaId lost = leader_id % 3 + 1;
  cluster.nodes[lost - 1]->Stop();

  const std::size_t added = cluster.AddNode();
  const std::string address = cluster.nodes[added]->Address();
  Node& leader = cluster.Leader();
  const auto change = [&](const auto& begin) {
    Status status = Success();
    do {
      status = Node::Wait([&](auto callback) { begin(callback); });
    } while (!status &&
             (status.error().code == ResultCode::kReplicaNotCaughtUp ||
              status.error().code == ResultCode::kMembershipChangeInProgress));
    return status;
  };
  const Status reused = change([&](auto callback) {
    leader.Log()->AddReplica(lost, address, callback);
  });
  BOOST_TEST((reused.error().code == ResultCode::kReplicaIdReused));
  const auto require_change = [&](const auto& begin) {
    const Status status = change(begin);
    BOOST_TEST_REQUIRE(status.has_value(), static_cast<int>(status.error().code)
                                               << " "
                                               << status.error().message);
  };
  require_change(
      [&](auto callback) { leader.Log()->AddReplica(4, address, callback); });
  require_change(
      [&](auto callback) { leader.Log()->PromoteReplica(4, callback); });
  require_change(
      [&](auto callback) { leader.Log()->RemoveReplica(lost, callback); });
  BOOST_TEST(leader.Log()->GetStatus().replicas.size() == 3u);

  leader.Propose("last").value();
  WaitApplied(cluster, 61);
  BOOST_TEST(cluster.nodes[added]->state_machine->Commands() ==
             leader.state_machine->Commands());
  BOOST_TEST(cluster.nodes[added]->Log()->GetStatus().snapshot_index > 0u);
  // The new replica counts towards the quorum.
  leader.Stop();
  BOOST_TEST(cluster.Leader().Propose("after").value() == "62");
}

// Guards against an isolated leader that continues to serve reads and accept
// proposals, and against a confirmation age that doesn't grow without a quorum.
BOOST_AUTO_TEST_CASE(IsolatedLeaderRejectsRequests) {
  Cluster cluster(3);
  Node& leader = cluster.Leader();
  leader.Propose("x").value();
  WaitApplied(cluster, 1);
  for (const auto& node : cluster.nodes) {
    while (node->Log()->ConfirmationAge() > seconds(1)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  for (const auto& node : cluster.nodes) {
    node->refuse_incoming = true;
  }
  while (
      Node::Wait([&](auto callback) { leader.Log()->ReadBarrier(callback); })) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  BOOST_TEST((leader.Propose("y").error().code == ResultCode::kNotLeader));
  const Duration age = leader.Log()->ConfirmationAge();
  std::this_thread::sleep_for(milliseconds(50));
  BOOST_TEST((leader.Log()->ConfirmationAge() >= age + milliseconds(50)));
  for (const auto& node : cluster.nodes) {
    node->refuse_incoming = false;
  }
  BOOST_TEST(cluster.Leader().Propose("z").value() == "2");
}

// Guards against malformed messages from a peer that terminate the replica.
BOOST_AUTO_TEST_CASE(MalformedMessagesAreRejected) {
  Cluster cluster(1);
  Node& node = cluster.Leader();
  Json::Value params;
  params["address"] = "127.0.0.1:1";
  for (const char* const text : {"", "AAAA", "not base64", "CQ=="}) {
    params["messages"] = Json::Value(Json::arrayValue);
    params["messages"].append(text);
    BOOST_TEST((node.Log()->HandleMessage(params).error().code ==
                ResultCode::kProtocolError));
  }
  BOOST_TEST((node.Log()->HandleMessage(Json::Value("x")).error().code ==
              ResultCode::kProtocolError));
  BOOST_TEST(node.Propose("x").value() == "1");
}

// Guards against timings with which the leases of two leaders could overlap.
BOOST_AUTO_TEST_CASE(UnsafeTimingsAreRejected) {
  ReplicatedLogOptions options;
  options.id = 1;
  options.initial_replicas = {{1, "127.0.0.1:1"}};
  options.timings.lease = options.timings.election_timeout_min;
  Node node;
  const Status started = node.Start(options);
  BOOST_TEST((started.error().code == ResultCode::kSettingsInvalidValue));
}

// Guards against a full disk that terminates the replica, loses earlier
// commands or is not reported to the proposer.
BOOST_AUTO_TEST_CASE(FullDiskRefusesProposalsUntilThereIsSpace) {
  TemporaryDirectory directory;
  FullDiskCalls calls;
  SystemClock clock;
  RecordingStateMachine machine;
  const auto client = HttpClient::Create(1);
  const auto rpc = RpcClient::Create(*client);
  ControlThread control(clock);
  ReplicatedLogOptions options;
  options.id = 1;
  options.initial_replicas = {{1, "127.0.0.1:1"}};
  options.timings.request_timeout = milliseconds(200);
  internal::ServiceDependencies parts{
      machine, control, clock,
      internal::CreateRpcTransport(*rpc, "127.0.0.1:1", milliseconds(100)),
      [&](std::function<void(std::uint64_t)> on_durable) {
        internal::FileStorageOptions storage;
        storage.directory = directory.path.string();
        storage.replica_id = 1;
        storage.calls = &calls;
        storage.on_durable = std::move(on_durable);
        return internal::CreateFileStorage(std::move(storage));
      }};
  const auto log =
      std::move(internal::StartService(options, std::move(parts)).value());
  const auto propose = [&](const std::string& command) {
    std::promise<Result<std::string>> result_promise;
    log->Propose(command, [&result_promise](Result<std::string> result) {
      result_promise.set_value(std::move(result));
    });
    return result_promise.get_future().get();
  };
  while (!propose("a")) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  calls.full = true;
  // Accepted before the full disk was detected, so it may be committed later.
  BOOST_TEST((propose("b").error().code == ResultCode::kTransportTimeout));
  BOOST_TEST((propose("c").error().code == ResultCode::kStorageFull));
  BOOST_TEST(Node::Wait([&](auto callback) {
               log->ReadBarrier(callback);
             }).has_value());
  calls.full = false;
  Result<std::string> later = propose("d");
  while (!later && later.error().code == ResultCode::kStorageFull) {
    std::this_thread::sleep_for(milliseconds(5));
    later = propose("d");
  }
  BOOST_TEST(later.has_value());
  const std::vector<std::string> expected = {"a", "b", "d"};
  BOOST_TEST(machine.Commands() == expected);
  log->Stop();
}

// Guards against a replica that, while it applies its log after a restart,
// reports as confirmed a state that lacks the rest of the log: its followers
// would use a configuration that was replaced long ago.
BOOST_AUTO_TEST_CASE(RestartConfirmsNoStateBeforeTheLogIsApplied) {
  constexpr std::size_t kCommandsBeforeChange = 10;
  constexpr std::size_t kCommands = 20;
  // Records whether the state was reported as confirmed between two commands.
  class ObservedStateMachine : public RecordingStateMachine {
   public:
    std::string Apply(LogIndex index,
                      std::int64_t leader_time_ms,
                      std::string_view command) override {
      const ReplicatedLog* const observed = this->log;
      if (observed != nullptr &&
          observed->ConfirmationAge() != Duration::max()) {
        this->confirmed_sizes.push_back(this->Commands().size());
      }
      return RecordingStateMachine::Apply(index, leader_time_ms, command);
    }
    std::atomic<const ReplicatedLog*> log = nullptr;
    // Numbers of commands that were applied at such times. Used on the control
    // thread only until it has ended.
    std::vector<std::size_t> confirmed_sizes;
  };
  TemporaryDirectory directory;
  SystemClock clock;
  const auto client = HttpClient::Create(1);
  const auto rpc = RpcClient::Create(*client);
  ReplicatedLogOptions options;
  options.id = 1;
  options.initial_replicas = {{1, "127.0.0.1:1"}};
  options.data_directory = directory.path.string();
  options.address = "127.0.0.1:1";
  {
    RecordingStateMachine machine;
    ControlThread control(clock);
    const auto log = std::move(
        CreateReplicatedLog(options, machine, *rpc, control, clock).value());
    const auto propose = [&log](std::size_t number) {
      std::promise<Result<std::string>> result_promise;
      log->Propose(std::to_string(number),
                   [&result_promise](Result<std::string> result) {
                     result_promise.set_value(std::move(result));
                   });
      return result_promise.get_future().get().has_value();
    };
    for (std::size_t i = 0; i < kCommands; ++i) {
      if (i == kCommandsBeforeChange) {
        BOOST_TEST_REQUIRE(Node::Wait([&](auto callback) {
                             log->AddReplica(2, "127.0.0.1:2", callback);
                           }).has_value());
      }
      while (!propose(i)) {
        std::this_thread::sleep_for(milliseconds(5));
      }
    }
    log->Stop();
  }
  ObservedStateMachine machine;
  ControlThread control(clock);
  const auto log = std::move(
      CreateReplicatedLog(options, machine, *rpc, control, clock).value());
  machine.log = log.get();
  while (log->ConfirmationAge() == Duration::max()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  BOOST_TEST(machine.Commands().size() == kCommands);
  log->Stop();
  control.Stop();
  BOOST_TEST(machine.confirmed_sizes.empty(),
             "confirmed after " << machine.confirmed_sizes.size()
                                << " incomplete states");
}

// Guards against a leader that sends no heartbeats while it applies its log
// after a restart: it is replaced, the next one starts with the same, and no
// state is confirmed in the meantime.
BOOST_AUTO_TEST_CASE(ApplyingTheLogDoesNotCostTheLeadership) {
  constexpr std::size_t kCommands = 1000;
  Cluster cluster(3);
  Node& first = cluster.Leader();
  for (std::size_t i = 0; i < kCommands; ++i) {
    first.Propose(std::to_string(i)).value();
  }
  WaitApplied(cluster, kCommands);
  for (const auto& node : cluster.nodes) {
    node->Stop();
    node->apply_time = milliseconds(2);
  }
  for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
    cluster.Start(i).value();
  }
  std::set<Term> terms;
  std::size_t applied = 0;
  while (applied < cluster.nodes.size()) {
    std::this_thread::sleep_for(milliseconds(5));
    applied = 0;
    for (const auto& node : cluster.nodes) {
      const ReplicatedLog::LogStatus status = node->Log()->GetStatus();
      if (status.is_leader) {
        terms.insert(status.term);
      }
      applied += node->state_machine->Commands().size() == kCommands ? 1 : 0;
    }
  }
  BOOST_TEST(terms.size() == 1U, "leaders in " << terms.size() << " terms");
}

// Guards against changes that are refused while the disk of one replica is
// full, or stay so after the disks were full one after the other.
BOOST_AUTO_TEST_CASE(DisksFullInTurnDoNotStopChanges) {
  Cluster cluster(3);
  std::set<std::string> accepted;
  int sent = 0;
  // Proposes a command until it is accepted, as operators do.
  const auto change = [&](std::chrono::steady_clock::time_point deadline) {
    const std::string command = "c" + std::to_string(++sent);
    while (std::chrono::steady_clock::now() < deadline) {
      for (const auto& node : cluster.nodes) {
        if (node->Propose(command)) {
          accepted.insert(command);
          return true;
        }
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  };
  for (std::size_t round = 0; round < 6; ++round) {
    // The leader's disk and another one by turns.
    Node* full = &cluster.Leader();
    if (round % 2 == 1) {
      full = cluster.nodes[0].get() == full ? cluster.nodes[1].get()
                                            : cluster.nodes[0].get();
    }
    full->disk.full = true;
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    // The first one may be written before the disk is found to be full.
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST_REQUIRE(change(deadline), "round " << round);
    }
    full->disk.full = false;
  }
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST_REQUIRE(change(deadline));
  }
  Node& leader = cluster.Leader();
  for (const std::string& command : accepted) {
    const auto commands = leader.state_machine->Commands();
    BOOST_TEST((std::find(commands.begin(), commands.end(), command) !=
                commands.end()),
               command);
  }
}

}  // namespace sycamorebend
