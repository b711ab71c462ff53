#include "controld/notice_planner.h"

#include <set>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

namespace sycamorebend {

namespace {

constexpr Duration kTick = milliseconds(200);

// A leader whose planner is called every 200 ms.
struct Leader {
  Leader() { this->Tick(); }

  // @return the IDs of the processes that get a notice.
  std::vector<std::string> Tick() {
    this->now += kTick;
    std::vector<std::string> ids;
    for (const NoticeTarget& target : this->planner.Plan(
             {this->term, this->shared, this->renewals, this->lost},
             this->now)) {
      ids.push_back(target.id);
      this->first_notices += target.first ? 1 : 0;
      ++this->notices[target.id];
    }
    return ids;
  }

  void Run(Duration time) {
    for (Duration passed{0}; passed < time; passed += kTick) {
      this->Tick();
    }
  }

  void AddEntry(const std::string& id) {
    EntryInfo entry;
    entry.entry_id = id;
    entry.notice_address = "127.0.0.1:1";
    this->shared.entries.push_back(entry);
  }

  void Expire(std::size_t count, const std::string& name = "gateway") {
    for (std::size_t i = 0; i < count; ++i) {
      this->lost.entries.push_back(
          {fmt::format("{}-{}", name, i), "127.0.0.1:1", 0});
    }
  }

  TimePoint now{seconds(100)};
  Term term = 1;
  SharedState shared;
  std::map<std::string, TimePoint> renewals;
  LostMembers lost;
  NoticePlanner planner;
  std::map<std::string, int> notices;
  int first_notices = 0;
};

}  // namespace

// Guards against a gateway whose lease has not expired yet and that gets no
// notice although it renews no more. Load: one gateway lost.
BOOST_FIXTURE_TEST_CASE(SilentEntryGetsANoticeASecond, Leader) {
  this->AddEntry("lost");
  this->AddEntry("present");
  for (int i = 0; i < 7; ++i) {
    this->renewals["present"] = this->now;
    BOOST_TEST(this->Tick().empty());
  }
  for (int i = 0; i < 50; ++i) {
    this->renewals["present"] = this->now;
    this->Tick();
  }
  BOOST_TEST(this->notices["lost"] == 10);
  BOOST_TEST(this->notices.count("present") == 0U);
  BOOST_TEST(this->first_notices == 1);
}

// Guards against notices to all gateways after each election and after a pause
// of the leader, whose gateways have not renewed at it yet.
BOOST_FIXTURE_TEST_CASE(NewLeaderWaitsForRenewals, Leader) {
  this->AddEntry("present");
  this->Run(seconds(1));
  this->term = 2;
  this->Run(seconds(1));
  this->now += seconds(5);
  this->renewals["present"] = this->now - seconds(4);
  this->Run(milliseconds(1500));
  BOOST_TEST(this->notices.empty());
}

// Guards against gateways that are left out, or a leader that is busy with
// notices, when most of a deployment is lost. Load: 295 gateways lost at once.
BOOST_FIXTURE_TEST_CASE(ManyLostEntriesGetTheirTurns, Leader) {
  this->Expire(295);
  std::set<std::string> reached;
  for (int second = 0; second < 5; ++second) {
    std::size_t sent = 0;
    for (int i = 0; i < 5; ++i) {
      const std::vector<std::string> ids = this->Tick();
      sent += ids.size();
      reached.insert(ids.begin(), ids.end());
    }
    BOOST_TEST(sent == NoticePlanner::kMaxNotices);
  }
  BOOST_TEST(reached.size() == 295U);
  this->Run(seconds(60));
  const auto [fewest, most] = std::minmax_element(
      this->notices.begin(), this->notices.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  BOOST_TEST(fewest->second + 1 >= most->second);
  BOOST_TEST(this->first_notices == 295);
}

// Guards against a failure domain that waits for its turn behind gateways that
// are gone for good. Load: 59 gateways of a failure domain lost, after 1,024.
BOOST_FIXTURE_TEST_CASE(NewestLossesAreFirst, Leader) {
  this->Expire(1024, "gone");
  this->Run(seconds(20));
  this->Expire(59, "domain");
  std::set<std::string> reached;
  for (int i = 0; i < 5; ++i) {
    for (const std::string& id : this->Tick()) {
      if (id.rfind("domain", 0) == 0) {
        reached.insert(id);
      }
    }
  }
  BOOST_TEST(reached.size() == 59U);
}

// Guards against a gateway that gets no more notices once it was away for long,
// and against a log line for each. Load: one gateway lost for an hour.
BOOST_FIXTURE_TEST_CASE(EntryThatIsLostForAnHourGetsNotices, Leader) {
  this->Expire(1);
  this->Run(std::chrono::hours(1));
  BOOST_TEST(this->notices["gateway-0"] == 3600);
  BOOST_TEST(this->first_notices == 1);
}

// Guards against a removed replica that waits behind the gateways. Load: five
// replicas replaced while 295 gateways are lost.
BOOST_FIXTURE_TEST_CASE(FormerReplicasAreToldFirst, Leader) {
  this->Expire(295);
  for (int i = 0; i < 5; ++i) {
    this->lost.replicas.push_back({fmt::format("127.0.0.1:{}", i + 1), 0});
  }
  const std::vector<std::string> ids = this->Tick();
  BOOST_REQUIRE(ids.size() == NoticePlanner::kMaxNotices);
  BOOST_TEST(ids[0] == "127.0.0.1:5");
  BOOST_TEST(ids[4] == "127.0.0.1:1");
  BOOST_TEST(ids[5] == "gateway-294");
}

}  // namespace sycamorebend
