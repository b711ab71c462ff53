#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "sycamorebend/membership.h"

namespace sycamorebend {

namespace {

struct Fixture {
  Fixture() { SetLogThreshold(Severity::kError); }

  static ServerAnnouncement Announcement(const std::string& incarnation) {
    ServerAnnouncement announcement;
    announcement.server_id = "engine-1";
    announcement.incarnation = incarnation;
    announcement.address = "127.0.0.1:9000";
    announcement.labels = {{"model", "chat"}, {"pool", "a"}};
    return announcement;
  }

  static ServerReport Report(std::uint64_t sequence) {
    ServerReport report;
    report.server_id = "engine-1";
    report.incarnation = "i1";
    report.sequence = sequence;
    report.running_by_tier = {static_cast<int>(sequence)};
    return report;
  }

  static ServerReport CacheReport(std::uint64_t sequence,
                                  std::uint64_t first,
                                  std::vector<CacheEvent> events) {
    ServerReport report = Report(sequence);
    report.cache_events = CacheEventBatch{first, std::move(events)};
    return report;
  }

  void Announce() {
    BOOST_REQUIRE(registry.Announce(Announcement("i1"), now));
    registry.TakeChanges();
  }

  // @return the only cache change since the last call.
  CacheEvents TakeCacheEvents() {
    CacheEvents found;
    int count = 0;
    for (const ServerChange& change : registry.TakeChanges()) {
      if (const auto* cache = std::get_if<ServerCacheChanged>(&change)) {
        found = cache->events;
        ++count;
      }
    }
    BOOST_TEST(count == 1);
    return found;
  }

  ServerState TakeUpdate() {
    const auto changes = registry.TakeChanges();
    BOOST_REQUIRE(changes.size() == 1U);
    return std::get<ServerUpdated>(changes[0]).state;
  }

