#include <boost/test/unit_test.hpp>

#include "duties/true_time.h"
#include "duties/usage_schedule.h"
#include "duties/usage_table.h"

namespace sycamorebend {

namespace {

constexpr std::uint64_t kWindow = 100;
const UsageSource kSource{"g", "1"};

struct TableFixture {
  // Sends a report and its receipt, each of which can be lost.
  void Send(UsageTable& from,
            UsageTable& to,
            bool receipt_arrives = true,
            bool fixed = false) {
    const auto receipt = to.Merge(
        from.NextReport(this->now), this->now,
        [fixed](std::uint64_t /*window*/) { return fixed; }, kWindow + 1);
    BOOST_REQUIRE(receipt.has_value());
    if (receipt_arrives) {
      from.OnReceipt(receipt.value());
    }
  }

  void Measure(std::int64_t time_ms, std::uint64_t requests = 0) {
    DemandTotals totals;
    totals.requests = requests;
    this->gateway.SetTotals(kSource, time_ms, this->now, {{"svc", totals}});
  }

  std::vector<EntryInfo> Live() const {
    EntryInfo entry;
    entry.entry_id = kSource.first;
    entry.incarnation = kSource.second;
    return {entry};
  }

  using Counts = std::map<std::string, std::uint64_t>;
  TimePoint now = TimePoint(seconds(1000));
  UsageTable gateway{"gateway"};
  UsageTable replica{"replica"};
  UsageTable leader{"leader"};
};

}  // namespace

// Guards against counts that are counted twice because a report is repeated.
BOOST_FIXTURE_TEST_CASE(RepeatedReportsCountOnce, TableFixture) {
  this->gateway.Count(kSource, kWindow, "x");
  this->Send(this->gateway, this->replica, /*receipt_arrives=*/false);
  this->gateway.Count(kSource, kWindow, "x");
  this->Send(this->gateway, this->replica);
  this->Send(this->gateway, this->replica);
  this->Send(this->replica, this->leader);
  BOOST_TEST((this->leader.Sum(kWindow) == Counts{{"x", 2}}));
}

// Guards against counts that are lost with the replica or leader that has
// acknowledged them.
BOOST_FIXTURE_TEST_CASE(NewReceiverGetsEverything, TableFixture) {
  this->gateway.Count(kSource, kWindow, "x");
  this->Measure(1000);
  this->Send(this->gateway, this->replica);
  this->gateway.Count(kSource, kWindow, "y");
  this->Measure(2000);
  UsageTable other("other");
  this->Send(this->gateway, other);
  // The first report is relative to what another replica has.
  BOOST_TEST(!other.HaveReported(this->Live(), 2000));
  this->Measure(3000);
  this->Send(this->gateway, other);
  BOOST_TEST(other.HaveReported(this->Live(), 3000));
  BOOST_TEST((other.Sum(kWindow) == Counts{{"x", 1}, {"y", 1}}));
}

// Guards against a gateway that ends before its last counts have arrived.
BOOST_FIXTURE_TEST_CASE(LastCountsAreAwaited, TableFixture) {
  BOOST_TEST(this->gateway.AllAcknowledged());
  this->gateway.Count(kSource, kWindow, "x");
  this->Send(this->gateway, this->replica, /*receipt_arrives=*/false);
  BOOST_TEST(!this->gateway.AllAcknowledged());
  this->Send(this->gateway, this->replica);
  BOOST_TEST(this->gateway.AllAcknowledged());
}

// Guards against reports that send all counts again each second.
BOOST_FIXTURE_TEST_CASE(ReportsHaveChangesOnly, TableFixture) {
  this->gateway.Count(kSource, kWindow, "x");
  this->Send(this->gateway, this->replica);
  this->gateway.Count(kSource, kWindow, "y");
  const Json::Value report = this->gateway.NextReport(this->now);
  BOOST_TEST(report["sources"][0]["windows"]["100"].size() == 1U);
  this->Send(this->gateway, this->replica);
  BOOST_TEST(this->gateway.NextReport(this->now)["sources"].empty());
}

// Guards against a gateway that was restarted under its name and replaces what
// it counted before.
BOOST_FIXTURE_TEST_CASE(RestartedGatewayCountsBesides, TableFixture) {
  this->gateway.Count(kSource, kWindow, "x");
  this->Send(this->gateway, this->leader);
  UsageTable restarted("restarted");
  restarted.Count({"g", "2"}, kWindow, "x");
  this->Send(restarted, this->leader);
  BOOST_TEST((this->leader.Sum(kWindow) == Counts{{"x", 2}}));
}

// Guards against counts of an isolated gateway that vanish without a trace.
BOOST_FIXTURE_TEST_CASE(LateCountsAreNoted, TableFixture) {
  this->gateway.Count(kSource, kWindow, "x");
  this->Send(this->gateway, this->leader);
  this->gateway.Count(kSource, kWindow, "x");
  this->Send(this->gateway, this->leader, true, /*fixed=*/true);
  BOOST_TEST(this->leader.LateCounts() == 1U);
}

// Guards against demand that is doubled by repeats, or old.
BOOST_FIXTURE_TEST_CASE(DemandIsTheRateBetweenReports, TableFixture) {
  this->Measure(1000, 10);
  this->Send(this->gateway, this->leader);
  BOOST_TEST(this->leader.Demand(this->Live(), this->now).reporting_gateways ==
             0U);
  this->Measure(3000, 50);
  this->Send(this->gateway, this->leader);
  this->Send(this->gateway, this->leader);
  const DemandReport report = this->leader.Demand(this->Live(), this->now);
  BOOST_TEST(report.reporting_gateways == 1U);
  BOOST_TEST(report.services.at("svc").requests_per_s == 20.0);
  this->now += seconds(10);
  BOOST_TEST(this->leader.Demand(this->Live(), this->now).reporting_gateways ==
             0U);
}

// Guards against malformed reports that end a replica.
BOOST_FIXTURE_TEST_CASE(MalformedReportIsRefused, TableFixture) {
  const auto never = [](std::uint64_t /*window*/) { return false; };
  Json::Value report = this->gateway.NextReport(this->now);
  report["sources"].append("x");
  BOOST_TEST(!this->leader.Merge(report, this->now, never, 1).has_value());
  report.removeMember("sources");
  BOOST_TEST(!this->leader.Merge(report, this->now, never, 1).has_value());
}

// Guards against a window that is fixed before all gateways have reported, or
// too late, and against windows of an uninformed leader.
BOOST_AUTO_TEST_CASE(WindowsAreFixedWhenComplete) {
  const UsageSchedule schedule{{seconds(5), seconds(10)}};
  const std::int64_t end_ms = schedule.EndMs(kWindow);
  const auto due = [&](std::int64_t after_ms, bool counted, bool informed,
                       bool reported, std::uint64_t first_led = kWindow) {
    const auto windows = schedule.ToFix(
        end_ms + after_ms, {},
        counted ? std::set<std::uint64_t>{kWindow} : std::set<std::uint64_t>(),
        first_led, informed, [&](std::int64_t) { return reported; });
    return !windows.empty() && windows.front() == kWindow;
  };
  BOOST_TEST(!due(2000, true, true, true));
  BOOST_TEST(due(3000, true, true, true));
  BOOST_TEST(!due(5900, true, true, false));
  BOOST_TEST(due(6000, true, true, false));
  BOOST_TEST(!due(6000, true, false, false));
  // Another replica may have counts of a gateway that has been killed.
  BOOST_TEST(!due(6000, true, false, true));
  BOOST_TEST(!due(6000, false, true, false));
  BOOST_TEST(due(8500, false, true, false));
  // Before this deployment began.
  BOOST_TEST(!due(8500, false, true, true, kWindow + 1));
}

// Guards against counts in the wrong window while the wall clock is set wrong.
BOOST_AUTO_TEST_CASE(JumpOfTheWallClockIsIgnored) {
  TrueTime time;
  const auto at = [](int s) { return TimePoint(seconds(s)); };
  BOOST_TEST(time.Read(at(0), 1000000) == 1000000);
  BOOST_TEST(time.Read(at(1), 1001050) == 1001050);
  BOOST_TEST(time.Read(at(2), 1032050) == 1002050);
  BOOST_TEST(time.Read(at(60), 1060050) == 1060050);
  BOOST_TEST(time.Jumps() == 1U);
  // Set right for good.
  BOOST_TEST(time.Read(at(61), 2000000) == 1061050);
  BOOST_TEST(time.Read(at(1000), 3000000) == 3000000);
}

}  // namespace sycamorebend
