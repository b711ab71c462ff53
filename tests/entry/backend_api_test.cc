#include "entry/backend_api.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::entry {

BOOST_AUTO_TEST_CASE(AnnouncementIsRead) {
  const ServerAnnouncement read =
      ParseAnnouncement(
          R"({"server_id":"e","incarnation":"1","address":"10.0.0.1:80",
              "kind":"engine","labels":{"model":"chat"},"failure_domain":"a",
              "slots":8,"models":["m"],"checks_fence":true,
              "roles":["prefill"]})")
          .value();
  BOOST_TEST(read.server_id == "e");
  BOOST_TEST(FormatLabels(read.labels) == "model=chat");
  BOOST_TEST(read.slots == 8);
  BOOST_TEST(read.checks_fence);
  BOOST_TEST(read.roles.at(0) == "prefill");
}

BOOST_AUTO_TEST_CASE(MalformedAnnouncementsNameTheKey) {
  const std::string start = R"({"server_id":"e","incarnation":"1",)";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"({"incarnation":"1"})", "server_id"},
      {start + R"("address":"host:80"})", "address"},
      {start + R"("address":"10.0.0.1:80","kind":"x"})", "kind"},
      {start + R"("address":"10.0.0.1:80","kind":"service","slots":0})",
       "slots"},
      {start + R"("address":"10.0.0.1:80","kind":"service","labels":[1]})",
       "labels"},
      {start + R"("address":"10.0.0.1:80","kind":"service","slots":1,
                  "models":[1]})",
       "models"}};
  for (const auto& [body, key] : cases) {
    const auto read = ParseAnnouncement(body);
    BOOST_REQUIRE(!read);
    BOOST_TEST((read.error().code == ResultCode::kMalformedRequest));
    BOOST_TEST(read.error().message.find(key) != std::string::npos, key);
  }
  BOOST_TEST(!ParseAnnouncement("[]"));
  BOOST_TEST(!ParseAnnouncement("{"));
}

BOOST_AUTO_TEST_CASE(ReportIsRead) {
  const ServerReport read =
      ParseReport(R"({"server_id":"e","incarnation":"1","seq":3,
                      "running_by_tier":[1,2],"queued_by_tier":[0,0],
                      "free_kv_tokens":100,"state":"leaving",
                      "cache_events":{"first_seq":4,"events":[
                        {"op":"add","hash":"18446744073709551615"},
                        {"op":"remove","hash":"2"}]}})")
          .value();
  BOOST_TEST(read.sequence == 3U);
  BOOST_TEST(read.leaving);
  BOOST_REQUIRE(read.cache_events.has_value());
  BOOST_TEST(read.cache_events->first_sequence == 4U);
  BOOST_TEST(read.cache_events->events[0].hash == 18446744073709551615U);
  BOOST_TEST(!read.cache_events->events[1].added);
}

BOOST_AUTO_TEST_CASE(MalformedReportsAreRejected) {
  const std::string start = R"({"server_id":"e","incarnation":"1",)";
  for (const char* const rest :
       {R"("seq":0})", R"("seq":-1})", R"("seq":"1"})",
        R"("seq":1,"running_by_tier":[-1]})", R"("seq":1,"state":"gone"})",
        R"("seq":1,"cache_events":{"first_seq":1}})",
        R"("seq":1,"cache_events":{"first_seq":1,"events":[
            {"op":"add","hash":"1x"}]}})",
        R"("seq":1,"cache_events":{"first_seq":1,"events":[
            {"op":"drop","hash":"1"}]}})"}) {
    BOOST_TEST(!ParseReport(start + rest), rest);
  }
}

}  // namespace sycamorebend::entry
