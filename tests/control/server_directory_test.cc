#include "control/server_directory.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::internal {

namespace {

constexpr std::int64_t kNow = 1000000;

ServerRecord Record(const std::string& id,
                    std::uint64_t incarnation,
                    std::uint64_t sequence,
                    bool leaving = false) {
  ServerRecord record;
  record.server_id = id;
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.service = "app";
  record.address = "10.0.0.1:80";
  record.leaving = leaving;
  return record;
}

}  // namespace

// Guards against a leaving server that appears live again because an older
// announcement arrived late.
BOOST_AUTO_TEST_CASE(LateAnnouncementChangesNothing) {
  ServerDirectory directory;
  BOOST_TEST(directory.Announce(Record("s", 5, 3, true), kNow));
  BOOST_TEST(!directory.Announce(Record("s", 5, 2), kNow));
  BOOST_TEST(!directory.Announce(Record("s", 4, 9), kNow));
  BOOST_TEST(directory.Records().at("s").leaving);
  BOOST_TEST(directory.Announce(Record("s", 6, 1), kNow));
  BOOST_TEST(!directory.Records().at("s").leaving);
}

// Guards against a delayed announcement that adds a server again after it left.
BOOST_AUTO_TEST_CASE(DepartedServerIsNotAddedAgain) {
  ServerDirectory directory;
  directory.Announce(Record("s", 5, 3), kNow);
  BOOST_TEST(directory.Leave("s", 0, kNow));
  BOOST_TEST(!directory.Announce(Record("s", 5, 9), kNow));
  BOOST_TEST(directory.Records().empty());
  BOOST_TEST(directory.Announce(Record("s", 6, 1), kNow));
  // The departure of the former incarnation arrives late.
  BOOST_TEST(!directory.Leave("s", 5, kNow));
  BOOST_TEST(directory.Records().size() == 1U);
}

// Guards against two servers with the same address: the one with the later
// incarnation keeps it.
BOOST_AUTO_TEST_CASE(LaterIncarnationKeepsTheAddress) {
  ServerDirectory directory;
  directory.Announce(Record("old", 5, 3), kNow);
  BOOST_TEST(directory.Announce(Record("new", 8, 1), kNow));
  BOOST_TEST(directory.Records().count("old") == 0U);
  BOOST_TEST(!directory.Announce(Record("old", 5, 4), kNow));
  BOOST_TEST(directory.Records().count("new") == 1U);
}

// Guards against a directory that loses departures or silent flags when it is
// restored from a snapshot.
BOOST_AUTO_TEST_CASE(SavedDirectoryIsEqual) {
  ServerDirectory directory;
  directory.Announce(Record("gone", 5, 3), kNow);
  directory.Leave("gone", 5, kNow);
  directory.Announce(Record("s", 6, 1), kNow);
  directory.SetSilent("s", 6);
  ServerDirectory loaded;
  loaded.Load(directory.Save());
  BOOST_TEST(loaded.Records().at("s").silent);
  BOOST_TEST(!loaded.Announce(Record("gone", 5, 4), kNow));
}

// Guards against a server that remains silent after a new announcement.
BOOST_AUTO_TEST_CASE(AnnouncementClearsSilent) {
  ServerDirectory directory;
  directory.Announce(Record("s", 5, 3), kNow);
  BOOST_TEST(directory.SetSilent("s", 5));
  BOOST_TEST(!directory.SetSilent("s", 5));
  BOOST_TEST(directory.Announce(Record("s", 5, 4), kNow));
  BOOST_TEST(!directory.Records().at("s").silent);
  BOOST_TEST(!directory.Expire("s", 4));
  BOOST_TEST(directory.Expire("s", 5));
}

// Guards against a log entry for each announcement of a server that states the
// remaining time again, and against changes that are not stored.
BOOST_AUTO_TEST_CASE(RemainingTimeIsNoChange) {
  ServerDirectory directory;
  ServerRecord record = Record("s", 5, 3, true);
  record.reclaimable = true;
  record.leaves_at_ms = 9000;
  BOOST_TEST(directory.Announce(record, kNow));
  record.sequence = 4;
  record.leaves_at_ms = 9120;
  BOOST_TEST(!directory.Announce(record, kNow));
  record.sequence = 5;
  record.leaves_at_ms = 12000;
  BOOST_TEST(directory.Announce(record, kNow));
  ServerDirectory loaded;
  loaded.Load(directory.Save());
  BOOST_TEST(loaded.Records().at("s").reclaimable);
  BOOST_TEST(loaded.Records().at("s").leaves_at_ms == 12000);
}

// Guards against servers that become unknown by fields of another release.
BOOST_AUTO_TEST_CASE(RecordsOfOtherReleasesAreRead) {
  Json::Value value = ServerRecordToJson(Record("s", 5, 3));
  BOOST_TEST(!value.isMember("reclaimable"));
  BOOST_TEST(!value.isMember("leaves_at_ms"));
  BOOST_TEST(!ServerRecordFromJson(value).value().reclaimable);
  value["reclaimable"] = "perhaps";
  value["leaves_at_ms"] = -3.5;
  value["later"] = Json::Value(Json::arrayValue);
  const auto read = ServerRecordFromJson(value);
  BOOST_REQUIRE(read);
  BOOST_TEST(!read.value().reclaimable);
  BOOST_TEST(read.value().leaves_at_ms == 0);
}

}  // namespace sycamorebend::internal
