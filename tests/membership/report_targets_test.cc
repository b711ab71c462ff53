#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "sycamorebend/membership.h"

namespace sycamorebend {

namespace {

std::vector<EntryInfo> MakeEntries(int count, int domains) {
  std::vector<EntryInfo> entries;
  for (int i = 0; i < count; ++i) {
    EntryInfo entry;
    entry.entry_id = "entry-" + std::to_string(i);
    entry.address = "10.0.0.1:" + std::to_string(1000 + i);
    entry.failure_domain = "d" + std::to_string(i % domains);
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace

BOOST_AUTO_TEST_CASE(SmallDeploymentsReportToAllDaemons) {
  std::vector<EntryInfo> entries = MakeEntries(16, 3);
  // A draining daemon still serves requests and needs reports.
  entries[3].draining = true;
  BOOST_TEST(ChooseReportTargets("s", "d1", entries).size() == 16U);
}

BOOST_AUTO_TEST_CASE(TargetsAreLimitedAndSpreadOverDomains) {
  const std::vector<EntryInfo> entries = MakeEntries(380, 9);
  std::map<std::string, std::string> domain_of;
  for (const EntryInfo& entry : entries) {
    domain_of[entry.address] = entry.failure_domain;
  }
  const auto targets = ChooseReportTargets("engine-1", "d1", entries);
  BOOST_TEST(targets.size() == 16U);
  BOOST_TEST(std::set<std::string>(targets.begin(), targets.end()).size() ==
             16U);
  std::map<std::string, int> by_domain;
  for (const std::string& target : targets) {
    ++by_domain[domain_of[target]];
  }
  BOOST_TEST(by_domain["d1"] == 8);
  BOOST_TEST(by_domain.size() == 9U);
  // Without daemons in the server's failure domain, all targets are remote.
  BOOST_TEST(ChooseReportTargets("engine-1", "none", entries).size() == 16U);
  // If all daemons are in the server's failure domain, all targets are local.
  BOOST_TEST(ChooseReportTargets("e", "d0", MakeEntries(30, 1)).size() == 16U);
}

// Guards against the loss of one daemon changing more than one target of a
// server.
BOOST_AUTO_TEST_CASE(LossOfADaemonMovesFewTargets) {
  std::vector<EntryInfo> entries = MakeEntries(100, 4);
  const auto before = ChooseReportTargets("engine-1", "d1", entries);
  entries.erase(std::find_if(
      entries.begin(), entries.end(),
      [&](const EntryInfo& entry) { return entry.address == before[0]; }));
  const auto after = ChooseReportTargets("engine-1", "d1", entries);
  int kept = 0;
  for (const std::string& target : after) {
    kept += static_cast<int>(std::count(before.begin(), before.end(), target));
  }
  BOOST_TEST(kept == 15);
}

// Guards against daemons that know no server of a model, and against an uneven
// number of servers per daemon. Rendezvous hashing does not guarantee coverage,
// so the bound is on the share of covered (daemon, model) pairs, at the target
// deployment size.
BOOST_AUTO_TEST_CASE(MostDaemonsCoverEveryModel) {
  constexpr int kEntries = 380;
  constexpr int kServers = 1500;
  constexpr int kModels = 22;
  const std::vector<EntryInfo> entries = MakeEntries(kEntries, 9);
  std::map<std::string, std::set<int>> models_of;
  std::map<std::string, int> servers_of;
  for (int i = 0; i < kServers; ++i) {
    for (const std::string& target :
         ChooseReportTargets("engine-" + std::to_string(i),
                             "d" + std::to_string(i / kModels % 9), entries)) {
      models_of[target].insert(i % kModels);
      ++servers_of[target];
    }
  }
  std::size_t covered = 0;
  for (const auto& [target, models] : models_of) {
    covered += models.size();
  }
  BOOST_TEST_MESSAGE("covered pairs: " << covered);
  BOOST_TEST(covered >= kEntries * kModels * 9 / 10);
  for (const auto& [target, count] : servers_of) {
    BOOST_TEST(count <= 2 * kServers * 16 / kEntries);
  }
}

BOOST_AUTO_TEST_CASE(CallersGetLocalAddressesFirst) {
  std::vector<EntryInfo> entries = MakeEntries(6, 2);
  entries[2].draining = true;
  const auto first = ListCallerAddresses(entries, "d0", 0);
  BOOST_TEST(first == (std::vector<std::string>{
                          "10.0.0.1:1000", "10.0.0.1:1004", "10.0.0.1:1001",
                          "10.0.0.1:1003", "10.0.0.1:1005"}),
             boost::test_tools::per_element());
  const auto second = ListCallerAddresses(entries, "d0", 1);
  BOOST_TEST(second[0] == "10.0.0.1:1004");
  BOOST_TEST(second[2] == "10.0.0.1:1003");
  BOOST_TEST(ListCallerAddresses({}, "d0", 5).empty());
}

}  // namespace sycamorebend
