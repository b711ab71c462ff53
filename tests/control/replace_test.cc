#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include "control_fixture.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

struct Fixture : ControlFixture {
  Result<Json::Value> Replace(std::uint64_t version, int content) {
    return this->Run(
        fmt::format(R"({{"type":"config.replace","version":{},"operator":"o",)"
                    R"("document":{{"content":{}}}}})",
                    version, content));
  }

  int Content() const {
    return (*this->state->Shared()->configuration)["content"].asInt();
  }
};

}  // namespace

// Guards against an older or equal version that is applied or fails.
BOOST_FIXTURE_TEST_CASE(HighestVersionWins, Fixture) {
  BOOST_TEST(this->Replace(7, 70).value()["changed"].asBool());
  BOOST_TEST(!this->Replace(5, 50).value()["changed"].asBool());
  BOOST_TEST(!this->Replace(7, 71).value()["changed"].asBool());
  BOOST_TEST(this->Content() == 70);
  BOOST_TEST(this->Replace(12, 120).value()["changed"].asBool());
  BOOST_TEST(this->Content() == 120);
  BOOST_TEST(this->state->Shared()->configuration_version == 12U);
}

// Guards against versions that cannot be shown because they don't increase by
// one, also after a restart.
BOOST_FIXTURE_TEST_CASE(VersionsWithGapsAreKept, Fixture) {
  this->Replace(3, 30).value();
  this->Replace(40, 400).value();
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST(this->state->ShowConfiguration(3).value()["document"]["content"] ==
             30);
  BOOST_TEST(
      (CodeOf(this->state->ShowConfiguration(4)) == ResultCode::kNotFound));
  BOOST_TEST(!this->Replace(40, 1).value()["changed"].asBool());
}

// Guards against announced servers that are missing from the shared state, also
// after a restart or a round trip through JSON.
BOOST_FIXTURE_TEST_CASE(AnnouncedServersAreShared, Fixture) {
  const std::string announce =
      R"({"type":"server.announce","server_id":"s","incarnation":5,)"
      R"("sequence":1,"service":"app","address":"10.0.0.1:80",)"
      R"("failure_domain":"a","slots":4,"leaving":false})";
  this->Run(announce).value();
  const std::size_t published = this->published.size();
  this->Run(announce).value();
  BOOST_TEST(this->published.size() == published);
  BOOST_TEST(this->Restart().has_value());
  const auto shared =
      SharedStateFromJson(SharedStateToJson(*this->state->Shared()));
  BOOST_REQUIRE(shared);
  BOOST_REQUIRE(shared.value().servers.size() == 1U);
  BOOST_TEST(shared.value().servers[0].address == "10.0.0.1:80");
  this->Run(R"({"type":"server.leave","server_id":"s","incarnation":0})")
      .value();
  BOOST_TEST(this->state->Shared()->servers.empty());
}

}  // namespace sycamorebend