  ServerRegistry registry;
  TimePoint now = TimePoint() + seconds(100);
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(ReportUpdatesTheServer, Fixture) {
  Announce();
  BOOST_REQUIRE(registry.Report(Report(1), now + seconds(1)));
  const ServerState state = TakeUpdate();
  BOOST_TEST(state.accepting);
  BOOST_TEST(state.report_sequence == 1U);
  BOOST_TEST(state.running_by_tier == std::vector<int>{1},
             boost::test_tools::per_element());
  BOOST_TEST((state.reported_at == now + seconds(1)));
}

// Guards against an old report that replaces a newer one or renews the lease of
// a failed server.
BOOST_FIXTURE_TEST_CASE(DuplicateAndOldReportsHaveNoEffect, Fixture) {
  Announce();
  BOOST_REQUIRE(registry.Report(Report(5), now));
  registry.TakeChanges();
  BOOST_TEST(registry.Report(Report(5), now + seconds(2)).has_value());
  BOOST_TEST(registry.Report(Report(4), now + seconds(2)).has_value());
  BOOST_TEST(registry.TakeChanges().empty());
  BOOST_TEST((registry.NextExpiry() == now + kServerLease));
}

BOOST_FIXTURE_TEST_CASE(UnknownServersMustAnnounceAgain, Fixture) {
  BOOST_TEST((registry.Report(Report(1), now).error().code ==
              ResultCode::kServerUnknown));
  Announce();
  ServerReport other = Report(1);
  other.incarnation = "i2";
  BOOST_TEST(
      (registry.Report(other, now).error().code == ResultCode::kServerUnknown));
  BOOST_TEST((registry.Leave("engine-1", "i2").error().code ==
              ResultCode::kServerUnknown));
}

// Guards against dispatches to a server that may have failed (requirement I6).
BOOST_FIXTURE_TEST_CASE(LeaseExpiresWithoutReports, Fixture) {
  Announce();
  registry.Expire(now + kServerLease - milliseconds(1));
  BOOST_TEST(registry.TakeChanges().empty());
  registry.Expire(now + kServerLease);
  const auto changes = registry.TakeChanges();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((std::get<ServerRemoved>(changes[0]).reason ==
              RemovalReason::kLeaseExpired));
  BOOST_TEST((registry.Report(Report(1), now).error().code ==
              ResultCode::kServerUnknown));
}

// Guards against a leaving server that gets new requests after a late report.
BOOST_FIXTURE_TEST_CASE(LeavingServerStaysLeaving, Fixture) {
  Announce();
  BOOST_REQUIRE(registry.Leave("engine-1", "i1"));
  BOOST_TEST(!TakeUpdate().accepting);
  BOOST_REQUIRE(registry.Report(Report(1), now));
  BOOST_TEST(!TakeUpdate().accepting);
  BOOST_REQUIRE(registry.Announce(Announcement("i1"), now));
  BOOST_TEST(!TakeUpdate().accepting);
  registry.Expire(now + kServerLease);
  const auto changes = registry.TakeChanges();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(
      (std::get<ServerRemoved>(changes[0]).reason == RemovalReason::kLeft));
}

// Guards against a delayed announcement of the previous incarnation that
// replaces the running one.
BOOST_FIXTURE_TEST_CASE(RestartReplacesTheIncarnation, Fixture) {
  Announce();
  BOOST_REQUIRE(registry.Report(Report(7), now));
  registry.TakeChanges();
  BOOST_REQUIRE(registry.Announce(Announcement("i2"), now));
  const auto changes = registry.TakeChanges();
  BOOST_REQUIRE(changes.size() == 2U);
  BOOST_TEST((std::get<ServerRemoved>(changes[0]).reason ==
              RemovalReason::kRestarted));
  BOOST_TEST(std::get<ServerUpdated>(changes[1]).state.report_sequence == 0U);
  BOOST_TEST((registry.Announce(Announcement("i1"), now).error().code ==
              ResultCode::kServerUnknown));
  BOOST_TEST(registry.Find("engine-1")->state.incarnation == "i2");
}

BOOST_FIXTURE_TEST_CASE(OperatorsDrainAndLabelServers, Fixture) {
  Announce();
  registry.SetDrained({"engine-1", "engine-9"});
  BOOST_TEST(!TakeUpdate().accepting);
  registry.SetDrained({"engine-1"});
  BOOST_TEST(registry.TakeChanges().empty());
  registry.SetLabelOverrides({{"engine-1", {{"pool", "b"}}}});
  const ServerState labelled = TakeUpdate();
  BOOST_TEST(FormatLabels(labelled.labels) == "model=chat,pool=b");
  BOOST_TEST(!labelled.accepting);
  registry.SetDrained({});
  BOOST_TEST(TakeUpdate().accepting);
  registry.SetLabelOverrides({});
  BOOST_TEST(FormatLabels(TakeUpdate().labels) == "model=chat,pool=a");
  // A drain also covers a server that announces itself later.
  registry.SetDrained({"engine-1"});
  registry.TakeChanges();
  BOOST_REQUIRE(registry.Announce(Announcement("i2"), now));
  const auto changes = registry.TakeChanges();
  BOOST_TEST(!std::get<ServerUpdated>(changes.back()).state.accepting);
}

// Guards against cache contents that are wrong because events were lost.
BOOST_FIXTURE_TEST_CASE(CacheEventGapResetsTheView, Fixture) {
  Announce();
  BOOST_REQUIRE(
      registry.Report(CacheReport(1, 1, {{true, 11}, {true, 12}}), now));
  CacheEvents events = TakeCacheEvents();
  BOOST_TEST(!events.reset);
  BOOST_TEST(events.added == (std::vector<std::uint64_t>{11, 12}),
             boost::test_tools::per_element());
  // Event 2 is a duplicate, event 3 is new.
  BOOST_REQUIRE(
      registry.Report(CacheReport(2, 2, {{true, 12}, {false, 11}}), now));
  events = TakeCacheEvents();
  BOOST_TEST(!events.reset);
  BOOST_TEST(events.added.empty());
  BOOST_TEST(events.removed == std::vector<std::uint64_t>{11},
             boost::test_tools::per_element());
  // Event 4 is lost.
  BOOST_REQUIRE(registry.Report(CacheReport(3, 5, {{true, 15}}), now));
  events = TakeCacheEvents();
  BOOST_TEST(events.reset);
  BOOST_TEST(events.added == std::vector<std::uint64_t>{15},
             boost::test_tools::per_element());
}

// Guards against ignoring the order of an addition and a removal of the same
// hash within a batch.
BOOST_FIXTURE_TEST_CASE(LaterEventOfABatchWins, Fixture) {
  Announce();
  BOOST_REQUIRE(registry.Report(
      CacheReport(1, 1, {{true, 1}, {false, 1}, {false, 2}, {true, 2}}), now));
  const CacheEvents events = TakeCacheEvents();
  BOOST_TEST(events.added == std::vector<std::uint64_t>{2},
             boost::test_tools::per_element());
  BOOST_TEST(events.removed == std::vector<std::uint64_t>{1},
             boost::test_tools::per_element());
}

}  // namespace sycamorebend
