#include "controld/replica_notifier.h"

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "control_node.h"
#include "feed/replica_notice.h"
#include "net/socket_address.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

class RecordingSender : public NoticeSender {
 public:
  Status SendDatagram(const std::string& address,
                      std::string_view data) override {
    this->datagrams.emplace_back(address, std::string(data));
    return this->result;
  }

  void CallReplica(const std::string& address,
                   const Json::Value& params,
                   RpcCallback callback) override {
    this->calls.emplace_back(address, params);
    callback(MakeError(ResultCode::kTransportTimeout, "no response"));
  }

  Status result = Success();
  std::vector<std::pair<std::string, std::string>> datagrams;
  std::vector<std::pair<std::string, Json::Value>> calls;
};

// A leader whose state has the replicas that it was given.
struct NotifyingLeader {
  NotifyingLeader() {
    this->node.service.SetNotifier(this->notifier);
    this->Run(R"({"type":"cluster.init","epoch":"deployment"})");
    this->Run(R"({"type":"replicas.set","addresses":["127.0.0.1:1"]})");
    this->Advance(milliseconds(0));
  }

  void Run(const std::string& command) {
    this->node.state->Apply(++this->index, this->clock.WallTimeMs(), command);
  }

  void Advance(Duration time) {
    this->clock.Advance(time);
    this->node.Tick();
  }

  ManualClock clock;
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  RecordingSender sender;
  ReplicaNotifier notifier{sender};
  ControlNode node{*rpc, clock};
  LogIndex index = 0;
};

}  // namespace

// Guards against a gateway that was away while all control replicas were
// replaced and that no leader tells of the present ones (issue 51).
BOOST_FIXTURE_TEST_CASE(LostEntryIsToldOfThePresentReplicas, NotifyingLeader) {
  this->Run(R"({"type":"entry.join","entry_id":"g","address":"127.0.0.1:2",)"
            R"("incarnation":"1","notice_address":"127.0.0.1:3"})");
  this->Run(R"({"type":"entry.expire","entry_id":"g","incarnation":"1"})");
  this->Advance(milliseconds(200));
  BOOST_REQUIRE(this->sender.datagrams.size() == 1U);
  const auto& [address, data] = this->sender.datagrams.front();
  BOOST_TEST(address == "127.0.0.1:3");
  const auto datagram = internal::DecodeReplicaDatagram(data).value();
  const auto& notice = std::get<ReplicaNotice>(datagram);
  const auto shared = this->node.state->Shared();
  BOOST_TEST(notice.epoch == shared->epoch);
  BOOST_TEST(notice.version >= 4U);
  BOOST_TEST(notice.replicas == shared->replicas,
             boost::test_tools::per_element());
  BOOST_TEST(notice.entry_id == "g");
  this->sender.result = MakeError(ResultCode::kConnectFailed, "no route");
  this->Advance(seconds(1));
  const Json::Value report = this->notifier.StatusReport()["entry"];
  BOOST_TEST(report["sent"].asInt() == 1);
  BOOST_TEST(report["failed"].asInt() == 1);
}

// Guards against a control replica that was removed while it was frozen and
// that nobody tells so.
BOOST_FIXTURE_TEST_CASE(FormerReplicaIsCalled, NotifyingLeader) {
  this->Advance(milliseconds(200));
  BOOST_REQUIRE(this->sender.calls.size() == 1U);
  BOOST_TEST(this->sender.calls.front().first == "127.0.0.1:1");
  const ReplicaNotice notice =
      internal::ReplicaNoticeFromJson(this->sender.calls.front().second)
          .value();
  BOOST_TEST(notice.replicas.front() == this->node.Address());
  BOOST_TEST(this->notifier.StatusReport()["replica"]["failed"].asInt() == 1);
}

// Guards against notices by a replica that does not lead, which may know less
// than those that it tells.
BOOST_FIXTURE_TEST_CASE(FollowerSendsNoNotices, NotifyingLeader) {
  this->node.log.Follow("127.0.0.1:9");
  this->Advance(milliseconds(200));
  BOOST_TEST(this->sender.calls.empty());
}

// Guards against datagrams that never leave the replica.
BOOST_AUTO_TEST_CASE(SenderReachesASocket) {
  const std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  const std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  const auto sender = NoticeSender::Create("127.0.0.1:1", *rpc);
  BOOST_REQUIRE(sender.has_value());
  const int receiver = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in local{};
  BOOST_REQUIRE(net::ParseAddress("127.0.0.1:0", local));
  socklen_t size = sizeof(local);
  auto* const address = reinterpret_cast<sockaddr*>(&local);
  BOOST_REQUIRE(::bind(receiver, address, size) == 0);
  BOOST_REQUIRE(::getsockname(receiver, address, &size) == 0);
  BOOST_TEST(sender.value()
                 ->SendDatagram(net::FormatAddress(local), "text")
                 .has_value());
  char buffer[16];
  BOOST_TEST(::recv(receiver, buffer, sizeof(buffer), 0) == 4);
  ::close(receiver);
  BOOST_TEST(!sender.value()->SendDatagram("nowhere", "text").has_value());
}

// Guards against a removed replica that follows an old notice, or one of
// another deployment at an address that was reused.
BOOST_AUTO_TEST_CASE(NewestNoticeOfTheOwnDeploymentIsKept) {
  NoticedReplicas noticed;
  BOOST_TEST(noticed.Accept({"a", 5, {"127.0.0.1:5"}, ""}));
  BOOST_TEST(!noticed.Accept({"a", 4, {"127.0.0.1:4"}, ""}));
  BOOST_TEST(noticed.Addresses(5).front() == "127.0.0.1:5");
  BOOST_TEST(noticed.Addresses(6).empty());
  noticed.SetEpoch("b");
  BOOST_TEST(noticed.Addresses(0).empty());
  BOOST_TEST(!noticed.Accept({"a", 9, {"127.0.0.1:9"}, ""}));
  BOOST_TEST(noticed.Accept({"b", 1, {"127.0.0.1:1"}, ""}));
  BOOST_TEST(noticed.Addresses(0).front() == "127.0.0.1:1");
}

// Guards against a notice that a replica without a log refuses although it
// needs it to join again.
BOOST_FIXTURE_TEST_CASE(NoticeIsReceivedWithoutALog, NotifyingLeader) {
  NoticedReplicas noticed;
  ControlService starting(*this->node.state, *this->node.source, this->clock);
  starting.SetNoticedReplicas(noticed);
  const Json::Value params =
      internal::ReplicaNoticeToJson({"a", 1, {"127.0.0.1:1"}, ""});
  BOOST_TEST(starting.Call(kReplicaNoticeMethod, params).has_value());
  BOOST_TEST(noticed.Addresses(0).size() == 1U);
  const auto refused =
      starting.Call(kReplicaNoticeMethod, Json::Value(Json::objectValue));
  BOOST_TEST((refused.error().code == ResultCode::kMalformedRequest));
}

}  // namespace sycamorebend
