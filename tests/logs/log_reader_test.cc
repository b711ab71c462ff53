#include "logs/log_reader.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::logs {

// Guards against a reader that stops at a truncated or unrelated line.
BOOST_AUTO_TEST_CASE(UnparsableLinesAreCountedAndSkipped) {
  std::istringstream input(
      "starting\n"
      R"({"time_ms":5,"name":"listening","address":"1.2.3.4:5"})"
      "\n"
      R"({"time_ms":6,"name":"liste)"
      "\n"
      R"({"time_ms":"7","name":"listening"})"
      "\n\n");
  LogLines logs;
  ReadLog(input, "gateway", logs);
  BOOST_REQUIRE(logs.lines.size() == 1U);
  BOOST_TEST(logs.lines[0].process == "gateway");
  BOOST_TEST(logs.lines[0].Text("address") == "1.2.3.4:5");
  BOOST_TEST(logs.lines[0].Text("none") == "");
  BOOST_TEST(logs.lines[0].Number("address") == 0);
  BOOST_TEST(logs.skipped == 4U);
}

// Guards against losing the process name of lines when the logs of several
// processes are in one file.
BOOST_AUTO_TEST_CASE(TextBeforeTheObjectNamesTheProcess) {
  std::istringstream input(
      R"(  12.5000 gateway-3 {"time_ms":5,"name":"listening"})");
  LogLines logs;
  ReadLog(input, "all", logs);
  BOOST_REQUIRE(logs.lines.size() == 1U);
  BOOST_TEST(logs.lines[0].process == "gateway-3");
}

// Guards against a missing file being read as an empty log.
BOOST_AUTO_TEST_CASE(MissingFileIsAnError) {
  const auto logs = ReadLogFiles({"/nonexistent/gateway.log"});
  BOOST_REQUIRE(!logs);
  BOOST_TEST(logs.error().message.find("/nonexistent") != std::string::npos);
}

}  // namespace sycamorebend::logs
