#include "entry/settings.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::entry {

namespace {

Result<EntrySettings> Read(const std::string& text) {
  SettingsObject root = SettingsObject::Parse(text, "entry.json").value();
  return ReadEntrySettings(root);
}

constexpr const char* kRequired =
    R"("entry_id": "e", "address": "127.0.0.1:8000", "failure_domain": "a",
       "replicas": ["127.0.0.1:7000"])";

}  // namespace

BOOST_AUTO_TEST_CASE(DefaultsAndValuesAreRead) {
  const EntrySettings defaults =
      Read(std::string("{") + kRequired + "}").value();
  BOOST_TEST((defaults.configuration_lease == seconds(8)));
  BOOST_TEST(!defaults.serve_unconfirmed);
  const EntrySettings read =
      Read(std::string("{") + kRequired +
           R"(, "when_unconfirmed": "serve", "address_valid_ms": 900,
               "limits": {"max_unread_bytes": 2048}})")
          .value();
  BOOST_TEST(read.serve_unconfirmed);
  BOOST_TEST((read.address_valid == milliseconds(900)));
  BOOST_TEST(read.limits.max_unread_bytes == 2048U);
}

// Guards against invalid settings that are accepted and then ignored.
BOOST_AUTO_TEST_CASE(WrongSettingsNameTheKey) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {R"("adress": 1)", "adress"},
      {R"("when_unconfirmed": "maybe")", "when_unconfirmed"},
      {R"("address_valid_ms": 0)", "address_valid_ms"},
      {R"("limits": {"max_body_bytes": "1"})", "max_body_bytes"}};
  for (const auto& [extra, key] : cases) {
    const auto read = Read(std::string("{") + kRequired + ", " + extra + "}");
    BOOST_REQUIRE(!read);
    BOOST_TEST(read.error().message.find(key) != std::string::npos,
               read.error().message);
  }
  BOOST_TEST(!Read(R"({"entry_id": "e", "address": "127.0.0.1:8000",
                       "failure_domain": "a", "replicas": []})"));
}

}  // namespace sycamorebend::entry
