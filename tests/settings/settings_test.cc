#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

std::string ErrorOf(const std::string& text) {
  Result<SettingsObject> parsed = SettingsObject::Parse(text, "a.json");
  if (!parsed) {
    return parsed.error().message;
  }
  SettingsObject& object = parsed.value();
  object.GetInteger("count", 1, 9, 3);
  object.GetAddress("listen", "127.0.0.1:80");
  object.GetChoice("mode", {"fast", "safe"}, "safe");
  SettingsObject nested = object.GetObject("nested");
  nested.GetBool("on", true);
  const Status status = object.Finish();
  return status ? "" : status.error().message;
}

}  // namespace

BOOST_AUTO_TEST_CASE(CommentsAreAccepted) {
  BOOST_TEST(ErrorOf("{ // note\n \"count\": 4 /* more */ }") == "");
}

// Guards against errors that do not tell the operator where and what to mend.
BOOST_AUTO_TEST_CASE(ErrorsNameFileLineKeyAndAcceptedValues) {
  BOOST_TEST(ErrorOf("{\n\n\"count\": 10}") ==
             "a.json:3: \"count\": accepted: a whole number from 1 to 9; "
             "found 10");
  BOOST_TEST(
      ErrorOf("{\"listen\": \"host:80\"}").find("a.json:1: \"listen\"") == 0U);
  BOOST_TEST(ErrorOf("{\"mode\": \"slow\"}").find("\"fast\", \"safe\"") !=
             std::string::npos);
}

// Guards against a misspelt key that is silently ignored.
BOOST_AUTO_TEST_CASE(UnknownKeysAreRefused) {
  BOOST_TEST(ErrorOf("{\"cuont\": 4}").find("unknown key \"cuont\"") !=
             std::string::npos);
  BOOST_TEST(ErrorOf("{\"nested\": {\n\"off\": 1}}")
                 .find("a.json:2: unknown key \"nested.off\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(DeepNestingAndDuplicateKeysAreErrors) {
  BOOST_TEST(!ParseJson(std::string(100, '[')));
  BOOST_TEST(!ParseJson("{\"a\":1,\"a\":2}"));
  BOOST_TEST(!ParseJson("{} {}"));
}

}  // namespace sycamorebend
