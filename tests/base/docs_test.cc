#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "sycamorebend/base.h"

namespace sycamorebend {

namespace {

std::string ReadPage(const std::string& name) {
  const char* const root = std::getenv("SB_SOURCE_DIR");
  std::ifstream page(std::string(root != nullptr ? root : ".") + "/docs/" +
                     name);
  std::ostringstream text;
  text << page.rdbuf();
  return text.str();
}

}  // namespace

// Guards against a documented table that lags behind the code.
BOOST_AUTO_TEST_CASE(ResultCodePageMatchesTable) {
  const std::string page = ReadPage("result-codes.md");
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const std::string row =
        fmt::format("| {} | `{}` | {} |", static_cast<int>(info.code),
                    info.name, info.message);
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
}

BOOST_AUTO_TEST_CASE(EventPageMatchesTable) {
  const std::string page = ReadPage("log-events.md");
  for (const EventInfo& info : AllEvents()) {
    const std::string row =
        fmt::format("| {} | `{}` | {} |", static_cast<int>(info.event),
                    info.name, info.meaning);
    BOOST_TEST(page.find(row) != std::string::npos, row);
  }
}

}  // namespace sycamorebend
