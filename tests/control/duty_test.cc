#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "control_fixture.h"

namespace sycamorebend {

namespace {

struct DutyFixture : ControlFixture {
  Result<Json::Value> Grant(const std::string& holder,
                            std::uint64_t previous_token) {
    return this->Run(
        fmt::format(R"({{"type":"duty.grant","duty":"usage","holder":"{}",)"
                    R"("session":"{}-1","previous_token":{}}})",
                    holder, holder, previous_token));
  }

  std::uint64_t Token() const {
    return this->state->DutyGrants().at("usage").token;
  }

  Result<Json::Value> Fix(std::uint64_t window, const std::string& counts) {
    return this->Run(fmt::format(
        R"({{"type":"usage.fix","window":{},"counts":{}}})", window, counts));
  }
};

}  // namespace

// Guards against a token that is issued twice: to two candidates that saw the
// same grant, by `fence.take`, after a restart, or by an empty log after all
// disks were lost.
BOOST_FIXTURE_TEST_CASE(TokensAreIssuedOnce, DutyFixture) {
  const std::uint64_t first = this->Grant("a", 0).value()["token"].asUInt64();
  BOOST_TEST((CodeOf(this->Grant("b", 0)) == ResultCode::kVersionConflict));
  const Json::Value taken =
      this->Run(R"({"type":"fence.take","holder":"x"})").value();
  BOOST_TEST(taken["fence"].asUInt64() > first);
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(this->Token() == first);
  const std::uint64_t second =
      this->Grant("b", first).value()["token"].asUInt64();
  BOOST_TEST(second > taken["fence"].asUInt64());

  this->Create({});
  this->now_ms += 1000;
  BOOST_TEST(this->Grant("c", 0).value()["token"].asUInt64() > second);
}

// Guards against a successor that believes that a holder has released a newer
// grant, and against forgetting who held the duty before.
BOOST_FIXTURE_TEST_CASE(ReleaseNamesItsGrant, DutyFixture) {
  this->Grant("a", 0).value();
  const std::uint64_t first = this->Token();
  this->Grant("b", first).value();
  const std::string release = R"({{"type":"duty.release","duty":"usage",)"
                              R"("token":{}}})";
  this->Run(fmt::format(release, first)).value();
  BOOST_TEST(!this->state->DutyGrants().at("usage").released);
  this->Run(fmt::format(release, this->Token())).value();
  BOOST_TEST(this->Restart().has_value());
  const DutyGrantRecord grant = this->state->DutyGrants().at("usage");
  BOOST_TEST(grant.released);
  BOOST_TEST(grant.earlier_holders.count("a") == 1);
  this->now_ms += this->limits.earlier_holder_ms + 1;
  this->Grant("c", grant.token).value();
  BOOST_TEST(this->state->DutyGrants().at("usage").earlier_holders.count("a") ==
             0);
}

// Guards against two reports of one window with different counts: two leaders
// fix it, or it is fixed again after its record was dropped.
BOOST_FIXTURE_TEST_CASE(FirstCountsOfAWindowWin, DutyFixture) {
  this->limits.usage_windows = 2;
  this->Create(this->limits);
  BOOST_TEST(this->Fix(10, R"({"x":3,"y":1})").value()["fixed"].asBool());
  BOOST_TEST(!this->Fix(10, R"({"x":4})").value()["fixed"].asBool());
  this->Run(R"({"type":"usage.sent","window":10})").value();
  this->Fix(11, "{}").value();
  BOOST_TEST(this->Restart().has_value());
  const FixedUsageTable table = this->state->FixedUsageWindows();
  const std::map<std::string, std::uint64_t> counts = {{"x", 3}, {"y", 1}};
  BOOST_TEST((table.windows.at(10)->counts == counts));
  BOOST_TEST(table.windows.at(10)->sent);
  BOOST_TEST(!table.windows.at(11)->sent);
  this->Fix(12, R"({"x":1})").value();
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(
      (CodeOf(this->Fix(10, R"({"x":9})")) == ResultCode::kVersionConflict));
  BOOST_TEST(this->state->FixedUsageWindows().windows.size() == 2U);
}

}  // namespace sycamorebend
