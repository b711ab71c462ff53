#define BOOST_TEST_MODULE partition
#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"
#include "system/test_fleet.h"

namespace sycamorebend {

namespace {

FleetOptions RelayedControl() {
  FleetOptions options;
  options.relay_control = true;
  options.entry_settings["configuration_lease_ms"] = 3000;
  return options;
}

int ErrorCode(const std::string& body) {
  const auto parsed = ParseJson(body);
  return parsed && parsed.value().isObject()
             ? parsed.value()["error"]["code"].asInt()
             : 0;
}

HttpResponse Chat(Fleet& fleet, std::size_t entry, const std::string& prompt) {
  auto response = fleet.Client().Fetch(
      fleet.ChatCall(fleet.Entry(entry).address, prompt, 10));
  BOOST_TEST_REQUIRE(bool(response), response.error().message);
  return response.value();
}

void RestoreAll(Fleet& fleet) {
  for (std::size_t i = 0; i < fleet.ReplicaCount(); ++i) {
    fleet.ControlRelay(i).Restore();
  }
}

// Checks that, while `apply_fault` affects all control relays, entry daemons
// serve no new requests and finish open ones, and that they serve again after
// the relays are restored.
template <typename Fault>
void CheckFault(Fault apply_fault) {
  TestFleet fleet(RelayedControl());
  OpenCall open(fleet.Client(),
                fleet.ChatCall(fleet.Entry(0).address, "open", 10000));
  BOOST_TEST_REQUIRE(open.WaitForBytes(100));
  for (std::size_t i = 0; i < fleet.ReplicaCount(); ++i) {
    apply_fault(fleet.ControlRelay(i));
  }
  for (std::size_t entry = 0; entry < fleet.EntryCount(); ++entry) {
    BOOST_TEST(WaitFor([&] {
      const HttpResponse response = Chat(fleet, entry, "cut");
      return ErrorCode(response.body) == 601 &&
             response.body.find(R"("ran":"not_run")") != std::string::npos;
    }));
  }
  BOOST_TEST_REQUIRE(open.WaitForEnd());
  BOOST_TEST(DataLines(open.Body()) == DataLines(ExpectedChat("open", 10000)));
  RestoreAll(fleet);
  for (std::size_t entry = 0; entry < fleet.EntryCount(); ++entry) {
    BOOST_TEST(WaitFor([&] {
      return DataLines(Chat(fleet, entry, "again").body) ==
             DataLines(ExpectedChat("again", 10));
    }));
  }
}

}  // namespace

// Guards against entry daemons that route with an unconfirmed configuration,
// which may have been replaced.
BOOST_AUTO_TEST_CASE(ControlCutOff) {
  CheckFault([](Relay& relay) { relay.Cut(); });
}

// Guards against a one-way partition that is mistaken for a working link:
// requests arrive, responses are lost.
BOOST_AUTO_TEST_CASE(ControlResponsesLost) {
  CheckFault(
      [](Relay& relay) { relay.SetMode(RelayMode::kPass, RelayMode::kDrop); });
}

// As ControlResponsesLost, in the other direction: requests are lost.
BOOST_AUTO_TEST_CASE(ControlRequestsLost) {
  CheckFault(
      [](Relay& relay) { relay.SetMode(RelayMode::kDrop, RelayMode::kPass); });
}

// Guards against an isolated leader that keeps confirming its old state, and
// against entry daemons that accept this state.
BOOST_AUTO_TEST_CASE(LeaderUnreachable) {
  TestFleet fleet(RelayedControl());
  const std::size_t leader = fleet.WaitForLeader();
  fleet.ControlRelay(leader).Cut();
  Json::Value document = Fleet::DefaultDocument();
  document["classes"][0]["max_queue"] = 55;
  const std::uint64_t version = fleet.ApplyDocument(document);
  for (std::size_t entry = 0; entry < fleet.EntryCount(); ++entry) {
    BOOST_TEST(WaitFor(
        [&] { return fleet.EntryVersion(entry).value_or(0) == version; }));
  }
  RestoreAll(fleet);
  BOOST_TEST(fleet.ConfigurationVersion() == version);
}

// Guards against entry daemons that keep waiting on feed connections that
// stopped delivering data, although new connections work.
BOOST_AUTO_TEST_CASE(SilentFeedConnections) {
  TestFleet fleet(RelayedControl());
  for (std::size_t i = 0; i < fleet.ReplicaCount(); ++i) {
    fleet.ControlRelay(i).DropOnOpenConnections();
  }
  fleet.WaitForLeader();
  Json::Value document = Fleet::DefaultDocument();
  document["classes"][0]["max_queue"] = 56;
  const std::uint64_t version = fleet.ApplyDocument(document);
  for (std::size_t entry = 0; entry < fleet.EntryCount(); ++entry) {
    BOOST_TEST(WaitFor(
        [&] { return fleet.EntryVersion(entry).value_or(0) == version; }));
  }
}

}  // namespace sycamorebend
